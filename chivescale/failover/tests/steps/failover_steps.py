"""Steps for candidate selection, planned faults and random faults."""

import msgspec
from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from chivescale.failover import _selection as sel
from chivescale.failover.tests import failover_driver as driver
from chivescale.messages import (
    EndpointRecord,
    EndpointStatus,
    Position,
    ServiceRecord,
)


def status_of(name: str, term: int, position: int, zone="z") -> EndpointStatus:
    return EndpointStatus(
        name,
        "ledger",
        "1",
        "replica",
        term,
        Position(term, position),
        "",
        "",
        zone=zone,
    )


@given("voters a, b and c with primary a")
def three_voters(context):
    context.members = tuple(sel.Member(name, "1") for name in "abc")


@when("{promised} promise and {avoided} is to be avoided")
def some_promise(context, promised, avoided):
    statuses = {}
    for part in promised.split(", "):
        name, place = part.split()
        term, position = place.split("/")
        statuses[name] = status_of(name, int(term), int(position))
    context.choice = sel.choose_candidate(
        statuses,
        context.members,
        context.members,
        2,
        frozenset(avoided.split()),
        "a",
        {},
    )


@then("the choice is {choice}")
def the_choice_is(context, choice):
    assert str(context.choice).lower() == choice, context.choice


@given("voters a, b and c with primary a and the learner d at {lag:d} entries")
def voters_and_learner(context, lag):
    context.record = ServiceRecord(
        "ledger", 3, 4, 4, "a", tuple("abc"), ("1",) * 3
    )
    context.endpoints = {
        name: EndpointRecord(name, "ledger", "z", "1", name, name, 2, 9)
        for name in "abcd"
    }
    context.known = {
        name: sel.ObservedStatus(status_of(name, 4, 1000), 100.0)
        for name in "abc"
    }
    status = status_of("d", 4, 1000 - lag)
    context.known["d"] = sel.ObservedStatus(status, 100.0)


@when("nothing happens")
def nothing_happens(context):
    pass


@when("{name} is silent")
def is_silent(context, name):
    context.known[name].received_at = 80.0


@when("{name} is leaving")
def is_leaving(context, name):
    record = context.endpoints[name]
    context.endpoints[name] = msgspec.structs.replace(record, leaving=True)


@when("{name} lost its data")
def lost_its_data(context, name):
    record = context.endpoints[name]
    context.endpoints[name] = msgspec.structs.replace(record, incarnation="2")


@when("the group {change} to {size:d}")
def group_changes(context, change, size):
    context.record = msgspec.structs.replace(context.record, group_size=size)


@then("the planned voters are {voters}")
def planned_voters(context, voters):
    plan = sel.plan_voters(
        context.record, context.endpoints, context.known, 100.0, 0.0
    )
    found = ", ".join(member.endpoint for member in plan or ()) or "none"
    assert found == voters, found


@given("a running group with a spare endpoint")
def group_with_spare(context):
    context.simulation = driver.Simulation(1)
    context.simulation.await_first_term()
    context.simulation.run(2.0)


@given("a running group without spare")
def group_without_spare(context):
    context.simulation = driver.Simulation(1, spares=0)
    context.simulation.await_first_term()
    context.simulation.run(2.0)


def record_of(simulation) -> ServiceRecord:
    return simulation.state.services[driver.SERVICE]


@when("the primary {event}")
def primary_event(context, event):
    simulation = context.simulation
    context.before = record_of(simulation)
    endpoint = simulation.endpoints[context.before.primary]
    context.earlier = endpoint
    if event == "is frozen":
        endpoint.frozen_until = simulation.now + 5.0
    elif event == "is cut from its replicas":
        for name in simulation.endpoints:
            if name != endpoint.name:
                simulation.disconnected.add(frozenset((name, endpoint.name)))
    elif event.startswith("leaves"):
        endpoint.leaving = True
        if "dies" in event:
            simulation.run(1.2)
            simulation.do_kill(
                simulation.endpoints[record_of(simulation).primary]
            )
    elif event == "loses its disk":
        endpoint.restart(lose_disk=True)
    elif event == "is restarted at once":
        endpoint.restart()
    else:
        simulation.do_kill(endpoint)
    if "twice" in event:
        simulation.run(1.0)
        context.before = record_of(simulation)
        simulation.do_kill(simulation.endpoints[context.before.primary])
        simulation.do_restart(endpoint)


@when("a replica loses its disk")
def replica_loses_disk(context):
    record = record_of(context.simulation)
    name = next(v for v in record.voters if v != record.primary)
    context.earlier = context.simulation.endpoints[name]
    context.earlier.restart(lose_disk=True)


@when("the only watcher alive is cut from the primary")
def only_watcher(context):
    simulation = context.simulation
    context.before = record_of(simulation)
    simulation.disconnected.add(frozenset(("h1", context.before.primary)))
    driver.HOSTS, context.hosts = ("h1",), driver.HOSTS
    context.add_cleanup(setattr, driver, "HOSTS", context.hosts)


@when("the control leader changes five times")
def leader_changes(context):
    context.before = record_of(context.simulation)
    for _ in range(5):
        context.simulation.do_new_leader(None)
        context.simulation.run(0.7)


@when("two of three voters are killed")
def two_killed(context):
    context.before = record_of(context.simulation)
    for name in context.before.voters[:2]:
        context.simulation.do_kill(context.simulation.endpoints[name])


@then("a new primary is established within {ms:d} ms")
def new_primary(context, ms):
    simulation = context.simulation
    until = simulation.now + ms / 1000
    while record_of(simulation).term <= context.before.term:
        assert simulation.now < until, simulation.phases[-3:]
        simulation.run(0.01)
    context.established = record_of(simulation)


@then("callers can write within {ms:d} ms")
def callers_write(context, ms):
    simulation = context.simulation
    term, until = record_of(simulation).term, simulation.now + ms / 1000
    while term not in simulation.confirmed_by:
        assert simulation.now < until, simulation.phases[-3:]
        simulation.run(0.01)


@then("the earlier primary follows the new one once it resumes")
def earlier_follows(context):
    simulation = context.simulation
    simulation.run(8.0)
    record = record_of(simulation)
    earlier = context.earlier
    assert earlier.role == "replica" and earlier.primary == record.primary
    primary = simulation.endpoints[record.primary]
    simulation.endpoints[record.primary].leaving = True
    simulation.run(0.1)
    assert earlier.log[: len(earlier.log)] == primary.log[: len(earlier.log)]


@then("its new incarnation is a voter within {ms:d} ms")
def incarnation_is_voter(context, ms):
    simulation = context.simulation
    until = simulation.now + ms / 1000
    while (
        context.earlier.incarnation not in record_of(simulation).incarnations
    ):
        assert simulation.now < until, record_of(simulation)
        simulation.run(0.05)


@then("no other term is {what} in {ms:d} ms")
def no_other_term(context, what, ms):
    context.simulation.run(ms / 1000)
    record = record_of(context.simulation)
    assert record.begun_term == context.before.begun_term, record


@then("an hour of pauses, lag and lost announcements keeps the first term")
def hour_of_disturbances(context):
    driver.run_normal_disturbances(1, 60)


@then("hypothesis finds no fault sequence that violates an invariant")
def no_violating_sequence(context):
    step = st.tuples(
        st.sampled_from(driver.ACTIONS),
        st.sampled_from(("e1", "e2", "e3", "e4")),
        st.sampled_from(driver.WAITS_S),
    )

    @settings(
        derandomize=True,
        deadline=None,
        max_examples=25,
        suppress_health_check=list(HealthCheck),
    )
    @for_all(st.integers(0, 1000), st.lists(step, max_size=25))
    def run(seed, script):
        driver.run_script(seed, script)

    run()


@then("the random runs with seeds {first:d} to {last:d} violate no invariant")
def random_runs(context, first, last):
    for seed in range(first, last + 1):
        driver.run_random(seed)
