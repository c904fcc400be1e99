"""Quotas: the share of a fleet-wide limit that one gateway may spend, and the token bucket that enforces it.

A limit is a token bucket for the entire fleet, with a fill rate (units per second) and a burst (units).  A
quota is a share of both.  As long as the rates of all quotas add up to at most the rate of the limit, and
their bursts to at most its burst, the fleet spends at most burst + W * rate units in any interval of W
seconds.  This holds regardless of earlier quotas, because units are created only by filling, and units above
a reduced burst are discarded.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from shaletiller.rate_counters import TokenBucket


class Allowance(NamedTuple):
    """The two parameters of a token bucket.

    :param rate: fill rate, in units per second.
    :param burst: capacity, in units.
    """

    rate: float
    burst: float

    def plus(self, other: Allowance) -> Allowance:
        """Add both components."""
        return Allowance(self.rate + other.rate, self.burst + other.burst)

    def minus(self, other: Allowance) -> Allowance:
        """Subtract both components; a negative result becomes zero."""
        return Allowance(max(0.0, self.rate - other.rate), max(0.0, self.burst - other.burst))

    def maximum(self, other: Allowance) -> Allowance:
        """Return the maximum of each component."""
        return Allowance(max(self.rate, other.rate), max(self.burst, other.burst))

    def minimum(self, other: Allowance) -> Allowance:
        """Return the minimum of each component."""
        return Allowance(min(self.rate, other.rate), min(self.burst, other.burst))

    def scaled(self, factor: float) -> Allowance:
        """Multiply both components."""
        return Allowance(self.rate * factor, self.burst * factor)

    def exceeds(self, other: Allowance) -> bool:
        """Return whether at least one component is greater than that of `other`."""
        return self.rate > other.rate or self.burst > other.burst


NO_ALLOWANCE = Allowance(0.0, 0.0)
# Messages contain thousandths of a unit, rounded down, because an allowance must not grow in transit.
WIRE_SCALE = 1000


def to_wire(allowance: Allowance) -> tuple[int, int]:
    """Return the rate and the burst in thousandths, rounded down."""
    return int(allowance.rate * WIRE_SCALE), int(allowance.burst * WIRE_SCALE)


def from_wire(rate: int, burst: int) -> Allowance:
    """Return the allowance for a rate and a burst in thousandths."""
    return Allowance(rate / WIRE_SCALE, burst / WIRE_SCALE)


class ExpiringAllowance(NamedTuple):
    """An allowance that is valid before `expires_ms`."""

    expires_ms: float
    allowance: Allowance


@dataclass(slots=True)
class ExpiringAllowances:
    """Allowances with expiry times; the maximum of those that have not expired is in force.

    The lending side and the borrowing side compute the same value even if messages are lost or duplicated;
    neither side needs to know which messages the other side has received.
    """

    entries: list[ExpiringAllowance] = field(default_factory=list)

    def add(self, expires_ms: float, allowance: Allowance) -> None:
        """Record an allowance; an allowance of zero is ignored."""
        if allowance != NO_ALLOWANCE:
            self.entries.append(ExpiringAllowance(expires_ms, allowance))

    def at(self, when_ms: float) -> Allowance:
        """Return the allowance that is in force at a time."""
        in_force = NO_ALLOWANCE
        for expires_ms, allowance in self.entries:
            if expires_ms > when_ms:
                in_force = in_force.maximum(allowance)
        return in_force

    def expiries(self) -> list[float]:
        """Return the expiry times in unspecified order."""
        return [entry.expires_ms for entry in self.entries]

    def last_expiry(self) -> float:
        """Return the latest expiry time, or minus infinity if there are no entries."""
        return max(self.expiries(), default=-math.inf)

    def prune(self, now_ms: float) -> None:
        """Drop expired entries, and entries that are covered by others until they expire."""
        live = [entry for entry in self.entries if entry.expires_ms > now_ms]
        live.sort(key=lambda entry: -entry.expires_ms)
        kept: list[ExpiringAllowance] = []
        covered = NO_ALLOWANCE
        for entry in live:
            if entry.allowance.exceeds(covered):
                kept.append(entry)
                covered = covered.maximum(entry.allowance)
        self.entries = kept


@dataclass(slots=True, frozen=True)
class Quota:
    """Amount of a limit that a gateway may spend over time, by its own clock.

    :param base: allowance after the last step has expired.
    :param steps: allowances ordered by expiry; each is in force from the expiry of the previous one.
    """

    base: Allowance = NO_ALLOWANCE
    steps: tuple[ExpiringAllowance, ...] = ()

    def at(self, now_ms: float) -> Allowance:
        """Return the allowance that is in force at a time.

        Must be called before each spend, because leases may have expired while the process was paused.
        """
        for expires_ms, allowance in self.steps:
            if now_ms < expires_ms:
                return allowance
        return self.base


class QuotaBucket(TokenBucket):
    """A token bucket that is filled according to a quota.

    It starts empty, because the amount that the process had spent before a restart is unknown.
    """

    def fill_by_quota(self, now_ms: float, quota: Quota) -> float:
        """Fill the bucket up to `now_ms`, applying each step of the quota until it expires.

        :returns: the new level, in units.
        """
        for expires_ms, allowance in quota.steps:
            if self.updated_ms < expires_ms:
                self.fill(max(self.updated_ms, min(now_ms, expires_ms)), *allowance)
            if now_ms < expires_ms:
                return self.level
        return self.fill(max(self.updated_ms, now_ms), *quota.base)

    def spend(self, now_ms: float, quota: Quota, units: float) -> bool:
        """Take units from the bucket if it contains enough.

        :returns: whether the units were taken.
        """
        if self.fill_by_quota(now_ms, quota) < units:
            return False
        self.level -= units
        return True
