"""Socket state as reported by the kernel, and graceful close of a stream."""

from __future__ import annotations

import asyncio
import asyncio.trsock
import fcntl
import select
import socket
import struct
import termios

CLOSE_POLL_S = 0.005  # interval between checks whether a peer has closed
MAX_DISCARD_READ_BYTES = 64 * 1024  # maximum bytes per read of discarded input


def is_readable(sock: socket.socket | asyncio.trsock.TransportSocket) -> bool:
    """Whether a socket is readable: it has unread data, an end of stream, or a new connection."""
    poll = select.poll()  # select() does not support file descriptors above 1,023
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def peer_has_closed(sock: socket.socket | asyncio.trsock.TransportSocket) -> bool:
    """Whether the peer has closed the connection, even if earlier data is still unread."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def has_unread_input(transport: asyncio.BaseTransport | None) -> bool:
    """Whether a transport's socket is readable; False for a closed transport."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    return sock is not None and sock.fileno() >= 0 and is_readable(sock)


def unread_input_bytes(transport: asyncio.BaseTransport | None) -> int:
    """Return the number of received bytes that a transport has not read (SIOCINQ); 0 if unknown."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None or sock.fileno() < 0:
        return 0
    try:
        count: int = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)))[0]
    except OSError:
        return 0
    return count


def unacknowledged_bytes(sock: socket.socket | asyncio.trsock.TransportSocket) -> int:
    """Return the number of sent bytes that the peer has not acknowledged (SIOCOUTQ); 0 if unknown."""
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
    """Close a connection so that all written data is delivered, even if the peer is still sending.

    Closing a socket that has unread input resets the connection, and data in flight to the peer is lost.
    Therefore the write side is closed first, and input is discarded until the peer closes too or `timeout_s`
    is over.
    """
    try:
        if not (writer.transport.is_closing() or reader.at_eof()):
            writer.write_eof()
            async with asyncio.timeout(timeout_s):
                while await reader.read(MAX_DISCARD_READ_BYTES):
                    pass
    except (OSError, RuntimeError):
        pass  # timed out or reset; uvloop raises RuntimeError for a call on a reset connection
    finally:
        writer.close()


async def close_unread(writer: asyncio.StreamWriter, timeout_s: float) -> None:
    """Close a connection that is not read any more, once its peer has closed or `timeout_s` is over."""
    sock = writer.get_extra_info("socket")
    try:
        if not writer.transport.is_closing():
            writer.write_eof()
            async with asyncio.timeout(timeout_s):
                while sock.fileno() >= 0 and not peer_has_closed(sock):
                    await asyncio.sleep(CLOSE_POLL_S)
    except (OSError, RuntimeError):
        pass  # timed out or reset; uvloop raises RuntimeError for a call on a reset connection
    finally:
        writer.close()
