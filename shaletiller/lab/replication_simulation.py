"""Simulation of replication on a virtual clock: seeded schedules of faults, and checks of the guarantees.

The code of the real gateways runs with simulated clocks, disks, links and storage nodes. Clients write with
idempotency keys, and retry with the same key through other gateways. The checks use only externally visible
behavior: the responses to the clients, and how often each write ran at a storage node.
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

from shaletiller.lab.replication_sim_faults import generate_faults, schedule_faults
from shaletiller.lab.replication_sim_fleet import END_MS, FAULTS_END_MS, NodeFactory, SimulatedFleet
from shaletiller.lab.replication_sim_gateway import ClientRequest
from shaletiller.replication.node import ReplicationNode
from shaletiller.replication.writes import WriteVerdict

MAX_START_DELAY_MS = 100.0  # Each gateway starts within this time.
# About fifty keys in a schedule. A larger value tests more keys; a smaller value shortens a run.
DEFAULT_WRITES_PER_SECOND = 6.0
# Schedules in one task of a worker process. A larger value saves calls between processes; a smaller value
# balances the load of the processes better.
SCHEDULES_PER_TASK = 20
MAX_REPORTED_FAILURES = 20  # Maximum failed schedules in a report: enough to find a pattern.
MAX_REPORTED_VIOLATIONS = 5  # Maximum violations of one schedule in a report.


@dataclass(slots=True)
class ScheduleResult:
    """The result of one schedule.

    :param keys: number of idempotency keys that clients used.
    :param responses: number of requests by the wire name of their response; "none" for no response.
    :param committed_keys: number of keys for which a client received the response of the storage node.
    :param repeated_responses: number of further such responses, which retries received.
    :param rejected_at_end: number of last retries, long after all faults, that were rejected.
    :param violations: descriptions of the violated guarantees, with their key or member.
    """

    seed: int
    faults: list[str] = field(default_factory=list)
    keys: int = 0
    responses: Counter[str] = field(default_factory=Counter)
    committed_keys: int = 0
    repeated_responses: int = 0
    rejected_at_end: int = 0
    violations: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Summary:
    """The combined result of several schedules."""

    results: list[ScheduleResult]

    @property
    def failed(self) -> list[ScheduleResult]:
        """The results of the schedules in which a guarantee was violated."""
        return [result for result in self.results if result.violations]

    def to_json(self) -> dict[str, Any]:
        """Return the summary with the keys of the JSON report."""
        results = self.results
        return {
            "schedules": len(results),
            "broken": len(self.failed),
            "keys": sum(result.keys for result in results),
            "promises": sum(result.committed_keys for result in results),
            "repeats_answered": sum(result.repeated_responses for result in results),
            "answers": dict(sum((result.responses for result in results), Counter[str]())),
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
        status = "!!" if self.failed else "ok"
        return [
            f"{status} {report['schedules']} schedules of {gateways} gateways: "
            f"{report['broken']} violated a guarantee; {report['promises']} of "
            f"{report['keys']} keys were served, {report['repeats_answered']} retries were served too; "
            f"responses {report['answers']}",
            *(f"   seed {failure['seed']}: {'; '.join(failure['broken'])}" for failure in report["failures"]),
        ]


def run_schedule(
    seed: int,
    members: int = 5,
    node_factory: NodeFactory = ReplicationNode,
    writes_per_second: float = DEFAULT_WRITES_PER_SECOND,
) -> ScheduleResult:
    """Run one schedule and check the guarantees; the seed determines the result."""
    rng = random.Random(f"promises {seed}")
    zones: tuple[str, ...] = rng.choice([(), tuple("ab"[member % 2] for member in range(members))])
    fleet = SimulatedFleet(members, seed, node_factory, zones)
    for gateway in fleet.gateways:
        fleet.clock.at(rng.uniform(0, MAX_START_DELAY_MS), gateway.start)
    fleet.schedule_writes(rng, writes_per_second, FAULTS_END_MS)
    faults = generate_faults(rng, members)
    schedule_faults(fleet, faults)
    fleet.clock.run(END_MS)
    result = ScheduleResult(seed, [str(fault) for fault in faults])
    check_responses(fleet, result)
    check_recovery(fleet, result)
    return result


def check_responses(fleet: SimulatedFleet, result: ScheduleResult) -> None:
    """Check that each write ran at most once, and that all its requests got the same response."""
    by_key: dict[str, list[ClientRequest]] = {}
    for request in fleet.requests:
        by_key.setdefault(request.key, []).append(request)
        result.responses["none" if request.response is None else request.response.value] += 1
    result.keys = len(by_key)
    for key, requests in by_key.items():
        if fleet.executions[key] > 1:
            result.violations.append(f"{key}: ran {fleet.executions[key]} times, expected at most once")
        _check_served(key, requests, result)
        last = max(requests, key=lambda request: request.sent_ms)
        if last.response is WriteVerdict.REJECTED:
            result.rejected_at_end += 1
        elif last.response is None:
            result.violations.append(f"{key}: no response to the last retry, after all faults have ended")


def _check_served(key: str, requests: list[ClientRequest], result: ScheduleResult) -> None:
    """Check that all served requests got the same response, and that no later retry failed."""
    served = [request for request in requests if request.response is WriteVerdict.SERVED]
    if not served:
        return
    result.committed_keys += 1
    result.repeated_responses += len(served) - 1
    bodies = {request.body for request in served}
    if len(bodies) > 1:
        result.violations.append(f"{key}: expected equal responses, received {sorted(bodies)}")
    first_ms = min(request.responded_ms for request in served)
    result.violations.extend(
        f"{key}: was served, but a later retry, at {request.sent_ms:.0f} ms, failed"
        for request in requests
        if request.sent_ms > first_ms and request.response is WriteVerdict.FAILED
    )


def check_recovery(fleet: SimulatedFleet, result: ScheduleResult) -> None:
    """Check that the fleet has recovered at the end: all gateways are synced and reject no write."""
    result.violations.extend(
        f"gateway {gateway.member} is not synced after all faults have ended"
        for gateway in fleet.gateways
        if not gateway.fully_synced
    )
    if result.rejected_at_end:
        result.violations.append(f"{result.rejected_at_end} writes were rejected after all faults have ended")


def run_schedules(seeds: Iterable[int], gateways: int) -> Summary:
    """Run the schedules of several seeds on all processor cores; the results keep the order of the seeds."""
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        run = partial(run_schedule, members=gateways)
        return Summary(list(pool.map(run, seeds, chunksize=SCHEDULES_PER_TASK)))
