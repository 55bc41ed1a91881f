"""One stand-in endpoint: SQL port, admin port, announcements."""

import asyncio
import hashlib
import pathlib
import random
import time

from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import (
    Accepted,
    Announcement,
    EndpointStatus,
    Follow,
    Position,
    Promise,
    Promote,
)
from chivescale.mysql import CallerHandlers, CallerServer, ServerOptions
from chivescale.telemetry import log_event
from chivescale.transport import Client, Route, Server
from chivescale_standin._faults import Faults
from chivescale_standin._group import PRIMARY, Group
from chivescale_standin._messages import Fault
from chivescale_standin._replica import Puller, serve
from chivescale_standin._settings import StandinSettings, read_secret
from chivescale_standin._sql import SqlSide
from chivescale_standin._state import RoleFile
from chivescale_standin._store import Store

MAX_WAIT_S = 30.0
ANNOUNCE_TIMEOUT_S = 0.5


class Endpoint:
    """A database endpoint for tests and demonstrations.

    Parameters
    ----------
    settings : StandinSettings
        Settings.

    Attributes
    ----------
    mysql_address, admin_address : str
        Actual addresses after `start`.
    """

    def __init__(self, settings: StandinSettings):
        self.settings = settings
        self.mysql_address = settings.mysql_address
        self.admin_address = settings.admin_address
        folder = pathlib.Path(settings.data_dir)
        folder.mkdir(parents=True, exist_ok=True)
        self.file = RoleFile(folder)
        self.group = Group(
            settings.name, settings.service, Store(folder), self.file
        )
        self.faults = Faults(settings.delay_ms / 1000)
        secret = read_secret(settings.secret_file).encode()
        self.client = Client(secret)
        self.puller = Puller(self.group, self.faults, self.client)
        self.sql = SqlSide(settings, self.group, self.faults)
        self.server = self._sql_server()
        self.admin = Server(secret, self._routes())
        self.tasks: list[asyncio.Task] = []

    def _sql_server(self) -> CallerServer:
        settings = self.settings
        secret = read_secret(settings.user_secret_file)
        digest = _secret_hash(secret)
        handlers = CallerHandlers(
            secret_hash=lambda user: digest if user == settings.user else None,
            opened=self.sql.opened,
            execute=self.sql.execute,
            closed=self.sql.closed,
            admit=self._admit,
        )
        options = ServerOptions(
            max_packet_bytes=16 << 20,
            max_connections=settings.connection_limit,
            prefix_errors=False,
            version="8.0.36-standin",
        )
        return CallerServer(handlers, options=options)

    async def start(self) -> None:
        """Open both ports and start replication and announcements."""
        await self.admin.start(self.admin_address)
        ip, port = self.admin.runner.addresses[0][:2]
        self.admin_address = f"{ip}:{port}"
        await self.server.start(self.mysql_address)
        self.mysql_address = self.server.address
        self.puller.start()
        self.tasks.append(asyncio.create_task(self._announce()))
        log_event(
            "endpoint_started",
            endpoint=self.settings.name,
            mysql=self.mysql_address,
            admin=self.admin_address,
            role=self.group.kind,
        )

    async def close(self) -> None:
        """Close everything."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.puller.close()
        await self.server.close()
        await self.admin.close()
        await self.client.close()
        self.group.store.close()
        self.file.close()

    def status(self) -> EndpointStatus:
        """Return the state as other processes see it."""
        group, settings = self.group, self.settings
        primary = group.following.primary if group.following else ""
        contact_ms = -1
        if group.kind == PRIMARY:
            primary, contact_ms = settings.name, 0
        elif group.contact is not None:
            contact_ms = int((time.monotonic() - group.contact) * 1000)
        return EndpointStatus(
            endpoint=settings.name,
            service=settings.service,
            incarnation=self.file.role.incarnation,
            role=group.kind,
            promised_term=group.promised_term,
            last=group.store.last,
            mysql_address=self.mysql_address,
            admin_address=self.admin_address,
            primary=primary,
            primary_contact_ms=contact_ms,
            leaving=self.file.role.leaving,
            term_starts=tuple(group.store.term_starts),
            zone=settings.zone,
            slots=settings.slots,
            connection_limit=settings.connection_limit,
        )

    async def _admit(self) -> Failure | None:
        """Make a new connection as costly as the settings say."""
        await self.faults.gate()
        # One round trip each for the TCP connection and the login.
        delay_s = self.settings.connect_delay_ms / 1e3
        await asyncio.sleep(delay_s + 4 * self.faults.delay_s)
        return None

    def _routes(self) -> list[Route]:
        table = (
            ("GET", "/v1/position", self._position, None),
            ("POST", "/v1/promise", self._promise, Promise),
            ("POST", "/v1/promote", self._promote, Promote),
            ("POST", "/v1/follow", self._follow, Follow),
            ("POST", "/v1/leave", self._leave, None),
        )
        routes = [
            Route(method, path, self._gated(handler), body_type)
            for method, path, handler, body_type in table
        ]
        replicate = serve(self.group, self.faults)
        routes.append(Route("GET", "/v1/replicate", replicate))
        routes.append(Route("POST", "/v1/fault", self._fault, Fault))
        return routes

    def _gated(self, handler):
        """Apply delays and faults to an admin request."""

        async def handle(request):
            silent = self.faults.note(request.connection)
            await self.faults.travel()
            if silent or self.faults.cut_control:
                await asyncio.sleep(MAX_WAIT_S)
            answer = await handler(request)
            await self.faults.travel()
            silent = self.faults.note(request.connection)
            if silent or self.faults.cut_control:
                await asyncio.sleep(MAX_WAIT_S)
            return answer

        return handle

    async def _position(self, request) -> EndpointStatus | Failure:
        query = request.query
        try:
            wanted = Position(
                int(query.get("term", 0)), int(query.get("position", 0))
            )
            wait_s = min(int(query.get("wait_ms", 0)) / 1000, MAX_WAIT_S)
        except ValueError as err:
            return Failure(ErrorKind.BAD_REQUEST, f"query: {err}")
        deadline = time.monotonic() + wait_s
        await self.group.wait_position(wanted, min(deadline, request.deadline))
        return self.status()

    async def _promise(self, request):
        return self.group.promise(request.body, self.status)

    async def _promote(self, request):
        return self.group.promote(request.body, self.status)

    async def _follow(self, request):
        return self.group.follow(request.body)

    async def _leave(self, request) -> Accepted:
        return self.group.leave()

    async def _fault(self, request) -> Accepted:
        fault = request.body
        self.faults.apply(fault)
        if fault.silence:
            for session in self.server.sessions.values():
                session.data.silent = True
        if self.faults.refuse:
            self.server.stop_accepting()
        elif self.server.listener is None:
            await self.server.start(self.mysql_address)
        log_event("fault", endpoint=self.settings.name, fault=fault)
        return Accepted()

    async def _announce(self) -> None:
        while True:
            await self.faults.gate()
            if self.faults.drop_announcements > 0:
                self.faults.drop_announcements -= 1
            else:
                await self._announce_once()
            leaving = self.file.role.leaving
            deadline = time.monotonic() + self.settings.announce_ms / 1000
            # A new wish to leave is announced at once.
            while self.file.role.leaving == leaving:
                if not await self.group.wait(deadline):
                    break

    async def _announce_once(self) -> None:
        """Announce to any one entry host that answers."""
        addresses = list(self.settings.announce_to)
        random.shuffle(addresses)
        for address in addresses:
            answer = await self.client.call(
                address,
                "POST",
                "/v1/endpoints/announce",
                Accepted,
                Announcement(self.status()),
                timeout_s=ANNOUNCE_TIMEOUT_S,
            )
            if not is_failure(answer):
                return


def _secret_hash(secret: str) -> str:
    if not secret:
        return ""
    inner = hashlib.sha1(secret.encode()).digest()
    return hashlib.sha1(inner).hexdigest()
