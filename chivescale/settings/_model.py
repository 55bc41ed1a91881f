"""Settings with their units and defaults."""

import msgspec


class HostSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Identity of the process.

    Attributes
    ----------
    name : str
        Unique name of the host.
    zone : str
        Availability zone.
    roles : tuple of str
        ``entry``, ``control`` or both.
    data_dir : str
        Folder of the persistent state; required for ``control``.
    log_level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    """

    name: str
    zone: str
    roles: tuple[str, ...] = ("entry",)
    data_dir: str = ""
    log_level: str = "info"


class ListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Listening addresses as ``ip:port``; an empty one is disabled.

    With both roles, `control_api` serves the control role and `api` the
    entry role.
    """

    api: str = ""
    control_api: str = ""
    mysql: str = ""
    metrics: str = ""


class ControlMember(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Name and address of a control host."""

    name: str
    address: str


class ClusterSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings shared by all processes.

    Attributes
    ----------
    secret_file : str
        File with the secret that signs messages between processes.
    control : tuple of ControlMember
        Initial control hosts.
    endpoint_user, endpoint_secret_file : str
        Credentials of entry hosts at the endpoints.
    """

    secret_file: str
    control: tuple[ControlMember, ...]
    endpoint_user: str = "chivescale"
    endpoint_secret_file: str = ""


class TlsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Certificate files; an empty name disables TLS on that port."""

    caller_certificate: str = ""
    caller_key: str = ""
    api_certificate: str = ""
    api_key: str = ""
    api_ca: str = ""


class AgreementSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Timing and snapshot interval of the control log."""

    heartbeat_ms: int = 50
    election_timeout_ms: int = 250
    snapshot_entries: int = 1000


class FailoverSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Failure detection and promotion.

    `silence_floor_ms` must exceed 300 ms: pauses up to that length are normal
    and must not cause a promotion.
    """

    watchers: int = 3
    probe_interval_ms: int = 100
    silence_floor_ms: int = 350
    promise_timeout_ms: int = 300
    attempt_timeout_ms: int = 1500


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits and time-outs of an entry host.

    `watch_wait_ms` is short because a broken connection is detected only when
    the watch on it times out, and changes must be in force within 4 s.
    """

    deadline_ms: int = 5000
    heartbeat_ms: int = 1000
    watch_wait_ms: int = 2000
    barrier_timeout_ms: int = 500
    drain_timeout_s: float = 30.0
    start_grace_s: float = 5.0
    transaction_idle_s: float = 60.0
    max_callers: int = 4000
    max_statement_bytes: int = 1 << 20
    retry_ratio: float = 0.1


class PoolSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Connection pools of the endpoints."""

    floor_connections: int = 1
    idle_s: float = 30.0
    connect_timeout_ms: int = 500
    silence_timeout_ms: int = 1000


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one process."""

    host: HostSettings
    listen: ListenSettings
    cluster: ClusterSettings
    tls: TlsSettings = msgspec.field(default_factory=TlsSettings)
    agreement: AgreementSettings = msgspec.field(
        default_factory=AgreementSettings
    )
    failover: FailoverSettings = msgspec.field(
        default_factory=FailoverSettings
    )
    entry: EntrySettings = msgspec.field(default_factory=EntrySettings)
    pool: PoolSettings = msgspec.field(default_factory=PoolSettings)
