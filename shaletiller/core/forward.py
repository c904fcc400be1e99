"""Forward: one attempt at one storage node, with exactly one result."""

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
    """Runs attempts as tasks; each ends by its result, its timeout or a stop.

    `in_flight` holds the attempts without a result by (request id, attempt number).

    :param record: called once with the result of each attempt.
    """

    def __init__(self, clock: Clock, record: Callable[[Exchange, Attempt, AttemptResult], None]) -> None:
        self._clock = clock
        self._record = record
        self.in_flight: dict[tuple[str, int], Attempt] = {}

    def __call__(
        self,
        exchange: Exchange,
        attempt: Attempt,
        endpoint: Endpoint,
        timeout_ms: float,
        start_within_ms: float = math.inf,
    ) -> None:
        """Start an attempt.

        :param timeout_ms: after which it is stopped; 0: at the request's deadline, which also bounds it.
        :param start_within_ms: an attempt that cannot be written by then is not written at all.
        """
        remaining_ms = exchange.deadline_ms - self._clock.now_ms()
        wait_ms = min(timeout_ms, remaining_ms) if timeout_ms > 0 else remaining_ms
        task = asyncio.ensure_future(
            endpoint.client.attempt(endpoint.address, exchange.call, wait_ms, start_within_ms)
        )
        attempt.task = task
        self.in_flight[exchange.call.id, attempt.number] = attempt
        timer = self._clock.call_later(wait_ms, self.stop, attempt, Outcome.TIMEOUT)

        def ended(done: asyncio.Task[AttemptResult]) -> None:
            # A callback and not code after an await: a task cancelled before its first step runs none of it,
            # and the attempt would never get its outcome.
            timer.cancel()
            self.in_flight.pop((exchange.call.id, attempt.number), None)
            self._record(exchange, attempt, self._result(done, exchange, attempt))

        task.add_done_callback(ended)

    def stop(self, attempt: Attempt, reason: Outcome) -> None:
        """End an attempt: its connection is closed, then `reason` is recorded as its outcome.

        Without effect where it has an outcome or is being stopped.
        """
        if attempt.outcome is None and attempt.stop_reason is None and attempt.task is not None:
            attempt.stop_reason = reason
            attempt.task.cancel()

    @staticmethod
    def _result(done: asyncio.Task[AttemptResult], exchange: Exchange, attempt: Attempt) -> AttemptResult:
        if done.cancelled():
            return AttemptResult(attempt.stop_reason or Outcome.CANCELLED)
        error = done.exception()
        if error is not None:
            logger.error(
                "request %s: attempt %d at node %s failed, recorded as reset: %r",
                exchange.call.id,
                attempt.number,
                attempt.node,
                error,
            )
            return AttemptResult(Outcome.RESET)  # it may have run: nothing better is known
        return done.result()
