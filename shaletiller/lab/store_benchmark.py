"""Benchmarks of the store: commits with and without group commit, and the time to open a store."""

from __future__ import annotations

import asyncio
import shutil
import time
from dataclasses import dataclass
from pathlib import Path

from shaletiller.replication.records import REGISTER, Ballot, Row, WriteOutcome, pack
from shaletiller.store.file_system import FileSystem
from shaletiller.store.recovery import RecoveredContents
from shaletiller.store.segment_store import SegmentStore
from shaletiller.store.writer import StoreWriter

CLIENTS = 64  # concurrent writers with group commit
VALUE = b"x" * 200  # about as large as the record of a write's outcome
KEYS = 1000  # distinct keys without group commit; records are overwritten, as in registers
KEYS_PER_CLIENT = 20  # distinct keys of each client with group commit
# Updates per commit while a store is filled.  A smaller value needs more syncs; a larger one, more memory.
UPDATES_PER_COMMIT = 5_000
OUTCOME_BODY = b"x" * 100  # response body in each record of the recovery benchmark


@dataclass(slots=True, frozen=True)
class RecoveryTimes:
    """Time in seconds to open a store, from its log and from a snapshot."""

    records: int
    log_bytes: int
    from_log_s: float
    from_snapshot_s: float

    def to_json(self) -> dict[str, float]:
        """Return the times under the keys of the report."""
        return {
            "records": self.records,
            "bytes": self.log_bytes,
            "log_s": self.from_log_s,
            "snapshot_s": self.from_snapshot_s,
        }


def measure_single_commits(directory: Path, seconds: float) -> float:
    """Return the commits per second of one writer that syncs after each record."""
    commits, end_s = 0, time.monotonic() + seconds
    store = SegmentStore(directory)
    while time.monotonic() < end_s:
        store.commit([(REGISTER, f"k{commits % KEYS}".encode(), VALUE)])
        commits += 1
    store.close()
    return commits / seconds


async def measure_group_commits(directory: Path, seconds: float) -> float:
    """Return the records per second of concurrent clients; each waits until its record is durable."""
    commits, end_s = 0, time.monotonic() + seconds
    writer = StoreWriter(SegmentStore(directory))
    writer.start()
    loop = asyncio.get_running_loop()

    async def client(number: int) -> None:
        nonlocal commits
        while time.monotonic() < end_s:
            durable: asyncio.Future[bool] = loop.create_future()
            key = f"k{number} {commits % KEYS_PER_CLIENT}".encode()
            writer.submit([(REGISTER, key, VALUE)], durable.set_result)
            await durable
            commits += 1

    await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    await writer.stop()
    return commits / seconds


def measure_recovery(directory: Path, records: int) -> RecoveryTimes:
    """Measure how long a store with a number of write outcomes takes to open."""
    shutil.rmtree(directory, ignore_errors=True)
    store = SegmentStore(directory)
    _fill(store, records)
    log_bytes = store.log_bytes
    store.close()
    from_log_s = _time_to_open(directory, records)
    store = SegmentStore(directory)
    store.compact()
    store.close()
    return RecoveryTimes(records, log_bytes, from_log_s, _time_to_open(directory, records))


def _fill(store: SegmentStore, records: int) -> None:
    outcome = pack(WriteOutcome(True, OUTCOME_BODY, 1, 2))
    row = pack(Row(Ballot(2, 1, 9), Ballot(2, 1, 9), 1, outcome, 99))
    for first in range(0, records, UPDATES_PER_COMMIT):
        numbers = range(first, min(first + UPDATES_PER_COMMIT, records))
        store.commit([(REGISTER, f"w:once:volume:{number:016x}".encode(), row) for number in numbers])


def _time_to_open(directory: Path, records: int) -> float:
    started = time.monotonic()
    recovered = RecoveredContents(directory, FileSystem())
    seconds = time.monotonic() - started
    assert len(recovered.index) == records
    return seconds
