"""Format of the files in the data folder.

A file is a sequence of records. Each record is written with one call and
synced before the next one is written, so only the last one can be torn.
"""

import struct
import zlib

import msgspec

from chivescale.agreement._events import HardState
from chivescale.agreement._messages import Entry, Snapshot

# Magic, payload length, CRC of the payload; then the CRC of these fields.
_FIELDS = struct.Struct("<4sII")
_CHECK = struct.Struct("<I")
MAGIC = b"CHV1"
# Neither head nor end of a record is a zero byte, so that a sector that
# never reached the disk shows as one that holds only zeros.
TRAILER = b"\xa5"
HEADER_BYTES = _FIELDS.size + _CHECK.size
SECTOR_BYTES = 512


class LogHeader(msgspec.Struct, frozen=True, tag=True):
    """First record of the log file.

    Attributes
    ----------
    incarnation : str
        Identifier of the data folder.
    base_index : int
        Entries up to here are in the snapshot.
    """

    incarnation: str
    base_index: int


class Batch(msgspec.Struct, frozen=True, tag=True):
    """Later records of the log file: what one step stored."""

    hard_state: HardState | None
    entries: tuple[Entry, ...]


class SnapshotFile(msgspec.Struct, frozen=True, tag=True):
    """Only record of the snapshot file."""

    incarnation: str
    snapshot: Snapshot


Record = LogHeader | Batch | SnapshotFile

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Return the bytes of a record."""
    payload = _encoder.encode(record)
    fields = _FIELDS.pack(MAGIC, len(payload), zlib.crc32(payload))
    check = _CHECK.pack(zlib.crc32(fields))
    return b"".join((fields, check, payload, TRAILER))


class Scan(msgspec.Struct):
    """Records of a file up to the first fault.

    Attributes
    ----------
    records : list of Record
        Intact records.
    offsets : list of int
        Where each of them starts.
    offset : int
        End of the intact part.
    torn_bytes : int
        Length of a torn record after it.
    corrupt : str
        What is wrong at `offset`, if it cannot be a torn record.
    """

    records: list[Record] = msgspec.field(default_factory=list)
    offsets: list[int] = msgspec.field(default_factory=list)
    offset: int = 0
    torn_bytes: int = 0
    corrupt: str = ""


def scan_records(data: bytes) -> Scan:
    """Read records until the end or the first fault.

    A torn record is one that is cut short or that has a sector of zeros,
    and that nothing follows. Any other fault is reported as corruption:
    the record may have been acknowledged, and dropping it could undo a
    vote or a committed entry.
    """
    scan = Scan()
    while scan.offset < len(data):
        found = _read(data, scan.offset)
        if isinstance(found, str):
            _classify(scan, data, found)
            return scan
        scan.offsets.append(scan.offset)
        record, scan.offset = found
        scan.records.append(record)
    return scan


def _read(data: bytes, offset: int) -> tuple[Record, int] | str:
    body = offset + HEADER_BYTES
    if body > len(data):
        return "record header is cut short"
    fields = data[offset : offset + _FIELDS.size]
    magic, length, checksum = _FIELDS.unpack(fields)
    (check,) = _CHECK.unpack_from(data, offset + _FIELDS.size)
    if magic != MAGIC or check != zlib.crc32(fields):
        return "record header is invalid"
    end = body + length
    if end + len(TRAILER) > len(data):
        return "record is cut short"
    payload = data[body:end]
    if zlib.crc32(payload) != checksum:
        return "record checksum differs"
    if data[end : end + len(TRAILER)] != TRAILER:
        return "record has no end mark"
    try:
        return _decoder.decode(payload), end + len(TRAILER)
    except msgspec.MsgspecError as err:
        return f"record cannot be decoded: {err}"


def _classify(scan: Scan, data: bytes, fault: str) -> None:
    if _is_torn(data, scan.offset, fault):
        scan.torn_bytes = len(data) - scan.offset
    else:
        scan.corrupt = fault


def _is_torn(data: bytes, offset: int, fault: str) -> bool:
    if _intact_record_after(data, offset):
        return False
    return fault.endswith("cut short") or _has_zero_sector(data, offset)


def _intact_record_after(data: bytes, offset: int) -> bool:
    at = data.find(MAGIC, offset + 1)
    while at != -1:
        if not isinstance(_read(data, at), str):
            return True
        at = data.find(MAGIC, at + 1)
    return False


def _has_zero_sector(data: bytes, offset: int) -> bool:
    start = offset
    while start < len(data):
        end = min(len(data), (start // SECTOR_BYTES + 1) * SECTOR_BYTES)
        if not any(data[start:end]):
            return True
        start = end
    return False
