"""A node's capacity in units, the slots of its classes by the payoff split, and when its answers are late."""

from __future__ import annotations

from shaletiller.policy.fair_share import Guarantee
from shaletiller.policy.payoff import Demand, best_split, rounded_rate
from shaletiller.state.latency import Latency
from shaletiller.state.records import BANDS, Pending, Upstream
from shaletiller.state.site import ROUND_PART, Site

START_REQUESTS = 4  # a node's first capacity, in requests of each class
SHOWN_REQUESTS, CEILING_REQUESTS = 6, 32  # a node's largest capacity, in requests: taken as shown, and at all
LATE_LEAST, LATE_MOST = 0.1, 0.4  # an answer is late from this part of its aim, by what its zone is worth
COUNTS_FROM = 0.05  # a class with less of the requests and of the worth has no say in what is late for all
PATIENCE = 4.0  # an answer is overdue after so many times the usual lag of its class
MOST_DOUBLED = 10  # how often patience doubles while a node stays silent
FALL_PART, SHOWN_PART = 0.1, 0.25  # how far a round takes it: late, to what was served; any, to what is shown


def settle_round(upstream: Upstream, mean_units: float) -> None:
    """End a round: one request more after answers in time, down toward what was served after late ones."""
    if upstream.verdict < 0:
        upstream.capacity -= FALL_PART * max(0.0, upstream.capacity - upstream.served)
    elif upstream.verdict > 0 and upstream.taken + upstream.served >= upstream.capacity / 2:
        upstream.capacity += mean_units
    shown = max(SHOWN_REQUESTS * mean_units, upstream.served / ROUND_PART)  # within the tightest aim
    upstream.capacity -= SHOWN_PART * max(0.0, upstream.capacity - shown)
    upstream.capacity = min(max(upstream.capacity, mean_units), CEILING_REQUESTS * mean_units)
    upstream.served, upstream.verdict = 0.0, 0


def split_slots(upstream: Upstream, site: Site, now_ms: float) -> None:
    """The slots of each class by payoff, under the last arrival rates and the capacity as it is now."""
    demands = [
        Demand(
            rounded_rate(asked.add(now_ms)),
            site.priority_weight[kind],
            site.settings.mean_units,
            site.rounds[kind // BANDS],
        )
        for kind, asked in enumerate(upstream.asked)
    ]
    upstream.slots = best_split(demands, upstream.capacity, 1000 / site.round_ms)


def bearable_ms(site: Site, latency: Latency, guarantee: Guarantee) -> float:
    """The lag of a mean request at which the class that bears least would take its whole aim.

    A class counts with a twentieth of the requests or of the worth that are asked for."""
    counts = [
        at
        for name, at in site.class_index.items()
        if max(guarantee.requests.share(name), guarantee.priority_weight.share(name)) >= COUNTS_FROM
    ]
    aims = [site.settings.classes[at].latency_objective_ms / latency.ratio(at) for at in counts]
    return min(aims, default=site.tightest_aim_ms)


def late_ms(pending: Pending, site: Site, most_ms: float) -> float:
    """From which lag of a mean request on a node is too slow for a request, if it may take `most_ms`.

    Hosts meet only in the node's lag: where it grows, the host whose work is worth less gives way.  All go by
    the class that bears least: else work that can wait keeps a node too slow for work that cannot."""
    return most_ms * (LATE_LEAST + (LATE_MOST - LATE_LEAST) * site.pay(pending))


def patience_ms(pending: Pending, latency: Latency) -> float:
    """By the usual lag of the class and of this node; doubled as the node stays silent."""
    upstream = pending.upstream
    usual_ms = (
        max(PATIENCE * latency.usual_ms(pending), 2 * upstream.latency_ms)
        or pending.spec.latency_objective_ms
    )
    return float(usual_ms * 2 ** min(upstream.silent, MOST_DOUBLED))
