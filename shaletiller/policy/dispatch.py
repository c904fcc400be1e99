"""Dispatch: sends queued requests in batches as slots and capacity become available."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from shaletiller.messages.actions import GiveUpReason, SendAttempt, StartTimer
from shaletiller.messages.timers import AttemptOverdueTimer
from shaletiller.policy.capacity_check import CapacityCheck
from shaletiller.policy.class_fairness import ClassFairness
from shaletiller.policy.completion import RequestCompletion
from shaletiller.policy.endpoint_table import EndpointTable
from shaletiller.policy.key_ordering import KeyOrdering
from shaletiller.policy.latency_threshold import attempt_timeout_ms
from shaletiller.policy.retries import RetryPolicy
from shaletiller.policy.volume_limits import VolumeLimits
from shaletiller.state.records import AttemptInFlight, PendingRequest, RequestQueue, Upstream
from shaletiller.state.runtime import PolicyState


@dataclass(slots=True, eq=False)
class Dispatcher:
    """Sends requests to the nodes of their upstreams."""

    state: PolicyState
    endpoints: EndpointTable
    capacity: CapacityCheck
    limits: VolumeLimits
    fairness: ClassFairness
    retries: RetryPolicy
    ordering: KeyOrdering
    completion: RequestCompletion
    random: Random

    def send_queued(self, upstream: Upstream) -> None:
        """Send queued requests of an upstream.

        Queues fill their free slots in order of priority; remaining capacity is then distributed among them.
        """
        batch: list[PendingRequest] = []
        self._give_up_late(upstream)
        for queue in upstream.by_priority:
            while queue.requests and queue.in_flight < queue.slots:
                if not self._move_head_to_batch(upstream, queue, batch):
                    break
        self._distribute_remaining(upstream, batch)
        self._give_up_unreached(upstream)
        self._send_batch(batch)

    def send_now(self, pending: PendingRequest) -> None:
        """Send one request without waiting for a round; the caller has checked the capacity."""
        batch: list[PendingRequest] = []
        self._add_to_batch(pending, batch)
        self._send_batch(batch)

    def _give_up_late(self, upstream: Upstream) -> None:
        """Give up queued requests that would miss their latency objective.

        If they were sent, they would take slots from requests that can still meet their objectives.
        """
        for queue in upstream.by_priority:
            while queue.requests and self._would_be_late(queue.requests[0]):
                self.completion.give_up(queue.requests[0], GiveUpReason.LATE)

    def _would_be_late(self, pending: PendingRequest) -> bool:
        expected_ms = pending.upstream.latency_ms * self.state.latency.request_factor(pending)
        return self.state.now_ms + expected_ms > pending.latency_objective_due_ms

    def _give_up_unreached(self, upstream: Upstream) -> None:
        """Give up requests that no node has received, while their clients have time to retry elsewhere."""
        next_round_ms = self.state.next_round_ms
        for queue in upstream.by_priority:
            for pending in [
                candidate for candidate in queue.requests if candidate.unreached_deadline_ms < next_round_ms
            ]:
                self.completion.give_up(pending, GiveUpReason.UNREACHED)

    def _distribute_remaining(self, upstream: Upstream, batch: list[PendingRequest]) -> None:
        """Distribute remaining capacity to queues at random, weighted by their slots."""
        blocked: set[RequestQueue] = set()
        while True:
            queues = [
                candidate
                for candidate in upstream.by_priority
                if candidate.requests and candidate not in blocked
            ]
            if not queues:
                return
            slots = [queue.slots for queue in queues]
            queue = self.random.choices(queues, slots)[0] if any(slots) else queues[0]
            if not self._move_head_to_batch(upstream, queue, batch):
                blocked.add(queue)

    def _move_head_to_batch(
        self, upstream: Upstream, queue: RequestQueue, batch: list[PendingRequest]
    ) -> bool:
        """Move the head of a queue, and the requests queued there for the same object, into the batch.

        :returns: whether there was capacity for the head.
        """
        head = queue.requests[0]
        if not self.capacity.allows(head, upstream):
            return False
        key = head.request.object_key
        same_object = [
            pending
            for pending in queue.requests
            if pending is head or pending.request.object_key == key != ""
        ]
        for pending in same_object:
            if pending is head or self.capacity.allows(pending, upstream, ignore_latency=True):
                queue.requests.remove(pending)
                self._add_to_batch(pending, batch)
        return True

    def _add_to_batch(self, pending: PendingRequest, batch: list[PendingRequest]) -> None:
        """Add a request to the batch and take a slot, or give it up if it is a retry that is not allowed."""
        upstream = pending.upstream
        pending.queued = False
        if pending.attempts_started:
            if not (self.retries.idempotency_allows(pending) and self.retries.budget_allows()):
                self.completion.give_up(pending, GiveUpReason.RETRY_NOT_ALLOWED)
                return
            self.retries.record_retry()
        else:
            self.limits.draw_rate_limit(pending)
            self.fairness.record_first_attempt(pending)
        upstream.in_flight_units += pending.units
        pending.queue.in_flight += 1
        if upstream.warming_up_since_ms is not None:
            upstream.warm_up_sends.add(self.state.now_ms, pending.units)
        batch.append(pending)

    def _send_batch(self, batch: list[PendingRequest]) -> None:
        """Start an attempt of each request in the batch, grouped by object key."""
        for pending in sorted(batch, key=lambda entry: entry.request.object_key):
            self._start_attempt(pending)

    def _start_attempt(self, pending: PendingRequest) -> None:
        state, upstream, node = self.state, pending.upstream, pending.upstream.node or ""
        zone, number = self.endpoints.zone_of(node), pending.attempts_started
        state.attempts[pending.id, number] = AttemptInFlight(pending, upstream, node, zone, state.now_ms)
        pending.attempts_started += 1
        pending.attempts_in_flight += 1
        self.ordering.record_sent(pending)
        window_ms = self.retries.start_window_ms(pending)
        state.actions.append(SendAttempt(pending.id, node, start_within_ms=window_ms))
        timeout_ms = attempt_timeout_ms(pending, state.latency)
        if state.now_ms + timeout_ms < pending.deadline_ms:  # an attempt ends at its deadline in any case
            state.actions.append(StartTimer(timeout_ms, AttemptOverdueTimer(pending.id, number)))
