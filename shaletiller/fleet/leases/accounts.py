"""A member's account of each limit: its own part, what it has pledged of that, and what it has borrowed.

The owner role changes the pledges, the holder role the leases; the resulting quota depends on both.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from shaletiller.fleet.leases.timing import GranterId, LeaseTiming
from shaletiller.fleet.quotas import (
    NO_ALLOWANCE,
    Allowance,
    ExpiringAllowance,
    ExpiringAllowances,
    Quota,
)
from shaletiller.rate_counters import DecayingRate, SlidingWindowSum

# Empirical: how long demand is remembered.  Longer keeps quota at a member whose surge is over, shorter lets
# quota oscillate with each gap between requests.
DEMAND_MEMORY_MS = 400.0
# Empirical: a member keeps, or requests, its demand times this.  More leaves quota unused, less rejects
# requests of a growing load before the next lease arrives.
HEADROOM_FACTOR = 1.25
# A limit without requests for so many terms is forgotten; by then all pledges and leases have long expired.
IDLE_TERMS = 8


@dataclass(slots=True)
class LimitAccount:
    """A member's account of one limit.

    :param limit: the limit of the entire fleet.
    :param own_part: the fixed part that this member owns.
    :param settle_ms: length of the window in which spent units count, 0 for a limit that is a rate.
    :param max_request_units: units of the largest request.
    :param quiet_until_ms: the own part is unavailable until then, as it may be pledged from before.
    :param demand: units requested, rejected requests included.
    """

    limit: Allowance
    own_part: Allowance
    settle_ms: float
    max_request_units: float
    quiet_until_ms: float
    demand: DecayingRate
    pledged: ExpiringAllowances = field(default_factory=ExpiringAllowances)
    pledged_to: GranterId | None = None
    leased: ExpiringAllowances = field(default_factory=ExpiringAllowances)
    last_demand_ms: float = -math.inf
    last_lease_request_ms: float = -math.inf
    last_used_ms: float = 0.0
    published: Quota | None = None
    # Of an `available` limit, what this member may spend while it is partitioned from most of the fleet.
    partitioned_allowance: Allowance = NO_ALLOWANCE
    # Units requested, where `settle_ms` is above 0.
    requested: SlidingWindowSum = field(default_factory=SlidingWindowSum)

    def units_in_window(self, now_ms: float) -> float:
        """Return the units requested in the window of the limit; at most so many were spent in it."""
        return self.requested.within(now_ms, self.settle_ms)

    def needed(self, now_ms: float) -> Allowance:
        """Return what the member would like to have in total, its own part included."""
        if self.settle_ms > 0:
            requested = self.units_in_window(now_ms)
            spare = self.max_request_units if requested > 0 else 0.0
            return Allowance(0.0, min(self.limit.burst, HEADROOM_FACTOR * requested + spare))
        rate = min(self.limit.rate, HEADROOM_FACTOR * self.demand.rate(now_ms))
        burst = self.limit.burst * rate / self.limit.rate if self.limit.rate > 0 else 0.0
        spare = self.max_request_units if rate > 0 else 0.0
        return Allowance(rate, min(self.limit.burst, burst + spare))


class LimitAccounts:
    """All accounts of one member."""

    def __init__(
        self,
        members: int,
        timing: LeaseTiming,
        started_ms: float,
        is_connected: Callable[[], bool],
        on_quota_change: Callable[[str, Quota], None],
    ) -> None:
        """Create the accounts without limits.

        :param members: size of the fleet.
        :param started_ms: start of this process: before it the member may have pledged its own parts.
        :param is_connected: whether most of the fleet is reachable.
        :param on_quota_change: notified of each new quota before any message that relies on it is sent.
        """
        self._members, self._timing, self._started_ms = members, timing, started_ms
        self._is_connected, self._on_quota_change = is_connected, on_quota_change
        self._accounts: dict[str, LimitAccount] = {}
        self.stopped = False

    def __iter__(self) -> Iterator[str]:
        """Iterate over a copy of the limits' names."""
        return iter(list(self._accounts))

    def get(self, limit: str) -> LimitAccount | None:
        """Return the account of a limit, `None` where the limit is not known."""
        return self._accounts.get(limit)

    def open(self, limit: str, allowance: Allowance, settle_ms: float, now_ms: float) -> LimitAccount:
        """Return the account of a limit; a new one where the limit is new or its value has changed.

        :param allowance: the limit of the entire fleet.
        """
        account = self._accounts.get(limit)
        if account is None or account.limit != allowance:
            account = self._accounts[limit] = self._new_account(account, allowance, settle_ms, now_ms)
        return account

    def _new_account(
        self, previous: LimitAccount | None, allowance: Allowance, settle_ms: float, now_ms: float
    ) -> LimitAccount:
        quiet_until_ms = self._started_ms + self._timing.pledge_wait_ms + settle_ms
        account = LimitAccount(
            limit=allowance,
            own_part=allowance.scaled(1 / self._members),
            settle_ms=settle_ms,
            max_request_units=0.0,
            quiet_until_ms=quiet_until_ms,
            demand=DecayingRate(time_constant_ms=DEMAND_MEMORY_MS),
            last_used_ms=now_ms,
        )
        if previous is not None:
            # The limit was reconfigured: what is lent of the old value must expire first.
            account.quiet_until_ms = max(quiet_until_ms, now_ms + self._timing.pledge_wait_ms + settle_ms)
            account.demand, account.max_request_units = previous.demand, previous.max_request_units
        return account

    def own_part(self, account: LimitAccount, when_ms: float) -> Allowance:
        """Return the member's own part less what it has pledged."""
        if when_ms < account.quiet_until_ms or self.stopped:
            return NO_ALLOWANCE
        return account.own_part.minus(account.pledged.at(when_ms - account.settle_ms))

    def quota(self, account: LimitAccount, now_ms: float) -> Quota:
        """Return the own part as it is now, plus each lease until its expiry.

        A later increase of the own part is published as a new quota.
        """
        if self.stopped:
            return Quota()
        own = self.own_part(account, now_ms)
        if account.partitioned_allowance != NO_ALLOWANCE and not self._is_connected():
            own = own.maximum(account.partitioned_allowance)
        expiries = sorted(expiry for expiry in set(account.leased.expiries()) if expiry > now_ms)
        starts = [now_ms, *expiries]
        steps = (
            ExpiringAllowance(expiry, own.plus(account.leased.at(start)))
            for start, expiry in zip(starts, expiries, strict=False)
        )
        return Quota(own, tuple(steps))

    def publish(self, limit: str, account: LimitAccount, now_ms: float) -> None:
        """Notify the gateway of a quota that has changed."""
        quota = self.quota(account, now_ms)
        if quota != account.published:
            account.published = quota
            self._on_quota_change(limit, quota)

    def shortage(self, account: LimitAccount, now_ms: float) -> Allowance | None:
        """Return what the member needs beyond its own part, `None` where that covers the demand."""
        needed, own = account.needed(now_ms), self.own_part(account, now_ms)
        return needed.minus(own) if needed.exceeds(own) else None

    def prune(self, account: LimitAccount, now_ms: float) -> None:
        """Drop expired leases and pledges.

        A pledge counts for `settle_ms` after its expiry: what was lent may have been spent at the last
        moment.
        """
        account.leased.prune(now_ms)
        account.pledged.prune(now_ms - account.settle_ms)

    def close_if_idle(self, limit: str, account: LimitAccount, now_ms: float) -> None:
        """Forget a limit without requests of which nothing is lent or borrowed."""
        idle_ms = now_ms - account.last_used_ms
        is_settled = not account.pledged.entries and not account.leased.entries
        if is_settled and idle_ms > IDLE_TERMS * self._timing.term_ms:
            del self._accounts[limit]

    def stop(self, now_ms: float) -> None:
        """Publish a quota of zero for each limit, now and in the future."""
        self.stopped = True
        for limit, account in self._accounts.items():
            self.publish(limit, account, now_ms)
