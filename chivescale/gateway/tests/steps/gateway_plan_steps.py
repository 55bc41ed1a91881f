"""Steps for the selection of gateways."""

import random

from behave import given, then, when

from chivescale import clock
from chivescale.gateway import GatewayClient, select_gateways
from chivescale.relay._forwarder import Forwarder

SERVICES = ("ledger", "atelier", "creel", "slots")
MIN_GATEWAY_CONNECTIONS = 2


def plan(hosts, connections: int) -> dict[str, frozenset[str]]:
    return {
        service: select_gateways(
            service, SERVICES, hosts, connections, 1, MIN_GATEWAY_CONNECTIONS
        )
        for service in SERVICES
    }


@given("{count:d} hosts and 4 services whose endpoints accept {connections:d}")
def hosts_and_services(context, count, connections):
    context.hosts = [f"entry-{n}" for n in range(count)]
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
    context.plan = plan(context.hosts[1:], context.connections)


@then("each other host connects to the same services as before")
def same_services(context):
    gone = {context.hosts[0]}
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
