"""What is kept of volumes, requests, attempts and nodes."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from shaletiller.fleet.quotas import QuotaBucket
from shaletiller.messages.events import Request
from shaletiller.rate_counters import DecayingRate, SlidingWindowSum, TokenBucket
from shaletiller.settings.model import ClassSpec, PlanSpec
from shaletiller.state.mix import DecayingShares

# A class is split in bands, by what is still due to the volume: within its reserve, within its weighted share
# of the node, beyond both.  A kind is a class in a band: class index * BANDS + band.
RESERVE, SHARE, BEYOND = range(3)
BANDS = 3
VOLUME_REQUESTS = 64  # the classes of so many requests of a volume are known


@dataclass(slots=True)
class Volume:
    """What this host knows of a volume."""

    plan: PlanSpec
    gateways: int
    reserved_rate: TokenBucket
    limit: QuotaBucket
    limit_since_ms: float  # when that store began, empty
    served: DecayingRate = field(default_factory=DecayingRate)
    others_rate: float = 0.0  # units a second that other hosts served of late
    asked_ms: float = 0.0
    shares: dict[int, TokenBucket] = field(default_factory=dict)  # by shard
    asked: DecayingShares = field(
        default_factory=lambda: DecayingShares(VOLUME_REQUESTS)
    )  # units asked for, by class


@dataclass(slots=True)
class Upstream:
    """A shard's node as this host sees it: the paper's server, with a queue for each kind."""

    shard: int
    capacity: float  # in units
    queues: list[deque[Pending]]
    slots: list[int]
    asked: list[DecayingRate]
    out: list[int]
    node: str | None = None
    taken: float = 0.0  # units that are out
    served: float = 0.0  # units served in this round
    verdict: int = 0  # of the round: answers in time less late ones
    latency_ms: float = 0.0  # of a mean request
    silent: int = 0  # attempts overdue since the last answer
    heard_ms: float = -math.inf
    warming_up_since_ms: float | None = None
    warm_up_sends: SlidingWindowSum = field(default_factory=SlidingWindowSum)  # units
    excess: dict[str, DecayingRate] = field(default_factory=dict)  # units asked beyond the reserve, by volume
    failed: DecayingRate = field(default_factory=DecayingRate)  # units that came back unserved

    @classmethod
    def new(cls, shard: int, capacity: float, slots: int, kinds: int) -> Upstream:
        """A node of which nothing is known yet, with so many slots for each kind."""
        queues: list[deque[Pending]] = [deque() for _ in range(kinds)]
        asked = [DecayingRate() for _ in range(kinds)]
        return cls(shard, capacity, queues, [slots] * kinds, asked, [0] * kinds)

    def rearrange(self, kinds: list[int], slots: int) -> None:
        """New kinds: each with the place that it had before, or -1 where it is new."""
        self.queues = [self.queues[at] if at >= 0 else deque() for at in kinds]
        self.slots = [self.slots[at] if at >= 0 else slots for at in kinds]
        self.asked = [self.asked[at] if at >= 0 else DecayingRate() for at in kinds]
        self.out = [self.out[at] if at >= 0 else 0 for at in kinds]

    def move_to(self, node: str | None, attempts: Iterable[Attempt]) -> None:
        """Another node holds the shard: what is out at the one before gives no slot back to this one."""
        self.node, self.taken, self.silent, self.out = node, 0.0, 0, [0] * len(self.out)
        self.warming_up_since_ms = None
        self.warm_up_sends.clear()
        for attempt in attempts:
            if attempt.upstream is self:
                attempt.holds_slot = False

    def waiting_units(self, kinds: Iterable[int]) -> float:
        """The units that wait in the queues of these kinds."""
        return sum(each.ask.units for kind in kinds for each in self.queues[kind])


@dataclass(slots=True)
class Pending:
    """A request between its arrival and its final answer."""

    ask: Request
    spec: ClassSpec
    volume: Volume
    upstream: Upstream
    deadline_ms: float
    due_ms: float  # until then an answer earns its full worth
    kind: int = 0
    drawn: TokenBucket | None = None  # the store of its volume that gave it its band
    sends: int = 0
    out: int = 0
    half_ms: float = math.inf  # past it a request that no node has seen costs part of its worth
    risky: Attempt | None = None  # the first attempt that may have run
    waiting: bool = False
    started: bool = False

    def return_drawn(self) -> None:
        """Give back what it drew for its band, once, unless it was sent."""
        if self.drawn is not None and not self.sends:
            self.drawn.level += self.ask.units
        self.drawn = None


@dataclass(slots=True)
class Attempt:
    """A send whose outcome has not come."""

    pending: Pending
    upstream: Upstream
    node: str
    zone: str
    sent_ms: float
    holds_slot: bool = True

    def free_slot(self) -> None:
        """Give the slot back, once, unless the shard moved to another node meanwhile."""
        if self.holds_slot and self.node == self.upstream.node:
            self.upstream.taken = max(0.0, self.upstream.taken - self.pending.ask.units)
            self.upstream.out[self.pending.kind] -= 1
        self.holds_slot = False


@dataclass(slots=True)
class KeyQueue:
    """The requests of one key in classes that are served by arrival."""

    line: deque[Pending] = field(default_factory=deque)
    busy: int = 0
    rest_until_ms: float = 0.0
