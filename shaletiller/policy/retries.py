"""Retries: which requests may be sent again, when and where, by idempotency and by the retry budget."""

from __future__ import annotations

import math

from shaletiller.policy.endpoint_table import EndpointTable
from shaletiller.rate_counters import SlidingWindowSum
from shaletiller.settings.model import DeduplicationScope, Idempotency
from shaletiller.state.records import PendingRequest
from shaletiller.state.runtime import PolicyState


class RetryPolicy:
    """Judges retries by the idempotency of their class and by the attempts of this gateway of late."""

    def __init__(self, state: PolicyState, endpoints: EndpointTable) -> None:
        """Start with nothing counted."""
        self._state, self._endpoints = state, endpoints
        self._requests, self._retries = SlidingWindowSum(), SlidingWindowSum()

    def record_request(self) -> None:
        """Count a request towards the budget."""
        self._count(self._requests)

    def record_retry(self) -> None:
        """Count a retry or a hedged request against the budget."""
        self._count(self._retries)

    def _count(self, counted: SlidingWindowSum) -> None:
        settings = self._state.site.settings
        if settings.retry_budget_free is not None:  # without a budget nothing would ever be dropped
            counted.add(self._state.now_ms)
            counted.forget(self._state.now_ms, settings.retry_budget_window_ms)

    def idempotency_allows(self, pending: PendingRequest) -> bool:
        """Whether its work would not be done twice: what may have run is only repeated where it is discarded.

        A keyed request is discarded while its idempotency key is known, and in its deduplication scope.
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
        """Return the time in which a retry has to start, as its idempotency key expires; else infinity.

        The attempt is held to it as well: its connection may come up after the key has expired.
        """
        first = pending.possibly_executed if pending.spec.effect is Idempotency.KEYED else None
        return first.sent_ms + pending.spec.key_ttl_ms - self._state.now_ms if first else math.inf

    def budget_allows(self) -> bool:
        """Retry budget (as Finagle's): retries are at most a free number and a share of the requests.

        Counted within a window, for this gateway alone.
        """
        settings, now_ms = self._state.site.settings, self._state.now_ms
        if settings.retry_budget_free is None:
            return True
        requests = self._requests.within(now_ms, settings.retry_budget_window_ms)
        allowed = settings.retry_budget_free + settings.retry_budget_share * requests
        return self._retries.within(now_ms, settings.retry_budget_window_ms) + 1 <= allowed


def client_may_retry(pending: PendingRequest) -> bool:
    """Whether a retry by the client does no harm: no attempt may have run, or every node discards it."""
    spec = pending.spec
    never_ran = pending.possibly_executed is None and pending.attempts_in_flight == 0
    if spec.effect is Idempotency.SAFE or never_ran:
        return True
    return spec.effect is Idempotency.KEYED and spec.deduplication_scope is DeduplicationScope.ALL
