"""Maps the storage nodes that the scheduler selects to their addresses and upstream clients."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from shaletiller.core.interfaces import UpstreamClient
from shaletiller.core.model import Exchange
from shaletiller.messages.endpoints import EndpointEntry, EndpointState


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A storage node of the endpoint list with its address and the upstream client for its protocol."""

    entry: EndpointEntry
    address: str
    client: UpstreamClient


class RouteTable:
    """The endpoints by node; nodes that leave the endpoint list are removed."""

    def __init__(self, max_attempts: int, hedging_allowed: bool) -> None:
        self._max_attempts = max_attempts
        self._hedging_allowed = hedging_allowed
        self._endpoints: dict[str, Endpoint] = {}

    def apply_settings(self, max_attempts: int, hedging_allowed: bool) -> None:
        """Apply new settings."""
        self._max_attempts = max_attempts
        self._hedging_allowed = hedging_allowed

    def apply_update(self, endpoints: Sequence[Endpoint], full: bool) -> None:
        """Apply an update of the endpoint list.

        Idle connections to endpoints that are removed or have a new address are closed.

        :param full: whether `endpoints` is the complete list; nodes that it does not contain are removed.
        """
        listed = {endpoint.entry.node: endpoint for endpoint in endpoints}
        for node, known in list(self._endpoints.items()):
            endpoint = listed.get(node)
            if endpoint is None and not full:
                continue
            if endpoint is None or self._is_replaced(known, endpoint):
                known.client.close_idle(known.address)
            if endpoint is None:
                del self._endpoints[node]
        for node, endpoint in listed.items():
            if endpoint.entry.state is EndpointState.GONE:
                self._endpoints.pop(node, None)
            else:
                self._endpoints[node] = endpoint

    @staticmethod
    def _is_replaced(known: Endpoint, endpoint: Endpoint) -> bool:
        return endpoint.address != known.address or endpoint.entry.state is EndpointState.GONE

    def find(self, node: str) -> Endpoint | None:
        """Return the endpoint of a node, or None if the endpoint list does not contain it."""
        return self._endpoints.get(node)

    def endpoint_for_attempt(self, exchange: Exchange | None, node: str, now_ms: float) -> Endpoint | None:
        """Return the endpoint for the next attempt of a request, or None if the attempt must not start.

        This enforces rules that the scheduler also follows (one response, the maximum number of attempts, no
        hedged request unless allowed, the shard of the request), so that a fault of the scheduler does not
        reach a storage node.
        """
        endpoint = self._endpoints.get(node)
        if exchange is None or exchange.finished or endpoint is None or now_ms >= exchange.deadline_ms:
            return None
        if len(exchange.attempts) >= self._max_attempts:
            return None
        if exchange.call.shard >= 0 and endpoint.entry.shard != exchange.call.shard:
            return None
        in_flight = any(attempt.outcome is None for attempt in exchange.attempts)
        return None if in_flight and not self._hedging_allowed else endpoint
