"""Commands that do not need a running system."""

import argparse
import hashlib
import sys

from chivescale.cli._report import ExitCode, Report, report_failure
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.settings import Settings, load_settings

MAX_SECRET_BYTES = 1024


def hash_secret(_options: argparse.Namespace) -> Report:
    """Hash the workspace secret on standard input for the sheet.

    A trailing line break is ignored, so that the output of ``echo`` works.
    """
    secret = sys.stdin.buffer.read(MAX_SECRET_BYTES + 2)
    secret = secret.removesuffix(b"\n").removesuffix(b"\r")
    if not secret or len(secret) > MAX_SECRET_BYTES or b"\0" in secret:
        reason = f"expected a secret of 1 to {MAX_SECRET_BYTES} bytes"
        return report_failure(Failure(ErrorKind.BAD_REQUEST, reason))
    inner = hashlib.sha1(secret, usedforsecurity=False).digest()
    value = hashlib.sha1(inner, usedforsecurity=False).hexdigest()
    return Report(ExitCode.OK, {"secret_hash": value}, [value])


def check_settings(options: argparse.Namespace) -> Report:
    """Check settings files individually and for conflicts between them."""
    report = Report(data={"files": options.files, "errors": []})
    loaded: list[tuple[str, Settings]] = []
    for path in options.files:
        settings = load_settings(path)
        if is_failure(settings):
            report.errors += settings.reason.split("\n")
        else:
            loaded.append((path, settings))
            report.lines.append(f"{path}: ok")
    report.errors += _find_conflicts(loaded)
    report.data["errors"] = report.errors
    if report.errors:
        report.code = ExitCode.USAGE
    return report


def _find_conflicts(loaded: list[tuple[str, Settings]]) -> list[str]:
    """Return conflicts between the settings files of one system."""
    errors = []
    names: dict[str, str] = {}
    used: dict[str, str] = {}
    for path, settings in loaded:
        name = settings.host.name
        if name in names:
            errors.append(f"{path}: host.name: also in {names[name]}")
        names.setdefault(name, path)
        listen = settings.listen
        for key in listen.__struct_fields__:
            address = getattr(listen, key)
            if address and address in used:
                errors.append(
                    f"{path}: listen.{key}: {address} also in {used[address]}"
                )
            if address and not address.startswith("0.0.0.0:"):
                used.setdefault(address, path)
        first_path, first = loaded[0]
        if _members(settings) != _members(first):
            errors.append(f"{path}: cluster.control: not as in {first_path}")
    return errors


def _members(settings: Settings) -> set[tuple[str, str]]:
    return {(item.name, item.address) for item in settings.cluster.control}
