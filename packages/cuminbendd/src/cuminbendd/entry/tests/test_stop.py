"""Tests of a planned stop with requests that come while the instance drains."""

import asyncio

import pytest

from cuminbendd.entry.tests._harness import (
    EntryHarness,
    FakeUpstream,
    SeenRequest,
    run,
    wait_until,
)

DRAIN_MS = 150.0
STOP_MS = 400.0


async def never_reply(request: SeenRequest) -> None:
    await asyncio.sleep(30)


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("is_before_stop", [True, False])
def test_request_that_is_open_at_the_end_of_a_stop_gets_an_answer(
    idempotent: bool, is_before_stop: bool
) -> None:
    """Guards against connections that end without an answer to a request."""
    upstream = FakeUpstream("u1", "s", never_reply)

    async def test() -> None:
        async with EntryHarness(
            upstream,
            route={"idempotent": idempotent, "objective_ms": 50.0},
            drain_ms=DRAIN_MS,
            stop_ms=STOP_MS,
        ) as harness:
            stopping = None
            if not is_before_stop:
                stopping = asyncio.ensure_future(harness.entry.stop())
                await wait_until(lambda: harness.entry.server.is_draining)
            sending = asyncio.ensure_future(harness.send_request(method="POST"))
            await wait_until(lambda: bool(upstream.seen))
            await (stopping or harness.entry.stop())
            answer = await sending
            assert answer.is_complete
            assert answer.status == 504

    run(test)


@pytest.mark.parametrize("shards", [(), ("s",)])
def test_request_that_cannot_end_before_the_stop_is_refused(
    shards: tuple[str, ...],
) -> None:
    """Guards against requests that are sent to upstreams only to be cut."""
    upstream = FakeUpstream("u1", "s", never_reply)
    route: dict[str, object] = {"objective_ms": 1000.0}
    if shards:
        route |= {"shards": shards, "top_k": 1}

    async def test() -> None:
        async with EntryHarness(
            upstream, route=route, drain_ms=DRAIN_MS, stop_ms=STOP_MS
        ) as harness:
            stopping = asyncio.ensure_future(harness.entry.stop())
            await wait_until(lambda: harness.entry.server.is_draining)
            answer = await harness.send_request()
            assert answer.status == 503
            assert float(answer.headers[b"retry-after"]) < 0.1
            assert upstream.seen == []
            await stopping

    run(test)


def test_request_that_ends_before_the_stop_is_served() -> None:
    """Guards against callers with an old directory that a draining instance refuses."""
    upstream = FakeUpstream("u1", "s")

    async def test() -> None:
        async with EntryHarness(
            upstream, route={"objective_ms": 50.0}, drain_ms=DRAIN_MS, stop_ms=STOP_MS
        ) as harness:
            stopping = asyncio.ensure_future(harness.entry.stop())
            await wait_until(lambda: harness.entry.server.is_draining)
            assert (await harness.send_request()).status == 200
            await stopping

    run(test)


def test_requests_behind_an_open_one_are_rejected_at_the_end_of_a_stop() -> None:
    """Guards against requests that were read and end without an answer."""
    upstream = FakeUpstream("u1", "s", never_reply)

    async def test() -> None:
        async with EntryHarness(
            upstream, route={"objective_ms": 50.0}, drain_ms=DRAIN_MS, stop_ms=STOP_MS
        ) as harness:
            reader, writer = await harness.connect()
            request = b"GET /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: i\r\n\r\n"
            writer.write(request * 3)
            await wait_until(lambda: bool(upstream.seen))
            await harness.entry.stop()
            answers = (await reader.read()).split(b"HTTP/1.1 ")[1:]
            assert [answer[:3] for answer in answers] == [b"504", b"503", b"503"]
            writer.close()

    run(test)
