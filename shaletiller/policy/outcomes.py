"""Outcomes of attempts: updates the estimates, and retries, hedges or gives up the requests."""

from __future__ import annotations

import math
from dataclasses import dataclass

from shaletiller.messages.actions import GiveUpReason
from shaletiller.messages.events import AttemptEnded, ResponseStarted
from shaletiller.messages.outcomes import Outcome
from shaletiller.messages.timers import AttemptOverdueTimer
from shaletiller.policy.completion import RequestCompletion
from shaletiller.policy.dispatch import Dispatcher
from shaletiller.policy.endpoint_table import EndpointTable
from shaletiller.policy.hedging import Hedging
from shaletiller.policy.key_ordering import KeyOrdering
from shaletiller.policy.latency_threshold import LatencyThreshold, attempt_timeout_ms
from shaletiller.policy.response_hold import ResponseHold
from shaletiller.state.records import AttemptInFlight, PendingRequest
from shaletiller.state.runtime import PolicyState

# While at least this share of overdue attempts is never answered, an overdue attempt is considered lost, its
# slot is freed and its request is hedged.  A larger share hedges fewer requests that are only slow; a smaller
# share works around lost responses sooner.
LOST_SHARE_THRESHOLD = 0.5


@dataclass(slots=True, eq=False)
class OutcomeHandler:
    """Handles outcomes of attempts and overdue attempts."""

    state: PolicyState
    endpoints: EndpointTable
    threshold: LatencyThreshold
    hedging: Hedging
    response_hold: ResponseHold
    dispatcher: Dispatcher
    ordering: KeyOrdering
    completion: RequestCompletion

    def handle_attempt_ended(self, event: AttemptEnded) -> None:
        """Handle the outcome of an attempt.

        Updates the estimates, finishes, retries or gives up the request, and reuses the freed slot.
        """
        attempt = self.state.attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        pending = attempt.pending
        pending.attempts_in_flight -= 1
        attempt.release_slot()
        if event.latency_ms > attempt_timeout_ms(pending, self.state.latency):
            self.state.latency.record_overdue(event.outcome)
        # Latencies measured while the process was suspended say nothing about the node.
        if attempt.node == attempt.upstream.node and self.state.now_ms != self.state.resumed_ms:
            self._update_estimates(attempt, event)
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
        if pending.attempts_in_flight:
            self.response_hold.reconsider(pending)
        # A node that has just rejected an attempt is assumed to have no capacity before the next round.
        if event.outcome not in (Outcome.FULL, Outcome.CONNECT_FAILED):
            self.dispatcher.send_queued(attempt.upstream)

    def _update_estimates(self, attempt: AttemptInFlight, event: AttemptEnded) -> None:
        """Update the estimates of a node from an outcome.

        Errors and resets do not lower its concurrency limit: they do not indicate overload, and would reduce
        the limit of a healthy node to its minimum.
        """
        pending, upstream, now_ms = attempt.pending, attempt.upstream, self.state.now_ms
        if event.outcome not in (Outcome.OK, Outcome.CANCELLED, Outcome.NOT_SENT):
            upstream.failed_units.add(now_ms, pending.units)
        if event.outcome is Outcome.OK:
            self._update_from_response(attempt, event.latency_ms)
        elif event.outcome in (Outcome.FULL, Outcome.CONNECT_FAILED):
            self.endpoints.record_rejection(attempt.node)
            upstream.on_time_balance -= 1

    def _update_from_response(self, attempt: AttemptInFlight, latency_ms: float) -> None:
        pending, upstream, now_ms = attempt.pending, attempt.upstream, self.state.now_ms
        upstream.overdue_streak = 0
        self.endpoints.record_response(attempt.node)
        upstream.served_units += pending.units
        if upstream.warming_up_since_ms is not None:
            # Units served during slow start demonstrate capacity and refill the budget: see `warm_up_allows`.
            refilled_units = self.state.site.settings.overload_multiple / 2 * pending.units
            upstream.warm_up_sends.add(now_ms, -refilled_units)
        self.state.latency.record_response(pending, latency_ms, now_ms)
        upstream.on_time_balance += 1 if latency_ms <= self.threshold.for_request(pending) else -1

    def _retry_or_give_up(self, pending: PendingRequest) -> None:
        """Queue a retry at the head of its queue, or give up the request.

        A retry waits for capacity like any queued request: as no other node holds the shard, it could not be
        sent elsewhere earlier.
        """
        if pending.attempts_in_flight or pending.queued:
            return  # another attempt of the request may still be answered
        settings, now_ms = self.state.site.settings, self.state.now_ms
        # If another connection timed out, the client would have no time left to retry elsewhere.
        can_connect_in_time = now_ms + settings.connect_timeout_ms <= pending.unreached_deadline_ms
        in_time = pending.deadline_ms > self.state.next_round_ms
        if can_connect_in_time and in_time and pending.attempts_started < settings.max_attempts:
            pending.queued = True
            pending.queue.requests.appendleft(pending)
        else:
            self.completion.give_up(pending, GiveUpReason.NO_RETRY_LEFT)

    def handle_response_started(self, event: ResponseStarted) -> None:
        """Handle the start of a response: its request is neither hedged nor given up from now on."""
        if pending := self.state.pending.get(event.request):
            pending.response_started = True

    def handle_attempt_overdue(self, timer: AttemptOverdueTimer) -> None:
        """Handle an overdue attempt: consider its node slow, or hedge the request if responses are lost."""
        if self.state.now_ms <= self.state.resumed_ms:
            return  # this process was suspended; the node may not be slow
        attempt = self.state.attempts.get((timer.request, timer.attempt))
        if attempt is None or attempt.node != attempt.upstream.node or attempt.held_since_ms is not None:
            return
        attempt.upstream.overdue_streak += 1
        if self.state.latency.lost_share < LOST_SHARE_THRESHOLD:
            attempt.upstream.on_time_balance -= 1
            return
        attempt.release_slot()
        if timer.request in self.state.pending and not attempt.pending.response_started:
            self.hedging.hedge(attempt, timer.attempt)
