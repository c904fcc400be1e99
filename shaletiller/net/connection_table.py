"""Open connections of a listener: timeouts, and eviction in favor of new connections."""

from __future__ import annotations

import collections
import math

from shaletiller.net import connection_limits as limits
from shaletiller.net.client_connection import ClientConnection
from shaletiller.net.connection_state import ConnectionState, EndReason
from shaletiller.net.fixed_responses import UNAVAILABLE_RESPONSE
from shaletiller.net.sockets import has_unread_input

# Time in a state after which a connection may be evicted for a new one when the connection limit is reached.
# Only states without a pending response are listed.  A smaller value serves new clients sooner; a larger
# value gives a client on a slow network time to send its request (NEW), receive its error (LINGERING) or
# reuse its connection (IDLE).
EVICTABLE_AFTER_MS = {
    ConnectionState.NEW: 250.0,
    ConnectionState.LINGERING: 1000.0,
    ConnectionState.IDLE: 2000.0,
}
# The same for a lingering connection whose client has received its error and sends nothing more.
QUIET_LINGERING_MS = 250.0
# Time for which the order of eviction is kept; finding it costs time for each connection.
EVICTION_ORDER_MS = 10.0


class ConnectionTable:
    """Started connections, up to a limit.

    Clients that connect and send nothing, never complete a request or keep an idle connection must not
    prevent other clients from connecting.
    """

    def __init__(self, max_connections: int) -> None:
        """Create an empty table.

        :param max_connections: connection limit, which includes half-closed connections.
        """
        self.max_connections = max_connections
        self.open: dict[ClientConnection, None] = {}
        self.half_closed: dict[ClientConnection, None] = {}  # in the order in which they were half-closed
        # Whether many connections are held by clients that do not use them regularly.
        self.has_other_use = False
        self._eviction_order: collections.deque[ClientConnection] = collections.deque()
        self._ordered_ms = -math.inf

    def __len__(self) -> int:
        """Return the number of connections that count against the limit."""
        return len(self.open) + len(self.half_closed)

    @property
    def max_started(self) -> int:
        """How many connections are started; the others of the limit wait for that, or are rejected."""
        return self.max_connections - int(self.max_connections * limits.WAITING_RATIO)

    @property
    def startable(self) -> int:
        """How many connections may be started before one has to end."""
        return max(0, self.max_started - len(self))

    def add(self, connection: ClientConnection) -> None:
        """Add an open connection."""
        self.open[connection] = None

    def half_close(self, connection: ClientConnection) -> None:
        """Move a connection to the half-closed ones."""
        self.open.pop(connection, None)
        self.half_closed[connection] = None

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection; an unknown one is ignored."""
        self.open.pop(connection, None)
        self.half_closed.pop(connection, None)

    def is_near_limit(self, accepted: int) -> bool:
        """Whether so many connections are open that each response has to close its connection.

        Half-closed connections are not counted: they are about to end, and are evicted first.

        :param accepted: number of connections that are accepted and not started yet.
        """
        return len(self.open) + accepted >= self.max_connections * limits.NEAR_LIMIT_RATIO

    @property
    def has_pending_response(self) -> bool:
        """Whether any client waits for a response, or for the rest of one that was written."""
        return any(connection.has_undelivered_response for connection in self.half_closed) or any(
            connection.state is ConnectionState.ACTIVE for connection in self.open
        )

    def evict(self, now_ms: float) -> bool:
        """Close one connection: a half-closed one if possible, otherwise one of `EVICTABLE_AFTER_MS`.

        :returns: False if no connection may be evicted.
        """
        connection = self._find_delivered() or self._find_evictable(now_ms)
        if connection is None:
            return False
        self.remove(connection)
        connection.abandon(EndReason.EVICTION)
        return True

    def _find_delivered(self) -> ClientConnection | None:
        """Find the oldest half-closed connection whose client has received its last response."""
        delivered = (connection for connection in self.half_closed if not connection.has_undelivered_response)
        return next(delivered, None)

    def _find_evictable(self, now_ms: float) -> ClientConnection | None:
        """Find the connection to evict: idle ones last, the oldest of each group first."""
        if not self._eviction_order and now_ms - self._ordered_ms >= EVICTION_ORDER_MS:
            self._order_evictions(now_ms)
        while self._eviction_order:
            connection = self._eviction_order.popleft()
            if connection in self.open and self._is_evictable(connection, now_ms):
                return connection
        return None

    def _order_evictions(self, now_ms: float) -> None:
        """Order the connections that may be evicted."""
        self._ordered_ms = now_ms
        evictable = [connection for connection in self.open if _may_evict(connection, now_ms)]
        evictable.sort(
            key=lambda connection: (connection.state is ConnectionState.IDLE, connection.state_since_ms)
        )
        self._eviction_order.extend(evictable)

    @staticmethod
    def _is_evictable(connection: ClientConnection, now_ms: float) -> bool:
        # Unread input may be a complete request, which a close would reset.
        return _may_evict(connection, now_ms) and (
            connection.state is ConnectionState.LINGERING or not has_unread_input(connection.transport)
        )

    def time_out(self, now_ms: float, draining: bool) -> None:
        """End connections that are idle for too long, or whose request is not received in time.

        Those whose clients have left while reading was paused end as well.

        :param draining: close idle connections at once; their clients might keep them open indefinitely.
        """
        idle_timeout_ms = 0.0 if draining else limits.IDLE_TIMEOUT_MS
        in_other_use = sum(not connection.is_in_regular_use(now_ms) for connection in self.open)
        self.has_other_use = in_other_use > self.max_connections * limits.OTHER_USE_RATIO
        for connection in list(self.open):
            age_ms = now_ms - connection.state_since_ms
            if connection.state is ConnectionState.ACTIVE:
                connection.end_if_client_left()
                connection.time_out_body(now_ms)
            elif connection.state is ConnectionState.IDLE:
                if age_ms >= idle_timeout_ms and not has_unread_input(connection.transport):
                    connection.time_out()
            elif age_ms >= limits.REQUEST_TIMEOUT_MS and connection.has_transport:
                self._time_out_request(connection)

    def _time_out_request(self, connection: ClientConnection) -> None:
        """End a connection whose request is incomplete, unless it has unread input.

        After this process has stalled, the rest of a request may be in the kernel's buffer.  A client cannot
        extend its time indefinitely by sending more, because the size of a request head is limited.
        """
        if connection.state not in (ConnectionState.READING_HEAD, ConnectionState.NEW):
            return
        if connection.memory_paused:
            connection.end_partial_request(UNAVAILABLE_RESPONSE, EndReason.MEMORY)
            return
        if has_unread_input(connection.transport):
            return
        if connection.state is ConnectionState.NEW:
            self.remove(connection)
        connection.time_out()

    def end_quiet_lingering(self, now_ms: float) -> None:
        """Close the connections whose clients have received their errors and send nothing more."""
        for connection in list(self.open):
            if connection.state is ConnectionState.LINGERING and _may_evict(connection, now_ms):
                self.remove(connection)
                connection.abandon(EndReason.MEMORY)

    def close_half_closed(self, now_ms: float) -> None:
        """Close the half-closed connections whose clients have closed too, or whose timeout is over."""
        for connection in [candidate for candidate in self.half_closed if candidate.may_close(now_ms)]:
            self.remove(connection)
            connection.force_close()


def _may_evict(connection: ClientConnection, now_ms: float) -> bool:
    state, age_ms = connection.state, now_ms - connection.state_since_ms
    if age_ms < EVICTABLE_AFTER_MS.get(state, math.inf):
        is_quiet = state is ConnectionState.LINGERING and age_ms >= QUIET_LINGERING_MS
        if not is_quiet or not connection.is_lingering_quietly:
            return False
    return connection.has_transport and not connection.has_unwritten_response
