"""An open transaction of a caller."""

import asyncio

import msgspec

from chivescale.catalog import Route
from chivescale.gateway import Peer
from chivescale.link import Link
from chivescale.relay._endpoint import Endpoint, Service


class Transaction(msgspec.Struct):
    """A transaction from its begin to its end.

    Attributes
    ----------
    route : Route
        In force when it began.
    read_only : bool
        Whether the caller began it for reads only.
    arrived_at : float
        When the begin arrived.
    service : Service or None
        Set together with `link` and `endpoint` by the first statement
        that needs an endpoint.
    leads : bool
        Whether it runs as a transaction that only a primary accepts.
    wrote : bool
        Whether a write was sent.
    peer : Peer or None
        Gateway that runs it, if another host does.
    number : int
        Identifies it on the connection to the gateway.
    failed : bool
        Whether it is rolled back; the caller still has to end it.
    timer : asyncio.TimerHandle or None
        Ends it when it is idle for too long.
    """

    route: Route
    read_only: bool
    arrived_at: float
    service: Service | None = None
    endpoint: Endpoint | None = None
    link: Link | None = None
    leads: bool = False
    wrote: bool = False
    peer: Peer | None = None
    number: int = 0
    failed: bool = False
    timer: asyncio.TimerHandle | None = None

    def attach(
        self, service: Service, endpoint: Endpoint, link: Link, leads: bool
    ) -> None:
        """Note where the transaction was begun."""
        self.service = service
        self.endpoint, self.link = endpoint, link
        self.leads = leads

    def stop_timer(self) -> None:
        """Cancel the idle time-out."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
