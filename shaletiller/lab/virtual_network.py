"""A virtual clock and the simulated links of a network.

The simulation is deterministic, as in FoundationDB (Zhou et al., "FoundationDB: A Distributed Unbundled
Transactional Key Value Store", SIGMOD 2021): time advances only from one scheduled call to the next, so the
seed determines all events of a run.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True)
class Link:
    """A link between two gateways, in one direction.

    :param loss: probability that a message is lost.
    :param least_ms: minimum delay; the delay is random for each message, so messages can be reordered.
    :param most_ms: maximum delay.
    :param doubled: probability that a message is duplicated.
    :param cut: whether all messages are lost.
    """

    loss: float = 0.0
    least_ms: float = 1.0
    most_ms: float = 5.0
    doubled: float = 0.0
    cut: bool = False


class VirtualClock:
    """Runs calls in the order of their times; calls for the same time run in the order of scheduling."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()

    def at(self, when_ms: float, call: Callable[[], None]) -> None:
        """Schedule a call; a call for a time in the past is scheduled for now."""
        heapq.heappush(self._calls, (max(self.now_ms, when_ms), next(self._sequence_numbers), call))

    def run(self, until_ms: float) -> None:
        """Run all calls that are due by a time, and advance the clock to that time."""
        while self._calls and self._calls[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self._calls)
            call()
        self.now_ms = until_ms
