"""Configuration of routes and services."""

from chivescale.catalog._model import (
    Catalog,
    Consistency,
    Route,
    ServiceOptions,
)
from chivescale.catalog._state import CatalogState, StoreResult
from chivescale.catalog._validate import check_catalog

__all__ = [
    "Catalog",
    "CatalogState",
    "Consistency",
    "Route",
    "ServiceOptions",
    "StoreResult",
    "check_catalog",
]
