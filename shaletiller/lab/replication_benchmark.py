"""What promises cost, side by side in one run: writes local against copied, group commit against a sync for
each, recovery by the number of records, and a lost machine's repair beside running requests.
"""

from __future__ import annotations

import asyncio
import random
import shutil
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

from shaletiller.lab.fleet_scenarios import SHARDS
from shaletiller.lab.load_generator import Asked, Load, Stream
from shaletiller.lab.replication_scenarios import create_testbed, wait_until_synced
from shaletiller.lab.storage_nodes import now_ms
from shaletiller.replication.records import REGISTER, Ballot, Row, WriteOutcome, pack
from shaletiller.store.file_system import FileSystem
from shaletiller.store.recovery import RecoveredContents
from shaletiller.store.segment_store import SegmentStore
from shaletiller.store.writer import StoreWriter

GATEWAYS = 5
RATE = 60.0  # units a second of writes, of each gateway


def percentiles(values: list[float]) -> dict[str, float]:
    """p50, p90, p99 and the most, in the values' unit."""
    ranked = sorted(values) or [float("nan")]
    return {
        name: ranked[min(len(ranked) - 1, int(part * len(ranked)))]
        for name, part in (("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("most", 1.0))
    }


def _latencies(asked: list[Asked], begin_ms: float = 0.0, end_ms: float = float("inf")) -> list[float]:
    """Of the writes that were served, from when each was due."""
    return [
        each.ended_ms - each.due_ms
        for each in asked
        if each.status == 200 and each.stream.keyed and begin_ms <= each.due_ms < end_ms
    ]


async def writes(level: str, seconds: float, seed: int, lose: bool = False, held: int = 0) -> dict[str, Any]:
    """The same writes through the same fleet.  `lose`: in the midst one machine is lost and filled anew, of
    `held` records that the fleet has by then."""
    with tempfile.TemporaryDirectory() as made:
        of = create_testbed(GATEWAYS, seconds, seed, Path(made), level)
        found: dict[str, Any] = {}
        try:
            await of.start()
            await wait_until_synced(of)
            load = Load({name: process.port for name, process in of.processes.items()}, seed)
            if held:
                await _hold(load, of.names, held)
                load.asked.clear()
            of.began_ms = now_ms() + 100.0
            end_ms = seconds * 1000
            through = [name for name in of.names if not (lose and name == "g1")]
            streams = [
                Stream(name, 300, "free", "once", RATE, 0.0, end_ms, SHARDS, write=True, keyed=True)
                for name in through
            ]
            asked = load.draw(streams)
            tasks = [load.play(asked, of.began_ms)]
            if lose:
                tasks.append(_lose(of, seconds, found))
            await asyncio.gather(*tasks)
            found["statuses"] = {
                str(status): sum(each.status == status for each in load.asked)
                for status in {each.status for each in load.asked}
            }
            found["ms"] = percentiles(_latencies(load.asked))
            if lose:
                spans = {
                    "before": (0.0, found["lost_ms"]),
                    "away": (found["lost_ms"], found["back_ms"]),
                    "filling": (found["back_ms"], found["filled_ms"]),
                }
                for name, (begin, end) in spans.items():
                    found[f"ms_{name}"] = percentiles(
                        _latencies(load.asked, of.began_ms + begin, of.began_ms + end)
                    )
                of_g1 = await of.processes["g1"].stats()
                found["records_filled"] = of_g1["edge.promises.repair_taken"]
            if level == "copied":
                stats = [await process.stats() for process in of.processes.values()]
                found["disk_bytes"] = sum(each["edge.store.log_bytes"] for each in stats)
                found["live_bytes"] = sum(each["edge.store.live_bytes"] for each in stats)
                found["promised_bytes"] = sum(
                    len(each.key) + len(each.body) for each in load.asked if each.status == 200
                )
                found["rows_a_commit"] = sum(each["edge.store.rows"] for each in stats) / max(
                    1, sum(each["edge.store.commits"] for each in stats)
                )
        finally:
            await of.stop()
        return found


async def _hold(load: Load, names: list[str], held: int) -> None:
    """So many outcomes are made first, as fast as they go."""
    draw, left = random.Random("hold"), held
    stream = Stream("", 301, "free", "once", 1.0, 0.0, 1.0, SHARDS, write=True, keyed=True)

    async def client(name: str) -> None:
        nonlocal left
        while left > 0:
            left -= 1
            each = Asked(
                now_ms(),
                name,
                f"{draw.getrandbits(64):016x}",
                stream,
                1,
                draw.randrange(SHARDS),
                f"{draw.getrandbits(64):016x}",
            )
            await load.ask(each)

    await asyncio.gather(*(client(name) for name in names for _ in range(4)))


async def _lose(of: Any, seconds: float, found: dict[str, Any]) -> None:
    process = of.processes["g1"]
    await asyncio.sleep(seconds / 3)
    found["lost_ms"] = now_ms() - of.began_ms
    await process.kill()
    process.wipe()
    await asyncio.sleep(seconds / 6)
    await process.start(of.known("g1"))
    found["back_ms"] = now_ms() - of.began_ms
    while (await process.stats())["edge.promises.filled"] != 1:
        await asyncio.sleep(0.01)
    found["filled_ms"] = now_ms() - of.began_ms


async def commits(folder: Path, seconds: float, together: bool, clients: int = 64) -> float:
    """Records a second that `clients` have kept, each waiting for its last; together, or a sync for each."""
    count, until = 0, time.monotonic() + seconds
    value = b"x" * 200
    if not together:
        store = SegmentStore(folder)
        while time.monotonic() < until:
            store.commit([(1, f"k{count % 1000}".encode(), value)])
            count += 1
        store.close()
        return count / seconds
    keeper = StoreWriter(SegmentStore(folder))
    keeper.start()
    loop = asyncio.get_running_loop()

    async def client(number: int) -> None:
        nonlocal count
        while time.monotonic() < until:
            lasts: asyncio.Future[bool] = loop.create_future()
            keeper.submit([(1, f"k{number} {count % 20}".encode(), value)], lasts.set_result)
            await lasts
            count += 1

    await asyncio.gather(*(client(number) for number in range(clients)))
    await keeper.stop()
    return count / seconds


def recovery(folder: Path, records: int) -> dict[str, float]:
    """How long a store of so many outcomes takes to open, from the log and from a snapshot."""
    shutil.rmtree(folder, ignore_errors=True)
    store = SegmentStore(folder)
    body = pack(WriteOutcome(True, b"x" * 100, 1, 2))
    row = pack(Row(Ballot(2, 1, 9), Ballot(2, 1, 9), 1, body, 99))
    for first in range(0, records, 5_000):
        store.commit(
            [
                (REGISTER, f"w:once:volume:{number:016x}".encode(), row)
                for number in range(first, min(first + 5_000, records))
            ]
        )
    size = store.log_bytes
    store.close()
    began = time.monotonic()
    RecoveredContents(folder, FileSystem())
    from_log_s = time.monotonic() - began
    store = SegmentStore(folder)
    store.compact()
    store.close()
    began = time.monotonic()
    found = RecoveredContents(folder, FileSystem())
    assert len(found.index) == records
    return {"records": records, "bytes": size, "log_s": from_log_s, "snapshot_s": time.monotonic() - began}


async def measure(seconds: float, seed: int, turns: int, most_records: int, held: int) -> dict[str, Any]:
    """All of it."""
    found: dict[str, Any] = {"writes": {"local": [], "copied": []}}
    for turn in range(turns):
        for level in ("local", "copied"):
            found["writes"][level].append(await writes(level, seconds, seed + turn))
    with tempfile.TemporaryDirectory() as made:
        found["commits_a_second"] = {
            "a sync for each": await commits(Path(made) / "one", 3.0, False),
            "group commit, 64 clients": await commits(Path(made) / "group", 3.0, True),
        }
        found["recovery"] = [
            recovery(Path(made) / "many", 10**power) for power in (4, 5, 6) if 10**power <= most_records
        ]
    found["repair"] = await writes("copied", max(12.0, seconds), seed, lose=True, held=held)
    return found


def lines(found: dict[str, Any]) -> list[str]:
    """The measurement in words."""
    told = []
    for level, plays in found["writes"].items():
        ms = {name: statistics.median(play["ms"][name] for play in plays) for name in ("p50", "p90", "p99")}
        told.append(
            f"writes {level:6}: "
            + ", ".join(f"{name} {value:.1f} ms" for name, value in ms.items())
            + f" (medians of {len(plays)})"
        )
    for name, rate in found["commits_a_second"].items():
        told.append(f"{name}: {rate:.0f} records a second")
    for each in found["recovery"]:
        told.append(
            f"recovery of {each['records']} records, {each['bytes'] / 1e6:.1f} MB: "
            f"{each['log_s']:.2f} s from the log, {each['snapshot_s']:.2f} s from a snapshot"
        )
    last = found["writes"]["copied"][-1]
    told.append(
        f"disk: {last['disk_bytes']} bytes in all logs, {last['live_bytes']} of them live, for "
        f"{last['promised_bytes']} bytes promised; {last['rows_a_commit']:.1f} rows a commit"
    )
    repair = found["repair"]
    told.append(
        f"repair: {repair['records_filled']} records in "
        f"{repair['filled_ms'] - repair['back_ms']:.0f} ms after the new machine served"
    )
    for name in ("before", "away", "filling"):
        ms = repair[f"ms_{name}"]
        told.append(f"  writes {name:7}: p50 {ms['p50']:.1f}, p99 {ms['p99']:.1f}, most {ms['most']:.1f} ms")
    return told


def draw(found: dict[str, Any], path: Path) -> None:
    """Latency of writes, commits a second and recovery, as a picture."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, middle, right) = pyplot.subplots(1, 3, figsize=(11, 3.6))
    names = ("p50", "p90", "p99")
    for at, (level, plays) in enumerate(found["writes"].items()):
        heights = [statistics.median(play["ms"][name] for play in plays) for name in names]
        left.bar([each + at * 0.4 for each in range(3)], heights, 0.38, label=level)
    left.set_xticks([each + 0.2 for each in range(3)], names)
    left.set(ylabel="ms from when a write was due", title="writes")
    left.legend()
    rates = found["commits_a_second"]
    middle.bar(["a sync\nfor each", "group\ncommit"], list(rates.values()))
    middle.set(ylabel="records a second", title="commits")
    sizes = [each["records"] for each in found["recovery"]]
    for name in ("log", "snapshot"):
        right.plot(sizes, [each[f"{name}_s"] for each in found["recovery"]], marker="o", label=name)
    right.set(xscale="log", yscale="log", xlabel="records", ylabel="seconds to open", title="recovery")
    right.legend()
    for axes in (left, middle, right):
        axes.grid(alpha=0.3, axis="y")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
