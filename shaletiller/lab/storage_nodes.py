"""Stand-in storage nodes that speak the platform's protocol and record each attempt that they receive.

A node has a number of cores.  It executes requests in order of arrival; each occupies one core for a time
proportional to its units.  It rejects requests while its queue is full.  A node can be closed, after which
its machine refuses connections, and restarted, after which its capacity may rise linearly while it warms up.
It listens at a separate address for each gateway, to identify the gateway that sent an attempt.
"""

from __future__ import annotations

import asyncio
import functools
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Literal

from shaletiller.lab.http_messages import HttpConnection, HttpMessage

_EPOCH_OFFSET_MS = (time.time() - time.monotonic()) * 1000


def now_ms() -> float:
    """Return the laboratory's time, in milliseconds since the Unix epoch, from a monotonic clock."""
    return _EPOCH_OFFSET_MS + time.monotonic() * 1000


@dataclass(slots=True, frozen=True)
class Attempt:
    """An attempt of a request, as a node received it.

    :param at_ms: when it was received.
    :param key: its idempotency key; empty if it has none.
    :param ran: whether it was executed; otherwise it was rejected.
    """

    at_ms: float
    node: str
    gateway: str
    request: str
    key: str
    write: bool
    ran: bool

    def story(self, began_ms: float) -> str:
        """Return a description of the attempt in one line.

        :param began_ms: when the run began; the description has times since then.
        """
        result = "ran" if self.ran else "was rejected"
        at_ms = self.at_ms - began_ms
        return f"attempt of {self.request} by {self.gateway} {result} at {self.node}, {at_ms:.0f} ms"


class StorageNode:
    """One storage node of one shard.

    :param unit_ms: time that one core needs for one unit of a request.
    :param queue: maximum number of requests in the node, running and waiting; more are rejected.
    :param warm_up_ms: time from a restart to full capacity.
    :param initial_capacity: capacity immediately after a restart, as a fraction of the full capacity.

    `started_ms` is the time of the last restart, 0 if there was none.  `runs` counts the executions by
    request id.  `units_of` returns the units of a request by its id: a gateway forwards only what the
    protocol requires, which does not include the units, so the node has to get them from the client.
    """

    def __init__(
        self,
        name: str,
        shard: int,
        cores: int = 4,
        unit_ms: float = 2.0,
        queue: int = 64,
        warm_up_ms: float = 0.0,
        initial_capacity: float = 1.0,
    ) -> None:
        self.name, self.shard = name, shard
        self._cores, self._unit_ms, self._queue = cores, unit_ms, queue
        self._warm_up_ms, self._initial_capacity = warm_up_ms, initial_capacity
        self.started_ms = 0.0
        self.state: Literal["up", "closed"] = "up"
        self._core_free_ms = [0.0] * cores
        self._in_flight = 0
        self.attempts: list[Attempt] = []
        self.runs: dict[str, int] = {}
        self.ports: dict[str, int] = {}
        self._servers: dict[str, asyncio.Server] = {}
        self._connections: set[HttpConnection] = set()
        self.units_of: Callable[[str], float] = lambda request: 1.0

    async def start(self, gateways: list[str]) -> None:
        """Listen at a separate address for each gateway; after a restart the addresses are the same."""
        loop = asyncio.get_running_loop()
        for gateway in gateways:
            factory = functools.partial(self._create_connection, gateway)
            server = await loop.create_server(factory, "127.0.0.1", self.ports.get(gateway, 0))
            self._servers[gateway] = server
            self.ports[gateway] = server.sockets[0].getsockname()[1]

    def _create_connection(self, gateway: str) -> HttpConnection:
        connection = HttpConnection(functools.partial(self._on_request, gateway), self._connections.discard)
        self._connections.add(connection)
        return connection

    def close(self) -> None:
        """Simulate a crash of the process: reset all connections, and refuse new ones."""
        self.state = "closed"
        for server in self._servers.values():
            server.close()
        for connection in list(self._connections):
            connection.abort()

    async def restart(self) -> None:
        """Restart the process at the same addresses; its warm-up begins."""
        if self.state != "closed":
            self.close()
        self.state, self.started_ms = "up", now_ms()
        self._core_free_ms, self._in_flight = [0.0] * self._cores, 0
        await self.start(list(self.ports))

    @property
    def capacity(self) -> float:
        """The current capacity, as a fraction of the full capacity."""
        if not self.started_ms or self._warm_up_ms <= 0:
            return 1.0
        warm_up_progress = min(1.0, (now_ms() - self.started_ms) / self._warm_up_ms)
        return self._initial_capacity + (1 - self._initial_capacity) * warm_up_progress

    def _on_request(self, gateway: str, connection: HttpConnection, message: HttpMessage) -> None:
        headers = message.headers
        accepted = self._in_flight < self._queue
        at_ms = now_ms()
        request = headers.get("request-id", "")
        key = headers.get("idempotency-key", "")
        write = message.start_line.startswith("PUT")
        self.attempts.append(Attempt(at_ms, self.name, gateway, request, key, write, accepted))
        if not accepted:
            connection.write("HTTP/1.1 503 Full", {"Not-Started": "1"})
            return
        self.runs[request] = self.runs.get(request, 0) + 1
        self._in_flight += 1
        core = min(range(self._cores), key=self._core_free_ms.__getitem__)
        begin_ms = max(at_ms, self._core_free_ms[core])
        done_ms = begin_ms + self.units_of(request) * self._unit_ms / self.capacity
        self._core_free_ms[core] = done_ms

        def respond() -> None:
            self._in_flight = max(0, self._in_flight - 1)
            if self.state == "up":
                connection.write("HTTP/1.1 200 OK", {}, f"{self.name} {request}".encode())

        asyncio.get_running_loop().call_later(max(0.0, done_ms - at_ms) / 1000, respond)

    def row(self, gateway: str, state: str = "active") -> dict[str, Any]:
        """Return the node's entry of the node list that discovery sends to a gateway."""
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
