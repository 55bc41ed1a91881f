"""Steps for the HTTP server and client."""

import asyncio

from behave import given, then, when

from chivescale.clock import now
from chivescale.errors import ErrorKind, is_failure
from chivescale.httpio import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from chivescale.messages import Empty, ErrorBody, encode
from tools.processes import free_address

ORDINARY = b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
INPUTS = {
    "an ordinary request": ORDINARY,
    "two requests in one packet": ORDINARY * 2,
    "a request line of noise": b"\x00\xff noise\r\n\r\n",
    "a body above the limit": (
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3000\r\n\r\n"
        + b"x" * 3000
    ),
    "half a request, then a close": b"GET / HT",
    "a request whose handler fails": ORDINARY.replace(b"/ ", b"/fail "),
}


async def exchange(address: str, data: bytes) -> bytes:
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    if data.startswith(b"GET / HT") and not data.endswith(b"\n"):
        writer.write_eof()
    try:
        async with asyncio.timeout(2):
            return await reader.read(4096)
    finally:
        writer.close()


async def answer(request: HttpRequest) -> HttpResponse:
    if request.path == "/fail":
        raise RuntimeError("handler failed")
    return HttpResponse(200, b"{}")


@given("a server")
def server(context):
    context.handler = answer


@when("it is sent {data}")
def is_sent(context, data):
    async def work():
        address = free_address()
        server = HttpServer(context.handler, max_body_bytes=2000)
        await server.start(address)
        context.answer = await exchange(address, INPUTS[data])
        context.after = await exchange(address, ORDINARY)
        await server.close()

    asyncio.run(work())


@then("it answers {status}")
def answers(context, status):
    if status == "nothing":
        assert context.answer == b"", context.answer
    else:
        assert context.answer.startswith(f"HTTP/1.1 {status}".encode())


@then("it still answers an ordinary request")
def still_answers(context):
    assert context.after.startswith(b"HTTP/1.1 200"), context.after


@given("a server that {behaves}")
def server_that(context, behaves):
    context.behaves = behaves

    async def handler(request: HttpRequest) -> HttpResponse:
        match behaves:
            case "answers with a message":
                return HttpResponse(200, encode(Empty()))
            case 'answers with the failure "no_quorum"':
                return HttpResponse(503, encode(ErrorBody("no_quorum", "r")))
            case "answers with an unknown failure":
                return HttpResponse(503, encode(ErrorBody("colour", "r")))
            case "answers 503 without a body":
                return HttpResponse(503)
            case _:
                await asyncio.sleep(5.0)
                return HttpResponse(200)

    context.handler = handler


@when("a client calls it")
def calls(context):
    async def work():
        address = free_address()
        server = HttpServer(context.handler)
        client = HttpClient()
        if context.behaves != "does not listen":
            await server.start(address)
        call = asyncio.ensure_future(
            client.call(address, "POST", "/x", Empty, Empty(), timeout_s=0.3)
        )
        if context.behaves == "closes without an answer":
            await asyncio.sleep(0.1)
            await server.close()
        context.outcome = await call
        await client.close()
        await server.close()

    asyncio.run(work())


@then("the call ends as {kind}")
def ends_as(context, kind):
    outcome = context.outcome
    if kind == "success":
        assert outcome == Empty(), outcome
    else:
        assert is_failure(outcome), outcome
        assert outcome.kind is ErrorKind(kind), outcome


@given(
    "a server whose answer of {kb:d} KB arrives at {rate:d} KB/s and stalls"
    " after {sent:d} KB"
)
def slow_server(context, kb, rate, sent):
    async def serve(reader, writer):
        await reader.read(1000)
        body = b"{" + b" " * (kb * 1000 - 2) + b"}"
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        data = (head + body)[: sent * 1000 + (len(head) if sent else 0)]
        for start in range(0, len(data), 5000):
            if writer.is_closing():
                return
            writer.write(data[start : start + 5000])
            await asyncio.sleep(5 / rate)
        await reader.read()
        writer.close()

    context.serve = serve


@when(
    "a client calls it that allows {limit:g} s and {transfer:g} s for the"
    " transfer"
)
def slow_call(context, limit, transfer):
    async def work():
        address = free_address()
        host, port = address.split(":")
        server = await asyncio.start_server(context.serve, host, int(port))
        client = HttpClient()
        began_at = now()
        context.outcome = await client.call(
            address,
            "POST",
            "/x",
            Empty,
            Empty(),
            timeout_s=limit,
            transfer_s=transfer,
        )
        context.took_s = now() - began_at
        await client.close()
        server.close()
        await asyncio.sleep(0.1)

    asyncio.run(work())


@then("it took {least:g} to {most:g} s")
def took(context, least, most):
    assert least <= context.took_s < most, context.took_s
