"""Steps for connections to endpoints."""

import asyncio

from behave import then, when

from chivescale.entry._host import check_incarnation
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import EndpointRecord
from chivescale.mysql import QueryResult

RECORD = EndpointRecord("db", "ledger", "z", "known", "a", "b", 2, 35)
ANSWERS = {
    "known": QueryResult(rows=[(b"known",)]),
    "other": QueryResult(rows=[(b"other",)]),
    "error": Failure(ErrorKind.TIMEOUT, "no answer"),
    "none": QueryResult(),
}


class FakeConnection:
    """Connection that gives the same answer to every statement."""

    def __init__(self, answer):
        self.answer = answer
        self.closed = False

    async def query(self, sql, deadline):
        return self.answer

    def close(self):
        self.closed = True


@when('a connection to incarnation "known" gets the answer "{answer}"')
def connection_answers(context, answer):
    context.connection = FakeConnection(ANSWERS[answer])
    context.outcome = asyncio.run(
        check_incarnation(context.connection, RECORD, 1.0)
    )


@then("the connection is {outcome}")
def connection_is(context, outcome):
    if outcome == "kept":
        assert context.outcome is context.connection
        assert not context.connection.closed
    else:
        assert is_failure(context.outcome)
        assert context.outcome.kind is ErrorKind.UNREACHABLE
        assert context.connection.closed
