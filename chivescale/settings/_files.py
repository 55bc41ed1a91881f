"""Access to the files that the settings refer to."""

import collections.abc
import pathlib

import msgspec

from chivescale.errors import ErrorKind, Failure
from chivescale.settings._model import Settings

# Shorter secrets can be found by a brute-force search over signatures.
MIN_SECRET_BYTES = 16
MIN_ENDPOINT_SECRET_BYTES = 8
MAX_SECRET_BYTES = 4096

# Settings whose value is a file name, by section.
FILE_KEYS = {
    "host": ("data_dir",),
    "cluster": ("secret_file", "endpoint_secret_file"),
    "tls": (
        "caller_certificate",
        "caller_key",
        "api_certificate",
        "api_key",
        "api_ca",
    ),
}


def read_secret(path: str, minimum: int = MIN_SECRET_BYTES) -> bytes | Failure:
    """Read a secret file; leading and trailing white space is ignored.

    Returns
    -------
    secret or Failure
        ``SETTINGS_INVALID`` if it is unreadable or has an invalid length.
    """
    try:
        with open(path, "rb") as file:
            content = file.read(MAX_SECRET_BYTES + 1)
    except (OSError, ValueError) as err:
        reason = f"{path}: {getattr(err, 'strerror', None) or err}"
        return Failure(ErrorKind.SETTINGS_INVALID, reason)
    secret = content.strip()
    if not minimum <= len(secret) <= MAX_SECRET_BYTES:
        reason = (
            f"{path}: {len(secret)} bytes, expected {minimum} to "
            f"{MAX_SECRET_BYTES}"
        )
        return Failure(ErrorKind.SETTINGS_INVALID, reason)
    return secret


def resolve_files(settings: Settings, folder: pathlib.Path) -> Settings:
    """Return the settings with file names resolved against `folder`."""
    changes = {}
    for section, keys in FILE_KEYS.items():
        section_settings = getattr(settings, section)
        names = {
            key: str(folder / getattr(section_settings, key))
            for key in keys
            if getattr(section_settings, key)
        }
        changes[section] = msgspec.structs.replace(section_settings, **names)
    return msgspec.structs.replace(settings, **changes)


def check_files(settings: Settings) -> list[str]:
    """Return ``key: reason`` for each unusable file."""
    return [*_check_secrets(settings), *_check_certificates(settings)]


def _check_secrets(settings: Settings) -> collections.abc.Iterator[str]:
    cluster = settings.cluster
    secret = read_secret(cluster.secret_file)
    if isinstance(secret, Failure):
        yield f"cluster.secret_file: {secret.reason}"
    if cluster.endpoint_secret_file:
        secret = read_secret(
            cluster.endpoint_secret_file, MIN_ENDPOINT_SECRET_BYTES
        )
        if isinstance(secret, Failure):
            yield f"cluster.endpoint_secret_file: {secret.reason}"


def _check_certificates(settings: Settings) -> collections.abc.Iterator[str]:
    """Check that each certificate can be loaded, as the servers load it."""
    tls = settings.tls
    # Only settings with a certificate need it; it takes long to import.
    import ssl

    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    for port in ("caller", "api"):
        certificate = getattr(tls, f"{port}_certificate")
        if certificate:
            key = getattr(tls, f"{port}_key")
            reason = _load_error(context.load_cert_chain, certificate, key)
            if reason:
                yield f"tls.{port}_certificate: {certificate}: {reason}"
    if tls.api_ca:
        reason = _load_error(context.load_verify_locations, tls.api_ca)
        if reason:
            yield f"tls.api_ca: {tls.api_ca}: {reason}"


def _load_error(load: collections.abc.Callable, *arguments: str) -> str:
    """Return the reason why loading fails; empty if it succeeds."""
    try:
        load(*arguments)
    except (OSError, ValueError) as err:
        return getattr(err, "strerror", None) or str(err)
    return ""
