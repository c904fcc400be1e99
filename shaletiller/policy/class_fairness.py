"""Class fairness: a guaranteed share of the work for each class, regardless of its priority and latency.

Uses deficit round robin (M. Shreedhar, G. Varghese, 1995) over the classes: each first attempt credits every
class with its share of the attempt's cost, and a class whose deficit covers a whole request bypasses the
concurrency limit, the latency threshold and the headroom of rate limits.
"""

from __future__ import annotations

from shaletiller.state.records import PendingRequest
from shaletiller.state.runtime import PolicyState
from shaletiller.state.shares import DecayingShares, DeficitCounters

# Fraction of its share of weighted demand that is guaranteed to a class.  A larger fraction protects classes
# of low priority; a smaller fraction leaves more capacity to be allocated by priority.
GUARANTEED_FRACTION = 0.7
# Bound of a deficit counter, in requests of mean units.  A larger bound compensates a class for a longer time
# without service; a smaller bound limits the burst that compensates it.
MAX_DEFICIT_REQUESTS = 16
# Approximate number of recent requests from which the demand of the classes is estimated.  A smaller number
# follows a change sooner; a larger number gives a more stable estimate.
DEMAND_WINDOW_REQUESTS = 100


class ClassFairness:
    """Deficit counters for each class, of work at the nodes and of units admitted by rate limits."""

    def __init__(self, state: PolicyState) -> None:
        """Create the counters without demand or deficits."""
        self._state = state
        self._requests = DecayingShares(DEMAND_WINDOW_REQUESTS)  # by class
        self._weighted_units = DecayingShares(DEMAND_WINDOW_REQUESTS)  # units times priority weight, by class
        self._work_deficits, self._unit_deficits = DeficitCounters(), DeficitCounters()

    def record_demand(self, pending: PendingRequest) -> None:
        """Count a request towards the demand of its class; its volume's rate limit has tokens left for it."""
        self._requests.count(pending.spec.name)
        self._weighted_units.count(pending.spec.name, pending.units * pending.spec.priority_weight)

    def record_first_attempt(self, pending: PendingRequest) -> None:
        """Charge a class for the first attempt of a request, and credit all classes with their shares."""
        max_deficit = MAX_DEFICIT_REQUESTS * self._state.site.settings.mean_units
        credit_ratios = [(name, GUARANTEED_FRACTION * share) for name, share in self._weighted_units.shares()]
        self._work_deficits.spend(
            pending.spec.name, self._state.latency.work_units(pending), credit_ratios, max_deficit
        )
        self._unit_deficits.spend(pending.spec.name, pending.units, credit_ratios, max_deficit)

    def demand_share(self, request_class: str) -> float:
        """Return the larger of a class's share of requests and its share of weighted units, from 0 to 1."""
        return max(self._requests.share(request_class), self._weighted_units.share(request_class))

    def is_owed_work(self, pending: PendingRequest) -> bool:
        """Return whether the deficit of work at the nodes of the request's class covers this request."""
        return self._work_deficits.deficit(pending.spec.name) >= self._state.latency.work_units(pending)

    def is_owed_units(self, pending: PendingRequest) -> bool:
        """Return whether the deficit of units admitted by rate limits covers this request."""
        return self._unit_deficits.deficit(pending.spec.name) >= pending.units
