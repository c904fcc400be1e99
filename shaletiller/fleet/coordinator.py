"""Between one gateway's decisions and its part in the fleet: what either must hear of the other.

It is shown each event before the decision module has it, and gives the events that the module must have
first.  What comes of messages and of time goes to `decide`.  It decides nothing that the module decides: a
share is what may be spent, a word of others that a node is gone is a reason not to send, and neither ever
lets anything go out that the module's own rules would hold back.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Literal

from shaletiller.fleet.codec import HealthRecord
from shaletiller.fleet.core import Fleet, Options
from shaletiller.fleet.health_gossip import Departs, Kind
from shaletiller.fleet.membership import State
from shaletiller.fleet.quotas import NOTHING, Amount, Quota
from shaletiller.messages.endpoints import EndpointState, UpdateKind
from shaletiller.messages.events import (
    AttemptEnded,
    EndpointListUpdate,
    EndpointReportedDown,
    Event,
    QuotaUpdated,
    Request,
)
from shaletiller.messages.outcomes import Outcome
from shaletiller.settings.model import Settings

Policy = Literal["strict", "available"]
FAILURES = 3  # so many attempts in a row that find nothing make a node seem gone
GONE_MS = 3_000.0  # a word that a node is gone holds so long; it is said again while attempts go on failing
AGAIN_PART = 0.5  # and no sooner than after this part of that
TURNING_MS, SLOW_MS = 2_000.0, 4_000.0
SLOW_TIMES = 4.0  # a node is slow whose lag is so many times the usual one here
BAN_MS = 24 * 3600_000.0  # an operator's word; it is renewed as long as most of the fleet is there
LAG_PART = 0.1
LEAVING_MS = 600_000.0  # how long what the node list said of a life is passed on


@dataclass(slots=True)
class _Node:
    """What this gateway has seen of a node in its present life."""

    incarnation: int
    shard: int
    failures: int = 0
    full: int = 0
    latency_ms: float = 0.0
    said_ms: dict[Kind, float] | None = None


class FleetCoordinator:
    """The outlet of a fleet's member.

    `decide` is given events for the module, `ban` the nodes that operators took out and those for which that
    has changed, `renew` a node that has started anew, with its `started_ms`."""

    def __init__(
        self,
        me: int,
        names: Sequence[str],
        now_ms: float,
        settings: Settings,
        options: Options,
        policies: Mapping[str, Policy],
        send: Callable[[int, bytes], None],
        decide: Callable[[Event], None],
        ban: Callable[[str, bool], None],
        renew: Callable[[str, float], None],
        seed: int = 0,
        name: str = "",
        cold_budgets: bool = True,
    ) -> None:
        self.settings = settings
        self._policies = policies
        self._cold_budgets = cold_budgets and settings.warm_up_units > 0
        self.send = send
        self._decide, self._ban, self._renew = decide, ban, renew
        self._first: list[Event] | None = None  # what the module must have before an event
        self._nodes: dict[str, _Node] = {}
        self._cold: dict[int, tuple[str, float]] = {}  # by shard: the node that has just started, and when
        self._usual_ms = 0.0
        self._now = now_ms
        self._banned: frozenset[str] = frozenset()
        # Told what another gateway's list says of a node: node, life, the list's version, what.
        self.departs: Callable[[str, int, int, Departs], None] = lambda node, incarnation, version, what: None
        self.fleet = Fleet(me, names, now_ms, options, self, seed, name)

    # ---- what the gateway shows

    def precede(self, event: Event, now_ms: float) -> list[Event]:
        """What the module must have before this event."""
        self._now = now_ms
        self._first = []
        if isinstance(event, Request):
            self._on_request(event)
        elif isinstance(event, AttemptEnded):
            self._on_attempted(event)
        elif isinstance(event, EndpointListUpdate):
            self._on_list(event)
        found, self._first = self._first, None
        return found

    def _on_request(self, ask: Request) -> None:
        plan = next((plan for plan in self.settings.plans if plan.name == ask.plan), None)
        if plan is not None and plan.limit_rate > 0:
            policy = self._policies.get(plan.name, "strict")
            of = Amount(plan.limit_rate, plan.limit_burst)
            even = of.times(1 / max(1, ask.volume_gateways)) if policy == "available" else NOTHING
            self.fleet.asked(f"v:{ask.volume}", of, ask.units, self.settings.max_units, self._now, even=even)
        cold = self._cold.get(ask.shard)
        if cold is not None and self._is_cold(cold[1]) and self._cold_budgets:
            self.fleet.asked(
                f"c:{cold[0]}",
                Amount(0.0, self.settings.warm_up_units),
                ask.units,
                self.settings.max_units,
                self._now,
                settle_ms=self.settings.overload_window_ms,
            )

    def _is_cold(self, started_ms: float) -> bool:
        return started_ms > 0 and self._now - started_ms < self.settings.slow_start_ms

    def _on_list(self, event: EndpointListUpdate) -> None:
        if event.kind is UpdateKind.FAILED:
            return
        if event.kind is not UpdateKind.CHANGES:
            told = {entry.node for entry in event.entries}
            self._nodes = {node: known for node, known in self._nodes.items() if node in told}
            self._cold = {shard: cold for shard, cold in self._cold.items() if cold[0] in told}
        for entry in event.entries:
            if entry.state is EndpointState.GONE:
                self._nodes.pop(entry.node, None)
                continue
            incarnation = int(entry.started_ms)
            known = self._nodes.get(entry.node)
            if known is None or known.incarnation != incarnation:
                self._nodes[entry.node] = _Node(incarnation, entry.shard)
            if self._is_cold(entry.started_ms):
                self._cold[entry.shard] = entry.node, entry.started_ms
                left_ms = self.settings.slow_start_ms - (self._now - entry.started_ms)
                self.fleet.observe(entry.node, Kind.COLD, incarnation, 1, left_ms, self._now)

    def _on_attempted(self, event: AttemptEnded) -> None:
        node = self._nodes.get(event.node)
        if node is None:
            return
        lost = event.outcome in (Outcome.CONNECT_FAILED, Outcome.TIMEOUT, Outcome.RESET)
        node.failures = node.failures + 1 if lost else 0 if event.outcome is Outcome.OK else node.failures
        node.full = node.full + 1 if event.outcome is Outcome.FULL else 0
        if event.outcome is Outcome.OK:
            node.latency_ms += (event.latency_ms - node.latency_ms) * (LAG_PART if node.latency_ms else 1.0)
            self._usual_ms += (event.latency_ms - self._usual_ms) * (LAG_PART if self._usual_ms else 1.0)
        self._word(event.node, node, Kind.DEAD, 1 if node.failures >= FAILURES else 0, GONE_MS)
        if self.settings.peer_message_cost > 0:
            return  # no decision goes by the others: they are operators' to read, and not worth a price
        slow = node.latency_ms > SLOW_TIMES * self._usual_ms
        self._word(event.node, node, Kind.TURNING, 1 if node.full >= FAILURES else 0, TURNING_MS)
        self._word(event.node, node, Kind.SLOW, int(node.latency_ms) if slow else 0, SLOW_MS)

    def _word(self, name: str, node: _Node, kind: Kind, value: int, for_ms: float) -> None:
        """Say it, no more often than needed to keep it up; take it back at once."""
        said = node.said_ms or {}
        last_ms = said.get(kind)
        if value and (last_ms is None or self._now - last_ms >= for_ms * AGAIN_PART):
            node.said_ms = {**said, kind: self._now}
        elif not value and last_ms is not None:
            node.said_ms = {each: when for each, when in said.items() if each is not kind}
            if self._now - last_ms >= for_ms:
                return  # it has ended by itself
        else:
            return
        self.fleet.observe(name, kind, node.incarnation, value, for_ms, self._now)

    def ban(self, node: str, out: bool, now_ms: float) -> None:
        """An operator's DISABLE or ENABLE at this gateway's door."""
        self._now = now_ms
        self._banned = self._banned | {node} if out else self._banned - {node}
        self.fleet.observe(node, Kind.BAN, 0, 1 if out else 0, BAN_MS, now_ms)

    def listed(self, node: str, incarnation: int, version: int, what: Departs, now_ms: float) -> None:
        """This gateway's own list says so of a node: it is passed on where it is news."""
        self._now = now_ms
        value, known = version * 4 + what, self.fleet.verdicts.leaving(node)
        if known is None or (known.incarnation, known.value) < (incarnation, value):
            self.fleet.observe(node, Kind.LEAVING, incarnation, value, LEAVING_MS, now_ms)

    def restore(self, word: HealthRecord) -> None:
        """An operator's word as it was kept: with the stamp that it had, so that a newer one stands."""
        self.fleet.verdicts.take(word, self._now)

    # ---- messages and time

    def receive(self, data: bytes, now_ms: float) -> None:
        self._now = now_ms
        self.fleet.receive(data, now_ms)

    def tick(self, now_ms: float) -> None:
        self._now = now_ms
        self.fleet.tick(now_ms)
        if self.fleet.connected:
            self.fleet.verdicts.renew(Kind.BAN, now_ms + BAN_MS / 2, now_ms + BAN_MS, now_ms)

    def stop(self, now_ms: float) -> None:
        self._now = now_ms
        self.fleet.stop(now_ms)

    # ---- the fleet's outlet

    def share(self, limit: str, share: Quota) -> None:
        self._tell(QuotaUpdated(limit.partition(":")[2], share))

    def verdict(self, node: str, kind: Kind) -> None:
        if kind is Kind.BAN:
            out = node in self.fleet.verdicts.banned(self._now)
            if out != (node in self._banned):
                self._banned = self._banned | {node} if out else self._banned - {node}
                self._ban(node, out)
        elif kind is Kind.DEAD:
            found = self.fleet.agreed(node, kind, self._now)
            known = self._nodes.get(node)
            if known is not None and (found is None or found.incarnation >= known.incarnation):
                self._tell(EndpointReportedDown(node, found.until_ms if found is not None else 0.0))
        elif kind is Kind.COLD:
            found = self.fleet.agreed(node, kind, self._now)
            known = self._nodes.get(node)
            if known is not None and found is not None and found.incarnation > known.incarnation:
                self._renew(node, float(found.incarnation))

        elif kind is Kind.LEAVING:
            word = self.fleet.verdicts.leaving(node)
            if word is not None and word.value % 4 in Departs._value2member_map_:
                self.departs(node, word.incarnation, word.value // 4, Departs(word.value % 4))

    def member(self, member: int, before: State, after: State) -> None:
        """Who is there changes who grants, and nothing that the module decides."""

    def _tell(self, event: Event) -> None:
        if self._first is not None:
            self._first.append(event)
        else:
            self._decide(event)

    # ---- figures

    def figures(self) -> dict[str, int]:
        """What the operators' STATS says of the fleet; see docs/operations.md."""
        fleet, now_ms = self.fleet, self._now
        words = list(fleet.verdicts)
        shares = [fleet.share(limit, now_ms) for limit in fleet.leases.limits()]
        counts = fleet.counts
        return {
            "fleet.members": len(fleet.membership.alive()),
            "fleet.configured": len(fleet.names),
            "fleet.connected": int(fleet.connected),
            "fleet.superseded": int(fleet.membership.superseded),
            "fleet.limits": len(shares),
            "fleet.leases": sum(bool(share.steps) for share in shares),
            "fleet.granting": len(fleet.leases.granted()),
            "fleet.verdicts": len(words),
            **{
                f"fleet.verdicts.{kind.name.lower()}": sum(
                    word.kind == kind and word.value > 0 for word in words
                )
                for kind in Kind
            },
            "fleet.sent": counts["sent"],
            "fleet.sent_bytes": counts["sent_bytes"],
            "fleet.received": counts["received"],
            "fleet.held_back": counts["held_back"],
            **{f"fleet.dropped.{why}": number for why, number in sorted(fleet.reader.dropped.items())},
        }
