"""Durable role of an endpoint: promised term and followed primary."""

import pathlib
import sqlite3

import msgspec


class Following(msgspec.Struct, frozen=True):
    """Primary that a replica follows."""

    term: int
    primary: str
    address: str


class Role(msgspec.Struct, frozen=True):
    """What an endpoint must not forget.

    Attributes
    ----------
    promised_term : int
        Lower terms are refused.
    following : Following, optional
        Followed primary; absent on a primary and after a promise.
    leaving : bool
        Whether the endpoint asked for no new work.
    incarnation : str
        Identity of the data that this state belongs to.
    """

    promised_term: int = 0
    following: Following | None = None
    leaving: bool = False
    incarnation: str = ""


class RoleFile:
    """Keeps one `Role` in its own SQLite file, synced on every change.

    It is separate from the data because a promise must be stored while a
    caller's transaction is open, and because a rebuild replaces the data.
    """

    def __init__(self, folder: pathlib.Path):
        self.connection = sqlite3.connect(
            folder / "role.db", isolation_level=None
        )
        self.connection.execute("PRAGMA journal_mode=WAL")
        self.connection.execute("PRAGMA synchronous=FULL")
        self.connection.execute(
            "CREATE TABLE IF NOT EXISTS role"
            " (id INTEGER PRIMARY KEY CHECK (id = 1), content BLOB)"
        )
        row = self.connection.execute("SELECT content FROM role").fetchone()
        self.role = Role()
        if row is not None:
            self.role = msgspec.json.decode(row[0], type=Role)

    def change(self, **fields) -> None:
        """Store a changed role; it is durable on return."""
        role = msgspec.structs.replace(self.role, **fields)
        self.connection.execute(
            "INSERT OR REPLACE INTO role VALUES (1, ?)",
            (msgspec.json.encode(role),),
        )
        self.role = role

    def close(self) -> None:
        """Close the file."""
        self.connection.close()
