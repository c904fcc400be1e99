"""Overload control for new connections: an accept queue with a maximum age, and cheap rejections.

An accepted connection waits in the queue, as a plain socket, until it is started.  If the queue stays
nonempty for too long, connections that are too old are rejected with a 503 without parsing their requests.
Such a rejection costs about a tenth of starting a connection.
"""

from __future__ import annotations

import collections
import math
import socket
from collections.abc import Callable, Iterator
from typing import NamedTuple

from shaletiller.clock import Clock
from shaletiller.net import connection_limits as limits
from shaletiller.net.connection_state import ConnectionState
from shaletiller.net.connection_table import EVICTABLE_AFTER_MS
from shaletiller.net.fixed_responses import REJECT_RESPONSE
from shaletiller.net.sockets import is_readable, peer_has_closed, unacknowledged_bytes

HEALTH_CHECK_HEAD = b"GET /up "


class AcceptedSocket(NamedTuple):
    """Socket that has no protocol yet, and the time (ms) at which it was accepted, or half-closed."""

    since_ms: float
    sock: socket.socket


class AcceptQueue:
    """Accepted connections that are not started yet.

    The newest and the oldest connections are started alternately.  If clients connect faster than connections
    can be started, strict FIFO order would start each connection only when its client has timed out or is
    about to: the work would be wasted, and retries would add to the load (compare adaptive LIFO).
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._sockets: collections.deque[AcceptedSocket] = collections.deque()  # in order of arrival
        self._nonempty_since_ms = math.inf

    def __len__(self) -> int:
        """Return the number of queued connections."""
        return len(self._sockets)

    def with_input(self) -> set[AcceptedSocket]:
        """Return the queued connections that have unread input."""
        return {accepted for accepted in self._sockets if is_readable(accepted.sock)}

    def contains_any(self, accepted: set[AcceptedSocket]) -> bool:
        """Return whether any of these connections is still queued."""
        return not accepted.isdisjoint(self._sockets)

    def push(self, accepted: AcceptedSocket) -> None:
        """Add the newest connection."""
        self._sockets.append(accepted)

    def pop(self) -> AcceptedSocket:
        """Take the newest connection."""
        return self._sockets.pop()

    def oldest_first(self) -> tuple[AcceptedSocket, ...]:
        """Return the queued connections in order of arrival."""
        return tuple(self._sockets)

    def remove(self, accepted: AcceptedSocket) -> None:
        """Take a connection out of the queue."""
        self._sockets.remove(accepted)

    def is_overloaded(self, now_ms: float) -> bool:
        """Whether the queue has been nonempty for `OVERLOAD_AFTER_MS` without interruption."""
        return now_ms - self._nonempty_since_ms >= limits.OVERLOAD_AFTER_MS

    def update_backlog(self, now_ms: float) -> None:
        """Record whether the queue is empty; called after each batch."""
        self._nonempty_since_ms = min(self._nonempty_since_ms, now_ms) if self._sockets else math.inf

    def take_batch(self, overloaded: bool, most: int = limits.STARTS_PER_TURN) -> Iterator[AcceptedSocket]:
        """Take the next batch of connections to start, and close those whose client has disconnected.

        :param most: how many may be started.
        :param overloaded: take only the newest connections; old ones are rejected.
        """
        count = 0
        while self._sockets and count < min(limits.STARTS_PER_TURN, most):
            oldest = count % 2 and not overloaded
            accepted = self._sockets.popleft() if oldest else self._sockets.pop()
            if peer_has_closed(accepted.sock):
                accepted.sock.close()
                continue
            count += 1
            yield accepted

    def take_stale(self, now_ms: float, max_age_ms: float) -> Iterator[AcceptedSocket]:
        """Take the connections that have been queued for so long, oldest first."""
        while self._sockets and now_ms - self._sockets[0].since_ms >= max_age_ms:
            yield self._sockets.popleft()

    def put_back(self, accepted: list[AcceptedSocket]) -> None:
        """Return connections to the head of the queue.

        :param accepted: connections in order of arrival, each older than all queued ones.
        """
        self._sockets.extendleft(reversed(accepted))


def _peek(sock: socket.socket) -> bytes:
    """Return what a client has sent, without reading it; empty if it has sent nothing or has left."""
    try:
        return sock.recv(limits.MAX_READ_BYTES, socket.MSG_PEEK)
    except OSError:
        return b""


def _ignore_rejection(head: bytes) -> None:
    """Ignore a rejected request; the default of `on_rejected`."""


class OverloadControl:
    """Rejects connections that have been queued for too long, without parsing their requests."""

    def __init__(
        self,
        clock: Clock,
        retry_after_allowed: Callable[[], bool],
        on_rejected: Callable[[bytes], None] = _ignore_rejection,
    ) -> None:
        """Create an overload control without rejected connections.

        :param retry_after_allowed: returns whether the current settings allow a Retry-After in rejections.
        :param on_rejected: called with the first bytes of each rejected request.
        """
        self._clock = clock
        self._retry_after_allowed = retry_after_allowed
        self._on_rejected = on_rejected
        self._half_closed: collections.deque[AcceptedSocket] = collections.deque()  # in order of rejection

    def __len__(self) -> int:
        """Return the number of rejected connections that are still half-closed."""
        return len(self._half_closed)

    @property
    def has_undelivered_response(self) -> bool:
        """Whether a client's machine has not received its rejection."""
        return any(unacknowledged_bytes(rejected.sock) for rejected in self._half_closed)

    def reject_stale(
        self, queue: AcceptQueue, now_ms: float, max_age_ms: float | None = None
    ) -> Iterator[AcceptedSocket]:
        """Reject the connections that have been queued for too long.

        :param max_age_ms: `MAX_QUEUE_AGE_MS` by default.
        :returns: the connections to start nevertheless: health checks, as an overloaded process is alive.
        """
        silent = []
        for accepted in queue.take_stale(
            now_ms, limits.MAX_QUEUE_AGE_MS if max_age_ms is None else max_age_ms
        ):
            try:
                head = accepted.sock.recv(limits.MAX_READ_BYTES, socket.MSG_PEEK)
            except BlockingIOError:
                if now_ms - accepted.since_ms < EVICTABLE_AFTER_MS[ConnectionState.NEW]:
                    silent.append(accepted)
                else:
                    accepted.sock.close()
                continue
            except OSError:  # the client has reset the connection
                head = b""
            if head.startswith(HEALTH_CHECK_HEAD):
                yield accepted
            elif head:
                self.reject(accepted.sock, head)
            else:
                accepted.sock.close()
        queue.put_back(silent)

    def reject_oldest(self, queue: AcceptQueue) -> bool:
        """Reject the oldest queued request, but no health check; False if there is none."""
        for accepted in queue.oldest_first():
            head = _peek(accepted.sock)
            if head and not head.startswith(HEALTH_CHECK_HEAD):
                queue.remove(accepted)
                self.reject(accepted.sock, head)
                return True
        return False

    def reject_or_close(self, accepted: AcceptedSocket) -> None:
        """End a connection that will not be started: reject its request, or close it if it has sent none."""
        head = _peek(accepted.sock)
        if head:
            self.reject(accepted.sock, head)
        else:
            accepted.sock.close()

    def reject(self, sock: socket.socket, head: bytes) -> None:
        """Send a 503 and half-close the connection.

        Closing a socket that has unread input resets the connection, and the client would not see the
        response.

        :param head: first bytes of the request, which are still unread.
        """
        self._on_rejected(head)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.recv(limits.MAX_READ_BYTES)
            retry_after = b""
            if self._retry_after_allowed():
                retry_after = b"Retry-After: %.3f\r\n" % (limits.REJECT_RETRY_AFTER_MS / 1000)
            sock.send(REJECT_RESPONSE % retry_after)
            sock.shutdown(socket.SHUT_WR)
        except OSError:  # the client has closed the connection
            sock.close()
            return
        self._half_closed.append(AcceptedSocket(self._clock.now_ms(), sock))

    def evict(self) -> bool:
        """Close the oldest rejected connection that is still half-closed; False if there is none."""
        if not self._half_closed:
            return False
        self._half_closed.popleft().sock.close()
        return True

    def close_half_closed(self, now_ms: float) -> None:
        """Close the rejected connections whose clients have closed too, or whose timeout is over."""
        for rejected in list(self._half_closed):
            if self._may_close(rejected, now_ms):
                self._half_closed.remove(rejected)
                rejected.sock.close()

    @staticmethod
    def _may_close(rejected: AcceptedSocket, now_ms: float) -> bool:
        if now_ms - rejected.since_ms >= limits.HALF_CLOSE_TIMEOUT_MS:
            return True
        try:
            return not rejected.sock.recv(limits.MAX_READ_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self) -> None:
        """Close all rejected connections."""
        while self._half_closed:
            self._half_closed.pop().sock.close()
