"""The holder of leases: requests what a member needs beyond its own part, and records what is granted."""

from __future__ import annotations

from collections.abc import Callable

from shaletiller.fleet.codec import AnyMessage, LeaseGrant, LeaseRequest
from shaletiller.fleet.leases.accounts import IDLE_TERMS, LimitAccount, LimitAccounts
from shaletiller.fleet.leases.election import GranterElection
from shaletiller.fleet.leases.requests import RequestLog
from shaletiller.fleet.leases.timing import LeaseTiming
from shaletiller.fleet.quotas import from_wire, to_wire


class Holder:
    """Borrows from the granter of each limit."""

    def __init__(
        self,
        accounts: LimitAccounts,
        requests: RequestLog,
        election: GranterElection,
        timing: LeaseTiming,
        send: Callable[[int, AnyMessage], None],
    ) -> None:
        """Create a holder without leases.

        :param send: sends a message to a member, this one included.
        """
        self._accounts, self._requests, self._election = accounts, requests, election
        self._timing, self._send = timing, send

    def record_demand(self, limit: str, account: LimitAccount, units: float, now_ms: float) -> None:
        """Count a request that is about to spend, publish the quota, and borrow where it does not suffice."""
        if account.settle_ms > 0:
            account.requested.add(now_ms, units)
        account.demand.add(now_ms, units)
        account.last_demand_ms = account.last_used_ms = now_ms
        self._accounts.publish(limit, account, now_ms)
        if self._may_request(account, now_ms):  # first: on the path of each request it is mostly false
            self._request_shortage(limit, account, now_ms)

    def renew(self, limit: str, account: LimitAccount, now_ms: float) -> None:
        """Request again what recent demand needs."""
        if now_ms - account.last_demand_ms < IDLE_TERMS * self._timing.term_ms:
            self._request_shortage(limit, account, now_ms)

    def _may_request(self, account: LimitAccount, now_ms: float) -> bool:
        return now_ms - account.last_lease_request_ms >= self._timing.request_interval_ms

    def _request_shortage(self, limit: str, account: LimitAccount, now_ms: float) -> None:
        """Request a lease, unless the own part suffices or a request was just sent."""
        shortage = self._accounts.shortage(account, now_ms)
        if shortage is None or not self._may_request(account, now_ms):
            return
        account.last_lease_request_ms = now_ms
        request = LeaseRequest(
            limit,
            self._requests.issue(now_ms),
            *to_wire(shortage),
            *to_wire(account.limit),
            int(account.settle_ms),
        )
        self._send(self._election.granter_of(limit), request)

    def on_grant(self, grant: LeaseGrant, now_ms: float) -> None:
        """Record a lease, from the sending of its request on; one that has expired already is ignored."""
        account, sent_ms = self._accounts.get(grant.limit), self._requests.sent_ms(grant.nonce)
        if account is None or sent_ms is None:
            return
        expires_ms = sent_ms + self._timing.usable_ms(grant.duration_ms)
        if expires_ms <= now_ms:
            return
        account.leased.add(expires_ms, from_wire(grant.rate, grant.burst))
        self._accounts.publish(grant.limit, account, now_ms)
