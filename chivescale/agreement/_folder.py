"""Reader for data folders."""

import pathlib

import msgspec

from chivescale.agreement._events import HardState, Recovered
from chivescale.agreement._messages import Entry, Snapshot
from chivescale.agreement._records import (
    Batch,
    LogHeader,
    Record,
    ScanResult,
    SnapshotFile,
    scan_records,
)
from chivescale.errors import ErrorKind, Failure, is_failure

LOG_NAME = "agreement.log"
SNAPSHOT_NAME = "agreement.snapshot"
LOCK_NAME = "agreement.lock"


class FolderReport(msgspec.Struct, frozen=True):
    """Content of a data folder.

    Attributes
    ----------
    entries : int
        Intact entries in the log file.
    last_index : int
        Index of the last entry in the log or the snapshot.
    snapshot_index : int
        Index of the last entry in the snapshot; 0 without a snapshot.
    term : int
        Last stored term.
    incarnation : str
        Identifier of the folder; empty if it contains no log.
    torn_bytes : int
        Length of a torn record at the end; the next start truncates it.
    error : Failure or None
        First error found.
    """

    entries: int = 0
    last_index: int = 0
    snapshot_index: int = 0
    term: int = 0
    incarnation: str = ""
    torn_bytes: int = 0
    error: Failure | None = None


class FolderContent(msgspec.Struct):
    """Data read from a folder, up to the first error.

    Attributes
    ----------
    base_index : int
        Index that the first entry of the log file follows.
    """

    incarnation: str = ""
    base_index: int = 0
    first_members: tuple[str, ...] = ()
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: list[Entry] = msgspec.field(default_factory=list)
    log_end: int = 0
    torn_bytes: int = 0
    exists: bool = False
    error: Failure | None = None

    @property
    def replacement_interrupted(self) -> bool:
        """Whether the log was not yet replaced for the stored snapshot."""
        return (
            self.snapshot is not None and self.base_index < self.snapshot.index
        )

    def recovered(self) -> Recovered:
        """Return the durable state that the state machine starts from."""
        entries = tuple(self.entries)
        hard_state = self.hard_state
        if self.snapshot is not None:
            entries = _entries_after(self.snapshot, entries)
            if hard_state.term < self.snapshot.term:
                # The crash came before the leader's term was stored, so that
                # the member has neither voted nor replied in it.
                hard_state = HardState(self.snapshot.term)
        return Recovered(
            self.incarnation,
            hard_state,
            self.snapshot,
            entries,
            self.first_members,
        )


def _entries_after(snapshot: Snapshot, entries: tuple[Entry, ...]):
    """Return the log entries that follow a snapshot.

    A process may crash after storing a leader's snapshot and before
    replacing the log. Entries that conflict with the snapshot were never
    committed and are discarded. Their terms are below that of the snapshot:
    a leader of that term or a later one has the last entry of the snapshot,
    and replicates it before any entry after it.
    """
    later = tuple(e for e in entries if e.index > snapshot.index)
    if not later or later[0].term < snapshot.term:
        return ()
    return later


def read_folder(folder: str | pathlib.Path) -> FolderContent:
    """Read log and snapshot; errors are returned in the result."""
    folder = pathlib.Path(folder)
    content = FolderContent()
    log_scan = _read_file(folder / LOG_NAME)
    snapshot_scan = _read_file(folder / SNAPSHOT_NAME)
    for scan in (log_scan, snapshot_scan):
        if is_failure(scan):
            content.error = scan
            return content
    if log_scan is None:
        if snapshot_scan is not None:
            path = folder / LOG_NAME
            content.error = _corrupt(
                path, 0, "snapshot exists but the log is missing"
            )
        return content
    content.exists = True
    _load_header(content, folder / LOG_NAME, log_scan)
    if snapshot_scan is not None and content.error is None:
        _load_snapshot(content, folder / SNAPSHOT_NAME, snapshot_scan)
    if content.error is None:
        _load_batches(content, folder / LOG_NAME, log_scan)
    if content.error is None:
        _check_continuity(content, folder / LOG_NAME)
    return content


def check_folder(folder: str | pathlib.Path) -> FolderReport:
    """Summarize a data folder without modifying it."""
    content = read_folder(folder)
    snapshot_index = content.snapshot.index if content.snapshot else 0
    last = content.entries[-1].index if content.entries else 0
    return FolderReport(
        entries=len(content.entries),
        last_index=max(last, snapshot_index),
        snapshot_index=snapshot_index,
        term=content.hard_state.term,
        incarnation=content.incarnation,
        torn_bytes=content.torn_bytes,
        error=content.error,
    )


def _read_file(path: pathlib.Path) -> ScanResult | None | Failure:
    try:
        return scan_records(path.read_bytes())
    except FileNotFoundError:
        return None
    except OSError as err:
        return Failure(ErrorKind.STORAGE_FAILED, f"{path}: {err}")


def _corrupt(path: pathlib.Path, offset: int, reason: str) -> Failure:
    text = f"{path}: offset {offset}: {reason}"
    return Failure(ErrorKind.STORAGE_CORRUPT, text)


def _load_header(
    content: FolderContent, path: pathlib.Path, log_scan: ScanResult
) -> None:
    content.log_end, content.torn_bytes = log_scan.offset, log_scan.torn_bytes
    if not log_scan.records or not isinstance(log_scan.records[0], LogHeader):
        reason = log_scan.corrupt or "log header is missing"
        content.error = _corrupt(path, 0, reason)
        return
    header = log_scan.records[0]
    content.incarnation = header.incarnation
    content.first_members = header.first_members
    content.base_index = header.base_index


def _load_batches(
    content: FolderContent, path: pathlib.Path, log_scan: ScanResult
) -> None:
    for record, offset in zip(log_scan.records, log_scan.offsets, strict=True):
        fault = offset and _load_batch(content, record)
        if fault:
            content.error = _corrupt(path, offset, fault)
            return
    if log_scan.corrupt:
        content.error = _corrupt(path, log_scan.offset, log_scan.corrupt)


def _load_batch(content: FolderContent, record: Record) -> str:
    if not isinstance(record, Batch):
        return "unexpected record type in the log"
    if record.hard_state is not None:
        content.hard_state = record.hard_state
    entries = content.entries
    for entry in record.entries:
        first = entries[0].index if entries else content.base_index + 1
        position = entry.index - first
        if position > len(entries) and _continues_snapshot(content, entry):
            # Earlier versions continued a log that ended before the snapshot.
            entries.clear()
            position = 0
        if not 0 <= position <= len(entries):
            return f"entry {entry.index} does not follow the previous entry"
        # An entry with an existing index overwrites it and all later ones.
        del entries[position:]
        entries.append(entry)
    return ""


def _continues_snapshot(content: FolderContent, entry: Entry) -> bool:
    snapshot = content.snapshot
    return snapshot is not None and entry.index == snapshot.index + 1


def _load_snapshot(
    content: FolderContent, path: pathlib.Path, snapshot_scan: ScanResult
) -> None:
    # The file is replaced atomically, so a torn record means corruption.
    if (
        snapshot_scan.corrupt
        or snapshot_scan.torn_bytes
        or len(snapshot_scan.records) != 1
    ):
        reason = (
            snapshot_scan.corrupt
            or "snapshot is truncated or has extra records"
        )
        content.error = _corrupt(path, snapshot_scan.offset, reason)
        return
    record = snapshot_scan.records[0]
    if not isinstance(record, SnapshotFile):
        content.error = _corrupt(path, 0, "record is not a snapshot")
    elif record.incarnation != content.incarnation:
        content.error = _corrupt(
            path, 0, "snapshot belongs to another incarnation"
        )
    else:
        content.snapshot = record.snapshot


def _check_continuity(content: FolderContent, path) -> None:
    snapshot_index = content.snapshot.index if content.snapshot else 0
    if snapshot_index < content.base_index:
        reason = (
            f"log starts after entry {content.base_index},"
            f" but the snapshot ends at entry {snapshot_index}"
        )
        content.error = _corrupt(path, 0, reason)
