"""Records of volumes, upstreams, requests and attempts."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from shaletiller.fleet.quotas import QuotaBucket
from shaletiller.messages.events import Request
from shaletiller.rate_counters import DecayingRate, SlidingWindowSum, TokenBucket
from shaletiller.settings.model import ClassSpec, PlanSpec
from shaletiller.state.shares import DecayingShares
from shaletiller.state.tiers import QueueKey, QueueSpec, Tier

# The mix of classes in a volume's demand is taken over about so many requests.  Empirical: fewer follow a
# change of the mix sooner, more let a class that is asked for rarely keep its headroom.
VOLUME_DEMAND_REQUESTS = 64


def _volume_demand() -> DecayingShares:
    return DecayingShares(VOLUME_DEMAND_REQUESTS)


@dataclass(slots=True, eq=False)
class VolumeState:
    """What this gateway knows of a volume.

    :param gateways: the gateways that serve the volume, among which its limits are divided.
    :param reservation: bucket of its reserved rate.
    :param rate_limit: bucket of its plan's rate limit.
    :param rate_limit_since_ms: when that bucket was created, empty.
    """

    plan: PlanSpec
    gateways: int
    reservation: TokenBucket
    rate_limit: QuotaBucket
    rate_limit_since_ms: float
    served_rate: DecayingRate = field(default_factory=DecayingRate)  # units a second, by this gateway
    other_gateways_rate: float = 0.0  # units a second, as the nodes' usage figures imply
    last_request_ms: float = 0.0
    fair_shares: dict[int, TokenBucket] = field(default_factory=dict)  # by shard
    demand: DecayingShares = field(default_factory=_volume_demand)  # units requested, by class


@dataclass(slots=True, eq=False)
class RequestQueue:
    """The requests of one class and tier at one upstream.

    :param slots: requests that may be in flight before the queue depends on capacity left over.
    """

    spec: QueueSpec
    slots: int
    requests: deque[PendingRequest] = field(default_factory=deque)
    arrivals: DecayingRate = field(default_factory=DecayingRate)  # requests a second
    in_flight: int = 0


@dataclass(slots=True, eq=False)
class Upstream:
    """A shard and the node that serves it, as this gateway sees them.

    :param concurrency_limit: units that may be in flight (see `shaletiller.policy.concurrency_limit`).
    """

    shard: int
    concurrency_limit: float
    queues: dict[QueueKey, RequestQueue] = field(default_factory=dict)  # in the order of the settings
    by_priority: list[RequestQueue] = field(default_factory=list)  # the same, highest weight first
    reserved_queues: list[RequestQueue] = field(default_factory=list)  # those of the reserved tier
    node: str | None = None
    in_flight_units: float = 0.0
    served_units: float = 0.0  # in this round
    on_time_balance: int = 0  # responses within the latency threshold in this round, less the late ones
    latency_ms: float = 0.0  # of a mean request, exponentially weighted
    overdue_streak: int = 0  # attempts overdue since the last response
    last_response_ms: float = -math.inf
    warming_up_since_ms: float | None = None
    warm_up_sends: SlidingWindowSum = field(default_factory=SlidingWindowSum)  # units
    # Units requested past the reservation, by volume.
    excess_demand: dict[str, DecayingRate] = field(default_factory=dict)
    failed_units: DecayingRate = field(default_factory=DecayingRate)  # units a second that failed

    def arrange_queues(self, specs: Sequence[QueueSpec], initial_slots: int) -> None:
        """Create the queues of these specs; a queue that exists already keeps its requests and figures."""
        before, self.queues = self.queues, {}
        for spec in specs:
            queue = before.get(spec.key) or RequestQueue(spec, initial_slots)
            queue.spec = spec
            self.queues[spec.key] = queue
        # Not in the order of the settings file: that must not decide who is served first.
        self.by_priority = sorted(
            self.queues.values(),
            key=lambda queue: (-queue.spec.priority_weight, queue.spec.latency_objective_ms),
        )
        self.reserved_queues = [queue for key, queue in self.queues.items() if key.tier is Tier.RESERVED]

    def migrate_to(self, node: str | None, attempts: Iterable[AttemptInFlight]) -> None:
        """Another node serves the shard: attempts in flight at the previous one hold no slot of this one."""
        self.node, self.in_flight_units, self.overdue_streak = node, 0.0, 0
        for queue in self.queues.values():
            queue.in_flight = 0
        self.warming_up_since_ms = None
        self.warm_up_sends.clear()
        for attempt in attempts:
            if attempt.upstream is self:
                attempt.holds_slot = False

    def queued_units(self) -> float:
        """Return the units of all requests that wait here."""
        return sum(pending.units for queue in self.queues.values() for pending in queue.requests)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request from its arrival to its final answer.

    :param queue: its queue at its upstream; until admission decides the tier, that of the reserved tier.
    :param latency_objective_due_ms: an answer by then meets the latency objective.
    :param unreached_deadline_ms: while no node has received the request it is given up by then, so that its
        client has half of its time left to try again; infinite once a node has received it.
    :param drawn_from: the bucket of its volume that paid for its tier.
    :param possibly_executed: the first attempt whose work a node may have done.
    """

    id: str
    units: float
    request: Request
    spec: ClassSpec
    volume: VolumeState
    upstream: Upstream
    queue: RequestQueue
    deadline_ms: float
    latency_objective_due_ms: float
    unreached_deadline_ms: float
    drawn_from: TokenBucket | None = None
    attempts_started: int = 0
    attempts_in_flight: int = 0
    possibly_executed: AttemptInFlight | None = None
    queued: bool = False
    response_started: bool = False

    @classmethod
    def create(
        cls,
        request: Request,
        spec: ClassSpec,
        volume: VolumeState,
        upstream: Upstream,
        now_ms: float,
        unreached_part: float,
    ) -> PendingRequest:
        """Create the record of a request that arrives now.

        :param unreached_part: the part of its time in which a node has to receive it.
        """
        time_left_ms = request.deadline_in_ms
        return cls(
            id=request.request,
            units=request.units,
            request=request,
            spec=spec,
            volume=volume,
            upstream=upstream,
            queue=upstream.queues[QueueKey(spec.name, Tier.RESERVED)],
            deadline_ms=now_ms + time_left_ms,
            latency_objective_due_ms=now_ms + min(spec.latency_objective_ms, time_left_ms),
            unreached_deadline_ms=now_ms + time_left_ms * unreached_part,
        )

    def return_tokens(self) -> None:
        """Give back, once, the tokens drawn for its tier, unless an attempt was started."""
        if self.drawn_from is not None and not self.attempts_started:
            self.drawn_from.level += self.units
        self.drawn_from = None


@dataclass(slots=True, eq=False)
class AttemptInFlight:
    """An attempt whose outcome is not known yet."""

    pending: PendingRequest
    upstream: Upstream
    node: str
    zone: str
    sent_ms: float
    holds_slot: bool = True

    def release_slot(self) -> None:
        """Give the slot back, once, unless the shard migrated to another node meanwhile."""
        if self.holds_slot and self.node == self.upstream.node:
            self.upstream.in_flight_units = max(0.0, self.upstream.in_flight_units - self.pending.units)
            self.pending.queue.in_flight -= 1
        self.holds_slot = False


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The ordered requests of one object key."""

    requests: deque[PendingRequest] = field(default_factory=deque)
    in_flight: int = 0  # attempts
    quiet_until_ms: float = 0.0  # an attempt may still run at its node until then
