"""Clients in open loop: requests are drawn ahead from a seed, and sent when they are due, whatever came
before.

Latency counts from when a request was due.  Each client speaks to one gateway, one request at a time on a
connection.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from shaletiller.lab.http_messages import Message, Peer
from shaletiller.lab.storage_nodes import now_ms

SLACK_MS = 250.0  # past its time a request without an answer is taken for unanswered


@dataclass(slots=True, frozen=True)
class Stream:
    """Requests of one volume through one gateway: `rate` units a second between two times of the run."""

    gateway: str
    volume: int
    plan: str
    service: str
    rate: float
    begin_ms: float
    end_ms: float
    shards: int = 1
    hosts: int = 1
    max_units: int = 8
    write: bool = False
    keyed: bool = False
    timeout_ms: float = 900.0
    # Of the requests, so many are asked again through another gateway later, with the same key.
    repeats: float = 0.0


@dataclass(slots=True)
class Asked:
    """A request and what became of it."""

    due_ms: float
    gateway: str
    request: str
    stream: Stream
    units: int
    shard: int
    key: str = ""
    status: int = 0  # 0: no answer
    body: bytes = b""
    sent_ms: float = 0.0
    ended_ms: float = 0.0
    why: str = ""
    content: str = ""  # the request that this one repeats: what is asked is the same


@dataclass
class Load:
    """Plays streams against gateways.  `ports` has each gateway's port for clients."""

    ports: dict[str, int]
    seed: int
    asked: list[Asked] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._idle: dict[str, deque[_Client]] = {name: deque() for name in self.ports}
        self._tasks: set[asyncio.Task[None]] = set()
        self._number = 0

    def draw(self, streams: list[Stream]) -> list[Asked]:
        """All requests, in the order in which they are due (milliseconds of the run)."""
        found = []
        for at, stream in enumerate(streams):
            draw = random.Random(f"{self.seed} stream {at} {stream.gateway} {stream.volume}")
            mean = (1 + stream.max_units) / 2
            at_ms = stream.begin_ms
            while True:
                at_ms += draw.expovariate(stream.rate / mean) * 1000
                if at_ms >= stream.end_ms:
                    break
                key = f"{draw.getrandbits(64):016x}" if stream.keyed else ""
                found.append(
                    Asked(
                        at_ms,
                        stream.gateway,
                        f"{draw.getrandbits(64):016x}",
                        stream,
                        draw.randint(1, stream.max_units),
                        draw.randrange(stream.shards),
                        key,
                    )
                )
        return sorted(found, key=lambda each: each.due_ms)

    async def play(self, asked: list[Asked], began_ms: float) -> None:
        """Send each request when it is due; returns when all have ended."""
        for each in asked:
            each.due_ms += began_ms
            wait_ms = each.due_ms - now_ms()
            if wait_ms > 0:
                await asyncio.sleep(wait_ms / 1000)
            self.ask(each)
        while self._tasks:
            await asyncio.wait(self._tasks)

    def ask(self, each: Asked) -> asyncio.Task[None]:
        self.asked.append(each)
        task = asyncio.ensure_future(self._ask(each))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _ask(self, each: Asked) -> None:
        stream = each.stream
        idle = self._idle[each.gateway]
        client: _Client | None = None
        while idle and client is None:
            client = idle.pop()
            if not client.peer.open:
                client = None
        try:
            async with asyncio.timeout((stream.timeout_ms + SLACK_MS) / 1000):
                if client is None:
                    client = await _Client.connect(self.ports[each.gateway])
                each.sent_ms = now_ms()
                found = await client.ask(self._message(each))
            each.status, each.body = found.status, found.body
            if client.peer.open and found.heads.get("connection", "") != "close":
                idle.append(client)
            else:
                client.peer.abort()
        except TimeoutError:
            each.why = "no answer in time"
            if client is not None:
                client.peer.abort()
        except OSError as error:
            each.why = str(error) or type(error).__name__
        each.ended_ms = now_ms()

    def _message(self, each: Asked) -> Callable[[Peer], None]:
        stream = each.stream
        heads = {
            "Host": "app.svc",
            "Request-Id": each.request,
            "Request-Class": stream.service,
            "Tier": stream.plan,
            "Request-Timeout-Ms": str(int(stream.timeout_ms)),
            "IO-Info": f"volume={stream.volume:016x},units={each.units},shard={each.shard},"
            f"hosts={stream.hosts}",
        }
        if each.key:
            heads["Idempotency-Key"] = each.key
        method = "PUT" if stream.write else "GET"
        content = each.content or each.request
        target = f"/api?key={int(content, 16):016x}"
        body = content.encode() if stream.write else b""
        return lambda peer: peer.write(f"{method} {target} HTTP/1.1", heads, body)


class _Client:
    """A connection that carries one request at a time."""

    def __init__(self) -> None:
        self._answer: asyncio.Future[Message] | None = None
        self.peer = Peer(self._came, self._ended)

    @classmethod
    async def connect(cls, port: int) -> _Client:
        client = cls()
        await asyncio.get_running_loop().create_connection(lambda: client.peer, "127.0.0.1", port)
        return client

    def _came(self, peer: Peer, message: Message) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(message)

    def _ended(self, peer: Peer) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(ConnectionResetError("connection ended without an answer"))

    async def ask(self, write: Callable[[Peer], None]) -> Message:
        self._answer = asyncio.get_running_loop().create_future()
        write(self.peer)
        return await self._answer
