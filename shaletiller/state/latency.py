"""Estimates of response latency: by class over all nodes, and of a mean request at each node."""

from __future__ import annotations

import math

from shaletiller.messages.outcomes import Outcome
from shaletiller.state.records import PendingRequest
from shaletiller.state.site import SiteSettings

# Smoothing factors of exponentially weighted moving averages, all empirical: a larger factor follows a change
# sooner, a smaller one is moved less by a single response.
NODE_SMOOTHING = 0.1  # of a node's latency, at least
CLASS_SMOOTHING = 0.02  # of a class's latency over all nodes
LOST_SMOOTHING = 0.2  # of the share of overdue attempts that are never answered
# The time constant by which a node's estimate ages while no response comes: after a pause the first response
# replaces what was known, as a gateway with little traffic sees a node too rarely to average.
NODE_MEMORY_MS = 2000.0


class LatencyEstimates:
    """Exponentially weighted moving averages (J. S. Hunter, 1986) of latencies in milliseconds."""

    def __init__(self, site: SiteSettings) -> None:
        """Start with nothing known."""
        self._site = site
        self._class_ms = dict.fromkeys(site.class_specs, 0.0)  # of a request of mean units; 0: not known
        self._all_classes_ms = 0.0  # weighted by how often each class is answered
        self.lost_share = 0.0  # of overdue attempts, those that are never answered

    def apply_settings(self) -> None:
        """Follow the classes of new settings."""
        self._class_ms = {name: self._class_ms.get(name, 0.0) for name in self._site.class_specs}

    def units_factor(self, pending: PendingRequest) -> float:
        """Return a request's expected latency against its class's mean: half of it grows with the units."""
        return (1 + pending.units / self._site.settings.mean_units) / 2

    def class_factor(self, request_class: str) -> float:
        """Return a class's latency against that of the mean request; 1 until it is known."""
        class_ms = self._class_ms[request_class]
        return class_ms / self._all_classes_ms if class_ms else 1.0

    def request_factor(self, pending: PendingRequest) -> float:
        """Return a request's expected latency against the mean request's, by its class and units."""
        return self.units_factor(pending) * self.class_factor(pending.spec.name)

    def work_units(self, pending: PendingRequest) -> float:
        """Return a request's units, weighted by how long its class takes: what it costs the node."""
        return pending.units * self.class_factor(pending.spec.name)

    def expected_ms(self, pending: PendingRequest) -> float:
        """Return the latency to expect, 0 where it is not known.

        Over all nodes: a gateway with little traffic has too few responses of one node to tell.
        """
        return self._class_ms[pending.spec.name] * self.units_factor(pending)

    def record_response(self, pending: PendingRequest, latency_ms: float, now_ms: float) -> None:
        """Learn from a response; the older the node's previous one, the more this one counts."""
        upstream, name = pending.upstream, pending.spec.name
        aged = 1 - math.exp((upstream.last_response_ms - now_ms) / NODE_MEMORY_MS)
        mean_request_ms = latency_ms / self.request_factor(pending)
        upstream.latency_ms += (mean_request_ms - upstream.latency_ms) * max(NODE_SMOOTHING, aged)
        upstream.last_response_ms = now_ms
        latency_ms /= self.units_factor(pending)
        known_ms = self._class_ms[name]
        self._class_ms[name] = known_ms + (latency_ms - known_ms) * (CLASS_SMOOTHING if known_ms else 1.0)
        self._all_classes_ms += (latency_ms - self._all_classes_ms) * (
            CLASS_SMOOTHING if self._all_classes_ms else 1.0
        )

    def record_overdue(self, outcome: Outcome) -> None:
        """Learn how an overdue attempt ended: a late response means a slow node, none at all lost answers."""
        lost = {Outcome.OK: 0.0, Outcome.TIMEOUT: 1.0}.get(outcome)
        if lost is not None:
            self.lost_share += (lost - self.lost_share) * LOST_SMOOTHING
