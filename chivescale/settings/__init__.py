"""Settings of a process, read from TOML and validated once at start."""

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
    "load_settings",
    "parse_settings",
]
