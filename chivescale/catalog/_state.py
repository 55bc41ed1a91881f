"""The configuration in force; the state that the log replicates."""

import msgspec

from chivescale.catalog._model import Catalog


class StoreResult(msgspec.Struct, frozen=True):
    """Outcome of storing a configuration.

    Attributes
    ----------
    version : int
        Version in force afterwards.
    changed : bool
        Whether the stored configuration came into force.
    """

    version: int
    changed: bool


class CatalogState:
    """Keeps the configuration with the highest version.

    Attributes
    ----------
    catalog : Catalog or None
        Configuration in force.
    """

    __slots__ = ("catalog",)

    def __init__(self):
        self.catalog: Catalog | None = None

    @property
    def version(self) -> int:
        """Version in force; -1 before the first one."""
        return self.catalog.version if self.catalog else -1

    def store(self, catalog: Catalog) -> StoreResult:
        """Put a configuration into force if its version is higher.

        A resent or overtaken configuration is a success without effect:
        the operator may have missed the first answer.
        """
        changed = catalog.version > self.version
        if changed:
            self.catalog = catalog
        return StoreResult(self.version, changed)
