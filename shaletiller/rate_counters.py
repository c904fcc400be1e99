"""Counters used by the policy and the fleet: token bucket, decaying rate and sliding-window sum.

Times are milliseconds, rates are amounts a second.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

# Default time constant of a decaying rate.  A shorter time follows a change of load sooner; a longer time is
# less affected by single requests.
RATE_TIME_CONSTANT_MS = 1000.0


@dataclass(slots=True)
class TokenBucket:
    """A token bucket (J. Turner, 1986): it fills at a rate up to its capacity; spending lowers its level."""

    level: float
    updated_ms: float

    def fill(self, now_ms: float, rate: float, capacity: float) -> float:
        """Add the tokens since the last call.

        :param rate: tokens a second.
        :param capacity: maximum number of tokens in the bucket.
        :returns: the new level.
        """
        self.level = min(capacity, self.level + rate * (now_ms - self.updated_ms) / 1000)
        self.updated_ms = now_ms
        return self.level


@dataclass(slots=True)
class DecayingRate:
    """An exponentially decaying rate, as in Unix load averages: counts decay by e^(-t/time constant)."""

    total: float = 0.0
    updated_ms: float = 0.0
    time_constant_ms: float = RATE_TIME_CONSTANT_MS

    def add(self, now_ms: float, amount: float = 0.0) -> float:
        """Add an amount.

        :returns: the rate a second, including the amount.
        """
        self.total = self.total * math.exp((self.updated_ms - now_ms) / self.time_constant_ms) + amount
        self.updated_ms = now_ms
        return self.total * 1000 / self.time_constant_ms

    def rate(self, now_ms: float) -> float:
        """Return the rate a second."""
        return self.add(now_ms)


class SlidingWindowSum:
    """A sliding-window log: the exact sum of the amounts within a window that ends now."""

    def __init__(self) -> None:
        """Create an empty window."""
        self._entries: deque[tuple[float, float]] = deque()  # time in milliseconds, amount

    def add(self, now_ms: float, amount: float = 1.0) -> None:
        """Add an amount."""
        self._entries.append((now_ms, amount))

    def within(self, now_ms: float, window_ms: float) -> float:
        """Return the sum of the amounts of the last `window_ms`; older amounts are dropped."""
        self.drop_older(now_ms, window_ms)
        return sum(amount for _, amount in self._entries)

    def drop_older(self, now_ms: float, window_ms: float) -> None:
        """Drop amounts that are older than the window."""
        while self._entries and self._entries[0][0] <= now_ms - window_ms:
            self._entries.popleft()

    def clear(self) -> None:
        """Drop all amounts."""
        self._entries.clear()
