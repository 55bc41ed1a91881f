"""Steps for routing.feature."""

import collections
import json
import random

from behave import then, when

from chivescale.errors import is_failure
from chivescale.messages import Position
from chivescale.routing import (
    Candidate,
    Requirements,
    SessionState,
    choose_endpoint,
    classify,
    local_answer,
    parse_hints,
    transaction_modes,
)
from chivescale.routing._classify import CACHE_ENTRIES, _classify_cached

CANDIDATE_OPTIONS = {
    "primary": {"primary": True},
    "leaving": {"leaving": True},
    "far": {"zone": "z2"},
    "full": {"in_use": 2},
    "over": {"in_use": 4},
    "behind": {"holds_position": False},
    "promise": {"has_promised_term": False},
    "suspect": {"suspect": True},
}
NEEDS = {
    "write": Requirements(write=True, zone="z1"),
    "read": Requirements(zone="z1", position=Position(2, 5)),
    "stale read": Requirements(
        zone="z1", position=Position(2, 5), max_age_s=0.5
    ),
}


@then("these statements are of class {name}: {statements}")
def check_class(context, name, statements):
    for sql in statements.replace("\\n", "\n").split(" ~ "):
        for text in (sql, f"  /* x */ {sql} ", f"{sql} -- end"):
            assert classify(text).value == name, (text, classify(text))


@then(
    "classifying {count:d} different statements does not exceed the cache size"
)
def check_cache_size(context, count):
    for number in range(count):
        classify(f"SELECT a FROM t WHERE b = {number}")
    before = _classify_cached.cache_info().currsize
    assert classify("SELECT 1 -- " + "x" * 5000).value == "read"
    assert _classify_cached.cache_info().currsize == before == CACHE_ENTRIES


@then("{statement} has read_only {read_only} and chain {chain}")
def check_modes(context, statement, read_only, chain):
    modes = transaction_modes(statement)
    assert modes.read_only == (read_only == "yes")
    assert modes.chain == (chain == "yes")


@when('hints are parsed from "{sql}" with attributes {attrs}')
def parse_hint_text(context, sql, attrs):
    context.hints = parse_hints(sql, json.loads(attrs))


@then("the hints are {hints}")
def check_hints(context, hints):
    if is_failure(context.hints):
        assert context.hints.kind.value == "bad_request"
        assert hints in context.hints.reason, context.hints
        return
    names = context.hints.__struct_fields__
    found = {name: getattr(context.hints, name) for name in names}
    found = {name: value for name, value in found.items() if value is not None}
    assert found == json.loads(hints), found


@then("the local answer to {sql} is {columns} with {row}")
def check_local_answer(context, sql, columns, row):
    facts = SessionState("w", "ledger", 9, False, "c1.x", 77)
    assert classify(sql).value == "local"
    answer = local_answer(sql, facts)
    assert (", ".join(answer.columns) or "nothing") == columns, answer
    rows = [", ".join(map(str, each)) for each in answer.rows]
    assert rows == ([] if row == "nothing" else [row]), answer


@when("the endpoints are {endpoints}")
def set_endpoints(context, endpoints):
    context.candidates = []
    for part in endpoints.split():
        name, _, options = part.partition(":")
        fields = {"zone": "z1", "limit": 2}
        for option in filter(None, options.split(",")):
            if option.startswith("age="):
                fields["proven_age_s"] = float(option[4:])
            else:
                fields |= CANDIDATE_OPTIONS[option]
        context.candidates.append(Candidate(name, **fields))


@then("a {need} is routed to {choice}")
def check_choice(context, need, choice):
    found = set()
    for seed in range(40):
        rng = random.Random(seed)
        result = choose_endpoint(context.candidates, NEEDS[need], rng)
        found.add(result.kind.value if is_failure(result) else result)
    assert found == set(choice.split()), found


@then("of 1000 reads a less loaded replica gets more than a more loaded one")
def check_distribution(context):
    rng = random.Random(1)
    replicas = [
        Candidate(f"r{load}", "z1", in_use=load, limit=9, latency_s=0.01)
        for load in (0, 4, 8)
    ]
    found = collections.Counter(
        choose_endpoint(replicas, NEEDS["read"], rng) for _ in range(1000)
    )
    assert found["r0"] > found["r4"] > found["r8"], found
