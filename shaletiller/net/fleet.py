"""Connects the fleet protocols with the transport of their messages, the clock and the engine.

The protocols themselves are in `shaletiller.fleet`.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence

from shaletiller.clock import Clock, Timer
from shaletiller.config import Config, ConfigError, read_address
from shaletiller.config.operator_model import FleetConfig
from shaletiller.core.engine import Engine
from shaletiller.core.manual_ejection import ManualEjections
from shaletiller.core.memory_account import MemoryAccount
from shaletiller.fleet.coordinator import FleetCoordinator
from shaletiller.fleet.health_gossip import Departure, DepartureState
from shaletiller.messages.endpoints import EndpointState
from shaletiller.messages.events import Event
from shaletiller.net.links import Links
from shaletiller.net.peers import PeerEndpoint
from shaletiller.replication.messages import FRAME_PREFIX

logger = logging.getLogger(__name__)

# Interval between ticks.  A smaller value takes more CPU; a larger value delays acks and gossip by as much.
TICK_MS = 25.0
# Time since the previous tick above which a tick is counted as late in STATS.  A late tick means that the
# process was paused or starved of CPU, which impairs the failure detector and the leases.
LATE_TICK_MS = 100.0
DEPARTURE_STATES = {
    EndpointState.DRAINING: DepartureState.DRAINING,
    EndpointState.GONE: DepartureState.LEFT,
    EndpointState.READY: DepartureState.ACTIVE,
}
ENDPOINT_STATES = {departure: state for state, departure in DEPARTURE_STATES.items()}

# Handles the state of a node in another gateway's endpoint list: node, incarnation, list version, state.
DepartureHandler = Callable[[str, int, int, EndpointState], None]


class FleetAgent:
    """Runs one gateway's member of the fleet on its transport; implements the coordinator's `GatewayPort`."""

    def __init__(
        self,
        config: Config,
        fleet_config: FleetConfig,
        engine: Engine,
        clock: Clock,
        on_departure: DepartureHandler,
        memory: MemoryAccount | None = None,
    ) -> None:
        """Create the gateway's member on the transport that the operator file configures.

        :param config: configuration of the gateway.
        :param fleet_config: section `fleet` of the operator file.
        :param engine: engine that receives the events of the fleet.
        :param clock: clock of the gateway.
        :param on_departure: called with the states of nodes in the endpoint lists of other gateways.
        :param memory: account that queued messages are charged to.
        :raises ConfigError: if the settings do not allow datagrams between gateways, or an address is
            invalid.
        """
        self._clock, self._engine, self._on_departure = clock, engine, on_departure
        self._links: Links | None = None
        self._peers: PeerEndpoint | None = None
        self._ejections: ManualEjections | None = None
        self._timer: Timer | None = None
        self._ticked_ms = clock.now_ms()
        self._late_ticks = 0
        self._on_replication_message: Callable[[bytes], None] | None = None
        names, me = self._members(config, fleet_config)
        self.coordinator = FleetCoordinator(
            me,
            names,
            clock.now_ms(),
            config.settings,
            fleet_config.options(len(names)),
            {limit.name: limit.policy for limit in fleet_config.limit},
            self,
            config.seed,
            self._fleet_name(config, fleet_config),
            fleet_config.cold_budgets,
        )
        if fleet_config.carrier == "tcp":
            addresses = [
                read_address(entry.address, f"fleet.member {entry.name}") for entry in fleet_config.member
            ]
            self._links = Links(me, addresses, self.receive, config.seed, memory)

    @staticmethod
    def _fleet_name(config: Config, fleet_config: FleetConfig) -> str:
        """Return the name by which members of the same fleet recognize each other.

        Gateways that replicate lease tables lend by different rules, so they form a fleet of their own.
        """
        replication = config.operator.replication if config.operator is not None else None
        has_tables = replication is not None and replication.on and replication.lease_tables
        return f"{fleet_config.name}+tables" if has_tables else fleet_config.name

    @staticmethod
    def _members(config: Config, fleet_config: FleetConfig) -> tuple[list[str], int]:
        """Return the names of all members, and the number of this member.

        With the transport `datagrams`, the platform numbers the gateways, and each gateway has its own
        addresses for the others.

        :raises ConfigError: if the settings do not allow datagrams between gateways.
        """
        if fleet_config.carrier == "datagrams":
            if not config.settings.peer_messages_allowed or not config.peers:
                raise ConfigError(
                    "EDGE_OPERATOR: fleet.carrier: the settings do not allow datagrams between gateways"
                )
            return [str(number) for number in range(len(config.peers))], config.settings.gateway_index
        names = [member.name for member in fleet_config.member]
        return names, names.index(fleet_config.me or config.name)

    async def start(
        self, peers: PeerEndpoint, ejections: ManualEjections, announce_ejections: bool = True
    ) -> None:
        """Join the fleet.

        :param peers: endpoint for datagrams between gateways.
        :param ejections: manual ejections at this gateway.
        :param announce_ejections: whether to publish the manual ejections that the previous process has
            stored.
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
        """Leave the fleet as part of a graceful shutdown; all quotas become zero."""
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
        except Exception:  # a failure of the fleet must not stop the gateway from serving requests
            logger.exception("fleet: tick failed; leases expire unless a later tick succeeds")

    def set_replication_handler(self, handler: Callable[[bytes], None]) -> None:
        """Set the handler for messages of the replication protocol, which use the same transport.

        It is not an argument of the constructor because the replication agent is constructed with this agent.
        """
        self._on_replication_message = handler

    def events_before(self, event: Event, now_ms: float) -> Sequence[Event]:
        """Return the events that the scheduler must handle before this one."""
        return self.coordinator.events_before(event, now_ms)

    def receive(self, data: bytes) -> None:
        """Handle a message from another gateway."""
        if data[:1] == FRAME_PREFIX:
            if self._on_replication_message is not None:
                self._on_replication_message(data)
            return
        try:
            self.coordinator.receive(data, self._clock.now_ms())
        except Exception:  # a failure of the fleet must not stop the gateway from serving requests
            logger.exception("fleet: dropped a received message of %d bytes: its handling failed", len(data))

    def send(self, member: int, data: bytes) -> None:
        """Send a message of the fleet or replication protocol to a member; it may be lost."""
        if self._links is not None:
            self._links.send(member, data)
        elif self._peers is not None:
            self._peers.send(member, data)

    def publish_ejection(self, node: str, is_ejected: bool) -> None:
        """Publish an operator's DISABLE or ENABLE command at this gateway."""
        self.coordinator.set_ejected(node, is_ejected, self._clock.now_ms())

    def publish_departure(self, node: str, incarnation: int, version: int, state: EndpointState) -> None:
        """Publish the state of a node in a version of this gateway's endpoint list."""
        self.coordinator.publish_departure(
            node, incarnation, version, DEPARTURE_STATES[state], self._clock.now_ms()
        )

    def stats(self) -> dict[str, int]:
        """Return the fleet's entries of the operators' STATS command, by key."""
        links = {"fleet.link_dropped": self._links.dropped} if self._links is not None else {}
        return {**self.coordinator.stats(), **links, "fleet.late_ticks": self._late_ticks}

    # The methods below, and `send`, implement coordinator.GatewayPort.

    def handle(self, event: Event) -> None:
        """Pass an event to the scheduler."""
        self._engine.notify(event)

    def set_ejected(self, node: str, is_ejected: bool) -> None:
        """Apply an operator's command from another gateway."""
        if self._ejections is None or is_ejected == (node in self._ejections.nodes):
            return
        if is_ejected:
            self._ejections.add(node)
        else:
            self._ejections.remove(node)

    def on_node_restart(self, node: str, started_ms: float) -> None:
        """Notify the engine of a restart of a node that another gateway's endpoint list reports."""
        self._engine.note_restart(node, started_ms)

    def on_node_departure(self, node: str, incarnation: int, departure: Departure) -> None:
        """Handle the departure state of a node in another gateway's endpoint list."""
        self._on_departure(node, incarnation, departure.version, ENDPOINT_STATES[departure.state])
