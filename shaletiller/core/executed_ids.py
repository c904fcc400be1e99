"""Ids of requests that may have run: they are remembered for a while, so that none of them runs again.

A client that has left may send its request again under the same id, at any process of the gateway.  By then
the request has no owner any more, and the attempt that was given up may still run at its node.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

# An id is remembered for this time at least, and for twice as long at most.  The value covers the longest
# deadline of a deployment and the pause before a client sends its request again.
KEEP_MS = 5000.0
# Ids that are remembered at most in `KEEP_MS`.  While there are as many, no further request is sent that may
# not run twice: forgetting one early would let a client that floods the gateway make room for a second run.
MAX_IDS = 16_384


def hash_id(request_id: str) -> int:
    """Return the 64-bit hash by which an id is remembered."""
    return xxhash.xxh3_64_intdigest(request_id.encode())


class ExecutedIds:
    """Remembers ids for a bounded time and in a bounded number, as hashes in two generations."""

    def __init__(self, now_ms: float) -> None:
        self._newer: set[int] = set()
        self._older: set[int] = set()
        self._rotated_ms = now_ms

    def add(self, digest: int, now_ms: float) -> None:
        """Remember an id, which is given by its hash."""
        self._rotate(now_ms)
        self._newer.add(digest)

    def update(self, hashes: Iterable[int], now_ms: float) -> None:
        """Remember several ids, which are given by their hashes."""
        self._rotate(now_ms)
        self._newer.update(hashes)

    def contains(self, request_id: str, now_ms: float) -> bool:
        """Whether a request of this id may have run lately."""
        self._rotate(now_ms)
        digest = hash_id(request_id)
        return digest in self._newer or digest in self._older

    @property
    def is_full(self) -> bool:
        """Whether no further id could be remembered at the time of the last call."""
        return len(self._newer) >= MAX_IDS

    def hashes(self) -> tuple[int, ...]:
        """Return the hashes of all remembered ids."""
        return (*self._newer, *self._older)

    def _rotate(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._rotated_ms
        if elapsed_ms < KEEP_MS:
            return
        self._older = self._newer if elapsed_ms < 2 * KEEP_MS else set()
        self._newer = set()
        self._rotated_ms = now_ms
