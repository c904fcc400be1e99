"""The store's file layer: the few calls it makes of the operating system, each of which can fail or take
long.

`Drilled` puts faults under a real store on purpose, for drills and for the laboratory: it looks at a file of
faults before each call.
"""

from __future__ import annotations

import errno
import fcntl
import os
import time
from pathlib import Path

import msgspec


class StoreLockedError(Exception):
    """Another process has the store open."""


class Files:
    """The calls.  Each raises OSError as the operating system does."""

    def append(self, path: Path) -> int:
        """Open a file to append to, made where it is not there."""
        return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o640)

    def write(self, file: int, data: bytes) -> None:
        """All of it, or OSError."""
        view = memoryview(data)
        while view:
            view = view[os.write(file, view) :]

    def sync(self, file: int) -> None:
        os.fdatasync(file)

    def truncate(self, file: int, size: int) -> None:
        os.ftruncate(file, size)

    def close(self, file: int) -> None:
        os.close(file)

    def read(self, path: Path) -> bytes:
        return path.read_bytes()

    def names(self, folder: Path) -> list[str]:
        return sorted(os.listdir(folder))

    def rename(self, old: Path, new: Path) -> None:
        os.replace(old, new)

    def remove(self, path: Path) -> None:
        path.unlink(missing_ok=True)

    def sync_folder(self, folder: Path) -> None:
        """Make what was created, renamed or removed in a folder last."""
        file = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(file)
        finally:
            os.close(file)

    def lock(self, path: Path) -> int:
        """Hold a lock file until it is closed or the process ends; Locked where another process has it."""
        file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o640)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            os.close(file)
            raise StoreLockedError(f"{path.parent}: another process has this store open") from error
        return file


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """What a drill puts under a store: each sync takes so much longer, the disk is full, syncs fail."""

    slow_ms: float = 0.0
    full: bool = False
    sync_fails: bool = False


class Drilled(Files):
    """The calls with the faults that stand in a JSON file, looked at before each; no file, no faults."""

    def __init__(self, faults: Path) -> None:
        self._path = faults

    def _faults(self) -> Faults:
        try:
            return msgspec.json.decode(self._path.read_bytes(), type=Faults)
        except (OSError, msgspec.MsgspecError):
            return Faults()

    def write(self, file: int, data: bytes) -> None:
        if self._faults().full:
            super().write(file, data[: len(data) // 2])  # as far as there was room
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        super().write(file, data)

    def sync(self, file: int) -> None:
        faults = self._faults()
        if faults.slow_ms > 0:
            time.sleep(faults.slow_ms / 1000)
        if faults.sync_fails:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        super().sync(file)
