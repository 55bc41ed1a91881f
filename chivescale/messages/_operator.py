"""Operator requests to control hosts, and the status of control hosts."""

import msgspec


class MemberStatus(msgspec.Struct, frozen=True):
    """Status of a member of the agreement, as seen by one control host.

    Attributes
    ----------
    name, address : str
        Name and ``ip:port`` of the member.
    voter : bool
        False for a learner.
    match_index : int
        Highest log index known to be stored on the member; -1 if the
        reporting host is not the leader.
    contact_ms : int
        Time since the last response of the member; -1 if unknown.
    """

    name: str
    address: str
    voter: bool = True
    match_index: int = -1
    contact_ms: int = -1


class Status(msgspec.Struct, frozen=True):
    """Reply of a control host to ``GET /v1/status``.

    Attributes
    ----------
    host : str
        Name of the control host.
    role : str
        ``leader``, ``follower`` or ``candidate``.
    term : int
        Term of the agreement.
    leader : str
        Address of the leader; empty if unknown.
    index : int
        Last applied log index.
    sheet : int
        Number of the current sheet; 0 if there is none.
    members : tuple of MemberStatus
        Members of the agreement.
    live_hosts : tuple of str
        Entry hosts with a recent heartbeat; empty unless this host is the
        leader.
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

    Admits the current incarnation of a control host as a learner, after the
    host lost its disk.
    """

    name: str
