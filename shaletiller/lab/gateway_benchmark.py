"""`lab fleet-cost`: the cost of the fleet code in a gateway, measured with it enabled and disabled.

Two sets of gateways run on the same machine, one of them with the fleet enabled.  They are measured in
alternating turns, so that other load on the machine affects both.  Each turn begins without requests; then
clients send to one gateway as fast as it answers (closed loop).
"""

from __future__ import annotations

import asyncio
import statistics
import tempfile
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from shaletiller.lab.fleet_testbed import SETTINGS, FleetTestbed
from shaletiller.lab.gateway_processes import GatewayProcess
from shaletiller.lab.load_generator import ClientRequest, LoadGenerator, Stream
from shaletiller.lab.storage_nodes import now_ms

# Concurrent clients.  A smaller value may not keep the gateway busy; a larger value adds queueing time.
CLIENTS = 16
# Small, so that the nodes are not the bottleneck.
UNITS_PER_REQUEST = 0.1
UNLIMITED_SETTINGS = {**SETTINGS, "contracts": [SETTINGS["contracts"][1]]}


@dataclass(slots=True)
class TurnCost:
    """The cost of one gateway in one turn; the field names are keys of the JSON report.

    :param on: whether the fleet was enabled.
    :param idle_cpu_ms_a_second: CPU milliseconds per second without requests.
    """

    on: bool
    idle_cpu_ms_a_second: float
    requests_a_second: float
    cpu_us_a_request: float
    p50_ms: float
    p99_ms: float
    memory_mb: float


async def _measure_turn(testbed: FleetTestbed, seconds: float, number: int) -> TurnCost:
    gateway = testbed.processes[testbed.names[0]]
    idle_cpu_ms = await _idle_cpu_ms_per_second(gateway, seconds / 2)
    load = LoadGenerator({gateway.name: gateway.port}, testbed.seed + number)
    cpu_before_s, _ = gateway.usage()
    began_ms = now_ms()
    latencies_ms = await _run_closed_loop(load, gateway.name, began_ms + seconds * 1000, number)
    span_s = (now_ms() - began_ms) / 1000
    cpu_after_s, memory_mb = gateway.usage()
    served = sum(request.status == 200 for request in load.requests)
    percentiles = statistics.quantiles(latencies_ms, n=100)
    return TurnCost(
        on=testbed.fleet_enabled,
        idle_cpu_ms_a_second=idle_cpu_ms,
        requests_a_second=served / span_s,
        cpu_us_a_request=1e6 * (cpu_after_s - cpu_before_s) / max(1, served),
        p50_ms=percentiles[49],
        p99_ms=percentiles[98],
        memory_mb=memory_mb,
    )


async def _idle_cpu_ms_per_second(gateway: GatewayProcess, seconds: float) -> float:
    cpu_before_s, _ = gateway.usage()
    began_ms = now_ms()
    await asyncio.sleep(seconds)
    idle_s = gateway.usage()[0] - cpu_before_s
    return 1000 * idle_s / ((now_ms() - began_ms) / 1000)


async def _run_closed_loop(load: LoadGenerator, gateway: str, end_ms: float, number: int) -> list[float]:
    """Let each client send its next request when the previous one is answered; return all latencies."""
    stream = Stream(gateway, 7, "free", "read", 1.0, 0.0, 0.0, shards=3, hosts=1)
    latencies_ms: list[float] = []

    async def client(client_number: int) -> None:
        sent = 0
        while now_ms() < end_ms:
            sent += 1
            request_id = f"{number:04x}{client_number:04x}{sent:08x}"
            request = ClientRequest(now_ms(), gateway, request_id, stream, 1, sent % 3)
            await load.send(request)
            latencies_ms.append(request.ended_ms - request.sent_ms)

    await asyncio.gather(*(client(client_number) for client_number in range(CLIENTS)))
    return latencies_ms


async def measure(gateways: int, seconds: float, seed: int, turns: int) -> dict[str, Any]:
    """Measure both sets of gateways alternately.

    :param seconds: duration of the load in each turn.
    :returns: the JSON report.
    """
    with tempfile.TemporaryDirectory() as temporary:
        testbeds = [
            FleetTestbed(
                gateways,
                seed,
                seconds,
                Path(temporary) / str(enabled),
                settings=UNLIMITED_SETTINGS,
                fleet_enabled=enabled,
            )
            for enabled in (False, True)
        ]
        costs: list[TurnCost] = []
        try:
            for testbed in testbeds:
                for node in testbed.nodes:
                    node.units_of = lambda request: UNITS_PER_REQUEST
                await testbed.start()
            for turn in range(turns):
                for testbed in testbeds:
                    costs.append(await _measure_turn(testbed, seconds, turn))
        finally:
            for testbed in testbeds:
                await testbed.stop()
    return {"gateways": gateways, "seed": seed, "turns": [asdict(cost) for cost in costs]}


def lines(report: dict[str, Any]) -> list[str]:
    """Return the lines to print for a report: medians over the turns, with the fleet disabled and enabled."""
    printed = [f"{'':24} {'off':>10} {'on':>10}   medians of {len(report['turns']) // 2} turns each"]
    names = [name for name in report["turns"][0] if name != "on"]
    for name in names:
        off, on = (
            statistics.median(turn[name] for turn in report["turns"] if turn["on"] is enabled)
            for enabled in (False, True)
        )
        printed.append(f"{name.replace('_', ' '):24} {off:10.2f} {on:10.2f}")
    return printed
