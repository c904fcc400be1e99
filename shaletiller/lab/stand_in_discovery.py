"""A stand-in for the platform's discovery that serves the node list, can fail, and records each call."""

from __future__ import annotations

import asyncio
import functools
import json
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl

from shaletiller.lab.http_messages import HttpConnection, HttpMessage
from shaletiller.lab.storage_nodes import StorageNode, now_ms


@dataclass(slots=True, frozen=True)
class DiscoveryCall:
    """A call by a gateway."""

    at_ms: float
    gateway: str


@dataclass(slots=True, frozen=True)
class StateChange:
    """A change of a node's state in the list."""

    at_ms: float
    node: str
    state: str


@dataclass(slots=True, frozen=True)
class _Watch:
    """A call whose response is sent with the next change of the list, or after its timeout.

    :param since: the version of the list that the gateway has.
    """

    gateway: str
    since: int
    timer: asyncio.TimerHandle


@dataclass
class StandInDiscovery:
    """A discovery service that listens at a separate address for each gateway.

    :param version: current version of the node list.
    :param states: states of the nodes, by name; a node without an entry is `active`.
    :param ports: the port for each gateway.
    :param calls: all calls received.
    :param silent: whether calls get no response.
    :param accepted_gateways: if set, discovery is overloaded and rejects the calls of all other gateways.
    :param empty: whether lists are sent without nodes, which simulates a fault of discovery.
    :param changes: all changes of states.
    :param first_sent_ms: when each state of a node was first sent to any gateway, by node and state.
    """

    nodes: list[StorageNode]
    version: int = 1
    states: dict[str, str] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)
    calls: list[DiscoveryCall] = field(default_factory=list)
    silent: bool = False
    accepted_gateways: frozenset[str] | None = None
    empty: bool = False
    changes: list[StateChange] = field(default_factory=list)
    first_sent_ms: dict[tuple[str, str], float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create a list without changes, and no watches."""
        self._changed_in: dict[str, int] = {}  # list version of the last change, by node
        self._watches: dict[HttpConnection, _Watch] = {}

    async def start(self, gateways: list[str]) -> None:
        """Listen at a separate address for each gateway."""
        loop = asyncio.get_running_loop()
        for gateway in gateways:
            factory = functools.partial(
                HttpConnection, functools.partial(self._on_request, gateway), self._on_closed
            )
            server = await loop.create_server(factory, "127.0.0.1", 0)
            self.ports[gateway] = server.sockets[0].getsockname()[1]

    def rows(self, gateway: str, since: int | None = None) -> list[dict[str, Any]]:
        """Return the entries that changed after version `since`; by default the full list."""
        entries = []
        for node in self.nodes:
            state = self.states.get(node.name, "active")
            if since is None and state == "left":
                continue
            if since is None or self._changed_in.get(node.name, 0) > since:
                entries.append(node.row(gateway, state))
        return entries

    def change(self, node: str, state: str | None = None) -> None:
        """Change a node's entry, and respond to all watches.

        :param state: the new state; by default only the address or start time has changed.
        """
        if state is not None:
            self.states[node] = state
            self.changes.append(StateChange(now_ms(), node, state))
        self.version += 1
        self._changed_in[node] = self.version
        for connection in list(self._watches):
            self._respond_to_watch(connection)

    def restore_backup(self, change_count: int) -> None:
        """Restore the list from a backup, which undoes the last changes and their increments of the version.

        :param change_count: the number of changes to undo.
        """
        self.version = max(1, self.version - change_count)
        for change in self.changes[-change_count:]:
            self.states.pop(change.node, None)
            self._changed_in.pop(change.node, None)

    def _list_body(self, gateway: str, since: int | None) -> bytes:
        full = since is None or since > self.version
        rows = [] if self.empty else self.rows(gateway, None if full else since)
        for row in rows:
            self.first_sent_ms.setdefault((row["id"], row["state"]), now_ms())
        return json.dumps({"version": self.version, "full": full, "servers": rows}).encode()

    def _accepts(self, gateway: str) -> bool:
        return self.accepted_gateways is None or gateway in self.accepted_gateways

    def _on_closed(self, connection: HttpConnection) -> None:
        watch = self._watches.pop(connection, None)
        if watch is not None:
            watch.timer.cancel()

    def _on_request(self, gateway: str, connection: HttpConnection, message: HttpMessage) -> None:
        self.calls.append(DiscoveryCall(now_ms(), gateway))
        if self.silent:
            return
        if not self._accepts(gateway):
            connection.write("HTTP/1.1 503 Overbooked", {})
            return
        query = dict(parse_qsl(message.start_line.split(" ")[1].partition("?")[2]))
        since = int(query["since"]) if "since" in query else None
        if since is None or since != self.version:
            connection.write("HTTP/1.1 200 OK", {}, self._list_body(gateway, since))
            return
        timeout_s = int(query.get("timeout_ms", "0")) / 1000
        timer = asyncio.get_running_loop().call_later(timeout_s, self._respond_to_watch, connection)
        self._watches[connection] = _Watch(gateway, since, timer)

    def _respond_to_watch(self, connection: HttpConnection) -> None:
        watch = self._watches.pop(connection, None)
        if watch is None:
            return
        watch.timer.cancel()
        if not self.silent and self._accepts(watch.gateway):
            connection.write("HTTP/1.1 200 OK", {}, self._list_body(watch.gateway, watch.since))
