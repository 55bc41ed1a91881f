"""One statement of a caller on its way to an endpoint and back."""

import msgspec

from chivescale.catalog import Route
from chivescale.clock import now
from chivescale.dialect import Reply, Statement, StatementKind
from chivescale.errors import ErrorKind, Failure
from chivescale.messages import Position
from chivescale.relay._prepare import Definition

# Part of the target latency for which a statement waits for a free link.
# Later it would hardly be answered in time, and the caller can try again.
LINK_WAIT_SHARE = 0.5
# Shortest time that is worth an attempt.
MIN_ATTEMPT_S = 0.005


class Work(msgspec.Struct):
    """A statement and what its execution needs.

    Attributes
    ----------
    statement : Statement
        As the caller sent it.
    route : Route
        Route in force for it.
    arrived_at : float
        When it arrived.
    writes : bool
        Whether it may write.
    definition : Definition or None
        Prepared statement that it executes.
    session : CallerSession
        Caller.
    attempts : int
        Endpoints that it was offered to.
    endpoint : str
        Endpoint that it was sent to last; empty if it never left.
    gateway : str
        Host that it was forwarded to last; empty if none.
    need : Position or None
        Position that its log had to hold.
    proof_age_s : float
        Age of the proof of that position; negative without one.
    """

    statement: Statement
    route: Route
    arrived_at: float
    writes: bool
    session: object
    definition: Definition | None = None
    attempts: int = 0
    endpoint: str = ""
    gateway: str = ""
    need: Position | None = None
    proof_age_s: float = -1.0

    @property
    def revocable(self) -> bool:
        """Whether ending the statement early leaves nothing behind."""
        if self.statement.kind is StatementKind.COMMIT:
            return False
        return not self.writes or self.session.transaction is not None

    def left_s(self, time: float) -> float:
        """Return the time left for an answer."""
        limit = self.route.statement_timeout_ms / 1000
        return self.arrived_at + limit - time

    def link_wait_s(self, time: float) -> float:
        """Return the longest useful wait for a link."""
        wait = self.route.latency_goal_ms / 1000 * LINK_WAIT_SHARE
        left = self.arrived_at + wait - time
        return max(MIN_ATTEMPT_S, min(left, self.left_s(time)))

    def goal_left_s(self, time: float) -> float:
        """Return the time left for an answer within the latency goal."""
        goal = self.arrived_at + self.route.latency_goal_ms / 1000
        return min(goal - time, self.left_s(time))

    def expired(self) -> Failure | None:
        """Return a refusal if there is no time for another attempt."""
        if self.left_s(now()) > MIN_ATTEMPT_S:
            return None
        reason = f"{self.route.statement_timeout_ms} ms have passed"
        return Failure(ErrorKind.DEADLINE_NOT_STARTED, reason)


Outcome = Reply | Failure


def refusal_of(reply: Reply) -> Failure | None:
    """Return the error of an endpoint as a failure."""
    if reply.refusal is None:
        return None
    return Failure(reply.refusal.kind, reply.refusal.detail)
