"""The data folder on a local file system."""

import errno
import os
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import anyio.to_thread
from cuminbend.exceptions import DiskError

T = TypeVar("T")


class FileDisk:
    """Implements :class:`cuminbend.ports.Disk` on one folder.

    Every write runs in a worker thread, so that a slow sync does not block the event
    loop. All methods raise :class:`cuminbend.exceptions.DiskError` if the folder cannot
    be read or written.
    """

    def __init__(self, *, folder: Path) -> None:
        self._folder = folder

    def list_files(self) -> list[str]:
        """Return the names of all files, sorted; create the folder if it is missing."""
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            return sorted(path.name for path in self._folder.iterdir())
        except OSError as error:
            raise _disk_error(self._folder, error) from error

    def read(self, name: str) -> bytes:
        """Return the content of a file.

        Raises:
            FileNotFoundError: If there is no such file.
        """
        try:
            return (self._folder / name).read_bytes()
        except FileNotFoundError:
            raise
        except OSError as error:
            raise _disk_error(self._folder / name, error) from error

    async def append(self, name: str, data: bytes) -> None:
        """Append to a file and sync it; create the file if it is missing."""
        await self._run_in_thread(name, lambda path: _append_to_file(path, data))

    async def replace(self, name: str, data: bytes) -> None:
        """Replace the content of a file atomically and sync it."""
        await self._run_in_thread(name, lambda path: _replace_file(path, data))

    async def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file to ``size_bytes`` and sync it."""
        await self._run_in_thread(name, lambda path: _truncate_file(path, size_bytes))

    async def delete(self, name: str) -> None:
        """Delete a file and sync the folder; a missing file is no error."""
        await self._run_in_thread(name, _delete_file)

    async def _run_in_thread(self, name: str, action: Callable[[Path], T]) -> T:
        path = self._folder / name
        try:
            return await anyio.to_thread.run_sync(action, path)
        except OSError as error:
            raise _disk_error(path, error) from error


def _append_to_file(path: Path, data: bytes) -> None:
    is_new = not path.exists()
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
    try:
        _write_all(descriptor, data)
        os.fdatasync(descriptor)
    finally:
        os.close(descriptor)
    if is_new:
        _sync_folder(path.parent)


def _replace_file(path: Path, data: bytes) -> None:
    temporary_path = path.with_name(path.name + ".new")
    descriptor = os.open(temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
    try:
        _write_all(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    temporary_path.replace(path)
    _sync_folder(path.parent)


def _truncate_file(path: Path, size_bytes: int) -> None:
    descriptor = os.open(path, os.O_WRONLY)
    try:
        os.ftruncate(descriptor, size_bytes)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _delete_file(path: Path) -> None:
    path.unlink(missing_ok=True)
    _sync_folder(path.parent)


def _write_all(descriptor: int, data: bytes) -> None:
    remaining = memoryview(data)
    while remaining:
        written_count = os.write(descriptor, remaining)
        remaining = remaining[written_count:]


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _disk_error(path: Path, error: OSError) -> DiskError:
    if error.errno == errno.ENOSPC:
        return DiskError(f"{path}: the disk is full; free space and restart")
    return DiskError(f"{path}: {error.strerror}; check the folder and its owner")
