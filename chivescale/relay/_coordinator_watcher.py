"""Follows the coordinators: configuration, endpoints, suspicions."""

import asyncio
import zlib

from chivescale.catalog import Catalog
from chivescale.clock import now
from chivescale.errors import ErrorKind, is_failure
from chivescale.link import open_link
from chivescale.messages import (
    Done,
    EntryHostRecord,
    OpinionReport,
    WatchAnswer,
    WatchRequest,
    decode,
)
from chivescale.telemetry import log_event

# A long poll is held by the coordinator for up to this long.
WATCH_MS = 700
# Beyond the hold, an answer may take this long.
WATCH_SLACK_S = 0.4
# A coordinator that has not been in contact with a quorum for longer does
# not know what is in force; another one is asked.
MAX_AGE_S = 0.5
RETRY_PAUSE_S = 0.1
# The coordinator of the own zone is tried again this long after it failed.
OWN_ZONE_RETRY_S = 5.0
# A suspected endpoint is reachable if it answers within this time, or did so
# no longer ago.
OPINION_TIMEOUT_S = 0.15


class Follower:
    """Long polls one coordinator, and another one when that fails.

    Parameters
    ----------
    host : RelayHost
        Owner.
    """

    def __init__(self, host):
        self.host = host
        self.members: list[str] = list(host.settings.seeds)
        self.current = 0
        self.boot = ""
        self.revision = -1
        self.hosts_revision = -1
        self.suspects: tuple[str, ...] = ()
        self.leader = ""
        self.connected = False
        self.fresh_at = now()
        self.retry_own_zone_at = 0.0
        self.waits = False
        self.tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Follow until cancelled."""
        self.host.rng.shuffle(self.members)
        while True:
            address = self.members[self.current % len(self.members)]
            answer = await self._poll(address)
            if is_failure(answer):
                self._note_connection(False, address, answer.reason)
                self._switch()
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self._apply(answer)
            if answer.age_s > MAX_AGE_S:
                reason = f"out of contact for {answer.age_s:.3g} s"
                self._note_connection(False, address, reason)
                self._switch()
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self.fresh_at = now() - answer.age_s
            self._note_connection(True, address, "")
            self.waits = True

    async def _poll(self, address: str):
        catalog, settings = self.host.catalog, self.host.settings
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
            wait_ms=WATCH_MS if self.waits else 0,
        )
        return await self.host.client.call(
            address,
            "POST",
            "/v1/watch",
            WatchAnswer,
            request,
            timeout_s=(WATCH_MS / 1000 if self.waits else 0) + WATCH_SLACK_S,
        )

    def add_seeds(self, seeds: list[str]) -> None:
        """Take over addresses from changed settings."""
        self.members += [s for s in seeds if s not in self.members]

    def _switch(self) -> None:
        self.current += 1
        self.waits = False

    def _note_connection(self, ok: bool, address: str, reason: str) -> None:
        if ok != self.connected:
            self.connected = ok
            log_event(
                "coordinator",
                "info" if ok else "warning",
                address=address,
                connected=ok,
                reason=reason,
            )

    def _apply(self, answer: WatchAnswer) -> None:
        host = self.host
        if answer.catalog and (
            host.catalog is not None or answer.age_s <= MAX_AGE_S
        ):
            # A host that just started must not begin with an old one.
            self._apply_catalog(answer.catalog)
        for news in answer.endpoints:
            host.apply_news(news)
        if answer.boot != self.boot:
            self.hosts_revision = -1
        self.boot, self.revision = answer.boot, answer.revision
        if answer.members:
            self._update_members(answer.members)
        if answer.hosts_revision != self.hosts_revision:
            self.hosts_revision = answer.hosts_revision
            host.set_entry_hosts(answer.hosts)
        self.leader = answer.leader
        if answer.suspects != self.suspects:
            self.suspects = answer.suspects
            if self.suspects and self.leader:
                task = asyncio.ensure_future(self._report(self.suspects))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    def _apply_catalog(self, packed: bytes) -> None:
        catalog = decode(zlib.decompress(packed), Catalog)
        if is_failure(catalog):
            log_event("catalog_unreadable", "error", reason=catalog.reason)
            return
        self.host.apply_catalog(catalog)

    def _update_members(self, members: dict[str, str]) -> None:
        known = set(self.members)
        if set(members) - known:
            new = [m for m in members if m not in known]
            self.members += new
        stale = known - set(members) - set(self.host.settings.seeds)
        current = self.members[self.current % len(self.members)]
        self.members = [m for m in self.members if m not in stale]
        if current in self.members:
            self.current = self.members.index(current)
        self._prefer_own_zone(members, current)

    def _prefer_own_zone(self, members: dict[str, str], current: str) -> None:
        """Return to the coordinator of the own zone once it works again."""
        zone = self.host.settings.zone
        if members.get(current) == zone or now() < self.retry_own_zone_at:
            return
        near = [a for a, z in members.items() if z == zone]
        if near:
            self.retry_own_zone_at = now() + OWN_ZONE_RETRY_S
            self.current = self.members.index(near[0])
            self.waits = False

    # Opinions.

    async def _report(self, suspects: tuple[str, ...]) -> None:
        """Tell the leader which suspected endpoints this host reaches."""
        checks = await asyncio.gather(*(self._reaches(e) for e in suspects))
        reachable = {
            endpoint: reached
            for endpoint, reached in zip(suspects, checks, strict=True)
            if reached is not None
        }
        if not reachable:
            return
        report = OpinionReport(self.host.settings.name, reachable)
        answer = await self.host.client.call(
            self.leader,
            "POST",
            "/v1/opinions",
            Done,
            report,
            timeout_s=OPINION_TIMEOUT_S * 2,
        )
        log_event(
            "opinion",
            reachable=",".join(f"{k}:{v}" for k, v in reachable.items()),
            delivered=not is_failure(answer),
        )

    async def _reaches(self, name: str) -> bool | None:
        """Tell whether an endpoint answers; None if it is not known."""
        endpoint = self.host.by_id.get(name)
        if endpoint is None:
            return None
        if not self.host.executor.serves(endpoint.beat.service):
            # Its gateways know; connections are scarce.
            return None
        if now() - endpoint.measured_at < OPINION_TIMEOUT_S:
            return True
        beat = endpoint.beat
        link = await open_link(
            self.host.endpoints,
            beat.address,
            beat.service,
            beat.endpoint,
            OPINION_TIMEOUT_S,
        )
        if is_failure(link):
            # An endpoint that refuses another connection lives.
            return link.kind is ErrorKind.ENDPOINT_FULL
        link.close()
        return True
