"""Admission of a request: send it now, queue it, or reject it."""

from __future__ import annotations

from dataclasses import dataclass

from shaletiller.messages.actions import GiveUpReason
from shaletiller.messages.events import Request
from shaletiller.policy.capacity_check import CapacityCheck
from shaletiller.policy.class_fairness import ClassFairness
from shaletiller.policy.completion import RequestCompletion
from shaletiller.policy.dispatch import Dispatcher
from shaletiller.policy.endpoint_table import EndpointTable
from shaletiller.policy.key_ordering import KeyOrdering
from shaletiller.policy.retries import RetryPolicy
from shaletiller.policy.volume_limits import VolumeLimits
from shaletiller.state.records import PendingRequest, Upstream
from shaletiller.state.runtime import PolicyState
from shaletiller.state.tiers import QueueKey, Tier

# Ratio of a request's time to its deadline after which it is given up if no node has received it.  The client
# has the remaining time to retry.
UNREACHED_RATIO = 0.5


@dataclass(slots=True, eq=False)
class Admission:
    """Admits requests, and sheds those that would miss their latency objective while queued."""

    state: PolicyState
    endpoints: EndpointTable
    limits: VolumeLimits
    capacity: CapacityCheck
    fairness: ClassFairness
    retries: RetryPolicy
    dispatcher: Dispatcher
    ordering: KeyOrdering
    completion: RequestCompletion

    def handle_request(self, request: Request) -> None:
        """Handle a new request from a client."""
        self.retries.record_request()
        state, spec = self.state, self.state.site.class_specs[request.request_class]
        volume = state.volumes.for_request(request, state.now_ms, state.started_ms)
        upstream = self.endpoints.upstream_for(request.shard)
        pending = PendingRequest.create(request, spec, volume, upstream, state.now_ms, UNREACHED_RATIO)
        state.pending[pending.id] = pending
        if not self.limits.check_rate_limit(pending):
            self.completion.give_up(pending, GiveUpReason.RATE_LIMIT)
        elif pending.spec.ordered and request.object_key:
            if not self.ordering.enqueue(pending):
                self.completion.give_up(pending, GiveUpReason.OVERTAKEN)
        else:
            self.admit(pending)

    def admit(self, pending: PendingRequest) -> None:
        """Send a request if there is capacity, queue it if it can still be in time, else reject it."""
        upstream = pending.upstream
        tier = self.limits.assign_tier(pending, upstream)
        queue = pending.queue = upstream.queues[QueueKey(pending.spec.name, tier)]
        if not pending.request.is_retry:
            queue.arrivals.add(self.state.now_ms, 1)
        if not queue.requests and self.capacity.allows(pending, upstream):
            self.dispatcher.send_now(pending)
        elif self.may_queue(pending, upstream):
            pending.queued = True
            queue.requests.append(pending)
        else:
            self.completion.give_up(pending, GiveUpReason.NO_CAPACITY)

    def may_queue(self, pending: PendingRequest, upstream: Upstream) -> bool:
        """Return whether a request may be queued.

        It may if its class is owed work, or if capacity is expected and it can meet its latency objective.
        """
        if pending.deadline_ms <= self.state.next_round_ms + self.state.site.settings.tick_ms:
            return False
        if self.fairness.is_owed_work(pending):
            return True
        return self._can_be_in_time(pending, upstream) and self._has_capacity(pending, upstream)

    def _can_be_in_time(self, pending: PendingRequest, upstream: Upstream) -> bool:
        """Return whether a queued request is expected to meet its latency objective.

        A node that is too slow for a request receives it only as a trial request.  On average the next trial
        is half a node latency away, which is added to the wait.  Excess work is not queued for a trial, as it
        is rarely sent as one.
        """
        too_slow = self.capacity.is_too_slow(pending, upstream)
        if too_slow and pending.queue.spec.key.tier is Tier.EXCESS:
            return False
        latencies = self.state.latency.request_factor(pending) + too_slow / 2
        wait_ms = self._queueing_ms(pending, upstream) + upstream.latency_ms * latencies
        return self.state.now_ms + wait_ms <= pending.latency_objective_due_ms

    @staticmethod
    def _has_capacity(pending: PendingRequest, upstream: Upstream) -> bool:
        """Return whether capacity is expected within the request's latency objective.

        That is a slot of its queue, or units of the node's concurrency limit, in one of the rounds until
        then.
        """
        queue, rounds = pending.queue, pending.queue.spec.rounds
        if len(queue.requests) < rounds * queue.slots:
            return True
        waiting_units = upstream.in_flight_units + upstream.queued_units() + pending.units
        return waiting_units <= rounds * upstream.concurrency_limit

    @staticmethod
    def _queueing_ms(pending: PendingRequest, upstream: Upstream) -> float:
        """Return the expected time in milliseconds to serve queued work of equal or higher priority.

        By Little's law (J. D. C. Little, 1961) a node serves the units in flight within one latency.
        """
        in_flight, priority_weight = upstream.in_flight_units, pending.queue.spec.priority_weight
        if in_flight <= 0:
            return 0.0
        queues = [
            entry for entry in upstream.queues.values() if entry.spec.priority_weight >= priority_weight
        ]
        ahead_units = sum(entry.units for queue in queues for entry in queue.requests)
        return ahead_units / in_flight * upstream.latency_ms
