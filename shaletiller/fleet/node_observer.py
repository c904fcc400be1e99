"""What this gateway observes of storage nodes, published as health records for the other gateways.

Observations come from the endpoint list and from the outcomes of this gateway's own attempts.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from shaletiller.fleet.core import Fleet
from shaletiller.fleet.health_gossip import HealthKind
from shaletiller.messages.endpoints import EndpointEntry, EndpointState, UpdateKind
from shaletiller.messages.events import AttemptEnded, EndpointListUpdate
from shaletiller.messages.outcomes import Outcome
from shaletiller.settings.model import Settings

# Empirical: so many attempts in a row without an answer, or rejected, make a statement.  Fewer publish the
# loss of single connections, more send requests to a dead node for longer.
FAILURE_THRESHOLD = 3
# Empirical: lifetime of each statement, in milliseconds.  It is repeated while attempts keep failing; a
# longer lifetime keeps a recovered node without load, a shorter one needs more messages.
UNREACHABLE_LIFETIME_MS = 3_000.0
REJECTING_LIFETIME_MS = 2_000.0
SLOW_LIFETIME_MS = 4_000.0
REPEAT_FRACTION = 0.5  # a statement is repeated after this part of its lifetime: one repetition may be lost
SLOW_FACTOR = 4.0  # empirical: a node is slow whose latency is so many times the average of all nodes
# Weight of a new sample in the moving averages of latency.  Empirical: a larger weight follows single slow
# requests, a smaller one notices a slow node later.
LATENCY_WEIGHT = 0.1
UNANSWERED_OUTCOMES = (Outcome.CONNECT_FAILED, Outcome.TIMEOUT, Outcome.RESET)


@dataclass(slots=True)
class _ObservedNode:
    """A node in its present incarnation.

    :param failures: attempts without an answer since the last successful one.
    :param rejections: attempts in a row that were rejected.
    :param published_ms: when each statement in force was last published.
    """

    incarnation: int
    failures: int = 0
    rejections: int = 0
    latency_ms: float = 0.0
    published_ms: dict[HealthKind, float] = field(default_factory=dict)


class WarmingNode(NamedTuple):
    """A node that has started anew."""

    name: str
    started_ms: float


class NodeObserver:
    """Publishes this gateway's observations of the nodes on its endpoint list."""

    def __init__(self, settings: Settings, fleet: Fleet) -> None:
        """Create an observer without nodes."""
        self._settings, self._fleet = settings, fleet
        self._nodes: dict[str, _ObservedNode] = {}
        self._warming: dict[int, WarmingNode] = {}  # latest to start, by shard
        self._average_latency_ms = 0.0

    def incarnation_of(self, node: str) -> int | None:
        """Return the incarnation of a node on this gateway's list, `None` where it is not listed."""
        observed = self._nodes.get(node)
        return observed.incarnation if observed is not None else None

    def warming_node(self, shard: int, now_ms: float) -> str | None:
        """Return the node of a shard that is in slow start, if any."""
        warming = self._warming.get(shard)
        return warming.name if warming is not None and self._is_warming(warming.started_ms, now_ms) else None

    def _is_warming(self, started_ms: float, now_ms: float) -> bool:
        return started_ms > 0 and now_ms - started_ms < self._settings.slow_start_ms

    # ---- the endpoint list

    def on_list_update(self, update: EndpointListUpdate, now_ms: float) -> None:
        """Follow the endpoint list, and publish which nodes are warming up."""
        if update.kind is UpdateKind.FAILED:
            return
        if update.kind is not UpdateKind.CHANGES:
            listed = {entry.node for entry in update.entries}
            self._nodes = {name: node for name, node in self._nodes.items() if name in listed}
            self._warming = {shard: node for shard, node in self._warming.items() if node.name in listed}
        for entry in update.entries:
            self._on_entry(entry, now_ms)

    def _on_entry(self, entry: EndpointEntry, now_ms: float) -> None:
        if entry.state is EndpointState.GONE:
            self._nodes.pop(entry.node, None)
            return
        incarnation = int(entry.started_ms)
        if self.incarnation_of(entry.node) != incarnation:
            self._nodes[entry.node] = _ObservedNode(incarnation)
        if self._is_warming(entry.started_ms, now_ms):
            self._warming[entry.shard] = WarmingNode(entry.node, entry.started_ms)
            remaining_ms = self._settings.slow_start_ms - (now_ms - entry.started_ms)
            self._fleet.publish_health(
                entry.node, HealthKind.WARMING_UP, incarnation, 1, remaining_ms, now_ms
            )

    # ---- attempts

    def on_attempt_ended(self, attempt: AttemptEnded, now_ms: float) -> None:
        """Update the node's failure counters and latency, and publish what follows from them."""
        node = self._nodes.get(attempt.node)
        if node is None:
            return
        self._count(node, attempt)
        is_unreachable = node.failures >= FAILURE_THRESHOLD
        self._update(
            attempt.node, HealthKind.UNREACHABLE, int(is_unreachable), UNREACHABLE_LIFETIME_MS, now_ms
        )
        if self._settings.peer_message_cost > 0:
            return  # no decision depends on the statements below: not worth paying for their messages
        is_rejecting = node.rejections >= FAILURE_THRESHOLD
        self._update(attempt.node, HealthKind.REJECTING, int(is_rejecting), REJECTING_LIFETIME_MS, now_ms)
        is_slow = node.latency_ms > SLOW_FACTOR * self._average_latency_ms
        latency_ms = int(node.latency_ms) if is_slow else 0
        self._update(attempt.node, HealthKind.SLOW, latency_ms, SLOW_LIFETIME_MS, now_ms)

    def _count(self, node: _ObservedNode, attempt: AttemptEnded) -> None:
        if attempt.outcome in UNANSWERED_OUTCOMES:
            node.failures += 1
        elif attempt.outcome is Outcome.OK:
            node.failures = 0
            node.latency_ms = _moving_average(node.latency_ms, attempt.latency_ms)
            self._average_latency_ms = _moving_average(self._average_latency_ms, attempt.latency_ms)
        node.rejections = node.rejections + 1 if attempt.outcome is Outcome.FULL else 0

    def _update(self, name: str, kind: HealthKind, value: int, lifetime_ms: float, now_ms: float) -> None:
        """Publish a statement as often as its lifetime requires; a `value` of 0 withdraws it."""
        node = self._nodes[name]
        last_ms = node.published_ms.get(kind)
        if value:
            if last_ms is not None and now_ms - last_ms < lifetime_ms * REPEAT_FRACTION:
                return
            node.published_ms[kind] = now_ms
        else:
            if last_ms is None:
                return
            del node.published_ms[kind]
            if now_ms - last_ms >= lifetime_ms:
                return  # it has expired by itself
        self._fleet.publish_health(name, kind, node.incarnation, value, lifetime_ms, now_ms)


def _moving_average(average: float, sample: float) -> float:
    """Return the exponentially weighted moving average; 0 means that there is none yet."""
    return average + (sample - average) * (LATENCY_WEIGHT if average else 1.0)
