"""The adaptive concurrency limit of a node, and its division into slots for each queue.

Additive increase, multiplicative decrease, as TCP congestion avoidance (V. Jacobson, 1988): once a round the
limit grows by one request after responses in time, and shrinks by a part after late ones.
"""

from __future__ import annotations

from shaletiller.policy.payoff import Demand, best_split, rounded_rate
from shaletiller.state.records import Upstream
from shaletiller.state.site import ROUND_PART, SiteSettings

# The first limit of a node, in mean requests for each class, so that each class can be sent and learned from.
INITIAL_REQUESTS = 4
# A node is taken to bear this many mean requests at once even if it has shown less: below, a node with little
# traffic could not show more.  Empirical: more opens a node sooner, less keeps a surge from overloading it.
UNPROVEN_REQUESTS = 6
# The largest limit, in mean requests.  Empirical: bounds the cost of splitting slots against the use of
# larger nodes.
MAX_REQUESTS = 32
# Parts by which a round lowers the limit, both empirical: more sheds load from an overloaded node sooner,
# less keeps a node that paused once from losing its limit.
LATE_DECREASE = 0.1  # towards what it served, after late responses
UNPROVEN_DECREASE = 0.25  # towards what it has shown to serve, after any


def adjust_limit(upstream: Upstream, mean_units: float) -> None:
    """End a round: raise the limit after responses in time, lower it after late ones."""
    limit = upstream.concurrency_limit
    if upstream.on_time_balance < 0:
        limit -= LATE_DECREASE * max(0.0, limit - upstream.served_units)
    elif upstream.on_time_balance > 0 and upstream.in_flight_units + upstream.served_units >= limit / 2:
        limit += mean_units  # only while the limit is used: idle rounds prove nothing
    # What it serves within the tightest latency objective, as a round is a part of that.
    proven = max(UNPROVEN_REQUESTS * mean_units, upstream.served_units / ROUND_PART)
    limit -= UNPROVEN_DECREASE * max(0.0, limit - proven)
    upstream.concurrency_limit = min(max(limit, mean_units), MAX_REQUESTS * mean_units)
    upstream.served_units, upstream.on_time_balance = 0.0, 0


def allocate_slots(upstream: Upstream, site: SiteSettings, now_ms: float) -> None:
    """Divide the limit into slots for each queue by payoff, under the latest arrival rates."""
    queues = upstream.queues.values()
    demands = [
        Demand(
            rounded_rate(queue.arrivals.rate(now_ms)),
            queue.spec.priority_weight,
            site.settings.mean_units,
            queue.spec.rounds,
        )
        for queue in queues
    ]
    slots = best_split(demands, upstream.concurrency_limit, 1000 / site.round_ms)
    for queue, count in zip(queues, slots, strict=True):
        queue.slots = count
