"""The times at which input arrived at this machine, as recorded by the kernel (SO_TIMESTAMPNS).

The order in which a process reads its connections says little about the order in which their requests
arrived: after the process was held up, all of them are readable at once.  The kernel's receive times are also
comparable between the processes of one machine.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Protocol

SO_TIMESTAMPNS = 35  # <asm-generic/socket.h>; Python has no name for it
TIMESPEC = struct.Struct("@qq")  # seconds and nanoseconds
MAX_CONTROL_BYTES = socket.CMSG_SPACE(TIMESPEC.size)
NS_PER_S = 1_000_000_000
READ_BYTES = 64 * 1024  # maximum bytes per read


def record_arrival_times(listening: socket.socket) -> None:
    """Let the kernel record receive times for all connections that a socket accepts from now on."""
    listening.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def unread_input_arrived_ns(sock: socket.socket) -> int:
    """Return when the last byte of the unread input arrived, in ns since the Unix epoch; 0 if unknown."""
    try:
        # With MSG_TRUNC the kernel copies nothing; it only passes over the bytes.
        _, control, _, _ = sock.recvmsg(READ_BYTES, MAX_CONTROL_BYTES, socket.MSG_PEEK | socket.MSG_TRUNC)
    except OSError:
        return 0
    for level, kind, data in control:
        if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(data) == TIMESPEC.size:
            seconds, nanoseconds = TIMESPEC.unpack(data)
            return int(seconds * NS_PER_S + nanoseconds)
    return 0


class TimestampedProtocol(Protocol):
    """A stream protocol that is told the arrival time of the data that it receives next."""

    last_input_ns: int

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


class TimestampingProtocol(asyncio.BufferedProtocol):
    """Passes received data on to another protocol, together with the time at which it arrived.

    The event loop calls `get_buffer` immediately before each read, when the input is still in the kernel.
    """

    def __init__(self, protocol: TimestampedProtocol, sock: socket.socket) -> None:
        """Create the protocol of one connection."""
        self._protocol = protocol
        self._socket = sock
        self._buffer = memoryview(b"")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass the event on."""
        self._protocol.connection_made(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Record the arrival time of the input, and return the buffer to read it into."""
        self._protocol.last_input_ns = unread_input_arrived_ns(self._socket)
        self._buffer = memoryview(bytearray(READ_BYTES))
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass the received data on."""
        data, self._buffer = bytes(self._buffer[:nbytes]), memoryview(b"")
        self._protocol.data_received(data)

    def eof_received(self) -> bool | None:
        """Pass the event on."""
        return self._protocol.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass the event on."""
        self._protocol.connection_lost(exc)

    def pause_writing(self) -> None:
        """Pass the event on."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Pass the event on."""
        self._protocol.resume_writing()
