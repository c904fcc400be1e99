"""The scheduler's state: settings, pending requests, attempts in flight, volumes and estimates."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from shaletiller.messages.actions import Action
from shaletiller.settings.model import Settings
from shaletiller.state.admitted_arrivals import AdmittedArrivals
from shaletiller.state.latency import LatencyEstimates
from shaletiller.state.records import AttemptInFlight, KeyQueue, PendingRequest
from shaletiller.state.site import SiteSettings
from shaletiller.state.volumes import VolumeTable


@dataclass(slots=True, eq=False)
class PolicyState:
    """State shared by all components of the policy.  Times are milliseconds on the clock of the events.

    :param actions: the actions that result from the current event, in order.
    :param started_ms: time of the first event.
    :param resumed_ms: time at which the process last resumed after it was suspended for more than a round.
    """

    site: SiteSettings
    latency: LatencyEstimates
    volumes: VolumeTable
    now_ms: float = 0.0
    started_ms: float = 0.0
    resumed_ms: float = -math.inf
    next_round_ms: float = math.inf
    pending: dict[str, PendingRequest] = field(default_factory=dict)  # by request id
    attempts: dict[tuple[str, int], AttemptInFlight] = field(default_factory=dict)  # by request id and number
    key_queues: dict[str, KeyQueue] = field(default_factory=dict)  # by object key
    admitted_arrivals: AdmittedArrivals = field(default_factory=AdmittedArrivals)  # of ordered requests
    actions: list[Action] = field(default_factory=list)

    @classmethod
    def create(cls, settings: Settings) -> PolicyState:
        """Create the state of a gateway that has just started."""
        site = SiteSettings(settings)
        return cls(site, LatencyEstimates(site), VolumeTable(site))

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings at runtime.

        Pending requests keep their class.  A removed class is kept while requests or attempts of it are in
        progress, but is excluded from values that are derived from all classes of the site.
        """
        under_way = [*self.pending.values(), *(attempt.pending for attempt in self.attempts.values())]
        specs = (*(pending.spec for pending in under_way), *settings.classes)
        self.site.update(settings, tuple({spec.name: spec for spec in specs}.values()))
        self.latency.apply_settings()
