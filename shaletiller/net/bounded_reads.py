"""Reads of bounded size: the receiving protocol decides before each read how much of the input is taken.

The event loop reads up to 256 KB at once for an `asyncio.Protocol`, whatever the protocol has room for.  What
is not read stays in the kernel, and the peer's TCP waits.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, Protocol, TypeVar

from shaletiller.core.memory_account import MemoryAccount

MAX_READ_BYTES = 64 * 1024


StreamHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class StreamProtocol(Protocol):
    """The methods of `asyncio.Protocol`; aiohttp's protocols have them too."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle a new connection."""

    def data_received(self, data: bytes) -> None:
        """Handle received data."""

    def eof_received(self) -> bool | None:
        """Handle the end of the peer's stream."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection."""

    def pause_writing(self) -> None:
        """Handle a full write buffer."""

    def resume_writing(self) -> None:
        """Handle a write buffer that has room again."""


class BoundedProtocol(StreamProtocol, Protocol):
    """A stream protocol that limits the size of its reads while memory is tight."""

    def max_read_bytes(self) -> int:
        """Return the maximum size of the next read while memory is tight, at least 1."""


def make_read_buffer(max_read_bytes: int = MAX_READ_BYTES) -> memoryview:
    """Create a buffer for the adapters of one event loop, which reads from one connection at a time."""
    return memoryview(bytearray(max_read_bytes))


ProtocolT = TypeVar("ProtocolT", bound=StreamProtocol)


class FixedReadAdapter(asyncio.BufferedProtocol, Generic[ProtocolT]):
    """Passes the input of a connection on to a stream protocol, in reads that fit a buffer.

    :param buffer: shared with other connections of the same event loop; its size limits each read.
    """

    __slots__ = ("_buffer", "protocol")

    def __init__(self, protocol: ProtocolT, buffer: memoryview) -> None:
        self.protocol = protocol
        self._buffer = buffer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass the event on."""
        self.protocol.connection_made(transport)

    def eof_received(self) -> bool | None:
        """Pass the event on."""
        return self.protocol.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass the event on."""
        self.protocol.connection_lost(exc)

    def pause_writing(self) -> None:
        """Pass the event on."""
        self.protocol.pause_writing()

    def resume_writing(self) -> None:
        """Pass the event on."""
        self.protocol.resume_writing()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass the received data on."""
        self.protocol.data_received(bytes(self._buffer[:nbytes]))


class BoundedReadAdapter(FixedReadAdapter[BoundedProtocol]):
    """Reads less while memory is tight, as its protocol allows."""

    __slots__ = ("_memory",)

    def __init__(self, protocol: BoundedProtocol, buffer: memoryview, memory: MemoryAccount) -> None:
        super().__init__(protocol, buffer)
        self._memory = memory

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        if not self._memory.is_tight:
            return self._buffer
        return self._buffer[: self.protocol.max_read_bytes()]


async def start_stream_server(
    serve: StreamHandler, address: tuple[str, int], max_read_bytes: int, reuse_port: bool = False
) -> asyncio.Server:
    """Listen like `asyncio.start_server`, whose connections may each hold 256 KB of a single read.

    :param max_read_bytes: limit of each read; a connection that is not read from holds at most three.
    """
    loop = asyncio.get_running_loop()
    buffer = make_read_buffer(max_read_bytes)

    def make_protocol() -> FixedReadAdapter[asyncio.StreamReaderProtocol]:
        reader = asyncio.StreamReader(limit=max_read_bytes, loop=loop)
        return FixedReadAdapter(asyncio.StreamReaderProtocol(reader, serve, loop=loop), buffer)

    return await loop.create_server(make_protocol, *address, reuse_port=reuse_port)
