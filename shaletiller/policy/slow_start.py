"""Slow start, as in HAProxy and Envoy: this gateway's share of the warm-up budget of a starting node."""

from __future__ import annotations

import math

from shaletiller.fleet.quotas import Quota
from shaletiller.settings.model import Settings
from shaletiller.state.records import Upstream


def finish_slow_start(upstream: Upstream, settings: Settings, now_ms: float) -> bool:
    """End the slow start of a node after its duration; return whether it ended now."""
    started_ms = upstream.warming_up_since_ms
    if started_ms is None or now_ms - started_ms < settings.slow_start_ms:
        return False
    upstream.warming_up_since_ms = None
    return True


def warm_up_allows(
    upstream: Upstream, settings: Settings, units: float, quota: Quota | None, now_ms: float
) -> bool:
    """Return whether this gateway's share of a node's warm-up budget has this many units left.

    The budget, in units within the overload window, rises linearly from `warm_up_units` at the node's start
    to `warm_up_units / initial_capacity_share`.  Units that the node rejects count against it.  Each unit
    that the node serves for this gateway refills it by half the overload multiple (see `OutcomeHandler`).
    All gateways together thus send at most the budget plus half the overload multiple of what the node
    serves.  No gateway could detect an overload in time from its own requests.

    :param quota: the quota of the budget that the fleet assigns to this gateway; None without a fleet.
    """
    if upstream.warming_up_since_ms is None:
        return True
    age_ms = max(0.0, now_ms - upstream.warming_up_since_ms)
    start = settings.initial_capacity_share
    budget = settings.warm_up_units * (start + (1 - start) * age_ms / settings.slow_start_ms) / start
    if quota is not None:
        gateway_budget = quota.at(now_ms).burst * budget / settings.warm_up_units
    else:
        gateway_budget = _equal_share(upstream, settings, budget, age_ms)
    return upstream.warm_up_sends.within(now_ms, settings.overload_window_ms) + units <= gateway_budget


def _equal_share(upstream: Upstream, settings: Settings, budget: float, age_ms: float) -> float:
    """Return an equal share of the budget for this gateway, in units.

    If an equal share is less than one request, gateways take turns by their index.  A turn lasts one overload
    window and uses half of the budget, as any window overlaps at most two turns.
    """
    gateways, one_request = settings.gateways, settings.mean_units
    if not 0 < budget < one_request * gateways:
        return budget / gateways
    groups = math.ceil(2 * one_request * gateways / budget)
    turn = int(age_ms // max(1.0, settings.overload_window_ms)) + upstream.shard - settings.gateway_index
    return budget / 2 / math.ceil(gateways / groups) if turn % groups == 0 else 0.0
