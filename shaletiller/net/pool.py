"""Pool of connections to nodes: a node's bytes belong to the request in progress, and to no later one.

A connection is in use, settling, idle or closed:

    in use --response complete--> settling --SETTLE_S--> idle --next request--> in use
    in use --failed, or cut off--> closed     idle --expired, or not clean--> closed
"""

from __future__ import annotations

import asyncio
import functools
import re
import time
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.connector import Connection

from shaletiller.clock import Clock
from shaletiller.net.sockets import has_unread_input

# A connection is not used again for this long after its response: whatever a faulty node sends behind the
# response, a second copy of it above all, arrives meanwhile and shows.  Empirical: longer catches later
# copies and costs new connections, shorter the reverse.
SETTLE_S = 0.01

RESPONSE_HEAD = re.compile(rb"HTTP/1\.[01] (\d)\d\d[^\r\n]*\r\n((?:[^\r\n]+\r\n)*)\r\n")
CONTENT_LENGTH_LINE = re.compile(rb"^content-length:[ \t]*(\d{1,9})[ \t]*\r$", re.IGNORECASE | re.MULTILINE)
NON_TEXT = re.compile(rb"[^\t\n\r -~]")


def strip_trailing_noise(data: bytes) -> bytes:
    """Cut what follows a response received in one piece, if that is certainly no part of it.

    That is certain if the body is text and the rest is not.  Text behind text may be the end of the body, and
    the Content-Length wrong: then the response is corrupt, and the parser is left to fail on it.
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
    is_noise = NON_TEXT.search(data, end) and not data.startswith(b"HTTP/1.", end)
    return data[:end] if is_noise and not NON_TEXT.search(data, position, end) else data


class UpstreamProtocol(ResponseHandler):
    """aiohttp's client protocol, tolerant of noise behind a response, and with times.

    aiohttp's parser fails a response, and wastes the node's work, for what stands behind it.  The times
    between which the node had the request exclude this process's own delays.
    """

    request_written_ms = response_read_ms = 0.0  # read: the last bytes so far
    connection_key: ConnectionKey | None = None

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        """Make a protocol that is not connected yet."""
        super().__init__(loop=loop)
        self._now_ms = clock.now_ms

    def close(self) -> None:
        """Close the connection, and stop sending.

        A transport that is closed still sends what its socket buffer could not take.  A node that was slow to
        read would receive the last byte of a request that was given up, and run it.
        """
        if self.transport is not None and self.transport.get_write_buffer_size():
            self.abort()
        else:
            super().close()

    def data_received(self, data: bytes) -> None:
        """Parse what was received, without trailing noise."""
        self.response_read_ms = self._now_ms()
        response = strip_trailing_noise(data) if len(data) > 1 else data
        super().data_received(response)
        if len(response) < len(data):
            self.force_close()  # once its response is read, it takes no further request


class UpstreamConnector(aiohttp.TCPConnector):
    """aiohttp's connection pool, checked before each reuse and bounded in total.

    aiohttp's own pool hands out a connection on which something arrived while it was idle: a second copy of a
    response would then be taken for the response to the next request.
    """

    def __init__(self, max_connections: int, max_per_node: int, idle_timeout_s: float, clock: Clock) -> None:
        """Make an empty pool.

        :param idle_timeout_s: an idle connection is not used after this.
        """
        super().__init__(
            limit=max_connections,
            limit_per_host=max_per_node,
            use_dns_cache=False,
            ssl=False,
            keepalive_timeout=idle_timeout_s,
        )
        self._factory: Any = functools.partial(UpstreamProtocol, loop=asyncio.get_running_loop(), clock=clock)
        self._clock = clock
        self._max_connections = max_connections
        self._idle_timeout_s = idle_timeout_s
        self._keys: dict[str, ConnectionKey] = {}  # by address, of nodes to which there has been a connection

    def set_idle_timeout(self, idle_timeout_s: float) -> None:
        """Change the idle timeout, of connections that are idle already too."""
        self._idle_timeout_s = self._keepalive_timeout = idle_timeout_s

    def acquire_idle(self, address: str) -> UpstreamProtocol | None:
        """Take an idle connection to a node; None if there is none that may be used."""
        key = self._keys.get(address)
        return self._acquire(key) if key is not None else None

    def release_used(self, address: str, protocol: UpstreamProtocol, reusable: bool) -> None:
        """Return a connection after its use; it is closed if its node has left the list meanwhile."""
        assert protocol.connection_key is not None
        should_close = not reusable or address not in self._keys
        self._release(protocol.connection_key, protocol, should_close=should_close)

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
            if now_s - released_s < SETTLE_S:
                return None  # in the order of their release: the others are settling too
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
        """Whether an idle connection is up and nothing has arrived on it."""
        return (
            protocol.is_connected() and not protocol.should_close and not has_unread_input(protocol.transport)
        )

    async def _create_connection(self, *args: Any) -> ResponseHandler:
        """Connect; at the pool's bound, close the connection that is idle the longest.  Called by aiohttp."""
        oldest = [(idle[0][1], key) for key, idle in self._conns.items() if idle]
        if oldest and len(self._acquired) + sum(map(len, self._conns.values())) > self._max_connections:
            _, key = min(oldest, key=lambda released: released[0])
            self._conns[key].popleft()[0].close()
        protocol = await super()._create_connection(*args)
        assert isinstance(protocol, UpstreamProtocol)
        key = args[0].connection_key
        self._keys[f"{key.host}:{key.port}"] = key
        protocol.request_written_ms = self._clock.now_ms()  # its request is written right away
        return protocol

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a node; those in use close after their responses."""
        key = self._keys.pop(address, None)
        for protocol, _ in self._conns.pop(key, ()) if key is not None else ():
            protocol.close()
