"""When a response is late, and when an attempt is overdue."""

from __future__ import annotations

from shaletiller.policy.class_fairness import ClassFairness
from shaletiller.state.latency import LatencyEstimates
from shaletiller.state.records import PendingRequest
from shaletiller.state.runtime import PolicyState

# A node is too slow from this part of the tightest latency objective, for requests of the lowest and of the
# highest value.  Empirical: a wider range yields more to high value, a narrower one uses nodes more.
LOWEST_VALUE_PART, HIGHEST_VALUE_PART = 0.1, 0.4
# A class with less of the demand does not lower the threshold for all others.  Empirical: it trades the
# latency of rare classes against the capacity that is used for the rest.
MIN_DEMAND_SHARE = 0.05
# An attempt is overdue after so many times the expected latency of its class.  Empirical: fewer hedge sooner,
# more hedge less work that is only slow.
EXPECTED_LATENCIES = 4.0
NODE_LATENCIES = 2.0  # and after so many times the latency of its node, where that is longer
# The attempt timeout doubles at most so often while a node does not respond: later than any deadline.
MAX_DOUBLINGS = 10


class LatencyThreshold:
    """The latency of a mean request at which a node counts as too slow.

    Gateways share nothing but the latency of the nodes: where it grows, the gateway whose work has the lower
    value yields first.  All go by the class with the tightest objective, or work that can wait would keep a
    node too slow for work that can not.
    """

    def __init__(self, state: PolicyState, fairness: ClassFairness) -> None:
        """Start from the tightest objective of all classes."""
        self._state, self._fairness = state, fairness
        self._tightest_ms = state.site.tightest_objective_ms

    def update(self) -> None:
        """Take the tightest objective of the classes in demand, as a latency of the mean request."""
        site, latency = self._state.site, self._state.latency
        objectives = [
            spec.latency_objective_ms / latency.class_factor(name)
            for name, spec in site.class_specs.items()
            if self._fairness.demand_share(name) >= MIN_DEMAND_SHARE
        ]
        self._tightest_ms = min(objectives, default=site.tightest_objective_ms)

    def for_request(self, pending: PendingRequest) -> float:
        """Return the threshold in milliseconds for a request: the higher its value, the higher."""
        value = self._state.site.relative_value(pending)
        return self._tightest_ms * (LOWEST_VALUE_PART + (HIGHEST_VALUE_PART - LOWEST_VALUE_PART) * value)


def overdue_after_ms(pending: PendingRequest, latency: LatencyEstimates) -> float:
    """Return how long an attempt may take before it is overdue.

    By the expected latency of its class and node, doubled with each attempt overdue since its last response.
    """
    upstream = pending.upstream
    usual_ms = max(EXPECTED_LATENCIES * latency.expected_ms(pending), NODE_LATENCIES * upstream.latency_ms)
    doublings = min(upstream.overdue_streak, MAX_DOUBLINGS)
    return float((usual_ms or pending.spec.latency_objective_ms) * 2**doublings)
