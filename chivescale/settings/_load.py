"""Reading and validation of a settings file."""

import pathlib
import tomllib

import msgspec

from chivescale.errors import ErrorKind, Failure
from chivescale.settings._model import Settings


def load_settings(path: str | pathlib.Path) -> Settings | Failure:
    """Read settings from a file.

    Parameters
    ----------
    path : str or Path
        TOML file.

    Returns
    -------
    settings or Failure
        ``SETTINGS_INVALID`` with file, key and reason in one line.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as err:
        return Failure(ErrorKind.SETTINGS_INVALID, f"{path}: {err}")
    return parse_settings(text, str(path))


def parse_settings(text: str, origin: str = "settings") -> Settings | Failure:
    """Parse and validate settings; `origin` names them in errors."""
    try:
        return msgspec.convert(tomllib.loads(text), Settings)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as err:
        return Failure(ErrorKind.SETTINGS_INVALID, f"{origin}: {err}")
