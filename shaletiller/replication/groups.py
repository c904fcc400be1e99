"""Replica groups: which members of the fleet hold the replicas of a key.

Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998), spread
over zones; every member computes the same group.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import lru_cache
from typing import Any

from shaletiller.fleet.rendezvous import ranked

DEFAULT_REPLICAS = 3  # the smallest group that keeps a majority when one machine is lost
CACHED_KEYS = 1 << 16  # empirical: memory against hashing a key again
CACHED_FLEETS = 64  # groupings of one process: one in a gateway, many in a simulation


class ReplicaGroups:
    """The replica groups of a fleet."""

    def __init__(self, zones: Sequence[str], replicas: int = DEFAULT_REPLICAS) -> None:
        """Define the groups.

        :param zones: the zone of each member, "" where it has none.
        :param replicas: members per group; a smaller fleet has groups of all its members.
        """
        self.zones = tuple(zones)
        self.replicas = min(replicas, len(self.zones))
        self.members_of = lru_cache(maxsize=CACHED_KEYS)(self._members_of)

    def _members_of(self, key: str) -> tuple[int, ...]:
        """List the group of a key: the first member of its order in each zone, then the first of the rest."""
        order = ranked(key, range(len(self.zones)))
        members: list[int] = []
        for one_per_zone in (True, False):
            for member in order:
                if len(members) == self.replicas:
                    break
                zone = self.zones[member]
                zone_is_taken = one_per_zone and zone and zone in [self.zones[each] for each in members]
                if member not in members and not zone_is_taken:
                    members.append(member)
        return tuple(members)

    def __reduce__(self) -> tuple[Any, ...]:
        """Pickle the definition only; the cache is not copied."""
        return _cached_groups, (self.zones, self.replicas)

    @property
    def majority(self) -> int:
        """The size of a quorum: any two of them share a member."""
        return self.replicas // 2 + 1


@lru_cache(maxsize=CACHED_FLEETS)
def _cached_groups(zones: tuple[str, ...], replicas: int) -> ReplicaGroups:
    """Return the same object for each unpickled copy, so that copies share their cache."""
    return ReplicaGroups(zones, replicas)
