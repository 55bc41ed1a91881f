"""Semantic validation of a configuration."""

from chivescale.catalog._model import Catalog, Workspace
from chivescale.errors import ErrorKind, Failure


def validate_catalog(catalog: Catalog) -> Failure | None:
    """Check the constraints that field types do not express.

    Parameters
    ----------
    catalog : Catalog
        Decoded configuration.

    Returns
    -------
    Failure or None
        ``BAD_REQUEST`` that describes the first violation, or None if the
        configuration is valid.
    """
    services = {service.name for service in catalog.services}
    if len(services) != len(catalog.services):
        return _invalid("duplicate service name")
    seen_keys: set[tuple[str, str]] = set()
    for index, route in enumerate(catalog.routes):
        where = f"route {index} ({route.name})"
        if not route.database:
            return _invalid(f"{where}: database is empty")
        if route.service not in services:
            return _invalid(f"{where}: unknown service {route.service}")
        if route.statement_timeout_ms <= 0:
            return _invalid(f"{where}: statement timeout must be positive")
        key = (route.database, route.prefix)
        if key in seen_keys:
            return _invalid(f"{where}: duplicate database and prefix")
        seen_keys.add(key)
    return _check_workspaces(catalog.workspaces or ())


def _check_workspaces(workspaces: tuple[Workspace, ...]) -> Failure | None:
    names: set[str] = set()
    owners: dict[bytes, str] = {}
    for index, workspace in enumerate(workspaces):
        where = f"workspace {index} ({workspace.name})"
        if workspace.name in names:
            return _invalid(f"{where}: duplicate workspace name")
        names.add(workspace.name)
        for place, digest in enumerate(workspace.key_digests):
            owner = owners.setdefault(digest, workspace.name)
            if owner != workspace.name:
                reason = f"key {place} also belongs to workspace {owner}"
                return _invalid(f"{where}: {reason}")
        if len(set(workspace.key_digests)) < len(workspace.key_digests):
            return _invalid(f"{where}: duplicate key")
    return None


def _invalid(reason: str) -> Failure:
    return Failure(ErrorKind.BAD_REQUEST, reason)
