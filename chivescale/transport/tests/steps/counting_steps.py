"""Steps for the byte counts of the transport."""

import asyncio

from behave import then, when

from chivescale.errors import is_failure
from chivescale.messages import Accepted, SheetUpload
from chivescale.transport import Client, Route, Server

SECRET = b"s" * 32


class Relay:
    """TCP relay that counts the bytes of both directions."""

    def __init__(self, target):
        self.target = target
        self.bytes = {"to": 0, "from": 0}
        self.tasks = []

    async def start(self):
        self.server = await asyncio.start_server(self.open, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def open(self, reader, writer):
        ip, _, port = self.target.partition(":")
        far_reader, far_writer = await asyncio.open_connection(ip, port)
        self.tasks += [
            asyncio.ensure_future(self.copy("to", reader, far_writer)),
            asyncio.ensure_future(self.copy("from", far_reader, writer)),
        ]

    async def copy(self, direction, reader, writer):
        while data := await reader.read(1 << 16):
            self.bytes[direction] += len(data)
            writer.write(data)
        writer.close()

    async def close(self):
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@when("a request of {sent:d} characters is answered with {received:d}")
def exchange(context, sent, received):
    async def handle(_request):
        return Accepted(reason="r" * received)

    async def run():
        counts = {"client": {}, "server": {}}
        route = Route("POST", "/v1/test", handle, SheetUpload)
        server = Server(SECRET, [route], count=counts["server"].__setitem__)
        await server.start("127.0.0.1:0")
        ip, port = server.runner.addresses[0][:2]
        relay = Relay(f"{ip}:{port}")
        address = await relay.start()
        client = Client(SECRET, count=counts["client"].__setitem__)
        body = SheetUpload(1, "x" * sent)
        answer = await client.call(
            address, "POST", "/v1/test", Accepted, body, timeout_s=10
        )
        await client.close()
        await relay.close()
        await server.close()
        assert not is_failure(answer), answer
        return counts, relay.bytes

    context.counts, context.crossed = asyncio.run(run())


@then(
    "client and server count what crossed the network, to within {n:d} bytes"
)
def counts_match(context, n):
    client, server = context.counts["client"], context.counts["server"]
    pairs = (
        (client["out"], context.crossed["to"]),
        (server["in"], context.crossed["to"]),
        (client["in"], context.crossed["from"]),
        (server["out"], context.crossed["from"]),
    )
    assert all(abs(left - right) <= n for left, right in pairs), pairs
