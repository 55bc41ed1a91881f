"""What the caller side exchanges with the code that runs statements."""

import collections.abc
import typing

import msgspec
from mysql_mimic.session import BaseSession

from chivescale.errors import Failure
from chivescale.mysql._result import QueryResult


class CallerSession(BaseSession):
    """One connection of a caller.

    The handlers own `in_transaction` and `autocommit`; the server reports
    them in the status flags of every answer. `variables` and `data` belong
    to the handlers alone, except that COM_RESET_CONNECTION clears the
    variables.

    Attributes
    ----------
    connection_id : int
        Number of the connection, unique in the process.
    peer : str
        Address of the caller.
    workspace, service : str
        User name and default database.
    in_transaction, autocommit : bool
        State of the session.
    variables : dict
        Session variables.
    data : object
        Free for the handlers.
    executing : bool
        Whether a statement is running.
    killed : Failure or None
        Why the connection ends, once `kill` was called.
    """

    def __init__(self, connection_id: int, peer: str = ""):
        self.connection_id = connection_id
        self.peer = peer
        self.workspace = ""
        self.service = ""
        self.in_transaction = False
        self.autocommit = True
        self.variables = {}
        self.data: typing.Any = None
        self.executing = False
        self.killed: Failure | None = None
        self.end: collections.abc.Callable[[Failure], None] | None = None

    def kill(self, failure: Failure) -> None:
        """End the connection.

        An idle connection closes at once; if a command is arriving, after it
        was answered with `failure`. A running statement is cancelled and
        answered with `failure`, unless its handler catches the cancellation
        and returns an outcome of its own, which is then sent.
        """
        if self.end is not None:
            self.killed = self.killed or failure
            self.end(failure)


SecretHash = collections.abc.Callable[[str], str | None]
Opened = collections.abc.Callable[
    [CallerSession], collections.abc.Awaitable[Failure | None]
]
Execute = collections.abc.Callable[
    [CallerSession, str, dict],
    collections.abc.Awaitable[QueryResult | Failure],
]
Closed = collections.abc.Callable[
    [CallerSession], collections.abc.Awaitable[None]
]
Use = collections.abc.Callable[
    [CallerSession, str], collections.abc.Awaitable[Failure | None]
]
Admit = collections.abc.Callable[[], collections.abc.Awaitable[Failure | None]]


class CallerHandlers(msgspec.Struct):
    """Functions that the server calls.

    When the caller vanishes while `execute` runs, the coroutine is
    cancelled; `closed` runs once after it has ended.

    Attributes
    ----------
    secret_hash : callable
        Hex SHA1(SHA1(secret)) of a workspace; None if there is none.
    opened : callable
        Called after a valid login; a `Failure` refuses the connection.
    execute : callable
        Runs one statement.
    closed : callable
        Called once for every session that `opened` accepted.
    use : callable, optional
        Asked before the default database changes.
    admit : callable, optional
        Asked before the greeting; a `Failure` is sent in its place.
    """

    secret_hash: SecretHash
    opened: Opened
    execute: Execute
    closed: Closed
    use: Use | None = None
    admit: Admit | None = None


class ServerOptions(msgspec.Struct, frozen=True):
    """Limits of the caller side.

    Attributes
    ----------
    max_packet_bytes : int
        Largest command; a larger one ends its connection.
    max_prepared : int
        Prepared statements of one connection.
    max_connections : int
        Open connections; further ones are refused.
    login_s, write_s : float
        Limits for a login and for an answer that the caller does not read.
    prefix_errors : bool
        Whether error messages start with the kind in brackets.
    version : str
        Server version of the greeting.
    """

    max_packet_bytes: int = 1 << 20
    max_prepared: int = 64
    max_connections: int = 10000
    login_s: float = 10.0
    write_s: float = 30.0
    prefix_errors: bool = True
    version: str = "8.0.36-chivescale"
