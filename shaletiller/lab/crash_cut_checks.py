"""Checks of truncated files and flipped bits: a store must recover, or must report the damage."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from pathlib import Path

from shaletiller.lab.crash_cut_store import KIND, Contents, ReferenceStore, contents_of, store_files
from shaletiller.store.errors import DamagedStoreError
from shaletiller.store.file_system import FileSystem
from shaletiller.store.recovery import RecoveredContents
from shaletiller.store.segment_store import SegmentStore

# A commit after recovery costs two syncs, so it is tested only at truncations to a multiple of this size.
COMMIT_AFTER_EVERY_BYTES = 7
FILE_NUMBER_DIGITS = 10  # Each file name begins with the file number.


@dataclass
class Findings:
    """The number of tests, and descriptions of the faults that they found.

    `lost`: acknowledged records that were not found, or incomplete records that were found. `undetected`:
    damage that was not reported, or was reported for another file.
    """

    truncations: int = 0
    bit_flips: int = 0
    interruptions: int = 0
    lost: list[str] = field(default_factory=list)
    undetected: list[str] = field(default_factory=list)


def commit_and_reopen(directory: Path) -> bool:
    """Return whether a recovered store accepts a commit and still holds it after it is reopened."""
    store = SegmentStore(directory)
    store.commit([(KIND, b"after", b"more")])
    store.close()
    return RecoveredContents(directory, FileSystem()).index[KIND, b"after"].value == b"more"


def check_truncations(
    reference: ReferenceStore, scratch: Path, findings: Findings, byte_step: int = 1
) -> None:
    """Truncate each file at every `byte_step`-th byte; a crash may do this to the last segment only."""
    last_segment = reference.last_segment
    for path in store_files(reference.directory):
        data = path.read_bytes()
        for size in range(0, len(data), byte_step):
            findings.truncations += 1
            copy = reference.copy_to(scratch)
            (copy / path.name).write_bytes(data[:size])
            if path.name == last_segment:
                _check_truncated_segment(reference, copy, size, findings)
            else:
                _check_truncation_is_reported(copy, path.name, size, findings)


def _check_truncated_segment(
    reference: ReferenceStore, directory: Path, size: int, findings: Findings
) -> None:
    case = f"{reference.last_segment} truncated to {size} bytes"
    try:
        found = contents_of(RecoveredContents(directory, FileSystem()))
    except DamagedStoreError as error:
        findings.lost.append(f"{case}: expected recovery, received: {error}")
        return
    if not _holds_acknowledged_records(reference, size, found):
        findings.lost.append(f"{case}: acknowledged records are not found")
    if size % COMMIT_AFTER_EVERY_BYTES == 0 and not commit_and_reopen(directory):
        findings.lost.append(f"{case}: a commit after the recovery is lost")


def _holds_acknowledged_records(reference: ReferenceStore, size: int, found: Contents) -> bool:
    """Return whether a store holds the records acknowledged when its last segment had `size` bytes.

    The records of a commit become durable one after the other, so a key may already have the value of a
    commit that was not yet acknowledged.
    """
    durable = [entry.contents for entry in reference.acknowledgements if entry.segment_bytes <= size]
    if not durable:
        return True
    acknowledged = durable[-1]
    return all(
        found.get(key) == acknowledged.get(key)
        or any(entry.contents.get(key) == found.get(key) for entry in reference.acknowledgements)
        for key in found.keys() | acknowledged.keys()
    )


def _check_truncation_is_reported(directory: Path, name: str, size: int, findings: Findings) -> None:
    """Check that a truncation of a file that is not the last segment is reported for it or a later file."""
    try:
        RecoveredContents(directory, FileSystem())
    except DamagedStoreError as error:
        if error.path != name and _file_number(error.path) <= _file_number(name):
            findings.undetected.append(
                f"{name} truncated to {size} bytes: damage reported for another file: {error}"
            )
    else:
        findings.undetected.append(f"{name} truncated to {size} bytes: damage not detected")


def _file_number(name: str) -> int:
    return int(name[:FILE_NUMBER_DIGITS])


def check_bit_flips(
    reference: ReferenceStore, scratch: Path, findings: Findings, seed: int, byte_step: int = 1
) -> None:
    """Flip one bit in every `byte_step`-th byte of each file; the damage must be reported for that file."""
    rng = random.Random(f"flip {seed}")
    for path in store_files(reference.directory):
        data = path.read_bytes()
        for offset in range(0, len(data), byte_step):
            findings.bit_flips += 1
            copy = reference.copy_to(scratch)
            damaged = bytearray(data)
            damaged[offset] ^= 1 << rng.randrange(8)
            (copy / path.name).write_bytes(bytes(damaged))
            try:
                RecoveredContents(copy, FileSystem())
            except DamagedStoreError as error:
                if error.path != path.name:
                    findings.undetected.append(
                        f"{path.name} bit flip in byte {offset}: damage reported for another file: {error}"
                    )
            else:
                findings.undetected.append(f"{path.name} bit flip in byte {offset}: damage not detected")
