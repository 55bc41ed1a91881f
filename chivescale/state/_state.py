"""Replicated state machine of the control hosts."""

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
from chivescale.state._results import BatchApplied, Result
from chivescale.state._snapshot import StateSnapshot
from chivescale.state._table import Table

# Number of removals kept for deltas, about 100 bytes each. A copy that is
# further behind receives the full state.
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

    Control hosts change it with `apply`; entry hosts keep a copy that they
    update with `merge`.

    Attributes
    ----------
    index : int
        Log index of the last applied command.
    sheet : SheetRecord or None
        Current sheet.
    sheet_index : int
        Log index at which the sheet became current.
    workspaces, services, hosts, endpoints : dict
        Records by name.
    retired : dict of str to ServiceRecord
        Records of services that the sheet no longer contains. Their terms
        continue if the service is added again.
    removals : dict of (str, str) to int
        Log index at which each removed record, given by table and name, was
        removed, in ascending order.
    compacted_index : int
        Highest log index of the discarded removals; no delta is available
        for an older copy.
    tables : dict of str to Table
        Tables by the kind of their records.
    """

    def __init__(self):
        self.index = 0
        self.sheet: SheetRecord | None = None
        self.sheet_index = 0
        self.retired: dict[str, ServiceRecord] = {}
        self.removals: dict[tuple[str, str], int] = {}
        self.compacted_index = 0
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
        """Return the endpoints grouped by service."""
        grouped: dict[str, list[EndpointRecord]] = {}
        for record in self.endpoints.values():
            grouped.setdefault(record.service, []).append(record)
        return grouped

    def apply(self, index: int, command: Command) -> Result | Failure:
        """Apply a committed command.

        Parameters
        ----------
        index : int
            Log index of the command; must be above `self.index`.
        command : Command
            Command to apply.

        Returns
        -------
        result or Failure
            Result of the command, or the reason why it had no effect;
            identical on every host.
        """
        if index <= self.index:
            raise AssertionError(
                f"log index {index} applied after {self.index}"
            )
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
        """Store a record at the index of the command being applied."""
        if self.tables[kind].put(name, record, self.index):
            self.removals.pop((kind, name), None)

    def remove(self, kind: str, name: str) -> None:
        """Remove a record and keep the removal for deltas."""
        if not self.tables[kind].remove(name):
            return
        # Reinsertion keeps the dictionary in ascending order of the index.
        self.removals.pop((kind, name), None)
        self.removals[kind, name] = self.index
        while len(self.removals) > MAX_REMOVALS:
            oldest = next(iter(self.removals))
            self.compacted_index = self.removals.pop(oldest)

    def changes_since(
        self, index: int, authoritative: bool = False
    ) -> WatchReply:
        """Return the records changed after `index`.

        Parameters
        ----------
        index : int
            Log index of the copy to update.
        authoritative : bool
            Whether this host is in contact with a quorum of control hosts.

        Returns
        -------
        WatchReply
            A delta, or the full state if `index` is zero, above
            `self.index`, or below `compacted_index`.
        """
        full = index < max(self.compacted_index, 1) or index > self.index
        after = 0 if full else index
        tables = self.tables
        return WatchReply(
            index=self.index,
            authoritative=authoritative,
            full=full,
            sheet=self.sheet if self.sheet_index > after else None,
            workspaces=tables["workspace"].changed_since(after),
            services=tables["service"].changed_since(after),
            hosts=tables["host"].changed_since(after),
            endpoints=tables["endpoint"].changed_since(after),
            removed=() if full else self._removed_after(after),
        )

    def _removed_after(self, index: int) -> tuple[tuple[str, str], ...]:
        return tuple(
            key
            for key, removed_at in self.removals.items()
            if removed_at > index
        )

    def merge(self, reply: WatchReply) -> bool:
        """Update a copy with the reply of a control host or a peer.

        A reply whose index is not above the index of the copy is ignored, so
        the copy never reverts to an older state. The reply must have been
        requested with the current index of the copy or a lower one.

        Returns
        -------
        bool
            Whether the copy was updated.
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
        self.compacted_index = reply.index
        if reply.sheet is None:
            self.sheet, self.sheet_index = None, 0
        for kind, table in self.tables.items():
            records = {n: r for k, n, r in _records(reply) if k == kind}
            table.replace_all(records, reply.index)

    def to_bytes(self) -> bytes:
        """Encode a snapshot of the state."""
        return msgspec.msgpack.encode(StateSnapshot.from_state(self))

    @classmethod
    def from_bytes(cls, data: bytes) -> "ClusterState | Failure":
        """Decode a snapshot; ``STORAGE_CORRUPT`` if decoding fails."""
        try:
            snapshot = msgspec.msgpack.decode(data, type=StateSnapshot)
        except msgspec.MsgspecError as err:
            return Failure(
                ErrorKind.STORAGE_CORRUPT,
                f"cannot decode the cluster state: {err}",
            )
        state = cls()
        snapshot.restore(state)
        return state


def _records(reply: WatchReply):
    """Yield table, name and record of each record in a reply."""
    for record in reply.workspaces:
        yield "workspace", record.name, record
    for record in reply.services:
        yield "service", record.service, record
    for record in reply.hosts:
        yield "host", record.host, record
    for record in reply.endpoints:
        yield "endpoint", record.endpoint, record
