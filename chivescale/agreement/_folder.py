"""Reading of a data folder."""

import pathlib

import msgspec

from chivescale.agreement._events import HardState, Recovered
from chivescale.agreement._messages import Entry, Snapshot
from chivescale.agreement._records import (
    Batch,
    LogHeader,
    Record,
    Scan,
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
        Last entry, or the last one of the snapshot.
    snapshot_index : int
        Last entry of the snapshot; 0 without one.
    term : int
        Last stored term.
    incarnation : str
        Identifier of the folder; empty if it holds no log.
    torn_bytes : int
        Length of a torn record at the end, which the next start removes.
    error : Failure or None
        First fault found.
    """

    entries: int = 0
    last_index: int = 0
    snapshot_index: int = 0
    term: int = 0
    incarnation: str = ""
    torn_bytes: int = 0
    error: Failure | None = None


class Content(msgspec.Struct):
    """What was read from a folder, up to the first fault."""

    incarnation: str = ""
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: list[Entry] = msgspec.field(default_factory=list)
    log_end: int = 0
    torn_bytes: int = 0
    exists: bool = False
    error: Failure | None = None

    def recovered(self) -> Recovered:
        """Return the durable state for the state machine."""
        entries = tuple(self.entries)
        if self.snapshot is not None:
            entries = _entries_after(self.snapshot, entries)
        return Recovered(
            self.incarnation, self.hard_state, self.snapshot, entries
        )


def _entries_after(snapshot: Snapshot, entries: tuple[Entry, ...]):
    """Return the entries that continue a snapshot.

    The process may have ended after it stored a leader's snapshot and
    before it replaced the log. Entries that the snapshot contradicts were
    never committed and are dropped.
    """
    if not entries or entries[0].index == snapshot.index + 1:
        return entries
    position = snapshot.index - entries[0].index
    if not 0 <= position < len(entries):
        return ()
    if entries[position].term != snapshot.term:
        return ()
    return entries[position + 1 :]


def read_folder(folder: str | pathlib.Path) -> Content:
    """Read log and snapshot; faults are noted in the result."""
    folder = pathlib.Path(folder)
    content = Content()
    log = _read_file(folder / LOG_NAME)
    image = _read_file(folder / SNAPSHOT_NAME)
    for found in (log, image):
        if is_failure(found):
            content.error = found
            return content
    if log is None:
        if image is not None:
            path = folder / LOG_NAME
            content.error = _corrupt(path, 0, "snapshot without a log")
        return content
    content.exists = True
    _load_log(content, folder / LOG_NAME, log)
    if image is not None and content.error is None:
        _load_snapshot(content, folder / SNAPSHOT_NAME, image)
    if content.error is None:
        _check_continuity(content, folder / LOG_NAME, log.records[0])
    return content


def check_folder(folder: str | pathlib.Path) -> FolderReport:
    """Report the content of a data folder without changing it."""
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


def _read_file(path: pathlib.Path) -> Scan | None | Failure:
    try:
        return scan_records(path.read_bytes())
    except FileNotFoundError:
        return None
    except OSError as err:
        return Failure(ErrorKind.STORAGE_FAILED, f"{path}: {err}")


def _corrupt(path: pathlib.Path, offset: int, reason: str) -> Failure:
    text = f"{path}: offset {offset}: {reason}"
    return Failure(ErrorKind.STORAGE_CORRUPT, text)


def _load_log(content: Content, path: pathlib.Path, log: Scan) -> None:
    content.log_end, content.torn_bytes = log.offset, log.torn_bytes
    if not log.records or not isinstance(log.records[0], LogHeader):
        reason = log.corrupt or "log has no header"
        content.error = _corrupt(path, 0, reason)
        return
    content.incarnation = log.records[0].incarnation
    base = log.records[0].base_index
    for record, offset in zip(log.records, log.offsets, strict=True):
        fault = offset and _load_batch(content, base, record)
        if fault:
            content.error = _corrupt(path, offset, fault)
            return
    if log.corrupt:
        content.error = _corrupt(path, log.offset, log.corrupt)


def _load_batch(content: Content, base: int, record: Record) -> str:
    if not isinstance(record, Batch):
        return "unexpected record"
    if record.hard_state is not None:
        content.hard_state = record.hard_state
    for entry in record.entries:
        position = entry.index - base - 1
        if not 0 <= position <= len(content.entries):
            return f"entry {entry.index} does not continue the log"
        # A repeated index replaces what followed it.
        del content.entries[position:]
        content.entries.append(entry)
    return ""


def _load_snapshot(content: Content, path: pathlib.Path, image: Scan) -> None:
    # The file is replaced as a whole, so it cannot be torn.
    if image.corrupt or image.torn_bytes or len(image.records) != 1:
        reason = image.corrupt or "snapshot is incomplete"
        content.error = _corrupt(path, image.offset, reason)
        return
    record = image.records[0]
    if not isinstance(record, SnapshotFile):
        content.error = _corrupt(path, 0, "not a snapshot")
    elif record.incarnation != content.incarnation:
        content.error = _corrupt(path, 0, "snapshot of another folder")
    else:
        content.snapshot = record.snapshot


def _check_continuity(content: Content, path, header: LogHeader) -> None:
    covered = content.snapshot.index if content.snapshot else 0
    if covered < header.base_index:
        reason = (
            f"log continues entry {header.base_index},"
            f" snapshot ends at {covered}"
        )
        content.error = _corrupt(path, 0, reason)
