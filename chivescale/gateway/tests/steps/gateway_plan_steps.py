"""Steps for the selection of gateways."""

import asyncio
import collections
import random
import time

from behave import given, then, when

from chivescale import clock
from chivescale.errors import ErrorKind, Failure
from chivescale.gateway import (
    GatewayClient,
    GatewayResponse,
    Pong,
    assign_gateways,
)
from chivescale.messages import EntryHostRecord, decode
from chivescale.relay._forwarder import Forwarder

SERVICES = ("ledger", "atelier", "creel", "slots")
ZONES = ("z1", "z2", "z3", "z4", "z5", "z6")
MIN_GATEWAY_CONNECTIONS = 2


def plan(
    hosts: dict[str, str],
    connections: int,
    min_connections: int = MIN_GATEWAY_CONNECTIONS,
) -> dict[str, frozenset[str]]:
    return assign_gateways(
        dict.fromkeys(SERVICES, connections), hosts, 1, min_connections
    )


@given("{count:d} hosts and 4 services whose endpoints accept {connections:d}")
def hosts_and_services(context, count, connections):
    context.hosts = {f"entry-{n}": ZONES[n % len(ZONES)] for n in range(count)}
    context.connections = connections
    context.plan = plan(context.hosts, connections)


@then("{least:d} to {most:d} hosts connect to each service")
def counts(context, least, most):
    found = [len(names) for names in context.plan.values()]
    assert least <= min(found) and max(found) <= most, found


@then("they hold at most {connections:d} connections to an endpoint")
def held(context, connections):
    for names in context.plan.values():
        share = max(1, connections // len(names))
        assert share * len(names) <= connections


@when("one host is removed")
def host_ends(context):
    context.before = context.plan
    context.removed = next(iter(context.hosts))
    left = {h: z for h, z in context.hosts.items() if h != context.removed}
    context.plan = plan(left, context.connections)


@then("each other host connects to the same services as before")
def same_services(context):
    gone = {context.removed}
    for service in SERVICES:
        assert context.plan[service] == context.before[service] - gone


@when("the endpoints accept {connections:d}")
def accept(context, connections):
    context.plan = plan(context.hosts, connections)


@then("at most {count:d} hosts connect to no service")
def idle_hosts(context, count):
    used = frozenset().union(*context.plan.values())
    assert len(context.hosts) - len(used) <= count


@given("gateways {gateways}")
def gateways(context, gateways):
    context.forwarder = forwarder = Forwarder(
        "own", "near", None, random.Random(1)
    )
    time = clock.now()
    names = []
    for text in gateways.split(", "):
        name, zone, waiting, *state = text.split(" ")
        peer = GatewayClient("own", name, zone, "127.0.0.1:9")
        peer.reported_load, peer.reported_load_at = int(waiting), time
        peer.leaving = "leaving" in state
        peer.failed = "failed" in state
        forwarder.peers[name] = peer
        names.append(name)
    forwarder.gateways = {"ledger": frozenset(names)}


@then("a statement goes to {choice}")
def goes_to(context, choice):
    peer = context.forwarder.choose_gateway("ledger", set())
    assert (peer.name if peer else "nothing") == choice


@given(
    "{count:d} hosts in {zones:d} zones and 4 services whose endpoints accept"
    " {connections:d}, {least:d} a gateway"
)
def hosts_in_zones(context, count, zones, connections, least):
    hosts = {f"entry-{n}": ZONES[n % zones] for n in range(count)}
    context.hosts = hosts
    context.plan = plan(hosts, connections, least)
    context.replan = lambda names: plan(
        {name: hosts[name] for name in names}, connections, least
    )


@then("each zone has {least:d} to {most:d} gateways of each service")
def per_zone(context, least, most):
    for service, names in context.plan.items():
        counts = collections.Counter(context.hosts[name] for name in names)
        for zone in set(context.hosts.values()):
            found = counts[zone]
            assert least <= found <= most, (service, zone, found)


@then("a service loses {most:d} gateway at most and gains one for each lost")
def movement(context, most):
    for removed in context.hosts:
        after = context.replan(n for n in context.hosts if n != removed)
        for service, names in context.plan.items():
            lost = names - after[service]
            assert lost <= {removed} and len(lost) <= most, (removed, service)
            assert len(after[service] - names) <= len(lost)


@given("a host of zone near and gateways that answer {answers}")
def gateways_answer(context, answers):
    pongs = {
        "works": Pong(),
        "isolated": Pong(isolated=True),
        # A gateway of a version without the field.
        "old": decode(b'{"type":"pong"}', GatewayResponse),
        "silent": Failure(ErrorKind.TIMEOUT, "no answer"),
    }
    context.forwarder = forwarder = Forwarder(
        "own", "near", None, random.Random(1)
    )
    for text in answers.split(", "):
        name, zone, answer = text.split(" ")
        peer = GatewayClient("own", name, zone, "127.0.0.1:9")

        async def ping(timeout_s, pong=pongs[answer]):
            return pong

        peer.ping = ping
        forwarder.peers[name] = peer
    forwarder.gateways = {"ledger": frozenset(forwarder.peers)}


@then("the host {reaches} the service")
def reaches_service(context, reaches):
    found = asyncio.run(context.forwarder.can_reach("ledger"))
    assert found == (reaches == "reaches"), found


@given("{count:d} hosts in 6 zones and {services:d} services")
def many_services(context, count, services):
    context.hosts = {f"entry-{n}": ZONES[n % len(ZONES)] for n in range(count)}
    context.accepted = {f"service-{n}": 68 for n in range(services)}
    context.replan = lambda names: assign_gateways(
        context.accepted, {n: context.hosts[n] for n in names}, 1, 5
    )


@then("a plan takes less than {seconds:g} s of processor time")
def plan_time(context, seconds):
    started = time.process_time()
    context.plan = context.replan(context.hosts)
    assert time.process_time() - started < seconds


@then("no host works for more than {factor:g} times the mean")
def balanced(context, factor):
    work = collections.Counter(
        host for names in context.plan.values() for host in names
    )
    mean = sum(work.values()) / len(context.hosts)
    assert max(work.values()) <= factor * mean, (max(work.values()), mean)


@then("each service has {least:d} or more gateways in each zone")
def in_each_zone(context, least):
    context.plan = context.plan or context.replan(context.hosts)
    per_zone(context, least, len(context.hosts))


@then("the end of a host changes only the services that it worked for")
def ring_movement(context):
    removed = next(iter(context.hosts))
    after = context.replan(n for n in context.hosts if n != removed)
    for service, names in context.plan.items():
        if removed not in names:
            assert after[service] == names, service
        else:
            assert len(after[service] & names) == len(names) - 1, service


class IdleGateway:
    """Gateway that counts the statements that were sent to it."""

    usable = True

    def __init__(self, name: str, zone: str):
        self.name, self.zone = name, zone
        self.address = name
        self.statements = 0

    def load(self, time: float) -> int:
        return self.statements


@given("{near:d} gateways near and {far:d} far, all without load")
def idle_gateways(context, near, far):
    names = [(f"n{n}", "near") for n in range(near)]
    names += [(f"f{n}", "far") for n in range(far)]
    context.peers = {n: IdleGateway(n, zone) for n, zone in names}


def forwarder_to(peers: dict[str, IdleGateway]) -> Forwarder:
    forwarder = Forwarder("own", "near", None, random.Random(5))
    forwarder.peers = dict(peers)
    records = [
        EntryHostRecord(p.name, p.zone, p.address) for p in peers.values()
    ]
    forwarder.update(records, {"ledger": frozenset(peers)})
    return forwarder


def preferred_by(peers, workspaces) -> dict[str, str]:
    forwarder = forwarder_to(peers)
    chosen = {}
    for name in workspaces:
        found = {
            forwarder.choose_gateway("ledger", set(), name).name
            for _ in range(10)
        }
        assert len(found) == 1, (name, found)
        chosen[name] = found.pop()
    return chosen


@then("each of {count:d} workspaces uses one near gateway")
def uses_one(context, count):
    context.workspaces = [f"w{n}" for n in range(count)]
    context.preferred = preferred_by(context.peers, context.workspaces)
    assert all(n.startswith("n") for n in context.preferred.values())


@then("no near gateway is preferred by more than {most:d} of them")
def not_concentrated(context, most):
    counts = collections.Counter(context.preferred.values())
    assert len(counts) == 4 and max(counts.values()) <= most, counts


@then("the end of a gateway moves only the workspaces that preferred it")
def moves_own(context):
    peers = {n: p for n, p in context.peers.items() if n != "n1"}
    after = preferred_by(peers, context.workspaces)
    for name, before in context.preferred.items():
        assert (after[name] == before) == (before != "n1"), name


@when("{count:d} statements of one workspace wait")
def statements_of_one(context, count):
    forwarder = forwarder_to(context.peers)
    for _ in range(count):
        forwarder.choose_gateway("ledger", set(), "w").statements += 1


@then("each near gateway has {least:d} to {most:d} of them")
def near_have(context, least, most):
    near = [p.statements for p in context.peers.values() if p.zone == "near"]
    assert least <= min(near) and max(near) <= most, near
