"""Durable storage of the log in a data folder."""

import collections.abc
import contextlib
import fcntl
import os
import pathlib
import uuid

from chivescale.agreement._events import HardState, Recovered
from chivescale.agreement._folder import (
    LOCK_NAME,
    LOG_NAME,
    SNAPSHOT_NAME,
    FolderContent,
    read_folder,
)
from chivescale.agreement._messages import Entry, Snapshot
from chivescale.agreement._records import (
    Batch,
    LogHeader,
    Record,
    SnapshotFile,
    encode_record,
)
from chivescale.errors import ErrorKind, Failure


class DurableLog:
    """Hard state, entries and snapshot of one member on disk.

    After a failed write or sync, every later operation fails with the same
    error, because the content of the file is unknown until it is read again.

    Parameters
    ----------
    folder : str or Path
        Data folder; created if it does not exist.
    write, fsync : callable, optional
        System calls; tests replace them to inject disk faults.
    first_members : tuple of str, optional
        Names of the members that the group may be formed with, if this is
        the first start of the whole system. Stored only when the folder is
        created.
    """

    def __init__(
        self,
        folder: str | pathlib.Path,
        write: collections.abc.Callable[[int, bytes], int] = os.write,
        fsync: collections.abc.Callable[[int], None] = os.fsync,
        first_members: tuple[str, ...] = (),
    ):
        self.folder = pathlib.Path(folder)
        self.write = write
        self.fsync = fsync
        self.first_members = tuple(sorted(first_members))
        self.incarnation = ""
        self.failure: Failure | None = None
        self.lock: int | None = None
        self.file: int | None = None

    def open(self) -> Recovered | Failure:
        """Lock and read the folder; truncate a torn record at the end.

        Returns
        -------
        recovered or Failure
            ``STORAGE_CORRUPT`` with file and offset of the first corrupt
            record that is not a torn record at the end; ``STORAGE_FAILED``
            if another process holds the lock or on an I/O error.
        """
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self._sync_folder(self.folder.parent)
            if not self._acquire_lock():
                reason = f"{self.folder}: locked by another process"
                return self._record_failure(ErrorKind.STORAGE_FAILED, reason)
            content = self._read_or_create()
            if content.error is not None:
                self.failure = content.error
                self.close()
                return content.error
            self.incarnation = content.incarnation
            recovered = content.recovered()
            if content.replacement_interrupted:
                # Otherwise entries after the snapshot would be appended to
                # entries that they do not follow, and the next start would
                # refuse or discard them.
                self._replace_log(
                    recovered.snapshot,
                    recovered.hard_state,
                    recovered.entries,
                )
                content.torn_bytes = 0
            self._open_file(content)
        except OSError as err:
            self.close()
            reason = f"{self.folder}: {err}"
            return self._record_failure(ErrorKind.STORAGE_FAILED, reason)
        return recovered

    def append(
        self, hard_state: HardState | None, entries: tuple[Entry, ...]
    ) -> Failure | None:
        """Write one record; it is durable only after `sync`.

        The entries replace all stored entries from the index of the first
        one onwards.
        """
        record = encode_record(Batch(hard_state, entries))
        return self._run_unless_failed(
            lambda: self._write_all(self.file, record)
        )

    def sync(self) -> Failure | None:
        """Flush the written records to disk."""
        return self._run_unless_failed(lambda: self.fsync(self.file))

    def snapshot(
        self,
        snapshot: Snapshot,
        hard_state: HardState,
        entries: tuple[Entry, ...],
    ) -> Failure | None:
        """Store a snapshot and rewrite the log with the given entries."""

        def replace_files() -> None:
            snapshot_file = SnapshotFile(self.incarnation, snapshot)
            self._replace_file(SNAPSHOT_NAME, snapshot_file)
            self._replace_log(snapshot, hard_state, entries)
            former, self.file = self.file, None
            os.close(former)
            self.file = self._open_for_append()

        return self._run_unless_failed(replace_files)

    def close(self) -> None:
        """Close the files and release the lock."""
        for name in ("file", "lock"):
            descriptor = getattr(self, name)
            if descriptor is not None:
                # A descriptor is free even if closing it reports an error.
                setattr(self, name, None)
                with contextlib.suppress(OSError):
                    os.close(descriptor)

    def _record_failure(self, kind: ErrorKind, reason: str) -> Failure:
        self.failure = Failure(kind, reason)
        return self.failure

    def _run_unless_failed(self, action) -> Failure | None:
        if self.failure is not None:
            return self.failure
        if self.file is None:
            reason = f"{self.folder}: log is not open"
            return Failure(ErrorKind.STORAGE_FAILED, reason)
        try:
            action()
        except OSError as err:
            reason = f"{self.folder}: {err}"
            return self._record_failure(ErrorKind.STORAGE_FAILED, reason)
        return None

    def _acquire_lock(self) -> bool:
        path = self.folder / LOCK_NAME
        self.lock = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.close()
            return False
        return True

    def _read_or_create(self) -> FolderContent:
        for path in self.folder.glob("agreement.*.tmp"):
            path.unlink()
        content = read_folder(self.folder)
        if content.exists or content.error is not None:
            return content
        # The incarnation is stored in the log file, so a folder that lost its
        # log always gets a new incarnation. So is the permission to form the
        # group, which a folder that replaces a lost one must not have.
        header = LogHeader(uuid.uuid4().hex, 0, self.first_members)
        self._replace_file(LOG_NAME, header)
        return read_folder(self.folder)

    def _replace_log(
        self,
        snapshot: Snapshot,
        hard_state: HardState,
        entries: tuple[Entry, ...],
    ) -> None:
        """Replace the log by one that begins after a stored snapshot."""
        header = LogHeader(self.incarnation, snapshot.index)
        self._replace_file(LOG_NAME, header, Batch(hard_state, entries))

    def _open_file(self, content: FolderContent) -> None:
        self.file = self._open_for_append()
        if content.torn_bytes:
            os.ftruncate(self.file, content.log_end)
        # Records written by a former process may not have been synced.
        self.fsync(self.file)

    def _open_for_append(self) -> int:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC
        return os.open(self.folder / LOG_NAME, flags)

    def _write_all(self, descriptor: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self.write(descriptor, view) :]

    def _replace_file(self, name: str, *records: Record) -> None:
        """Replace a file atomically: write a temporary file and rename it."""
        temporary = self.folder / f"{name}.tmp"
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        descriptor = os.open(temporary, flags, 0o600)
        try:
            for record in records:
                self._write_all(descriptor, encode_record(record))
            self.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(temporary, self.folder / name)
        self._sync_folder(self.folder)

    def _sync_folder(self, folder: pathlib.Path) -> None:
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            self.fsync(descriptor)
        finally:
            os.close(descriptor)
