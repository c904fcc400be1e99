"""State of volumes, queues, upstreams, requests and attempts."""

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

# Approximate number of recent requests from which the mix of classes in a volume's demand is estimated.  A
# smaller number follows a change of the mix sooner; a larger number preserves the headroom of a class that is
# requested rarely.
VOLUME_DEMAND_WINDOW_REQUESTS = 64


def _volume_demand() -> DecayingShares:
    return DecayingShares(VOLUME_DEMAND_WINDOW_REQUESTS)


@dataclass(slots=True, eq=False)
class VolumeState:
    """State of a volume at this gateway.

    :param gateways: number of gateways that serve the volume, among which its limits are divided.
    :param reservation: token bucket of its reserved rate.
    :param rate_limit: token bucket of its plan's rate limit.
    :param rate_limit_since_ms: time at which the bucket of the rate limit was created, empty.
    """

    plan: PlanSpec
    gateways: int
    reservation: TokenBucket
    rate_limit: QuotaBucket
    rate_limit_since_ms: float
    served_rate: DecayingRate = field(default_factory=DecayingRate)  # units a second, through this gateway
    other_gateways_rate: float = 0.0  # units a second, derived from the usage that nodes report
    last_request_ms: float = 0.0
    fair_shares: dict[int, TokenBucket] = field(default_factory=dict)  # by shard
    demand: DecayingShares = field(default_factory=_volume_demand)  # requested units, by class


@dataclass(slots=True, eq=False)
class RequestQueue:
    """The queue of one class and tier at one upstream.

    :param slots: number of its requests that may be in flight; beyond that it uses remaining capacity only.
    """

    spec: QueueSpec
    slots: int
    requests: deque[PendingRequest] = field(default_factory=deque)
    arrivals: DecayingRate = field(default_factory=DecayingRate)  # requests a second
    in_flight: int = 0


@dataclass(slots=True, eq=False)
class Upstream:
    """State of a shard and of the node that serves it, at this gateway.

    :param concurrency_limit: maximum units in flight (see `shaletiller.policy.concurrency_limit`).
    """

    shard: int
    concurrency_limit: float
    queues: dict[QueueKey, RequestQueue] = field(default_factory=dict)  # in the order of the settings
    by_priority: list[RequestQueue] = field(default_factory=list)  # all queues, highest weight first
    reserved_queues: list[RequestQueue] = field(default_factory=list)  # the queues of the reserved tier
    node: str | None = None
    in_flight_units: float = 0.0
    served_units: float = 0.0  # in the current round
    # Responses within the latency threshold in the current round, minus late responses and rejections.
    on_time_balance: int = 0
    latency_ms: float = 0.0  # moving average for a request of mean units
    overdue_streak: int = 0  # overdue attempts since the last response
    last_response_ms: float = -math.inf
    warming_up_since_ms: float | None = None  # start of the node, None if it is not in slow start
    warm_up_sends: SlidingWindowSum = field(default_factory=SlidingWindowSum)  # units sent in slow start
    # Units a second requested beyond the reservation, by volume.
    excess_demand: dict[str, DecayingRate] = field(default_factory=dict)
    failed_units: DecayingRate = field(default_factory=DecayingRate)  # failed units a second

    def arrange_queues(self, specs: Sequence[QueueSpec], initial_slots: int) -> None:
        """Create the queues of these specs; existing queues keep their requests and state."""
        previous, self.queues = self.queues, {}
        for spec in specs:
            queue = previous.get(spec.key) or RequestQueue(spec, initial_slots)
            queue.spec = spec
            self.queues[spec.key] = queue
        # The order of the settings file must not determine which queue is served first.
        self.by_priority = sorted(
            self.queues.values(),
            key=lambda queue: (-queue.spec.priority_weight, queue.spec.latency_objective_ms),
        )
        self.reserved_queues = [queue for key, queue in self.queues.items() if key.tier is Tier.RESERVED]

    def migrate_to(self, node: str | None, attempts: Iterable[AttemptInFlight]) -> None:
        """Assign another node to the shard; attempts in flight at the previous node lose their slots."""
        self.node, self.in_flight_units, self.overdue_streak = node, 0.0, 0
        for queue in self.queues.values():
            queue.in_flight = 0
        self.warming_up_since_ms = None
        self.warm_up_sends.clear()
        for attempt in attempts:
            if attempt.upstream is self:
                attempt.holds_slot = False

    def queued_units(self) -> float:
        """Return the units of all queued requests."""
        return sum(pending.units for queue in self.queues.values() for pending in queue.requests)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request from its arrival to its final answer.

    :param queue: its queue at its upstream; the queue of the reserved tier until admission assigns a tier.
    :param latency_objective_due_ms: time by which a response meets the latency objective.
    :param unreached_deadline_ms: time at which the request is given up if no node has received it, so that
        its client has half of its time left to retry; infinity once a node has received it.
    :param drawn_from: the token bucket of its volume from which the tokens for its tier were drawn.
    :param possibly_executed: the first attempt that a node may have executed.
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
        unreached_ratio: float,
    ) -> PendingRequest:
        """Create the state of a request that arrives now.

        :param unreached_ratio: ratio of its time to its deadline within which a node has to receive it.
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
            unreached_deadline_ms=now_ms + time_left_ms * unreached_ratio,
        )

    def return_tokens(self) -> None:
        """Return the tokens drawn for its tier, unless an attempt was started; further calls do nothing."""
        if self.drawn_from is not None and not self.attempts_started:
            self.drawn_from.level += self.units
        self.drawn_from = None


@dataclass(slots=True, eq=False)
class AttemptInFlight:
    """An attempt whose outcome is not known yet.

    :param holds_slot: whether it counts towards the slots and units in flight of its queue and upstream.
    :param held_since_ms: time at which its response was reported as held; None if it was not.
    :param can_pass_on: whether its held response can be passed on before it is whole.
    """

    pending: PendingRequest
    upstream: Upstream
    node: str
    zone: str
    sent_ms: float
    holds_slot: bool = True
    held_since_ms: float | None = None
    can_pass_on: bool = False

    def release_slot(self) -> None:
        """Release the slot, unless the shard has migrated to another node; further calls do nothing."""
        if self.holds_slot and self.node == self.upstream.node:
            self.upstream.in_flight_units = max(0.0, self.upstream.in_flight_units - self.pending.units)
            self.pending.queue.in_flight -= 1
        self.holds_slot = False


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The ordered requests of one object key."""

    requests: deque[PendingRequest] = field(default_factory=deque)
    in_flight: int = 0  # attempts in flight
    quiet_until_ms: float = 0.0  # time until which an earlier attempt may still be running at its node
