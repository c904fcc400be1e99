"""TCP links between gateways: one connection in each direction, with length-prefixed frames.

A link may lose messages, like datagrams.  While it is disconnected or congested, it queues the newest
messages and drops the oldest, because newer messages supersede them.  The queues of all links are bounded in
sum: the longest one drops first.  Data buffered by a broken connection is lost.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import socket
import struct
from collections import deque
from collections.abc import Callable, Sequence

from shaletiller.core.memory_account import MemoryAccount, MemoryOwner
from shaletiller.net.bounded_reads import start_stream_server

logger = logging.getLogger(__name__)

FRAME_HEADER = struct.Struct(">I")  # length of the following frame in bytes
MAX_FRAME_BYTES = 160 * 1024  # a replicated response body of 64 KiB, its key and its envelope, with headroom
# Maximum messages queued for one link.  A larger value delivers outdated messages after an outage; a smaller
# value drops messages in a burst.
MAX_QUEUED_MESSAGES = 1024
# Maximum size of the messages queued for all links together.
MAX_QUEUED_BYTES = 2 * 1024 * 1024
READ_BYTES = 16 * 1024  # that are read at once from another gateway
# Size of the transport's write buffer from which messages stay in the queue, where the oldest can still be
# dropped.
MAX_BUFFERED_BYTES = 64 * 1024
# Backoff between attempts to connect: full jitter with an upper bound that doubles with each failure, from
# the first value to the second.  Smaller values increase the load on a restarting gateway; larger values
# delay its return to the fleet.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
MAX_BACKOFF_DOUBLINGS = 16  # keeps the power of two small; `MAX_BACKOFF_S` applies long before
CONNECT_TIMEOUT_S = 1.0  # gateways of a fleet share one network; a slower connect indicates a partition
# Time without acknowledgements from the peer after which a connection is closed and the kernel's buffer
# discarded.  Otherwise, after a partition heals, the connection would first deliver outdated messages.
TCP_USER_TIMEOUT_MS = 1_500


class Link:
    """Outgoing link to another gateway."""

    def __init__(
        self,
        address: tuple[str, int],
        jitter: random.Random,
        on_size_changed: Callable[[int], None] = lambda change: None,
    ) -> None:
        """Create a link that is not connected; `run` connects it.

        :param address: address of the other gateway.
        :param jitter: random number generator for the backoff's jitter.
        :param on_size_changed: called with each change of `queued_bytes`.
        """
        self._address = address
        self._random = jitter
        self._on_size_changed = on_size_changed
        self._queue: deque[bytes] = deque()
        self.queued_bytes = 0
        self._is_queued = asyncio.Event()
        self.dropped = 0
        self.connects = 0

    def send(self, data: bytes) -> None:
        """Queue a message; if the queue is full, its oldest message is dropped."""
        if len(self._queue) == MAX_QUEUED_MESSAGES:
            self.drop_oldest()
        self._queue.append(data)
        self._change_size(len(data))
        self._is_queued.set()

    def drop_oldest(self) -> None:
        """Drop the oldest message of the queue."""
        self.dropped += 1
        self._take_oldest()

    def _take_oldest(self) -> bytes:
        data = self._queue.popleft()
        self._change_size(-len(data))
        return data

    def _change_size(self, change: int) -> None:
        self.queued_bytes += change
        self._on_size_changed(change)

    async def run(self) -> None:
        """Keep the link connected until cancelled."""
        failures = 0
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(*self._address)
            except OSError:  # includes TimeoutError
                bound_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(failures, MAX_BACKOFF_DOUBLINGS))
                failures += 1
                await asyncio.sleep(self._random.uniform(0, bound_s))
                continue
            failures = 0
            self.connects += 1
            try:
                await self._serve(reader, writer)
            except Exception:
                # Not only OSError: uvloop raises RuntimeError for a call on a connection that was just reset.
                # Uncaught, it would end this task and keep the link down until the process restarts.
                host, port = self._address
                logger.warning("fleet link to %s:%d lost, reconnecting", host, port, exc_info=True)
            finally:
                writer.transport.abort()
            await asyncio.sleep(self._random.uniform(0, MIN_BACKOFF_S))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Write queued messages until the peer closes the connection."""
        sock = writer.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError, AttributeError):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        # The peer sends no data on this connection, so a result means that it has closed it.
        closed = asyncio.ensure_future(reader.read(1))
        try:
            while not closed.done():
                await self._wait_for_message(closed)
                self._write_queued(writer)
                await writer.drain()
        finally:
            closed.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await closed

    async def _wait_for_message(self, closed: asyncio.Future[bytes]) -> None:
        """Wait until a message is queued or the connection is closed."""
        queued = asyncio.ensure_future(self._is_queued.wait())
        try:
            await asyncio.wait((queued, closed), return_when=asyncio.FIRST_COMPLETED)
        finally:
            queued.cancel()

    def _write_queued(self, writer: asyncio.StreamWriter) -> None:
        while self._queue and writer.transport.get_write_buffer_size() < MAX_BUFFERED_BYTES:
            data = self._take_oldest()
            writer.write(FRAME_HEADER.pack(len(data)) + data)
        if not self._queue:
            self._is_queued.clear()


class Links:
    """All links of a gateway: an outgoing link to each other gateway, and a listener for incoming ones."""

    def __init__(
        self,
        member: int,
        addresses: Sequence[tuple[str, int]],
        on_message: Callable[[bytes], None],
        seed: int,
        memory: MemoryAccount | None = None,
    ) -> None:
        """Create the links; `start` connects them.

        :param member: number of this gateway.
        :param addresses: addresses of all gateways, by number.
        :param on_message: receives each message of another gateway.
        :param seed: seed of the backoff's jitter.
        """
        jitter = random.Random(seed)
        self._listen_address = addresses[member]
        others = [number for number in range(len(addresses)) if number != member]
        self._memory = memory or MemoryAccount()
        self._queued_bytes = 0
        self._links = {number: Link(addresses[number], jitter, self._on_size_changed) for number in others}
        self._on_message = on_message
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._accepted: set[asyncio.StreamWriter] = set()

    def _on_size_changed(self, change: int) -> None:
        self._queued_bytes += change
        self._memory.charge(MemoryOwner.LINKS, change)

    @property
    def dropped(self) -> int:
        """Number of messages dropped from full queues."""
        return sum(link.dropped for link in self._links.values())

    async def start(self) -> None:
        """Listen, and connect to the other gateways.

        During a rolling restart the old process still listens on the address; without SO_REUSEPORT the new
        process would fail to start.
        """
        self._server = await start_stream_server(
            self._receive, self._listen_address, READ_BYTES, reuse_port=True
        )
        self._tasks = [asyncio.ensure_future(link.run()) for link in self._links.values()]

    def send(self, member: int, data: bytes) -> None:
        """Queue a message for another gateway; it may be lost."""
        self._links[member].send(data)
        while self._queued_bytes > MAX_QUEUED_BYTES:
            longest = max(self._links.values(), key=lambda link: link.queued_bytes)
            longest.drop_oldest()

    async def _receive(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read frames from an incoming connection until it ends."""
        self._accepted.add(writer)
        try:
            while True:
                (length,) = FRAME_HEADER.unpack(await reader.readexactly(FRAME_HEADER.size))
                if not 0 < length <= MAX_FRAME_BYTES:
                    logger.warning(
                        "fleet link from %s: frame length is %d bytes, expected 1 to %d, connection closed",
                        writer.get_extra_info("peername"),
                        length,
                        MAX_FRAME_BYTES,
                    )
                    return
                self._on_message(await reader.readexactly(length))
        except (asyncio.IncompleteReadError, OSError):
            pass  # the other gateway reconnects
        finally:
            self._accepted.discard(writer)
            writer.transport.abort()

    def close(self) -> None:
        """Close the listener, and abort all connections."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._accepted):
            writer.transport.abort()
