"""Limits held by leases: parts of its own that each member may always spend, lent to those that ask.

Every member of a fleet of M owns a fixed part, 1/M, of each limit.  A member whose traffic needs less pledges
the rest, for a term, to the limit's granter: the member that rendezvous hashing names among those that are
there.  The granter leases what was pledged to it to those that ask, by demand, and for no longer than the
pledges last.

Nothing else gives anyone a share, so the sum cannot pass the limit, whoever believes whom to be there:

- An owner spends its part less what it has pledged, and has pledges out to one life of one granter at a time.
  A successor, or the granter itself after a restart, is pledged nothing until the last pledge to the one
  before is over.
- A granter leases at most what pledges cover, to the end of the lease.
- A holder's lease is checked against the clock at each spend (shares.Share.at).
- A restarted member has forgotten its pledges: its own part rests for one term.

Times run from the sending of the request that an answer names, so that delay only shortens what was given;
clocks need not agree, but their rates may differ by `drift` at most.  Those who give wait (1 + drift) terms,
those who take use (1 - drift) of them.

Where granters' tables are copied to further gateways (`table`; shaletiller/replication), a successor need not
wait out its predecessor's pledges: it writes the table in its own name, so that the one before can write,
and so lease, nothing more; it counts what that one had leased as leased by itself; and owners pledge to it
anew at once.  A grant is then said only when the table that holds it is kept.

A limit that counts what is spent in a span of `settle_ms` (the budget of a cold storage node) has what was
lent out rest for that span before it is lent or spent again: what was spent at the last moment still counts
in it.

Cut off from most of the fleet, a `strict` limit leaves a member its own part less what it pledged; an
`available` one leaves it the even part that it would have without a fleet.  How far over that can take the
fleet: docs/fleet.md.

This is the escrow of O'Neil, "The Escrow Transactional Method", ACM TODS 11(4), 1986, with rates in place of
counts, and with leases (Gray and Cheriton, SOSP 1989) so that what is lent comes back by itself.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from shaletiller.fleet.codec import Call, Grant, Known, Pledge, Want
from shaletiller.fleet.quotas import NOTHING, Amount, Quota, Steps, from_wire, to_wire
from shaletiller.fleet.rendezvous import chosen
from shaletiller.rate_counters import DecayingRate

DEMAND_MS = 400.0  # how long a demand is remembered: a surge that is over is not to hold shares for long
SPARE = 1.25  # a member keeps, or asks for, so many times what it was asked for
KEEP = 0.02  # of its own part an idle member keeps so much: the first request of a surge need not wait
MEMBERS_A_TERM = 20  # as many members a granter may ask in the shortest term
CLOCKS_MS = 1_000.0  # by how much two gateways' clocks may differ where tables are copied
BEFORE = -1  # the holder under which a granter files what the one before it had leased
IDLE_TERMS = 8  # a limit that nobody has asked for is forgotten after so many terms


@dataclass(slots=True, frozen=True)
class Terms:
    """Times in milliseconds; `drift` is by how much a clock's rate may differ from true time, as a part.

    A pledge lasts a term, a lease `lease_ms`.  Shares move from one gateway to another within a lease; what
    was pledged to a granter that is lost comes back within a term."""

    term_ms: float = 2_000.0
    lease_ms: float = 1_000.0
    drift: float = 0.01

    def __post_init__(self) -> None:
        if not self.lease_ms >= 100:
            raise ValueError(f"lease_ms: wants at least 100, got {self.lease_ms}")
        if not self.term_ms >= 2 * self.lease_ms:
            raise ValueError(f"term_ms: wants at least two leases, got {self.term_ms}")
        if not 0 <= self.drift < 0.2:
            raise ValueError(f"drift: wants a part of at least 0, under 0.2, got {self.drift}")

    @classmethod
    def for_members(cls, members: int) -> Terms:
        """Terms that grow with the fleet: a granter asks each owner twice a term or so."""
        return cls(term_ms=cls().term_ms * max(1.0, members / MEMBERS_A_TERM))

    @property
    def give_ms(self) -> float:
        """How long one who gave a term waits."""
        return self.term_ms * (1 + self.drift)

    @property
    def round_ms(self) -> float:
        """Between two requests for the same share."""
        return self.lease_ms / 4


@dataclass(slots=True)
class _Pool:
    """What a granter has of one limit."""

    of: Amount
    settle_ms: float
    pledged: dict[int, Steps] = field(default_factory=dict)
    owners: dict[int, int] = field(default_factory=dict)  # the life whose pledges these are
    wants: dict[int, tuple[Amount, float]] = field(default_factory=dict)  # and when they were last said
    granted: dict[int, Steps] = field(default_factory=dict)
    called: dict[int, float] = field(default_factory=dict)
    wanted_ms: float = -math.inf
    # Where tables are copied: whether this granter's stands, who was granter before, and the grants that wait
    # for the table that holds them, and for the one after.
    stands: bool = False
    asking: bool = False
    was: tuple[int, int] = (0, 0)
    writing: list[tuple[int, Grant]] = field(default_factory=list)
    next: list[tuple[int, Grant]] = field(default_factory=list)


@dataclass(slots=True)
class _Ledger:
    """What a member has of one limit: its own part, what it pledged of that, what it holds on lease."""

    of: Amount
    own: Amount
    settle_ms: float
    most: float  # units of the largest request
    quiet_until_ms: float
    demand: DecayingRate  # units asked for, those that were refused too
    pledged: Steps = field(default_factory=Steps)
    to: tuple[int, int] | None = None
    held: Steps = field(default_factory=Steps)
    asked_ms: float = -math.inf
    told: Quota | None = None
    wants_ms: float = -math.inf
    touched_ms: float = 0.0
    even: Amount = NOTHING  # cut off, an `available` limit leaves so much
    window: deque[tuple[float, float]] = field(default_factory=deque)  # asked in the last `settle_ms`


class Table(Protocol):
    """Keeps what granters have leased, at further gateways; answers by `Leases.stands` and `Leases.kept`."""

    def take_over(self, limit: str) -> None:
        """Write the limit's table in this granter's name."""

    def write(self, limit: str, leased: Amount) -> None:
        """All that this granter has leased of a limit."""


class Leases:
    """One member's ledgers, and the pools of the limits that it grants.

    `say` sends a part to a member (this one too); `alive` names the members that are there, `life_of` their
    lives; `changed` is told of each share that is another from now on, before anything that rests on it is
    sent."""

    def __init__(
        self,
        me: int,
        incarnation: int,
        members: int,
        terms: Terms,
        born_ms: float,
        say: Callable[[int, Known], None],
        alive: Callable[[], tuple[int, ...]],
        changed: Callable[[str, Quota], None],
        connected: Callable[[], bool] = lambda: True,
    ) -> None:
        self.me, self.incarnation, self.members, self.terms = me, incarnation, members, terms
        self._born_ms = born_ms
        self._say, self._alive, self._changed, self._connected = say, alive, changed, connected
        self._ledgers: dict[str, _Ledger] = {}
        self._pools: dict[str, _Pool] = {}
        self._chosen_of: tuple[int, ...] = ()
        self._chosen: dict[str, int] = {}
        self._nonce = 0
        self._sent: dict[int, float] = {}  # when the request of a nonce went out, by this member's clock
        self.stopped = False
        self.table: Table | None = None

    # ---- what a member may spend

    def asked(
        self,
        limit: str,
        of: Amount,
        units: float,
        most: float,
        now_ms: float,
        settle_ms: float = 0.0,
        even: Amount = NOTHING,
    ) -> None:
        """A request of so many units wants to spend of a limit; `changed` is called for one met anew.

        `most` is the units of the largest request.  `even` makes the limit `available`: it is what this
        member may spend while it is cut off."""
        ledger = self._ledger(limit, from_wire(*to_wire(of)), settle_ms, now_ms)
        ledger.most, ledger.even = max(ledger.most, most), even
        if settle_ms > 0:
            ledger.window.append((now_ms, units))
        ledger.demand.add(now_ms, units)
        ledger.asked_ms = ledger.touched_ms = now_ms
        self._tell(limit, ledger, now_ms)
        if self._short(ledger, now_ms):
            self._want(limit, ledger, now_ms)

    def share(self, limit: str, now_ms: float) -> Quota:
        """What this member may spend of a limit now."""
        ledger = self._ledgers.get(limit)
        return self._share(ledger, now_ms) if ledger is not None else Quota()

    def limits(self) -> list[str]:
        return list(self._ledgers)

    def granter(self, limit: str) -> int:
        """The member that grants a limit, as this one sees the fleet."""
        alive = self._alive()
        if alive is not self._chosen_of:
            self._chosen_of, self._chosen = alive, {}
        found = self._chosen.get(limit)
        if found is None:
            found = chosen(limit, alive)
            found = self._chosen[limit] = self.me if found is None else found
        return found

    def granted(self) -> dict[str, tuple[Amount, Amount]]:
        """For each limit that this member grants: what is pledged to it and what it has leased, at the last
        tick."""
        return {
            limit: (self._sum(pool.pledged, self._now), self._sum(pool.granted, self._now))
            for limit, pool in self._pools.items()
        }

    _now = 0.0

    def _ledger(self, limit: str, of: Amount, settle_ms: float, now_ms: float) -> _Ledger:
        ledger = self._ledgers.get(limit)
        if ledger is None or ledger.of != of:
            own = of.times(1 / self.members)
            quiet_ms = self._born_ms + self.terms.give_ms + settle_ms
            demand = DecayingRate(memory_ms=DEMAND_MS)
            fresh = _Ledger(of, own, settle_ms, 0.0, quiet_ms, demand, touched_ms=now_ms)
            if ledger is not None:  # the limit itself is another now: what is out of the old one runs out
                fresh.quiet_until_ms = max(quiet_ms, now_ms + self.terms.give_ms + settle_ms)
                fresh.demand, fresh.most = ledger.demand, ledger.most
            ledger = self._ledgers[limit] = fresh
        return ledger

    def _own(self, ledger: _Ledger, when_ms: float) -> Amount:
        """Its own part, less what it has pledged."""
        if when_ms < ledger.quiet_until_ms or self.stopped:
            return NOTHING
        return ledger.own.less(ledger.pledged.at(when_ms - ledger.settle_ms))

    def _share(self, ledger: _Ledger, now_ms: float) -> Quota:
        """Its leases to their ends, beside its own part as it is now: where that grows it is told anew."""
        if self.stopped:
            return Quota()
        own = self._own(ledger, now_ms)
        if ledger.even != NOTHING and not self._connected():
            own = own.most(ledger.even)
        ends = sorted(end for end in set(ledger.held.ends()) if end > now_ms)
        starts = [now_ms, *ends]
        return Quota(
            own,
            tuple((end, own.plus(ledger.held.at(start))) for start, end in zip(starts, ends, strict=False)),
        )

    def _tell(self, limit: str, ledger: _Ledger, now_ms: float) -> None:
        share = self._share(ledger, now_ms)
        if share != ledger.told:
            ledger.told = share
            self._changed(limit, share)

    def _need(self, ledger: _Ledger, now_ms: float) -> Amount:
        """What it would like to have, its own part included."""
        if ledger.settle_ms > 0:
            asked = self._in_span(ledger, now_ms)
            return Amount(0.0, min(ledger.of.burst, SPARE * asked + (ledger.most if asked > 0 else 0.0)))
        rate = min(ledger.of.rate, SPARE * ledger.demand.add(now_ms))
        burst = ledger.of.burst * rate / ledger.of.rate if ledger.of.rate > 0 else 0.0
        return Amount(rate, min(ledger.of.burst, burst + (ledger.most if rate > 0 else 0.0)))

    @staticmethod
    def _in_span(ledger: _Ledger, now_ms: float) -> float:
        """Units asked for in the span that the limit counts: at most so many were spent in it."""
        while ledger.window and ledger.window[0][0] <= now_ms - ledger.settle_ms:
            ledger.window.popleft()
        return sum(units for _, units in ledger.window)

    def _short(self, ledger: _Ledger, now_ms: float) -> bool:
        """Whether it should ask for more than its own part, and has not just done so."""
        need = self._need(ledger, now_ms)
        free = self._own(ledger, now_ms)
        return (need.rate > free.rate or need.burst > free.burst) and (
            now_ms - ledger.wants_ms >= self.terms.round_ms
        )

    # ---- asking

    def _next(self, now_ms: float) -> int:
        self._nonce += 1
        self._sent[self._nonce] = now_ms
        return self._nonce

    def _want(self, limit: str, ledger: _Ledger, now_ms: float) -> None:
        ledger.wants_ms = now_ms
        more = self._need(ledger, now_ms).less(self._own(ledger, now_ms))
        self._say(
            self.granter(limit),
            Want(limit, self._next(now_ms), *to_wire(more), *to_wire(ledger.of), int(ledger.settle_ms)),
        )

    def tick(self, now_ms: float) -> None:
        """To be called several times a round."""
        self._now = now_ms
        old_ms = now_ms - 2 * self.terms.give_ms
        while self._sent and next(iter(self._sent.values())) < old_ms:
            del self._sent[next(iter(self._sent))]
        idle_ms = IDLE_TERMS * self.terms.term_ms
        for limit, ledger in list(self._ledgers.items()):
            ledger.held.forget(now_ms)
            # A pledge counts for a while after its end where what was lent may have been spent at the last
            # moment.
            ledger.pledged.forget(now_ms - ledger.settle_ms)
            self._tell(limit, ledger, now_ms)
            if now_ms - ledger.asked_ms < idle_ms and self._short(ledger, now_ms):
                self._want(limit, ledger, now_ms)
            if now_ms - ledger.touched_ms > idle_ms and not ledger.pledged.steps and not ledger.held.steps:
                del self._ledgers[limit]
        for limit, pool in list(self._pools.items()):
            if self.table is None or pool.stands:
                self._collect(limit, pool, now_ms)
            if now_ms - pool.wanted_ms > idle_ms:
                del self._pools[limit]

    # ---- granting

    def take(self, sender: int, incarnation: int, part: Want | Call | Pledge | Grant, now_ms: float) -> None:
        """One part of a message of the sender, in this life of its."""
        if isinstance(part, Want):
            self._on_want(sender, part, now_ms)
        elif isinstance(part, Call):
            self._on_call(sender, incarnation, part, now_ms)
        elif isinstance(part, Pledge):
            self._on_pledge(sender, incarnation, part, now_ms)
        else:
            self._on_grant(part, now_ms)

    def _on_want(self, sender: int, part: Want, now_ms: float) -> None:
        if self.stopped:
            return
        of = from_wire(part.of_rate, part.of_burst)
        pool = self._pools.get(part.limit)
        if pool is None or pool.of != of:
            pool = self._pools[part.limit] = _Pool(of, float(part.settle_ms))
        pool.wants[sender] = from_wire(part.rate, part.burst), now_ms
        pool.wanted_ms = now_ms
        if self.table is not None and not pool.stands:
            self._take_over(part.limit, pool)
            return
        self._collect(part.limit, pool, now_ms)
        amount = self._allot(pool, sender, now_ms)
        if amount != NOTHING:
            span_ms = int(self.terms.lease_ms)
            steps = pool.granted.setdefault(sender, Steps())
            steps.forget(now_ms)
            rate, burst = to_wire(amount)
            steps.add(self._lease_end(now_ms) + pool.settle_ms, from_wire(rate, burst))
            grant = Grant(part.limit, part.nonce, rate, burst, span_ms)
            if self.table is None:
                self._say(sender, grant)
            else:
                pool.next.append((sender, grant))
                self._write(part.limit, pool, now_ms)

    # ---- the granter's table, where it is copied

    def _take_over(self, limit: str, pool: _Pool) -> None:
        if self.table is not None and not pool.asking and self.granter(limit) == self.me:
            pool.asking = True
            self.table.take_over(limit)

    def stands(
        self,
        limit: str,
        was: tuple[int, int] | None,
        leased: Amount,
        at_ms: float,
        now_ms: float,
    ) -> None:
        """The table is this granter's: `was` (member and life) before it, who had leased so much by `at_ms`
        of its own clock and leases nothing more.  None where nothing was known: then owners' pledges to
        another are waited out.  Here, and nowhere else, two clocks are compared: they are to be within
        `CLOCKS_MS`."""
        pool = self._pools.get(limit)
        if pool is None:
            return
        pool.asking, pool.stands, pool.was = False, True, was or (0, 0)
        end_ms = min(self._lease_end(now_ms), self._lease_end(at_ms + CLOCKS_MS)) + pool.settle_ms
        pool.granted.setdefault(BEFORE, Steps()).add(end_ms, leased)
        self._collect(limit, pool, now_ms)

    def kept(self, limit: str, made: bool, now_ms: float) -> None:
        """The table that was written last is kept; or it is another's by now, and nothing more is leased
        until it is this granter's again."""
        pool = self._pools.get(limit)
        if pool is None:
            return
        said, pool.writing = pool.writing, []
        if not made:
            pool.stands, pool.asking, pool.next = False, False, []
            return
        for sender, grant in said:
            self._say(sender, grant)
        self._write(limit, pool, now_ms)

    def _write(self, limit: str, pool: _Pool, now_ms: float) -> None:
        if self.table is not None and pool.next and not pool.writing:
            pool.writing, pool.next = pool.next, []
            self.table.write(limit, self._sum(pool.granted, now_ms))

    def _lease_end(self, now_ms: float) -> float:
        """When a lease given now is over for certain, by this member's clock."""
        return now_ms + self.terms.lease_ms * (1 + self.terms.drift)

    @staticmethod
    def _sum(parts: dict[int, Steps], when_ms: float) -> Amount:
        total = NOTHING
        for steps in parts.values():
            total = total.plus(steps.at(when_ms))
        return total

    def _allot(self, pool: _Pool, holder: int, now_ms: float) -> Amount:
        """The holder's part of what is pledged by max-min fairness over those that want, as far as it is free
        for the whole of a lease."""
        end_ms = self._lease_end(now_ms)
        whens = sorted(
            {
                now_ms,
                *(
                    at
                    for steps in (*pool.pledged.values(), *pool.granted.values())
                    for at in steps.ends()
                    if now_ms < at < end_ms
                ),
            }
        )
        free, pooled = None, None
        for when_ms in whens:
            pledged = self._sum(pool.pledged, when_ms)
            others = self._sum({n: s for n, s in pool.granted.items() if n != holder}, when_ms)
            left = pledged.less(others)
            free = left if free is None else free.least(left)
            pooled = pledged if pooled is None else pooled.least(pledged)
        assert free is not None and pooled is not None
        fresh = {n: want for n, (want, at) in pool.wants.items() if now_ms - at < 3 * self.terms.round_ms}
        rate = fair(pooled.rate, {n: want.rate for n, want in fresh.items()}, holder)
        burst = fair(pooled.burst, {n: want.burst for n, want in fresh.items()}, holder)
        return free.least(Amount(rate, burst))

    def _collect(self, limit: str, pool: _Pool, now_ms: float) -> None:
        """Call for pledges as long as someone wants a share, from as many owners as it takes."""
        wants = NOTHING
        for holder, (want, at_ms) in list(pool.wants.items()):
            if now_ms - at_ms > self.terms.lease_ms:
                del pool.wants[holder]
            else:
                wants = wants.plus(want)
        if wants == NOTHING or self.granter(limit) != self.me:
            return
        part = pool.of.times(1 / self.members)
        expected = NOTHING
        due_ms = self._lease_end(now_ms) + self.terms.term_ms / 4
        alive = [n for n in self._alive() if n != self.me]
        for owner in [*sorted(alive, key=lambda n: (-self._last(pool, n).rate, n)), self.me]:
            if expected.rate >= 1.1 * wants.rate and expected.burst >= wants.burst:
                return
            steps = pool.pledged.setdefault(owner, Steps())
            steps.forget(now_ms)
            expected = expected.plus(steps.at(now_ms) if steps.steps else part)
            called_ms = pool.called.get(owner, -math.inf)
            if steps.last_end() < due_ms and now_ms - called_ms >= self.terms.round_ms:
                pool.called[owner] = now_ms
                self._say(
                    owner, Call(limit, self._next(now_ms), *to_wire(pool.of), int(pool.settle_ms), *pool.was)
                )

    @staticmethod
    def _last(pool: _Pool, owner: int) -> Amount:
        steps = pool.pledged.get(owner)
        return steps.at(-math.inf) if steps is not None else NOTHING

    def _on_call(self, granter: int, incarnation: int, part: Call, now_ms: float) -> None:
        """Pledge what is idle, unless another granter, or another life of this one, may still lend it out."""
        of, known = from_wire(part.of_rate, part.of_burst), self._ledgers.get(part.limit)
        if known is not None and known.of != of and now_ms - known.asked_ms < self.terms.give_ms:
            return  # configured otherwise there than here: each would undo what the other has
        ledger = self._ledger(part.limit, of, float(part.settle_ms), now_ms)
        ledger.touched_ms = now_ms
        if self.stopped or now_ms < ledger.quiet_until_ms:
            return
        fenced = part.previous_granter_incarnation > 0 and ledger.to == (
            part.was,
            part.previous_granter_incarnation,
        )
        may = fenced or self._may_pledge(ledger, (granter, incarnation), now_ms)
        if not may or self.granter(part.limit) != granter:
            return
        spent = self._in_span(ledger, now_ms)
        keep = Amount(KEEP * ledger.own.rate, max(spent, min(ledger.most, ledger.own.burst)))
        keep = keep.most(self._need(ledger, now_ms))
        rate, burst = to_wire(ledger.own.less(keep))
        idle = from_wire(rate, burst)
        ledger.to = granter, incarnation
        ledger.pledged.add(now_ms + self.terms.give_ms, idle)
        self._tell(part.limit, ledger, now_ms)  # first: from here on it spends less
        self._say(granter, Pledge(part.limit, part.nonce, rate, burst, int(self.terms.term_ms)))

    def _may_pledge(self, ledger: _Ledger, to: tuple[int, int], now_ms: float) -> bool:
        return ledger.to == to or now_ms >= ledger.pledged.last_end() + ledger.settle_ms

    def _on_pledge(self, owner: int, incarnation: int, part: Pledge, now_ms: float) -> None:
        pool, sent_ms = self._pools.get(part.limit), self._sent.get(part.nonce)
        if pool is None or sent_ms is None:
            return
        until_ms = sent_ms + min(part.term_ms, self.terms.term_ms) * (1 - self.terms.drift)
        if pool.owners.get(owner, 0) > incarnation or until_ms <= now_ms:
            return
        pool.owners[owner] = incarnation
        pool.pledged.setdefault(owner, Steps()).add(until_ms, from_wire(part.rate, part.burst))

    def _on_grant(self, part: Grant, now_ms: float) -> None:
        ledger, sent_ms = self._ledgers.get(part.limit), self._sent.get(part.nonce)
        if ledger is None or sent_ms is None:
            return
        until_ms = sent_ms + part.term_ms * (1 - self.terms.drift)
        if until_ms <= now_ms:
            return
        ledger.held.add(until_ms, from_wire(part.rate, part.burst))
        self._tell(part.limit, ledger, now_ms)

    def stop(self, now_ms: float) -> None:
        """Give everything up: the process ends, or a newer one has the member's name."""
        self.stopped = True
        self._pools.clear()
        for limit, ledger in self._ledgers.items():
            self._tell(limit, ledger, now_ms)


def fair(pool: float, wants: dict[int, float], holder: int) -> float:
    """What max-min fairness gives the holder of a pool: small wants whole, the others even parts of the rest.

    Source: Bertsekas and Gallager, "Data Networks", 6.5.2."""
    left, count = pool, len(wants)
    for number, want in sorted(wants.items(), key=lambda each: (each[1], each[0])):
        part = min(want, left / count)
        if number == holder:
            return part
        left -= part
        count -= 1
    return 0.0
