"""A compaction that is interrupted before each of its calls to the file system."""

from __future__ import annotations

from pathlib import Path

from shaletiller.lab.crash_cut_checks import Findings
from shaletiller.lab.crash_cut_store import KIND, SEGMENT_BYTES, Contents, ReferenceStore, contents_of
from shaletiller.store.errors import DamagedStoreError
from shaletiller.store.file_system import FileSystem
from shaletiller.store.segment_store import SegmentStore

CONCURRENT_KEY = (KIND, b"beside")  # committed while the snapshot is written


class CrashError(Exception):
    """The machine stopped before this call."""


class InterruptingFileSystem(FileSystem):
    """A file system that stops before a call that changes anything, as a crash of the machine does."""

    def __init__(self) -> None:
        self._calls_left: int | None = None
        self._tears_write = False

    def interrupt_after(self, calls: int, tears_write: bool) -> None:
        """Stop before the call after so many changing calls.

        :param tears_write: if that call is a write, half of it is carried out.
        """
        self._calls_left, self._tears_write = calls, tears_write

    def disarm(self) -> None:
        """Carry out all further calls."""
        self._calls_left = None

    def _count(self) -> None:
        if self._calls_left is not None:
            if self._calls_left <= 0:
                raise CrashError
            self._calls_left -= 1

    def open_append(self, path: Path) -> int:
        """Open a file for appending."""
        self._count()
        return super().open_append(path)

    def write(self, file: int, data: bytes) -> None:
        """Write all of `data`, or half of it where the call is interrupted."""
        if self._calls_left == 0 and self._tears_write:
            super().write(file, data[: len(data) // 2])
        self._count()
        super().write(file, data)

    def sync(self, file: int) -> None:
        """Make the data of a file durable."""
        self._count()
        super().sync(file)

    def rename(self, old: Path, new: Path) -> None:
        """Rename a file."""
        self._count()
        super().rename(old, new)

    def remove(self, path: Path) -> None:
        """Remove a file."""
        self._count()
        super().remove(path)

    def sync_directory(self, directory: Path) -> None:
        """Make the changes of a directory durable."""
        self._count()
        super().sync_directory(directory)


def check_interrupted_compactions(reference: ReferenceStore, scratch: Path, findings: Findings) -> None:
    """Interrupt a compaction, with a commit beside it, before each of its calls: no record may be lost."""
    calls, completed = 0, False
    while not completed:
        for tears_write in (False, True):
            findings.interruptions += 1
            directory = reference.copy_to(scratch)
            files = InterruptingFileSystem()
            store = SegmentStore(directory, files, SEGMENT_BYTES)
            files.interrupt_after(calls, tears_write)
            acknowledged, completed_now = _compact(store)
            completed = completed or completed_now
            files.disarm()
            store.close()
            problem = _check_reopened(directory, acknowledged)
            if problem:
                findings.lost.append(f"compaction interrupted before call {calls}: {problem}")
        calls += 1


def _compact(store: SegmentStore) -> tuple[Contents, bool]:
    """Compact a store with a commit beside it.

    :returns: what was acknowledged, and whether the compaction was completed.
    """
    acknowledged = contents_of(store)
    try:
        snapshot = store.begin_snapshot()
        store.commit([(*CONCURRENT_KEY, b"the snapshot")])
        acknowledged = contents_of(store)
        store.end_snapshot(snapshot.write())
    except CrashError:
        return acknowledged, False
    return acknowledged, True


def _check_reopened(directory: Path, acknowledged: Contents) -> str:
    """Open a store after a crash, and commit to it; return what is wrong with it, "" if nothing."""
    try:
        store = SegmentStore(directory)
    except DamagedStoreError as error:
        return str(error)
    found = contents_of(store)
    if CONCURRENT_KEY not in acknowledged:  # it may be durable without having been acknowledged
        found.pop(CONCURRENT_KEY, None)
    store.commit([(KIND, b"after", b"more")])
    store.close()
    return "" if found == acknowledged else "what was acknowledged is not found"
