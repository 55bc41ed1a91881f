"""Idempotency keys: SQL texts and the meaning of a stored row."""

import hashlib
import re

import msgspec

from chivescale.errors import ErrorKind, Failure

# Binary collation: with a case-insensitive one, keys that differ only in
# case would count as the same request.
CREATE_REQUEST_TABLE = (
    "CREATE TABLE IF NOT EXISTS chivescale_request ("
    "workspace VARCHAR(128) COLLATE binary NOT NULL, "
    "request_key VARCHAR(128) COLLATE binary NOT NULL, "
    "digest CHAR(64) NOT NULL, "
    "affected_rows BIGINT, "
    "last_insert_id BIGINT, "
    "created_at TIMESTAMP NOT NULL DEFAULT CURRENT_TIMESTAMP, "
    "PRIMARY KEY (workspace, request_key))"
)
# MySQL error number of a duplicate primary key: the key was seen before.
DUPLICATE_ERRNO = 1062
# Lock wait timeout and deadlock: another transaction holds the key.
LOCKED_ERRNOS = frozenset({1205, 1213})
_PLAIN = re.compile(r"[A-Za-z0-9 ._:/+=@-]*", re.ASCII)


class StoredResult(msgspec.Struct, frozen=True):
    """Result of a request that ran before."""

    affected_rows: int
    last_insert_id: int


class StatementKey(msgspec.Struct, frozen=True):
    """Idempotency key of one statement.

    Attributes
    ----------
    workspace : str
        Workspace that the key belongs to.
    key : str
        Key of the caller.
    digest : str
        Digest of the statement, from `statement_digest`.
    """

    workspace: str
    key: str
    digest: str

    def insert_sql(self) -> str:
        """Return the statement that claims the key.

        It fails with `DUPLICATE_ERRNO` if the key was seen before.
        """
        return (
            "INSERT INTO chivescale_request "
            "(workspace, request_key, digest) VALUES "
            f"({_literal(self.workspace)}, {_literal(self.key)}, "
            f"{_literal(self.digest)})"
        )

    def update_sql(self, affected_rows: int, last_insert_id: int) -> str:
        """Return the statement that stores the result."""
        return (
            "UPDATE chivescale_request "
            f"SET affected_rows = {int(affected_rows)}, "
            f"last_insert_id = {int(last_insert_id)} WHERE {self._where()}"
        )

    def select_sql(self) -> str:
        """Return the query whose row `interpret` takes."""
        return (
            "SELECT digest, affected_rows, last_insert_id "
            f"FROM chivescale_request WHERE {self._where()}"
        )

    def interpret(self, row: tuple | None) -> StoredResult | Failure | None:
        """Return what a stored row says about this request.

        Parameters
        ----------
        row : tuple or None
            Row of `select_sql`; None if there was none.

        Returns
        -------
        StoredResult, Failure or None
            The stored result; ``KEY_REUSED`` if the key was used for
            another statement; ``KEY_IN_PROGRESS`` if the result is not
            there yet; None if the key is not stored.
        """
        if row is None:
            return None
        digest, affected_rows, last_insert_id = row
        if isinstance(digest, bytes):
            digest = digest.decode("ascii", "replace")
        if digest != self.digest:
            return Failure(
                ErrorKind.KEY_REUSED,
                "chivescale_key was used for another statement",
            )
        if affected_rows is None:
            return Failure(
                ErrorKind.KEY_IN_PROGRESS,
                "the request with this chivescale_key has no result yet",
            )
        return StoredResult(int(affected_rows), int(last_insert_id or 0))

    def _where(self) -> str:
        return (
            f"workspace = {_literal(self.workspace)} "
            f"AND request_key = {_literal(self.key)}"
        )


def statement_digest(sql: str) -> str:
    """Return the digest of a statement, 64 hex digits."""
    return hashlib.sha256(sql.encode()).hexdigest()


def _literal(text: str) -> str:
    # Quotes and backslashes mean different things under different SQL
    # modes, so anything unusual is sent as a hexadecimal literal.
    if _PLAIN.fullmatch(text):
        return f"'{text}'"
    return f"X'{text.encode().hex()}'"
