"""Snapshots: the live records at a point in the log, which replace the log before that point.

A snapshot can be written while commits continue.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

from shaletiller.store.file_system import FileSystem
from shaletiller.store.record_format import (
    SNAPSHOT_END,
    SNAPSHOT_MAGIC,
    Record,
    encode_header,
    encode_record,
)
from shaletiller.store.recovery import SNAPSHOT_SUFFIX, UNFINISHED_SUFFIX, file_name

# Bytes per write call.  A larger value makes fewer calls; a smaller value needs less memory.
CHUNK_BYTES = 1 << 18


class Snapshot:
    """The live records of a store before segment `number`, the first that the snapshot does not cover."""

    def __init__(
        self,
        directory: Path,
        file_system: FileSystem,
        number: int,
        first_sequence: int,
        records: list[Record],
        covered_bytes: int,
    ) -> None:
        """Capture the records.

        :param first_sequence: sequence number of the first record of segment `number`.
        :param covered_bytes: size in bytes of the log that the snapshot replaces.
        """
        self.number = number
        self.covered_bytes = covered_bytes
        self.size = 0
        self._first_sequence, self._records = first_sequence, records
        self._files, self._directory = file_system, directory

    def write(self) -> Snapshot:
        """Write the snapshot and make it durable; may run on another thread than the commits.

        The data is written to a temporary file, which is renamed once it is complete and durable: an
        incomplete snapshot never has the name of a snapshot.

        :returns: the snapshot itself.
        :raises OSError: if it cannot be written; the temporary file is then removed if possible.
        """
        unfinished_path = self._directory / file_name(self.number, UNFINISHED_SUFFIX)
        self._files.remove(unfinished_path)
        file = self._files.open_append(unfinished_path)
        try:
            for chunk in self._chunks():
                self._files.write(file, chunk)
                self.size += len(chunk)
            self._files.sync(file)
        except OSError:
            with suppress(OSError):
                self._files.remove(unfinished_path)
            raise
        finally:
            self._files.close(file)
        self._files.rename(unfinished_path, self._directory / file_name(self.number, SNAPSHOT_SUFFIX))
        self._files.sync_directory(self._directory)
        return self

    def _chunks(self) -> Iterator[bytes]:
        chunk = bytearray(encode_header(SNAPSHOT_MAGIC, self.number, self._first_sequence))
        for record in sorted(self._records, key=lambda live: live.sequence):
            chunk += encode_record(record, self.number)
            if len(chunk) >= CHUNK_BYTES:
                yield bytes(chunk)
                chunk.clear()
        count = len(self._records).to_bytes(8, "little")
        end_record = Record(SNAPSHOT_END, b"", count, self._first_sequence)
        yield bytes(chunk) + encode_record(end_record, self.number)
