"""Route: from the node that the module names to the back that reaches it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from shaletiller import interface as i
from shaletiller.core.model import Back, Exchange


@dataclass(slots=True, frozen=True)
class Place:
    """A node of the list, and where it is reached."""

    entry: i.NodeEntry
    address: str
    back: Back


class Route:
    """Every node that the list has named in this life; one that left it stays known."""

    def __init__(self, max_attempts: int, second_copies: bool) -> None:
        self._max_attempts = max_attempts
        self._second_copies = second_copies
        self._places: dict[str, Place] = {}

    def learn(self, places: Sequence[Place]) -> None:
        for place in places:
            known = self._places.get(place.entry.node)
            moved = known is not None and known.address != place.address
            if known is not None and (moved or place.entry.state is not i.NodeState.READY):
                known.back.close_idle(known.address)
            self._places[place.entry.node] = place

    def find(self, node: str) -> Place | None:
        return self._places.get(node)

    def __call__(self, exchange: Exchange | None, node: str, now_ms: float) -> Place | None:
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
