"""Operations of one load session."""

import asyncio
import random
import time

from chivescale_standin.load._link import Link, StatementError
from chivescale_standin.load._plan import LoadPlan, Record

RETRY_PAUSE_S = 0.05


class Board:
    """What all sessions of a run know about each other's writes.

    Attributes
    ----------
    confirmed : list of list of (float, int)
        Time and number of the confirmed writes of each session.
    """

    def __init__(self, plan: LoadPlan, run: str):
        self.plan = plan
        self.run = run
        self.start = time.monotonic()
        self.end = self.start + plan.seconds
        self.records: list[Record] = []
        self.confirmed: list[list[tuple[float, int]]] = [
            [] for _ in range(plan.sessions)
        ]

    def now_s(self) -> float:
        """Return seconds since the start of the run."""
        return time.monotonic() - self.start

    def required(self, session: int, before_s: float) -> int:
        """Return the highest number confirmed before a time; 0 if none."""
        for confirmed_s, sequence in reversed(self.confirmed[session]):
            if confirmed_s <= before_s:
                return sequence
        return 0


class Session:
    """Runs random operations until the end of the run."""

    def __init__(self, board: Board, number: int):
        self.board = board
        self.plan = board.plan
        self.number = number
        self.rng = random.Random(f"{self.plan.seed}/{number}")
        self.link = Link(self.plan, number)
        # Reads of own writes also go through another host.
        self.other = Link(self.plan, number + 1)
        self.sequence = 0

    async def work(self) -> None:
        """Run operations until the end of the run."""
        plan = self.plan
        choices = {
            self.write: plan.writes,
            self.read_own: plan.own_reads,
            self.browse: plan.browses,
            self.transact: plan.transactions,
            self.write_keyed: plan.keyed,
        }
        operations, weights = list(choices), list(choices.values())
        try:
            while time.monotonic() < self.board.end:
                record = await self.rng.choices(operations, weights)[0]()
                record.end_s = self.board.now_s()
                self.board.records.append(record)
                if record.error:
                    await asyncio.sleep(RETRY_PAUSE_S)
                if plan.think_ms:
                    await asyncio.sleep(plan.think_ms / 1000)
        finally:
            self.link.close()
            self.other.close()

    def _record(self, kind: str, **fields) -> Record:
        return Record(kind, self.number, self.board.now_s(), **fields)

    def _insert(self, sequence: int, part: int = 0) -> str:
        uid = make_uid(self.number, sequence, part)
        return (
            f"INSERT INTO {self.plan.table} (run, uid, session, sequence)"
            f" VALUES ('{self.board.run}', '{uid}', {self.number}, {sequence})"
        )

    def _confirm(self, record: Record) -> None:
        record.outcome = "confirmed"
        self.board.confirmed[self.number].append(
            (self.board.now_s(), record.sequence)
        )

    async def write(self) -> Record:
        """Insert one row."""
        self.sequence += 1
        record = self._record("write", sequence=self.sequence)
        try:
            await self.link.run(self._insert(self.sequence))
            self._confirm(record)
        except StatementError as err:
            record.error = err.text
            record.outcome = "unknown" if err.ran else "did_not_run"
        return record

    async def write_keyed(self) -> Record:
        """Insert one row with an idempotency key, again when in doubt."""
        self.sequence += 1
        record = self._record("keyed", sequence=self.sequence)
        key = f"{self.board.run}-{make_uid(self.number, self.sequence, 0)}"
        sql = f"/* chivescale key='{key}' */ {self._insert(self.sequence)}"
        in_doubt = False
        while True:
            try:
                await self.link.run(sql)
                self._confirm(record)
                return record
            except StatementError as err:
                record.error = err.text
                in_doubt = in_doubt or err.ran
                if time.monotonic() >= self.board.end:
                    record.outcome = "unknown" if in_doubt else "did_not_run"
                    return record
            await asyncio.sleep(RETRY_PAUSE_S)

    async def transact(self) -> Record:
        """Insert two rows in one transaction."""
        self.sequence += 1
        record = self._record("transaction", sequence=self.sequence, rows=2)
        record.outcome = "did_not_run"
        committing = False
        try:
            await self.link.run("BEGIN")
            for part in range(2):
                await self.link.run(self._insert(self.sequence, part))
            committing = True
            await self.link.run("COMMIT")
            self._confirm(record)
        except StatementError as err:
            record.error = err.text
            if committing and err.ran:
                record.outcome = "unknown"
            # Whatever is left of the transaction must not be committed.
            self.link.close()
        return record

    async def read_own(self) -> Record:
        """Read the last confirmed write of this session."""
        link = self.rng.choice((self.link, self.other))
        record = self._record("own_read")
        wanted = self.board.required(self.number, record.start_s)
        sql = self._last_of(self.number)
        return await self._read(record, link, sql, wanted)

    async def browse(self) -> Record:
        """Read another session's writes with the stated staleness."""
        session = self.rng.randrange(self.plan.sessions)
        record = self._record("browse")
        age_s = self.plan.staleness_ms / 1000
        wanted = self.board.required(session, record.start_s - age_s)
        hint = f"/* chivescale staleness_ms={self.plan.staleness_ms} */ "
        sql = hint + self._last_of(session)
        return await self._read(record, self.link, sql, wanted)

    def _last_of(self, session: int) -> str:
        return (
            f"SELECT MAX(sequence) FROM {self.plan.table}"
            f" WHERE run = '{self.board.run}' AND session = {session}"
        )

    async def _read(self, record, link, sql, wanted) -> Record:
        try:
            rows, _ = await link.run(sql)
        except StatementError as err:
            record.error, record.outcome = err.text, "failed"
            return record
        seen = rows[0][0] or 0
        record.outcome = "ok" if seen >= wanted else "stale"
        if seen < wanted:
            record.detail = f"saw {seen}, {wanted} was confirmed"
        return record


def make_uid(session: int, sequence: int, part: int) -> str:
    """Return the identifier of one inserted row."""
    return f"{session}-{sequence}-{part}"
