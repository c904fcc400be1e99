"""Which gateways keep a key's copies: rendezvous hashing, spread over zones, the same at every member."""

from __future__ import annotations

from collections.abc import Sequence
from functools import lru_cache
from typing import Any

from shaletiller.fleet.rendezvous import ranked

COPIES = 3


class Groups:
    """The groups of a fleet.  `zones` has each member's zone, "" where it states none."""

    def __init__(self, zones: Sequence[str], copies: int = COPIES) -> None:
        self.zones = tuple(zones)
        self.copies = min(copies, len(self.zones))
        self.of = lru_cache(maxsize=1 << 16)(self._of)

    def _of(self, key: str) -> tuple[int, ...]:
        """The members that keep this key: the first of its order in each zone, then the first of the rest."""
        order = ranked(key, range(len(self.zones)))
        found: list[int] = []
        for spread in (True, False):
            for member in order:
                if len(found) == self.copies:
                    break
                zone = self.zones[member]
                if member not in found and not (
                    spread and zone and zone in [self.zones[each] for each in found]
                ):
                    found.append(member)
        return tuple(found)

    def __reduce__(self) -> tuple[Any, ...]:
        return _shared, (self.zones, self.copies)

    @property
    def majority(self) -> int:
        return self.copies // 2 + 1


@lru_cache(maxsize=64)
def _shared(zones: tuple[str, ...], copies: int) -> Groups:
    """Copies of a group share what they have worked out."""
    return Groups(zones, copies)
