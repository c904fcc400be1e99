"""Seeded schedules of faults for simulated fleets, and the guarantees checked in each run of one."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from shaletiller.fleet.codec import HealthRecord
from shaletiller.fleet.core import FleetOptions
from shaletiller.fleet.health_gossip import HealthKind, RecordKey, key_of
from shaletiller.fleet.leases import LeaseTiming
from shaletiller.fleet.membership import MembershipTiming
from shaletiller.fleet.quotas import Allowance
from shaletiller.lab.limit_usage import Limit, overshoot, utilization
from shaletiller.lab.virtual_fleet import VirtualFleet

# Of each run, in virtual time: faults begin, all faults are over, the run ends.  The phases are long enough
# for several lease terms each (1 to 3 s).
FAULTS_BEGIN_MS, HEAL_MS, END_MS = 5_000.0, 15_000.0, 22_000.0
# The last fault begins so long before all are over, to have an effect.
SHORTEST_FAULT_PHASE_MS = 3_000.0
# Gateways have met by then, with the slowest of the timings drawn.
LOAD_BEGIN_MS = 700.0
# The mean over many schedules is far higher; a single run's seconds after healing may fall into a surge.
MIN_UTILIZATION_AFTER_HEALING = 0.5
# Longer than any run: no health record expires in one.
RECORD_TTL_MS = 600_000.0


class FaultKind(StrEnum):
    """The faults drawn; `GRANTER` kills or suspends the gateway that grants the limit at that moment."""

    LOSS = "loss"
    SLOW = "slow"
    DOUBLED = "doubled"
    CUT = "cut"
    ONE_WAY = "one-way"
    SPLIT = "split"
    KILL = "kill"
    PAUSE = "pause"
    GRANTER = "granter"


LINK_FAULTS = (FaultKind.LOSS, FaultKind.SLOW, FaultKind.DOUBLED)
PARTITIONS = (FaultKind.CUT, FaultKind.ONE_WAY, FaultKind.SPLIT)
# An ejection is drawn twice as often as each other kind: it is the one that operators rely on.
RECORD_KINDS = [
    HealthKind.EJECTED,
    HealthKind.EJECTED,
    HealthKind.UNREACHABLE,
    HealthKind.SLOW,
    HealthKind.WARMING_UP,
]


@dataclass(slots=True)
class ScheduleResult:
    """The result of one schedule.

    :param faults: the faults drawn, as text.
    :param overshoot_units: by limit, see `overshoot`.
    :param utilization_before: of the strict limit: before, during and after the faults.
    :param lost_records: health records in force that the last gateway is missing at the end.
    :param messages_per_second: sent by one gateway.
    :param violations: each guarantee that did not hold, as text; in it a `word` or `verdict` is a health
        record (the texts of the report stay the same from release to release).
    """

    seed: int
    faults: list[str] = field(default_factory=list)
    overshoot_units: dict[str, float] = field(default_factory=dict)
    utilization_before: float = 0.0
    utilization_during: float = 0.0
    utilization_after: float = 0.0
    lost_records: int = 0
    messages_per_second: float = 0.0
    violations: list[str] = field(default_factory=list)

    def report(self) -> dict[str, Any]:
        """Return the result under the key names of the JSON report."""
        return {
            "seed": self.seed,
            "faults": self.faults,
            "over": self.overshoot_units,
            "use_before": self.utilization_before,
            "use_cut": self.utilization_during,
            "use_healed": self.utilization_after,
            "lost_words": self.lost_records,
            "messages_a_second": self.messages_per_second,
            "broken": self.violations,
        }


@dataclass(slots=True)
class _ProcessFault:
    """Kills or suspends one gateway, and later starts or continues the same one."""

    world: VirtualFleet
    select: Callable[[], int]
    pause: bool
    selected: int = -1

    def begin(self) -> None:
        self.selected = self.select()
        gateway = self.world.gateways[self.selected]
        if self.pause:
            gateway.stop()
        else:
            gateway.kill()

    def end(self) -> None:
        gateway = self.world.gateways[self.selected]
        if gateway.fleet is None:
            gateway.start()
        else:
            gateway.resume()


def schedule_faults(world: VirtualFleet, draw: random.Random, limit: Limit, most: int = 4) -> list[str]:
    """Draw 1 to `most` faults for the middle of a run; all of them are over by HEAL_MS.

    :param limit: the limit whose granter is struck by a `GRANTER` fault.
    :returns: the faults, as text.
    """
    descriptions = [_schedule_fault(world, draw, limit) for _ in range(draw.randint(1, most))]
    world.time.at(HEAL_MS, world.heal)
    return descriptions


def _schedule_fault(world: VirtualFleet, draw: random.Random, limit: Limit) -> str:
    kind = draw.choice(tuple(FaultKind))
    begin_ms = draw.uniform(FAULTS_BEGIN_MS, HEAL_MS - SHORTEST_FAULT_PHASE_MS)
    end_ms = min(HEAL_MS, begin_ms + draw.uniform(200.0, 7_000.0))
    side = set(draw.sample(range(world.members), draw.randint(1, max(1, world.members // 2))))
    number = draw.randrange(world.members)
    if kind in LINK_FAULTS:
        part = draw.uniform(0.05, 0.4)
        world.time.at(begin_ms, lambda: _degrade_links(world, kind, part))
    elif kind in PARTITIONS:
        world.time.at(begin_ms, lambda: world.cut(side, kind is FaultKind.ONE_WAY))
    else:
        pause = kind is FaultKind.PAUSE or (kind is FaultKind.GRANTER and draw.random() < 0.5)
        fault = _ProcessFault(world, lambda: _struck_gateway(world, kind, number, limit), pause)
        world.time.at(begin_ms, fault.begin)
        world.time.at(end_ms, fault.end)
    target = sorted(side) if kind in PARTITIONS else number
    return f"{kind} {target} {begin_ms:.0f}-{end_ms:.0f} ms"


def _degrade_links(world: VirtualFleet, kind: FaultKind, part: float) -> None:
    for link in world.all_links():
        if kind is FaultKind.LOSS:
            link.loss = part
        elif kind is FaultKind.SLOW:  # delays differ from message to message, so this reorders them too
            link.most_ms = 1_500.0 * part
        else:
            link.doubled = part


def _struck_gateway(world: VirtualFleet, kind: FaultKind, number: int, limit: Limit) -> int:
    fleet = world.gateways[number].fleet
    if kind is FaultKind.GRANTER and fleet is not None:
        return fleet.leases.granter_of(limit.name)
    return number


def draw_options(draw: random.Random) -> FleetOptions:
    """Draw timings as an operator might set them: the guarantees must not depend on one choice."""
    period_ms = draw.choice([100.0, 200.0, 400.0])
    membership = MembershipTiming(
        period_ms, period_ms * 0.4, max(period_ms, draw.choice([200.0, 600.0, 1_500.0]))
    )
    leases = LeaseTiming(draw.choice([1_000.0, 2_000.0, 3_000.0]), draw.choice([300.0, 500.0]))
    return FleetOptions(membership, leases)


def _schedule_load(world: VirtualFleet, draw: random.Random, limit: Limit, warm_up: Limit) -> int:
    """Let one gateway request more than the limit all the time, and the others in surges.

    :returns: the number of the first.
    """
    lead = draw.randrange(world.members)
    world.load(lead, limit, 1.6 * limit.allowance.rate, LOAD_BEGIN_MS, END_MS, world.members)
    for number in range(world.members):
        if number != lead:
            _schedule_surges(world, draw, limit, number)
        begin_ms = draw.uniform(LOAD_BEGIN_MS, HEAL_MS)
        rate = draw.uniform(5.0, 30.0)
        world.load(number, warm_up, rate, begin_ms, begin_ms + 4_000.0, world.members)
    return lead


def _schedule_surges(world: VirtualFleet, draw: random.Random, limit: Limit, number: int) -> None:
    begin_ms = draw.uniform(LOAD_BEGIN_MS, HEAL_MS)
    while begin_ms < HEAL_MS:
        end_ms = min(HEAL_MS, begin_ms + draw.uniform(300.0, 3_000.0))
        rate = draw.uniform(0.1, 1.6) * limit.allowance.rate
        world.load(number, limit, rate, begin_ms, end_ms, world.members)
        begin_ms = end_ms + draw.uniform(300.0, 6_000.0)


def _schedule_records(world: VirtualFleet, draw: random.Random, published: list[HealthRecord]) -> None:
    """Let operators eject nodes and readmit them, and gateways report on nodes that restart.

    :param published: is extended by each record when it is published.
    """

    def publish(number: int, node: str, kind: HealthKind, incarnation: int, value: int) -> None:
        gateway = world.gateways[number]
        if gateway.fleet is None or gateway.stopped:
            return
        before = set(gateway.fleet.health)
        gateway.fleet.publish_health(node, kind, incarnation, value, RECORD_TTL_MS, gateway.clock())
        published.extend(set(gateway.fleet.health) - before)

    def schedule() -> None:
        kind = draw.choice(RECORD_KINDS)
        node = f"s-{draw.randint(1, 3)}"
        number, incarnation, value = draw.randrange(world.members), draw.randint(1, 3), draw.randint(0, 1)
        at_ms = draw.uniform(LOAD_BEGIN_MS, HEAL_MS)
        world.time.at(at_ms, lambda: publish(number, node, kind, incarnation, value))

    for _ in range(draw.randint(4, 16)):
        schedule()


def records_in_force(published: list[HealthRecord]) -> set[HealthRecord]:
    """Return what must be in force of all that was published.

    For each register that is the newest record about the node's newest incarnation.
    """
    incarnations: dict[str, int] = {}
    for record in published:
        known = incarnations.get(record.node, 0)
        own = record.incarnation if record.kind != HealthKind.EJECTED else 0
        incarnations[record.node] = max(known, own)
    newest: dict[RecordKey, HealthRecord] = {}
    for record in published:
        if record.kind != HealthKind.EJECTED and record.incarnation < incarnations[record.node]:
            continue
        before = newest.get(key_of(record))
        if before is None or (record.timestamp, record.observer) > (before.timestamp, before.observer):
            newest[key_of(record)] = record
    return set(newest.values())


def run_schedule(
    seed: int, members: int = 5, world: VirtualFleet | None = None, most: int = 4
) -> ScheduleResult:
    """Run one schedule, and check its guarantees after all faults are over.

    A strict limit is requested through several gateways in turn, the warm-up budget of a node through all of
    them, and health records are published.

    :param world: the fleet; by default one of `members` without replicated lease tables.
    :param most: the largest number of faults.
    """
    draw = random.Random(f"schedule {seed}")
    options = draw_options(draw)
    world = world or VirtualFleet(members, seed)
    world.options = options
    limit = Limit("v:strict", Allowance(100.0, 60.0))
    warm_up = Limit("c:node:1", Allowance(0.0, 40.0), settle_ms=1_500.0)
    for gateway in world.gateways:
        world.time.at(draw.uniform(0, 500.0), gateway.start)
    lead = _schedule_load(world, draw, limit, warm_up)
    result = ScheduleResult(seed, schedule_faults(world, draw, limit, most))
    published: list[HealthRecord] = []
    _schedule_records(world, draw, published)
    world.time.run(END_MS)
    _check_limits(world, limit, warm_up, result)
    _check_utilization(world, limit, lead, result)
    _check_gateways(world, members, published, result)
    result.messages_per_second = world.sent / members / (END_MS / 1000)
    return result


def _check_limits(world: VirtualFleet, limit: Limit, warm_up: Limit, result: ScheduleResult) -> None:
    """No limit is exceeded, neither by what was spent nor by the quotas together."""
    for each in (limit, warm_up):
        units = result.overshoot_units[each.name] = overshoot(world.spends, each, world.drift)
        if units > 0:
            result.violations.append(f"limit {each.name} passed by {units:.3f} units")
    if world.excess.get(limit.name):
        excess = world.excess[limit.name]
        result.violations.append(f"shares of {limit.name} add up to {excess:.3f} more than the limit")


def _check_utilization(world: VirtualFleet, limit: Limit, lead: int, result: ScheduleResult) -> None:
    """The limit is used again two lease terms after all faults are over."""
    assert world.options.lease_timing is not None
    term_ms = world.options.lease_timing.term_ms
    result.utilization_before = utilization(world.spends, limit, 1_000.0 + term_ms, FAULTS_BEGIN_MS)
    result.utilization_during = utilization(world.spends, limit, FAULTS_BEGIN_MS, HEAL_MS)
    result.utilization_after = utilization(world.spends, limit, HEAL_MS + 2 * term_ms, END_MS)
    if result.utilization_after < MIN_UTILIZATION_AFTER_HEALING:
        result.violations.append(
            f"use of the limit {result.utilization_after:.2f} after healing, led by {lead}"
        )


def _check_gateways(
    world: VirtualFleet, members: int, published: list[HealthRecord], result: ScheduleResult
) -> None:
    """All gateways see each other, and agree on the health records in force."""
    in_force = records_in_force(published)
    for gateway in world.gateways:
        assert gateway.fleet is not None
        alive = len(gateway.fleet.membership.alive())
        if alive < members:
            result.violations.append(f"gateway {gateway.number} sees {alive} of {members} after healing")
        records = set(gateway.fleet.health)
        # A record that only its own gateway had when it was killed is lost with it, so some may be missing.
        if not records <= set(published) or records_in_force(list(records)) != records:
            result.violations.append(f"gateway {gateway.number} holds words that nobody said, or older ones")
        result.lost_records = len(in_force - records)
    if len({frozenset(gateway.fleet.health) for gateway in world.gateways if gateway.fleet}) > 1:
        result.violations.append("verdicts differ after healing")
