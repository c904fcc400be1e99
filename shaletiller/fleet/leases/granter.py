"""The granter of a limit: collects pledges from owners and leases them to holders.

If lease tables are replicated, a grant is sent only after the table that contains it has been written.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from shaletiller.fleet.codec import AnyMessage, LeaseGrant, LeaseRequest, Pledge, PledgeRequest
from shaletiller.fleet.leases.accounts import IDLE_TERMS
from shaletiller.fleet.leases.election import GranterElection
from shaletiller.fleet.leases.fair_share import max_min_share
from shaletiller.fleet.leases.requests import RequestLog
from shaletiller.fleet.leases.timing import NO_GRANTER, GranterId, LeaseTiming
from shaletiller.fleet.quotas import NO_ALLOWANCE, Allowance, ExpiringAllowances, from_wire, to_wire

# Maximum difference between the clocks of two gateways if lease tables are replicated, because the leases of
# a predecessor are dated by its clock.  It is far above the error of time synchronization.
MAX_CLOCK_SKEW_MS = 1_000.0
# Holder number for the leases of a granter's predecessor; no member has this number.
PREDECESSOR_HOLDER = -1
# Ratio of the collected pledges to the requested rate.  A larger value sends more pledge requests than
# needed; with a smaller value, holders receive too little when demand grows before the next round.
COLLECTION_MARGIN = 1.1
# A pledge is renewed when it outlasts a lease granted now by less than this fraction of a term.
PLEDGE_RENEWAL_TERMS = 0.25
# Number of request intervals for which a lease request counts in the fair allocation; two requests may be
# lost.
REQUEST_MEMORY_INTERVALS = 3


class LeaseTable(Protocol):
    """Replicates the totals that granters have leased.

    It reports results by `LeaseManager.on_table_acquired` and `LeaseManager.on_table_written`.
    """

    def take_over(self, limit: str) -> None:
        """Write the table of a limit in this granter's name, which fences the previous granter."""

    def write(self, limit: str, leased: Allowance) -> None:
        """Write the total amount of a limit that this granter has leased."""


class PoolTotals(NamedTuple):
    """Total amounts of one limit that are pledged and leased."""

    pledged: Allowance
    leased: Allowance


class _Demand(NamedTuple):
    allowance: Allowance
    received_ms: float


class _UnsentGrant(NamedTuple):
    holder: int
    grant: LeaseGrant


@dataclass(slots=True)
class _TableState:
    """State of the replicated lease table of one limit.

    :param is_acquired: whether the table has been written in this granter's name.
    :param is_acquiring: whether a take-over is in flight.
    :param previous_granter: granter that was fenced by the take-over.
    :param writing: grants in the table that is being written, to be sent once it is replicated.
    :param queued: grants for the next write.
    """

    is_acquired: bool = False
    is_acquiring: bool = False
    previous_granter: GranterId = NO_GRANTER
    writing: list[_UnsentGrant] = field(default_factory=list)
    queued: list[_UnsentGrant] = field(default_factory=list)


@dataclass(slots=True)
class LimitPool:
    """Pledges and leases of one limit at its granter.

    :param limit: limit of the entire fleet.
    :param settle_ms: length of the window in which spent units count, or 0 for a rate limit.
    :param pledged: pledges, by owner.
    :param owner_incarnations: incarnation whose pledges are recorded, by owner.
    :param demands: latest lease request, by holder.
    :param leased: leases, by holder.
    :param pledge_requested_ms: time of the last pledge request, by owner.
    :param last_request_ms: time of the last lease request.
    :param table: state of the replicated lease table.
    """

    limit: Allowance
    settle_ms: float
    pledged: dict[int, ExpiringAllowances] = field(default_factory=dict)
    owner_incarnations: dict[int, int] = field(default_factory=dict)
    demands: dict[int, _Demand] = field(default_factory=dict)
    leased: dict[int, ExpiringAllowances] = field(default_factory=dict)
    pledge_requested_ms: dict[int, float] = field(default_factory=dict)
    last_request_ms: float = -math.inf
    table: _TableState = field(default_factory=_TableState)

    def last_pledge_rate(self, owner: int) -> float:
        """Return the rate of an owner's recorded pledges, including expired ones."""
        pledges = self.pledged.get(owner)
        return pledges.at(-math.inf).rate if pledges is not None else 0.0


class Granter:
    """Manages the pools of the limits that this member grants."""

    def __init__(
        self,
        members: int,
        requests: RequestLog,
        election: GranterElection,
        timing: LeaseTiming,
        send: Callable[[int, AnyMessage], None],
    ) -> None:
        """Create a granter without pools.

        :param members: number of members of the fleet.
        :param requests: log of the requests that this member has sent.
        :param election: determines the granter of each limit.
        :param timing: durations of leases and pledges.
        :param send: sends a message to a member, including this one.
        """
        self._members, self._requests, self._election = members, requests, election
        self._timing, self._send = timing, send
        self._pools: dict[str, LimitPool] = {}
        self._stopped = False
        self._table: LeaseTable | None = None

    def use_table(self, table: LeaseTable) -> None:
        """Replicate lease tables from now on; must be called before the first message is received."""
        self._table = table

    def totals(self, when_ms: float) -> dict[str, PoolTotals]:
        """Return the totals of pledges and leases in force at a time, by limit."""
        return {
            limit: PoolTotals(self._sum(pool.pledged, when_ms), self._sum(pool.leased, when_ms))
            for limit, pool in self._pools.items()
        }

    def tick(self, now_ms: float) -> None:
        """Renew pledges, and drop limits without recent lease requests."""
        for limit, pool in list(self._pools.items()):
            if self._table is None or pool.table.is_acquired:
                self._collect_pledges(limit, pool, now_ms)
            if now_ms - pool.last_request_ms > IDLE_TERMS * self._timing.term_ms:
                del self._pools[limit]

    def stop(self) -> None:
        """Stop granting leases."""
        self._stopped = True
        self._pools.clear()

    def on_lease_request(self, holder: int, request: LeaseRequest, now_ms: float) -> None:
        """Record the demand of a holder, and lease the available portion of its fair share."""
        if self._stopped:
            return
        pool = self._pool(request)
        pool.demands[holder] = _Demand(from_wire(request.rate, request.burst), now_ms)
        pool.last_request_ms = now_ms
        if self._table is not None and not pool.table.is_acquired:
            self._take_over(request.limit, pool, self._table)
            return
        self._collect_pledges(request.limit, pool, now_ms)
        allowance = self._allocate(pool, holder, now_ms)
        if allowance != NO_ALLOWANCE:
            self._grant(holder, request, pool, allowance, now_ms)

    def on_pledge(self, owner: GranterId, pledge: Pledge, now_ms: float) -> None:
        """Record a pledge; its duration starts when its request was sent.

        :param owner: the pledging member and its incarnation; pledges of older incarnations are ignored.
        """
        pool, sent_ms = self._pools.get(pledge.limit), self._requests.sent_ms(pledge.nonce)
        if pool is None or sent_ms is None:
            return
        expires_ms = sent_ms + self._timing.usable_ms(min(pledge.duration_ms, self._timing.term_ms))
        if pool.owner_incarnations.get(owner.member, 0) > owner.incarnation or expires_ms <= now_ms:
            return
        pool.owner_incarnations[owner.member] = owner.incarnation
        pledges = pool.pledged.setdefault(owner.member, ExpiringAllowances())
        pledges.add(expires_ms, from_wire(pledge.rate, pledge.burst))

    def _pool(self, request: LeaseRequest) -> LimitPool:
        """Return the pool of a limit, creating it if the limit is new or its value has changed."""
        limit = from_wire(request.limit_rate, request.limit_burst)
        pool = self._pools.get(request.limit)
        if pool is None or pool.limit != limit:
            pool = self._pools[request.limit] = LimitPool(limit, float(request.settle_ms))
        return pool

    def _grant(
        self, holder: int, request: LeaseRequest, pool: LimitPool, allowance: Allowance, now_ms: float
    ) -> None:
        leases = pool.leased.setdefault(holder, ExpiringAllowances())
        leases.prune(now_ms)
        rate, burst = to_wire(allowance)
        leases.add(self._lease_end_ms(now_ms) + pool.settle_ms, from_wire(rate, burst))
        grant = LeaseGrant(request.limit, request.nonce, rate, burst, int(self._timing.lease_ms))
        if self._table is None:
            self._send(holder, grant)
        else:
            pool.table.queued.append(_UnsentGrant(holder, grant))
            self._write_table(request.limit, pool, now_ms)

    def _lease_end_ms(self, now_ms: float) -> float:
        """Return the time by this member's clock at which a lease granted now has certainly expired."""
        return now_ms + self._timing.lease_wait_ms

    @staticmethod
    def _sum(allowances_by_member: dict[int, ExpiringAllowances], when_ms: float) -> Allowance:
        total = NO_ALLOWANCE
        for allowances in allowances_by_member.values():
            total = total.plus(allowances.at(when_ms))
        return total

    def _allocate(self, pool: LimitPool, holder: int, now_ms: float) -> Allowance:
        """Return the portion of a holder's max-min fair share that is available for an entire lease."""
        others = {number: leases for number, leases in pool.leased.items() if number != holder}
        pledged = Allowance(math.inf, math.inf)
        free = Allowance(math.inf, math.inf)
        for when_ms in self._change_times(pool, now_ms):
            pledged_then = self._sum(pool.pledged, when_ms)
            pledged = pledged.minimum(pledged_then)
            free = free.minimum(pledged_then.minus(self._sum(others, when_ms)))
        recent_ms = REQUEST_MEMORY_INTERVALS * self._timing.request_interval_ms
        demands = {n: d.allowance for n, d in pool.demands.items() if now_ms - d.received_ms < recent_ms}
        rate = max_min_share(pledged.rate, {n: demand.rate for n, demand in demands.items()}, holder)
        burst = max_min_share(pledged.burst, {n: demand.burst for n, demand in demands.items()}, holder)
        return free.minimum(Allowance(rate, burst))

    def _change_times(self, pool: LimitPool, now_ms: float) -> list[float]:
        """Return now and the expiry times of pledges and leases during a lease granted now."""
        end_ms = self._lease_end_ms(now_ms)
        times = {now_ms}
        for allowances in (*pool.pledged.values(), *pool.leased.values()):
            times.update(expiry for expiry in allowances.expiries() if now_ms < expiry < end_ms)
        return sorted(times)

    def _collect_pledges(self, limit: str, pool: LimitPool, now_ms: float) -> None:
        """Request pledges from as many owners as are needed to cover the current demand."""
        demand = self._total_demand(pool, now_ms)
        if demand == NO_ALLOWANCE or self._election.granter_of(limit) != self._election.me:
            return
        own_share = pool.limit.scaled(1 / self._members)
        expected = NO_ALLOWANCE
        for owner in self._owners_by_pledge(pool):
            if expected.rate >= COLLECTION_MARGIN * demand.rate and expected.burst >= demand.burst:
                return
            pledges = pool.pledged.setdefault(owner, ExpiringAllowances())
            pledges.prune(now_ms)
            expected = expected.plus(pledges.at(now_ms) if pledges.entries else own_share)
            self._renew_pledge(limit, pool, owner, now_ms)

    def _total_demand(self, pool: LimitPool, now_ms: float) -> Allowance:
        """Return the total demand of all holders, and drop requests older than a lease."""
        total = NO_ALLOWANCE
        for holder, demand in list(pool.demands.items()):
            if now_ms - demand.received_ms > self._timing.lease_ms:
                del pool.demands[holder]
            else:
                total = total.plus(demand.allowance)
        return total

    def _owners_by_pledge(self, pool: LimitPool) -> list[int]:
        """Return the members alive by descending rate of their last pledges, with this member last."""
        me = self._election.me
        others = [member for member in self._election.alive() if member != me]
        return [*sorted(others, key=lambda member: (-pool.last_pledge_rate(member), member)), me]

    def _renew_pledge(self, limit: str, pool: LimitPool, owner: int, now_ms: float) -> None:
        """Request a pledge, unless the current one lasts long enough or was requested recently."""
        due_ms = self._lease_end_ms(now_ms) + self._timing.term_ms * PLEDGE_RENEWAL_TERMS
        requested_ms = pool.pledge_requested_ms.get(owner, -math.inf)
        if (
            pool.pledged[owner].last_expiry() >= due_ms
            or now_ms - requested_ms < self._timing.request_interval_ms
        ):
            return
        pool.pledge_requested_ms[owner] = now_ms
        request = PledgeRequest(
            limit,
            self._requests.issue_nonce(now_ms),
            *to_wire(pool.limit),
            int(pool.settle_ms),
            *pool.table.previous_granter,
        )
        self._send(owner, request)

    def _take_over(self, limit: str, pool: LimitPool, table: LeaseTable) -> None:
        if not pool.table.is_acquiring and self._election.granter_of(limit) == self._election.me:
            pool.table.is_acquiring = True
            table.take_over(limit)

    def on_table_acquired(
        self, limit: str, previous: GranterId | None, leased: Allowance, written_ms: float, now_ms: float
    ) -> None:
        """Adopt a table that has been written in this granter's name.

        This is the only place where two clocks are compared; they must agree within `MAX_CLOCK_SKEW_MS`.

        :param previous: the fenced granter, or `None` if none is known; in that case owners pledge only after
            their pledges to another granter have expired.
        :param leased: total amount that the previous granter had leased.
        :param written_ms: time at which the previous granter wrote the table, by its own clock.
        """
        pool = self._pools.get(limit)
        if pool is None:
            return
        table = pool.table
        table.is_acquiring, table.is_acquired, table.previous_granter = False, True, previous or NO_GRANTER
        end_ms = min(self._lease_end_ms(now_ms), self._lease_end_ms(written_ms + MAX_CLOCK_SKEW_MS))
        predecessor = pool.leased.setdefault(PREDECESSOR_HOLDER, ExpiringAllowances())
        predecessor.add(end_ms + pool.settle_ms, leased)
        self._collect_pledges(limit, pool, now_ms)

    def on_table_written(self, limit: str, is_written: bool, now_ms: float) -> None:
        """Send the grants in a written table, and write the grants that were queued in the meantime.

        :param is_written: whether the table was committed.  It is not if no majority answers in time or
            another granter has taken over; in that case no leases are granted until the table is acquired
            again.
        """
        pool = self._pools.get(limit)
        if pool is None:
            return
        grants, pool.table.writing = pool.table.writing, []
        if not is_written:
            pool.table.is_acquired, pool.table.is_acquiring, pool.table.queued = False, False, []
            return
        for holder, grant in grants:
            self._send(holder, grant)
        self._write_table(limit, pool, now_ms)

    def _write_table(self, limit: str, pool: LimitPool, now_ms: float) -> None:
        """Write the table with the queued grants, unless another write is in flight."""
        if self._table is not None and pool.table.queued and not pool.table.writing:
            pool.table.writing, pool.table.queued = pool.table.queued, []
            self._table.write(limit, self._sum(pool.leased, now_ms))
