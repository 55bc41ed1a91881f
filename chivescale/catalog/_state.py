"""Replicated state that holds the current configuration."""

import msgspec

from chivescale.catalog._model import Catalog


class StoreResult(msgspec.Struct, frozen=True):
    """Outcome of storing a configuration.

    Attributes
    ----------
    version : int
        Current version after the operation.
    changed : bool
        Whether the stored configuration became the current one.
    """

    version: int
    changed: bool


class CatalogState:
    """Holds the configuration with the highest version.

    Attributes
    ----------
    catalog : Catalog or None
        Current configuration.
    """

    __slots__ = ("catalog",)

    def __init__(self):
        self.catalog: Catalog | None = None

    @property
    def version(self) -> int:
        """Current version; -1 if no configuration is stored."""
        return self.catalog.version if self.catalog else -1

    def store(self, catalog: Catalog) -> StoreResult:
        """Replace the current configuration if the new version is higher.

        Storing the same or an older version succeeds without effect, since
        an operator may retry after a lost response.
        """
        changed = catalog.version > self.version
        if changed:
            self.catalog = catalog
        return StoreResult(self.version, changed)
