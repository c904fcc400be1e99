"""Route: from the node that the module names to the back that reaches it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from shaletiller.core.model import Exchange, UpstreamClient
from shaletiller.messages.endpoints import EndpointEntry, EndpointState


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A node of the list, and where it is reached."""

    entry: EndpointEntry
    address: str
    back: UpstreamClient


class Route:
    """The nodes of the list; one that has left it is forgotten, for the next one has another name."""

    def __init__(self, max_attempts: int, hedging_allowed: bool) -> None:
        self._max_attempts = max_attempts
        self._second_copies = hedging_allowed
        self._places: dict[str, Endpoint] = {}

    def retune(self, max_attempts: int, hedging_allowed: bool) -> None:
        self._max_attempts = max_attempts
        self._second_copies = hedging_allowed

    def learn(self, places: Sequence[Endpoint], whole: bool) -> None:
        """News of the list, or the whole of it: what a whole list does not name has left."""
        told = {place.entry.node: place for place in places}
        for node, known in list(self._places.items()):
            place = told.get(node)
            if place is None and not whole:
                continue
            if place is None or place.address != known.address or place.entry.state is EndpointState.GONE:
                known.back.close_idle(known.address)
            if place is None:
                del self._places[node]
        for node, place in told.items():
            if place.entry.state is EndpointState.GONE:
                self._places.pop(node, None)
            else:
                self._places[node] = place

    def find(self, node: str) -> Endpoint | None:
        return self._places.get(node)

    def __call__(self, exchange: Exchange | None, node: str, now_ms: float) -> Endpoint | None:
        """None where the attempt must not go out at all."""
        place = self._places.get(node)
        if exchange is None or exchange.over or place is None or now_ms >= exchange.deadline_ms:
            return None
        if len(exchange.attempts) >= self._max_attempts:
            return None
        if exchange.call.shard >= 0 and place.entry.shard != exchange.call.shard:
            return None
        out = any(each.outcome is None for each in exchange.attempts)
        return None if out and not self._second_copies else place
