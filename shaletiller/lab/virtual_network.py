"""A virtual clock and the simulated links of a network.

After the model of FoundationDB's simulation (Zhou et al., "FoundationDB: A Distributed Unbundled
Transactional Key Value Store", SIGMOD 2021): time passes only from one scheduled call to the next, so all
that happens in a run follows from its seed.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True)
class Link:
    """One direction between two gateways.

    :param loss: probability that a message is lost.
    :param least_ms: shortest delay; each message has its own, so messages can be reordered.
    :param most_ms: longest delay.
    :param doubled: probability that a message arrives twice.
    :param cut: nothing arrives.
    """

    loss: float = 0.0
    least_ms: float = 1.0
    most_ms: float = 5.0
    doubled: float = 0.0
    cut: bool = False


class VirtualClock:
    """Runs calls in the order of their times; calls of equal times run in the order in which they came."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, when_ms: float, call: Callable[[], None]) -> None:
        """Schedule a call; one whose time has passed runs next."""
        heapq.heappush(self._calls, (max(self.now_ms, when_ms), next(self._numbers), call))

    def run(self, until_ms: float) -> None:
        """Run all calls that are due up to a time, and set the clock to it."""
        while self._calls and self._calls[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self._calls)
            call()
        self.now_ms = until_ms
