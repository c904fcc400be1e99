"""Class fairness: what each class is sure of, however low its priority and however slow its work.

Deficit round robin (M. Shreedhar, G. Varghese, 1995) over the classes: each first attempt earns every class
its share of what the attempt took, and a class that is owed a whole request goes ahead of the limits.
"""

from __future__ import annotations

from shaletiller.state.records import PendingRequest
from shaletiller.state.runtime import PolicyState
from shaletiller.state.shares import DecayingShares, DeficitCounters

# The part of its share of weighted demand that a class gets for certain.  Empirical: more protects classes of
# low priority, less leaves more capacity to go by priority.
GUARANTEED = 0.7
# The bound of a deficit, in mean requests.  Empirical: more repays a class for a longer time without service,
# less keeps the burst that repays it short.
CREDIT_REQUESTS = 16
# Demand is the mix of about so many requests.  Empirical: fewer follow a change sooner, more are steadier.
DEMAND_REQUESTS = 100


class ClassFairness:
    """Deficit counters for each class: of work at the nodes, and of units that rate limits let through."""

    def __init__(self, state: PolicyState) -> None:
        """Start with no demand and no deficits."""
        self._state = state
        self._requests = DecayingShares(DEMAND_REQUESTS)  # by class
        self._weighted_units = DecayingShares(DEMAND_REQUESTS)  # units times priority weight, by class
        self._work, self._units = DeficitCounters(), DeficitCounters()

    def record_demand(self, pending: PendingRequest) -> None:
        """Count a request for which the rate limit of its volume has tokens left."""
        self._requests.count(pending.spec.name)
        self._weighted_units.count(pending.spec.name, pending.units * pending.spec.priority_weight)

    def record_first_attempt(self, pending: PendingRequest) -> None:
        """Charge a class for a request that is sent for the first time."""
        most = CREDIT_REQUESTS * self._state.site.settings.mean_units
        earns = [(name, GUARANTEED * share) for name, share in self._weighted_units.shares()]
        self._work.spend(pending.spec.name, self._state.latency.work_units(pending), earns, most)
        self._units.spend(pending.spec.name, pending.units, earns, most)

    def demand_share(self, request_class: str) -> float:
        """Return a class's share of the requests or of the weighted units, whichever is larger; 0 to 1."""
        return max(self._requests.share(request_class), self._weighted_units.share(request_class))

    def is_owed_work(self, pending: PendingRequest) -> bool:
        """Whether the nodes have done less work for its class than guaranteed, by this request or more."""
        return self._work.deficit(pending.spec.name) >= self._state.latency.work_units(pending)

    def is_owed_units(self, pending: PendingRequest) -> bool:
        """Whether rate limits have let fewer units of its class through, by this request or more."""
        return self._units.deficit(pending.spec.name) >= pending.units
