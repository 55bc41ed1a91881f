"""Sizes of the messages between members, for senders and receivers.

Messages are JSON, so that the bytes of an entry are sent in base64. All sizes
are those of the encoded message.
"""

from chivescale.agreement._messages import Entry, Snapshot

# Largest message that a member accepts, unless its host sets a lower limit.
MAX_MESSAGE_BYTES = 64 << 20
# Entries that a message carries besides the first one.
MAX_BATCH_BYTES = 256 << 10
MIN_BATCH_BYTES = 4 << 10
# Header, indexes and punctuation of a message.
MESSAGE_OVERHEAD_BYTES = 8 << 10
ENTRY_OVERHEAD_BYTES = 64
# Additional time per byte that is sent, for links of 1 MB/s.
SECONDS_PER_BYTE = 1e-6


def encoded_bytes(size: int) -> int:
    """Return the encoded size of `size` bytes."""
    return (size + 2) // 3 * 4


def entry_bytes(entry: Entry) -> int:
    """Return the encoded size of an entry."""
    return encoded_bytes(len(entry.data)) + ENTRY_OVERHEAD_BYTES


def entries_bytes(entries: tuple[Entry, ...]) -> int:
    """Return the encoded size of several entries."""
    return sum(entry_bytes(entry) for entry in entries)


def snapshot_bytes(snapshot: Snapshot) -> int:
    """Return the encoded size of a snapshot without its configuration."""
    return encoded_bytes(len(snapshot.data))


def max_command_bytes(max_message_bytes: int) -> int:
    """Return the largest command that fits into a message."""
    overhead = MESSAGE_OVERHEAD_BYTES + ENTRY_OVERHEAD_BYTES
    return (max_message_bytes - overhead) // 4 * 3


def transfer_time_s(size: int) -> float:
    """Return the time in seconds that is allowed for sending bytes."""
    return size * SECONDS_PER_BYTE
