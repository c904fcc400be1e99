"""Fleets in virtual time: the guarantees hold in seeded schedules of faults.

For each guarantee, one test removes the check that enforces it, and the checker must detect the violation.  A
checker that never reports a violation would prove nothing.
"""

from __future__ import annotations

import unittest.mock
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from shaletiller.fleet.codec import HealthRecord
from shaletiller.fleet.core import FleetOptions
from shaletiller.fleet.health_gossip import HealthGossip, HealthKind, key_of
from shaletiller.fleet.leases.accounts import LimitAccount, LimitAccounts
from shaletiller.fleet.leases.granter import Granter, LimitPool
from shaletiller.fleet.leases.owner import Owner
from shaletiller.fleet.quotas import NO_ALLOWANCE, Allowance, ExpiringAllowances, Quota
from shaletiller.lab.fault_schedules import run_schedule
from shaletiller.lab.fleet_simulation import lines, measure_size, study
from shaletiller.lab.limit_usage import Limit, Spend, overshoot, utilization
from shaletiller.lab.virtual_fleet import VirtualFleet

SEEDS = range(1, 31)
SUM_EXCEEDED = "add up to"  # part of the checker's report that the sum of all quotas exceeds a limit


def violations(seeds: range) -> list[str]:
    """Return the violations of guarantees in the schedules of these seeds."""
    return [violation for seed in seeds for violation in run_schedule(seed).violations]


def sum_is_exceeded(seeds: range) -> bool:
    """Return whether the sum of all quotas exceeds a limit in any of these schedules."""
    return any(SUM_EXCEEDED in violation for violation in violations(seeds))


def test_every_guarantee_holds_in_schedules_of_faults() -> None:
    """Fleets experience message loss, delay, partitions, crashes and pauses; no guarantee is violated."""
    assert violations(SEEDS) == []


def test_a_schedule_is_reproducible() -> None:
    assert run_schedule(7) == run_schedule(7)


@contextmanager
def replaced(owner: type, name: str, replacement: Callable[..., Any]) -> Iterator[None]:
    with unittest.mock.patch.object(owner, name, replacement):
        yield


def test_an_unchecked_lease_expiry_is_detected() -> None:
    """A gateway does not check the expiry of its leases against the clock, and keeps them too long."""
    original = LimitAccounts.quota

    def quota(self: LimitAccounts, account: LimitAccount, now_ms: float) -> Quota:
        return Quota(original(self, account, now_ms).base.plus(account.leased.at(-1e18)))

    def prune(self: ExpiringAllowances, now_ms: float) -> None:
        self.entries = [entry for entry in self.entries if entry.expires_ms > now_ms - 1_500.0]

    with replaced(LimitAccounts, "quota", quota), replaced(ExpiringAllowances, "prune", prune):
        assert sum_is_exceeded(range(1, 6))


def test_pledging_at_once_to_a_successor_is_detected() -> None:
    """Owners pledge to a new granter before their pledges to the previous one have expired."""
    with replaced(Owner, "_may_pledge", lambda self, account, granter, now_ms: True):
        assert sum_is_exceeded(range(1, 16))


def _excess_after_restart() -> float:
    """Return the excess of quotas over a limit after an idle owner restarts while its share is leased."""
    world = VirtualFleet(3, 3, FleetOptions())
    limit = Limit("v:strict", Allowance(100.0, 60.0))
    for gateway in world.gateways:
        gateway.start()
    world.load(0, limit, 200.0, 2_500.0, 8_000.0, 3)
    world.load(1, limit, 200.0, 6_000.0, 8_000.0, 3)
    world.time.run(5_950.0)
    world.gateways[1].kill()
    world.gateways[1].start()
    world.time.run(8_000.0)
    return world.excess.get(limit.name, 0.0)


def test_a_restarted_member_that_does_not_wait_is_detected() -> None:
    """A restarted member spends its own share at once, although it had pledged that share before."""
    original = LimitAccounts.available_share

    def available_share(self: LimitAccounts, account: LimitAccount, when_ms: float) -> Allowance:
        account.unavailable_until_ms = 0.0
        return original(self, account, when_ms)

    assert _excess_after_restart() == 0.0
    with replaced(LimitAccounts, "available_share", available_share):
        assert _excess_after_restart() > 10.0


def test_a_granter_that_does_not_count_its_leases_is_detected() -> None:
    """A granter leases the pledges to each holder without deducting the leases of other holders."""

    def allocate(self: Granter, pool: LimitPool, holder: int, now_ms: float) -> Allowance:
        return pool.demands[holder].allowance.minimum(self._sum(pool.pledged, now_ms))

    with replaced(Granter, "_allocate", allocate):
        assert sum_is_exceeded(range(1, 6))


def _overshoot_of_moved_traffic() -> float:
    """Return the excess over a warm-up budget after its traffic moves from one gateway to the others."""
    world = VirtualFleet(3, 5, FleetOptions())
    limit = Limit("c:n", Allowance(0.0, 30.0), settle_ms=3_000.0)
    for gateway in world.gateways:
        gateway.start()
    world.load(0, limit, 60.0, 5_500.0, 9_500.0, 3)
    for number in (1, 2):
        world.load(number, limit, 60.0, 9_500.0, 14_000.0, 3)
    world.time.run(14_000.0)
    return overshoot(world.spends, limit, world.drift)


def test_a_windowed_budget_that_is_leased_again_at_once_is_detected() -> None:
    """A warm-up budget is leased again at once, so its units are spent twice in one window."""

    def available_share(self: LimitAccounts, account: LimitAccount, when_ms: float) -> Allowance:
        if when_ms < account.unavailable_until_ms:
            return NO_ALLOWANCE
        return account.own_share.minus(account.pledged.at(when_ms))

    assert _overshoot_of_moved_traffic() == 0.0
    with replaced(LimitAccounts, "available_share", available_share):
        assert _overshoot_of_moved_traffic() > 0.0


def test_merging_in_order_of_arrival_is_detected() -> None:
    """Gateways overwrite the newest record with the one that arrives last."""

    def merge(self: HealthGossip, record: HealthRecord, wall_ms: float) -> bool:
        if record.expires_ms <= wall_ms or record in set(self):
            return False
        self._put(key_of(record), record)
        self._broadcast(record)
        self._on_change(record.node, HealthKind(record.kind))
        return True

    with replaced(HealthGossip, "merge", merge):
        assert any(
            "words that nobody said, or older ones" in violation or "differ" in violation
            for violation in violations(range(1, 6))
        )


def test_the_checkers_measure_what_exceeds_a_limit() -> None:
    """Spends within a limit pass; the excess over its rate, its burst or its window is measured."""
    limit = Limit("v", Allowance(10.0, 5.0))
    spends = [Spend(at, 0, "v", 5.0) for at in (0.0, 500.0, 1_000.0)]
    assert overshoot(spends, limit) == 0.0
    assert overshoot([*spends, Spend(1_001.0, 1, "v", 3.0)], limit) == pytest.approx(2.99)
    assert overshoot([Spend(0.0, 0, "v", 6.0)], limit) == 1.0
    windowed = Limit("c", Allowance(0.0, 5.0), settle_ms=1_000.0)
    within = [Spend(at, 0, "c", 5.0) for at in (0.0, 1_000.0)]
    assert overshoot(within, windowed) == 0.0
    assert overshoot([*within, Spend(1_900.0, 1, "c", 1.0)], windowed) == 1.0
    assert utilization(spends, limit, 0.0, 1_000.0) == 1.0


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_message_rate_is_independent_of_fleet_size_and_records_spread_in_time(loss: float) -> None:
    """Operators eject nodes in fleets of 5 and of 30 gateways, with message loss of 0 % and 30 %.

    Gateways of the larger fleet send less than twice as many messages as those of the smaller one.  Every
    record reaches all gateways in time, and the limit is used and not exceeded.
    """
    small, large = measure_size(5, 1, loss, record_count=3), measure_size(30, 1, loss, record_count=3)
    assert large.messages_a_second < 2.0 * small.messages_a_second
    bound_ms = 500.0 if not loss else 2_000.0
    assert max(small.spread_ms + large.spread_ms) < bound_ms
    assert small.over == large.over == 0.0
    assert min(small.use, large.use) > (0.95 if not loss else 0.5)


def test_a_study_is_summarized_in_lines() -> None:
    found = study(4, 2, 3, [3])
    assert found["schedules"]["schedules"] == 2
    assert found["schedules"]["broken"] == 0
    assert lines(found)[0].startswith("ok 2 schedules of 4 gateways")
    assert len(lines(found)) == 3
