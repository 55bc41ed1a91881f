"""Translation of CREATE TABLE."""

import re

_INTEGER = re.compile(r"(BIG|SMALL|TINY|MEDIUM)?INT(EGER)?", re.IGNORECASE)
_DROPPED_WORDS = {"UNSIGNED", "ZEROFILL", "SIGNED"}
_DROPPED_PAIRS = {"CHARACTER": 3, "CHARSET": 2, "COMMENT": 2}
_KEYS = {"KEY", "INDEX", "FULLTEXT", "SPATIAL"}


def translate_create(tokens: list, make) -> list:
    """Translate the column list and drop the table options.

    Parameters
    ----------
    tokens : list of Token
        Statement.
    make : type
        Token type.

    Returns
    -------
    tokens : list of Token
        Statement for SQLite.
    """
    start = next((i for i, t in enumerate(tokens) if t.text == "("), None)
    if start is None:
        return tokens
    definitions, _ = _split(tokens, start)
    rewritten, automatic = [], ""
    for definition in definitions:
        words = [token for token in definition if token.kind != "space"]
        if "AUTO_INCREMENT" in (token.upper for token in words):
            automatic = words[0].text
    for definition in definitions:
        words = [token for token in definition if token.kind != "space"]
        text = _definition(words, automatic)
        if text:
            rewritten.append(text)
    body = "(" + ", ".join(rewritten) + ")"
    return tokens[:start] + [make("done", body)]


def _split(tokens: list, start: int) -> tuple[list, int]:
    """Split the parenthesised list at its top-level commas."""
    parts, depth = [[]], 0
    for index in range(start, len(tokens)):
        text = tokens[index].text if tokens[index].kind == "other" else ""
        if text == "(":
            depth += 1
            if depth == 1:
                continue
        elif text == ")":
            depth -= 1
            if depth == 0:
                return parts, index
        if text == "," and depth == 1:
            parts.append([])
        else:
            parts[-1].append(tokens[index])
    return parts, len(tokens)


def _definition(words: list, automatic: str) -> str:
    if not words:
        return ""
    first = words[0].upper
    if first in _KEYS:
        return ""
    if first == "UNIQUE":
        return "UNIQUE " + _from_parenthesis(words)
    if first == "PRIMARY":
        columns = _from_parenthesis(words)
        single = columns.strip("() ").strip("`").lower()
        return "" if single == automatic.strip("`").lower() else _join(words)
    if words[0].text == automatic:
        return f"{automatic} INTEGER PRIMARY KEY AUTOINCREMENT"
    return _column(words)


def _column(words: list) -> str:
    if len(words) > 1 and words[1].upper in ("DECIMAL", "NUMERIC"):
        # The scale is part of the type name, since SQLite returns numbers
        # without trailing zeros and a converter only sees the name.
        scale = "0"
        if len(words) > 5 and words[4].text == ",":
            scale = words[5].text
        words[1].text = f"DECIMAL_{scale}"
    kept, index = [], 0
    while index < len(words):
        word = words[index].upper
        after = words[index + 1].upper if index + 1 < len(words) else ""
        if word in _DROPPED_WORDS:
            index += 1
        elif word == "CHARACTER" and after == "SET":
            index += 3
        elif word in _DROPPED_PAIRS and word != "CHARACTER":
            index += 2
        elif word == "COLLATE":
            index += 2
        elif word == "ON" and after == "UPDATE":
            index += 3
            if index < len(words) and words[index].text == "(":
                index += 2
        elif word in ("CURRENT_TIMESTAMP", "NOW"):
            # A function of the stand-in, so that replicas use the time of
            # the primary.
            words[index].text = "(standin_now())"
            kept.append(words[index])
            index += 1
            if index < len(words) and words[index].text == "(":
                while words[index].text != ")":
                    index += 1
                index += 1
        else:
            kept.append(words[index])
            index += 1
    return _join(kept)


def _from_parenthesis(words: list) -> str:
    start = next((i for i, t in enumerate(words) if t.text == "("), 0)
    return _join(words[start:])


def _join(words: list) -> str:
    return " ".join(token.text for token in words)
