"""Checks of a limit against what was really spent of it, in true time: overshoot and utilization."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from shaletiller.fleet.quotas import Allowance

# Sums of floating-point numbers are not exact: an excess up to this is none.
ROUNDING_UNITS = 1e-6


@dataclass(slots=True, frozen=True)
class Limit:
    """A limit under test.

    :param name: the name by which gateways know it.
    :param allowance: the limit of the entire fleet.
    :param policy: `strict`, or `available`: what a partitioned gateway may spend.
    :param settle_ms: above 0, length of the sliding window in which spent units count.
    :param max_request_units: units of the largest request.
    """

    name: str
    allowance: Allowance
    policy: str = "strict"
    settle_ms: float = 0.0
    max_request_units: float = 8.0


@dataclass(slots=True, frozen=True)
class Spend:
    """Units that a gateway let through; `at_ms` is true time, not the gateway's clock."""

    at_ms: float
    member: int
    limit: str
    units: float


def overshoot(spends: list[Spend], limit: Limit, drift: float = 0.0) -> float:
    """Return the most units by which the fleet has exceeded a limit, 0 where it never has.

    :param drift: relative error of the gateways' clocks; a fast clock fills buckets faster.
    """
    found = sorted((spend.at_ms, spend.units) for spend in spends if spend.limit == limit.name)
    if limit.settle_ms > 0:
        return _window_overshoot(found, limit.allowance.burst, limit.settle_ms * (1 - drift))
    return _bucket_overshoot(found, limit.allowance.rate * (1 + drift), limit.allowance.burst)


def _window_overshoot(spends: list[tuple[float, float]], most_units: float, window_ms: float) -> float:
    """Return the excess of the worst sliding window over the units that one may contain."""
    worst, total = 0.0, 0.0
    window: deque[tuple[float, float]] = deque()
    for at_ms, units in spends:
        while window and window[0][0] <= at_ms - window_ms:
            total -= window.popleft()[1]
        window.append((at_ms, units))
        total += units
        worst = max(worst, total - most_units)
    return worst


def _bucket_overshoot(spends: list[tuple[float, float]], rate: float, burst: float) -> float:
    """Return how far one token bucket for the entire fleet would have fallen below 0.

    That it never does is the same as that no span of W seconds contains more than burst + W * rate.
    """
    worst, level, before_ms = 0.0, burst, -math.inf
    for at_ms, units in spends:
        if before_ms > -math.inf:
            level = min(burst, level + rate * (at_ms - before_ms) / 1000)
        before_ms = at_ms
        level -= units
        worst = max(worst, -level)
    return worst if worst > ROUNDING_UNITS else 0.0


def utilization(spends: list[Spend], limit: Limit, begin_ms: float, end_ms: float) -> float:
    """Return the part of a limit's rate that was spent in a span."""
    units = sum(
        spend.units for spend in spends if spend.limit == limit.name and begin_ms <= spend.at_ms < end_ms
    )
    allowance = limit.allowance
    units_per_s = allowance.burst * 1000 / limit.settle_ms if limit.settle_ms > 0 else allowance.rate
    return units / (units_per_s * (end_ms - begin_ms) / 1000)
