"""Tests of fan-outs that delegate a group of shards to another entry instance."""

import asyncio
import socket
import struct
import threading
import time
from collections.abc import Callable

import msgspec
import pytest
import uvloop
from cuminbend.crashes import Verdict
from cuminbend.forwarding import merge_greatest_records

from cuminbendd.entry import _delegation
from cuminbendd.entry._delegation import Delegation, Peer
from cuminbendd.entry._forwarding import PreparedRequest
from cuminbendd.entry._peers import Accepted, Delegate, Merged
from cuminbendd.entry.tests._harness import (
    HEADER_NAMES,
    EntryHarness,
    FakeUpstream,
    SeenRequest,
    run,
    signed_response,
    wait_until,
)
from cuminbendd.feed import EntryInfo, Update
from cuminbendd.system import SystemClock

SHARDS = tuple(f"s{i}" for i in range(6))
ROUTE = {"shards": SHARDS, "top_k": 4, "min_coverage": 0.5, "objective_ms": 600.0}


@pytest.fixture
def long_accept_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Raise the time limits for helpers, so that tests pass on a loaded machine.

    A helper counts its time from when it reads the task, so a helper that reads the
    task late answers late. The longer assumed round trip covers that delay.
    """
    monkeypatch.setattr(_delegation, "_ACCEPT_MARGIN_MS", 10_000.0)
    monkeypatch.setattr(_delegation, "_INITIAL_ROUND_TRIP_MS", 300.0)


def record(value: int) -> bytes:
    return bytes([value]) * 16


def shard_upstream(index: int) -> FakeUpstream:
    async def reply(request: SeenRequest) -> bytes:
        return signed_response(
            request, record(index) + record(20 + index), b"st%d" % index
        )

    return FakeUpstream(f"u{index}", SHARDS[index], reply)


async def never_reply(request: SeenRequest) -> None:
    await asyncio.sleep(30)


def delay_replies(upstream: FakeUpstream) -> asyncio.Event:
    """Let an upstream answer only after the returned event is set."""
    release, original_reply = asyncio.Event(), upstream.reply

    async def delayed_reply(request: SeenRequest) -> bytes | None:
        await release.wait()
        return await original_reply(request)

    upstream.reply = delayed_reply
    return release


class RequesterAndHelper:
    """An instance in data centre a, a helper in data centre b, three shards in each."""

    def __init__(self, **route: object) -> None:
        self.upstreams = [shard_upstream(index) for index in range(6)]
        fields = {**ROUTE, **route}
        self.requester = EntryHarness(
            *self.upstreams, route=fields, helper_address="127.0.0.1:0"
        )
        self.helper = EntryHarness(
            *self.upstreams, route=fields, name="e2", helper_address="127.0.0.1:0"
        )
        self.helper.upstreams = ()

    async def __aenter__(self) -> "RequesterAndHelper":
        await self.requester.__aenter__()
        await self.helper.__aenter__()
        port = self.helper.entry._helper.port
        entries = tuple(
            EntryInfo(
                instance=name,
                address="x:1",
                data_centre=data_centre,
                helper_address=f"127.0.0.1:{port}",
                is_active=True,
            )
            for name, data_centre in (("e1", "a"), ("e2", "b"))
        )
        for harness in (self.requester, self.helper):
            harness.entry.on_update("c", Update(is_current=True, entries=entries))
            for index, upstream in enumerate(self.upstreams):
                data_centre = "a" if index < 3 else "b"
                harness.announce(
                    harness.registration(
                        upstream, sequence=2, incarnation_ms=2, data_centre=data_centre
                    )
                )
        await wait_until(lambda: bool(self.requester.entry._peers.usable_counts()))
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.helper.__aexit__()
        await self.requester.__aexit__()

    def count_messages(self) -> Callable[[], int]:
        """Count messages to the helper; return a function that returns the count."""
        messages: list[object] = []
        helper = self.helper.entry._helper
        original = helper.on_message

        def on_message(connection: object, message: object) -> None:
            messages.append(message)
            original(connection, message)  # type: ignore[arg-type]

        helper.on_message = on_message  # type: ignore[method-assign, assignment]
        return lambda: len(messages)


@pytest.mark.usefixtures("long_accept_timeout")
def test_group_is_merged_by_the_helper() -> None:
    """Guards against parts that are lost or duplicated by the delegation."""

    async def test() -> None:
        async with RequesterAndHelper() as pair:
            message_count = pair.count_messages()
            answer = await pair.requester.send_request()
            assert answer.status == 200
            records = [record(20 + index) for index in range(6)]
            assert answer.body == merge_greatest_records(records, 4)
            assert len(answer.headers[b"x-part-stamps"].split(b", ")) == 6
            assert message_count() == 1
            assert [len(upstream.seen) for upstream in pair.upstreams] == [1] * 6

    run(test)


@pytest.mark.usefixtures("long_accept_timeout")
def test_crashes_of_groups_without_a_fingerprint_are_not_added_up() -> None:
    """Guards against a helper that refuses all groups of instances before the upgrade.

    These instances send no fingerprint, so their requests cannot be told apart.
    """

    async def test() -> None:
        async with RequesterAndHelper() as pair:
            entry = pair.helper.entry
            request = PreparedRequest(
                head=b"",
                body=b"",
                request_id=b"id",
                fingerprint="",
                header_names=HEADER_NAMES,
                deadline_ms=0.0,
            )
            for upstream in pair.upstreams[3:]:
                upstream.stop()
                pool = entry._upstreams._pools[upstream.name]
                pool.abort()
                pool._is_closed = False
                entry._crash_watch.record_broken_connection(request, pool)
            await wait_until(lambda: not entry._crash_watch._checks)
            assert entry._suspects.verdict("") is Verdict.CLEAR

    run(test)


@pytest.mark.usefixtures("long_accept_timeout")
def test_helper_that_leaves_the_directory_finishes_its_groups() -> None:
    """Guards against parts that a planned stop of another instance throws away."""

    async def test() -> None:
        async with RequesterAndHelper() as pair:
            release = delay_replies(pair.upstreams[5])
            answer_task = asyncio.ensure_future(pair.requester.send_request())
            await wait_until(lambda: pair.helper.entry._helper.open_task_count == 1)
            entry = pair.requester.entry
            own = EntryInfo(instance="e1", address="x:1", data_centre="a")
            entry.on_update("c", Update(is_current=True, entries=(own,)))
            assert entry._peers.usable_counts() == {}
            release.set()
            answer = await answer_task
            assert answer.status == 200
            assert b"x-missing-parts" not in answer.headers
            # The connection is closed once it is not needed.
            await wait_until(lambda: not pair.helper.entry._helper._tasks)

    run(test)


@pytest.mark.usefixtures("long_accept_timeout")
def test_helper_answers_in_time_with_available_parts() -> None:
    """Guards against a whole group that is missing because of one late part."""

    async def test() -> None:
        async with RequesterAndHelper(max_attempts=1) as pair:
            pair.upstreams[5].reply = never_reply
            answer = await pair.requester.send_request()
            assert answer.status == 200
            assert answer.headers[b"x-missing-parts"] == b"1"

    run(test)


@pytest.mark.usefixtures("long_accept_timeout")
def test_late_parts_of_a_helper_still_count() -> None:
    """Guards against a failure if the coverage is reached after the objective."""

    async def test() -> None:
        async with RequesterAndHelper(
            min_coverage=1.0, objective_ms=100.0, max_attempts=1
        ) as pair:
            release = delay_replies(pair.upstreams[5])
            answer_task = asyncio.ensure_future(pair.requester.send_request())
            await asyncio.sleep(0.2)
            release.set()
            answer = await answer_task
            assert answer.status == 200
            assert b"x-missing-parts" not in answer.headers

    run(test)


def test_shards_of_an_unresponsive_helper_are_queried_directly() -> None:
    """Guards against missing shards because one instance does not respond."""

    async def test() -> None:
        async with RequesterAndHelper() as pair:
            # The helper ignores its messages, like a stalled process.
            helper = pair.helper.entry._helper
            helper.on_message = lambda *_: None  # type: ignore[method-assign]
            answer = await pair.requester.send_request()
            assert answer.status == 200
            assert b"x-missing-parts" not in answer.headers
            assert [len(upstream.seen) for upstream in pair.upstreams] == [1] * 6
            assert not pair.requester.entry._peers.usable_counts()

    run(test)


@pytest.mark.usefixtures("long_accept_timeout")
def test_accepted_group_of_a_lost_helper_is_not_queried_again() -> None:
    """Guards against a third attempt at a shard after two attempts of a helper."""

    async def test() -> None:
        async with RequesterAndHelper() as pair:
            pair.upstreams[5].reply = never_reply
            answer_tasks = [
                asyncio.ensure_future(
                    pair.requester.send_request(request_id=f"id-{number}")
                )
                for number in range(2)
            ]
            await wait_until(lambda: len(pair.upstreams[5].seen) == 2)
            helper = pair.helper.entry._helper
            helper.close()
            for answer_task in answer_tasks:
                assert (await answer_task).status == 200
            assert len(pair.upstreams[5].seen) == 2
            assert helper.open_task_count == 0

    run(test)


def test_group_of_a_route_with_one_attempt_is_not_queried_again() -> None:
    """Guards against a second attempt at a shard of a route that allows one."""

    async def test() -> None:
        async with RequesterAndHelper(max_attempts=1) as pair:
            helper = pair.helper.entry._helper
            helper.on_message = lambda *_: None  # type: ignore[method-assign]
            answer = await pair.requester.send_request()
            assert answer.status == 200
            assert answer.headers[b"x-missing-parts"] == b"3"
            assert [len(upstream.seen) for upstream in pair.upstreams] == [1] * 3 + [
                0
            ] * 3

    run(test)


def test_unaccepted_task_does_not_affect_accepted_ones() -> None:
    """Guards against accepted groups queried again when another one is not accepted."""

    async def test() -> None:
        async with RequesterAndHelper() as pair:
            release = delay_replies(pair.upstreams[5])
            first = asyncio.ensure_future(
                pair.requester.send_request(request_id="id-1")
            )
            await wait_until(lambda: bool(pair.upstreams[5].seen))
            helper = pair.helper.entry._helper
            helper.on_message = lambda *_: None  # type: ignore[method-assign]
            second = asyncio.ensure_future(
                pair.requester.send_request(request_id="id-2")
            )
            await wait_until(lambda: len(pair.upstreams[5].seen) == 2)
            release.set()
            for answer in (await first, await second):
                assert answer.status == 200
                assert b"x-missing-parts" not in answer.headers
            assert [len(upstream.seen) for upstream in pair.upstreams] == [2] * 6

    run(test)


def accept_tasks(listener: socket.socket, may_answer: threading.Event) -> None:
    """Accept tasks at once, and answer each of them after the event is set.

    This function runs in a thread, so a blocked event loop does not delay it.
    """
    connection, _ = listener.accept()
    decoder = msgspec.msgpack.Decoder(Delegate)
    with connection:
        while head := connection.recv(4, socket.MSG_WAITALL):
            (size,) = struct.unpack("<I", head)
            task = decoder.decode(connection.recv(size, socket.MSG_WAITALL))
            send_message(connection, Accepted(task.task_id))
            may_answer.wait(10)
            stamps = {i: b"h%d" % i for i in range(len(task.shards))}
            merged = Merged(task.task_id, stamps, record(9), True)
            send_message(connection, merged)


async def block_event_loop(duration_s: float, at_start: Callable[[], None]) -> None:
    """Call ``at_start`` in a reader callback, and block the event loop there.

    uvloop runs its timers next.
    """
    ends = socket.socketpair()
    unblocked = asyncio.Event()

    def on_readable() -> None:
        ends[0].recv(1)
        at_start()
        time.sleep(duration_s)
        unblocked.set()

    loop = asyncio.get_running_loop()
    loop.add_reader(ends[0], on_readable)
    ends[1].send(b"x")
    await unblocked.wait()
    loop.remove_reader(ends[0])
    for end in ends:
        end.close()


def send_message(connection: socket.socket, message: object) -> None:
    content = msgspec.msgpack.encode(message)
    connection.sendall(struct.pack("<I", len(content)) + content)


def test_delayed_event_loop_reads_before_it_marks_a_helper_suspect() -> None:
    """Guards against cancelled tasks of a helper that had accepted in time."""

    async def test() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        arguments = (listener, threading.Event())
        threading.Thread(target=accept_tasks, args=arguments, daemon=True).start()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        info = EntryInfo(
            instance="e2", address="x:1", data_centre="b", helper_address=address
        )
        peer = Peer(info=info, clock=SystemClock())
        peer.connect()
        await wait_until(lambda: peer.is_usable)
        failed: list[Delegation] = []
        delegation = Delegation(
            shards=("s",), on_merged=lambda *_: None, on_failed=failed.append
        )

        def start() -> None:
            peer.start_task(
                delegation,
                lambda task_id, round_trip_ms: Delegate(
                    task_id, b"id", b"", b"", ("s",), "r", 100.0, 100.0, 2, 4
                ),
            )

        # The event loop is blocked for longer than a task may take to be accepted.
        await block_event_loop(0.2, start)
        await wait_until(lambda: delegation.is_accepted or bool(failed))
        assert not failed
        peer.close()
        listener.close()

    # uvloop runs timers before it reads; the event loop of asyncio does not.
    uvloop.run(test())


def test_delayed_event_loop_reads_before_it_answers_without_a_group() -> None:
    """Guards against an answer without a group whose parts arrived in time."""

    async def test() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        may_answer = threading.Event()
        arguments = (listener, may_answer)
        threading.Thread(target=accept_tasks, args=arguments, daemon=True).start()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        upstreams = [shard_upstream(index) for index in range(6)]
        route = {**ROUTE, "objective_ms": 1000.0}
        async with EntryHarness(
            *upstreams, route=route, helper_address="127.0.0.1:0"
        ) as harness:
            info = EntryInfo(
                instance="e2",
                address="x:1",
                data_centre="b",
                helper_address=address,
                is_active=True,
            )
            harness.entry.on_update("c", Update(is_current=True, entries=(info,)))
            for upstream in upstreams[3:]:
                changes = {"sequence": 2, "incarnation_ms": 2, "data_centre": "b"}
                harness.announce(harness.registration(upstream, **changes))
            await wait_until(lambda: bool(harness.entry._peers.usable_counts()))
            answer_task = asyncio.ensure_future(harness.send_request())
            await wait_until(lambda: all(upstream.seen for upstream in upstreams[:3]))
            await asyncio.sleep(0.1)
            # The parts arrive in time, while the event loop is blocked until after the
            # objective.
            await block_event_loop(1.2, may_answer.set)
            answer = await answer_task
            assert answer.status == 200
            assert b"x-missing-parts" not in answer.headers
        listener.close()

    # uvloop runs timers before it reads; the event loop of asyncio does not.
    uvloop.run(test())


@pytest.mark.usefixtures("long_accept_timeout")
def test_cancelled_task_is_not_started() -> None:
    """Guards against requests that are sent long after their caller has left."""

    async def test() -> None:
        async with RequesterAndHelper() as pair:
            for upstream in pair.upstreams:
                upstream.reply = never_reply
            _, writer = await pair.requester.connect()
            writer.write(b"GET /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n\r\n")
            await wait_until(lambda: all(upstream.seen for upstream in pair.upstreams))
            writer.close()
            for harness in (pair.requester, pair.helper):
                pools = harness.entry._upstreams._pools.values()
                await wait_until(lambda: not any(p.replica.in_flight for p in pools))  # noqa: B023
            assert pair.helper.entry._helper.open_task_count == 0

    run(test)
