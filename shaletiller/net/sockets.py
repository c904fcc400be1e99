"""What the kernel knows of a connection, and an orderly close."""

from __future__ import annotations

import asyncio
import asyncio.trsock
import fcntl
import select
import socket
import struct
import termios

DISCARD_SIZE = 64 * 1024  # bytes read at once of what is discarded


def has_input(sock: socket.socket | asyncio.trsock.TransportSocket) -> bool:
    """Whether the kernel holds something unread: bytes, an end of stream, or a new connection."""
    poll = select.poll()  # not select(): descriptors may exceed 1,023
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def peer_has_closed(sock: socket.socket) -> bool:
    """Whether the peer has closed the connection, even if what it sent before is still unread."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def has_unread_input(transport: asyncio.BaseTransport | None) -> bool:
    """`has_input` for a transport of the event loop; a closed one holds nothing."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    return sock is not None and sock.fileno() >= 0 and has_input(sock)


def unacknowledged_bytes(sock: socket.socket | asyncio.trsock.TransportSocket) -> int:
    """Return how many sent bytes the peer has not acknowledged (SIOCOUTQ); 0 where the kernel cannot tell."""
    try:
        count: int = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)))[0]
    except OSError:
        return 0
    return count


async def close_gracefully(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    timeout_s: float,
) -> None:
    """End a connection so that what was written arrives, though the peer may still be sending.

    A socket closed over unread bytes is reset, and data in flight to the peer is lost.  So the write side
    is closed first, and what the peer sends is discarded until it closes too or `timeout_s` is over.
    """
    try:
        if not (writer.transport.is_closing() or reader.at_eof()):
            writer.write_eof()
            async with asyncio.timeout(timeout_s):
                while await reader.read(DISCARD_SIZE):
                    pass
    except (OSError, RuntimeError):
        pass  # timed out, or reset: uvloop answers a call on a reset connection with a RuntimeError
    finally:
        writer.close()
