"""Settings of a process, read from TOML and validated at start."""

from chivescale.settings._files import read_secret
from chivescale.settings._load import load_settings, parse_settings
from chivescale.settings._model import (
    AgreementSettings,
    ClusterSettings,
    ControlMember,
    EntrySettings,
    FailoverSettings,
    HostSettings,
    ListenSettings,
    PoolSettings,
    Settings,
    TlsSettings,
)
from chivescale.settings._rules import control_address, parse_address

__all__ = [
    "AgreementSettings",
    "ClusterSettings",
    "ControlMember",
    "EntrySettings",
    "FailoverSettings",
    "HostSettings",
    "ListenSettings",
    "PoolSettings",
    "Settings",
    "TlsSettings",
    "control_address",
    "load_settings",
    "parse_address",
    "parse_settings",
    "read_secret",
]
