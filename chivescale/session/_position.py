"""Position that the reads of a session must include."""

from chivescale.messages import Position
from chivescale.session._token import Token

SCOPE_WORKSPACE = "workspace"
SCOPE_CONNECTION = "connection"


class SessionPosition:
    """Tracks the position that reads of a caller's connection must include.

    Parameters
    ----------
    service : str
        Service of the connection.
    scope : str
        ``workspace`` or ``connection``, from the binding of the workspace.

    Attributes
    ----------
    highest_seen : Position or None
        Highest position known to be visible to the session.
    has_token : bool
        Whether the caller presented a token on this connection.
    covers_earlier_writes : bool
        Whether `highest_seen` includes all writes confirmed before the
        connection was opened. True after the first barrier or confirmed
        write on it.
    """

    __slots__ = (
        "covers_earlier_writes",
        "has_token",
        "highest_seen",
        "scope",
        "service",
    )

    def __init__(self, service: str, scope: str = SCOPE_WORKSPACE):
        self.service = service
        self.scope = scope
        self.highest_seen: Position | None = None
        self.has_token = False
        self.covers_earlier_writes = False

    def record_token(self, token: Token) -> None:
        """Record a token of this service that the caller presented."""
        self.has_token = True
        self._advance_to(token.position)

    def record_write(self, position: Position) -> None:
        """Record a confirmed write of this connection."""
        # It follows in the log every write that was confirmed before it was
        # sent.
        self.covers_earlier_writes = True
        self._advance_to(position)

    def record_barrier(self, position: Position) -> None:
        """Record the barrier that a read of this connection used."""
        self.covers_earlier_writes = True
        self._advance_to(position)

    def needs_barrier(self, has_token: bool = False) -> bool:
        """Return whether the next read requires a barrier.

        Parameters
        ----------
        has_token : bool, optional
            Whether the statement itself carries a token.
        """
        return needs_barrier(
            self.scope, has_token or self.has_token, self.covers_earlier_writes
        )

    def required_position(self, token: Token | None = None) -> Position | None:
        """Return the position that a read must include; None if unknown."""
        if token is None:
            return self.highest_seen
        if self.highest_seen is None:
            return token.position
        return max(self.highest_seen, token.position)

    def token(self) -> Token | None:
        """Return the token for the caller; None if no position is known."""
        if self.highest_seen is None:
            return None
        return Token(self.service, self.highest_seen)

    def _advance_to(self, position: Position) -> None:
        if self.highest_seen is None or position > self.highest_seen:
            self.highest_seen = position


def needs_barrier(
    scope: str, has_token: bool, covers_earlier_writes: bool
) -> bool:
    """Return whether a read requires a barrier.

    With ``workspace`` scope and no token, another connection of the workspace
    may have written, so the position known to this connection is not
    sufficient.

    Parameters
    ----------
    scope : str
        ``workspace`` or ``connection``.
    has_token : bool
        Whether the caller presented a token.
    covers_earlier_writes : bool
        Whether the connection had a barrier or a confirmed write.

    Examples
    --------
    >>> needs_barrier("workspace", False, True)
    True
    >>> needs_barrier("connection", False, True)
    False
    """
    if has_token:
        return False
    return scope != SCOPE_CONNECTION or not covers_earlier_writes
