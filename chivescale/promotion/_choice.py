"""Choice of the endpoint that becomes primary."""

import msgspec

from chivescale.errors import ErrorKind, Failure
from chivescale.messages import Position


class Candidate(msgspec.Struct, frozen=True):
    """A replica of the service.

    Attributes
    ----------
    endpoint : str
        Identifier.
    received : Position or None
        Last log entry that it holds; None if it did not answer.
    draining : bool
        Whether it will end soon.
    """

    endpoint: str
    received: Position | None
    draining: bool = False


def choose_successor(
    candidates: list[Candidate], sync_replicas: int
) -> str | Failure:
    """Return the most advanced replica.

    An acknowledged commit is held by at least `sync_replicas` replicas. It
    is certainly held by one that answered if fewer than that many did not
    answer; otherwise the choice has to wait.

    Parameters
    ----------
    candidates : list of Candidate
        Every replica of the service that has not ended.
    sync_replicas : int
        Replicas that have received a commit before it is acknowledged.

    Returns
    -------
    endpoint or Failure
        ``NO_QUORUM`` if a silent replica may hold an acknowledged commit,
        ``NO_PRIMARY`` if no replica answered.
    """
    heard = [c for c in candidates if c.received is not None]
    silent = len(candidates) - len(heard)
    if sync_replicas and silent >= sync_replicas:
        reason = f"{silent} replicas silent, {sync_replicas} may hold a commit"
        return Failure(ErrorKind.NO_QUORUM, reason)
    if not heard:
        return Failure(ErrorKind.NO_PRIMARY, "no replica answered")
    staying = [c for c in heard if not c.draining]
    furthest = max(c.received for c in heard)
    if sync_replicas:
        staying = [c for c in staying if c.received == furthest]
    best = max(staying or heard, key=lambda c: (c.received, c.endpoint))
    return best.endpoint
