"""Messages and codec interfaces on both sides of the relay.

A caller dialect decodes client messages and encodes the responses. An
endpoint dialect encodes requests to endpoints and decodes their replies. The
relay handles only the types defined here and does not depend on a wire
format.
"""

import enum
import typing

import msgspec

from chivescale.errors import ErrorKind, Failure
from chivescale.messages import Position


class StatementKind(enum.Enum):
    """Type of a statement."""

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
    """Transaction state of a session after a reply."""

    IDLE = enum.auto()
    OPEN = enum.auto()
    FAILED = enum.auto()


class OpenSession(msgspec.Struct, frozen=True):
    """Client message that opens a session on a database.

    Attributes
    ----------
    database : str
        Name of the database.
    key : bytes
        Key that the client presents; it must not be logged.
    """

    database: str
    key: bytes = b""

    def __repr__(self) -> str:
        return f"OpenSession({self.database!r})"


class Terminate(msgspec.Struct, frozen=True):
    """Client message that closes the session."""


class Statement(msgspec.Struct, frozen=True):
    """Statement sent by a client.

    Attributes
    ----------
    request_id : str
        Identifier chosen by the client.
    kind : StatementKind
        Type of the statement.
    text : str
        Complete text, forwarded unchanged.
    name : str
        Name of the session variable or of the prepared statement.
    argument : str
        Value of the session variable, definition of the prepared statement,
        or arguments of its execution.
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
    """One result row; `data` is forwarded unchanged."""

    data: str


class Completed(msgspec.Struct, frozen=True):
    """Success; `signature` is forwarded unchanged."""

    signature: str


class Refused(msgspec.Struct, frozen=True):
    """Error returned by an endpoint."""

    kind: ErrorKind
    detail: str


class AnswerEnd(msgspec.Struct, frozen=True):
    """End of a reply; the endpoint is ready for the next statement.

    Attributes
    ----------
    state : TransactionState
        Transaction state of the endpoint connection.
    position : Position or None
        Last log entry applied by the endpoint.
    """

    state: TransactionState
    position: Position | None


class Reply(msgspec.Struct):
    """Complete reply of an endpoint to one statement.

    Attributes
    ----------
    rows : list of str
        Row data.
    signature : str
        Opaque completion tag that the endpoint attaches to a successful
        reply.
    refusal : Refused or None
        Error of a statement that did not succeed.
    state, position
        As in `AnswerEnd`.
    """

    rows: list[str]
    signature: str = ""
    refusal: Refused | None = None
    state: TransactionState = TransactionState.IDLE
    position: Position | None = None


class EndpointState(msgspec.Struct, frozen=True):
    """Replication state reported by an endpoint.

    Attributes
    ----------
    primary : bool
        Whether the endpoint is the primary of its service.
    term : int
        Term in which it is primary or replica.
    received : Position
        Last log entry received, whether applied or not.
    """

    primary: bool
    term: int
    received: Position


class CallerDialect(typing.Protocol):
    """Codec for the protocol between clients and the relay."""

    max_message_bytes: int

    def decode(
        self, line: bytes
    ) -> OpenSession | Statement | Terminate | Failure:
        """Decode one message; a failure gives the reason."""

    def encode_ready(self, state: TransactionState) -> bytes:
        """Encode the end of a response, which also confirms a new session."""

    def encode_reply(self, reply: Reply, state: TransactionState) -> bytes:
        """Encode a successful reply of an endpoint."""

    def encode_done(self, state: TransactionState) -> bytes:
        """Encode the success of a statement that the relay handled itself."""

    def encode_failure(
        self, failure: Failure, state: TransactionState | None
    ) -> bytes:
        """Encode an error; without a state, the connection is then closed."""


class EndpointDialect(typing.Protocol):
    """Codec for the protocol between the relay and endpoints.

    Methods whose name ends in ``_text`` return the text of a statement;
    `query` encodes a text as a message.
    """

    max_message_bytes: int

    def open(
        self, service: str, endpoint_id: str, workspace: str = ""
    ) -> bytes:
        """Encode the opening message.

        It names the expected endpoint and the workspace whose statements the
        connection will run.
        """

    def query(self, request_id: str, text: str) -> bytes:
        """Encode a statement; internal statements have an empty id."""

    def close(self) -> bytes:
        """Encode the closing message."""

    def begin_text(self, read_only: bool, after: Position | None) -> str:
        """Begin a transaction if the log contains `after`."""

    def after_text(self, after: Position, text: str) -> str:
        """Run a read only if the log contains `after`."""

    def rollback_text(self) -> str:
        """Roll back the open transaction."""

    def reset_text(self) -> str:
        """Clear session variables and prepared statements."""

    def set_text(self, name: str, value: str) -> str:
        """Set a session variable."""

    def prepare_text(self, name: str, writes: bool, definition: str) -> str:
        """Prepare a statement."""

    def execute_text(self, name: str, arguments: str) -> str:
        """Execute a prepared statement."""

    def state_text(self) -> str:
        """Query the replication state of the endpoint."""

    def pause_text(self, term: int) -> str:
        """Stop a replica from receiving entries of terms below `term`."""

    def resume_text(self) -> str:
        """Resume receiving log entries."""

    def demote_text(self, term: int) -> str:
        """Demote a primary of a term below `term` to a replica."""

    def decode(
        self, line: bytes
    ) -> Row | Completed | Refused | AnswerEnd | Failure:
        """Decode one line of a reply."""

    def decode_state(self, reply: Reply) -> EndpointState | Failure:
        """Decode the reply to `state_text`."""
