"""Registry of the entry hosts that contacted any coordinator."""

import msgspec

from chivescale.coordinator._messages import HostSeen
from chivescale.messages import EntryHostRecord
from chivescale.telemetry import log_event

# Entry hosts without contact for this long are removed.
HOST_EXPIRY_S = 5.0


class HostContact(msgspec.Struct):
    """Last contact of an entry host and whether it is stopping."""

    record: EntryHostRecord
    received_at: float
    leaving: bool


class EntryHosts:
    """Entry hosts by name.

    Attributes
    ----------
    contacts : dict of str to HostContact
        Recent contacts, including hosts that are stopping.
    revision : int
        Incremented when a host is added, changed or removed.
    """

    def __init__(self):
        self.contacts: dict[str, HostContact] = {}
        self.revision = 0

    @property
    def active(self) -> tuple[EntryHostRecord, ...]:
        """Hosts that are not stopping."""
        return tuple(
            contact.record
            for contact in self.contacts.values()
            if not contact.leaving
        )

    def update(
        self, record: EntryHostRecord, leaving: bool, received_at: float
    ) -> None:
        """Store a contact unless a later one is known."""
        known = self.contacts.get(record.name)
        if known is not None and received_at < known.received_at:
            return
        self.contacts[record.name] = HostContact(record, received_at, leaving)
        if known is None or (known.record, known.leaving) != (record, leaving):
            self.revision += 1

    def merge(self, hosts: tuple[HostSeen, ...], time: float) -> None:
        """Merge the contacts that another coordinator sent."""
        for host in hosts:
            self.update(host.record, host.leaving, time - host.age_s)

    def expire(self, time: float) -> None:
        """Remove hosts without recent contact."""
        for name, contact in list(self.contacts.items()):
            if time - contact.received_at > HOST_EXPIRY_S:
                del self.contacts[name]
                self.revision += 1
                log_event("entry_host_silent", host=name)

    def to_gossip(self, time: float) -> tuple[HostSeen, ...]:
        """Return the contacts in the form sent to other coordinators."""
        return tuple(
            HostSeen(
                contact.record,
                round(time - contact.received_at, 3),
                contact.leaving,
            )
            for contact in self.contacts.values()
        )
