"""Steps for the configuration of routes and services."""

import msgspec
from behave import given, then, when

from chivescale.catalog import (
    CallerIndex,
    Catalog,
    CatalogState,
    Consistency,
    Route,
    ServiceOptions,
    Workspace,
    key_digest,
    validate_catalog,
)
from chivescale.errors import is_failure
from chivescale.messages import decode, encode

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


def workspace(name: str, *keys: str) -> Workspace:
    digests = tuple(key_digest(key.encode()) for key in keys)
    return Workspace(name, digests)


WORKSPACES = {
    "a workspace without keys": (workspace("mill"),),
    "two workspaces with keys": (
        workspace("mill", "k1", "k2"),
        workspace("loom", "k3"),
    ),
    "two workspaces that share a key": (
        workspace("mill", "k1"),
        workspace("loom", "k1"),
    ),
    "a workspace with a key twice": (workspace("mill", "k1", "k1"),),
    "two workspaces with the same name": (
        workspace("mill", "k1"),
        workspace("mill", "k2"),
    ),
}


@given("a configuration with {case}")
def configuration(context, case):
    routes, services = CONFIGURATIONS.get(case, ([ROUTE], [SERVICE]))
    context.catalog = Catalog(
        1, tuple(routes), tuple(services), workspaces=WORKSPACES.get(case)
    )


@when('a caller with the key "{key}" uses a {kind} route')
@when('a caller with the key "" uses a {kind} route')
def caller_uses(context, kind, key=""):
    route = modified_route(public=kind == "public")
    digest = key_digest(key.encode())
    context.identity = CallerIndex(context.catalog).identify(digest, route)


@then("it is served without a workspace")
def served_without(context):
    assert context.identity == "", context.identity


@then("it is served as {name}")
def served_as(context, name):
    assert context.identity == name, context.identity


@then("it is refused: {kind}")
def refused_with(context, kind):
    assert is_failure(context.identity), context.identity
    assert context.identity.kind == kind


@then("its encoded form contains none of the keys {keys}")
def contains_no_key(context, keys):
    encoded = encode(context.catalog)
    assert decode(encoded, Catalog) == context.catalog
    for key in keys.replace(" and ", ", ").split(", "):
        assert key.encode() not in encoded, key


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
