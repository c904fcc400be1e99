"""Latency threshold of responses, and the attempt timeout after which an attempt is overdue."""

from __future__ import annotations

from shaletiller.policy.class_fairness import ClassFairness
from shaletiller.state.latency import LatencyEstimates
from shaletiller.state.records import PendingRequest
from shaletiller.state.runtime import PolicyState

# Ratios of the latency threshold to the tightest latency objective, for requests of the lowest and of the
# highest value.  A wider range favors requests of high value; a narrower range uses more of a node's
# capacity.
LOWEST_VALUE_RATIO, HIGHEST_VALUE_RATIO = 0.1, 0.4
# Minimum share of the demand with which a class affects the threshold.  A smaller share improves the latency
# of rare classes; a larger share lets the other classes use more capacity.
MIN_DEMAND_SHARE = 0.05
# The attempt timeout is the larger of this multiple of the expected latency of the request's class and the
# multiple below of the node's latency.  A smaller multiple hedges sooner; a larger multiple hedges fewer
# requests that are only slow.
TIMEOUT_EXPECTED_LATENCIES = 4.0
TIMEOUT_NODE_LATENCIES = 2.0
# Maximum number of doublings of the attempt timeout while a node does not respond.  After that many doublings
# it exceeds any deadline.
MAX_DOUBLINGS = 10


class LatencyThreshold:
    """The latency of a request of mean units above which a node is considered too slow.

    Gateways do not coordinate this decision; they only observe the same node latencies.  As the latency of a
    node grows, the gateways whose requests have the lowest value stop sending to it first.  All classes use
    the tightest objective of the classes in demand.  Otherwise requests with loose objectives would keep a
    node too slow for requests with tight ones.
    """

    def __init__(self, state: PolicyState, fairness: ClassFairness) -> None:
        """Create a threshold from the tightest objective of all classes."""
        self._state, self._fairness = state, fairness
        self._tightest_ms = state.site.tightest_objective_ms

    def update(self) -> None:
        """Update the tightest objective of the classes in demand, as a latency of the mean request."""
        site, latency = self._state.site, self._state.latency
        objectives = [
            spec.latency_objective_ms / latency.class_factor(name)
            for name, spec in site.class_specs.items()
            if self._fairness.demand_share(name) >= MIN_DEMAND_SHARE
        ]
        self._tightest_ms = min(objectives, default=site.tightest_objective_ms)

    def for_request(self, pending: PendingRequest) -> float:
        """Return the threshold in milliseconds for a request; it grows with the value of the request."""
        value = self._state.site.relative_value(pending)
        return self._tightest_ms * (LOWEST_VALUE_RATIO + (HIGHEST_VALUE_RATIO - LOWEST_VALUE_RATIO) * value)


def attempt_timeout_ms(pending: PendingRequest, latency: LatencyEstimates) -> float:
    """Return the attempt timeout in milliseconds, after which an attempt is overdue.

    It is based on the expected latency of the class and the node, and doubles with each overdue attempt since
    the node's last response.
    """
    upstream = pending.upstream
    base_timeout_ms = max(
        TIMEOUT_EXPECTED_LATENCIES * latency.expected_ms(pending),
        TIMEOUT_NODE_LATENCIES * upstream.latency_ms,
    )
    doublings = min(upstream.overdue_streak, MAX_DOUBLINGS)
    return float((base_timeout_ms or pending.spec.latency_objective_ms) * 2**doublings)
