"""The endpoint table: which node serves a shard, and which nodes accept requests."""

from __future__ import annotations

import math
from collections.abc import Mapping, ValuesView

from shaletiller.messages.actions import WriteLog
from shaletiller.messages.endpoints import EndpointEntry, EndpointState, UpdateKind
from shaletiller.messages.events import EndpointListUpdate, EndpointReportedDown
from shaletiller.policy.concurrency_limit import INITIAL_REQUESTS
from shaletiller.state.records import Upstream
from shaletiller.state.runtime import PolicyState

# A drain may be noticed this many scheduling rounds late.  Sending to a draining node stops that long before
# the end of its grace period.
DRAIN_MARGIN_ROUNDS = 2


class EndpointTable:
    """The endpoint list as known to this gateway, and the upstream of each shard.

    Each shard is held by one node.  While that node is draining or gone, requests wait for its successor.
    """

    def __init__(self, state: PolicyState) -> None:
        """Create an empty table."""
        self._state = state
        self._endpoints: dict[str, EndpointEntry] = {}  # by node
        self._upstreams: dict[int, Upstream] = {}  # by shard
        # The time until which a draining node may be sent requests, by node.
        self._draining_until_ms: dict[str, float] = {}
        # The time until which a node is considered down because other gateways reported it, by node.
        self._down_until_ms: dict[str, float] = {}

    def zone_of(self, node: str) -> str:
        """Return the zone of a node in the endpoint list."""
        return self._endpoints[node].zone

    def upstreams(self) -> ValuesView[Upstream]:
        """Return the upstreams of all shards that have received requests."""
        return self._upstreams.values()

    def handle_list_update(self, event: EndpointListUpdate) -> None:
        """Apply an update of the endpoint list; the caller must then call `assign_node` for each upstream."""
        previous = self._endpoints
        updated = {entry.node: entry for entry in event.entries}
        listed = previous | updated if event.kind is UpdateKind.CHANGES else updated
        self._endpoints = {
            node: endpoint for node, endpoint in listed.items() if endpoint.state is not EndpointState.GONE
        }
        self._update_draining(previous, self._state.now_ms - event.staleness_ms)

    def _update_draining(self, previous: Mapping[str, EndpointEntry], notified_ms: float) -> None:
        """Set the time until which each draining node is sent requests.

        A draining node serves requests during its grace period, and no other node holds its data.  It is sent
        requests until shortly before the end of that period, as a request may have to wait for a connection,
        or until it rejects one.  A node that this gateway has not seen ready is sent none: it may have
        started draining long before this process started.

        :param notified_ms: the earliest time at which the drain may have been announced.
        """
        settings, site = self._state.site.settings, self._state.site
        margin_ms = settings.connect_timeout_ms + DRAIN_MARGIN_ROUNDS * site.round_ms
        until_ms = notified_ms + settings.drain_grace_ms - margin_ms
        draining = {node for node, entry in self._endpoints.items() if entry.state is EndpointState.DRAINING}
        for node in draining - self._draining_until_ms.keys():
            seen_ready = node in previous and previous[node].state is EndpointState.READY
            self._draining_until_ms[node] = until_ms if seen_ready else self._state.now_ms
        for node in self._draining_until_ms.keys() - draining:
            del self._draining_until_ms[node]

    def record_rejection(self, node: str) -> None:
        """Stop sending to a draining node that rejected an attempt or refused a connection."""
        if node in self._draining_until_ms:
            self._draining_until_ms[node] = self._state.now_ms

    def handle_reported_down(self, event: EndpointReportedDown) -> None:
        """Stop sending to a node that other gateways report down, until it responds to this gateway."""
        self._down_until_ms[event.node] = event.down_until_ms
        reports, now_ms = self._down_until_ms.items(), self._state.now_ms
        self._down_until_ms = {node: until_ms for node, until_ms in reports if until_ms > now_ms}

    def record_response(self, node: str) -> None:
        """Discard the report that a node is down, because the node has responded to this gateway."""
        self._down_until_ms.pop(node, None)

    def accepts_requests(self, upstream: Upstream) -> bool:
        """Return whether an upstream has a node that may be sent requests.

        The node must not be reported down, nor be at the end of its draining period.
        """
        node, now_ms = upstream.node, self._state.now_ms
        if node is None or now_ms >= self._draining_until_ms.get(node, math.inf):
            return False
        return now_ms >= self._down_until_ms.get(node, 0.0)

    def assign_node(self, upstream: Upstream) -> None:
        """Assign a node to a shard: its ready node, else a draining one that accepts requests."""
        holders = [entry for entry in self._endpoints.values() if entry.shard == upstream.shard]
        candidates = [entry for entry in holders if entry.state is EndpointState.READY] or [
            entry for entry in holders if self._draining_until_ms.get(entry.node, 0.0) > self._state.now_ms
        ]
        entry = (
            max(candidates, key=lambda candidate: (candidate.started_ms, candidate.node))
            if candidates
            else None
        )
        node = entry.node if entry else None
        if node != upstream.node:
            line = f"shard {upstream.shard}: node {upstream.node} -> {node}"
            self._state.actions += [WriteLog(line)] if upstream.node else []
            upstream.migrate_to(node, self._state.attempts.values())
        started_ms = entry.started_ms if entry else 0.0
        if started_ms > 0 and self._state.now_ms - started_ms < self._state.site.settings.slow_start_ms:
            upstream.warming_up_since_ms = started_ms

    def upstream_for(self, shard: int) -> Upstream:
        """Return the upstream of a shard; for a new object (shard below 0), the least loaded upstream."""
        if shard < 0:
            return self._least_loaded()
        upstream = self._upstreams.get(shard)
        if upstream is None:
            settings = self._state.site.settings
            limit = INITIAL_REQUESTS * len(settings.classes) * settings.mean_units
            upstream = self._upstreams[shard] = Upstream(shard, limit)
            upstream.arrange_queues(self._state.site.queue_specs, INITIAL_REQUESTS)
            self.assign_node(upstream)
        return upstream

    def _least_loaded(self) -> Upstream:
        """Return the upstream with the most free capacity; ties go to the lowest shard.

        Recently failed units count as load.  Otherwise a node that fails requests immediately would always
        seem to be free, and would attract all new objects.
        """
        ready = {entry.shard for entry in self._endpoints.values() if entry.state is EndpointState.READY}
        shards = sorted(ready) or sorted(self._upstreams) or [0]
        upstreams = [self.upstream_for(shard) for shard in shards]
        return max(upstreams, key=lambda upstream: (self._free_units(upstream), -upstream.shard))

    def _free_units(self, upstream: Upstream) -> float:
        failed = upstream.failed_units.rate(self._state.now_ms)
        return upstream.concurrency_limit - upstream.in_flight_units - failed

    def rearrange_queues(self) -> None:
        """Rebuild the queues of all upstreams for the classes of new settings."""
        for upstream in self._upstreams.values():
            upstream.arrange_queues(self._state.site.queue_specs, INITIAL_REQUESTS)
