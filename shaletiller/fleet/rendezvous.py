"""Rendezvous (highest random weight) hashing: assigns each key to a member without coordination.

See Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM Trans. Networking
6(1), 1998.  Members with the same view of the membership compute the same assignment.  When a member leaves,
only the keys that were assigned to it are reassigned.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache

import xxhash

# Maximum number of cached weights, one for each pair of a key and a member.  A larger cache takes more
# memory; a smaller cache computes hashes again.
WEIGHT_CACHE_SIZE = 1 << 14


@lru_cache(maxsize=WEIGHT_CACHE_SIZE)
def weight(key: str, member: int) -> int:
    """Return the hash weight of a member for a key."""
    return xxhash.xxh3_64_intdigest(key.encode(), seed=member)


def ranked(key: str, members: Iterable[int]) -> list[int]:
    """Sort members by descending weight for a key, and by member number among equal weights."""
    return sorted(members, key=lambda member: (-weight(key, member), member))


def highest_ranked(key: str, members: Iterable[int]) -> int | None:
    """Return the member to which a key is assigned, or `None` if there are no members."""
    return min(members, key=lambda member: (-weight(key, member), member), default=None)
