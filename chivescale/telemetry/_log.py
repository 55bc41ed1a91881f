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
    pairs += [f"{key}={_text(value)}" for key, value in fields.items()]
    logging.log(_LEVELS[level], "%s", " ".join(pairs))


def _text(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not any(char in text for char in ' "\n\r\t='):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'
