"""Access to the file system: the few calls of the store, each of which can fail or block.

`FaultInjectingFileSystem` injects faults under a real store, for drills and for the laboratory.
"""

from __future__ import annotations

import errno
import fcntl
import os
import time
from pathlib import Path

import msgspec

from shaletiller.store.errors import StoreLockedError

FILE_MODE = 0o640  # the operator's group may read a store, others may not: it holds clients' data


class FileSystem:
    """The calls of the store; each raises OSError as the operating system does."""

    def open_append(self, path: Path) -> int:
        """Open a file for appending, and create it where it does not exist.

        :returns: a file descriptor.
        """
        return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)

    def write(self, file: int, data: bytes) -> None:
        """Write all of `data`.

        :raises OSError: if not all of it could be written; some of it may have been.
        """
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(file, remaining) :]

    def sync(self, file: int) -> None:
        """Make the data of a file durable."""
        os.fdatasync(file)

    def truncate(self, file: int, size: int) -> None:
        """Cut a file to `size` bytes."""
        os.ftruncate(file, size)

    def close(self, file: int) -> None:
        """Close a file descriptor, and release its lock."""
        os.close(file)

    def read(self, path: Path) -> bytes:
        """Read a whole file."""
        return path.read_bytes()

    def list_names(self, directory: Path) -> list[str]:
        """List the names in a directory, sorted."""
        return sorted(os.listdir(directory))

    def rename(self, old: Path, new: Path) -> None:
        """Rename a file atomically, replacing `new`."""
        os.replace(old, new)

    def remove(self, path: Path) -> None:
        """Remove a file, if it exists."""
        path.unlink(missing_ok=True)

    def sync_directory(self, directory: Path) -> None:
        """Make the creations, renames and removals in a directory durable."""
        file = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(file)
        finally:
            os.close(file)

    def lock(self, path: Path) -> int:
        """Lock a file until it is closed or the process ends.

        :returns: a file descriptor.
        :raises StoreLockedError: if another process holds the lock.
        """
        file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            os.close(file)
            raise StoreLockedError(f"{path.parent}: another process has this store open") from error
        return file


class InjectedFaults(msgspec.Struct, forbid_unknown_fields=True):
    """The faults in a drill's JSON file; the names of the fields are its format."""

    slow_ms: float = 0.0  # added to each sync
    full: bool = False  # writes fail halfway, as on a full disk
    sync_fails: bool = False


class FaultInjectingFileSystem(FileSystem):
    """Injects the faults of a JSON file, read before each call; without the file there are none."""

    def __init__(self, faults: Path) -> None:
        """Take the faults from the file `faults`."""
        self._path = faults

    def _read_faults(self) -> InjectedFaults:
        try:
            return msgspec.json.decode(self._path.read_bytes(), type=InjectedFaults)
        except (OSError, msgspec.MsgspecError):
            return InjectedFaults()

    def write(self, file: int, data: bytes) -> None:
        """Write all of `data`, or half of it and fail as on a full disk."""
        if self._read_faults().full:
            super().write(file, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        super().write(file, data)

    def sync(self, file: int) -> None:
        """Make the data of a file durable, late or not at all."""
        faults = self._read_faults()
        if faults.slow_ms > 0:
            time.sleep(faults.slow_ms / 1000)
        if faults.sync_fails:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        super().sync(file)
