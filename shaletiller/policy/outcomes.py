"""Outcomes of attempts: what they teach, and whether their requests are retried, hedged or given up."""

from __future__ import annotations

import math
from dataclasses import dataclass

from shaletiller.messages.actions import CancelAttempt, GiveUpReason
from shaletiller.messages.events import AttemptEnded, ResponseStarted
from shaletiller.messages.outcomes import Outcome
from shaletiller.messages.timers import AttemptOverdueTimer
from shaletiller.policy.capacity_check import CapacityCheck
from shaletiller.policy.completion import RequestCompletion
from shaletiller.policy.dispatch import Dispatcher
from shaletiller.policy.endpoint_table import EndpointTable
from shaletiller.policy.key_ordering import KeyOrdering
from shaletiller.policy.latency_threshold import LatencyThreshold, overdue_after_ms
from shaletiller.policy.retries import RetryPolicy
from shaletiller.settings.model import Idempotency
from shaletiller.state.records import AttemptInFlight, PendingRequest
from shaletiller.state.runtime import PolicyState

# Overdue attempts are taken for lost, and their slots for free, while more than this share of them is never
# answered.  Empirical: higher hedges less work that is only slow, lower works around lost responses sooner.
LOST_SHARE = 0.5


@dataclass(slots=True, eq=False)
class OutcomeHandler:
    """Handles the outcomes of attempts, and attempts that are overdue."""

    state: PolicyState
    endpoints: EndpointTable
    threshold: LatencyThreshold
    capacity: CapacityCheck
    retries: RetryPolicy
    dispatcher: Dispatcher
    ordering: KeyOrdering
    completion: RequestCompletion

    def attempt_ended(self, event: AttemptEnded) -> None:
        """Learn from an outcome; finish, retry or give up its request; use the slot that became free."""
        attempt = self.state.attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        pending = attempt.pending
        pending.attempts_in_flight -= 1
        attempt.release_slot()
        if event.latency_ms > overdue_after_ms(pending, self.state.latency):
            self.state.latency.record_overdue(event.outcome)
        # After the process stood still, what it finds waiting says nothing about the nodes.
        if attempt.node == attempt.upstream.node and self.state.now_ms != self.state.resumed_ms:
            self._learn(attempt, event)
        self.state.volumes.record_outcome(pending, event, self.state.now_ms)
        self.ordering.record_outcome(pending, event.outcome)
        if not event.outcome.never_ran:
            pending.possibly_executed = pending.possibly_executed or attempt
        if event.outcome not in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
            pending.unreached_deadline_ms = math.inf
        if event.request_finished or pending.id not in self.state.pending:
            self.completion.finish(pending)
        else:
            self._retry_or_give_up(pending)
        # A node that just rejected work has no capacity before the next round.
        if event.outcome not in (Outcome.FULL, Outcome.CONNECT_FAILED):
            self.dispatcher.release(attempt.upstream)

    def _learn(self, attempt: AttemptInFlight, event: AttemptEnded) -> None:
        """Judge the node by an outcome.

        Errors and resets do not lower its concurrency limit: they say nothing about load, and a sound node
        would be starved.
        """
        pending, upstream, now_ms = attempt.pending, attempt.upstream, self.state.now_ms
        if event.outcome not in (Outcome.OK, Outcome.CANCELLED, Outcome.NOT_SENT):
            upstream.failed_units.add(now_ms, pending.units)
        if event.outcome is Outcome.OK:
            self._learn_response(attempt, event.latency_ms)
        elif event.outcome in (Outcome.FULL, Outcome.CONNECT_FAILED):
            self.endpoints.record_rejection(attempt.node)
            upstream.on_time_balance -= 1

    def _learn_response(self, attempt: AttemptInFlight, latency_ms: float) -> None:
        pending, upstream, now_ms = attempt.pending, attempt.upstream, self.state.now_ms
        upstream.overdue_streak = 0
        self.endpoints.record_response(attempt.node)
        upstream.served_units += pending.units
        if upstream.warming_up_since_ms is not None:
            # What a node serves while it warms up proves its capacity (see `warm_up_allows`).
            repaid = self.state.site.settings.overload_multiple / 2 * pending.units
            upstream.warm_up_sends.add(now_ms, -repaid)
        self.state.latency.record_response(pending, latency_ms, now_ms)
        upstream.on_time_balance += 1 if latency_ms <= self.threshold.for_request(pending) else -1

    def _retry_or_give_up(self, pending: PendingRequest) -> None:
        """Queue a retry at the head: no other node holds the shard, so the next round is soon enough."""
        if pending.attempts_in_flight or pending.queued:
            return  # its hedged request may still be answered
        settings, now_ms = self.state.site.settings, self.state.now_ms
        # One more connection that does not come up would leave its client no time to try elsewhere.
        reached = now_ms + settings.connect_timeout_ms <= pending.unreached_deadline_ms
        in_time = pending.deadline_ms > self.state.next_round_ms
        if reached and in_time and pending.attempts_started < settings.max_attempts:
            pending.queued = True
            pending.queue.requests.appendleft(pending)
        else:
            self.completion.give_up(pending, GiveUpReason.NO_RETRY_LEFT)

    def response_started(self, event: ResponseStarted) -> None:
        """Leave a request whose response has begun to its client: it is neither hedged nor given up."""
        if pending := self.state.pending.get(event.request):
            pending.response_started = True

    def attempt_overdue(self, timer: AttemptOverdueTimer) -> None:
        """Take the node of an overdue attempt for slow; hedge its request where responses get lost."""
        if self.state.now_ms <= self.state.resumed_ms:
            return  # the process stood still, not the node
        attempt = self.state.attempts.get((timer.request, timer.attempt))
        if attempt is None or attempt.node != attempt.upstream.node:
            return
        attempt.upstream.overdue_streak += 1
        if self.state.latency.lost_share < LOST_SHARE:
            attempt.upstream.on_time_balance -= 1
            return
        attempt.release_slot()
        pending, latency = attempt.pending, self.state.latency
        in_time = self.state.now_ms + latency.expected_ms(pending) <= pending.latency_objective_due_ms
        if timer.request in self.state.pending and not pending.response_started and in_time:
            self._hedge(attempt, timer.attempt)

    def _hedge(self, attempt: AttemptInFlight, number: int) -> None:
        """Send a hedged request beside an overdue attempt, which may have executed; or cancel that first.

        As in "The Tail at Scale" (J. Dean, L. Barroso, 2013).  Without hedging the outcome of the cancelled
        attempt brings its retry.
        """
        pending, settings = attempt.pending, self.state.site.settings
        spent = pending.attempts_started >= settings.max_attempts or not self.retries.budget_allows()
        if spent or pending.spec.effect is Idempotency.UNSAFE:
            return
        if not settings.hedging_allowed:
            if settings.cancellation_allowed:
                self.state.actions.append(CancelAttempt(pending.id, number))
        elif self.capacity.allows(pending, pending.upstream, ignore_latency=True):
            pending.possibly_executed = pending.possibly_executed or attempt
            if self.retries.idempotency_allows(pending):
                self.dispatcher.send_now(pending)
