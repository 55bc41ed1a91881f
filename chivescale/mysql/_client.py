"""Connections to endpoints."""

import asyncio
import re
import ssl

from asyncmy.connection import Connection
from asyncmy.constants.CLIENT import MULTI_STATEMENTS
from asyncmy.errors import MySQLError

from chivescale import clock
from chivescale.errors import ErrorKind, Failure
from chivescale.mysql._result import Column, QueryResult, parse_commit

STATUS_IN_TRANSACTION = 1
# The driver raises its own errors with these numbers; those of the endpoint
# lie outside.
CLIENT_ERRNO = range(2000, 3000)
TOO_MANY_CONNECTIONS = 1040
ACCESS_DENIED = 1045
DATABASE_ERRNOS = (1044, 1049)
_CHANGES_SESSION = re.compile(
    r"\s*(?:SET|USE|LOCK|UNLOCK|PREPARE|DEALLOCATE|HANDLER"
    r"|CREATE\s+TEMPORARY)\b|GET_LOCK\s*\(|:=",
    re.IGNORECASE,
)
_KIND_PREFIX = re.compile(r"^\[[a-z_]+\] ")


class ClientConnection:
    """One logged-in connection to an endpoint; one statement at a time.

    Attributes
    ----------
    usable : bool
        False once an answer was lost or may still be on its way.
    in_transaction : bool
        State that the endpoint reported last.
    session_changed : bool
        Whether a statement may have changed the session's state.
    """

    def __init__(self, driver: Connection, address: str):
        self.driver = driver
        self.address = address
        self.session_changed = False
        self.closed = False
        self.busy = False

    @property
    def usable(self) -> bool:
        """Whether another statement may be sent."""
        if self.closed or self.busy or self.driver._stream_broken:
            return False
        # Bytes that nobody asked for belong to no statement.
        protocol = self.driver._proto
        return protocol.length == protocol.pos

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open at the endpoint."""
        return bool(self.driver.server_status & STATUS_IN_TRANSACTION)

    async def query(self, sql: str, deadline: float) -> QueryResult | Failure:
        """Run one statement.

        Parameters
        ----------
        sql : str
            Statement text.
        deadline : float
            Monotonic time in seconds at which the connection is given up.

        Returns
        -------
        result or Failure
            ``UNREACHABLE`` if no byte left, ``STATEMENT_FAILED`` with the
            endpoint's number and state, or ``TIMEOUT``, after which the
            connection is closed.
        """
        if not self.usable:
            self.close()
            return self._failure(ErrorKind.UNREACHABLE, "connection is closed")
        if _CHANGES_SESSION.search(sql):
            self.session_changed = True
        self.busy = True
        try:
            async with asyncio.timeout(deadline - clock.now()):
                await self.driver.query(sql)
            if self.driver._result.has_next:
                self.close()
                reason = "several results of one statement"
                return self._failure(ErrorKind.TIMEOUT, reason)
            return self._result()
        except MySQLError as err:
            return self._statement_error(err)
        except TimeoutError:
            self.close()
            return self._failure(ErrorKind.TIMEOUT, "no answer in time")
        except Exception as err:  # the driver also raises built-in types
            self.close()
            return self._failure(ErrorKind.TIMEOUT, repr(err))
        except BaseException:
            self.close()
            raise
        finally:
            self.busy = False

    def close(self) -> None:
        """Close at once; the endpoint rolls back what is open."""
        if not self.closed:
            self.closed = True
            transport = self.driver._transport
            self.driver.close()
            if transport is not None:
                transport.abort()

    def _statement_error(self, err: MySQLError) -> Failure:
        number = _server_errno(err)
        if not number:
            self.close()
            return self._failure(ErrorKind.TIMEOUT, f"connection lost: {err}")
        reason = _KIND_PREFIX.sub("", str(err.args[1]))
        return Failure(
            ErrorKind.STATEMENT_FAILED, reason, number, err.sqlstate or "HY000"
        )

    def _failure(self, kind: ErrorKind, reason: str) -> Failure:
        return Failure(kind, f"{self.address}: {reason}")

    def _result(self) -> QueryResult:
        answer = self.driver._result
        if answer.field_count:
            columns = tuple(
                Column(
                    field.name,
                    field.type_code,
                    field.charsetnr,
                    field.flags,
                    field.length,
                    field.scale,
                )
                for field in answer.fields
            )
            return QueryResult(
                columns,
                list(answer.rows),
                warnings=answer.warning_count,
                in_transaction=self.in_transaction,
            )
        info = (answer.message or b"").decode("utf-8", "replace")
        return QueryResult(
            affected_rows=answer.affected_rows,
            last_insert_id=answer.insert_id,
            warnings=answer.warning_count,
            commit=parse_commit(info),
            in_transaction=self.in_transaction,
        )


async def connect(
    address: str,
    user: str,
    secret: str,
    database: str,
    deadline: float,
    tls: ssl.SSLContext | None = None,
) -> ClientConnection | Failure:
    """Open a connection and log in.

    Parameters
    ----------
    address : str
        ``ip:port``.
    user, secret, database : str
        Login.
    deadline : float
        Monotonic time in seconds.
    tls : ssl.SSLContext, optional
        Client context; plain TCP when absent.

    Returns
    -------
    connection or Failure
        ``OVERLOADED`` if the endpoint has no connection to spare,
        ``AUTHENTICATION_FAILED``, ``SERVICE_NOT_ALLOWED`` or
        ``UNREACHABLE``; no statement has left in any of these cases.
    """
    ip, _, port = address.rpartition(":")
    # No converters and no decoding: values stay the bytes of the endpoint.
    driver = Connection(
        host=ip,
        port=int(port),
        user=user,
        password=secret,
        database=database or None,
        conv={},
        use_unicode=False,
        autocommit=None,
        ssl=tls,
    )
    # One text must never run as several statements: only the first is
    # classified.
    driver._client_flag &= ~MULTI_STATEMENTS
    try:
        async with asyncio.timeout(deadline - clock.now()):
            await driver.connect()
    except MySQLError as err:
        return _connect_failure(address, err)
    except TimeoutError:
        reason = f"{address}: no connection in time"
        return Failure(ErrorKind.UNREACHABLE, reason)
    except Exception as err:  # unreadable greetings raise many types
        driver.close()
        return Failure(ErrorKind.UNREACHABLE, f"{address}: {err!r}")
    return ClientConnection(driver, address)


def _connect_failure(address: str, err: MySQLError) -> Failure:
    number = _server_errno(err)
    kind = ErrorKind.UNREACHABLE
    if number == TOO_MANY_CONNECTIONS:
        kind = ErrorKind.OVERLOADED
    elif number == ACCESS_DENIED:
        kind = ErrorKind.AUTHENTICATION_FAILED
    elif number in DATABASE_ERRNOS:
        kind = ErrorKind.SERVICE_NOT_ALLOWED
    return Failure(kind, f"{address}: {err}")


def _server_errno(err: MySQLError) -> int:
    """Return the number that the endpoint sent; 0 for a driver error."""
    number = err.args[0] if err.args else 0
    if not isinstance(number, int) or number < 1000:
        return 0
    return 0 if number in CLIENT_ERRNO or err.sqlstate is None else number
