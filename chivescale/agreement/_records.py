"""Format of the files in the data folder.

A file is a sequence of records. Each record is written with one call and
synced before the next one is written, so only the last record can be torn.
"""

import struct
import zlib

import msgspec

from chivescale.agreement._events import HardState
from chivescale.agreement._messages import Entry, Snapshot

# Magic, payload length and payload CRC, followed by the CRC of these fields.
_HEADER_FIELDS = struct.Struct("<4sII")
_HEADER_CRC = struct.Struct("<I")
MAGIC = b"CHV1"
# A record neither starts nor ends with a zero byte, so that a sector that was
# never written to disk is recognized as all zeros.
TRAILER = b"\xa5"
HEADER_BYTES = _HEADER_FIELDS.size + _HEADER_CRC.size
SECTOR_BYTES = 512


class LogHeader(msgspec.Struct, frozen=True, tag=True):
    """First record of the log file.

    Attributes
    ----------
    incarnation : str
        Identifier of the data folder.
    base_index : int
        Entries up to this index are in the snapshot.
    first_members : tuple of str
        If the folder was created by a process that was allowed to form the
        group: sorted names of the members that it would have had.
    """

    incarnation: str
    base_index: int
    first_members: tuple[str, ...] = ()


class Batch(msgspec.Struct, frozen=True, tag=True):
    """Record of the log file with the data stored by one step."""

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
    """Encode a record."""
    payload = _encoder.encode(record)
    fields = _HEADER_FIELDS.pack(MAGIC, len(payload), zlib.crc32(payload))
    header_crc = _HEADER_CRC.pack(zlib.crc32(fields))
    return b"".join((fields, header_crc, payload, TRAILER))


class ScanResult(msgspec.Struct):
    """Records of a file up to the first invalid one.

    Attributes
    ----------
    records : list of Record
        Valid records.
    offsets : list of int
        Start of each record.
    offset : int
        End of the last valid record.
    torn_bytes : int
        Length of the torn record at `offset`; 0 without one.
    corrupt : str
        Error at `offset` if it is not a torn record; otherwise empty.
    """

    records: list[Record] = msgspec.field(default_factory=list)
    offsets: list[int] = msgspec.field(default_factory=list)
    offset: int = 0
    torn_bytes: int = 0
    corrupt: str = ""


def scan_records(data: bytes) -> ScanResult:
    """Decode records up to the end or the first invalid record.

    An invalid record is torn if it is truncated or contains a sector of
    zeros, and no valid record follows it. Any other invalid record is
    reported as corrupt: it may have been acknowledged, and discarding it
    could revoke a vote or a committed entry.
    """
    scan = ScanResult()
    while scan.offset < len(data):
        result = _read_record(data, scan.offset)
        if isinstance(result, str):
            _record_fault(scan, data, result)
            return scan
        scan.offsets.append(scan.offset)
        record, scan.offset = result
        scan.records.append(record)
    return scan


def _read_record(data: bytes, offset: int) -> tuple[Record, int] | str:
    payload_start = offset + HEADER_BYTES
    if payload_start > len(data):
        return "record header is truncated"
    fields = data[offset : offset + _HEADER_FIELDS.size]
    magic, length, payload_crc = _HEADER_FIELDS.unpack(fields)
    (header_crc,) = _HEADER_CRC.unpack_from(data, offset + _HEADER_FIELDS.size)
    if magic != MAGIC or header_crc != zlib.crc32(fields):
        return "record header has an invalid magic or checksum"
    end = payload_start + length
    if end + len(TRAILER) > len(data):
        return "record is truncated"
    payload = data[payload_start:end]
    if zlib.crc32(payload) != payload_crc:
        return "record checksum does not match"
    if data[end : end + len(TRAILER)] != TRAILER:
        return "record trailer is missing"
    try:
        return _decoder.decode(payload), end + len(TRAILER)
    except msgspec.MsgspecError as err:
        return f"record cannot be decoded: {err}"


def _record_fault(scan: ScanResult, data: bytes, reason: str) -> None:
    if _is_torn(data, scan.offset, reason):
        scan.torn_bytes = len(data) - scan.offset
    else:
        scan.corrupt = reason


def _is_torn(data: bytes, offset: int, reason: str) -> bool:
    if _intact_record_after(data, offset):
        return False
    return reason.endswith("truncated") or _has_zero_sector(data, offset)


def _intact_record_after(data: bytes, offset: int) -> bool:
    position = data.find(MAGIC, offset + 1)
    while position != -1:
        if not isinstance(_read_record(data, position), str):
            return True
        position = data.find(MAGIC, position + 1)
    return False


def _has_zero_sector(data: bytes, offset: int) -> bool:
    start = offset
    while start < len(data):
        end = min(len(data), (start // SECTOR_BYTES + 1) * SECTOR_BYTES)
        if not any(data[start:end]):
            return True
        start = end
    return False
