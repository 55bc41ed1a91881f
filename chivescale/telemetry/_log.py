"""One line of key=value pairs for each event."""

from absl import logging

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
        Values; those with spaces, quotes or line breaks are quoted.
    """
    pairs = [f"event={event}"]
    pairs += [f"{key}={quote_value(value)}" for key, value in fields.items()]
    logging.log(_LEVELS[level], "%s", " ".join(pairs))


def quote_value(value: object) -> str:
    """Return a value for a log line, quoted if it needs to be."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and text.isprintable() and not any(c in text for c in ' "='):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r")
    if not escaped.isprintable():
        escaped = "".join(map(_printable, escaped))
    return f'"{escaped}"'


def _printable(char: str) -> str:
    return char if char.isprintable() else ascii(char)[1:-1]
