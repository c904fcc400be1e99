"""PDUs over one TCP connection, for hosts and controllers."""

from __future__ import annotations

import asyncio

from shaletiller.net.nvme.pdu import Pdu, PduDecoder, PduType
from shaletiller.net.sockets import close_gracefully

READ_BYTES = 65536  # bytes of one read: the largest PDU's data
# Bytes that the peer may leave unread before its connection is cut.  Empirical: more than any single command
# needs; it bounds the memory that a peer which does not read can occupy.
MAX_UNSENT_BYTES = 1 << 20


class PduStream:
    """Receives and sends PDUs.

    :param allowed: the types that the peer may send.
    :param max_unsent_bytes: a peer that leaves more unread is cut off: buffered, it would fill the memory.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        allowed: frozenset[PduType],
        max_unsent_bytes: int = MAX_UNSENT_BYTES,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._max_unsent_bytes = max_unsent_bytes
        self._decoder = PduDecoder(allowed)

    @property
    def peer(self) -> str:
        """The peer's address, for the log."""
        host, port, *_ = self._writer.get_extra_info("peername") or ("unknown", 0)
        return f"{host}:{port}"

    async def receive(self, timeout_s: float | None = None) -> Pdu | None:
        """The next PDU, None at the end of the stream.

        :param timeout_s: None waits for ever.
        :raises TimeoutError: where no complete PDU comes in time.
        :raises PduError: where the peer sent something else.
        """
        async with asyncio.timeout(timeout_s):
            while (pdu := self._decoder.next_pdu()) is None:
                data = await self._reader.read(READ_BYTES)
                if not data:
                    return None
                self._decoder.feed(data)
        return pdu

    def send(self, *pdus: bytes) -> None:
        """Write encoded PDUs; without effect on a closed connection, and a peer that does not read is cut."""
        transport = self._writer.transport
        if transport.is_closing():
            return
        self._writer.writelines(pdus)
        if transport.get_write_buffer_size() > self._max_unsent_bytes:
            transport.abort()

    async def drain(self) -> None:
        """Wait while the peer is behind in reading what was sent."""
        await self._writer.drain()

    @property
    def closing(self) -> bool:
        """Whether the connection is closed, by either side."""
        return self._writer.transport.is_closing() or self._reader.at_eof()

    async def close_gracefully(self, timeout_s: float) -> None:
        """Close the connection so that completions that were sent arrive."""
        await close_gracefully(self._reader, self._writer, timeout_s)

    def abort(self) -> None:
        """Close the connection; what was not yet sent is lost."""
        self._writer.transport.abort()
