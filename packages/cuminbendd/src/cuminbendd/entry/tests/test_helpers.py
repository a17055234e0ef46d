"""Tests of fan-outs of which another entry instance takes a part."""

import asyncio
import socket
import struct
import threading
import time
from collections.abc import Callable

import msgspec
import pytest
import uvloop
from cuminbend.forwarding import merge_greatest_records

from cuminbendd.entry import _delegation
from cuminbendd.entry._delegation import Delegation, Peer
from cuminbendd.entry._peers import Accepted, Delegate, Merged
from cuminbendd.entry.tests._world import (
    FakeUpstream,
    SeenRequest,
    World,
    ok,
    run,
    until,
)
from cuminbendd.feed import EntryInfo, Update
from cuminbendd.system import SystemClock

SHARDS = tuple(f"s{i}" for i in range(6))
ROUTE = {"shards": SHARDS, "top_k": 4, "min_coverage": 0.5, "objective_ms": 600.0}


@pytest.fixture
def patient(monkeypatch: pytest.MonkeyPatch) -> None:
    """Give helpers all the time that a loaded machine takes.

    A helper counts its time from when it reads the task, so one that reads it late
    answers late. The round trip that it is given covers that here.
    """
    monkeypatch.setattr(_delegation, "_ACCEPT_MARGIN_MS", 10_000.0)
    monkeypatch.setattr(_delegation, "_INITIAL_ROUND_TRIP_MS", 300.0)


def record(value: int) -> bytes:
    return bytes([value]) * 16


def shard(index: int) -> FakeUpstream:
    async def reply(request: SeenRequest) -> bytes:
        return ok(request, record(index) + record(20 + index), b"st%d" % index)

    return FakeUpstream(f"u{index}", SHARDS[index], reply)


async def hang(request: SeenRequest) -> None:
    await asyncio.sleep(30)


def hold(up: FakeUpstream) -> asyncio.Event:
    """Let an upstream answer only once the event is set."""
    release, good = asyncio.Event(), up.reply

    async def late(request: SeenRequest) -> bytes | None:
        await release.wait()
        return await good(request)

    up.reply = late
    return release


class Pair:
    """An instance in a, with the first three shards, and a helper in b."""

    def __init__(self, **route: object) -> None:
        self.ups = [shard(index) for index in range(6)]
        fields = {**ROUTE, **route}
        self.asked = World(*self.ups, route=fields, helper_address="127.0.0.1:0")
        self.helper = World(
            *self.ups, route=fields, name="e2", helper_address="127.0.0.1:0"
        )
        self.helper.upstreams = ()

    async def __aenter__(self) -> "Pair":
        await self.asked.__aenter__()
        await self.helper.__aenter__()
        port = self.helper.entry._helper.port
        entries = tuple(
            EntryInfo(
                instance=name,
                address="x:1",
                data_centre=place,
                helper_address=f"127.0.0.1:{port}",
                is_active=True,
            )
            for name, place in (("e1", "a"), ("e2", "b"))
        )
        for world in (self.asked, self.helper):
            world.entry.on_update("c", Update(is_current=True, entries=entries))
            for index, up in enumerate(self.ups):
                place = "a" if index < 3 else "b"
                world.announce(
                    world.registration(
                        up, sequence=2, incarnation_ms=2, data_centre=place
                    )
                )
        await until(lambda: bool(self.asked.entry._peers.usable()))
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.helper.__aexit__()
        await self.asked.__aexit__()

    def count_tasks(self) -> Callable[[], int]:
        """Count the tasks that the helper gets from now on."""
        counted: list[object] = []
        helper = self.helper.entry._helper
        original = helper.on_message

        def on_message(connection: object, message: object) -> None:
            counted.append(message)
            original(connection, message)  # type: ignore[arg-type]

        helper.on_message = on_message  # type: ignore[method-assign, assignment]
        return lambda: len(counted)


@pytest.mark.usefixtures("patient")
def test_group_is_merged_by_the_helper() -> None:
    """Guards against parts lost or doubled on the way through another instance."""

    async def test() -> None:
        async with Pair() as pair:
            tasks = pair.count_tasks()
            answer = await pair.asked.ask()
            assert answer.status == 200
            records = [record(20 + index) for index in range(6)]
            assert answer.body == merge_greatest_records(records, 4)
            assert len(answer.headers[b"x-part-stamps"].split(b", ")) == 6
            assert tasks() == 1
            assert [len(up.seen) for up in pair.ups] == [1] * 6

    run(test)


@pytest.mark.usefixtures("patient")
def test_helper_answers_in_time_with_what_is_in() -> None:
    """Guards against a whole group that is missing because of one straggler."""

    async def test() -> None:
        async with Pair(max_attempts=1) as pair:
            pair.ups[5].reply = hang
            answer = await pair.asked.ask()
            assert answer.status == 200
            assert answer.headers[b"x-missing-parts"] == b"1"

    run(test)


@pytest.mark.usefixtures("patient")
def test_late_parts_of_a_helper_still_count() -> None:
    """Guards against a failure where the coverage is reached after the objective."""

    async def test() -> None:
        async with Pair(min_coverage=1.0, objective_ms=100.0, max_attempts=1) as pair:
            release = hold(pair.ups[5])
            asking = asyncio.ensure_future(pair.asked.ask())
            await asyncio.sleep(0.2)
            release.set()
            answer = await asking
            assert answer.status == 200
            assert b"x-missing-parts" not in answer.headers

    run(test)


def test_shards_of_a_lost_helper_are_asked_directly() -> None:
    """Guards against a third of the shards missing because one instance is gone."""

    async def test() -> None:
        async with Pair() as pair:
            # It reads tasks and does nothing: a process that stands still.
            helper = pair.helper.entry._helper
            helper.on_message = lambda *_: None  # type: ignore[method-assign]
            answer = await pair.asked.ask()
            assert answer.status == 200
            assert b"x-missing-parts" not in answer.headers
            assert [len(up.seen) for up in pair.ups] == [1] * 6
            assert not pair.asked.entry._peers.usable()

    run(test)


@pytest.mark.usefixtures("patient")
def test_group_of_a_helper_that_ends_is_not_asked_again() -> None:
    """Guards against three attempts at a shard that a helper had asked twice."""

    async def test() -> None:
        async with Pair() as pair:
            pair.ups[5].reply = hang
            asking = [
                asyncio.ensure_future(pair.asked.ask(request_id=f"id-{number}"))
                for number in range(2)
            ]
            await until(lambda: len(pair.ups[5].seen) == 2)
            helper = pair.helper.entry._helper
            helper.close()
            for answer in asking:
                assert (await answer).status == 200
            assert len(pair.ups[5].seen) == 2
            assert helper.open_task_count == 0

    run(test)


def test_group_of_a_route_with_one_attempt_is_not_asked_again() -> None:
    """Guards against a second attempt at a shard of a route that allows one."""

    async def test() -> None:
        async with Pair(max_attempts=1) as pair:
            helper = pair.helper.entry._helper
            helper.on_message = lambda *_: None  # type: ignore[method-assign]
            answer = await pair.asked.ask()
            assert answer.status == 200
            assert answer.headers[b"x-missing-parts"] == b"3"
            assert [len(up.seen) for up in pair.ups] == [1] * 3 + [0] * 3

    run(test)


def test_task_that_is_not_taken_leaves_the_others_alone() -> None:
    """Guards against groups asked again because another request's was not taken."""

    async def test() -> None:
        async with Pair() as pair:
            release = hold(pair.ups[5])
            first = asyncio.ensure_future(pair.asked.ask(request_id="id-1"))
            await until(lambda: bool(pair.ups[5].seen))
            helper = pair.helper.entry._helper
            helper.on_message = lambda *_: None  # type: ignore[method-assign]
            second = asyncio.ensure_future(pair.asked.ask(request_id="id-2"))
            await until(lambda: len(pair.ups[5].seen) == 2)
            release.set()
            for answer in (await first, await second):
                assert answer.status == 200
                assert b"x-missing-parts" not in answer.headers
            assert [len(up.seen) for up in pair.ups] == [2] * 6

    run(test)


def accept_tasks(listener: socket.socket, answer: threading.Event) -> None:
    """Take tasks in a thread of its own, and answer them all when told to."""
    connection, _ = listener.accept()
    decoder = msgspec.msgpack.Decoder(Delegate)
    with connection:
        while head := connection.recv(4, socket.MSG_WAITALL):
            (size,) = struct.unpack("<I", head)
            task = decoder.decode(connection.recv(size, socket.MSG_WAITALL))
            send_message(connection, Accepted(task.task_id))
            answer.wait(10)
            stamps = {i: b"h%d" % i for i in range(len(task.shards))}
            merged = Merged(task.task_id, stamps, record(9), True)
            send_message(connection, merged)


async def stall(duration_s: float, at_start: Callable[[], None]) -> None:
    """Stand still in a reader of the event loop, which runs its timers next."""
    ends = socket.socketpair()
    stalled = asyncio.Event()

    def on_readable() -> None:
        ends[0].recv(1)
        at_start()
        time.sleep(duration_s)
        stalled.set()

    loop = asyncio.get_running_loop()
    loop.add_reader(ends[0], on_readable)
    ends[1].send(b"x")
    await stalled.wait()
    loop.remove_reader(ends[0])
    for end in ends:
        end.close()


def send_message(connection: socket.socket, message: object) -> None:
    content = msgspec.msgpack.encode(message)
    connection.sendall(struct.pack("<I", len(content)) + content)


def test_late_event_loop_reads_before_it_gives_a_helper_up() -> None:
    """Guards against tasks taken back from a helper that had answered in time."""

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
        await until(lambda: peer.is_usable)
        failed: list[Delegation] = []
        delegation = Delegation(
            shards=("s",), on_merged=lambda *_: None, on_failed=failed.append
        )

        def start() -> None:
            peer.start(
                delegation,
                lambda task_id, round_trip_ms: Delegate(
                    task_id, b"id", b"", b"", ("s",), "r", 100.0, 100.0, 2, 4
                ),
            )

        # Longer than a task may take to be accepted.
        await stall(0.2, start)
        await until(lambda: delegation.is_accepted or bool(failed))
        assert not failed
        peer.close()
        listener.close()

    # This event loop runs timers before it reads; the one of asyncio does not.
    uvloop.run(test())


def test_late_event_loop_reads_before_it_answers_without_a_group() -> None:
    """Guards against a group that is left out though it arrived in time."""

    async def test() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        answer = threading.Event()
        arguments = (listener, answer)
        threading.Thread(target=accept_tasks, args=arguments, daemon=True).start()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        ups = [shard(index) for index in range(6)]
        route = {**ROUTE, "objective_ms": 1000.0}
        async with World(*ups, route=route, helper_address="127.0.0.1:0") as world:
            info = EntryInfo(
                instance="e2",
                address="x:1",
                data_centre="b",
                helper_address=address,
                is_active=True,
            )
            world.entry.on_update("c", Update(is_current=True, entries=(info,)))
            for up in ups[3:]:
                changes = {"sequence": 2, "incarnation_ms": 2, "data_centre": "b"}
                world.announce(world.registration(up, **changes))
            await until(lambda: bool(world.entry._peers.usable()))
            asking = asyncio.ensure_future(world.ask())
            await until(lambda: all(up.seen for up in ups[:3]))
            await asyncio.sleep(0.1)
            # The answer comes in time, while the event loop stands still past the
            # objective.
            await stall(1.2, answer.set)
            found = await asking
            assert found.status == 200
            assert b"x-missing-parts" not in found.headers
        listener.close()

    # This event loop runs timers before it reads; the one of asyncio does not.
    uvloop.run(test())


@pytest.mark.usefixtures("patient")
def test_cancelled_task_is_not_started() -> None:
    """Guards against requests that reach upstreams long after their caller left."""

    async def test() -> None:
        async with Pair() as pair:
            for up in pair.ups:
                up.reply = hang
            _, writer = await pair.asked.connect()
            writer.write(b"GET /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n\r\n")
            await until(lambda: all(up.seen for up in pair.ups))
            writer.close()
            for world in (pair.asked, pair.helper):
                pools = world.entry._upstreams._pools.values()
                await until(lambda: not any(p.replica.in_flight for p in pools))  # noqa: B023
            assert pair.helper.entry._helper.open_task_count == 0

    run(test)
