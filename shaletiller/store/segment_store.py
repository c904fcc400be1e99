"""A log-structured key-value store: an append-only log in segments, an in-memory index and checked recovery.

The structure follows Rosenblum and Ousterhout, "The design and implementation of a log-structured file
system" (1992), with an in-memory index as in Bitcask (Sheehy and Smith, 2010) and compaction by snapshot.

Durability: a record whose `commit` has returned is recovered intact each time the store is opened, until a
later record of its key replaces or deletes it.  This relies on a file system that preserves all data for
which fdatasync, or fsync on a directory, has returned.  A record whose `commit` did not return may or may not
be recovered, but never in part.

If a file is damaged, opening raises `errors.DamagedStoreError`, which names the place, and no data of the
store is used.  A torn tail is truncated; `torn_bytes` holds its length.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path

from shaletiller.store.errors import StoreBrokenError, StoreFullError
from shaletiller.store.file_system import FileSystem
from shaletiller.store.record_format import (
    HEADER_BYTES,
    SEGMENT_MAGIC,
    Record,
    encode_header,
    encode_record,
)
from shaletiller.store.recovery import (
    LOCK_FILE,
    SEGMENT_NAME,
    SEGMENT_SUFFIX,
    SNAPSHOT_NAME,
    RecoveredContents,
    file_name,
    matching_numbers,
)
from shaletiller.store.snapshot import Snapshot

# Default segment size.  A larger value gives fewer files; a smaller value leaves less log after a compaction.
SEGMENT_BYTES = 8 << 20
# The log is compacted when its replaced and deleted records exceed MAX_GARBAGE_RATIO times the size of the
# live records plus MIN_GARBAGE_BYTES.  The ratio of 1 keeps the total of bytes written within twice the bytes
# committed; the minimum prevents frequent compactions of a small store.
MAX_GARBAGE_RATIO = 1.0
MIN_GARBAGE_BYTES = 4 << 20

UpdateTuple = tuple[
    int, bytes, bytes | None
]  # (kind, key, value): a `record_format.RecordUpdate` or an equivalent tuple


class SegmentStore:
    """An open store; only one process at a time can open it.

    Its methods block: `writer.StoreWriter` calls them on a thread of its own, not on the event loop.  `index`
    holds the committed live records.
    """

    def __init__(
        self, directory: Path, file_system: FileSystem | None = None, segment_bytes: int = SEGMENT_BYTES
    ) -> None:
        """Open a store, and create it if it does not exist.

        :param segment_bytes: size at which a segment is complete and the next commit begins a new one.
        :raises StoreLockedError: if another process has it open.
        :raises DamagedStoreError: if its files are damaged.
        :raises OSError: if its files cannot be read or written.
        """
        self.directory = directory
        self._files = file_system or FileSystem()
        self._segment_bytes = segment_bytes
        directory.mkdir(parents=True, exist_ok=True)
        self._lock_fd = self._files.lock(directory / LOCK_FILE)
        self._active_fd = -1
        self.failure = ""  # why the store accepts no further commits; empty while it does
        self.syncs = 0
        try:
            self._open()
        except BaseException:
            self.close()
            raise

    def _open(self) -> None:
        recovered = RecoveredContents(self.directory, self._files)
        self.index = recovered.index
        self.torn_bytes, self.torn_file = recovered.torn_bytes, recovered.torn_file
        self._next_sequence = recovered.next_sequence
        for name in recovered.obsolete_files:
            self._files.remove(self.directory / name)
        self.live_bytes = sum(record.size for record in recovered.index.values())
        self.log_bytes = recovered.snapshot_bytes + sum(recovered.segment_sizes.values())
        self._active_number = max(recovered.segment_sizes, default=0)
        self._active_size = recovered.segment_sizes.get(self._active_number, 0)
        if self._active_size == 0:  # a new store, or the header of the last segment never became durable
            if self._active_number:
                self._files.remove(self._segment_path(self._active_number))
            self._begin_segment(self._active_number or 1)
        else:
            self._active_fd = self._files.open_append(self._segment_path(self._active_number))
            if recovered.torn_bytes:
                self._files.truncate(self._active_fd, self._active_size)
                self._files.sync(self._active_fd)

    def _segment_path(self, number: int) -> Path:
        return self.directory / file_name(number, SEGMENT_SUFFIX)

    def _begin_segment(self, number: int) -> None:
        """Create a segment and make its header durable, so that records can be appended."""
        path = self._segment_path(number)
        file = self._files.open_append(path)
        try:
            self._files.write(file, encode_header(SEGMENT_MAGIC, number, self._next_sequence))
            self._files.sync(file)
            self._files.sync_directory(self.directory)
        except OSError:
            self._files.close(file)
            self._files.remove(path)
            raise
        if self._active_fd >= 0:
            self._files.close(self._active_fd)
        self._active_fd, self._active_number, self._active_size = file, number, HEADER_BYTES
        self.log_bytes += HEADER_BYTES

    def __iter__(self) -> Iterator[Record]:
        """Iterate over the live records."""
        return iter(list(self.index.values()))

    def get(self, kind: int, key: bytes) -> bytes | None:
        """Return the value of a key, or None if it has none."""
        record = self.index.get((kind, key))
        return None if record is None else record.value

    def commit(self, updates: Iterable[UpdateTuple]) -> None:
        """Append updates in order with a single sync; they are durable when this returns.

        :raises StoreFullError: if the write failed; none of the updates is stored.
        :raises StoreBrokenError: if this or an earlier sync failed; it is unknown whether the updates of the
            failed commit are stored, and no further commit is accepted.
        """
        if self.failure:
            raise StoreBrokenError(self.failure)
        records = [
            Record(kind, key, value or b"", sequence, value is None)
            for sequence, (kind, key, value) in enumerate(updates, self._next_sequence)
        ]
        if not records:
            return
        if self._active_size >= self._segment_bytes:
            self._roll_segment()
        self._append(b"".join(encode_record(record, self._active_number) for record in records))
        self._next_sequence += len(records)
        for record in records:
            self._update_index(record)

    def _append(self, data: bytes) -> None:
        try:
            self._files.write(self._active_fd, data)
        except OSError as error:
            self._truncate_partial_write(error)
            raise StoreFullError(str(error)) from error
        try:
            self._files.sync(self._active_fd)
        except OSError as error:
            # After a failed sync the kernel may drop the dirty pages and report success for the next sync, so
            # a sync is never retried.
            self.failure = f"a sync failed: {error}"
            raise StoreBrokenError(self.failure) from error
        self.syncs += 1
        self._active_size += len(data)
        self.log_bytes += len(data)

    def _truncate_partial_write(self, error: OSError) -> None:
        """Truncate a partly written commit, so that the next one follows a complete record."""
        try:
            self._files.truncate(self._active_fd, self._active_size)
        except OSError as truncate_error:
            self.failure = f"a write failed ({error}) and could not be truncated ({truncate_error})"

    def _update_index(self, record: Record) -> None:
        key = (record.kind, record.key)
        replaced = self.index.pop(key, None)
        self.live_bytes -= replaced.size if replaced is not None else 0
        if not record.deleted:
            self.index[key] = record
            self.live_bytes += record.size

    def _roll_segment(self) -> None:
        try:
            self._begin_segment(self._active_number + 1)
        except OSError as error:
            raise StoreFullError(f"could not create a new segment: {error}") from error

    @property
    def needs_compaction(self) -> bool:
        """Return whether the log holds enough replaced and deleted records to justify a compaction."""
        return self.log_bytes > self.live_bytes * (1 + MAX_GARBAGE_RATIO) + MIN_GARBAGE_BYTES

    def begin_snapshot(self) -> Snapshot:
        """Begin a new segment for further commits, and capture the live records before it.

        :raises StoreFullError: if the segment cannot be created.
        :raises StoreBrokenError: if the store accepts no further commits.
        """
        if self.failure:
            raise StoreBrokenError(self.failure)
        self._roll_segment()
        return Snapshot(
            self.directory,
            self._files,
            self._active_number,
            self._next_sequence,
            list(self.index.values()),
            self.log_bytes - HEADER_BYTES,
        )

    def compact(self) -> None:
        """Compact the log now, blocking until the snapshot is durable."""
        self.end_snapshot(self.begin_snapshot().write())

    def end_snapshot(self, snapshot: Snapshot) -> None:
        """Remove the segments and older snapshots that a durable snapshot replaces."""
        for name in self._files.list_names(self.directory):
            numbers = matching_numbers(SEGMENT_NAME, [name]) or matching_numbers(SNAPSHOT_NAME, [name])
            if numbers and numbers[0] < snapshot.number:
                self._files.remove(self.directory / name)
        in_same_segment = self._active_number == snapshot.number
        remaining = self._active_size if in_same_segment else self.log_bytes - snapshot.covered_bytes
        self.log_bytes = snapshot.size + remaining

    def close(self) -> None:
        """Close the store and release its lock; safe to call more than once."""
        if self._active_fd >= 0:
            self._files.close(self._active_fd)
            self._active_fd = -1
        if self._lock_fd >= 0:
            self._files.close(self._lock_fd)
            self._lock_fd = -1
