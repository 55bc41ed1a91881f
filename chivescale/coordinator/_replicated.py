"""State machine of the replicated log."""

import collections.abc
import zlib

from chivescale.catalog import Catalog, CatalogState
from chivescale.coordinator._messages import (
    Command,
    OrderPromotion,
    SnapshotState,
    StoreCatalog,
)
from chivescale.errors import Failure, is_failure
from chivescale.lease import Epoch
from chivescale.messages import decode, encode

DecodeDocument = collections.abc.Callable[[bytes], Catalog | Failure]


class ReplicatedState:
    """Applies the commands of the log.

    Parameters
    ----------
    decode_document : callable
        Decodes a configuration document; identical on all members.

    Attributes
    ----------
    catalog : CatalogState
        Configuration in force.
    compressed_document : bytes
        Compressed document of the configuration in force.
    compressed_catalog : bytes
        Compressed decoded configuration, as sent to entry hosts.
    epochs : dict of str to Epoch
        Latest epoch of each service.
    """

    def __init__(self, decode_document: DecodeDocument):
        self.decode_document = decode_document
        self.catalog = CatalogState()
        self.compressed_document = b""
        self.compressed_catalog = b""
        self.epochs: dict[str, Epoch] = {}

    def apply(self, index: int, data: bytes):
        """Apply one command and return its result."""
        command = decode(data, Command)
        if is_failure(command):
            # All members read the same bytes. A member that cannot decode
            # them must stop, or its state would diverge.
            raise AssertionError(
                f"cannot decode log entry {index}: {command.reason}"
            )
        match command:
            case StoreCatalog(compressed):
                return self._store(compressed)
            case OrderPromotion():
                self.epochs.update(promotion_epoch(index, command))
                return index

    def _store(self, compressed: bytes):
        catalog = self.decode_document(zlib.decompress(compressed))
        if is_failure(catalog):
            raise AssertionError(
                f"cannot decode the stored configuration: {catalog.reason}"
            )
        result = self.catalog.store(catalog)
        if result.changed:
            self.compressed_document = compressed
            self.compressed_catalog = zlib.compress(encode(catalog))
        return result

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return encode(SnapshotState(self.compressed_document, self.epochs))

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        state = decode(data, SnapshotState)
        if is_failure(state):
            raise AssertionError(f"cannot decode the snapshot: {state.reason}")
        self.catalog = CatalogState()
        self.epochs = dict(state.epochs)
        if state.packed:
            self._store(state.packed)


def promotion_epoch(index: int, command: OrderPromotion) -> dict[str, Epoch]:
    """Return the epoch that a promotion begins, by service."""
    epoch = Epoch(index, command.endpoint, command.planned)
    return {command.service: epoch}
