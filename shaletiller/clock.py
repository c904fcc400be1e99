"""The one clock: milliseconds since the Unix epoch, carried on by the monotonic clock.

The epoch is read once, so that time never goes back while a node's `started_ms` still compares.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable
from typing import Any, Protocol


class Timer(Protocol):
    """A call that has yet to be made."""

    def cancel(self) -> None: ...


class Clock:
    """Real time on the running event loop."""

    def __init__(self) -> None:
        self._offset_ms = (time.time() - time.monotonic()) * 1000

    def now_ms(self) -> float:
        return self._offset_ms + time.monotonic() * 1000

    def call_later(self, wait_ms: float, call: Callable[..., None], *values: Any) -> Timer:
        return asyncio.get_running_loop().call_later(max(0.0, wait_ms) / 1000, call, *values)


class _SetTimer:
    def __init__(self, call: Callable[..., None], values: tuple[Any, ...]) -> None:
        self.call, self.values, self.live = call, values, True

    def cancel(self) -> None:
        self.live = False


class SettableClock(Clock):
    """A clock that stands still until it is moved; timers come due on the way."""

    def __init__(self, at_ms: float = 0.0) -> None:
        self._at_ms = at_ms
        self._timers: list[tuple[float, int, _SetTimer]] = []
        self._count = itertools.count()

    def now_ms(self) -> float:
        return self._at_ms

    def call_later(self, wait_ms: float, call: Callable[..., None], *values: Any) -> Timer:
        timer = _SetTimer(call, values)
        heapq.heappush(self._timers, (self._at_ms + max(0.0, wait_ms), next(self._count), timer))
        return timer

    def advance(self, by_ms: float) -> None:
        until_ms = self._at_ms + by_ms
        while self._timers and self._timers[0][0] <= until_ms:
            due_ms, _, timer = heapq.heappop(self._timers)
            self._at_ms = max(self._at_ms, due_ms)
            if timer.live:
                timer.call(*timer.values)
        self._at_ms = until_ms
