"""Replication on a virtual clock: seeded schedules of faults, and the guarantees that must hold.

The gateways' own code runs against simulated clocks, disks, links and storage nodes.  Clients write with
idempotency keys, and retry with the same key through other gateways.  The checks use only what an outside
observer sees: the answers of the clients, and how often each write ran at a storage node.
"""

from __future__ import annotations

import os
import random
from collections import Counter
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from shaletiller.lab.replication_sim_faults import draw_faults, schedule_faults
from shaletiller.lab.replication_sim_fleet import END_MS, FAULTS_END_MS, NodeFactory, SimulatedFleet
from shaletiller.lab.replication_sim_gateway import ClientRequest
from shaletiller.replication.node import ReplicationNode
from shaletiller.replication.writes import WriteVerdict

MAX_START_MS = 100.0  # gateways start within this time
DEFAULT_WRITES_PER_SECOND = 6.0  # empirical: some fifty keys a schedule, against the time of a run
SCHEDULES_A_BATCH = 20  # handed to a worker process at once; empirical: calls against even load
MAX_REPORTED_FAILURES = 20  # of a summary: enough to find a pattern
MAX_REPORTED_VIOLATIONS = 5  # of one schedule


@dataclass(slots=True)
class ScheduleResult:
    """What one schedule gave.

    :param keys: how many keys clients wrote with.
    :param answers: how often each answer was given, by its wire name; "none" for no answer.
    :param committed_keys: keys of which some client got the answer of the storage node.
    :param repeated_answers: further answers of this kind, given to retries.
    :param rejected_at_end: last retries, long after all faults, that were rejected.
    :param violations: each guarantee that did not hold, with its key or member.
    """

    seed: int
    faults: list[str] = field(default_factory=list)
    keys: int = 0
    answers: Counter[str] = field(default_factory=Counter)
    committed_keys: int = 0
    repeated_answers: int = 0
    rejected_at_end: int = 0
    violations: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Summary:
    """What a number of schedules gave together."""

    results: list[ScheduleResult]

    @property
    def failed(self) -> list[ScheduleResult]:
        """The schedules in which a guarantee did not hold."""
        return [result for result in self.results if result.violations]

    def to_json(self) -> dict[str, Any]:
        """Return the summary under the keys of the report."""
        results = self.results
        return {
            "schedules": len(results),
            "broken": len(self.failed),
            "keys": sum(result.keys for result in results),
            "promises": sum(result.committed_keys for result in results),
            "repeats_answered": sum(result.repeated_answers for result in results),
            "answers": dict(sum((result.answers for result in results), Counter[str]())),
            "failures": [
                {
                    "seed": result.seed,
                    "faults": result.faults,
                    "broken": result.violations[:MAX_REPORTED_VIOLATIONS],
                }
                for result in self.failed[:MAX_REPORTED_FAILURES]
            ],
        }

    def lines(self, gateways: int) -> list[str]:
        """Return the summary as lines to print."""
        report = self.to_json()
        mark = "!!" if self.failed else "ok"
        return [
            f"{mark} {report['schedules']} schedules of {gateways} gateways: "
            f"{report['broken']} broke a promise; {report['promises']} outcomes told of "
            f"{report['keys']} keys, {report['repeats_answered']} repeats got the same answer; "
            f"answers {report['answers']}",
            *(f"   seed {each['seed']}: {'; '.join(each['broken'])}" for each in report["failures"]),
        ]


def run_schedule(
    seed: int,
    members: int = 5,
    node_factory: NodeFactory = ReplicationNode,
    writes_per_second: float = DEFAULT_WRITES_PER_SECOND,
) -> ScheduleResult:
    """Run one schedule and check its guarantees; equal seeds give equal results."""
    draw = random.Random(f"promises {seed}")
    zones: tuple[str, ...] = draw.choice([(), tuple("ab"[member % 2] for member in range(members))])
    fleet = SimulatedFleet(members, seed, node_factory, zones)
    for gateway in fleet.gateways:
        fleet.clock.at(draw.uniform(0, MAX_START_MS), gateway.start)
    fleet.schedule_writes(draw, writes_per_second, FAULTS_END_MS)
    faults = draw_faults(draw, members)
    schedule_faults(fleet, faults)
    fleet.clock.run(END_MS)
    result = ScheduleResult(seed, [str(fault) for fault in faults])
    check_answers(fleet, result)
    check_recovery(fleet, result)
    return result


def check_answers(fleet: SimulatedFleet, result: ScheduleResult) -> None:
    """Check that each write ran at most once, and that its clients got one answer."""
    by_key: dict[str, list[ClientRequest]] = {}
    for request in fleet.requests:
        by_key.setdefault(request.key, []).append(request)
        result.answers["none" if request.answer is None else request.answer.value] += 1
    result.keys = len(by_key)
    for key, requests in by_key.items():
        if fleet.executions[key] > 1:
            result.violations.append(f"{key} ran {fleet.executions[key]} times")
        _check_served(key, requests, result)
        last = max(requests, key=lambda request: request.sent_ms)
        if last.answer is WriteVerdict.REJECTED:
            result.rejected_at_end += 1
        elif last.answer is None:
            result.violations.append(f"{key}: no answer long after all faults")


def _check_served(key: str, requests: list[ClientRequest], result: ScheduleResult) -> None:
    """Check that all who were served got the same answer, and that no later retry failed."""
    served = [request for request in requests if request.answer is WriteVerdict.SERVED]
    if not served:
        return
    result.committed_keys += 1
    result.repeated_answers += len(served) - 1
    bodies = {request.body for request in served}
    if len(bodies) > 1:
        result.violations.append(f"{key} got different answers: {sorted(bodies)}")
    first_ms = min(request.answered_ms for request in served)
    result.violations.extend(
        f"{key} was served, and a retry at {request.sent_ms:.0f} ms failed"
        for request in requests
        if request.sent_ms > first_ms and request.answer is WriteVerdict.FAILED
    )


def check_recovery(fleet: SimulatedFleet, result: ScheduleResult) -> None:
    """Check that the fleet has recovered at the end: all gateways are synced, and reject nothing."""
    result.violations.extend(
        f"gateway {gateway.member} is not synced long after all faults"
        for gateway in fleet.gateways
        if not gateway.fully_synced
    )
    if result.rejected_at_end:
        result.violations.append(f"{result.rejected_at_end} writes rejected long after all faults")


def run_schedules(seeds: Iterable[int], gateways: int) -> Summary:
    """Run the schedules of these seeds on all processor cores; the results are in the order of the seeds."""
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        run = partial(run_schedule, members=gateways)
        return Summary(list(pool.map(run, seeds, chunksize=SCHEDULES_A_BATCH)))
