"""Ranges and constraints that the types do not express."""

import collections.abc
import ipaddress
import re

import msgspec

from chivescale.settings._model import Settings

NAME_PATTERN = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_.-]{0,63}")
ROLES = ("entry", "control")
LOG_LEVELS = ("debug", "info", "warning", "error")
MAX_CONTROL_HOSTS = 35
# Pauses up to this length are normal and must not cause a promotion.
MAX_NORMAL_PAUSE_MS = 300
# With fewer heartbeats per election timeout, a single lost message or a short
# pause of the leader triggers an election.
MIN_HEARTBEATS_PER_TIMEOUT = 3

# Minimum and maximum of each numeric setting, in the unit of its name.
RANGES: dict[str, tuple[float, float]] = {
    "agreement.heartbeat_ms": (5, 5_000),
    "agreement.election_timeout_ms": (15, 60_000),
    "agreement.snapshot_entries": (10, 1_000_000),
    "failover.watchers": (1, 9),
    "failover.probe_interval_ms": (10, 10_000),
    "failover.silence_floor_ms": (MAX_NORMAL_PAUSE_MS + 1, 60_000),
    "failover.promise_timeout_ms": (10, 60_000),
    "failover.attempt_timeout_ms": (10, 60_000),
    "entry.deadline_ms": (10, 600_000),
    # A lease lasts 3 s and must survive two lost heartbeats.
    "entry.heartbeat_ms": (10, 1_000),
    # A sheet must be in force within 4 s, even if one watch gets no answer.
    "entry.watch_wait_ms": (10, 3_000),
    "entry.barrier_timeout_ms": (10, 60_000),
    "entry.drain_timeout_s": (0, 3_600),
    "entry.start_grace_s": (0, 600),
    "entry.transaction_idle_s": (0.1, 86_400),
    "entry.max_callers": (1, 1_000_000),
    "entry.max_statement_bytes": (1_024, (1 << 24) - 1),
    "entry.retry_ratio": (0, 1),
    "pool.floor_connections": (1, 1_000),
    "pool.idle_s": (0.1, 86_400),
    "pool.connect_timeout_ms": (10, 60_000),
    "pool.silence_timeout_ms": (10, 600_000),
}


def check_rules(settings: Settings) -> list[str]:
    """Return ``key: reason`` for each violated constraint."""
    errors: list[str] = []
    for check in (
        _check_host,
        _check_ranges,
        _check_dependencies,
        _check_members,
        _check_listen,
        _check_address_conflicts,
        _check_tls,
    ):
        errors += check(settings)
    return errors


def control_address(settings: Settings) -> str:
    """Return the listening address of the control role, empty without it."""
    if "control" not in settings.host.roles:
        return ""
    if settings.listen.control_api or "entry" in settings.host.roles:
        return settings.listen.control_api
    return settings.listen.api


def parse_address(text: str) -> tuple[str, int] | None:
    """Split ``ip:port``; return None if it is malformed."""
    ip, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(ip)
    except ValueError:
        return None
    if not re.fullmatch(r"[1-9][0-9]{0,4}", port) or int(port) > 65535:
        return None
    return ip, int(port)


def _check_host(settings: Settings) -> collections.abc.Iterator[str]:
    host = settings.host
    for key in ("name", "zone"):
        if not NAME_PATTERN.fullmatch(getattr(host, key)):
            yield (
                f"host.{key}: expected 1 to 64 letters, digits, '_', '.' "
                "and '-'"
            )
    if not host.roles:
        yield "host.roles: expected entry, control or both"
    for index, role in enumerate(host.roles):
        if role not in ROLES:
            yield f"host.roles[{index}]: {role!a} is not a role"
        elif role in host.roles[:index]:
            yield f"host.roles[{index}]: {role} appears twice"
    if host.log_level not in LOG_LEVELS:
        yield f"host.log_level: expected one of {', '.join(LOG_LEVELS)}"
    if "control" in host.roles and not host.data_dir:
        yield "host.data_dir: the control role needs a folder"


def _check_ranges(settings: Settings) -> collections.abc.Iterator[str]:
    for key, (low, high) in RANGES.items():
        section, _, name = key.partition(".")
        value = getattr(getattr(settings, section), name)
        # This form of the comparison also rejects NaN.
        if not low <= value <= high:
            yield f"{key}: {value:g} is not in {low:g} to {high:g}"


def _check_dependencies(settings: Settings) -> collections.abc.Iterator[str]:
    agreement, failover = settings.agreement, settings.failover
    minimum_ms = MIN_HEARTBEATS_PER_TIMEOUT * agreement.heartbeat_ms
    if agreement.election_timeout_ms < minimum_ms:
        yield (
            f"agreement.election_timeout_ms: expected at least {minimum_ms} "
            f"({MIN_HEARTBEATS_PER_TIMEOUT} times heartbeat_ms)"
        )
    if failover.attempt_timeout_ms < failover.promise_timeout_ms:
        yield (
            "failover.attempt_timeout_ms: expected at least "
            f"{failover.promise_timeout_ms} (promise_timeout_ms)"
        )


def _check_members(settings: Settings) -> collections.abc.Iterator[str]:
    control = settings.cluster.control
    if not 1 <= len(control) <= MAX_CONTROL_HOSTS:
        yield (
            f"cluster.control: {len(control)} hosts, expected 1 to "
            f"{MAX_CONTROL_HOSTS}"
        )
    names: set[str] = set()
    addresses: set[str] = set()
    for index, member in enumerate(control):
        key = f"cluster.control[{index}]"
        if not NAME_PATTERN.fullmatch(member.name):
            yield f"{key}.name: {member.name!a} is not a valid name"
        if member.name in names:
            yield f"{key}.name: {member.name} appears twice"
        if member.address in addresses:
            yield f"{key}.address: {member.address} appears twice"
        yield from _check_address(f"{key}.address", member.address)
        names.add(member.name)
        addresses.add(member.address)
    yield from _check_own_address(settings)


def _check_own_address(settings: Settings) -> collections.abc.Iterator[str]:
    """Check that the control host listens on the address listed for it."""
    name, own = settings.host.name, control_address(settings)
    if not own or not NAME_PATTERN.fullmatch(name):
        return
    listed = [
        item.address for item in settings.cluster.control if item.name == name
    ]
    if not listed:
        yield f"cluster.control: {name} has the control role but is not listed"
    elif own not in listed:
        yield (
            f"cluster.control: {name} is listed with {listed[0]} and "
            f"listens on {own}"
        )


def _check_listen(settings: Settings) -> collections.abc.Iterator[str]:
    listen, roles = settings.listen, settings.host.roles
    for key in ("api", "mysql"):
        if "entry" in roles and not getattr(listen, key):
            yield f"listen.{key}: the entry role needs an address"
    if "control" in roles and not control_address(settings):
        yield "listen.control_api: the control role needs an address"
    for key, address in msgspec.structs.asdict(listen).items():
        if address:
            wildcard = key == "metrics"
            yield from _check_address(f"listen.{key}", address, wildcard)


def _check_address(
    key: str, address: str, wildcard: bool = False
) -> collections.abc.Iterator[str]:
    parsed = parse_address(address)
    if parsed is None:
        yield (
            f"{key}: {address!a} is not an ip:port (an IPv4 address, "
            "not a host name, and a port in 1 to 65535)"
        )
    elif parsed[0] == "0.0.0.0" and not wildcard:
        yield f"{key}: other hosts cannot connect to {parsed[0]}"


def _check_address_conflicts(
    settings: Settings,
) -> collections.abc.Iterator[str]:
    """Check that no two addresses of the file conflict."""
    used: dict[tuple[str, int], str] = {}
    own = settings.listen.control_api or control_address(settings)
    for member in settings.cluster.control:
        address = parse_address(member.address)
        if address is not None and member.address != own:
            used[address] = f"cluster.control of {member.name}"
    for key, text in msgspec.structs.asdict(settings.listen).items():
        address = parse_address(text)
        if address is None:
            continue
        for other, owner in used.items():
            if _conflict(address, other):
                yield f"listen.{key}: {text} is already used by {owner}"
        used[address] = f"listen.{key}"


def _conflict(left: tuple[str, int], right: tuple[str, int]) -> bool:
    if left[1] != right[1]:
        return False
    return left[0] == right[0] or "0.0.0.0" in (left[0], right[0])


def _check_tls(settings: Settings) -> collections.abc.Iterator[str]:
    tls = settings.tls
    for port in ("caller", "api"):
        certificate = getattr(tls, f"{port}_certificate")
        key = getattr(tls, f"{port}_key")
        if bool(certificate) != bool(key):
            missing = "key" if certificate else "certificate"
            yield f"tls.{port}_{missing}: certificate and key go together"
    if tls.api_certificate and not tls.api_ca:
        yield "tls.api_ca: needed to check the other hosts"
