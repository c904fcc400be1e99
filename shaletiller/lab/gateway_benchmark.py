"""`lab fleet-cost`: what the fleet part costs a gateway, on against off, in turn within one run.

Two fleets stand side by side on the same machine, one with the fleet part on.  They are measured in turn,
several times over, so that what else the machine does strikes both: a while without a request, then a while
in which clients ask one gateway as fast as it answers (closed loop).
"""

from __future__ import annotations

import asyncio
import statistics
import tempfile
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from shaletiller.lab.fleet_scenarios import SETTINGS, Rig
from shaletiller.lab.load_generator import Asked, Load, Stream
from shaletiller.lab.storage_nodes import now_ms

CLIENTS = 16
UNLIMITED = {**SETTINGS, "contracts": [SETTINGS["contracts"][1]]}


@dataclass(slots=True)
class Cost:
    """Of one gateway, in one turn."""

    on: bool
    idle_cpu_ms_a_second: float
    requests_a_second: float
    cpu_us_a_request: float
    p50_ms: float
    p99_ms: float
    memory_mb: float


async def _turn(rig: Rig, seconds: float, number: int) -> Cost:
    name = rig.names[0]
    gateway = rig.processes[name]
    cpu_s, _ = gateway.usage()
    began = now_ms()
    await asyncio.sleep(seconds / 2)
    idle_s = gateway.usage()[0] - cpu_s
    idle_span_s = (now_ms() - began) / 1000
    load = Load({name: gateway.port}, rig.seed + number)
    stream = Stream(name, 7, "free", "read", 1.0, 0.0, 0.0, shards=3, hosts=1)
    times: list[float] = []
    until = now_ms() + seconds * 1000

    async def client(at: int) -> None:
        count = 0
        while now_ms() < until:
            count += 1
            request = f"{number:04x}{at:04x}{count:08x}"
            each = Asked(now_ms(), name, request, stream, 1, count % 3)
            await load.ask(each)
            times.append(each.ended_ms - each.sent_ms)

    cpu_s, _ = gateway.usage()
    began = now_ms()
    await asyncio.gather(*(client(at) for at in range(CLIENTS)))
    span_s = (now_ms() - began) / 1000
    used_s, memory = gateway.usage()
    served = sum(each.status == 200 for each in load.asked)
    cuts = statistics.quantiles(times, n=100)
    return Cost(
        rig.on,
        1000 * idle_s / idle_span_s,
        served / span_s,
        1e6 * (used_s - cpu_s) / max(1, served),
        cuts[49],
        cuts[98],
        memory,
    )


async def measure(gateways: int, seconds: float, seed: int, turns: int) -> dict[str, Any]:
    """Both fleets, in turn."""
    with tempfile.TemporaryDirectory() as made:
        rigs = [
            Rig(gateways, seed, seconds, Path(made) / str(on), settings=UNLIMITED, on=on)
            for on in (False, True)
        ]
        found: list[Cost] = []
        try:
            for rig in rigs:
                for node in rig.nodes:
                    node.units_of = lambda request: 0.1
                await rig.start()
            for turn in range(turns):
                for rig in rigs:
                    found.append(await _turn(rig, seconds, turn))
        finally:
            for rig in rigs:
                await rig.stop()
    return {"gateways": gateways, "seed": seed, "turns": [asdict(each) for each in found]}


def lines(found: dict[str, Any]) -> list[str]:
    """The medians over the turns, off against on."""
    told = [f"{'':24} {'off':>10} {'on':>10}   medians of {len(found['turns']) // 2} turns each"]
    names = [name for name in found["turns"][0] if name != "on"]
    for name in names:
        off, on = (
            statistics.median(each[name] for each in found["turns"] if each["on"] is wanted)
            for wanted in (False, True)
        )
        told.append(f"{name.replace('_', ' '):24} {off:10.2f} {on:10.2f}")
    return told
