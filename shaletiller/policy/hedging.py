"""Hedged requests: a second attempt beside one of which no response is expected in time."""

from __future__ import annotations

from dataclasses import dataclass

from shaletiller.messages.actions import CancelAttempt
from shaletiller.policy.capacity_check import CapacityCheck
from shaletiller.policy.dispatch import Dispatcher
from shaletiller.policy.retries import RetryPolicy
from shaletiller.settings.model import Idempotency
from shaletiller.state.records import AttemptInFlight
from shaletiller.state.runtime import PolicyState


@dataclass(slots=True, eq=False)
class Hedging:
    """Sends hedged requests, as in "The Tail at Scale" (J. Dean, L. Barroso, 2013)."""

    state: PolicyState
    capacity: CapacityCheck
    retries: RetryPolicy
    dispatcher: Dispatcher

    def hedge(self, attempt: AttemptInFlight, number: int) -> None:
        """Send a hedged request beside an attempt, which may have been executed, if it can be in time.

        If hedging is not allowed, an attempt without a response is cancelled instead, and the outcome of the
        cancellation triggers a retry.
        """
        pending, settings = attempt.pending, self.state.site.settings
        expected_ms = self.state.latency.expected_ms(pending)
        if self.state.now_ms + expected_ms > pending.latency_objective_due_ms:
            return
        exhausted = pending.attempts_started >= settings.max_attempts or not self.retries.budget_allows()
        if exhausted or pending.spec.effect is Idempotency.UNSAFE:
            return
        if not settings.hedging_allowed:
            if settings.cancellation_allowed and attempt.held_since_ms is None:
                self.state.actions.append(CancelAttempt(pending.id, number))
        elif self.capacity.allows(pending, pending.upstream, ignore_latency=True):
            pending.possibly_executed = pending.possibly_executed or attempt
            if self.retries.idempotency_allows(pending):
                self.dispatcher.send_now(pending)
