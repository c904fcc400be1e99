"""The store that the crash-cut test damages, and what must be found in it after each crash."""

from __future__ import annotations

import random
import shutil
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from shaletiller.store.recovery import LOCK_FILE, SEGMENT_SUFFIX, RecordKey, RecoveredContents
from shaletiller.store.segment_store import SegmentStore

SEGMENT_BYTES = 600  # small, so that few commits make several segments
COMMITS = 60  # make a snapshot and several segments, and few enough bytes to cut at each of them
KEYS = 12  # few, so that most of them are replaced or deleted
MAX_VALUE_BYTES = 30
REPLACE_SHARE = 0.85  # of the updates; the others delete their key
KIND = 1  # of all records here

Contents = dict[RecordKey, bytes]  # the value of each live key


def contents_of(store: RecoveredContents | SegmentStore) -> Contents:
    """Return the live values of a store."""
    return {at: record.value for at, record in store.index.items()}


def store_files(directory: Path) -> Iterator[Path]:
    """Yield the data files of a store, in the order of their names."""
    return (path for path in sorted(directory.iterdir()) if path.name != LOCK_FILE)


def last_segment(directory: Path) -> Path:
    """Return the segment that the store appends to."""
    return max(directory.glob(f"*.{SEGMENT_SUFFIX}"))


@dataclass(slots=True, frozen=True)
class Acknowledgement:
    """What the store held when a commit was acknowledged, and the size of the last segment then."""

    segment_bytes: int
    contents: Contents


@dataclass
class ReferenceStore:
    """A closed store on disk, with the acknowledgements since its last segment began, in their order."""

    directory: Path
    acknowledgements: list[Acknowledgement] = field(default_factory=list)

    @property
    def last_segment(self) -> str:
        """The name of the segment that a crash may have left incomplete."""
        return last_segment(self.directory).name

    def copy_to(self, directory: Path) -> Path:
        """Replace a directory by a copy of the store, and return it."""
        shutil.rmtree(directory, ignore_errors=True)
        shutil.copytree(self.directory, directory)
        return directory


def _draw_updates(draw: random.Random) -> list[tuple[int, bytes, bytes | None]]:
    updates: list[tuple[int, bytes, bytes | None]] = []
    for _ in range(draw.randint(1, 3)):
        key = f"key{draw.randrange(KEYS)}".encode()
        value = draw.randbytes(draw.randint(0, MAX_VALUE_BYTES)) if draw.random() < REPLACE_SHARE else None
        updates.append((KIND, key, value))
    return updates


def write_reference_store(directory: Path, seed: int, commits: int = COMMITS) -> ReferenceStore:
    """Write a store with a snapshot, several segments, and keys that were replaced and deleted."""
    draw = random.Random(f"cut {seed}")
    reference = ReferenceStore(directory)
    store = SegmentStore(directory, segment_bytes=SEGMENT_BYTES)
    contents: Contents = {}
    for number in range(commits):
        updates = _draw_updates(draw)
        if number == commits // 2:
            store.compact()
        segment_before = last_segment(directory)
        store.commit(updates)
        segment = last_segment(directory)
        if segment != segment_before:
            reference.acknowledgements = [Acknowledgement(0, contents)]
        contents = contents_of(store)
        reference.acknowledgements.append(Acknowledgement(segment.stat().st_size, contents))
    store.close()
    return reference
