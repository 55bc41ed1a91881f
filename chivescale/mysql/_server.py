"""Accepts callers, logs them in and serves their connections."""

import asyncio
import hmac
import itertools
import logging
import socket
import ssl

from mysql_mimic import packets
from mysql_mimic.auth import NativePasswordAuthPlugin
from mysql_mimic.charset import CharacterSet
from mysql_mimic.constants import DEFAULT_SERVER_CAPABILITIES
from mysql_mimic.types import Capabilities, ServerStatus
from mysql_mimic.utils import nonce

from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.mysql._connection import CallerConnection
from chivescale.mysql._packets import (
    MalformedPacket,
    make_error,
    parse_handshake_response,
)
from chivescale.mysql._session import (
    CallerHandlers,
    CallerSession,
    ServerOptions,
)
from chivescale.mysql._stream import (
    MAX_HANDSHAKE_BYTES,
    ConnectionEnded,
    PacketStream,
    PacketTooLarge,
    WatchedReader,
    frame,
    receive_packet,
)
from chivescale.telemetry import log_event

BACKLOG = 1024
# The accept loop waits this long when the process is out of descriptors.
ACCEPT_PAUSE_S = 0.05
NONCE_BYTES = 20
# The library logs every refused statement as an error with a traceback.
logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)

_plugin = NativePasswordAuthPlugin()


class CallerServer:
    """Serves the MySQL protocol on one address.

    Parameters
    ----------
    handlers : CallerHandlers
        What runs the statements.
    tls : ssl.SSLContext, optional
        Server context; without it TLS is not offered.
    options : ServerOptions, optional
        Limits.
    """

    def __init__(
        self,
        handlers: CallerHandlers,
        tls: ssl.SSLContext | None = None,
        options: ServerOptions | None = None,
    ):
        self.handlers = handlers
        self.tls = tls
        self.options = options or ServerOptions()
        self.sessions: dict[int, CallerSession] = {}
        self.numbers = itertools.count(1)
        self.address = ""
        self.listener: socket.socket | None = None
        self.accepting: asyncio.Task | None = None
        self.tasks: set[asyncio.Task] = set()
        self.capabilities = DEFAULT_SERVER_CAPABILITIES
        if tls is not None:
            self.capabilities |= Capabilities.CLIENT_SSL

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``; `address` then names the actual port."""
        ip, _, port = address.rpartition(":")
        self.listener = socket.create_server((ip, int(port)), backlog=BACKLOG)
        self.listener.setblocking(False)
        self.address = f"{ip}:{self.listener.getsockname()[1]}"
        self.accepting = asyncio.create_task(self._accept(self.listener))

    def stop_accepting(self) -> None:
        """Close the port; open connections go on."""
        if self.accepting is not None:
            self.accepting.cancel()
            self.accepting = None
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    async def close(self) -> None:
        """Close the port and every connection."""
        self.stop_accepting()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, peer = await loop.sock_accept(listener)
            except OSError as err:
                log_event("accept_failed", "warning", error=repr(err))
                await asyncio.sleep(ACCEPT_PAUSE_S)
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            number = next(self.numbers) & 0xFFFFFFFF
            session = CallerSession(number, f"{peer[0]}:{peer[1]}")
            task = asyncio.create_task(self._serve(sock, session))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _serve(self, sock: socket.socket, session) -> None:
        connection = None
        try:
            async with asyncio.timeout(self.options.login_s):
                connection = await self._greet(sock, session)
                if connection is not None:
                    await self._log_in(connection)
            if connection is not None and connection.accepted:
                await connection.command_phase()
        except (MalformedPacket, PacketTooLarge) as err:
            log_event("login_malformed", "debug", error=repr(err))
        except (ConnectionEnded, TimeoutError, OSError) as err:
            log_event("connection_lost", "debug", error=repr(err))
        except Exception as err:  # one caller must not end the process
            log_event("connection_error", "error", error=repr(err))
        finally:
            if connection is None:
                sock.close()
            else:
                await self._finish(connection)

    async def _finish(self, connection: CallerConnection) -> None:
        session = connection.session
        session.end = None
        connection.stream.close()
        if connection.accepted:
            self.sessions.pop(session.connection_id, None)
            await self.handlers.closed(session)

    async def _greet(self, sock, session) -> CallerConnection | None:
        """Exchange the greeting and build the connection."""
        loop = asyncio.get_running_loop()
        failure = await self._admission()
        if is_failure(failure):
            packet = make_error(failure, self.options.prefix_errors)
            await loop.sock_sendall(sock, frame(0, packet))
            return None
        salt = nonce(NONCE_BYTES)
        await loop.sock_sendall(sock, frame(0, self._greeting(session, salt)))
        data = await receive_packet(sock, 1)
        answer = parse_handshake_response(data, self.capabilities)
        sequence = 2
        tls = None
        if answer.wants_tls:
            if self.tls is None:
                raise MalformedPacket("TLS is not offered")
            tls = self.tls
        stream = await self._open_stream(sock, tls, sequence)
        if answer.wants_tls:
            data = await stream.read()
            answer = parse_handshake_response(data, self.capabilities)
        connection = CallerConnection(
            stream, session, self.handlers, self.options, answer.capabilities
        )
        connection.login, connection.salt = answer, salt
        return connection

    async def _admission(self) -> Failure | None:
        if len(self.tasks) > self.options.max_connections:
            return Failure(ErrorKind.OVERLOADED, "too many connections")
        if self.handlers.admit is None:
            return None
        return await self.handlers.admit()

    def _greeting(self, session, salt: bytes) -> bytes:
        return packets.make_handshake_v10(
            capabilities=self.capabilities,
            server_charset=CharacterSet.utf8mb4,
            server_version=self.options.version,
            connection_id=session.connection_id,
            auth_data=salt + b"\0",
            status_flags=ServerStatus.SERVER_STATUS_AUTOCOMMIT,
            auth_plugin_name=_plugin.name,
        )

    async def _open_stream(self, sock, tls, sequence) -> PacketStream:
        loop = asyncio.get_running_loop()
        reader = WatchedReader(loop)
        protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
        transport, _ = await loop.connect_accepted_socket(
            lambda: protocol, sock, ssl=tls
        )
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        # Until the login is accepted nobody may occupy much memory.
        return PacketStream(
            reader, writer, sequence, MAX_HANDSHAKE_BYTES, self.options.write_s
        )

    async def _log_in(self, connection: CallerConnection) -> None:
        """Check the secret and the handlers' consent."""
        session, login = connection.session, connection.login
        session.workspace, session.service = login.user, login.database
        scramble = login.scramble
        if login.plugin and login.plugin != _plugin.name:
            scramble = await self._switch_plugin(connection)
        failure = None
        if not self._secret_matches(login.user, scramble, connection.salt):
            reason = f"access denied for workspace {login.user!r}"
            failure = Failure(ErrorKind.AUTHENTICATION_FAILED, reason)
        else:
            failure = await self.handlers.opened(session)
        if is_failure(failure):
            packet = make_error(failure, self.options.prefix_errors)
            await connection.stream.send([packet])
            return
        # From here on `closed` must be called, also if the client is gone.
        connection.accepted = True
        self.sessions[session.connection_id] = session
        await connection.answer(None)
        connection.stream.limit = self.options.max_packet_bytes

    async def _switch_plugin(self, connection: CallerConnection) -> bytes:
        request = packets.make_auth_switch_request(
            server_charset=CharacterSet.utf8mb4,
            plugin_name=_plugin.name,
            plugin_provided_data=connection.salt + b"\0",
        )
        await connection.stream.send([request])
        return await connection.stream.read()

    def _secret_matches(self, user, scramble: bytes, salt: bytes) -> bool:
        secret_hash = self.handlers.secret_hash(user)
        if secret_hash is None:
            return False
        if secret_hash == "":
            return hmac.compare_digest(scramble, b"")
        return len(scramble) == NONCE_BYTES and _plugin.verify_scramble(
            secret_hash, scramble, salt
        )
