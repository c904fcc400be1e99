"""The capacity check: whether a request can be sent to a node now."""

from __future__ import annotations

from shaletiller.messages.actions import WriteLog
from shaletiller.policy.class_fairness import ClassFairness
from shaletiller.policy.endpoint_table import EndpointTable
from shaletiller.policy.latency_threshold import LatencyThreshold
from shaletiller.policy.slow_start import finish_slow_start, warm_up_allows
from shaletiller.state.records import PendingRequest, Upstream
from shaletiller.state.runtime import PolicyState

# Average number of trial requests in flight at a slow node, from all gateways that use it.  A larger number
# detects its recovery sooner; a smaller number keeps its queue shorter until then.
TRIALS_IN_FLIGHT = 8
# A gateway counts as using a node if the node has responded to it within this time.  A longer time includes
# gateways that no longer send to the node; a shorter time misses gateways with little traffic.
NODE_IN_USE_MS = 15_000.0


class CapacityCheck:
    """Checks endpoint state, slow start, concurrency limit and latency threshold."""

    def __init__(
        self,
        state: PolicyState,
        endpoints: EndpointTable,
        fairness: ClassFairness,
        threshold: LatencyThreshold,
    ) -> None:
        """Create a capacity check that assumes that all gateways use every node."""
        self._state, self._endpoints, self._fairness, self._threshold = state, endpoints, fairness, threshold
        self._gateways_per_node = float(state.site.settings.gateways)

    def update(self) -> None:
        """Estimate how many gateways use a node.

        Assumes that the fraction of the gateways that use a node equals the fraction of the shards that this
        gateway uses.
        """
        settings, now_ms = self._state.site.settings, self._state.now_ms
        in_use = sum(
            now_ms - upstream.last_response_ms < NODE_IN_USE_MS for upstream in self._endpoints.upstreams()
        )
        fraction = min(1.0, in_use / (settings.shards or in_use or 1))
        self._gateways_per_node = settings.gateways * fraction

    def allows(self, pending: PendingRequest, upstream: Upstream, ignore_latency: bool = False) -> bool:
        """Return whether a request may be sent to the upstream's node now.

        A request that the work deficit of its class covers bypasses the concurrency limit and the latency
        threshold while its queue has no requests in flight.

        :param ignore_latency: skip the latency threshold, for a hedged request and for a request that joins
            the batch of another one for the same object.
        """
        if not self._endpoints.accepts_requests(upstream):
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
        """Return whether a node's latency is above the threshold for a request."""
        return upstream.latency_ms > self._threshold.for_request(pending)

    def _is_trial(self, pending: PendingRequest, upstream: Upstream) -> bool:
        """Return whether a request may be sent to a slow idle node as a trial, to detect its recovery.

        Requests of the reserved tier are sent at once.  Others wait for a pause that grows with the number of
        gateways that use the node, as trials from many gateways would keep it slow.
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
