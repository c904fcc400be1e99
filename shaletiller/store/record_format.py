"""The file format of the store, version 1; see docs/store.md.

A file consists of a header followed by records.  All numbers are little-endian.

    header   magic (8 bytes, the last but one is the version), number u64, first u64, checksum u64
    record   head: body length u32, kind u8, deleted u8, key length u16, sequence u64, checksum u64
             body: key, value; then checksum u64

Segments are numbered from 1 (`number`).  `first` is the sequence number of a segment's first record, and its
records are numbered consecutively from there.  A snapshot's `number` is that of the first segment that it
does not cover, and its `first` is the sequence number of that segment's first record; its records keep their
sequence numbers, and a record of kind SNAPSHOT_END follows the last one.

The head has its own checksum, so that the length in it can be trusted: a record that extends beyond the end
of its file was never completely written (torn), and a complete record with a wrong checksum was changed later
(damaged).  Checksums are XXH3-64, seeded with the file's number for a head and with the record's sequence
number for a body, so a record that was moved to another position or file fails the check.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

import xxhash

from shaletiller.store.errors import DamagedStoreError

SEGMENT_MAGIC, SNAPSHOT_MAGIC = b"SHTSEG\x01\n", b"SHTSNP\x01\n"
SNAPSHOT_END = 255  # kind of the last record of a snapshot; its value is the number of records before it
MAX_BODY_BYTES = 1 << 24  # maximum size of key and value; bounds what a reader allocates for one record
MAX_KEY_BYTES = (1 << 16) - 1  # largest value of the key length field
_HEADER = struct.Struct("<8sQQ")
_HEAD = struct.Struct("<IBBHQ")
_CHECKSUM = struct.Struct("<Q")
HEADER_BYTES = _HEADER.size + _CHECKSUM.size
HEAD_BYTES = _HEAD.size + _CHECKSUM.size
RECORD_OVERHEAD_BYTES = HEAD_BYTES + _CHECKSUM.size  # size of a record without its key and value


class RecordUpdate(NamedTuple):
    """One change to a store; a `value` of None deletes the key."""

    kind: int
    key: bytes
    value: bytes | None


@dataclass(slots=True, frozen=True)
class Record:
    """One record; if `deleted` is set, it deletes its key."""

    kind: int
    key: bytes
    value: bytes
    sequence: int
    deleted: bool = False

    @property
    def size(self) -> int:
        """Encoded size in bytes."""
        return RECORD_OVERHEAD_BYTES + len(self.key) + len(self.value)


@dataclass(slots=True, frozen=True)
class FileHeader:
    """The header of a file: its number, and the sequence number of its first record."""

    number: int
    first_sequence: int


def encode_header(magic: bytes, number: int, first_sequence: int) -> bytes:
    """Encode the header of a file."""
    raw = _HEADER.pack(magic, number, first_sequence)
    return raw + _CHECKSUM.pack(xxhash.xxh3_64_intdigest(raw))


def encode_record(record: Record, file_number: int) -> bytes:
    """Encode a record for the file with this number.

    :raises ValueError: if the key is longer than MAX_KEY_BYTES, or key and value than MAX_BODY_BYTES.
    """
    body = record.key + record.value
    if len(record.key) > MAX_KEY_BYTES or len(body) > MAX_BODY_BYTES:
        raise ValueError(f"record: key of {len(record.key)}, body of {len(body)} bytes are too long")
    head = _HEAD.pack(len(body), record.kind, record.deleted, len(record.key), record.sequence)
    return b"".join(
        (
            head,
            _CHECKSUM.pack(xxhash.xxh3_64_intdigest(head, seed=file_number)),
            body,
            _CHECKSUM.pack(xxhash.xxh3_64_intdigest(body, seed=record.sequence)),
        )
    )


def decode_header(path: str, data: bytes, magic: bytes) -> FileHeader | None:
    """Decode the header of a file.

    :returns: the header, or None if the file ends within it.
    :raises DamagedStoreError: if the checksum is wrong, or the magic is of another file type or version.
    """
    if len(data) < HEADER_BYTES:
        return None
    found_magic, number, first_sequence = _HEADER.unpack_from(data)
    (checksum,) = _CHECKSUM.unpack_from(data, _HEADER.size)
    if checksum != xxhash.xxh3_64_intdigest(data[: _HEADER.size]):
        raise DamagedStoreError(path, 0, "the header's checksum is wrong")
    if found_magic != magic:
        raise DamagedStoreError(path, 0, f"another file type or format version: magic {found_magic!r}")
    return FileHeader(number, first_sequence)


def decode_records(path: str, data: bytes, file_number: int) -> Iterator[tuple[int, Record]]:
    """Decode the complete records of a file.

    Stops at an incomplete record at the end of the file, or where only zeros follow: a file system leaves
    them if the length of a file became durable before its data.

    :returns: an iterator over each record with the offset of its end.
    :raises DamagedStoreError: for a complete record that has changed.
    """
    offset = HEADER_BYTES
    while offset + HEAD_BYTES <= len(data):
        head = data[offset : offset + _HEAD.size]
        (checksum,) = _CHECKSUM.unpack_from(data, offset + _HEAD.size)
        if checksum != xxhash.xxh3_64_intdigest(head, seed=file_number):
            if not data[offset:].strip(b"\0"):
                return
            raise DamagedStoreError(path, offset, "a record's head has a wrong checksum")
        body_length, kind, deleted, key_length, sequence = _HEAD.unpack(head)
        end = offset + HEAD_BYTES + body_length + _CHECKSUM.size
        if end > len(data):
            return
        body = data[offset + HEAD_BYTES : end - _CHECKSUM.size]
        (checksum,) = _CHECKSUM.unpack_from(data, end - _CHECKSUM.size)
        if checksum != xxhash.xxh3_64_intdigest(body, seed=sequence):
            raise DamagedStoreError(path, offset, f"record {sequence} has a wrong checksum")
        yield end, Record(kind, body[:key_length], body[key_length:], sequence, bool(deleted))
        offset = end
