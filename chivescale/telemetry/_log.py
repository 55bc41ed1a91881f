"""Log events as lines of key=value pairs."""

import logging

LOGGER = logging.getLogger("chivescale")
_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def log_event(event: str, level: str = "info", **fields: object) -> None:
    """Write one log line.

    Parameters
    ----------
    event : str
        Name of the event, in snake case.
    level : {"debug", "info", "warning", "error"}
        Severity.
    **fields : object
        Fields of the event. Empty values and those with spaces, quotes,
        equals signs or unprintable characters are quoted.
    """
    pairs = [f"event={event}"]
    pairs += [f"{key}={quote_value(value)}" for key, value in fields.items()]
    LOGGER.log(_LEVELS[level], "%s", " ".join(pairs))


def quote_value(value: object) -> str:
    """Format a value for a log line, quoting and escaping it if needed."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and text.isprintable() and not any(c in text for c in ' "='):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r")
    if not escaped.isprintable():
        escaped = "".join(map(_escape_unprintable, escaped))
    return f'"{escaped}"'


def _escape_unprintable(char: str) -> str:
    return char if char.isprintable() else ascii(char)[1:-1]
