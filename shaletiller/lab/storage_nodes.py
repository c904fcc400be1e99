"""Stand-in storage nodes: they speak the platform's protocol, and record each attempt that arrives.

A node has a number of cores; a request occupies one for a time that depends on its units, in order of
arrival, and is rejected when the queue is full.  It can be closed (its machine refuses connections) and
restarted; after that it may warm up: its capacity rises linearly.  Each gateway reaches it at an address of
its own, by which the node knows which gateway sent what.
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
    """Return the laboratory's time: milliseconds of the Unix epoch, from a clock that never goes back."""
    return _EPOCH_OFFSET_MS + time.monotonic() * 1000


@dataclass(slots=True, frozen=True)
class Attempt:
    """A complete request as a node received it.

    :param key: its idempotency key, or empty.
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
        """Return the attempt in one line; its time is of the run."""
        how = "ran" if self.ran else "was rejected"
        at_ms = self.at_ms - began_ms
        return f"attempt of {self.request} by {self.gateway} {how} at {self.node}, {at_ms:.0f} ms"


class StorageNode:
    """One storage node of one shard.

    :param unit_ms: time that one core needs for one unit of a request.
    :param queue: requests in the node at a time; more are rejected.
    :param warm_up_ms: time after a restart until it has its full capacity.
    :param start_part: part of the capacity that it has just after a restart.

    `started_ms` is 0 for a node that has not restarted.  `runs` counts the executions by request id.
    `units_of` returns the units of a request: a gateway forwards no more of a request than the protocol
    requires, so the node has to get its size from the client.
    """

    def __init__(
        self,
        name: str,
        shard: int,
        cores: int = 4,
        unit_ms: float = 2.0,
        queue: int = 64,
        warm_up_ms: float = 0.0,
        start_part: float = 1.0,
    ) -> None:
        self.name, self.shard = name, shard
        self._cores, self._unit_ms, self._queue = cores, unit_ms, queue
        self._warm_up_ms, self._start_part = warm_up_ms, start_part
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
        """Listen for each gateway at an address of its own; after a restart at the same ones."""
        loop = asyncio.get_running_loop()
        for gateway in gateways:
            factory = functools.partial(self._connection, gateway)
            server = await loop.create_server(factory, "127.0.0.1", self.ports.get(gateway, 0))
            self._servers[gateway] = server
            self.ports[gateway] = server.sockets[0].getsockname()[1]

    def _connection(self, gateway: str) -> HttpConnection:
        connection = HttpConnection(functools.partial(self._on_request, gateway), self._connections.discard)
        self._connections.add(connection)
        return connection

    def close(self) -> None:
        """Crash the process: its connections are reset, new ones refused."""
        self.state = "closed"
        for server in self._servers.values():
            server.close()
        for connection in list(self._connections):
            connection.abort()

    async def restart(self) -> None:
        """Start the process again, at the same addresses; it warms up."""
        if self.state != "closed":
            self.close()
        self.state, self.started_ms = "up", now_ms()
        self._core_free_ms, self._in_flight = [0.0] * self._cores, 0
        await self.start(list(self.ports))

    @property
    def capacity(self) -> float:
        """The part of its full capacity that the node has now."""
        if not self.started_ms or self._warm_up_ms <= 0:
            return 1.0
        age = min(1.0, (now_ms() - self.started_ms) / self._warm_up_ms)
        return self._start_part + (1 - self._start_part) * age

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
        """Return the node's line of the node list, as discovery sends it to a gateway."""
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
