"""Steps for entries of the log that cannot be read."""

import logging
import zlib

import msgspec
from behave import given, then, when
from disk_steps import run

from chivescale.catalog import Catalog
from chivescale.clock import now
from chivescale.coordinator._messages import (
    OrderPromotion,
    SnapshotState,
    StoreCatalog,
    StoreOrder,
)
from chivescale.coordinator._replicated import ReplicatedState
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import decode, encode
from chivescale.telemetry import COUNTERS

COUNTER = ("log_entries_skipped", "")
PROPOSE_S = 3.0


def decode_document(document: bytes):
    if document == b"raise":
        raise ValueError("cannot be read")
    if document == b"surrogate":
        return Catalog(5, ("\ud800",), ())
    try:
        return Catalog(msgspec.json.decode(document, type=int), (), ())
    except msgspec.MsgspecError as err:
        return Failure(ErrorKind.BAD_REQUEST, str(err))


def document(content: bytes) -> bytes:
    return encode(StoreCatalog(zlib.compress(content)))


ENTRIES = {
    "no JSON": b"{",
    "an empty entry": b"",
    "a command of another build": b'{"type":"Later","field":1}',
    "a command nested 2000 times": (
        b'{"type":"StoreCatalog","packed":"","more":'
        + b"[" * 2000
        + b"]" * 2000
        + b"}"
    ),
    "a document that is not compressed": encode(StoreCatalog(b"1")),
    "a document cut short": encode(StoreCatalog(zlib.compress(b"9" * 9)[:9])),
    "a document of 64 MiB": document(b" " * (64 << 20) + b"9"),
    "a document that the decoder refuses": document(b"x"),
    "a document on which the decoder fails": document(b"raise"),
    "a catalog that cannot be encoded": document(b"surrogate"),
}


class Lines(logging.Handler):
    """Keeps the log lines."""

    def __init__(self):
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record) -> None:
        self.lines.append(record.getMessage())


@given("a replicated state with configuration 1 and a promotion")
def replicated_state(context):
    context.state = ReplicatedState(decode_document)
    context.state.apply(1, document(b"1"))
    context.state.apply(2, encode(OrderPromotion("ledger", "e1", "c1")))
    context.lines = Lines()
    logger = logging.getLogger("chivescale")
    logger.addHandler(context.lines)
    context.add_cleanup(logger.removeHandler, context.lines)
    context.skipped = COUNTERS.counts[COUNTER]


@when("configuration 2 is applied")
def second(context):
    context.state.apply(4, document(b"2"))


@when("{entry} is applied")
def applied(context, entry):
    context.result = context.state.apply(3, ENTRIES[entry])


@when("{entry} is applied {calls:d} calls deep")
def applied_deep(context, entry, calls):
    if calls:
        applied_deep(context, entry, calls - 1)
    else:
        applied(context, entry)


@then("it is skipped, counted and logged, and configuration 1 is in force")
def skipped(context):
    assert is_failure(context.result), context.result
    assert COUNTERS.counts[COUNTER] == context.skipped + 1
    (line,) = [x for x in context.lines.lines if "log_entry_skipped" in x]
    assert "index=3" in line and "reason=" in line, line
    check_in_force(context, 1)


@then("configuration {version:d} is in force")
def check_in_force(context, version):
    state = context.state
    assert state.catalog.version == version, state.catalog.version
    assert state.compressed_document == zlib.compress(str(version).encode())
    catalog = decode(zlib.decompress(state.compressed_catalog), Catalog)
    assert catalog.version == version, catalog
    assert state.epochs["ledger"].endpoint == "e1", state.epochs


@then("its snapshot holds configuration 1 and the promotion")
def snapshot(context):
    other = ReplicatedState(decode_document)
    other.restore(context.state.snapshot())
    assert other.catalog.version == 1
    assert other.epochs == context.state.epochs


@when("it takes over a snapshot whose configuration cannot be read")
def takes_over(context):
    packed = zlib.compress(b"raise")
    context.snapshot = encode(SnapshotState(packed, context.state.epochs))
    context.state.restore(context.snapshot)


@then("no configuration is in force and the promotion is")
def nothing_in_force(context):
    assert context.state.catalog.catalog is None
    assert context.state.epochs["ledger"].endpoint == "e1"
    assert COUNTERS.counts[COUNTER] == context.skipped + 1


@then("its snapshot holds the same bytes")
def same_snapshot(context):
    assert context.state.snapshot() == context.snapshot


@when("{entry} is agreed on")
def agreed_on(context, entry):
    (leader,) = [m for m in context.group if m.host.leading]
    for member in context.group:
        # The decoder of this file also fails.
        member.host.state.decode_document = decode_document
    context.result = run(
        context,
        leader.host.agreement.submit(ENTRIES[entry], now() + PROPOSE_S),
    )


@then("the caller is told that it cannot be read")
def told(context):
    assert not is_failure(context.result), context.result
    assert is_failure(context.result.result), context.result


@when("another coordinator passes on {order}")
def passes_on(context, order):
    (context.leader,) = [m for m in context.group if m.host.leading]
    machine = context.leader.host.agreement.machine
    context.last_index = machine.log.last_index
    command = msgspec.json.decode(ENTRIES[order], type=StoreCatalog)
    body = encode(StoreOrder(command.packed))
    context.result = run(context, context.leader.host._on_store(body))


@then("it is refused as a bad request and the log is unchanged")
def refused(context):
    assert is_failure(context.result), context.result
    assert context.result.kind is ErrorKind.BAD_REQUEST, context.result
    machine = context.leader.host.agreement.machine
    assert machine.log.last_index == context.last_index
