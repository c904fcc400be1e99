"""Truncations and bit flips: what a store must recover from, and what it must report as damage."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from pathlib import Path

from shaletiller.lab.crash_cut_store import KIND, Contents, ReferenceStore, contents_of, store_files
from shaletiller.store.errors import DamagedStoreError
from shaletiller.store.file_system import FileSystem
from shaletiller.store.recovery import RecoveredContents
from shaletiller.store.segment_store import SegmentStore

COMMIT_AFTER_EVERY_BYTES = 7  # a commit after recovery is tried at a sample of the cuts: it costs two syncs
FILE_NUMBER_DIGITS = 10  # a file's name begins with its number


@dataclass
class Findings:
    """How much was tried, and what went wrong.

    `lost`: acknowledged records that were not found, or incomplete ones that were.  `undetected`: damage that
    was not reported, or reported for another file.
    """

    cuts: int = 0
    flips: int = 0
    interruptions: int = 0
    lost: list[str] = field(default_factory=list)
    undetected: list[str] = field(default_factory=list)


def commit_and_reopen(directory: Path) -> bool:
    """Return whether a recovered store accepts a commit, and holds it when it is opened again."""
    store = SegmentStore(directory)
    store.commit([(KIND, b"after", b"more")])
    store.close()
    return RecoveredContents(directory, FileSystem()).index[KIND, b"after"].value == b"more"


def check_truncations(
    reference: ReferenceStore, scratch: Path, findings: Findings, every_bytes: int = 1
) -> None:
    """Cut each file at every byte, or at every so many, as a crash may do to the last segment only."""
    last_segment = reference.last_segment
    for path in store_files(reference.directory):
        data = path.read_bytes()
        for size in range(0, len(data), every_bytes):
            findings.cuts += 1
            copy = reference.copy_to(scratch)
            (copy / path.name).write_bytes(data[:size])
            if path.name == last_segment:
                _check_torn_segment(reference, copy, size, findings)
            else:
                _check_cut_is_reported(copy, path.name, size, findings)


def _check_torn_segment(reference: ReferenceStore, directory: Path, size: int, findings: Findings) -> None:
    cut = f"{reference.last_segment} cut at {size}"
    try:
        found = contents_of(RecoveredContents(directory, FileSystem()))
    except DamagedStoreError as error:
        findings.lost.append(f"{cut}: reported as damaged: {error}")
        return
    if not _holds_what_was_acknowledged(reference, size, found):
        findings.lost.append(f"{cut}: what was acknowledged is not found")
    if size % COMMIT_AFTER_EVERY_BYTES == 0 and not commit_and_reopen(directory):
        findings.lost.append(f"{cut}: a commit after the recovery is lost")


def _holds_what_was_acknowledged(reference: ReferenceStore, size: int, found: Contents) -> bool:
    """Return whether a store whose last segment has `size` bytes holds what was acknowledged by then.

    The records of a commit are durable one by one: between two commits, a key may have the value of a later
    commit already.
    """
    durable = [each.contents for each in reference.acknowledgements if each.segment_bytes <= size]
    if not durable:
        return True
    acknowledged = durable[-1]
    return all(
        found.get(key) == acknowledged.get(key)
        or any(each.contents.get(key) == found.get(key) for each in reference.acknowledgements)
        for key in found.keys() | acknowledged.keys()
    )


def _check_cut_is_reported(directory: Path, name: str, size: int, findings: Findings) -> None:
    """Check that a cut of another file than the last segment is reported for it, or for one that follows."""
    try:
        RecoveredContents(directory, FileSystem())
    except DamagedStoreError as error:
        if error.path != name and _file_number(error.path) <= _file_number(name):
            findings.undetected.append(f"{name} cut at {size}: reported instead: {error}")
    else:
        findings.undetected.append(f"{name} cut at {size}: not detected")


def _file_number(name: str) -> int:
    return int(name[:FILE_NUMBER_DIGITS])


def check_bit_flips(
    reference: ReferenceStore, scratch: Path, findings: Findings, seed: int, every_bytes: int = 1
) -> None:
    """Flip a bit in every byte of each file, or in every so many: it must be reported for that file."""
    draw = random.Random(f"flip {seed}")
    for path in store_files(reference.directory):
        data = path.read_bytes()
        for offset in range(0, len(data), every_bytes):
            findings.flips += 1
            copy = reference.copy_to(scratch)
            damaged = bytearray(data)
            damaged[offset] ^= 1 << draw.randrange(8)
            (copy / path.name).write_bytes(bytes(damaged))
            try:
                RecoveredContents(copy, FileSystem())
            except DamagedStoreError as error:
                if error.path != path.name:
                    findings.undetected.append(f"{path.name} byte {offset}: reported instead: {error}")
            else:
                findings.undetected.append(f"{path.name} byte {offset}: not detected")
