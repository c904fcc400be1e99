"""A fleet in one process, on a virtual clock and a simulated network: one seed, one course of events.

Each member runs the gateway's own fleet code (shaletiller.fleet) behind a clock of its own, which runs a
little fast or slow and is a little off, and spends from shares as the gateway does (shares.ShareStore).  The
network can lose, delay, double and reorder what goes from one member to another, and cut either direction
alone; a member can be killed and started anew, or stopped and continued with all that came to it meanwhile.

After the model of FoundationDB's simulation: all that happens follows from the seed.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from shaletiller.fleet.core import Fleet, FleetOptions
from shaletiller.fleet.health_gossip import HealthKind
from shaletiller.fleet.leases import GranterId
from shaletiller.fleet.membership import MemberState
from shaletiller.fleet.quotas import NO_ALLOWANCE, Allowance, Quota, QuotaBucket

EPOCH_MS = 1_764_000_000_000.0
TICK_MS = 25.0
TABLE_MS = 10.0  # a copied table is written, and its answer back, within that


@dataclass(slots=True)
class Link:
    """One direction between two members."""

    loss: float = 0.0
    least_ms: float = 1.0
    most_ms: float = 5.0
    doubled: float = 0.0
    cut: bool = False


@dataclass(slots=True, frozen=True)
class Limit:
    """A limit under test: `settle_ms` above 0 makes it one that counts what is spent in such a span."""

    name: str
    of: Allowance
    policy: str = "strict"
    settle_ms: float = 0.0
    most: float = 8.0


@dataclass(slots=True, frozen=True)
class Spend:
    """Units that went out: what the checker goes by, in true time."""

    at_ms: float
    member: int
    limit: str
    units: float


class Clocked:
    """Runs calls in the order of their times."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, when_ms: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._calls, (max(self.now_ms, when_ms), next(self._numbers), call))

    def run(self, until_ms: float) -> None:
        while self._calls and self._calls[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self._calls)
            call()
        self.now_ms = until_ms


class Member:
    """One gateway: its process may be down, or stopped with its mail waiting."""

    def __init__(self, world: World, number: int, drift: float, off_ms: float) -> None:
        self.world, self.number = world, number
        self._rate, self._off_ms = 1 + drift, off_ms
        self.fleet: Fleet | None = None
        self.stopped = False
        self._mail: deque[Callable[[], None]] = deque()
        self.shares: dict[str, Quota] = {}
        self.stores: dict[str, QuotaBucket] = {}
        self.windows: dict[str, deque[tuple[float, float]]] = {}
        self.refused = 0
        self.incarnations = 0
        self._told: dict[str, float] = {}

    def clock(self) -> float:
        """This machine's time: the epoch, off by a little and running a little fast or slow."""
        return EPOCH_MS + self._off_ms + self.world.time.now_ms * self._rate

    def start(self) -> None:
        self.incarnations += 1
        self.stopped = False
        self._mail.clear()
        self.shares, self.stores, self.windows = {}, {}, {}
        now_ms = self.clock()
        seed = self.world.seed * 1000 + self.incarnations
        self.fleet = self.world.make(self.number, now_ms, self, seed)
        self.world.incarnations[self.number, self.incarnations] = self.fleet.incarnation
        if self.world.tables:
            self.fleet.leases.use_table(self)
        incarnation = self.incarnations
        # Members' ticks are out of step with each other.
        first_ms = self.world.time.now_ms + self.world.random.uniform(0, TICK_MS)
        self.world.time.at(first_ms, lambda: self._tick(incarnation))

    def kill(self) -> None:
        self.fleet = None
        self._mail.clear()

    def stop(self) -> None:
        """SIGSTOP: nothing runs; what comes waits in the kernel."""
        self.stopped = True

    def resume(self) -> None:
        self.stopped = False
        while self._mail and not self.stopped:
            self._mail.popleft()()

    def _tick(self, incarnation: int) -> None:
        if self.fleet is None or incarnation != self.incarnations:
            return
        if not self.stopped:
            self.fleet.tick(self.clock())
        self.world.time.at(self.world.time.now_ms + TICK_MS, lambda: self._tick(incarnation))

    def _handle(self, call: Callable[[], None]) -> None:
        if self.fleet is None:
            return
        if self.stopped:
            if len(self._mail) < 4096:  # as much as a socket's buffer holds
                self._mail.append(call)
            return
        call()

    # ---- the fleet's outlet

    def send(self, member: int, data: bytes) -> None:
        self.world.carry(self.number, member, data)

    def quota_changed(self, limit: str, quota: Quota) -> None:
        self.shares[limit] = quota
        self.world.add_up(limit)

    def health_changed(self, node: str, kind: HealthKind) -> None:
        assert self.fleet is not None
        held = self.fleet.agreed_health(node, kind, self.clock()) is not None
        self.world.heard.append((self.world.time.now_ms, self.number, node, kind, held))

    def member_changed(self, member: int, before: MemberState, after: MemberState) -> None:
        self.world.moves.append((self.world.time.now_ms, self.number, member, after))

    # ---- its granters' tables (fleet.leases.LeaseTable)

    def take_over(self, limit: str) -> None:
        me, incarnation = self.number, self.incarnations

        def done() -> None:
            before = self.world.table_of.get(limit)
            held = before[2:] if before is not None else (NO_ALLOWANCE, 0.0)
            self.world.table_of[limit] = me, incarnation, *held
            was = (
                GranterId(before[0], self.world.fleet_life(before[0], before[1]))
                if before is not None
                else None
            )
            self._after_table(
                incarnation, lambda fleet: fleet.leases.on_table_acquired(limit, was, *held, self.clock())
            )

        self._register(limit, incarnation, done)

    def write(self, limit: str, leased: Allowance) -> None:
        incarnation, asked_ms = self.incarnations, self.clock()

        def done() -> None:
            before = self.world.table_of.get(limit)
            made = before is not None and before[:2] == (self.number, incarnation)
            if made:
                self.world.table_of[limit] = self.number, incarnation, leased, asked_ms
            self._after_table(
                incarnation, lambda fleet: fleet.leases.on_table_written(limit, made, self.clock())
            )

        self._register(limit, incarnation, done)

    def _register(self, limit: str, incarnation: int, done: Callable[[], None]) -> None:
        """Its write reaches the register after a while, or never: then it is not kept."""
        cut = sum(link.cut for (a, b), link in self.world.links.items() if self.number in (a, b))
        at_ms = self.world.time.now_ms + self.world.random.uniform(1.0, TABLE_MS)
        if cut >= self.world.members - 1:
            self.world.time.at(
                at_ms,
                lambda: self._after_table(
                    incarnation, lambda fleet: fleet.leases.on_table_written(limit, False, self.clock())
                ),
            )
        else:
            self.world.time.at(at_ms, done)

    def _after_table(self, incarnation: int, call: Callable[[Fleet], None]) -> None:
        """The answer comes back later than the write: meanwhile another may have taken over."""

        def come() -> None:
            if incarnation == self.incarnations:
                self._handle(lambda: call(self.fleet) if self.fleet is not None else None)

        self.world.time.at(self.world.time.now_ms + self.world.random.uniform(1.0, TABLE_MS), come)

    # ---- what comes to it

    def receive(self, data: bytes) -> None:
        def call() -> None:
            assert self.fleet is not None
            self.fleet.receive(data, self.clock())

        self._handle(call)

    def ask(self, limit: Limit, units: float, hosts: int) -> None:
        """A client's request that counts against a limit."""
        self._handle(lambda: self._spend(limit, units, hosts))

    def _spend(self, limit: Limit, units: float, hosts: int) -> None:
        assert self.fleet is not None
        now_ms = self.clock()
        even = limit.of.scaled(1 / hosts) if limit.policy == "available" else NO_ALLOWANCE
        self.fleet.record_demand(limit.name, limit.of, units, limit.most, now_ms, limit.settle_ms, even)
        share = self.shares.get(limit.name)
        if share is None:
            self.refused += 1
            return
        if limit.settle_ms > 0:
            window = self.windows.setdefault(limit.name, deque())
            while window and window[0][0] <= now_ms - limit.settle_ms:
                window.popleft()
            allowed = sum(spent for _, spent in window) + units <= share.at(now_ms).burst
            if allowed:
                window.append((now_ms, units))
        else:
            store = self.stores.setdefault(limit.name, QuotaBucket(0.0, now_ms))
            allowed = store.spend(now_ms, share, units)
        if allowed:
            self.world.spends.append(Spend(self.world.time.now_ms, self.number, limit.name, units))
        else:
            self.refused += 1


@dataclass
class World:
    """A fleet, its network and what was seen of it.  `make` builds a member's fleet code; tests of the
    checkers put in ones with a guard taken out."""

    members: int
    seed: int
    options: FleetOptions = field(default_factory=FleetOptions)
    drift: float = 0.01
    skew_ms: float = 5.0
    time: Clocked = field(default_factory=Clocked)
    spends: list[Spend] = field(default_factory=list)
    heard: list[tuple[float, int, str, HealthKind, bool]] = field(default_factory=list)
    moves: list[tuple[float, int, int, MemberState]] = field(default_factory=list)
    excess: dict[str, float] = field(default_factory=dict)
    limits: dict[str, Limit] = field(default_factory=dict)
    sent: int = 0
    sent_bytes: int = 0
    # Whether granters' tables are copied: here to a register for each limit that takes a while to write, is
    # written by the one alone that wrote it last, or took it over, and is out of reach for who is cut off.
    tables: bool = False
    incarnations: dict[tuple[int, int], int] = field(default_factory=dict)
    table_of: dict[str, tuple[int, int, Allowance, float]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.links = {(a, b): Link() for a in range(self.members) for b in range(self.members) if a != b}
        names = [f"g{number}" for number in range(self.members)]
        self.names = names
        # The drift that leases allow is that of any clock against true time.
        self.gateways = [
            Member(self, number, *(self.random.uniform(-1, 1) * most for most in (self.drift, self.skew_ms)))
            for number in range(self.members)
        ]

    def fleet_life(self, member: int, number: int) -> int:
        """The life that a member's process of this number had."""
        return self.incarnations[member, number]

    def make(self, number: int, now_ms: float, outlet: Member, seed: int) -> Fleet:
        return Fleet(number, self.names, now_ms, self.options, outlet, seed)

    def add_up(self, limit: str) -> None:
        """The shares in all hands at this moment: by how much do they pass the limit?  A process that is
        stopped holds what it may spend when it goes on, by its clock then; one that was killed holds
        nothing."""
        of = self.limits[limit].of
        held = NO_ALLOWANCE
        for gateway in self.gateways:
            if gateway.fleet is not None and limit in gateway.shares:
                held = held.plus(gateway.shares[limit].at(gateway.clock()))
        over = max(held.rate - of.rate, held.burst - of.burst)
        if over > 1e-6:
            self.excess[limit] = max(self.excess.get(limit, 0.0), over)

    def carry(self, sender: int, to: int, data: bytes) -> None:
        self.sent += 1
        self.sent_bytes += len(data)
        link = self.links[sender, to]
        if link.cut or (link.loss and self.random.random() < link.loss):
            return
        for _ in range(1 + (link.doubled > 0 and self.random.random() < link.doubled)):
            when_ms = self.time.now_ms + self.random.uniform(link.least_ms, link.most_ms)
            # A link that has been cut meanwhile delivers nothing more.
            self.time.at(when_ms, lambda: None if link.cut else self.gateways[to].receive(data))

    def load(
        self,
        member: int,
        limit: Limit,
        rate: float,
        begin_ms: float,
        end_ms: float,
        hosts: int,
    ) -> None:
        """Requests of 1 to `most` units, `rate` units a second, drawn ahead (a Poisson stream)."""
        self.limits[limit.name] = limit
        draw = random.Random(f"{self.seed} load {member} {limit.name} {begin_ms}")
        mean = (1 + limit.most) / 2
        at_ms = begin_ms
        while True:
            at_ms += draw.expovariate(rate / mean) * 1000
            if at_ms >= end_ms:
                return
            units = float(draw.randint(1, int(limit.most)))
            self.time.at(at_ms, functools.partial(self.gateways[member].ask, limit, units, hosts))

    def each_link(self, members: set[int] | None = None) -> list[Link]:
        """The links that lead to or from these members, or all."""
        return [
            link for (a, b), link in self.links.items() if members is None or a in members or b in members
        ]

    def cut(self, side: set[int], one_way: bool = False) -> None:
        """Cut a side off from the others; `one_way`, only what it sends is lost."""
        for (a, b), link in self.links.items():
            if (a in side) != (b in side) and (not one_way or a in side):
                link.cut = True

    def heal(self) -> None:
        for pair in self.links:
            self.links[pair] = Link()


# ---- what is checked


def overshoot(spends: list[Spend], limit: Limit, drift: float = 0.0) -> float:
    """The most units by which the fleet has passed a limit, 0 where it never has.

    A leaky store for all, full at first, is run over the spends; that it never falls below 0 is the same as
    that no span of W seconds holds more than burst + W * rate.  Clocks may run `drift` fast, and fill the
    stores so much faster.  A limit that counts spans is looked at span by span."""
    rate, burst = limit.of.rate * (1 + drift), limit.of.burst
    found = sorted((spend.at_ms, spend.units) for spend in spends if spend.limit == limit.name)
    worst = 0.0
    if limit.settle_ms > 0:
        window: deque[tuple[float, float]] = deque()
        held = 0.0
        for at_ms, units in found:
            while window and window[0][0] <= at_ms - limit.settle_ms * (1 - drift):
                held -= window.popleft()[1]
            window.append((at_ms, units))
            held += units
            worst = max(worst, held - burst)
        return worst
    level, before_ms = burst, -math.inf
    for at_ms, units in found:
        if before_ms > -math.inf:
            level = min(burst, level + rate * (at_ms - before_ms) / 1000)
        before_ms = at_ms
        level -= units
        worst = max(worst, -level)
    return worst if worst > 1e-6 else 0.0


def use(spends: list[Spend], limit: Limit, begin_ms: float, end_ms: float) -> float:
    """What part of a limit's rate was spent in a span."""
    units = sum(s.units for s in spends if s.limit == limit.name and begin_ms <= s.at_ms < end_ms)
    per_s = limit.of.burst * 1000 / limit.settle_ms if limit.settle_ms > 0 else limit.of.rate
    return units / (per_s * (end_ms - begin_ms) / 1000)
