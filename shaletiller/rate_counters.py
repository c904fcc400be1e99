"""Counters that the decisions and the fleet share: a leaking store of units, and a rate that forgets."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

MEMORY_MS = 1000.0  # how long a rate is remembered, unless said otherwise


@dataclass(slots=True)
class TokenBucket:
    """A leaking store of units: it fills at a rate (units a second) up to a cap."""

    level: float
    at_ms: float

    def fill(self, now_ms: float, rate: float, cap: float) -> float:
        """Bring the store to `now_ms` and give its level."""
        self.level = min(cap, self.level + rate * (now_ms - self.at_ms) / 1000)
        self.at_ms = now_ms
        return self.level


@dataclass(slots=True)
class DecayingRate:
    """A rate that forgets."""

    total: float = 0.0
    at_ms: float = 0.0
    memory_ms: float = MEMORY_MS

    def add(self, now_ms: float, amount: float = 0.0) -> float:
        """Count and give the rate a second."""
        self.total = self.total * math.exp((self.at_ms - now_ms) / self.memory_ms) + amount
        self.at_ms = now_ms
        return self.total * 1000 / self.memory_ms


class SlidingWindowSum:
    """The exact sum of what was counted within a span that ends now."""

    def __init__(self) -> None:
        self._counted: deque[tuple[float, float]] = deque()  # time in milliseconds, amount

    def add(self, now_ms: float, amount: float = 1.0) -> None:
        self._counted.append((now_ms, amount))

    def within(self, now_ms: float, span_ms: float) -> float:
        """The sum over the last `span_ms`; what is older is forgotten."""
        self.forget(now_ms, span_ms)
        return sum(amount for _, amount in self._counted)

    def forget(self, now_ms: float, span_ms: float) -> None:
        while self._counted and self._counted[0][0] <= now_ms - span_ms:
            self._counted.popleft()

    def clear(self) -> None:
        self._counted.clear()
