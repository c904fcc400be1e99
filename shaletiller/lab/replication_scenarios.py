"""`lab promises`: real gateway processes with stores of their own that keep promises for each other.

Clients write with keys, and ask again with the same key through other gateways: at once, soon, and when all
faults are over.  An operator takes a storage node out at one door.  Storage nodes remember nothing: a write
that comes twice runs twice.  All that is judged is what clients were told and what the nodes ran.
"""

from __future__ import annotations

import asyncio
import random
import tempfile
from collections import defaultdict
from pathlib import Path
from typing import Any

from shaletiller.lab.fleet_testbed import SHARDS, Rig
from shaletiller.lab.gateway_processes import LabError
from shaletiller.lab.guarantees import Guarantee, Outcome, count
from shaletiller.lab.load_generator import Asked, Load, Stream
from shaletiller.lab.scenario import Scenario
from shaletiller.lab.storage_nodes import now_ms

BAN_MS = 2_000.0  # a gateway that is there, and back from a fault, acts on a ban within that
REPEATS_MS = (0.0, 10.0, 60.0, 1_000.0, 3_000.0, 8_000.0)  # after the first
REPEATED = 0.5  # the chance of each further repeat
LAST_MS = 3_000.0  # in which, when all else is over, each key is asked for once more
SETTLE_MS = LAST_MS + 1_000.0
KEEP_S = 600
OPERATOR = """store {{
    dir "FOLDER/store"
    drill "FOLDER/drill.json"
}}
promises {{
    on true
    keep-s {keep}
    class "once" level="{level}"
}}
"""


def settings() -> dict[str, Any]:
    """A class of writes that must not run twice and are copied, one that is not, and reads."""
    classes = [
        {"name": name, "target-ms": 300.0, "hard-limit-ms": 900.0, "importance": 1.0, "effect": effect}
        for name, effect in (("read", "read_like"), ("once", "non_idempotent"), ("write", "non_idempotent"))
    ]
    return {
        "tick-ms": 2.0,
        "discovery": "automatic",
        "classes": classes,
        "contracts": [{"name": "free", "base-rate": 50.0, "reserve": 50.0, "proportion": 1.0}],
        "domain": {"mean-units": 4.5, "most-units": 8, "shards": SHARDS + 1, "writes": [False, True, True]},
        "limits": {"max-attempts": 3, "cancel": True, "retry-after": True},
        "obligations": {"answer-slack-ms": 8.0, "drain-grace-ms": 1000.0},
    }


def rig(gateways: int, seconds: float, seed: int, folder: Path, level: str = "copied") -> Rig:
    return Rig(gateways, seed, seconds, folder, "tcp", settings(), OPERATOR.format(keep=KEEP_S, level=level))


def draw(of: Rig, load: Load, rate: float) -> list[Asked]:
    """All requests: reads to all nodes, writes that are not copied, and writes with keys, asked for again."""
    end_ms = of.seconds * 1000 - SETTLE_MS
    streams = []
    for at, name in enumerate(of.names):
        streams += [
            Stream(name, 100 + at, "free", "read", 90.0, 0.0, end_ms, SHARDS + 1),
            Stream(name, 200 + at, "free", "write", 20.0, 0.0, end_ms, SHARDS, write=True),
            Stream(name, 300, "free", "once", rate, 0.0, end_ms, SHARDS, write=True, keyed=True),
        ]
    found = load.draw(streams)
    chance = random.Random(f"repeats {of.seed}")
    for first in [each for each in found if each.key]:
        times = []
        while chance.random() < REPEATED:
            times.append(min(end_ms, first.due_ms + chance.choice(REPEATS_MS)))
        for due_ms in [*times, of.seconds * 1000 - chance.uniform(0.0, LAST_MS)]:
            found.append(
                Asked(
                    due_ms,
                    chance.choice(of.names),
                    f"{chance.getrandbits(64):016x}",
                    first.stream,
                    first.units,
                    first.shard,
                    first.key,
                    content=first.request,
                )
            )
    return sorted(found, key=lambda each: each.due_ms)


async def run(
    gateways: int,
    seconds: float,
    seed: int,
    scenario: Scenario,
    folder: Path | None = None,
    rate: float = 40.0,
) -> Outcome:
    """One run and its verdict.  `rate` is units a second of writes with keys, of each gateway."""
    with tempfile.TemporaryDirectory() as made:
        of = rig(gateways, seconds, seed, folder or Path(made))
        load = Load({}, seed)
        try:
            await of.start()
            await filled(of)
            load = Load({name: process.port for name, process in of.processes.items()}, seed)
            of.began_ms = now_ms() + 100.0
            asked = draw(of, load, rate)
            units = {each.request: float(each.units) for each in asked}
            for node in of.nodes:
                node.units_of = lambda request: units.get(request, 1.0)
            await asyncio.gather(load.play(asked, of.began_ms), of.play(scenario.faults))
            there = {name: process for name, process in of.processes.items() if process.alive}
            stats = {name: await process.stats() for name, process in there.items()}
        finally:
            await of.stop()
        return judge(of, load, scenario, stats)


async def filled(of: Rig, wait_s: float = 20.0) -> None:
    """Wait until every gateway votes on all its keys, and sees all the others."""
    until = now_ms() + wait_s * 1000
    for process in of.processes.values():
        while True:
            stats = await process.stats()
            if stats.get("edge.promises.filled") == 1 and stats["edge.fleet.members"] == of.gateways:
                break
            if now_ms() > until:
                raise LabError(f"{process.name}: its copies are not filled after {wait_s:.0f} s")
            await asyncio.sleep(0.05)


def judge(of: Rig, load: Load, scenario: Scenario, stats: dict[str, dict[str, int]]) -> Outcome:
    """From what clients were told and what nodes ran."""
    out = Outcome(f"promises {scenario.name}", of.seed)
    by_key: dict[str, list[Asked]] = defaultdict(list)
    for each in load.asked:
        if each.key:
            by_key[each.key].append(each)
    lost, made, repeats = list[str](), 0, 0
    for key, asked in by_key.items():
        told = sorted((each for each in asked if each.status == 200), key=lambda each: each.ended_ms)
        if not told:
            continue
        made += 1
        repeats += len(told) - 1
        if len({each.body for each in told}) > 1:
            lost.append(f"{key}: answered in {len({each.body for each in told})} ways")
        first_ms = told[0].ended_ms
        lost += [
            f"{key}: {each.gateway} failed it {each.sent_ms - first_ms:.0f} ms after it was served"
            for each in asked
            if each.status == 502 and each.sent_ms > first_ms
        ]
    out.guarantees.append(
        Guarantee(
            "promises lost",
            0,
            len(lost),
            note=f"{made} outcomes told of {len(by_key)} keys, {repeats} repeats got the same answer",
        )
    )
    ran: dict[str, int] = defaultdict(int)
    for node in of.nodes:
        for attempt in node.attempts:
            if attempt.write and attempt.ran:
                ran[attempt.key or attempt.request] += 1
    twice = [key for key, times in ran.items() if times > 1]
    out.guarantees.append(Guarantee("second runs", 0, len(twice), note=f"{len(ran)} writes ran"))
    silent = [
        each
        for each in load.asked
        if each.status == 0
        and not of.processes[each.gateway].was_down(each.due_ms - 50.0, each.ended_ms + 50.0)
    ]
    out.guarantees.append(
        Guarantee("without a final answer", 0, len(silent), note=f"{len(load.asked)} requests")
    )
    last = [max(asked, key=lambda each: each.due_ms) for asked in by_key.values()]
    refused = sum(each.status not in (200, 502) for each in last)
    if not any(fault.verb == "worsen" for fault in scenario.faults):  # else it never is over
        out.guarantees.append(
            Guarantee("refused when all is over", 0, refused, note=f"of {len(last)} keys asked for once more")
        )
    _bans(out, of)
    out.figures = {
        "statuses": count(f"{each.stream.service} {each.status}" for each in load.asked),
        "stats": stats,
        "refused_at_the_end": refused,
        "lost": lost[:10],
        "twice": twice[:10],
        "silent": [f"{e.gateway} {e.request} {e.why}" for e in silent[:5]],
        "refused_last": [
            f"{each.gateway} {each.status} {each.why}" for each in last if each.status not in (200, 502)
        ][:5],
    }
    out.course = [f"{at / 1000:7.2f} s  {what}" for at, what in of.course]
    return out


def _bans(out: Outcome, of: Rig) -> None:
    """What gateways still sent to a node after `done`, counted from when they were there to hear of it."""
    healed = [of.began_ms + at for at, what in of.course if what == "heal"]
    for node, since_ms, until_ms in of.bans:
        worst = 0.0
        for each in next(other for other in of.nodes if other.name == node).attempts:
            process = of.processes[each.gateway]
            back = [end for _, end in process.down if end <= each.at_ms]
            heard_ms = max([since_ms, *back, *(at for at in healed if at <= each.at_ms)])
            cut = any(
                what.startswith("cut")
                and of.began_ms + at <= each.at_ms
                and not any(of.began_ms + at < heal <= each.at_ms for heal in healed)
                for at, what in of.course
            )
            if since_ms <= each.at_ms < until_ms and not cut:
                worst = max(worst, each.at_ms - heard_ms)
        out.guarantees.append(Guarantee(f"staleness of the ban of {node}", BAN_MS, worst, unit="ms"))
