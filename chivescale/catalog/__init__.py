"""Configuration of routes and services."""

from chivescale.catalog._advice import (
    CatalogChange,
    CatalogWarning,
    compare_catalogs,
    find_warnings,
)
from chivescale.catalog._callers import CallerIndex, key_digest
from chivescale.catalog._model import (
    Burst,
    Catalog,
    Consistency,
    Count,
    DurationMs,
    Rate,
    Route,
    ServiceOptions,
    Version,
    WholeMs,
    Workspace,
)
from chivescale.catalog._state import CatalogState, StoreResult
from chivescale.catalog._validate import validate_catalog

__all__ = [
    "Burst",
    "CallerIndex",
    "Catalog",
    "CatalogChange",
    "CatalogState",
    "CatalogWarning",
    "Consistency",
    "Count",
    "DurationMs",
    "Rate",
    "Route",
    "ServiceOptions",
    "StoreResult",
    "Version",
    "WholeMs",
    "Workspace",
    "compare_catalogs",
    "find_warnings",
    "key_digest",
    "validate_catalog",
]
