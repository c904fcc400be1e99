"""Invariants of the scheduler's state, checked by tests after events."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection

from shaletiller.state.records import Upstream
from shaletiller.state.runtime import PolicyState


def validate_state(state: PolicyState, upstreams: Collection[Upstream]) -> None:
    """Check that queues, slots and attempts are consistent.

    :raises AssertionError: if an invariant is violated.
    """
    _validate_queues(state, upstreams)
    _validate_slots(state, upstreams)
    for object_key, queue in state.key_queues.items():
        assert queue.in_flight >= 0, object_key
        assert all(request.id in state.pending for request in queue.requests), object_key
    in_flight = Counter(attempt.pending.id for attempt in state.attempts.values())
    for pending in state.pending.values():
        assert pending.attempts_in_flight == in_flight[pending.id], pending.id
        assert pending.attempts_started <= max(state.site.settings.max_attempts, 1), pending.id


def _validate_queues(state: PolicyState, upstreams: Collection[Upstream]) -> None:
    """Check that every queued request is pending, and is exactly once in its own queue and in no other."""
    waiting = []
    for upstream in upstreams:
        assert list(upstream.queues) == [spec.key for spec in state.site.queue_specs]
        for queue in upstream.queues.values():
            assert all(request.upstream is upstream and request.queue is queue for request in queue.requests)
            waiting += [request.id for request in queue.requests]
    queued = [pending.id for pending in state.pending.values() if pending.queued]
    assert sorted(waiting) == sorted(queued)


def _validate_slots(state: PolicyState, upstreams: Collection[Upstream]) -> None:
    """Check that the slots and units in flight of an upstream match its attempts that hold a slot."""
    holders = [
        attempt
        for attempt in state.attempts.values()
        if attempt.holds_slot and attempt.node == attempt.upstream.node
    ]
    slots = Counter(id(attempt.pending.queue) for attempt in holders)
    for upstream in upstreams:
        units = sum(attempt.pending.units for attempt in holders if attempt.upstream is upstream)
        assert math.isclose(upstream.in_flight_units, units, abs_tol=1e-6), upstream.shard
        for queue in upstream.queues.values():
            assert queue.in_flight == slots[id(queue)], queue.spec.key
