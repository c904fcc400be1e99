"""The store: what is acknowledged is found, what is damaged is named, what failed is said to have failed."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shaletiller.lab import crash_cut
from shaletiller.replication.rows import META, REGISTER, Outcome, Row, pack
from shaletiller.store import record_format as form
from shaletiller.store.files import Drilled, Faults, Files, StoreLockedError
from shaletiller.store.record_format import DamagedStoreError, Record, encode, records
from shaletiller.store.segment_store import Contents, Snapshot, Store, StoreBrokenError, StoreFullError
from shaletiller.store.writer import StoreWriter

ROOT = Path(__file__).parent.parent.parent


def drill(path: Path, **faults: Any) -> None:
    path.write_bytes(msgspec.json.encode(Faults(**faults)))


# ---- the log


def test_what_is_committed_is_found_by_the_next_to_open_it(tmp_path: Path) -> None:
    store = Store(tmp_path)
    store.commit([(1, b"a", b"one"), (1, b"b", b"two"), (2, b"a", b"another kind")])
    store.commit([(1, b"a", b"newer"), (1, b"b", None)])
    store.close()
    found = Store(tmp_path)
    assert {at: record.value for at, record in found.index.items()} == {
        (1, b"a"): b"newer",
        (2, b"a"): b"another kind",
    }
    assert found.torn == 0
    found.close()


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.lists(
            st.tuples(st.integers(1, 3), st.binary(max_size=3), st.none() | st.binary(max_size=40)),
            max_size=4,
        ),
        max_size=12,
    ),
    st.integers(60, 400),
    st.sets(st.integers(0, 11)),
)
def test_any_commits_any_segments_and_any_snapshots_give_the_newest_values(
    tmp_path_factory: pytest.TempPathFactory,
    commits: list[list[tuple[int, bytes, bytes | None]]],
    segment_bytes: int,
    compacted: set[int],
) -> None:
    folder, want = tmp_path_factory.mktemp("store"), dict[tuple[int, bytes], bytes]()
    store = Store(folder, segment_bytes=segment_bytes)
    for number, rows in enumerate(commits):
        store.commit(rows)
        for kind, key, value in rows:
            want.pop((kind, key), None)
            if value is not None:
                want[kind, key] = value
        if number in compacted:
            store.compact()
    assert store.live_bytes == sum(record.size for record in store.index.values())
    store.close()
    found = Contents(folder, Files())
    assert {at: record.value for at, record in found.index.items()} == want
    assert store.log_bytes == found.snapshot_bytes + sum(found.segments.values())


def test_a_torn_tail_is_left_out_and_told_and_the_next_commit_follows_whole_records(tmp_path: Path) -> None:
    store = Store(tmp_path)
    store.commit([(1, b"a", b"one")])
    store.close()
    path = tmp_path / "0000000001.seg"
    path.write_bytes(path.read_bytes() + encode(Record(1, b"b", b"never whole", 2), 1)[:-3])
    store = Store(tmp_path)
    assert store.torn == form.RECORD_BYTES + 12 - 3 and store.torn_file == path.name
    store.commit([(1, b"c", b"three")])
    store.close()
    assert sorted(key for _, key in Contents(tmp_path, Files()).index) == [b"a", b"c"]


def test_a_store_is_open_in_one_process_at_a_time_and_free_when_that_is_killed(tmp_path: Path) -> None:
    code = (
        "import sys, pathlib; from shaletiller.store.segment_store import Store\n"
        "Store(pathlib.Path(sys.argv[1])).commit([(1, b'k', b'v')]); print('open', flush=True)\n"
        "sys.stdin.read()"
    )
    with subprocess.Popen(
        [sys.executable, "-c", code, str(tmp_path)],
        cwd=ROOT,
        text=True,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as other:
        assert other.stdout is not None and other.stdout.readline() == "open\n"
        with pytest.raises(StoreLockedError, match="another process has this store open"):
            Store(tmp_path)
        other.kill()
        other.wait()
    store = Store(tmp_path)
    assert store.get(1, b"k") == b"v"
    store.close()


def test_a_full_disk_keeps_nothing_of_the_commit_and_the_store_goes_on_when_there_is_room(
    tmp_path: Path,
) -> None:
    faults = tmp_path / "faults"
    store = Store(tmp_path / "store", Drilled(faults))
    store.commit([(1, b"a", b"one")])
    drill(faults, full=True)
    with pytest.raises(StoreFullError):
        store.commit([(1, b"a", b"two"), (1, b"b", b"three")])
    assert store.get(1, b"a") == b"one" and store.get(1, b"b") is None
    drill(faults)
    store.commit([(1, b"c", b"four")])  # behind whole records: what was half written has been taken back
    store.close()
    found = Contents(tmp_path / "store", Files())
    assert {key: record.value for (_, key), record in found.index.items()} == {b"a": b"one", b"c": b"four"}


def test_after_a_failed_sync_the_store_promises_nothing_more(tmp_path: Path) -> None:
    faults = tmp_path / "faults"
    store = Store(tmp_path / "store", Drilled(faults))
    drill(faults, sync_fails=True)
    with pytest.raises(StoreBrokenError, match="a sync failed"):
        store.commit([(1, b"a", b"one")])
    drill(faults)  # the kernel may call the next sync good though it has dropped the pages
    with pytest.raises(StoreBrokenError):
        store.commit([(1, b"b", b"two")])
    assert not store.index
    store.close()


def test_a_missing_segment_and_a_cut_one_are_named(tmp_path: Path) -> None:
    store = Store(tmp_path, segment_bytes=100)
    for number in range(6):
        store.commit([(1, f"k{number}".encode(), b"x" * 40)])
    store.close()
    names = sorted(path.name for path in tmp_path.glob("*.seg"))
    assert len(names) >= 4
    whole = (tmp_path / names[1]).read_bytes()
    (tmp_path / names[1]).write_bytes(whole[:-1])
    with pytest.raises(DamagedStoreError, match=f"{names[1]}: byte .*cut short in the midst"):
        Contents(tmp_path, Files())
    # Cut behind a whole record, only the next segment's first number tells.
    (tmp_path / names[1]).write_bytes(whole[: form.HEADER_BYTES])
    with pytest.raises(DamagedStoreError, match="records are missing"):
        Contents(tmp_path, Files())
    (tmp_path / names[1]).unlink()
    with pytest.raises(DamagedStoreError, match=f"{names[1]}: byte 0: the segment is missing"):
        Contents(tmp_path, Files())


def test_a_record_moved_to_another_place_or_file_is_not_believed() -> None:
    record = Record(1, b"k", b"v", 7)
    raw = form.header(form.SEGMENT, 3, 7) + encode(record, 3)
    assert [found for _, found in records("x", raw, 3)] == [record]
    with pytest.raises(DamagedStoreError):
        list(records("x", raw, 4))


def test_zeros_behind_the_last_record_are_a_torn_tail(tmp_path: Path) -> None:
    store = Store(tmp_path)
    store.commit([(1, b"a", b"one")])
    store.close()
    path = tmp_path / "0000000001.seg"
    path.write_bytes(path.read_bytes() + b"\0" * 4096)  # the length reached the disk, the bytes did not
    assert Contents(tmp_path, Files()).torn == 4096


# ---- cuts and flips


def test_cuts_flips_and_stopped_compactions_lose_nothing_and_name_all(tmp_path: Path) -> None:
    out = crash_cut.run(tmp_path, seed=2, step=5)
    assert out.kept, "\n".join([*out.lines(), str(out.figures)])


def test_the_checker_of_cuts_and_flips_objects_to_a_store_that_believes_what_is_spoilt(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(form.xxhash, "xxh3_64_intdigest", lambda raw, seed=0: 0)  # no checksum is one
    out = crash_cut.run(tmp_path, step=29)
    assert not out.guarantees[1].kept


def test_the_checker_of_cuts_objects_to_a_store_that_drops_a_segment_too_soon(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    written, tried, whole = crash_cut.write(tmp_path / "store", 1), crash_cut.Tried(), Snapshot.write

    def hasty(self: Snapshot) -> Snapshot:  # the log goes before the snapshot has its name
        for path in sorted(self._folder.glob("*.seg"))[:-1]:
            self._files.remove(path)
        return whole(self)

    crash_cut.stops(written, tmp_path / "copy", tried)
    assert tried.stops >= 20 and not tried.lost
    monkeypatch.setattr(Snapshot, "write", hasty)
    crash_cut.stops(written, tmp_path / "copy", tried)
    assert tried.lost


# ---- group commit


async def _gathered(folder: Path, faults: Path, count: int) -> StoreWriter:
    keeper = StoreWriter(Store(folder, Drilled(faults)))
    keeper.start()
    done: list[bool] = []
    for number in range(count):
        keeper.keep([(1, f"k{number}".encode(), b"v")], done.append)
    while len(done) < count:
        await asyncio.sleep(0.005)
    assert done == [True] * count
    return keeper


def test_what_waits_goes_down_with_one_sync(tmp_path: Path) -> None:
    drill(tmp_path / "faults", slow_ms=20)

    async def play() -> None:
        keeper = await _gathered(tmp_path / "store", tmp_path / "faults", 300)
        assert keeper.commits <= 3 and keeper.rows == 300
        await keeper.stop()

    asyncio.run(play())
    assert len(Contents(tmp_path / "store", Files()).index) == 300


def test_a_commit_that_fails_is_said_to_have_failed_and_the_keeper_goes_on(tmp_path: Path) -> None:
    faults = tmp_path / "faults"

    async def play() -> None:
        keeper = await _gathered(tmp_path / "store", faults, 1)
        loop = asyncio.get_running_loop()
        for full, lasts in ((True, False), (False, True)):
            drill(faults, full=full)
            told: asyncio.Future[bool] = loop.create_future()
            keeper.keep([(1, b"x", b"y")], told.set_result)
            assert await told is lasts and keeper.sound is lasts
        assert keeper.failed == 1
        await keeper.stop()

    asyncio.run(play())


def test_a_wasteful_log_is_compacted_beside_running_commits(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("shaletiller.store.segment_store.WASTE_LEAST", 10_000)

    async def play() -> None:
        keeper = StoreWriter(Store(tmp_path, segment_bytes=4_000))
        keeper.start()
        for number in range(2_000):
            last: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
            keeper.keep([(1, f"k{number % 20}".encode(), str(number).encode())], last.set_result)
            assert await last
        assert keeper.snapshots >= 1 and keeper.store.log_bytes < 2_000 * 40 / 2
        await keeper.stop()

    asyncio.run(play())
    found = Contents(tmp_path, Files())
    assert sorted(int(record.value) for record in found.index.values()) == list(range(1980, 2000))


# ---- the command


def store_command(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "shaletiller", "store", *words],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=60,
        env={**os.environ, "COLUMNS": "120"},
    )


def test_the_command_shows_verifies_and_compacts(tmp_path: Path) -> None:
    store = Store(tmp_path)
    row = Row((2, 1, 9), (2, 1, 9), 1, pack(Outcome(True, b"body", 5, 1234)), 99)
    store.commit([(REGISTER, b"w:once:7:k1", pack(row)), (META, b"life", b"\x01")])
    assert store_command("compact", str(tmp_path)).returncode == 3  # this process has it open
    store.close()
    shown = [json.loads(line) for line in store_command("show", str(tmp_path), "--json").stdout.splitlines()]
    assert shown[0]["key"] == "w:once:7:k1" and shown[0]["says"] == "outcome" and shown[0]["bytes"] == 4
    assert store_command("show", str(tmp_path), "--like", "nothing").stdout == ""
    assert "sound" in store_command("verify", str(tmp_path)).stdout
    assert store_command("compact", str(tmp_path)).returncode == 0
    told = json.loads(store_command("verify", str(tmp_path), "--json").stdout)
    assert told["records"] == 2 and told["snapshot"] == 2
    path = tmp_path / "0000000002.snap"
    spoilt = bytearray(path.read_bytes())
    spoilt[70] ^= 4
    path.write_bytes(bytes(spoilt))
    found = store_command("verify", str(tmp_path))
    assert found.returncode == 1 and "damaged: 0000000002.snap: byte 32" in found.stdout
    assert store_command("verify", str(ROOT / "docs")).returncode == 2


def test_the_faults_of_a_drill_are_the_operating_systems(tmp_path: Path) -> None:
    drill(tmp_path / "faults", full=True)
    with pytest.raises(OSError) as error:
        Drilled(tmp_path / "faults").write(os.open(tmp_path / "x", os.O_CREAT | os.O_WRONLY), b"1234")
    assert error.value.errno == errno.ENOSPC and (tmp_path / "x").read_bytes() == b"12"
