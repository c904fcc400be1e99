"""Durations of leases and pledges, and the types that all roles share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from shaletiller.fleet.errors import FleetOptionError

# Empirical: a granter sends each owner about two requests a term.  With more members in the shortest term its
# requests would exceed the budget of messages; with fewer, idle quota would return later than needed.
MEMBERS_PER_SHORTEST_TERM = 20
MIN_LEASE_MS = 100.0  # several round trips: a shorter lease expires before it can be renewed
MAX_DRIFT = 0.2  # far beyond any working clock; above it hardly anything of a lease remains usable


class GranterId(NamedTuple):
    """A granter in one incarnation: a restarted granter has lost its records and is another one."""

    member: int
    incarnation: int


NO_GRANTER = GranterId(0, 0)


@dataclass(slots=True, frozen=True)
class LeaseTiming:
    """Durations in milliseconds.

    Quota moves between gateways within a lease; what was pledged to a granter that crashed returns within a
    term.

    :param term_ms: duration of a pledge.
    :param lease_ms: duration of a lease.
    :param drift: by how much the rate of a clock may differ from true time, as a fraction.
    """

    term_ms: float = 2_000.0
    lease_ms: float = 1_000.0
    drift: float = 0.01

    def __post_init__(self) -> None:
        """Check the durations against each other.

        :raises FleetOptionError: where one is out of range.
        """
        if not self.lease_ms >= MIN_LEASE_MS:
            raise FleetOptionError("lease_ms", f"wants at least {MIN_LEASE_MS:.0f}, got {self.lease_ms}")
        if not self.term_ms >= 2 * self.lease_ms:
            raise FleetOptionError("term_ms", f"wants at least two leases, got {self.term_ms}")
        if not 0 <= self.drift < MAX_DRIFT:
            raise FleetOptionError(
                "drift", f"wants a part of at least 0, under {MAX_DRIFT}, got {self.drift}"
            )

    @classmethod
    def for_members(cls, members: int) -> LeaseTiming:
        """Return a timing whose term grows with the fleet, so that a granter's request rate does not."""
        return cls(term_ms=cls().term_ms * max(1.0, members / MEMBERS_PER_SHORTEST_TERM))

    @property
    def pledge_wait_ms(self) -> float:
        """How long an owner waits until a pledge has certainly expired."""
        return self.term_ms * (1 + self.drift)

    @property
    def lease_wait_ms(self) -> float:
        """How long a granter waits until a lease has certainly expired."""
        return self.lease_ms * (1 + self.drift)

    @property
    def request_interval_ms(self) -> float:
        """Minimum time between two requests for the same quota."""
        return self.lease_ms / 4

    def usable_ms(self, duration_ms: float) -> float:
        """Return how long the receiving side may use what was given for a duration."""
        return duration_ms * (1 - self.drift)
