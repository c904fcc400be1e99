"""PDUs over one TCP connection, for both sides."""

from __future__ import annotations

import asyncio

from shaletiller.net.nvme.pdu import Decoder, Kind, Pdu
from shaletiller.net.sockets import close_gracefully

READ_BYTES = 65536
MOST_UNSENT = 1 << 20


class PduStream:
    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        allowed: frozenset[Kind],
        most_unsent: int = MOST_UNSENT,
    ) -> None:
        """Beyond `most_unsent` bytes a peer that does not read is cut off rather than remembered."""
        self._reader = reader
        self._writer = writer
        self._most_unsent = most_unsent
        self._decoder = Decoder(allowed)

    async def next(self, patience_s: float | None = None) -> Pdu | None:
        """The next PDU, None at the stream's end.  TimeoutError where none comes within the patience."""
        async with asyncio.timeout(patience_s):
            while (pdu := self._decoder.take()) is None:
                data = await self._reader.read(READ_BYTES)
                if not data:
                    return None
                self._decoder.feed(data)
        return pdu

    def send(self, *units: bytes) -> None:
        """Write whole PDUs.  A connection that is gone, or whose peer does not read, is cut."""
        transport = self._writer.transport
        if transport.is_closing():
            return
        self._writer.writelines(units)
        if transport.get_write_buffer_size() > self._most_unsent:
            transport.abort()

    async def flushed(self) -> None:
        """Return once the peer has caught up with what was sent."""
        await self._writer.drain()

    @property
    def closing(self) -> bool:
        return self._writer.transport.is_closing() or self._reader.at_eof()

    async def close_gracefully(self, patience_s: float) -> None:
        """The end in order: completions on their way arrive."""
        await close_gracefully(self._reader, self._writer, patience_s)

    def abort(self) -> None:
        self._writer.transport.abort()
