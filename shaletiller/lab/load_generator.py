"""Open-loop clients: requests are drawn from a seed in advance, and sent when due, despite slow responses.

Latency is measured from the time at which a request was due, which avoids coordinated omission: a stall of
the gateway shows in the latencies (Tene, "How NOT to Measure Latency", 2013).  Each connection carries one
request at a time.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from shaletiller.lab.http_messages import HttpConnection, HttpMessage
from shaletiller.lab.storage_nodes import now_ms

# Time that a client waits beyond the timeout of its request.  A smaller value counts requests as unanswered
# whose responses were delayed only by the laboratory's own clients.
ANSWER_SLACK_MS = 250.0


@dataclass(slots=True, frozen=True)
class Stream:
    """Requests of one volume through one gateway, between two times of the run.

    :param service: the class of the requests.
    :param rate: mean rate in units per second.
    :param begin_ms: when the stream begins, in milliseconds of the run; `end_ms` is when it ends.
    :param shards: number of shards among which the requests are spread.
    :param hosts: number of gateways that the volume's clients use, as stated in the requests.
    :param max_units: maximum units of a request.
    :param keyed: whether the requests have idempotency keys.
    :param repeats: fraction of the requests that is sent again later through another gateway, with the same
        key.
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

    :param due_ms: when it is to be sent; `sent_ms` is when it was sent, `ended_ms` when it was answered or
        failed.
    :param request: the request id.
    :param key: its idempotency key; empty if it has none.
    :param status: status code of the response; 0 if there was none, and then `why` contains the reason.
    :param content: id of the request that this one repeats with the same content; empty if it repeats none.
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
        """Return a description of the request and its result in one line.

        :param began_ms: when the run began; the description has times since then.
        """
        due, sent, ended = (time_ms - began_ms for time_ms in (self.due_ms, self.sent_ms, self.ended_ms))
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

    :param ports: the client port of each gateway.
    :param requests: the requests sent so far.
    """

    ports: dict[str, int]
    seed: int
    requests: list[ClientRequest] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create a load generator without connections."""
        self._idle: dict[str, deque[_Client]] = {name: deque() for name in self.ports}
        self._tasks: set[asyncio.Task[None]] = set()

    def draw(self, streams: list[Stream]) -> list[ClientRequest]:
        """Draw all requests of the streams, ordered by due time in milliseconds of the run."""
        requests = [
            client_request
            for number, stream in enumerate(streams)
            for client_request in self._draw_stream(number, stream)
        ]
        return sorted(requests, key=lambda client_request: client_request.due_ms)

    def _draw_stream(self, number: int, stream: Stream) -> list[ClientRequest]:
        """Draw the requests of a Poisson stream."""
        draw = random.Random(f"{self.seed} stream {number} {stream.gateway} {stream.volume}")
        mean_units = (1 + stream.max_units) / 2
        requests: list[ClientRequest] = []
        at_ms = stream.begin_ms
        while True:
            at_ms += draw.expovariate(stream.rate / mean_units) * 1000
            if at_ms >= stream.end_ms:
                return requests
            key = f"{draw.getrandbits(64):016x}" if stream.keyed else ""
            request_id = f"{draw.getrandbits(64):016x}"
            units, shard = draw.randint(1, stream.max_units), draw.randrange(stream.shards)
            requests.append(ClientRequest(at_ms, stream.gateway, request_id, stream, units, shard, key))

    async def play(self, requests: list[ClientRequest], began_ms: float) -> None:
        """Send each request when it is due, and wait until all have been answered or have failed.

        :param began_ms: when the run began; it is added to the `due_ms` of each request.
        """
        for client_request in requests:
            client_request.due_ms += began_ms
            wait_ms = client_request.due_ms - now_ms()
            if wait_ms > 0:
                await asyncio.sleep(wait_ms / 1000)
            self.send(client_request)
        while self._tasks:
            await asyncio.wait(self._tasks)

    def send(self, client_request: ClientRequest) -> asyncio.Task[None]:
        """Send a request immediately.

        :returns: a task that ends when the request has been answered or has failed.
        """
        self.requests.append(client_request)
        task = asyncio.ensure_future(self._send(client_request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _send(self, client_request: ClientRequest) -> None:
        client = self._idle_client(client_request.gateway)
        try:
            async with asyncio.timeout((client_request.stream.timeout_ms + ANSWER_SLACK_MS) / 1000):
                if client is None:
                    client = await _Client.connect(self.ports[client_request.gateway])
                client_request.sent_ms = now_ms()
                response = await client.send(client_request.write_to)
            client_request.status, client_request.body = response.status, response.body
            if client.connection.open and response.headers.get("connection", "") != "close":
                self._idle[client_request.gateway].append(client)
            else:
                client.connection.abort()
        except TimeoutError:
            client_request.why = "no answer in time"
            if client is not None:
                client.connection.abort()
        except OSError as error:
            client_request.why = str(error) or type(error).__name__
        client_request.ended_ms = now_ms()

    def _idle_client(self, gateway: str) -> _Client | None:
        """Return the most recently used connection that is idle and still open."""
        idle = self._idle[gateway]
        while idle:
            client = idle.pop()
            if client.connection.open:
                return client
        return None


class _Client:
    """A connection that carries one request at a time."""

    def __init__(self) -> None:
        self._response: asyncio.Future[HttpMessage] | None = None
        self.connection = HttpConnection(self._on_message, self._on_closed)

    @classmethod
    async def connect(cls, port: int) -> _Client:
        client = cls()
        await asyncio.get_running_loop().create_connection(lambda: client.connection, "127.0.0.1", port)
        return client

    def _on_message(self, connection: HttpConnection, message: HttpMessage) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_result(message)

    def _on_closed(self, connection: HttpConnection) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_exception(ConnectionResetError("connection ended without an answer"))

    async def send(self, write: Callable[[HttpConnection], None]) -> HttpMessage:
        self._response = asyncio.get_running_loop().create_future()
        write(self.connection)
        return await self._response
