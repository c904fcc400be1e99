"""`lab discovery`: real gateway processes whose discovery fails, sends wrong lists, or loses changes.

All gateways send reads to all storage nodes throughout the run.  The records of nodes, discovery and clients
are checked for: attempts at nodes that have left, or are draining beyond their grace period, after any
gateway was notified of that; the time from a restart to the first request served; use of all nodes that are
still listed; and the rate of calls to discovery.
"""

from __future__ import annotations

import math
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

from shaletiller.lab.fleet_scenarios import check_unanswered, unanswered_requests
from shaletiller.lab.fleet_testbed import SHARDS, FleetTestbed
from shaletiller.lab.guarantees import Guarantee, Outcome, count
from shaletiller.lab.load_generator import LoadGenerator, Stream
from shaletiller.lab.replication_scenarios import wait_until_synced
from shaletiller.lab.scenario import Scenario
from shaletiller.lab.storage_nodes import Attempt, StorageNode

# Maximum time until a change that one gateway was notified of takes effect at all connected gateways.
MAX_PROPAGATION_MS = 500.0
# Time for which a draining node may receive requests.
DRAIN_GRACE_MS = 1_000.0
# Maximum time from the first response of the admin port after a restart to the first request served.
MAX_FIRST_RESPONSE_MS = 2_000.0
# Maximum rate of calls by one gateway.  A watch lasts a second, and the shortest backoff after a failure is
# 50 ms.
MAX_CALLS_PER_S = 25.0
# All gateways must use each listed node within this last phase of a run, which has several requests for each
# node.
FINAL_PHASE_MS = 1_500.0
OPERATOR = """store {
    dir "FOLDER/store"
}
promises {
    on true
}
"""


def settings() -> dict[str, Any]:
    """Return the settings of all gateways, with one class, and one plan without a limit."""
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
        "obligations": {"answer-slack-ms": 8.0, "drain-grace-ms": DRAIN_GRACE_MS},
    }


async def run(
    gateways: int,
    seconds: float,
    seed: int,
    scenario: Scenario,
    folder: Path | None = None,
    fleet_enabled: bool = True,
) -> Outcome:
    """Run a scenario with a fleet, and check the guarantees.

    :param folder: folder for the gateways' files; by default a temporary one.
    :param fleet_enabled: whether the gateways have stores and form a fleet; otherwise each works on its own.
    """
    with tempfile.TemporaryDirectory() as temporary:
        testbed = FleetTestbed(
            gateways,
            seed,
            seconds,
            folder or Path(temporary),
            "tcp",
            settings(),
            OPERATOR if fleet_enabled else "",
            fleet_enabled=fleet_enabled,
        )
        try:
            await testbed.start()
            if fleet_enabled:
                await wait_until_synced(testbed)
            end_ms = seconds * 1000
            streams = [
                Stream(name, 100 + number, "free", "read", 270.0, 0.0, end_ms, SHARDS + 1)
                for number, name in enumerate(testbed.names)
            ]
            load = await testbed.run(streams, scenario.faults)
            stats = await testbed.stats()
        finally:
            await testbed.stop()
        return judge(testbed, load, scenario, stats)


def judge(
    testbed: FleetTestbed, load: LoadGenerator, scenario: Scenario, stats: dict[str, dict[str, int]]
) -> Outcome:
    """Check the guarantees against the records of nodes, discovery and clients.

    :param stats: the counters of each gateway, which are reported but not checked.
    """
    outcome = Outcome(f"discovery {scenario.name}", testbed.seed)
    outcome.guarantees.append(_check_departed_nodes(testbed))
    outcome.guarantees += _check_restarts(testbed, load)
    outcome.guarantees += _check_listed_nodes(testbed)
    unanswered = unanswered_requests(testbed, load)
    outcome.guarantees.append(check_unanswered(testbed, load, unanswered))
    calls = dict(Counter(call.gateway for call in testbed.discovery.calls if call.at_ms >= testbed.began_ms))
    outcome.guarantees.append(
        Guarantee(
            "calls to discovery a second, of one gateway",
            MAX_CALLS_PER_S,
            max(calls.values(), default=0) / testbed.seconds,
            note=f"{sum(calls.values()) / testbed.seconds:.1f} of all",
        )
    )
    outcome.figures = {
        "statuses": count(str(request.status) for request in load.requests),
        "stats": stats,
        "calls": calls,
    }
    outcome.course = testbed.course_lines()
    return outcome


def _check_listed_nodes(testbed: FleetTestbed) -> list[Guarantee]:
    """Check that all gateways use each node that is up and listed; only violations are returned."""
    last_ms = testbed.began_ms + testbed.seconds * 1000 - FINAL_PHASE_MS
    violations = []
    for node in testbed.nodes:
        if node.state != "up" or testbed.discovery.states.get(node.name) == "left":
            continue
        users = {attempt.gateway for attempt in node.attempts if attempt.at_ms >= last_ms}
        if users != set(testbed.names):
            name = f"gateways that use {node.name} at the end"
            violations.append(Guarantee(name, len(testbed.names), len(users), "at least"))
    return violations


def _check_departed_nodes(testbed: FleetTestbed) -> Guarantee:
    """Check that no gateway sends to a node that has left, or is draining beyond its grace period.

    The check applies from the time at which any gateway was notified of the state.
    """
    late = [late_attempt for node in testbed.nodes for late_attempt in _late_attempts(testbed, node)]
    return Guarantee(
        "sends to nodes that anyone knew to be gone",
        0,
        len(late),
        note=f"the latest {max(late_attempt.late_ms for late_attempt in late):.0f} ms past the bound"
        if late
        else "",
        violations=tuple(_describe_late_attempt(testbed, late_attempt) for late_attempt in late),
    )


class LateAttempt(NamedTuple):
    """An attempt at a departed node, and its time after the end of the permitted use."""

    attempt: Attempt
    late_ms: float


def _describe_late_attempt(testbed: FleetTestbed, late: LateAttempt) -> str:
    attempt, began_ms = late.attempt, testbed.began_ms
    departures = [
        f"{state} first sent at {at_ms - began_ms:.0f} ms"
        for (node, state), at_ms in testbed.discovery.first_sent_ms.items()
        if node == attempt.node
    ]
    down = [
        f"{downtime.begin_ms - began_ms:.0f} to {downtime.end_ms - began_ms:.0f} ms"
        for downtime in testbed.processes[attempt.gateway].down
    ]
    return (
        f"{attempt.story(began_ms)}, {late.late_ms:.0f} ms past the bound; {', '.join(departures)}; "
        f"the gateway was down {', '.join(down)}"
    )


def _late_attempts(testbed: FleetTestbed, node: StorageNode) -> list[LateAttempt]:
    """Return the attempts at a departed node after the end of its permitted use."""
    bound_ms = _last_use_ms(testbed, node)
    late_attempts: list[LateAttempt] = []
    for attempt in node.attempts:
        # A gateway that has just started is notified of the departure within MAX_PROPAGATION_MS.
        starts_ms = [
            downtime.end_ms + MAX_PROPAGATION_MS
            for downtime in testbed.processes[attempt.gateway].down
            if downtime.end_ms <= attempt.at_ms
        ]
        if attempt.at_ms > max([bound_ms, *starts_ms]):
            late_attempts.append(LateAttempt(attempt, attempt.at_ms - bound_ms))
    return late_attempts


def _last_use_ms(testbed: FleetTestbed, node: StorageNode) -> float:
    """Return the time until which a node may be used; infinity if it has not departed, or is listed again."""
    first_sent_ms = testbed.discovery.first_sent_ms
    ends_ms = [
        first_sent_ms[node.name, state] + grace_ms + MAX_PROPAGATION_MS
        for state, grace_ms in (("leaving", DRAIN_GRACE_MS), ("left", 0.0))
        if (node.name, state) in first_sent_ms
    ]
    if not ends_ms:
        return math.inf
    listed_again_ms = [
        change.at_ms
        for change in testbed.discovery.changes
        if change.node == node.name and change.state == "active"
    ]
    if listed_again_ms and listed_again_ms[-1] > min(ends_ms) - MAX_PROPAGATION_MS - DRAIN_GRACE_MS:
        return math.inf
    return min(ends_ms)


def _check_restarts(testbed: FleetTestbed, load: LoadGenerator) -> list[Guarantee]:
    """Check that each gateway serves its first request soon after a restart."""
    restarts = [
        (name, ready_ms) for name, process in testbed.processes.items() for ready_ms in process.ready_ms[1:]
    ]
    if not restarts:
        return []
    waits_ms = [_first_served_ms(load, name, ready_ms) - ready_ms for name, ready_ms in restarts]
    requests = [
        request.story(testbed.began_ms)
        for (name, ready_ms), wait_ms in zip(restarts, waits_ms, strict=True)
        for request in load.requests
        if request.gateway == name
        and ready_ms <= request.ended_ms <= ready_ms + wait_ms
        and wait_ms > MAX_FIRST_RESPONSE_MS
    ]
    return [
        Guarantee(
            "first request served after a restart",
            MAX_FIRST_RESPONSE_MS,
            max(0.0, *waits_ms),
            unit="ms",
            note=f"{len(waits_ms)} restarts",
            violations=tuple(requests),
        )
    ]


def _first_served_ms(load: LoadGenerator, gateway: str, since_ms: float) -> float:
    served_ms = [
        request.ended_ms
        for request in load.requests
        if request.gateway == gateway and request.status == 200 and request.ended_ms >= since_ms
    ]
    return min(served_ms, default=math.inf)
