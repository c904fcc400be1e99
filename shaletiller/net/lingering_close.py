"""Lingering close of a client connection, like `lingering_close` of nginx.

Closing a socket that has unread input resets the connection, and the client would not see the error response
that was sent before.  The write side is closed instead, and input is discarded until the client closes too.
"""

from __future__ import annotations

import asyncio
import contextlib

from shaletiller.net.connection_limits import LINGER_TIMEOUT_S, MAX_LINGER_BYTES


class LingeringClose:
    """Discards the input of one connection, up to a limit of bytes and of time."""

    __slots__ = ("_bytes_left", "_done")

    def __init__(self) -> None:
        """Begin to discard input; called within a running event loop."""
        self._bytes_left = MAX_LINGER_BYTES
        self._done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    async def run(self, transport: asyncio.Transport) -> None:
        """Close the write side, and wait until the client closes or a limit is reached."""
        # The client may have reset the connection, which uvloop reports as a RuntimeError.
        with contextlib.suppress(OSError, RuntimeError):
            if transport.can_write_eof() and not transport.is_closing():
                transport.write_eof()
                transport.resume_reading()
        with contextlib.suppress(TimeoutError):  # the client did not close in time
            async with asyncio.timeout(LINGER_TIMEOUT_S):
                await self._done

    @property
    def has_discarded(self) -> bool:
        """Whether input was discarded."""
        return self._bytes_left < MAX_LINGER_BYTES

    def discard(self, size: int) -> None:
        """Count input that was discarded."""
        self._bytes_left -= size
        if self._bytes_left < 0:
            self.end()

    def end(self) -> None:
        """End the wait: the connection has ended, or the client sends too much."""
        if not self._done.done():
            self._done.set_result(None)
