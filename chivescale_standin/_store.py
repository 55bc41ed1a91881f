"""Data and replicated log in one SQLite file."""

import os
import pathlib
import sqlite3
import uuid

import msgspec

from chivescale.messages import Position, TermStart
from chivescale_standin._messages import LogEntry
from chivescale_standin._values import register_converters

_LOG_SCHEMA = """
CREATE TABLE IF NOT EXISTS standin_log (
    position INTEGER PRIMARY KEY, term INTEGER NOT NULL, statements BLOB);
CREATE TABLE IF NOT EXISTS standin_meta (name TEXT PRIMARY KEY, value);
"""
_LOG_TABLES = ("standin_log", "standin_meta", "sqlite_sequence")
_encode = msgspec.json.encode
_decode = msgspec.json.Decoder(tuple[tuple[str, str], ...]).decode

register_converters()


class Store:
    """The database of one endpoint.

    Committed transactions and their log entries are durable together.
    Another connection serves reads, so that nobody sees uncommitted data.

    Parameters
    ----------
    folder : Path
        Data folder.
    name : str
        File name in the folder.
    synced : bool
        Whether commits wait for the disk; a rebuild syncs once at its end.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        name: str = "data.db",
        synced: bool = True,
    ):
        self.path = folder / name
        self.synced = synced
        self.now = ""
        self.automatic: set[str] = set()
        self.open()

    def open(self) -> None:
        """Open the file and read the end of the log."""
        self.writer = self._connect()
        self.writer.executescript(_LOG_SCHEMA)
        self.reader = self._connect()
        self.plain = self._connect(types=0)
        for connection in (self.reader, self.plain):
            connection.execute("PRAGMA query_only=ON")
        self.term_starts = [
            TermStart(term, position)
            for term, position in self.writer.execute(
                "SELECT term, MIN(position) FROM standin_log"
                " GROUP BY term ORDER BY term"
            )
        ]
        row = self.writer.execute(
            "SELECT term, position FROM standin_log"
            " ORDER BY position DESC LIMIT 1"
        ).fetchone()
        self.last = Position(*row) if row else Position(0, 0)
        self.note_schema()

    def _connect(self, types=sqlite3.PARSE_DECLTYPES) -> sqlite3.Connection:
        connection = sqlite3.connect(
            self.path,
            isolation_level=None,
            detect_types=types,
            timeout=0,
            check_same_thread=False,
        )
        level = "FULL" if self.synced else "OFF"
        connection.execute("PRAGMA journal_mode=WAL")
        connection.execute(f"PRAGMA synchronous={level}")
        connection.create_function("standin_now", 0, lambda: self.now)
        connection.create_function("CONCAT", -1, _concat)
        return connection

    def close(self) -> None:
        """Close the file; an open transaction rolls back."""
        self.reader.close()
        self.plain.close()
        self.writer.close()

    def note_schema(self) -> None:
        """Remember which tables have an automatic key."""
        self.automatic = {
            name.lower()
            for name, text in self.writer.execute(
                "SELECT name, sql FROM sqlite_master WHERE type = 'table'"
            )
            if "AUTOINCREMENT" in (text or "")
        }

    def tables(self) -> list[str]:
        """Return the names of the users' tables."""
        rows = self.reader.execute(
            "SELECT name FROM sqlite_master WHERE type = 'table' ORDER BY name"
        )
        return [name for (name,) in rows if name not in _LOG_TABLES]

    def incarnation(self, expected: str = "") -> str:
        """Return the identity of the data; a new one if `expected` differs.

        Parameters
        ----------
        expected : str
            Identity that the rest of the durable state belongs to.
        """
        row = self.writer.execute(
            "SELECT value FROM standin_meta WHERE name = 'incarnation'"
        ).fetchone()
        if row is None or row[0] != expected:
            row = (uuid.uuid4().hex,)
            self.set_incarnation(row[0])
        return row[0]

    def set_incarnation(self, value: str) -> None:
        """Store the identity of the data."""
        self.writer.execute(
            "INSERT OR REPLACE INTO standin_meta VALUES ('incarnation', ?)",
            (value,),
        )

    def begin(self) -> None:
        """Start a write transaction."""
        self.writer.execute("BEGIN IMMEDIATE")

    def rollback(self) -> None:
        """Undo the open transaction."""
        if self.writer.in_transaction:
            self.writer.execute("ROLLBACK")
            self.note_schema()

    def run(self, text: str, at: str) -> sqlite3.Cursor:
        """Run a statement in the open transaction."""
        self.now = at
        return self.writer.execute(text)

    def read(self, text: str) -> tuple[list[str], list[tuple]]:
        """Run a query on committed data; return column names and rows."""
        names, rows = fetch(self.reader.execute(text))
        if any(None in row for row in rows):
            # The module turns empty values into None when it converts them.
            _, plain = fetch(self.plain.execute(text))
            rows = [
                tuple(map(_restore_empty, *pair))
                for pair in zip(rows, plain, strict=True)
            ]
        return names, rows

    def append(self, term: int, statements: tuple) -> Position:
        """Commit the open transaction as the next log entry."""
        entry = LogEntry(self.last.position + 1, term, statements)
        self._insert(entry)
        self.writer.execute("COMMIT")
        self._note(entry)
        return self.last

    def append_marker(self, term: int) -> Position:
        """Commit the first entry of a term."""
        self.begin()
        return self.append(term, ())

    def _insert(self, entry: LogEntry) -> None:
        self.writer.execute(
            "INSERT INTO standin_log VALUES (?, ?, ?)",
            (entry.position, entry.term, _encode(entry.statements)),
        )

    def _note(self, entry: LogEntry) -> None:
        if entry.term != self.last.term:
            self.term_starts.append(TermStart(entry.term, entry.position))
        self.last = Position(entry.term, entry.position)

    def apply(self, entries: list[LogEntry]) -> None:
        """Apply entries of the primary in one transaction.

        Raises
        ------
        sqlite3.Error
            If an entry cannot be applied; nothing is kept then.
        """
        self.begin()
        try:
            for entry in entries:
                for text, at in entry.statements:
                    self.run(text, at)
                self._insert(entry)
            self.writer.execute("COMMIT")
        except sqlite3.Error:
            self.rollback()
            raise
        for entry in entries:
            self._note(entry)
        self.note_schema()

    def entries_after(
        self, position: int, limit_bytes: int, until: int | None = None
    ) -> list[LogEntry]:
        """Return the next log entries, at least one if there is any."""
        rows = self.reader.execute(
            "SELECT position, term, statements FROM standin_log"
            " WHERE position > ? AND position <= ? ORDER BY position",
            (position, self.last.position if until is None else until),
        )
        entries, size = [], 0
        for place, term, data in rows:
            size += len(data)
            if entries and size > limit_bytes:
                break
            entries.append(LogEntry(place, term, _decode(data)))
        rows.close()
        return entries

    def term_at(self, position: int) -> int:
        """Return the term that owns a position; 0 if there is none."""
        return owner(self.term_starts, self.last.position, position)

    def replace_with(self, other: "Store") -> None:
        """Take over the file of a rebuilt store in one step."""
        other.close()
        self.close()
        fd = os.open(other.path, os.O_RDONLY)
        os.fsync(fd)
        os.close(fd)
        os.replace(other.path, self.path)
        fd = os.open(self.path.parent, os.O_RDONLY)
        os.fsync(fd)
        os.close(fd)
        self.open()


def fetch(cursor: sqlite3.Cursor) -> tuple[list[str], list[tuple]]:
    """Return column names and all rows, and end the read."""
    names = [column[0] for column in cursor.description or ()]
    rows = cursor.fetchall()
    cursor.close()
    return names, rows


def _restore_empty(value, plain):
    if value is None and plain in (b"", ""):
        return b""
    return value


def owner(term_starts, last: int, position: int) -> int:
    """Return the term that owns a position of a log of length `last`."""
    if not 0 < position <= last:
        return 0
    found = 0
    for start in term_starts:
        if start.position <= position:
            found = start.term
    return found


def common_prefix(mine, my_last: int, theirs, their_last: int) -> int:
    """Return the last position that two logs share.

    A term has one primary, so entries of the same term and position are
    equal, and so is everything before them.

    Examples
    --------
    >>> a = [TermStart(1, 1), TermStart(2, 5)]
    >>> b = [TermStart(1, 1), TermStart(3, 4)]
    >>> common_prefix(a, 9, b, 6)
    3
    """
    ends = _term_ends(theirs, their_last)
    shared = 0
    for term, (start, end) in _term_ends(mine, my_last).items():
        if term in ends and ends[term][0] == start:
            shared = max(shared, min(end, ends[term][1]))
    return shared


def _term_ends(term_starts, last: int) -> dict[int, tuple[int, int]]:
    ends = {}
    for index, start in enumerate(term_starts):
        end = last
        if index + 1 < len(term_starts):
            end = term_starts[index + 1].position - 1
        ends[start.term] = (start.position, end)
    return ends


def _concat(*parts) -> str | None:
    if any(part is None for part in parts):
        return None
    return "".join(str(part) for part in parts)
