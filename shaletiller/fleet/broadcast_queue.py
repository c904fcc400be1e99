"""Queue of updates for epidemic broadcast: each update is piggybacked on a bounded number of messages.

The number of transmissions after which all members have very likely received an update grows with the
logarithm of the fleet size (Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", PODC
1987).  The queue behaves like memberlist's TransmitLimitedQueue: the update with the fewest transmissions is
sent first, and a newer update replaces an older one under the same key.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import NamedTuple

# Number of transmissions of each update per doubling of the fleet size.  A larger value costs messages; with
# a smaller value an update misses members on lossy links, which then receive it only by anti-entropy.
TRANSMISSIONS_PER_DOUBLING = 3
# Minimum number of updates that are examined to fill the space left in a message.  A larger value fills
# messages better; a smaller value bounds the CPU cost of a message while many updates are queued.
MIN_CANDIDATES = 16


class _Candidate(NamedTuple):
    key: object
    payload: bytes
    transmissions: int


class BroadcastQueue:
    """Encoded updates that still have to be transmitted.

    Updates are grouped into levels by their number of transmissions, so that the cost of a message is
    proportional to the updates that it carries.  When a thousand members start at once, each of them queues a
    thousand updates; scanning all of them for each message took most of the fleet's CPU time.
    """

    def __init__(self, members: int) -> None:
        """Create an empty queue.

        :param members: number of members of the fleet.
        """
        self._limit = TRANSMISSIONS_PER_DOUBLING * max(1, math.ceil(math.log2(members + 1)))
        self._levels: list[dict[object, bytes]] = [{} for _ in range(self._limit)]
        self._level_of: dict[object, int] = {}

    def __len__(self) -> int:
        """Return the number of queued updates."""
        return len(self._level_of)

    @property
    def transmit_limit(self) -> int:
        """Number of times that each update is transmitted."""
        return self._limit

    def add(self, key: object, payload: bytes) -> None:
        """Queue an update, replacing any older update under the same key.

        :param key: any hashable object that identifies the subject of the update.
        """
        level = self._level_of.get(key)
        if level is not None:
            del self._levels[level][key]
        self._levels[0][key] = payload
        self._level_of[key] = 0

    def next_batch(self, max_bytes: int, max_updates: int) -> list[bytes]:
        """Select updates for one message, and increment their transmission counts.

        :param max_bytes: space left in the message.
        :param max_updates: maximum number of updates that fit into the message.
        :returns: the encoded updates.
        """
        if not self._level_of or max_updates <= 0:
            return []
        selected = self._select(max_bytes, max_updates)
        for candidate in selected:
            self._count_transmission(candidate)
        return [candidate.payload for candidate in selected]

    def _select(self, max_bytes: int, max_updates: int) -> list[_Candidate]:
        selected: list[_Candidate] = []
        for examined, candidate in enumerate(self._candidates()):
            if len(selected) >= max_updates or examined >= max(max_updates, MIN_CANDIDATES):
                break
            if len(candidate.payload) <= max_bytes:
                max_bytes -= len(candidate.payload)
                selected.append(candidate)
        return selected

    def _candidates(self) -> Iterator[_Candidate]:
        """Yield updates by ascending number of transmissions; among equal numbers, the newest first."""
        for transmissions, level in enumerate(self._levels):
            for key in reversed(level):
                yield _Candidate(key, level[key], transmissions)

    def _count_transmission(self, sent: _Candidate) -> None:
        del self._levels[sent.transmissions][sent.key]
        transmissions = sent.transmissions + 1
        if transmissions < self._limit:
            self._levels[transmissions][sent.key] = sent.payload
            self._level_of[sent.key] = transmissions
        else:
            del self._level_of[sent.key]
