"""What a session may use: its route and its workspace."""

import msgspec

from chivescale.catalog import CallerIndex, Catalog, Route
from chivescale.errors import ErrorKind, Failure, is_failure


class Access(msgspec.Struct, frozen=True):
    """Route of a session and the workspace of its client.

    Attributes
    ----------
    route : Route
        Route in force.
    workspace : str
        Name of the workspace; empty if clients are not identified.
    """

    route: Route
    workspace: str


class AccessTable:
    """Routes and keys of the configuration in force.

    Attributes
    ----------
    routes : dict of str to Route
        Routes by database.
    callers : CallerIndex
        Workspaces by key.
    """

    __slots__ = ("callers", "catalog", "routes")

    def __init__(self, catalog: Catalog | None = None):
        self.catalog = catalog
        self.callers = CallerIndex(catalog)
        self.routes: dict[str, Route] = {}
        for route in catalog.routes if catalog else ():
            self.routes.setdefault(route.database, route)

    def find_route(self, database: str) -> Route | Failure:
        """Return the route of a database."""
        route = self.routes.get(database)
        if route is not None:
            return route
        if self.catalog is None:
            reason = "no configuration received yet"
            return Failure(ErrorKind.NOT_READY, reason)
        reason = f"no route for database {database}"
        return Failure(ErrorKind.UNKNOWN_DATABASE, reason)

    def resolve(self, database: str, digest: bytes) -> Access | Failure:
        """Return what the client with a key may use on a database."""
        route = self.find_route(database)
        if is_failure(route):
            return route
        workspace = self.callers.identify(digest, route)
        if is_failure(workspace):
            return workspace
        return Access(route, workspace)
