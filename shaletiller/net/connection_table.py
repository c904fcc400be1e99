"""The open connections of a listener: which have timed out, and which is evicted for a new one."""

from __future__ import annotations

import math

from shaletiller.net import connection_limits as limits
from shaletiller.net.client_connection import ClientConnection, ConnectionState
from shaletiller.net.sockets import has_unread_input

# When the limit is reached, a connection that has been for so long in a state that owes it nothing may be
# evicted for a new one.  Empirical: short enough that a new client is served in time, long enough that a
# client on a slow line gets its request through (NEW), sees its error (LINGERING) or reuses its connection
# (IDLE).
EVICTABLE_AFTER_MS = {
    ConnectionState.NEW: 250.0,
    ConnectionState.LINGERING: 1000.0,
    ConnectionState.IDLE: 2000.0,
}


class ConnectionTable:
    """Started connections, up to a limit.

    A client may connect and stay silent, begin a request and never complete it, or keep its connection
    forever.  None of them may take the place of a client that sends requests.
    """

    def __init__(self, max_connections: int) -> None:
        """Make an empty table for so many connections."""
        self.max_connections = max_connections
        self.open: dict[ClientConnection, None] = {}
        self.half_closed: dict[ClientConnection, None] = {}  # the oldest first

    def __len__(self) -> int:
        """How many connections count against the limit."""
        return len(self.open) + len(self.half_closed)

    def add(self, connection: ClientConnection) -> None:
        """Count a connection as open."""
        self.open[connection] = None

    def half_close(self, connection: ClientConnection) -> None:
        """Count a connection as half-closed."""
        self.open.pop(connection, None)
        self.half_closed[connection] = None

    def remove(self, connection: ClientConnection) -> None:
        """Forget a connection."""
        self.open.pop(connection, None)
        self.half_closed.pop(connection, None)

    def is_crowded(self, accepted: int) -> bool:
        """Whether so many connections are open that responses have to close theirs.

        Half-closed connections do not count: they are about to end, and are evicted first.

        :param accepted: connections that were accepted and not started yet.
        """
        return len(self.open) + accepted >= self.max_connections * limits.CROWDED_PART

    @property
    def owes_response(self) -> bool:
        """Whether some client may still read a response that was written, or be owed one."""
        return bool(self.half_closed) or any(
            connection.state in (ConnectionState.ACTIVE, ConnectionState.LINGERING)
            for connection in self.open
        )

    def evict(self, now_ms: float) -> bool:
        """Close the connection of least use.

        :returns: False if every connection is in use.
        """
        connection = next(iter(self.half_closed), None) or self._find_evictable(now_ms)
        if connection is None:
            return False
        self.remove(connection)
        connection.force_close()
        return True

    def _find_evictable(self, now_ms: float) -> ClientConnection | None:
        """Find the connection to evict: others before idle ones, each group the oldest first."""

        def is_evictable(connection: ClientConnection) -> bool:
            evictable_after_ms = EVICTABLE_AFTER_MS.get(connection.state, math.inf)
            return connection.has_started and now_ms - connection.state_since_ms >= evictable_after_ms

        idle_last = sorted(
            self.open,
            key=lambda connection: (connection.state is ConnectionState.IDLE, connection.state_since_ms),
        )
        for connection in filter(is_evictable, idle_last):
            # Unread input may be a complete request, which must not be reset.
            if connection.state is ConnectionState.LINGERING or not has_unread_input(connection.transport):
                return connection
        return None

    def time_out(self, now_ms: float, draining: bool) -> None:
        """End the connections whose request is late, and those that have been idle for too long.

        :param draining: idle connections end without delay: their clients might keep them for any time.
        """
        idle_timeout_ms = 0.0 if draining else limits.IDLE_TIMEOUT_MS
        for connection in list(self.open):
            age_ms = now_ms - connection.state_since_ms
            if connection.state is ConnectionState.IDLE:
                if age_ms >= idle_timeout_ms and not has_unread_input(connection.transport):
                    connection.time_out()
            elif age_ms >= limits.REQUEST_TIMEOUT_MS and connection.has_started:
                self._time_out_request(connection)

    def _time_out_request(self, connection: ClientConnection) -> None:
        """End a connection whose request has not come, unless what came of it is still unread.

        After a stall of this process the rest of a request may lie in the kernel.  A client that goes on
        sending cannot stay for ever: the size of a head is bounded.
        """
        if connection.state not in (ConnectionState.READING_HEAD, ConnectionState.NEW):
            return
        if has_unread_input(connection.transport):
            return
        if connection.state is ConnectionState.NEW:
            self.remove(connection)
        connection.time_out()

    def close_half_closed(self, now_ms: float) -> None:
        """Close the half-closed connections whose clients have closed too, or have had the time."""
        for connection in [each for each in self.half_closed if each.may_close(now_ms)]:
            self.remove(connection)
            connection.force_close()
