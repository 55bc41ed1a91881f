"""State machine of the replicated log."""

import collections.abc
import zlib

from chivescale.catalog import Catalog, CatalogState, StoreResult
from chivescale.coordinator._messages import (
    Command,
    OrderPromotion,
    SnapshotState,
    StoreCatalog,
)
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.lease import Epoch
from chivescale.messages import check_depth, decode, encode
from chivescale.telemetry import COUNTERS, log_event

# Larger than every request, so that no order can be refused for it.
MAX_DOCUMENT_BYTES = 16 << 20

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
        """Apply one command and return its result.

        All members read the same bytes. An entry that this build cannot read
        has no effect on any of them, and the log goes on.

        Returns
        -------
        StoreResult, int or Failure
            Result of the command; ``BAD_REQUEST`` if it was skipped.
        """
        command = check_depth(data) or decode(data, Command)
        match command:
            case StoreCatalog(compressed):
                result = self._store(compressed)
            case OrderPromotion():
                self.epochs.update(promotion_epoch(index, command))
                result = index
            case _:
                result = Failure(ErrorKind.BAD_REQUEST, command.reason)
        if is_failure(result):
            _note_skipped("entry", result, index)
        return result

    def read_catalog(
        self, compressed: bytes
    ) -> tuple[Catalog, bytes] | Failure:
        """Decode a compressed document.

        Returns
        -------
        tuple or Failure
            The configuration and its compressed encoding; ``BAD_REQUEST`` if
            it cannot be read.
        """
        document = unpack_document(compressed)
        if is_failure(document):
            return document
        try:
            catalog = self.decode_document(document)
            if is_failure(catalog):
                return Failure(ErrorKind.BAD_REQUEST, catalog.reason)
            return catalog, zlib.compress(encode(catalog))
        except (MemoryError, RecursionError):
            # These depend on the process and not on the bytes.
            raise
        except Exception as err:
            return Failure(ErrorKind.BAD_REQUEST, repr(err))

    def _store(self, compressed: bytes) -> StoreResult | Failure:
        read = self.read_catalog(compressed)
        if is_failure(read):
            return read
        catalog, compressed_catalog = read
        result = self.catalog.store(catalog)
        if result.changed:
            self.compressed_document = compressed
            self.compressed_catalog = compressed_catalog
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
        self.compressed_document = self.compressed_catalog = b""
        self.epochs = dict(state.epochs)
        if not state.packed:
            return
        result = self._store(state.packed)
        if is_failure(result):
            # Kept for the members that can read it.
            self.compressed_document = state.packed
            _note_skipped("snapshot", result)


def promotion_epoch(index: int, command: OrderPromotion) -> dict[str, Epoch]:
    """Return the epoch that a promotion begins, by service."""
    epoch = Epoch(index, command.endpoint, command.planned, command.opens)
    return {command.service: epoch}


def unpack_document(compressed: bytes) -> bytes | Failure:
    """Decompress a document; ``BAD_REQUEST`` if that is not possible."""
    unpacker = zlib.decompressobj()
    try:
        document = unpacker.decompress(compressed, MAX_DOCUMENT_BYTES)
    except zlib.error as err:
        return Failure(ErrorKind.BAD_REQUEST, f"compressed document: {err}")
    if not unpacker.eof or unpacker.unused_data:
        reason = "compressed document: cut short, too long or followed by more"
        return Failure(ErrorKind.BAD_REQUEST, reason)
    return document


def _note_skipped(part: str, failure: Failure, index: int = 0) -> None:
    COUNTERS.count("log_entries_skipped")
    log_event(
        "log_entry_skipped",
        "error",
        part=part,
        index=index,
        reason=failure.reason,
    )
