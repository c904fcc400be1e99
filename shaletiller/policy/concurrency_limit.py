"""The adaptive concurrency limit of a node, and its division into slots for each queue.

Uses additive increase and multiplicative decrease, as in TCP congestion avoidance (V. Jacobson, 1988): at the
end of a round the limit grows by one request if responses were in time, and shrinks proportionally if they
were late.
"""

from __future__ import annotations

from shaletiller.policy.payoff import Demand, best_split, rounded_rate
from shaletiller.state.records import Upstream
from shaletiller.state.site import ROUND_OBJECTIVE_RATIO, SiteSettings

# Initial concurrency limit of a node, in requests of mean units for each class, and initial slots of a queue.
# Requests of every class can then be sent from the start, which provides latency estimates for all classes.
INITIAL_REQUESTS = 4
# Lower bound, in requests of mean units, of the concurrency that a node is assumed to support.  With a lower
# limit a node with little traffic could not demonstrate a higher capacity.  A larger bound raises the limit
# of a node sooner; a smaller bound protects it better from a surge.
MIN_PROVEN_REQUESTS = 6
# Maximum concurrency limit, in requests of mean units.  A larger maximum makes use of larger nodes; a smaller
# one bounds the computation that divides the limit into slots.
MAX_LIMIT_REQUESTS = 32
# Ratios by which a round lowers the limit.  Larger ratios shed load from an overloaded node sooner; smaller
# ratios preserve the limit of a node that paused once.
LATE_DECREASE = 0.1  # of the excess over the units served in the round, if most responses were late
UNPROVEN_DECREASE = 0.25  # of the excess over the demonstrated capacity, in every round


def adjust_limit(upstream: Upstream, mean_units: float) -> None:
    """Adjust the limit at the end of a round: raise it after responses in time, lower it after late ones."""
    limit = upstream.concurrency_limit
    if upstream.on_time_balance < 0:
        limit -= LATE_DECREASE * max(0.0, limit - upstream.served_units)
    elif upstream.on_time_balance > 0 and upstream.in_flight_units + upstream.served_units >= limit / 2:
        limit += mean_units  # only if the limit is used: idle rounds do not demonstrate capacity
    # Units that the node serves within the tightest latency objective; a round is half of it.
    proven = max(MIN_PROVEN_REQUESTS * mean_units, upstream.served_units / ROUND_OBJECTIVE_RATIO)
    limit -= UNPROVEN_DECREASE * max(0.0, limit - proven)
    upstream.concurrency_limit = min(max(limit, mean_units), MAX_LIMIT_REQUESTS * mean_units)
    upstream.served_units, upstream.on_time_balance = 0.0, 0


def allocate_slots(upstream: Upstream, site: SiteSettings, now_ms: float) -> None:
    """Divide the limit into slots for each queue by payoff, using the current arrival rates."""
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
