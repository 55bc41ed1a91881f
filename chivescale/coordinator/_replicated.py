"""The state that the log replicates."""

from chivescale.catalog import CatalogState
from chivescale.coordinator._messages import (
    Command,
    OrderPromotion,
    SnapshotState,
    StoreCatalog,
)
from chivescale.errors import is_failure
from chivescale.messages import decode, encode


class ReplicatedState:
    """Applies the commands of the log.

    Attributes
    ----------
    catalog : CatalogState
        Configuration in force.
    """

    def __init__(self):
        self.catalog = CatalogState()

    def apply(self, index: int, data: bytes):
        """Apply one command; return its result."""
        command = decode(data, Command)
        if is_failure(command):
            # All members read the same bytes; one that cannot must not go
            # on with another state than the others.
            raise AssertionError(f"log entry {index}: {command.reason}")
        match command:
            case StoreCatalog(catalog, document):
                return self.catalog.store(catalog, document)
            case OrderPromotion():
                return index

    def snapshot(self) -> bytes:
        """Encode the state."""
        catalog = self.catalog
        return encode(SnapshotState(catalog.catalog, catalog.document))

    def restore(self, data: bytes) -> None:
        """Replace the state."""
        state = decode(data, SnapshotState)
        if is_failure(state):
            raise AssertionError(f"snapshot: {state.reason}")
        self.catalog = CatalogState()
        if state.catalog is not None:
            self.catalog.store(state.catalog, state.document)
