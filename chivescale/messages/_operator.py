"""Requests of operators to control hosts, and their state."""

import msgspec


class MemberStatus(msgspec.Struct, frozen=True):
    """A member of the control log as one control host sees it.

    Attributes
    ----------
    name, address : str
        Member and its ``ip:port``.
    voter : bool
        False for a learner.
    match_index : int
        Log index known to be stored there; -1 if this host is no leader.
    contact_ms : int
        Age of the last answer; -1 if unknown.
    """

    name: str
    address: str
    voter: bool = True
    match_index: int = -1
    contact_ms: int = -1


class Status(msgspec.Struct, frozen=True):
    """Answer of a control host to ``GET /v1/status``.

    Attributes
    ----------
    host : str
        Name of the answering host.
    role : str
        ``leader``, ``follower`` or ``candidate``.
    term : int
        Term of the control log.
    leader : str
        Address of the leader; empty if none is known.
    index : int
        Log index applied.
    sheet : int
        Number of the sheet in force; 0 for none.
    members : tuple of MemberStatus
        Members of the control log.
    live_hosts : tuple of str
        Entry hosts with a recent heartbeat; known to the leader only.
    """

    host: str
    role: str = "follower"
    term: int = 0
    leader: str = ""
    index: int = 0
    sheet: int = 0
    members: tuple[MemberStatus, ...] = ()
    live_hosts: tuple[str, ...] = ()


class DrainRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/hosts/drain``: drain an entry host."""

    host: str


class ReplaceRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/members/replace``.

    Admits the present incarnation of a control host as a learner, after its
    disk was lost.
    """

    name: str
