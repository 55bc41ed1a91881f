"""Steps for the failure detector, the watcher and majority verdicts."""

from behave import given, then, when

from chivescale.failover import (
    Detector,
    ProbeAnswered,
    ProbeError,
    ProbeFailed,
    ProbeReply,
    ProbeSent,
    Tick,
    Verdicts,
    Watcher,
    WatchService,
)
from chivescale.messages import (
    EndpointRecord,
    EndpointStatus,
    Position,
    ServiceRecord,
    Suspicion,
)


def probe_outcome(behaves: str, probe: int, fresh: bool, network: dict):
    """Return the delay and result of a probe; None, None without an answer."""
    network["count"] += 1
    odd = network["count"] % 2
    if behaves == "refuses" or (behaves == "refuses once" and odd and fresh):
        return 0.002, "refused"
    if behaves == "pauses":
        return None, None
    if behaves == "answers only on fresh connections" and not fresh:
        return None, None
    if behaves == "answers none on fresh connections" and fresh:
        return None, None
    if behaves == "breaks every established connection" and not fresh:
        return 0.002, "broken"
    if behaves == "loses every second fresh probe" and (not fresh or odd):
        return None, None
    if behaves == "loses every second probe" and odd:
        return None, None
    return 0.002, "answer"


def run_detector(context, behaves: str, until: float) -> None:
    """Run the detector with a tick every 10 ms."""
    detector, network = context.detector, context.simulated_network
    while context.now < until:
        context.now += 0.01
        for item in [i for i in network["due"] if i[0] <= context.now]:
            network["due"].remove(item)
            finish_probe(context, behaves, item)
        for effect in detector.step(Tick(context.timer_delay_s), context.now):
            send_probe(context, behaves, effect.fresh)


def send_probe(context, behaves: str, fresh: bool) -> None:
    network = context.simulated_network
    network["probe"] += 1
    probe = network["probe"]
    context.detector.step(ProbeSent(probe, fresh), context.now)
    delay, kind = probe_outcome(behaves, probe, fresh, network)
    if delay is not None:
        network["due"].append((context.now + delay, probe, kind))


def finish_probe(context, behaves: str, item) -> None:
    _, probe, kind = item
    event = ProbeAnswered(probe)
    if kind != "answer":
        event = ProbeFailed(probe, kind == "refused")
    for effect in context.detector.step(event, context.now):
        send_probe(context, behaves, effect.fresh)


@given("an endpoint that answered every probe for 2 s")
def answered_so_far(context):
    context.now = context.timer_delay_s = 0.0
    context.detector = Detector()
    context.simulated_network = {"count": 0, "probe": 0, "due": []}
    run_detector(context, "answers", 2.0)


@when("from then on it {behaves} for {ms:d} ms")
def behaves_for(context, behaves, ms):
    run_detector(context, behaves, context.now + ms / 1000)


@when("the watcher's timers are {late:d} ms late from then on")
def timers_late(context, late):
    context.timer_delay_s = late / 1000


@when("the watcher itself pauses for {ms:d} ms")
def watcher_pauses(context, ms):
    send_probe(context, "pauses", True)
    context.now += ms / 1000
    context.detector.step(Tick(), context.now)


@then("the detector says {verdict}")
def detector_says(context, verdict):
    assert context.detector.verdict == verdict, context.detector.verdict


@given("a watcher of voters a, b and c with primary a in term 4")
def watcher_of_three(context):
    context.watcher = Watcher("h1", "ledger")
    endpoints = tuple(
        EndpointRecord(name, "ledger", "z", "1", name, name, 2, 9)
        for name in "abc"
    )
    record = ServiceRecord("ledger", 3, 4, 4, "a", tuple("abc"), ("1",) * 3)
    context.watcher.step(WatchService(record, endpoints), 0.0)


@when("b reports contact {b:d} in term {term:d} and c contact {c:d}")
def replicas_report(context, b, term, c):
    contacts = {"a": (0, 4), "b": (b, term), "c": (c, 4)}
    now = 0.0
    while now < 2.0:
        now += 0.02
        for effect in context.watcher.step(Tick(), now):
            if hasattr(effect, "suspicion"):
                continue
            contact, promised = contacts[effect.endpoint]
            status = EndpointStatus(
                effect.endpoint,
                "ledger",
                "1",
                "replica",
                promised,
                Position(4, 1),
                "",
                "",
                "a",
                contact,
            )
            reply = ProbeReply(effect.endpoint, effect.probe, status)
            context.watcher.step(reply, now)
    # An error of an unknown probe must be ignored.
    context.watcher.step(ProbeError("a", -1, True), now)


@then("the watcher says {verdict}")
def watcher_says(context, verdict):
    assert context.watcher.verdict == verdict, context.watcher.verdict


@given("suspicions of {hosts} on the primary in term {term:d}")
def suspicions_of(context, hosts, term):
    context.verdicts = Verdicts()
    context.alive = ("h1", "h2", "h3")
    for host in hosts.split(", "):
        suspicion = Suspicion(host, "ledger", term, "a", "silent")
        context.verdicts.record(suspicion, 0.0)


@when("{alive} of the watchers are alive")
def watchers_alive(context, alive):
    context.alive = tuple(alive.split(", "))


@when("{host} reports healthy")
def reports_healthy(context, host):
    suspicion = Suspicion(host, "ledger", 4, "a", "healthy")
    context.verdicts.record(suspicion, 0.0)


@then("after {ms:d} ms the agreed verdict is {verdict}")
def agreed_verdict(context, ms, verdict):
    agreed = context.verdicts.agreed(
        "ledger", 4, "a", context.alive, ms / 1000
    )
    found = "none"
    if agreed:
        found = agreed.verdict + " if probed" * agreed.needs_probe
    assert found == verdict, found
