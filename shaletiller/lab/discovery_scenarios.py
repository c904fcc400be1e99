"""`lab discovery`: real gateway processes whose discovery fails, sends wrong lists, or loses changes.

All gateways send reads to all storage nodes all the time.  Checked, from what nodes, discovery and clients
recorded: attempts at nodes that had left, or were draining beyond their grace period, after any gateway had
been notified of it; the time from a restart to the first request served; that nodes which discovery goes on
listing are used; and the rate of calls to discovery.
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

# A change that one gateway was notified of is in force at all connected gateways within this.
SPREAD_MS = 500.0
# A draining node may get requests for so long.
GRACE_MS = 1_000.0
# From the first answer at the admin port after a restart to the first request served.
FIRST_RESPONSE_MS = 2_000.0
# Calls a second of one gateway: a watch lasts a second, and the shortest backoff after a failure is 50 ms.
MAX_CALLS_PER_S = 25.0
# A node that is still listed is used by all gateways in this last part of a run; several requests each.
LAST_USE_MS = 1_500.0
OPERATOR = """store {
    dir "FOLDER/store"
}
promises {
    on true
}
"""


def settings() -> dict[str, Any]:
    """Return the settings of all gateways: one class and one plan without a limit."""
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
    fleet_enabled: bool = True,
) -> Outcome:
    """Run a fleet through a scenario, and check its guarantees.

    :param folder: for the gateways' files; by default a temporary one.
    :param fleet_enabled: with the fleet and stores; otherwise each gateway is alone.
    """
    with tempfile.TemporaryDirectory() as temporary:
        rig = FleetTestbed(
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
            await rig.start()
            if fleet_enabled:
                await wait_until_synced(rig)
            end_ms = seconds * 1000
            streams = [
                Stream(name, 100 + number, "free", "read", 270.0, 0.0, end_ms, SHARDS + 1)
                for number, name in enumerate(rig.names)
            ]
            load = await rig.run(streams, scenario.faults)
            stats = await rig.stats()
        finally:
            await rig.stop()
        return judge(rig, load, scenario, stats)


def judge(
    rig: FleetTestbed, load: LoadGenerator, scenario: Scenario, stats: dict[str, dict[str, int]]
) -> Outcome:
    """Check the guarantees from the records of nodes, discovery and clients.

    :param stats: the counters of each gateway, which are only shown.
    """
    out = Outcome(f"discovery {scenario.name}", rig.seed)
    out.guarantees.append(_check_departed_nodes(rig))
    out.guarantees += _check_restarts(rig, load)
    out.guarantees += _check_listed_nodes(rig)
    unanswered = unanswered_requests(rig, load)
    out.guarantees.append(check_unanswered(rig, load, unanswered))
    calls = dict(Counter(call.gateway for call in rig.discovery.calls if call.at_ms >= rig.began_ms))
    out.guarantees.append(
        Guarantee(
            "calls to discovery a second, of one gateway",
            MAX_CALLS_PER_S,
            max(calls.values(), default=0) / rig.seconds,
            note=f"{sum(calls.values()) / rig.seconds:.1f} of all",
        )
    )
    out.figures = {
        "statuses": count(str(each.status) for each in load.requests),
        "stats": stats,
        "calls": calls,
    }
    out.course = rig.course_lines()
    return out


def _check_listed_nodes(rig: FleetTestbed) -> list[Guarantee]:
    """Each node that is up and still listed is used by all gateways; only violations are returned."""
    last_ms = rig.began_ms + rig.seconds * 1000 - LAST_USE_MS
    found = []
    for node in rig.nodes:
        if node.state != "up" or rig.discovery.states.get(node.name) == "left":
            continue
        used_by = {attempt.gateway for attempt in node.attempts if attempt.at_ms >= last_ms}
        if used_by != set(rig.names):
            name = f"gateways that use {node.name} at the end"
            found.append(Guarantee(name, len(rig.names), len(used_by), "at least"))
    return found


def _check_departed_nodes(rig: FleetTestbed) -> Guarantee:
    """No gateway sends to a node that has left, or drains beyond its grace, once any was notified of that."""
    late = [each for node in rig.nodes for each in _late_attempts(rig, node)]
    return Guarantee(
        "sends to nodes that anyone knew to be gone",
        0,
        len(late),
        note=f"the latest {max(each.late_ms for each in late):.0f} ms past the bound" if late else "",
        violations=tuple(_late_attempt_story(rig, each) for each in late),
    )


class LateAttempt(NamedTuple):
    """An attempt at a departed node, and how far past the bound it came."""

    attempt: Attempt
    late_ms: float


def _late_attempt_story(rig: FleetTestbed, late: LateAttempt) -> str:
    attempt, began_ms = late.attempt, rig.began_ms
    departures = [
        f"{state} first sent at {at_ms - began_ms:.0f} ms"
        for (node, state), at_ms in rig.discovery.first_sent_ms.items()
        if node == attempt.node
    ]
    down = [
        f"{span.begin_ms - began_ms:.0f} to {span.end_ms - began_ms:.0f} ms"
        for span in rig.processes[attempt.gateway].down
    ]
    return (
        f"{attempt.story(began_ms)}, {late.late_ms:.0f} ms past the bound; {', '.join(departures)}; "
        f"the gateway was down {', '.join(down)}"
    )


def _late_attempts(rig: FleetTestbed, node: StorageNode) -> list[LateAttempt]:
    """Return the attempts at a departed node that came too late."""
    bound_ms = _last_use_ms(rig, node)
    found: list[LateAttempt] = []
    for attempt in node.attempts:
        # A gateway that has just started is notified of the departure within as long.
        starts_ms = [
            span.end_ms + SPREAD_MS
            for span in rig.processes[attempt.gateway].down
            if span.end_ms <= attempt.at_ms
        ]
        if attempt.at_ms > max([bound_ms, *starts_ms]):
            found.append(LateAttempt(attempt, attempt.at_ms - bound_ms))
    return found


def _last_use_ms(rig: FleetTestbed, node: StorageNode) -> float:
    """Return until when a node may be used; infinity if it has not departed, or is listed again."""
    first_sent_ms = rig.discovery.first_sent_ms
    ends_ms = [
        first_sent_ms[node.name, state] + grace_ms + SPREAD_MS
        for state, grace_ms in (("leaving", GRACE_MS), ("left", 0.0))
        if (node.name, state) in first_sent_ms
    ]
    if not ends_ms:
        return math.inf
    listed_again_ms = [
        change.at_ms
        for change in rig.discovery.changes
        if change.node == node.name and change.state == "active"
    ]
    if listed_again_ms and listed_again_ms[-1] > min(ends_ms) - SPREAD_MS - GRACE_MS:
        return math.inf
    return min(ends_ms)


def _check_restarts(rig: FleetTestbed, load: LoadGenerator) -> list[Guarantee]:
    """A gateway serves its first request soon after a restart."""
    restarts = [(name, up_ms) for name, process in rig.processes.items() for up_ms in process.up_ms[1:]]
    if not restarts:
        return []
    waits_ms = [_first_served_ms(load, name, up_ms) - up_ms for name, up_ms in restarts]
    requests = [
        each.story(rig.began_ms)
        for (name, up_ms), wait_ms in zip(restarts, waits_ms, strict=True)
        for each in load.requests
        if each.gateway == name and up_ms <= each.ended_ms <= up_ms + wait_ms and wait_ms > FIRST_RESPONSE_MS
    ]
    return [
        Guarantee(
            "first request served after a restart",
            FIRST_RESPONSE_MS,
            max(0.0, *waits_ms),
            unit="ms",
            note=f"{len(waits_ms)} restarts",
            violations=tuple(requests),
        )
    ]


def _first_served_ms(load: LoadGenerator, gateway: str, since_ms: float) -> float:
    served_ms = [
        each.ended_ms
        for each in load.requests
        if each.gateway == gateway and each.status == 200 and each.ended_ms >= since_ms
    ]
    return min(served_ms, default=math.inf)
