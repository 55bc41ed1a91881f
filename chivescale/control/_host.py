"""Control host process."""

import asyncio
import pathlib
import typing

from chivescale import clock
from chivescale.agreement import AgreementHost, Callbacks, DurableLog, Role
from chivescale.control._leadership import Leadership
from chivescale.control._routes import make_routes
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import (
    AcceptSheet,
    Batch,
    BeginTerm,
    Command,
    DrainHost,
    EndpointRecord,
    EstablishTerm,
    RegisterHost,
    RemoveHost,
    WatchReply,
    decode,
)
from chivescale.settings import Settings
from chivescale.state import ClusterState
from chivescale.telemetry import log_event
from chivescale.transport import Client, Server, client_tls, server_tls


class ControlHost:
    """Control host: a member of the agreement with an HTTP interface.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    secret : bytes
        Shared secret that signs requests between processes.
    metrics : Metrics, optional
        Metrics of the process.

    Attributes
    ----------
    leadership : Leadership or None
        Leader duties; None while this host is not the leader.
    """

    def __init__(
        self,
        settings: Settings,
        secret: bytes,
        metrics: typing.Any = None,
    ):
        self.settings = settings
        self.metrics = metrics
        self.state = ClusterState()
        self.leadership: Leadership | None = None
        # A dictionary keeps the order of arrival, unlike a set, which makes
        # simulated runs reproducible from their seed.
        self.waiters: dict[asyncio.Future, None] = {}
        self.stopping = False
        tls = settings.tls
        count = metrics.count_control if metrics is not None else None
        self.client = Client(secret, client_tls(tls), count)
        self.agreement = AgreementHost(
            settings.host.name,
            settings.cluster.control,
            DurableLog(pathlib.Path(settings.host.data_dir)),
            self.client,
            settings.agreement,
            Callbacks(
                self._apply,
                self._snapshot,
                self._restore,
                self._leadership_changed,
            ),
        )
        routes = self.agreement.routes() + make_routes(self)
        self.server = Server(secret, routes, server_tls(tls), count)

    async def start(self) -> Failure | None:
        """Open the data folder and start to serve requests.

        Returns
        -------
        Failure or None
            The reason why the data folder cannot be used.
        """
        failure = await self.agreement.start()
        if failure is not None:
            return failure
        listen = self.settings.listen
        await self.server.start(listen.control_api or listen.api)
        return None

    async def stop(self) -> None:
        """Stop serving requests and close the data folder."""
        self.stopping = True
        self._wake_watches()
        await self.agreement.close()
        if self.leadership is not None:
            self._end_leadership()
        await self.server.close()
        await self.client.close()

    # Callbacks of the agreement.

    def _apply(self, index: int, data: bytes):
        command = decode(data, Command)
        if is_failure(command):
            # Every host applies the same bytes. A host that cannot decode
            # them must not continue with a state that differs from the
            # others.
            reason = f"cannot decode log entry {index}: {command.reason}"
            raise AssertionError(reason)
        result = self.state.apply(index, command)
        self._wake_watches()
        if self.leadership is not None:
            self._notify_leadership(command)
        return result

    def _notify_leadership(self, command: Command) -> None:
        changes = command.commands if isinstance(command, Batch) else [command]
        services: set[str] = set()
        hosts = endpoints = False
        for change in changes:
            if isinstance(change, RegisterHost | RemoveHost | DrainHost):
                hosts = True
            elif isinstance(change, AcceptSheet):
                endpoints = True
                services.update(self.leadership.failovers)
                services.update(self.state.services)
            elif isinstance(change, BeginTerm | EstablishTerm):
                endpoints |= isinstance(change, EstablishTerm)
                services.add(change.service)
            else:
                endpoints = True
                services.update(self._affected_services(change))
        self.leadership.state_changed(services, hosts, endpoints)

    def _affected_services(self, command) -> set[str]:
        """Return the services affected by a change of an endpoint."""
        record = getattr(command, "record", None)
        if isinstance(record, EndpointRecord):
            return {record.service}
        registered = self.state.endpoints.get(command.endpoint)
        if registered is not None:
            return {registered.service}
        return {
            service
            for service, machine in self.leadership.failovers.items()
            if command.endpoint in machine.group.endpoints
        }

    def _snapshot(self) -> bytes:
        # Looked up on each call, since a restore replaces the state object.
        return self.state.to_bytes()

    def _restore(self, data: bytes) -> None:
        state = ClusterState.from_bytes(data)
        if is_failure(state):
            raise AssertionError(state.reason)
        self.state = state
        self._wake_watches()

    def _leadership_changed(self, leading: bool, term: int) -> None:
        if self.leadership is not None:
            self._end_leadership()
        if leading and not self.stopping:
            self.leadership = Leadership(
                self.settings,
                self.state,
                self.client,
                self.agreement.submit,
                self.metrics,
            )
            self.leadership.start()

    def _end_leadership(self) -> None:
        self.leadership.close()
        self.leadership = None

    # Access to the state.

    def not_leader_failure(self) -> Failure:
        """Return the failure for a request that requires the leader."""
        if self.agreement.failure is not None:
            return self.agreement.failure
        address = self.agreement.leader_address
        reason = f"{self.settings.host.name} is not the control leader"
        return Failure(ErrorKind.NOT_LEADER, reason, leader_address=address)

    def is_authoritative(self) -> bool:
        """Return whether this host is in contact with a quorum."""
        machine = self.agreement.machine
        if machine is None or self.agreement.failure is not None:
            return False
        if machine.role is Role.LEADER and not machine.ready:
            return False
        age_s = machine.contact_age_s(clock.now())
        return age_s < machine.timing.election_timeout_s

    async def watch(self, after: int, deadline: float) -> WatchReply:
        """Return the changes after index `after`, waiting for the first one.

        The changes are empty if there are none by `deadline`.
        """
        while self.state.index <= after and not self.stopping:
            left_s = deadline - clock.now()
            if left_s <= 0 or not await self._wait_for_change(left_s):
                break
        if after > self.state.index:
            # The caller's copy is newer than the state of this host.
            return WatchReply(self.state.index, self.is_authoritative())
        return self.state.changes_since(after, self.is_authoritative())

    async def _wait_for_change(self, timeout_s: float) -> bool:
        waiter = asyncio.get_running_loop().create_future()
        self.waiters[waiter] = None
        try:
            async with asyncio.timeout(timeout_s):
                await waiter
            return True
        except TimeoutError:
            return False
        finally:
            self.waiters.pop(waiter, None)

    def _wake_watches(self) -> None:
        waiters, self.waiters = self.waiters, {}
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def log_refused(self, operation: str, failure: Failure) -> None:
        """Log an operator request that was refused."""
        log_event(
            f"{operation}_refused",
            "warning",
            kind=failure.kind,
            reason=failure.reason,
        )
