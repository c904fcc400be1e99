"""What every class is sure of, however little its work is worth and however slow the nodes are for it."""

from __future__ import annotations

from shaletiller.state.latency import Latency
from shaletiller.state.mix import DecayingShares, DeficitCounters
from shaletiller.state.records import Pending
from shaletiller.state.site import Site

GUARANTEED = 0.7  # of what is released, this part of its share of the worth asked for is a class's own
CREDIT_REQUESTS = 16  # what a class may have too little or too much on its account, in mean requests
ASKED_REQUESTS = 100  # the share of the worth is that of so many requests


class Guarantee:
    """Accounts for each class: of work at the nodes, and of units where volumes have limits."""

    def __init__(self, site: Site, latency: Latency) -> None:
        self._site, self._latency = site, latency
        self.requests, self.priority_weight = (
            DecayingShares(ASKED_REQUESTS),
            DecayingShares(ASKED_REQUESTS),
        )  # what is asked for, by class
        self._work, self._units = DeficitCounters(), DeficitCounters()

    def count_asked(self, pending: Pending) -> None:
        """A request has come that its volume's limit leaves room for."""
        self.requests.count(pending.spec.name)
        self.priority_weight.count(pending.spec.name, pending.ask.units * pending.spec.priority_weight)

    def count_released(self, pending: Pending) -> None:
        """A request goes out for the first time."""
        most = CREDIT_REQUESTS * self._site.settings.mean_units
        earns = [(name, GUARANTEED * share) for name, share in self.priority_weight.shares()]
        self._work.spend(pending.spec.name, self._latency.work(pending), earns, most)
        self._units.spend(pending.spec.name, pending.ask.units, earns, most)

    def owes_work(self, pending: Pending) -> bool:
        """Whether the class has had less of the nodes than its part, by this request or more."""
        return self._work.of(pending.spec.name) >= self._latency.work(pending)

    def owes_units(self, pending: Pending) -> bool:
        """The same of the units that limits let through."""
        return self._units.of(pending.spec.name) >= pending.ask.units
