"""The holder of leases: requests what a member needs beyond its own share, and records granted leases."""

from __future__ import annotations

from collections.abc import Callable

from shaletiller.fleet.codec import AnyMessage, LeaseGrant, LeaseRequest
from shaletiller.fleet.leases.accounts import IDLE_TERMS, LimitAccount, LimitAccounts
from shaletiller.fleet.leases.election import GranterElection
from shaletiller.fleet.leases.requests import RequestLog
from shaletiller.fleet.leases.timing import LeaseTiming
from shaletiller.fleet.quotas import from_wire, to_wire


class Holder:
    """Requests leases from the granter of each limit."""

    def __init__(
        self,
        accounts: LimitAccounts,
        requests: RequestLog,
        election: GranterElection,
        timing: LeaseTiming,
        send: Callable[[int, AnyMessage], None],
    ) -> None:
        """Create a holder without leases.

        :param accounts: accounts of this member.
        :param requests: log of the requests that this member has sent.
        :param election: determines the granter of each limit.
        :param timing: durations of leases and pledges.
        :param send: sends a message to a member, including this one.
        """
        self._accounts, self._requests, self._election = accounts, requests, election
        self._timing, self._send = timing, send

    def record_demand(self, limit: str, account: LimitAccount, units: float, now_ms: float) -> None:
        """Record a request that is about to spend units, publish the quota, and request a lease if needed."""
        if account.settle_ms > 0:
            account.requested.add(now_ms, units)
        account.demand.add(now_ms, units)
        account.last_demand_ms = account.last_used_ms = now_ms
        self._accounts.publish(limit, account, now_ms)
        # Checked before the shortage is computed: this runs for each request, and is mostly false.
        if self._may_request(account, now_ms):
            self._request_shortage(limit, account, now_ms)

    def renew(self, limit: str, account: LimitAccount, now_ms: float) -> None:
        """Renew the lease if there was recent demand."""
        if now_ms - account.last_demand_ms < IDLE_TERMS * self._timing.term_ms:
            self._request_shortage(limit, account, now_ms)

    def _may_request(self, account: LimitAccount, now_ms: float) -> bool:
        return now_ms - account.last_lease_request_ms >= self._timing.request_interval_ms

    def _request_shortage(self, limit: str, account: LimitAccount, now_ms: float) -> None:
        """Request a lease, unless the own share suffices or a lease was requested recently."""
        shortage = self._accounts.shortage(account, now_ms)
        if shortage is None or not self._may_request(account, now_ms):
            return
        account.last_lease_request_ms = now_ms
        request = LeaseRequest(
            limit,
            self._requests.issue_nonce(now_ms),
            *to_wire(shortage),
            *to_wire(account.limit),
            int(account.settle_ms),
        )
        self._send(self._election.granter_of(limit), request)

    def on_grant(self, grant: LeaseGrant, now_ms: float) -> None:
        """Record a lease; its duration starts when its request was sent.

        A lease that has already expired is ignored.
        """
        account, sent_ms = self._accounts.get(grant.limit), self._requests.sent_ms(grant.nonce)
        if account is None or sent_ms is None:
            return
        expires_ms = sent_ms + self._timing.usable_ms(grant.duration_ms)
        if expires_ms <= now_ms:
            return
        account.leased.add(expires_ms, from_wire(grant.rate, grant.burst))
        self._accounts.publish(grant.limit, account, now_ms)
