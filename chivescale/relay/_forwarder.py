"""Routes statements to the local executor or to a gateway."""

import asyncio
import collections.abc
import random

from chivescale.clock import now
from chivescale.dialect import Reply
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.gateway import (
    GatewayClient,
    Pong,
    RunRequest,
    RunResponse,
    affinity_ranks,
)
from chivescale.messages import EntryHostRecord
from chivescale.relay._executor import Executor
from chivescale.relay._hedging import HedgedReads
from chivescale.relay._outcomes import (
    SERVED_ELSEWHERE,
    as_aborted,
    as_write_failure,
)
from chivescale.relay._request import (
    MIN_ATTEMPT_TIME_S,
    Outcome,
    StatementRequest,
)
from chivescale.relay._transaction import Transaction
from chivescale.telemetry import log_event

# Maximum number of gateways tried for one statement.
MAX_GATEWAYS = 3
# Services named in one log line.
MAX_LOGGED_SERVICES = 12
# Maximum number of other hosts tried if this host lacks a connection or a
# lease. Those that lack it too refuse at once.
MAX_OTHER_HOSTS = 6
# A gateway that lacked a connection or a lease for a service is avoided for
# this time.
UNABLE_BACKOFF_S = 0.4
# Gateways enforce the time limit of a statement themselves; this is the time
# allowed for the response to arrive after that.
RESPONSE_MARGIN_S = 0.1
# A read without a response after this time is also sent to a second gateway.
# The delay exceeds the usual latency of a read whose reply the endpoint did
# not deliver, because the gateway itself retries such a read.
HEDGE_DELAY_S = 0.35
# A gateway in another zone is chosen only if a local one has at least about
# this many more statements running or queued.
CROSS_ZONE_LOAD_PENALTY = 6
# A workspace uses its next gateway if the one before has at least about this
# many more statements running or queued. A new connection to an endpoint takes
# about as long as one statement.
AFFINITY_LOAD_PENALTY = 3

# A host that has lost the coordinators pings gateways of this many other
# zones at a time, and this many of its own zone for each service.
MAX_PROBED_ZONES = 3
MAX_PROBED_GATEWAYS = 2
PROBE_TIMEOUT_S = 0.25

# Failures of a gateway after which another gateway may be tried.
RETRYABLE_KINDS = frozenset(
    {
        *SERVED_ELSEWHERE,
        ErrorKind.SHUTTING_DOWN,
        ErrorKind.UNREACHABLE,
    }
)


class Forwarder:
    """Executes statements locally or on the gateways of a service.

    Parameters
    ----------
    name, zone : str
        Name and availability zone of this host.
    local_executor : Executor
        Executes statements on the connections of this host.
    rng : random.Random
        Source of randomness.

    Attributes
    ----------
    gateways : dict of str to frozenset of str
        Names of the hosts connected to the endpoints of each service.
    by_zone : dict of (str, str) to frozenset of str
        The same by service and availability zone.
    peers : dict of str to GatewayClient
        Clients of other hosts by name.
    departed : list of GatewayClient
        Clients of removed gateways whose connections are still open.
    zone_probe : asyncio.Task or None
        Latest check whether other zones are reachable.
    unable_until : dict of (str, str) to float
        Time until which a gateway is avoided for a service, because it
        lacked a connection or a lease.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        local_executor: Executor,
        rng: random.Random,
    ):
        self.name = name
        self.zone = zone
        self.local_executor = local_executor
        self.rng = rng
        self.gateways: dict[str, frozenset[str]] = {}
        self.by_zone: dict[tuple[str, str], frozenset[str]] = {}
        self.peers: dict[str, GatewayClient] = {}
        self.departed: list[GatewayClient] = []
        self.unable_until: dict[tuple[str, str], float] = {}
        self.hedged_reads = HedgedReads()
        self.zone_probe: asyncio.Task | None = None

    def update(
        self,
        hosts: collections.abc.Iterable[EntryHostRecord],
        gateways: dict[str, frozenset[str]],
    ) -> None:
        """Apply a new list of hosts and assignment of gateways."""
        records = {host.name: host for host in hosts}
        for name, peer in list(self.peers.items()):
            record = records.get(name)
            if record is None or record.address != peer.address:
                # Open transactions continue until the gateway disconnects.
                peer.leaving = True
                if peer.channel is None:
                    peer.close()
                self.departed.append(self.peers.pop(name))
        wanted = frozenset().union(*gateways.values()) - {self.name}
        for name in sorted(wanted - self.peers.keys()):
            record = records[name]
            self.peers[name] = GatewayClient(
                self.name, name, record.zone, record.address
            )
        zones = {host.name: host.zone for host in records.values()}
        zones[self.name] = self.zone
        self.by_zone = _group_by_zone(gateways, zones)
        if gateways != self.gateways:
            self.gateways = gateways
            connected = [
                s for s, names in gateways.items() if self.name in names
            ]
            log_event(
                "gateways",
                hosts=len(records),
                services=len(gateways),
                connected_to=",".join(connected[:MAX_LOGGED_SERVICES]),
                connected=len(connected),
                counts=",".join(
                    f"{service}:{len(gateways[service])}"
                    for service in connected[:MAX_LOGGED_SERVICES]
                ),
            )

    def serves(self, service: str) -> bool:
        """Return whether this host connects to the endpoints directly."""
        names = self.gateways.get(service)
        return not names or self.name in names

    def choose_gateway(
        self, service: str, excluded: set[str], workspace: str = ""
    ) -> GatewayClient | None:
        """Return the least loaded gateway.

        Those of the own zone and those that the workspace uses are preferred.
        """
        time = now()
        costs = [
            (
                peer.load(time)
                + (0 if peer.zone == self.zone else CROSS_ZONE_LOAD_PENALTY)
                + self._affinity_cost(service, peer, workspace)
                + self.rng.random(),
                name,
                peer,
            )
            for name in self.gateways.get(service, ())
            if name not in excluded
            and (peer := self.peers.get(name)) is not None
            and peer.usable
            and self.unable_until.get((name, service), 0.0) <= time
        ]
        return min(costs)[2] if costs else None

    def _affinity_cost(
        self, service: str, peer: GatewayClient, workspace: str
    ) -> int:
        if not workspace:
            return 0
        names = self.by_zone.get((service, peer.zone), frozenset())
        ranks = affinity_ranks(workspace, names)
        return AFFINITY_LOAD_PENALTY * ranks.get(peer.name, 0)

    async def can_reach(self, service: str) -> bool:
        """Return whether the primary or a gateway of a service responds."""
        if self.serves(service):
            failure = await self.local_executor.read_barriers.confirm_position(
                self.local_executor.get_service(service)
            )
            return failure is None
        return (
            await self._reaches_other_zone()
            or await self._is_reachable_in_zone(service)
        )

    async def _reaches_other_zone(self) -> bool:
        """Return whether a gateway of another zone answers.

        Concurrent callers share the result.
        """
        if self.zone_probe is None or self.zone_probe.done():
            self.zone_probe = asyncio.ensure_future(self._probe_other_zones())
        return await asyncio.shield(self.zone_probe)

    async def _probe_other_zones(self) -> bool:
        by_zone: dict[str, list[GatewayClient]] = {}
        for peer in self.peers.values():
            if peer.usable and peer.zone != self.zone:
                by_zone.setdefault(peer.zone, []).append(peer)
        zones = self.rng.sample(
            sorted(by_zone), min(MAX_PROBED_ZONES, len(by_zone))
        )
        peers = [self.rng.choice(by_zone[zone]) for zone in zones]
        return any(not is_failure(a) for a in await _ping_all(peers))

    async def _is_reachable_in_zone(self, service: str) -> bool:
        """Return whether a gateway of the own zone can run statements.

        The gateways of a zone that is cut off still answer each other.
        """
        peers = [
            peer
            for name in sorted(self.gateways.get(service, ()))
            if (peer := self.peers.get(name)) is not None
            and peer.usable
            and peer.zone == self.zone
        ]
        answers = await _ping_all(peers[:MAX_PROBED_GATEWAYS])
        return any(not is_failure(a) and not a.isolated for a in answers)

    def check_timeouts(self, time: float) -> None:
        """Check the connections of gateways with overdue responses."""
        self.departed = [p for p in self.departed if p.channel is not None]
        for peer in (*self.peers.values(), *self.departed):
            peer.check_timeouts(time)

    def disconnect(self, reason: str) -> None:
        """Interrupt the statements that gateways run."""
        for peer in (*self.peers.values(), *self.departed):
            peer.disconnect(reason)

    def close(self) -> None:
        """Close the connections to gateways."""
        for peer in (*self.peers.values(), *self.departed):
            peer.close()

    # Statements.

    async def run_single(self, request: StatementRequest) -> Outcome:
        """Run a statement outside a transaction."""
        service = request.route.service
        refusal = None
        if self.serves(service):
            outcome = await self.local_executor.run_single(request)
            if not self._may_be_served_elsewhere(service, outcome):
                return outcome
            refusal = outcome
        forward = self._write if request.writes else self._read
        return await forward(service, request, refusal)

    def _may_be_served_elsewhere(self, service: str, outcome: Outcome) -> bool:
        """Return whether another host may be able to run the statement.

        After a power failure of many hosts, an endpoint counts their dead
        connections for seconds, so that only some hosts get new ones. A host
        that has lost the coordinators has no lease, but others may have one.
        """
        if not is_failure(outcome):
            return False
        others = len(self.gateways.get(service, ())) > 1
        return outcome.kind in SERVED_ELSEWHERE and others

    async def _write(
        self,
        service: str,
        request: StatementRequest,
        refusal: Failure | None,
    ) -> Outcome:
        excluded: set[str] = set()
        failure = refusal or _no_gateway_failure(service)
        limit = MAX_OTHER_HOSTS if refusal else MAX_GATEWAYS
        while len(excluded) < limit and not request.expired():
            peer = self.choose_gateway(service, excluded, request.workspace)
            if peer is None:
                break
            excluded.add(peer.name)
            outcome = await self._forward(peer, request, None)
            if not is_failure(outcome):
                return outcome
            if outcome.kind not in RETRYABLE_KINDS:
                return as_write_failure(outcome)
            failure = outcome
        return failure

    async def _read(
        self,
        service: str,
        request: StatementRequest,
        refusal: Failure | None,
    ) -> Outcome:
        """Run a read on a gateway, with retries and hedging."""
        self.hedged_reads.hedge_budget.record_request()
        excluded: set[str] = set()
        limit = MAX_OTHER_HOSTS if refusal else MAX_GATEWAYS

        def next_candidate() -> GatewayClient | None:
            if len(excluded) >= limit or request.expired():
                return None
            return self.choose_gateway(service, excluded, request.workspace)

        def start_attempt(peer: GatewayClient):
            excluded.add(peer.name)
            return self._forward(peer, request, None), HEDGE_DELAY_S

        async def on_exhausted(failure: Failure) -> Failure:
            return request.expired() or failure

        return await self.hedged_reads.first_result(
            next_candidate,
            start_attempt,
            _is_retryable,
            on_exhausted,
            refusal or _no_gateway_failure(service),
        )

    # Transactions.

    async def run_in_transaction(
        self, transaction: Transaction, request: StatementRequest
    ) -> Outcome:
        """Run a statement of an open transaction."""
        if transaction.peer is None and self._runs_locally(transaction):
            outcome = await self.local_executor.run_in_transaction(
                transaction, request
            )
            begun = transaction.endpoint is not None
            service = transaction.route.service
            if begun or not self._may_be_served_elsewhere(service, outcome):
                return outcome
        transaction.wrote = transaction.wrote or request.writes
        outcome = await self._run_on_gateway(transaction, request)
        if is_failure(outcome):
            self.abandon(transaction)
            return as_aborted(outcome)
        return outcome

    async def commit(
        self, transaction: Transaction, request: StatementRequest
    ) -> Outcome:
        """Commit an open transaction."""
        if transaction.peer is None and self._runs_locally(transaction):
            return await self.local_executor.commit(transaction, request)
        outcome = await self._run_on_gateway(transaction, request)
        transaction.peer = None
        if not is_failure(outcome):
            return outcome
        # A commit that was not sent ends with its transaction.
        not_sent = outcome.kind is ErrorKind.UNREACHABLE
        if transaction.wrote and not not_sent:
            return as_write_failure(outcome)
        return as_aborted(outcome)

    def abandon(self, transaction: Transaction) -> None:
        """Start the rollback of a transaction without waiting for it."""
        peer, transaction.peer = transaction.peer, None
        if peer is not None:
            peer.roll_back(transaction.gateway_transaction_id)
        self.local_executor.abandon(transaction)

    def _runs_locally(self, transaction: Transaction) -> bool:
        return transaction.connection is not None or self.serves(
            transaction.route.service
        )

    async def _run_on_gateway(
        self, transaction: Transaction, request: StatementRequest
    ) -> Outcome:
        if transaction.peer is not None:
            return await self._forward(transaction.peer, request, transaction)
        service = transaction.route.service
        excluded: set[str] = set()
        failure = _no_gateway_failure(service)
        while len(excluded) < MAX_GATEWAYS and not request.expired():
            peer = self.choose_gateway(service, excluded, request.workspace)
            if peer is None:
                break
            excluded.add(peer.name)
            transaction.peer = peer
            transaction.gateway_transaction_id = peer.next_number()
            outcome = await self._forward(
                peer, request, transaction, begins=True
            )
            if not is_failure(outcome) or outcome.kind not in RETRYABLE_KINDS:
                return outcome
            transaction.peer = None
            failure = outcome
        return failure

    # Calls.

    async def _forward(
        self,
        peer: GatewayClient,
        request: StatementRequest,
        transaction: Transaction | None,
        begins: bool = False,
    ) -> Outcome:
        request.gateway = peer.name
        time = now()
        remaining_s = request.remaining_s(time)
        if remaining_s < MIN_ATTEMPT_TIME_S:
            return request.expired()
        message = _make_request(
            peer.next_number(), request, transaction, begins
        )
        response = await peer.run(message, remaining_s + RESPONSE_MARGIN_S)
        if is_failure(response):
            return response
        if response.kind in SERVED_ELSEWHERE:
            key = (peer.name, request.route.service)
            self.unable_until[key] = now() + UNABLE_BACKOFF_S
        return _apply_response(request, response)


async def _ping_all(
    peers: collections.abc.Iterable[GatewayClient],
) -> list[Pong | Failure]:
    return await asyncio.gather(
        *(peer.ping(PROBE_TIMEOUT_S) for peer in peers)
    )


def _group_by_zone(
    gateways: collections.abc.Mapping[str, frozenset[str]],
    zones: collections.abc.Mapping[str, str],
) -> dict[tuple[str, str], frozenset[str]]:
    """Return the gateways by service and zone."""
    found: dict[tuple[str, str], set[str]] = {}
    for service, names in gateways.items():
        for name in names:
            key = (service, zones.get(name, ""))
            found.setdefault(key, set()).add(name)
    return {key: frozenset(names) for key, names in found.items()}


def _make_request(
    number: int,
    request: StatementRequest,
    transaction: Transaction | None,
    begins: bool,
) -> RunRequest:
    statement, route, session = (
        request.statement,
        request.route,
        request.session,
    )
    time = now()
    definition = request.definition
    return RunRequest(
        number=number,
        request_id=statement.request_id,
        kind=statement.kind,
        text=statement.text,
        name=statement.name,
        argument=statement.argument,
        writes=request.writes,
        service=route.service,
        consistency=str(route.consistency),
        statement_timeout_ms=route.statement_timeout_ms,
        latency_goal_ms=route.latency_goal_ms,
        priority=route.priority,
        accepted_staleness_ms=route.accepted_staleness_ms,
        age_s=time - request.arrived_at,
        values=request.values,
        definition=(
            (definition.writes, definition.text) if definition else None
        ),
        session_position=session.positions.get(route.service),
        transaction=transaction.gateway_transaction_id if transaction else 0,
        begins=begins,
        read_only=transaction.read_only if transaction else False,
        begun_age_s=time - transaction.arrived_at if transaction else 0.0,
        workspace=request.workspace,
    )


def _apply_response(
    request: StatementRequest, response: RunResponse
) -> Outcome:
    """Copy the execution details to the request and return the outcome."""
    request.attempts += response.attempts
    request.endpoint = response.endpoint or request.endpoint
    request.min_position = response.min_position
    request.proof_age_s = response.proof_age_s
    if response.kind is not None:
        return Failure(response.kind, response.reason)
    if response.commit is not None:
        request.session.record_commit(request.route.service, response.commit)
    return Reply(response.rows, response.signature)


def _is_retryable(failure: Failure) -> bool:
    """Return whether a read may be retried on another gateway."""
    return (
        failure.kind in RETRYABLE_KINDS
        or failure.kind is ErrorKind.READ_INTERRUPTED
    )


def _no_gateway_failure(service: str) -> Failure:
    """Return the failure if no gateway is reachable."""
    reason = f"no reachable gateway for service {service}"
    return Failure(ErrorKind.OVERLOADED, reason)
