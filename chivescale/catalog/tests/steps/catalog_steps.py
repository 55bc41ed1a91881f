"""Steps for configurations."""

import msgspec
from behave import given, then, when

from chivescale.catalog import (
    Catalog,
    CatalogState,
    Consistency,
    Route,
    ServiceOptions,
    check_catalog,
)

ROUTE = Route("r1", "mill", "/", "ledger", Consistency.PRIMARY, 800, 120.0, 1)
SERVICE = ServiceOptions("ledger", 34)


def route(**changes) -> Route:
    return msgspec.structs.replace(ROUTE, **changes)


CHANGES = {
    "nothing unusual": ([ROUTE], [SERVICE]),
    "no routes at all": ([], []),
    "two routes of one database, 2 keys": (
        [ROUTE, route(prefix="/b")],
        [SERVICE],
    ),
    "a route to an unknown service": ([route(service="other")], [SERVICE]),
    "two routes with the same key": ([ROUTE, route(name="r2")], [SERVICE]),
    "a statement limit of 0": ([route(statement_timeout_ms=0)], [SERVICE]),
    "two services of one name": ([ROUTE], [SERVICE, SERVICE]),
    "a route without a database": ([route(database="")], [SERVICE]),
}


@given("a configuration with {change}")
def configuration(context, change):
    routes, services = CHANGES[change]
    context.catalog = Catalog(1, tuple(routes), tuple(services))


@then("it is valid")
def is_valid(context):
    assert check_catalog(context.catalog) is None


@then("it is refused for {reason}")
def is_refused(context, reason):
    failure = check_catalog(context.catalog)
    assert failure is not None and reason in failure.reason, failure


@given("stored versions {stored}")
def stored_versions(context, stored):
    context.state = CatalogState()
    for version in stored.split(", "):
        if version != "none":
            context.state.store(Catalog(int(version), (), ()))


@when("version {version:d} is stored")
def store(context, version):
    # The content differs, so an overwrite under one number is visible.
    context.result = context.state.store(
        Catalog(version, (ROUTE,), (SERVICE,))
    )


@then("it is acknowledged and {effect}, and version {held:d} is in force")
def outcome(context, effect, held):
    assert context.result.changed == (effect == "changes state")
    assert context.result.version == context.state.version == held
    own = bool(context.state.catalog.routes)
    assert own == context.result.changed
