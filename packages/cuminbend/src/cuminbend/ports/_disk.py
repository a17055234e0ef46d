"""Protocol for the files of the data folder."""

from typing import Protocol


class Disk(Protocol):
    """One flat folder of files.

    Names are plain file names. Methods raise :class:`cuminbend.exceptions.DiskError`
    when the folder cannot be read or written, for instance because it is full.
    """

    def list_files(self) -> list[str]:
        """Return the names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """Return the content of a file.

        Raises:
            FileNotFoundError: If there is no such file.
        """

    async def append(self, name: str, data: bytes) -> None:
        """Append to a file and sync it; sync the folder too if the file is new."""

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically by ``data`` and sync the file and the folder.

        After a crash the file has either its old or its new content.
        """

    async def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file to ``size_bytes`` and sync it."""

    async def delete(self, name: str) -> None:
        """Delete a file and sync the folder; a missing file is no error."""
