"""Callers in a process of their own.

``python -m benchmarks.callers PLAN`` runs until SIGTERM or for the stated
time and writes one JSON line per statement to a file. Times are those of
the monotonic clock, which all processes of the machine share.
"""

import asyncio
import json
import pathlib
import random
import signal
import sys
import time

import msgspec

from chivescale.errors import is_failure
from chivescale.session import parse_token
from chivescale_standin.load import Link, LoadPlan, StatementError
from tools.processes import Process, ProcessError, python_command

TABLE = "benchmark_writes"
ERROR_PAUSE_S = 0.02
# Callers that read their own writes write this share of their statements.
OWN_WRITES = 0.2


class CallerPlan(msgspec.Struct, frozen=True):
    """What the callers of one process do.

    Attributes
    ----------
    login : LoadPlan
        Addresses, account and delays; its other fields are unused.
    kind : str
        ``write``; ``browse`` or ``barrier`` for reads with and without a
        stated age; ``aged`` for reads with a stated age and a token;
        ``token``, ``untagged`` or ``roaming`` for reads of own writes with
        a token, without one, and through changing hosts.
    callers : int
        Callers at the same time.
    think_ms : float
        Mean pause of a caller after a statement.
    path : str
        File for the outcomes.
    seconds : float
        Duration; 0 runs until SIGTERM.
    seed : int
        Seed of the pauses.
    staleness_ms : int
        Stated age of ``browse`` reads.
    deadline_ms : int
        Stated deadline; 0 states none.
    tokens : bool
        Ask for the token after a write, to know its position.
    """

    login: LoadPlan
    kind: str
    callers: int
    think_ms: float
    path: str
    seconds: float = 0.0
    seed: int = 1
    staleness_ms: int = 0
    deadline_ms: int = 0
    tokens: bool = False


class Outcome(msgspec.Struct, omit_defaults=True):
    """One statement.

    Attributes
    ----------
    start, end : float
        Monotonic times in seconds.
    error : str
        Empty after success.
    write : bool
        Whether it was a write.
    term, position : int
        Of a write: where it is in the log. Of a read with a token: the
        position that it must include. 0 if unknown.
    """

    start: float
    end: float
    error: str = ""
    write: bool = False
    term: int = 0
    position: int = 0


class Caller:
    """One caller; a session that reads also writes now and then."""

    def __init__(self, plan: CallerPlan, number: int, file):
        self.plan = plan
        self.number = number
        self.file = file
        self.rng = random.Random(f"{plan.seed}/{plan.kind}/{number}")
        self.link = Link(plan.login, number)
        self.other = Link(plan.login, number + 1)
        self.token = ""
        self.sequence = 0

    async def work(self, end: float) -> None:
        """Run statements until the end."""
        plan = self.plan
        shares = {"write": 1.0, "browse": 0.0, "barrier": 0.0, "aged": 0.0}
        writes = shares.get(plan.kind, OWN_WRITES)
        if plan.kind == "aged":
            await self.write()
        try:
            while time.monotonic() < end:
                if self.rng.random() < writes:
                    outcome = await self.write()
                else:
                    outcome = await self.read()
                self.file.write(msgspec.json.encode(outcome) + b"\n")
                pause_s = self.rng.expovariate(1.0) * plan.think_ms / 1000
                if outcome.error:
                    pause_s += ERROR_PAUSE_S
                await asyncio.sleep(pause_s)
        finally:
            self.link.close()
            self.other.close()

    async def write(self) -> Outcome:
        """Insert a row, then ask for its position if planned."""
        self.sequence += 1
        sql = (
            f"{self._hint()}INSERT INTO {TABLE} (caller, sequence)"
            f" VALUES ({self.number}, {self.sequence})"
        )
        outcome = await self._run(self.link, sql)
        outcome.write = True
        if self.plan.tokens and not outcome.error:
            await self._ask_token(outcome)
        return outcome

    async def _ask_token(self, outcome: Outcome) -> None:
        try:
            rows, _ = await self.link.run("SELECT @chivescale_token")
        except StatementError:
            return
        self.token = _text(rows[0][0])
        token = parse_token(self.token, self.plan.login.service)
        if not is_failure(token):
            outcome.term = token.position.term
            outcome.position = token.position.position

    async def read(self) -> Outcome:
        """Read a row as the kind of caller says."""
        kind, link, fields = self.plan.kind, self.link, ""
        required = None
        if kind in ("browse", "aged"):
            fields = f"staleness_ms={self.plan.staleness_ms}"
        elif kind == "roaming":
            link = self.rng.choice((self.link, self.other))
        if kind in ("token", "roaming", "aged") and self.token:
            fields += f" token='{self.token}'"
            required = parse_token(self.token, self.plan.login.service)
        sql = (
            f"{self._hint(fields)}SELECT MAX(sequence) FROM {TABLE}"
            f" WHERE caller = {self.number}"
        )
        outcome = await self._run(link, sql)
        if required is not None and not is_failure(required):
            outcome.term = required.position.term
            outcome.position = required.position.position
        return outcome

    def _hint(self, fields: str = "") -> str:
        if self.plan.deadline_ms:
            fields += f" deadline_ms={self.plan.deadline_ms}"
        return f"/* chivescale {fields.strip()} */ " if fields else ""

    async def _run(self, link: Link, sql: str) -> Outcome:
        start = time.monotonic()
        try:
            await link.run(sql)
            return Outcome(start, time.monotonic())
        except StatementError as err:
            return Outcome(start, time.monotonic(), err.text or "error")


def _text(value: str | bytes) -> str:
    return value.decode() if isinstance(value, bytes) else value


async def create_table(login: LoadPlan) -> None:
    """Create the table of the benchmarks if it is absent."""
    link = Link(login, 0)
    for sql in (
        f"CREATE TABLE IF NOT EXISTS {TABLE} (caller INT NOT NULL,"
        " sequence INT NOT NULL)",
        f"CREATE INDEX {TABLE}_caller ON {TABLE} (caller, sequence)",
    ):
        try:
            await link.run(sql)
        except StatementError as err:
            if "CREATE TABLE" in sql:
                raise ProcessError(f"{sql}: {err.text}") from err
    link.close()


async def run_callers(plan: CallerPlan, file) -> None:
    """Run all callers of a plan; outcomes go to an unbuffered file."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    end = time.monotonic() + (plan.seconds or 1e9)
    callers = [Caller(plan, n, file) for n in range(plan.callers)]
    work = asyncio.gather(*(caller.work(end) for caller in callers))
    stop = asyncio.ensure_future(stopped.wait())
    await asyncio.wait({work, stop}, return_when=asyncio.FIRST_COMPLETED)
    stop.cancel()
    if not work.done():
        work.cancel()
    await asyncio.gather(work, return_exceptions=True)
    if not stopped.is_set():
        work.result()


def start_callers(system, name: str, plan: CallerPlan) -> Process:
    """Start a process of callers beside a system."""
    text = msgspec.json.encode(plan).decode()
    process = system.add(
        Process(
            name=name,
            role="load",
            zone="",
            command=python_command("benchmarks.callers", text),
            log=system.folder / "logs" / f"{name}.log",
            addresses={},
        )
    )
    system.start(name)
    return process


def login_of(system, service: str, delay_ms: float = 0.0, **fields):
    """Return the login of the first workspace through all entry hosts."""
    workspace, secret = next(iter(system.workspace_secrets.items()))
    hosts = system.of_role("entry")
    addresses = tuple(host.addresses["mysql"] for host in hosts)
    values = {
        "addresses": addresses,
        "service": service,
        "user": workspace,
        "secret": secret,
        "delay_ms": delay_ms,
    }
    return LoadPlan(**(values | fields))


class OutcomeFile:
    """Reads the outcomes that a process of callers appends."""

    def __init__(self, path: pathlib.Path):
        self.path = path
        self.offset = 0
        self.outcomes: list[Outcome] = []

    def refresh(self) -> list[Outcome]:
        """Return all outcomes so far."""
        if not self.path.exists():
            return self.outcomes
        with open(self.path, "rb") as file:
            file.seek(self.offset)
            content = file.read()
        whole = content.rfind(b"\n") + 1
        self.offset += whole
        for line in content[:whole].splitlines():
            self.outcomes.append(msgspec.json.decode(line, type=Outcome))
        return self.outcomes


def main() -> int:
    """Run the plan of the command line."""
    plan = msgspec.convert(json.loads(sys.argv[1]), CallerPlan)
    # Unbuffered: the benchmark reads the file while callers write it.
    with open(plan.path, "ab", buffering=0) as file:
        asyncio.run(run_callers(plan, file))
    return 0


if __name__ == "__main__":
    sys.exit(main())
