"""Leases on primaries, as used by the statements of an entry host."""

import asyncio
import collections
import typing

from chivescale.clock import now
from chivescale.errors import ErrorKind, Failure
from chivescale.lease import Epoch, LeaseAnswer, LeaseHolder
from chivescale.messages import Position
from chivescale.telemetry import COUNTERS, log_decision, log_event

# Epoch index of statements that need no lease: those of services without
# leases, and reads where endpoints are fenced.
UNLEASED = -1
READ_UNLEASED = -2
# While an epoch is replaced, writes already sent to a primary that works have
# this long to finish; otherwise they take this long at most to fail.
PLANNED_DRAIN_S = 0.25
UNPLANNED_DRAIN_S = 0.05
# Grants arrive at least this often while a coordinator answers. Later, a
# statement does not wait for a lease.
GRANT_INTERVAL_S = 0.5


class TermLeases:
    """Leases of an entry host and the statements that wait for them.

    Parameters
    ----------
    endpoints_fenced : bool
        Whether an endpoint refuses writes as soon as another one was promoted
        in its place. If so, only writes to guarded services need leases;
        otherwise every use of a primary does.

    Attributes
    ----------
    guarded : frozenset of str
        Services with synchronous replicas.
    holder : LeaseHolder
        Epochs and grants.
    changed : asyncio.Event
        Set when grants arrive; replaced by a new event each time.
    in_flight : collections.Counter of (str, int)
        Writes by service and epoch index that were sent under a lease and
        not answered yet.
    applied_at : float
        Time of the latest answer of a coordinator.
    acknowledged : dict of str to Position
        Highest known position of each guarded service that is not beyond the
        last commit confirmed to a caller.
    """

    def __init__(self, endpoints_fenced: bool = False):
        self.endpoints_fenced = endpoints_fenced
        self.guarded: frozenset[str] = frozenset()
        self.holder = LeaseHolder()
        self.changed = asyncio.Event()
        self.idle = asyncio.Event()
        self.in_flight: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self.applied_at = 0.0
        self.acknowledged: dict[str, Position] = {}

    @property
    def needed(self) -> bool:
        """Whether this host has to ask for leases."""
        return not self.endpoints_fenced or bool(self.guarded)

    @property
    def awaits_first_grants(self) -> bool:
        """Whether writes need leases and no grant is known."""
        return bool(self.guarded) and not self.holder.quorums

    def guard(self, services: typing.Iterable[str]) -> None:
        """Set the services whose writes need leases on any deployment."""
        guarded = frozenset(services)
        if guarded - self.guarded:
            # The first grants are on their way.
            self.applied_at = now()
        self.guarded = guarded
        for service in self.acknowledged.keys() - guarded:
            del self.acknowledged[service]

    def needs_lease(self, service: str, reads: bool = False) -> bool:
        """Return whether a statement on the primary needs a lease.

        A primary that is fenced begins no transaction once its successor
        leads, so reads there are never stale.
        """
        if not self.endpoints_fenced:
            return True
        return not reads and service in self.guarded

    def apply(self, answer: LeaseAnswer, sent_at: float) -> None:
        """Apply epochs and grants from a coordinator."""
        self.applied_at = time = now()
        self.holder.apply(answer, sent_at, time)
        for service, retired in self.holder.retired.items():
            if service in answer.epochs:
                self._log_retired(service, retired, time)
        self.changed.set()
        self.changed = asyncio.Event()

    def _log_retired(self, service: str, retired, time: float) -> None:
        epoch = self.holder.epoch(service)
        log_event(
            "epoch_began",
            service=service,
            index=epoch.index,
            endpoint=epoch.endpoint,
            planned=epoch.planned,
            former=retired.index,
            former_lease_s=max(0.0, retired.until - time),
            writes=self.in_flight[service, retired.index],
        )

    def covers(self, services: typing.Iterable[str], time: float) -> bool:
        """Return whether the leases that services need last until `time`.

        While a primary is being replaced, there are none to be had.
        """
        return all(
            self.holder.held_until(name) > time
            for name in services
            if self.needs_lease(name) and self.current(name).open
        )

    async def confirm(self) -> int:
        """Stop using replaced epochs, after the writes sent under them.

        Returns
        -------
        int
            Epoch index to report to the coordinators.
        """
        retired = self.holder.retired
        if retired:
            planned = any(epoch.planned for epoch in retired.values())
            deadline = now() + (
                PLANNED_DRAIN_S if planned else UNPLANNED_DRAIN_S
            )
            while any(
                self.in_flight[name, epoch.index]
                for name, epoch in retired.items()
            ):
                self.idle.clear()
                try:
                    async with asyncio.timeout(max(0.0, deadline - now())):
                        await self.idle.wait()
                except TimeoutError:
                    break
        return self.holder.confirm()

    # Statements.

    def current(self, service: str) -> Epoch:
        """Return the current epoch of a service."""
        return self.holder.epoch(service)

    def required_epoch(self, service: str, index: int) -> Epoch | None:
        """Return the epoch that names the primary for a statement.

        Parameters
        ----------
        service : str
            Name of the service.
        index : int
            Result of `acquire`.

        Returns
        -------
        Epoch or None
            None if the claims of the endpoints count.
        """
        unleased = index in (UNLEASED, READ_UNLEASED)
        return None if unleased else self.current(service)

    def holds(self, service: str, index: int, time: float) -> bool:
        """Return whether the lease on an epoch covers `time`."""
        if index == READ_UNLEASED:
            return True
        if index == UNLEASED:
            # The configuration may have guarded the service since.
            return not self.needs_lease(service)
        return self.holder.holds(service, index, time)

    async def acquire(
        self, service: str, wait_s: float, reads: bool = False
    ) -> int | Failure:
        """Return the index of the current epoch once a lease on it is held.

        Parameters
        ----------
        service : str
            Name of the service.
        wait_s : float
            Maximum wait in seconds.
        reads : bool
            Whether the statement or transaction only reads.

        Returns
        -------
        int or Failure
            ``NO_LEASE`` if there is no lease in time, ``NO_PRIMARY`` if the
            primary is being replaced. An index without an epoch if no lease
            is needed.
        """
        if not self.needs_lease(service, reads):
            return READ_UNLEASED if reads else UNLEASED
        deadline = now() + wait_s
        while True:
            index = self.current(service).index
            if self.holds(service, index, now()):
                return index
            if not await self._wait_for_change(deadline):
                return self._no_lease_failure(service, index)

    async def verify(
        self, service: str, index: int, wait_s: float
    ) -> Failure | None:
        """Return None once the lease on an epoch is held at this moment.

        A lease that was renewed after a gap is as good as one without: no
        later epoch began meanwhile.
        """
        deadline = now() + wait_s
        while not self.holds(service, index, now()):
            if self.current(service).index != index or (
                not await self._wait_for_change(deadline)
            ):
                return self._no_lease_failure(service, index)
        return None

    async def _wait_for_change(self, deadline: float) -> bool:
        time = now()
        left_s = deadline - time
        if left_s <= 0 or time - self.applied_at > GRANT_INTERVAL_S:
            return False
        try:
            async with asyncio.timeout(left_s):
                await self.changed.wait()
        except TimeoutError:
            return False
        return True

    def _no_lease_failure(self, service: str, index: int) -> Failure:
        epoch = self.current(service)
        age_s = now() - self.holder.held_until(service)
        if not epoch.open:
            reason = f"the primary of {service} is being replaced"
            return Failure(ErrorKind.NO_PRIMARY, reason)
        if epoch.index != index:
            cause = f"epoch {epoch.index} of {epoch.endpoint} began"
        elif self.holder.held_until(service):
            cause = f"it expired {age_s:.3f} s ago"
        else:
            cause = "no majority of the coordinators has granted it"
        reason = f"no lease on epoch {index} of {service}: {cause}"
        COUNTERS.count("lease_missing", service)
        log_decision("lease_missing", reason=reason)
        return Failure(ErrorKind.NO_LEASE, reason)

    def begin_write(self, service: str, index: int) -> None:
        """Count a write that is about to be sent."""
        self.in_flight[service, index] += 1

    def record_commit(
        self,
        service: str,
        before: Position | None,
        after: Position | None,
    ) -> None:
        """Record that a caller is told of a commit.

        Parameters
        ----------
        service : str
            Name of the service.
        before, after : Position or None
            Positions that the primary reported before the commit was sent
            and with its answer. The second one may count commits that no
            replica has received yet.
        """
        if service not in self.guarded or after is None:
            return
        proved = Position(after.term, 0)
        if before is not None and before.term == after.term:
            if after.position <= before.position:
                # The statement changed nothing.
                return
            proved = Position(after.term, before.position + 1)
        known = self.acknowledged.get(service, proved)
        self.acknowledged[service] = max(known, proved)

    def end_write(self, service: str, index: int) -> None:
        """Count the answer to a write, or its failure."""
        self.in_flight[service, index] -= 1
        if not self.in_flight[service, index]:
            del self.in_flight[service, index]
            self.idle.set()
