"""Sends and receives PDUs on a TCP connection, for both hosts and controllers."""

from __future__ import annotations

import asyncio
import contextlib
from typing import cast

from shaletiller.core.memory_account import MemoryAccount, MemoryOwner
from shaletiller.net.nvme.pdu import Pdu, PduDecoder, PduType
from shaletiller.net.sockets import close_gracefully, close_unread

READ_BYTES = 65536  # maximum bytes per read: the data of the largest PDU
# Maximum bytes in the send buffer; above it the connection is aborted.  It is more than any single command
# needs, and bounds the memory that a peer which does not read can occupy.
MAX_UNSENT_BYTES = 1 << 20
UNSENT_POLL_S = 0.02  # interval at which unsent data is charged anew


class PduStream:
    """Sends and receives PDUs on a connection.

    :param allowed: the PDU types that the peer may send.
    :param max_unsent_bytes: the size of the send buffer above which the connection is aborted, so that a peer
        which does not read cannot exhaust the memory.
    :param memory: account that unsent data is charged to.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        allowed: frozenset[PduType],
        max_unsent_bytes: int = MAX_UNSENT_BYTES,
        memory: MemoryAccount | None = None,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._max_unsent_bytes = max_unsent_bytes
        self._memory = memory or MemoryAccount()
        self._charge_task: asyncio.Task[None] | None = None
        self._decoder = PduDecoder(allowed)
        self._reading_ended = False

    @property
    def peer(self) -> str:
        """Address of the peer as host:port, for log lines."""
        host, port, *_ = self._writer.get_extra_info("peername") or ("unknown", 0)
        return f"{host}:{port}"

    async def receive(self, timeout_s: float | None = None) -> Pdu | None:
        """Return the next PDU, or None at the end of the stream.

        :param timeout_s: the maximum wait; None waits without limit.
        :raises TimeoutError: if no complete PDU arrives in time.
        :raises PduError: if the peer sent an invalid PDU.
        """
        async with asyncio.timeout(timeout_s):
            while (pdu := self._decoder.next_pdu()) is None:
                data = await self._reader.read(READ_BYTES)
                if not data:
                    return None
                self._decoder.feed(data)
        return pdu

    def send(self, *pdus: bytes) -> None:
        """Send encoded PDUs; does nothing on a closed connection.

        Aborts the connection if the send buffer exceeds its limit, because the peer does not read.
        """
        transport = self._writer.transport
        if transport.is_closing():
            return
        self._writer.writelines(pdus)
        if transport.get_write_buffer_size() > self._max_unsent_bytes:
            transport.abort()
        if self._unsent_bytes and self._charge_task is None:
            self._charge_task = asyncio.ensure_future(self._charge_unsent())

    @property
    def _unsent_bytes(self) -> int:
        transport = self._writer.transport
        return 0 if transport.is_closing() else transport.get_write_buffer_size()

    async def _charge_unsent(self) -> None:
        """Charge data that the peer does not read until it has read all of it, or the connection ends."""
        charged = 0
        while unsent := self._unsent_bytes:
            self._memory.charge(MemoryOwner.RESPONSES, unsent - charged)
            charged = unsent
            await asyncio.sleep(UNSENT_POLL_S)
        self._memory.charge(MemoryOwner.RESPONSES, -charged)
        self._charge_task = None

    async def drain(self) -> None:
        """Wait until the peer has read enough of the sent data for the send buffer to shrink."""
        await self._writer.drain()

    @property
    def closing(self) -> bool:
        """Whether either side has closed the connection."""
        return self._writer.transport.is_closing() or self._reader.at_eof()

    def end_reading(self) -> None:
        """Read no more from the peer; what was read can still be received."""
        self._reading_ended = True
        with contextlib.suppress(RuntimeError):  # the connection has ended
            cast(asyncio.Transport, self._writer.transport).pause_reading()

    async def close_gracefully(self, timeout_s: float) -> None:
        """Close the connection in such a way that the completions already sent still arrive."""
        if self._reading_ended:
            await close_unread(self._writer, timeout_s)
            return
        await close_gracefully(self._reader, self._writer, timeout_s)

    def abort(self) -> None:
        """Close the connection immediately and discard unsent data."""
        self._writer.transport.abort()
