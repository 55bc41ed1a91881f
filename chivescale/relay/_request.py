"""Statement of a client with the context of its execution."""

import msgspec

from chivescale.catalog import Route
from chivescale.clock import now
from chivescale.dialect import Reply, Statement, StatementKind
from chivescale.errors import ErrorKind, Failure
from chivescale.messages import Position
from chivescale.relay._prepare import PreparedStatement
from chivescale.stopping import REASON, StopSchedule

# Fraction of the latency goal for which a statement waits for a connection.
# After a longer wait it could hardly meet the goal; the client can retry.
CONNECTION_WAIT_FRACTION = 0.5
# No attempt is started with less time left than this.
MIN_ATTEMPT_TIME_S = 0.005


class StatementRequest(msgspec.Struct):
    """Statement with the context and the record of its execution.

    Attributes
    ----------
    statement : Statement
        Statement as sent by the client.
    route : Route
        Route in force for the statement.
    arrived_at : float
        Time at which the statement arrived.
    writes : bool
        Whether the statement may write.
    definition : PreparedStatement or None
        Prepared statement to execute.
    workspace : str
        Workspace of the client; empty if clients are not identified.
    session : ClientSession or ForwardedSession
        Session that sent the statement.
    values : dict of str to str
        Variables of the session when it sent the statement. An attempt that
        lost against a faster one may still run after the session has changed
        them.
    schedule : StopSchedule
        When the host interrupts statements once it was asked to stop.
    attempts : int
        Number of execution attempts.
    endpoint : str
        Endpoint to which it was sent last; empty if it was not sent.
    gateway : str
        Gateway to which it was forwarded last; empty if none.
    min_position : Position or None
        Position that the log of the endpoint had to contain.
    proof_age_s : float
        Age of the confirmation of that position; negative without one.
    answered : bool
        Whether the outcome is known, so that no further attempt is needed.
    """

    statement: Statement
    route: Route
    arrived_at: float
    writes: bool
    session: object
    values: dict[str, str]
    schedule: StopSchedule
    definition: PreparedStatement | None = None
    workspace: str = ""
    attempts: int = 0
    endpoint: str = ""
    gateway: str = ""
    min_position: Position | None = None
    proof_age_s: float = -1.0
    answered: bool = False

    @property
    def abortable(self) -> bool:
        """Whether the statement can be aborted without side effects."""
        if self.statement.kind is StatementKind.COMMIT:
            return False
        return not self.writes or self.session.transaction is not None

    @property
    def ends_by(self) -> float:
        """Time at which the statement timeout is over."""
        return self.arrived_at + self.route.statement_timeout_ms / 1000

    def remaining_s(self, time: float) -> float:
        """Return the time left before the statement is interrupted."""
        return min(self.ends_by, self.schedule.statements_until) - time

    def connection_wait_s(self, time: float) -> float:
        """Return the maximum useful wait for a connection."""
        max_wait_s = (
            self.route.latency_goal_ms / 1000 * CONNECTION_WAIT_FRACTION
        )
        wait_s = self.arrived_at + max_wait_s - time
        return max(MIN_ATTEMPT_TIME_S, min(wait_s, self.remaining_s(time)))

    def goal_remaining_s(self, time: float) -> float:
        """Return the time left within the latency goal."""
        goal_at = self.arrived_at + self.route.latency_goal_ms / 1000
        return min(goal_at - time, self.remaining_s(time))

    def expired(self) -> Failure | None:
        """Return a failure if there is no time for another attempt."""
        if self.remaining_s(now()) > MIN_ATTEMPT_TIME_S:
            return None
        reason = (
            f"statement timeout of {self.route.statement_timeout_ms} ms"
            " exceeded"
        )
        if self.schedule.statements_until < self.ends_by:
            reason = REASON
        return Failure(ErrorKind.DEADLINE_NOT_STARTED, reason)


Outcome = Reply | Failure


def failure_from(reply: Reply) -> Failure | None:
    """Return the error in a reply as a failure, or None."""
    if reply.refusal is None:
        return None
    return Failure(reply.refusal.kind, reply.refusal.detail)
