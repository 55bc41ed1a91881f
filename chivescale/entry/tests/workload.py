"""Caller sessions of the simulated system and checks of their results."""

import asyncio
import collections
import itertools
import time

from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.mysql import CallerSession
from chivescale.session import format_token

CREATE = "CREATE TABLE IF NOT EXISTS orders (id INT, owner INT)"
# Errors that state that a request took no effect.
NOT_RUN_KINDS = frozenset(
    kind
    for kind in ErrorKind
    if not Failure(kind, "").may_have_run
    and kind is not ErrorKind.STATEMENT_FAILED
)


class Checker:
    """Compares the outcomes reported to callers with the stored data."""

    def __init__(self):
        self.numbers = itertools.count(1)
        self.connections = itertools.count(1)
        self.confirmed: dict[int, int] = {}
        self.denied: dict[int, str] = {}
        self.in_doubt: set[int] = set()
        self.groups: list[tuple[int, ...]] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.sheets: dict[int, float] = {}
        self.answers: list[tuple[tuple[int, ...], object]] = []

    def record(self, numbers, owner: int, answer, name: str) -> None:
        """Record the outcome of a write of `numbers`."""
        self.answers.append((tuple(numbers), answer))
        if not is_failure(answer):
            outcome = "confirmed"
            self.confirmed.update(dict.fromkeys(numbers, owner))
        elif is_not_run(answer):
            outcome = answer.kind.value
            self.denied.update(dict.fromkeys(numbers, repr(answer)))
        else:
            outcome = "in_doubt"
            self.in_doubt.update(numbers)
        self.outcomes[f"{name}_{outcome}"] += 1

    def check_rows(self, rows, owner: int, expected: set[int]) -> None:
        """Check that a read returns all rows of `owner` and no others."""
        seen = collections.Counter(int(row[0]) for row in rows)
        missing = expected - set(seen)
        assert not missing, f"session {owner} misses its writes {missing}"
        assert all(int(row[1]) == owner for row in rows), (
            "rows of another session"
        )
        self._check_counts(seen)

    def check_final(self, rows) -> None:
        """Check that confirmed writes exist once and denied ones do not."""
        seen = collections.Counter(int(row[0]) for row in rows)
        missing = set(self.confirmed) - set(seen)
        assert not missing, f"confirmed writes lost: {sorted(missing)}"
        self._check_counts(seen)
        for group in self.groups:
            present = {number in seen for number in group}
            assert len(present) == 1, f"transaction {group} partially applied"

    def _check_counts(self, seen) -> None:
        duplicates = [number for number, count in seen.items() if count > 1]
        assert not duplicates, f"writes ran twice: {duplicates}"
        executed = set(seen) & set(self.denied)
        assert not executed, {
            number: self.denied[number] for number in executed
        }

    def sheet_accepted(self, number: int, rate: float, now: float) -> None:
        """Check that only one content is accepted for a sheet number."""
        accepted_rate = self.sheets.setdefault(number, rate)
        assert accepted_rate == rate, f"sheet {number} accepted twice"

    def check_sheets(self, numbers: dict, hosts: dict) -> None:
        """Check that every host has the newest accepted sheet."""
        newest = max(self.sheets)
        for name, number in numbers.items():
            assert number >= newest, f"{name}: {number} < {newest}"
            record = hosts[name].watch.state.workspaces["mill"]
            if number in self.sheets:
                assert record.max_rate == self.sheets[number], name


def is_not_run(answer: Failure) -> bool:
    """Return whether a failure states that the request had no effect."""
    # The stand-in executes no part of a statement that it rejects.
    refused = answer.kind is ErrorKind.STATEMENT_FAILED
    return refused or answer.kind in NOT_RUN_KINDS


class Session:
    """Logical session that runs operations in sequence on random hosts."""

    def __init__(self, world, number: int, workspace: str):
        self.world = world
        self.number = number
        self.workspace = workspace
        self.checker: Checker = world.checker
        self.rng = world.rng
        self.own_rows: set[int] = set()
        self.token = ""
        self.caller: CallerSession | None = None
        self.host = None
        self.stopping = False
        # Name of the host to use; empty for any host.
        self.only_host = ""

    async def run(self) -> None:
        """Run random operations until `stopping` is set."""
        while not self.stopping:
            await self._connect()
            if self.caller is None:
                await asyncio.sleep(0.1)
                continue
            for _ in range(self.rng.randint(1, 8)):
                operation = self.rng.choice(_OPERATIONS)
                if not await operation(self):
                    break
                await asyncio.sleep(self.rng.uniform(0.0, 0.2))
            await self._disconnect()
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))

    async def perform(self, name: str) -> tuple[tuple[int, ...], object]:
        """Run one operation on the connected host.

        Returns
        -------
        tuple
            Numbers written and the answer.
        """
        before = len(self.checker.answers)
        await _BY_NAME[name](self)
        assert len(self.checker.answers) == before + 1
        return self.checker.answers[-1]

    async def read_all(self):
        """Return all rows; retry until a host answers."""
        for _ in range(200):
            await self._connect()
            if self.caller is not None:
                answer = await self._execute("SELECT id, owner FROM orders")
                await self._disconnect()
                if not is_failure(answer):
                    return answer.rows
            await asyncio.sleep(0.1)
        raise AssertionError(f"final read failed: {answer}")

    async def _connect(self) -> None:
        hosts = self.world.entry
        names = [name for name in hosts if self.only_host in ("", name)]
        self.host = hosts[self.rng.choice(names)] if names else None
        if self.host is None or not self.host.is_ready:
            return
        caller = CallerSession(next(self.checker.connections))
        caller.workspace, caller.service = self.workspace, "ledger"
        if await self.host.callers.opened(caller) is None:
            self.caller = caller

    async def _disconnect(self) -> None:
        caller, self.caller = self.caller, None
        await self.host.callers.closed(caller)

    async def _execute(self, sql: str):
        """Run a statement; fail as ``OUTCOME_UNKNOWN`` if the host dies."""
        host, name = self.host, self.host.settings.host.name
        call = asyncio.ensure_future(
            host.callers.execute(self.caller, sql, {})
        )
        started = time.monotonic()
        while not call.done():
            await asyncio.wait({call}, timeout=0.02)
            if self.world.entry.get(name) is not host:
                call.cancel()
                await asyncio.wait({call})
                return Failure(ErrorKind.OUTCOME_UNKNOWN, "host died")
            timed_out = time.monotonic() - started > 7.0
            assert not timed_out, f"no answer within 7 s: {sql}"
        return call.result()

    async def _write(self) -> bool:
        number = next(self.checker.numbers)
        answer = await self._execute(self._insert(number))
        if is_failure(answer) and answer.errno == 1146:
            await self._execute(CREATE)
        self._record_outcome((number,), answer, "write")
        return not is_failure(answer)

    async def _keyed(self) -> bool:
        """Resend a keyed write on any host until its outcome is known."""
        number = next(self.checker.numbers)
        sql = f"/* chivescale key='k{number}' */ {self._insert(number)}"
        answer = await self._execute(sql)
        for _ in range(5):
            if not is_failure(answer) or not answer.may_have_run:
                break
            await self._disconnect()
            while self.caller is None:
                await self._connect()
                await asyncio.sleep(0.1)
            answer = await self._execute(sql)
            self.checker.outcomes["resent"] += 1
            if is_failure(answer) and not answer.may_have_run:
                # This failure does not rule out an earlier attempt.
                answer = Failure(ErrorKind.OUTCOME_UNKNOWN, answer.reason)
        self._record_outcome((number,), answer, "keyed")
        return not is_failure(answer)

    async def _transaction(self) -> bool:
        numbers = (next(self.checker.numbers), next(self.checker.numbers))
        self.checker.groups.append(numbers)
        answer = await self._execute("BEGIN")
        for number in numbers:
            if not is_failure(answer):
                answer = await self._execute(self._insert(number))
                await asyncio.sleep(self.rng.uniform(0.0, 0.02))
        if not is_failure(answer):
            answer = await self._execute("COMMIT")
        elif self.caller.in_transaction:
            await self._execute("ROLLBACK")
        elif answer.kind is ErrorKind.OUTCOME_UNKNOWN:
            # The host died before COMMIT was sent.
            answer = Failure(ErrorKind.TRANSACTION_ABORTED, "host died")
        self._record_outcome(numbers, answer, "transaction")
        return not is_failure(answer)

    async def _read(self) -> bool:
        expected = set(self.own_rows)
        hint = ""
        if self.token and self.rng.random() < 0.5:
            hint = f"/* chivescale token='{self.token}' staleness_ms=5000 */ "
        sql = f"{hint}SELECT id, owner FROM orders WHERE owner = {self.number}"
        answer = await self._execute(sql)
        if is_failure(answer):
            self.checker.outcomes[f"read_{answer.kind.value}"] += 1
            return False
        self.checker.outcomes["read"] += 1
        self.checker.check_rows(answer.rows, self.number, expected)
        return True

    def _insert(self, number: int) -> str:
        return f"INSERT INTO orders VALUES ({number}, {self.number})"

    def _record_outcome(self, numbers, answer, name: str) -> None:
        self.checker.record(numbers, self.number, answer, name)
        if is_failure(answer):
            return
        self.own_rows.update(numbers)
        self.token = self._current_token()

    def _current_token(self) -> str:
        if self.caller is None:
            return self.token
        token = self.caller.data.position.token()
        return format_token(token) if token else self.token


_OPERATIONS = (
    Session._write,
    Session._write,
    Session._keyed,
    Session._transaction,
    Session._read,
    Session._read,
    Session._read,
)
_BY_NAME = {
    "write": Session._write,
    "keyed": Session._keyed,
    "transaction": Session._transaction,
}
