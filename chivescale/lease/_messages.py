"""Messages about leases; the field order is the wire format."""

import msgspec

# The clock rates of two hosts differ by less than 1 %.
CLOCK_RATE_FRACTION = 0.98


class Epoch(msgspec.Struct, frozen=True, array_like=True):
    """Period in which one endpoint is the primary of a service.

    Attributes
    ----------
    index : int
        Log index of the promotion that begins the epoch; 0 before the first
        promotion.
    endpoint : str
        Endpoint to be promoted; empty before the first promotion, when the
        only primary is the one that the service started with.
    planned : bool
        Whether the former primary was still working.
    open : bool
        Whether the endpoint may be used. In a closed epoch, no lease is held
        while the primary is being replaced.
    """

    index: int
    endpoint: str
    planned: bool = False
    open: bool = True


NO_EPOCH = Epoch(0, "")


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Promise of one coordinator not to confirm a later epoch.

    Attributes
    ----------
    member : str
        Coordinator that made the promise.
    remaining_s : float
        Time for which it holds, in seconds.
    index : int
        Highest epoch index of any service known to the coordinator. The
        grant covers a service if this is at least the index of its epoch.
    withheld : tuple of str
        Services that the grant does not cover, because the log of the
        coordinator contains a promotion that is not committed.
    """

    member: str
    remaining_s: float
    index: int
    withheld: tuple[str, ...] = ()


class LeaseAnswer(msgspec.Struct, frozen=True):
    """Grants of a coordinator and those that it passes on.

    Attributes
    ----------
    index : int
        Highest epoch index known to the sender.
    epochs : dict of str to Epoch
        Epochs by service whose index is above the one in the request.
    quorum : str
        Identifies the set of voters to which the grants refer.
    voters : int
        Number of these voters.
    grants : tuple of Grant
        At most one grant of each voter.
    held_s : float
        Time between the receipt of the request and the answer.
    """

    index: int = 0
    epochs: dict[str, Epoch] = {}
    quorum: str = ""
    voters: int = 0
    grants: tuple[Grant, ...] = ()
    held_s: float = 0.0


class RevocationStatus(msgspec.Struct, frozen=True):
    """What one coordinator knows about grants on epochs that ended.

    Attributes
    ----------
    withdrawn : bool
        Whether this coordinator makes no more grants on these epochs and
        knows all that it made.
    unconfirmed_s : dict of str to float
        Remaining time of the grants to entry hosts that have not confirmed.
    confirmed : tuple of str
        Entry hosts that use none of these epochs any more, whoever granted
        them.
    passed_s : dict of str to float
        Remaining time of the grants that other coordinators may pass on.
    """

    withdrawn: bool
    unconfirmed_s: dict[str, float] = {}
    confirmed: tuple[str, ...] = ()
    passed_s: dict[str, float] = {}
