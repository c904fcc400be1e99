"""Send: one attempt at one node, with exactly one reply."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable

from shaletiller.clock import Clock
from shaletiller.core.model import Attempt, AttemptResult, Exchange
from shaletiller.core.route import Endpoint
from shaletiller.messages.outcomes import Outcome

logger = logging.getLogger(__name__)


class AttemptSender:
    def __init__(self, clock: Clock, book: Callable[[Exchange, Attempt, AttemptResult], None]) -> None:
        self._clock = clock
        self._book = book
        self.out: dict[tuple[str, int], Attempt] = {}

    def __call__(
        self,
        exchange: Exchange,
        attempt: Attempt,
        place: Endpoint,
        timeout_ms: float,
        start_within_ms: float = math.inf,
    ) -> None:
        left_ms = exchange.deadline_ms - self._clock.now_ms()
        wait_ms = min(timeout_ms, left_ms) if timeout_ms > 0 else left_ms
        task = asyncio.ensure_future(
            place.back.attempt(place.address, exchange.call, wait_ms, start_within_ms)
        )
        attempt.task = task
        self.out[exchange.call.id, attempt.number] = attempt
        timer = self._clock.call_later(wait_ms, self.stop, attempt, Outcome.TIMEOUT)

        def ended(done: asyncio.Task[AttemptResult]) -> None:
            # A callback and not code after an await: a task cancelled before its first step runs none of it,
            # and the attempt would never get its outcome.
            timer.cancel()
            self.out.pop((exchange.call.id, attempt.number), None)
            self._book(exchange, attempt, self._reply(done, attempt))

        task.add_done_callback(ended)

    def stop(self, attempt: Attempt, why: Outcome) -> None:
        """Give up an attempt: its back closes the connection, then the outcome is booked."""
        if attempt.outcome is None and attempt.stopped is None and attempt.task is not None:
            attempt.stopped = why
            attempt.task.cancel()

    @staticmethod
    def _reply(done: asyncio.Task[AttemptResult], attempt: Attempt) -> AttemptResult:
        if done.cancelled():
            return AttemptResult(attempt.stopped or Outcome.CANCELLED)
        error = done.exception()
        if error is not None:
            logger.warning(f"attempt broke: {error!r}")
            return AttemptResult(Outcome.RESET)  # it may have run: nothing better is known
        return done.result()
