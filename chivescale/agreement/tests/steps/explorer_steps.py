"""Steps for orders of events in a group of coordinators."""

from behave import then

from chivescale.agreement.tests import explorer, explorer_walk


@then("{size:d} hosts survive with seed {seed:d}: {order}")
def survives(context, size, seed, order):
    reason = explorer_walk.failure_of(seed, size, explorer.parse_order(order))
    assert not reason, reason


@then("every order of {depth:d} event of {size:d} hosts is survived")
def walked(context, depth, size):
    _require_none_failed(explorer_walk.walk(1, size, depth))


@then(
    "{count:d} random orders from seed {seed:d} without {kinds} are survived"
)
def random_orders(context, count, seed, kinds):
    without = () if kinds == "exception" else kinds.split()
    assert set(without) < set(explorer_walk.RANDOM_KINDS), without
    report = explorer_walk.explore_random(
        range(seed, seed + count), without=without
    )
    _require_none_failed(report)


def _require_none_failed(report):
    rows = [f"{f.row()} {f.reason}" for f in report.found.values()]
    assert not report.failed, "\n".join(rows)
    assert report.orders > 0, report
