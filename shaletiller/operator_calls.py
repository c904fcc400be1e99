"""The operators' calls READY, STATS, DISABLE, ENABLE, DRAIN and UNDRAIN.

`net/admin.py` reads the calls and writes the responses; this module carries the calls out.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from shaletiller.clock import Clock
from shaletiller.core import metrics
from shaletiller.core.engine import Engine
from shaletiller.core.manual_ejection import ManualEjections
from shaletiller.core.memory_account import MemoryAccount
from shaletiller.core.memory_guard import MemoryGuard
from shaletiller.net.admin import Command
from shaletiller.net.discovery import DiscoveryClient
from shaletiller.net.errors import AdminCommandError
from shaletiller.net.http_server import HttpServer
from shaletiller.net.ordering.agent import OrderingAgent

if TYPE_CHECKING:
    from shaletiller.net.fleet import FleetAgent
    from shaletiller.net.replication.agent import ReplicationAgent

# Maximum characters of an unknown node id, which is the caller's input, in a response.
MAX_ECHOED_NODE_CHARS = 64


class OperatorCalls:
    """Carries out the operators' calls on the components of one gateway.

    :param ready: returns whether the gateway has an endpoint list and is not shutting down.
    :param reload_counts: the number of reloads by result, `applied` or `rejected`.
    :param memory: the account of the memory held for clients.
    :param memory_guard: compares the memory of the process with its limit.
    :param ordering: the agent of the order across the processes of this gateway.
    :param fleet: the fleet agent, or None if the fleet is disabled.
    :param replication: the replication agent, or None if the replication is disabled.
    """

    def __init__(
        self,
        engine: Engine,
        discovery: DiscoveryClient,
        http_server: HttpServer,
        ejections: ManualEjections,
        clock: Clock,
        ready: Callable[[], bool],
        reload_counts: dict[str, int],
        memory: MemoryAccount,
        memory_guard: MemoryGuard,
        ordering: OrderingAgent,
        fleet: FleetAgent | None,
        replication: ReplicationAgent | None,
    ) -> None:
        self._engine = engine
        self._discovery = discovery
        self._http_server = http_server
        self._ejections = ejections
        self._clock = clock
        self._is_ready = ready
        self._reload_counts = reload_counts
        self._memory = memory
        self._memory_guard = memory_guard
        self._ordering = ordering
        self._fleet = fleet
        self._replication = replication

    def commands_by_name(self) -> dict[str, Command]:
        """Return the calls by name, the first word of an operator's line."""
        return {
            "READY": self.ready,
            "STATS": self.stats,
            "DISABLE": self.disable,
            "ENABLE": self.enable,
            "DRAIN": lambda arguments: self._set_draining(True),
            "UNDRAIN": lambda arguments: self._set_draining(False),
        }

    def ready(self, arguments: list[str]) -> list[str]:
        """READY: whether this gateway can serve requests.

        :raises AdminCommandError: if it cannot.
        """
        if not self._is_ready():
            raise AdminCommandError("no: not ready")
        return ["yes"]

    def stats(self, arguments: list[str]) -> list[str]:
        """STATS: counters and gauges as lines `edge.NAME=VALUE`, then `end`."""
        engine, fleet, replication = self._engine, self._fleet, self._replication
        gauges = {
            # Attempts in flight count as forwarded, because nearly all of them have been sent.
            "forwards": engine.counters.get("forwards", 0) + len(engine.attempts.in_flight),
            "outstanding": len(engine.exchanges),
            "discovered": len(engine.endpoints),
            "ejected": len(engine.ejected & engine.endpoints.keys()),
            "sighup_applied": self._reload_counts["applied"],
            "sighup_rejected": self._reload_counts["rejected"],
            **self._memory.stats(),
            **self._memory_guard.stats(),
            **self._http_server.stats(),
            **self._ordering.stats(),
            **(fleet.stats() if fleet is not None else {}),
            **(self._discovery.registry.stats(self._clock.now_ms()) if fleet is not None else {}),
            **(replication.collect_metrics() if replication is not None else {}),
        }
        classes = [spec.name for spec in engine.settings.classes]
        return ["", *metrics.stats_lines(engine.counters, classes, gauges), "end"]

    def disable(self, arguments: list[str]) -> list[str] | Awaitable[list[str]]:
        """DISABLE: eject a storage node manually.

        :raises AdminCommandError: if the arguments are not the id of one known node.
        """
        node = self._known_node(arguments)
        self._ejections.add(node)
        return self._publish_ejection(node, True)

    def enable(self, arguments: list[str]) -> list[str] | Awaitable[list[str]]:
        """ENABLE: lift the manual ejection of a storage node.

        :raises AdminCommandError: if the arguments are not the id of one known node.
        """
        node = self._known_node(arguments)
        self._ejections.remove(node)
        return self._publish_ejection(node, False)

    def _known_node(self, arguments: list[str]) -> str:
        if len(arguments) != 1:
            raise AdminCommandError("wants the id of one storage node")
        node = arguments[0]
        if node not in self._engine.endpoints and node not in self._ejections.nodes:
            raise AdminCommandError(f"no: no storage node {node[:MAX_ECHOED_NODE_CHARS]} on the list")
        return node

    def _publish_ejection(self, node: str, ejected: bool) -> list[str] | Awaitable[list[str]]:
        if self._fleet is not None:
            self._fleet.publish_ejection(node, ejected)
        if self._replication is None:
            return [node]
        return self._await_replication(self._replication.commands.replicate_ejection(node), node)

    def _set_draining(self, draining: bool) -> list[str] | Awaitable[list[str]]:
        """DRAIN and UNDRAIN: reject HTTP clients, or accept them again."""
        self._http_server.set_draining(draining)
        if self._replication is None:
            return []
        return self._await_replication(self._replication.commands.replicate_drain(draining), "")

    async def _await_replication(self, replication: Awaitable[None], first_line: str) -> list[str]:
        """Wait until a majority of the replicas has stored the call.

        :param first_line: the first line of the response to the operator.
        :raises AdminCommandError: if the call has taken effect at this gateway only.
        """
        from shaletiller.replication.errors import NotReplicatedError  # loaded only if replication is enabled

        try:
            await replication
        except NotReplicatedError as error:
            raise AdminCommandError("kept here only: no majority of its copies; call again later") from error
        return [first_line]
