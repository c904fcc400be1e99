"""The owner of a fixed part of each limit: pledges the idle portion to the limit's granter."""

from __future__ import annotations

from collections.abc import Callable

from shaletiller.fleet.codec import AnyMessage, Pledge, PledgeRequest
from shaletiller.fleet.leases.accounts import LimitAccount, LimitAccounts
from shaletiller.fleet.leases.election import GranterElection
from shaletiller.fleet.leases.timing import GranterId, LeaseTiming
from shaletiller.fleet.quotas import Allowance, from_wire, to_wire

# Empirical: fraction of its own part that an idle member keeps, so that the first requests of a surge need
# not wait for a lease.  A larger fraction lies unused at every idle member.
RESERVED_FRACTION = 0.02


class Owner:
    """Answers pledge requests of granters."""

    def __init__(
        self,
        accounts: LimitAccounts,
        election: GranterElection,
        timing: LeaseTiming,
        send: Callable[[int, AnyMessage], None],
    ) -> None:
        """Create an owner without pledges.

        :param send: sends a message to a member, this one included.
        """
        self._accounts, self._election, self._timing, self._send = accounts, election, timing, send

    def on_pledge_request(self, granter: GranterId, request: PledgeRequest, now_ms: float) -> None:
        """Pledge what is idle, unless it may still be lent out by another granter or incarnation of it."""
        limit = from_wire(request.limit_rate, request.limit_burst)
        if self._is_configured_otherwise(request.limit, limit, now_ms):
            return
        account = self._accounts.open(request.limit, limit, float(request.settle_ms), now_ms)
        account.last_used_ms = now_ms
        if self._accounts.stopped or now_ms < account.quiet_until_ms:
            return
        may_pledge = self._has_fenced(account, request) or self._may_pledge(account, granter, now_ms)
        if may_pledge and self._election.granter_of(request.limit) == granter.member:
            self._pledge(account, granter, request, now_ms)

    def _is_configured_otherwise(self, limit: str, allowance: Allowance, now_ms: float) -> bool:
        """Whether requests here count against another value of the limit.

        During a rollout of a new value the two would otherwise replace each other's account at every message.
        """
        account = self._accounts.get(limit)
        if account is None or account.limit == allowance:
            return False
        return now_ms - account.last_demand_ms < self._timing.pledge_wait_ms

    @staticmethod
    def _has_fenced(account: LimitAccount, request: PledgeRequest) -> bool:
        """Whether the granter has fenced, by its lease table, the one to which pledges are outstanding."""
        previous = GranterId(request.previous_granter, request.previous_granter_incarnation)
        return previous.incarnation > 0 and account.pledged_to == previous

    def _may_pledge(self, account: LimitAccount, granter: GranterId, now_ms: float) -> bool:
        """Whether no other granter may still lend out what was pledged to it."""
        if account.pledged_to == granter:
            return True
        return now_ms >= account.pledged.last_expiry() + account.settle_ms

    def _pledge(
        self, account: LimitAccount, granter: GranterId, request: PledgeRequest, now_ms: float
    ) -> None:
        rate, burst = to_wire(account.own_part.minus(self._reserved(account, now_ms)))
        account.pledged_to = granter
        account.pledged.add(now_ms + self._timing.pledge_wait_ms, from_wire(rate, burst))
        # Before the pledge is sent: from the moment at which it may be lent out, this member must not spend
        # it.
        self._accounts.publish(request.limit, account, now_ms)
        pledge = Pledge(request.limit, request.nonce, rate, burst, int(self._timing.term_ms))
        self._send(granter.member, pledge)

    @staticmethod
    def _reserved(account: LimitAccount, now_ms: float) -> Allowance:
        """Return what the member keeps for itself."""
        spent = account.units_in_window(now_ms)
        minimum = Allowance(
            RESERVED_FRACTION * account.own_part.rate,
            max(spent, min(account.max_request_units, account.own_part.burst)),
        )
        return minimum.maximum(account.needed(now_ms))
