"""Steps on silent connections between own processes."""

import shutil

from behave import given, then, when

from features.faults.environment import PLANS
from features.faults.relay import Relay
from tools.system import System

RELAY_OFFSET = 100


@given("a system whose hosts reach control hosts through relays")
def relayed_system(context):
    system = context.system = System(PLANS["relayed"])
    context.relays = []
    # The feature has no system of its own, so the scenario ends this one.
    context.add_cleanup(end, context)
    for item in system.of_role("control"):
        target = item.addresses["control"]
        listen = relay_address(target)
        context.relays.append(Relay(listen, target))
        for host in system.of_role("control") + system.of_role("entry"):
            if host.name == item.name:
                continue
            path = system.settings_path(host.name)
            text = path.read_text()
            assert f'"{target}"' in text
            path.write_text(text.replace(f'"{target}"', f'"{listen}"'))
    system.start_all()


def relay_address(address):
    """Return the address of the relay of a control host."""
    ip, _, port = address.rpartition(":")
    prefix, _, last = ip.rpartition(".")
    return f"{prefix}.{int(last) + RELAY_OFFSET}:{port}"


def end(context):
    """End processes and relays."""
    context.system.close()
    for relay in context.relays:
        relay.close()
    if not context.failed:
        shutil.rmtree(context.system.folder)


@when("all open connections through the relays go silent")
def silence(context):
    before = [relay.accepted for relay in context.relays]
    assert all(before), "a relay is not in use"
    for relay in context.relays:
        relay.silence()


@then("no statement of the load failed")
def none_failed(context):
    report = context.load.finish()
    assert not report.errors, report.errors
