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

# A request that no node has received by this part of its time is given up: its client has the rest to retry.
UNREACHED_PART = 0.5


@dataclass(slots=True, eq=False)
class Admission:
    """Takes requests in; sheds load where a request would wait past its latency objective."""

    state: PolicyState
    endpoints: EndpointTable
    limits: VolumeLimits
    capacity: CapacityCheck
    fairness: ClassFairness
    retries: RetryPolicy
    dispatcher: Dispatcher
    ordering: KeyOrdering
    completion: RequestCompletion

    def accept(self, request: Request) -> None:
        """Take in a client's request."""
        self.retries.record_request()
        state, spec = self.state, self.state.site.class_specs[request.request_class]
        volume = state.volumes.for_request(request, state.now_ms, state.started_ms)
        upstream = self.endpoints.upstream_for(request.shard)
        pending = PendingRequest.create(request, spec, volume, upstream, state.now_ms, UNREACHED_PART)
        state.pending[pending.id] = pending
        if not self.limits.check_rate_limit(pending):
            self.completion.give_up(pending, GiveUpReason.RATE_LIMIT)
        elif pending.spec.ordered and request.object_key:
            self.ordering.enqueue(pending)
        else:
            self.admit(pending)

    def admit(self, pending: PendingRequest) -> None:
        """Send a request while there is capacity, queue it while it can be in time, else reject it now."""
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
        """Whether a request may wait: its class is owed work, or it has capacity and can be in time."""
        if pending.deadline_ms <= self.state.next_round_ms + self.state.site.settings.tick_ms:
            return False
        if self.fairness.is_owed_work(pending):
            return True
        return self._can_be_in_time(pending, upstream) and self._has_capacity(pending, upstream)

    def _can_be_in_time(self, pending: PendingRequest, upstream: Upstream) -> bool:
        """Whether a request that waits here is expected to meet its latency objective.

        A node that is too slow for a request gets it as a trial only: the next one is half a latency away on
        average, and excess work would wait for it in vain.
        """
        too_slow = self.capacity.is_too_slow(pending, upstream)
        if too_slow and pending.queue.spec.key.tier is Tier.EXCESS:
            return False
        latencies = self.state.latency.request_factor(pending) + too_slow / 2
        wait_ms = self._queueing_ms(pending, upstream) + upstream.latency_ms * latencies
        return self.state.now_ms + wait_ms <= pending.latency_objective_due_ms

    @staticmethod
    def _has_capacity(pending: PendingRequest, upstream: Upstream) -> bool:
        """Whether the rounds within its latency objective have a slot of its queue or units of the node."""
        queue, rounds = pending.queue, pending.queue.spec.rounds
        if len(queue.requests) < rounds * queue.slots:
            return True
        waiting_units = upstream.in_flight_units + upstream.queued_units() + pending.units
        return waiting_units <= rounds * upstream.concurrency_limit

    @staticmethod
    def _queueing_ms(pending: PendingRequest, upstream: Upstream) -> float:
        """Return how long the queued work of equal or higher priority takes.

        By Little's law (J. D. C. Little, 1961) a node serves what is in flight in one latency.
        """
        in_flight, priority_weight = upstream.in_flight_units, pending.queue.spec.priority_weight
        if in_flight <= 0:
            return 0.0
        queues = [each for each in upstream.queues.values() if each.spec.priority_weight >= priority_weight]
        ahead_units = sum(each.units for queue in queues for each in queue.requests)
        return ahead_units / in_flight * upstream.latency_ms
