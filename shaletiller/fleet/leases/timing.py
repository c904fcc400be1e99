"""Durations of leases and pledges, and types shared by all roles."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from shaletiller.fleet.errors import FleetOptionError

# Maximum number of members of a fleet that uses the shortest term; the term of a larger fleet is proportional
# to its size.  A granter sends each owner about two requests per term.  With a larger value, its requests
# would exceed the message rate limit; with a smaller value, idle quota would return later than necessary.
MEMBERS_PER_SHORTEST_TERM = 20
MIN_LEASE_MS = 100.0  # several round trips; a shorter lease would expire before it can be renewed
MAX_DRIFT = 0.2  # far above the drift of any working clock; with more, little of a lease remains usable


class GranterId(NamedTuple):
    """One incarnation of a granter; a restarted granter counts as another one, as it has lost its records."""

    member: int
    incarnation: int


NO_GRANTER = GranterId(0, 0)


@dataclass(slots=True, frozen=True)
class LeaseTiming:
    """Durations of leases and pledges, in milliseconds.

    Quota moves between gateways within the duration of a lease.  Amounts that were pledged to a granter that
    crashed return to their owners within one term.

    :param term_ms: duration of a pledge.
    :param lease_ms: duration of a lease.
    :param drift: maximum deviation of a clock's rate from true time, as a fraction.
    """

    term_ms: float = 2_000.0
    lease_ms: float = 1_000.0
    drift: float = 0.01

    def __post_init__(self) -> None:
        """Validate the durations.

        :raises FleetOptionError: if a value is out of range or contradicts another one.
        """
        if not self.lease_ms >= MIN_LEASE_MS:
            raise FleetOptionError("lease_ms", f"wants at least {MIN_LEASE_MS:.0f}, got {self.lease_ms}")
        if not self.term_ms >= 2 * self.lease_ms:
            raise FleetOptionError("term_ms", f"wants at least two leases, got {self.term_ms}")
        if not 0 <= self.drift < MAX_DRIFT:
            raise FleetOptionError(
                "drift", f"wants a fraction of at least 0 and under {MAX_DRIFT}, got {self.drift}"
            )

    @classmethod
    def for_members(cls, members: int) -> LeaseTiming:
        """Return a timing whose term grows with the fleet, which bounds the request rate of a granter."""
        return cls(term_ms=cls().term_ms * max(1.0, members / MEMBERS_PER_SHORTEST_TERM))

    @property
    def pledge_wait_ms(self) -> float:
        """Time after which a pledge has certainly expired, by the clock of its owner."""
        return self.term_ms * (1 + self.drift)

    @property
    def lease_wait_ms(self) -> float:
        """Time after which a lease has certainly expired, by the clock of its granter."""
        return self.lease_ms * (1 + self.drift)

    @property
    def request_interval_ms(self) -> float:
        """Minimum time between two requests for the same pledge or lease."""
        return self.lease_ms / 4

    def usable_ms(self, duration_ms: float) -> float:
        """Return how long the borrowing side may use a pledge or lease of a given duration."""
        return duration_ms * (1 - self.drift)
