"""HTTP servers of the stand-in upstreams, and the server that controls them."""

import dataclasses
import socket
from dataclasses import dataclass
from typing import Any

import anyio
import h11
import httpcore
import orjson
from anyio.abc import SocketStream

from standin._upstream import Answer, Faults, StandInUpstream

ANNOUNCE_INTERVAL_S = 1.5
RESTART_DELAY_S = 1.0


@dataclass
class Layout:
    """Configuration of one process.

    Attributes:
        upstreams: Arguments of each StandInUpstream.
        announce_to: Caller addresses of instances.
        control_address: Address at which the process accepts faults and returns
            statistics.
    """

    upstreams: list[dict[str, Any]]
    announce_to: list[str]
    control_address: str


async def serve(layout: Layout) -> None:
    """Run all upstreams and the control server until cancelled."""
    upstreams = {item["upstream"]: StandInUpstream(**item) for item in layout.upstreams}
    async with anyio.create_task_group() as group:
        for upstream in upstreams.values():
            group.start_soon(_UpstreamServer(upstream).run)
        group.start_soon(
            _announce_periodically, list(upstreams.values()), layout.announce_to
        )
        group.start_soon(_serve_control, layout.control_address, upstreams)


async def _announce_periodically(
    upstreams: list[StandInUpstream], addresses: list[str]
) -> None:
    connections: dict[str, httpcore.AsyncHTTPConnection] = {}
    announcement_count = 0
    while True:
        for upstream in upstreams:
            if upstream.is_down or upstream.faults.silent_announcements:
                continue
            announcement_count += 1
            for offset in range(len(addresses)):
                address = addresses[(announcement_count + offset) % len(addresses)]
                if await _send_announcement(connections, address, upstream):
                    break
        await anyio.sleep(ANNOUNCE_INTERVAL_S)


async def _send_announcement(
    connections: dict[str, httpcore.AsyncHTTPConnection],
    address: str,
    upstream: StandInUpstream,
) -> bool:
    host, _, port = address.rpartition(":")
    connection = connections.get(address)
    if connection is None or not connection.is_available() or connection.has_expired():
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        connection = connections[address] = httpcore.AsyncHTTPConnection(origin)
    try:
        with anyio.fail_after(1):
            response = await connection.request(
                "POST",
                f"http://{address}/v1/announce",
                headers={"host": address, "content-type": "application/json"},
                content=orjson.dumps(upstream.announcement_body()),
            )
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.ConnectionNotAvailable,
        TimeoutError,
    ):
        connections.pop(address, None)
        await connection.aclose()
        return False
    return bool(response.status < 300)


class _UpstreamServer:
    def __init__(self, upstream: StandInUpstream) -> None:
        self._upstream = upstream
        self._scopes: set[anyio.CancelScope] = set()

    async def run(self) -> None:
        """Serve until cancelled; after a crash close connections and restart cold."""
        host, _, port = self._upstream.address.rpartition(":")
        while True:
            listener = await anyio.create_tcp_listener(
                local_host=host, local_port=int(port), family=socket.AF_INET
            )
            with anyio.CancelScope() as self._serving_scope:
                async with listener:
                    await listener.serve(self._serve_connection)
            self._upstream.is_down = True
            self._upstream.stats.connections = 0
            await anyio.sleep(RESTART_DELAY_S)
            self._upstream.restart()

    async def _serve_connection(self, stream: SocketStream) -> None:
        stats = self._upstream.stats
        stats.connections += 1
        stats.max_connections = max(stats.max_connections, stats.connections)
        incarnation = self._upstream.incarnation
        try:
            async with stream:
                await self._serve_requests(stream)
        except (anyio.BrokenResourceError, h11.RemoteProtocolError):
            pass
        finally:
            if incarnation == self._upstream.incarnation and not self._upstream.is_down:
                stats.connections -= 1

    async def _serve_requests(self, stream: SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            request, body = await _read_request(connection, stream)
            if request is None:
                return
            headers = {k.decode(): v.decode() for k, v in request.headers}
            answer = await self._run_until_closed(
                stream, request.target.decode(), headers, body
            )
            if answer is None:
                return
            if answer.is_crash:
                self._serving_scope.cancel()
                return
            if self._upstream.faults.silent_connections:
                await anyio.sleep_forever()
            await _write_answer(
                connection, stream, answer, self._upstream.faults.truncate
            )
            if connection.our_state is h11.MUST_CLOSE:
                return
            connection.start_next_cycle()

    async def _run_until_closed(
        self, stream: SocketStream, path: str, headers: dict[str, str], body: bytes
    ) -> Answer | None:
        """Run a request and return its answer, or None if the client closed first."""
        answer: Answer | None = None
        async with anyio.create_task_group() as group:

            async def cancel_when_closed() -> None:
                try:
                    await stream.receive(1)
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    pass
                group.cancel_scope.cancel()

            group.start_soon(cancel_when_closed)
            answer = await self._upstream.run(path, headers, body)
            group.cancel_scope.cancel()
        return answer


async def _read_request(
    connection: h11.Connection, stream: SocketStream
) -> tuple[h11.Request | None, bytes]:
    request: h11.Request | None = None
    body = b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            try:
                connection.receive_data(await stream.receive())
            except anyio.EndOfStream:
                return None, b""
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return request, body
        else:
            return None, b""


async def _write_answer(
    connection: h11.Connection, stream: SocketStream, answer: Answer, truncate: bool
) -> None:
    headers = [*answer.headers.items(), ("content-length", str(len(answer.body)))]
    data = connection.send(h11.Response(status_code=answer.status, headers=headers))
    if truncate:
        await stream.send((data or b"") + answer.body[: len(answer.body) // 2])
        raise anyio.BrokenResourceError
    data = (data or b"") + (connection.send(h11.Data(data=answer.body)) or b"")
    data += connection.send(h11.EndOfMessage()) or b""
    await stream.send(data)


async def _serve_control(address: str, upstreams: dict[str, StandInUpstream]) -> None:
    host, _, port = address.rpartition(":")
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=int(port), family=socket.AF_INET
    )

    async def serve_connection(stream: SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        async with stream:
            request, body = await _read_request(connection, stream)
            if request is None:
                return
            result = _handle_control_request(request.target.decode(), body, upstreams)
            answer = Answer(200, {"connection": "close"}, orjson.dumps(result))
            await _write_answer(connection, stream, answer, truncate=False)

    async with listener:
        await listener.serve(serve_connection)


def _handle_control_request(
    path: str, body: bytes, upstreams: dict[str, StandInUpstream]
) -> Any:
    if path == "/stats":
        return {
            name: dataclasses.asdict(upstream.stats)
            for name, upstream in upstreams.items()
        }
    command = orjson.loads(body)
    for name in command["upstreams"] or upstreams:
        upstream = upstreams[name]
        if "faults" in command:
            upstream.faults = Faults(**command["faults"])
        for key in ("state", "holdings", "service_ms"):
            if key in command:
                setattr(upstream, key, command[key])
    return {"changed": len(command["upstreams"] or upstreams)}
