"""Selection of the endpoint to promote."""

import msgspec

from chivescale.errors import ErrorKind, Failure
from chivescale.messages import Position


class Candidate(msgspec.Struct, frozen=True):
    """A replica that may be promoted.

    Attributes
    ----------
    endpoint : str
        Identifier of the endpoint.
    received : Position or None
        Position of its last log entry; None if it did not answer.
    draining : bool
        Whether it is shutting down.
    """

    endpoint: str
    received: Position | None
    draining: bool = False


def choose_successor(
    candidates: list[Candidate],
    sync_replicas: int,
    ordered: str = "",
    required: Position | None = None,
    acknowledged: Position | None = None,
) -> str | Failure:
    """Return the most advanced replica, or the one ordered before.

    At least `sync_replicas` replicas hold each acknowledged commit. If fewer
    than that did not answer, one that answered holds it. Otherwise an
    acknowledged commit could be lost, and no replica is chosen. If the last
    log entry of the primary is known, only replicas that have received it are
    considered. Replicas that lack what callers were told of are never chosen:
    the one that holds it may have terminated, or nobody knew of it.

    Parameters
    ----------
    candidates : list of Candidate
        All replicas of the service that have not terminated.
    sync_replicas : int
        Number of replicas that receive a commit before it is acknowledged.
    ordered : str
        Replica whose promotion was ordered before without effect so far;
        empty if none. That order may still be executed, so that two
        endpoints would be promoted if another one was chosen.
    required : Position or None
        Last log entry of the primary, to which nobody writes any more; None
        if it is not known.
    acknowledged : Position or None
        Position up to which callers were told of commits; None if unknown.

    Returns
    -------
    endpoint or Failure
        ``NO_QUORUM`` if only other replicas may hold an acknowledged commit,
        ``NO_PRIMARY`` if no replica answered.
    """
    responding = [c for c in candidates if c.received is not None]
    silent = len(candidates) - len(responding)
    if required is not None:
        responding = [c for c in responding if c.received >= required]
        if not responding:
            reason = f"no replica has received {required} from the primary"
            return Failure(ErrorKind.NO_QUORUM, reason)
    elif sync_replicas and silent >= sync_replicas:
        reason = (
            f"{silent} replicas did not answer and may hold an acknowledged "
            f"commit (sync_replicas={sync_replicas})"
        )
        return Failure(ErrorKind.NO_QUORUM, reason)
    if not responding:
        return Failure(ErrorKind.NO_PRIMARY, "no replica answered")
    if acknowledged is not None:
        responding = [c for c in responding if c.received >= acknowledged]
        if not responding:
            reason = (
                f"no replica has received {acknowledged}, up to which callers "
                f"were told of commits"
            )
            return Failure(ErrorKind.NO_QUORUM, reason)
    preferred = [c for c in responding if not c.draining]
    latest_position = max(c.received for c in responding)
    if sync_replicas and required is None:
        preferred = [c for c in preferred if c.received == latest_position]
    if ordered in {c.endpoint for c in preferred}:
        return ordered
    best = max(preferred or responding, key=lambda c: (c.received, c.endpoint))
    return best.endpoint
