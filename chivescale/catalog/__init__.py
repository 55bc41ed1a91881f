"""Configuration of routes and services."""

from chivescale.catalog._model import (
    Catalog,
    Consistency,
    Route,
    ServiceOptions,
)
from chivescale.catalog._state import CatalogState, StoreResult
from chivescale.catalog._validate import validate_catalog

__all__ = [
    "Catalog",
    "CatalogState",
    "Consistency",
    "Route",
    "ServiceOptions",
    "StoreResult",
    "validate_catalog",
]
