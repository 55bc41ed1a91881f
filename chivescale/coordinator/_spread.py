"""Spreads configuration and endpoints to coordinators and entry hosts."""

import asyncio

from chivescale.clock import now
from chivescale.coordinator._entry_hosts import EntryHosts
from chivescale.coordinator._messages import Gossip
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import (
    Done,
    EndpointNews,
    WatchAnswer,
    WatchRequest,
)
from chivescale.registry import EndpointBeat, EndpointEntry

# Upper limit of a long poll; a host that waits longer could not tell a
# silent connection from a quiet system.
MAX_WATCH_S = 1.0
# How often a waiting poll looks whether contact was lost.
CONTACT_CHECK_S = 0.25
# A coordinator that has not heard of a quorum for this long tells the entry
# hosts, so that they turn to another one.
LOST_CONTACT_S = 0.5
# Period in which coordinators tell each other which entry hosts they heard.
EXCHANGE_S = 1.0
# Another coordinator answers within this time or counts as out of reach.
SHARE_TIMEOUT_S = 0.4
# With this many coordinators knowing of a leaving endpoint, the loss of one
# loses nothing.
COPIES_OF_URGENT = 2


class Spread:
    """Long polls of entry hosts and gossip between coordinators.

    Parameters
    ----------
    host : CoordinatorHost
        Owner.

    Attributes
    ----------
    hosts : EntryHosts
        Entry hosts heard by any coordinator.
    zones : dict of str to str
        Zones of the coordinators by address.
    suspects : tuple of str
        Endpoints about which the leader wants an opinion.
    """

    def __init__(self, host):
        self.host = host
        self.hosts = EntryHosts()
        self.suspects: tuple[str, ...] = ()
        own = host.settings
        self.zones: dict[str, str] = {own.address: own.zone}
        self.waiters: set[asyncio.Future] = set()
        self.tasks: set[asyncio.Task] = set()

    def wake(self) -> None:
        """Answer the waiting long polls."""
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def watch(self, request: WatchRequest) -> WatchAnswer:
        """Answer a long poll as soon as there is news."""
        self.hosts.note(request.host, request.leaving, now())
        deadline = now() + min(request.wait_ms / 1000, MAX_WATCH_S)
        while not self._has_news(request) and now() < deadline:
            waiter = asyncio.get_running_loop().create_future()
            self.waiters.add(waiter)
            try:
                left = max(0.0, deadline - now())
                async with asyncio.timeout(min(left, CONTACT_CHECK_S)):
                    await waiter
            except TimeoutError:
                continue
            finally:
                self.waiters.discard(waiter)
        return self._answer(request)

    def _has_news(self, request: WatchRequest) -> bool:
        host = self.host
        return (
            host.contact_age_s() > LOST_CONTACT_S
            or request.boot != host.boot
            or request.revision < host.registry.revision
            or request.version < host.state.catalog.version
            or request.hosts_revision != self.hosts.revision
            or request.suspects != self.suspects
        )

    def _answer(self, request: WatchRequest) -> WatchAnswer:
        host = self.host
        same_boot = request.boot == host.boot
        since = request.revision if same_boot else -1
        hosts = self.hosts
        hosts_known = same_boot and request.hosts_revision == hosts.revision
        catalog = host.state.catalog
        time = now()
        return WatchAnswer(
            boot=host.boot,
            revision=host.registry.revision,
            catalog=(
                host.state.packed_catalog
                if request.version < catalog.version
                else b""
            ),
            endpoints=tuple(
                _news(entry, time)
                for entry in host.registry.changed_since(since)
            ),
            members={
                address: self.zones.get(address, "")
                for address in self._members()
            },
            leader=host.agreement.leader_address,
            age_s=min(host.contact_age_s(), 1e6),
            hosts_revision=hosts.revision,
            hosts=() if hosts_known else hosts.staying,
            suspects=self.suspects,
        )

    def _members(self) -> tuple[str, ...]:
        configuration = self.host.agreement.configuration
        return tuple(member.address for member in configuration.members)

    def others(self) -> list[str]:
        """Return the addresses of the other coordinators."""
        own = self.host.settings.address
        known = {*self._members(), *self.host.settings.seeds}
        return sorted(known - {own})

    async def share(self, beat: EndpointBeat, urgent: bool) -> Failure | None:
        """Tell the other coordinators of an endpoint.

        Parameters
        ----------
        beat : EndpointBeat
            Statement of the endpoint.
        urgent : bool
            Whether to wait until another coordinator has it.
        """
        self.wake()
        gossip = Gossip(beats=(beat,))
        calls = [self._send(address, gossip) for address in self.others()]
        if not urgent:
            return None
        copies = 1
        for answer in asyncio.as_completed(calls):
            copies += not is_failure(await answer)
            if copies >= COPIES_OF_URGENT:
                return None
        reason = "no other coordinator could be told"
        return Failure(ErrorKind.NO_QUORUM, reason)

    def share_suspects(self, suspects: tuple[str, ...]) -> None:
        """Tell everyone which endpoints the leader suspects."""
        if suspects == self.suspects:
            return
        self.suspects = suspects
        self.wake()
        for address in self.others():
            self._send(address, Gossip(suspects=suspects))

    def _send(self, address: str, gossip: Gossip) -> asyncio.Task:
        task = asyncio.ensure_future(
            self.host.client.call(
                address,
                "POST",
                "/v1/gossip",
                Done,
                gossip,
                timeout_s=SHARE_TIMEOUT_S,
            )
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def merge(self, gossip: Gossip) -> None:
        """Take over what another coordinator knows."""
        time = now()
        news = [
            self.host.registry.record_heartbeat(beat, time)
            for beat in gossip.beats
        ]
        self.hosts.merge(gossip.hosts, time)
        if gossip.sender:
            self.zones[gossip.sender] = gossip.zone
        if gossip.suspects is not None:
            news.append(gossip.suspects != self.suspects)
            self.suspects = gossip.suspects
        if any(news):
            self.wake()

    async def run(self) -> None:
        """Exchange soft state at intervals."""
        while True:
            await asyncio.sleep(EXCHANGE_S)
            time = now()
            self.host.registry.expire(time)
            self.hosts.expire(time)
            gossip = Gossip(
                sender=self.host.settings.address,
                zone=self.host.settings.zone,
                hosts=self.hosts.to_message(time),
                suspects=self.suspects if self.host.leading else None,
            )
            for address in self.others():
                self._send(address, gossip)


def _news(entry: EndpointEntry, time: float) -> EndpointNews:
    since = entry.primary_since
    return EndpointNews(entry.heartbeat, time - since if since else -1.0)
