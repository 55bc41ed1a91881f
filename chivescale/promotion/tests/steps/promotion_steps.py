"""Steps for the detection of failed primaries and the choice of one."""

from behave import given, then, when

from chivescale.errors import is_failure
from chivescale.messages import Position
from chivescale.promotion import (
    Candidate,
    PrimaryDetector,
    choose_successor,
)

TICK_S = 0.05
PROBE_S = 0.2


def run(context, ms: int, opinions: str, probe) -> None:
    """Tick the detector and call `probe` for each probe."""
    end = context.now + ms / 1000
    next_probe = context.now
    while context.now < end:
        if context.now >= next_probe:
            probe(context.now)
            next_probe += PROBE_S
        context.verdict = context.detector.evaluate(context.now)
        if context.verdict.name == "SUSPECT":
            for number, opinion in enumerate(opinions):
                context.detector.record_opinion(
                    f"h{number}", opinion == "+", context.now
                )
        context.now += TICK_S


@given("a primary that answered every probe for 2 s")
def answered_every_probe(context):
    context.now = 1000.0
    context.detector = PrimaryDetector(context.now)
    run(context, 2000, "", context.detector.record_answer)


@when('it {behaves} for {ms:d} ms and entry hosts say "{opinions}"')
def behaves(context, behaves, ms, opinions):
    run_behavior(context, behaves, ms, opinions)


@when('it {behaves} for {ms:d} ms and entry hosts say ""')
def behaves_without_opinions(context, behaves, ms):
    run_behavior(context, behaves, ms, "")


def run_behavior(context, behaves, ms, opinions):
    detector = context.detector
    refused = []

    def refuse_once(now):
        if refused:
            detector.record_answer(now)
        else:
            refused.append(now)
            detector.record_failure(True, now)

    if behaves == "is checked by a paused host":
        # The detecting host was paused: it sent no probes, saw no answers.
        context.now += ms / 1000
        detector.record_failure(False, context.now)
        context.verdict = detector.evaluate(context.now)
        return
    probe = {
        "answers": detector.record_answer,
        "is silent": lambda now: detector.record_failure(False, now),
        "refuses": lambda now: detector.record_failure(True, now),
        "refuses once": refuse_once,
    }[behaves]
    run(context, ms, opinions, probe)


@then("the verdict is {verdict}")
def verdict_is(context, verdict):
    assert context.verdict.name.lower() == verdict, context.verdict


@given("replicas {replicas} and {sync:d} synchronous copies")
def replicas(context, replicas, sync):
    context.choice = choose_successor(candidates_from(replicas), sync)


@given(
    "replicas {replicas} and {sync:d} synchronous copies, after an order for"
    " {ordered}"
)
def replicas_after_order(context, replicas, sync, ordered):
    context.choice = choose_successor(candidates_from(replicas), sync, ordered)


@given(
    "replicas {replicas} and a primary at {position} to which nobody writes"
)
def replicas_and_primary(context, replicas, position):
    required = Position(*map(int, position.split(".")))
    context.choice = choose_successor(
        candidates_from(replicas), 1, required=required
    )


@given(
    "callers that were told of {position}, {sync:d} synchronous copies and"
    " replicas {replicas}"
)
def replicas_and_callers(context, position, sync, replicas):
    told = Position(*map(int, position.split(".")))
    context.choice = choose_successor(
        candidates_from(replicas), sync, acknowledged=told
    )


def candidates_from(replicas: str) -> list[Candidate]:
    candidates = []
    for text in replicas.split(", "):
        name, state, *rest = text.split(" ")
        received = None
        if state != "silent":
            received = Position(*map(int, state.split(".")))
        candidates.append(Candidate(name, received, rest == ["draining"]))
    return candidates


@then("the successor is {successor}")
def successor(context, successor):
    if successor.startswith("none: "):
        reason = successor.removeprefix("none: ")
        assert is_failure(context.choice), context.choice
        expected = {"no answer": "no replica answered"}.get(reason, reason)
        assert expected in context.choice.reason, context.choice
    else:
        assert context.choice == successor, context.choice
