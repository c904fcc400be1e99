"""The fleet's wire: the carrier, the ticks, and the way to and from the engine.  Nothing is decided here."""

from __future__ import annotations

import logging
from collections.abc import Callable

from shaletiller.clock import Clock, Timer
from shaletiller.config import Config, ConfigError, read_address
from shaletiller.core.engine import Engine
from shaletiller.core.manual_ejection import ManualEjections
from shaletiller.fleet.coordinator import FleetCoordinator
from shaletiller.fleet.core import Options
from shaletiller.fleet.health_gossip import Departs
from shaletiller.messages.endpoints import EndpointState
from shaletiller.net.links import Links
from shaletiller.net.peers import Peers
from shaletiller.operator_file import FleetPart
from shaletiller.replication.messages import MARK

logger = logging.getLogger(__name__)

TICK_MS = 25.0
SAYS = {
    EndpointState.DRAINING: Departs.DRAINING,
    EndpointState.GONE: Departs.LEFT,
    EndpointState.READY: Departs.ACTIVE,
}
SENT_LATE_MS = 100.0  # a tick that comes so late is told of: the process stood still


class FleetAgent:
    """One gateway's member of the fleet, on its carrier."""

    def __init__(self, config: Config, part: FleetPart, engine: Engine, clock: Clock) -> None:
        self._clock, self._engine = clock, engine
        self._links: Links | None = None
        self._peers: Peers | None = None
        self._bans: ManualEjections | None = None
        self._timer: Timer | None = None
        self._ticked_ms = clock.now_ms()
        self.late = 0
        self.heard_promises: Callable[[bytes], None] | None = None
        names, me = self._members(config, part)
        options: Options = part.options(len(names))
        self.liaison = FleetCoordinator(
            me,
            names,
            clock.now_ms(),
            config.settings,
            options,
            {limit.name: limit.policy for limit in part.limit},
            self.send,
            engine.decide,
            self._ban,
            engine.renew,
            config.seed,
            self._fleet_name(config, part),
            part.cold_budgets,
        )
        if part.carrier == "tcp":
            addresses = [read_address(each.address, f"fleet.member {each.name}") for each in part.member]
            self._links = Links(me, addresses, self.receive, config.seed)
        engine.precede = self.liaison.precede

    @staticmethod
    def _fleet_name(config: Config, part: FleetPart) -> str:
        """Gateways that copy their tables lend by other rules than those that do not: two fleets."""
        promises = config.operator.promises if config.operator is not None else None
        tables = promises is not None and promises.on and promises.lease_tables
        return f"{part.name}+tables" if tables else part.name

    @staticmethod
    def _members(config: Config, part: FleetPart) -> tuple[list[str], int]:
        if part.carrier == "datagrams":
            # The platform numbers its gateways, and each reaches the others at addresses of its own.
            if not config.settings.peer_messages_allowed or not config.peers:
                raise ConfigError("EDGE_OPERATOR: fleet.carrier: the settings allow gateways no datagrams")
            return [str(number) for number in range(len(config.peers))], config.settings.gateway_index
        names = [member.name for member in part.member]
        return names, names.index(part.me or config.name)

    async def start(self, peers: Peers, bans: ManualEjections, tell: bool = True) -> None:
        """`tell`: the others hear of the nodes that the process before this one took out."""
        self._peers, self._bans = peers, bans
        if self._links is not None:
            await self._links.start()
        now_ms = self._clock.now_ms()
        for node in sorted(bans.held) if tell else ():
            self.liaison.ban(node, True, now_ms)
        self._tick()
        fleet = self.liaison.fleet
        logger.warning(
            f"fleet: member {fleet.names[fleet.me]} of {len(fleet.names)}, life {fleet.incarnation}"
        )

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._ticked_ms > SENT_LATE_MS:
            self.late += 1
        self._ticked_ms = now_ms
        self._timer = self._clock.call_later(TICK_MS, self._tick)
        try:
            self.liaison.tick(now_ms)
        except Exception as error:  # a fault here must not take the requests with it
            logger.warning(f"fleet: tick broke: {error!r}")

    def receive(self, data: bytes) -> None:
        if data[:1] == MARK:
            if self.heard_promises is not None:
                self.heard_promises(data)
            return
        try:
            self.liaison.receive(data, self._clock.now_ms())
        except Exception as error:
            logger.warning(f"fleet: message broke: {error!r}")

    def send(self, member: int, data: bytes) -> None:
        """A message of any kind to a member; it may be lost."""
        if self._links is not None:
            self._links.send(member, data)
        elif self._peers is not None:
            self._peers.send(member, data)

    def _ban(self, node: str, out: bool) -> None:
        """Another gateway's operator has taken a node out, or let it in."""
        if self._bans is not None and out != (node in self._bans.held):
            (self._bans.add if out else self._bans.remove)(node)

    def ban(self, node: str, out: bool) -> None:
        self.liaison.ban(node, out, self._clock.now_ms())

    def listed(self, node: str, incarnation: int, version: int, state: EndpointState) -> None:
        """This gateway's own node list says so of a node."""
        self.liaison.listed(node, incarnation, version, SAYS[state], self._clock.now_ms())

    def hear_lists(self, heard: Callable[[str, int, int, EndpointState], None]) -> None:
        """What others' node lists say of nodes goes there."""
        states = {says: state for state, says in SAYS.items()}
        self.liaison.departs = lambda node, incarnation, version, says: heard(
            node, incarnation, version, states[says]
        )

    def figures(self) -> dict[str, int]:
        links = {"fleet.link_dropped": self._links.dropped} if self._links is not None else {}
        return {**self.liaison.figures(), **links, "fleet.late_ticks": self.late}

    def stop(self) -> None:
        """The process ends: from now on it spends nothing that the fleet holds together."""
        self.liaison.stop(self._clock.now_ms())

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._links is not None:
            self._links.close()
