"""`lab discovery`: real gateway processes whose discovery fails, lies or forgets.

All gateways send reads to all storage nodes all the time.  Judged, from what nodes, discovery and clients
wrote down: sends to nodes that had left, or drained past their grace, and of which any gateway had been told;
the time from a restart to the first request served; that nodes which discovery goes on naming are used; and
the calls that discovery got.
"""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from typing import Any

from shaletiller.lab.fleet_scenarios import SHARDS, Rig, count
from shaletiller.lab.guarantees import Guarantee, Outcome
from shaletiller.lab.load_generator import Load, Stream
from shaletiller.lab.replication_scenarios import wait_until_synced
from shaletiller.lab.scenario import Scenario
from shaletiller.lab.storage_nodes import now_ms

SPREAD_MS = 500.0  # a change that one gateway was told is acted on by all connected within that
GRACE_MS = 1_000.0  # a draining node may get work so long
FIRST_MS = 2_000.0  # from a restart's first answer at the door to the first request served
CALLS = 25.0  # a second, of each gateway: a watch is a second, a failure's wait 50 ms at the least
OPERATOR = """store {
    dir "FOLDER/store"
}
promises {
    on true
}
"""


def settings() -> dict[str, Any]:
    return {
        "tick-ms": 2.0,
        "discovery": "automatic",
        "classes": [
            {
                "name": "read",
                "target-ms": 300.0,
                "hard-limit-ms": 900.0,
                "importance": 1.0,
                "effect": "read_like",
            }
        ],
        "contracts": [{"name": "free", "base-rate": 50.0, "reserve": 50.0, "proportion": 1.0}],
        "domain": {"mean-units": 4.5, "most-units": 8, "shards": SHARDS + 1, "writes": [False]},
        "limits": {"max-attempts": 3, "cancel": True, "retry-after": True},
        "obligations": {"answer-slack-ms": 8.0, "drain-grace-ms": GRACE_MS},
    }


async def run(
    gateways: int,
    seconds: float,
    seed: int,
    scenario: Scenario,
    folder: Path | None = None,
    on: bool = True,
) -> Outcome:
    """One run and its verdict; `on`: with the fleet and the store, or each gateway alone."""
    with tempfile.TemporaryDirectory() as made:
        of = Rig(
            gateways, seed, seconds, folder or Path(made), "tcp", settings(), OPERATOR if on else "", on=on
        )
        load = Load({}, seed)
        try:
            await of.start()
            if on:
                await wait_until_synced(of)
            load = Load({name: process.port for name, process in of.processes.items()}, seed)
            of.began_ms = now_ms() + 100.0
            end_ms = seconds * 1000
            asked = load.draw(
                [
                    Stream(name, 100 + at, "free", "read", 270.0, 0.0, end_ms, SHARDS + 1)
                    for at, name in enumerate(of.names)
                ]
            )
            units = {each.request: float(each.units) for each in asked}
            for node in of.nodes:
                node.units_of = lambda request: units.get(request, 1.0)
            await asyncio.gather(load.play(asked, of.began_ms), of.play(scenario.faults))
            stats = {name: await process.stats() for name, process in of.processes.items() if process.alive}
        finally:
            await of.stop()
        return judge(of, load, scenario, stats)


def judge(of: Rig, load: Load, scenario: Scenario, stats: dict[str, dict[str, int]]) -> Outcome:
    """From the records of nodes, discovery and clients."""
    out = Outcome(f"discovery {scenario.name}", of.seed)
    out.guarantees.append(_gone(of))
    out.guarantees += _restarts(of, load)
    left = {node for node, state in of.discovery.states.items() if state == "left"}
    last_ms = of.began_ms + of.seconds * 1000 - 1_500.0
    for node in of.nodes:
        if node.name not in left and node.state == "up":
            used = {each.gateway for each in node.attempts if each.at_ms >= last_ms}
            if used != set(of.names):
                out.guarantees.append(
                    Guarantee(
                        f"gateways that use {node.name} at the end", len(of.names), len(used), "at least"
                    )
                )
    silent = [
        each
        for each in load.asked
        if each.status == 0
        and not of.processes[each.gateway].was_down(each.due_ms - 50.0, each.ended_ms + 50.0)
    ]
    out.guarantees.append(Guarantee("unanswered", 0, len(silent), note=f"{len(load.asked)} requests"))
    calls: dict[str, int] = {}
    for at, gateway in of.discovery.calls:
        if at >= of.began_ms:
            calls[gateway] = calls.get(gateway, 0) + 1
    out.guarantees.append(
        Guarantee(
            "calls to discovery a second, of one gateway",
            CALLS,
            max(calls.values(), default=0) / of.seconds,
            note=f"{sum(calls.values()) / of.seconds:.1f} of all",
        )
    )
    out.figures = {"statuses": count(str(each.status) for each in load.asked), "stats": stats, "calls": calls}
    out.course = [f"{at / 1000:7.2f} s  {what}" for at, what in of.course]
    return out


def _gone(of: Rig) -> Guarantee:
    """Sends to a node past what any gateway was told of it: drained past its grace, or left."""
    late, worst = 0, 0.0
    for node in of.nodes:
        told = [
            (of.discovery.told_ms.get((node.name, "leaving")), GRACE_MS),
            (of.discovery.told_ms.get((node.name, "left")), 0.0),
        ]
        ends = [at + more + SPREAD_MS for at, more in told if at is not None]
        back = [at for at, name, state in of.discovery.changes if name == node.name and state == "active"]
        if not ends or (back and back[-1] > min(ends) - SPREAD_MS - GRACE_MS):
            continue
        for each in node.attempts:
            # One that has just started hears of it within as long.
            starts = [end + SPREAD_MS for _, end in of.processes[each.gateway].down if end <= each.at_ms]
            if each.at_ms > max([min(ends), *starts]):
                late += 1
                worst = max(worst, each.at_ms - min(ends))
    return Guarantee(
        "sends to nodes that anyone knew to be gone",
        0,
        late,
        note=f"the latest {worst:.0f} ms past the bound" if late else "",
    )


def _restarts(of: Rig, load: Load) -> list[Guarantee]:
    """From each restart to the first request served there."""
    worst, number = 0.0, 0
    for name, process in of.processes.items():
        for up_ms in process.up_ms[1:]:
            served = [
                each.ended_ms
                for each in load.asked
                if each.gateway == name and each.status == 200 and each.ended_ms >= up_ms
            ]
            number += 1
            worst = max(worst, min(served, default=float("inf")) - up_ms)
    return (
        [
            Guarantee(
                "first request served after a restart", FIRST_MS, worst, unit="ms", note=f"{number} restarts"
            )
        ]
        if number
        else []
    )
