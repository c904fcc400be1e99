"""Runs attempts at storage nodes; each attempt has exactly one result."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from functools import partial

from shaletiller.clock import Clock
from shaletiller.core.model import Attempt, AttemptResult, Exchange
from shaletiller.core.response_progress import ResponseProgress
from shaletiller.core.route import Endpoint
from shaletiller.messages.outcomes import Outcome

logger = logging.getLogger(__name__)

# A timer that expires later than this has waited for a process that was held up.
HELD_UP_MS = 5.0
# Time for which a process that was held up reads what has arrived meanwhile, before attempts end.
READ_AFTER_HOLD_UP_MS = 10.0


class AttemptSender:
    """Runs attempts as tasks.  An attempt ends with its result, by its timeout, or when it is stopped.

    Its timeout does not end an attempt whose response can be passed on: the response is passed on then.
    `in_flight` holds the attempts without a result by (request id, attempt number).

    :param record: called exactly once with the result of each attempt.
    :param on_held: called with an attempt whose response is held, and whether it can be passed on.
    :param on_stalled: called with an attempt whose held response does not go on.
    """

    def __init__(
        self,
        clock: Clock,
        record: Callable[[Exchange, Attempt, AttemptResult], None],
        on_held: Callable[[Exchange, Attempt, bool], None],
        on_stalled: Callable[[Exchange, Attempt], None],
    ) -> None:
        self._clock = clock
        self._record = record
        self._on_held = on_held
        self._on_stalled = on_stalled
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

        :param timeout_ms: the attempt's timeout, limited by the request's deadline; 0 for the deadline only.
        :param start_within_ms: how long the attempt may wait to be written; it is not sent after that.
        """
        remaining_ms = exchange.deadline_ms - self._clock.now_ms()
        wait_ms = min(timeout_ms, remaining_ms) if timeout_ms > 0 else remaining_ms
        progress = attempt.progress = ResponseProgress(
            partial(self._on_held, exchange, attempt), partial(self._on_stalled, exchange, attempt)
        )
        task = asyncio.ensure_future(
            endpoint.client.attempt(endpoint.address, exchange.call, wait_ms, start_within_ms, progress)
        )
        attempt.task = task
        self.in_flight[exchange.call.id, attempt.number] = attempt
        due_ms = self._clock.now_ms() + wait_ms
        timer = self._clock.call_later(wait_ms, self._on_timeout, attempt, due_ms)

        def on_done(done: asyncio.Task[AttemptResult]) -> None:
            # This is a callback because a task that is cancelled before its first step executes none of its
            # coroutine: code after an `await` would not run, and the attempt would never get an outcome.
            timer.cancel()
            attempt.progress = None  # it refers to the attempt
            self.in_flight.pop((exchange.call.id, attempt.number), None)
            self._record(exchange, attempt, self._result(done, exchange, attempt))

        task.add_done_callback(on_done)

    def _on_timeout(self, attempt: Attempt, due_ms: float) -> None:
        """Pass the response of an attempt on, or stop an attempt whose response has not begun.

        After a hold-up of this process, the response may have come and not been read yet.
        """
        if attempt.progress is not None and attempt.progress.expire():
            return
        if self._clock.now_ms() - due_ms > HELD_UP_MS:
            attempt.is_expiring = True
            self._clock.call_later(READ_AFTER_HOLD_UP_MS, self._stop_expired, attempt)
        else:
            self.stop(attempt, Outcome.TIMEOUT)

    def _stop_expired(self, attempt: Attempt) -> None:
        attempt.is_expiring = False
        if attempt.progress is None or not attempt.progress.pass_on():
            self.stop(attempt, Outcome.TIMEOUT)

    def stop(self, attempt: Attempt, reason: Outcome) -> None:
        """Stop an attempt: close its connection and then record `reason` as its outcome.

        Does nothing if the attempt has an outcome or is already being stopped.
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
            return AttemptResult(Outcome.RESET)  # the node may have executed the request
        return done.result()
