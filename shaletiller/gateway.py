"""One gateway: construction, start, reload and graceful shutdown of its components."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from shaletiller.clock import Clock
from shaletiller.config import Config, ConfigError, ServerList, ServerRow, read_address
from shaletiller.core.engine import Engine
from shaletiller.core.interfaces import UpstreamClient
from shaletiller.core.manual_ejection import ManualEjections
from shaletiller.core.memory_account import MemoryAccount
from shaletiller.core.memory_guard import MemoryGuard
from shaletiller.gateway_services import GatewayServices
from shaletiller.messages.endpoints import EndpointState
from shaletiller.messages.events import PeerMessageReceived
from shaletiller.net.admin import AdminServer
from shaletiller.net.discovery import DiscoveryClient
from shaletiller.net.http_server import HttpServer
from shaletiller.net.http_upstream import HttpUpstreamClient
from shaletiller.net.id_claims import LINK_PREFIX as ID_LINK_PREFIX
from shaletiller.net.id_claims import IdClaims
from shaletiller.net.ordering.agent import OrderingAgent
from shaletiller.net.ordering.link import NAME_PREFIX as ORDER_LINK_PREFIX
from shaletiller.net.ordering.link import link_name
from shaletiller.net.peers import PeerEndpoint
from shaletiller.operator_calls import OperatorCalls
from shaletiller.registry.endpoint_registry import EndpointRegistry
from shaletiller.settings.model import Settings

if TYPE_CHECKING:
    from shaletiller.net.fleet import FleetAgent
    from shaletiller.net.nvme.target import NvmeTarget
    from shaletiller.net.nvme.upstream import NvmeUpstreamClient
    from shaletiller.net.replication.agent import ReplicationAgent
    from shaletiller.telemetry.otlp import OtlpExporter

logger = logging.getLogger(__name__)

# How long new connections are accepted after SIGTERM.  The platform opens connections for another 0.2 to 0.4
# s.  A larger value tolerates slower machines; a smaller value lets the process end earlier.
ACCEPT_AFTER_SIGTERM_MS = 750.0
# The platform sends SIGKILL at the earliest min(longest deadline of a class, MAX_KILL_DEADLINE_MS) +
# KILL_GRACE_MS after SIGTERM.
MAX_KILL_DEADLINE_MS = 3000.0
KILL_GRACE_MS = 700.0
# Requests are answered until this time before SIGKILL.  A larger value leaves more time for the last
# responses to reach the clients; a smaller value leaves more time to requests in flight.
KILL_MARGIN_MS = 250.0
# Connections are closed this long before SIGKILL, although a long response may still be on its way.
CLOSE_MARGIN_MS = 75.0
SHUTDOWN_POLL_INTERVAL_S = 0.02  # how often the shutdown checks whether clients are still connected
# How often the file of manual ejections is checked for changes.  While one process replaces another,
# the other process may change it.  A larger value delays the effect of an operator's call; a smaller
# value costs more `stat` calls, which are cheap.
EJECTIONS_POLL_INTERVAL_S = 0.2
# Configuration keys that a reload does not apply: their sockets and components are created at the start.
RESTART_KEYS = (
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
    """One gateway: its servers, upstream clients, engine and operators' calls.

    Components that the configuration disables are None, and their modules are not loaded: the cost of loading
    them would add up when forty gateways start at the same time on one core.

    :param clock: the clock, real time by default.
    """

    def __init__(self, config: Config, clock: Clock | None = None) -> None:
        self.config = config
        self._clock = clock or Clock()
        self._starting = False  # operators' calls are answered before the gateway listens for clients
        self._stopping = False
        self._discovery_watch: asyncio.Task[None] | None = None
        self.reload_counts = {"applied": 0, "rejected": 0}
        self.memory = MemoryAccount()
        self.memory_guard = MemoryGuard(self.memory, self._clock)
        self.engine = Engine(config.settings, config.seed, self._clock, GatewayServices(self))
        self.telemetry: OtlpExporter | None = None
        # All HTTP nodes share one client.  If each node had sockets reserved, the reservations of nodes that
        # leave would add up.
        http_sockets = config.upstream_sockets // (2 if config.nvme.upstreams else 1)
        self._http = HttpUpstreamClient(config.settings, http_sockets, self._clock, self.memory)
        self._nvme_clients = self._make_nvme_clients()
        self.discovery = DiscoveryClient(
            config.discovery,
            config.known,
            self._upstream_client,
            self.engine.update_endpoints,
            config.seed,
            self._clock.now_ms,
            EndpointRegistry(self._publish_departure),
            self._publish_endpoint_list,
        )
        self.discovery.apply_settings(config.settings)
        self.http_server = HttpServer(
            self.engine, config.client_sockets, lambda: self.discovery.ready, self._clock, self.memory
        )
        self.ordering = self._make_ordering_agent()
        self.id_claims = IdClaims(self.engine, self._clock, self._link_name(ID_LINK_PREFIX))
        self.fleet = self._make_fleet_agent()
        self.peers = PeerEndpoint(
            config.peers,
            config.peers_all,
            self._on_peer_message,
            self.fleet.receive if self.fleet is not None else None,
        )
        self.nvme = self._make_nvme_target()
        ejections_file = Path(config.state_dir) / f"shaletiller-{config.name or 'gateway'}-bans.json"
        self.ejections = ManualEjections(ejections_file, self._on_ejections_changed)
        self.replication = self._make_replication_agent()
        self.admin = self._make_admin_server()

    def _make_nvme_clients(self) -> dict[str, NvmeUpstreamClient]:
        """Create the clients of the storage nodes that use NVMe over TCP, by node."""
        upstreams = self.config.nvme.upstreams
        if not upstreams:
            return {}
        from shaletiller.net.nvme.upstream import NvmeUpstreamClient

        sockets = self.config.upstream_sockets // 2 // len(upstreams)
        return {
            upstream.node: NvmeUpstreamClient(upstream, self.config.settings, sockets, self._clock)
            for upstream in upstreams
        }

    def _make_nvme_target(self) -> NvmeTarget | None:
        if not self.config.nvme.target.listen:
            return None
        from shaletiller.net.nvme.target import NvmeTarget

        return NvmeTarget(self.config.nvme.target, self.engine, self.memory)

    def _make_ordering_agent(self) -> OrderingAgent:
        config = self.config
        return OrderingAgent(self.engine, self._clock, config.settings, self._link_name(ORDER_LINK_PREFIX))

    def _link_name(self, prefix: str) -> str | None:
        """Return the name of a link to other processes of this gateway, or None if there can be none."""
        config = self.config
        if not config.listen[1]:  # a port chosen by the kernel is shared with no other process
            return None
        return link_name(config.state_dir, config.name, config.listen, prefix)

    def _make_fleet_agent(self) -> FleetAgent | None:
        operator = self.config.operator
        if operator is None or not operator.fleet.on:
            return None
        from shaletiller.net.fleet import FleetAgent

        return FleetAgent(
            self.config,
            operator.fleet,
            self.engine,
            self._clock,
            self.discovery.apply_peer_report,
            self.memory,
        )

    def _make_replication_agent(self) -> ReplicationAgent | None:
        operator = self.config.operator
        if operator is None or self.fleet is None or not operator.replication.on:
            return None
        from shaletiller.net.replication.agent import ReplicationAgent

        return ReplicationAgent(
            operator,
            self.fleet,
            self.engine,
            self._clock,
            self.config.name,
            self.ejections,
            self.http_server,
            self._load_stored_list,
        )

    def _make_admin_server(self) -> AdminServer | None:
        if self.config.admin is None:
            return None
        calls = OperatorCalls(
            self.engine,
            self.discovery,
            self.http_server,
            self.ejections,
            self._clock,
            self._is_ready,
            self.reload_counts,
            self.memory,
            self.memory_guard,
            self.ordering,
            self.fleet,
            self.replication,
        )
        return AdminServer(calls.commands_by_name())

    def _make_telemetry(self) -> OtlpExporter | None:
        if not self.config.telemetry.endpoint:
            return None
        from shaletiller.telemetry.otlp import OtlpExporter

        return OtlpExporter(self.config.telemetry, self.config.name, self.engine, self._clock)

    def _is_ready(self) -> bool:
        return self.discovery.ready and not self._starting and not self._stopping

    def _upstream_client(self, node: str) -> UpstreamClient:
        return self._nvme_clients.get(node, self._http)

    @property
    def _upstream_clients(self) -> tuple[UpstreamClient, ...]:
        return (self._http, *self._nvme_clients.values())

    def _on_peer_message(self, peer: int, data: str) -> None:
        self.engine.notify(PeerMessageReceived(peer, data))

    def _publish_departure(self, node: str, incarnation: int, version: int, state: EndpointState) -> None:
        """Notify the other gateways of a node's departure that discovery has reported."""
        if self.fleet is not None:
            self.fleet.publish_departure(node, incarnation, version, state)

    def _publish_endpoint_list(self, version: int, rows: Mapping[str, ServerRow]) -> None:
        """Update the replicas of the endpoint list and the memory that it leaves, after a change."""
        self.memory.set_listed_endpoints(len(rows))
        if self.replication is not None:
            stored = ServerList(version, True, tuple(rows.values()))
            self.replication.endpoint_lists.update(stored)

    def _on_ejections_changed(self, changed: set[str]) -> None:
        self.engine.apply_ejections(self.ejections.nodes, changed)

    def _load_stored_list(self, stored: ServerList) -> None:
        """Use a stored endpoint list until discovery sends a newer one.

        :param stored: the list from this gateway's store or from the replicas.
        """
        if self.discovery.load_stored_list(stored):
            logger.info("loaded endpoint list version %d from the store or its replicas", stored.version)

    async def _poll_ejections(self) -> None:
        while True:
            await asyncio.sleep(EJECTIONS_POLL_INTERVAL_S)
            self.ejections.reload()

    async def start(self) -> None:
        """Load the stored state, then listen; HTTP clients are accepted before NVMe hosts."""
        self._starting = True
        self.telemetry = self._make_telemetry()
        # Loaded before any endpoint list, so that a node ejected in the previous process gets no request.
        self.ejections.reload()
        self.discovery.load_known_list()
        if self.replication is not None:
            self.replication.open()
        await self._start_admin_server()
        await self._start_fleet()
        await self.ordering.start(self.config.settings)
        await self.id_claims.start()
        self.http_server.start(*self.config.listen)
        self._starting = False
        await self._start_nvme_target()
        self._discovery_watch = self.engine.spawn(self.discovery.run())
        self.engine.spawn(self._poll_ejections())
        logger.info("gateway %s listens on %s:%d", self.config.name, *self.http_server.address)

    def limit_memory(self) -> None:
        """Keep the process within the configured memory limit; called before there are clients."""
        self.memory_guard.start(self.config.limits.memory_mb)

    async def _start_admin_server(self) -> None:
        if self.admin is None or self.config.admin is None:
            return
        await self.admin.start(*self.config.admin)
        logger.info("listening for operators' calls on %s:%d", *self.admin.address)

    async def _start_fleet(self) -> None:
        if self.config.settings.peer_messages_allowed and self.config.peer_listen is not None:
            await self.peers.start(self.config.peer_listen)
        if self.fleet is not None:
            await self.fleet.start(self.peers, self.ejections, announce_ejections=self.replication is None)
        if self.replication is not None:
            await self.replication.start()

    async def _start_nvme_target(self) -> None:
        if self.nvme is None:
            return
        await self.nvme.start(*read_address(self.config.nvme.target.listen, "front.listen"))
        logger.info("listening for NVMe/TCP hosts on %s:%d", *self.nvme.address)

    def handle_sighup(self, read: Callable[[], Config]) -> None:
        """Read the configuration again and apply it; an invalid configuration is rejected as a whole.

        :param read: reads the configuration; if it raises a ConfigError, the present configuration is kept.
        """
        try:
            config = read()
        except ConfigError as error:
            self.reload_counts["rejected"] += 1
            logger.error("reload rejected, the present configuration is kept: %s", error)
            return
        self.reload_counts["applied"] += 1
        self.reload(config)

    def reload(self, config: Config) -> None:
        """Apply the settings and the discovery address of a new configuration.

        Requests in flight and the present endpoint list are kept.  Changes of other keys require a restart
        and are logged, except those of `seed` and `known`, which are only used at the start.
        """
        changed_keys = [key for key in RESTART_KEYS if getattr(config, key) != getattr(self.config, key)]
        if changed_keys:
            logger.warning("reload: not applied before a restart: %s", ", ".join(changed_keys))
        previous = self.config
        if config.settings != previous.settings:
            self._apply_settings(config.settings)
        self.config = msgspec.structs.replace(previous, discovery=config.discovery, settings=config.settings)
        if config.discovery != previous.discovery:
            self._change_discovery_address(config.discovery)
        else:
            logger.info("reload: discovery address unchanged: %s:%d", *config.discovery)

    def _apply_settings(self, settings: Settings) -> None:
        """Apply new settings to all components."""
        self.engine.apply_settings(settings)
        for client in self._upstream_clients:
            client.apply_settings(settings)
        self.discovery.apply_settings(settings)
        self.http_server.apply_settings(settings)
        self.ordering.apply_settings(settings)
        names = ", ".join(spec.name for spec in settings.classes)
        logger.info("reload: new settings applied to new requests; classes: %s", names)

    def _change_discovery_address(self, address: tuple[str, int]) -> None:
        """Watch the endpoint list at a new address at once; the old address may no longer respond."""
        self.discovery.set_address(address)  # a watch that has not started will use the new address
        if self._discovery_watch is not None and not self._discovery_watch.done():
            self._discovery_watch.cancel()
            self._discovery_watch = self.engine.spawn(self.discovery.run())
        logger.info("reload: discovery address changed to %s:%d", *address)

    async def stop(self) -> None:
        """Shut down gracefully: every accepted request gets its response before the platform's SIGKILL.

        At first, new connections are still accepted and open ones are kept.  Closing them at once would
        reject clients before another process has taken over.
        """
        self._stopping = True
        if self.fleet is not None:
            self.fleet.stop()
        longest_deadline_ms = self.engine.settings.longest_deadline_ms
        grace_ms = min(MAX_KILL_DEADLINE_MS, longest_deadline_ms) + KILL_GRACE_MS - KILL_MARGIN_MS
        end_ms = self._clock.now_ms() + grace_ms
        self.http_server.shutdown_deadline_ms = end_ms
        await self._clock.sleep(min(ACCEPT_AFTER_SIGTERM_MS, grace_ms))
        self.http_server.stop_accepting()
        if self.nvme is not None:
            self.nvme.stop_listening()
        await self._stop_servers(end_ms)
        await self._close_components()

    async def _stop_servers(self, end_ms: float) -> None:
        while self._clock.now_ms() < end_ms and self._is_serving:
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)
        self.http_server.close_after_responses()
        if self.nvme is not None:
            self.nvme.reject_new_commands()
        self.engine.respond_to_all()  # before the servers stop, which still have to send the responses
        servers = (self.http_server, self.nvme) if self.nvme else (self.http_server,)
        close_ms = end_ms + KILL_MARGIN_MS - CLOSE_MARGIN_MS
        grace_s = max(0.0, close_ms - self._clock.now_ms()) / 1000
        await asyncio.gather(*(server.stop(grace_s) for server in servers))

    @property
    def _is_serving(self) -> bool:
        """Whether HTTP clients are connected or commands of NVMe hosts are not completed."""
        return bool(self.http_server.connections or (self.nvme and self.nvme.busy))

    async def _close_components(self) -> None:
        self.memory_guard.stop()
        await self.engine.close()
        for client in self._upstream_clients:
            await client.close()
        await self.id_claims.close()
        await self.ordering.close()  # after the upstream clients: none of its attempts is in flight any more
        self.peers.close()
        if self.replication is not None:
            await self.replication.close()
        if self.fleet is not None:
            self.fleet.close()
        if self.telemetry is not None:
            await self.telemetry.stop()
        if self.admin is not None:
            await self.admin.stop()
