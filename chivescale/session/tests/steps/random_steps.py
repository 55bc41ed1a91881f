"""Steps for random.feature."""

import collections

import hypothesis
import hypothesis.strategies as st
from behave import then, when

from chivescale.session.tests.random_run import run_random


@when("{count:d} random runs of {steps:d} steps start at seed {seed:d}")
def run_seeds(context, count, steps, seed):
    context.counts = collections.Counter()
    for number in range(seed, seed + count):
        try:
            context.counts += run_random(number, steps)
        except AssertionError as err:
            raise AssertionError(f"seed {number}: {err}") from err


@then("each of these events occurred: {events}")
def check_events(context, events):
    missing = [name for name in events.split() if not context.counts[name]]
    assert not missing, (missing, context.counts)


@then("no generated seed violates consistency")
def check_generated_seeds(context):
    @hypothesis.settings(
        derandomize=True, max_examples=40, deadline=None, database=None
    )
    @hypothesis.given(st.integers(1000, 1 << 32), st.integers(50, 400))
    def check(seed, steps):
        run_random(seed, steps)

    check()
