"""The feed between a control instance and its readers, on loopback."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
from cuminbend.newest import StoredConfiguration

from cuminbendd.channel import ChannelServer
from cuminbendd.feed import (
    CODEC,
    ControlInfo,
    EntryInfo,
    FeedClient,
    FeedServer,
    Hello,
    Status,
    Update,
    _client,
    _server,
)
from cuminbendd.system import SystemClock

ENTRIES = tuple(
    EntryInfo(instance=f"e{number}", address=f"x:{number}", data_centre="a")
    for number in range(50)
)


class Source:
    """State of a control instance that tests change."""

    def __init__(self, events: list[str], name: str) -> None:
        self.events = events
        self.name = name
        self.is_current = True
        self.stored_configuration = StoredConfiguration(version=1, content=b"-")
        self.evacuated: frozenset[str] = frozenset()
        self.revision = 0
        self.known = ENTRIES

    def changes_since(self, revision, *, only_held_here):
        """Return no registrations."""
        return ()

    def entries(self, *, only_held_here):
        """Return the directory."""
        return self.known

    def controls(self):
        """Return no other control instances."""
        return ()

    def set_entry(self, entry, *, is_available, reader):
        """Note that a reader is there."""
        if f"{self.name} set" not in self.events:
            self.events.append(f"{self.name} set")

    def remove_entry(self, entry, *, reader):
        """Note that a reader has left."""
        self.events.append(f"{self.name} removed")

    def add_control(self, control):
        """Ignore other control instances."""


class Sink:
    """Keeps the updates that arrive."""

    def __init__(self) -> None:
        self.updates: list[Update] = []

    def hello(self):
        """Present an entry instance."""
        return Hello(
            instance="e0", data_centre="a", entry=ENTRIES[0], control=None, version=0
        )

    def status(self):
        """Return a heartbeat."""
        return Status(is_available=True, is_busy=False, is_active=True, version=1)

    def on_update(self, source, update):
        """Keep the update."""
        self.updates.append(update)

    def on_source_lost(self, source):
        """Nothing to forget."""


class Sender:
    """A control instance that publishes a source."""

    def __init__(self, source: Source) -> None:
        self.source = source
        self.feed = FeedServer(source=source, clock=SystemClock())
        self._channel = ChannelServer(
            codec=CODEC, on_call=self._no_call, on_stream=self.feed.serve
        )

    async def _no_call(self, request):
        raise NotImplementedError

    async def start(self) -> str:
        """Listen and return the address."""
        await self._channel.start("127.0.0.1", 0)
        return f"127.0.0.1:{self._channel.port}"

    async def close(self) -> None:
        """Stop listening."""
        await self._channel.close()


def start_reading(sink: Sink, candidates: Callable[[], list[str]], **options):
    """Return a client that reads from the candidates, and its task."""
    client = FeedClient(
        sink=sink, clock=SystemClock(), candidates=candidates, **options
    )
    return client, asyncio.ensure_future(client.run())


async def until(ready: Callable[[], bool]) -> None:
    """Wait for a condition."""
    while not ready():  # noqa: ASYNC110
        await asyncio.sleep(0.005)


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run an asynchronous test."""
    asyncio.run(asyncio.wait_for(test(), 30))


def test_change_of_one_entry_costs_one_entry():
    # Guards against a directory that travels whole for each change: with 73 entry
    # instances that took two thirds of the bytes between data centres.
    source = Source([], "a")
    server = FeedServer(source=source, clock=SystemClock())
    sent = _server._Sent()
    assert server._next_update(sent, is_control=False).entries == ENTRIES
    busy = replace(ENTRIES[7], is_busy=True)
    source.known = (*ENTRIES[:7], busy, *ENTRIES[8:-1])
    update = server._next_update(sent, is_control=False)
    assert update.entries == (busy,)
    assert update.entries_gone == ("e49",)
    assert server._next_update(sent, is_control=False).entries is None


def test_reader_sees_the_whole_directory_after_a_change():
    # Guards against a reader that takes a change for the whole directory.
    async def test():
        sender, sink = Sender(Source([], "a")), Sink()
        address = await sender.start()
        client, reading = start_reading(sink, lambda: [address])
        await until(lambda: bool(sink.updates))
        busy = replace(ENTRIES[7], is_busy=True)
        expected = {entry.instance: entry for entry in ENTRIES[:-1]} | {"e7": busy}
        sender.source.known = tuple(expected.values())
        sender.feed.notify()
        await until(lambda: sink.updates[-1].entries is not None and client.source)
        await until(lambda: sum(u.entries is not None for u in sink.updates) == 2)
        last = [u.entries for u in sink.updates if u.entries is not None][-1]
        assert {entry.instance: entry for entry in last} == expected
        reading.cancel()
        await sender.close()

    run(test)


def test_reader_hears_nothing_of_what_concerns_others(monkeypatch):
    # Guards against a message to each control instance for every change of any.
    monkeypatch.setattr(_server, "HEARTBEAT_MS", 60_000.0)
    monkeypatch.setattr(_client, "SILENCE_MS", 60_000.0)

    async def test():
        sender, sink = Sender(Source([], "a")), Sink()
        address = await sender.start()
        _, reading = start_reading(sink, lambda: [address])
        await until(lambda: bool(sink.updates))
        for _ in range(5):
            sender.feed.notify()
            await asyncio.sleep(0.03)
        sender.source.evacuated = frozenset({"b"})
        sender.feed.notify()
        await until(lambda: sink.updates[-1].evacuated == ("b",))
        assert len(sink.updates) == 2
        reading.cancel()
        await sender.close()

    run(test)


def test_reader_moves_to_its_own_data_centre_without_a_gap(monkeypatch):
    # Guards against entry instances that read another data centre's feed for ever,
    # and against leaving the directory on the way.
    monkeypatch.setattr(_client, "_MOVE_INTERVAL_MS", 20.0)

    async def test():
        events: list[str] = []
        far, near = Sender(Source(events, "far")), Sender(Source(events, "near"))
        far_address, near_address = await far.start(), await near.start()
        client, reading = start_reading(
            Sink(),
            lambda: [far_address],
            preferred=lambda held: near_address if held != near_address else None,
        )
        await until(lambda: "far removed" in events)
        assert client.source == near_address
        await until(lambda: "near set" in events)
        assert events == ["far set", "near set", "far removed"]
        reading.cancel()
        for sender in (far, near):
            await sender.close()

    run(test)


@pytest.mark.parametrize("is_down", [True, False])
def test_reader_stays_if_the_preferred_sender_cannot_take_over(monkeypatch, is_down):
    # Guards against leaving a good sender for one that is out of touch or down.
    monkeypatch.setattr(_client, "_MOVE_INTERVAL_MS", 20.0)

    async def test():
        events: list[str] = []
        good, bad = Sender(Source(events, "good")), Sender(Source(events, "bad"))
        good_address, bad_address = await good.start(), await bad.start()
        bad.source.is_current = False
        if is_down:
            await bad.close()
        asked = []

        def preferred(held):
            asked.append(held)
            return bad_address

        client, reading = start_reading(
            Sink(), lambda: [good_address], preferred=preferred
        )
        await until(lambda: len(asked) >= 3)
        assert set(asked) == {good_address}
        assert client.source == good_address
        reading.cancel()
        await good.close()
        await bad.close()

    run(test)


def test_control_info_is_sent_whole():
    # Guards against a message that the other end cannot decode.
    control = ControlInfo(address="a", announce_address="b", data_centre="c")
    update = Update(
        is_current=True,
        entries=(ENTRIES[0],),
        entries_gone=("e1",),
        controls=(control,),
    )
    frame = CODEC.encode(3, update)
    assert CODEC.decode(frame[4:]) == (3, update)


def test_registrations_from_before_the_group_was_in_touch_are_not_lost():
    # Guards against upstreams that an entry instance never hears of: it ignores what
    # comes from an instance out of touch, which counted as sent all the same.
    source = Source([], "a")
    server = FeedServer(source=source, clock=SystemClock())
    sent = _server._Sent()
    source.is_current = False
    source.revision = 3
    source.changes_since = lambda revision, *, only_held_here: (
        ("news",) * (3 - revision)
    )
    early = server._next_update(sent, is_control=False)
    assert not early.is_current
    assert not early.registrations
    source.is_current = True
    update = server._next_update(sent, is_control=False)
    assert update.is_full
    assert update.registrations == ("news",) * 3
    assert update.entries == ENTRIES


def test_candidates_are_read_again_after_a_loss(monkeypatch):
    # Guards against trying the seeds of the first start one by one, each out of touch
    # for a second and a half, while an instance that is in touch is known.
    monkeypatch.setattr(_server, "HEARTBEAT_MS", 20.0)
    monkeypatch.setattr(_client, "_STALE_MS", 50.0)
    monkeypatch.setattr(_client, "_NEVER_CURRENT_MS", 60_000.0)
    monkeypatch.setattr(_client, "_RETRY_MS", 1.0)

    async def test():
        events: list[str] = []
        senders = [Sender(Source(events, name)) for name in ("first", "cut", "good")]
        first, cut, good = [await sender.start() for sender in senders]
        senders[1].source.is_current = False
        lists = [[first, cut], [first, cut, good]]
        client, reading = start_reading(
            Sink(), lambda: list(lists[0]) if not client.source else []
        )
        await until(lambda: client.source == first)
        lists[0] = [first, good, cut]
        senders[0].source.is_current = False
        await until(lambda: client.source == good)
        assert "cut set" not in events
        reading.cancel()
        for sender in senders:
            await sender.close()

    run(test)


def test_sender_that_is_not_in_touch_is_left_soon(monkeypatch):
    # Guards against waiting long for each of several instances that are cut off.
    monkeypatch.setattr(_server, "HEARTBEAT_MS", 20.0)
    monkeypatch.setattr(_client, "_STALE_MS", 60_000.0)
    monkeypatch.setattr(_client, "_NEVER_CURRENT_MS", 50.0)

    async def test():
        senders = [Sender(Source([], name)) for name in ("cut", "good")]
        cut, good = [await sender.start() for sender in senders]
        senders[0].source.is_current = False
        client, reading = start_reading(Sink(), lambda: [cut, good])
        await until(lambda: client.source == good)
        reading.cancel()
        for sender in senders:
            await sender.close()

    run(test)
