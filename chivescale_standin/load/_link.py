"""Connections of the load tool, through a stock driver."""

import asyncio
import re

from asyncmy.connection import Connection
from asyncmy.errors import MySQLError

from chivescale.errors import KIND_TABLE, ErrorKind
from chivescale_standin.load._plan import LoadPlan

_KIND = re.compile(r"^\[([a-z_]+)\]")
DRIVER_ERRNO = range(2000, 3000)
CONNECT_TIMEOUT_S = 2.0


class StatementError(Exception):
    """A statement without success.

    Attributes
    ----------
    ran : bool
        Whether it may have taken effect.
    text : str
        Error kind in brackets or error number.
    """

    def __init__(self, ran: bool, text: str):
        super().__init__(text)
        self.ran = ran
        self.text = text


class Link:
    """One connection that reconnects to another address when it fails."""

    def __init__(self, plan: LoadPlan, first: int):
        self.plan = plan
        self.index = first
        self.connection: Connection | None = None

    async def run(self, sql: str) -> tuple[list, int]:
        """Run a statement and return its rows and affected rows.

        Raises
        ------
        StatementError
            If there was no success.
        """
        connection = await self._connected()
        delay_s = self.plan.delay_ms / 1000
        try:
            async with asyncio.timeout(self.plan.timeout_s):
                if delay_s:
                    await asyncio.sleep(delay_s)
                affected = await connection.query(sql)
                rows = list(connection._result.rows or ())
                if delay_s:
                    await asyncio.sleep(delay_s)
                return rows, affected
        except MySQLError as err:
            raise self._translate(err) from err
        except (TimeoutError, OSError, RuntimeError) as err:
            self.close()
            raise StatementError(True, type(err).__name__) from err
        except asyncio.CancelledError:
            self.close()
            raise

    async def _connected(self) -> Connection:
        if self.connection is not None and not self.connection._stream_broken:
            return self.connection
        self.close()
        ip, _, port = self.plan.addresses[
            self.index % len(self.plan.addresses)
        ].rpartition(":")
        connection = Connection(
            host=ip,
            port=int(port),
            user=self.plan.user,
            password=self.plan.secret,
            database=self.plan.service,
            autocommit=None,
        )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await connection.connect()
        except (MySQLError, TimeoutError, OSError, RuntimeError) as err:
            self.index += 1
            raise StatementError(False, f"connect: {_name(err)}") from err
        self.connection = connection
        return connection

    def _translate(self, err: MySQLError) -> StatementError:
        number = err.args[0] if err.args else 0
        if (
            not isinstance(number, int)
            or number in DRIVER_ERRNO
            or (err.sqlstate is None)
        ):
            self.close()
            return StatementError(True, "connection lost")
        match = _KIND.match(str(err.args[1]))
        if match is None:
            # An endpoint without a proxy rolls a refused statement back.
            return StatementError(False, str(number))
        try:
            ran = KIND_TABLE[ErrorKind(match.group(1))].may_have_run
        except ValueError:
            ran = True
        return StatementError(ran, match.group(0))

    def close(self) -> None:
        """Close the connection; the next one goes to another address."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
            self.index += 1


def _name(err: Exception) -> str:
    return str(err.args[0]) if err.args else type(err).__name__
