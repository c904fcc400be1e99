"""What is to be told to all: each piece goes out a few times, the least told first.

The count that makes it likely that all have heard grows with the logarithm of the fleet (Demers et al.,
"Epidemic Algorithms for Replicated Database Maintenance", PODC 1987); the queue is that of memberlist's
TransmitLimitedQueue in behaviour: a newer piece of the same name replaces an older one.
"""

from __future__ import annotations

import math

MULTIPLE = 3  # transmissions of a piece for each doubling of the fleet
LOOK = 16  # so many pieces at least are tried for the room that is left in a message


class BroadcastQueue:
    """Pieces that are still to be told.  Names are any hashable; `members` is the size of the fleet.

    They stand in levels by how often they were told, so that a message costs as much as it takes along: after
    a start of a thousand members at once each has a thousand pieces to tell, and to look through all of them
    for each message was most of what such a fleet did."""

    def __init__(self, members: int) -> None:
        self._times = MULTIPLE * max(1, math.ceil(math.log2(members + 1)))
        self._levels: list[dict[object, bytes]] = [{} for _ in range(self._times)]
        self._level_of: dict[object, int] = {}

    def __len__(self) -> int:
        return len(self._level_of)

    @property
    def times(self) -> int:
        """How often each piece goes out."""
        return self._times

    def add(self, name: object, raw: bytes) -> None:
        """A piece to tell, instead of any older one of its name."""
        before = self._level_of.get(name)
        if before is not None:
            del self._levels[before][name]
        self._levels[0][name] = raw
        self._level_of[name] = 0

    def take(self, room: int, most: int) -> list[bytes]:
        """At most so many pieces, and bytes, for one message; they count as told once more."""
        found: list[tuple[object, bytes, int]] = []
        looked = 0
        if not self._level_of or most <= 0:
            return []
        for at, level in enumerate(self._levels):
            for name in reversed(level):  # of those told as often, the newest first
                if len(found) >= most or looked >= max(most, LOOK):
                    break
                looked += 1
                if len(level[name]) <= room:
                    room -= len(level[name])
                    found.append((name, level[name], at))
        for name, raw, at in found:
            del self._levels[at][name]
            if at + 1 < self._times:
                self._levels[at + 1][name] = raw
                self._level_of[name] = at + 1
            else:
                del self._level_of[name]
        return [raw for _, raw, _ in found]
