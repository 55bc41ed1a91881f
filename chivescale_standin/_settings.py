"""Settings of a stand-in endpoint, from a file or from flags."""

import argparse
import pathlib
import tomllib

import msgspec

from chivescale.errors import ErrorKind, Failure


class StandinSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one endpoint.

    Attributes
    ----------
    name, service, zone : str
        Identity.
    mysql_address, admin_address : str
        ``ip:port``; port 0 lets the kernel choose.
    data_dir : str
        Folder of the durable state.
    secret_file : str
        File with the secret that signs messages between processes.
    user, user_secret_file : str
        Account of the SQL side; an absent file means an empty secret.
    announce_to : tuple of str
        API addresses of entry hosts.
    slots, connection_limit : int
        Statements run at once; connections accepted.
    connect_delay_ms, delay_ms : float
        Cost of a new connection and one-way network delay.
    statement_ms : float
        Time for which every statement holds its slot.
    lock_wait_ms : int
        Limit for the wait on another transaction's writes.
    announce_ms : int
        Interval of the announcements.
    """

    name: str
    service: str
    data_dir: str
    secret_file: str
    zone: str = "zone-1"
    mysql_address: str = "127.0.0.1:0"
    admin_address: str = "127.0.0.1:0"
    user: str = "chivescale"
    user_secret_file: str = ""
    announce_to: tuple[str, ...] = ()
    slots: int = 2
    connection_limit: int = 35
    connect_delay_ms: float = 10.0
    delay_ms: float = 0.0
    statement_ms: float = 0.0
    lock_wait_ms: int = 1000
    announce_ms: int = 1000


def read_secret(path: str) -> str:
    """Return a secret without surrounding blanks; empty for no file."""
    if not path:
        return ""
    return pathlib.Path(path).read_text(encoding="utf-8").strip()


def load_settings(arguments: list[str]) -> StandinSettings | Failure:
    """Read settings from ``--settings FILE`` and flags; flags win.

    Parameters
    ----------
    arguments : list of str
        Command line without the program name.
    """
    parser = argparse.ArgumentParser(
        prog="chivescale-standin", description="Stand-in database endpoint."
    )
    parser.add_argument("--settings", help="TOML file")
    fields = msgspec.structs.fields(StandinSettings)
    for field in fields:
        flag = "--" + field.name.replace("_", "-")
        if field.name == "announce_to":
            parser.add_argument(flag, action="append", metavar="IP:PORT")
        else:
            parser.add_argument(flag)
    options = vars(parser.parse_args(arguments))
    path = options.pop("settings")
    values = {}
    try:
        if path:
            text = pathlib.Path(path).read_text(encoding="utf-8")
            values = tomllib.loads(text)
        values |= {key: val for key, val in options.items() if val is not None}
        # Flags are text, so numbers are converted leniently.
        return msgspec.convert(values, StandinSettings, strict=False)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as err:
        return Failure(ErrorKind.SETTINGS_INVALID, f"{path or 'flags'}: {err}")
