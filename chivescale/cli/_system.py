"""Connection of a command to a running system."""

import argparse
import collections.abc
import pathlib
import ssl

import msgspec

from chivescale.cli._leader import LeaderClient
from chivescale.cli._report import Report, report_failure
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.settings import (
    TlsSettings,
    load_settings,
    parse_address,
    read_secret,
)
from chivescale.transport import Client, client_tls

DEFAULT_TIMEOUT_S = 10.0


class Access(msgspec.Struct):
    """Addresses and credentials of a system."""

    control: tuple[str, ...]
    secret: bytes
    tls: TlsSettings
    timeout_s: float


class System:
    """Clients for a running system."""

    def __init__(self, access: Access):
        self.access = access
        self.client = Client(access.secret, client_tls(access.tls))
        self.leader = LeaderClient(self.client, access.control)
        self.timeout_s = access.timeout_s


Command = collections.abc.Callable[
    [System, argparse.Namespace], collections.abc.Awaitable[Report]
]


def add_access_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that `read_access` needs."""
    parser.add_argument(
        "--settings",
        metavar="FILE",
        help="settings file of any host; gives addresses and secret",
    )
    parser.add_argument(
        "--control",
        metavar="IP:PORT",
        action="append",
        default=[],
        help="control host instead of those of the settings; repeatable",
    )
    parser.add_argument(
        "--secret-file", metavar="FILE", help="secret of the system"
    )
    parser.add_argument(
        "--timeout",
        type=positive_seconds,
        default=DEFAULT_TIMEOUT_S,
        metavar="S",
        help="time-out of a command in seconds (default %(default)g)",
    )


def positive_seconds(text: str) -> float:
    """Parse a command-line duration in seconds."""
    value = float(text)
    # This form of the comparison also rejects NaN.
    if not 0 < value <= 3600:
        raise argparse.ArgumentTypeError("expected more than 0 to 3600")
    return value


def read_access(options: argparse.Namespace) -> Access | Failure:
    """Build the access data from the command-line options."""
    control = tuple(options.control)
    for address in control:
        if parse_address(address) is None:
            reason = f"--control: {address!a} is not an ip:port"
            return Failure(ErrorKind.SETTINGS_INVALID, reason)
    secret_file, tls = options.secret_file, TlsSettings()
    if options.settings:
        settings = load_settings(options.settings)
        if is_failure(settings):
            return settings
        members = settings.cluster.control
        control = control or tuple(item.address for item in members)
        secret_file = secret_file or settings.cluster.secret_file
        tls = settings.tls
    if not control or not secret_file:
        reason = "give --settings, or --control and --secret-file"
        return Failure(ErrorKind.SETTINGS_INVALID, reason)
    secret = read_secret(secret_file)
    if is_failure(secret):
        return secret
    return Access(control, secret, tls, options.timeout)


async def run_with_system(
    command: Command, options: argparse.Namespace
) -> Report:
    """Run a command against a running system."""
    access = read_access(options)
    if is_failure(access):
        return report_failure(access)
    try:
        system = System(access)
    except (OSError, ssl.SSLError) as err:
        reason = f"tls: {err}"
        return report_failure(Failure(ErrorKind.SETTINGS_INVALID, reason))
    try:
        return await command(system, options)
    finally:
        await system.client.close()


def read_file(path: str) -> bytes | Failure:
    """Read a file named on the command line."""
    try:
        return pathlib.Path(path).read_bytes()
    except (OSError, ValueError) as err:
        reason = f"{path}: {getattr(err, 'strerror', None) or err}"
        return Failure(ErrorKind.SETTINGS_INVALID, reason)
