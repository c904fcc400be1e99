"""Per-key ordering: ordered requests for one object are served one at a time in order of arrival.

The order of arrival is that of `Request.arrived_ns`; events may come in another order.
"""

from __future__ import annotations

from collections.abc import Callable

from shaletiller.messages.actions import StartTimer
from shaletiller.messages.outcomes import Outcome
from shaletiller.messages.timers import OrderingTimer
from shaletiller.state.records import KeyQueue, PendingRequest
from shaletiller.state.runtime import PolicyState


class KeyOrdering:
    """Queues ordered requests by object key.

    After an attempt that may still be running at its node (it timed out, was reset or was cancelled), the key
    has a quiet period in which no request is sent.  A request sent at once could overtake that attempt.

    :param admit: called with the request at the head of a key's queue to admit it.
    """

    def __init__(self, state: PolicyState, admit: Callable[[PendingRequest], None]) -> None:
        """Create the ordering without queued requests."""
        self._state, self._admit = state, admit
        self._queues = state.key_queues

    def enqueue(self, pending: PendingRequest) -> bool:
        """Queue an ordered request; it is admitted after all earlier requests have their final answers.

        :returns: False if a request that arrived later was admitted; this one must not be sent any more.
        """
        object_key, arrived_ns = pending.request.object_key, pending.request.arrived_ns
        if self._state.admitted_arrivals.is_overtaken(object_key, arrived_ns):
            return False
        queue = self._queues.setdefault(object_key, KeyQueue())
        later = sum(queued.request.arrived_ns > arrived_ns for queued in queue.requests)
        queue.requests.insert(len(queue.requests) - later, pending)
        if len(queue.requests) == 1:
            self.admit_next(object_key)
        return True

    def admit_next(self, object_key: str) -> None:
        """Admit the head of a key's queue if the key is free; remove the queue if it is no longer needed."""
        queue = self._queues.get(object_key)
        if queue is None or queue.in_flight:
            return
        if not queue.requests:
            if queue.quiet_until_ms <= self._state.now_ms:
                del self._queues[object_key]
            return
        head, wait_ms = queue.requests[0], queue.quiet_until_ms - self._state.now_ms
        if head.attempts_started or head.queued:
            return
        if wait_ms > 0:
            self._state.actions.append(StartTimer(wait_ms, OrderingTimer(object_key)))
        else:
            self._record_admission(head)
            self._admit(head)

    def _record_admission(self, head: PendingRequest) -> None:
        """Remember the request for as long as an earlier one could still be read and be served in time."""
        state, request = self._state, head.request
        keep_ms = state.site.settings.longest_deadline_ms
        state.admitted_arrivals.record(request.object_key, request.arrived_ns, state.now_ms, keep_ms)

    def record_sent(self, pending: PendingRequest) -> None:
        """Block the key of a started attempt until its outcome is known."""
        if pending.spec.ordered and pending.request.object_key:
            self._queues[pending.request.object_key].in_flight += 1

    def record_outcome(self, pending: PendingRequest, outcome: Outcome) -> None:
        """Unblock the key of an attempt; admit the next request if this one has its final answer."""
        queue = self._queue_of(pending)
        if queue is None:
            return
        queue.in_flight -= 1
        if outcome.may_still_run:
            gap_ms = self._state.site.settings.ordering_gap_ms
            queue.quiet_until_ms = max(queue.quiet_until_ms, self._state.now_ms + gap_ms)
        if pending.id not in self._state.pending:
            self.admit_next(pending.request.object_key)

    def remove(self, pending: PendingRequest) -> None:
        """Remove a request that has its final answer from its key's queue."""
        queue = self._queue_of(pending)
        if queue is not None and pending in queue.requests:
            queue.requests.remove(pending)
            self.admit_next(pending.request.object_key)

    def _queue_of(self, pending: PendingRequest) -> KeyQueue | None:
        return self._queues.get(pending.request.object_key) if pending.spec.ordered else None
