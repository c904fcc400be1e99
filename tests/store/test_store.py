"""Tests of the store: acknowledged records are recovered, damage is located, and failures are reported."""

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
from shaletiller.lab.crash_cut_checks import Findings
from shaletiller.lab.crash_cut_compaction import check_interrupted_compactions
from shaletiller.lab.crash_cut_store import write_reference_store
from shaletiller.replication.records import META, REGISTER, Ballot, Row, WriteOutcome, pack
from shaletiller.store import record_format
from shaletiller.store.errors import DamagedStoreError, StoreBrokenError, StoreFullError, StoreLockedError
from shaletiller.store.file_system import FaultInjectingFileSystem, FileSystem, InjectedFaults
from shaletiller.store.record_format import Record, decode_records, encode_header, encode_record
from shaletiller.store.recovery import RecoveredContents
from shaletiller.store.segment_store import SegmentStore
from shaletiller.store.snapshot import Snapshot
from shaletiller.store.writer import StoreWriter

ROOT = Path(__file__).parent.parent.parent


def inject_faults(path: Path, **faults: Any) -> None:
    """Write the fault injection file that a `FaultInjectingFileSystem` reads."""
    path.write_bytes(msgspec.json.encode(InjectedFaults(**faults)))


def test_committed_records_are_found_by_the_next_opening(tmp_path: Path) -> None:
    """A store is closed and reopened: each key must have its newest value, and a deleted key none."""
    store = SegmentStore(tmp_path)
    store.commit([(1, b"a", b"one"), (1, b"b", b"two"), (2, b"a", b"another kind")])
    store.commit([(1, b"a", b"newer"), (1, b"b", None)])
    store.close()
    found = SegmentStore(tmp_path)
    assert {key: record.value for key, record in found.index.items()} == {
        (1, b"a"): b"newer",
        (2, b"a"): b"another kind",
    }
    assert found.torn_bytes == 0
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
def test_any_commits_segments_and_snapshots_give_the_newest_values(
    tmp_path_factory: pytest.TempPathFactory,
    commits: list[list[tuple[int, bytes, bytes | None]]],
    segment_bytes: int,
    compact_after: set[int],
) -> None:
    """Arbitrary commits, segment sizes and compactions.

    Recovery must find the newest values, and the tracked sizes must match the files.
    """
    directory, expected = tmp_path_factory.mktemp("store"), dict[tuple[int, bytes], bytes]()
    store = SegmentStore(directory, segment_bytes=segment_bytes)
    for number, rows in enumerate(commits):
        store.commit(rows)
        for kind, key, value in rows:
            expected.pop((kind, key), None)
            if value is not None:
                expected[kind, key] = value
        if number in compact_after:
            store.compact()
    assert store.live_bytes == sum(record.size for record in store.index.values())
    store.close()
    found = RecoveredContents(directory, FileSystem())
    assert {index_key: record.value for index_key, record in found.index.items()} == expected
    assert store.log_bytes == found.snapshot_bytes + sum(found.segment_sizes.values())


def test_a_torn_tail_is_discarded_and_the_next_commit_follows_complete_records(tmp_path: Path) -> None:
    """The machine crashes during a write, which leaves an incomplete last record.

    The record must be discarded and its length reported, and the next commit must follow the complete
    records.
    """
    store = SegmentStore(tmp_path)
    store.commit([(1, b"a", b"one")])
    store.close()
    path = tmp_path / "0000000001.seg"
    path.write_bytes(path.read_bytes() + encode_record(Record(1, b"b", b"torn record", 2), 1)[:-3])
    store = SegmentStore(tmp_path)
    assert store.torn_bytes == record_format.RECORD_OVERHEAD_BYTES + 12 - 3
    assert store.torn_file == path.name
    store.commit([(1, b"c", b"three")])
    store.close()
    assert sorted(key for _, key in RecoveredContents(tmp_path, FileSystem()).index) == [b"a", b"c"]


def test_a_store_is_open_in_one_process_at_a_time_and_free_when_that_is_killed(tmp_path: Path) -> None:
    """One process has the store open and is then killed.

    While it runs, a second process must not be able to open the store; afterwards it must find the commits of
    the first.
    """
    code = (
        "import sys, pathlib; from shaletiller.store.segment_store import SegmentStore\n"
        "SegmentStore(pathlib.Path(sys.argv[1])).commit([(1, b'k', b'v')]); print('open', flush=True)\n"
        "sys.stdin.read()"
    )
    with subprocess.Popen(
        [sys.executable, "-c", code, str(tmp_path)],
        cwd=ROOT,
        text=True,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as other:
        assert other.stdout is not None
        assert other.stdout.readline() == "open\n"
        with pytest.raises(StoreLockedError, match="another process has this store open"):
            SegmentStore(tmp_path)
        other.kill()
        other.wait()
    store = SegmentStore(tmp_path)
    assert store.get(1, b"k") == b"v"
    store.close()


def test_a_full_disk_stores_nothing_of_a_commit_and_later_commits_succeed(
    tmp_path: Path,
) -> None:
    """The disk becomes full during a commit, and later has free space again.

    No part of the failed commit may be found, and the next commit must follow the complete records.
    """
    faults = tmp_path / "faults"
    store = SegmentStore(tmp_path / "store", FaultInjectingFileSystem(faults))
    store.commit([(1, b"a", b"one")])
    inject_faults(faults, full=True)
    with pytest.raises(StoreFullError):
        store.commit([(1, b"a", b"two"), (1, b"b", b"three")])
    assert store.get(1, b"a") == b"one"
    assert store.get(1, b"b") is None
    inject_faults(faults)
    store.commit([(1, b"c", b"four")])  # follows complete records: the partial write was truncated
    store.close()
    found = RecoveredContents(tmp_path / "store", FileSystem())
    assert {key: record.value for (_, key), record in found.index.items()} == {b"a": b"one", b"c": b"four"}


def test_after_a_failed_sync_the_store_accepts_no_commit(tmp_path: Path) -> None:
    """A sync fails, and the next sync would succeed.

    The kernel may have dropped the dirty pages of the first, so no later commit may be accepted.
    """
    faults = tmp_path / "faults"
    store = SegmentStore(tmp_path / "store", FaultInjectingFileSystem(faults))
    inject_faults(faults, sync_fails=True)
    with pytest.raises(StoreBrokenError, match="a sync failed"):
        store.commit([(1, b"a", b"one")])
    inject_faults(faults)  # the next sync would succeed
    with pytest.raises(StoreBrokenError):
        store.commit([(1, b"b", b"two")])
    assert not store.index
    store.close()


def test_a_missing_segment_and_a_truncated_one_are_named(tmp_path: Path) -> None:
    """A segment in the middle of the log is truncated within a record, truncated to its header, or removed.

    Recovery must name the file in the first and third case, and report missing records in the second.
    """
    store = SegmentStore(tmp_path, segment_bytes=100)
    for number in range(6):
        store.commit([(1, f"k{number}".encode(), b"x" * 40)])
    store.close()
    names = sorted(path.name for path in tmp_path.glob("*.seg"))
    assert len(names) >= 4
    complete = (tmp_path / names[1]).read_bytes()
    (tmp_path / names[1]).write_bytes(complete[:-1])
    with pytest.raises(DamagedStoreError, match=f"{names[1]}: byte .*truncated before the end of the log"):
        RecoveredContents(tmp_path, FileSystem())
    # A truncation at the end of a record shows only in the first sequence number of the next segment.
    (tmp_path / names[1]).write_bytes(complete[: record_format.HEADER_BYTES])
    with pytest.raises(DamagedStoreError, match="records are missing"):
        RecoveredContents(tmp_path, FileSystem())
    (tmp_path / names[1]).unlink()
    with pytest.raises(DamagedStoreError, match=f"{names[1]}: byte 0: the segment is missing"):
        RecoveredContents(tmp_path, FileSystem())


def test_a_record_in_another_file_is_damage() -> None:
    """A record that is read from a file with another number must fail its checksum."""
    record = Record(1, b"k", b"v", 7)
    raw = encode_header(record_format.SEGMENT_MAGIC, 3, 7) + encode_record(record, 3)
    assert [found for _, found in decode_records("x", raw, 3)] == [record]
    with pytest.raises(DamagedStoreError):
        list(decode_records("x", raw, 4))


def test_zeros_behind_the_last_record_are_a_torn_tail(tmp_path: Path) -> None:
    """The machine crashes when the length of a file is durable but its data is not, which leaves zeros.

    The zeros must be treated as a torn tail, not as damage.
    """
    store = SegmentStore(tmp_path)
    store.commit([(1, b"a", b"one")])
    store.close()
    path = tmp_path / "0000000001.seg"
    path.write_bytes(path.read_bytes() + b"\0" * 4096)
    assert RecoveredContents(tmp_path, FileSystem()).torn_bytes == 4096


def test_truncations_bit_flips_and_interrupted_compactions_lose_nothing_and_are_named(tmp_path: Path) -> None:
    """Files are truncated, bits are flipped and compactions are interrupted at many places.

    No acknowledged record may be lost, and all damage must be reported.
    """
    outcome = crash_cut.run(tmp_path, seed=2, byte_step=5)
    assert outcome.kept, "\n".join([*outcome.lines(), str(outcome.figures)])


def test_the_crash_cut_checker_notices_a_store_without_checksums(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With constant checksums, damage goes undetected: the checker must report a violation."""
    monkeypatch.setattr(record_format.xxhash, "xxh3_64_intdigest", lambda raw, seed=0: 0)
    outcome = crash_cut.run(tmp_path, byte_step=29)
    assert not outcome.guarantees[1].kept


def test_the_crash_cut_checker_notices_a_store_that_removes_segments_too_early(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Segments are removed before the snapshot that replaces them has been renamed.

    The checker must report lost records, and none for the unmodified store.
    """
    reference, findings = write_reference_store(tmp_path / "store", 1), Findings()
    original = Snapshot.write

    def remove_segments_first(self: Snapshot) -> Snapshot:
        for path in sorted(self._directory.glob("*.seg"))[:-1]:
            self._files.remove(path)
        return original(self)

    check_interrupted_compactions(reference, tmp_path / "copy", findings)
    assert findings.interruptions >= 20
    assert not findings.lost
    monkeypatch.setattr(Snapshot, "write", remove_segments_first)
    check_interrupted_compactions(reference, tmp_path / "copy", findings)
    assert findings.lost


async def _write_concurrently(directory: Path, faults: Path, count: int) -> StoreWriter:
    """Submit `count` updates at the same time, and wait until all are durable."""
    writer = StoreWriter(SegmentStore(directory, FaultInjectingFileSystem(faults)))
    writer.start()
    results: list[bool] = []
    for number in range(count):
        writer.submit([(1, f"k{number}".encode(), b"v")], results.append)
    while len(results) < count:
        await asyncio.sleep(0.005)
    assert results == [True] * count
    return writer


def test_queued_updates_share_one_sync(tmp_path: Path) -> None:
    """300 updates are submitted while syncs are slow: few commits must make all of them durable."""
    inject_faults(tmp_path / "faults", slow_ms=20)

    async def scenario() -> None:
        writer = await _write_concurrently(tmp_path / "store", tmp_path / "faults", 300)
        assert writer.commits <= 3
        assert writer.committed_updates == 300
        await writer.stop()

    asyncio.run(scenario())
    assert len(RecoveredContents(tmp_path / "store", FileSystem()).index) == 300


def test_a_failed_commit_is_reported_and_the_writer_goes_on(tmp_path: Path) -> None:
    """The disk is full during one commit, and has free space again for the next.

    The failure must be reported to the submitter, and the next commit must succeed.
    """
    faults = tmp_path / "faults"

    async def scenario() -> None:
        writer = await _write_concurrently(tmp_path / "store", faults, 1)
        loop = asyncio.get_running_loop()
        for full, expected in ((True, False), (False, True)):
            inject_faults(faults, full=full)
            durable: asyncio.Future[bool] = loop.create_future()
            writer.submit([(1, b"x", b"y")], durable.set_result)
            assert await durable is expected
            assert writer.healthy is expected
        assert writer.failed_updates == 1
        await writer.stop()

    asyncio.run(scenario())


def test_a_log_with_garbage_is_compacted_beside_running_commits(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Twenty keys are replaced a hundred times each, which fills the log with replaced records.

    The log must be compacted while commits continue, without losing a record.
    """
    monkeypatch.setattr("shaletiller.store.segment_store.MIN_GARBAGE_BYTES", 10_000)

    async def scenario() -> None:
        writer = StoreWriter(SegmentStore(tmp_path, segment_bytes=4_000))
        writer.start()
        for number in range(2_000):
            last: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
            writer.submit([(1, f"k{number % 20}".encode(), str(number).encode())], last.set_result)
            assert await last
        assert writer.snapshots >= 1
        assert writer.store.log_bytes < 2_000 * 40 / 2
        await writer.stop()

    asyncio.run(scenario())
    found = RecoveredContents(tmp_path, FileSystem())
    assert sorted(int(record.value) for record in found.index.values()) == list(range(1980, 2000))


def store_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run `python -m shaletiller store` with the given arguments."""
    return subprocess.run(
        [sys.executable, "-m", "shaletiller", "store", *arguments],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=60,
        env={**os.environ, "COLUMNS": "120"},
    )


def test_the_command_shows_verifies_and_compacts(tmp_path: Path) -> None:
    """An operator inspects a store while it is open, after it is closed and compacted, and when damaged.

    The output and the exit codes must reflect each state.
    """
    store = SegmentStore(tmp_path)
    row = Row(Ballot(2, 1, 9), Ballot(2, 1, 9), 1, pack(WriteOutcome(True, b"body", 5, 1234)), 99)
    store.commit([(REGISTER, b"w:once:7:k1", pack(row)), (META, b"life", b"\x01")])
    assert store_command("compact", str(tmp_path)).returncode == 3  # this process has the store open
    store.close()
    shown = [json.loads(line) for line in store_command("show", str(tmp_path), "--json").stdout.splitlines()]
    assert shown[0]["key"] == "w:once:7:k1"
    assert shown[0]["says"] == "outcome"
    assert shown[0]["bytes"] == 4
    assert store_command("show", str(tmp_path), "--like", "nothing").stdout == ""
    assert "sound" in store_command("verify", str(tmp_path)).stdout
    assert store_command("compact", str(tmp_path)).returncode == 0
    summary = json.loads(store_command("verify", str(tmp_path), "--json").stdout)
    assert summary["records"] == 2
    assert summary["snapshot"] == 2
    path = tmp_path / "0000000002.snap"
    damaged = bytearray(path.read_bytes())
    damaged[70] ^= 4
    path.write_bytes(bytes(damaged))
    found = store_command("verify", str(tmp_path))
    assert found.returncode == 1
    assert "damaged: 0000000002.snap: byte 32" in found.stdout
    assert store_command("verify", str(ROOT / "docs")).returncode == 2


def test_injected_faults_are_those_of_the_operating_system(tmp_path: Path) -> None:
    """An injected full disk must write half of the data and raise ENOSPC, as a real one does."""
    inject_faults(tmp_path / "faults", full=True)
    with pytest.raises(OSError, match="No space left on device") as error:
        FaultInjectingFileSystem(tmp_path / "faults").write(
            os.open(tmp_path / "x", os.O_CREAT | os.O_WRONLY), b"1234"
        )
    assert error.value.errno == errno.ENOSPC
    assert (tmp_path / "x").read_bytes() == b"12"
