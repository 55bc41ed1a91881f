"""Steps for odd entries that other processes pass on."""

import asyncio
import json
import logging
import pathlib
import random
import tempfile
import types

import msgspec
from behave import given, then, when
from disk_steps import run
from recall_steps import heartbeat
from unreadable_steps import Lines

from chivescale.catalog import Catalog, ServiceOptions
from chivescale.clock import now
from chivescale.coordinator import CoordinatorSettings
from chivescale.coordinator._distributor import Distributor
from chivescale.coordinator._messages import Gossip
from chivescale.coordinator._saved_state import FILE_NAME, load
from chivescale.errors import ErrorKind, is_failure
from chivescale.gateway import GatewayClient
from chivescale.httpio import HttpClient
from chivescale.link import can_connect, open_link
from chivescale.messages import WatchAnswer, decode, encode
from chivescale.registry import Registry
from chivescale.relay import RelayHost, RelaySettings

CONNECT_S = 0.5
SETTINGS = CoordinatorSettings("c1", "z1", "c1:1", (), "unused", True)
CHANGES = {
    "a port out of range": {"address": "127.0.0.1:99999"},
    "a number too large": {"sequence": 10**30},
    "a negative number": {"slots": -1},
    "a field of another type": {"zone": 1},
    "an empty name": {"service": ""},
    "bytes that are no text": {"zone": "@"},
    "lists nested 200 deep": {"zone": "#"},
}
CONTACTS = {
    "a negative age": [["h3", "z1", "127.0.0.1:9"], -5.0, False],
    "an age of another type": [["h3", "z1", "127.0.0.1:9"], "5", False],
    "a record without address": [["h3", "z1"], 1.0, False],
}


def entry(endpoint: str, port: int, **changes) -> dict:
    return msgspec.to_builtins(heartbeat(endpoint, port)) | changes


def odd_entry(name: str):
    if name == "no object":
        return 7
    if name == "a missing field":
        fields = entry("e3", 3)
        del fields["address"]
        return fields
    return entry("e3", 3, **CHANGES[name])


def as_body(message: dict) -> bytes:
    body = json.dumps(message).encode()
    body = body.replace(b'"@"', b'"\xff"')
    return body.replace(b'"#"', b"[" * 200 + b"]" * 200)


def distributor() -> Distributor:
    host = types.SimpleNamespace(
        settings=SETTINGS,
        registry=Registry(),
        is_foreign=lambda heartbeat: False,
    )
    return Distributor(host)


def endpoints_of(body: bytes, kind: str) -> set[str]:
    """Return the endpoints that a receiver knows afterwards."""
    if kind == "gossip":
        receiver = distributor()
        receiver.merge_gossip(decode(body, Gossip))
        return set(receiver.host.registry.entries)
    if kind == "the saved file":
        with tempfile.TemporaryDirectory() as folder:
            pathlib.Path(folder, FILE_NAME).write_bytes(body)
            state = load(pathlib.Path(folder))
        return {beat.endpoint for beat in state.endpoints}
    settings = RelaySettings("h1", "z1", "", ("c1:1",), 6.0)
    host = RelayHost(settings, None, None, None, random.Random(1))
    host.follower._apply_response(decode(body, WatchAnswer))
    return set(host.by_id)


@when("{kind} holds e1, {name} and e2")
def holds(context, kind, name):
    entries = [entry("e1", 1), odd_entry(name), entry("e2", 2)]
    if kind == "gossip":
        message = {"beats": entries}
    elif kind == "the saved file":
        message = {"endpoints": entries}
    else:
        answer = WatchAnswer("b", 1, b"", (), {}, "", 0.0, 1, (), ())
        message = json.loads(encode(answer))
        message["endpoints"] = [
            {"beat": beat, "primary_for_s": -1.0} for beat in entries
        ]
    lines = Lines()
    logger = logging.getLogger("chivescale")
    logger.addHandler(lines)
    try:
        context.known = endpoints_of(as_body(message), kind)
    finally:
        logger.removeHandler(lines)
    context.lines = [x for x in lines.lines if "elements_skipped" in x]


@then("e1 and e2 are known, and one line names the entry that was passed over")
def known_without(context):
    assert context.known == {"e1", "e2"}, context.known
    (line,) = context.lines
    assert "count=1" in line and "[1]" in line, line


@when("gossip holds contacts of h1, {contact} and h2")
def contacts(context, contact):
    first, last = (
        [[n, "z1", "127.0.0.1:9"], 1.0, False] for n in ("h1", "h2")
    )
    body = json.dumps({"hosts": [first, CONTACTS[contact], last]}).encode()
    context.receiver = distributor()
    context.receiver.merge_gossip(decode(body, Gossip))


@then("the hosts h1 and h2 are known")
def hosts_known(context):
    names = {host.name for host in context.receiver.hosts.active}
    assert names == {"h1", "h2"}, names


@when("gossip holds e1 twice, the older one last")
def holds_twice(context):
    beats = [entry("e1", 1), entry("e1", 1, sequence=1, draining=True)]
    context.receiver = distributor()
    context.receiver.merge_gossip(decode(as_body({"beats": beats}), Gossip))


@then("the newer one counts")
def newer_counts(context):
    entries = context.receiver.host.registry.entries
    assert not entries["e1"].heartbeat.draining


@when("gossip is {body}")
def gossip_is(context, body):
    bodies = {
        "a list instead of entries": b"[1]",
        "no list in the field": b'{"beats":{"a":1}}',
        "nested 100000 deep": b'{"beats":' + b"[" * 100_000,
    }
    context.decoded = decode(bodies[body], Gossip)


@then("it is a failure and nothing is known")
def whole_failure(context):
    assert is_failure(context.decoded), context.decoded


@then(
    "a link, a trial, a call and a gateway connection to {address} fail as"
    " unreachable"
)
def connections_fail(context, address):
    async def work():
        link = await open_link(LineLess(), address, "ledger", "e1", CONNECT_S)
        assert is_failure(link) and link.kind is ErrorKind.UNREACHABLE, link
        assert not await can_connect(address, CONNECT_S)
        client = HttpClient()
        answer = await client.send(address, "GET", "/", timeout_s=CONNECT_S)
        assert is_failure(answer), answer
        assert answer.kind is ErrorKind.UNREACHABLE, answer
        await client.close()
        gateway = GatewayClient("h1", "h2", "z1", address)
        failure = await gateway._open()
        assert is_failure(failure), failure
        assert failure.kind is ErrorKind.UNREACHABLE, failure

    asyncio.run(work())


class LineLess:
    """Dialect of an endpoint that is never reached."""

    max_message_bytes = 1000


@given("a configuration with service {name}, and e1 of ledger at port 1")
def named_services(context, name):
    services = () if name == "nothing" else (ServiceOptions(name, 5),)
    context.host = context.group[0].host
    context.host.state.catalog.catalog = Catalog(1, (), services)
    context.host.registry.record_heartbeat(heartbeat("e1", 1), now())


@when("a later heartbeat of {name} of {service} at port {port:d} {arrives}")
def later_heartbeat(context, name, service, port, arrives):
    beat = heartbeat(name, port, service=service, born_ms=2000)

    async def work():
        context.failure = None
        if arrives == "arrives":
            context.failure = await context.host.note_beat(beat)
        else:
            context.host.distributor.merge_gossip(Gossip(beats=(beat,)))

    run(context, work())
    entry = context.host.registry.entries.get(name)
    context.stored = entry is not None and entry.heartbeat == beat


@then("it is {verdict}, and e1 is {state}")
def judged(context, verdict, state):
    assert context.stored == (verdict == "stored"), context.failure
    assert is_failure(context.failure) == (verdict == "refused")
    if verdict == "refused":
        assert context.failure.kind is ErrorKind.BAD_REQUEST
    e1 = context.host.registry.entries["e1"].heartbeat
    assert e1.gone == (state == "gone") and e1.service == "ledger", e1
