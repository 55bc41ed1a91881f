"""Durable log in one data folder."""

import collections.abc
import fcntl
import os
import pathlib
import uuid

from chivescale.agreement._events import HardState, Recovered
from chivescale.agreement._folder import (
    LOCK_NAME,
    LOG_NAME,
    SNAPSHOT_NAME,
    Content,
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

    After the first failed write every later one is refused: the content
    of a file after a failed sync is unknown until it is read again.

    Parameters
    ----------
    folder : str or Path
        Data folder; created if absent.
    write, fsync : callable, optional
        System calls, replaced in tests of disk faults.
    """

    def __init__(
        self,
        folder: str | pathlib.Path,
        write: collections.abc.Callable[[int, bytes], int] = os.write,
        fsync: collections.abc.Callable[[int], None] = os.fsync,
    ):
        self.folder = pathlib.Path(folder)
        self.write = write
        self.fsync = fsync
        self.incarnation = ""
        self.failure: Failure | None = None
        self.lock: int | None = None
        self.file: int | None = None

    def open(self) -> Recovered | Failure:
        """Lock the folder and read it; remove a torn record at the end.

        Returns
        -------
        recovered or Failure
            ``STORAGE_CORRUPT`` with file and offset of the first fault
            that is not a torn record at the end; ``STORAGE_FAILED`` if
            another process uses the folder or the disk refuses.
        """
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self._sync_folder(self.folder.parent)
            if not self._take_lock():
                reason = f"{self.folder}: used by another process"
                return self._fail(ErrorKind.STORAGE_FAILED, reason)
            content = self._read()
            if content.error is not None:
                self.failure = content.error
                self.close()
                return content.error
            self.incarnation = content.incarnation
            self._open_file(content)
        except OSError as err:
            self.close()
            reason = f"{self.folder}: {err}"
            return self._fail(ErrorKind.STORAGE_FAILED, reason)
        return content.recovered()

    def append(
        self, hard_state: HardState | None, entries: tuple[Entry, ...]
    ) -> Failure | None:
        """Write one record; it counts after `sync`.

        Entries replace everything stored at and above the index of the
        first one.
        """
        record = encode_record(Batch(hard_state, entries))
        return self._guarded(lambda: self._write_all(self.file, record))

    def sync(self) -> Failure | None:
        """Make the written records durable."""
        return self._guarded(lambda: self.fsync(self.file))

    def snapshot(
        self,
        snapshot: Snapshot,
        hard_state: HardState,
        entries: tuple[Entry, ...],
    ) -> Failure | None:
        """Store a snapshot and shorten the log to the entries after it."""

        def replace_files() -> None:
            image = SnapshotFile(self.incarnation, snapshot)
            self._replace(SNAPSHOT_NAME, image)
            header = LogHeader(self.incarnation, snapshot.index)
            self._replace(LOG_NAME, header, Batch(hard_state, entries))
            os.close(self.file)
            self.file = self._open_for_append()

        return self._guarded(replace_files)

    def close(self) -> None:
        """Close the files and release the folder."""
        for name in ("file", "lock"):
            descriptor = getattr(self, name)
            if descriptor is not None:
                os.close(descriptor)
                setattr(self, name, None)

    def _fail(self, kind: ErrorKind, reason: str) -> Failure:
        self.failure = Failure(kind, reason)
        return self.failure

    def _guarded(self, action) -> Failure | None:
        if self.failure is not None:
            return self.failure
        if self.file is None:
            reason = f"{self.folder}: not open"
            return Failure(ErrorKind.STORAGE_FAILED, reason)
        try:
            action()
        except OSError as err:
            reason = f"{self.folder}: {err}"
            return self._fail(ErrorKind.STORAGE_FAILED, reason)
        return None

    def _take_lock(self) -> bool:
        path = self.folder / LOCK_NAME
        self.lock = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.close()
            return False
        return True

    def _read(self) -> Content:
        for path in self.folder.glob("agreement.*.tmp"):
            path.unlink()
        content = read_folder(self.folder)
        if content.exists or content.error is not None:
            return content
        # The log holds the incarnation, so both are lost together.
        header = LogHeader(uuid.uuid4().hex, 0)
        self._replace(LOG_NAME, header)
        return read_folder(self.folder)

    def _open_file(self, content: Content) -> None:
        self.file = self._open_for_append()
        if content.torn_bytes:
            os.ftruncate(self.file, content.log_end)
        # Records that an earlier process wrote may not have been synced.
        self.fsync(self.file)

    def _open_for_append(self) -> int:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC
        return os.open(self.folder / LOG_NAME, flags)

    def _write_all(self, descriptor: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self.write(descriptor, view) :]

    def _replace(self, name: str, *records: Record) -> None:
        """Write a file beside the old one, then rename it."""
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
