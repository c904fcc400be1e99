"""Shares of a limit, and the store that spends them.

A limit is a leaky store for the whole fleet: it fills at a rate up to a burst (units a second, units).  A
share is a part of both.  If at every moment the rates of all shares add up to no more than the limit's rate,
and their bursts to no more than its burst, then in any span of W seconds no more than burst + W * rate units
are spent, whatever the shares were before: units come into being only by filling, and what is above a burst
that has shrunk is dropped.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from shaletiller.rate_counters import TokenBucket


class Amount(NamedTuple):
    """Units a second, and units."""

    rate: float
    burst: float

    def plus(self, other: Amount) -> Amount:
        return Amount(self.rate + other.rate, self.burst + other.burst)

    def less(self, other: Amount) -> Amount:
        """What is left, never below nothing."""
        return Amount(max(0.0, self.rate - other.rate), max(0.0, self.burst - other.burst))

    def most(self, other: Amount) -> Amount:
        return Amount(max(self.rate, other.rate), max(self.burst, other.burst))

    def least(self, other: Amount) -> Amount:
        return Amount(min(self.rate, other.rate), min(self.burst, other.burst))

    def times(self, part: float) -> Amount:
        return Amount(self.rate * part, self.burst * part)


NOTHING = Amount(0.0, 0.0)
# What is passed on is counted in thousandths, rounded down: a share must not grow on its way.
GRAIN = 1000


def to_wire(amount: Amount) -> tuple[int, int]:
    return int(amount.rate * GRAIN), int(amount.burst * GRAIN)


def from_wire(rate: int, burst: int) -> Amount:
    return Amount(rate / GRAIN, burst / GRAIN)


@dataclass(slots=True)
class Steps:
    """Amounts that end at given times; what holds at a moment is the greatest of those that have not ended.

    The giver and the taker of a share reckon alike, whichever messages were lost or came twice: neither has
    to know which of them the other has."""

    steps: list[tuple[float, Amount]] = field(default_factory=list)

    def add(self, until_ms: float, amount: Amount) -> None:
        if amount != NOTHING:
            self.steps.append((until_ms, amount))

    def at(self, when_ms: float) -> Amount:
        """What holds at a time; a step has ended at its end."""
        held = NOTHING
        for until_ms, amount in self.steps:
            if until_ms > when_ms:
                held = held.most(amount)
        return held

    def ends(self) -> list[float]:
        return [until_ms for until_ms, _ in self.steps]

    def last_end(self) -> float:
        return max((until_ms for until_ms, _ in self.steps), default=-math.inf)

    def forget(self, now_ms: float) -> None:
        """Drop what has ended, and what another step covers to its end."""
        live = [step for step in self.steps if step[0] > now_ms]
        live.sort(key=lambda step: -step[0])
        kept: list[tuple[float, Amount]] = []
        covered = NOTHING
        for until_ms, amount in live:
            if amount.rate > covered.rate or amount.burst > covered.burst:
                kept.append((until_ms, amount))
                covered = covered.most(amount)
        self.steps = kept


@dataclass(slots=True, frozen=True)
class Quota:
    """What a gateway may spend of a limit, by its own clock: each step until its end, in the order of their
    ends, and `rest` from then on."""

    rest: Amount = NOTHING
    steps: tuple[tuple[float, Amount], ...] = ()

    def at(self, now_ms: float) -> Amount:
        """The check that a spend needs, at the time of the spend: after a pause the leases may be over."""
        for until_ms, amount in self.steps:
            if now_ms < until_ms:
                return amount
        return self.rest


class QuotaBucket(TokenBucket):
    """A store that fills by the share in hand.  It begins empty: what went before a restart is not known."""

    def by_share(self, now_ms: float, share: Quota) -> float:
        """Bring the store to `now_ms`, by each step of the share to its end, and give its level in units."""
        for until_ms, amount in share.steps:
            if self.at_ms < until_ms:
                self.fill(max(self.at_ms, min(now_ms, until_ms)), *amount)
            if now_ms < until_ms:
                return self.level
        return self.fill(max(self.at_ms, now_ms), *share.rest)

    def spend(self, now_ms: float, share: Quota, units: float) -> bool:
        """Take units if the store holds them."""
        if self.by_share(now_ms, share) < units:
            return False
        self.level -= units
        return True
