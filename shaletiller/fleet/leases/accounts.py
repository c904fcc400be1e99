"""A member's account of each limit: its own share, its pledges of that share, and its leases.

The owner role changes the pledges and the holder role changes the leases; the quota results from both.
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

# Time over which demand is averaged.  A larger value keeps quota at a member after a surge of its load; with
# a smaller value, quota oscillates with each gap between requests.
DEMAND_MEMORY_MS = 400.0
# Ratio of the quota that a member keeps or requests to its demand.  A larger value leaves quota unused; with
# a smaller value, requests of a growing load are rejected before the next lease arrives.
HEADROOM_FACTOR = 1.25
# Number of terms without requests after which a limit is dropped.  By then all its pledges and leases have
# expired.
IDLE_TERMS = 8


@dataclass(slots=True)
class LimitAccount:
    """A member's account of one limit.

    :param limit: limit of the entire fleet.
    :param own_share: fixed share of the limit that this member owns.
    :param settle_ms: length of the window in which spent units count, or 0 for a rate limit.
    :param max_request_units: number of units of the largest request.
    :param unavailable_until_ms: time before which the own share is unavailable, because it may still be
        pledged.
    :param demand: rate of the units requested, including rejected requests.
    :param pledged: allowances that this member has pledged.
    :param pledged_to: granter that received the latest pledge.
    :param leased: allowances that are leased to this member.
    :param published: quota that the gateway was last notified of.
    :param partitioned_allowance: allowance of an `available` limit while this member is partitioned from the
        majority of the fleet.
    :param requested: units requested in the window, if `settle_ms` is above 0.
    """

    limit: Allowance
    own_share: Allowance
    settle_ms: float
    max_request_units: float
    unavailable_until_ms: float
    demand: DecayingRate
    pledged: ExpiringAllowances = field(default_factory=ExpiringAllowances)
    pledged_to: GranterId | None = None
    leased: ExpiringAllowances = field(default_factory=ExpiringAllowances)
    last_demand_ms: float = -math.inf
    last_lease_request_ms: float = -math.inf
    last_used_ms: float = 0.0
    published: Quota | None = None
    partitioned_allowance: Allowance = NO_ALLOWANCE
    requested: SlidingWindowSum = field(default_factory=SlidingWindowSum)

    def units_in_window(self, now_ms: float) -> float:
        """Return the units requested in the window of the limit, an upper bound of the units spent in it."""
        return self.requested.within(now_ms, self.settle_ms)

    def needed(self, now_ms: float) -> Allowance:
        """Return the allowance that the member needs in total, including its own share."""
        if self.settle_ms > 0:
            requested = self.units_in_window(now_ms)
            spare = self.max_request_units if requested > 0 else 0.0
            return Allowance(0.0, min(self.limit.burst, HEADROOM_FACTOR * requested + spare))
        rate = min(self.limit.rate, HEADROOM_FACTOR * self.demand.rate(now_ms))
        burst = self.limit.burst * rate / self.limit.rate if self.limit.rate > 0 else 0.0
        spare = self.max_request_units if rate > 0 else 0.0
        return Allowance(rate, min(self.limit.burst, burst + spare))


class LimitAccounts:
    """The accounts of all limits at one member."""

    def __init__(
        self,
        members: int,
        timing: LeaseTiming,
        started_ms: float,
        is_connected: Callable[[], bool],
        on_quota_change: Callable[[str, Quota], None],
    ) -> None:
        """Create an empty set of accounts.

        :param members: number of members of the fleet.
        :param timing: durations of leases and pledges.
        :param started_ms: start time of this process; an earlier process may have pledged this member's
            shares.
        :param is_connected: returns whether the majority of the fleet is reachable.
        :param on_quota_change: called with each new quota, before any message that relies on it is sent.
        """
        self._members, self._timing, self._started_ms = members, timing, started_ms
        self._is_connected, self._on_quota_change = is_connected, on_quota_change
        self._accounts: dict[str, LimitAccount] = {}
        self.stopped = False

    def __iter__(self) -> Iterator[str]:
        """Iterate over a copy of the names of the limits."""
        return iter(list(self._accounts))

    def get(self, limit: str) -> LimitAccount | None:
        """Return the account of a limit, or `None` if the limit is unknown."""
        return self._accounts.get(limit)

    def open(self, limit: str, allowance: Allowance, settle_ms: float, now_ms: float) -> LimitAccount:
        """Return the account of a limit, creating it if the limit is new or its value has changed.

        :param allowance: limit of the entire fleet.
        :param settle_ms: length of the window in which spent units count, or 0 for a rate limit.
        """
        account = self._accounts.get(limit)
        if account is None or account.limit != allowance:
            account = self._accounts[limit] = self._new_account(account, allowance, settle_ms, now_ms)
        return account

    def _new_account(
        self, previous: LimitAccount | None, allowance: Allowance, settle_ms: float, now_ms: float
    ) -> LimitAccount:
        unavailable_until_ms = self._started_ms + self._timing.pledge_wait_ms + settle_ms
        account = LimitAccount(
            limit=allowance,
            own_share=allowance.scaled(1 / self._members),
            settle_ms=settle_ms,
            max_request_units=0.0,
            unavailable_until_ms=unavailable_until_ms,
            demand=DecayingRate(time_constant_ms=DEMAND_MEMORY_MS),
            last_used_ms=now_ms,
        )
        if previous is not None:
            # The limit was reconfigured: pledges and leases of the old value must expire first.
            account.unavailable_until_ms = max(
                unavailable_until_ms, now_ms + self._timing.pledge_wait_ms + settle_ms
            )
            account.demand, account.max_request_units = previous.demand, previous.max_request_units
        return account

    def available_share(self, account: LimitAccount, when_ms: float) -> Allowance:
        """Return the member's own share minus its pledges."""
        if when_ms < account.unavailable_until_ms or self.stopped:
            return NO_ALLOWANCE
        return account.own_share.minus(account.pledged.at(when_ms - account.settle_ms))

    def quota(self, account: LimitAccount, now_ms: float) -> Quota:
        """Return the currently available own share, plus each lease until it expires.

        If more of the own share becomes available later, it is published as a new quota.
        """
        if self.stopped:
            return Quota()
        own = self.available_share(account, now_ms)
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
        """Notify the gateway of the quota if it has changed."""
        quota = self.quota(account, now_ms)
        if quota != account.published:
            account.published = quota
            self._on_quota_change(limit, quota)

    def shortage(self, account: LimitAccount, now_ms: float) -> Allowance | None:
        """Return what the member needs beyond its own share, or `None` if that covers the demand."""
        needed, own = account.needed(now_ms), self.available_share(account, now_ms)
        return needed.minus(own) if needed.exceeds(own) else None

    def prune(self, account: LimitAccount, now_ms: float) -> None:
        """Drop expired leases and pledges.

        A pledge is kept for `settle_ms` after its expiry, because the lent units may have been spent at the
        end of the lease.
        """
        account.leased.prune(now_ms)
        account.pledged.prune(now_ms - account.settle_ms)

    def close_if_idle(self, limit: str, account: LimitAccount, now_ms: float) -> None:
        """Drop the account of a limit that has no requests, pledges or leases."""
        idle_ms = now_ms - account.last_used_ms
        is_settled = not account.pledged.entries and not account.leased.entries
        if is_settled and idle_ms > IDLE_TERMS * self._timing.term_ms:
            del self._accounts[limit]

    def stop(self, now_ms: float) -> None:
        """Publish a quota of zero for each limit; all later quotas are zero too."""
        self.stopped = True
        for limit, account in self._accounts.items():
            self.publish(limit, account, now_ms)
