"""File with what a coordinator knew about endpoints and entry hosts.

Endpoints announce themselves at intervals of a second or more. Without the
file, coordinators that were restarted together would know none of them for
that time, and would take a late heartbeat of an endpoint that has left for
that of a new one.
"""

import os
import pathlib

import msgspec

from chivescale.errors import is_failure
from chivescale.messages import Elements, EntryHostRecord, decode, encode
from chivescale.registry import EndpointBeat
from chivescale.telemetry import log_event

FILE_NAME = "endpoints.json"


class SavedState(msgspec.Struct, frozen=True):
    """Contents of the file.

    Attributes
    ----------
    endpoints : tuple of EndpointBeat
        Latest heartbeat of each endpoint, also of those that are gone.
    hosts : tuple of EntryHostRecord
        Entry hosts that were not stopping.
    """

    endpoints: Elements[EndpointBeat] = ()
    hosts: Elements[EntryHostRecord] = ()


def load(folder: pathlib.Path) -> SavedState:
    """Return the contents of the file; nothing if it cannot be read."""
    path = folder / FILE_NAME
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return SavedState()
    except OSError as err:
        log_event("saved_state_unreadable", "warning", error=err)
        return SavedState()
    state = decode(data, SavedState)
    if is_failure(state):
        log_event("saved_state_unreadable", "warning", error=state.reason)
        return SavedState()
    return state


def save(folder: pathlib.Path, state: SavedState) -> bool:
    """Replace the file durably; return whether that succeeded."""
    temporary = folder / f"{FILE_NAME}.tmp"
    try:
        folder.mkdir(parents=True, exist_ok=True)
        with temporary.open("wb") as file:
            file.write(encode(state))
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(folder / FILE_NAME)
    except OSError as err:
        log_event("saved_state_not_written", "warning", error=err)
        return False
    return True
