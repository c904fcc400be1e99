"""`lab fleet`: real gateway processes that share a limit and health records, with faults between them.

One volume has a strict limit.  Its clients request more than that through one gateway (g1) all the time, and
through the others in surges; other volumes have no limit and reach all nodes through all gateways.  An
operator ejects one node at one gateway.  Only what stand-in nodes and clients recorded is checked; the
gateways' own counters are shown.
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

# The gateway with most of the limited volume's requests.
LEAD = "g1"
# A health record reaches all connected gateways within the first, and within the second where three messages
# in ten are lost.
SPREAD_MS = 500.0
LOSSY_SPREAD_MS = 2_000.0
# The utilization of a limit is checked over no shorter time: a burst at either end would count too much.
SHORTEST_SPAN_MS = 6_000.0
# Bounds of the utilization, with losses and without.
MIN_UTILIZATION, MIN_LOSSY_UTILIZATION = 0.95, 0.6
# Parts of the run between which the other gateways have surges, and the length of one.
SURGES = 0.33, 0.54
SURGE_MS = 1_200.0
# After the fleet's start, beyond the wait for pledges: gateways meet and get their first leases.
MEET_MS = 1_000.0
# A gateway that was down within this of a request need not have answered it.
DOWN_MARGIN_MS = 50.0
# A partition leaves a gateway a usable own part for at least this, or its use is not checked.
SHORTEST_PARTITION_MS = 1_000.0
REPLICATED_TABLES = """store {
    dir "FOLDER/store"
}
promises {
    on true
    lease-tables true
}
"""


def streams(rig: FleetTestbed, surges: bool) -> list[Stream]:
    """Return the limited volume's requests, and those of other volumes to all nodes through all gateways.

    :param surges: whether other gateways than the lead have requests of the limited volume.
    """
    draw = random.Random(f"streams {rig.seed}")
    end_ms = rig.seconds * 1000
    found = [
        Stream(LEAD, LIMITED_VOLUME, "capped", "read", 1.7 * LIMIT.rate, 0.0, end_ms, SHARDS, rig.gateways)
    ]
    for number, name in enumerate(rig.names):
        found.append(Stream(name, 100 + number, "free", "read", 180.0, 0.0, end_ms, SHARDS + 1, 1))
        found.append(Stream(name, 200 + number, "free", "write", 30.0, 0.0, end_ms, SHARDS, 1, write=True))
        if name != LEAD and surges:
            found += [_surge(rig, name, draw.uniform(*SURGES) * end_ms) for _ in range(2)]
    return found


def _surge(rig: FleetTestbed, name: str, begin_ms: float) -> Stream:
    span_ms = min(SURGE_MS, 0.06 * rig.seconds * 1000)
    return Stream(
        name,
        LIMITED_VOLUME,
        "capped",
        "read",
        LIMIT.rate,
        begin_ms,
        begin_ms + span_ms,
        SHARDS,
        rig.gateways,
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
    :param folder: for the gateways' files; by default a temporary one.
    :param tables: whether lease tables are replicated.
    """
    with tempfile.TemporaryDirectory() as temporary:
        operator = REPLICATED_TABLES if tables else ""
        rig = FleetTestbed(gateways, seed, seconds, folder or Path(temporary), carrier, operator=operator)
        try:
            await rig.start()
            load = await rig.run(streams(rig, surges=scenario.span()[0] < 1), scenario.faults)
            stats = await rig.stats()
            usage = {name: process.usage() for name, process in rig.processes.items() if process.alive}
        finally:
            await rig.stop()
        return judge(rig, load, scenario, stats, usage)


def judge(
    rig: FleetTestbed,
    load: LoadGenerator,
    scenario: Scenario,
    stats: dict[str, dict[str, int]],
    usage: dict[str, tuple[float, float]],
) -> Outcome:
    """Check the guarantees from the records of nodes and clients.

    :param stats: the counters of each gateway, which are only shown.
    :param usage: CPU seconds and megabytes of each gateway, which are only shown.
    """
    out = Outcome(f"fleet {scenario.name}", rig.seed)
    attempts = sorted((each for node in rig.nodes for each in node.attempts), key=lambda each: each.at_ms)
    spends = _spends_of_limited_volume(rig, load, attempts)
    out.guarantees.append(
        Guarantee(
            "over the strict limit",
            0.0,
            overshoot(spends, Limit("capped", LIMIT), DRIFT),
            unit="units",
            note=f"{len(spends)} requests, {LIMIT.rate:g} units/s, burst {LIMIT.burst:g}",
        )
    )
    phases = _Phases.of(rig, scenario)
    _check_utilization(out, spends, phases)
    _check_partitioned_lead(out, rig, spends)
    _check_staleness(out, rig, attempts, LOSSY_SPREAD_MS if phases.lossy else SPREAD_MS)
    _check_writes(out, rig, load)
    unanswered = unanswered_requests(rig, load)
    out.guarantees.append(check_unanswered(rig, load, unanswered))
    out.figures = {
        "statuses": count(str(each.status) for each in load.requests),
        "units_limited": sum(spend.units for spend in spends),
        "stats": stats,
        "cpu_s_and_mb": usage,
        "silent": [f"{each.gateway} {each.why}" for each in unanswered[:5]],
    }
    out.course = rig.course_lines()
    return out


def check_unanswered(rig: FleetTestbed, load: LoadGenerator, unanswered: list[ClientRequest]) -> Guarantee:
    """Every request whose gateway is up gets an answer."""
    return Guarantee(
        "unanswered",
        0,
        len(unanswered),
        note=f"{len(load.requests)} requests",
        violations=tuple(each.story(rig.began_ms) for each in unanswered),
    )


def unanswered_requests(rig: FleetTestbed, load: LoadGenerator) -> list[ClientRequest]:
    """Return the requests without an answer whose gateway was up all the time."""
    return [
        each
        for each in load.requests
        if each.status == 0
        and not rig.processes[each.gateway].was_down(
            each.due_ms - DOWN_MARGIN_MS, each.ended_ms + DOWN_MARGIN_MS
        )
    ]


def _spends_of_limited_volume(rig: FleetTestbed, load: LoadGenerator, attempts: list[Attempt]) -> list[Spend]:
    """Return the units of the limited volume; a request counts once, at its first attempt."""
    requests = {each.request: each for each in load.requests}
    first_ms: dict[str, float] = {}
    for attempt in attempts:
        first_ms.setdefault(attempt.request, attempt.at_ms)
    return [
        Spend(
            at_ms - rig.began_ms,
            rig.names.index(requests[request].gateway),
            "capped",
            float(requests[request].units),
        )
        for request, at_ms in first_ms.items()
        if requests[request].stream.volume == LIMITED_VOLUME
    ]


def _check_writes(out: Outcome, rig: FleetTestbed, load: LoadGenerator) -> None:
    """No write is executed more than once, on all nodes together."""
    writes = {each.request for each in load.requests if each.stream.write}
    runs: dict[str, int] = {}
    for node in rig.nodes:
        for request, times in node.runs.items():
            runs[request] = runs.get(request, 0) + times
    repeated = [request for request, times in runs.items() if times > 1 and request in writes]
    out.guarantees.append(Guarantee("writes run twice", 0, len(repeated), note=f"{len(writes)} writes"))


@dataclass(slots=True, frozen=True)
class _Phases:
    """Times of a run.

    :param ready_ms: from then on the limit is distributed by demand.
    :param first_fault_ms: the end of the run where there are no faults.
    :param lossy: links lose messages for the entire run.
    """

    ready_ms: float
    first_fault_ms: float
    last_fault_ms: float
    end_ms: float
    lossy: bool

    @classmethod
    def of(cls, rig: FleetTestbed, scenario: Scenario) -> _Phases:
        end_ms = rig.seconds * 1000
        first_ms, last_ms = (part * end_ms for part in scenario.span())
        ready_ms = LeaseTiming(TERM_MS, LEASE_MS, DRIFT).pledge_wait_ms + MEET_MS
        lossy = any(fault.verb is FaultVerb.WORSEN for fault in scenario.faults)
        return cls(ready_ms, min(first_ms, end_ms), last_ms, end_ms, lossy)


def _utilization(spends: list[Spend], begin_ms: float, end_ms: float) -> float:
    """Return the part of the limit that was spent in a span, 0 in an empty one."""
    units = sum(spend.units for spend in spends if begin_ms <= spend.at_ms < end_ms)
    return units / (LIMIT.rate * (end_ms - begin_ms) / 1000)


def _check_utilization(out: Outcome, spends: list[Spend], phases: _Phases) -> None:
    """The limit is used.

    Without faults, or with losses, the entire run is checked; otherwise the time from two lease terms after
    the last fault on.
    """
    ready_ms, end_ms = phases.ready_ms, phases.end_ms
    at_least = MIN_LOSSY_UTILIZATION if phases.lossy else MIN_UTILIZATION
    if phases.lossy or phases.first_fault_ms >= end_ms:
        if end_ms - ready_ms >= SHORTEST_SPAN_MS:
            out.guarantees.append(
                Guarantee(
                    f"use of the limit {'with losses' if phases.lossy else 'without faults'}",
                    at_least,
                    _utilization(spends, ready_ms, end_ms),
                    "at least",
                    note="of even parts one gateway would use 0.2",
                )
            )
        return
    healed_ms = max(SURGES[1] * end_ms + SURGE_MS, phases.last_fault_ms) + 2 * TERM_MS
    if end_ms - healed_ms >= SHORTEST_SPAN_MS / 2:
        out.guarantees.append(
            Guarantee(
                "use two terms after healing",
                at_least,
                _utilization(spends, healed_ms, end_ms),
                "at least",
            )
        )


def _check_partitioned_lead(out: Outcome, rig: FleetTestbed, spends: list[Spend]) -> None:
    """The gateway with most of the traffic uses at least its own part while it is cut off.

    From when what it had pledged of that part has expired.
    """
    cut_ms = None
    settle_ms = LeaseTiming(TERM_MS, LEASE_MS, DRIFT).pledge_wait_ms + 200.0
    for at_ms, text in rig.course:
        if LEAD in _gateways_cut(rig, text) and cut_ms is None:
            cut_ms = at_ms
        elif (
            text.split()[0] == FaultVerb.HEAL
            and cut_ms is not None
            and at_ms - cut_ms - settle_ms >= SHORTEST_PARTITION_MS
        ):
            own = [spend for spend in spends if rig.names[spend.member] == LEAD]
            out.guarantees.append(
                Guarantee(
                    f"use through {LEAD} while cut off",
                    MIN_UTILIZATION / rig.gateways,
                    _utilization(own, cut_ms + settle_ms, at_ms),
                    "at least",
                    note="its own part, less 5%",
                )
            )
            return


def _gateways_cut(rig: FleetTestbed, text: str) -> set[str]:
    """Return the gateways that a fault of the course cuts off."""
    verb, *words = text.split()
    return {rig.gateway_named(word) for word in words if "=" not in word} if verb == FaultVerb.CUT else set()


def _check_staleness(out: Outcome, rig: FleetTestbed, attempts: list[Attempt], bound_ms: float) -> None:
    """No gateway sends to a node for longer than a bound after an operator's command ejected it.

    A gateway that was cut off or down in the time after the command is not judged.
    """
    for ban in rig.bans:
        bound_end_ms = ban.since_ms + bound_ms
        down = {
            name
            for name in rig.names
            if rig.processes[name].was_down(ban.since_ms, min(ban.until_ms, bound_end_ms))
        }
        apart = down | _cut_during(rig, ban.since_ms, bound_end_ms)
        late_ms = _late_ms(rig, ban, attempts)
        judged = [late_ms[name] for name in rig.names if name not in apart]
        out.guarantees.append(
            Guarantee(
                f"staleness of the ban of {ban.node}",
                bound_ms,
                max(judged, default=0.0),
                unit="ms",
                note=f"{len(judged)} gateways" + (f", apart {sorted(apart)}" if apart else ""),
            )
        )


def _late_ms(rig: FleetTestbed, ban: Ban, attempts: list[Attempt]) -> dict[str, float]:
    """Return, for each gateway, how long after the command it still sent to the node."""
    late_ms = dict.fromkeys(rig.names, 0.0)
    for attempt in attempts:
        if attempt.node == ban.node and ban.since_ms <= attempt.at_ms < ban.until_ms:
            late_ms[attempt.gateway] = max(late_ms[attempt.gateway], attempt.at_ms - ban.since_ms)
    return late_ms


def _cut_during(rig: FleetTestbed, begin_ms: float, end_ms: float) -> set[str]:
    """Return the gateways that were cut off at some time of a span."""
    found: set[str] = set()
    cut: set[str] = set()
    for at_ms, text in rig.course:
        if rig.began_ms + at_ms > end_ms:
            break
        if text.split()[0] == FaultVerb.CUT:
            cut = _gateways_cut(rig, text)
        elif text.split()[0] == FaultVerb.HEAL:
            if rig.began_ms + at_ms > begin_ms:
                found |= cut
            cut = set()
    return found | cut
