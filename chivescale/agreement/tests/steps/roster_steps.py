"""Steps for the planning of members."""

from behave import given, then, when

from chivescale import agreement as ag
from chivescale.agreement.tests.fakes import World


def member(name: str, voter: bool = True) -> ag.Member:
    return ag.Member(name, name, f"{name}-1", voter)


def plan(context, callers=(), silent=()):
    names = {m.name for m in context.configuration.members}
    return context.roster.plan(
        "c0",
        context.configuration,
        {name: member(name) for name in callers},
        names - set(silent) - {"c0"},
        context.now,
    )


def words(text: str) -> list[str]:
    return [] if text == "none" else text.split()


@given("a group of voters {voters} led by c0")
def group(context, voters):
    context.now = 100.0
    context.roster = ag.Roster()
    members = tuple(member(name) for name in voters.split())
    context.configuration = ag.Configuration(members)
    context.callers = context.silent = []
    assert plan(context) is None


@when("{callers} call, {silent} are silent, and {seconds:d} s pass")
def events(context, callers, silent, seconds):
    context.callers, context.silent = words(callers), words(silent)
    if not context.callers:
        assert plan(context, silent=context.silent) is None
    context.now += seconds


@when("{name} becomes a voter meanwhile")
def becomes_voter(context, name):
    context.configuration = context.configuration.with_member(member(name))
    if not context.silent:
        assert plan(context) is None


@then("the leader will {change}")
def change_is(context, change):
    found = plan(context, context.callers, context.silent)
    expected = None
    if change != "do nothing":
        verb, name = change.split()
        expected = {"admit": ag.Admit, "retire": ag.Retire}[verb](name)
    assert found == expected, found


@given("three members of which {empty} start without having had a group")
def three(context, empty):
    context.world = World(7, ("c0", "c1", "c2"))
    for name in words(empty):
        machine = context.world.hosts[name].machine
        machine.may_form = False


@when("5 s pass for all three")
def five_seconds(context):
    context.world.run(5.0)


@then("{leads} leads")
def leads(context, leads):
    leader = context.world.leader()
    assert (leader is not None) == (leads == "one"), leader


@when("a host that no settings name calls for 2 s")
def stranger(context):
    context.world.add_host("c9", context.world.names)
    context.world.hosts["c9"].machine.address = "c9"
    context.world.run(2.0)


@then("the leader has seen its address")
def seen(context):
    seen = {}
    for host in context.world.hosts.values():
        seen |= host.machine.seen
    assert seen["c9"].address == "c9", seen
    machine = context.world.hosts["c9"].machine
    assert not machine.formed and machine.role is not ag.Role.LEADER
