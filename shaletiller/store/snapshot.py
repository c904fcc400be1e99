"""Snapshots: the live records as of one moment, written beside running commits, replace the log before it."""

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

CHUNK_BYTES = 1 << 18  # empirical: few calls against memory


class Snapshot:
    """The live records of a store as of its segment `number`, which the snapshot does not cover."""

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
        :param covered_bytes: size of the log that the snapshot replaces.
        """
        self.number = number
        self.covered_bytes = covered_bytes
        self.size = 0
        self._first_sequence, self._records = first_sequence, records
        self._files, self._directory = file_system, directory

    def write(self) -> Snapshot:
        """Write it and make it durable; may be called in another thread than the commits.

        It is renamed when it is complete: there is never half a snapshot under its name.

        :raises OSError: if it cannot be written; nothing of it is left then.
        """
        unfinished = self._directory / file_name(self.number, UNFINISHED_SUFFIX)
        self._files.remove(unfinished)
        file = self._files.open_append(unfinished)
        try:
            for chunk in self._chunks():
                self._files.write(file, chunk)
                self.size += len(chunk)
            self._files.sync(file)
        except OSError:
            with suppress(OSError):
                self._files.remove(unfinished)
            raise
        finally:
            self._files.close(file)
        self._files.rename(unfinished, self._directory / file_name(self.number, SNAPSHOT_SUFFIX))
        self._files.sync_directory(self._directory)
        return self

    def _chunks(self) -> Iterator[bytes]:
        chunk = bytearray(encode_header(SNAPSHOT_MAGIC, self.number, self._first_sequence))
        for record in sorted(self._records, key=lambda each: each.sequence):
            chunk += encode_record(record, self.number)
            if len(chunk) >= CHUNK_BYTES:
                yield bytes(chunk)
                chunk.clear()
        count = len(self._records).to_bytes(8, "little")
        end = Record(SNAPSHOT_END, b"", count, self._first_sequence)
        yield bytes(chunk) + encode_record(end, self.number)
