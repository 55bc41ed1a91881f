"""Configuration of routes and services."""

from chivescale.catalog._model import (
    Catalog,
    Consistency,
    Count,
    DurationMs,
    Route,
    ServiceOptions,
    Version,
    WholeMs,
)
from chivescale.catalog._state import CatalogState, StoreResult
from chivescale.catalog._validate import validate_catalog

__all__ = [
    "Catalog",
    "CatalogState",
    "Consistency",
    "Count",
    "DurationMs",
    "Route",
    "ServiceOptions",
    "StoreResult",
    "Version",
    "WholeMs",
    "validate_catalog",
]
