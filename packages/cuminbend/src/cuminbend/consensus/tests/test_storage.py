"""Tests of the files of the control log under crashes and damage."""

import random
from collections.abc import Awaitable, Callable

import pytest
import trio

from cuminbend.consensus import (
    Entry,
    LogSnapshot,
    LogStorage,
    Voter,
    _storage,
    encode_voters,
)
from cuminbend.consensus.tests._fakes import DiskHandle, FakeDisk, Killed
from cuminbend.exceptions import CorruptDataError, DiskError

VOTERS = (Voter("a", "disk-1"), Voter("b", "disk-2"))


def entry(index: int, term: int = 1, size_bytes: int = 20) -> Entry:
    return Entry(index, term, "command", bytes([index % 256]) * size_bytes, 1.5 * index)


def first_entry() -> Entry:
    return Entry(1, 1, "voters", encode_voters(VOTERS), 0.0)


def storage_on(disk: FakeDisk, instance: str = "a") -> LogStorage:
    return LogStorage(
        disk=DiskHandle(disk), instance=instance, new_disk_id=lambda: "disk-1"
    )


async def reopened(disk: FakeDisk) -> LogStorage:
    storage = storage_on(disk)
    await storage.open()
    return storage


async def filled(disk: FakeDisk, count: int = 5) -> LogStorage:
    storage = await reopened(disk)
    await storage.save_vote(1, None)
    await storage.append([first_entry(), *map(entry, range(2, count + 1))])
    return storage


def log_file(disk: FakeDisk) -> str:
    return next(name for name in disk.files if name.startswith("consensus-log"))


def log_of(storage: LogStorage) -> tuple[Entry, ...]:
    return storage.entries(storage.first_index, 10_000)


def state_of(storage: LogStorage) -> tuple[object, ...]:
    return (
        storage.term,
        storage.voted_for,
        storage.snapshot,
        log_of(storage),
        storage.voters,
    )


def run(test: Callable[[FakeDisk], Awaitable[None]], seed: int = 1) -> None:
    trio.run(test, FakeDisk(random.Random(seed)))


def test_torn_tail_is_cut_off() -> None:
    """Guards against a voter that refuses to start, or keeps half a record."""

    async def test(disk: FakeDisk) -> None:
        storage = await filled(disk)
        name, whole = log_file(disk), disk.files[log_file(disk)]
        size_bytes = len(whole)
        await storage.append([entry(6)])
        longer = disk.files[name]
        for end in range(size_bytes, len(longer)):
            for tail in (b"", bytes(len(longer) - end) if end == size_bytes else b""):
                disk.files[name] = longer[:end] + tail
                assert (await reopened(disk)).last_index == 5
                assert disk.files[name] == whole

    run(test)


def test_damaged_record_is_refused() -> None:
    """Guards against entries that vanish or change because a bit flipped."""

    async def test(disk: FakeDisk) -> None:
        await filled(disk)
        for name in list(disk.files):
            whole = disk.files[name]
            for position in range(len(whole)):
                damaged = bytearray(whole)
                damaged[position] ^= 0x10
                disk.files[name] = bytes(damaged)
                with pytest.raises(CorruptDataError, match="aside"):
                    await reopened(disk)
            disk.files[name] = whole

    run(test)


def test_missing_files_are_refused() -> None:
    """Guards against a voter that starts on part of its folder."""

    async def test(disk: FakeDisk) -> None:
        storage = await filled(disk)
        for first in (6, 11, 16):
            await storage.save_snapshot(LogSnapshot(first - 1, 1, VOTERS, b"state"))
            await storage.append(list(map(entry, range(first, first + 5))))
        segments = [name for name in disk.files if name.startswith("consensus-log")]
        assert len(segments) == 2
        for name in ("consensus-identity", "consensus-vote", "consensus-snapshot"):
            content = disk.files.pop(name)
            with pytest.raises(CorruptDataError, match="aside"):
                await reopened(disk)
            disk.files[name] = content
        first_segment = disk.files[segments[0]]
        disk.files[segments[0]] = first_segment[:-1]
        with pytest.raises(CorruptDataError, match="aside"):
            await reopened(disk)
        disk.files[segments[0]] = first_segment[: len(first_segment) // 5 * 4]
        with pytest.raises(CorruptDataError, match="aside"):
            await reopened(disk)

    run(test)


def test_folder_of_another_instance_is_refused() -> None:
    """Guards against an instance that votes with the disk of another one."""

    async def test(disk: FakeDisk) -> None:
        await filled(disk)
        with pytest.raises(CorruptDataError, match="instance a, not to b"):
            await storage_on(disk, "b").open()

    run(test)


STEPS: list[Callable[[LogStorage], Awaitable[None]]] = [
    lambda s: s.save_vote(1, None),
    lambda s: s.append([first_entry(), entry(2), entry(3)]),
    lambda s: s.save_vote(2, VOTERS[1]),
    lambda s: s.append([entry(i, 2) for i in range(4, 9)]),
    lambda s: s.truncate_from(6),
    lambda s: s.append([entry(6, 3), entry(7, 3)]),
    lambda s: s.save_snapshot(LogSnapshot(6, 3, VOTERS, b"one")),
    lambda s: s.append([entry(8, 3), entry(9, 3)]),
    lambda s: s.save_snapshot(LogSnapshot(8, 3, VOTERS, b"two")),
    lambda s: s.append([entry(10, 3)]),
    lambda s: s.append([entry(11, 3)]),
    lambda s: s.truncate_from(9),
    lambda s: s.append([entry(9, 4)]),
    lambda s: s.save_snapshot(LogSnapshot(20, 4, VOTERS[:1], b"three")),
    lambda s: s.append([entry(21, 4)]),
]


def is_between(state: LogStorage, before: LogStorage, after: LogStorage) -> bool:
    """Whether ``state`` is that before or after a step, or has part of its log.

    A crash within a compaction may leave entries that the snapshot covers.
    """
    covered = state.snapshot.index if state.snapshot else 0
    if state.last_index < covered:
        return False
    heads = [(s.term, s.voted_for, s.snapshot) for s in (state, before, after)]
    known = {*log_of(before), *log_of(after)}
    logs = [
        [item for item in log_of(storage) if item.index > covered]
        for storage in (before, after, state)
    ]
    longer = max(logs[:2], key=len)
    return (
        heads[0] in heads[1:]
        and known.issuperset(log_of(state))
        and logs[2] == longer[: len(logs[2])]
    )


@pytest.mark.parametrize("segment_size_bytes", [1, _storage.SEGMENT_SIZE_BYTES])
@pytest.mark.parametrize("seed", range(15))
def test_kill_at_every_write(
    seed: int, segment_size_bytes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a crash that leaves a folder which never was a valid state."""
    monkeypatch.setattr(_storage, "SEGMENT_SIZE_BYTES", segment_size_bytes)

    async def test(disk: FakeDisk) -> None:
        disk.latency_ms = 0
        kill_at = 0
        while True:
            kill_at += 1
            disk.files.clear()
            disk.writes, disk.kill_at = 0, kill_at
            reference = FakeDisk(random.Random(0))
            reference.latency_ms = 0
            storage, expected = storage_on(disk), storage_on(reference)
            await expected.open()
            step = None
            try:
                await storage.open()
                for step in STEPS:
                    await step(storage)
                    await step(expected)
                return
            except Killed:
                pass
            disk.kill_at = None
            before = await reopened(reference)
            if step is not None:
                await step(expected)
            assert is_between(await reopened(disk), before, expected), kill_at
            # A second start must find the same, and the log must go on from there.
            again = await reopened(disk)
            assert is_between(again, before, expected), kill_at
            await again.save_vote(9, None)
            await again.append([entry(again.last_index + 1, 9)])
            assert state_of(await reopened(disk)) == state_of(again), kill_at

    run(test, seed)


@pytest.mark.parametrize("index", [3, 9])
def test_installed_snapshot_replaces_the_log(index: int) -> None:
    """Guards against entries of another history that stay beside a snapshot."""

    async def test(disk: FakeDisk) -> None:
        storage = await filled(disk)
        await storage.save_snapshot(LogSnapshot(index, 7, VOTERS[:1], b"state"))
        for current in (storage, await reopened(disk)):
            assert (current.last_index, current.last_term) == (index, 7)
            assert current.voters == VOTERS[:1]
            assert log_of(current) == ()
        await storage.append([entry(index + 1, 8)])
        assert state_of(await reopened(disk)) == state_of(storage)

    run(test)


@pytest.mark.parametrize("stuck", [False, True])
@pytest.mark.parametrize("seed", range(10))
def test_full_disk(seed: int, stuck: bool) -> None:
    """Guards against the remains of a failed append, which later ones would follow."""

    async def test(disk: FakeDisk) -> None:
        storage = await filled(disk)
        disk.full, disk.stuck = True, stuck
        for _ in range(3):
            with pytest.raises(DiskError):
                await storage.append([entry(6), entry(7)])
            assert storage.last_index == 5
            with pytest.raises(DiskError):
                await storage.save_vote(9, VOTERS[0])
            assert storage.term == 1
        disk.stuck = False
        with pytest.raises(DiskError):
            await storage.check_writable()
        disk.full = False
        await storage.check_writable()
        await storage.append([entry(6, 2)])
        assert state_of(await reopened(disk)) == state_of(storage)

    run(test, seed)


def test_folder_stays_bounded() -> None:
    """Guards against a log that fills the disk."""

    async def test(disk: FakeDisk) -> None:
        disk.latency_ms = 0
        storage = await filled(disk)
        sizes = []
        for index in range(6, 5006):
            await storage.append([entry(index, size_bytes=200)])
            if index % 500 == 0:
                await storage.save_snapshot(LogSnapshot(index, 1, VOTERS, b"state"))
                sizes.append(disk.size_bytes)
        assert max(sizes) < 300_000
        assert len(disk.files) <= 5
        again = await reopened(disk)
        assert state_of(again) == state_of(storage)
        assert again.last_index == 5005

    run(test)
