"""Tests of requests that are answered by one upstream."""

import asyncio
from dataclasses import replace

import pytest
from cuminbend.registry import UpstreamState

from cuminbendd.entry.tests._harness import (
    CLOSE_AFTER_REPLY,
    EntryHarness,
    FakeUpstream,
    Reply,
    SeenRequest,
    empty_response,
    run,
    signed_response,
    wait_until,
)
from cuminbendd.feed import Update

NOT_RUN = empty_response(503, b"x-not-run: 1")


def replies_in_turn(*replies: bytes | None) -> Reply:
    """Return a reply function that gives these replies in turn, then successes."""
    left = list(replies)

    async def reply(request: SeenRequest) -> bytes | None:
        return left.pop(0) if left else signed_response(request, b"body")

    return reply


def test_registration_with_a_port_out_of_range_is_ignored() -> None:
    """Guards against an upstream whose requests wait for a connection for ever."""

    async def scenario() -> None:
        good = FakeUpstream("u1", "s")
        async with EntryHarness(good) as harness:
            odd = replace(
                harness.registration(good), upstream="u2", address="127.0.0.1:99999"
            )
            harness.announce(odd)
            assert set(harness.entry._upstreams._pools) == {"u1"}

    run(scenario)


def test_request_is_forwarded_unchanged() -> None:
    """Guards against a method, path, query, header or body changed on the way."""
    upstream = FakeUpstream("u1", "s")

    async def test() -> None:
        async with EntryHarness(upstream) as harness:
            answer = await harness.send_request(
                method="POST",
                path="/r/%7Ex/../y?a=b&c=%20d",
                body=b"\x00payload",
                headers="X-Extra: kept\r\nConnection: x-drop\r\nX-Drop: 1\r\n",
            )
            assert answer.status == 200
            seen = upstream.seen[0]
            assert seen.method == b"POST"
            assert seen.target == b"/r/%7Ex/../y?a=b&c=%20d"
            assert seen.body == b"\x00payload"
            assert seen.headers[b"x-extra"] == b"kept"
            assert seen.headers[b"x-request-id"] == b"id-1"
            assert seen.headers[b"x-expected-upstream"] == b"u1"
            assert 0 < int(seen.headers[b"x-deadline-ms"]) <= 1500
            assert b"x-drop" not in seen.headers

    run(test)


@pytest.mark.parametrize("host", ["H", "h:80"])
@pytest.mark.parametrize("scheme_and_host", ["", "http://h", "HTTP://H:80"])
def test_forms_of_the_host_select_the_same_route(
    host: str, scheme_and_host: str
) -> None:
    """Guards against a 404 for a proper request, and an absolute path at upstreams."""
    upstream = FakeUpstream("u1", "s")

    async def test() -> None:
        async with EntryHarness(upstream) as harness:
            answer = await harness.send_request(
                host=host, path=f"{scheme_and_host}/r/x?q=1"
            )
            assert answer.status == 200
            seen = upstream.seen[0]
            assert seen.target == b"/r/x?q=1"
            sent_host = scheme_and_host.rpartition("//")[2] or host
            assert seen.headers[b"host"] == sent_host.encode()

    run(test)


def test_connection_header_does_not_remove_what_the_other_end_needs() -> None:
    """Guards against upstreams without the id, and callers without the signature.

    Either side may name any header in ``Connection``.
    """

    async def reply(request: SeenRequest) -> bytes:
        return (
            b"HTTP/1.1 200 OK\r\nx-stamp: st\r\nx-request-id: id-1\r\n"
            b"Connection: x-stamp, X-Request-Id, x-drop\r\nx-drop: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )

    upstream = FakeUpstream("u1", "s", reply)

    async def test() -> None:
        async with EntryHarness(upstream) as harness:
            answer = await harness.send_request(
                headers="Connection: x-request-id, Host, x-deadline-ms\r\n"
            )
            assert answer.status == 200
            assert answer.headers[b"x-stamp"] == b"st"
            assert answer.headers[b"x-request-id"] == b"id-1"
            assert b"x-drop" not in answer.headers
            seen = upstream.seen[0].headers
            assert seen[b"x-request-id"] == b"id-1"
            assert seen[b"host"] == b"h"
            assert 0 < int(seen[b"x-deadline-ms"]) <= 1500

    run(test)


def test_response_is_returned_unchanged() -> None:
    """Guards against a signature, body or status changed on the way back."""

    async def reply(request: SeenRequest) -> bytes:
        return (
            b"HTTP/1.1 404 Gone\r\nx-stamp: st\r\nx-request-id: id-1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )

    async def test() -> None:
        async with EntryHarness(FakeUpstream("u1", "s", reply)) as harness:
            answer = await harness.send_request()
            assert (answer.status, answer.body) == (404, b"abcde")
            assert answer.headers[b"x-stamp"] == b"st"

    run(test)


@pytest.mark.parametrize(
    "first", [NOT_RUN, empty_response(421), empty_response(500), None]
)
def test_idempotent_request_is_sent_to_another_upstream(first: bytes | None) -> None:
    """Guards against callers that get the failure of one upstream."""
    upstreams = [FakeUpstream(f"u{i}", "s") for i in range(2)]
    reply = replies_in_turn(first)
    for upstream in upstreams:
        upstream.reply = reply

    async def test() -> None:
        async with EntryHarness(*upstreams) as harness:
            assert (await harness.send_request()).status == 200
            assert sum(len(upstream.seen) for upstream in upstreams) == 2

    run(test)


@pytest.mark.parametrize(
    ("first", "sends", "code"),
    [
        (NOT_RUN, 2, 200),
        (empty_response(421), 2, 200),
        (empty_response(500), 1, 500),
        (None, 1, 502),
    ],
)
def test_non_idempotent_request_is_repeated_only_if_it_did_not_run(
    first: bytes | None, sends: int, code: int
) -> None:
    """Guards against a request that runs twice or is wrongly reported as not run."""
    upstreams = [FakeUpstream(f"u{i}", "s") for i in range(2)]
    reply = replies_in_turn(first)
    for upstream in upstreams:
        upstream.reply = reply

    async def test() -> None:
        async with EntryHarness(*upstreams, route={"idempotent": False}) as harness:
            answer = await harness.send_request(method="POST", body=b"x")
            assert answer.status == code
            assert sum(len(upstream.seen) for upstream in upstreams) == sends

    run(test)


def test_request_to_unreachable_upstream_is_rejected_as_not_run() -> None:
    """Guards against a 502 (the request may have run) although nothing was sent."""
    upstream = FakeUpstream("u1", "s")

    async def test() -> None:
        async with EntryHarness(upstream, route={"idempotent": False}) as harness:
            upstream.stop()
            await asyncio.sleep(0)
            answer = await harness.send_request(method="POST")
            assert answer.status in (200, 503)
            assert len(upstream.seen) == (answer.status == 200)
            if answer.status == 503:
                assert 0 < float(answer.headers[b"retry-after"]) < 5

    run(test)


def test_closed_pool_opens_no_connection() -> None:
    """Guards against connections to an upstream that was removed."""
    upstream = FakeUpstream("u1", "s")

    async def test() -> None:
        async with EntryHarness(upstream) as harness:
            pool = harness.entry._upstreams._pools["u1"]
            harness.announce(
                harness.registration(upstream, sequence=2, state=UpstreamState.GONE)
            )
            pool.warm_up()
            assert pool.size == 0
            await asyncio.sleep(0.3)
            assert upstream.connections == 0

    run(test)


def test_request_without_upstream_is_rejected_at_once() -> None:
    """Guards against a request that waits although no upstream can answer it."""
    upstream = FakeUpstream("u1", "s")

    async def test() -> None:
        async with EntryHarness(upstream) as harness:
            harness.announce(
                harness.registration(upstream, sequence=2, state=UpstreamState.LEAVING)
            )
            answer = await harness.send_request()
            assert answer.status == 503
            assert not upstream.seen

    run(test)


def test_truncated_response_is_not_forwarded() -> None:
    """Guards against a caller that takes part of a body for the whole body."""
    truncated = b"HTTP/1.1 200 OK\r\nx-stamp: s\r\nContent-Length: 100\r\n\r\nhalf"

    async def reply(request: SeenRequest) -> bytes | None:
        return truncated + b""

    upstream = FakeUpstream("u1", "s", reply)

    async def test() -> None:
        async with EntryHarness(upstream, route={"max_attempts": 1}) as harness:
            answer_task = asyncio.ensure_future(harness.send_request(deadline_ms=300))
            answer = await answer_task
            assert answer.status == 504
            assert b"half" not in answer.body

    run(test)


def test_response_of_another_request_is_dropped() -> None:
    """Guards against a late second response that is given to the next caller."""
    ids = iter([b"id-1", b"id-2"])

    async def reply(request: SeenRequest) -> bytes:
        next(ids)
        answer = signed_response(request, b"for " + request.headers[b"x-request-id"])
        if request.headers[b"x-request-id"] == b"id-2":
            stale = answer.replace(b"id-2", b"id-1")
            return stale + answer
        return answer

    async def test() -> None:
        async with EntryHarness(FakeUpstream("u1", "s", reply)) as harness:
            assert (await harness.send_request(request_id="id-1")).body == b"for id-1"
            assert (await harness.send_request(request_id="id-2")).body == b"for id-2"

    run(test)


def test_bytes_after_a_response_end_the_connection() -> None:
    """Guards against surplus bytes that become part of the next answer."""
    extra = b"HTTP/1.1 200 OK\r\nx-stamp: bad\r\nContent-Length: 3\r\n\r\nbad"
    upstream = FakeUpstream("u1", "s")

    async def reply(request: SeenRequest) -> bytes:
        return signed_response(request, b"good") + extra

    upstream.reply = reply

    async def test() -> None:
        async with EntryHarness(upstream) as harness:
            for number in range(3):
                answer = await harness.send_request(request_id=f"id-{number}")
                assert answer.body == b"good"

    run(test)


def test_response_without_length_ends_with_its_connection() -> None:
    """Guards against a lost or truncated response without a content length."""

    async def reply(request: SeenRequest) -> bytes:
        return CLOSE_AFTER_REPLY + b"HTTP/1.1 200 OK\r\nx-stamp: st\r\n\r\nunframed"

    async def test() -> None:
        upstream = FakeUpstream("u1", "s", reply)
        async with EntryHarness(upstream, route={"max_attempts": 1}) as harness:
            answer = await harness.send_request()
            assert (answer.status, answer.body) == (200, b"unframed")

    run(test)


def test_slow_upstream_is_hedged() -> None:
    """Guards against a caller that has to wait for a paused upstream."""
    upstreams = [FakeUpstream(f"u{i}", "s") for i in range(2)]
    paused: list[SeenRequest] = []

    async def first_is_paused(request: SeenRequest) -> bytes:
        if not paused:
            paused.append(request)
            await asyncio.sleep(30)
        return signed_response(request)

    for upstream in upstreams:
        upstream.reply = first_is_paused

    async def test() -> None:
        async with EntryHarness(*upstreams, route={"objective_ms": 100.0}) as harness:
            assert (await harness.send_request()).status == 200
            assert [len(upstream.seen) for upstream in upstreams] == [1, 1]

    run(test)


def test_attempts_end_after_the_caller_left() -> None:
    """Guards against upstreams that work on a request whose caller has left."""
    started = asyncio.Event()

    async def slow_reply(request: SeenRequest) -> bytes:
        started.set()
        await asyncio.sleep(30)
        return signed_response(request)

    upstream = FakeUpstream("u1", "s", slow_reply)

    async def test() -> None:
        async with EntryHarness(upstream, route={"max_attempts": 1}) as harness:
            _, writer = await harness.connect()
            writer.write(b"GET /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n\r\n")
            await started.wait()
            writer.close()
            pool = harness.entry._upstreams._pools["u1"]
            await wait_until(lambda: not pool.replica.in_flight)

    run(test)


def test_request_is_answered_at_the_timeout_of_the_route() -> None:
    """Guards against a caller who waits longer than the configured timeout."""

    async def reply_after_timeout(request: SeenRequest) -> None:
        await asyncio.sleep(30)

    async def test() -> None:
        upstream = FakeUpstream("u1", "s", reply_after_timeout)
        async with EntryHarness(
            upstream, route={"timeout_ms": 120.0, "max_attempts": 1}
        ) as harness:
            answer = await harness.send_request(deadline_ms=60_000)
            assert answer.status == 504

    run(test)


def test_evacuated_data_centre_gets_no_requests() -> None:
    """Guards against requests to a data centre that operators have evacuated."""
    upstream = FakeUpstream("u1", "s")

    async def test() -> None:
        async with EntryHarness(upstream) as harness:
            harness.entry.on_update("c1", Update(is_current=True, evacuated=("a",)))
            assert (await harness.send_request()).status == 503
            harness.entry.on_update("c1", Update(is_current=True, evacuated=()))
            assert (await harness.send_request()).status == 200
            # The upstreams of a returned data centre may be cold: they get at most one
            # request a second.
            assert len(upstream.seen) == 1

    run(test)
