"""Loading and validation of a settings file."""

import pathlib
import tomllib

from chivescale.errors import ErrorKind, Failure
from chivescale.settings._convert import convert_settings
from chivescale.settings._files import check_files, resolve_files
from chivescale.settings._model import Settings
from chivescale.settings._rules import check_rules


def load_settings(path: str | pathlib.Path) -> Settings | Failure:
    """Load settings from a file and check the files that they refer to.

    Parameters
    ----------
    path : str or Path
        TOML file. Relative file names in it are resolved against its folder.

    Returns
    -------
    settings or Failure
        ``SETTINGS_INVALID`` with one line ``file: key: reason`` for each
        error.
    """
    path = pathlib.Path(path)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as err:
        return _invalid_settings([f"{path}: {_error_text(err)}"])
    settings = parse_settings(text, str(path))
    if isinstance(settings, Failure):
        return settings
    settings = resolve_files(settings, path.resolve().parent)
    errors = check_files(settings)
    if errors:
        return _invalid_settings(f"{path}: {error}" for error in errors)
    return settings


def parse_settings(text: str, origin: str = "settings") -> Settings | Failure:
    """Parse and validate settings without access to the file system.

    Parameters
    ----------
    text : str
        TOML.
    origin : str, optional
        Name of the source in error messages.

    Returns
    -------
    settings or Failure
        ``SETTINGS_INVALID`` with one line ``origin: key: reason`` for each
        error.
    """
    try:
        tables = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as err:
        return _invalid_settings([f"{origin}: not TOML: {_error_text(err)}"])
    settings, errors = convert_settings(tables)
    if settings is not None:
        errors = check_rules(settings)
    if settings is None or errors:
        return _invalid_settings(f"{origin}: {error}" for error in errors)
    return settings


def _invalid_settings(lines) -> Failure:
    return Failure(ErrorKind.SETTINGS_INVALID, "\n".join(lines))


def _error_text(err: Exception) -> str:
    return str(getattr(err, "strerror", None) or err).replace("\n", " ")
