"""Checks of compactions that are interrupted before each of their calls to the file system."""

from __future__ import annotations

from pathlib import Path

from shaletiller.lab.crash_cut_checks import Findings
from shaletiller.lab.crash_cut_store import KIND, SEGMENT_BYTES, Contents, ReferenceStore, contents_of
from shaletiller.store.errors import DamagedStoreError
from shaletiller.store.file_system import FileSystem
from shaletiller.store.segment_store import SegmentStore

CONCURRENT_KEY = (KIND, b"beside")  # Committed while the snapshot is written.


class CrashError(Exception):
    """Raised by a file system call before which the simulated machine crashed."""


class InterruptingFileSystem(FileSystem):
    """A file system that simulates a crash of the machine before a given modifying call."""

    def __init__(self) -> None:
        self._calls_left: int | None = None
        self._torn_write = False

    def interrupt_after(self, calls: int, torn_write: bool) -> None:
        """Carry out a number of modifying calls, then crash before the next one.

        :param torn_write: whether half of the data is written if that call is a write.
        """
        self._calls_left, self._torn_write = calls, torn_write

    def disarm(self) -> None:
        """Carry out all further calls without a crash."""
        self._calls_left = None

    def _count_call(self) -> None:
        if self._calls_left is not None:
            if self._calls_left <= 0:
                raise CrashError
            self._calls_left -= 1

    def open_append(self, path: Path) -> int:
        """Open a file for appending."""
        self._count_call()
        return super().open_append(path)

    def write(self, file: int, data: bytes) -> None:
        """Write all of `data`, or half of it if the call is interrupted by a torn write."""
        if self._calls_left == 0 and self._torn_write:
            super().write(file, data[: len(data) // 2])
        self._count_call()
        super().write(file, data)

    def sync(self, file: int) -> None:
        """Make the data of a file durable."""
        self._count_call()
        super().sync(file)

    def rename(self, old: Path, new: Path) -> None:
        """Rename a file."""
        self._count_call()
        super().rename(old, new)

    def remove(self, path: Path) -> None:
        """Remove a file."""
        self._count_call()
        super().remove(path)

    def sync_directory(self, directory: Path) -> None:
        """Make the changes to a directory durable."""
        self._count_call()
        super().sync_directory(directory)


def check_interrupted_compactions(reference: ReferenceStore, scratch: Path, findings: Findings) -> None:
    """Interrupt a compaction with a concurrent commit before each of its calls; no record may be lost."""
    calls, completed = 0, False
    while not completed:
        for torn_write in (False, True):
            findings.interruptions += 1
            directory = reference.copy_to(scratch)
            files = InterruptingFileSystem()
            store = SegmentStore(directory, files, SEGMENT_BYTES)
            files.interrupt_after(calls, torn_write)
            acknowledged, completed_now = _compact(store)
            completed = completed or completed_now
            files.disarm()
            store.close()
            problem = _check_reopened_store(directory, acknowledged)
            if problem:
                findings.lost.append(f"compaction interrupted before call {calls}: {problem}")
        calls += 1


def _compact(store: SegmentStore) -> tuple[Contents, bool]:
    """Compact a store with a concurrent commit.

    :returns: the acknowledged contents, and whether the compaction was completed.
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


def _check_reopened_store(directory: Path, acknowledged: Contents) -> str:
    """Reopen a store after a crash and commit to it; return a description of the fault, or ""."""
    try:
        store = SegmentStore(directory)
    except DamagedStoreError as error:
        return str(error)
    found = contents_of(store)
    if CONCURRENT_KEY not in acknowledged:  # The record may be durable without an acknowledgement.
        found.pop(CONCURRENT_KEY, None)
    store.commit([(KIND, b"after", b"more")])
    store.close()
    return "" if found == acknowledged else "the contents differ from the acknowledged contents"
