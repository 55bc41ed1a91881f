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
from chivescale.messages import decode
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
