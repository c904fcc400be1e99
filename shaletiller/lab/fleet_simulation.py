"""Simulated fleets: many schedules of faults, and how traffic and propagation time grow with the fleet."""

from __future__ import annotations

import os
import random
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from shaletiller.fleet.core import FleetOptions
from shaletiller.fleet.health_gossip import HealthKind
from shaletiller.fleet.leases import LeaseTiming
from shaletiller.fleet.quotas import Allowance
from shaletiller.lab.fault_schedules import ScheduleResult, run_schedule
from shaletiller.lab.limit_usage import Limit, overshoot, utilization
from shaletiller.lab.virtual_fleet import VirtualFleet

# Gateways of a fleet of any size know each other by then.
MEET_MS = 4_000.0
# Longer than a health record takes to reach all gateways, also with losses, so that records do not overlap.
RECORD_INTERVAL_MS = 1_500.0
# Longer than any run: no health record expires in one.
RECORD_TTL_MS = 3_600_000.0
# In larger fleets the use of a limit is not measured: two minutes in which own parts are unavailable would
# come before it.
MAX_GATEWAYS_WITH_LIMIT = 400
# Schedules that a worker process takes at a time: empirical, fewer cost calls between processes, more leave
# cores idle at the end.
SCHEDULES_PER_CALL = 20
# Violated schedules that are reported in full.
MAX_REPORTED_FAILURES = 20


@dataclass(slots=True)
class FleetMeasurement:
    """Traffic and propagation time of a fleet of one size; the names are those of the JSON report.

    :param loss: probability that a message is lost.
    :param messages_a_second: sent by one gateway.
    :param bytes_a_second: sent by one gateway.
    :param spread_ms: for each health record, the time until all gateways had it.
    :param use: the part of a limit's rate that was spent, see `utilization`.
    :param over: units by which the limit was exceeded, see `overshoot`.
    """

    gateways: int
    loss: float
    messages_a_second: float
    bytes_a_second: float
    spread_ms: list[float] = field(default_factory=list)
    use: float = 0.0
    over: float = 0.0


def measure_size(gateways: int, seed: int, loss: float = 0.0, news: int = 8) -> FleetMeasurement:
    """Eject nodes at random gateways one after the other, while one gateway requests an entire limit.

    :param news: number of nodes ejected.
    """
    world = VirtualFleet(gateways, seed, FleetOptions())
    for link in world.all_links():
        link.loss = loss
    draw = random.Random(f"size {gateways} {seed}")
    for gateway in world.gateways:
        world.time.at(draw.uniform(0, 1_000.0), gateway.start)
    limit = Limit("v:strict", Allowance(400.0, 400.0))
    limited = gateways <= MAX_GATEWAYS_WITH_LIMIT
    # A gateway's own part is unavailable for a term after its start; with many gateways that is long.
    settle_ms = MEET_MS + (LeaseTiming.for_members(gateways).pledge_wait_ms if limited else 0.0)
    end_ms = settle_ms + news * RECORD_INTERVAL_MS
    if limited:
        world.load(0, limit, 600.0, settle_ms - MEET_MS / 2, end_ms, gateways)
    world.time.run(settle_ms)
    sent, sent_bytes = world.sent, world.sent_bytes
    found = FleetMeasurement(gateways, loss, 0.0, 0.0)
    for number in range(news):
        at_ms = settle_ms + number * RECORD_INTERVAL_MS
        found.spread_ms.append(_propagation_ms(world, draw, f"s-{number}", at_ms))
    span_s = (world.time.now_ms - settle_ms) / 1000
    found.messages_a_second = (world.sent - sent) / gateways / span_s
    found.bytes_a_second = (world.sent_bytes - sent_bytes) / gateways / span_s
    found.use = utilization(world.spends, limit, settle_ms, end_ms) if limited else float("nan")
    found.over = overshoot(world.spends, limit, world.drift)
    return found


def _propagation_ms(world: VirtualFleet, draw: random.Random, node: str, at_ms: float) -> float:
    """Eject a node at a random gateway; return the time until all have the record, infinity if not all do."""
    world.time.run(at_ms)
    publisher = world.gateways[draw.randrange(world.members)]
    assert publisher.fleet is not None
    publisher.fleet.publish_health(node, HealthKind.EJECTED, 0, 1, RECORD_TTL_MS, publisher.clock())
    world.time.run(at_ms + RECORD_INTERVAL_MS)
    received_ms = [change.at_ms for change in world.health_changes if change.node == node and change.agreed]
    return max(received_ms) - at_ms if len(received_ms) == world.members else float("inf")


def run_schedules(seeds: Iterable[int], gateways: int, processes: int | None = None) -> list[ScheduleResult]:
    """Run the schedules of these seeds on all cores; results are in the order of the seeds."""
    with ProcessPoolExecutor(processes or os.cpu_count()) as pool:
        return list(pool.map(partial(run_schedule, members=gateways), seeds, chunksize=SCHEDULES_PER_CALL))


def summary(results: list[ScheduleResult]) -> dict[str, Any]:
    """Summarize schedules, under the key names of the JSON report."""
    violated = [each for each in results if each.violations]
    reports = [each.report() for each in results]
    mean = {
        name: sum(report[name] for report in reports) / len(results)
        for name in ("use_cut", "use_healed", "messages_a_second")
    }
    return {
        "schedules": len(results),
        "broken": len(violated),
        "worst_overshoot_units": max(max(each.overshoot_units.values()) for each in results),
        **mean,
        "failures": [each.report() for each in violated[:MAX_REPORTED_FAILURES]],
    }


def study(gateways: int, count: int, seed: int, sizes: list[int], loss: float = 0.0) -> dict[str, Any]:
    """Run `count` schedules from a seed on, and measure fleets of these sizes.

    :returns: the JSON report.
    """
    results = run_schedules(range(seed, seed + count), gateways) if count else []
    with ProcessPoolExecutor() as pool:
        measured = list(pool.map(partial(measure_size, seed=seed, loss=loss), sizes))
    return {
        "gateways": gateways,
        "seed": seed,
        "schedules": summary(results) if results else {},
        "sizes": [asdict(each) for each in measured],
    }


def lines(found: dict[str, Any]) -> list[str]:
    """Return the lines printed for a study."""
    printed, runs = [], found["schedules"]
    if runs:
        printed.append(
            f"{'!!' if runs['broken'] else 'ok'} {runs['schedules']} schedules of {found['gateways']} "
            f"gateways: {runs['broken']} broke a guarantee; most over a strict limit "
            f"{runs['worst_overshoot_units']:.3f} units; "
            f"use in trouble {runs['use_cut']:.2f}, two terms after healing {runs['use_healed']:.2f}; "
            f"{runs['messages_a_second']:.0f} messages/s a gateway"
        )
        printed += [f"   seed {each['seed']}: {'; '.join(each['broken'])}" for each in runs["failures"]]
    if found["sizes"]:
        printed.append("gateways   loss  messages/s   bytes/s  spread ms: mean    most   use of a limit")
    for each in found["sizes"]:
        spread = each["spread_ms"]
        mean_ms = sum(spread) / len(spread)
        printed.append(
            f"{each['gateways']:8d} {each['loss']:6.2f} {each['messages_a_second']:11.1f} "
            f"{each['bytes_a_second']:9.0f} {mean_ms:15.0f} {max(spread):7.0f} {each['use']:16.3f}"
        )
    return printed


def draw(found: dict[str, Any], path: Path) -> None:
    """Draw traffic and propagation time by the size of the fleet into a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    sizes = [each["gateways"] for each in found["sizes"]]
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.6))
    left.plot(sizes, [each["messages_a_second"] for each in found["sizes"]], marker="o")
    left.set(xscale="log", xlabel="gateways", ylabel="messages a second, each gateway", ylim=(0, None))
    right.plot(sizes, [max(each["spread_ms"]) for each in found["sizes"]], marker="o", label="most")
    right.plot(
        sizes,
        [sum(each["spread_ms"]) / len(each["spread_ms"]) for each in found["sizes"]],
        marker="o",
        label="mean",
    )
    right.set(xscale="log", xlabel="gateways", ylabel="ms until all have the record", ylim=(0, None))
    right.legend()
    for axes in (left, right):
        axes.grid(alpha=0.3)
        axes.set_xticks(sizes, [str(size) for size in sizes])
    figure.tight_layout()
    figure.savefig(path, dpi=110)
