"""Steps for the whole system under random faults."""

import logging

from behave import then

from chivescale.entry.tests.random_system import run_random
from chivescale.entry.tests.step_faults import run_step_faults


@then(
    '{steps:d} faults of kinds "{faults}" with seed {seed:d} break no promise'
)
def no_promise_breaks(context, steps, faults, seed):
    # The injected faults fill the log with expected errors.
    logging.disable(logging.CRITICAL)
    try:
        outcome = run_random(seed, steps, tuple(faults.split(",")))
    finally:
        logging.disable(logging.NOTSET)
    # A run without confirmed work would show nothing.
    for name in ("write", "keyed", "transaction"):
        assert outcome.get(f"{name}_confirmed", 0) > 0, outcome
    assert outcome.get("read", 0) > 0, outcome


@then("{fault} at every packet of a {operation} gives a true answer")
def answers_are_true(context, fault, operation):
    logging.disable(logging.CRITICAL)
    try:
        outcome = run_step_faults(1, operation, fault)
    finally:
        logging.disable(logging.NOTSET)
    # A fault that never struck, or never hurt, would show nothing.
    assert outcome["cases"] >= 3, outcome
    assert outcome["failed"] >= 1, outcome
