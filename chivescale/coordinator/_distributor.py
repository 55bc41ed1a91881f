"""Distributes state to entry hosts and between coordinators."""

import asyncio
import itertools
import pathlib

from chivescale.clock import now
from chivescale.coordinator._entry_hosts import EntryHosts
from chivescale.coordinator._messages import Gossip
from chivescale.coordinator._saved_state import SavedState, load, save
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import (
    Empty,
    EndpointUpdate,
    WatchAnswer,
    WatchRequest,
    split_by_size,
)
from chivescale.registry import EndpointBeat, EndpointEntry
from chivescale.telemetry import log_event

# Upper limit of a long poll. With longer polls a host could not distinguish a
# silent connection from a system without changes.
MAX_WATCH_S = 1.0
# Interval at which a waiting poll checks the contact with the quorum.
CONTACT_CHECK_S = 0.25
# A coordinator without contact to a quorum for this long answers the polls, so
# that the entry hosts switch to another one.
MAX_QUORUM_CONTACT_AGE_S = 0.5
# Interval of the gossip about entry hosts and suspects.
GOSSIP_INTERVAL_S = 1.0
# A coordinator that does not answer within this time counts as unreachable.
GOSSIP_TIMEOUT_S = 0.4
# Heartbeats or contacts in one message, counted as encoded: far below the
# limit of the receiver, so that a slow link carries it within the time-out.
MAX_GOSSIP_BYTES = 64 << 10
# After its start, a coordinator tells the others what it has read from its
# file, in case that their files are lost.
RECALL_SHARE_S = 3.0
RECALL_INTERVAL_S = 0.25
# More endpoints than this are sent in several answers, each of which a host
# behind a narrow link receives within the time-out of its poll.
MAX_ENDPOINTS_PER_ANSWER = 100
# Minimum interval between writes of the file.
SAVE_INTERVAL_S = 2.0
# Coordinators that have to know of a draining endpoint, including this one, so
# that the information survives the loss of one of them.
MIN_URGENT_COPIES = 2


class Distributor:
    """Answers long polls of entry hosts and gossips with coordinators.

    Parameters
    ----------
    host : CoordinatorHost
        Coordinator that owns this object.

    Attributes
    ----------
    hosts : EntryHosts
        Entry hosts known to any coordinator.
    zones : dict of str to str
        Availability zones of the coordinators, by address.
    suspects : tuple of str
        Endpoints whose reachability the entry hosts should report.
    """

    def __init__(self, host):
        self.host = host
        self.hosts = EntryHosts()
        self.suspects: tuple[str, ...] = ()
        own = host.settings
        self.zones: dict[str, str] = {own.address: own.zone}
        self.waiters: set[asyncio.Future] = set()
        self.folder = pathlib.Path(own.data_dir)
        self.saved_revisions: tuple[int, int] | None = None
        self.saved_at = self.started_at = now()
        self.tasks: set[asyncio.Task] = set()

    def notify_waiters(self) -> None:
        """Wake the waiting long polls."""
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def watch(self, request: WatchRequest) -> WatchAnswer:
        """Answer a long poll, at once if anything changed."""
        received_at = now()
        self.hosts.update(request.host, request.leaving, received_at)
        self.host.leases.record_request(request)
        deadline = received_at + min(request.wait_ms / 1000, MAX_WATCH_S)
        while not self._has_changes(request) and now() < deadline:
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
        return self._build_answer(request, received_at)

    def _has_changes(self, request: WatchRequest) -> bool:
        host = self.host
        if host.contact_age_s() > MAX_QUORUM_CONTACT_AGE_S:
            # A host without a configuration cannot use an answer that may be
            # out of date. Others then turn to another coordinator.
            return request.version >= 0
        if request.version < 0:
            # After a restart of all members there is contact before the log
            # is applied.
            return host.state.catalog.version > request.version
        return (
            request.boot != host.boot_id
            or request.revision < host.registry.revision
            or request.version < host.state.catalog.version
            or request.hosts_revision != self.hosts.revision
            or request.suspects != self.suspects
            or host.leases.has_news(request)
        )

    def _build_answer(
        self, request: WatchRequest, received_at: float
    ) -> WatchAnswer:
        host = self.host
        same_process = request.boot == host.boot_id
        since = request.revision if same_process else -1
        hosts = self.hosts
        hosts_known = same_process and request.hosts_revision == hosts.revision
        catalog = host.state.catalog
        time = now()
        news = sorted(
            host.registry.changed_since(since),
            key=lambda entry: entry.revision,
        )
        part = news[:MAX_ENDPOINTS_PER_ANSWER]
        revision = host.registry.revision
        if len(part) < len(news):
            # The host asks for the rest at once.
            revision = part[-1].revision
        return WatchAnswer(
            boot=host.boot_id,
            revision=revision,
            catalog=(
                host.state.compressed_catalog
                if request.version < catalog.version
                else b""
            ),
            endpoints=tuple(_endpoint_news(entry, time) for entry in part),
            members={
                address: self.zones.get(address, "")
                for address in self._members()
            },
            leader=host.agreement.leader_address,
            age_s=min(host.contact_age_s(), 1e6),
            hosts_revision=hosts.revision,
            hosts=() if hosts_known else hosts.active,
            suspects=self.suspects,
            lease=host.leases.answer(request, received_at),
        )

    def _members(self) -> tuple[str, ...]:
        configuration = self.host.agreement.configuration
        return tuple(member.address for member in configuration.members)

    def peer_addresses(self) -> list[str]:
        """Return the addresses of the other coordinators."""
        own = self.host.settings.address
        known = {*self._members(), *self.host.settings.seeds}
        return sorted(known - {own})

    async def share_heartbeat(
        self, heartbeat: EndpointBeat, urgent: bool
    ) -> Failure | None:
        """Send a heartbeat to the other coordinators.

        Parameters
        ----------
        heartbeat : EndpointBeat
            Heartbeat to send.
        urgent : bool
            Whether to wait until another coordinator has confirmed it.
        """
        gossip = Gossip(beats=(heartbeat,))
        calls = [
            self._send_gossip(address, gossip)
            for address in self.peer_addresses()
        ]
        if not urgent:
            return None
        copies = 1
        for answer in asyncio.as_completed(calls):
            copies += not is_failure(await answer)
            if copies >= MIN_URGENT_COPIES:
                return None
        reason = "no other coordinator confirmed the heartbeat"
        return Failure(ErrorKind.NO_QUORUM, reason)

    def share_suspects(self, suspects: tuple[str, ...]) -> None:
        """Send the suspected endpoints to coordinators and entry hosts."""
        if suspects == self.suspects:
            return
        self.suspects = suspects
        self.notify_waiters()
        for address in self.peer_addresses():
            self._send_gossip(address, Gossip(suspects=suspects))

    def share_departures(self, beats: tuple[EndpointBeat, ...]) -> None:
        """Send the replicas that a successor has to wait for."""
        for address in self.peer_addresses():
            self._send_gossip(address, Gossip(departures=beats))

    def _send_gossip(self, address: str, gossip: Gossip) -> asyncio.Task:
        task = asyncio.ensure_future(
            self.host.client.call(
                address,
                "POST",
                "/v1/gossip",
                Empty,
                gossip,
                timeout_s=GOSSIP_TIMEOUT_S,
            )
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def _gossip_parts(self, time: float, recalling: bool) -> list[Gossip]:
        """Return what the other coordinators should know, in messages."""
        beats = []
        if recalling:
            entries = self.host.registry.entries.values()
            beats = [entry.heartbeat for entry in entries]
        parts = itertools.zip_longest(
            split_by_size(beats, MAX_GOSSIP_BYTES),
            split_by_size(self.hosts.to_gossip(time), MAX_GOSSIP_BYTES),
            fillvalue=(),
        )
        return [
            Gossip(
                sender=self.host.settings.address,
                zone=self.host.settings.zone,
                beats=beats,
                hosts=hosts,
                suspects=self.suspects if self.host.leading else None,
            )
            for beats, hosts in list(parts) or [((), ())]
        ]

    def merge_gossip(self, gossip: Gossip) -> None:
        """Apply the state that another coordinator sent."""
        time = now()
        known = (self.host.registry.revision, self.suspects)
        for heartbeat in gossip.beats:
            if not self.host.is_foreign(heartbeat):
                self.host.registry.record_heartbeat(heartbeat, time)
        self.hosts.merge(gossip.hosts, time)
        if gossip.sender:
            self.zones[gossip.sender] = gossip.zone
        if gossip.suspects is not None:
            self.suspects = gossip.suspects
        if gossip.departures is not None and not self.host.leading:
            self.host.promoter.departures.learn(gossip.departures)
        # Most heartbeats tell nothing new.
        if (self.host.registry.revision, self.suspects) != known:
            self.notify_waiters()

    def recall(self) -> None:
        """Take over what this host knew before it was restarted.

        Recalled endpoints and hosts expire like others if nothing is heard of
        them. A connection names the endpoint that it is meant for, so that
        another one at the same address refuses it.
        """
        state = load(self.folder)
        time = now()
        for heartbeat in state.endpoints:
            self.host.registry.record_heartbeat(heartbeat, time)
        for record in state.hosts:
            self.hosts.update(record, False, time)
        log_event(
            "state_recalled",
            endpoints=len(state.endpoints),
            hosts=len(state.hosts),
        )

    def _save(self, time: float) -> None:
        """Write the file if an endpoint or an entry host has changed."""
        registry = self.host.registry
        revisions = (registry.revision, self.hosts.revision)
        if (
            revisions == self.saved_revisions
            or time - self.saved_at < SAVE_INTERVAL_S
        ):
            return
        beats = tuple(entry.heartbeat for entry in registry.entries.values())
        self.saved_at = time
        if save(self.folder, SavedState(beats, self.hosts.active)):
            self.saved_revisions = revisions

    async def run(self) -> None:
        """Expire old entries and exchange soft state at intervals."""
        while True:
            time = now()
            self.host.registry.expire(time)
            self.hosts.expire(time)
            recalling = time - self.started_at < RECALL_SHARE_S
            parts = self._gossip_parts(time, recalling)
            for address in self.peer_addresses():
                for gossip in parts:
                    self._send_gossip(address, gossip)
            self._save(time)
            await asyncio.sleep(
                RECALL_INTERVAL_S if recalling else GOSSIP_INTERVAL_S
            )


def _endpoint_news(entry: EndpointEntry, time: float) -> EndpointUpdate:
    since = entry.primary_since
    return EndpointUpdate(entry.heartbeat, time - since if since else -1.0)
