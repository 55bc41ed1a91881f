"""Steps for retry.feature."""

import random

from behave import given, then, when

from chivescale.errors import ErrorKind
from chivescale.retry import (
    FailedAttempt,
    RequestClass,
    RetryBudget,
    backoff_s,
    may_resend,
)


@when("a {request} fails with {kind}, {sent} and {answered}")
def fail_request(context, request, kind, sent, answered):
    kind, _, errno = kind.partition(":")
    context.attempt = FailedAttempt(
        RequestClass(request),
        ErrorKind(kind),
        sent != "unsent",
        5.0 if sent == "late" else 20.0,
        answered == "answered",
        int(errno or 0),
    )


@then("a retry is allowed: {expected}")
def check_retry_allowed(context, expected):
    assert may_resend(context.attempt, 10.0) == (expected == "yes")


@given("a retry budget of {ratio:f} with a burst of {burst:d}")
def create_budget(context, ratio, burst):
    context.budget = RetryBudget(ratio, burst)


@when("{count:d} requests each try to retry twice")
def try_retries(context, count):
    context.allowed = 0
    for _ in range(count):
        context.budget.record_request()
        context.allowed += context.budget.try_retry()
        context.allowed += context.budget.try_retry()


@then("{low:d} to {high:d} retries were allowed")
def check_allowed(context, low, high):
    assert low <= context.allowed <= high, context.allowed


@then("the delays of attempts 0 to 99 stay within 0.01 to 0.5 s and vary")
def check_delays(context):
    rng = random.Random(1)
    for attempt in range(100):
        max_delay_s = min(0.5, 0.01 * 2**attempt)
        delays = [backoff_s(attempt, rng) for _ in range(50)]
        assert 0 <= min(delays) < max_delay_s / 4, delays
        assert max_delay_s / 2 < max(delays) <= max_delay_s, delays
