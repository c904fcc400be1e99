"""The owner of a fixed share of each limit: pledges the idle portion to the granter of the limit."""

from __future__ import annotations

from collections.abc import Callable

from shaletiller.fleet.codec import AnyMessage, Pledge, PledgeRequest
from shaletiller.fleet.leases.accounts import LimitAccount, LimitAccounts
from shaletiller.fleet.leases.election import GranterElection
from shaletiller.fleet.leases.timing import GranterId, LeaseTiming
from shaletiller.fleet.quotas import Allowance, from_wire, to_wire

# Fraction of its own share that an idle member keeps.  With a smaller value, more of the first requests of a
# surge have to wait for a lease; a larger value stays unused at each idle member.
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

        :param accounts: accounts of this member.
        :param election: determines the granter of each limit.
        :param timing: durations of leases and pledges.
        :param send: sends a message to a member, including this one.
        """
        self._accounts, self._election, self._timing, self._send = accounts, election, timing, send

    def on_pledge_request(self, granter: GranterId, request: PledgeRequest, now_ms: float) -> None:
        """Pledge the idle portion, unless another granter or incarnation may still lend it out."""
        limit = from_wire(request.limit_rate, request.limit_burst)
        if self._is_configured_otherwise(request.limit, limit, now_ms):
            return
        account = self._accounts.open(request.limit, limit, float(request.settle_ms), now_ms)
        account.last_used_ms = now_ms
        if self._accounts.stopped or now_ms < account.unavailable_until_ms:
            return
        may_pledge = self._has_fenced(account, request) or self._may_pledge(account, granter, now_ms)
        if may_pledge and self._election.granter_of(request.limit) == granter.member:
            self._pledge(account, granter, request, now_ms)

    def _is_configured_otherwise(self, limit: str, allowance: Allowance, now_ms: float) -> bool:
        """Return whether recent requests at this member counted against another value of the limit.

        Without this check, during the rollout of a new value the messages with the old and with the new value
        would keep replacing the account.
        """
        account = self._accounts.get(limit)
        if account is None or account.limit == allowance:
            return False
        return now_ms - account.last_demand_ms < self._timing.pledge_wait_ms

    @staticmethod
    def _has_fenced(account: LimitAccount, request: PledgeRequest) -> bool:
        """Return whether the requesting granter has fenced the granter that holds this member's pledges."""
        previous = GranterId(request.previous_granter, request.previous_granter_incarnation)
        return previous.incarnation > 0 and account.pledged_to == previous

    def _may_pledge(self, account: LimitAccount, granter: GranterId, now_ms: float) -> bool:
        """Return whether all pledges to other granters have expired, so that they can no longer be lent."""
        if account.pledged_to == granter:
            return True
        return now_ms >= account.pledged.last_expiry() + account.settle_ms

    def _pledge(
        self, account: LimitAccount, granter: GranterId, request: PledgeRequest, now_ms: float
    ) -> None:
        rate, burst = to_wire(account.own_share.minus(self._reserved(account, now_ms)))
        account.pledged_to = granter
        account.pledged.add(now_ms + self._timing.pledge_wait_ms, from_wire(rate, burst))
        # Published before the pledge is sent, because this member must not spend what may be lent out.
        self._accounts.publish(request.limit, account, now_ms)
        pledge = Pledge(request.limit, request.nonce, rate, burst, int(self._timing.term_ms))
        self._send(granter.member, pledge)

    @staticmethod
    def _reserved(account: LimitAccount, now_ms: float) -> Allowance:
        """Return the portion of its own share that the member keeps."""
        spent = account.units_in_window(now_ms)
        minimum = Allowance(
            RESERVED_FRACTION * account.own_share.rate,
            max(spent, min(account.max_request_units, account.own_share.burst)),
        )
        return minimum.maximum(account.needed(now_ms))
