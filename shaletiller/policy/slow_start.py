"""Slow start, as of load balancers (HAProxy, Envoy): this gateway's part of a starting node's budget."""

from __future__ import annotations

import math

from shaletiller.fleet.quotas import Quota
from shaletiller.settings.model import Settings
from shaletiller.state.records import Upstream


def finish_slow_start(upstream: Upstream, settings: Settings, now_ms: float) -> bool:
    """End the slow start of a node once its time is over; return whether it ended now."""
    started_ms = upstream.warming_up_since_ms
    if started_ms is None or now_ms - started_ms < settings.slow_start_ms:
        return False
    upstream.warming_up_since_ms = None
    return True


def warm_up_allows(
    upstream: Upstream, settings: Settings, units: float, quota: Quota | None, now_ms: float
) -> bool:
    """Whether this gateway's part of a node's warm-up budget leaves so many units.

    The budget (units in the overload window) rises linearly from `warm_up_units` at the node's start to
    `warm_up_units / initial_capacity_share`.  What the node rejects counts as well.  What it serves of this
    gateway's requests pays back half the overload multiple (see `OutcomeHandler`): all gateways then send it
    the budget and half the multiple of what it serves; none alone would notice an overload in time.

    :param quota: the part that the fleet assigns to this gateway; None without a fleet.
    """
    if upstream.warming_up_since_ms is None:
        return True
    age_ms = max(0.0, now_ms - upstream.warming_up_since_ms)
    start = settings.initial_capacity_share
    budget = settings.warm_up_units * (start + (1 - start) * age_ms / settings.slow_start_ms) / start
    if quota is not None:
        part = quota.at(now_ms).burst * budget / settings.warm_up_units
    else:
        part = _even_part(upstream, settings, budget, age_ms)
    return upstream.warm_up_sends.within(now_ms, settings.overload_window_ms) + units <= part


def _even_part(upstream: Upstream, settings: Settings, budget: float, age_ms: float) -> float:
    """Return an even part of the budget, in units.

    Where that is less than one request, gateways take turns by their index.  A turn lasts one overload window
    and has half of the budget, as any window overlaps two turns at most.
    """
    gateways, one_request = settings.gateways, settings.mean_units
    if not 0 < budget < one_request * gateways:
        return budget / gateways
    groups = math.ceil(2 * one_request * gateways / budget)
    turn = int(age_ms // max(1.0, settings.overload_window_ms)) + upstream.shard - settings.gateway_index
    return budget / 2 / math.ceil(gateways / groups) if turn % groups == 0 else 0.0
