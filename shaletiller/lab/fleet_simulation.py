"""Simulated fleets: many fault schedules, and how traffic and propagation time grow with the fleet size."""

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

# Time after the start by which the gateways of a fleet of any size know each other.
JOIN_MS = 4_000.0
# Longer than a health record takes to reach all gateways, even with losses, so that records do not overlap.
RECORD_INTERVAL_MS = 1_500.0
# Longer than any run, so that no health record expires during one.
RECORD_TTL_MS = 3_600_000.0
# Largest fleet for which the utilization of a limit is measured.  In a larger one, the gateways' own shares
# would be unavailable for the first two minutes.
MAX_GATEWAYS_WITH_LIMIT = 400
# Schedules that a worker process takes per call.  A smaller value needs more calls between processes; a
# larger value leaves more cores idle at the end.
SCHEDULES_PER_CALL = 20
# Maximum schedules with violated guarantees that are reported in full.
MAX_REPORTED_FAILURES = 20


@dataclass(slots=True)
class FleetMeasurement:
    """Traffic and propagation time of a fleet of one size; the field names are keys of the JSON report.

    :param loss: probability that a message is lost.
    :param messages_a_second: messages per second sent by one gateway.
    :param bytes_a_second: bytes per second sent by one gateway.
    :param spread_ms: for each health record, the time until all gateways had received it.
    :param use: utilization of a limit, see `utilization`.
    :param over: units by which the limit was exceeded, see `overshoot`.
    """

    gateways: int
    loss: float
    messages_a_second: float
    bytes_a_second: float
    spread_ms: list[float] = field(default_factory=list)
    use: float = 0.0
    over: float = 0.0


def measure_size(gateways: int, seed: int, loss: float = 0.0, record_count: int = 8) -> FleetMeasurement:
    """Measure a fleet in which random gateways eject nodes, one after the other.

    One gateway requests more than an entire limit during this time.

    :param loss: probability that a message is lost.
    :param record_count: number of nodes ejected, each of them by one health record.
    """
    virtual_fleet = VirtualFleet(gateways, seed, FleetOptions())
    for link in virtual_fleet.all_links():
        link.loss = loss
    rng = random.Random(f"size {gateways} {seed}")
    for gateway in virtual_fleet.gateways:
        virtual_fleet.time.at(rng.uniform(0, 1_000.0), gateway.start)
    limit = Limit("v:strict", Allowance(400.0, 400.0))
    limited = gateways <= MAX_GATEWAYS_WITH_LIMIT
    # A gateway's own share is unavailable for a term after its start, and the term grows with the fleet.
    settle_ms = JOIN_MS + (LeaseTiming.for_members(gateways).pledge_wait_ms if limited else 0.0)
    end_ms = settle_ms + record_count * RECORD_INTERVAL_MS
    if limited:
        virtual_fleet.load(0, limit, 600.0, settle_ms - JOIN_MS / 2, end_ms, gateways)
    virtual_fleet.time.run(settle_ms)
    sent, sent_bytes = virtual_fleet.sent, virtual_fleet.sent_bytes
    measurement = FleetMeasurement(gateways, loss, 0.0, 0.0)
    for number in range(record_count):
        at_ms = settle_ms + number * RECORD_INTERVAL_MS
        measurement.spread_ms.append(_propagation_ms(virtual_fleet, rng, f"s-{number}", at_ms))
    span_s = (virtual_fleet.time.now_ms - settle_ms) / 1000
    measurement.messages_a_second = (virtual_fleet.sent - sent) / gateways / span_s
    measurement.bytes_a_second = (virtual_fleet.sent_bytes - sent_bytes) / gateways / span_s
    measurement.use = utilization(virtual_fleet.spends, limit, settle_ms, end_ms) if limited else float("nan")
    measurement.over = overshoot(virtual_fleet.spends, limit, virtual_fleet.drift)
    return measurement


def _propagation_ms(virtual_fleet: VirtualFleet, rng: random.Random, node: str, at_ms: float) -> float:
    """Eject a node at a random gateway, and return the time until all gateways have the record.

    :returns: infinity if some gateways do not have it within the interval.
    """
    virtual_fleet.time.run(at_ms)
    publisher = virtual_fleet.gateways[rng.randrange(virtual_fleet.members)]
    assert publisher.fleet is not None
    publisher.fleet.publish_health(node, HealthKind.EJECTED, 0, 1, RECORD_TTL_MS, publisher.clock())
    virtual_fleet.time.run(at_ms + RECORD_INTERVAL_MS)
    received_ms = [
        change.at_ms for change in virtual_fleet.health_changes if change.node == node and change.agreed
    ]
    return max(received_ms) - at_ms if len(received_ms) == virtual_fleet.members else float("inf")


def run_schedules(seeds: Iterable[int], gateways: int, processes: int | None = None) -> list[ScheduleResult]:
    """Run the schedules of these seeds on all cores, and return the results in the order of the seeds."""
    with ProcessPoolExecutor(processes or os.cpu_count()) as pool:
        return list(pool.map(partial(run_schedule, members=gateways), seeds, chunksize=SCHEDULES_PER_CALL))


def summary(results: list[ScheduleResult]) -> dict[str, Any]:
    """Return a summary of schedules, under the keys of the JSON report."""
    violated = [result for result in results if result.violations]
    reports = [result.report() for result in results]
    mean = {
        name: sum(report[name] for report in reports) / len(results)
        for name in ("use_cut", "use_healed", "messages_a_second")
    }
    return {
        "schedules": len(results),
        "broken": len(violated),
        "worst_overshoot_units": max(max(result.overshoot_units.values()) for result in results),
        **mean,
        "failures": [result.report() for result in violated[:MAX_REPORTED_FAILURES]],
    }


def study(gateways: int, count: int, seed: int, sizes: list[int], loss: float = 0.0) -> dict[str, Any]:
    """Run `count` schedules with consecutive seeds, and measure fleets of the given sizes.

    :param seed: the first seed.
    :param loss: probability that a message is lost, in the fleets of the given sizes.

    :returns: the JSON report.
    """
    results = run_schedules(range(seed, seed + count), gateways) if count else []
    with ProcessPoolExecutor() as pool:
        measured = list(pool.map(partial(measure_size, seed=seed, loss=loss), sizes))
    return {
        "gateways": gateways,
        "seed": seed,
        "schedules": summary(results) if results else {},
        "sizes": [asdict(measurement) for measurement in measured],
    }


def lines(report: dict[str, Any]) -> list[str]:
    """Return the lines to print for the report of a study."""
    printed, runs = [], report["schedules"]
    if runs:
        printed.append(
            f"{'!!' if runs['broken'] else 'ok'} {runs['schedules']} schedules of {report['gateways']} "
            f"gateways: {runs['broken']} violated a guarantee; largest excess over a strict limit "
            f"{runs['worst_overshoot_units']:.3f} units; "
            f"utilization during faults {runs['use_cut']:.2f}, "
            f"two terms after healing {runs['use_healed']:.2f}; "
            f"{runs['messages_a_second']:.0f} messages/s per gateway"
        )
        printed += [f"   seed {entry['seed']}: {'; '.join(entry['broken'])}" for entry in runs["failures"]]
    if report["sizes"]:
        printed.append("gateways   loss  messages/s   bytes/s  spread ms: mean     max      utilization")
    for entry in report["sizes"]:
        spread_ms = entry["spread_ms"]
        mean_ms = sum(spread_ms) / len(spread_ms)
        printed.append(
            f"{entry['gateways']:8d} {entry['loss']:6.2f} {entry['messages_a_second']:11.1f} "
            f"{entry['bytes_a_second']:9.0f} {mean_ms:15.0f} {max(spread_ms):7.0f} {entry['use']:16.3f}"
        )
    return printed


def plot_report(report: dict[str, Any], path: Path) -> None:
    """Plot traffic and propagation time by fleet size to a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    sizes = [size["gateways"] for size in report["sizes"]]
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.6))
    left.plot(sizes, [size["messages_a_second"] for size in report["sizes"]], marker="o")
    left.set(xscale="log", xlabel="gateways", ylabel="messages/s per gateway", ylim=(0, None))
    right.plot(sizes, [max(size["spread_ms"]) for size in report["sizes"]], marker="o", label="max")
    right.plot(
        sizes,
        [sum(size["spread_ms"]) / len(size["spread_ms"]) for size in report["sizes"]],
        marker="o",
        label="mean",
    )
    right.set(xscale="log", xlabel="gateways", ylabel="ms until all gateways have the record", ylim=(0, None))
    right.legend()
    for axes in (left, right):
        axes.grid(alpha=0.3)
        axes.set_xticks(sizes, [str(gateways) for gateways in sizes])
    figure.tight_layout()
    figure.savefig(path, dpi=110)
