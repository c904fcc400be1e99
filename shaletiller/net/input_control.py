"""Flow control of client connections by the memory account of the process.

Connections whose input there is no memory for are not read: the kernel holds their input.  While the account
is spent all the same, requests that are pipelined behind others wait, and connections that hold much and make
no progress are ended.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Collection

from shaletiller.clock import Clock
from shaletiller.core.memory_account import MemoryAccount
from shaletiller.net.client_connection import ClientConnection
from shaletiller.net.connection_buffers import INPUT_COPIES
from shaletiller.net.connection_state import ConnectionState, EndReason
from shaletiller.net.fixed_responses import UNAVAILABLE_RESPONSE
from shaletiller.net.sockets import has_unread_input, unread_input_bytes

logger = logging.getLogger(__name__)

# The rest of a body is read while memory is tight once so much of it has come, or all of it: a body that is
# written slowly collects in the kernel.
COLLECTED_BYTES = 32 * 1024
# Connections that are resumed at each sweep even if there is no memory.
MIN_RESUMED = 4
# Deferred requests that are served at once: what they cost shows only when their responses come.
MAX_SERVED_AT_ONCE = 4
# Ratio of a request's timeout for which it waits to be read.  Its client has the rest to send it elsewhere.
MAX_WAIT_RATIO = 0.5
# Time for which the account has to be spent before connections are ended, and time without progress after
# which a connection may be.
SPENT_BEFORE_ENDING_MS = 100.0
STALLED_AFTER_MS = 500.0
# The same for a client that has a response and does not read it.  The window of a client that reads slowly
# opens only when much of it is free.
UNREAD_AFTER_MS = 30_000.0


class InputControl:
    """Resumes reading of client connections as memory is released, and ends stalled ones if it is not."""

    def __init__(self, memory: MemoryAccount, clock: Clock) -> None:
        self._memory = memory
        self._clock = clock
        # In the order in which reading was paused, with the last time (ms) at which the request was not known
        # to be complete: the time of a request that then is begins there.
        self._paused: dict[ClientConnection, float] = {}
        self._granted: set[ClientConnection] = set()  # resumed, and not all of their grant is read
        # With requests that wait behind others; in the order in which they were deferred.
        self._deferred: dict[ClientConnection, None] = {}
        self._resume_scheduled = False
        self._spent_since_ms = math.inf
        memory.on_relief(self._schedule_resume)

    def add(self, connection: ClientConnection) -> None:
        """Add a connection whose reading is paused for memory."""
        self._paused[connection] = self._clock.now_ms()

    def defer(self, connection: ClientConnection) -> None:
        """Add a connection whose next request waits until memory is released."""
        self._deferred[connection] = None

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""
        self._paused.pop(connection, None)
        self._deferred.pop(connection, None)
        self._granted.discard(connection)

    def _schedule_resume(self) -> None:
        if (self._paused or self._deferred) and not self._resume_scheduled:
            self._resume_scheduled = True
            asyncio.get_running_loop().call_soon(self.resume)

    def resume(self, at_least: int = 0) -> None:
        """Serve deferred requests and resume reading, as far as there is memory; first come, first served.

        :param at_least: how many to serve, and to resume, even if there is no memory.
        """
        self._resume_scheduled = False
        self._serve_deferred(at_least)
        room = self._memory.free_bytes - self._granted_bytes()
        for connection in list(self._paused):
            if not connection.memory_paused:
                self._paused.pop(connection, None)
                continue
            size = self._readable_bytes(connection)
            cost = INPUT_COPIES * size
            if cost > room and len(self._granted) >= at_least:
                return
            if size:
                room -= cost
                del self._paused[connection]
                self._granted.add(connection)
                connection.resume_for_memory(size)

    def _serve_deferred(self, at_least: int) -> None:
        count = at_least if self._memory.is_spent else MAX_SERVED_AT_ONCE
        for connection in list(self._deferred)[:count]:
            del self._deferred[connection]
            connection.serve_deferred_request()

    def _granted_bytes(self) -> int:
        """Return how much of the input that was granted is not read yet."""
        self._granted = {
            connection
            for connection in self._granted
            if connection.buffers.granted_bytes and not connection.memory_paused
        }
        return sum(connection.buffers.granted_bytes for connection in self._granted)

    def _readable_bytes(self, connection: ClientConnection) -> int:
        """Return how much to read for a paused connection; 0 if its input still collects."""
        if connection.has_queued_request:
            return 0  # it would be charged long before it can be served
        unread = unread_input_bytes(connection.transport)
        missing = connection.missing_bytes
        if missing is None or not self._memory.is_tight:
            return min(unread, connection.buffers.read_step_bytes)
        return missing if unread >= min(missing, COLLECTED_BYTES) else 0

    def end_overdue(self) -> None:
        """Reject requests that have waited for memory too long to be served in time."""
        now_ms = self._clock.now_ms()
        for connection in [connection for connection in self._deferred if connection.is_overdue(now_ms)]:
            del self._deferred[connection]
            connection.serve_deferred_request()  # which rejects it
        for connection, incomplete_ms in list(self._paused.items()):
            missing, waits_since_ms = connection.missing_bytes, connection.waits_since_ms
            if missing is None or not connection.memory_paused:
                continue
            if waits_since_ms is not None:
                if now_ms - waits_since_ms >= MAX_WAIT_RATIO * connection.request_timeout_ms:
                    self._memory.count_release("overdue_request")
                    connection.end_partial_request(UNAVAILABLE_RESPONSE, EndReason.MEMORY)
            elif unread_input_bytes(connection.transport) >= missing:
                connection.waits_since_ms = incomplete_ms
            else:
                self._paused[connection] = now_ms

    def end_stalled(self, connections: Collection[ClientConnection]) -> None:
        """End the connections that hold most and make no progress, if memory has been spent for a while."""
        now_ms = self._clock.now_ms()
        for connection in connections:
            if connection.buffers.unread_bytes:
                connection.track_delivery()
        if not self._memory.is_spent:
            self._spent_since_ms = math.inf
            return
        self._spent_since_ms = min(self._spent_since_ms, now_ms)
        if now_ms - self._spent_since_ms < SPENT_BEFORE_ENDING_MS:
            return
        stalled = [connection for connection in connections if _is_stalled(connection, now_ms)]
        excess_bytes = self._memory.excess_bytes  # of which the account hears only as the connections end
        for connection in sorted(stalled, key=_releasable_bytes, reverse=True):
            size = _releasable_bytes(connection)
            if excess_bytes < 0 or not size:
                return
            excess_bytes -= size
            self._end(connection, now_ms)

    def _end(self, connection: ClientConnection, now_ms: float) -> None:
        reason = "unread_response" if connection.buffers.unread_bytes else "incomplete_request"
        logger.warning(
            "client connection ended to free memory: %s, %d bytes held, no progress for %.0f ms",
            reason.replace("_", " "),
            _releasable_bytes(connection),
            now_ms - connection.buffers.last_progress_ms,
        )
        self._memory.count_release(reason)
        if connection.buffers.unread_bytes:
            connection.reset(EndReason.MEMORY)
        else:
            connection.end_partial_request(UNAVAILABLE_RESPONSE, EndReason.MEMORY)


def _is_stalled(connection: ClientConnection, now_ms: float) -> bool:
    """Whether the client neither sends nor reads; input that this process has not read is its own stall."""
    stalled_after_ms = UNREAD_AFTER_MS if connection.buffers.unread_bytes else STALLED_AFTER_MS
    if now_ms - connection.buffers.last_progress_ms < stalled_after_ms:
        return False
    return not has_unread_input(connection.transport)


def _releasable_bytes(connection: ClientConnection) -> int:
    """Return what ending a connection would free, without that of a request that waits for its response."""
    incomplete = connection.state is ConnectionState.READING_HEAD or connection.incomplete_body is not None
    return connection.buffers.unread_bytes + (connection.buffers.held_bytes if incomplete else 0)
