"""Which entry hosts there are, as coordinators heard of them."""

import msgspec

from chivescale.coordinator._messages import HostSeen
from chivescale.messages import EntryHostRecord
from chivescale.telemetry import log_event

# Entry hosts that were not heard for this long are not counted any more.
HOST_KEPT_S = 5.0


class Seen(msgspec.Struct):
    """When an entry host was heard, and whether it said that it stops."""

    record: EntryHostRecord
    heard_at: float
    leaving: bool


class EntryHosts:
    """Entry hosts by name.

    Attributes
    ----------
    seen : dict of str to Seen
        Hosts heard lately, leaving ones among them.
    revision : int
        Grows with each change of the hosts that stay.
    """

    def __init__(self):
        self.seen: dict[str, Seen] = {}
        self.revision = 0

    @property
    def staying(self) -> tuple[EntryHostRecord, ...]:
        """Hosts that have not said that they stop."""
        return tuple(s.record for s in self.seen.values() if not s.leaving)

    def note(
        self, record: EntryHostRecord, leaving: bool, heard_at: float
    ) -> None:
        """Take over what a host said at `heard_at`, unless newer is known."""
        known = self.seen.get(record.name)
        if known is not None and heard_at < known.heard_at:
            return
        self.seen[record.name] = Seen(record, heard_at, leaving)
        if known is None or (known.record, known.leaving) != (record, leaving):
            self.revision += 1

    def merge(self, hosts: tuple[HostSeen, ...], time: float) -> None:
        """Take over what another coordinator has heard."""
        for host in hosts:
            self.note(host.record, host.leaving, time - host.age_s)

    def expire(self, time: float) -> None:
        """Forget hosts that are silent."""
        for name, seen in list(self.seen.items()):
            if time - seen.heard_at > HOST_KEPT_S:
                del self.seen[name]
                self.revision += 1
                log_event("entry_host_silent", host=name)

    def to_message(self, time: float) -> tuple[HostSeen, ...]:
        """Return what other coordinators are told."""
        return tuple(
            HostSeen(s.record, round(time - s.heard_at, 3), s.leaving)
            for s in self.seen.values()
        )
