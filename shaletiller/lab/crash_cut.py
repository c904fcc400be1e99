"""`lab cut DIR`: a small store's files cut at every byte and with a bit flipped in every byte.

A store is written in DIR with a snapshot, several segments, replaced and dropped keys.  At each commit that
returned, what must be found from then on is noted.  Then, on copies:

- the last segment is cut at each of its bytes, as if the machine had stopped there: all that was acknowledged
  by the time the file was that long is found, and nothing but whole records that were written;
- each other file is cut at each of its bytes, and in each byte of each file one bit is flipped: the store
  must name the file, or hold exactly what it held (a flip in a torn tail that is left out);
- the calls of a compaction are stopped after each of them, and the store opened: nothing acknowledged lost.
"""

from __future__ import annotations

import random
import shutil
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from shaletiller.lab.guarantees import Guarantee, Outcome
from shaletiller.store.errors import DamagedStoreError
from shaletiller.store.file_system import FileSystem
from shaletiller.store.record_format import HEADER_BYTES
from shaletiller.store.recovery import LOCK_FILE, RecoveredContents
from shaletiller.store.segment_store import SegmentStore

Held = dict[tuple[int, bytes], bytes]
SEGMENT_BYTES = 600


def held(found: RecoveredContents | SegmentStore) -> Held:
    return {at: record.value for at, record in found.index.items()}


@dataclass
class Written:
    """A store on disk, and what each length of its last segment must give back."""

    folder: Path
    now: Held = field(default_factory=dict)
    # Bytes of the last segment after each commit, and what had been acknowledged by then; ever newer.
    acknowledged: list[tuple[int, Held]] = field(default_factory=list)
    last: str = ""


def write(folder: Path, seed: int, commits: int = 60) -> Written:
    """A store with all that can be in one: snapshot, segments, keys that were replaced and dropped."""
    draw, written = random.Random(f"cut {seed}"), Written(folder)
    store = SegmentStore(folder, segment_bytes=SEGMENT_BYTES)
    for number in range(commits):
        rows: list[tuple[int, bytes, bytes | None]] = []
        for _ in range(draw.randint(1, 3)):
            key = f"key{draw.randrange(12)}".encode()
            value = draw.randbytes(draw.randint(0, 30)) if draw.random() < 0.85 else None
            rows.append((1, key, value))
        if number == commits // 2:
            store.compact()
        before = store._number
        store.commit(rows)
        if store._number != before:
            written.acknowledged = [(0, dict(written.now))]
        written.now = held(store)
        written.acknowledged.append((store._size, dict(written.now)))
    written.last = f"{store._number:010d}.seg"
    store.close()
    return written


def _copy(written: Written, to: Path) -> Path:
    shutil.rmtree(to, ignore_errors=True)
    shutil.copytree(written.folder, to)
    return to


@dataclass
class Tried:
    cuts: int = 0
    flips: int = 0
    stops: int = 0
    torn: int = 0
    lost: list[str] = field(default_factory=list)
    unnamed: list[str] = field(default_factory=list)


def _files(folder: Path) -> Iterator[Path]:
    return (path for path in sorted(folder.iterdir()) if path.name != LOCK_FILE)


def cuts(written: Written, scratch: Path, tried: Tried, step: int = 1) -> None:
    for path in _files(written.folder):
        data = path.read_bytes()
        for size in range(0, len(data), step):
            tried.cuts += 1
            folder = _copy(written, scratch)
            (folder / path.name).write_bytes(data[:size])
            try:
                found = held(RecoveredContents(folder, FileSystem()))
            except DamagedStoreError as error:
                if path.name == written.last:
                    tried.lost.append(f"{path.name} cut at {size}: turned down: {error}")
                elif error.path != path.name and int(error.path[:10]) <= int(path.name[:10]):
                    tried.unnamed.append(f"{path.name} cut at {size}: {error} named")
                continue
            if path.name != written.last:
                tried.unnamed.append(f"{path.name} cut at {size}: taken for sound")
                continue
            must = [state for bytes_, state in written.acknowledged if bytes_ <= size][-1:]
            may = [state for _, state in written.acknowledged]
            # Records of one commit are whole one by one: between two commits some of them may be there.
            if must and found != must[0] and not _between(must[0], found, may):
                tried.lost.append(f"{path.name} cut at {size}: what was acknowledged is not found")
            tried.torn += size > HEADER_BYTES
            # Opened for good, it goes on from there.
            if size % 7 == 0:
                store = SegmentStore(folder)
                store.commit([(1, b"after", b"more")])
                store.close()
                if RecoveredContents(folder, FileSystem()).index[1, b"after"].value != b"more":
                    tried.lost.append(f"{path.name} cut at {size}: a commit afterwards is lost")


def _between(acknowledged: Held, found: Held, later: list[Held]) -> bool:
    """Whether each key has what was acknowledged of it, or what some later commit wrote."""
    return all(
        found.get(key) == acknowledged.get(key) or any(state.get(key) == found.get(key) for state in later)
        for key in found.keys() | acknowledged.keys()
    )


def flips(written: Written, scratch: Path, tried: Tried, seed: int, step: int = 1) -> None:
    draw = random.Random(f"flip {seed}")
    for path in _files(written.folder):
        data = path.read_bytes()
        for at in range(0, len(data), step):
            tried.flips += 1
            folder = _copy(written, scratch)
            spoilt = bytearray(data)
            spoilt[at] ^= 1 << draw.randrange(8)
            (folder / path.name).write_bytes(bytes(spoilt))
            try:
                RecoveredContents(folder, FileSystem())
            except DamagedStoreError as error:
                if error.path != path.name:
                    tried.unnamed.append(f"{path.name} byte {at}: {error} named")
            else:
                tried.unnamed.append(f"{path.name} byte {at}: taken for sound")


class _Stopped(Exception):
    """The machine stopped before this call."""


class _Stopping(FileSystem):
    """Stops before the call of this number that changes anything; with `half`, a write goes half through."""

    def __init__(self, calls: int, half: bool) -> None:
        self.left, self._half = calls, half

    def _call(self) -> None:
        self.left -= 1
        if self.left < 0:
            raise _Stopped

    def open_append(self, path: Path) -> int:
        self._call()
        return super().open_append(path)

    def write(self, file: int, data: bytes) -> None:
        if self.left == 0 and self._half:
            super().write(file, data[: len(data) // 2])
        self._call()
        super().write(file, data)

    def sync(self, file: int) -> None:
        self._call()
        super().sync(file)

    def rename(self, old: Path, new: Path) -> None:
        self._call()
        super().rename(old, new)

    def remove(self, path: Path) -> None:
        self._call()
        super().remove(path)

    def sync_directory(self, folder: Path) -> None:
        self._call()
        super().sync_directory(folder)


def stops(written: Written, scratch: Path, tried: Tried) -> None:
    """A compaction, and a commit beside it, stopped before each of their calls."""
    number, done = 0, False
    while not done:
        for half in (False, True):
            tried.stops += 1
            folder = _copy(written, scratch)
            store = SegmentStore(folder, segment_bytes=SEGMENT_BYTES)
            must = held(store)
            store._files = _Stopping(number, half)
            try:
                begun = store.begin_snapshot()
                store.commit([(1, b"beside", b"the snapshot")])
                must = held(store)
                store.end_snapshot(begun.write())
                done = True
            except _Stopped:
                pass
            store._files = FileSystem()
            store.close()
            try:
                again = SegmentStore(folder)
            except DamagedStoreError as error:
                tried.lost.append(f"compaction stopped at call {number}: {error}")
                continue
            found = held(again)
            found.pop((1, b"beside"), None) if (1, b"beside") not in must else None
            if found != must:
                tried.lost.append(f"compaction stopped at call {number}: what was acknowledged is not found")
            again.commit([(1, b"after", b"more")])
            again.close()
        number += 1


def run(folder: Path, seed: int = 1, step: int = 1) -> Outcome:
    """All of it; `step` above 1 tries a sample."""
    store = folder / "store"
    shutil.rmtree(store, ignore_errors=True)
    folder.mkdir(parents=True, exist_ok=True)
    written, tried = write(store, seed), Tried()
    # Tens of thousands of copies: beside the store where it must be, in memory where it may.
    with tempfile.TemporaryDirectory(dir="/dev/shm" if Path("/dev/shm").is_dir() else folder) as made:
        scratch = Path(made) / "copy"
        cuts(written, scratch, tried, step)
        flips(written, scratch, tried, seed, step)
        stops(written, scratch, tried)
    out = Outcome("cut", seed)
    sizes = {path.name: path.stat().st_size for path in _files(store)}
    out.guarantees = [
        Guarantee(
            "acknowledged and lost, or half-written and believed",
            0,
            len(tried.lost),
            note=f"{tried.cuts} cuts, {tried.stops} stops in a compaction",
        ),
        Guarantee("damage not named", 0, len(tried.unnamed), note=f"{tried.flips} flips, {tried.cuts} cuts"),
    ]
    out.figures = {"files": sizes, "lost": tried.lost[:10], "unnamed": tried.unnamed[:10]}
    return out
