"""What may be repeated, when and where: effects (rule 2) and the budget of attempts (rule 7)."""

from __future__ import annotations

import math
from collections.abc import Mapping

from shaletiller.messages.endpoints import EndpointEntry
from shaletiller.rate_counters import SlidingWindowSum
from shaletiller.settings.model import DeduplicationScope, Idempotency
from shaletiller.state.records import Pending
from shaletiller.state.site import Site


class Retries:
    """Judges repeats by their class's effect and by how many attempts this host has made of late."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self.requests, self.repeats = SlidingWindowSum(), SlidingWindowSum()

    def count(self, times: SlidingWindowSum, now_ms: float) -> None:
        """Count a request or a repeat, as far as the site states a budget."""
        if self._site.settings.retry_budget_free is not None:
            times.add(now_ms)
            times.forget(now_ms, self._site.settings.retry_budget_window_ms)

    def window_ms(self, pending: Pending, now_ms: float) -> float:
        """What is left of the time in which a repeat must start: a connection that comes late may pass it."""
        risky = pending.risky if pending.spec.effect is Idempotency.KEYED else None
        return risky.sent_ms + pending.spec.key_ttl_ms - now_ms if risky else math.inf

    def effect_allows(self, pending: Pending, nodes: Mapping[str, EndpointEntry], now_ms: float) -> bool:
        """Rule 2: a repeat of what may have run goes only where, and while, its effect is discarded."""
        if pending.risky is None or pending.spec.effect is Idempotency.SAFE:
            return True
        if pending.spec.effect is Idempotency.UNSAFE or self.window_ms(pending, now_ms) < 0:
            return False
        node = pending.upstream.node
        zone = nodes[node].zone if node else ""
        return pending.spec.deduplication_scope is not DeduplicationScope.ZONE or zone == pending.risky.zone

    def allow(self, pending: Pending, nodes: Mapping[str, EndpointEntry], now_ms: float) -> bool:
        return self.effect_allows(pending, nodes, now_ms) and self.budget_allows(now_ms)

    def budget_allows(self, now_ms: float) -> bool:
        """Rule 7, counted for this host alone; without a stated budget the attempts of a request suffice."""
        settings = self._site.settings
        if settings.retry_budget_free is None:
            return True
        span_ms = settings.retry_budget_window_ms
        allowed = settings.retry_budget_free + settings.retry_budget_share * self.requests.within(
            now_ms, span_ms
        )
        return self.repeats.within(now_ms, span_ms) + 1 <= allowed


def is_harmless(pending: Pending) -> bool:
    """Whether its client may try again without harm: no attempt may have run, or a repeat is discarded."""
    if pending.spec.effect is Idempotency.SAFE or (pending.risky is None and pending.out == 0):
        return True
    return (
        pending.spec.effect is Idempotency.KEYED
        and pending.spec.deduplication_scope is DeduplicationScope.ALL
    )
