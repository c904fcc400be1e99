"""Retries: whether, when and where a request may be sent again, by idempotency and retry budget."""

from __future__ import annotations

import math

from shaletiller.policy.endpoint_table import EndpointTable
from shaletiller.rate_counters import SlidingWindowSum
from shaletiller.settings.model import DeduplicationScope, Idempotency
from shaletiller.state.records import PendingRequest
from shaletiller.state.runtime import PolicyState


class RetryPolicy:
    """Allows retries by the idempotency of their class and by the recent retries of this gateway."""

    def __init__(self, state: PolicyState, endpoints: EndpointTable) -> None:
        """Create the policy without counted requests or retries."""
        self._state, self._endpoints = state, endpoints
        self._requests, self._retries = SlidingWindowSum(), SlidingWindowSum()

    def record_request(self) -> None:
        """Count a request towards the budget."""
        self._record(self._requests)

    def record_retry(self) -> None:
        """Count a retry or a hedged request against the budget."""
        self._record(self._retries)

    def _record(self, counter: SlidingWindowSum) -> None:
        settings = self._state.site.settings
        if settings.retry_budget_free is not None:  # without a budget the counts would never be dropped
            counter.add(self._state.now_ms)
            counter.drop_older(self._state.now_ms, settings.retry_budget_window_ms)

    def idempotency_allows(self, pending: PendingRequest) -> bool:
        """Return whether a retry cannot execute the request twice.

        After an attempt that may have been executed, a keyed request is only sent while nodes remember its
        idempotency key, and to a node within its deduplication scope, which discards a duplicate.
        """
        first = pending.possibly_executed
        if first is None or pending.spec.effect is Idempotency.SAFE:
            return True
        if pending.spec.effect is Idempotency.UNSAFE or self.start_window_ms(pending) < 0:
            return False
        node = pending.upstream.node
        zone = self._endpoints.zone_of(node) if node else ""
        return pending.spec.deduplication_scope is not DeduplicationScope.ZONE or zone == first.zone

    def start_window_ms(self, pending: PendingRequest) -> float:
        """Return the time in milliseconds until a retry's idempotency key expires, infinity if it has none.

        The attempt has to start within this time.  It is checked again when its connection is established,
        which may be after the key has expired.
        """
        first = pending.possibly_executed if pending.spec.effect is Idempotency.KEYED else None
        return first.sent_ms + pending.spec.key_ttl_ms - self._state.now_ms if first else math.inf

    def budget_allows(self) -> bool:
        """Return whether the retry budget (as in Finagle) allows a retry.

        Within a window, retries of this gateway may not exceed a fixed number plus a share of its requests.
        """
        settings, now_ms = self._state.site.settings, self._state.now_ms
        if settings.retry_budget_free is None:
            return True
        requests = self._requests.within(now_ms, settings.retry_budget_window_ms)
        allowed = settings.retry_budget_free + settings.retry_budget_share * requests
        return self._retries.within(now_ms, settings.retry_budget_window_ms) + 1 <= allowed


def client_may_retry(pending: PendingRequest) -> bool:
    """Return whether the client may safely retry: nothing was executed, or all nodes discard duplicates."""
    spec = pending.spec
    never_ran = pending.possibly_executed is None and pending.attempts_in_flight == 0
    if spec.effect is Idempotency.SAFE or never_ran:
        return True
    return spec.effect is Idempotency.KEYED and spec.deduplication_scope is DeduplicationScope.ALL
