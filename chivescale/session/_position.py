"""What the reads of one session have to include."""

from chivescale.messages import Position
from chivescale.session._token import Token

SCOPE_WORKSPACE = "workspace"
SCOPE_CONNECTION = "connection"


class SessionPosition:
    """Position that the next read of a caller's connection must include.

    Parameters
    ----------
    service : str
        Service of the connection.
    scope : str
        ``workspace`` or ``connection``, from the workspace's binding.

    Attributes
    ----------
    seen : Position or None
        Highest position known to be visible to the session.
    has_token : bool
        Whether the caller presented a token on this connection.
    anchored : bool
        Whether `seen` covers everything confirmed before the connection
        opened: after one barrier or one confirmed write on it.
    """

    __slots__ = ("anchored", "has_token", "scope", "seen", "service")

    def __init__(self, service: str, scope: str = SCOPE_WORKSPACE):
        self.service = service
        self.scope = scope
        self.seen: Position | None = None
        self.has_token = False
        self.anchored = False

    def use_token(self, token: Token) -> None:
        """Note a token of this service that the caller presented."""
        self.has_token = True
        self._raise_to(token.position)

    def write_confirmed(self, position: Position) -> None:
        """Note a confirmed write of this connection."""
        # Later in the log than every write confirmed before it was sent.
        self.anchored = True
        self._raise_to(position)

    def barrier_taken(self, position: Position) -> None:
        """Note the barrier that a read of this connection used."""
        self.anchored = True
        self._raise_to(position)

    def needs_barrier(self, has_token: bool = False) -> bool:
        """Tell whether the next read must take a barrier.

        Parameters
        ----------
        has_token : bool, optional
            Whether the statement itself carries a token.
        """
        return needs_barrier(
            self.scope, has_token or self.has_token, self.anchored
        )

    def required(self, token: Token | None = None) -> Position | None:
        """Return what a read must include; None if nothing is known."""
        if token is None:
            return self.seen
        if self.seen is None:
            return token.position
        return max(self.seen, token.position)

    def token(self) -> Token | None:
        """Return the token to hand out; None if nothing is known."""
        if self.seen is None:
            return None
        return Token(self.service, self.seen)

    def _raise_to(self, position: Position) -> None:
        if self.seen is None or position > self.seen:
            self.seen = position


def needs_barrier(scope: str, has_token: bool, anchored: bool) -> bool:
    """Tell whether a read must take a barrier.

    With ``workspace`` scope and no token, another connection of the
    workspace may have written, so what this connection has seen does not
    suffice.

    Parameters
    ----------
    scope : str
        ``workspace`` or ``connection``.
    has_token : bool
        Whether the caller presented a token.
    anchored : bool
        Whether the connection took a barrier or had a write confirmed.

    Examples
    --------
    >>> needs_barrier("workspace", False, True)
    True
    >>> needs_barrier("connection", False, True)
    False
    """
    if has_token:
        return False
    return scope != SCOPE_CONNECTION or not anchored
