"""Steps that drive simulated agreement machines."""

import random

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from chivescale import agreement as ag
from chivescale.agreement.tests.fakes import NAMES, TIMING, Host, World
from chivescale.agreement.tests.leaving_runs import run_leaving
from chivescale.agreement.tests.random_runs import (
    ACTIONS,
    run_actions,
    run_random,
)
from chivescale.agreement.tests.slow_links import SlowWorld

SEED = 7


@then("{runs:d} random runs of up to {steps:d} actions violate no invariant")
def random_runs(context, runs, steps):
    action = strategies.tuples(
        strategies.sampled_from(ACTIONS), strategies.integers(0, 65535)
    )

    @hypothesis.settings(
        max_examples=runs, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        strategies.integers(0, 1 << 30),
        strategies.lists(action, min_size=steps // 2, max_size=steps),
    )
    def check(seed, actions):
        run_actions(seed, actions)

    check()


@then(
    "the random run with seed {seed:d} and {steps:d} actions violates no"
    " invariant"
)
def fixed_run(context, seed, steps):
    report = run_random(seed, steps)
    # The checks are meaningful only if the group worked most of the time.
    assert report.acknowledged > steps // 2, report
    assert report.reads > 0 and report.terms > 1, report


@given("a group whose members {names} have not started")
def partial_group(context, names):
    context.world = World(SEED)
    # All machines started at time zero and have sent no messages yet.
    for name in names.split():
        context.world.replace_disk(name)


@given("a formed group")
def formed_group(context):
    context.world = world = World(SEED)
    assert world.run(2.0, world.leader)
    world.run(0.2)
    leader = world.leader().name
    followers = [name for name in NAMES if name != leader]
    context.roles = {"leader": leader, "follower": followers[0]}
    context.roles |= {
        f"follower{i}": name for i, name in enumerate(followers, 1)
    }
    context.first_term = world.leader().machine.term


@given("a formed group with {count:d} commands")
def group_with_commands(context, count):
    formed_group(context)
    commit(context, count)


@when("{count:d} commands are committed")
def commit(context, count):
    world = context.world
    for _ in range(count // 10):
        batch = world.propose(count=10)
        assert world.run(1.0, lambda b=batch: b[-1] in world.acknowledged)


def _named(context, words: str) -> list[Host]:
    roles = context.roles
    return [context.world.hosts[roles.get(w, w)] for w in words.split()]


@given("members c3 c4 and the first follower are isolated from the others")
def isolate_three(context):
    context.world.isolate("c3", "c4", context.roles["follower"])


@when("the first follower loses its disk and restarts")
def first_follower_lost(context):
    lose_disks(context, "follower")


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    context.world.run(seconds)


@when("every member is started")
def start_all(context):
    for name in NAMES:
        context.world.start(name)


@when("all faults end")
def all_faults_end(context):
    context.world.end_faults()


@when("members {names} crash")
def crash_members(context, names):
    for host in _named(context, names):
        context.world.crash(host.name)


@when("members {names} crash right after the next reply")
def crash_after_reply(context, names):
    # Replies to heartbeats acknowledge no new entry.
    last = context.world.leader().machine.log.last_index
    for host in _named(context, names):
        host.crash_after = lambda message: (
            isinstance(message, ag.AppendReply) and message.match_index > last
        )


@when("{count:d} commands of {size:d} bytes are proposed")
def propose_large(context, count, size):
    context.world.propose(count=count, size=size)
    context.world.run(0.5)


@when("messages above {size:d} bytes are lost")
def limit_messages(context, size):
    context.world.max_message_bytes = size


@then("the contact of member {name} with a quorum is {expected}")
def contact_is(context, name, expected):
    (host,) = _named(context, name)
    age_s = host.machine.contact_age_s(context.world.now * host.rate)
    recent = age_s < TIMING.election_timeout_s
    assert recent == (expected == "recent"), age_s


@given("a group of three with one member 35 commands of 20000 bytes behind")
def one_behind(context):
    context.world = world = SlowWorld(SEED, NAMES[:3])
    assert world.run(2.0, world.leader)
    world.run(0.2)
    leader = world.leader().name
    context.behind, context.other = (n for n in NAMES[:3] if n != leader)
    world.crash(context.behind)
    world.propose(count=35, size=20000)
    assert world.run(1.0, lambda: len(world.acknowledged) == 35)


@when("another member crashes and links carry {speed:d} bytes/s")
def slow_links(context, speed):
    context.world.crash(context.other)
    context.world.bytes_per_s = speed
    context.world.start(context.behind)


@then("the member behind has all entries within {seconds:d} s")
def has_all(context, seconds):
    world = context.world
    machine = world.hosts[context.behind].machine
    last = max(world.acknowledged.values())
    terms = sorted(world.leaders)
    assert world.run(seconds, lambda: machine.applied >= last), (
        f"log up to {machine.log.last_index} of {last}, leaders of terms"
        f" {terms[0]} to {max(world.leaders)}"
    )


@when("a command is acknowledged by the leader")
def command_acknowledged(context):
    world = context.world
    (command,) = world.propose()
    assert world.run(1.0, lambda: command in world.acknowledged)


@when("members {names} are started")
def start_members(context, names):
    for host in _named(context, names):
        context.world.start(host.name)


@when("members {names} lose their disks and restart")
def lose_disks(context, names):
    for host in _named(context, names):
        context.world.replace_disk(host.name)
        context.world.start(host.name)


@when("members {names} are replaced and vote")
def replace_members(context, names):
    world = context.world
    for host in _named(context, names):
        assert world.run(2.0, lambda h=host: _seen(world, h.name))
        world.change(ag.ReplaceMember, host.name)
        assert world.run(2.0, lambda h=host: _votes(world, h))


def _seen(world, name: str) -> bool:
    leader = world.leader()
    return leader is not None and name in leader.machine.seen


def _votes(world, host) -> bool:
    leader = world.leader()
    if leader is None:
        return False
    found = leader.machine.configuration.find(host.name, host.disk.incarnation)
    return found is not None and found.voter


@when("a host c5 is admitted by a leader that reaches no other member")
def admit_alone(context):
    world = context.world
    leader = context.roles["leader"]
    world.add_host("c5", NAMES)
    assert world.run(2.0, lambda: _seen(world, "c5"))
    world.isolate(leader)
    world.change(ag.ReplaceMember, "c5")
    c5 = world.hosts["c5"].machine
    assert world.run(0.2, lambda: c5.configuration.find("c5"))
    assert c5.leader.name == leader
    # A follower forgets a request once it has passed it on to the leader.
    for host in world.hosts.values():
        host.machine.seen.clear()


@when("all links work again")
def links_work(context):
    context.world.blocked_links.clear()


@then("the new leader knows that c5 asks to be admitted")
def c5_asks(context):
    assert _seen(context.world, "c5")


@then("c5 names no leader")
def c5_names_none(context):
    machine = context.world.hosts["c5"].machine
    assert machine.leader_address == "", machine.leader_address


@when("a host c5 with all members in its settings is started and admitted")
def add_member(context):
    context.world.add_host("c5", (*NAMES, "c5"))
    replace_members(context, "c5")


@when("member follower is removed")
def remove_member(context):
    world, name = context.world, context.roles["follower"]
    # The previous change must be committed first.
    world.run(0.2)
    world.change(ag.RemoveMember, name)
    world.names = tuple(n for n in (*NAMES, "c5") if n != name)
    world.run(1.0)


@then("the group has {count:d} voters, c5 among them")
def group_has_voters(context, count):
    voters = context.world.leader().machine.configuration.voters
    assert {member.name for member in voters} == set(context.world.names)
    assert len(voters) == count


@when("the leader is isolated")
def isolate_leader(context):
    context.world.isolate(context.roles["leader"])


@when("links of the follower are cut in direction {direction}")
def cut_links(context, direction):
    world, name = context.world, context.roles["follower"]
    if direction == "from leader":
        world.blocked_links.add((context.roles["leader"], name))
        return
    for other in set(NAMES) - {name}:
        if direction in ("both", "in"):
            world.blocked_links.add((other, name))
        if direction in ("both", "out"):
            world.blocked_links.add((name, other))


@when("the replacement of a healthy member is requested")
def replace_healthy(context):
    world = context.world
    name = context.roles["follower"]
    leader = world.leader().machine
    leader.seen[name] = ag.Member(name, name, "stray")
    world.change(ag.ReplaceMember, name)
    world.run(1.0)


@when("a late request to admit its present incarnation arrives")
def late_request(context):
    world = context.world
    name = context.roles["follower"]
    leader = world.leader().machine
    leader.seen[name] = leader.configuration.find(name)
    world.change(ag.ReplaceMember, name)
    world.run(1.0)


@when("the leader steps down")
def leader_steps_down(context):
    world, host = context.world, context.world.leader()
    world.run(0.2)
    context.roles["leader"] = host.name
    context.leader_incarnation = host.disk.incarnation
    context.removed_in_term = host.machine.term
    world._step(host, ag.StepDown())


@when("the former leader is removed")
def former_leader_removed(context):
    world, name = context.world, context.roles["leader"]
    world.change(ag.RemoveMember, name)
    world.names = tuple(n for n in (*NAMES, "c5") if n != name)
    world.run(1.0)


@then(
    "{runs:d} random runs of {steps:d} actions with leaving voters violate"
    " no invariant"
)
def leaving_runs(context, runs, steps):
    worlds = [run_leaving(seed, steps) for seed in range(1, runs + 1)]
    # The checks are meaningful only if voters left while the group worked.
    assert sum(w.left for w in worlds) > 2 * runs
    assert sum(len(w.acknowledged) for w in worlds) > runs * steps // 2


@then("the former leader has not led again")
def has_not_led(context):
    world = context.world
    for term, identity in world.leaders.items():
        former = identity.startswith(f"{context.roles['leader']}/")
        assert not former or term <= context.removed_in_term, world.leaders


@when("the former leader is admitted again")
def former_leader_admitted(context):
    world, name = context.world, context.roles["leader"]
    assert _seen(world, name)
    world.change(ag.ReplaceMember, name)
    world.run(1.0)


@then("the former leader votes with its former incarnation")
def former_leader_votes(context):
    world = context.world
    host = world.hosts[context.roles["leader"]]
    assert host.disk.incarnation == context.leader_incarnation
    assert _votes(world, host)
    world.names = (*NAMES, "c5")
    world.check_outcome()


@when("the leader is frozen for {seconds:g} s")
def freeze_leader(context, seconds):
    context.world.freeze(context.roles["leader"], seconds)


@when("every member is paused for {ms:d} ms and wakes within {spread:d} ms")
def pause_all(context, ms, spread):
    world = context.world
    for name in NAMES:
        late_s = world.rng.uniform(0, spread) / 1000
        world.freeze(name, ms / 1000 + late_s)


@then(
    "the frozen leader's last contact is over {seconds:d} s old as soon as"
    " it resumes"
)
def contact_is_old(context, seconds):
    world = context.world
    former = world.hosts[context.roles["leader"]]
    machine = former.machine
    assert machine.role is ag.Role.LEADER
    assert machine.contact_age_s(former.frozen_until) > seconds


@when("a command is accepted on another leader")
def accept_elsewhere(context):
    former = context.world.hosts[context.roles["leader"]]
    world = context.world
    assert world.run(1.0, lambda: world.leader() is not former)
    command_accepted(context, 0.5)


@when("the frozen leader receives a read as soon as it resumes")
def read_on_resume(context):
    world = context.world
    former = world.hosts[context.roles["leader"]]
    # The clock advances without delivering the messages that have arrived.
    queue, world.queue = world.queue, []
    world.now, former.frozen_until = former.frozen_until, 0.0
    context.reads_before = world.confirmed_reads
    assert former.machine.role is ag.Role.LEADER
    world.read(former.name)
    for at, _, message in queue:
        world._enqueue(max(at, world.now), message)


@then("the read was not confirmed by the former leader")
def read_not_confirmed(context):
    assert context.world.confirmed_reads == context.reads_before


@then("no member leads")
def nobody_leads(context):
    machines = [host.machine for host in context.world.hosts.values()]
    roles = [machine.role for machine in machines if machine is not None]
    assert ag.Role.LEADER not in roles, roles


@then("a member leads within {seconds:g} s")
def somebody_leads(context, seconds):
    assert context.world.run(seconds, context.world.leader)


@then("only members with the group's log have been leaders")
def one_group(context):
    world = context.world
    wiped = world.hosts[context.roles["follower"]]
    assert wiped.machine.log.last_index == 0
    assert all(wiped.disk.incarnation not in i for i in world.leaders.values())
    assert world.leader() is None


@then("a command is accepted within {seconds:g} s")
def command_accepted(context, seconds):
    world = context.world
    count = len(world.acknowledged)

    for _ in range(int(seconds / 0.05)):
        if world.run(0.05, lambda: len(world.acknowledged) > count):
            return
        world.propose()
    assert len(world.acknowledged) > count, "no command was accepted"


@then("all members agree and no command is lost")
def check_outcome(context):
    context.world.check_outcome()


@then("the member that lost its disk is not a voter")
def not_a_voter(context):
    world = context.world
    assert not _votes(world, world.hosts[context.roles["follower"]])


@then("the change is rejected and all members are still voters")
def change_rejected(context):
    configuration = context.world.leader().machine.configuration
    assert len(configuration.voters) == len(NAMES)
    assert all(m.incarnation != "stray" for m in configuration.members)


@then("the returned member catches up through a snapshot")
def caught_up(context):
    world = context.world
    host = world.hosts[context.roles["follower"]]
    last = world.leader().machine.commit
    assert world.run(2.0, lambda: host.machine.applied >= last)
    # Its log was too far behind to contain the entries in the snapshot.
    assert host.disk.snapshot.index > 500, host.disk.snapshot.index
    assert host.disk.entries[0].index > 500


@then("the isolated member does not lead and confirms no read")
def isolated_does_not_lead(context):
    world = context.world
    former = world.hosts[context.roles["leader"]]
    assert former.machine.role is not ag.Role.LEADER
    before = world.confirmed_reads
    world.read(former.name)
    world.run(0.5)
    assert world.confirmed_reads == before
    context.new_term = world.leader().machine.term
    assert context.new_term > context.first_term


@then("the term has not changed since the election of the second leader")
def term_is_kept(context):
    terms = {h.machine.term for h in context.world.hosts.values()}
    assert terms == {context.new_term}, (terms, context.new_term)


@then("the leader and its term are unchanged")
def leader_unchanged(context):
    leader = context.world.leader()
    assert leader is not None and leader.name == context.roles["leader"]
    assert leader.machine.term == context.first_term, leader.machine.term


@then("for {seeds:d} seeds a crashed leader is replaced within {limit:d} ms")
def elected_in_time(context, seeds, limit):
    for seed in range(seeds):
        world = World(seed)
        assert world.run(2.0, world.leader)
        world.run(0.5 + seed % 50 / 1000)
        world.crash(world.leader().name)
        assert world.run(limit / 1000, world.leader), f"seed {seed}"


# Single machines.


def _machine(entries, term: int):
    members = tuple(ag.Member(name, name, f"{name}-1") for name in NAMES)
    initial = ag.Configuration(members)
    recovered = ag.Recovered("c0-1", ag.HardState(term), None, entries)
    return ag.Agreement("c0", initial, recovered, TIMING, random.Random(1))


def _header(sender: str, term: int, incarnation: str = "c0-1"):
    return ag.Header(sender, f"{sender}-1", "c0", incarnation, term)


def _receive(machine, message, now: float):
    return machine.step(ag.Received(message), now)


@given("a leader that holds an entry of an earlier term")
def leader_with_old_entry(context):
    context.machine = machine = _machine((ag.Entry(1, 2, data=b"x"),), 3)
    machine.step(ag.Tick(), 0.0)
    machine.step(ag.Tick(), machine.next_wakeup())
    for pre in (True, False):
        for sender in ("c1", "c2"):
            header = _header(sender, 3 if pre else 4)
            _receive(machine, ag.VoteReply(header, pre, 4, True), 0.5)
    assert machine.role is ag.Role.LEADER
    assert machine.log.last_index == 2


def _acknowledge(machine, index: int) -> None:
    for sender in ("c1", "c2"):
        header = _header(sender, 4)
        reply = ag.AppendReply(header, True, 0, index, 1)
        _receive(machine, reply, 0.51)


@when("a quorum acknowledges only that entry")
def acknowledge_old(context):
    _acknowledge(context.machine, 1)


@then("nothing is committed")
def nothing_committed(context):
    assert context.machine.commit == 0, context.machine.commit


@when("a quorum acknowledges the first entry of the leader's own term")
def acknowledge_own(context):
    _acknowledge(context.machine, 2)


@then("both entries are committed")
def both_committed(context):
    assert context.machine.commit == 2, context.machine.commit


@when("a member receives a {request} for its former incarnation")
def receive_stray(context, request):
    machine = _machine((), 0)
    machine.step(ag.Tick(), 0.0)
    header = _header("c1", 5, "former")
    if request == "vote":
        message = ag.VoteRequest(header, False, 5, 9, 4, "c1")
    else:
        message = ag.AppendRequest(header, 0, 0, 0, 1)
    context.effects = _receive(machine, message, 0.1)


@then("it sends no reply and stores nothing")
def no_effects(context):
    assert context.effects == [], context.effects


@then("all members have applied the log {ms:d} ms after one leads")
def applied_after_election(context, ms):
    world = context.world
    assert world.run(2.0, world.leader)
    # Messages take 0.5 to 3 ms, heartbeats are 50 ms apart.
    world.run(ms / 1000)
    applied = [host.machine.applied for host in world.hosts.values()]
    assert applied == [world.leader().machine.log.last_index] * len(NAMES)


@then(
    "for {count:d} seeds c1 leads within {ms:d} ms beside c0 that lacks an"
    " entry"
)
def elected_beside_older_log(context, count, ms):
    for seed in range(count):
        world = World(seed, ("c0", "c1", "c2"))
        world.run(2.0, world.leader)
        world.isolate("c0")
        world.run(2.0)
        world.propose()
        world.run(0.5)
        world.crash("c2")
        world.run(2.0)
        world.blocked_links.clear()
        assert world.run(ms / 1000, world.leader), seed
        assert world.leader().name == "c1", seed
