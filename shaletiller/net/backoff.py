"""Backoff between repeated calls."""

from __future__ import annotations

import random

MAX_DOUBLINGS = 16  # keeps the power of two within a float's range; the bound applies long before


class FullJitterBackoff:
    """Exponential backoff with full jitter.

    The delay is uniform between 0 and a bound that doubles with each failure in a row (M. Brooker,
    "Exponential Backoff And Jitter", AWS Architecture Blog, 2015): callers that failed together do not call
    again together.
    """

    def __init__(self, initial_ms: float, seed: int) -> None:
        """Make a backoff.

        :param initial_ms: the bound after the first failure.
        :param seed: differs between processes that start together.
        """
        self._initial_ms = initial_ms
        self._random = random.Random(seed)

    def delay_ms(self, failures: int, max_ms: float) -> float:
        """Draw the delay before the next call.

        :param failures: how many calls in a row had failed before the last one.
        :param max_ms: the bound's own bound.
        """
        bound_ms = self._initial_ms * 2 ** min(failures, MAX_DOUBLINGS)
        return self._random.uniform(0.0, min(max_ms, bound_ms))
