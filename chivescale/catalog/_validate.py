"""Checks of a configuration beyond the types of its fields."""

from chivescale.catalog._model import Catalog
from chivescale.errors import ErrorKind, Failure


def check_catalog(catalog: Catalog) -> Failure | None:
    """Return what makes a configuration invalid.

    Parameters
    ----------
    catalog : Catalog
        Decoded configuration.

    Returns
    -------
    Failure or None
        ``BAD_REQUEST`` with the place and the reason.
    """
    services = {service.name for service in catalog.services}
    if len(services) != len(catalog.services):
        return _invalid("two services share a name")
    keys: set[tuple[str, str]] = set()
    for number, route in enumerate(catalog.routes):
        where = f"route {number} ({route.name})"
        if not route.database:
            return _invalid(f"{where} names no database")
        if route.service not in services:
            return _invalid(f"{where}: unknown service {route.service}")
        if route.statement_timeout_ms <= 0:
            return _invalid(f"{where}: time limit of a statement is not > 0")
        key = (route.database, route.prefix)
        if key in keys:
            return _invalid(f"{where}: another route has the same key")
        keys.add(key)
    return None


def _invalid(reason: str) -> Failure:
    return Failure(ErrorKind.BAD_REQUEST, reason)
