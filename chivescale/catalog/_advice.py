"""Warnings about a valid configuration, and what differs from another one."""

import collections.abc

import msgspec

from chivescale.catalog._model import Catalog, Consistency, Route, Workspace


class CatalogWarning(msgspec.Struct, frozen=True):
    """Part of a valid configuration that its author hardly means.

    Attributes
    ----------
    kind : str
        ``unused`` for an entry that can never match, ``contradiction`` for
        limits of which one can never be reached.
    place : str
        Kind and name of the entry.
    reason : str
        Description on one line.
    """

    kind: str
    place: str
    reason: str

    def __str__(self) -> str:
        return f"{self.kind}: {self.place}: {self.reason}"


class CatalogChange(msgspec.Struct, frozen=True):
    """Difference in one entry.

    Attributes
    ----------
    action : str
        ``added``, ``removed`` or ``changed``.
    place : str
        Kind and name of the entry.
    fields : tuple of (str, str, str)
        Name, old and new value of each changed field; of keys, only their
        number.
    """

    action: str
    place: str
    fields: tuple[tuple[str, str, str], ...] = ()

    def __str__(self) -> str:
        details = "".join(f"; {n}: {a} -> {b}" for n, a, b in self.fields)
        return f"{self.action} {self.place}{details}"


def find_warnings(catalog: Catalog) -> list[CatalogWarning]:
    """Return the warnings about a valid configuration, in its order."""
    warnings = _route_warnings(catalog)
    used = {route.service for route in catalog.routes}
    warnings += [
        CatalogWarning("unused", f"service {s.name}", "no route names it")
        for s in catalog.services
        if s.name not in used
    ]
    warnings += [
        CatalogWarning(
            "contradiction",
            f"service {s.name}",
            "its endpoints accept no connection",
        )
        for s in catalog.services
        if not s.max_connections
    ]
    for workspace in catalog.workspaces or ():
        place = f"workspace {workspace.name}"
        warnings += [
            CatalogWarning(kind, place, reason)
            for kind, reason in _workspace_warnings(workspace)
        ]
    return warnings


def _route_warnings(catalog: Catalog) -> list[CatalogWarning]:
    warnings = []
    first: dict[str, Route] = {}
    for route in catalog.routes:
        place = f"route {route.name}"
        known = first.setdefault(route.database, route)
        if known is not route:
            reason = f"database {route.database} is served by {known.name}"
            warnings.append(CatalogWarning("unused", place, reason))
        warnings += [
            CatalogWarning("contradiction", place, reason)
            for reason in _route_contradictions(route)
        ]
    return warnings


def _route_contradictions(route: Route) -> collections.abc.Iterator[str]:
    if route.latency_goal_ms > route.statement_timeout_ms:
        yield (
            f"latency goal of {route.latency_goal_ms:g} ms beyond the"
            f" statement timeout of {route.statement_timeout_ms} ms"
        )
    accepted = route.accepted_staleness_ms
    if route.consistency is Consistency.PRIMARY and accepted:
        yield f"{accepted:g} ms of staleness, but reads need the primary"
    if route.consistency is Consistency.BOUNDED and not accepted:
        yield "no staleness is accepted, so every read asks the primary"


def _workspace_warnings(
    workspace: Workspace,
) -> collections.abc.Iterator[tuple[str, str]]:
    if not workspace.key_digests:
        yield "unused", "it has no key"
    rate, burst = workspace.rate_per_s, workspace.burst
    if rate is None and burst:
        yield "contradiction", f"burst {burst:g} without a rate"
    if rate is not None and burst < 1:
        yield "contradiction", f"burst {burst:g} holds no operation"


def compare_catalogs(old: Catalog, new: Catalog) -> list[CatalogChange]:
    """Return the changes from one configuration to another."""
    changes: list[CatalogChange] = []
    for kind, before, after in (
        ("route", old.routes, new.routes),
        ("service", old.services, new.services),
        ("workspace", old.workspaces or (), new.workspaces or ()),
    ):
        changes += _compare(
            kind, {e.name: e for e in before}, {e.name: e for e in after}
        )
    fields = _changed_fields(old, new, ("version", "idle_transaction_ms"))
    identified = [c.workspaces is not None for c in (old, new)]
    if identified[0] != identified[1]:
        fields += (("callers identified", *map(str, identified)),)
    if fields:
        changes.append(CatalogChange("changed", "configuration", fields))
    return changes


def _compare(kind: str, old: dict, new: dict) -> list[CatalogChange]:
    changes = []
    for name in sorted(old.keys() | new.keys()):
        place = f"{kind} {name}"
        if name not in old:
            changes.append(CatalogChange("added", place))
        elif name not in new:
            changes.append(CatalogChange("removed", place))
        elif old[name] != new[name]:
            names = old[name].__struct_fields__
            fields = _changed_fields(old[name], new[name], names)
            changes.append(CatalogChange("changed", place, fields))
    return changes


def _changed_fields(
    old, new, names: tuple[str, ...]
) -> tuple[tuple[str, str, str], ...]:
    fields = []
    for name in names:
        before, after = getattr(old, name), getattr(new, name)
        if before == after:
            continue
        if name == "key_digests":
            name = "keys"
            added = len(set(after) - set(before))
            before, after = len(before), f"{len(after)} ({added} new)"
        fields.append((name, str(before), str(after)))
    return tuple(fields)
