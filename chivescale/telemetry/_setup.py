"""Log format of the daemons."""

import logging
import time
import typing

from chivescale.telemetry._log import quote_value

LEVELS = ("debug", "info", "warning", "error")


def setup_logging(
    process: str, level: str = "info", stream: typing.TextIO | None = None
) -> None:
    """Write every log record as one line.

    A line starts with time (UTC), level and process name. Records of the
    standard logging module, for example those of asyncio, are written as
    ``event=log``.

    Parameters
    ----------
    process : str
        Process name written in each line.
    level : {"debug", "info", "warning", "error"}
        Lowest level that is written.
    stream : text file, optional
        Output stream; standard error, through absl, by default. With a
        stream, absl is not imported: that takes as long as a tenth of the
        start of a process.
    """
    root = logging.getLogger()
    if stream is None:
        _use_absl(process, level)
    else:
        handler = logging.StreamHandler(stream)
        handler.setFormatter(LineFormatter(process))
        root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.captureWarnings(True)


def _use_absl(process: str, level: str) -> None:
    from absl import flags
    from absl import logging as absl_logging

    # absl prints a warning if a process logs before its flags are parsed; the
    # daemons define no absl flags.
    flags.FLAGS.mark_as_parsed()
    absl_logging.set_verbosity(level)
    absl_logging.use_absl_handler()
    handler = absl_logging.get_absl_handler()
    handler.python_handler.setFormatter(LineFormatter(process))


class LineFormatter(logging.Formatter):
    """Formats a record as one line of key=value pairs."""

    def __init__(self, process: str):
        super().__init__()
        self.process = quote_value(process)

    def format(self, record: logging.LogRecord) -> str:
        """Return the line without a trailing line break."""
        seconds = time.strftime(
            "%Y-%m-%dT%H:%M:%S", time.gmtime(record.created)
        )
        message = record.getMessage()
        if not message.startswith("event="):
            message = (
                f"event=log logger={quote_value(record.name)} "
                f"message={quote_value(message)}"
            )
        if record.exc_info:
            trace = self.formatException(record.exc_info)
            message += f" trace={quote_value(trace)}"
        return (
            f"time={seconds}.{int(record.msecs):03d}Z "
            f"level={record.levelname.lower()} process={self.process} "
            f"{message}"
        )
