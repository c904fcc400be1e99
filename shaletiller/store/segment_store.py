"""The store: an index in memory over an append-only log, one writer, checked recovery.

What it promises: a record whose `commit` returned is found by every later `open`, whole, until a later record
of its key replaces it or drops it.  It rests on a file system that keeps what fdatasync and the fsync of a
folder have returned for.  A record that was not committed may be found or not, but never in part.

What is damaged is named (`format.Damaged`) and nothing of the store is believed; a torn tail is cut off, and
its length is told in `torn`.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from contextlib import suppress
from pathlib import Path

from shaletiller.store.files import Files
from shaletiller.store.record_format import (
    END,
    HEADER_BYTES,
    SEGMENT,
    SNAPSHOT,
    DamagedStoreError,
    Record,
    encode,
    header,
    read_header,
    records,
)

SEGMENT_BYTES = 8 << 20
WASTE_PART, WASTE_LEAST = 1.0, 4 << 20  # compacted when the log has so much more than what is live
LOCK = "lock"
SEGMENT_NAME = re.compile(r"(\d{10})\.seg")
SNAPSHOT_NAME = re.compile(r"(\d{10})\.snap")
CHUNK = 1 << 18

Key = tuple[int, bytes]
Row = tuple[int, bytes, bytes | None]  # kind, key, value; None drops the key


class StoreFullError(Exception):
    """There is no room: nothing of this commit is kept, a later one may be."""


class StoreBrokenError(Exception):
    """A sync failed: what the disk holds is not known, and the store promises nothing more."""


def _name(number: int, kind: str) -> str:
    return f"{number:010d}.{kind}"


class Contents:
    """What the files of a store hold, read and checked; `Damaged` names the first thing that is wrong."""

    def __init__(self, folder: Path, files: Files) -> None:
        self.index: dict[Key, Record] = {}
        self.torn = 0  # bytes behind the last whole record
        self.torn_file = ""
        self.next = 1  # the next sequence number
        self.segments: dict[int, int] = {}  # bytes that are whole, by number
        self.snapshot = 0  # the number of the newest, 0: none
        self.snapshot_bytes = 0
        self.stale: list[str] = []  # files that a snapshot has made superfluous, or that never got a name
        self._files, self._folder = files, folder
        names = files.names(folder)
        snapshots = sorted(int(found[1]) for name in names if (found := SNAPSHOT_NAME.fullmatch(name)))
        segments = sorted(int(found[1]) for name in names if (found := SEGMENT_NAME.fullmatch(name)))
        self.stale += [name for name in names if name.endswith(".part")]
        self.stale += [_name(number, "snap") for number in snapshots[:-1]]
        if snapshots:
            self.snapshot = snapshots[-1]
            self._read_snapshot(self.snapshot)
        first = self.snapshot or 1
        self.stale += [_name(number, "seg") for number in segments if number < first]
        segments = [number for number in segments if number >= first]
        for at, number in enumerate(segments):
            if number != first + at:
                raise DamagedStoreError(_name(first + at, "seg"), 0, "the segment is missing")
            self._read_segment(number, last=number == segments[-1])
        if self.snapshot and not segments:
            # Its first segment is made, and lasts, before a snapshot is begun.
            raise DamagedStoreError(_name(first, "seg"), 0, "the segment is missing")

    def _apply(self, record: Record) -> None:
        if record.gone:
            self.index.pop((record.kind, record.key), None)
        else:
            self.index[record.kind, record.key] = record

    def _read_snapshot(self, number: int) -> None:
        name = _name(number, "snap")
        data = self._files.read(self._folder / name)
        head = read_header(name, data, SNAPSHOT)
        if head is None or head.number != number:
            raise DamagedStoreError(name, 0, "the header is cut short or of another file")
        end = HEADER_BYTES
        for count, (end, record) in enumerate(records(name, data, number)):
            if record.kind == END:
                if int.from_bytes(record.value, "little") != count or end != len(data):
                    raise DamagedStoreError(
                        name, end, "the snapshot's end does not fit what stands before it"
                    )
                break
            self._apply(record)
        else:
            raise DamagedStoreError(name, end, "the snapshot has no end")
        self.next, self.snapshot_bytes = head.first, len(data)

    def _read_segment(self, number: int, last: bool) -> None:
        name = _name(number, "seg")
        data = self._files.read(self._folder / name)
        head = read_header(name, data, SEGMENT)
        if head is None:
            if not last:
                raise DamagedStoreError(name, len(data), "the header is cut short")
            self.torn, self.torn_file, self.segments[number] = len(data), name, 0
            return
        if head.number != number or head.first != self.next:
            raise DamagedStoreError(
                name,
                0,
                f"begins with record {head.first} of segment {head.number}, "
                f"wanted {self.next} of {number}: records are missing",
            )
        whole = HEADER_BYTES
        for end, record in records(name, data, number):
            if record.sequence != self.next:
                raise DamagedStoreError(name, whole, f"record {record.sequence} where {self.next} is due")
            self.next += 1
            whole = end
            self._apply(record)
        if whole < len(data):
            if not last:
                raise DamagedStoreError(name, whole, "a record is cut short in the midst of the log")
            self.torn, self.torn_file = len(data) - whole, name
        self.segments[number] = whole


class Store:
    """A store that is open; one process at a time has it.  Its calls block: `keeper` has them made beside the
    requests.

    `index` holds what is committed."""

    def __init__(self, folder: Path, files: Files | None = None, segment_bytes: int = SEGMENT_BYTES) -> None:
        """Open a store, made where it is not there.  Locked, Damaged, OSError."""
        self.folder, self._files, self._segment_bytes = folder, files or Files(), segment_bytes
        folder.mkdir(parents=True, exist_ok=True)
        self._lock = self._files.lock(folder / LOCK)
        self._file = -1
        self.broken = ""
        self.syncs = 0
        try:
            self._open()
        except BaseException:
            self.close()
            raise

    def _open(self) -> None:
        found = Contents(self.folder, self._files)
        self.index, self.torn, self.torn_file = found.index, found.torn, found.torn_file
        self._next = found.next
        for name in found.stale:
            self._files.remove(self.folder / name)
        self.live_bytes = sum(record.size for record in found.index.values())
        self.log_bytes = found.snapshot_bytes + sum(found.segments.values())
        self._number = max(found.segments, default=0)
        self._size = found.segments.get(self._number, 0)
        if self._size == 0:  # a new store, or the last segment's header never lasted
            if self._number:
                self._files.remove(self.folder / _name(self._number, "seg"))
            self._begin(self._number or 1)
        else:
            self._file = self._files.append(self.folder / _name(self._number, "seg"))
            if found.torn:
                self._files.truncate(self._file, self._size)
                self._files.sync(self._file)

    def _begin(self, number: int) -> None:
        """A new segment, there for good before anything is written to it."""
        path = self.folder / _name(number, "seg")
        file = self._files.append(path)
        try:
            self._files.write(file, header(SEGMENT, number, self._next))
            self._files.sync(file)
            self._files.sync_folder(self.folder)
        except OSError:
            self._files.close(file)
            self._files.remove(path)
            raise
        if self._file >= 0:
            self._files.close(self._file)
        self._file, self._number, self._size = file, number, HEADER_BYTES
        self.log_bytes += HEADER_BYTES

    def __iter__(self) -> Iterator[Record]:
        return iter(list(self.index.values()))

    def get(self, kind: int, key: bytes) -> bytes | None:
        found = self.index.get((kind, key))
        return None if found is None else found.value

    def commit(self, rows: Iterable[Row]) -> None:
        """Keep all these records, in their order, with one sync.  On return they last.

        Full: none of them is kept.  Broken: nothing can be said of them, and no further commit is taken."""
        if self.broken:
            raise StoreBrokenError(self.broken)
        fresh = [
            Record(kind, key, value or b"", self._next + at, value is None)
            for at, (kind, key, value) in enumerate(rows)
        ]
        if not fresh:
            return
        if self._size >= self._segment_bytes:
            self._roll()
        data = b"".join(encode(record, self._number) for record in fresh)
        try:
            self._files.write(self._file, data)
        except OSError as error:
            self._take_back(error)
            raise StoreFullError(str(error)) from error
        try:
            self._files.sync(self._file)
        except OSError as error:
            # The kernel may have dropped the pages and call the next sync good: never try again.
            self.broken = f"a sync failed: {error}"
            raise StoreBrokenError(self.broken) from error
        self.syncs += 1
        self._size += len(data)
        self.log_bytes += len(data)
        self._next += len(fresh)
        for record in fresh:
            at = (record.kind, record.key)
            before = self.index.pop(at, None)
            self.live_bytes -= before.size if before is not None else 0
            if not record.gone:
                self.index[at] = record
                self.live_bytes += record.size

    def _take_back(self, error: OSError) -> None:
        """What was written of a commit that had no room goes, so that the next one follows whole records."""
        try:
            self._files.truncate(self._file, self._size)
        except OSError as second:
            self.broken = f"a write failed ({error}) and could not be taken back ({second})"

    def _roll(self) -> None:
        try:
            self._begin(self._number + 1)
        except OSError as error:
            raise StoreFullError(f"no new segment: {error}") from error

    # ---- compaction

    @property
    def wasteful(self) -> bool:
        """Whether the log has enough that is no longer live to be worth a snapshot."""
        return self.log_bytes > self.live_bytes * (1 + WASTE_PART) + WASTE_LEAST

    def begin_snapshot(self) -> Snapshot:
        """Commits go to a new segment from here on; what stands before it may be written in another thread,
        by `Snapshot.write`.  Full where there is no room for the segment."""
        if self.broken:
            raise StoreBrokenError(self.broken)
        self._roll()
        return Snapshot(self, self._number, self._next, list(self.index.values()))

    def compact(self) -> None:
        """A snapshot at once."""
        self.end_snapshot(self.begin_snapshot().write())

    def end_snapshot(self, done: Snapshot) -> None:
        """It lasts: what it covers goes."""
        old = [
            name
            for name in self._files.names(self.folder)
            if (found := SEGMENT_NAME.fullmatch(name) or SNAPSHOT_NAME.fullmatch(name))
            and int(found[1]) < done.number
        ]
        for name in old:
            self._files.remove(self.folder / name)
        after = self._size if self._number == done.number else self.log_bytes - done.log_bytes
        self.log_bytes = done.size + after

    def close(self) -> None:
        if self._file >= 0:
            self._files.close(self._file)
            self._file = -1
        if self._lock >= 0:
            self._files.close(self._lock)
            self._lock = -1


class Snapshot:
    """What a store held at a moment, to be written beside running commits."""

    def __init__(self, store: Store, number: int, first: int, held: list[Record]) -> None:
        self.number, self._first, self._held = number, first, held
        self._files, self._folder = store._files, store.folder
        self.log_bytes = store.log_bytes - HEADER_BYTES  # of the log that it covers
        self.size = 0

    def write(self) -> Snapshot:
        """Under a name that counts for nothing, then renamed: there is never half a snapshot.  OSError."""
        part, whole = (self._folder / _name(self.number, kind) for kind in ("part", "snap"))
        self._files.remove(part)
        file = self._files.append(part)
        try:
            for chunk in self._chunks():
                self._files.write(file, chunk)
                self.size += len(chunk)
            self._files.sync(file)
        except OSError:
            with suppress(OSError):
                self._files.remove(part)
            raise
        finally:
            self._files.close(file)
        self._files.rename(part, whole)
        self._files.sync_folder(self._folder)
        return self

    def _chunks(self) -> Iterator[bytes]:
        chunk = bytearray(header(SNAPSHOT, self.number, self._first))
        for record in sorted(self._held, key=lambda each: each.sequence):
            chunk += encode(record, self.number)
            if len(chunk) >= CHUNK:
                yield bytes(chunk)
                chunk.clear()
        yield bytes(chunk) + encode(
            Record(END, b"", len(self._held).to_bytes(8, "little"), self._first), self.number
        )
