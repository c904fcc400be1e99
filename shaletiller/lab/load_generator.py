"""Open-loop clients: requests are drawn in advance from a seed, and sent when due, however slow the answers.

Latency counts from the time at which a request was due, so a gateway that stalls cannot hide it (coordinated
omission: Tene, "How NOT to Measure Latency", 2013).  Each connection carries one request at a time.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from shaletiller.lab.http_messages import HttpConnection, HttpMessage
from shaletiller.lab.storage_nodes import now_ms

# Beyond its own timeout a request without an answer counts as unanswered.  Empirical: shorter counts answers
# that only the laboratory's own clients delayed.
ANSWER_SLACK_MS = 250.0


@dataclass(slots=True, frozen=True)
class Stream:
    """Requests of one volume through one gateway, between two times of the run.

    :param rate: units a second.
    :param hosts: gateways through which the volume's clients send, as the requests state it.
    :param keyed: whether the requests have idempotency keys.
    :param repeats: part of the requests that is sent again later through another gateway, with the same key.
    """

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
    repeats: float = 0.0


@dataclass(slots=True)
class ClientRequest:
    """A request and its result.

    :param due_ms: when it is to be sent; `sent_ms`: when it was.
    :param key: its idempotency key, or empty.
    :param status: of the answer, 0 without one; `why` has the reason.
    :param content: id of the request that this one repeats: it requests the same.
    """

    due_ms: float
    gateway: str
    request: str
    stream: Stream
    units: int
    shard: int
    key: str = ""
    status: int = 0
    body: bytes = b""
    sent_ms: float = 0.0
    ended_ms: float = 0.0
    why: str = ""
    content: str = ""

    def story(self, began_ms: float) -> str:
        """Return what became of the request, in one line; times are of the run."""
        due, sent, ended = (each - began_ms for each in (self.due_ms, self.sent_ms, self.ended_ms))
        key = f" key {self.key}" if self.key else ""
        return (
            f"request {self.request}{key} ({self.stream.service}) at {self.gateway}: due {due:.0f}, "
            f"sent {sent:.0f}, ended {ended:.0f} ms, status {self.status} {self.why}"
        ).rstrip()

    def write_to(self, connection: HttpConnection) -> None:
        """Send the request on a connection."""
        stream = self.stream
        headers = {
            "Host": "app.svc",
            "Request-Id": self.request,
            "Request-Class": stream.service,
            "Tier": stream.plan,
            "Request-Timeout-Ms": str(int(stream.timeout_ms)),
            "IO-Info": f"volume={stream.volume:016x},units={self.units},shard={self.shard},"
            f"hosts={stream.hosts}",
        }
        if self.key:
            headers["Idempotency-Key"] = self.key
        method = "PUT" if stream.write else "GET"
        content = self.content or self.request
        target = f"/api?key={int(content, 16):016x}"
        body = content.encode() if stream.write else b""
        connection.write(f"{method} {target} HTTP/1.1", headers, body)


@dataclass
class LoadGenerator:
    """Sends the requests of streams to gateways.

    :param ports: each gateway's port for clients.
    :param requests: the requests sent so far.
    """

    ports: dict[str, int]
    seed: int
    requests: list[ClientRequest] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Begin without connections."""
        self._idle: dict[str, deque[_Client]] = {name: deque() for name in self.ports}
        self._tasks: set[asyncio.Task[None]] = set()

    def draw(self, streams: list[Stream]) -> list[ClientRequest]:
        """Return all requests of the streams in the order of their due times, in milliseconds of the run."""
        found = [each for number, stream in enumerate(streams) for each in self._draw_stream(number, stream)]
        return sorted(found, key=lambda each: each.due_ms)

    def _draw_stream(self, number: int, stream: Stream) -> list[ClientRequest]:
        """Draw the requests of a Poisson stream."""
        draw = random.Random(f"{self.seed} stream {number} {stream.gateway} {stream.volume}")
        mean_units = (1 + stream.max_units) / 2
        found: list[ClientRequest] = []
        at_ms = stream.begin_ms
        while True:
            at_ms += draw.expovariate(stream.rate / mean_units) * 1000
            if at_ms >= stream.end_ms:
                return found
            key = f"{draw.getrandbits(64):016x}" if stream.keyed else ""
            request = f"{draw.getrandbits(64):016x}"
            units, shard = draw.randint(1, stream.max_units), draw.randrange(stream.shards)
            found.append(ClientRequest(at_ms, stream.gateway, request, stream, units, shard, key))

    async def play(self, requests: list[ClientRequest], began_ms: float) -> None:
        """Send each request when it is due, and wait until all have ended.

        :param began_ms: the time of the run's begin; it is added to each request's `due_ms`.
        """
        for each in requests:
            each.due_ms += began_ms
            wait_ms = each.due_ms - now_ms()
            if wait_ms > 0:
                await asyncio.sleep(wait_ms / 1000)
            self.send(each)
        while self._tasks:
            await asyncio.wait(self._tasks)

    def send(self, each: ClientRequest) -> asyncio.Task[None]:
        """Send a request now.

        :returns: a task that ends when the request has been answered or has failed.
        """
        self.requests.append(each)
        task = asyncio.ensure_future(self._send(each))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _send(self, each: ClientRequest) -> None:
        client = self._idle_client(each.gateway)
        try:
            async with asyncio.timeout((each.stream.timeout_ms + ANSWER_SLACK_MS) / 1000):
                if client is None:
                    client = await _Client.connect(self.ports[each.gateway])
                each.sent_ms = now_ms()
                answer = await client.send(each.write_to)
            each.status, each.body = answer.status, answer.body
            if client.connection.open and answer.headers.get("connection", "") != "close":
                self._idle[each.gateway].append(client)
            else:
                client.connection.abort()
        except TimeoutError:
            each.why = "no answer in time"
            if client is not None:
                client.connection.abort()
        except OSError as error:
            each.why = str(error) or type(error).__name__
        each.ended_ms = now_ms()

    def _idle_client(self, gateway: str) -> _Client | None:
        """Return the connection used last of those that are idle and still open."""
        idle = self._idle[gateway]
        while idle:
            client = idle.pop()
            if client.connection.open:
                return client
        return None


class _Client:
    """A connection that carries one request at a time."""

    def __init__(self) -> None:
        self._answer: asyncio.Future[HttpMessage] | None = None
        self.connection = HttpConnection(self._on_message, self._on_closed)

    @classmethod
    async def connect(cls, port: int) -> _Client:
        client = cls()
        await asyncio.get_running_loop().create_connection(lambda: client.connection, "127.0.0.1", port)
        return client

    def _on_message(self, connection: HttpConnection, message: HttpMessage) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(message)

    def _on_closed(self, connection: HttpConnection) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(ConnectionResetError("connection ended without an answer"))

    async def send(self, write: Callable[[HttpConnection], None]) -> HttpMessage:
        self._answer = asyncio.get_running_loop().create_future()
        write(self.connection)
        return await self._answer
