"""Steps for planning membership changes."""

from behave import given, then, when

from chivescale import agreement as ag
from chivescale.agreement.tests.fakes import World


def member(name: str, voter: bool = True) -> ag.Member:
    return ag.Member(name, name, f"{name}-1", voter)


def plan(context, applicants=(), unreachable=()):
    names = {m.name for m in context.configuration.members}
    return context.roster.plan(
        "c0",
        context.configuration,
        {name: member(name) for name in applicants},
        names - set(unreachable) - {"c0"},
        context.now,
    )


def parse_names(text: str) -> list[str]:
    return [] if text == "none" else text.split()


@given("a group of voters {voters} led by c0")
def group(context, voters):
    start_group(context, voters, ag.Roster())


@given("a group of voters {voters} led by c0 that bears {losses:d} losses")
def bearing_group(context, voters, losses):
    start_group(context, voters, ag.Roster(losses))


@given("a group of voters {voters} whose leader c0 was just elected")
def new_leader(context, voters):
    start_term(context, voters, ag.Roster())


def start_group(context, voters, roster):
    start_term(context, voters, roster)
    assert plan(context) is None


def start_term(context, voters, roster):
    context.now = 100.0
    context.roster = roster
    members = tuple(member(name) for name in voters.split())
    context.configuration = ag.Configuration(members)
    context.applicants = context.unreachable = []


@when("all are reachable")
def all_reachable(context):
    context.unreachable = []
    assert plan(context) is None


@when(
    "{applicants} apply, {unreachable} are unreachable, and {seconds:d} s pass"
)
def events(context, applicants, unreachable, seconds):
    context.applicants, context.unreachable = (
        parse_names(applicants),
        parse_names(unreachable),
    )
    if not context.applicants:
        assert plan(context, unreachable=context.unreachable) is None
    context.now += seconds


@when("{name} becomes a voter")
def becomes_voter(context, name):
    context.configuration = context.configuration.with_member(member(name))
    if not context.unreachable:
        assert plan(context) is None


@when("{name} is a learner")
def becomes_learner(context, name):
    learner = member(name, voter=False)
    context.configuration = context.configuration.with_member(learner)


@when("the learner {name} has caught up")
def has_caught_up(context, name):
    context.configuration = context.configuration.with_member(member(name))


@when("{name} stops")
def stops(context, name):
    context.roster.leave(name, context.now)


@when("{name} is removed")
def is_removed(context, name):
    context.configuration = context.configuration.without(name)


@then("{name} will wait: {waits}")
def will_wait(context, name, waits):
    found = ag.awaits_removal(name, context.configuration, {})
    assert found == (waits == "yes"), found


@then("the leader will {change}")
def change_is(context, change):
    found = plan(context, context.applicants, context.unreachable)
    expected = None
    if change != "do nothing":
        verb, name = change.split()
        expected = {"admit": ag.Admit, "retire": ag.Retire}[verb](name)
    assert found == expected, found


@given("three members of which {barred} must not form a group")
def three_members(context, barred):
    context.world = World(7, ("c0", "c1", "c2"))
    for name in parse_names(barred):
        machine = context.world.hosts[name].machine
        machine.may_form = False


@when("5 s pass for all three")
def five_seconds(context):
    context.world.run(5.0)


@then("{leads} leads")
def leads(context, leads):
    leader = context.world.leader()
    assert (leader is not None) == (leads == "one"), leader


@when("a host that is in no settings runs for 2 s")
def unknown_host(context):
    context.world.add_host("c9", context.world.names)
    context.world.hosts["c9"].machine.address = "c9"
    context.world.run(2.0)


@then("the leader knows its address")
def leader_knows_address(context):
    seen = {}
    for host in context.world.hosts.values():
        seen |= host.machine.seen
    assert seen["c9"].address == "c9", seen
    machine = context.world.hosts["c9"].machine
    assert not machine.formed and machine.role is not ag.Role.LEADER
