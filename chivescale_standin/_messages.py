"""Messages between stand-in endpoints and for fault injection."""

import msgspec

from chivescale.messages import Position, TermStart


class LogEntry(msgspec.Struct, frozen=True):
    """One committed transaction.

    Attributes
    ----------
    position : int
        Place in the log, from 1.
    term : int
        Term of the primary that wrote it.
    statements : tuple of (str, str)
        Translated statements without nondeterminism, each with the time at
        which the primary ran it; empty for the marker of a term.
    """

    position: int
    term: int
    statements: tuple[tuple[str, str], ...] = ()


class ReplicateReply(msgspec.Struct, frozen=True):
    """Answer of a primary to a replica.

    Attributes
    ----------
    term : int
        Term of the primary.
    last : Position
        End of the primary's log.
    entries : tuple of LogEntry
        Entries after the replica's position.
    diverged : bool
        Whether the replica's log is no prefix of the primary's.
    term_starts : tuple of TermStart
        With `diverged`: which term owns which positions.
    """

    term: int
    last: Position
    entries: tuple[LogEntry, ...] = ()
    diverged: bool = False
    term_starts: tuple[TermStart, ...] = ()


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults to inject; absent fields leave the present ones as they are.

    Attributes
    ----------
    clear : bool
        First end all faults.
    freeze_ms : int
        Stop everything but this request for so long.
    cut : tuple of str
        Endpoints with which replication stops; empty ends the cut.
    cut_all : bool
        Replication with all endpoints stops.
    cut_control : bool
        The admin interface answers nothing but this request.
    lag_ms : int
        Delay between receiving and applying entries.
    slow_ms : int
        Added to every statement while it holds a slot.
    silence : bool
        SQL and admin connections open now never answer again.
    refuse : bool
        New SQL connections are refused.
    drop_announcements : int
        Announcements to leave out.
    delay_ms : float
        One-way network delay.
    """

    clear: bool = False
    freeze_ms: int | None = None
    cut: tuple[str, ...] | None = None
    cut_all: bool | None = None
    cut_control: bool | None = None
    lag_ms: int | None = None
    slow_ms: int | None = None
    silence: bool = False
    refuse: bool | None = None
    drop_announcements: int | None = None
    delay_ms: float | None = None
