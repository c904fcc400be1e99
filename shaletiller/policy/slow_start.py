"""Cold nodes: this host's part of what a node that has just started certainly bears."""

from __future__ import annotations

import math

from shaletiller.fleet.quotas import Quota
from shaletiller.settings.model import Settings
from shaletiller.state.records import Upstream


def ramp_is_over(upstream: Upstream, settings: Settings, now_ms: float) -> bool:
    """Whether a node that was cold is warm now; it is not held for cold from then on."""
    if upstream.warming_up_since_ms is None or now_ms - upstream.warming_up_since_ms < settings.slow_start_ms:
        return False
    upstream.warming_up_since_ms = None
    return True


def cold_allows(
    upstream: Upstream,
    settings: Settings,
    units: float,
    share: Quota | None,
    now_ms: float,
) -> bool:
    """Rule 4: whether this host's part of a cold node's budget, rising with the ramp, leaves so many units.

    What is turned away counts as well.  What the node served of this host's within the span pays back half
    the rule's multiple: all hosts together then send it the safe part and half the multiple of what it can
    do, where alone each would learn it too late."""
    if upstream.warming_up_since_ms is None:
        return True
    age_ms = max(0.0, now_ms - upstream.warming_up_since_ms)
    start = settings.initial_capacity_share
    borne = settings.warm_up_units * (start + (1 - start) * age_ms / settings.slow_start_ms) / start
    if share is not None:
        part = share.at(now_ms).burst * borne / settings.warm_up_units
    else:
        part = _part_without_share(upstream, settings, borne, age_ms)
    return upstream.warm_up_sends.within(now_ms, settings.overload_window_ms) + units <= part


def _part_without_share(upstream: Upstream, settings: Settings, borne: float, age_ms: float) -> float:
    """An even part.  Where that is under one request, hosts take turns of the stated span by their number,
    half of the budget a turn, for a span meets at most two."""
    gateways, one = settings.gateways, settings.mean_units
    if not 0 < borne < one * gateways:
        return borne / gateways
    groups = math.ceil(2 * one * gateways / borne)
    turn = int(age_ms // max(1.0, settings.overload_window_ms)) + upstream.shard - settings.gateway_index
    return borne / 2 / math.ceil(gateways / groups) if turn % groups == 0 else 0.0
