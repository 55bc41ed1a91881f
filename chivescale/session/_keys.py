"""Idempotency keys: SQL statements and the interpretation of results."""

import hashlib
import re

import msgspec

from chivescale.errors import ErrorKind, Failure

# Binary collation, because under a case-insensitive one keys that differ only
# in case would count as the same request.
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
# MySQL error number of a duplicate primary key: the key is already stored.
DUPLICATE_ERRNO = 1062
# Lock wait timeout and deadlock: another transaction has locked the key.
LOCKED_ERRNOS = frozenset({1205, 1213})
_PLAIN_TEXT = re.compile(r"[A-Za-z0-9 ._:/+=@-]*", re.ASCII)


class StoredResult(msgspec.Struct, frozen=True):
    """Stored result of a request that was already executed."""

    affected_rows: int
    last_insert_id: int


class StatementKey(msgspec.Struct, frozen=True):
    """Idempotency key of one statement.

    Attributes
    ----------
    workspace : str
        Workspace of the caller.
    key : str
        Key chosen by the caller.
    digest : str
        Digest of the statement, from `statement_digest`.
    """

    workspace: str
    key: str
    digest: str

    def insert_sql(self) -> str:
        """Return the statement that inserts the key.

        It fails with `DUPLICATE_ERRNO` if the key is already stored.
        """
        return (
            "INSERT INTO chivescale_request "
            "(workspace, request_key, digest) VALUES "
            f"({_quote(self.workspace)}, {_quote(self.key)}, "
            f"{_quote(self.digest)})"
        )

    def update_sql(self, affected_rows: int, last_insert_id: int) -> str:
        """Return the statement that stores the result."""
        return (
            "UPDATE chivescale_request "
            f"SET affected_rows = {int(affected_rows)}, "
            f"last_insert_id = {int(last_insert_id)} "
            f"WHERE {self._where_clause()}"
        )

    def select_sql(self) -> str:
        """Return the query for the row that `interpret` expects."""
        return (
            "SELECT digest, affected_rows, last_insert_id "
            f"FROM chivescale_request WHERE {self._where_clause()}"
        )

    def interpret(self, row: tuple | None) -> StoredResult | Failure | None:
        """Interpret a stored row for this request.

        Parameters
        ----------
        row : tuple or None
            Row returned by `select_sql`; None if there was none.

        Returns
        -------
        StoredResult, Failure or None
            The stored result; ``KEY_REUSED`` if the key was used for
            another statement; ``KEY_IN_PROGRESS`` if no result is stored
            yet; None if the key is not stored.
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

    def _where_clause(self) -> str:
        return (
            f"workspace = {_quote(self.workspace)} "
            f"AND request_key = {_quote(self.key)}"
        )


def statement_digest(sql: str) -> str:
    """Return the SHA-256 digest of a statement as 64 hex digits."""
    return hashlib.sha256(sql.encode()).hexdigest()


def _quote(text: str) -> str:
    # The meaning of quotes and backslashes depends on the SQL mode, so text
    # with other than plain characters is sent as a hexadecimal literal.
    if _PLAIN_TEXT.fullmatch(text):
        return f"'{text}'"
    return f"X'{text.encode().hex()}'"
