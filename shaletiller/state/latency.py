"""Estimates of response latency: for each class over all nodes, and for each node over all classes."""

from __future__ import annotations

import math

from shaletiller.messages.outcomes import Outcome
from shaletiller.state.records import PendingRequest
from shaletiller.state.site import SiteSettings

# Smoothing factors of exponentially weighted moving averages.  A larger factor follows a change sooner; a
# smaller factor is less affected by a single response.
NODE_SMOOTHING = 0.1  # minimum factor for a node's latency
CLASS_SMOOTHING = 0.02  # factor for a class's latency over all nodes
LOST_SMOOTHING = 0.2  # factor for the share of overdue attempts that are never answered
# Time constant with which a node's estimate ages while no response arrives.  After a pause the first response
# replaces the estimate, as a gateway with little traffic receives too few responses of a node to average.
NODE_TIME_CONSTANT_MS = 2000.0


class LatencyEstimates:
    """Exponentially weighted moving averages (J. S. Hunter, 1986) of latencies in milliseconds."""

    def __init__(self, site: SiteSettings) -> None:
        """Create estimates for the classes of a site; all latencies are unknown."""
        self._site = site
        # Latency of a request of mean units, by class; 0 if it is unknown.
        self._class_ms = dict.fromkeys(site.class_specs, 0.0)
        self._all_classes_ms = 0.0  # the same over all classes, weighted by their number of responses
        self.lost_share = 0.0  # share of overdue attempts that are never answered

    def apply_settings(self) -> None:
        """Adapt to the classes of new settings."""
        self._class_ms = {name: self._class_ms.get(name, 0.0) for name in self._site.class_specs}

    def units_factor(self, pending: PendingRequest) -> float:
        """Return the ratio of a request's expected latency to the mean of its class.

        Half of the latency is proportional to the units of the request, the other half is constant.
        """
        return (1 + pending.units / self._site.settings.mean_units) / 2

    def class_factor(self, request_class: str) -> float:
        """Return the ratio of a class's latency to that of the mean request; 1 if it is unknown."""
        class_ms = self._class_ms[request_class]
        return class_ms / self._all_classes_ms if class_ms else 1.0

    def request_factor(self, pending: PendingRequest) -> float:
        """Return the ratio of a request's expected latency to the mean request's, by its class and units."""
        return self.units_factor(pending) * self.class_factor(pending.spec.name)

    def work_units(self, pending: PendingRequest) -> float:
        """Return the cost of a request to its node: its units, weighted by the latency of its class."""
        return pending.units * self.class_factor(pending.spec.name)

    def expected_ms(self, pending: PendingRequest) -> float:
        """Return the expected latency of a request in milliseconds, 0 if it is unknown.

        It is estimated over all nodes, as a gateway with little traffic receives too few responses of one
        node.
        """
        return self._class_ms[pending.spec.name] * self.units_factor(pending)

    def record_response(self, pending: PendingRequest, latency_ms: float, now_ms: float) -> None:
        """Update the estimates from a response; its weight grows with the time since the node's last one."""
        upstream, name = pending.upstream, pending.spec.name
        age_factor = 1 - math.exp((upstream.last_response_ms - now_ms) / NODE_TIME_CONSTANT_MS)
        mean_request_ms = latency_ms / self.request_factor(pending)
        upstream.latency_ms += (mean_request_ms - upstream.latency_ms) * max(NODE_SMOOTHING, age_factor)
        upstream.last_response_ms = now_ms
        latency_ms /= self.units_factor(pending)
        previous_ms = self._class_ms[name]
        self._class_ms[name] = previous_ms + (latency_ms - previous_ms) * (
            CLASS_SMOOTHING if previous_ms else 1.0
        )
        self._all_classes_ms += (latency_ms - self._all_classes_ms) * (
            CLASS_SMOOTHING if self._all_classes_ms else 1.0
        )

    def record_overdue(self, outcome: Outcome) -> None:
        """Update the share of lost attempts from the outcome of an overdue attempt.

        A late response indicates a slow node; no response indicates a lost one.
        """
        lost = {Outcome.OK: 0.0, Outcome.TIMEOUT: 1.0}.get(outcome)
        if lost is not None:
            self.lost_share += (lost - self.lost_share) * LOST_SMOOTHING
