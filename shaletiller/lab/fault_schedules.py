"""Seeded fault schedules for simulated fleets, and the checks of the guarantees after each schedule."""

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

# Virtual times in each run: when faults begin, when all faults are over, and when the run ends.  Each phase
# is long enough for several lease terms (of 1 to 3 s).
FAULTS_BEGIN_MS, HEAL_MS, END_MS = 5_000.0, 15_000.0, 22_000.0
# Minimum time from the start of a fault to HEAL_MS; a shorter fault might have no effect.
MIN_FAULT_PHASE_MS = 3_000.0
# All gateways have discovered each other by then, even with the slowest timings drawn.
LOAD_BEGIN_MS = 700.0
# Lower bound for a single schedule, where a surge of load may fall into the seconds after healing; the mean
# over many schedules is far higher.
MIN_UTILIZATION_AFTER_HEALING = 0.5
# Longer than any run, so that no health record expires during one.
RECORD_TTL_MS = 600_000.0


class FaultKind(StrEnum):
    """The kinds of faults drawn; `GRANTER` kills or suspends the current granter of the limit."""

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
# An ejection is drawn twice as often as any other kind, because operators rely on it.
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
    :param overshoot_units: the overshoot of each limit, see `overshoot`.
    :param utilization_before: utilization of the strict limit before the faults; `utilization_during` and
        `utilization_after` are those during and after them.
    :param lost_records: number of health records in force that the last gateway lacks at the end.
    :param messages_per_second: messages sent by one gateway, on average.
    :param violations: each guarantee that did not hold, as text.  The texts are part of the report's format
        and stay the same from release to release; in them a `word` or `verdict` is a health record.
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
        """Return the result under the keys of the JSON report."""
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
    """Kills or suspends one gateway, and later restarts or resumes the same one."""

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


def schedule_faults(world: VirtualFleet, draw: random.Random, limit: Limit, max_faults: int = 4) -> list[str]:
    """Draw and schedule 1 to `max_faults` faults for the middle of a run; all of them are over by HEAL_MS.

    :param limit: the limit whose granter a `GRANTER` fault kills or suspends.
    :returns: the faults, as text.
    """
    descriptions = [_schedule_fault(world, draw, limit) for _ in range(draw.randint(1, max_faults))]
    world.time.at(HEAL_MS, world.heal)
    return descriptions


def _schedule_fault(world: VirtualFleet, draw: random.Random, limit: Limit) -> str:
    kind = draw.choice(tuple(FaultKind))
    begin_ms = draw.uniform(FAULTS_BEGIN_MS, HEAL_MS - MIN_FAULT_PHASE_MS)
    end_ms = min(HEAL_MS, begin_ms + draw.uniform(200.0, 7_000.0))
    side = set(draw.sample(range(world.members), draw.randint(1, max(1, world.members // 2))))
    number = draw.randrange(world.members)
    if kind in LINK_FAULTS:
        intensity = draw.uniform(0.05, 0.4)
        world.time.at(begin_ms, lambda: _degrade_links(world, kind, intensity))
    elif kind in PARTITIONS:
        world.time.at(begin_ms, lambda: world.cut(side, kind is FaultKind.ONE_WAY))
    else:
        pause = kind is FaultKind.PAUSE or (kind is FaultKind.GRANTER and draw.random() < 0.5)
        fault = _ProcessFault(world, lambda: _target_gateway(world, kind, number, limit), pause)
        world.time.at(begin_ms, fault.begin)
        world.time.at(end_ms, fault.end)
    target = sorted(side) if kind in PARTITIONS else number
    return f"{kind} {target} {begin_ms:.0f}-{end_ms:.0f} ms"


def _degrade_links(world: VirtualFleet, kind: FaultKind, intensity: float) -> None:
    for link in world.all_links():
        if kind is FaultKind.LOSS:
            link.loss = intensity
        elif kind is FaultKind.SLOW:  # also reorders messages, since each has its own delay
            link.most_ms = 1_500.0 * intensity
        else:
            link.doubled = intensity


def _target_gateway(world: VirtualFleet, kind: FaultKind, number: int, limit: Limit) -> int:
    fleet = world.gateways[number].fleet
    if kind is FaultKind.GRANTER and fleet is not None:
        return fleet.leases.granter_of(limit.name)
    return number


def draw_options(draw: random.Random) -> FleetOptions:
    """Draw timings that an operator might set; the guarantees must hold for all of them."""
    period_ms = draw.choice([100.0, 200.0, 400.0])
    membership = MembershipTiming(
        period_ms, period_ms * 0.4, max(period_ms, draw.choice([200.0, 600.0, 1_500.0]))
    )
    leases = LeaseTiming(draw.choice([1_000.0, 2_000.0, 3_000.0]), draw.choice([300.0, 500.0]))
    return FleetOptions(membership, leases)


def _schedule_load(world: VirtualFleet, draw: random.Random, limit: Limit, warm_up: Limit) -> int:
    """Schedule load on one gateway that exceeds the limit all the time, and surges of load on the others.

    Each gateway also requests units of the warm-up budget for some seconds.

    :returns: the number of the gateway with constant load.
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
    """Schedule health records: operators eject and readmit nodes, and gateways report on nodes that restart.

    :param published: each record is appended when it is published.
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
    """Return the records that must be in force after all of these were published.

    For each register that is the newest record about the node's newest incarnation; ejections do not depend
    on the incarnation.
    """
    incarnations: dict[str, int] = {}
    for record in published:
        newest_incarnation = incarnations.get(record.node, 0)
        record_incarnation = record.incarnation if record.kind != HealthKind.EJECTED else 0
        incarnations[record.node] = max(newest_incarnation, record_incarnation)
    newest: dict[RecordKey, HealthRecord] = {}
    for record in published:
        if record.kind != HealthKind.EJECTED and record.incarnation < incarnations[record.node]:
            continue
        before = newest.get(key_of(record))
        if before is None or (record.timestamp, record.observer) > (before.timestamp, before.observer):
            newest[key_of(record)] = record
    return set(newest.values())


def run_schedule(
    seed: int, members: int = 5, world: VirtualFleet | None = None, max_faults: int = 4
) -> ScheduleResult:
    """Run one schedule, and check the guarantees after all faults are over.

    During the run several gateways request units of a strict limit, all of them request units of a node's
    warm-up budget, and health records are published.

    :param world: the fleet; by default one of `members` gateways without replicated lease tables.
    :param max_faults: maximum number of faults.
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
    result = ScheduleResult(seed, schedule_faults(world, draw, limit, max_faults))
    published: list[HealthRecord] = []
    _schedule_records(world, draw, published)
    world.time.run(END_MS)
    _check_limits(world, limit, warm_up, result)
    _check_utilization(world, limit, lead, result)
    _check_gateways(world, members, published, result)
    result.messages_per_second = world.sent / members / (END_MS / 1000)
    return result


def _check_limits(world: VirtualFleet, limit: Limit, warm_up: Limit, result: ScheduleResult) -> None:
    """Check that neither the units spent nor the sum of all quotas exceed a limit."""
    for checked_limit in (limit, warm_up):
        units = result.overshoot_units[checked_limit.name] = overshoot(
            world.spends, checked_limit, world.drift
        )
        if units > 0:
            result.violations.append(f"limit {checked_limit.name} passed by {units:.3f} units")
    if world.excess.get(limit.name):
        excess = world.excess[limit.name]
        result.violations.append(f"shares of {limit.name} add up to {excess:.3f} more than the limit")


def _check_utilization(world: VirtualFleet, limit: Limit, lead: int, result: ScheduleResult) -> None:
    """Check that the limit is used again from two lease terms after the end of all faults."""
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
    """Check that all gateways see each other, and agree on the health records in force."""
    in_force = records_in_force(published)
    for gateway in world.gateways:
        assert gateway.fleet is not None
        alive = len(gateway.fleet.membership.alive())
        if alive < members:
            result.violations.append(f"gateway {gateway.number} sees {alive} of {members} after healing")
        records = set(gateway.fleet.health)
        # A record is lost if its gateway is killed before it has sent the record, so some may be missing.
        if not records <= set(published) or records_in_force(list(records)) != records:
            result.violations.append(f"gateway {gateway.number} holds words that nobody said, or older ones")
        result.lost_records = len(in_force - records)
    if len({frozenset(gateway.fleet.health) for gateway in world.gateways if gateway.fleet}) > 1:
        result.violations.append("verdicts differ after healing")
