"""What the kernel holds of a connection."""

from __future__ import annotations

import asyncio
import asyncio.trsock
import fcntl
import select
import socket
import struct
import termios

DROPPED = 64 * 1024  # read in one go of what nobody wants


def waiting(sock: socket.socket | asyncio.trsock.TransportSocket) -> bool:
    """Whether something has come that was not taken yet: bytes, an end, or a new connection."""
    poll = select.poll()  # not select(): descriptors may pass 1,023
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def left(sock: socket.socket) -> bool:
    """Whether the other side has closed the connection, though what it sent may still be unread."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def readable(transport: asyncio.BaseTransport | None) -> bool:
    """The same for a connection of the event loop; one that is closed holds nothing."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    return sock is not None and sock.fileno() >= 0 and waiting(sock)


def unacknowledged(sock: socket.socket | asyncio.trsock.TransportSocket) -> int:
    """How many bytes the other side's system has not taken yet; none where this system does not say."""
    try:
        found: int = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)))[0]
    except OSError:
        return 0
    return found


async def close_gracefully(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    patience_s: float,
) -> None:
    """End a connection in order: what was written arrives, though the other side is still sending.

    Closed over bytes unread, a connection is reset, and what is on its way is lost."""
    try:
        if not (writer.transport.is_closing() or reader.at_eof()):
            writer.write_eof()
            async with asyncio.timeout(patience_s):
                while await reader.read(DROPPED):
                    pass  # nothing more is taken
    except (OSError, RuntimeError):
        pass  # it took too long, or was reset: uvloop answers a call on such a connection with a RuntimeError
    finally:
        writer.close()
