"""Services, endpoints and connection pools of an entry host."""

import collections.abc

from chivescale import clock
from chivescale.messages import EndpointRecord, EndpointStatus, Lease
from chivescale.pipeline import EndpointGate, Service, ServiceView
from chivescale.pool import Pool
from chivescale.settings import PoolSettings
from chivescale.state import ClusterState
from chivescale.telemetry import log_event
from chivescale.transport import Client

Connect = collections.abc.Callable[..., collections.abc.Awaitable]


class Services:
    """Services of the replicated state with their pools and views.

    Parameters
    ----------
    client : Client
        Transport to the admin interfaces of the endpoints.
    connect : callable
        Opens a connection; see `Pool`.
    settings : PoolSettings
        Settings of the connection pools.

    Attributes
    ----------
    by_name : dict of Service
        Services of the current state, by name.
    leaving : set of (str, str)
        Endpoint and incarnation of each endpoint that reported that it
        accepts no new work.
    leased_until : float
        Monotonic time at which the connection leases expire.
    """

    def __init__(
        self, client: Client, connect: Connect, settings: PoolSettings
    ):
        self.client = client
        self.connect = connect
        self.settings = settings
        self.by_name: dict[str, Service] = {}
        self.leaving: set[tuple[str, str]] = set()
        self.leased_until = 0.0

    def update(self, state: ClusterState) -> None:
        """Apply a change of the replicated state."""
        for name in set(self.by_name) - set(state.services):
            self._remove(self.by_name.pop(name))
        grouped = state.endpoints_by_service()
        for name, record in state.services.items():
            service = self.by_name.get(name)
            if service is None:
                view = ServiceView(self.client, self.note_status)
                service = self.by_name[name] = Service(name, view)
            endpoints = {each.endpoint: each for each in grouped.get(name, ())}
            self._update_gates(service, endpoints)
            self._update_view(service, record, endpoints)
        current = {
            (each.endpoint, each.incarnation)
            for each in state.endpoints.values()
        }
        self.leaving &= current

    def _update_view(self, service: Service, record, endpoints) -> None:
        addresses = {
            name: each.admin_address for name, each in endpoints.items()
        }
        old_record = service.view.record
        service.view.update(record, addresses)
        if record.term <= old_record.term:
            return
        gate = service.primary()
        if gate is not None and old_record.term > 0:
            gate.limit.ramp(clock.now())
        log_event(
            "term_in_force",
            service=service.name,
            term=record.term,
            primary=record.primary,
        )

    def _update_gates(
        self, service: Service, endpoints: dict[str, EndpointRecord]
    ) -> None:
        for name in set(service.gates) - set(endpoints):
            service.gates.pop(name).close()
            service.view.freshness.remove_endpoint(name)
        for name, record in endpoints.items():
            gate = service.gates.get(name)
            if gate is None or _needs_new_pool(gate.record, record):
                if gate is not None:
                    gate.close()
                gate = self._make_gate(record)
                service.gates[name] = gate
            gate.record = record
            reported_leaving = (name, record.incarnation) in self.leaving
            gate.leaving = record.leaving or reported_leaving

    def _make_gate(self, record: EndpointRecord) -> EndpointGate:
        pool = Pool(
            record,
            self.connect,
            clock.now,
            connect_timeout_s=self.settings.connect_timeout_ms / 1000,
            idle_s=self.settings.idle_s,
        )
        return EndpointGate(record, pool)

    def _remove(self, service: Service) -> None:
        service.view.close()
        for gate in service.gates.values():
            gate.close()

    def note_status(self, status: EndpointStatus) -> None:
        """Stop sending work to an endpoint that reports it is leaving."""
        key = (status.endpoint, status.incarnation)
        if not status.leaving or key in self.leaving:
            return
        service = self.by_name.get(status.service)
        gate = service.gates.get(status.endpoint) if service else None
        if gate is not None and gate.record.incarnation == key[1]:
            self.leaving.add(key)
            gate.leaving = True
            log_event("endpoint_leaving", endpoint=status.endpoint)

    def gates(self) -> list[EndpointGate]:
        """Return the admission control of every endpoint."""
        return [
            gate
            for service in self.by_name.values()
            for gate in service.gates.values()
        ]

    def held(self) -> tuple[Lease, ...]:
        """Return the number of connections held for each endpoint."""
        return tuple(
            Lease(gate.record.endpoint, gate.pool.held)
            for gate in self.gates()
        )

    def wanted(self) -> tuple[Lease, ...]:
        """Return the number of connections wanted for each endpoint."""
        return tuple(
            Lease(gate.record.endpoint, gate.pool.wanted)
            for gate in self.gates()
        )

    def apply_leases(
        self, leases: tuple[Lease, ...], expires_at: float
    ) -> None:
        """Set the pool limits to the granted leases.

        Parameters
        ----------
        leases : tuple of Lease
            Connections granted for each endpoint.
        expires_at : float
            Monotonic time in seconds at which the leases expire.
        """
        self.leased_until = expires_at
        granted = {lease.endpoint: lease.connections for lease in leases}
        floor = self.settings.floor_connections
        for gate in self.gates():
            limit = granted.get(gate.record.endpoint, floor)
            gate.pool.set_limit(max(floor, limit))

    def expire_leases(self) -> None:
        """Reset the pool limits to the minimum if the leases have expired."""
        if clock.now() >= self.leased_until:
            for gate in self.gates():
                gate.pool.set_limit(self.settings.floor_connections)

    def close(self) -> None:
        """Close all pools."""
        for service in self.by_name.values():
            self._remove(service)
        self.by_name.clear()


def _needs_new_pool(old: EndpointRecord, new: EndpointRecord) -> bool:
    return (
        old.incarnation != new.incarnation
        or old.mysql_address != new.mysql_address
    )
