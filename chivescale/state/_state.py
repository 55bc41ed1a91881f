"""Replicated state and the commands that change it."""

import msgspec

from chivescale.errors import ErrorKind, Failure
from chivescale.messages import (
    AcceptSheet,
    Batch,
    BeginTerm,
    Command,
    DrainHost,
    EndpointRecord,
    EstablishTerm,
    HostRecord,
    LeaveEndpoint,
    RegisterEndpoint,
    RegisterHost,
    RemoveEndpoint,
    RemoveHost,
    ServiceRecord,
    SheetRecord,
    WatchReply,
    WorkspaceRecord,
)
from chivescale.state import _commands
from chivescale.state._image import Image
from chivescale.state._results import BatchApplied, Result
from chivescale.state._table import Table

# Entry hosts that are further behind receive the full state instead; an
# entry takes about 100 bytes.
MAX_REMOVALS = 4096

_HANDLERS = {
    AcceptSheet: _commands.accept_sheet,
    RegisterHost: _commands.register_host,
    RemoveHost: _commands.remove_host,
    DrainHost: _commands.drain_host,
    RegisterEndpoint: _commands.register_endpoint,
    LeaveEndpoint: _commands.leave_endpoint,
    RemoveEndpoint: _commands.remove_endpoint,
    BeginTerm: _commands.begin_term,
    EstablishTerm: _commands.establish_term,
}


class ClusterState:
    """Sheet, workspaces, services with their terms, hosts and endpoints.

    Attributes
    ----------
    index : int
        Log index of the last applied command.
    sheet : SheetRecord or None
        Sheet in force.
    sheet_index : int
        Log index at which it came in force.
    workspaces, services, hosts, endpoints : dict
        Records by name.
    retired : dict of str to ServiceRecord
        Terms of services that the sheet no longer names. A service that
        returns continues above them.
    """

    def __init__(self):
        self.index = 0
        self.sheet: SheetRecord | None = None
        self.sheet_index = 0
        self.retired: dict[str, ServiceRecord] = {}
        self.removals: dict[tuple[str, str], int] = {}
        self.oldest_index = 0
        self.tables: dict[str, Table] = {
            kind: Table(kind)
            for kind in ("workspace", "service", "host", "endpoint")
        }

    @property
    def workspaces(self) -> dict[str, WorkspaceRecord]:
        """Workspaces by name."""
        return self.tables["workspace"].records

    @property
    def services(self) -> dict[str, ServiceRecord]:
        """Services by name."""
        return self.tables["service"].records

    @property
    def hosts(self) -> dict[str, HostRecord]:
        """Entry hosts by name."""
        return self.tables["host"].records

    @property
    def endpoints(self) -> dict[str, EndpointRecord]:
        """Endpoints by name."""
        return self.tables["endpoint"].records

    def endpoints_by_service(self) -> dict[str, list[EndpointRecord]]:
        """Return the endpoints of each service that has any."""
        grouped: dict[str, list[EndpointRecord]] = {}
        for record in self.endpoints.values():
            grouped.setdefault(record.service, []).append(record)
        return grouped

    def apply(self, index: int, command: Command) -> Result | Failure:
        """Apply a committed command.

        Parameters
        ----------
        index : int
            Its log index, above that of any command applied before.
        command : Command
            The command.

        Returns
        -------
        result or Failure
            What the command did, or why it had no effect. Both are the
            same on every host.
        """
        if index <= self.index:
            raise AssertionError(f"index {index} applied after {self.index}")
        self.index = index
        if isinstance(command, Batch):
            return BatchApplied(
                tuple(
                    _HANDLERS[type(each)](self, index, each)
                    for each in command.commands
                )
            )
        return _HANDLERS[type(command)](self, index, command)

    def put(self, kind: str, name: str, record: msgspec.Struct) -> None:
        """Store a record changed by the command being applied."""
        if self.tables[kind].put(name, record, self.index):
            self.removals.pop((kind, name), None)

    def remove(self, kind: str, name: str) -> None:
        """Remove a record and remember the removal for watchers."""
        if not self.tables[kind].remove(name):
            return
        # Insertion order is the order of the indexes.
        self.removals.pop((kind, name), None)
        self.removals[kind, name] = self.index
        while len(self.removals) > MAX_REMOVALS:
            oldest = next(iter(self.removals))
            self.oldest_index = self.removals.pop(oldest)

    def changes_since(
        self, index: int, authoritative: bool = False
    ) -> WatchReply:
        """Return what changed after `index`.

        Parameters
        ----------
        index : int
            Index of the asking copy.
        authoritative : bool
            Whether the sender is in contact with a control quorum.

        Returns
        -------
        WatchReply
            The full state if `index` is zero, above the own index, or
            older than the removals kept.
        """
        full = index < max(self.oldest_index, 1) or index > self.index
        after = 0 if full else index
        tables = self.tables
        return WatchReply(
            index=self.index,
            authoritative=authoritative,
            full=full,
            sheet=self.sheet if self.sheet_index > after else None,
            workspaces=tables["workspace"].since(after),
            services=tables["service"].since(after),
            hosts=tables["host"].since(after),
            endpoints=tables["endpoint"].since(after),
            removed=() if full else self._removed_after(after),
        )

    def _removed_after(self, index: int) -> tuple[tuple[str, str], ...]:
        return tuple(key for key, at in self.removals.items() if at > index)

    def merge(self, reply: WatchReply) -> bool:
        """Bring a copy up to a reply of a control host or a peer.

        A reply that is not above the own index changes nothing, so a
        copy never goes back. The reply must have been asked for with the
        own index or an older one.

        Returns
        -------
        bool
            Whether the copy changed.
        """
        if reply.index <= self.index:
            return False
        self.index = reply.index
        if reply.sheet is not None:
            self.sheet, self.sheet_index = reply.sheet, reply.index
        if reply.full:
            self._replace_tables(reply)
            return True
        for kind, name in reply.removed:
            self.remove(kind, name)
        for kind, name, record in _records(reply):
            self.put(kind, name, record)
        return True

    def _replace_tables(self, reply: WatchReply) -> None:
        self.removals.clear()
        self.oldest_index = reply.index
        if reply.sheet is None:
            self.sheet, self.sheet_index = None, 0
        for kind, table in self.tables.items():
            records = {n: r for k, n, r in _records(reply) if k == kind}
            table.load(records, reply.index)

    def to_bytes(self) -> bytes:
        """Encode the whole state for a snapshot."""
        return msgspec.msgpack.encode(Image.of(self))

    @classmethod
    def from_bytes(cls, data: bytes) -> "ClusterState | Failure":
        """Decode a snapshot; ``STORAGE_CORRUPT`` if it is not one."""
        try:
            image = msgspec.msgpack.decode(data, type=Image)
        except msgspec.MsgspecError as err:
            return Failure(ErrorKind.STORAGE_CORRUPT, f"cluster state: {err}")
        state = cls()
        image.fill(state)
        return state


def _records(reply: WatchReply):
    for record in reply.workspaces:
        yield "workspace", record.name, record
    for record in reply.services:
        yield "service", record.service, record
    for record in reply.hosts:
        yield "host", record.host, record
    for record in reply.endpoints:
        yield "endpoint", record.endpoint, record
