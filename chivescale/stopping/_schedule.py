"""Decides what a stopping host still takes, and until when.

Decisions only, without a network: times go in, decisions come out.
"""

import math

import msgspec

from chivescale.errors import ErrorKind, Failure

# The load balancer probes each second and takes a host out after two misses.
# Connections that it forwarded before that arrive somewhat later.
BALANCER_DETECTION_S = 2.5
# A session that was opened this recently is about to send its first
# statement.
NEW_SESSION_S = 0.5
# Time before the kill that is left to answer and to end the process.
EXIT_MARGIN_FRACTION = 0.1
MAX_EXIT_MARGIN_S = 0.5
# Fraction of that time in which interrupted statements are answered.
ANSWER_FRACTION = 0.5
REASON = "host is shutting down"


class StopSchedule(msgspec.Struct):
    """Times of a planned stop; infinite until it begins.

    Attributes
    ----------
    connections_until : float
        The load balancer may send new connections until then. Until then
        idle sessions stay open, so that their clients do not come back, and
        the process does not end.
    transactions_until : float
        End of the first half of the grace period, in which open
        transactions have time to end. After that they are rolled back when
        they are idle or send their next statement.
    statements_until : float
        When statements that still run are interrupted.
    answers_until : float
        When the process ends, even if answers are missing.
    """

    connections_until: float = math.inf
    transactions_until: float = math.inf
    statements_until: float = math.inf
    answers_until: float = math.inf

    @property
    def begun(self) -> bool:
        """Whether the host was asked to stop."""
        return self.answers_until < math.inf

    def begin(self, time: float, grace_s: float) -> None:
        """Set the times; a repeated request to stop changes nothing.

        Parameters
        ----------
        time : float
            Time of the request to stop.
        grace_s : float
            Time from the request until the process is killed.
        """
        if self.begun:
            return
        margin_s = min(MAX_EXIT_MARGIN_S, EXIT_MARGIN_FRACTION * grace_s)
        self.statements_until = time + grace_s - margin_s
        self.answers_until = self.statements_until + ANSWER_FRACTION * margin_s
        self.transactions_until = time + grace_s / 2
        self.connections_until = min(
            time + BALANCER_DETECTION_S, self.statements_until
        )

    def has_ended(self, time: float, busy: bool) -> bool:
        """Return whether to stop waiting.

        Parameters
        ----------
        time : float
            Current time.
        busy : bool
            Whether sessions or statements of other hosts are left.
        """
        if time >= self.statements_until:
            return True
        return not busy and time >= self.connections_until

    def ends_transactions(self, time: float) -> bool:
        """Return whether open transactions are rolled back."""
        return time >= self.transactions_until

    def refuse_begin(self, time: float) -> Failure | None:
        """Return a failure if a new transaction would have no time."""
        if not self.ends_transactions(time):
            return None
        return Failure(ErrorKind.SHUTTING_DOWN, REASON)

    def refuse_in_transaction(self, time: float) -> Failure | None:
        """Return a failure if an open transaction is rolled back instead."""
        if not self.ends_transactions(time):
            return None
        return Failure(ErrorKind.TRANSACTION_ABORTED, REASON)

    def refuse_statement(self, time: float, ends_by: float) -> Failure | None:
        """Return a failure if a single statement may not end in time.

        In the first half of the grace period the load balancer may still
        send clients, and every statement is taken.

        Parameters
        ----------
        time : float
            Current time.
        ends_by : float
            When the time limit of the statement is over.
        """
        if time < self.transactions_until or ends_by <= self.statements_until:
            return None
        return Failure(ErrorKind.SHUTTING_DOWN, REASON)

    def closes_idle(self, time: float, opened_at: float) -> bool:
        """Return whether an idle session is closed."""
        return (
            time >= self.connections_until
            and time >= opened_at + NEW_SESSION_S
        )

    def closes_answered(self, time: float) -> bool:
        """Return whether a session is closed after an answer.

        Right after an answer no further request is under way yet, unlike at
        any other time.
        """
        return time >= self.connections_until
