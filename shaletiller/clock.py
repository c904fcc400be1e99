"""The gateway's clock: milliseconds since the Unix epoch, advanced by the monotonic clock.

The epoch is read once: the time never goes backwards, and a storage node's `started_ms` can still be compared
with it.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable
from typing import Any, Protocol


class Timer(Protocol):
    """A call that is scheduled and not yet made."""

    def cancel(self) -> None:
        """Prevent the call; without effect once it was made."""


class Clock:
    """Real time, with timers on the running event loop."""

    def __init__(self) -> None:
        self._offset_ms = (time.time() - time.monotonic()) * 1000

    def now_ms(self) -> float:
        """The present time."""
        return self._offset_ms + time.monotonic() * 1000

    def call_later(self, wait_ms: float, call: Callable[..., None], *values: Any) -> Timer:
        """Schedule a call.

        :param wait_ms: from now on; a negative wait counts as none.
        :param values: the call's arguments.
        """
        return asyncio.get_running_loop().call_later(max(0.0, wait_ms) / 1000, call, *values)

    async def sleep(self, wait_ms: float) -> None:
        """Return after a wait; a negative one counts as none."""
        done = asyncio.get_running_loop().create_future()
        timer = self.call_later(wait_ms, done.set_result, None)
        try:
            await done
        finally:
            timer.cancel()


class _ScheduledCall:
    """A timer of a settable clock."""

    def __init__(self, call: Callable[..., None], values: tuple[Any, ...]) -> None:
        self.call = call
        self.values = values
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class SettableClock(Clock):
    """A clock for tests and simulations: it stands still until it is advanced.

    :param at_ms: the time at which it starts.
    """

    def __init__(self, at_ms: float = 0.0) -> None:
        self._at_ms = at_ms
        self._timers: list[tuple[float, int, _ScheduledCall]] = []
        self._count = itertools.count()  # timers of the same time run in the order in which they were set

    def now_ms(self) -> float:
        """The time to which the clock was advanced."""
        return self._at_ms

    def call_later(self, wait_ms: float, call: Callable[..., None], *values: Any) -> Timer:
        """Schedule a call, made while the clock is advanced past its time."""
        timer = _ScheduledCall(call, values)
        heapq.heappush(self._timers, (self._at_ms + max(0.0, wait_ms), next(self._count), timer))
        return timer

    def advance(self, by_ms: float) -> None:
        """Move the time forward and make the calls that come due, each at its own time."""
        until_ms = self._at_ms + by_ms
        while self._timers and self._timers[0][0] <= until_ms:
            due_ms, _, timer = heapq.heappop(self._timers)
            self._at_ms = max(self._at_ms, due_ms)
            if not timer.cancelled:
                timer.call(*timer.values)
        self._at_ms = until_ms
