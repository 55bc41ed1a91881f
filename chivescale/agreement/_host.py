"""Asyncio driver of the agreement state machine."""

import asyncio
import random
import typing

from chivescale.agreement._callbacks import Callbacks
from chivescale.agreement._durable import DurableLog
from chivescale.agreement._events import (
    Appended,
    Apply,
    ConfigurationChanged,
    ConfirmRead,
    Effect,
    Event,
    LeadershipChanged,
    Persist,
    Propose,
    ReadConfirmed,
    Received,
    Recovered,
    Rejected,
    RemoveMember,
    ReplaceMember,
    Restore,
    SaveSnapshot,
    Send,
    SnapshotTaken,
    StepDown,
    TakeSnapshot,
    Tick,
    Timing,
)
from chivescale.agreement._limits import MAX_MESSAGE_BYTES, max_command_bytes
from chivescale.agreement._machine import Agreement
from chivescale.agreement._messages import (
    COMMAND,
    AgreementMessage,
    AppendReply,
    Configuration,
    Entry,
    Member,
    VoteReply,
)
from chivescale.agreement._peers import Peers
from chivescale.agreement._pending import (
    Outcome,
    PendingRequests,
    set_results,
    wait_until,
)
from chivescale.clock import now
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.telemetry import log_event

if typing.TYPE_CHECKING:
    from chivescale.settings import AgreementSettings, ControlMember
    from chivescale.transport import Client, Request, Route


class AgreementHost:
    """Runs one member of the group that keeps the replicated log.

    Parameters
    ----------
    name : str
        Own name.
    members : tuple of ControlMember
        Control hosts from the settings.
    log : DurableLog
        Durable log; opened by `start`, closed by `close`.
    client : Client
        Transport to the other members.
    settings : AgreementSettings
        Timeouts and snapshot interval.
    callbacks : Callbacks
        Connection to the replicated state.
    rng : random.Random, optional
        Random generator for election timeouts.
    address : str, optional
        Address of this host; required if `members` does not contain it.
    may_form : bool, optional
        Whether this host may take part in the initial formation of the
        group.
    max_message_bytes : int, optional
        Largest encoded message that the members accept; the same on all.
    """

    def __init__(
        self,
        name: str,
        members: "tuple[ControlMember, ...]",
        log: DurableLog,
        client: "Client",
        settings: "AgreementSettings",
        callbacks: Callbacks,
        rng: random.Random | None = None,
        *,
        address: str = "",
        may_form: bool = True,
        max_message_bytes: int = MAX_MESSAGE_BYTES,
    ):
        self.name = name
        self.address = address
        self.max_message_bytes = max_message_bytes
        self.may_form = may_form
        self.initial = Configuration(
            tuple(Member(member.name, member.address) for member in members)
        )
        self.log = log
        self.timing = Timing(
            settings.heartbeat_ms / 1000,
            settings.election_timeout_ms / 1000,
            settings.snapshot_entries,
        )
        self.callbacks = callbacks
        self.rng = rng or random.Random()
        self.peers = Peers(client, self.timing, self._step)
        self.machine: Agreement | None = None
        self.failure: Failure | None = None
        self.pending = PendingRequests()
        self.queued_commands: list[tuple[bytes, asyncio.Future]] = []
        self.timer: asyncio.TimerHandle | None = None
        self.timer_due: float | None = None
        self.pending_replies: list[AgreementMessage] | None = None

    # State.

    @property
    def is_leader(self) -> bool:
        """Whether this host leads and applied all entries of past terms."""
        return self.failure is None and bool(
            self.machine and self.machine.ready
        )

    @property
    def leader(self) -> str:
        """Name of the leader; empty if unknown."""
        known = self.machine and self.machine.leader
        return known.name if known else ""

    @property
    def leader_address(self) -> str:
        """Address of the leader; empty if unknown."""
        return self.machine.leader_address if self.machine else ""

    @property
    def term(self) -> int:
        """Current term."""
        return self.machine.term if self.machine else 0

    @property
    def last_applied(self) -> int:
        """Index of the last applied entry, which may not be a command."""
        return self.machine.applied if self.machine else 0

    @property
    def configuration(self) -> Configuration:
        """Latest configuration, committed or not."""
        return self.machine.configuration if self.machine else self.initial

    # Lifecycle.

    async def start(self) -> Failure | None:
        """Open the data folder and join the group."""
        recovered = self.log.open()
        if is_failure(recovered):
            self.failure = recovered
            log_event("agreement_stopped", "error", reason=recovered.reason)
            return recovered
        self.machine = Agreement(
            self.name,
            self.initial,
            recovered,
            self.timing,
            self.rng,
            address=self.address,
            may_form=self.may_form or self._first_start(recovered),
        )
        self._step(Tick())
        return self.failure

    def _first_start(self, recovered: Recovered) -> bool:
        """Return whether a process that might form created the folder.

        The group then forms only with the members it had at that time.
        """
        names = tuple(sorted(member.name for member in self.initial.members))
        return bool(names) and recovered.first_members == names

    async def close(self) -> None:
        """Stop; queued commands end with ``SHUTTING_DOWN``.

        Requests that were already processed end with ``OUTCOME_UNKNOWN``.
        """
        if self.failure is None:
            reason = f"{self.name} is shutting down"
            self._stop(Failure(ErrorKind.SHUTTING_DOWN, reason))
        await self.peers.close()
        self.log.close()

    def routes(self) -> "list[Route]":
        """Return the HTTP routes that other members call."""
        from chivescale.transport import Route

        return [
            Route(
                "POST",
                "/v1/agreement",
                self._on_request,
                AgreementMessage,
                body_limit=self.max_message_bytes,
            )
        ]

    # Requests from the local process.

    async def propose(self, command: bytes, deadline: float) -> int | Failure:
        """Commit and apply a command.

        Parameters
        ----------
        command : bytes
            Opaque content.
        deadline : float
            Monotonic time in seconds.

        Returns
        -------
        index or Failure
            ``NOT_LEADER`` with the leader's address, ``OVERLOADED``,
            ``DEADLINE_NOT_STARTED`` or ``BAD_REQUEST`` (too large to be
            sent to the members) if the command has no effect;
            ``OUTCOME_UNKNOWN`` if it may still be committed.
        """
        outcome = await self.submit(command, deadline)
        return outcome if is_failure(outcome) else outcome.index

    async def submit(
        self, command: bytes, deadline: float
    ) -> Outcome | Failure:
        """Like `propose`, but return the index and the result of `apply`."""
        if self.failure is not None:
            return self.failure
        if now() >= deadline:
            return Failure(
                ErrorKind.DEADLINE_NOT_STARTED,
                "deadline passed before the command was proposed",
            )
        limit = max_command_bytes(self.max_message_bytes)
        if len(command) > limit:
            reason = f"command of {len(command)} bytes; at most {limit}"
            return Failure(ErrorKind.BAD_REQUEST, reason)
        future = asyncio.get_running_loop().create_future()
        self.queued_commands.append((command, future))
        if len(self.queued_commands) == 1:
            # Commands queued in one iteration of the event loop share a
            # disk sync.
            asyncio.get_running_loop().call_soon(self._propose_queued)
        reason = "no quorum confirmed the command before the deadline"
        outcome_unknown = Failure(ErrorKind.OUTCOME_UNKNOWN, reason)
        return await wait_until(future, deadline, outcome_unknown)

    async def confirm_read(self, deadline: float) -> int | Failure:
        """Confirm with a quorum that this host still leads.

        Returns
        -------
        index or Failure
            Read index: the applied state has reached it and is current for
            the read. ``NOT_LEADER`` or ``NO_QUORUM`` otherwise.
        """
        reason = "no quorum confirmed the read before the deadline"
        failure = Failure(ErrorKind.NO_QUORUM, reason)
        return await self._submit_event(ConfirmRead, deadline, failure)

    async def replace_member(
        self, name: str, deadline: float
    ) -> Outcome | Failure:
        """Admit the latest incarnation of a member.

        It joins as a learner and becomes a voter once it has caught up.
        """
        return await self._change_member(ReplaceMember, name, deadline)

    async def remove_member(
        self, name: str, deadline: float
    ) -> Outcome | Failure:
        """Remove a member from the group."""
        return await self._change_member(RemoveMember, name, deadline)

    def step_down(self) -> None:
        """Let the others elect another leader if this host leads."""
        if self.failure is None:
            self._step(StepDown())

    async def _change_member(self, event_type, name: str, deadline: float):
        reason = f"change of member {name} not committed before the deadline"
        outcome_unknown = Failure(ErrorKind.OUTCOME_UNKNOWN, reason)
        return await self._submit_event(
            event_type, deadline, outcome_unknown, name
        )

    async def _submit_event(
        self, event_type, deadline, timeout_result: Failure, *args
    ):
        if self.failure is not None:
            return self.failure
        future = asyncio.get_running_loop().create_future()
        self._step(event_type(self.pending.register([future]), *args))
        return await wait_until(future, deadline, timeout_result)

    def _propose_queued(self) -> None:
        queued_commands, self.queued_commands = self.queued_commands, []
        if not queued_commands or self.failure is not None:
            return
        commands = tuple(command for command, _ in queued_commands)
        request_id = self.pending.register(
            [future for _, future in queued_commands]
        )
        self._step(Propose(request_id, commands))

    # Messages.

    async def _on_request(self, request: "Request"):
        return self.receive(request.body)

    def receive(self, message: AgreementMessage) -> AgreementMessage | Failure:
        """Handle a message of another member and return the reply."""
        if self.machine is None:
            return Failure(
                ErrorKind.NOT_READY,
                f"{self.name} has not started the agreement yet",
            )
        if self.failure is not None:
            return self.failure
        self.pending_replies = pending_replies = []
        self._step(Received(message))
        self.pending_replies = None
        if self.failure is not None:
            return self.failure
        if not pending_replies:
            reason = (
                f"message is not addressed to this incarnation of {self.name}"
            )
            return Failure(ErrorKind.UNKNOWN_MEMBER, reason)
        return pending_replies[0]

    # Steps and effects.

    def _step(self, event: Event) -> None:
        try:
            pending = [event]
            while pending and self.failure is None:
                pending += self._handle(pending.pop(0))
            self._schedule_timer()
        except AssertionError as err:
            # Continuing could replicate invalid state to other members.
            self._stop_on_error(f"invariant violated: {err}")
        except Exception as err:
            # A callback failed, so an entry may be applied only in part.
            self._stop_on_error(f"{err!r}")

    def _handle(self, event: Event) -> list[Event]:
        """Process an event and its effects; return follow-up events."""
        caused_events = []
        for effect in self.machine.step(event, now()):
            caused = self._execute(effect)
            if self.failure is not None:
                break
            if caused is not None:
                caused_events.append(caused)
        return caused_events

    def _stop_on_error(self, reason: str) -> None:
        self._stop(Failure(ErrorKind.INTERNAL, f"{self.name}: {reason}"))

    def _schedule_timer(self) -> None:
        if self.failure is not None:
            return
        due = self.machine.next_wakeup()
        if self.timer is not None:
            if self.timer_due == due and not self.timer.cancelled():
                return
            self.timer.cancel()
        loop = asyncio.get_running_loop()
        self.timer_due = due
        self.timer = loop.call_later(max(0.0, due - now()), self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        self._step(Tick())

    def _execute(self, effect: Effect) -> Event | None:
        match effect:
            case Persist(hard_state, entries):
                failure = self.log.append(hard_state, entries)
                self._stop_on_disk_failure(failure or self.log.sync())
            case SaveSnapshot(snapshot, hard_state, entries):
                self._stop_on_disk_failure(
                    self.log.snapshot(snapshot, hard_state, entries)
                )
            case Send(address, message):
                self._send(address, message)
            case Apply(entry):
                self._apply(entry)
            case Restore(snapshot):
                self._restore(snapshot)
            case TakeSnapshot(index):
                return SnapshotTaken(index, self.callbacks.snapshot())
            case Appended(request_id, first_index, term):
                self.pending.track_entries(request_id, first_index, term)
            case ReadConfirmed(request_id, index):
                self.pending.complete(request_id, index)
            case Rejected(request_id, failure):
                self.pending.complete(request_id, failure)
            case LeadershipChanged(leading, term):
                log_event(
                    "leadership", host=self.name, leading=leading, term=term
                )
                self.callbacks.leadership(leading, term)
            case ConfigurationChanged(configuration):
                _log_configuration(self.name, configuration)
        return None

    def _stop_on_disk_failure(self, failure: Failure | None) -> None:
        if failure is not None:
            self._stop(failure)

    def _send(self, address: str, message: AgreementMessage) -> None:
        if isinstance(message, VoteReply | AppendReply):
            # Replies are sent in the HTTP response to the request.
            if self.pending_replies is not None:
                self.pending_replies.append(message)
        elif address:
            self.peers.send(address, message)

    def _apply(self, entry: Entry) -> None:
        result = None
        if entry.kind == COMMAND:
            result = self.callbacks.apply(entry.index, entry.data)
        self.pending.complete_entry(entry, result, self.leader_address)

    def _restore(self, snapshot) -> None:
        self.callbacks.restore(snapshot.data)
        self.pending.complete_through(snapshot.index)

    def _stop(self, failure: Failure) -> None:
        """Stop permanently: send no more votes, replies or messages."""
        was_leader = self.is_leader
        self.failure = failure
        level = "info" if failure.kind is ErrorKind.SHUTTING_DOWN else "error"
        log_event(
            "agreement_stopped", level, host=self.name, reason=failure.reason
        )
        if self.timer is not None:
            self.timer.cancel()
        self.pending.fail_all(failure)
        set_results([future for _, future in self.queued_commands], failure)
        self.queued_commands.clear()
        if was_leader:
            self.callbacks.leadership(False, self.machine.term)


def _log_configuration(name: str, configuration: Configuration) -> None:
    members = ",".join(
        f"{member.name}/{member.incarnation[:8]}"
        f"/{'voter' if member.voter else 'learner'}"
        for member in configuration.members
    )
    log_event("configuration", host=name, members=members)
