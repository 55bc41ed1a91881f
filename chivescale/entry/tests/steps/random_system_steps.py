"""Steps for the complete system under faults."""

import logging

from behave import then

from chivescale.entry.tests.random_system import run_random
from chivescale.entry.tests.step_faults import run_step_faults


@then(
    '{steps:d} faults of kinds "{faults}" with seed {seed:d} violate no '
    "guarantee"
)
def no_guarantee_violated(context, steps, faults, seed):
    # The injected faults cause many expected errors in the log.
    logging.disable(logging.CRITICAL)
    try:
        outcome = run_random(seed, steps, tuple(faults.split(",")))
    finally:
        logging.disable(logging.NOTSET)
    # A run without confirmed requests would not test anything.
    for name in ("write", "keyed", "transaction"):
        assert outcome.get(f"{name}_confirmed", 0) > 0, outcome
    assert outcome.get("read", 0) > 0, outcome


@then("{fault} at every packet of a {operation} gives a correct answer")
def answers_match_data(context, fault, operation):
    logging.disable(logging.CRITICAL)
    try:
        outcome = run_step_faults(1, operation, fault)
    finally:
        logging.disable(logging.NOTSET)
    # A fault that was never injected, or that never made a request fail,
    # would not test anything.
    assert outcome["cases"] >= 3, outcome
    assert outcome["failed"] >= 1, outcome
