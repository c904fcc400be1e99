"""Publishes what this gateway observes about storage nodes as health records for the other gateways.

The observations come from the endpoint list and from the outcomes of this gateway's attempts.
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

# Number of consecutive attempts without a response, or rejected, after which a node is reported.  A smaller
# value reports the loss of single connections; with a larger value, a dead node is sent requests for longer.
FAILURE_THRESHOLD = 3
# Lifetimes of the statements.  A statement is repeated while attempts keep failing.  A longer lifetime keeps
# load away from a recovered node for longer; a shorter lifetime needs more messages.
UNREACHABLE_LIFETIME_MS = 3_000.0
REJECTING_LIFETIME_MS = 2_000.0
SLOW_LIFETIME_MS = 4_000.0
# Fraction of its lifetime after which a statement is repeated; at one half, one repetition may be lost.
REPEAT_FRACTION = 0.5
# Ratio of a node's latency to the average of all nodes above which the node is reported as slow.
SLOW_FACTOR = 4.0
# Weight of a new sample in the moving averages of latency.  With a larger value they follow single slow
# requests; with a smaller value a slow node is detected later.
LATENCY_WEIGHT = 0.1
UNANSWERED_OUTCOMES = (Outcome.CONNECT_FAILED, Outcome.TIMEOUT, Outcome.RESET)


@dataclass(slots=True)
class _ObservedNode:
    """Observations of a node in its current incarnation.

    :param failures: number of attempts without a response since the last successful attempt.
    :param rejections: number of consecutive rejected attempts.
    :param latency_ms: moving average of the latency of successful attempts; 0 before the first one.
    :param published_ms: time at which each current statement was last published.
    """

    incarnation: int
    failures: int = 0
    rejections: int = 0
    latency_ms: float = 0.0
    published_ms: dict[HealthKind, float] = field(default_factory=dict)


class WarmingNode(NamedTuple):
    """A node that has started recently."""

    name: str
    started_ms: float


class NodeObserver:
    """Publishes this gateway's observations of the nodes in its endpoint list."""

    def __init__(self, settings: Settings, fleet: Fleet) -> None:
        """Create an observer without nodes."""
        self._settings, self._fleet = settings, fleet
        self._nodes: dict[str, _ObservedNode] = {}
        self._warming: dict[int, WarmingNode] = {}  # the node that started last, by shard
        self._average_latency_ms = 0.0

    def incarnation_of(self, node: str) -> int | None:
        """Return the incarnation of a node, or `None` if it is not in this gateway's endpoint list."""
        observed = self._nodes.get(node)
        return observed.incarnation if observed is not None else None

    def warming_node(self, shard: int, now_ms: float) -> str | None:
        """Return the node of a shard that is in slow start, or `None` if there is none."""
        warming = self._warming.get(shard)
        return warming.name if warming is not None and self._is_warming(warming.started_ms, now_ms) else None

    def _is_warming(self, started_ms: float, now_ms: float) -> bool:
        return started_ms > 0 and now_ms - started_ms < self._settings.slow_start_ms

    def handle_list_update(self, update: EndpointListUpdate, now_ms: float) -> None:
        """Apply an update of the endpoint list, and publish which nodes are warming up."""
        if update.kind is UpdateKind.FAILED:
            return
        if update.kind is not UpdateKind.CHANGES:
            listed = {entry.node for entry in update.entries}
            self._nodes = {name: node for name, node in self._nodes.items() if name in listed}
            self._warming = {shard: node for shard, node in self._warming.items() if node.name in listed}
        for entry in update.entries:
            self._handle_entry(entry, now_ms)

    def _handle_entry(self, entry: EndpointEntry, now_ms: float) -> None:
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

    def handle_attempt_ended(self, attempt: AttemptEnded, now_ms: float) -> None:
        """Update the failure counters and the latency of the node, and publish the resulting statements."""
        node = self._nodes.get(attempt.node)
        if node is None:
            return
        self._record_outcome(node, attempt)
        is_unreachable = node.failures >= FAILURE_THRESHOLD
        self._publish_statement(
            attempt.node, HealthKind.UNREACHABLE, int(is_unreachable), UNREACHABLE_LIFETIME_MS, now_ms
        )
        if self._settings.peer_message_cost > 0:
            return  # messages have a cost, and no decision depends on the statements below
        is_rejecting = node.rejections >= FAILURE_THRESHOLD
        self._publish_statement(
            attempt.node, HealthKind.REJECTING, int(is_rejecting), REJECTING_LIFETIME_MS, now_ms
        )
        is_slow = node.latency_ms > SLOW_FACTOR * self._average_latency_ms
        latency_ms = int(node.latency_ms) if is_slow else 0
        self._publish_statement(attempt.node, HealthKind.SLOW, latency_ms, SLOW_LIFETIME_MS, now_ms)

    def _record_outcome(self, node: _ObservedNode, attempt: AttemptEnded) -> None:
        if attempt.outcome in UNANSWERED_OUTCOMES:
            node.failures += 1
        elif attempt.outcome is Outcome.OK:
            node.failures = 0
            node.latency_ms = _moving_average(node.latency_ms, attempt.latency_ms)
            self._average_latency_ms = _moving_average(self._average_latency_ms, attempt.latency_ms)
        node.rejections = node.rejections + 1 if attempt.outcome is Outcome.FULL else 0

    def _publish_statement(
        self, name: str, kind: HealthKind, value: int, lifetime_ms: float, now_ms: float
    ) -> None:
        """Publish a statement, repeating it in time before it expires; a `value` of 0 withdraws it."""
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
                return  # already expired
        self._fleet.publish_health(name, kind, node.incarnation, value, lifetime_ms, now_ms)


def _moving_average(average: float, sample: float) -> float:
    """Return the exponentially weighted moving average; an `average` of 0 means no sample yet."""
    return average + (sample - average) * (LATENCY_WEIGHT if average else 1.0)
