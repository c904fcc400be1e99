"""A stand-in for the platform's discovery: serves the node list, can fail, and records each call."""

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
    """A call that a gateway made."""

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
    """A call that is answered with the next change, or after its timeout."""

    gateway: str
    since: int
    timer: asyncio.TimerHandle


@dataclass
class StandInDiscovery:
    """The node list, at an address for each gateway.

    :param states: by node, where it is not `active`.
    :param ports: by gateway.
    :param silent: calls get no answer.
    :param serves: if set, all gateways but these are rejected: discovery is overloaded.
    :param empty: lists have no nodes in them, by mistake.
    :param first_sent_ms: by node and state, when any gateway was first sent that.
    """

    nodes: list[StorageNode]
    version: int = 1
    states: dict[str, str] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)
    calls: list[DiscoveryCall] = field(default_factory=list)
    silent: bool = False
    serves: frozenset[str] | None = None
    empty: bool = False
    changes: list[StateChange] = field(default_factory=list)
    first_sent_ms: dict[tuple[str, str], float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Begin without changed lines and without watches."""
        self._changed_in: dict[str, int] = {}  # version of the last change, by node
        self._watches: dict[HttpConnection, _Watch] = {}

    async def start(self, gateways: list[str]) -> None:
        """Listen for each gateway at an address of its own."""
        loop = asyncio.get_running_loop()
        for gateway in gateways:
            factory = functools.partial(
                HttpConnection, functools.partial(self._on_request, gateway), self._on_closed
            )
            server = await loop.create_server(factory, "127.0.0.1", 0)
            self.ports[gateway] = server.sockets[0].getsockname()[1]

    def rows(self, gateway: str, since: int | None = None) -> list[dict[str, Any]]:
        """Return the lines of the list that changed after a version, or the full list."""
        found = []
        for node in self.nodes:
            state = self.states.get(node.name, "active")
            if since is None and state == "left":
                continue
            if since is None or self._changed_in.get(node.name, 0) > since:
                found.append(node.row(gateway, state))
        return found

    def change(self, node: str, state: str | None = None) -> None:
        """Change a node's line, and answer all watches with it.

        :param state: its new state; by default only its address or start time has changed.
        """
        if state is not None:
            self.states[node] = state
            self.changes.append(StateChange(now_ms(), node, state))
        self.version += 1
        self._changed_in[node] = self.version
        for connection in list(self._watches):
            self._answer_watch(connection)

    def put_back(self, versions: int) -> None:
        """Restore the list from a backup: its version and the states are those before so many changes."""
        self.version = max(1, self.version - versions)
        for change in self.changes[-versions:]:
            self.states.pop(change.node, None)
            self._changed_in.pop(change.node, None)

    def _list_body(self, gateway: str, since: int | None) -> bytes:
        full = since is None or since > self.version
        rows = [] if self.empty else self.rows(gateway, None if full else since)
        for row in rows:
            self.first_sent_ms.setdefault((row["id"], row["state"]), now_ms())
        return json.dumps({"version": self.version, "full": full, "servers": rows}).encode()

    def _serves(self, gateway: str) -> bool:
        return self.serves is None or gateway in self.serves

    def _on_closed(self, connection: HttpConnection) -> None:
        watch = self._watches.pop(connection, None)
        if watch is not None:
            watch.timer.cancel()

    def _on_request(self, gateway: str, connection: HttpConnection, message: HttpMessage) -> None:
        self.calls.append(DiscoveryCall(now_ms(), gateway))
        if self.silent:
            return
        if not self._serves(gateway):
            connection.write("HTTP/1.1 503 Overbooked", {})
            return
        query = dict(parse_qsl(message.start_line.split(" ")[1].partition("?")[2]))
        since = int(query["since"]) if "since" in query else None
        if since is None or since != self.version:
            connection.write("HTTP/1.1 200 OK", {}, self._list_body(gateway, since))
            return
        timeout_s = int(query.get("timeout_ms", "0")) / 1000
        timer = asyncio.get_running_loop().call_later(timeout_s, self._answer_watch, connection)
        self._watches[connection] = _Watch(gateway, since, timer)

    def _answer_watch(self, connection: HttpConnection) -> None:
        watch = self._watches.pop(connection, None)
        if watch is None:
            return
        watch.timer.cancel()
        if not self.silent and self._serves(watch.gateway):
            connection.write("HTTP/1.1 200 OK", {}, self._list_body(watch.gateway, watch.since))
