"""Held responses: until when a response that has begun is held back, so that its request can be retried.

A response whose body breaks off before it was passed on can be replaced by that of another attempt, without a
trace for the client.  A node that writes its response slowly looks the same as one that has stopped.  So a
response is held only as long as another attempt could still be answered in time; then it is passed on as far
as it has come, and as it comes from then on.  The time of an attempt never ends a response that can be passed
on: the engine passes it on then, even if the scheduler does not.
"""

from __future__ import annotations

from dataclasses import dataclass

from shaletiller.messages.actions import AbandonResponse, PassOnReason, PassOnResponse, StartTimer
from shaletiller.messages.events import ResponseHeld, ResponseStalled
from shaletiller.messages.timers import ResponseHoldTimer
from shaletiller.policy.dispatch import Dispatcher
from shaletiller.policy.hedging import Hedging
from shaletiller.policy.retries import RetryPolicy
from shaletiller.state.records import AttemptInFlight, PendingRequest
from shaletiller.state.runtime import PolicyState

# Time after its head for which each response is awaited whole, before it is reported as held: the body that a
# node writes by itself may wait for a delayed acknowledgement of the head.
SETTLE_MS = 50.0
# Time after its first bytes from which a body of unknown length that goes on is written slowly.
SLOW_WRITER_MS = 20.0
# Time without any byte after which a held response has stalled.  It must exceed a retransmission on the
# site's network.
STALL_MS = 100.0
# Longest time for which this process may be held up between reading the clock and writing to the client.
HOLD_UP_MS = 150.0


def is_written_slowly(first_bytes_ms: float, last_bytes_ms: float) -> bool:
    """Return whether a body of unknown length, which goes on, is passed on as it is written slowly."""
    return last_bytes_ms - first_bytes_ms >= SLOW_WRITER_MS


@dataclass(slots=True, eq=False)
class ResponseHold:
    """Decides until when responses are held, and what becomes of those that stall."""

    state: PolicyState
    retries: RetryPolicy
    hedging: Hedging
    dispatcher: Dispatcher

    def handle_held(self, event: ResponseHeld) -> None:
        """Handle a response whose head has come: its node has served the request, which may not run again."""
        attempt = self.state.attempts.get((event.request, event.attempt))
        if attempt is None:
            return
        attempt.held_since_ms, attempt.can_pass_on = self.state.now_ms, event.can_pass_on
        attempt.pending.possibly_executed = attempt.pending.possibly_executed or attempt
        attempt.release_slot()
        self._decide(attempt, event.attempt)
        self.dispatcher.send_queued(attempt.upstream)

    def handle_stalled(self, event: ResponseStalled) -> None:
        """Handle a held response that does not go on: try another attempt while it can help."""
        attempt = self.state.attempts.get((event.request, event.attempt))
        if attempt is None or event.request not in self.state.pending:
            return
        if attempt.can_pass_on or self.state.site.settings.hedging_allowed:
            self.hedging.hedge(attempt, event.attempt)
        elif self._retry_until_ms(attempt.pending) > self.state.now_ms:
            self.state.actions.append(AbandonResponse(event.request, event.attempt))

    def handle_timer(self, timer: ResponseHoldTimer) -> None:
        """Handle the end of the time for which a response was to be held."""
        attempt = self.state.attempts.get((timer.request, timer.attempt))
        if attempt is not None and attempt.held_since_ms is not None:
            self._decide(attempt, timer.attempt)

    def reconsider(self, pending: PendingRequest) -> None:
        """Decide again on the held responses of a request, of which another attempt has ended."""
        for number in range(pending.attempts_started):
            attempt = self.state.attempts.get((pending.id, number))
            if attempt is not None and attempt.held_since_ms is not None:
                self._decide(attempt, number)

    def _decide(self, attempt: AttemptInFlight, number: int) -> None:
        """Pass a response on, or start the timer of the time until which it is held."""
        if not attempt.can_pass_on:
            return  # only a whole response is of use
        now_ms, pending = self.state.now_ms, attempt.pending
        until_ms = self._hold_until_ms(pending)
        if until_ms > now_ms:
            self.state.actions.append(StartTimer(until_ms - now_ms, ResponseHoldTimer(pending.id, number)))
            return
        waited = attempt.held_since_ms is not None and now_ms > attempt.held_since_ms
        reason = PassOnReason.HOLD_ENDED if waited else PassOnReason.NO_RETRY_POSSIBLE
        self.state.actions.append(PassOnResponse(pending.id, number, reason))

    def _hold_until_ms(self, pending: PendingRequest) -> float:
        """Return the time from which no other attempt can help; a time in the past if none can now."""
        if pending.id not in self.state.pending:
            return self.state.now_ms
        latest_ms = pending.deadline_ms - HOLD_UP_MS
        if pending.attempts_in_flight > 1:
            return latest_ms
        return min(latest_ms, self._retry_until_ms(pending))

    def _retry_until_ms(self, pending: PendingRequest) -> float:
        """Return the latest time for another attempt; a time in the past if none is allowed now."""
        is_allowed = (
            pending.attempts_started < self.state.site.settings.max_attempts
            and self.retries.budget_allows()
            and self.retries.idempotency_allows(pending)
        )
        if not is_allowed:
            return self.state.now_ms
        in_time_ms = pending.latency_objective_due_ms - self.state.latency.expected_ms(pending)
        return min(in_time_ms, self.state.now_ms + self.retries.start_window_ms(pending))
