"""Host process of the coordinator role."""

import asyncio
import pathlib
import uuid
import zlib

import msgspec

from chivescale.agreement import (
    DEFAULT_LOSSES,
    AgreementHost,
    AgreementMessage,
    Callbacks,
    DurableLog,
)
from chivescale.catalog import Catalog, StoreResult
from chivescale.clock import now
from chivescale.coordinator._allowances import AllowanceManager
from chivescale.coordinator._distributor import Distributor
from chivescale.coordinator._group_monitor import GroupMonitor
from chivescale.coordinator._leases import LeaseManager
from chivescale.coordinator._membership import MembershipManager
from chivescale.coordinator._messages import (
    Callers,
    DocumentAnswer,
    Gossip,
    GroupStatus,
    LeaseRequest,
    LeaveRequest,
    OrderPromotion,
    RevokeRequest,
    StoreCatalog,
    StoreOrder,
)
from chivescale.coordinator._promoter import Promoter
from chivescale.coordinator._replicated import (
    DecodeDocument,
    ReplicatedState,
    unpack_document,
)
from chivescale.dialect import EndpointDialect
from chivescale.errors import KIND_TABLE, ErrorKind, Failure, is_failure
from chivescale.httpio import (
    MAX_BODY_BYTES,
    HttpClient,
    HttpRequest,
    HttpResponse,
)
from chivescale.messages import (
    AllowanceRequest,
    Empty,
    ErrorBody,
    LoanRequest,
    ReachabilityReport,
    WatchRequest,
    decode,
    encode,
)
from chivescale.promotion import PromotionAuthority
from chivescale.registry import EndpointBeat, Registry
from chivescale.settings import AgreementSettings, ControlMember
from chivescale.supervision import run_supervised
from chivescale.telemetry import log_event

# Timing of the agreement. An election takes up to three election timeouts. The
# timeout has to exceed a slow disk sync (150 ms).
HEARTBEAT_MS = 100
ELECTION_TIMEOUT_MS = 500
SNAPSHOT_ENTRIES = 500
# A stored document is sent in base64, twice inside a log entry or a snapshot,
# and a snapshot also has the epochs of all services.
MAX_GROUP_MESSAGE_BYTES = 8 * MAX_BODY_BYTES
MAX_ORDER_BYTES = 2 * MAX_BODY_BYTES
# Callers give up after one second and ask another host.
COMMAND_TIMEOUT_S = 0.9
READ_TIMEOUT_S = 0.7
# JSON has no infinity; a longer age is reported as this one.
MAX_REPORTED_AGE_S = 1e6


class CoordinatorSettings(msgspec.Struct, frozen=True):
    """Settings of a coordinator.

    Attributes
    ----------
    name : str
        Name of the host, used as the holder of its promotions.
    zone : str
        Availability zone.
    address : str
        Own ``ip:port``, which identifies this member in the group.
    seeds : tuple of str
        Addresses of coordinators to contact first.
    data_dir : str
        Directory of the durable state.
    may_form : bool
        Whether a new group with the seeds as its first members may be
        formed; False once a group has existed.
    endpoints_fenced : bool
        Whether an endpoint refuses writes as soon as another one was promoted
        in its place. If not, entry hosts use a primary only under a lease.
    losses : int
        Number of coordinators that may be lost at a time, with their disks.
    spare_operations : float
        Operations of a workspace above its limit that are tolerated in any
        window. Small limits are divided into usable shares by them.
    """

    name: str
    zone: str
    address: str
    seeds: tuple[str, ...]
    data_dir: str
    may_form: bool
    endpoints_fenced: bool = True
    losses: int = DEFAULT_LOSSES
    spare_operations: float = 0.0


class CoordinatorHost:
    """A member of the coordinator group and its request handlers.

    Parameters
    ----------
    settings : CoordinatorSettings
        Identity and seeds.
    client : HttpClient
        Connections to the other coordinators.
    dialect : EndpointDialect
        Protocol of the endpoints.
    authority : PromotionAuthority
        System that performs promotions.
    decode_document : callable
        Decodes and validates a configuration document of an operator.
    """

    def __init__(
        self,
        settings: CoordinatorSettings,
        client: HttpClient,
        dialect: EndpointDialect,
        authority: PromotionAuthority,
        decode_document: DecodeDocument,
    ):
        self.settings = settings
        self.client = client
        self.boot_id = uuid.uuid4().hex[:12]
        self.decode_document = decode_document
        self.state = ReplicatedState(decode_document)
        self.registry = Registry()
        self.agreement = self.new_agreement()
        self.distributor = Distributor(self)
        self.leases = LeaseManager(self)
        self.allowances = AllowanceManager(self)
        self.promoter = Promoter(self, dialect, authority)
        self.membership = MembershipManager(self)
        self.group_monitor = GroupMonitor(self)
        self.tasks: list[asyncio.Task] = []
        self.background: set[asyncio.Task] = set()
        self.handlers = {
            "/v1/agreement": self._on_agreement,
            "/v1/watch": self._on_watch,
            "/v1/gossip": self._on_gossip,
            "/v1/callers": self._on_callers,
            "/v1/leave": self._on_leave,
            "/v1/opinions": self._on_opinions,
            "/v1/lease": self._on_lease,
            "/v1/revoke": self._on_revoke,
            "/v1/allowance": self._on_allowance,
            "/v1/loan": self._on_loan,
            "/v1/store": self._on_store,
            "/v1/read": self._on_read,
            "/v1/status": self._on_status,
        }

    @property
    def path_limits(self) -> dict[str, int]:
        """Limits of requests between coordinators, in bytes by path."""
        return {
            "/v1/agreement": MAX_GROUP_MESSAGE_BYTES,
            "/v1/store": MAX_ORDER_BYTES,
        }

    def new_agreement(self) -> AgreementHost:
        """Return a group member whose data directory is not open yet."""
        settings = self.settings
        self.state = state = ReplicatedState(self.decode_document)
        return AgreementHost(
            settings.address,
            tuple(ControlMember(seed, seed) for seed in settings.seeds),
            DurableLog(
                pathlib.Path(settings.data_dir),
                first_members=settings.seeds if settings.may_form else (),
            ),
            self.client,
            AgreementSettings(
                heartbeat_ms=HEARTBEAT_MS,
                election_timeout_ms=ELECTION_TIMEOUT_MS,
                snapshot_entries=SNAPSHOT_ENTRIES,
            ),
            Callbacks(
                self._apply,
                state.snapshot,
                self._restore,
                self._leadership_changed,
            ),
            address=settings.address,
            may_form=settings.may_form,
            max_message_bytes=MAX_GROUP_MESSAGE_BYTES,
        )

    async def start(self) -> None:
        """Open the data directory and join the group."""
        self.distributor.recall()
        await self.agreement.start()
        self.tasks = [
            asyncio.ensure_future(run_supervised(name, part.run))
            for name, part in (
                ("membership", self.membership),
                ("distributor", self.distributor),
                ("leases", self.leases),
                ("allowances", self.allowances),
                ("group_monitor", self.group_monitor),
            )
        ]

    async def leave(self) -> None:
        """Leave the voters of the group, if it can do without this one.

        Call it before `stop`, while requests are still answered. A host that
        starts again with its data directory is admitted again.
        """
        await self.membership.leave()

    async def stop(self) -> None:
        """Stop all tasks and close the data directory."""
        for task in (*self.tasks, *self.background):
            task.cancel()
        self.promoter.end()
        await self.agreement.close()
        await self.client.close()

    def run_in_background(self, coroutine) -> None:
        """Run a coroutine until it ends or this host stops."""
        task = asyncio.ensure_future(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Apply seeds from changed settings.

        A member that has not been admitted yet contacts the new seeds.
        """
        if seeds == self.settings.seeds:
            return
        self.settings = msgspec.structs.replace(self.settings, seeds=seeds)
        machine = self.agreement.machine
        if machine is not None and not machine.formed:
            self.membership.request_reopen()

    # Replicated log.

    def _apply(self, index: int, data: bytes):
        result = self.state.apply(index, data)
        if isinstance(result, StoreResult):
            log_event(
                "catalog_applied",
                version=result.version,
                changed=result.changed,
                index=index,
            )
            self.distributor.notify_waiters()
        else:
            self.leases.learn(self.state.epochs)
        return result

    def _restore(self, data: bytes) -> None:
        self.state.restore(data)
        self.leases.learn(self.state.epochs)
        self.distributor.notify_waiters()

    def _leadership_changed(self, leading: bool, term: int) -> None:
        if leading:
            self.promoter.begin()
        else:
            self.promoter.end()

    @property
    def leading(self) -> bool:
        """Whether this host leads the group."""
        return self.agreement.is_leader

    def contact_age_s(self) -> float:
        """Return the time in seconds since the last contact with a quorum."""
        machine = self.agreement.machine
        if machine is None or self.agreement.failure is not None:
            return float("inf")
        return machine.contact_age_s(now())

    def group_status(self) -> GroupStatus:
        """Return what this host knows about the group."""
        agreement = self.agreement
        machine, failure = agreement.machine, agreement.failure
        members = machine.configuration.members if machine else ()
        own = machine.own_member if machine else None
        return GroupStatus(
            self.settings.address,
            agreement.leader_address,
            failure is None and own is not None and own.voter,
            tuple(m.address for m in members if m.voter),
            tuple(m.address for m in members if not m.voter),
            min(self.contact_age_s(), MAX_REPORTED_AGE_S),
            self.state.catalog.version,
            failure.reason if failure is not None else "",
            self.membership.not_voting.described(),
        )

    # Requests of operators and endpoints.

    async def store_catalog(
        self, catalog: Catalog, document: bytes
    ) -> StoreResult | Failure:
        """Store a configuration once a quorum has accepted it."""
        order = StoreOrder(zlib.compress(document))
        if self.leading:
            result = await self._store(order)
        else:
            result = await self._call_leader("/v1/store", StoreResult, order)
        outcome = result.kind if is_failure(result) else "stored"
        log_event(
            "catalog_order",
            version=catalog.version,
            outcome=outcome,
            reason=result.reason if is_failure(result) else "",
            leader=self.agreement.leader_address,
        )
        return result

    async def _store(self, order: StoreOrder) -> StoreResult | Failure:
        readable = self.state.read_catalog(order.packed)
        if is_failure(readable):
            return readable
        command = encode(StoreCatalog(order.packed))
        outcome = await self.agreement.submit(
            command, now() + COMMAND_TIMEOUT_S
        )
        return outcome if is_failure(outcome) else outcome.result

    async def read_document(self) -> bytes | Failure:
        """Return the newest configuration document, unchanged."""
        if self.leading:
            answer = await self._read()
        else:
            answer = await self._call_leader(
                "/v1/read", DocumentAnswer, Empty()
            )
        if is_failure(answer):
            return answer
        return unpack_document(answer.packed) if answer.packed else b""

    async def _read(self) -> DocumentAnswer | Failure:
        index = await self.agreement.confirm_read(now() + READ_TIMEOUT_S)
        if is_failure(index):
            return index
        return DocumentAnswer(self.state.compressed_document)

    async def _call_leader(self, path: str, reply_type, body):
        address = self.agreement.leader_address
        if not address or address == self.settings.address:
            return Failure(ErrorKind.NOT_LEADER, "no leader is known")
        return await self.client.call(
            address,
            "POST",
            path,
            reply_type,
            body,
            timeout_s=COMMAND_TIMEOUT_S,
        )

    async def note_beat(self, heartbeat: EndpointBeat) -> Failure | None:
        """Store the heartbeat of an endpoint and distribute it.

        A draining endpoint relies on the answer: afterwards all entry hosts
        have to stop sending it new work in time. The answer is therefore
        positive only if another coordinator has the heartbeat as well.
        """
        if self.is_foreign(heartbeat):
            reason = f"service: {heartbeat.service} is not configured"
            return Failure(ErrorKind.BAD_REQUEST, reason)
        revision = self.registry.revision
        stored = self.registry.record_heartbeat(heartbeat, now())
        if not stored:
            return None
        if self.registry.revision > revision:
            self.distributor.notify_waiters()
        return await self.distributor.share_heartbeat(
            heartbeat, urgent=heartbeat.draining
        )

    def is_foreign(self, heartbeat: EndpointBeat) -> bool:
        """Return whether it would displace another endpoint wrongly.

        The configuration of this host may be behind, so an endpoint of a
        service that it does not name is known as long as no other is at its
        place.
        """
        catalog = self.state.catalog.catalog
        return (
            self.registry.displaces(heartbeat)
            and catalog is not None
            and bool(catalog.services)
            and all(s.name != heartbeat.service for s in catalog.services)
        )

    async def note_farewell(self, endpoint: str, born_ms: int) -> None:
        """Mark an endpoint as gone and distribute the change."""
        if self.registry.deregister(endpoint, born_ms, now()):
            self.distributor.notify_waiters()
            entry = self.registry.entries[endpoint]
            await self.distributor.share_heartbeat(
                entry.heartbeat, urgent=False
            )

    async def reserve_fencing_token(
        self, service: str, endpoint: str, planned: bool, opens: bool = True
    ) -> int | Failure:
        """Reserve the fencing token of one promotion.

        This also begins the epoch of the promoted endpoint, a closed one if
        `opens` is False.
        """
        holder = self.settings.name
        command = OrderPromotion(service, endpoint, holder, planned, opens)
        return await self.agreement.propose(
            encode(command), now() + COMMAND_TIMEOUT_S
        )

    def sync_replicas(self, service: str) -> int:
        """Return how many replicas acknowledge each commit of a service."""
        catalog = self.state.catalog.catalog
        for options in catalog.services if catalog else ():
            if options.name == service:
                return options.sync_replicas
        return 0

    # Requests of other processes of the system.

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request of another process of the system."""
        handler = self.handlers.get(request.path)
        if handler is None:
            return HttpResponse(404)
        answer = await handler(request.body)
        if is_failure(answer):
            body = ErrorBody(answer.kind, answer.reason, answer.leader_address)
            status = KIND_TABLE[answer.kind].http_status
            return HttpResponse(status, encode(body))
        return HttpResponse(200, encode(answer))

    async def _on_agreement(self, body: bytes):
        message = decode(body, AgreementMessage)
        if is_failure(message):
            return message
        return self.agreement.receive(message)

    async def _on_watch(self, body: bytes):
        request = decode(body, WatchRequest)
        if is_failure(request):
            return request
        return await self.distributor.watch(request)

    async def _on_gossip(self, body: bytes):
        gossip = decode(body, Gossip)
        if is_failure(gossip):
            return gossip
        self.distributor.merge_gossip(gossip)
        return Empty()

    async def _on_callers(self, body: bytes):
        callers = decode(body, Callers)
        if is_failure(callers):
            return callers
        self.membership.record_join_requests(callers.members)
        return Empty()

    async def _on_leave(self, body: bytes):
        request = decode(body, LeaveRequest)
        if is_failure(request):
            return request
        return await self.membership.on_leave(request)

    async def _on_opinions(self, body: bytes):
        report = decode(body, ReachabilityReport)
        if is_failure(report):
            return report
        self.promoter.record_opinions(report)
        return Empty()

    async def _on_lease(self, body: bytes):
        request = decode(body, LeaseRequest)
        if is_failure(request):
            return request
        return self.leases.on_lease_request(request)

    async def _on_revoke(self, body: bytes):
        request = decode(body, RevokeRequest)
        if is_failure(request):
            return request
        return await self.leases.on_revoke(request)

    async def _on_allowance(self, body: bytes):
        request = decode(body, AllowanceRequest)
        if is_failure(request):
            return request
        return await self.allowances.on_request(request)

    async def _on_loan(self, body: bytes):
        request = decode(body, LoanRequest)
        if is_failure(request):
            return request
        return self.allowances.on_loan(request)

    async def _on_store(self, body: bytes):
        order = decode(body, StoreOrder)
        if is_failure(order):
            return order
        return await self._store(order)

    async def _on_read(self, body: bytes):
        return await self._read()

    async def _on_status(self, body: bytes):
        return self.group_status()
