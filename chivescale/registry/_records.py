"""What is known of one endpoint."""

import msgspec


class EndpointBeat(msgspec.Struct, frozen=True):
    """One heartbeat or the farewell of an endpoint.

    Attributes
    ----------
    endpoint, service, address, zone : str
        Identity and ``ip:port``.
    slots : int
        Statements that it runs at a time.
    draining : bool
        Whether it will end soon and takes no new work.
    primary : bool
        Whether it considers itself the primary of its service.
    born_ms : int
        Start of its process in Unix milliseconds; 0 if not stated. A
        higher one is a later incarnation.
    sequence : int
        Number of the heartbeat within its incarnation.
    gone : bool
        Whether it has ended.
    """

    endpoint: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    primary: bool
    born_ms: int
    sequence: int
    gone: bool = False

    @property
    def order(self) -> tuple[int, bool, int]:
        """Sort key by which a later statement replaces an earlier one."""
        return (self.born_ms, self.gone, self.sequence)


class EndpointView(msgspec.Struct):
    """Last statement of an endpoint and when it was heard.

    Attributes
    ----------
    beat : EndpointBeat
        Newest statement.
    heard_at : float
        Time of the newest statement in seconds.
    primary_since : float
        When it first called itself primary; 0 if it does not.
    revision : int
        Number of the last change that matters to entry hosts.
    """

    beat: EndpointBeat
    heard_at: float
    primary_since: float
    revision: int
