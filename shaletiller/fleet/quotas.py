"""Quotas: the part of a fleet-wide limit that one gateway may spend, and the token bucket that enforces it.

A limit is one token bucket for the entire fleet, with a fill rate and a burst (units a second, units).  A
quota is a part of both.  While the rates of all quotas add up to at most the limit's rate, and their bursts
to at most its burst, any interval of W seconds spends at most burst + W * rate units, whatever the quotas
were before: units arise only by filling, and those above a burst that has shrunk are discarded.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from shaletiller.rate_counters import TokenBucket


class Allowance(NamedTuple):
    """The two parameters of a token bucket.

    :param rate: units a second.
    :param burst: units.
    """

    rate: float
    burst: float

    def plus(self, other: Allowance) -> Allowance:
        """Add component by component."""
        return Allowance(self.rate + other.rate, self.burst + other.burst)

    def minus(self, other: Allowance) -> Allowance:
        """Subtract component by component; no component falls below zero."""
        return Allowance(max(0.0, self.rate - other.rate), max(0.0, self.burst - other.burst))

    def maximum(self, other: Allowance) -> Allowance:
        """Return the greater of each component."""
        return Allowance(max(self.rate, other.rate), max(self.burst, other.burst))

    def minimum(self, other: Allowance) -> Allowance:
        """Return the lesser of each component."""
        return Allowance(min(self.rate, other.rate), min(self.burst, other.burst))

    def scaled(self, factor: float) -> Allowance:
        """Multiply both components."""
        return Allowance(self.rate * factor, self.burst * factor)

    def exceeds(self, other: Allowance) -> bool:
        """Whether either component is greater than the other's."""
        return self.rate > other.rate or self.burst > other.burst


NO_ALLOWANCE = Allowance(0.0, 0.0)
# Messages carry thousandths of a unit, rounded down: an allowance must not grow in transit.
WIRE_SCALE = 1000


def to_wire(allowance: Allowance) -> tuple[int, int]:
    """Return rate and burst in thousandths, rounded down."""
    return int(allowance.rate * WIRE_SCALE), int(allowance.burst * WIRE_SCALE)


def from_wire(rate: int, burst: int) -> Allowance:
    """Return the allowance of a rate and a burst in thousandths."""
    return Allowance(rate / WIRE_SCALE, burst / WIRE_SCALE)


class ExpiringAllowance(NamedTuple):
    """An allowance that is valid until a time, exclusive."""

    expires_ms: float
    allowance: Allowance


@dataclass(slots=True)
class ExpiringAllowances:
    """Allowances with expiry times; in force is the maximum of those that have not expired.

    Lender and borrower compute the same value whichever messages were lost or duplicated: neither has to know
    which of them the other received.
    """

    entries: list[ExpiringAllowance] = field(default_factory=list)

    def add(self, expires_ms: float, allowance: Allowance) -> None:
        """Record an allowance; one of zero is ignored."""
        if allowance != NO_ALLOWANCE:
            self.entries.append(ExpiringAllowance(expires_ms, allowance))

    def at(self, when_ms: float) -> Allowance:
        """Return what is in force at a time."""
        in_force = NO_ALLOWANCE
        for expires_ms, allowance in self.entries:
            if expires_ms > when_ms:
                in_force = in_force.maximum(allowance)
        return in_force

    def expiries(self) -> list[float]:
        """Return the expiry times, in no order."""
        return [entry.expires_ms for entry in self.entries]

    def last_expiry(self) -> float:
        """Return the latest expiry time, minus infinity without entries."""
        return max(self.expiries(), default=-math.inf)

    def prune(self, now_ms: float) -> None:
        """Drop entries that have expired and those that another entry covers until their expiry."""
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
    """What a gateway may spend of a limit over time, by its own clock.

    :param base: in force after the last step has expired.
    :param steps: each in force until its expiry, ordered by expiry.
    """

    base: Allowance = NO_ALLOWANCE
    steps: tuple[ExpiringAllowance, ...] = ()

    def at(self, now_ms: float) -> Allowance:
        """Return what is in force at a time.

        To be evaluated at each spend: leases may have expired while the process was paused.
        """
        for expires_ms, allowance in self.steps:
            if now_ms < expires_ms:
                return allowance
        return self.base


class QuotaBucket(TokenBucket):
    """A token bucket that fills according to a quota.

    It starts empty: what the process before a restart had spent is unknown.
    """

    def fill_by_quota(self, now_ms: float, quota: Quota) -> float:
        """Fill up to `now_ms`, by each step of the quota until its expiry.

        :returns: the level, in units.
        """
        for expires_ms, allowance in quota.steps:
            if self.updated_ms < expires_ms:
                self.fill(max(self.updated_ms, min(now_ms, expires_ms)), *allowance)
            if now_ms < expires_ms:
                return self.level
        return self.fill(max(self.updated_ms, now_ms), *quota.base)

    def spend(self, now_ms: float, quota: Quota, units: float) -> bool:
        """Take units from the bucket.

        :returns: whether the bucket contained them.
        """
        if self.fill_by_quota(now_ms, quota) < units:
            return False
        self.level -= units
        return True
