"""SQL side of an endpoint: sessions, transactions, slots."""

import asyncio
import re
import sqlite3

import msgspec

from chivescale.errors import Failure, is_failure
from chivescale.messages import Position
from chivescale.mysql import CallerSession, QueryResult
from chivescale_standin._dialect import Statement, translate
from chivescale_standin._faults import Faults
from chivescale_standin._group import Group
from chivescale_standin._settings import StandinSettings
from chivescale_standin._store import fetch
from chivescale_standin._values import (
    make_rows,
    sql_failure,
    statement_failure,
)

_SLEEP = re.compile(
    r"\s*SELECT\s+SLEEP\s*\(\s*(\d+(?:\.\d*)?)\s*\)\s*;?\s*", re.IGNORECASE
)
_SERVER_UUID = re.compile(r"\s*SELECT\s+@@server_uuid\s*;?\s*", re.IGNORECASE)
_TEMPORARY = re.compile(r"\s*(?:CREATE|DROP)\s+TEMPORARY\b", re.IGNORECASE)
_AUTOCOMMIT = re.compile(
    r"\s*SET\s+(?:SESSION\s+|@@(?:session\.)?)?AUTOCOMMIT\s*=\s*(\w+)",
    re.IGNORECASE,
)
READ_ONLY = statement_failure(
    1290, "HY000", "the server is running with the --read-only option"
)
LOCK_TIMEOUT = statement_failure(
    1205, "HY000", "lock wait timeout exceeded; try restarting transaction"
)
REBUILDING = statement_failure(
    1290, "HY000", "the data of this replica is being rebuilt"
)
ROLLED_BACK = statement_failure(
    1290, "HY000", "read-only; the transaction was rolled back"
)


class Transaction(msgspec.Struct):
    """State of one SQL session.

    Attributes
    ----------
    open : bool
        Whether BEGIN or ``autocommit = 0`` started a transaction.
    writing : bool
        Whether it holds the write lock.
    lost : bool
        Whether a change of role rolled it back.
    statements : list of (str, str)
        Statements to log at the commit.
    silent : bool
        Fault: the connection never answers again.
    """

    open: bool = False
    writing: bool = False
    lost: bool = False
    statements: list[tuple[str, str]] = msgspec.field(default_factory=list)
    last_insert_id: int = 0
    silent: bool = False


class SqlSide:
    """Runs the statements of all sessions of one endpoint."""

    def __init__(
        self, settings: StandinSettings, group: Group, faults: Faults
    ):
        self.settings = settings
        self.group = group
        self.faults = faults
        self.slots = asyncio.Semaphore(settings.slots)
        self.write_lock = asyncio.Lock()
        self.holder: CallerSession | None = None
        group.on_fence.append(self.abort_writer)

    @property
    def store(self):
        """The data."""
        return self.group.store

    async def opened(self, session: CallerSession) -> Failure | None:
        """Accept a login for this service."""
        session.data = Transaction()
        if session.service not in ("", self.settings.service):
            text = f"unknown database '{session.service}'"
            return statement_failure(1049, "42000", text)
        return None

    async def closed(self, session: CallerSession) -> None:
        """Roll back what the session left open."""
        self._finish(session)

    async def execute(
        self, session: CallerSession, sql: str, attrs: dict
    ) -> QueryResult | Failure:
        """Run one statement with the delays and faults in force."""
        await self.faults.travel()
        if session.data.silent:
            await asyncio.Event().wait()
        outcome = await self._schedule(session, sql)
        await self.faults.travel()
        if session.data.silent:
            await asyncio.Event().wait()
        session.in_transaction = session.data.open
        if not is_failure(outcome):
            outcome.in_transaction = session.data.open
        return outcome

    async def _schedule(self, session, sql) -> QueryResult | Failure:
        if _SERVER_UUID.fullmatch(sql):
            uuid = self.group.file.role.incarnation
            return make_rows(["@@server_uuid"], [(uuid,)])
        nap = _SLEEP.fullmatch(sql)
        statement = translate(sql, self.settings.service)
        data = session.data
        if data.lost:
            return self._report_loss(session, statement)
        writes = statement.kind == "write"
        if writes and not self.group.is_primary():
            return READ_ONLY
        locks = statement.locks or (
            statement.kind == "savepoint" and self.group.is_primary()
        )
        if writes or (locks and data.open):
            if not await self._lock(session):
                return LOCK_TIMEOUT
        try:
            async with self.slots:
                pause_s = self.faults.slow_s + self.settings.statement_ms / 1e3
                pause_s += float(nap.group(1)) if nap else 0.0
                if pause_s:
                    await asyncio.sleep(pause_s)
                await self.faults.gate()
                if nap:
                    return make_rows(["SLEEP"], [(0,)])
                return self._run(session, statement, sql)
        finally:
            if self.holder is session and not data.open:
                self._finish(session)

    async def _lock(self, session: CallerSession) -> bool:
        if self.holder is session:
            return True
        try:
            async with asyncio.timeout(self.settings.lock_wait_ms / 1000):
                await self.write_lock.acquire()
        except TimeoutError:
            return False
        self.holder = session
        return True

    def _report_loss(self, session, statement: Statement):
        """Refuse everything until the caller ends the lost transaction.

        A COMMIT must fail even if an earlier statement told of the loss.
        """
        if statement.kind not in ("rollback", "commit", "begin"):
            return ROLLED_BACK
        self._finish(session)
        return QueryResult() if statement.kind == "rollback" else ROLLED_BACK

    def abort_writer(self) -> None:
        """Roll back the open write transaction; its caller learns later."""
        session = self.holder
        if session is None:
            return
        lost = session.data.open and session.data.writing
        self._finish(session)
        session.data.lost = session.data.open = lost

    def _finish(self, session: CallerSession) -> None:
        """End the session's transaction without a commit."""
        data = session.data
        if data is None:
            return
        if data.writing:
            self.store.rollback()
        data.open = data.writing = data.lost = False
        data.statements = []
        if self.holder is session:
            self.holder = None
            self.write_lock.release()

    def _run(self, session, statement: Statement, sql: str):
        """Run one statement; nothing here waits."""
        data = session.data
        if data.lost:
            return self._report_loss(session, statement)
        if self.group.rebuilding and statement.kind not in ("set", "empty"):
            return REBUILDING
        if not session.autocommit and statement.kind in ("read", "write"):
            data.open = True
        try:
            return self._run_kind(session, statement, sql)
        except (sqlite3.Error, sqlite3.Warning, ValueError) as err:
            # Text that is no UTF-8 outside a literal is a ValueError.
            return sql_failure(err)

    def _run_kind(self, session, statement: Statement, sql: str):
        data = session.data
        kind = statement.kind
        if kind == "read":
            return self._read(session, statement)
        if kind == "write":
            return self._write(session, statement)
        if kind == "begin":
            commit = self._commit(session)
            if is_failure(commit):
                return commit
            data.open = True
            return QueryResult(commit=commit)
        if kind == "commit":
            commit = self._commit(session)
            return commit if is_failure(commit) else QueryResult(commit=commit)
        if kind == "rollback":
            self._finish(session)
        elif kind == "savepoint":
            return self._savepoint(session, statement)
        elif kind == "set":
            return self._set(session, sql)
        elif kind == "show":
            return self._show(statement)
        return QueryResult()

    def _read(self, session, statement: Statement) -> QueryResult:
        data = session.data
        if "LAST_INSERT_ID()" in statement.text.upper():
            return make_rows(["LAST_INSERT_ID()"], [(data.last_insert_id,)])
        if data.writing:
            # Empty values of binary columns read as NULL here.
            cursor = self.store.run(statement.text, statement.at)
            return make_rows(*fetch(cursor))
        return make_rows(*self.store.read(statement.text))

    def _write(self, session, statement: Statement) -> QueryResult | Failure:
        data = session.data
        if not self.group.is_primary() or self.holder is not session:
            return READ_ONLY
        commits = statement.schema and not _TEMPORARY.match(statement.text)
        if commits:
            # A change of the schema commits before and after it.
            self._append_writes(session)
            data.open = False
        if not data.writing:
            self.store.begin()
            data.writing = True
        cursor = self.store.run(statement.text, statement.at)
        data.statements.append((statement.text, statement.at))
        affected = max(cursor.rowcount, 0)
        names = [column[0] for column in cursor.description or ()]
        result = (
            make_rows(names, cursor.fetchall()) if names else (QueryResult())
        )
        result.affected_rows = affected
        if statement.schema:
            self.store.note_schema()
        if statement.table in self.store.automatic and affected:
            # The protocol reports the first key of a multi-row insert.
            first = cursor.lastrowid - affected + 1
            result.last_insert_id = data.last_insert_id = max(first, 0)
        if not data.open:
            commit = self._commit(session)
            if is_failure(commit):
                return commit
            result.commit = commit
        return result

    def _commit(self, session) -> Position | Failure | None:
        """Commit data and log entry; None if nothing was written."""
        if session.data.writing and not self.group.is_primary():
            self._finish(session)
            return READ_ONLY
        commit = self._append_writes(session)
        self._finish(session)
        return commit

    def _append_writes(self, session) -> Position | None:
        """Append what the transaction has written and keep its locks."""
        data = session.data
        if not data.writing:
            return None
        commit = None
        if data.statements:
            term = self.group.promised_term
            commit = self.store.append(term, tuple(data.statements))
            self.group.notify()
        else:
            self.store.rollback()
        data.writing = False
        data.statements = []
        return commit

    def _savepoint(self, session, statement: Statement):
        data = session.data
        if not data.open:
            return QueryResult()
        if not data.writing:
            if self.holder is not session:
                return QueryResult()
            self.store.begin()
            data.writing = True
        self.store.run(statement.text, statement.at)
        data.statements.append((statement.text, statement.at))
        return QueryResult()

    def _set(self, session, sql: str):
        match = _AUTOCOMMIT.match(sql)
        if match is None:
            return QueryResult()
        wanted = match.group(1).upper() in ("1", "ON", "TRUE")
        commit = None
        if wanted and not session.autocommit:
            commit = self._commit(session)
        session.autocommit = wanted
        return commit if is_failure(commit) else QueryResult(commit=commit)

    def _show(self, statement: Statement) -> QueryResult:
        words = statement.text.upper().split()
        if words[:2] == ["SHOW", "TABLES"]:
            rows = [(name,) for name in self.store.tables()]
            return make_rows([f"Tables_in_{self.settings.service}"], rows)
        if words[:2] == ["SHOW", "DATABASES"]:
            return make_rows(["Database"], [(self.settings.service,)])
        if words[:2] == ["SHOW", "WARNINGS"]:
            return make_rows(["Level", "Code", "Message"], [])
        return make_rows(["Variable_name", "Value"], [])
