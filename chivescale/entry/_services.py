"""Services, endpoints and pools of an entry host."""

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
    """Follows the replicated state and owns pools and views.

    Parameters
    ----------
    client : Client
        Transport to the endpoints' admin interface.
    connect : callable
        Opens a connection, as `Pool` needs it.
    settings : PoolSettings
        Settings of the pools.

    Attributes
    ----------
    by_name : dict of Service
        Services in force.
    leaving : set of (str, str)
        Endpoints and incarnations that asked for no new work.
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
        """Take over a changed state."""
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
        known = {
            (each.endpoint, each.incarnation)
            for each in state.endpoints.values()
        }
        self.leaving &= known

    def _update_view(self, service: Service, record, endpoints) -> None:
        addresses = {
            name: each.admin_address for name, each in endpoints.items()
        }
        before = service.view.record
        service.view.update(record, addresses)
        if record.term <= before.term:
            return
        gate = service.primary()
        if gate is not None and before.term > 0:
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
            service.view.freshness.forget(name)
        for name, record in endpoints.items():
            gate = service.gates.get(name)
            if gate is None or _moved(gate.record, record):
                if gate is not None:
                    gate.close()
                gate = self._make_gate(record)
                service.gates[name] = gate
            gate.record = record
            noted = (name, record.incarnation) in self.leaving
            gate.leaving = record.leaving or noted

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
        """Stop giving work to an endpoint that says it is leaving."""
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
        """Return the gates of all endpoints."""
        return [
            gate
            for service in self.by_name.values()
            for gate in service.gates.values()
        ]

    def held(self) -> tuple[Lease, ...]:
        """Return the connections held per endpoint."""
        return tuple(
            Lease(gate.record.endpoint, gate.pool.held)
            for gate in self.gates()
        )

    def wanted(self) -> tuple[Lease, ...]:
        """Return the connections wanted per endpoint."""
        return tuple(
            Lease(gate.record.endpoint, gate.pool.wanted)
            for gate in self.gates()
        )

    def apply_leases(self, leases: tuple[Lease, ...], until: float) -> None:
        """Set the limits of the pools to leases that end at `until`."""
        self.leased_until = until
        granted = {lease.endpoint: lease.connections for lease in leases}
        floor = self.settings.floor_connections
        for gate in self.gates():
            count = granted.get(gate.record.endpoint, floor)
            gate.pool.set_limit(max(floor, count))

    def expire_leases(self) -> None:
        """Fall back to the floor when leases were not renewed."""
        if clock.now() >= self.leased_until:
            for gate in self.gates():
                gate.pool.set_limit(self.settings.floor_connections)

    def close(self) -> None:
        """Close all pools."""
        for service in self.by_name.values():
            self._remove(service)
        self.by_name.clear()


def _moved(old: EndpointRecord, new: EndpointRecord) -> bool:
    return (
        old.incarnation != new.incarnation
        or old.mysql_address != new.mysql_address
    )
