"""Route: from the storage node that the scheduler names to the address and client that reach it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from shaletiller.core.interfaces import UpstreamClient
from shaletiller.core.model import Exchange
from shaletiller.messages.endpoints import EndpointEntry, EndpointState


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A storage node of the endpoint list, its address, and the upstream client that speaks its protocol."""

    entry: EndpointEntry
    address: str
    client: UpstreamClient


class RouteTable:
    """The endpoints of the list by node; what has left the list is forgotten."""

    def __init__(self, max_attempts: int, hedging_allowed: bool) -> None:
        self._max_attempts = max_attempts
        self._hedging_allowed = hedging_allowed
        self._endpoints: dict[str, Endpoint] = {}

    def apply_settings(self, max_attempts: int, hedging_allowed: bool) -> None:
        """Apply new settings."""
        self._max_attempts = max_attempts
        self._hedging_allowed = hedging_allowed

    def learn(self, endpoints: Sequence[Endpoint], full: bool) -> None:
        """Apply changes of the endpoint list, or a full list: what a full list does not name has left it.

        Idle connections to an endpoint that is gone or has a new address are closed.
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
        """The endpoint of a node, None where the list does not name it."""
        return self._endpoints.get(node)

    def route(self, exchange: Exchange | None, node: str, now_ms: float) -> Endpoint | None:
        """The endpoint for the next attempt of a request; None where the attempt must not start at all.

        This repeats the rules that the scheduler keeps (one response, attempts in number, no hedged request
        unless allowed, the right shard): a fault there must not reach a storage node.
        """
        endpoint = self._endpoints.get(node)
        if exchange is None or exchange.finished or endpoint is None or now_ms >= exchange.deadline_ms:
            return None
        if len(exchange.attempts) >= self._max_attempts:
            return None
        if exchange.call.shard >= 0 and endpoint.entry.shard != exchange.call.shard:
            return None
        in_flight = any(each.outcome is None for each in exchange.attempts)
        return None if in_flight and not self._hedging_allowed else endpoint
