"""Transaction of a client session."""

import asyncio

import msgspec

from chivescale.catalog import Route
from chivescale.errors import ErrorKind, Failure
from chivescale.gateway import GatewayClient
from chivescale.link import Link
from chivescale.relay._endpoint import Endpoint, Service


class Transaction(msgspec.Struct):
    """Open or failed transaction.

    Attributes
    ----------
    route : Route
        Route in force when the transaction began.
    read_only : bool
        Whether the client began it as read-only.
    arrived_at : float
        Time at which the begin arrived.
    workspace : str
        Workspace of the client; empty if clients are not identified.
    service, endpoint, connection : Service, Endpoint, Link, or None
        Where the transaction runs. Set by the first statement that needs an
        endpoint.
    epoch : int or None
        Epoch under which it was begun as a transaction that only a primary
        accepts; None if any endpoint accepts it.
    wrote : bool
        Whether a write was sent.
    peer : GatewayClient or None
        Gateway that runs the transaction; None if it runs locally.
    gateway_transaction_id : int
        Identifies the transaction on the connection to the gateway.
    failed : bool
        Whether it was rolled back and the client has not ended it yet.
    unreported_abort : str
        Why it was rolled back between two statements; empty if the client
        knows.
    timer : asyncio.TimerHandle or None
        Idle timeout.
    """

    route: Route
    read_only: bool
    arrived_at: float
    workspace: str = ""
    service: Service | None = None
    endpoint: Endpoint | None = None
    connection: Link | None = None
    epoch: int | None = None
    wrote: bool = False
    peer: GatewayClient | None = None
    gateway_transaction_id: int = 0
    failed: bool = False
    unreported_abort: str = ""
    timer: asyncio.TimerHandle | None = None

    def attach(
        self,
        service: Service,
        endpoint: Endpoint,
        connection: Link,
        epoch: int | None,
    ) -> None:
        """Record where the transaction was begun."""
        self.service = service
        self.endpoint, self.connection = endpoint, connection
        self.epoch = epoch

    @property
    def reached_endpoint(self) -> bool:
        """Whether a statement may have reached an endpoint."""
        return self.endpoint is not None or bool(self.gateway_transaction_id)

    def take_failure(self) -> Failure:
        """Return the failure of the next statement after a rollback.

        A client that did not know of the rollback is told of it once.
        """
        reason, self.unreported_abort = self.unreported_abort, ""
        if reason:
            return Failure(ErrorKind.TRANSACTION_ABORTED, reason)
        reason = "the transaction has failed and must be rolled back"
        return Failure(ErrorKind.TRANSACTION_FAILED, reason)

    def stop_timer(self) -> None:
        """Cancel the idle timeout."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
