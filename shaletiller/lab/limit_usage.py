"""Overshoot and utilization of a limit, computed from the units spent and the true times."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from shaletiller.fleet.quotas import Allowance

# Overshoot up to this is ignored, because sums of floating-point numbers are not exact.
ROUNDING_UNITS = 1e-6


@dataclass(slots=True, frozen=True)
class Limit:
    """A limit under test.

    :param name: the name of the limit in the gateways.
    :param allowance: the limit of the entire fleet.
    :param policy: `strict` or `available`; determines what a partitioned gateway may spend.
    :param settle_ms: length of the sliding window in which spent units count; 0 for a token bucket.
    :param max_request_units: maximum units of a request.
    """

    name: str
    allowance: Allowance
    policy: str = "strict"
    settle_ms: float = 0.0
    max_request_units: float = 8.0


@dataclass(slots=True, frozen=True)
class Spend:
    """Units of requests that a gateway admitted; `at_ms` is true time, not that of the gateway's clock."""

    at_ms: float
    member: int
    limit: str
    units: float


def overshoot(spends: list[Spend], limit: Limit, drift: float = 0.0) -> float:
    """Return the maximum number of units by which the fleet exceeded a limit; 0 if it never did.

    :param drift: maximum relative error of the gateways' clocks, which is tolerated: a fast clock refills
        buckets faster.
    """
    limit_spends = sorted((spend.at_ms, spend.units) for spend in spends if spend.limit == limit.name)
    if limit.settle_ms > 0:
        return _window_overshoot(limit_spends, limit.allowance.burst, limit.settle_ms * (1 - drift))
    return _bucket_overshoot(limit_spends, limit.allowance.rate * (1 + drift), limit.allowance.burst)


def _window_overshoot(spends: list[tuple[float, float]], max_units: float, window_ms: float) -> float:
    """Return the maximum excess of any sliding window over `max_units`, the units that one may contain."""
    worst, total = 0.0, 0.0
    window: deque[tuple[float, float]] = deque()
    for at_ms, units in spends:
        while window and window[0][0] <= at_ms - window_ms:
            total -= window.popleft()[1]
        window.append((at_ms, units))
        total += units
        worst = max(worst, total - max_units)
    return worst


def _bucket_overshoot(spends: list[tuple[float, float]], rate: float, burst: float) -> float:
    """Return how far the level of one token bucket for the entire fleet would have fallen below 0.

    It stays at or above 0 if and only if no interval of W seconds contains more than burst + W * rate units.
    """
    worst, level, previous_ms = 0.0, burst, -math.inf
    for at_ms, units in spends:
        if previous_ms > -math.inf:
            level = min(burst, level + rate * (at_ms - previous_ms) / 1000)
        previous_ms = at_ms
        level -= units
        worst = max(worst, -level)
    return worst if worst > ROUNDING_UNITS else 0.0


def utilization(spends: list[Spend], limit: Limit, begin_ms: float, end_ms: float) -> float:
    """Return the units spent in an interval, as a fraction of what the limit's rate permits."""
    units = sum(
        spend.units for spend in spends if spend.limit == limit.name and begin_ms <= spend.at_ms < end_ms
    )
    allowance = limit.allowance
    units_per_s = allowance.burst * 1000 / limit.settle_ms if limit.settle_ms > 0 else allowance.rate
    return units / (units_per_s * (end_ms - begin_ms) / 1000)
