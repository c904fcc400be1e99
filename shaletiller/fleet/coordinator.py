"""Connects a gateway's scheduler with its member of the fleet.

The coordinator examines each event before the scheduler handles it, and returns the events that the scheduler
must handle first.  Events that result from messages and timers are passed to the gateway as they occur.  The
coordinator takes no scheduling decisions.  A quota is an upper bound on spending, and a report that a node is
unreachable is a reason not to send to it; neither permits anything that the scheduler's own rules forbid.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Literal, Protocol

from shaletiller.fleet.codec import HealthRecord
from shaletiller.fleet.core import Fleet, FleetOptions
from shaletiller.fleet.health_gossip import STATS_NAMES, Departure, DepartureState, HealthKind
from shaletiller.fleet.membership import MemberState
from shaletiller.fleet.node_observer import NodeObserver
from shaletiller.fleet.quotas import NO_ALLOWANCE, Allowance, Quota
from shaletiller.messages.events import (
    AttemptEnded,
    EndpointListUpdate,
    EndpointReportedDown,
    Event,
    QuotaUpdated,
    Request,
)
from shaletiller.settings.model import Settings

Policy = Literal["strict", "available"]
# Lifetime of the record of a manual ejection.  It is extended while a majority of the fleet is connected, so
# it expires only at a gateway that is partitioned for this long.
EJECTION_LIFETIME_MS = 24 * 3600_000.0
# Lifetime of the record of a departure.  It is longer than any discovery outage after which gateways receive
# a new endpoint list.
DEPARTURE_LIFETIME_MS = 600_000.0
VOLUME_PREFIX = "v:"  # prefix of the limit of a volume in messages
WARM_UP_PREFIX = "c:"  # prefix of the warm-up budget of a node in messages


class GatewayPort(Protocol):
    """Callbacks of the coordinator, implemented by its gateway."""

    def send(self, member: int, data: bytes) -> None:
        """Send a datagram to a member; it may be lost."""

    def handle(self, event: Event) -> object:
        """Pass an event to the scheduler."""

    def set_ejected(self, node: str, is_ejected: bool) -> None:
        """Apply an operator's command from another gateway: eject a node, or end its ejection."""

    def on_node_restart(self, node: str, started_ms: float) -> None:
        """Handle a restart of a node that another gateway's endpoint list reports."""

    def on_node_departure(self, node: str, incarnation: int, departure: Departure) -> None:
        """Handle the departure state of a node in another gateway's endpoint list."""


class FleetCoordinator:
    """Passes information between one gateway and its member of the fleet; implements `FleetListener`."""

    def __init__(
        self,
        me: int,
        names: Sequence[str],
        now_ms: float,
        settings: Settings,
        options: FleetOptions,
        policies: Mapping[str, Policy],
        gateway: GatewayPort,
        seed: int = 0,
        name: str = "",
        shares_warm_up_budgets: bool = True,
    ) -> None:
        """Create the coordinator and its member of the fleet; nothing is sent before the first tick.

        :param me: number of this member.
        :param names: names of all members.
        :param policies: policy of each plan's limit, by plan name; plans that are not listed are `strict`.
        :param gateway: receives the coordinator's calls.
        :param seed: seed of the member's random choices.
        :param name: name of the fleet.
        :param shares_warm_up_budgets: whether the warm-up budgets of nodes are shared by the fleet.
        """
        self._settings = settings
        self._policies = policies
        self._shares_warm_up_budgets = shares_warm_up_budgets and settings.warm_up_units > 0
        self._gateway = gateway
        # Events that the scheduler must handle first; `None` unless an event is being examined.
        self._preceding: list[Event] | None = None
        self._now_ms = now_ms
        self._ejected: frozenset[str] = frozenset()
        self.fleet = Fleet(me, names, now_ms, options, self, seed, name)
        self._observer = NodeObserver(settings, self.fleet)

    def events_before(self, event: Event, now_ms: float) -> list[Event]:
        """Examine an event, and return the events that the scheduler must handle before it."""
        self._now_ms = now_ms
        self._preceding = []
        if isinstance(event, Request):
            self._handle_request(event)
        elif isinstance(event, AttemptEnded):
            self._observer.handle_attempt_ended(event, now_ms)
        elif isinstance(event, EndpointListUpdate):
            self._observer.handle_list_update(event, now_ms)
        preceding, self._preceding = self._preceding, None
        return preceding

    def _handle_request(self, request: Request) -> None:
        plan = next((plan for plan in self._settings.plans if plan.name == request.plan), None)
        if plan is not None and plan.limit_rate > 0:
            limit = Allowance(plan.limit_rate, plan.limit_burst)
            is_available = self._policies.get(plan.name, "strict") == "available"
            equal_share = limit.scaled(1 / max(1, request.volume_gateways)) if is_available else NO_ALLOWANCE
            self.fleet.record_demand(
                f"{VOLUME_PREFIX}{request.volume}",
                limit,
                request.units,
                self._settings.max_units,
                self._now_ms,
                partitioned_allowance=equal_share,
            )
        warming = self._observer.warming_node(request.shard, self._now_ms)
        if warming is not None and self._shares_warm_up_budgets:
            self.fleet.record_demand(
                f"{WARM_UP_PREFIX}{warming}",
                Allowance(0.0, self._settings.warm_up_units),
                request.units,
                self._settings.max_units,
                self._now_ms,
                settle_ms=self._settings.overload_window_ms,
            )

    def set_ejected(self, node: str, is_ejected: bool, now_ms: float) -> None:
        """Publish an operator's DISABLE or ENABLE command at this gateway."""
        self._now_ms = now_ms
        self._remember_ejection(node, is_ejected)
        value = 1 if is_ejected else 0
        self.fleet.publish_health(node, HealthKind.EJECTED, 0, value, EJECTION_LIFETIME_MS, now_ms)

    def _remember_ejection(self, node: str, is_ejected: bool) -> None:
        self._ejected = self._ejected | {node} if is_ejected else self._ejected - {node}

    def publish_departure(
        self, node: str, incarnation: int, version: int, state: DepartureState, now_ms: float
    ) -> None:
        """Publish the state of a node in this gateway's endpoint list, unless the fleet already knows it.

        :param node: name of the node.
        :param incarnation: incarnation of the node.
        :param version: version of the endpoint list.
        :param state: state of the node in that version.
        """
        self._now_ms = now_ms
        value, known = Departure(version, state).to_value(), self.fleet.health.departure_record(node)
        if known is None or (known.incarnation, known.value) < (incarnation, value):
            kind = HealthKind.DEPARTING
            self.fleet.publish_health(node, kind, incarnation, value, DEPARTURE_LIFETIME_MS, now_ms)

    def restore(self, record: HealthRecord) -> None:
        """Merge a stored record of an operator's command with its original timestamp, so newer ones win."""
        self.fleet.health.merge(record, self._now_ms)

    def receive(self, data: bytes, now_ms: float) -> None:
        """Handle a datagram from another member."""
        self._now_ms = now_ms
        self.fleet.receive(data, now_ms)

    def tick(self, now_ms: float) -> None:
        """Advance the fleet's protocols, and extend the lifetimes of manual ejections."""
        self._now_ms = now_ms
        self.fleet.tick(now_ms)
        if self.fleet.connected:
            self.fleet.health.extend_expiry(
                HealthKind.EJECTED, now_ms + EJECTION_LIFETIME_MS / 2, now_ms + EJECTION_LIFETIME_MS, now_ms
            )

    def stop(self, now_ms: float) -> None:
        """Shut down gracefully."""
        self._now_ms = now_ms
        self.fleet.stop(now_ms)

    # `send` and the `on_..._changed` methods implement core.FleetListener.

    def send(self, member: int, data: bytes) -> None:
        """Send a datagram to a member."""
        self._gateway.send(member, data)

    def on_quota_changed(self, limit: str, quota: Quota) -> None:
        """Notify the scheduler of a new quota."""
        self._emit(QuotaUpdated(limit.partition(":")[2], quota))

    def on_health_changed(self, node: str, kind: HealthKind) -> None:
        """Evaluate changed records; kinds that are only displayed to operators need no action."""
        if kind is HealthKind.EJECTED:
            self._on_ejection(node)
        elif kind is HealthKind.UNREACHABLE:
            self._on_unreachable(node)
        elif kind is HealthKind.WARMING_UP:
            self._on_warming_up(node)
        elif kind is HealthKind.DEPARTING:
            self._on_departure(node)

    def _on_ejection(self, node: str) -> None:
        is_ejected = node in self.fleet.health.ejected_nodes(self._now_ms)
        if is_ejected != (node in self._ejected):
            self._remember_ejection(node, is_ejected)
            self._gateway.set_ejected(node, is_ejected)

    def _on_unreachable(self, node: str) -> None:
        agreed = self.fleet.agreed_health(node, HealthKind.UNREACHABLE, self._now_ms)
        incarnation = self._observer.incarnation_of(node)
        if incarnation is not None and (agreed is None or agreed.incarnation >= incarnation):
            self._emit(EndpointReportedDown(node, agreed.expires_ms if agreed is not None else 0.0))

    def _on_warming_up(self, node: str) -> None:
        agreed = self.fleet.agreed_health(node, HealthKind.WARMING_UP, self._now_ms)
        incarnation = self._observer.incarnation_of(node)
        if incarnation is not None and agreed is not None and agreed.incarnation > incarnation:
            self._gateway.on_node_restart(node, float(agreed.incarnation))

    def _on_departure(self, node: str) -> None:
        record = self.fleet.health.departure_record(node)
        departure = Departure.from_value(record.value) if record is not None else None
        if record is not None and departure is not None:
            self._gateway.on_node_departure(node, record.incarnation, departure)

    def on_member_changed(self, member: int, before: MemberState, after: MemberState) -> None:
        """Ignore state changes of members: they affect the choice of granters, but not the scheduler."""

    def _emit(self, event: Event) -> None:
        if self._preceding is not None:
            self._preceding.append(event)
        else:
            self._gateway.handle(event)

    def stats(self) -> dict[str, int]:
        """Return the fleet's entries of the operators' STATS command, by key; see docs/operations.md."""
        fleet = self.fleet
        records = list(fleet.health)
        quotas = [fleet.quota(limit, self._now_ms) for limit in fleet.leases.limits()]
        counts = fleet.counts
        return {
            "fleet.members": len(fleet.membership.alive()),
            "fleet.configured": len(fleet.names),
            "fleet.connected": int(fleet.connected),
            "fleet.superseded": int(fleet.membership.superseded),
            "fleet.limits": len(quotas),
            "fleet.leases": sum(bool(quota.steps) for quota in quotas),
            "fleet.granting": len(fleet.leases.granted_totals()),
            "fleet.verdicts": len(records),
            **{
                f"fleet.verdicts.{name}": sum(record.kind == kind and record.value > 0 for record in records)
                for kind, name in STATS_NAMES.items()
            },
            "fleet.sent": counts["sent"],
            "fleet.sent_bytes": counts["sent_bytes"],
            "fleet.received": counts["received"],
            "fleet.held_back": counts["held_back"],
            **{f"fleet.dropped.{why}": number for why, number in sorted(fleet.reader.dropped.items())},
        }
