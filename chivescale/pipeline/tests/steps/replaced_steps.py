"""Steps for a primary that is replaced while a statement is pending."""

import asyncio
import time
import types

from behave import given, then, when

from chivescale.messages import EndpointRecord, Position
from chivescale.mysql import QueryResult
from chivescale.pipeline import _keyed, _transaction
from chivescale.pipeline._gate import EndpointGate
from chivescale.pipeline._primary import Primary
from chivescale.retry import RetryBudget
from chivescale.routing import StatementClass
from chivescale.settings import PoolSettings

DEADLINE_S = 0.4
RECORD = EndpointRecord("e-1", "ledger", "a", "i", "ip:1", "ip:2", 2, 35)


class UnresponsiveConnection:
    """Connection that does not answer one kind of statement."""

    def __init__(self, unanswered):
        self.unanswered = unanswered
        self.waiting = asyncio.Event()
        self.usable = True
        self.in_transaction = True

    async def query(self, sql, _deadline):
        if not sql.startswith(self.unanswered) or "chivescale_request" in sql:
            return QueryResult(commit=Position(1, 1))
        self.usable = False
        self.waiting.set()
        await asyncio.Event().wait()

    def close(self):
        self.in_transaction = False


class FakeView:
    """View of a service whose new primary is not available."""

    def __init__(self):
        self.record = types.SimpleNamespace(term=1, primary="e-1")
        self.freshness = types.SimpleNamespace(highest_promised_term=1)
        self.changed = asyncio.Event()

    async def wait_for_update(self, until):
        await asyncio.sleep(max(0.0, until - time.monotonic()))

    def replace(self):
        self.record = types.SimpleNamespace(term=2, primary="e-2")
        self.changed.set()


def make_call(view, sql):
    """Return a fake call on the service of a view."""
    metrics = types.SimpleNamespace(observe_queue=lambda _seconds: None)
    environment = types.SimpleNamespace(
        metrics=metrics,
        pool=PoolSettings(),
        retries=RetryBudget(0.1),
        rng=types.SimpleNamespace(random=lambda: 0.5, uniform=max),
    )
    return types.SimpleNamespace(
        environment=environment,
        service=types.SimpleNamespace(view=view, primary=lambda: None),
        session=types.SimpleNamespace(
            workspace="mill-1", service="ledger", in_transaction=True
        ),
        hints=types.SimpleNamespace(key="k1"),
        state=types.SimpleNamespace(pinned=None),
        statement_class=StatementClass.WRITE,
        sql=sql,
        deadline=time.monotonic() + DEADLINE_S,
    )


@given("a primary that answers every statement except {statement}")
def unanswered_statement(context, statement):
    context.statement = statement


def run_and_replace(context, sql, start):
    """Run a statement and replace the primary while it is pending."""

    async def run():
        view = FakeView()
        pool = types.SimpleNamespace(
            release=lambda _connection: None, retire_connections=lambda: None
        )
        connection = UnresponsiveConnection(context.statement)
        primary = Primary(EndpointGate(RECORD, pool), connection, 1)
        call = make_call(view, sql)
        work = asyncio.ensure_future(start(call, primary))
        async with asyncio.timeout(DEADLINE_S):
            await connection.waiting.wait()
        view.replace()
        context.answer = await work

    asyncio.run(run())


@when('a keyed write of "{sql}" runs and the primary is replaced')
def keyed_replaced(context, sql):
    async def start(call, primary):
        key = _keyed.make_key(call, call.sql)
        answer = await _keyed._attempt(call, key, primary)
        # The caller of `_attempt` would retry.
        if answer is None:
            context.retried = True
        return answer

    context.retried = False
    run_and_replace(context, sql, start)


@when('"{sql}" runs in a transaction and the primary is replaced')
def transaction_replaced(context, sql):
    async def start(call, primary):
        call.state.pinned = types.SimpleNamespace(
            connection=primary.connection,
            gate=primary.gate,
            service=call.service,
            term=1,
            wrote=False,
            statements=[],
        )
        return await _transaction.run_in_transaction(call)

    context.retried = False
    run_and_replace(context, sql, start)


@then("the caller gets the error {kind}")
def gets_error(context, kind):
    assert context.answer.kind == kind, context.answer


@then("the write is retried")
def write_retried(context):
    assert context.retried and context.answer is None, context.answer
