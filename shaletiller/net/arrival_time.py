"""The times at which input arrived at this machine, as recorded by the kernel (SO_TIMESTAMPNS).

The order in which a process reads its connections says little about the order in which their requests
arrived: after the process was held up, all of them are readable at once.  The kernel records times of the
wall clock, which may be stepped.  They are converted to the monotonic clock, which is the same for all
processes of a machine.
"""

from __future__ import annotations

import socket
import struct
import time
from typing import Protocol

from shaletiller.core.memory_account import MemoryAccount
from shaletiller.net.bounded_reads import MAX_READ_BYTES, BoundedProtocol, BoundedReadAdapter

SO_TIMESTAMPNS = 35  # <asm-generic/socket.h>; Python has no name for it
TIMESPEC = struct.Struct("@qq")  # seconds and nanoseconds
MAX_CONTROL_BYTES = socket.CMSG_SPACE(TIMESPEC.size)
NS_PER_S = 1_000_000_000
# A difference between the clocks that changes by more is a step of the wall clock.
MIN_STEP_NS = 1_000_000
# Input that seems to have waited longer, or to come from the future, has just arrived.
MAX_AGE_NS = 60 * NS_PER_S
STEP_PERIOD_NS = 5 * NS_PER_S  # input that was recorded before a step is read in this time after it
# Reading both clocks may take so long; after an interruption between them they are read again.
MAX_READING_NS = 20_000
MAX_READINGS = 4


class ArrivalClock:
    """Converts times of the wall clock to the monotonic clock.

    For a while after a step, unread input may have been recorded on either side of it: the time that makes it
    younger counts.
    """

    def __init__(self) -> None:
        self._offset_ns = self._previous_offset_ns = self._measure_offset_ns()
        self._stepped_ns = 0

    @staticmethod
    def _measure_offset_ns() -> int:
        """Return the monotonic clock's lead over the wall clock."""
        for _ in range(MAX_READINGS):
            before_ns, wall_ns, after_ns = time.monotonic_ns(), time.time_ns(), time.monotonic_ns()
            if after_ns - before_ns <= MAX_READING_NS:
                break
        return (before_ns + after_ns) // 2 - wall_ns

    def to_monotonic_ns(self, wall_ns: int) -> int:
        """Return when input arrived that the kernel recorded at a time of the wall clock."""
        offset_ns = self._measure_offset_ns()
        if abs(offset_ns - self._offset_ns) > MIN_STEP_NS:
            self._previous_offset_ns, self._offset_ns = self._offset_ns, offset_ns
            self._stepped_ns = time.monotonic_ns()
        now_ns = time.monotonic_ns()
        if now_ns - self._stepped_ns > STEP_PERIOD_NS:
            self._previous_offset_ns = self._offset_ns
        ages_ns = (now_ns - wall_ns - offset for offset in (self._offset_ns, self._previous_offset_ns))
        return now_ns - min((age for age in ages_ns if 0 <= age <= MAX_AGE_NS), default=0)


arrival_clock = ArrivalClock()


def record_arrival_times(listening: socket.socket) -> None:
    """Let the kernel record receive times for all connections that a socket accepts from now on."""
    listening.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def unread_input_arrived_ns(sock: socket.socket) -> int:
    """Return when the last byte of the unread input arrived, in ns of the monotonic clock; 0 if unknown."""
    try:
        # With MSG_TRUNC the kernel copies nothing; it only passes over the bytes.
        _, control, _, _ = sock.recvmsg(MAX_READ_BYTES, MAX_CONTROL_BYTES, socket.MSG_PEEK | socket.MSG_TRUNC)
    except OSError:
        return 0
    for level, kind, data in control:
        if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(data) == TIMESPEC.size:
            seconds, nanoseconds = TIMESPEC.unpack(data)
            return arrival_clock.to_monotonic_ns(int(seconds * NS_PER_S + nanoseconds))
    return 0


class TimestampedProtocol(BoundedProtocol, Protocol):
    """A stream protocol that is told the arrival time of the data that it receives next."""

    last_input_ns: int


class TimestampingProtocol(BoundedReadAdapter):
    """Passes received data on to another protocol, together with the time at which it arrived.

    The event loop calls `get_buffer` immediately before each read, when the input is still in the kernel.
    """

    __slots__ = ("_socket", "_timestamped")

    def __init__(
        self, protocol: TimestampedProtocol, buffer: memoryview, memory: MemoryAccount, sock: socket.socket
    ) -> None:
        """Create the adapter of one connection."""
        super().__init__(protocol, buffer, memory)
        self._timestamped = protocol
        self._socket = sock

    def get_buffer(self, sizehint: int) -> memoryview:
        """Record the arrival time of the input, and return the buffer to read it into."""
        self._timestamped.last_input_ns = unread_input_arrived_ns(self._socket)
        return super().get_buffer(sizehint)
