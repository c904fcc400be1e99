"""File system operations of the store; each of them may block or fail.

`FaultInjectingFileSystem` injects faults below a real store, for failure drills and for the laboratory.
"""

from __future__ import annotations

import errno
import fcntl
import os
import time
from pathlib import Path

import msgspec

from shaletiller.store.errors import StoreLockedError

FILE_MODE = 0o640  # a store contains clients' data: readable by the operator's group, but not by others


class FileSystem:
    """The file system operations of the store.

    Open files are identified by file descriptors.  Each method raises OSError as the operating system does.
    """

    def open_append(self, path: Path) -> int:
        """Open a file for appending, and create it if it does not exist.

        :returns: a file descriptor.
        """
        return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)

    def write(self, file: int, data: bytes) -> None:
        """Write all of `data`.

        :raises OSError: if not all of it could be written; a part of it may have been.
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
        """Close a file descriptor, which also releases a lock held through it."""
        os.close(file)

    def read(self, path: Path) -> bytes:
        """Read a whole file."""
        return path.read_bytes()

    def list_names(self, directory: Path) -> list[str]:
        """Return the sorted names of the files in a directory."""
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
        """Take an exclusive lock on a file, held until the file is closed or the process ends.

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
    """The contents of a fault injection file (JSON); the field names are its format."""

    slow_ms: float = 0.0  # delay added to each sync
    full: bool = False  # writes fail halfway with ENOSPC, as on a full disk
    sync_fails: bool = False  # syncs fail with EIO


class FaultInjectingFileSystem(FileSystem):
    """Injects the faults that a JSON file requests.

    The file is read again before each write and sync.  A missing or malformed file injects no fault.
    """

    def __init__(self, faults_path: Path) -> None:
        """Create the file system.

        :param faults_path: path of the fault injection file.
        """
        self._faults_path = faults_path

    def _read_faults(self) -> InjectedFaults:
        try:
            return msgspec.json.decode(self._faults_path.read_bytes(), type=InjectedFaults)
        except (OSError, msgspec.MsgspecError):
            return InjectedFaults()

    def write(self, file: int, data: bytes) -> None:
        """Write all of `data`; under the fault `full`, write half of it and raise ENOSPC."""
        if self._read_faults().full:
            super().write(file, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        super().write(file, data)

    def sync(self, file: int) -> None:
        """Make the data of a file durable, subject to the faults `slow_ms` and `sync_fails`."""
        faults = self._read_faults()
        if faults.slow_ms > 0:
            time.sleep(faults.slow_ms / 1000)
        if faults.sync_fails:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        super().sync(file)
