"""Registry that merges heartbeats received in any order."""

import msgspec

from chivescale.registry._records import (
    LAST_SEQUENCE,
    EndpointBeat,
    EndpointEntry,
)

# Silence after which an endpoint counts as gone. It exceeds every pause and
# partition that an endpoint survives.
SILENT_EXPIRY_S = 30.0
# Entries of gone endpoints are kept longer than a heartbeat can be delayed.
TOMBSTONE_RETENTION_S = 60.0
# Bounds the memory that unknown senders can occupy.
MAX_ENDPOINTS = 20_000


class Registry:
    """Registered endpoints by identifier.

    Heartbeats can be delayed, repeated and delivered through several control
    hosts. One is accepted only if its `EndpointBeat.order` is above that of
    the known one. A later incarnation at the same address supersedes the
    earlier one.

    Attributes
    ----------
    entries : dict of str to EndpointEntry
        Known endpoints, including those that are gone.
    by_service : dict of str to set of str
        Identifiers of the known endpoints of each service.
    revision : int
        Number of the last change that entry hosts need.
    """

    def __init__(self):
        self.entries: dict[str, EndpointEntry] = {}
        self.by_address: dict[str, str] = {}
        self.by_service: dict[str, set[str]] = {}
        self.revision = 0

    def record_heartbeat(self, heartbeat: EndpointBeat, now: float) -> bool:
        """Store a heartbeat unless a later one is known.

        Parameters
        ----------
        heartbeat : EndpointBeat
            Heartbeat to store.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether it was stored; False if it is late or repeated.
        """
        known = self.entries.get(heartbeat.endpoint)
        if known is not None and heartbeat.order <= known.heartbeat.order:
            return False
        if known is None and len(self.entries) >= MAX_ENDPOINTS:
            return False
        if not heartbeat.gone and not self._claim_address(heartbeat, now):
            return False
        unchanged = known is not None and _without_sequence(
            known.heartbeat
        ) == _without_sequence(heartbeat)
        if not unchanged:
            self.revision += 1
        since = 0.0
        if heartbeat.primary and not heartbeat.gone:
            still_primary = (
                known is not None
                and known.heartbeat.primary
                and not known.heartbeat.gone
            )
            still_primary = (
                still_primary and known.heartbeat.born_ms == heartbeat.born_ms
            )
            since = known.primary_since if still_primary else now
        revision = known.revision if unchanged else self.revision
        if known is None or known.heartbeat.service != heartbeat.service:
            self._index_service(known, heartbeat)
        self.entries[heartbeat.endpoint] = EndpointEntry(
            heartbeat, now, since, revision
        )
        return True

    def _index_service(
        self, known: EndpointEntry | None, heartbeat: EndpointBeat | None
    ) -> None:
        """Replace an entry in the index by service."""
        if known is not None:
            former = known.heartbeat
            names = self.by_service[former.service]
            names.discard(former.endpoint)
            if not names:
                del self.by_service[former.service]
        if heartbeat is not None:
            names = self.by_service.setdefault(heartbeat.service, set())
            names.add(heartbeat.endpoint)

    def _claim_address(self, heartbeat: EndpointBeat, now: float) -> bool:
        """Assign the address unless a later incarnation holds it."""
        previous = self.entries.get(self.by_address.get(heartbeat.address, ""))
        if (
            previous is not None
            and previous.heartbeat.endpoint != heartbeat.endpoint
            and not previous.heartbeat.gone
        ):
            if previous.heartbeat.born_ms > heartbeat.born_ms:
                return False
            self._mark_gone(previous, LAST_SEQUENCE, now)
        self.by_address[heartbeat.address] = heartbeat.endpoint
        return True

    def displaces(self, heartbeat: EndpointBeat) -> bool:
        """Return whether a heartbeat takes the place of another endpoint.

        That is one at the same address, or one of another service under the
        same identifier.
        """
        known = self.entries.get(heartbeat.endpoint)
        holder = self.entries.get(self.by_address.get(heartbeat.address, ""))
        return any(
            entry is not None
            and not entry.heartbeat.gone
            and (entry.heartbeat.endpoint, entry.heartbeat.service)
            != (heartbeat.endpoint, heartbeat.service)
            for entry in (known, holder)
        )

    def _mark_gone(
        self, entry: EndpointEntry, sequence: int, now: float
    ) -> None:
        self.revision += 1
        entry.heartbeat = msgspec.structs.replace(
            entry.heartbeat, gone=True, sequence=sequence
        )
        entry.received_at = now
        entry.primary_since = 0.0
        entry.revision = self.revision

    def deregister(self, endpoint: str, born_ms: int, now: float) -> bool:
        """Mark an endpoint as gone at its own request.

        Parameters
        ----------
        endpoint : str
            Identifier of the endpoint.
        born_ms : int
            Incarnation that terminates; 0 if unknown.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether this call marked a known endpoint as gone.
        """
        entry = self.entries.get(endpoint)
        if entry is None or entry.heartbeat.gone:
            return False
        if born_ms and born_ms < entry.heartbeat.born_ms:
            return False
        self._mark_gone(entry, LAST_SEQUENCE, now)
        return True

    def expire(self, now: float) -> None:
        """Mark silent endpoints as gone and drop old tombstones."""
        for endpoint, entry in list(self.entries.items()):
            age = now - entry.received_at
            if not entry.heartbeat.gone and age > SILENT_EXPIRY_S:
                # Others may hear it, so that later heartbeats still count.
                self._mark_gone(entry, entry.heartbeat.sequence, now)
            elif entry.heartbeat.gone and age > TOMBSTONE_RETENTION_S:
                del self.entries[endpoint]
                self._index_service(entry, None)
                if self.by_address.get(entry.heartbeat.address) == endpoint:
                    del self.by_address[entry.heartbeat.address]

    def changed_since(self, revision: int) -> list[EndpointEntry]:
        """Return the entries that changed after `revision`."""
        return [
            entry
            for entry in self.entries.values()
            if entry.revision > revision
        ]

    def service_endpoints(self, service: str) -> list[EndpointEntry]:
        """Return the endpoints of a service that are not gone."""
        entries = [
            self.entries[endpoint]
            for endpoint in sorted(self.by_service.get(service, ()))
        ]
        return [entry for entry in entries if not entry.heartbeat.gone]

    def lost_primary(self, service: str) -> bool:
        """Return whether an endpoint is gone that reported to lead."""
        return any(
            self.entries[endpoint].heartbeat.gone
            and self.entries[endpoint].heartbeat.primary
            for endpoint in self.by_service.get(service, ())
        )

    def deregistered(self, service: str) -> list[EndpointBeat]:
        """Return the endpoints of a service that have announced their end.

        Those whose address another endpoint has taken over are included.
        """
        entries = [
            self.entries[endpoint]
            for endpoint in sorted(self.by_service.get(service, ()))
        ]
        return [
            entry.heartbeat
            for entry in entries
            if entry.heartbeat.gone
            and entry.heartbeat.sequence == LAST_SEQUENCE
        ]


def _without_sequence(heartbeat: EndpointBeat) -> EndpointBeat:
    """Return a heartbeat without the field that always changes."""
    return msgspec.structs.replace(heartbeat, sequence=0)
