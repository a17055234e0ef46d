"""Tests of the end towards callers."""

import asyncio
from collections.abc import Awaitable

import pytest
from cuminbend.forwarding import CallerLimits

from cuminbendd.http1 import HttpRequest, HttpResponse, HttpServer, Responder
from cuminbendd.system import SystemClock

LIMITS = CallerLimits(
    header_bytes=500, body_bytes=100, header_timeout_ms=300, idle_timeout_ms=400
)


def echo(request: HttpRequest, responder: Responder) -> None:
    responder.respond(HttpResponse(200, [], request.target + b"|" + request.body))


async def exchange(data: bytes, *, handler: object = echo) -> bytes:
    """Send bytes and return all that comes until the server closes."""
    server = HttpServer(
        handler=handler,  # type: ignore[arg-type]
        clock=SystemClock(),
        limits=lambda: LIMITS,
    )
    await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(data)
    received = await reader.read(-1)
    writer.close()
    server.close()
    return received


def run(coroutine: Awaitable[bytes]) -> bytes:
    return asyncio.run(asyncio.wait_for(coroutine, 30))  # type: ignore[arg-type]


def request(line: str = "GET /a HTTP/1.1", *headers: str, body: str = "") -> bytes:
    lines = [line, "Host: h", *headers, "Connection: close", "", body]
    return "\r\n".join(lines).encode()


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (request(), 200),
        (request("PUT /a HTTP/1.1", "Content-Length: 3", body="abc"), 200),
        (request("PUT /a HTTP/1.1", "Content-Length: 101"), 413),
        (
            request(
                "PUT /a HTTP/1.1",
                "Transfer-Encoding: chunked",
                body="65\r\n" + "x" * 101 + "\r\n0\r\n\r\n",
            ),
            413,
        ),
        (request("GET /a HTTP/1.1", "X-Long: " + "x" * 500), 431),
        (request("GET /" + "a" * 600 + " HTTP/1.1"), 431),
        (b"garbage\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (request("GET /a HTTP/1.1", "Host: twice"), 400),
        (
            request(
                "PUT /a HTTP/1.1",
                "Content-Length: 3",
                "Transfer-Encoding: chunked",
                body="0\r\n\r\n",
            ),
            400,
        ),
        (b"GET / HTT", 408),
    ],
)
def test_bad_input_gets_a_clear_status(data: bytes, code: int) -> None:
    """Guards against smuggled or oversized requests, and against no answer to them."""
    assert run(exchange(data)).startswith(b"HTTP/1.1 %d " % code)


def test_travel_time_counts_a_handshake() -> None:
    """Guards against answers that are late by the handshake of a new connection."""
    travel_ms: list[float] = []

    def note(request: HttpRequest, responder: Responder) -> None:
        travel_ms.append(request.travel_ms)
        echo(request, responder)

    data = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" + request("GET /2 HTTP/1.1")
    run(exchange(data, handler=note))
    assert travel_ms[0] == 4 * travel_ms[1] > 0


def test_idle_connection_is_closed() -> None:
    """Guards against descriptors that idle callers hold for ever."""
    assert run(exchange(b"")) == b""


def test_pipelined_requests_are_answered_in_order() -> None:
    """Guards against answers that change places."""
    loop_delays = iter([0.05, 0.0])

    def later(request: HttpRequest, responder: Responder) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(next(loop_delays), echo, request, responder)

    data = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" + request("GET /2 HTTP/1.1")
    answer = run(exchange(data, handler=later))
    assert answer.index(b"/1|") < answer.index(b"/2|")


def test_failing_handler_is_answered() -> None:
    """Guards against a caller who waits because of an error in the handler."""

    def fail(request: HttpRequest, responder: Responder) -> None:
        raise RuntimeError("broken")

    assert run(exchange(request(), handler=fail)).startswith(b"HTTP/1.1 500 ")


def test_drained_server_finishes_what_it_has() -> None:
    """Guards against a planned stop that cuts a request."""
    started, release = asyncio.Event(), asyncio.Event()

    def slow(request: HttpRequest, responder: Responder) -> None:
        async def answer() -> None:
            started.set()
            await release.wait()
            echo(request, responder)

        tasks.append(asyncio.ensure_future(answer()))

    tasks: list[asyncio.Future[None]] = []

    async def test() -> bytes:
        server = HttpServer(handler=slow, clock=SystemClock())
        await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
        await started.wait()
        server.drain()
        server.close_idle_connections()
        assert server.busy_connection_count == 1
        release.set()
        received = await reader.read(-1)
        assert server.busy_connection_count == 0
        writer.close()
        server.close()
        return received

    received = run(test())
    assert b"/x|" in received
    assert b"Connection: close" in received


def test_handler_learns_that_the_caller_left() -> None:
    """Guards against work that goes on for nobody."""
    left = asyncio.Event()

    def wait(request: HttpRequest, responder: Responder) -> None:
        responder.on_abandoned = left.set

    async def test() -> bytes:
        server = HttpServer(handler=wait, clock=SystemClock())
        await server.start("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.close()
        await left.wait()
        server.close()
        return b""

    run(test())
