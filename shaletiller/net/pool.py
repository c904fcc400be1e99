"""Pool of connections to nodes; it ensures that no data is taken for the response to a later request.

A connection is in use, settling, idle or closed:

    in use --response complete--> settling --REUSE_DELAY_S--> idle --next request--> in use
    in use --failed or aborted--> closed      idle --expired or not clean--> closed
"""

from __future__ import annotations

import asyncio
import re
import time
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest, ConnectionKey
from aiohttp.connector import Connection

from shaletiller.clock import Clock
from shaletiller.core.memory_account import MIN_PIECE_BYTES, MemoryAccount, MemoryOwner
from shaletiller.net.bounded_reads import BoundedReadAdapter, make_read_buffer
from shaletiller.net.errors import ConnectionBrokenError
from shaletiller.net.sockets import has_unread_input

# Time after a response during which its connection is not reused, so that data which a faulty node sends
# after the response, such as a second copy of it, is detected.  A larger value detects later data; a smaller
# value opens fewer new connections.
REUSE_DELAY_S = 0.01
# Approximate private memory of a connection to a node, with the request on it but without their bodies.
UPSTREAM_CONNECTION_BYTES = 12 * 1024

NO_TIMEOUT = aiohttp.ClientTimeout(total=None)

RESPONSE_HEAD = re.compile(rb"HTTP/1\.[01] (\d)\d\d[^\r\n]*\r\n((?:[^\r\n]+\r\n)*)\r\n")
CONTENT_LENGTH_LINE = re.compile(rb"^content-length:[ \t]*(\d{1,9})[ \t]*\r$", re.IGNORECASE | re.MULTILINE)
NON_TEXT = re.compile(rb"[^\t\n\r -~]")


def strip_trailing_garbage(data: bytes) -> bytes:
    """Remove data after a response received in one piece, if it is certainly not part of the response.

    This is certain if the body is text, and the trailing data is neither text nor another response.  Trailing
    text after a text body may belong to the body, with a wrong Content-Length: the response is then corrupt,
    and the parser fails on it.
    """
    position = 0
    while (head := RESPONSE_HEAD.match(data, position)) is not None:
        position = head.end()
        if head[1] != b"1":  # informational responses precede the final one
            break
    lengths = CONTENT_LENGTH_LINE.findall(head[2]) if head else []
    if len(lengths) != 1:
        return data
    end = position + int(lengths[0])
    is_garbage = NON_TEXT.search(data, end) and not data.startswith(b"HTTP/1.", end)
    return data[:end] if is_garbage and not NON_TEXT.search(data, position, end) else data


class UpstreamProtocol(ResponseHandler):
    """aiohttp client protocol that tolerates trailing garbage after a response, and records times.

    aiohttp's parser rejects a complete response because of trailing garbage, which wastes the node's work.
    The recorded times delimit the time for which the node had the request, without the delays of this
    process.
    """

    request_written_ms = response_read_ms = 0.0  # `response_read_ms`: time of the last read so far
    connection_key: ConnectionKey | None = None
    _input_held = False  # whether nothing is read because nobody waits for it

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, memory: MemoryAccount) -> None:
        """Create a protocol that is not connected yet."""
        super().__init__(loop=loop)
        self._now_ms = clock.now_ms
        self._memory = memory

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Charge the connection to the memory account."""
        super().connection_made(transport)
        self._memory.charge(MemoryOwner.CONNECTIONS, UPSTREAM_CONNECTION_BYTES)

    def close(self) -> None:
        """Close the connection, and discard unsent data.

        A closing transport still sends its buffered data.  A node that reads slowly would receive the last
        byte of an abandoned request, and run it.
        """
        self._break_body("the connection was given up")
        if self.transport is not None and self.transport.get_write_buffer_size():
            self.abort()
        else:
            super().close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handle the end of the connection; if it was broken, the body that ends with it is incomplete."""
        if exc is not None:
            self._break_body(str(exc))
        super().connection_lost(exc)
        self._memory.charge(MemoryOwner.CONNECTIONS, -UPSTREAM_CONNECTION_BYTES)

    def _break_body(self, reason: str) -> None:
        """Let reading of an unfinished body fail; aiohttp takes any end of a connection for its end."""
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(ConnectionBrokenError(reason))

    def max_read_bytes(self) -> int:
        """Return how much to read at once while memory is tight."""
        return MIN_PIECE_BYTES

    def hold_input(self) -> None:
        """Read nothing until `release_input`."""
        if not self._input_held:
            self._input_held = True
            self._pause_transport_reading()

    def release_input(self) -> None:
        """Read again."""
        if self._input_held:
            self._input_held = False
            if not self._reading_paused and not self._buffer_paused:
                self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        if not self._input_held:
            super()._resume_transport_reading()

    def data_received(self, data: bytes) -> None:
        """Parse received data, without garbage behind a response that came in one piece."""
        self.response_read_ms = self._now_ms()
        within_body = self._payload is not None and not self._payload.is_eof()
        response = data if within_body or len(data) <= 1 else strip_trailing_garbage(data)
        super().data_received(response)
        if len(response) < len(data):
            self.force_close()  # it is not reused after this response


class UpstreamConnector(aiohttp.TCPConnector):
    """aiohttp connection pool that checks each connection before reuse and limits their total number.

    aiohttp's pool reuses a connection that has received data while idle: a second copy of a response would
    then be taken for the response to the next request.
    """

    def __init__(
        self,
        max_connections: int,
        max_per_node: int,
        idle_timeout_s: float,
        clock: Clock,
        memory: MemoryAccount,
    ) -> None:
        """Create an empty pool.

        :param idle_timeout_s: time after which an idle connection is not reused.
        """
        super().__init__(
            limit=max_connections,
            limit_per_host=max_per_node,
            use_dns_cache=False,
            ssl=False,
            keepalive_timeout=idle_timeout_s,
        )
        self._factory: Any = self._make_adapter
        self._memory = memory
        # Many nodes may respond at once: what is read of each before its attempt handles it has to be little.
        self._read_buffer = make_read_buffer(memory.piece_bytes)
        self._clock = clock
        self._max_connections = max_connections
        self._idle_timeout_s = idle_timeout_s
        self._keys: dict[str, ConnectionKey] = {}  # by address, of each node that has been connected

    def _make_adapter(self) -> BoundedReadAdapter:
        return BoundedReadAdapter(
            UpstreamProtocol(self._loop, self._clock, self._memory), self._read_buffer, self._memory
        )

    def set_idle_timeout(self, idle_timeout_s: float) -> None:
        """Change the idle timeout, also for connections that are idle already."""
        self._idle_timeout_s = self._keepalive_timeout = idle_timeout_s

    def acquire_idle(self, address: str) -> UpstreamProtocol | None:
        """Take an idle connection to a node; None if there is none that may be reused."""
        key = self._keys.get(address)
        return self._acquire(key) if key is not None else None

    def release_used(self, address: str, protocol: UpstreamProtocol, reusable: bool) -> None:
        """Return a connection after use; it is closed if its node has been removed from the endpoint list."""
        assert protocol.connection_key is not None
        should_close = not reusable or address not in self._keys
        self._release(protocol.connection_key, protocol, should_close=should_close)

    async def connect(
        self, req: ClientRequest, traces: list[Any], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Take an idle connection or open one; called by aiohttp.

        :param timeout: its `connect` is measured by the gateway's clock.
        :raises TimeoutError: there is no connection in time.
        """
        if timeout.connect is None:
            return await super().connect(req, traces, timeout)
        idle: Connection | None = await self._get(req.connection_key, traces)
        if idle is not None:
            return idle
        async with self._clock.timeout(timeout.connect * 1000):
            return await super().connect(req, traces, NO_TIMEOUT)

    async def _get(self, key: ConnectionKey, traces: list[Any]) -> Any:
        """Take an idle connection; called by aiohttp."""
        protocol = self._acquire(key)
        return None if protocol is None else Connection(self, key, protocol, self._loop)

    def _acquire(self, key: ConnectionKey) -> UpstreamProtocol | None:
        idle: Any = self._conns.get(key)
        acquired: UpstreamProtocol | None = None
        now_s = time.monotonic()
        while idle and acquired is None:
            protocol, released_s = idle[0]
            if now_s - released_s < REUSE_DELAY_S:
                return None  # connections are ordered by release time, so the others are settling too
            idle.popleft()
            if now_s - released_s <= self._idle_timeout_s and self._is_clean(protocol):
                acquired = protocol
            else:
                protocol.close()
        if idle is not None and not idle:
            del self._conns[key]
        if acquired is not None:
            acquired.request_written_ms, acquired.connection_key = self._clock.now_ms(), key
            self._acquired.add(acquired)
            self._acquired_per_host[key].add(acquired)
        return acquired

    @staticmethod
    def _is_clean(protocol: ResponseHandler) -> bool:
        """Whether an idle connection is connected and has received no data."""
        return (
            protocol.is_connected() and not protocol.should_close and not has_unread_input(protocol.transport)
        )

    async def _create_connection(self, *args: Any) -> ResponseHandler:
        """Connect; at the pool's limit, close the longest idle connection first.  Called by aiohttp."""
        oldest = [(idle[0][1], key) for key, idle in self._conns.items() if idle]
        if oldest and len(self._acquired) + sum(map(len, self._conns.values())) > self._max_connections:
            _, key = min(oldest, key=lambda released: released[0])
            self._conns[key].popleft()[0].close()
        adapter: Any = await super()._create_connection(*args)
        protocol = adapter.protocol
        assert isinstance(protocol, UpstreamProtocol)
        key = args[0].connection_key
        self._keys[f"{key.host}:{key.port}"] = key
        protocol.request_written_ms = self._clock.now_ms()  # the request is written immediately
        return protocol

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a node; those in use are closed after their responses."""
        key = self._keys.pop(address, None)
        for protocol, _ in self._conns.pop(key, ()) if key is not None else ():
            protocol.close()
