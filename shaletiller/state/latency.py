"""How long answers take: by class over all nodes, and of a mean request at each node."""

from __future__ import annotations

import math

from shaletiller.messages.outcomes import Outcome
from shaletiller.state.records import BANDS, Pending
from shaletiller.state.site import Site

LAG_PART = 0.1  # an answer's part in the node's lag, at least
USUAL_PART = 0.02  # and in its class's usual lag
LAG_MEMORY_MS = 2000.0  # and all of it after a multiple of this without an answer
LOSS_PART = 0.2  # an overdue attempt's part in the estimate that overdue answers are lost


class Latency:
    """Learns lags (milliseconds) from answers."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._usual = [0.0] * len(site.class_index)  # lag by class over all nodes, for the mean units
        self._mean_usual = 0.0  # of all classes, as often as they are answered
        self.losing = 0.0  # the part of overdue answers that never come

    def retune(self, was: list[int]) -> None:
        """New classes: `was` has the place that each had before, -1 where it is new."""
        self._usual = [self._usual[at] if at >= 0 else 0.0 for at in was]

    def by_units(self, pending: Pending) -> float:
        """How a request's lag goes by its units, against its class's mean: half of it does."""
        return (1 + pending.ask.units / self._site.settings.mean_units) / 2

    def ratio(self, at: int) -> float:
        """A class's usual lag against that of the mean request; 1 until it is known."""
        return self._usual[at] / self._mean_usual if self._usual[at] else 1.0

    def work(self, pending: Pending) -> float:
        """Its units of mean work, as far as lags tell: those of a class that is answered sooner are less."""
        return pending.ask.units * self.ratio(self._site.class_index[pending.spec.name])

    def size(self, pending: Pending) -> float:
        """A request's usual lag against the mean request's, by its class and its units."""
        return self.by_units(pending) * self.ratio(pending.kind // BANDS)

    def usual_ms(self, pending: Pending) -> float:
        """The class's usual lag over all nodes: the answers of one node are too few at a sliver."""
        return self._usual[pending.kind // BANDS] * self.by_units(pending)

    def learn(self, pending: Pending, latency_ms: float, now_ms: float) -> None:
        """The older the node's last answer, the more the new one counts: at a sliver answers are rare."""
        upstream, at = pending.upstream, pending.kind // BANDS
        part = max(LAG_PART, 1 - math.exp((upstream.heard_ms - now_ms) / LAG_MEMORY_MS))
        upstream.latency_ms += (latency_ms / self.size(pending) - upstream.latency_ms) * part
        upstream.heard_ms = now_ms
        latency_ms /= self.by_units(pending)
        self._usual[at] += (latency_ms - self._usual[at]) * (USUAL_PART if self._usual[at] else 1.0)
        self._mean_usual += (latency_ms - self._mean_usual) * (USUAL_PART if self._mean_usual else 1.0)

    def learn_loss(self, outcome: Outcome) -> None:
        """Overdue answers that come in the end say slow, those that never come say lost."""
        lost = {Outcome.OK: 0.0, Outcome.TIMEOUT: 1.0}.get(outcome)
        if lost is not None:
            self.losing += (lost - self.losing) * LOSS_PART
