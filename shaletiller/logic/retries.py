"""What may be repeated, when and where: effects (rule 2) and the budget of attempts (rule 7)."""

from __future__ import annotations

import math
from collections.abc import Mapping

from shaletiller import interface as i
from shaletiller.rates import RecentSum
from shaletiller.state.records import Pending
from shaletiller.state.site import Site


class Retries:
    """Judges repeats by their class's effect and by how many attempts this host has made of late."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self.requests, self.repeats = RecentSum(), RecentSum()

    def count(self, times: RecentSum, now_ms: float) -> None:
        """Count a request or a repeat, as far as the site states a budget."""
        if self._site.settings.budget_free is not None:
            times.add(now_ms)
            times.forget(now_ms, self._site.settings.budget_span_ms)

    def window_ms(self, pending: Pending, now_ms: float) -> float:
        """What is left of the time in which a repeat must start: a connection that comes late may pass it."""
        risky = pending.risky if pending.spec.effect is i.Effect.KEYED else None
        return risky.sent_ms + pending.spec.key_ttl_ms - now_ms if risky else math.inf

    def effect_allows(self, pending: Pending, nodes: Mapping[str, i.NodeEntry], now_ms: float) -> bool:
        """Rule 2: a repeat of what may have run goes only where, and while, its effect is discarded."""
        if pending.risky is None or pending.spec.effect is i.Effect.SAFE:
            return True
        if pending.spec.effect is i.Effect.UNSAFE or self.window_ms(pending, now_ms) < 0:
            return False
        node = pending.upstream.node
        zone = nodes[node].zone if node else ""
        return pending.spec.scope is not i.Scope.ZONE or zone == pending.risky.zone

    def allow(self, pending: Pending, nodes: Mapping[str, i.NodeEntry], now_ms: float) -> bool:
        return self.effect_allows(pending, nodes, now_ms) and self.budget_allows(now_ms)

    def budget_allows(self, now_ms: float) -> bool:
        """Rule 7, counted for this host alone; without a stated budget the attempts of a request suffice."""
        settings = self._site.settings
        if settings.budget_free is None:
            return True
        span_ms = settings.budget_span_ms
        allowed = settings.budget_free + settings.budget_share * self.requests.within(now_ms, span_ms)
        return self.repeats.within(now_ms, span_ms) + 1 <= allowed


def is_harmless(pending: Pending) -> bool:
    """Whether its client may try again without harm: no attempt may have run, or a repeat is discarded."""
    if pending.spec.effect is i.Effect.SAFE or (pending.risky is None and pending.out == 0):
        return True
    return pending.spec.effect is i.Effect.KEYED and pending.spec.scope is i.Scope.ALL
