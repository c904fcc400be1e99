"""One gateway put together: start, run, and a planned stop."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from shaletiller.clock import Clock
from shaletiller.config import Config, ConfigError, ServerList, ServerRow, read_address
from shaletiller.core import metrics
from shaletiller.core.engine import Engine
from shaletiller.core.manual_ejection import ManualEjections
from shaletiller.core.model import UpstreamClient
from shaletiller.messages.endpoints import EndpointState
from shaletiller.messages.events import PeerMessageReceived
from shaletiller.net.admin import AdminServer
from shaletiller.net.discovery import DiscoveryClient
from shaletiller.net.errors import AdminCommandError
from shaletiller.net.http_server import HttpServer
from shaletiller.net.http_upstream import HttpUpstreamClient
from shaletiller.net.peers import Peers
from shaletiller.registry.endpoint_registry import EndpointRegistry

if TYPE_CHECKING:
    from shaletiller.net.fleet import FleetAgent
    from shaletiller.net.nvme.server import NvmeFront
    from shaletiller.net.nvme.upstream import NvmeUpstreamClient
    from shaletiller.net.replication import ReplicationAgent
    from shaletiller.telemetry.otlp import Otlp

logger = logging.getLogger(__name__)

KEEP_ACCEPTING_S = 0.75  # after SIGTERM: new connections still come for a while
# A process may be killed so long after SIGTERM and its longest deadline, which counts as so much at the most.
KEEP_ACCEPTING_MS, MOST_GRACE_MS = 700.0, 3000.0
SPARE_MS = 250.0  # before that
WATCH_S = 0.02
BANS_S = 0.2  # how often the bans that the other process of the gateway may have written are looked at
# What a reload leaves as it was.
FIXED_KEYS = (
    "name",
    "listen",
    "limits",
    "peer_listen",
    "peers",
    "peers_all",
    "nvme",
    "telemetry",
    "admin",
    "state_dir",
    "operator",
)


class Gateway:
    def __init__(self, config: Config, clock: Clock | None = None) -> None:
        self.config = config
        self._clock = clock or Clock()
        self.engine = Engine(config.settings, config.seed, self._clock)
        self.telemetry: Otlp | None = None
        # Shared by all nodes that speak HTTP: what is kept for one node would add up over those that go.
        self._http = HttpUpstreamClient(config.settings, config.back_sockets // (2 if config.nvme.box else 1))
        a_box = config.back_sockets // 2 // max(1, len(config.nvme.box))
        self._boxes = self._nvme_boxes(a_box)
        self.discovery = DiscoveryClient(
            config.discovery,
            config.known,
            self._back_of,
            self.engine.nodes,
            config.seed,
            self._clock.now_ms,
            EndpointRegistry(self._announce_departure),
            self._publish_list,
        )
        self.discovery.retune(config.settings)
        self.front = HttpServer(self.engine, config.front_sockets, lambda: self.discovery.ready, self._clock)
        self.fleet = self._fleet_port()
        self.peers = Peers(
            config.peers,
            config.peers_all,
            self._heard,
            self.fleet.receive if self.fleet is not None else None,
        )
        self.engine.tell = self.peers.tell
        self.engine.fetch_list = lambda: self.engine.spawn(self.discovery.fetch())
        self.nvme = self._nvme_front()
        self._watch: asyncio.Task[None] | None = None
        self._longest_ms = max(spec.deadline_ms for spec in config.settings.classes)
        self._stopping = False
        self.sighup = {"applied": 0, "rejected": 0}
        bans = Path(config.state_dir) / f"shaletiller-{config.name or 'gateway'}-bans.json"
        self.bans = ManualEjections(bans, lambda moved: self.engine.ban(self.bans.held, moved))
        self.promises = self._promise_port()
        self.admin = (
            AdminServer(
                {
                    "READY": self._ready,
                    "STATS": self._stats,
                    "DISABLE": self._disable,
                    "ENABLE": self._enable,
                    "DRAIN": lambda words: self._drain(True),
                    "UNDRAIN": lambda words: self._drain(False),
                }
            )
            if config.admin
            else None
        )

    # ---- NVMe over TCP: loaded only where it is configured, for it takes CPU at the start

    def _nvme_boxes(self, sockets: int) -> dict[str, NvmeUpstreamClient]:
        if not self.config.nvme.box:
            return {}
        from shaletiller.net.nvme.upstream import NvmeUpstreamClient

        return {
            box.node: NvmeUpstreamClient(box, self.config.settings, sockets) for box in self.config.nvme.box
        }

    def _fleet_port(self) -> FleetAgent | None:
        operator = self.config.operator
        if operator is None or not operator.fleet.on:
            return None
        from shaletiller.net.fleet import FleetAgent

        port = FleetAgent(self.config, operator.fleet, self.engine, self._clock)
        port.hear_lists(self.discovery.apply_peer_report)
        return port

    def _promise_port(self) -> ReplicationAgent | None:
        operator = self.config.operator
        if operator is None or self.fleet is None or not operator.promises.on:
            return None
        from shaletiller.net.replication import ReplicationAgent

        port = ReplicationAgent(operator, self.fleet, self.engine, self._clock, self.config.name, self.bans)
        port.listed = self._listed
        port.drained = self.front.set_draining
        return port

    def _announce_departure(self, node: str, incarnation: int, version: int, state: EndpointState) -> None:
        """Discovery has reported a departure: the other gateways are notified."""
        if self.fleet is not None:
            self.fleet.listed(node, incarnation, version, state)

    def _publish_list(self, version: int, rows: Mapping[str, ServerRow]) -> None:
        """The endpoint list has changed: its copies at other gateways are updated."""
        if self.promises is not None:
            self.promises.news(ServerList(version, True, tuple(rows.values())))

    def _listed(self, kept: ServerList) -> None:
        """A node list that was kept: it serves where nothing newer is there yet."""
        if self.discovery.load_stored_list(kept):
            logger.warning(f"node list of version {kept.version} as it was kept")

    def _nvme_front(self) -> NvmeFront | None:
        if not self.config.nvme.front.listen:
            return None
        from shaletiller.net.nvme.server import NvmeFront

        return NvmeFront(self.config.nvme.front, self.engine)

    # ---- the operators' calls

    def _ready(self, words: list[str]) -> list[str]:
        if self._stopping or not self.discovery.ready:
            raise AdminCommandError("no: not ready")
        return ["yes"]

    def _stats(self, words: list[str]) -> list[str]:
        engine = self.engine
        gauges = {
            "forwards": engine.counts.get("forwards", 0) + len(engine.send.out),  # out: mostly written
            "outstanding": len(engine.table),
            "discovered": len(engine.listed),
            "ejected": len(engine.banned & engine.listed.keys()),
            "sighup_applied": self.sighup["applied"],
            "sighup_rejected": self.sighup["rejected"],
            **(self.fleet.figures() if self.fleet is not None else {}),
            **(self.discovery.registry.stats(self._clock.now_ms()) if self.fleet is not None else {}),
            **(self.promises.figures() if self.promises is not None else {}),
        }
        classes = [spec.name for spec in engine.settings.classes]
        return ["", *metrics.lines(engine.counts, classes, gauges), "end"]

    @staticmethod
    def _node(words: list[str]) -> str:
        if len(words) != 1:
            raise AdminCommandError("wants the id of one storage node")
        return words[0]

    async def _kept(self, word: Awaitable[None], first: str) -> list[str]:
        """An operator's word that holds here: done when most of its copies have it."""
        from shaletiller.net.replication import NotReplicatedError

        try:
            await word
        except NotReplicatedError as error:
            raise AdminCommandError("kept here only: no majority of its copies; call again later") from error
        return [first]

    def _disable(self, words: list[str]) -> list[str] | Awaitable[list[str]]:
        node = self._node(words)
        if node not in self.engine.listed and node not in self.bans.held:
            raise AdminCommandError(f"no: no storage node {node[:64]} on the list")
        self.bans.add(node)
        if self.fleet is not None:
            self.fleet.ban(node, True)
        return [node] if self.promises is None else self._kept(self.promises.ban(node), node)

    def _enable(self, words: list[str]) -> list[str] | Awaitable[list[str]]:
        node = self._node(words)
        if node not in self.engine.listed and node not in self.bans.held:
            raise AdminCommandError(f"no: no storage node {node[:64]} on the list")
        self.bans.remove(node)
        if self.fleet is not None:
            self.fleet.ban(node, False)
        return [node] if self.promises is None else self._kept(self.promises.ban(node), node)

    def _drain(self, drained: bool) -> list[str] | Awaitable[list[str]]:
        self.front.set_draining(drained)
        return [] if self.promises is None else self._kept(self.promises.drain(drained), "")

    async def _look_at_bans(self) -> None:
        while True:
            await asyncio.sleep(BANS_S)
            self.bans.look()

    @property
    def _backs(self) -> tuple[UpstreamClient, ...]:
        return (self._http, *self._boxes.values())

    def _back_of(self, node: str) -> UpstreamClient:
        return self._boxes.get(node, self._http)

    async def _stop_fronts(self, ends_ms: float) -> None:
        while self._clock.now_ms() < ends_ms and (self.front.connections or (self.nvme and self.nvme.busy)):
            await asyncio.sleep(WATCH_S)
        self.front.close_after_responses()
        self.engine.answer_all()  # before either front ends: it is owed by both
        fronts = (self.front, self.nvme) if self.nvme else (self.front,)
        await asyncio.gather(*(front.stop(SPARE_MS / 2000) for front in fronts))

    def _heard(self, peer: int, data: str) -> None:
        self.engine.decide(PeerMessageReceived(peer, data))

    async def start(self) -> None:
        if self.config.telemetry.endpoint:
            # Loaded only where it is wanted: the library takes memory and time at the start.
            from shaletiller.telemetry.otlp import Otlp

            self.telemetry = Otlp(self.config.telemetry, self.config.name, self.engine, self._clock)
        self.bans.look()  # before the first list: what the process before this one took out stays out
        self.discovery.load_known_list()
        if self.promises is not None:
            self.promises.open()
        if self.admin is not None and self.config.admin is not None:
            await self.admin.start(*self.config.admin)
            logger.warning(f"operators' door at {self.admin.address[0]}:{self.admin.address[1]}")
        if self.config.settings.peer_messages_allowed and self.config.peer_listen is not None:
            await self.peers.start(self.config.peer_listen)
        if self.fleet is not None:
            await self.fleet.start(self.peers, self.bans, tell=self.promises is None)
        if self.promises is not None:
            await self.promises.start()
        self.front.start(*self.config.listen)
        if self.nvme is not None:
            await self.nvme.start(*read_address(self.config.nvme.front.listen, "front.listen"))
            logger.warning(f"NVMe/TCP at {self.nvme.address[0]}:{self.nvme.address[1]}")
        self._watch = self.engine.spawn(self.discovery.run())
        self.engine.spawn(self._look_at_bans())
        logger.warning(
            f"gateway {self.config.name} listens at {self.front.address[0]}:{self.front.address[1]}"
        )

    def hup(self, read: Callable[[], Config]) -> None:
        """SIGHUP: the file is read again; a faulty one leaves the configuration as it was."""
        try:
            config = read()
        except ConfigError as error:
            self.sighup["rejected"] += 1
            logger.warning(f"reload: {error}; the configuration stays as it was")
            return
        self.sighup["applied"] += 1
        self.reload(config)

    def reload(self, config: Config) -> None:
        """A new configuration, under load: the list comes from its `discovery` from now on.

        The old agent may take no further call, so the watch moves at once; requests and the list in hand are
        left alone.  The rest is fixed for the life of a process, and is said to be."""
        fixed = [key for key in FIXED_KEYS if getattr(config, key) != getattr(self.config, key)]
        if fixed:
            logger.warning(f"reload: {', '.join(fixed)} need a restart, left as they were")
        moved = config.discovery != self.config.discovery
        if config.settings != self.config.settings:
            self.engine.retune(config.settings)
            for back in self._backs:
                back.retune(config.settings)
            self.discovery.retune(config.settings)
            self._longest_ms = max(spec.deadline_ms for spec in config.settings.classes)
            logger.warning(
                f"reload: classes {', '.join(spec.name for spec in config.settings.classes)} from now on"
            )
        self.config = msgspec.structs.replace(
            self.config, discovery=config.discovery, settings=config.settings
        )
        if moved:
            self.discovery.set_address(
                config.discovery
            )  # as it starts, too: the watch begins at the new address
        if moved and self._watch is not None and not self._watch.done():
            self._watch.cancel()
            self._watch = self.engine.spawn(self.discovery.run())
        how = "" if moved else ", as before"
        logger.warning(f"reload: discovery at {config.discovery[0]}:{config.discovery[1]}{how}")

    async def stop(self) -> None:
        """A planned stop: clients still come at first, those that are there may ask on, and all that was
        taken gets its answer before the process can be killed.

        To close what clients hold any sooner would turn them away while no other process takes over."""
        self._stopping = True
        if self.fleet is not None:
            self.fleet.stop()
        ends_ms = self._clock.now_ms() + min(MOST_GRACE_MS, self._longest_ms) + KEEP_ACCEPTING_MS - SPARE_MS
        self.front.shutdown_deadline_ms = ends_ms
        await asyncio.sleep(min(KEEP_ACCEPTING_S, max(0.0, ends_ms - self._clock.now_ms()) / 1000))
        self.front.stop_accepting()
        if self.nvme is not None:
            self.nvme.shut()
        await self._stop_fronts(ends_ms)
        await self.engine.close()
        for back in self._backs:
            await back.close()
        self.peers.close()
        if self.promises is not None:
            await self.promises.close()
        if self.fleet is not None:
            self.fleet.close()
        if self.telemetry is not None:
            await self.telemetry.stop()
        if self.admin is not None:
            await self.admin.stop()
