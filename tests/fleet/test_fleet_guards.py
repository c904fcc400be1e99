"""Fleets in virtual time: the guarantees hold in seeded schedules of faults, and a guard taken out is seen.

For each guarantee its guard is removed, and the checker has to object: else it would object to nothing.
"""

from __future__ import annotations

import unittest.mock
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from shaletiller.fleet import health_gossip
from shaletiller.fleet.core import Options
from shaletiller.fleet.health_gossip import HealthGossip, Kind, key_of
from shaletiller.fleet.leases import Leases
from shaletiller.fleet.quotas import NOTHING, Amount, Quota, Steps
from shaletiller.lab.fault_schedules import play
from shaletiller.lab.fleet_simulation import at_size, lines, study
from shaletiller.lab.virtual_network import Limit, Spend, World, overshoot, use

SEEDS = range(1, 31)


def broken(seeds: range) -> list[str]:
    return [each for seed in seeds for each in play(seed).broken]


def test_every_guarantee_holds_in_schedules_of_faults() -> None:
    assert broken(SEEDS) == []


def test_a_schedule_is_played_alike_each_time() -> None:
    assert play(7) == play(7)


@contextmanager
def without(owner: Any, name: str, instead: Any) -> Iterator[None]:
    with unittest.mock.patch.object(owner, name, instead):
        yield


def test_an_expiry_that_is_not_checked_is_seen() -> None:
    whole = Leases._share

    def share(self: Leases, ledger: Any, now_ms: float) -> Quota:
        held = ledger.held.at(-1e18)
        return Quota(whole(self, ledger, now_ms).rest.plus(held))

    def forget(self: Steps, now_ms: float) -> None:
        """Nothing is dropped for a while after its end, as if nobody had looked at the clock."""
        self.steps = [step for step in self.steps if step[0] > now_ms - 1_500.0]

    with without(Leases, "_share", share), without(Steps, "forget", forget):
        assert any("add up to" in each for each in broken(range(1, 6)))


def test_a_successor_that_does_not_wait_is_seen() -> None:
    with without(Leases, "_may_pledge", lambda self, ledger, to, now_ms: True):
        assert any("add up to" in each for each in broken(range(1, 16)))


def _restarted() -> float:
    """By how much shares pass a limit when an idle owner, its part lent out, is killed and comes back."""
    world = World(3, 3, Options())
    limit = Limit("v:strict", Amount(100.0, 60.0))
    for gateway in world.gateways:
        gateway.start()
    world.load(0, limit, 200.0, 2_500.0, 8_000.0, 3)
    world.load(1, limit, 200.0, 6_000.0, 8_000.0, 3)
    world.time.run(5_950.0)
    world.gateways[1].kill()
    world.gateways[1].start()
    world.time.run(8_000.0)
    return world.excess.get(limit.name, 0.0)


def test_a_restarted_member_that_does_not_rest_is_seen() -> None:
    whole = Leases._own

    def own(self: Leases, ledger: Any, when_ms: float) -> Amount:
        ledger.quiet_until_ms = 0.0
        return whole(self, ledger, when_ms)

    assert _restarted() == 0.0
    with without(Leases, "_own", own):
        assert _restarted() > 10.0


def test_a_granter_that_does_not_count_what_it_has_leased_is_seen() -> None:
    def allot(self: Leases, pool: Any, holder: int, now_ms: float) -> Amount:
        want: Amount = pool.wants[holder][0]
        return want.least(self._sum(pool.pledged, now_ms))

    with without(Leases, "_allot", allot):
        assert any("add up to" in each for each in broken(range(1, 6)))


def _moved_budget() -> float:
    """By how much a cold node's budget is passed when its traffic moves from one gateway to the others."""
    world = World(3, 5, Options())
    limit = Limit("c:n", Amount(0.0, 30.0), settle_ms=3_000.0)
    for gateway in world.gateways:
        gateway.start()
    world.load(0, limit, 60.0, 5_500.0, 9_500.0, 3)
    for number in (1, 2):
        world.load(number, limit, 60.0, 9_500.0, 14_000.0, 3)
    world.time.run(14_000.0)
    return overshoot(world.spends, limit, world.drift)


def test_a_span_that_does_not_rest_is_seen() -> None:
    """A cold node's budget counts what is sent in a span: lent on at once, it is spent twice in one."""

    def own(self: Leases, ledger: Any, when_ms: float) -> Amount:
        return NOTHING if when_ms < ledger.quiet_until_ms else ledger.own.less(ledger.pledged.at(when_ms))

    assert _moved_budget() == 0.0
    with without(Leases, "_own", own):
        assert _moved_budget() > 0.0


def test_a_merge_by_arrival_is_seen() -> None:
    def take(self: HealthGossip, word: Any, wall_ms: float) -> bool:
        if word.until <= wall_ms or word in set(self):
            return False
        self._put(key_of(word), word)
        self._spread(word)
        self._moved(word.node, Kind(word.kind))
        return True

    with without(health_gossip.HealthGossip, "take", take):
        assert any(
            "words that nobody said, or older ones" in each or "differ" in each
            for each in broken(range(1, 6))
        )


def test_the_checkers_see_what_they_are_for() -> None:
    limit = Limit("v", Amount(10.0, 5.0))
    spends = [Spend(at, 0, "v", 5.0) for at in (0.0, 500.0, 1_000.0)]
    assert overshoot(spends, limit) == 0.0
    assert overshoot([*spends, Spend(1_001.0, 1, "v", 3.0)], limit) == pytest.approx(2.99)
    assert overshoot([Spend(0.0, 0, "v", 6.0)], limit) == 1.0
    span = Limit("c", Amount(0.0, 5.0), settle_ms=1_000.0)
    calm = [Spend(at, 0, "c", 5.0) for at in (0.0, 1_000.0)]
    assert overshoot(calm, span) == 0.0
    assert overshoot([*calm, Spend(1_900.0, 1, "c", 1.0)], span) == 1.0
    assert use(spends, limit, 0.0, 1_000.0) == 1.0


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_talk_does_not_grow_with_the_fleet_and_news_spreads_in_time(loss: float) -> None:
    small, large = at_size(5, 1, loss, news=3), at_size(30, 1, loss, news=3)
    assert large.messages_a_second < 2.0 * small.messages_a_second
    bound_ms = 500.0 if not loss else 2_000.0
    assert max(small.spread_ms + large.spread_ms) < bound_ms
    assert small.over == large.over == 0.0
    assert min(small.use, large.use) > (0.95 if not loss else 0.5)


def test_a_study_is_told_in_words() -> None:
    found = study(4, 2, 3, [3])
    assert found["schedules"]["schedules"] == 2 and found["schedules"]["broken"] == 0
    assert lines(found)[0].startswith("ok 2 schedules of 4 gateways")
    assert len(lines(found)) == 3
