"""Command-line interface of ``chivescaled``."""

import argparse
import asyncio
import signal
import sys

import chivescale
from chivescale.daemon._run import run
from chivescale.errors import is_failure
from chivescale.settings import load_settings, read_secret
from chivescale.telemetry import setup_logging

EXIT_OK = 0
EXIT_FORCED = 1
EXIT_SETTINGS = 2


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon until it is terminated by a signal.

    Returns
    -------
    int
        0 after a graceful shutdown, 1 if it was forced, 2 if the host
        could not start.
    """
    options = _parse_arguments(arguments)
    # Until its handler is set, SIGHUP would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    settings = load_settings(options.settings)
    if is_failure(settings):
        print(settings.reason, file=sys.stderr)
        return EXIT_SETTINGS
    if options.check:
        print(f"{options.settings}: ok")
        return EXIT_OK
    secret = read_secret(settings.cluster.secret_file)
    if is_failure(secret):
        print(f"{options.settings}: {secret.reason}", file=sys.stderr)
        return EXIT_SETTINGS
    setup_logging(settings.host.name, settings.host.log_level)
    outcome = asyncio.run(run(settings, secret))
    if is_failure(outcome):
        print(f"{options.settings}: {outcome.reason}", file=sys.stderr)
        return EXIT_SETTINGS
    return EXIT_OK if outcome else EXIT_FORCED


def _parse_arguments(arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="chivescaled",
        description="Entry or control host of chivescale.",
        epilog="SIGTERM or SIGINT drains the host and stops it; a second "
        "signal stops it at once. SIGHUP has no effect. Exit codes: 0 "
        "graceful shutdown, 1 forced shutdown, 2 not started.",
    )
    parser.add_argument(
        "--settings", required=True, metavar="FILE", help="TOML file"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument(
        "--version", action="version", version=chivescale.__version__
    )
    return parser.parse_args(arguments)
