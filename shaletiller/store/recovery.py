"""Recovery: reads and checks the files of a store, and rebuilds the index from them.

A torn tail of the last segment is ignored, since it was never acknowledged.  Any other error is damage, and
the whole store is rejected.
"""

from __future__ import annotations

import re
from pathlib import Path

from shaletiller.store.errors import DamagedStoreError
from shaletiller.store.file_system import FileSystem
from shaletiller.store.record_format import (
    HEADER_BYTES,
    SEGMENT_MAGIC,
    SNAPSHOT_END,
    SNAPSHOT_MAGIC,
    Record,
    decode_header,
    decode_records,
)

LOCK_FILE = "lock"
SEGMENT_SUFFIX, SNAPSHOT_SUFFIX, UNFINISHED_SUFFIX = "seg", "snap", "part"
SEGMENT_NAME = re.compile(rf"(\d{{10}})\.{SEGMENT_SUFFIX}")
SNAPSHOT_NAME = re.compile(rf"(\d{{10}})\.{SNAPSHOT_SUFFIX}")

RecordKey = tuple[int, bytes]  # (kind, key)


def file_name(number: int, suffix: str) -> str:
    """Return the name of a segment or snapshot; names sort in the order of their numbers."""
    return f"{number:010d}.{suffix}"


def matching_numbers(pattern: re.Pattern[str], names: list[str]) -> list[int]:
    """Return the sorted numbers of the files whose names match a pattern."""
    return sorted(int(match[1]) for name in names if (match := pattern.fullmatch(name)))


class RecoveredContents:
    """The contents of a store's files.

    The files are only read, and may be in use by another process.
    """

    def __init__(self, directory: Path, file_system: FileSystem) -> None:
        """Read and check all files.

        :raises DamagedStoreError: for the first error found, with its file and offset.
        :raises OSError: if a file cannot be read.
        """
        self.index: dict[RecordKey, Record] = {}
        self.torn_bytes = 0  # bytes after the last complete record
        self.torn_file = ""
        self.next_sequence = 1
        self.segment_sizes: dict[int, int] = {}  # size of each segment without a torn tail, by segment number
        self.snapshot_number = 0  # number of the newest snapshot; 0 if there is none
        self.snapshot_bytes = 0
        self.obsolete_files: list[str] = []  # files covered by a snapshot, and unfinished snapshots
        self._files, self._directory = file_system, directory
        self._recover(file_system.list_names(directory))

    def _recover(self, names: list[str]) -> None:
        snapshots = matching_numbers(SNAPSHOT_NAME, names)
        segments = matching_numbers(SEGMENT_NAME, names)
        self.obsolete_files += [name for name in names if name.endswith(f".{UNFINISHED_SUFFIX}")]
        self.obsolete_files += [file_name(number, SNAPSHOT_SUFFIX) for number in snapshots[:-1]]
        if snapshots:
            self.snapshot_number = snapshots[-1]
            self._read_snapshot(self.snapshot_number)
        first = self.snapshot_number or 1
        self.obsolete_files += [file_name(covered, SEGMENT_SUFFIX) for covered in segments if covered < first]
        segments = [number for number in segments if number >= first]
        for expected, number in enumerate(segments, first):
            if number != expected:
                name = file_name(expected, SEGMENT_SUFFIX)
                raise DamagedStoreError(name, 0, "the segment is missing")
            self._read_segment(number, is_last=number == segments[-1])
        if self.snapshot_number and not segments:
            # The first segment that a snapshot does not cover is durable before the snapshot is begun.
            raise DamagedStoreError(file_name(first, SEGMENT_SUFFIX), 0, "the segment is missing")

    def _apply(self, record: Record) -> None:
        if record.deleted:
            self.index.pop((record.kind, record.key), None)
        else:
            self.index[record.kind, record.key] = record

    def _read_snapshot(self, number: int) -> None:
        name = file_name(number, SNAPSHOT_SUFFIX)
        data = self._files.read(self._directory / name)
        header = decode_header(name, data, SNAPSHOT_MAGIC)
        if header is None or header.number != number:
            raise DamagedStoreError(name, 0, "the header is truncated or belongs to another file")
        end = HEADER_BYTES
        for count, (end, record) in enumerate(decode_records(name, data, number)):
            if record.kind == SNAPSHOT_END:
                if int.from_bytes(record.value, "little") != count or end != len(data):
                    raise DamagedStoreError(name, end, "the snapshot's end record does not match its records")
                break
            self._apply(record)
        else:
            raise DamagedStoreError(name, end, "the snapshot's end record is missing")
        self.next_sequence, self.snapshot_bytes = header.first_sequence, len(data)

    def _read_segment(self, number: int, is_last: bool) -> None:
        name = file_name(number, SEGMENT_SUFFIX)
        data = self._files.read(self._directory / name)
        header = decode_header(name, data, SEGMENT_MAGIC)
        if header is None:
            if not is_last:
                raise DamagedStoreError(name, len(data), "the header is truncated")
            self.torn_bytes, self.torn_file, self.segment_sizes[number] = len(data), name, 0
            return
        if header.number != number or header.first_sequence != self.next_sequence:
            raise DamagedStoreError(
                name,
                0,
                f"begins with record {header.first_sequence} of segment {header.number}, "
                f"expected {self.next_sequence} of {number}: records are missing",
            )
        complete_bytes = HEADER_BYTES
        for end, record in decode_records(name, data, number):
            if record.sequence != self.next_sequence:
                reason = f"record {record.sequence} where {self.next_sequence} is expected"
                raise DamagedStoreError(name, complete_bytes, reason)
            self.next_sequence += 1
            complete_bytes = end
            self._apply(record)
        if complete_bytes < len(data):
            if not is_last:
                raise DamagedStoreError(
                    name, complete_bytes, "a record is truncated before the end of the log"
                )
            self.torn_bytes, self.torn_file = len(data) - complete_bytes, name
        self.segment_sizes[number] = complete_bytes
