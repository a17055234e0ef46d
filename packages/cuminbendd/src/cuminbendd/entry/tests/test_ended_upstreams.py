"""Tests of upstreams whose process ends and starts again under its identity."""

import asyncio

import pytest
from cuminbend.crashes import Crash, CrashHistory
from cuminbend.registry import UpstreamStatement

from cuminbendd.entry.tests._harness import (
    EntryHarness,
    FakeUpstream,
    SeenRequest,
    run,
    signed_response,
    wait_until,
)
from cuminbendd.feed import Update


class RestartingUpstream(FakeUpstream):
    """An upstream whose process can end, and start again at the same address."""

    def __init__(self, name: str) -> None:
        super().__init__(name, "s", self._reply_or_end)
        self._writers: set[asyncio.StreamWriter] = set()
        self.own_port = 0

    @property
    def port(self) -> int:
        return self.own_port

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.own_port
        )
        self.own_port = int(self._server.sockets[0].getsockname()[1])

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        await super()._serve(reader, writer)

    async def _reply_or_end(self, request: SeenRequest) -> bytes | None:
        if request.target.endswith(b"crash"):
            self.end()
            return None
        return signed_response(request)

    def end(self) -> None:
        """End the process: refuse new connections and break the open ones."""
        self.stop()
        for writer in self._writers:
            writer.transport.abort()


def is_ended(harness: EntryHarness, upstream: str) -> bool:
    return bool(harness.entry._upstreams._pools[upstream].replica.ended_until_ms)


@pytest.mark.parametrize("breaks_by", ["crash", "idle"])
def test_new_process_gets_no_requests_before_it_registers(breaks_by: str) -> None:
    """Guards against a new process that is taken for the one that ended.

    A request that crashed the former process crashed the new one as well and was
    counted once, so it was never quarantined. A cold process got unlimited requests.
    """

    async def test() -> None:
        upstream = RestartingUpstream("u")
        async with EntryHarness(upstream) as harness:
            assert (await harness.send_request()).status == 200
            if breaks_by == "crash":
                await harness.send_request(path="/r/crash")
            else:
                upstream.end()
            await wait_until(lambda: is_ended(harness, "u"))
            reported = harness.entry.status().statements
            assert [(item.upstream, item.has_ended) for item in reported] == [
                ("u", True)
            ]
            await upstream.start()
            seen = len(upstream.seen)
            # Longer than the pause after a refused connection.
            await asyncio.sleep(0.5)
            assert (await harness.send_request()).status == 503
            assert len(upstream.seen) == seen
            harness.announce(harness.registration(upstream, incarnation_ms=2))
            assert (await harness.send_request()).status == 200

    run(test)


def test_reset_of_one_connection_does_not_end_the_process() -> None:
    """Guards against a live upstream that is left out after a reset connection."""

    async def test() -> None:
        upstream = RestartingUpstream("u")
        async with EntryHarness(upstream) as harness:
            assert (await harness.send_request()).status == 200
            connections = upstream.connections
            for writer in upstream._writers:
                writer.transport.abort()
            await wait_until(lambda: upstream.connections > connections)
            await asyncio.sleep(0.05)
            assert not is_ended(harness, "u")
            assert (await harness.send_request()).status == 200

    run(test)


def test_upstream_that_does_not_listen_yet_has_not_ended() -> None:
    """Guards against a starting upstream that is left out after its registration."""

    async def test() -> None:
        listening, starting = RestartingUpstream("u"), RestartingUpstream("v")
        await starting.start()
        starting.stop()
        async with EntryHarness(listening) as harness:
            harness.announce(harness.registration(starting))
            await asyncio.sleep(0.3)
            assert not is_ended(harness, "v")

    run(test)


@pytest.mark.parametrize("source", ["crash", "statement"])
def test_end_that_another_instance_saw_holds_here(source: str) -> None:
    """Guards against a request that crashes one process for each instance.

    This instance has no connection to the upstream that could break, as after a
    restart.
    """

    async def test() -> None:
        upstream = RestartingUpstream("u")
        async with EntryHarness(upstream) as harness:
            crash = Crash(fingerprint="f", upstream="u", incarnation_ms=1, service="s")
            history = CrashHistory(fingerprint="f", crashes=(crash,))
            statement = UpstreamStatement(
                upstream="u", incarnation_ms=1, limit_per_s=None, has_ended=True
            )
            harness.entry.on_update(
                "c1",
                Update(is_current=True, crash_histories=(history,))
                if source == "crash"
                else Update(is_current=True, statements=(statement,)),
            )
            assert (await harness.send_request()).status == 503
            assert not upstream.seen
            harness.announce(harness.registration(upstream, incarnation_ms=2))
            assert (await harness.send_request()).status == 200

    run(test)
