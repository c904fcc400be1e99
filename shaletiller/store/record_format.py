"""The bytes of a store's files, version 1; docs/store.md is the page on it.

A file is a header and then records, one behind the other.  All numbers are little-endian.

    header   magic (8 bytes, the last but one is the version), number u64, first u64, checksum u64
    record   head: body length u32, kind u8, gone u8, key length u16, sequence u64, checksum u64
             body: key, value; then checksum u64

A segment's `number` counts segments from 1, `first` is the sequence number of its first record, and its
records count on from there without a gap.  A snapshot's `number` is that of the first segment that it does
not cover; its records keep the sequence numbers that they had, and a record of kind END closes it.

The head has a checksum of its own, so that a length can be believed: a record whose file ends before its
length is up was never whole (torn), and one that is whole with a wrong checksum was spoilt later (damaged).
Checksums are XXH3 with the file's number, or the record's sequence number, as the seed: a record that was
moved to another place or file does not pass.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

VERSION = 1
SEGMENT, SNAPSHOT = b"SHTSEG\x01\n", b"SHTSNP\x01\n"
END = 255  # the kind of the record that closes a snapshot; its value counts those before it
MOST_BODY = 1 << 24
HEADER = struct.Struct("<8sQQ")
HEAD = struct.Struct("<IBBHQ")
SUM = struct.Struct("<Q")
HEADER_BYTES = HEADER.size + SUM.size
HEAD_BYTES = HEAD.size + SUM.size
RECORD_BYTES = HEAD_BYTES + SUM.size  # beside key and value


class DamagedStoreError(Exception):
    """Bytes that were whole are no longer what they were, or a file is missing: `path`, `offset`, `why`."""

    def __init__(self, path: str, offset: int, why: str) -> None:
        super().__init__(f"{path}: byte {offset}: {why}")
        self.path, self.offset, self.why = path, offset, why


@dataclass(slots=True, frozen=True)
class Record:
    """One record; `gone` says that its key has no value from here on."""

    kind: int
    key: bytes
    value: bytes
    sequence: int
    gone: bool = False

    @property
    def size(self) -> int:
        """Bytes in a file."""
        return RECORD_BYTES + len(self.key) + len(self.value)


def header(magic: bytes, number: int, first: int) -> bytes:
    raw = HEADER.pack(magic, number, first)
    return raw + SUM.pack(xxhash.xxh3_64_intdigest(raw))


def encode(record: Record, number: int) -> bytes:
    """A record of the file of this number; ValueError where key or value are too long."""
    body = record.key + record.value
    if len(record.key) >= 1 << 16 or len(body) > MOST_BODY:
        raise ValueError(f"record: key of {len(record.key)}, body of {len(body)} bytes are too long")
    head = HEAD.pack(len(body), record.kind, record.gone, len(record.key), record.sequence)
    return b"".join(
        (
            head,
            SUM.pack(xxhash.xxh3_64_intdigest(head, seed=number)),
            body,
            SUM.pack(xxhash.xxh3_64_intdigest(body, seed=record.sequence)),
        )
    )


@dataclass(slots=True)
class Header:
    number: int
    first: int


def read_header(path: str, data: bytes, magic: bytes) -> Header | None:
    """A file's header; None where the file ends before it does, `Damaged` where it is not one."""
    if len(data) < HEADER_BYTES:
        return None
    found, number, first = HEADER.unpack_from(data)
    (checksum,) = SUM.unpack_from(data, HEADER.size)
    if checksum != xxhash.xxh3_64_intdigest(data[: HEADER.size]):
        raise DamagedStoreError(path, 0, "the header's checksum is wrong")
    if found != magic:
        raise DamagedStoreError(path, 0, f"of another version or kind: {found!r}")
    return Header(number, first)


def records(path: str, data: bytes, number: int) -> Iterator[tuple[int, Record]]:
    """The whole records with the offset behind each.  Ends where the file ends in the midst of one, or in
    nothing but zeros, as a file system leaves one whose length was written before its bytes."""
    at, size = HEADER_BYTES, len(data)
    while at + HEAD_BYTES <= size:
        head = data[at : at + HEAD.size]
        (checksum,) = SUM.unpack_from(data, at + HEAD.size)
        if checksum != xxhash.xxh3_64_intdigest(head, seed=number):
            if not data[at:].strip(b"\0"):
                return
            raise DamagedStoreError(path, at, "a record's head has a wrong checksum")
        length, kind, gone, key_length, sequence = HEAD.unpack(head)
        end = at + HEAD_BYTES + length + SUM.size
        if end > size:
            return
        body = data[at + HEAD_BYTES : end - SUM.size]
        (checksum,) = SUM.unpack_from(data, end - SUM.size)
        if checksum != xxhash.xxh3_64_intdigest(body, seed=sequence):
            raise DamagedStoreError(path, at, f"record {sequence} has a wrong checksum")
        yield end, Record(kind, body[:key_length], body[key_length:], sequence, bool(gone))
        at = end
