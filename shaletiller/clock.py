"""The gateway's clock: milliseconds since the Unix epoch, advanced by the monotonic clock.

The Unix time is read only once, so that the time never goes backwards and can still be compared with the
`started_ms` of storage nodes.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import itertools
import time
from collections.abc import AsyncIterator, Callable
from typing import Any, Protocol


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call; does nothing if the call has been made."""


class Clock:
    """Real time, with timers of the running event loop."""

    def __init__(self) -> None:
        self._offset_ms = (time.time() - time.monotonic()) * 1000

    def now_ms(self) -> float:
        """Return the current time in milliseconds since the Unix epoch."""
        return self._offset_ms + time.monotonic() * 1000

    @staticmethod
    def arrival_ns() -> int:
        """Return the time of input that arrives now, in ns of the monotonic clock of the machine.

        It only orders requests; no duration depends on it, and it cannot be set.
        """
        return time.monotonic_ns()

    def call_later(self, delay_ms: float, callback: Callable[..., None], *args: Any) -> Timer:
        """Schedule a call.

        :param delay_ms: the delay from now; a negative delay counts as 0.
        :param args: the arguments of the callback.
        """
        return asyncio.get_running_loop().call_later(max(0.0, delay_ms) / 1000, callback, *args)

    async def sleep(self, delay_ms: float) -> None:
        """Wait for a delay; a negative delay counts as 0."""
        done = asyncio.get_running_loop().create_future()
        timer = self.call_later(delay_ms, done.set_result, None)
        try:
            await done
        finally:
            timer.cancel()

    @contextlib.asynccontextmanager
    async def timeout(self, delay_ms: float) -> AsyncIterator[None]:
        """Interrupt the body of an `async with` statement that has not ended after a delay.

        :raises TimeoutError: it was interrupted.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(None) as timeout:
            timer = self.call_later(delay_ms, lambda: timeout.reschedule(loop.time()))
            try:
                yield
            finally:
                timer.cancel()


class _ScheduledCall:
    """A timer of a `SettableClock`."""

    def __init__(self, callback: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.callback = callback
        self.args = args
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class SettableClock(Clock):
    """A clock for tests and simulations, whose time changes only by `advance`.

    :param start_ms: the initial time.
    """

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms
        self._timers: list[tuple[float, int, _ScheduledCall]] = []
        self._sequence = itertools.count()  # orders timers of the same time by their creation

    def now_ms(self) -> float:
        """Return the time to which the clock was advanced."""
        return self._now_ms

    def call_later(self, delay_ms: float, callback: Callable[..., None], *args: Any) -> Timer:
        """Schedule a call, which is made when the clock is advanced to its time or beyond."""
        timer = _ScheduledCall(callback, args)
        heapq.heappush(self._timers, (self._now_ms + max(0.0, delay_ms), next(self._sequence), timer))
        return timer

    def advance(self, duration_ms: float) -> None:
        """Advance the time and make the calls that become due, each at its own time."""
        end_ms = self._now_ms + duration_ms
        while self._timers and self._timers[0][0] <= end_ms:
            due_ms, _, timer = heapq.heappop(self._timers)
            self._now_ms = max(self._now_ms, due_ms)
            if not timer.cancelled:
                timer.callback(*timer.args)
        self._now_ms = end_ms
