"""Manages the members of the coordinator group automatically."""

import asyncio

from chivescale.agreement import (
    Admit,
    Member,
    Retire,
    Roster,
    awaits_removal,
    can_lose_voter,
    in_contact,
)
from chivescale.clock import now
from chivescale.coordinator._messages import (
    Callers,
    LeaveAnswer,
    LeaveRequest,
)
from chivescale.coordinator._not_voting import NotVoting, reasons_of
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import Empty
from chivescale.telemetry import COUNTERS, log_event

CHECK_INTERVAL_S = 0.25
CHANGE_TIMEOUT_S = 1.0
# Delay before the data directory of a failed member is opened again.
REOPEN_DELAY_S = 0.5
# A member that stops asks the leader to be removed for at most this time, a
# third of the shortest known time until the process is killed.
LEAVE_TIMEOUT_S = 2.0
LEAVE_PAUSE_S = 0.1
# Interval at which a member that is no voter and hears no leader calls.
CALL_INTERVAL_S = 0.5
# A leader sends something each 0.1 s, and an election takes about a second.
HEARD_WITHIN_S = 1.0
# A voter calls after this time. Its elections ask only the voters that it
# knows; while it was down, all of them may have been replaced.
VOTER_CALL_AFTER_S = 2.0


class MembershipManager:
    """Admits and retires members; reopens the log after a disk failure.

    Parameters
    ----------
    host : CoordinatorHost
        Coordinator that owns this object.
    """

    def __init__(self, host):
        self.host = host
        self.roster = Roster(host.settings.losses)
        self.roster_term = 0
        self.reopen_requested = False
        self.leaving = False
        self.not_voting = NotVoting()
        self.called_at = float("-inf")
        self.heard_at = now()

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
            if self.host.contact_age_s() < HEARD_WITHIN_S:
                self.heard_at = now()
            self._watch_voters(agreement)
            if agreement.failure is not None or self.reopen_requested:
                await self._reopen_log()
            elif agreement.is_leader:
                await self._change_members()
            elif agreement.machine.seen and agreement.leader_address:
                await self._forward_join_requests()
            elif self._is_outside():
                self.host.run_in_background(self._call_members())

    def _watch_voters(self, agreement) -> None:
        """Tell once about a member that stays without a vote."""
        if agreement.machine is None:
            return
        time = now()
        hears_leader = self.host.contact_age_s() < HEARD_WITHIN_S
        reasons = reasons_of(
            agreement.machine, agreement.is_leader, hears_leader, time
        )
        for name in self.not_voting.update(reasons, time):
            kind, details = reasons[name]
            COUNTERS.count("members_not_voting", kind)
            log_event(
                "member_not_voting",
                "warning",
                member=name,
                reason=kind,
                details=details,
            )

    # Leaving and returning.

    async def leave(self) -> None:
        """Ask the leader to remove this voter before it stops.

        Returns as soon as it is removed, or will not be because the group
        needs it.
        """
        self.leaving = True
        deadline = now() + LEAVE_TIMEOUT_S
        outcome = "timeout"
        while now() < deadline:
            machine = self.host.agreement.machine
            own = machine and machine.formed and machine.own_member
            if not own or not own.voter or self.host.agreement.failure:
                outcome = "no voter"
                break
            answer = await self._ask_to_leave(LeaveRequest(own))
            if not is_failure(answer) and not answer.pending:
                outcome = "answered"
                break
            await asyncio.sleep(LEAVE_PAUSE_S)
        log_event("member_leave", outcome=outcome)

    async def _ask_to_leave(
        self, request: LeaveRequest
    ) -> LeaveAnswer | Failure:
        agreement = self.host.agreement
        if agreement.is_leader:
            return self._hand_over(agreement)
        address = agreement.leader_address
        if not address or address == self.host.settings.address:
            return Failure(ErrorKind.NOT_LEADER, "no leader is known")
        return await self.host.client.call(
            address, "POST", "/v1/leave", LeaveAnswer, request
        )

    def _hand_over(self, agreement) -> LeaveAnswer:
        """Step down if another leader can remove this voter."""
        pending = self._awaits_removal(agreement.machine, agreement.name)
        if pending and can_lose_voter(agreement.configuration):
            agreement.step_down()
        return LeaveAnswer(pending)

    async def on_leave(self, request: LeaveRequest) -> LeaveAnswer | Failure:
        """Remove a voter that stops, if the group can do without it."""
        agreement = self.host.agreement
        if not agreement.is_leader:
            return Failure(ErrorKind.NOT_LEADER, "not the leader")
        machine, member = agreement.machine, request.member
        self._use_term(machine)
        if machine.configuration.find(member.name, member.incarnation):
            self.roster.leave(member.name, now())
            await self._change_members()
        return LeaveAnswer(self._awaits_removal(machine, member.name))

    def _awaits_removal(self, machine, name: str) -> bool:
        if machine.log.configuration_index > machine.commit:
            return True
        return awaits_removal(name, machine.configuration, machine.seen)

    def _is_outside(self) -> bool:
        """Return whether this member of a group should call the others."""
        machine = self.host.agreement.machine
        if self.leaving or not machine.formed:
            return False
        time = now()
        if time - self.called_at < CALL_INTERVAL_S:
            return False
        own = machine.own_member
        if own is not None and own.voter:
            return time - self.heard_at >= VOTER_CALL_AFTER_S
        return self.host.contact_age_s() >= CALL_INTERVAL_S

    async def _call_members(self) -> None:
        """Ask the known members and the seeds for admission.

        A member that still belongs to the group is not affected.
        """
        self.called_at = now()
        host, machine = self.host, self.host.agreement.machine
        own = Member(
            machine.name, host.settings.address, machine.incarnation, False
        )
        addresses = {m.address for m in machine.configuration.members}
        addresses |= set(host.settings.seeds)
        await asyncio.gather(
            *(
                host.client.call(
                    address, "POST", "/v1/callers", Empty, Callers((own,))
                )
                for address in sorted(addresses - {host.settings.address})
            )
        )

    # Changes by the leader.

    def _use_term(self, machine) -> None:
        if machine.term != self.roster_term:
            self.roster = Roster(self.host.settings.losses)
            self.roster_term = machine.term

    def _reachable(self, machine) -> set[str]:
        time = now()
        return {
            member.name
            for member in machine.configuration.members
            if in_contact(machine, member, time)
        }

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
        self._use_term(machine)
        change = self.roster.plan(
            agreement.name,
            machine.configuration,
            machine.seen,
            self._reachable(machine),
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
