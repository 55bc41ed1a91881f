"""Keeps the group of coordinators complete without an operator."""

import asyncio

from chivescale.agreement import Admit, Member, Retire, Roster, in_contact
from chivescale.clock import now
from chivescale.coordinator._messages import Callers
from chivescale.errors import ErrorKind, is_failure
from chivescale.messages import Done
from chivescale.telemetry import log_event

PERIOD_S = 0.25
CHANGE_TIMEOUT_S = 1.0
# A member whose disk failed opens its folder again after this pause.
REOPEN_PAUSE_S = 0.5


class Upkeep:
    """Admits and retires members and reopens a failed folder.

    Parameters
    ----------
    host : CoordinatorHost
        Owner.
    """

    def __init__(self, host):
        self.host = host
        self.roster = Roster()
        self.roster_term = 0
        self.reopen = False

    def reopen_soon(self) -> None:
        """Open the folder again, with the present seeds."""
        self.reopen = True

    def note_callers(self, members: tuple[Member, ...]) -> None:
        """Take over callers that another coordinator has seen."""
        machine = self.host.agreement.machine
        if machine is None:
            return
        for member in members:
            known = machine.configuration
            if known.find(member.name, member.incarnation) is None:
                machine.seen[member.name] = member

    async def run(self) -> None:
        """Work at intervals."""
        while True:
            await asyncio.sleep(PERIOD_S)
            agreement = self.host.agreement
            if agreement.failure is not None or self.reopen:
                await self._reopen()
            elif agreement.is_leader:
                await self._plan()
            elif agreement.machine.seen and agreement.leader_address:
                await self._forward_callers()

    async def _reopen(self) -> None:
        """Take part again after a storage failure, from the disk's content."""
        host = self.host
        failure = host.agreement.failure
        self.reopen = False
        await host.agreement.close()
        await asyncio.sleep(REOPEN_PAUSE_S)
        host.agreement = host.new_agreement()
        reopened = await host.agreement.start()
        log_event(
            "folder_reopened",
            "warning",
            cause=failure.reason if failure else "changed seeds",
            outcome=reopened.reason if reopened else "open",
        )

    async def _plan(self) -> None:
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

    async def _forward_callers(self) -> None:
        agreement = self.host.agreement
        seen = dict(agreement.machine.seen)
        answer = await self.host.client.call(
            agreement.leader_address,
            "POST",
            "/v1/callers",
            Done,
            Callers(tuple(seen.values())),
        )
        if is_failure(answer):
            return
        for name, member in seen.items():
            if agreement.machine.seen.get(name) == member:
                del agreement.machine.seen[name]
