"""Manages the members of the coordinator group automatically."""

import asyncio

from chivescale.agreement import Admit, Member, Retire, Roster, in_contact
from chivescale.clock import now
from chivescale.coordinator._messages import Callers
from chivescale.errors import ErrorKind, is_failure
from chivescale.messages import Empty
from chivescale.telemetry import log_event

CHECK_INTERVAL_S = 0.25
CHANGE_TIMEOUT_S = 1.0
# Delay before the data directory of a failed member is opened again.
REOPEN_DELAY_S = 0.5


class MembershipManager:
    """Admits and retires members; reopens the log after a disk failure.

    Parameters
    ----------
    host : CoordinatorHost
        Coordinator that owns this object.
    """

    def __init__(self, host):
        self.host = host
        self.roster = Roster()
        self.roster_term = 0
        self.reopen_requested = False

    def request_reopen(self) -> None:
        """Reopen the log with the current seeds at the next check."""
        self.reopen_requested = True

    def record_join_requests(self, members: tuple[Member, ...]) -> None:
        """Store join requests that another coordinator received."""
        machine = self.host.agreement.machine
        if machine is None:
            return
        for member in members:
            known = machine.configuration
            if known.find(member.name, member.incarnation) is None:
                machine.seen[member.name] = member

    async def run(self) -> None:
        """Check the group at intervals."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            agreement = self.host.agreement
            if agreement.failure is not None or self.reopen_requested:
                await self._reopen_log()
            elif agreement.is_leader:
                await self._change_members()
            elif agreement.machine.seen and agreement.leader_address:
                await self._forward_join_requests()

    async def _reopen_log(self) -> None:
        """Restart from the durable state after a failure or new seeds."""
        host = self.host
        failure = host.agreement.failure
        self.reopen_requested = False
        await host.agreement.close()
        await asyncio.sleep(REOPEN_DELAY_S)
        host.agreement = host.new_agreement()
        reopened = await host.agreement.start()
        log_event(
            "folder_reopened",
            "warning",
            cause=failure.reason if failure else "changed seeds",
            outcome=reopened.reason if reopened else "open",
        )

    async def _change_members(self) -> None:
        agreement = self.host.agreement
        machine = agreement.machine
        time = now()
        reachable = {
            member.name
            for member in machine.configuration.members
            if in_contact(machine, member, time)
        }
        if machine.term != self.roster_term:
            self.roster, self.roster_term = Roster(), machine.term
        change = self.roster.plan(
            agreement.name,
            machine.configuration,
            machine.seen,
            reachable,
            time,
        )
        deadline = time + CHANGE_TIMEOUT_S
        match change:
            case Admit(name):
                outcome = await agreement.replace_member(name, deadline)
            case Retire(name):
                outcome = await agreement.remove_member(name, deadline)
            case _:
                return
        if is_failure(outcome) and outcome.kind is ErrorKind.BAD_REQUEST:
            machine.seen.pop(name, None)
        log_event(
            "member_change",
            change=type(change).__name__.lower(),
            member=name,
            outcome=outcome.reason if is_failure(outcome) else "done",
        )

    async def _forward_join_requests(self) -> None:
        agreement = self.host.agreement
        seen = dict(agreement.machine.seen)
        answer = await self.host.client.call(
            agreement.leader_address,
            "POST",
            "/v1/callers",
            Empty,
            Callers(tuple(seen.values())),
        )
        if is_failure(answer):
            return
        for name, member in seen.items():
            if agreement.machine.seen.get(name) == member:
                del agreement.machine.seen[name]
