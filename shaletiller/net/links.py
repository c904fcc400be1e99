"""TCP links between gateways: each direction its own connection, messages in frames of a length and the
bytes.

A link may lose what it carries, as datagrams may: while it is down, or cannot take more, the newest messages
wait and the oldest are dropped, for newer ones say more.  What a connection still held when it broke is lost.
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

logger = logging.getLogger(__name__)


LENGTH = struct.Struct(">I")
MOST_FRAME = 160 * 1024  # an answer of 64 KiB that is copied, and what goes along
MOST_WAITING = 1024  # messages of one link
MOST_BUFFERED = 64 * 1024  # bytes given to the kernel and not yet taken by it
AGAIN_S, MOST_AGAIN_S = 0.05, 2.0  # between two tries to connect: full jitter under a bound that doubles
CONNECT_S = 1.0
# A peer that takes nothing for so long is given up, and what waits in the kernel with it: a link that was cut
# for a while would else first deliver what is long out of date.
USER_TIMEOUT_MS = 1_500


class Link:
    """The way to one other gateway."""

    def __init__(self, address: tuple[str, int], draw: random.Random) -> None:
        self._address = address
        self._random = draw
        self._waiting: deque[bytes] = deque(maxlen=MOST_WAITING)
        self._some = asyncio.Event()
        self.dropped = 0
        self.connects = 0

    def send(self, data: bytes) -> None:
        if len(self._waiting) == MOST_WAITING:
            self.dropped += 1  # the oldest goes
        self._waiting.append(data)
        self._some.set()

    async def run(self) -> None:
        """Keep connected for ever."""
        failed = 0
        while True:
            try:
                async with asyncio.timeout(CONNECT_S):
                    reader, writer = await asyncio.open_connection(*self._address)
            except OSError:  # a TimeoutError is one
                bound_s = min(MOST_AGAIN_S, AGAIN_S * 2 ** min(failed, 16))
                failed += 1
                await asyncio.sleep(self._random.uniform(0, bound_s))
                continue
            failed = 0
            self.connects += 1
            try:
                await self._serve(reader, writer)
            except Exception as error:
                # Not OSError alone: uvloop answers a call on a connection that has just been reset with a
                # RuntimeError, and a link that ended with it stayed down for good.
                logger.warning(f"fleet link to {self._address[0]}:{self._address[1]}: {error!r}")
            finally:
                writer.transport.abort()
            await asyncio.sleep(self._random.uniform(0, AGAIN_S))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError, AttributeError):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        ended = asyncio.ensure_future(reader.read(1))  # nothing comes this way but the end
        try:
            while not ended.done():
                some = asyncio.ensure_future(self._some.wait())
                try:
                    await asyncio.wait((some, ended), return_when=asyncio.FIRST_COMPLETED)
                finally:
                    some.cancel()
                while self._waiting and writer.transport.get_write_buffer_size() < MOST_BUFFERED:
                    data = self._waiting.popleft()
                    writer.write(LENGTH.pack(len(data)) + data)
                if not self._waiting:
                    self._some.clear()
                await writer.drain()
        finally:
            ended.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await ended


class Links:
    """All of a gateway's links, and the listener for those of the others."""

    def __init__(
        self,
        me: int,
        addresses: Sequence[tuple[str, int]],
        heard: Callable[[bytes], None],
        seed: int,
    ) -> None:
        draw = random.Random(seed)
        self._own = addresses[me]
        others = [number for number in range(len(addresses)) if number != me]
        self._links = {number: Link(addresses[number], draw) for number in others}
        self._heard = heard
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._open: set[asyncio.StreamWriter] = set()

    @property
    def dropped(self) -> int:
        return sum(link.dropped for link in self._links.values())

    async def start(self) -> None:
        # The process that replaces this one listens on the same address while this one still runs.
        self._server = await asyncio.start_server(self._take, *self._own, reuse_port=True)
        self._tasks = [asyncio.ensure_future(link.run()) for link in self._links.values()]

    def send(self, member: int, data: bytes) -> None:
        self._links[member].send(data)

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            while True:
                (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
                if not 0 < length <= MOST_FRAME:
                    logger.warning(f"fleet link: a frame of {length} bytes, at most {MOST_FRAME}")
                    return
                self._heard(await reader.readexactly(length))
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._open.discard(writer)
            writer.transport.abort()

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._open):
            writer.transport.abort()
