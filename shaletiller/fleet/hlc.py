"""Hybrid logical clock: timestamps that respect causality and stay close to physical time.

Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical Clocks", OPODIS 2014.  A timestamp is one
integer: milliseconds of the Unix epoch in the upper bits, a logical counter in the lower sixteen.
"""

from __future__ import annotations

COUNTER_BITS = 16
# Gateways' clocks are synchronized to within tens of milliseconds; a second more is a broken clock.
MAX_AHEAD_MS = 1_000.0


def timestamp_of(wall_ms: float) -> int:
    """Return the least timestamp of a physical time.

    :param wall_ms: milliseconds of the Unix epoch.
    """
    return int(wall_ms) << COUNTER_BITS


def wall_ms_of(timestamp: int) -> float:
    """Return the physical part of a timestamp, in milliseconds of the Unix epoch."""
    return float(timestamp >> COUNTER_BITS)


class HybridClock:
    """Issues increasing timestamps, each greater than every timestamp received before.

    A received timestamp that is too far ahead is rejected.  Otherwise one member with a wrong clock would
    advance the clocks of all others, and its records would win against newer ones for as long.
    """

    def __init__(self, max_ahead_ms: float = MAX_AHEAD_MS) -> None:
        """Create a clock that starts at the epoch.

        :param max_ahead_ms: how far a received timestamp may be ahead of the local physical time.
        """
        self._max_ahead_ms = max_ahead_ms
        self._last = 0

    @property
    def last(self) -> int:
        """The greatest timestamp issued or received so far."""
        return self._last

    def now(self, wall_ms: float) -> int:
        """Issue a timestamp greater than all before."""
        self._last = max(self._last + 1, timestamp_of(wall_ms))
        return self._last

    def receive(self, timestamp: int, wall_ms: float) -> bool:
        """Merge another member's timestamp.

        :returns: `False`, with the clock unchanged, where the timestamp is too far ahead.
        """
        if timestamp > timestamp_of(wall_ms + self._max_ahead_ms):
            return False
        self._last = max(self._last, timestamp)
        return True
