"""Tests of the files of the control log: crashes, full disks and damage."""

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
from cuminbend.consensus.tests._fakes import DiskHandle, FakeDisk, ProcessKilled
from cuminbend.exceptions import CorruptDataError, DiskError

VOTERS = (Voter("a", "disk-1"), Voter("b", "disk-2"))


def make_entry(index: int, term: int = 1, size_bytes: int = 20) -> Entry:
    return Entry(index, term, "command", bytes([index % 256]) * size_bytes, 1.5 * index)


def make_voters_entry() -> Entry:
    return Entry(1, 1, "voters", encode_voters(VOTERS), 0.0)


def new_storage(disk: FakeDisk, instance: str = "a") -> LogStorage:
    return LogStorage(
        disk=DiskHandle(disk), instance=instance, new_disk_id=lambda: "disk-1"
    )


async def open_storage(disk: FakeDisk) -> LogStorage:
    storage = new_storage(disk)
    await storage.open()
    return storage


async def filled_storage(disk: FakeDisk, count: int = 5) -> LogStorage:
    storage = await open_storage(disk)
    await storage.save_vote(1, None)
    await storage.append([make_voters_entry(), *map(make_entry, range(2, count + 1))])
    return storage


def log_file_name(disk: FakeDisk) -> str:
    return next(name for name in disk.files if name.startswith("consensus-log"))


def entries_of(storage: LogStorage) -> tuple[Entry, ...]:
    return storage.entries(storage.first_index, 10_000)


def state_of(storage: LogStorage) -> tuple[object, ...]:
    return (
        storage.term,
        storage.voted_for,
        storage.snapshot,
        entries_of(storage),
        storage.voters,
    )


def run_on_fake_disk(
    test: Callable[[FakeDisk], Awaitable[None]], seed: int = 1
) -> None:
    trio.run(test, FakeDisk(random.Random(seed)))


def test_torn_tail_is_cut_off() -> None:
    """Guards against a voter that refuses to start, or keeps half a record.

    A crash within an append leaves part of a record, or zero bytes in its place.
    """

    async def test(disk: FakeDisk) -> None:
        storage = await filled_storage(disk)
        name, whole = log_file_name(disk), disk.files[log_file_name(disk)]
        size_bytes = len(whole)
        await storage.append([make_entry(6)])
        longer = disk.files[name]
        for end in range(size_bytes, len(longer)):
            for tail in (b"", bytes(len(longer) - end) if end == size_bytes else b""):
                disk.files[name] = longer[:end] + tail
                assert (await open_storage(disk)).last_index == 5
                assert disk.files[name] == whole

    run_on_fake_disk(test)


def test_damaged_record_is_refused() -> None:
    """Guards against entries that vanish or change because a bit flipped."""

    async def test(disk: FakeDisk) -> None:
        await filled_storage(disk)
        for name in list(disk.files):
            whole = disk.files[name]
            for position in range(len(whole)):
                damaged = bytearray(whole)
                damaged[position] ^= 0x10
                disk.files[name] = bytes(damaged)
                with pytest.raises(CorruptDataError, match="aside"):
                    await open_storage(disk)
            disk.files[name] = whole

    run_on_fake_disk(test)


def test_missing_files_are_refused() -> None:
    """Guards against a voter that starts although part of its files are missing."""

    async def test(disk: FakeDisk) -> None:
        storage = await filled_storage(disk)
        for first in (6, 11, 16):
            await storage.save_snapshot(LogSnapshot(first - 1, 1, VOTERS, b"state"))
            await storage.append(list(map(make_entry, range(first, first + 5))))
        segments = [name for name in disk.files if name.startswith("consensus-log")]
        assert len(segments) == 2
        for name in ("consensus-identity", "consensus-vote", "consensus-snapshot"):
            content = disk.files.pop(name)
            with pytest.raises(CorruptDataError, match="aside"):
                await open_storage(disk)
            disk.files[name] = content
        first_segment = disk.files[segments[0]]
        disk.files[segments[0]] = first_segment[:-1]
        with pytest.raises(CorruptDataError, match="aside"):
            await open_storage(disk)
        disk.files[segments[0]] = first_segment[: len(first_segment) // 5 * 4]
        with pytest.raises(CorruptDataError, match="aside"):
            await open_storage(disk)

    run_on_fake_disk(test)


def test_folder_of_another_instance_is_refused() -> None:
    """Guards against an instance that votes with the disk of another one."""

    async def test(disk: FakeDisk) -> None:
        await filled_storage(disk)
        with pytest.raises(CorruptDataError, match="instance a, not to b"):
            await new_storage(disk, "b").open()

    run_on_fake_disk(test)


STEPS: list[Callable[[LogStorage], Awaitable[None]]] = [
    lambda s: s.save_vote(1, None),
    lambda s: s.append([make_voters_entry(), make_entry(2), make_entry(3)]),
    lambda s: s.save_vote(2, VOTERS[1]),
    lambda s: s.append([make_entry(i, 2) for i in range(4, 9)]),
    lambda s: s.truncate_from(6),
    lambda s: s.append([make_entry(6, 3), make_entry(7, 3)]),
    lambda s: s.save_snapshot(LogSnapshot(6, 3, VOTERS, b"one")),
    lambda s: s.append([make_entry(8, 3), make_entry(9, 3)]),
    lambda s: s.save_snapshot(LogSnapshot(8, 3, VOTERS, b"two")),
    lambda s: s.append([make_entry(10, 3)]),
    lambda s: s.append([make_entry(11, 3)]),
    lambda s: s.truncate_from(9),
    lambda s: s.append([make_entry(9, 4)]),
    lambda s: s.save_snapshot(LogSnapshot(20, 4, VOTERS[:1], b"three")),
    lambda s: s.append([make_entry(21, 4)]),
]


def is_between(state: LogStorage, before: LogStorage, after: LogStorage) -> bool:
    """Return whether ``state`` is a valid result of a crash within a step.

    The term, vote and snapshot must be those before or after the step. The log may lack
    entries at its end, and a crash within a compaction may leave entries that the
    snapshot covers.
    """
    covered = state.snapshot.index if state.snapshot else 0
    if state.last_index < covered:
        return False
    heads = [(s.term, s.voted_for, s.snapshot) for s in (state, before, after)]
    known = {*entries_of(before), *entries_of(after)}
    logs = [
        [entry for entry in entries_of(storage) if entry.index > covered]
        for storage in (before, after, state)
    ]
    longer = max(logs[:2], key=len)
    return (
        heads[0] in heads[1:]
        and known.issuperset(entries_of(state))
        and logs[2] == longer[: len(logs[2])]
    )


@pytest.mark.parametrize("segment_size_bytes", [1, _storage.SEGMENT_SIZE_BYTES])
@pytest.mark.parametrize("seed", range(15))
def test_kill_at_every_write(
    seed: int, segment_size_bytes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a crash that leaves files which match no state of the log.

    The process is killed at each write of a sequence of operations in turn.
    """
    monkeypatch.setattr(_storage, "SEGMENT_SIZE_BYTES", segment_size_bytes)

    async def test(disk: FakeDisk) -> None:
        disk.latency_ms = 0
        kill_at_write = 0
        while True:
            kill_at_write += 1
            disk.files.clear()
            disk.write_count, disk.kill_at_write = 0, kill_at_write
            reference = FakeDisk(random.Random(0))
            reference.latency_ms = 0
            storage, expected = new_storage(disk), new_storage(reference)
            await expected.open()
            step = None
            try:
                await storage.open()
                for step in STEPS:
                    await step(storage)
                    await step(expected)
                return
            except ProcessKilled:
                pass
            disk.kill_at_write = None
            before = await open_storage(reference)
            if step is not None:
                await step(expected)
            assert is_between(await open_storage(disk), before, expected), kill_at_write
            # A second start must find the same state and be able to append to it.
            again = await open_storage(disk)
            assert is_between(again, before, expected), kill_at_write
            await again.save_vote(9, None)
            await again.append([make_entry(again.last_index + 1, 9)])
            assert state_of(await open_storage(disk)) == state_of(again), kill_at_write

    run_on_fake_disk(test, seed)


@pytest.mark.parametrize("index", [3, 9])
def test_installed_snapshot_replaces_the_log(index: int) -> None:
    """Guards against entries that conflict with an installed snapshot but are kept."""

    async def test(disk: FakeDisk) -> None:
        storage = await filled_storage(disk)
        await storage.save_snapshot(LogSnapshot(index, 7, VOTERS[:1], b"state"))
        for current in (storage, await open_storage(disk)):
            assert (current.last_index, current.last_term) == (index, 7)
            assert current.voters == VOTERS[:1]
            assert entries_of(current) == ()
        await storage.append([make_entry(index + 1, 8)])
        assert state_of(await open_storage(disk)) == state_of(storage)

    run_on_fake_disk(test)


@pytest.mark.parametrize("fails_all_writes", [False, True])
@pytest.mark.parametrize("seed", range(10))
def test_full_disk(seed: int, fails_all_writes: bool) -> None:
    """Guards against entries written after the remains of a failed append.

    A full disk writes part of the data. With ``fails_all_writes`` the remains cannot be
    removed at once either.
    """

    async def test(disk: FakeDisk) -> None:
        storage = await filled_storage(disk)
        disk.is_full, disk.fails_all_writes = True, fails_all_writes
        for _ in range(3):
            with pytest.raises(DiskError):
                await storage.append([make_entry(6), make_entry(7)])
            assert storage.last_index == 5
            with pytest.raises(DiskError):
                await storage.save_vote(9, VOTERS[0])
            assert storage.term == 1
        disk.fails_all_writes = False
        with pytest.raises(DiskError):
            await storage.check_writable()
        disk.is_full = False
        await storage.check_writable()
        await storage.append([make_entry(6, 2)])
        assert state_of(await open_storage(disk)) == state_of(storage)

    run_on_fake_disk(test, seed)


def test_folder_stays_bounded() -> None:
    """Guards against a log that fills the disk because snapshots do not shorten it."""

    async def test(disk: FakeDisk) -> None:
        disk.latency_ms = 0
        storage = await filled_storage(disk)
        sizes = []
        for index in range(6, 5006):
            await storage.append([make_entry(index, size_bytes=200)])
            if index % 500 == 0:
                await storage.save_snapshot(LogSnapshot(index, 1, VOTERS, b"state"))
                sizes.append(disk.size_bytes)
        assert max(sizes) < 300_000
        assert len(disk.files) <= 5
        again = await open_storage(disk)
        assert state_of(again) == state_of(storage)
        assert again.last_index == 5005

    run_on_fake_disk(test)
