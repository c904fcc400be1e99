"""`lab fleet`: real gateway processes that share a limit and health records, with faults between them.

One volume has a strict limit.  Its clients continuously send more requests than the limit allows through one
gateway (g1), and surges of requests through the others.  Other volumes have no limit and reach all nodes
through all gateways.  An operator ejects one node at one gateway.  The checks use only the records of the
stand-in nodes and the clients; the gateways' own counters are reported but not checked.
"""

from __future__ import annotations

import random
import tempfile
from dataclasses import dataclass
from pathlib import Path

from shaletiller.fleet.leases import LeaseTiming
from shaletiller.lab.fleet_testbed import (
    DRIFT,
    LEASE_MS,
    LIMIT,
    LIMITED_VOLUME,
    SHARDS,
    TERM_MS,
    Ban,
    FleetTestbed,
)
from shaletiller.lab.guarantees import Guarantee, Outcome, count
from shaletiller.lab.limit_usage import Limit, Spend, overshoot
from shaletiller.lab.load_generator import ClientRequest, LoadGenerator, Stream
from shaletiller.lab.scenario import FaultVerb, Scenario
from shaletiller.lab.storage_nodes import Attempt

# The gateway that receives most of the limited volume's requests.
BUSIEST_GATEWAY = "g1"
# Maximum time until a health record reaches all connected gateways: without losses, and with 30% of the
# messages lost.
PROPAGATION_MS = 500.0
LOSSY_PROPAGATION_MS = 2_000.0
# Shortest span over which the utilization of a limit is checked: a burst at either end of a shorter one would
# distort the result.
MIN_SPAN_MS = 6_000.0
# Minimum utilization of the limit, without and with message loss.
MIN_UTILIZATION, MIN_LOSSY_UTILIZATION = 0.95, 0.6
# The surges at the other gateways begin between these two fractions of the run.
SURGE_FRACTIONS = 0.33, 0.54
# Maximum length of a surge.
SURGE_MS = 1_200.0
# Time after the pledge wait at startup in which the gateways join the fleet and receive their first leases.
JOIN_MS = 1_000.0
# A request may remain unanswered if its gateway was down within this time before or after it.
DOWN_MARGIN_MS = 50.0
# Minimum time in which a partitioned gateway can use its own share; if it is shorter, the utilization is not
# checked.
MIN_PARTITION_MS = 1_000.0
REPLICATED_TABLES = """store {
    dir "FOLDER/store"
}
promises {
    on true
    lease-tables true
}
"""


def streams(testbed: FleetTestbed, surges: bool) -> list[Stream]:
    """Return streams for the limited volume, and for other volumes on all nodes through all gateways.

    :param surges: whether surges of requests for the limited volume also reach the other gateways.
    """
    rng = random.Random(f"streams {testbed.seed}")
    end_ms = testbed.seconds * 1000
    result = [
        Stream(
            BUSIEST_GATEWAY,
            LIMITED_VOLUME,
            "capped",
            "read",
            1.7 * LIMIT.rate,
            0.0,
            end_ms,
            SHARDS,
            testbed.gateways,
        )
    ]
    for number, name in enumerate(testbed.names):
        result.append(Stream(name, 100 + number, "free", "read", 180.0, 0.0, end_ms, SHARDS + 1, 1))
        result.append(Stream(name, 200 + number, "free", "write", 30.0, 0.0, end_ms, SHARDS, 1, write=True))
        if name != BUSIEST_GATEWAY and surges:
            result += [_surge(testbed, name, rng.uniform(*SURGE_FRACTIONS) * end_ms) for _ in range(2)]
    return result


def _surge(testbed: FleetTestbed, name: str, begin_ms: float) -> Stream:
    span_ms = min(SURGE_MS, 0.06 * testbed.seconds * 1000)
    return Stream(
        name,
        LIMITED_VOLUME,
        "capped",
        "read",
        LIMIT.rate,
        begin_ms,
        begin_ms + span_ms,
        SHARDS,
        testbed.gateways,
    )


async def run(
    gateways: int,
    seconds: float,
    seed: int,
    scenario: Scenario,
    carrier: str = "datagrams",
    folder: Path | None = None,
    tables: bool = False,
) -> Outcome:
    """Run a fleet through a scenario, and check its guarantees.

    :param carrier: `datagrams` or `tcp`.
    :param folder: directory for the gateways' files; by default a temporary one.
    :param tables: whether lease tables are replicated.
    """
    with tempfile.TemporaryDirectory() as temporary:
        operator = REPLICATED_TABLES if tables else ""
        testbed = FleetTestbed(gateways, seed, seconds, folder or Path(temporary), carrier, operator=operator)
        try:
            await testbed.start()
            load = await testbed.run(streams(testbed, surges=scenario.span()[0] < 1), scenario.faults)
            stats = await testbed.stats()
            usage = {name: process.usage() for name, process in testbed.processes.items() if process.alive}
        finally:
            await testbed.stop()
        return check_guarantees(testbed, load, scenario, stats, usage)


def check_guarantees(
    testbed: FleetTestbed,
    load: LoadGenerator,
    scenario: Scenario,
    stats: dict[str, dict[str, int]],
    usage: dict[str, tuple[float, float]],
) -> Outcome:
    """Check the guarantees against the records of nodes and clients.

    :param stats: the counters of each gateway, which are reported but not checked.
    :param usage: CPU seconds and megabytes of each gateway, which are reported but not checked.
    """
    outcome = Outcome(f"fleet {scenario.name}", testbed.seed)
    attempts = sorted(
        (record for node in testbed.nodes for record in node.attempts), key=lambda record: record.at_ms
    )
    spends = _spends_of_limited_volume(testbed, load, attempts)
    outcome.guarantees.append(
        Guarantee(
            "over the strict limit",
            0.0,
            overshoot(spends, Limit("capped", LIMIT), DRIFT),
            unit="units",
            note=f"{len(spends)} requests, {LIMIT.rate:g} units/s, burst {LIMIT.burst:g}",
        )
    )
    phases = _Phases.from_scenario(testbed, scenario)
    _check_utilization(outcome, spends, phases)
    _check_partitioned_gateway(outcome, testbed, spends)
    _check_staleness(outcome, testbed, attempts, LOSSY_PROPAGATION_MS if phases.lossy else PROPAGATION_MS)
    _check_writes(outcome, testbed, load)
    unanswered = unanswered_requests(testbed, load)
    outcome.guarantees.append(check_unanswered(testbed, load, unanswered))
    outcome.figures = {
        "statuses": count(str(record.status) for record in load.requests),
        "units_limited": sum(spend.units for spend in spends),
        "stats": stats,
        "cpu_s_and_mb": usage,
        "silent": [f"{record.gateway} {record.why}" for record in unanswered[:5]],
    }
    outcome.course = testbed.course_lines()
    return outcome


def check_unanswered(
    testbed: FleetTestbed, load: LoadGenerator, unanswered: list[ClientRequest]
) -> Guarantee:
    """Check that every request whose gateway is up gets an answer."""
    return Guarantee(
        "unanswered",
        0,
        len(unanswered),
        note=f"{len(load.requests)} requests",
        violations=tuple(request.story(testbed.began_ms) for request in unanswered),
    )


def unanswered_requests(testbed: FleetTestbed, load: LoadGenerator) -> list[ClientRequest]:
    """Return the unanswered requests whose gateway was up during the entire request."""
    return [
        request
        for request in load.requests
        if request.status == 0
        and not testbed.processes[request.gateway].was_down(
            request.due_ms - DOWN_MARGIN_MS, request.ended_ms + DOWN_MARGIN_MS
        )
    ]


def _spends_of_limited_volume(
    testbed: FleetTestbed, load: LoadGenerator, attempts: list[Attempt]
) -> list[Spend]:
    """Return the units spent by the limited volume; a request counts once, at its first attempt."""
    requests = {client_request.request: client_request for client_request in load.requests}
    first_ms: dict[str, float] = {}
    for attempt in attempts:
        first_ms.setdefault(attempt.request, attempt.at_ms)
    return [
        Spend(
            at_ms - testbed.began_ms,
            testbed.names.index(requests[request].gateway),
            "capped",
            float(requests[request].units),
        )
        for request, at_ms in first_ms.items()
        if requests[request].stream.volume == LIMITED_VOLUME
    ]


def _check_writes(outcome: Outcome, testbed: FleetTestbed, load: LoadGenerator) -> None:
    """Check that no write is executed more than once, over all nodes."""
    writes = {client_request.request for client_request in load.requests if client_request.stream.write}
    runs: dict[str, int] = {}
    for node in testbed.nodes:
        for request, times in node.runs.items():
            runs[request] = runs.get(request, 0) + times
    repeated = [request for request, times in runs.items() if times > 1 and request in writes]
    outcome.guarantees.append(Guarantee("writes run twice", 0, len(repeated), note=f"{len(writes)} writes"))


@dataclass(slots=True, frozen=True)
class _Phases:
    """Phases of a run, by their times in the run.

    :param ready_ms: when the distribution of the limit by demand begins.
    :param first_fault_ms: when the first fault begins; the end of the run if there are no faults.
    :param lossy: whether links lose messages during the entire run.
    """

    ready_ms: float
    first_fault_ms: float
    last_fault_ms: float
    end_ms: float
    lossy: bool

    @classmethod
    def from_scenario(cls, testbed: FleetTestbed, scenario: Scenario) -> _Phases:
        end_ms = testbed.seconds * 1000
        first_ms, last_ms = (fraction * end_ms for fraction in scenario.span())
        ready_ms = LeaseTiming(TERM_MS, LEASE_MS, DRIFT).pledge_wait_ms + JOIN_MS
        lossy = any(fault.verb is FaultVerb.WORSEN for fault in scenario.faults)
        return cls(ready_ms, min(first_ms, end_ms), last_ms, end_ms, lossy)


def _utilization(spends: list[Spend], begin_ms: float, end_ms: float) -> float:
    """Return the units spent in a span as a fraction of the limit."""
    units = sum(spend.units for spend in spends if begin_ms <= spend.at_ms < end_ms)
    return units / (LIMIT.rate * (end_ms - begin_ms) / 1000)


def _check_utilization(outcome: Outcome, spends: list[Spend], phases: _Phases) -> None:
    """Check that the limit is utilized.

    Without faults, or with message loss, the check covers the entire run; otherwise it begins two lease terms
    after the last fault.
    """
    ready_ms, end_ms = phases.ready_ms, phases.end_ms
    at_least = MIN_LOSSY_UTILIZATION if phases.lossy else MIN_UTILIZATION
    if phases.lossy or phases.first_fault_ms >= end_ms:
        if end_ms - ready_ms >= MIN_SPAN_MS:
            outcome.guarantees.append(
                Guarantee(
                    f"use of the limit {'with losses' if phases.lossy else 'without faults'}",
                    at_least,
                    _utilization(spends, ready_ms, end_ms),
                    "at least",
                    note="with equal shares, one gateway would use 0.2",
                )
            )
        return
    healed_ms = max(SURGE_FRACTIONS[1] * end_ms + SURGE_MS, phases.last_fault_ms) + 2 * TERM_MS
    if end_ms - healed_ms >= MIN_SPAN_MS / 2:
        outcome.guarantees.append(
            Guarantee(
                "use two terms after healing",
                at_least,
                _utilization(spends, healed_ms, end_ms),
                "at least",
            )
        )


def _check_partitioned_gateway(outcome: Outcome, testbed: FleetTestbed, spends: list[Spend]) -> None:
    """Check that the busiest gateway uses at least its own share of the limit while it is cut off.

    The check begins when its pledges of that share have expired.
    """
    cut_ms = None
    settle_ms = LeaseTiming(TERM_MS, LEASE_MS, DRIFT).pledge_wait_ms + 200.0
    for at_ms, text in testbed.course:
        if BUSIEST_GATEWAY in _gateways_cut(testbed, text) and cut_ms is None:
            cut_ms = at_ms
        elif (
            text.split()[0] == FaultVerb.HEAL
            and cut_ms is not None
            and at_ms - cut_ms - settle_ms >= MIN_PARTITION_MS
        ):
            own = [spend for spend in spends if testbed.names[spend.member] == BUSIEST_GATEWAY]
            outcome.guarantees.append(
                Guarantee(
                    f"use through {BUSIEST_GATEWAY} while cut off",
                    MIN_UTILIZATION / testbed.gateways,
                    _utilization(own, cut_ms + settle_ms, at_ms),
                    "at least",
                    note="its own share, less 5%",
                )
            )
            return


def _gateways_cut(testbed: FleetTestbed, text: str) -> set[str]:
    """Return the gateways that a fault, as recorded in the course, cuts off."""
    verb, *words = text.split()
    return (
        {testbed.gateway_named(word) for word in words if "=" not in word} if verb == FaultVerb.CUT else set()
    )


def _check_staleness(
    outcome: Outcome, testbed: FleetTestbed, attempts: list[Attempt], bound_ms: float
) -> None:
    """Check that gateways stop sending to a node within a bound after an operator's command ejects it.

    Gateways that were cut off or down within the bound are not checked.
    """
    for ban in testbed.bans:
        bound_end_ms = ban.since_ms + bound_ms
        down = {
            name
            for name in testbed.names
            if testbed.processes[name].was_down(ban.since_ms, min(ban.until_ms, bound_end_ms))
        }
        excluded = down | _cut_during(testbed, ban.since_ms, bound_end_ms)
        late_ms = _late_ms(testbed, ban, attempts)
        checked_ms = [late_ms[name] for name in testbed.names if name not in excluded]
        outcome.guarantees.append(
            Guarantee(
                f"staleness of the ban of {ban.node}",
                bound_ms,
                max(checked_ms, default=0.0),
                unit="ms",
                note=f"{len(checked_ms)} gateways"
                + (f", cut off or down: {sorted(excluded)}" if excluded else ""),
            )
        )


def _late_ms(testbed: FleetTestbed, ban: Ban, attempts: list[Attempt]) -> dict[str, float]:
    """Return, for each gateway, the time from the command to the last attempt that it sent to the node."""
    late_ms = dict.fromkeys(testbed.names, 0.0)
    for attempt in attempts:
        if attempt.node == ban.node and ban.since_ms <= attempt.at_ms < ban.until_ms:
            late_ms[attempt.gateway] = max(late_ms[attempt.gateway], attempt.at_ms - ban.since_ms)
    return late_ms


def _cut_during(testbed: FleetTestbed, begin_ms: float, end_ms: float) -> set[str]:
    """Return the gateways that were cut off at any time in a span."""
    affected: set[str] = set()
    cut: set[str] = set()
    for at_ms, text in testbed.course:
        if testbed.began_ms + at_ms > end_ms:
            break
        if text.split()[0] == FaultVerb.CUT:
            cut = _gateways_cut(testbed, text)
        elif text.split()[0] == FaultVerb.HEAL:
            if testbed.began_ms + at_ms > begin_ms:
                affected |= cut
            cut = set()
    return affected | cut
