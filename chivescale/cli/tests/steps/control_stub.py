"""Stub control hosts that answer requests without running consensus."""

import asyncio
import threading

from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import SheetAnswer, SheetUpload
from chivescale.sheet import digest, parse_sheet
from chivescale.transport import Route, Server

LOST_RESPONSE_DELAY_S = 5.0


class ControlStub:
    """Two control hosts; a `leader` of 3 means that none leads.

    Attributes
    ----------
    responses_to_drop : int
        Number of uploads that take effect but get no response.
    unknown_outcomes : int
        Number of uploads that take effect but return outcome_unknown.
    accepted : int
        Number of accepted sheets, without repeated uploads.
    """

    def __init__(self, secret, leader):
        self.secret = secret
        self.leader = leader
        self.responses_to_drop = 0
        self.unknown_outcomes = 0
        self.accepted = 0
        self.answer = SheetAnswer(0, "", 0)
        self.addresses = []
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)

    def start(self):
        self.thread.start()
        self.call(self._serve())

    def stop(self):
        self.call(self._close())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    def call(self, coroutine):
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return future.result(10)

    async def _serve(self):
        self.servers = []
        for number in (1, 2):
            server = Server(self.secret, self._routes(number))
            await server.start("127.0.0.1:0")
            ip, port = server.runner.addresses[0][:2]
            self.addresses.append(f"{ip}:{port}")
            self.servers.append(server)

    async def _close(self):
        for server in self.servers:
            await server.close()

    def _routes(self, number):
        async def upload(request):
            if number != self.leader:
                return self._not_leader()
            answer = self.upload(request.body.number, request.body.content)
            if self.unknown_outcomes > 0:
                self.unknown_outcomes -= 1
                return Failure(ErrorKind.OUTCOME_UNKNOWN, "deposed")
            if self.responses_to_drop > 0:
                self.responses_to_drop -= 1
                await asyncio.sleep(LOST_RESPONSE_DELAY_S)
            return answer

        async def show(request):
            if number != self.leader:
                return self._not_leader()
            return self.answer

        return [
            Route("POST", "/v1/sheet", upload, SheetUpload),
            Route("GET", "/v1/sheet", show),
        ]

    def _not_leader(self):
        known = self.leader <= len(self.addresses)
        address = self.addresses[self.leader - 1] if known else ""
        return Failure(
            ErrorKind.NOT_LEADER, "not leader", leader_address=address
        )

    def upload(self, number, content):
        """Accept or reject a sheet by its number, as the leader does."""
        sheet = parse_sheet(content)
        if is_failure(sheet):
            return sheet
        held = self.answer
        if number < held.number:
            return Failure(ErrorKind.STALE_SHEET, f"{held.number} is in force")
        if number == held.number:
            if digest(sheet) != held.digest:
                return Failure(ErrorKind.SHEET_CONFLICT, "other content")
            return SheetAnswer(number, held.digest, held.index, True)
        self.accepted += 1
        self.answer = SheetAnswer(number, digest(sheet), self.accepted)
        return self.answer
