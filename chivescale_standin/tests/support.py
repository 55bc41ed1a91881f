"""A database group of stand-in endpoints in a thread of its own."""

import pathlib
import tempfile
import time

import pymysql

from chivescale.errors import is_failure
from chivescale.messages import (
    Accepted,
    EndpointStatus,
    Follow,
    Promise,
    PromiseReply,
    Promote,
    PromoteReply,
)
from chivescale.mysql import connect
from chivescale.mysql.tests.support import LoopThread
from chivescale.transport import Client
from chivescale_standin import Endpoint, Fault, StandinSettings

SERVICE = "ledger"
WAIT_S = 10.0


def soon(seconds=5.0):
    """Return a deadline."""
    return time.monotonic() + seconds


class GroupUnderTest:
    """Endpoints e0, e1, ... of one service."""

    def __init__(self, count, **settings):
        self.folder = tempfile.TemporaryDirectory()
        self.path = pathlib.Path(self.folder.name)
        (self.path / "secret").write_text("shared")
        self.settings = settings
        self.thread = LoopThread()
        self.endpoints = [self._make(number) for number in range(count)]
        self.client = Client(b"shared")
        for endpoint in self.endpoints:
            self.run(endpoint.start())

    def _make(self, number, **addresses):
        values = {
            "name": f"e{number}",
            "service": SERVICE,
            "data_dir": str(self.path / f"e{number}"),
            "secret_file": str(self.path / "secret"),
            "connect_delay_ms": 0.0,
        }
        settings = StandinSettings(**(values | self.settings | addresses))

        async def make():
            return Endpoint(settings)

        return self.run(make())

    def run(self, coroutine):
        """Run a coroutine in the group's loop."""
        return self.thread.run(coroutine)

    def call(self, number, method, path, reply, body=None, timeout_s=2.0):
        """Send a signed request to an endpoint."""
        address = self.endpoints[number].admin_address
        return self.run(
            self.client.call(
                address, method, path, reply, body, timeout_s=timeout_s
            )
        )

    def status(self, number) -> EndpointStatus:
        """Return the status of an endpoint."""
        return self.call(number, "GET", "/v1/position", EndpointStatus)

    def promise(self, number, term) -> PromiseReply:
        """Ask for a promise."""
        body = Promise(SERVICE, term)
        return self.call(number, "POST", "/v1/promise", PromiseReply, body)

    def promote(self, number, term) -> PromoteReply:
        """Promote an endpoint."""
        body = Promote(SERVICE, term)
        return self.call(number, "POST", "/v1/promote", PromoteReply, body)

    def follow(self, number, primary, term) -> Accepted:
        """Let an endpoint follow another one."""
        address = self.endpoints[primary].admin_address
        body = Follow(SERVICE, term, f"e{primary}", address)
        return self.call(number, "POST", "/v1/follow", Accepted, body)

    def elect(self, primary, term, others=None):
        """Promise, promote and follow as a control leader does."""
        if others is None:
            others = [n for n in range(len(self.endpoints)) if n != primary]
        for number in [primary, *others]:
            assert self.promise(number, term).granted
        assert self.promote(primary, term).accepted
        for number in others:
            assert self.follow(number, primary, term).ok

    def fault(self, number, **fields):
        """Inject a fault."""
        answer = self.call(
            number, "POST", "/v1/fault", Accepted, Fault(**fields)
        )
        assert not is_failure(answer), answer

    def sql(self, number, *statements, timeout_s=5.0):
        """Run statements on a new connection; return the last outcome."""

        async def run():
            connection = await self.connect(number)
            if is_failure(connection):
                return connection
            for statement in statements:
                outcome = await connection.query(statement, soon(timeout_s))
                if is_failure(outcome):
                    break
            connection.close()
            return outcome

        return self.run(run())

    async def connect(self, number):
        """Open a connection in the group's loop."""
        address = self.endpoints[number].mysql_address
        return await connect(address, "chivescale", "", SERVICE, soon())

    def driver(self, number, **options):
        """Open a connection with the stock driver."""
        ip, port = self.endpoints[number].mysql_address.split(":")
        return pymysql.connect(
            host=ip,
            port=int(port),
            user="chivescale",
            password="",
            database=SERVICE,
            autocommit=True,
            read_timeout=WAIT_S,
            **options,
        )

    def caught_up(self, number, primary):
        """Wait until an endpoint holds all that another one holds."""
        last = self.status(primary).last
        path = f"/v1/position?term={last.term}&position={last.position}"
        status = self.call(
            number,
            "GET",
            f"{path}&wait_ms={int(WAIT_S * 1000)}",
            EndpointStatus,
            timeout_s=WAIT_S + 1,
        )
        assert not is_failure(status), status
        assert status.last >= last, (status.last, last)

    def restart(self, number):
        """Close an endpoint and start it on the same data and ports."""
        old = self.endpoints[number]
        addresses = {
            "mysql_address": old.mysql_address,
            "admin_address": old.admin_address,
        }
        self.run(old.close())
        self.endpoints[number] = self._make(number, **addresses)
        self.run(self.endpoints[number].start())

    def rows(self, number, table="t"):
        """Return all rows of a table as an endpoint serves them."""
        outcome = self.sql(number, f"SELECT * FROM {table} ORDER BY 1")
        assert not is_failure(outcome), outcome
        return outcome.rows

    def close(self):
        """Close everything."""
        for endpoint in self.endpoints:
            self.run(endpoint.close())
        self.run(self.client.close())
        self.thread.stop()
        self.folder.cleanup()


def start(context, count, **settings):
    """Start a group for one scenario."""
    context.group = GroupUnderTest(count, **settings)
    context.add_cleanup(context.group.close)
    return context.group
