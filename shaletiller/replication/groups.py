"""Replica groups: which members of the fleet hold the replicas of a key.

Groups are computed by rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", 1998) and spread over zones. Every member computes the same group.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import lru_cache
from typing import Any

from shaletiller.fleet.rendezvous import ranked

DEFAULT_REPLICAS = 3  # The smallest group that keeps a majority when one machine is lost.
# Number of keys whose group is cached. A larger value uses more memory; a smaller value hashes keys again
# more often.
MAX_CACHED_KEYS = 1 << 16
MAX_CACHED_FLEETS = 64  # Number of cached ReplicaGroups objects: a gateway has one, a simulation has many.


class ReplicaGroups:
    """The replica groups of a fleet."""

    def __init__(self, zones: Sequence[str], replicas: int = DEFAULT_REPLICAS) -> None:
        """Define the groups.

        :param zones: the zone of each member, "" for a member without a zone.
        :param replicas: members per group; in a smaller fleet each group consists of all members.
        """
        self.zones = tuple(zones)
        self.replicas = min(replicas, len(self.zones))
        self.members_of = lru_cache(maxsize=MAX_CACHED_KEYS)(self._members_of)

    def _members_of(self, key: str) -> tuple[int, ...]:
        """Return the group of a key: the first-ranked member of each zone, then the first of the rest."""
        order = ranked(key, range(len(self.zones)))
        members: list[int] = []
        for one_per_zone in (True, False):
            for member in order:
                if len(members) == self.replicas:
                    break
                zone = self.zones[member]
                zone_has_member = one_per_zone and zone and zone in [self.zones[other] for other in members]
                if member not in members and not zone_has_member:
                    members.append(member)
        return tuple(members)

    def __reduce__(self) -> tuple[Any, ...]:
        """Pickle only the definition, without the cache."""
        return _cached_groups, (self.zones, self.replicas)

    @property
    def majority(self) -> int:
        """The size of a majority quorum; any two such quorums share a member."""
        return self.replicas // 2 + 1


@lru_cache(maxsize=MAX_CACHED_FLEETS)
def _cached_groups(zones: tuple[str, ...], replicas: int) -> ReplicaGroups:
    """Return one shared object for all unpickled copies, so that they share their cache."""
    return ReplicaGroups(zones, replicas)
