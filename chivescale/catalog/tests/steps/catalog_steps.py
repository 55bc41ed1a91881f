"""Steps for the configuration of routes and services."""

import msgspec
from behave import given, then, when

from chivescale.catalog import (
    Catalog,
    CatalogState,
    Consistency,
    Route,
    ServiceOptions,
    validate_catalog,
)

ROUTE = Route("r1", "mill", "/", "ledger", Consistency.PRIMARY, 800, 120.0, 1)
SERVICE = ServiceOptions("ledger", 34)


def modified_route(**changes) -> Route:
    return msgspec.structs.replace(ROUTE, **changes)


CONFIGURATIONS = {
    "one valid route and service": ([ROUTE], [SERVICE]),
    "no routes and services": ([], []),
    "routes of one database, 2 prefixes": (
        [ROUTE, modified_route(prefix="/b")],
        [SERVICE],
    ),
    "a route to an unknown service": (
        [modified_route(service="other")],
        [SERVICE],
    ),
    "two routes with the same key": (
        [ROUTE, modified_route(name="r2")],
        [SERVICE],
    ),
    "a statement timeout of 0": (
        [modified_route(statement_timeout_ms=0)],
        [SERVICE],
    ),
    "two services with the same name": ([ROUTE], [SERVICE, SERVICE]),
    "a route without a database": ([modified_route(database="")], [SERVICE]),
}


@given("a configuration with {case}")
def configuration(context, case):
    routes, services = CONFIGURATIONS[case]
    context.catalog = Catalog(1, tuple(routes), tuple(services))


@then("it is valid")
def is_valid(context):
    assert validate_catalog(context.catalog) is None


@then("it is rejected: {reason}")
def is_rejected(context, reason):
    failure = validate_catalog(context.catalog)
    assert failure is not None and reason in failure.reason, failure


@given("stored versions {stored}")
def stored_versions(context, stored):
    context.state = CatalogState()
    for version in stored.split(", "):
        if version != "none":
            context.state.store(Catalog(int(version), (), ()))


@when("version {version:d} is stored")
def store(context, version):
    # Content that differs from the given versions reveals an overwrite under
    # the same number.
    context.result = context.state.store(
        Catalog(version, (ROUTE,), (SERVICE,))
    )


@then("it is acknowledged and {effect}, and version {current:d} is current")
def check_outcome(context, effect, current):
    assert context.result.changed == (effect == "changes state")
    assert context.result.version == context.state.version == current
    replaced = bool(context.state.catalog.routes)
    assert replaced == context.result.changed
