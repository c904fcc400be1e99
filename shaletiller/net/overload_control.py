"""Overload control for new connections: a bounded-age accept queue, and cheap rejections.

A connection that was accepted waits here, as a bare socket, until it is started.  If the queue stands for too
long, connections that are too old are rejected without their requests being parsed: a 503 for about a tenth
of what starting a connection costs.
"""

from __future__ import annotations

import collections
import math
import socket
from collections.abc import Callable, Iterator
from typing import NamedTuple

from shaletiller.clock import Clock
from shaletiller.net import connection_limits as limits
from shaletiller.net.client_connection import ConnectionState
from shaletiller.net.connection_table import EVICTABLE_AFTER_MS
from shaletiller.net.sockets import peer_has_closed

REJECT_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n"
HEALTH_CHECK_HEAD = b"GET /up "


class AcceptedSocket(NamedTuple):
    """A connection without a protocol, and since when (ms): accepted, or half-closed by a rejection."""

    since_ms: float
    sock: socket.socket


class AcceptQueue:
    """Accepted connections that were not started yet.

    The newest and the oldest are started in turn.  In order of arrival alone, when clients come back faster
    than they can be started, each of them would have given up, or be about to, when its turn comes: all the
    work would be lost, and they would come back the more (compare adaptive LIFO).
    """

    def __init__(self) -> None:
        """Make an empty queue."""
        self._sockets: collections.deque[AcceptedSocket] = collections.deque()  # the oldest first
        self._nonempty_since_ms = math.inf

    def __len__(self) -> int:
        """How many connections wait."""
        return len(self._sockets)

    def push(self, accepted: AcceptedSocket) -> None:
        """Add the newest connection."""
        self._sockets.append(accepted)

    def pop(self) -> AcceptedSocket:
        """Take the newest connection."""
        return self._sockets.pop()

    def is_overloaded(self, now_ms: float) -> bool:
        """Whether the queue has not been empty for `OVERLOAD_AFTER_MS`."""
        return now_ms - self._nonempty_since_ms >= limits.OVERLOAD_AFTER_MS

    def update_backlog(self, now_ms: float) -> None:
        """Note whether the queue is empty, after each batch that was started."""
        self._nonempty_since_ms = min(self._nonempty_since_ms, now_ms) if self._sockets else math.inf

    def take_batch(self, overloaded: bool) -> Iterator[AcceptedSocket]:
        """Take the few connections to start now; those whose client has left are closed.

        :param overloaded: take the newest only; the old ones are rejected.
        """
        count = 0
        while self._sockets and count < limits.STARTS_PER_TURN:
            oldest = count % 2 and not overloaded
            accepted = self._sockets.popleft() if oldest else self._sockets.pop()
            if peer_has_closed(accepted.sock):
                accepted.sock.close()
                continue
            count += 1
            yield accepted

    def take_stale(self, now_ms: float) -> Iterator[AcceptedSocket]:
        """Take the connections that have waited for `MAX_QUEUE_AGE_MS`, the oldest first."""
        while self._sockets and now_ms - self._sockets[0].since_ms >= limits.MAX_QUEUE_AGE_MS:
            yield self._sockets.popleft()

    def put_back(self, accepted: list[AcceptedSocket]) -> None:
        """Return the oldest connections, the oldest first."""
        self._sockets.extendleft(reversed(accepted))


def _ignore_rejection(head: bytes) -> None:
    """Count no rejection."""


class OverloadControl:
    """Rejects connections that are too old to be answered in time, without parsing their requests."""

    def __init__(
        self,
        clock: Clock,
        retry_after_allowed: Callable[[], bool],
        on_rejected: Callable[[bytes], None] = _ignore_rejection,
    ) -> None:
        """Make a control that has rejected nothing.

        :param retry_after_allowed: whether rejections may carry a Retry-After, by the settings of the moment.
        :param on_rejected: called with the first bytes of each rejected request.
        """
        self._clock = clock
        self._retry_after_allowed = retry_after_allowed
        self._on_rejected = on_rejected
        self._half_closed: collections.deque[AcceptedSocket] = collections.deque()  # the oldest first

    def __len__(self) -> int:
        """How many rejected connections are still half-closed."""
        return len(self._half_closed)

    def reject_stale(self, queue: AcceptQueue, now_ms: float) -> Iterator[AcceptedSocket]:
        """Reject the connections that have waited for too long.

        :returns: those that are to be started all the same: health checks, for the process is alive.
        """
        silent = []
        for accepted in queue.take_stale(now_ms):
            try:
                head = accepted.sock.recv(limits.READ_SIZE, socket.MSG_PEEK)
            except BlockingIOError:
                if now_ms - accepted.since_ms < EVICTABLE_AFTER_MS[ConnectionState.NEW]:
                    silent.append(accepted)
                else:
                    accepted.sock.close()
                continue
            except OSError:  # its client has reset it
                head = b""
            if head.startswith(HEALTH_CHECK_HEAD):
                yield accepted
            elif head:
                self.reject(accepted.sock, head)
            else:
                accepted.sock.close()
        queue.put_back(silent)

    def reject_or_close(self, accepted: AcceptedSocket) -> None:
        """End a connection that will never be started: a request is rejected, a silent client just closed."""
        try:
            head = accepted.sock.recv(limits.READ_SIZE, socket.MSG_PEEK)
        except OSError:
            head = b""
        if head:
            self.reject(accepted.sock, head)
        else:
            accepted.sock.close()

    def reject(self, sock: socket.socket, head: bytes) -> None:
        """Send a 503 and half-close.

        Closed right away, a socket with unread bytes behind the request would be reset, and its client would
        not see the response.

        :param head: the first bytes of the request, still unread.
        """
        self._on_rejected(head)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.recv(limits.READ_SIZE)
            retry_after = b""
            if self._retry_after_allowed():
                retry_after = b"Retry-After: %.3f\r\n" % (limits.REJECT_RETRY_AFTER_MS / 1000)
            sock.send(REJECT_RESPONSE % retry_after)
            sock.shutdown(socket.SHUT_WR)
        except OSError:  # its client has left
            sock.close()
            return
        self._half_closed.append(AcceptedSocket(self._clock.now_ms(), sock))

    def evict(self) -> bool:
        """Close the rejected connection that has been half-closed for the longest; False if there is none."""
        if not self._half_closed:
            return False
        self._half_closed.popleft().sock.close()
        return True

    def close_half_closed(self, now_ms: float) -> None:
        """Close the rejected connections whose clients have closed too, or have had the time."""
        for rejected in list(self._half_closed):
            if self._has_ended(rejected, now_ms):
                self._half_closed.remove(rejected)
                rejected.sock.close()

    @staticmethod
    def _has_ended(rejected: AcceptedSocket, now_ms: float) -> bool:
        if now_ms - rejected.since_ms >= limits.HALF_CLOSE_TIMEOUT_MS:
            return True
        try:
            return not rejected.sock.recv(limits.READ_SIZE)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self) -> None:
        """Close every rejected connection."""
        while self._half_closed:
            self._half_closed.pop().sock.close()
