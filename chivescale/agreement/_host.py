"""The asyncio shell around the agreement state machine."""

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
    Rejected,
    RemoveMember,
    ReplaceMember,
    Restore,
    SaveSnapshot,
    Send,
    SnapshotTaken,
    TakeSnapshot,
    Tick,
    Timing,
)
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
from chivescale.agreement._waiters import Outcome, Waiters, resolve, until
from chivescale.clock import now
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.telemetry import log_event

if typing.TYPE_CHECKING:
    from chivescale.settings import AgreementSettings, ControlMember
    from chivescale.transport import Client, Request, Route

SNAPSHOT_LIMIT_BYTES = 64 << 20


class AgreementHost:
    """One member of the group that keeps the replicated log.

    Parameters
    ----------
    name : str
        Own name.
    members : tuple of ControlMember
        Control hosts of the settings.
    log : DurableLog
        Data folder; opened by `start`, closed by `close`.
    client : Client
        Transport to the other members.
    settings : AgreementSettings
        Timing.
    callbacks : Callbacks
        Owner of the state.
    rng : random.Random, optional
        Source of the random part of election timeouts.
    address : str, optional
        Own address, for a host that is not among `members`.
    may_form : bool, optional
        Whether this host may take part in forming the group.
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
    ):
        self.name = name
        self.address = address
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
        self.waiters = Waiters()
        self.queue: list[tuple[bytes, asyncio.Future]] = []
        self.timer: asyncio.TimerHandle | None = None
        self.timer_due: float | None = None
        self.replies: list[AgreementMessage] | None = None

    # State.

    @property
    def is_leader(self) -> bool:
        """Whether this host leads and has applied all earlier commands."""
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
        """Index of the last applied entry; not every entry is a command."""
        return self.machine.applied if self.machine else 0

    @property
    def configuration(self) -> Configuration:
        """Members in use."""
        return self.machine.configuration if self.machine else self.initial

    # Life.

    async def start(self) -> Failure | None:
        """Open the data folder and take part in the group."""
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
            may_form=self.may_form,
        )
        self._step(Tick())
        return self.failure

    async def close(self) -> None:
        """Stop; requests under way end with ``SHUTTING_DOWN``."""
        if self.failure is None:
            reason = f"{self.name} is shutting down"
            self._stop(Failure(ErrorKind.SHUTTING_DOWN, reason))
        await self.peers.close()
        self.log.close()

    def routes(self) -> "list[Route]":
        """Return what the control interface serves for the group."""
        from chivescale.transport import Route

        return [
            Route(
                "POST",
                "/v1/agreement",
                self._on_request,
                AgreementMessage,
                body_limit=SNAPSHOT_LIMIT_BYTES,
            )
        ]

    # Requests of the own process.

    async def propose(self, command: bytes, deadline: float) -> int | Failure:
        """Commit and apply a command.

        Parameters
        ----------
        command : bytes
            Content; not interpreted here.
        deadline : float
            Monotonic time in seconds.

        Returns
        -------
        index or Failure
            ``NOT_LEADER`` with the leader's address, ``OVERLOADED`` or
            ``DEADLINE_NOT_STARTED`` if the command takes no effect;
            ``OUTCOME_UNKNOWN`` if it may take effect later.
        """
        outcome = await self.submit(command, deadline)
        return outcome if is_failure(outcome) else outcome.index

    async def submit(
        self, command: bytes, deadline: float
    ) -> Outcome | Failure:
        """Like `propose`; also returns the result of the apply."""
        if self.failure is not None:
            return self.failure
        if now() >= deadline:
            return Failure(ErrorKind.DEADLINE_NOT_STARTED, "deadline passed")
        future = asyncio.get_running_loop().create_future()
        self.queue.append((command, future))
        if len(self.queue) == 1:
            # All commands of one turn of the event loop share a sync.
            asyncio.get_running_loop().call_soon(self._flush)
        reason = "no quorum confirmed the command before the deadline"
        unknown = Failure(ErrorKind.OUTCOME_UNKNOWN, reason)
        return await until(future, deadline, unknown)

    async def confirm_read(self, deadline: float) -> int | Failure:
        """Prove that this host leads.

        Returns
        -------
        index or Failure
            The applied state is current, at or above this index;
            ``NOT_LEADER`` or ``NO_QUORUM`` otherwise.
        """
        reason = "no quorum confirmed the read before the deadline"
        failure = Failure(ErrorKind.NO_QUORUM, reason)
        return await self._request(ConfirmRead, deadline, failure)

    async def replace_member(
        self, name: str, deadline: float
    ) -> Outcome | Failure:
        """Admit the incarnation that a member returned with.

        It becomes a learner and, once it has caught up, a voter.
        """
        return await self._change(ReplaceMember, name, deadline)

    async def remove_member(
        self, name: str, deadline: float
    ) -> Outcome | Failure:
        """Take a member out of the group."""
        return await self._change(RemoveMember, name, deadline)

    async def _change(self, event_type, name: str, deadline: float):
        reason = f"change of member {name} not confirmed before the deadline"
        unknown = Failure(ErrorKind.OUTCOME_UNKNOWN, reason)
        return await self._request(event_type, deadline, unknown, name)

    async def _request(self, event_type, deadline, late: Failure, *args):
        if self.failure is not None:
            return self.failure
        future = asyncio.get_running_loop().create_future()
        self._step(event_type(self.waiters.ticket([future]), *args))
        return await until(future, deadline, late)

    def _flush(self) -> None:
        queue, self.queue = self.queue, []
        if not queue or self.failure is not None:
            return
        commands = tuple(command for command, _ in queue)
        ticket = self.waiters.ticket([future for _, future in queue])
        self._step(Propose(ticket, commands))

    # Messages.

    async def _on_request(self, request: "Request"):
        return self.receive(request.body)

    def receive(self, message: AgreementMessage) -> AgreementMessage | Failure:
        """Handle the message of another member; return the answer."""
        if self.machine is None:
            return Failure(ErrorKind.NOT_READY, f"{self.name} is starting")
        if self.failure is not None:
            return self.failure
        self.replies = replies = []
        self._step(Received(message))
        self.replies = None
        if self.failure is not None:
            return self.failure
        if not replies:
            reason = f"{self.name} is not the incarnation addressed"
            return Failure(ErrorKind.UNKNOWN_MEMBER, reason)
        return replies[0]

    # Steps and effects.

    def _step(self, event: Event) -> None:
        try:
            pending = [event]
            while pending and self.failure is None:
                pending += self._handle(pending.pop(0))
            self._schedule()
        except AssertionError as err:
            # Going on could spread a wrong state to other members.
            self._stop_broken(f"invariant violated: {err}")
        except Exception as err:
            # A callback failed, so an entry is applied here only in part.
            self._stop_broken(f"{err!r}")

    def _handle(self, event: Event) -> list[Event]:
        """Execute the effects of an event; return the events they cause."""
        following = []
        for effect in self.machine.step(event, now()):
            caused = self._execute(effect)
            if self.failure is not None:
                break
            if caused is not None:
                following.append(caused)
        return following

    def _stop_broken(self, reason: str) -> None:
        self._stop(Failure(ErrorKind.INTERNAL, f"{self.name}: {reason}"))

    def _schedule(self) -> None:
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
                self._check_disk(failure or self.log.sync())
            case SaveSnapshot(snapshot, hard_state, entries):
                self._check_disk(
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
            case Appended(ticket, first_index, term):
                self.waiters.appended(ticket, first_index, term)
            case ReadConfirmed(ticket, index):
                self.waiters.answer(ticket, index)
            case Rejected(ticket, failure):
                self.waiters.answer(ticket, failure)
            case LeadershipChanged(leading, term):
                log_event(
                    "leadership", host=self.name, leading=leading, term=term
                )
                self.callbacks.leadership(leading, term)
            case ConfigurationChanged(configuration):
                _log_configuration(self.name, configuration)
        return None

    def _check_disk(self, failure: Failure | None) -> None:
        if failure is not None:
            self._stop(failure)

    def _send(self, address: str, message: AgreementMessage) -> None:
        if isinstance(message, VoteReply | AppendReply):
            # Answers return on the connection of their request.
            if self.replies is not None:
                self.replies.append(message)
        elif address:
            self.peers.send(address, message)

    def _apply(self, entry: Entry) -> None:
        result = None
        if entry.kind == COMMAND:
            result = self.callbacks.apply(entry.index, entry.data)
        self.waiters.applied(entry, result, self.leader_address)

    def _restore(self, snapshot) -> None:
        self.callbacks.restore(snapshot.data)
        self.waiters.covered(snapshot.index)

    def _stop(self, failure: Failure) -> None:
        """End taking part: no votes, no answers, no messages."""
        led = self.is_leader
        self.failure = failure
        level = "info" if failure.kind is ErrorKind.SHUTTING_DOWN else "error"
        log_event(
            "agreement_stopped", level, host=self.name, reason=failure.reason
        )
        if self.timer is not None:
            self.timer.cancel()
        self.waiters.end(failure)
        resolve([future for _, future in self.queue], failure)
        self.queue.clear()
        if led:
            self.callbacks.leadership(False, self.machine.term)


def _log_configuration(name: str, configuration: Configuration) -> None:
    members = ",".join(
        f"{member.name}/{member.incarnation[:8]}"
        f"/{'voter' if member.voter else 'learner'}"
        for member in configuration.members
    )
    log_event("configuration", host=name, members=members)
