"""Hybrid logical clock: timestamps that respect causality and stay close to physical time.

See Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical Clocks", OPODIS 2014.  A timestamp is one
integer, with milliseconds since the Unix epoch in the upper bits and a logical counter in the lower 16 bits.
"""

from __future__ import annotations

COUNTER_BITS = 16
# Maximum time, in milliseconds, by which a received timestamp may be ahead of the local clock.  The clocks of
# gateways are synchronized to within tens of milliseconds; a clock that is a second ahead is broken.
MAX_AHEAD_MS = 1_000.0


def timestamp_of(wall_ms: float) -> int:
    """Return the smallest timestamp of a physical time.

    :param wall_ms: milliseconds since the Unix epoch.
    """
    return int(wall_ms) << COUNTER_BITS


def wall_ms_of(timestamp: int) -> float:
    """Return the physical time of a timestamp, in milliseconds since the Unix epoch."""
    return float(timestamp >> COUNTER_BITS)


class HybridClock:
    """Issues strictly increasing timestamps, each greater than all timestamps received before.

    A received timestamp that is too far ahead is rejected.  Otherwise a member with a wrong clock would
    advance the clocks of all other members, and its records would take precedence over newer records until
    physical time has caught up.
    """

    def __init__(self, max_ahead_ms: float = MAX_AHEAD_MS) -> None:
        """Create a clock that has issued no timestamp.

        :param max_ahead_ms: maximum time by which a received timestamp may be ahead of the local physical
            time.
        """
        self._max_ahead_ms = max_ahead_ms
        self._last = 0

    @property
    def last(self) -> int:
        """The greatest timestamp issued or received so far."""
        return self._last

    def now(self, wall_ms: float) -> int:
        """Return a new timestamp that is greater than all timestamps issued or received before.

        :param wall_ms: current physical time.
        """
        self._last = max(self._last + 1, timestamp_of(wall_ms))
        return self._last

    def receive(self, timestamp: int, wall_ms: float) -> bool:
        """Advance the clock to a timestamp received from another member.

        :param wall_ms: current physical time.
        :returns: whether the timestamp was accepted.  If it is too far ahead, the clock does not change.
        """
        if timestamp > timestamp_of(wall_ms + self._max_ahead_ms):
            return False
        self._last = max(self._last, timestamp)
        return True
