"""Exponential backoff between retries."""

from __future__ import annotations

import random

MAX_DOUBLINGS = 16  # keeps the power of two within the range of a float; `max_ms` applies long before


class FullJitterBackoff:
    """Exponential backoff with full jitter.

    The delay is uniform between 0 and an upper bound that doubles with each consecutive failure (M. Brooker,
    "Exponential Backoff And Jitter", AWS Architecture Blog, 2015), so that clients that failed at the same
    time do not retry at the same time.
    """

    def __init__(self, initial_ms: float, seed: int) -> None:
        """Create a backoff.

        :param initial_ms: upper bound of the delay after the first failure.
        :param seed: seed of the jitter; it should differ between processes that start at the same time.
        """
        self._initial_ms = initial_ms
        self._random = random.Random(seed)

    def delay_ms(self, failures: int, max_ms: float) -> float:
        """Return a random delay before the next call.

        :param failures: number of consecutive failures before the last one.
        :param max_ms: maximum of the upper bound.
        """
        bound_ms = self._initial_ms * 2 ** min(failures, MAX_DOUBLINGS)
        return self._random.uniform(0.0, min(max_ms, bound_ms))
