"""Watches a coordinator for changes of configuration, endpoints and hosts."""

import asyncio
import zlib

from chivescale.catalog import Catalog
from chivescale.clock import now
from chivescale.errors import ErrorKind, is_failure
from chivescale.httpio import CONNECT_TIMEOUT_S
from chivescale.link import open_link
from chivescale.messages import (
    NO_LEASES,
    Empty,
    EntryHostRecord,
    ReachabilityReport,
    WatchAnswer,
    WatchRequest,
    decode,
)
from chivescale.telemetry import log_event

# Maximum time for which a coordinator holds a long poll.
LONG_POLL_MS = 700
# Time allowed for the response in addition to the hold time.
LONG_POLL_MARGIN_S = 0.4
# The same for a host that needs leases, which have to be renewed in time even
# if a coordinator has become silent.
LEASE_POLL_MS = 350
LEASE_POLL_MARGIN_S = 0.25
# Further time while the answer goes on arriving. One with a configuration can
# take seconds over a narrow link, and repeating the poll would not help.
MAX_ANSWER_TRANSFER_S = 20.0
# A coordinator without contact to a quorum for longer than this may not know
# the configuration in force; another one is used.
MAX_COORDINATOR_STALENESS_S = 0.5
RETRY_DELAY_S = 0.1
# A host that has just started serves nobody before it has a configuration.
# After a power failure, coordinators may be without power when it asks; its
# packets are lost, and TCP repeats them only after a second.
FIRST_CONNECT_TIMEOUT_S = 0.12
FIRST_RETRY_DELAY_S = 0.04
# After this many failures the coordinators are more likely overloaded than
# without power. Delay and time-out then double with each failure, because
# hundreds of hosts that keep connecting would keep up the overload.
QUICK_FIRST_POLLS = 8
MAX_FIRST_RETRY_DELAY_S = 1.0
# Such a host waits this long at one coordinator for its contact to a quorum.
FIRST_POLL_MS = 350
# A lease that ends sooner than this needs further grants at once.
MIN_LEASE_S = 0.45
# Minimum interval between attempts to return to the coordinator of the own
# zone.
SAME_ZONE_RETRY_S = 5.0
# A suspected endpoint is reported as reachable if it responds within this
# time.
REACHABILITY_TIMEOUT_S = 0.15
# One that has responded no longer ago than that usually responds again within
# this time, which saves a connection. The earlier response does not count: it
# may precede a crash by milliseconds.
NEXT_RESPONSE_WAIT_S = 0.05
RESPONSE_CHECK_S = 0.01


def first_poll_pacing(failures: int) -> tuple[float, float]:
    """Return how long a host without a configuration connects and pauses.

    Parameters
    ----------
    failures : int
        Polls that failed since the start.

    Returns
    -------
    tuple of float
        Connection time-out of the next poll and the pause before it, in
        seconds.
    """
    # The exponent is capped to avoid overflow.
    factor = 2.0 ** min(max(0, failures - QUICK_FIRST_POLLS), 16)
    return (
        min(CONNECT_TIMEOUT_S, FIRST_CONNECT_TIMEOUT_S * factor),
        min(MAX_FIRST_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * factor),
    )


class CoordinatorWatcher:
    """Long-polls one coordinator and fails over to another one.

    Parameters
    ----------
    host : RelayHost
        Host that receives the updates.

    Attributes
    ----------
    coordinators : list of str
        Addresses of the known coordinators.
    boot : str
        Boot identifier of the coordinator to which the revisions refer.
    long_poll : bool
        Whether the next request may be held; False right after a switch, so
        that the new coordinator responds immediately.
    first_failures : int
        Polls that failed before the first configuration arrived.
    """

    def __init__(self, host):
        self.host = host
        self.coordinators: list[str] = list(host.settings.seeds)
        self.current_index = 0
        self.boot = ""
        self.revision = -1
        self.hosts_revision = -1
        self.suspects: tuple[str, ...] = ()
        self.leader = ""
        self.connected = False
        self.last_updated_at = now()
        self.retry_same_zone_at = 0.0
        self.long_poll = False
        self.first_failures = 0
        self.tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Poll until cancelled."""
        self.host.rng.shuffle(self.coordinators)
        while True:
            address = self.coordinators[
                self.current_index % len(self.coordinators)
            ]
            lease_index = NO_LEASES
            if self.host.leases.needed:
                lease_index = await self.host.leases.confirm()
            sent_at = now()
            response = await self._poll(address, lease_index)
            if is_failure(response):
                await self._give_up(address, response.reason)
                continue
            self._apply_response(response)
            if response.lease is not None:
                self.host.leases.apply(response.lease, sent_at)
            if response.age_s > MAX_COORDINATOR_STALENESS_S:
                reason = f"no contact to a quorum for {response.age_s:.3g} s"
                await self._give_up(address, reason)
                continue
            self.last_updated_at = now() - response.age_s
            self._set_connected(True, address, "")
            self.long_poll = True
            if not self._leases_suffice():
                # Other coordinators may hold the grants that are missing.
                self._switch_coordinator()
                await asyncio.sleep(RETRY_DELAY_S)

    async def _give_up(self, address: str, reason: str) -> None:
        """Turn to the next coordinator after a short pause."""
        self._set_connected(False, address, reason)
        self._switch_coordinator()
        delay_s = RETRY_DELAY_S
        if self.host.catalog is None:
            self.first_failures += 1
            _, pause_s = first_poll_pacing(self.first_failures)
            delay_s = pause_s * self.host.rng.uniform(0.5, 1.5)
        await asyncio.sleep(delay_s)

    def _leases_suffice(self) -> bool:
        """Return whether the leases last until the next long poll ends."""
        host = self.host
        if not host.leases.needed:
            return True
        until = now() + MIN_LEASE_S
        return host.leases.covers(host.max_connections, until)

    async def _poll(self, address: str, lease_index: int):
        catalog, settings = self.host.catalog, self.host.settings
        connect_timeout_s = CONNECT_TIMEOUT_S
        wait_ms, margin_s = LONG_POLL_MS, LONG_POLL_MARGIN_S
        if self.host.leases.needed:
            wait_ms, margin_s = LEASE_POLL_MS, LEASE_POLL_MARGIN_S
        if catalog is None:
            wait_ms = FIRST_POLL_MS
            connect_timeout_s, _ = first_poll_pacing(self.first_failures)
        elif not self.long_poll or self.host.leases.awaits_first_grants:
            wait_ms = 0
        request = WatchRequest(
            host=EntryHostRecord(
                settings.name, settings.zone, settings.gateway_address
            ),
            leaving=self.host.stopping,
            hosts_revision=self.hosts_revision,
            boot=self.boot,
            revision=self.revision,
            version=catalog.version if catalog else -1,
            suspects=self.suspects,
            wait_ms=wait_ms,
            lease_index=lease_index,
            acknowledged=self.host.leases.acknowledged,
        )
        return await self.host.http_client.call(
            address,
            "POST",
            "/v1/watch",
            WatchAnswer,
            request,
            timeout_s=wait_ms / 1000 + margin_s,
            connect_timeout_s=connect_timeout_s,
            transfer_s=MAX_ANSWER_TRANSFER_S,
        )

    async def release_leases(self) -> None:
        """Tell the coordinator that this host uses no primary any more.

        A promotion then need not wait until the leases expire.
        """
        self.long_poll = False
        address = self.coordinators[
            self.current_index % len(self.coordinators)
        ]
        await self._poll(address, NO_LEASES)

    def add_seeds(self, seeds: list[str]) -> None:
        """Add coordinator addresses from changed settings."""
        self.coordinators += [s for s in seeds if s not in self.coordinators]

    def _switch_coordinator(self) -> None:
        self.current_index += 1
        self.long_poll = False

    def _set_connected(self, ok: bool, address: str, reason: str) -> None:
        if ok != self.connected:
            self.connected = ok
            log_event(
                "coordinator",
                "info" if ok else "warning",
                address=address,
                connected=ok,
                reason=reason,
            )

    def _apply_response(self, response: WatchAnswer) -> None:
        host = self.host
        if response.catalog and (
            host.catalog is not None
            or response.age_s <= MAX_COORDINATOR_STALENESS_S
        ):
            # A host that has just started must not use a stale configuration.
            self._apply_catalog(response.catalog)
        for update in response.endpoints:
            host.apply_endpoint_update(update)
        if response.boot != self.boot:
            self.hosts_revision = -1
        self.boot, self.revision = response.boot, response.revision
        if response.members:
            self._update_members(response.members)
        if response.hosts_revision != self.hosts_revision:
            self.hosts_revision = response.hosts_revision
            host.set_entry_hosts(response.hosts)
        self.leader = response.leader
        if response.suspects != self.suspects:
            self.suspects = response.suspects
            if self.suspects and self.leader:
                task = asyncio.ensure_future(
                    self._report_reachability(self.suspects)
                )
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    def _apply_catalog(self, packed: bytes) -> None:
        catalog = decode(zlib.decompress(packed), Catalog)
        if is_failure(catalog):
            log_event("catalog_unreadable", "error", reason=catalog.reason)
            return
        self.host.apply_catalog(catalog)

    def _update_members(self, members: dict[str, str]) -> None:
        known = set(self.coordinators)
        if set(members) - known:
            new = [m for m in members if m not in known]
            self.coordinators += new
        stale = known - set(members) - set(self.host.settings.seeds)
        current = self.coordinators[
            self.current_index % len(self.coordinators)
        ]
        self.coordinators = [m for m in self.coordinators if m not in stale]
        if current in self.coordinators:
            self.current_index = self.coordinators.index(current)
        self._prefer_same_zone(members, current)

    def _prefer_same_zone(self, members: dict[str, str], current: str) -> None:
        """Switch back to the coordinator of the own zone, if there is one."""
        zone = self.host.settings.zone
        if members.get(current) == zone or now() < self.retry_same_zone_at:
            return
        same_zone = [a for a, z in members.items() if z == zone]
        if same_zone:
            self.retry_same_zone_at = now() + SAME_ZONE_RETRY_S
            self.current_index = self.coordinators.index(same_zone[0])
            self.long_poll = False

    # Reachability reports.

    async def _report_reachability(self, suspects: tuple[str, ...]) -> None:
        """Report to the leader which suspected endpoints are reachable."""
        results = await asyncio.gather(
            *(self._is_reachable(e) for e in suspects)
        )
        reachable = {
            endpoint: reached
            for endpoint, reached in zip(suspects, results, strict=True)
            if reached is not None
        }
        if not reachable:
            return
        report = ReachabilityReport(self.host.settings.name, reachable)
        response = await self.host.http_client.call(
            self.leader,
            "POST",
            "/v1/opinions",
            Empty,
            report,
            timeout_s=REACHABILITY_TIMEOUT_S * 2,
        )
        log_event(
            "opinion",
            reachable=",".join(f"{k}:{v}" for k, v in reachable.items()),
            delivered=not is_failure(response),
        )

    async def _is_reachable(self, name: str) -> bool | None:
        """Return whether an endpoint responds; None if it is unknown."""
        endpoint = self.host.by_id.get(name)
        if endpoint is None:
            return None
        if not self.host.executor.serves(endpoint.beat.service):
            # Connections are scarce, so only gateways check the endpoint.
            return None
        if await _responds_again(endpoint):
            return True
        heartbeat = endpoint.beat
        connection = await open_link(
            self.host.endpoint_dialect,
            heartbeat.address,
            heartbeat.service,
            heartbeat.endpoint,
            REACHABILITY_TIMEOUT_S,
        )
        if is_failure(connection):
            # An endpoint that rejects a connection at its limit is running.
            return connection.kind is ErrorKind.ENDPOINT_FULL
        connection.close()
        return True


async def _responds_again(endpoint) -> bool:
    """Return whether a response follows those of the last moment."""
    started = now()
    if started - endpoint.latency_measured_at >= REACHABILITY_TIMEOUT_S:
        return False
    while now() - started < NEXT_RESPONSE_WAIT_S:
        await asyncio.sleep(RESPONSE_CHECK_S)
        if endpoint.latency_measured_at > started:
            return True
    return False
