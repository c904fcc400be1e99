"""Rendezvous (highest random weight) hashing: assigns each key to a member without coordination.

Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM Trans. Networking 6(1),
1998.  Members that see the same membership agree on the assignment, and the departure of a member reassigns
only the keys that were assigned to it.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache

import xxhash

# Empirical: pairs of a key and a member.  A larger cache takes memory, a smaller one hashes again.
WEIGHT_CACHE_SIZE = 1 << 14


@lru_cache(maxsize=WEIGHT_CACHE_SIZE)
def weight(key: str, member: int) -> int:
    """Return the weight of a member for a key."""
    return xxhash.xxh3_64_intdigest(key.encode(), seed=member)


def ranked(key: str, members: Iterable[int]) -> list[int]:
    """Order members by descending weight for a key; equal weights are ordered by member number."""
    return sorted(members, key=lambda member: (-weight(key, member), member))


def highest_ranked(key: str, members: Iterable[int]) -> int | None:
    """Return the member to which a key is assigned, `None` without members."""
    return min(members, key=lambda member: (-weight(key, member), member), default=None)
