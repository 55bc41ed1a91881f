"""Grants leases on primaries and revokes them before a promotion."""

import asyncio
import zlib

import msgspec

from chivescale.agreement import COMMAND
from chivescale.clock import now
from chivescale.coordinator._messages import (
    Command,
    LeaseRequest,
    OrderPromotion,
    RevokeAnswer,
    RevokeRequest,
)
from chivescale.coordinator._replicated import promotion_epoch
from chivescale.errors import is_failure
from chivescale.lease import (
    GRANT_S,
    Epoch,
    Grantor,
    GroupView,
    LeaseAnswer,
    RevocationStatus,
    is_revoked,
    unconfirmed_hosts,
)
from chivescale.messages import NO_LEASES, Position, WatchRequest, decode
from chivescale.telemetry import COUNTERS, log_event

# Interval at which a coordinator renews the grants that it passes on.
EXCHANGE_INTERVAL_S = 0.25
# A coordinator that does not answer within this time is asked again.
CALL_TIMEOUT_S = 0.3
# Time for which an order to revoke waits for the entry hosts to confirm.
REVOKE_WAIT_S = 0.03
RETRY_DELAY_S = 0.02
CHECK_INTERVAL_S = 0.01
# Interval at which the leader logs for which hosts a promotion waits.
LOG_INTERVAL_S = 0.25


class LeaseManager:
    """Leases of this coordinator.

    Parameters
    ----------
    host : CoordinatorHost
        Coordinator that owns this object.

    Attributes
    ----------
    grantor : Grantor
        Grants made and received.
    quorum_changed_at : float
        Time at which this coordinator noticed the latest set of voters.
    acknowledged : dict of str to Position
        Highest position of each service that an entry host has reported as
        confirmed to a caller.
    """

    def __init__(self, host):
        self.host = host
        self.grantor = Grantor(host.settings.address, now())
        self.quorum = ""
        self.quorum_changed_at = now()
        self.confirmed = asyncio.Event()
        self.acknowledged: dict[str, Position] = {}

    @property
    def enabled(self) -> bool:
        """Whether the primaries of all services are used under leases."""
        return not self.host.settings.endpoints_fenced

    def guards(self, service: str) -> bool:
        """Return whether a service is written to in open epochs only.

        An endpoint that is fenced refuses writes once its successor leads.
        It cannot know that the successor was chosen without its last commits,
        so with synchronous replicas the entry hosts stop writing first.
        """
        return self.host.sync_replicas(service) > 0

    def _in_use(self) -> bool:
        """Return whether any service needs leases."""
        catalog = self.host.state.catalog.catalog
        return self.enabled or any(
            options.sync_replicas
            for options in (catalog.services if catalog else ())
        )

    def epoch(self, service: str) -> Epoch:
        """Return the committed epoch of a service."""
        return self.grantor.table.get(service)

    def learn(self, epochs: dict[str, Epoch]) -> None:
        """Merge committed epochs and tell the entry hosts."""
        index = self.grantor.table.index
        self.grantor.learn(epochs)
        if self.grantor.table.index > index:
            self.host.distributor.notify_waiters()

    # State of the group.

    def view(self) -> GroupView:
        """Return what the log says about voters and promotions."""
        machine = self.host.agreement.machine
        if machine is None or self.host.agreement.failure is not None:
            return GroupView("", 0, False)
        voters = sorted(
            f"{member.name}/{member.incarnation}"
            for member in machine.configuration.members
            if member.voter
        )
        quorum = f"{zlib.crc32(','.join(voters).encode()):08x}"
        if quorum != self.quorum:
            self.quorum, self.quorum_changed_at = quorum, now()
        own = machine.own_member
        pending = {
            command.service
            for _, command in self._promotions_after(machine.applied)
        }
        return GroupView(
            quorum,
            len(voters),
            machine.formed and own is not None and own.voter,
            tuple(sorted(pending)),
        )

    def _promotions_after(
        self, index: int
    ) -> list[tuple[int, OrderPromotion]]:
        """Return the promotions in the log above `index`."""
        found = []
        for entry in self.host.agreement.machine.log.entries_after(index):
            if entry.kind != COMMAND:
                continue
            command = decode(entry.data, Command)
            if isinstance(command, OrderPromotion):
                found.append((entry.index, command))
        return found

    def _voters(self) -> list[str]:
        configuration = self.host.agreement.configuration
        return [m.address for m in configuration.members if m.voter]

    # Entry hosts.

    def record_request(self, request: WatchRequest) -> None:
        """Record what an entry host confirms with its poll."""
        self._record_acknowledged(request.acknowledged)
        if request.lease_index == NO_LEASES:
            self.grantor.release(request.host.name)
            return
        self.grantor.record_request(request.host.name, request.lease_index)
        self.confirmed.set()

    def _record_acknowledged(self, positions: dict[str, Position]) -> None:
        for service, position in positions.items():
            known = self.acknowledged.get(service, position)
            self.acknowledged[service] = max(known, position)

    def _forget_unguarded(self) -> None:
        """Drop the positions of services that may lose commits now."""
        for service in list(self.acknowledged):
            if not self.guards(service):
                del self.acknowledged[service]

    def has_news(self, request: WatchRequest) -> bool:
        """Return whether an epoch began that the host does not know."""
        index = request.lease_index
        return index != NO_LEASES and index < self.grantor.table.index

    def answer(
        self, request: WatchRequest, received_at: float
    ) -> LeaseAnswer | None:
        """Return the grants for an entry host; None if it uses none."""
        if request.lease_index == NO_LEASES:
            return None
        COUNTERS.count("lease_grants", "entry_host")
        return self.grantor.answer_host(
            request.host.name,
            request.lease_index,
            self.view(),
            received_at,
            now(),
        )

    # Other coordinators.

    async def run(self) -> None:
        """Renew the grants of the other coordinators at intervals."""
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_S)
            own = self.host.settings.address
            self._forget_unguarded()
            if not self._in_use() or not self.view().is_voter:
                continue
            for address in self._voters():
                if address != own:
                    self.host.run_in_background(self._renew(address))

    async def _renew(self, address: str) -> None:
        sent_at = now()
        request = LeaseRequest(
            self.host.settings.address, self.grantor.table.index
        )
        answer = await self.host.client.call(
            address,
            "POST",
            "/v1/lease",
            LeaseAnswer,
            request,
            timeout_s=CALL_TIMEOUT_S,
        )
        if not is_failure(answer):
            self.learn(answer.epochs)
            self.grantor.record_answer(answer, sent_at)

    def on_lease_request(self, request: LeaseRequest) -> LeaseAnswer:
        """Answer another coordinator."""
        return self.grantor.answer_peer(
            request.sender, request.index, self.view(), now()
        )

    async def on_revoke(self, request: RevokeRequest) -> RevokeAnswer:
        """Withdraw from older epochs; wait until the hosts confirm."""
        deadline = now() + REVOKE_WAIT_S
        while True:
            status = self._status(request)
            left_s = deadline - now()
            if left_s <= 0 or (status.withdrawn and not status.unconfirmed_s):
                return RevokeAnswer(
                    **msgspec.structs.asdict(status),
                    acknowledged=dict(self.acknowledged),
                )
            self.confirmed.clear()
            try:
                async with asyncio.timeout(min(left_s, CHECK_INTERVAL_S)):
                    await self.confirmed.wait()
            except TimeoutError:
                continue

    def _status(self, request: RevokeRequest) -> RevocationStatus:
        """Return whether older epochs have ended here.

        The leader knows the promotion as committed. It has to be in the
        durable log of this member, so that the grants of this member do not
        support older epochs after a restart either.
        """
        agreement = self.host.agreement
        machine, index = agreement.machine, request.index
        if machine is None or agreement.failure is not None:
            return RevocationStatus(False)
        in_log = machine.log.term_at(index) == request.term
        if in_log and self.grantor.table.index < index:
            for position, command in self._promotions_after(machine.applied):
                if position <= index:
                    self.learn(promotion_epoch(position, command))
        status = self.grantor.status(index, now())
        if in_log or machine.applied >= index:
            return status
        return RevocationStatus(False)

    # Leader.

    async def revoke(self, index: int) -> None:
        """Return when no lease on an epoch below `index` is left.

        Parameters
        ----------
        index : int
            Log index of a promotion that this host applied as leader.
        """
        started_at = logged_at = now()
        term = self.host.agreement.machine.log.term_at(index)
        request = RevokeRequest(index, term or 0)
        statuses: dict[str, tuple[float, RevocationStatus]] = {}
        changed = asyncio.Event()
        calls: dict[str, asyncio.Task] = {}
        try:
            while not self._all_revoked(statuses):
                # A coordinator may become a voter meanwhile.
                for member in set(self._voters()) - calls.keys():
                    calls[member] = asyncio.ensure_future(
                        self._revoke_at(member, request, statuses, changed)
                    )
                changed.clear()
                if now() > logged_at + LOG_INTERVAL_S:
                    logged_at = now()
                    self._log_awaited(index, statuses)
                try:
                    async with asyncio.timeout(CHECK_INTERVAL_S):
                        await changed.wait()
                except TimeoutError:
                    continue
        finally:
            for call in calls.values():
                call.cancel()
        waited_s = now() - started_at
        COUNTERS.observe("lease", "revocation", waited_s)
        log_event(
            "leases_revoked",
            index=index,
            duration_s=waited_s,
            members=",".join(statuses),
        )

    def _log_awaited(self, index: int, statuses) -> None:
        """Log for which coordinators and entry hosts a promotion waits."""
        confirmed = {h for _, s in statuses.values() for h in s.confirmed}
        awaited = {
            host
            for received_at, status in statuses.values()
            for host in unconfirmed_hosts(
                received_at, status, confirmed, now()
            )
        }
        silent = set(self._voters()) - statuses.keys()
        log_event(
            "leases_awaited",
            index=index,
            hosts=",".join(sorted(awaited)),
            coordinators=",".join(sorted(silent)),
        )

    def _all_revoked(self, statuses) -> bool:
        """Return whether the leases have ended.

        Grants that refer to a former set of voters count until they expire.
        """
        self.view()
        time = now()
        return time >= self.quorum_changed_at + GRANT_S and is_revoked(
            statuses, self._voters(), time
        )

    async def _revoke_at(
        self,
        member: str,
        request: RevokeRequest,
        statuses: dict[str, tuple[float, RevocationStatus]],
        changed: asyncio.Event,
    ) -> None:
        """Ask one coordinator until the caller knows enough.

        A host whose grants another coordinator has made may turn to this one
        and confirm here, even after this one has withdrawn its own.
        """
        while True:
            if member == self.host.settings.address:
                status = await self.on_revoke(request)
            else:
                status = await self.host.client.call(
                    member,
                    "POST",
                    "/v1/revoke",
                    RevokeAnswer,
                    request,
                    timeout_s=CALL_TIMEOUT_S + REVOKE_WAIT_S,
                )
            if not is_failure(status):
                self._record_acknowledged(status.acknowledged)
                statuses[member] = (now(), status)
                changed.set()
            await asyncio.sleep(RETRY_DELAY_S)
