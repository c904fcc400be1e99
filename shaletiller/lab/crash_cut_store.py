"""The store that the crash-cut test damages, and the contents that must survive each crash."""

from __future__ import annotations

import random
import shutil
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from shaletiller.store.recovery import LOCK_FILE, SEGMENT_SUFFIX, RecordKey, RecoveredContents
from shaletiller.store.segment_store import SegmentStore

SEGMENT_BYTES = 600  # Small, so that a few commits fill several segments.
COMMITS = 60  # Enough for a snapshot and several segments, and few enough bytes to truncate at each of them.
KEYS = 12  # Few, so that most keys are replaced or deleted.
MAX_VALUE_BYTES = 30
REPLACE_PROBABILITY = 0.85  # Probability that an update replaces a value; the other updates delete a key.
KIND = 1  # Record kind of all records in the store.

Contents = dict[RecordKey, bytes]  # The value of each live key.


def contents_of(store: RecoveredContents | SegmentStore) -> Contents:
    """Return the value of each live key of a store."""
    return {key: record.value for key, record in store.index.items()}


def store_files(directory: Path) -> Iterator[Path]:
    """Yield the data files of a store, ordered by name."""
    return (path for path in sorted(directory.iterdir()) if path.name != LOCK_FILE)


def last_segment(directory: Path) -> Path:
    """Return the path of the segment to which the store appends."""
    return max(directory.glob(f"*.{SEGMENT_SUFFIX}"))


@dataclass(slots=True, frozen=True)
class Acknowledgement:
    """The contents of the store and the size of its last segment when a commit was acknowledged."""

    segment_bytes: int
    contents: Contents


@dataclass
class ReferenceStore:
    """A closed store on disk, and the acknowledgements since the creation of its last segment, in order."""

    directory: Path
    acknowledgements: list[Acknowledgement] = field(default_factory=list)

    @property
    def last_segment(self) -> str:
        """The name of the segment that a crash may have left incomplete."""
        return last_segment(self.directory).name

    def copy_to(self, directory: Path) -> Path:
        """Replace a directory by a copy of the store; return the directory."""
        shutil.rmtree(directory, ignore_errors=True)
        shutil.copytree(self.directory, directory)
        return directory


def _generate_updates(rng: random.Random) -> list[tuple[int, bytes, bytes | None]]:
    updates: list[tuple[int, bytes, bytes | None]] = []
    for _ in range(rng.randint(1, 3)):
        key = f"key{rng.randrange(KEYS)}".encode()
        value = rng.randbytes(rng.randint(0, MAX_VALUE_BYTES)) if rng.random() < REPLACE_PROBABILITY else None
        updates.append((KIND, key, value))
    return updates


def write_reference_store(directory: Path, seed: int, commits: int = COMMITS) -> ReferenceStore:
    """Write a store with a snapshot, several segments, and replaced and deleted keys."""
    rng = random.Random(f"cut {seed}")
    reference = ReferenceStore(directory)
    store = SegmentStore(directory, segment_bytes=SEGMENT_BYTES)
    contents: Contents = {}
    for number in range(commits):
        updates = _generate_updates(rng)
        if number == commits // 2:
            store.compact()
        previous_segment = last_segment(directory)
        store.commit(updates)
        segment = last_segment(directory)
        if segment != previous_segment:
            reference.acknowledgements = [Acknowledgement(0, contents)]
        contents = contents_of(store)
        reference.acknowledgements.append(Acknowledgement(segment.stat().st_size, contents))
    store.close()
    return reference
