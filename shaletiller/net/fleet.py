"""Input and output of the fleet: the carrier of its messages, its clock ticks, and the engine.

Decisions are taken in `shaletiller.fleet`.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence

from shaletiller.clock import Clock, Timer
from shaletiller.config import Config, ConfigError, read_address
from shaletiller.config.operator_model import FleetConfig
from shaletiller.core.engine import Engine
from shaletiller.core.manual_ejection import ManualEjections
from shaletiller.fleet.coordinator import FleetCoordinator
from shaletiller.fleet.health_gossip import Departure, DepartureState
from shaletiller.messages.endpoints import EndpointState
from shaletiller.messages.events import Event
from shaletiller.net.links import Links
from shaletiller.net.peers import PeerEndpoint
from shaletiller.replication.messages import FRAME_PREFIX

logger = logging.getLogger(__name__)

TICK_MS = 25.0  # empirical: shorter ticks cost CPU, longer ones delay acks and gossip by as much
# A tick later than this is counted in STATS: the process was paused or starved of CPU, and the failure
# detector and the leases suffer from it.
LATE_TICK_MS = 100.0
DEPARTURE_STATES = {
    EndpointState.DRAINING: DepartureState.DRAINING,
    EndpointState.GONE: DepartureState.LEFT,
    EndpointState.READY: DepartureState.ACTIVE,
}
ENDPOINT_STATES = {departure: state for state, departure in DEPARTURE_STATES.items()}

# Receives what another gateway's endpoint list says: node, incarnation, list version, state.
DepartureHandler = Callable[[str, int, int, EndpointState], None]


class FleetAgent:
    """One gateway's member of the fleet, on its carrier; the coordinator's `GatewayPort`."""

    def __init__(
        self,
        config: Config,
        part: FleetConfig,
        engine: Engine,
        clock: Clock,
        on_departure: DepartureHandler,
    ) -> None:
        """Create the gateway's member on the carrier that the operator file configures.

        :param part: the fleet's part of the operator file.
        :param on_departure: receives what other gateways' endpoint lists say of nodes.
        """
        self._clock, self._engine, self._on_departure = clock, engine, on_departure
        self._links: Links | None = None
        self._peers: PeerEndpoint | None = None
        self._ejections: ManualEjections | None = None
        self._timer: Timer | None = None
        self._ticked_ms = clock.now_ms()
        self._late_ticks = 0
        self._on_replication_message: Callable[[bytes], None] | None = None
        names, me = self._members(config, part)
        self.coordinator = FleetCoordinator(
            me,
            names,
            clock.now_ms(),
            config.settings,
            part.options(len(names)),
            {limit.name: limit.policy for limit in part.limit},
            self,
            config.seed,
            self._fleet_name(config, part),
            part.cold_budgets,
        )
        if part.carrier == "tcp":
            addresses = [read_address(each.address, f"fleet.member {each.name}") for each in part.member]
            self._links = Links(me, addresses, self.receive, config.seed)

    @staticmethod
    def _fleet_name(config: Config, part: FleetConfig) -> str:
        """Return the name by which members recognize each other.

        Gateways that replicate lease tables lend by other rules than those that do not: two fleets.
        """
        replication = config.operator.replication if config.operator is not None else None
        has_tables = replication is not None and replication.on and replication.lease_tables
        return f"{part.name}+tables" if has_tables else part.name

    @staticmethod
    def _members(config: Config, part: FleetConfig) -> tuple[list[str], int]:
        """Return the names of all members, and the number of this one.

        With the carrier `datagrams` the platform numbers the gateways, and each reaches the others at
        addresses of its own.

        :raises ConfigError: where the settings allow no datagrams between gateways.
        """
        if part.carrier == "datagrams":
            if not config.settings.peer_messages_allowed or not config.peers:
                raise ConfigError("EDGE_OPERATOR: fleet.carrier: the settings allow gateways no datagrams")
            return [str(number) for number in range(len(config.peers))], config.settings.gateway_index
        names = [member.name for member in part.member]
        return names, names.index(part.me or config.name)

    # ---- start and stop

    async def start(
        self, peers: PeerEndpoint, ejections: ManualEjections, announce_ejections: bool = True
    ) -> None:
        """Join the fleet.

        :param announce_ejections: publish the manual ejections that the previous process left.
        """
        self._peers, self._ejections = peers, ejections
        if self._links is not None:
            await self._links.start()
        if announce_ejections:
            for node in sorted(ejections.nodes):
                self.publish_ejection(node, True)
        self._tick()
        fleet = self.coordinator.fleet
        logger.info(
            "fleet: joined as member %s of %d, incarnation %d",
            fleet.names[fleet.me],
            len(fleet.names),
            fleet.incarnation,
        )

    def stop(self) -> None:
        """Leave the fleet, as part of a graceful shutdown: from now on all quotas are zero."""
        self.coordinator.stop(self._clock.now_ms())

    def close(self) -> None:
        """Stop the ticks and close the links."""
        if self._timer is not None:
            self._timer.cancel()
        if self._links is not None:
            self._links.close()

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._ticked_ms > LATE_TICK_MS:
            self._late_ticks += 1
        self._ticked_ms = now_ms
        self._timer = self._clock.call_later(TICK_MS, self._tick)
        try:
            self.coordinator.tick(now_ms)
        except Exception:  # requests must be served on whatever fails here
            logger.exception("fleet: tick failed; leases expire unless a later tick succeeds")

    # ---- messages

    def set_replication_handler(self, handler: Callable[[bytes], None]) -> None:
        """Pass messages of the replication protocol, which share the carrier, to a handler.

        Not an argument of the constructor: the replication agent is constructed with this agent.
        """
        self._on_replication_message = handler

    def events_before(self, event: Event, now_ms: float) -> Sequence[Event]:
        """The events that the scheduler must handle before this one."""
        return self.coordinator.events_before(event, now_ms)

    def receive(self, data: bytes) -> None:
        """Handle a message of another gateway."""
        if data[:1] == FRAME_PREFIX:
            if self._on_replication_message is not None:
                self._on_replication_message(data)
            return
        try:
            self.coordinator.receive(data, self._clock.now_ms())
        except Exception:  # requests must be served on whatever fails here
            logger.exception("fleet: message of %d bytes failed and is dropped", len(data))

    def send(self, member: int, data: bytes) -> None:
        """Send a message of any protocol to a member; it may be lost."""
        if self._links is not None:
            self._links.send(member, data)
        elif self._peers is not None:
            self._peers.send(member, data)

    # ---- from the gateway to the fleet

    def publish_ejection(self, node: str, is_ejected: bool) -> None:
        """Publish an operator's DISABLE or ENABLE at this gateway."""
        self.coordinator.set_ejected(node, is_ejected, self._clock.now_ms())

    def publish_departure(self, node: str, incarnation: int, version: int, state: EndpointState) -> None:
        """Publish what a version of this gateway's endpoint list says of a node."""
        self.coordinator.publish_departure(
            node, incarnation, version, DEPARTURE_STATES[state], self._clock.now_ms()
        )

    def stats(self) -> dict[str, int]:
        """Return the fleet's part of the operators' STATS, by key."""
        links = {"fleet.link_dropped": self._links.dropped} if self._links is not None else {}
        return {**self.coordinator.stats(), **links, "fleet.late_ticks": self._late_ticks}

    # ---- from the fleet to the gateway (coordinator.GatewayPort)

    def handle(self, event: Event) -> None:
        """Pass an event to the scheduler."""
        self._engine.notify(event)

    def set_ejected(self, node: str, is_ejected: bool) -> None:
        """Apply an operator's command at another gateway."""
        if self._ejections is None or is_ejected == (node in self._ejections.nodes):
            return
        if is_ejected:
            self._ejections.add(node)
        else:
            self._ejections.remove(node)

    def restart_node(self, node: str, started_ms: float) -> None:
        """Take notice that a node has restarted, which another gateway's list shows."""
        self._engine.note_restart(node, started_ms)

    def receive_departure(self, node: str, incarnation: int, departure: Departure) -> None:
        """Take notice of what another gateway's endpoint list says of a node's departure."""
        self._on_departure(node, incarnation, departure.version, ENDPOINT_STATES[departure.state])
