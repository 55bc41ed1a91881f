"""Types at the two ports of the relay.

A caller dialect decodes what callers send and encodes what they are
answered. An endpoint dialect does the same towards endpoints. The relay
between them only sees the types of this module.
"""

import enum
import typing

import msgspec

from chivescale.errors import ErrorKind, Failure
from chivescale.messages import Position


class StatementKind(enum.Enum):
    """What a statement does."""

    BEGIN = enum.auto()
    BEGIN_READ_ONLY = enum.auto()
    COMMIT = enum.auto()
    ROLLBACK = enum.auto()
    READ = enum.auto()
    WRITE = enum.auto()
    SET = enum.auto()
    PREPARE = enum.auto()
    EXECUTE = enum.auto()
    DEALLOCATE = enum.auto()


class TransactionState(enum.Enum):
    """State of a session after an answer."""

    IDLE = enum.auto()
    OPEN = enum.auto()
    FAILED = enum.auto()


class OpenSession(msgspec.Struct, frozen=True):
    """First message of a caller."""

    database: str


class Terminate(msgspec.Struct, frozen=True):
    """Last message of a caller."""


class Statement(msgspec.Struct, frozen=True):
    """One statement of a caller.

    Attributes
    ----------
    request_id : str
        Identifier that the caller chose.
    kind : StatementKind
        What the statement does.
    text : str
        Complete text, as it is forwarded.
    name : str
        Name of the session value or of the prepared statement.
    argument : str
        Session value, definition of a prepared statement, or the
        arguments of an execution.
    writes : bool
        For ``PREPARE``: whether the prepared statement writes.
    """

    request_id: str
    kind: StatementKind
    text: str
    name: str = ""
    argument: str = ""
    writes: bool = False


class Row(msgspec.Struct, frozen=True):
    """One row of an answer; `data` is passed on unchanged."""

    data: str


class Completed(msgspec.Struct, frozen=True):
    """Success; `signature` is passed on unchanged."""

    signature: str


class Refused(msgspec.Struct, frozen=True):
    """Error answer of an endpoint."""

    kind: ErrorKind
    detail: str


class AnswerEnd(msgspec.Struct, frozen=True):
    """End of an answer.

    Attributes
    ----------
    state : TransactionState
        State of the endpoint connection.
    position : Position or None
        Last log entry that the endpoint has applied.
    """

    state: TransactionState
    position: Position | None


class Reply(msgspec.Struct):
    """Complete answer of an endpoint to one statement.

    Attributes
    ----------
    rows : list of str
        Data of the rows.
    signature : str
        Mark of the endpoint on a successful answer.
    refusal : Refused or None
        Error, if the statement was not successful.
    state, position
        As in `AnswerEnd`.
    """

    rows: list[str]
    signature: str = ""
    refusal: Refused | None = None
    state: TransactionState = TransactionState.IDLE
    position: Position | None = None


class EndpointState(msgspec.Struct, frozen=True):
    """What an endpoint says of itself when asked.

    Attributes
    ----------
    primary : bool
        Whether it leads its service.
    term : int
        Term that it follows or leads.
    received : Position
        Last log entry that it has received, applied or not.
    """

    primary: bool
    term: int
    received: Position


class CallerDialect(typing.Protocol):
    """How callers speak."""

    max_message_bytes: int

    def decode(
        self, line: bytes
    ) -> OpenSession | Statement | Terminate | Failure:
        """Decode one message; a failure says what is wrong with it."""

    def encode_ready(self, state: TransactionState) -> bytes:
        """Encode the end of an answer, which also greets a session."""

    def encode_reply(self, reply: Reply, state: TransactionState) -> bytes:
        """Encode the successful answer of an endpoint."""

    def encode_done(self, state: TransactionState) -> bytes:
        """Encode the success of a statement that no endpoint has run."""

    def encode_failure(
        self, failure: Failure, state: TransactionState | None
    ) -> bytes:
        """Encode an error; without a state the connection is closed."""


class EndpointDialect(typing.Protocol):
    """How endpoints are spoken to.

    Functions that end in ``text`` return the text of a statement; `query`
    wraps a text into a message.
    """

    max_message_bytes: int

    def open(self, service: str, endpoint_id: str) -> bytes:
        """Encode the first message, which names the expected endpoint."""

    def query(self, request_id: str, text: str) -> bytes:
        """Encode a statement; an empty id marks one of the system."""

    def close(self) -> bytes:
        """Encode the last message."""

    def begin_text(self, read_only: bool, after: Position | None) -> str:
        """Begin a transaction on a log that holds `after`."""

    def after_text(self, after: Position, text: str) -> str:
        """Run a read only on a log that holds `after`."""

    def rollback_text(self) -> str:
        """Roll back."""

    def reset_text(self) -> str:
        """Clear session values and prepared statements."""

    def set_text(self, name: str, value: str) -> str:
        """Set a session value."""

    def prepare_text(self, name: str, writes: bool, definition: str) -> str:
        """Prepare a statement."""

    def execute_text(self, name: str, arguments: str) -> str:
        """Execute a prepared statement."""

    def state_text(self) -> str:
        """Ask for the state of the endpoint."""

    def pause_text(self, term: int) -> str:
        """Stop a replica from receiving entries of terms below `term`."""

    def resume_text(self) -> str:
        """End a pause."""

    def demote_text(self, term: int) -> str:
        """Turn a primary of a term below `term` into a replica."""

    def decode(
        self, line: bytes
    ) -> Row | Completed | Refused | AnswerEnd | Failure:
        """Decode one line of an answer."""

    def decode_state(self, reply: Reply) -> EndpointState | Failure:
        """Decode the answer to `state_text`."""
