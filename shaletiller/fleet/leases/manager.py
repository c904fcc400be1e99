"""One interface for the three roles of a member in the lease protocol: owner, holder and granter."""

from __future__ import annotations

from collections.abc import Callable

from shaletiller.fleet.codec import AnyMessage, LeaseMessage, LeaseRequest, Pledge, PledgeRequest
from shaletiller.fleet.leases.accounts import LimitAccounts
from shaletiller.fleet.leases.election import GranterElection
from shaletiller.fleet.leases.granter import Granter, LeaseTable, PoolTotals
from shaletiller.fleet.leases.holder import Holder
from shaletiller.fleet.leases.owner import Owner
from shaletiller.fleet.leases.requests import RequestLog
from shaletiller.fleet.leases.timing import GranterId, LeaseTiming
from shaletiller.fleet.quotas import NO_ALLOWANCE, Allowance, Quota, from_wire, to_wire


class LeaseManager:
    """Manages the quotas of one member, and the pools of the limits that it grants."""

    def __init__(
        self,
        me: int,
        members: int,
        timing: LeaseTiming,
        started_ms: float,
        send: Callable[[int, AnyMessage], None],
        alive: Callable[[], tuple[int, ...]],
        on_quota_change: Callable[[str, Quota], None],
        is_connected: Callable[[], bool] = lambda: True,
    ) -> None:
        """Create the three roles of a member without quotas.

        :param me: number of this member.
        :param members: number of members of the fleet.
        :param timing: durations of leases and pledges.
        :param started_ms: start time of this process.
        :param send: sends a message to a member, including this one.
        :param alive: returns the members alive; it must return the same object until the membership changes.
        :param on_quota_change: called with each new quota, before any message that relies on it is sent.
        :param is_connected: returns whether the majority of the fleet is reachable.
        """
        self._timing = timing
        self._requests = RequestLog()
        self._election = GranterElection(me, alive)
        self._accounts = LimitAccounts(members, timing, started_ms, is_connected, on_quota_change)
        self._owner = Owner(self._accounts, self._election, timing, send)
        self._holder = Holder(self._accounts, self._requests, self._election, timing, send)
        self._granter = Granter(members, self._requests, self._election, timing, send)
        self._ticked_ms = 0.0

    def use_table(self, table: LeaseTable) -> None:
        """Replicate the lease tables of this granter; must be called before the first message is received."""
        self._granter.use_table(table)

    def record_demand(
        self,
        limit: str,
        allowance: Allowance,
        units: float,
        max_request_units: float,
        now_ms: float,
        settle_ms: float = 0.0,
        partitioned_allowance: Allowance = NO_ALLOWANCE,
    ) -> None:
        """Record that a request is about to spend units of a limit; publish the quota if the limit is new.

        :param limit: name of the limit.
        :param allowance: limit of the entire fleet.
        :param units: number of units of the request.
        :param max_request_units: number of units of the largest request.
        :param settle_ms: length of the window in which spent units count, or 0 for a rate limit.
        :param partitioned_allowance: allowance of an `available` limit while this member is partitioned from
            the majority of the fleet; none for a `strict` limit.
        """
        # Rounded as in messages, because accounts compare it with the values of received messages.
        transmitted = from_wire(*to_wire(allowance))
        account = self._accounts.open(limit, transmitted, settle_ms, now_ms)
        account.max_request_units = max(account.max_request_units, max_request_units)
        account.partitioned_allowance = partitioned_allowance
        self._holder.record_demand(limit, account, units, now_ms)

    def quota(self, limit: str, now_ms: float) -> Quota:
        """Return this member's quota of a limit."""
        account = self._accounts.get(limit)
        return self._accounts.quota(account, now_ms) if account is not None else Quota()

    def limits(self) -> list[str]:
        """Return the names of the limits that have an account at this member."""
        return list(self._accounts)

    def granter_of(self, limit: str) -> int:
        """Return the granter of a limit in this member's view of the membership."""
        return self._election.granter_of(limit)

    def granted_totals(self) -> dict[str, PoolTotals]:
        """Return the totals of pledges and leases at the last tick, by limit that this member grants."""
        return self._granter.totals(self._ticked_ms)

    @property
    def stopped(self) -> bool:
        """Whether `stop` was called, so that all quotas are zero."""
        return self._accounts.stopped

    def tick(self, now_ms: float) -> None:
        """Expire, publish and renew quotas; must be called several times in each `request_interval_ms`."""
        self._ticked_ms = now_ms
        self._requests.prune(now_ms - 2 * self._timing.pledge_wait_ms)
        for limit in self._accounts:
            account = self._accounts.get(limit)
            if account is not None:
                self._accounts.prune(account, now_ms)
                self._accounts.publish(limit, account, now_ms)
                self._holder.renew(limit, account, now_ms)
                self._accounts.close_if_idle(limit, account, now_ms)
        self._granter.tick(now_ms)

    def receive(self, sender: int, incarnation: int, message: LeaseMessage, now_ms: float) -> None:
        """Handle a message from an incarnation of a member."""
        if isinstance(message, LeaseRequest):
            self._granter.on_lease_request(sender, message, now_ms)
        elif isinstance(message, PledgeRequest):
            self._owner.on_pledge_request(GranterId(sender, incarnation), message, now_ms)
        elif isinstance(message, Pledge):
            self._granter.on_pledge(GranterId(sender, incarnation), message, now_ms)
        else:
            self._holder.on_grant(message, now_ms)

    def on_table_acquired(
        self, limit: str, previous: GranterId | None, leased: Allowance, written_ms: float, now_ms: float
    ) -> None:
        """Adopt a replicated lease table, see `Granter.on_table_acquired`."""
        self._granter.on_table_acquired(limit, previous, leased, written_ms, now_ms)

    def on_table_written(self, limit: str, is_written: bool, now_ms: float) -> None:
        """Complete a write of a replicated lease table, see `Granter.on_table_written`."""
        self._granter.on_table_written(limit, is_written, now_ms)

    def stop(self, now_ms: float) -> None:
        """Set all quotas to zero, because the process ends or a newer process runs as this member."""
        self._granter.stop()
        self._accounts.stop(now_ms)
