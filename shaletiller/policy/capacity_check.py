"""The capacity check: whether a node can take a request now."""

from __future__ import annotations

from shaletiller.messages.actions import WriteLog
from shaletiller.policy.class_fairness import ClassFairness
from shaletiller.policy.endpoint_table import EndpointTable
from shaletiller.policy.latency_threshold import LatencyThreshold
from shaletiller.policy.slow_start import finish_slow_start, warm_up_allows
from shaletiller.state.records import PendingRequest, Upstream
from shaletiller.state.runtime import PolicyState

# Trial requests to a slow node in flight on average, from all gateways that use it.  Empirical: more notice
# sooner that it has recovered, fewer keep its queue short meanwhile.
TRIALS_IN_FLIGHT = 8
# A gateway uses a node that responded to it within this time.  Empirical: longer counts gateways whose
# requests have moved on, shorter misses those with little traffic.
IN_USE_MS = 15_000.0


class CapacityCheck:
    """Judges by placement, slow start, concurrency limit and latency threshold."""

    def __init__(
        self,
        state: PolicyState,
        endpoints: EndpointTable,
        fairness: ClassFairness,
        threshold: LatencyThreshold,
    ) -> None:
        """Start as if all gateways used every node."""
        self._state, self._endpoints, self._fairness, self._threshold = state, endpoints, fairness, threshold
        self._gateways_per_node = float(state.site.settings.gateways)

    def update(self) -> None:
        """Estimate how many gateways use a node: as many of all as this one uses of the shards."""
        settings, now_ms = self._state.site.settings, self._state.now_ms
        in_use = sum(now_ms - each.last_response_ms < IN_USE_MS for each in self._endpoints.upstreams())
        part = min(1.0, in_use / (settings.shards or in_use or 1))
        self._gateways_per_node = settings.gateways * part

    def allows(self, pending: PendingRequest, upstream: Upstream, ignore_latency: bool = False) -> bool:
        """Whether a request may be sent to the upstream's node now.

        :param ignore_latency: for the same object as one just sent, or a hedge: a slow node will do, too.
        """
        if not self._endpoints.takes_work(upstream):
            return False
        if self._fairness.is_owed_work(pending) and not pending.queue.in_flight:
            return self._slow_start_allows(upstream, pending.units)
        in_flight = upstream.in_flight_units
        if in_flight > 0 and upstream.concurrency_limit - in_flight < pending.units:
            return False
        too_slow = not ignore_latency and self.is_too_slow(pending, upstream)
        if too_slow and not self._is_trial(pending, upstream):
            return False
        return self._slow_start_allows(upstream, pending.units)

    def is_too_slow(self, pending: PendingRequest, upstream: Upstream) -> bool:
        """Whether a node's latency is above the threshold for a request."""
        return upstream.latency_ms > self._threshold.for_request(pending)

    def _is_trial(self, pending: PendingRequest, upstream: Upstream) -> bool:
        """Whether an idle node that is too slow is due for a trial, which shows if it has recovered.

        Reserved requests try it at once, others after a pause: many gateways would else keep it slow.
        """
        others = max(0.0, self._gateways_per_node / TRIALS_IN_FLIGHT - 1)
        pause_ms = (1 - pending.queue.spec.tier_weight) * upstream.latency_ms * others
        idle_ms = self._state.now_ms - upstream.last_response_ms
        return upstream.in_flight_units == 0 and idle_ms >= pause_ms

    def _slow_start_allows(self, upstream: Upstream, units: float) -> bool:
        settings, now_ms = self._state.site.settings, self._state.now_ms
        if finish_slow_start(upstream, settings, now_ms):
            self._state.actions.append(WriteLog(f"node {upstream.node}: slow start finished"))
        quota = self._state.volumes.quota(upstream.node or "")
        return warm_up_allows(upstream, settings, units, quota, now_ms)
