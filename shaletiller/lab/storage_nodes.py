"""Stand-in storage nodes and discovery, on the platform's protocol; each writes down what it saw.

A node serves with so many cores, work that goes by a request's units, in turn of arrival, and turns away what
its queue has no room for.  After a start it is cold: its capacity rises evenly to the whole.  It can be
closed (its machine refuses connections), silent (it takes what comes and says nothing) or slow.  Each gateway
reaches it at an address of its own, by which the node knows which gateway sent what.
"""

from __future__ import annotations

import asyncio
import functools
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Literal

from shaletiller.lab.http_messages import Message, Peer


def now_ms() -> float:
    """The laboratory's one clock: milliseconds of the Unix epoch, carried on by the monotonic clock."""
    return OFFSET_MS + time.monotonic() * 1000


OFFSET_MS = (time.time() - time.monotonic()) * 1000


@dataclass(slots=True, frozen=True)
class Attempt:
    """A request as a node took it, whole."""

    at_ms: float
    node: str
    gateway: str
    request: str
    key: str  # Idempotency-Key
    write: bool
    ran: bool


class Node:
    """One storage node of one shard."""

    def __init__(
        self,
        name: str,
        shard: int,
        cores: int = 4,
        unit_ms: float = 2.0,
        queue: int = 64,
        slow_start_ms: float = 0.0,
        start_part: float = 1.0,
    ) -> None:
        self.name, self.shard = name, shard
        self._cores, self._unit_ms, self._queue = cores, unit_ms, queue
        self._ramp_ms, self._start_part = slow_start_ms, start_part
        self.started_ms = 0.0  # 0: long ago
        self.state: Literal["up", "closed", "silent"] = "up"
        self.slow = 1.0
        self._free_ms = [0.0] * cores
        self._held = 0
        self.attempts: list[Attempt] = []
        self.runs: dict[str, int] = {}  # by request id
        self.ports: dict[str, int] = {}
        self._servers: dict[str, asyncio.Server] = {}
        self._open: set[Peer] = set()
        # A gateway passes on no more of a request than the protocol says; its size is its client's to know.
        self.units_of: Callable[[str], float] = lambda request: 1.0

    async def start(self, gateways: list[str]) -> None:
        """Listen for each gateway at an address of its own; the same ones after a restart."""
        loop = asyncio.get_running_loop()
        for gateway in gateways:
            factory = functools.partial(self._peer, gateway)
            server = await loop.create_server(factory, "127.0.0.1", self.ports.get(gateway, 0))
            self._servers[gateway] = server
            self.ports[gateway] = server.sockets[0].getsockname()[1]

    def _peer(self, gateway: str) -> Peer:
        peer = Peer(lambda peer, message: self._came(gateway, peer, message), self._open.discard)
        self._open.add(peer)
        return peer

    def close(self) -> None:
        """The process dies: its connections are reset, new ones refused."""
        self.state = "closed"
        for server in self._servers.values():
            server.close()
        for peer in list(self._open):
            peer.abort()

    async def restart(self) -> None:
        """It starts anew, cold, at the same addresses."""
        if self.state != "closed":
            self.close()
        self.state, self.started_ms, self.slow = "up", now_ms(), 1.0
        self._free_ms, self._held = [0.0] * self._cores, 0
        await self.start(list(self.ports))

    @property
    def capacity(self) -> float:
        """The part of its cores' power that it has now."""
        if not self.started_ms or self._ramp_ms <= 0:
            return 1.0 / self.slow
        age = min(1.0, (now_ms() - self.started_ms) / self._ramp_ms)
        return (self._start_part + (1 - self._start_part) * age) / self.slow

    def _came(self, gateway: str, peer: Peer, message: Message) -> None:
        if self.state == "silent":
            return
        heads = message.heads
        runs = self._held < self._queue
        at_ms = now_ms()
        request = heads.get("request-id", "")
        self.attempts.append(
            Attempt(
                at_ms,
                self.name,
                gateway,
                request,
                heads.get("idempotency-key", ""),
                message.first.startswith("PUT"),
                runs,
            )
        )
        if not runs:
            peer.write("HTTP/1.1 503 Full", {"Not-Started": "1"})
            return
        self.runs[request] = self.runs.get(request, 0) + 1
        self._held += 1
        core = min(range(self._cores), key=self._free_ms.__getitem__)
        done_ms = max(at_ms, self._free_ms[core]) + self.units_of(request) * self._unit_ms / self.capacity
        self._free_ms[core] = done_ms

        def answer() -> None:
            self._held = max(0, self._held - 1)
            if self.state == "up":
                peer.write("HTTP/1.1 200 OK", {}, f"{self.name} {request}".encode())

        asyncio.get_running_loop().call_later(max(0.0, done_ms - at_ms) / 1000, answer)

    def row(self, gateway: str, state: str = "active") -> dict[str, Any]:
        """Its line of the node list, as discovery tells it to a gateway."""
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{self.ports[gateway]}",
            "zone": "a",
            "kind": "stand-in",
            "cell": self.shard,
            "state": state,
            "weight": 1.0,
            "started_ms": int(self.started_ms),
        }


@dataclass
class Discovery:
    """The node list, at an address for each gateway.  `changes` holds each version's states by node."""

    nodes: list[Node]
    version: int = 1
    states: dict[str, str] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)
    calls: list[tuple[float, str]] = field(default_factory=list)
    silent: bool = False
    serves: frozenset[str] | None = None  # overbooked: all but these gateways get a 503
    empty: bool = False  # by mistake: whole lists have nothing in them
    changes: list[tuple[float, str, str]] = field(default_factory=list)  # when, node, state
    told_ms: dict[tuple[str, str], float] = field(default_factory=dict)  # node, state: first told

    def __post_init__(self) -> None:
        self._changed: dict[str, int] = {}
        self._waiting: dict[Peer, tuple[str, int, asyncio.TimerHandle]] = {}

    async def start(self, gateways: list[str]) -> None:
        loop = asyncio.get_running_loop()
        for gateway in gateways:
            server = await loop.create_server(
                lambda gateway=gateway: Peer(  # type: ignore[misc]
                    lambda peer, message: self._came(gateway, peer, message), self._ended
                ),
                "127.0.0.1",
                0,
            )
            self.ports[gateway] = server.sockets[0].getsockname()[1]

    def rows(self, gateway: str, since: int | None = None) -> list[dict[str, Any]]:
        """The lines that changed after a version, or all."""
        found = []
        for node in self.nodes:
            state = self.states.get(node.name, "active")
            if since is None and state == "left":
                continue
            if since is None or self._changed.get(node.name, 0) > since:
                found.append(node.row(gateway, state))
        return found

    def told(self, gateway: str, since: int | None) -> bytes:
        whole = since is None or since > self.version
        rows = [] if self.empty else self.rows(gateway, None if whole else since)
        for row in rows:
            self.told_ms.setdefault((row["id"], row["state"]), now_ms())
        return json.dumps({"version": self.version, "full": whole, "servers": rows}).encode()

    def change(self, node: str, state: str | None = None) -> None:
        """A node's line is another from now on; those that watch hear of it."""
        if state is not None:
            self.states[node] = state
            self.changes.append((now_ms(), node, state))
        self.version += 1
        self._changed[node] = self.version
        for peer in list(self._waiting):
            self._answer(peer)

    def put_back(self, versions: int) -> None:
        """Restored from a copy: its version, and what it knows of nodes' states, are those of so many changes
        ago."""
        self.version = max(1, self.version - versions)
        for _, node, _ in self.changes[-versions:]:
            self.states.pop(node, None)
            self._changed.pop(node, None)

    def _ended(self, peer: Peer) -> None:
        waiting = self._waiting.pop(peer, None)
        if waiting is not None:
            waiting[2].cancel()

    def _came(self, gateway: str, peer: Peer, message: Message) -> None:
        self.calls.append((now_ms(), gateway))
        if self.silent:
            return
        if self.serves is not None and gateway not in self.serves:
            peer.write("HTTP/1.1 503 Overbooked", {})
            return
        query = message.first.split(" ")[1].partition("?")[2]
        asked = dict(part.partition("=")[::2] for part in query.split("&") if part)
        since = int(asked["since"]) if "since" in asked else None
        if since is None or since != self.version:
            peer.write("HTTP/1.1 200 OK", {}, self.told(gateway, since))
            return
        wait_s = int(asked.get("timeout_ms", "0")) / 1000
        timer = asyncio.get_running_loop().call_later(wait_s, self._answer, peer)
        self._waiting[peer] = gateway, since, timer

    def _answer(self, peer: Peer) -> None:
        found = self._waiting.pop(peer, None)
        if found is not None:
            gateway, since, timer = found
            timer.cancel()
            served = self.serves is None or gateway in self.serves
            if not self.silent and served:
                peer.write("HTTP/1.1 200 OK", {}, self.told(gateway, since))
