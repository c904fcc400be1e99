"""One client's HTTP/1.1 connection: its state machine, the fast path, and the orderly close.

aiohttp's `RequestHandler` parses requests and runs handlers.  This subclass adds an explicit state (compare
h11's and httpcore's connection states), a fast path that answers a complete request without aiohttp's task,
and closes that lose neither a response nor a request: half-close and lingering close.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
from collections.abc import Callable, Coroutine, Mapping
from enum import IntEnum
from typing import Any, Protocol

from aiohttp import web
from aiohttp.http import HttpVersion11, RawRequestMessage
from aiohttp.web_protocol import RequestHandler

from shaletiller.clock import Clock
from shaletiller.net import connection_limits as limits
from shaletiller.net.body import MAX_BODY_BYTES
from shaletiller.net.sockets import peer_has_closed, unacknowledged_bytes

REQUEST_TIMEOUT_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
SHUTDOWN_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


class ConnectionState(IntEnum):
    """What a client connection is doing; an `IntEnum` so that a transition is one index into a tuple."""

    NEW = 0
    """Not a byte has been received."""
    READING_HEAD = 1
    """A part of a request head has been received."""
    ACTIVE = 2
    """A request has been received; its response is pending."""
    IDLE = 3
    """Keep-alive: every request has its response."""
    LINGERING = 4
    """An error response was sent and the write side closed; input is read and discarded."""
    HALF_CLOSED = 5
    """The write side is closed; input stays unread in the kernel."""


class ConnectionEvent(IntEnum):
    """What moves a connection from one state to another."""

    BYTES_RECEIVED = 0
    REQUEST_RECEIVED = 1
    RESPONSE_SENT = 2
    REQUEST_PIPELINED = 3
    """After a response: a further request had been received behind the answered one."""
    ERROR_SENT = 4
    """An error response after which the connection ends, while its client may still be sending."""
    WRITE_SIDE_CLOSED = 5


_State, _Event = ConnectionState, ConnectionEvent

# An event that a state does not list leaves that state.
TRANSITIONS: Mapping[ConnectionState, Mapping[ConnectionEvent, ConnectionState]] = {
    _State.NEW: {
        _Event.BYTES_RECEIVED: _State.READING_HEAD,
        _Event.WRITE_SIDE_CLOSED: _State.HALF_CLOSED,
    },
    _State.READING_HEAD: {
        _Event.REQUEST_RECEIVED: _State.ACTIVE,
        _Event.ERROR_SENT: _State.LINGERING,
        _Event.WRITE_SIDE_CLOSED: _State.HALF_CLOSED,
    },
    _State.ACTIVE: {
        _Event.RESPONSE_SENT: _State.IDLE,
        _Event.ERROR_SENT: _State.LINGERING,
        _Event.WRITE_SIDE_CLOSED: _State.HALF_CLOSED,
    },
    _State.IDLE: {
        _Event.BYTES_RECEIVED: _State.READING_HEAD,
        _Event.ERROR_SENT: _State.LINGERING,  # to a request that aiohttp parsed late
        _Event.REQUEST_PIPELINED: _State.ACTIVE,
        _Event.WRITE_SIDE_CLOSED: _State.HALF_CLOSED,
    },
    _State.LINGERING: {
        _Event.WRITE_SIDE_CLOSED: _State.HALF_CLOSED,
    },
    _State.HALF_CLOSED: {},
}


def _next_states(event: ConnectionEvent) -> tuple[ConnectionState, ...]:
    """Return an event's column of `TRANSITIONS` as a tuple, so that a transition costs one index."""
    return tuple(TRANSITIONS[state].get(event, state) for state in ConnectionState)


_ON_BYTES_RECEIVED = _next_states(ConnectionEvent.BYTES_RECEIVED)
_ON_REQUEST_RECEIVED = _next_states(ConnectionEvent.REQUEST_RECEIVED)
_ON_RESPONSE_SENT = _next_states(ConnectionEvent.RESPONSE_SENT)
_ON_REQUEST_PIPELINED = _next_states(ConnectionEvent.REQUEST_PIPELINED)
_ON_ERROR_SENT = _next_states(ConnectionEvent.ERROR_SENT)
_ON_WRITE_SIDE_CLOSED = _next_states(ConnectionEvent.WRITE_SIDE_CLOSED)
_IDLE = ConnectionState.IDLE

# Takes a complete request.  True: its response goes to `ClientConnection.send_response`, maybe before this
# returns.  False: aiohttp's handler has to serve it.
FastPath = Callable[["ClientConnection", RawRequestMessage, bytes], bool]


class ConnectionOwner(Protocol):
    """What a connection needs of its listener."""

    clock: Clock
    fast_path: FastPath

    def connection_half_closed(self, connection: ClientConnection) -> None:
        """Note that the connection has closed its write side."""

    def connection_lost(self, connection: ClientConnection) -> None:
        """Note that the connection is closed."""

    def start_linger(self, linger: Coroutine[Any, Any, None], connection: ClientConnection) -> None:
        """Run `linger` in a task of its own, then close the connection."""


class ClientConnection(RequestHandler):
    """aiohttp's server protocol with an explicit connection state and a fast path."""

    __slots__ = (
        "_linger_bytes_left",
        "_linger_done",
        "_owner",
        "arrivals_ms",
        "fast_path_pending",
        "on_client_gone",
        "prefetched_body",
        "state",
        "state_since_ms",
        "task_started",
    )

    def __init__(self, owner: ConnectionOwner, manager: web.Server, **options: Any) -> None:
        """Make a connection that has no transport yet.

        :param options: aiohttp's own, passed on.
        """
        super().__init__(manager, loop=asyncio.get_running_loop(), **options)
        self._owner = owner
        self.state = ConnectionState.NEW
        self.state_since_ms = owner.clock.now_ms()
        self.arrivals_ms: collections.deque[float] = collections.deque()  # of the requests without a response
        # The next request's body, if the fast path read it before it declined the request.
        self.prefetched_body: bytes | None = None
        self.task_started = False  # whether aiohttp's task has run as far as its first wait
        self.fast_path_pending = False  # whether a request that took the fast path waits for its response
        self.on_client_gone: Callable[[], None] | None = None
        self._linger_bytes_left = limits.MAX_LINGER_BYTES
        self._linger_done: asyncio.Future[None] | None = None

    # ---- asyncio protocol

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel what was pending for the client."""
        self._owner.connection_lost(self)
        self.fast_path_pending, on_client_gone, self.on_client_gone = False, self.on_client_gone, None
        self._end_linger()
        super().connection_lost(exc)
        if on_client_gone is not None:
            on_client_gone()

    async def start(self) -> None:
        """Run aiohttp's task.

        What is pipelined behind a fast-path request must not be answered before it: clients match responses
        to requests by their order alone.  The task therefore waits first if such a response is pending.
        """
        self.task_started = True
        if self.fast_path_pending:
            self._waiter = self._loop.create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        await super().start()

    def data_received(self, data: bytes) -> None:
        """Parse what was received; serve a complete request on the fast path, else wake aiohttp's task."""
        if self._linger_done is not None:
            self._discard(len(data))
            return
        if data:
            if self.state is _IDLE:
                self.state_since_ms = self._owner.clock.now_ms()
            self.state = _ON_BYTES_RECEIVED[self.state]
        # The parser must not wake aiohttp's task before the fast path has had its turn: its two tasks, its
        # request and its response cost more for each request than all decisions of the gateway.
        count_before, waiter = self._request_count, self._waiter
        self._waiter = None
        super().data_received(data)
        self._waiter = waiter
        received = self._request_count - count_before
        if not received:
            return
        self.state = _ON_REQUEST_RECEIVED[self.state]
        task_is_idle = not self.task_started if waiter is None else not waiter.done()
        if received > 1 or not task_is_idle or not self._try_fast_path():
            self.arrivals_ms.extend([self._owner.clock.now_ms()] * received)
            self._wake_task()

    @property
    def has_started(self) -> bool:
        """Whether it has a transport: without one it cannot be closed, and its client would see no end."""
        return self.transport is not None

    # ---- fast path

    @property
    def has_pipelined_request(self) -> bool:
        """Whether a further request has been received; it is owed a response too."""
        return bool(self._messages)

    def _wake_task(self) -> None:
        if self._waiter is not None and not self._waiter.done() and not self.fast_path_pending:
            self._waiter.set_result(None)

    def _try_fast_path(self) -> bool:
        """Offer the one received request to the owner's fast path.

        :returns: False if the request is unusual, incomplete or declined, or if the client is slow to read
            its responses: they must not pile up here, and aiohttp's task waits for the client.
        """
        message, payload = self._messages[0]
        alone = len(self._messages) == 1 and not self._buffer_paused and not self.fast_path_pending
        if self.transport is None or self.transport.get_write_buffer_size() or not alone:
            return False
        if not isinstance(message, RawRequestMessage) or message.upgrade or not payload.is_eof():
            return False
        if message.version < HttpVersion11 or message.should_close or "Transfer-Encoding" in message.headers:
            return False
        if payload.total_bytes > MAX_BODY_BYTES:
            return False
        body = payload.read_nowait() if payload.total_bytes else b""
        self.fast_path_pending = True
        # Cleared before the call, for the response may be sent within it: what `send_response` finds in the
        # queue then was pipelined behind this request.
        self._messages.clear()
        if not self._owner.fast_path(self, message, body):
            self.fast_path_pending, self.prefetched_body = False, body  # the payload can be read only once
            self._messages.append((message, payload))
            return False
        if self._parser is not None:
            self._parser.message_consumed()
        return True

    def send_response(self, raw: bytes, close: bool) -> None:
        """Send the response to a request that took the fast path.

        :param raw: the response, head and body.
        :param close: whether the response announces the end of the connection.
        """
        if not self.fast_path_pending:
            return
        self.fast_path_pending, self.on_client_gone = False, None
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(raw)
        self.state_since_ms = self._owner.clock.now_ms()
        self.state = _ON_RESPONSE_SENT[self.state]
        if close:
            self.half_close()
        elif self.has_pipelined_request:
            self.state = _ON_REQUEST_PIPELINED[self.state]
            self._wake_task()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send a handler's response, then keep, half-close or linger on the connection."""
        result = await super().finish_response(request, resp, start_time)
        if self.arrivals_ms:  # empty if what followed an upgrade request was parsed late
            self.arrivals_ms.popleft()
        self.state_since_ms = self._owner.clock.now_ms()
        if 400 <= resp.status < 500 and not resp.keep_alive and self.transport is not None:
            await self._linger(self.transport)
            return result
        self.state = _ON_RESPONSE_SENT[self.state]
        if self._messages:
            self.state = _ON_REQUEST_PIPELINED[self.state]
        elif not resp.keep_alive:
            self.half_close()
        return result

    # ---- closing

    def half_close(self) -> None:
        """Send what was written, close the write side, and read nothing more.

        For a connection that owes no response.
        A socket closed over unread bytes is reset, and the client loses a response in flight, along with
        what the kernel has not sent.  Reading on is no way out: a request read after the write side is
        closed could be neither answered nor left to another connection, because its client retries only a
        request that was not read.  Unread input stays in the kernel until the client closes too.
        """
        transport, self._force_close = self.transport, True
        if self._waiter is not None:
            self._waiter.cancel()
        if transport is None or transport.is_closing() or self.state is ConnectionState.HALF_CLOSED:
            return
        self.state = _ON_WRITE_SIDE_CLOSED[self.state]
        self.state_since_ms = self._owner.clock.now_ms()
        self._owner.connection_half_closed(self)
        with contextlib.suppress(OSError, RuntimeError):  # the client may have reset it meanwhile
            transport.pause_reading()
            transport.write_eof()

    def may_close(self, now_ms: float) -> bool:
        """Whether this half-closed connection may be closed: its client closed too, or has had the time.

        Until a slow client has taken the whole response, closing over what it sent behind its request would
        reset the connection and cut that response.
        """
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if self.transport is None or sock is None or sock.fileno() < 0 or peer_has_closed(sock):
            return True
        delivered = self.transport.get_write_buffer_size() == 0 and not unacknowledged_bytes(sock)
        timeout_ms = limits.HALF_CLOSE_TIMEOUT_MS if delivered else limits.LINGER_TIMEOUT_S * 1000
        return now_ms - self.state_since_ms >= timeout_ms

    async def _linger(self, transport: asyncio.Transport) -> None:
        """Discard what the client still sends until it closes (lingering close, as nginx has it).

        A socket closed over unread bytes is reset, and the client never sees the error response.
        """
        self.state = _ON_ERROR_SENT[self.state]
        self._linger_done = self._loop.create_future()
        # The client may have reset the connection meanwhile, which uvloop reports as a RuntimeError.
        with contextlib.suppress(OSError, RuntimeError):
            if transport.can_write_eof() and not transport.is_closing():
                transport.write_eof()
                transport.resume_reading()
        try:
            async with asyncio.timeout(limits.LINGER_TIMEOUT_S):
                await self._linger_done
        except TimeoutError:
            pass  # the client has had its time

    def _discard(self, size: int) -> None:
        self._linger_bytes_left -= size
        if self._linger_bytes_left < 0:
            self._end_linger()

    def _end_linger(self) -> None:
        if self._linger_done is not None and not self._linger_done.done():
            self._linger_done.set_result(None)

    def time_out(self) -> None:
        """End a connection that has timed out; a client that has sent a part of a request gets a 408."""
        if self.state is ConnectionState.IDLE:
            self.half_close()
            return
        if self.state is ConnectionState.READING_HEAD:
            self.end_partial_request(REQUEST_TIMEOUT_RESPONSE)
        else:
            self.force_close()

    def end_partial_request(self, response: bytes) -> None:
        """Answer a request of which a part has come, and let its client finish sending.

        Without the linger the client would be reset and not see the response.
        """
        if self.transport is None or self.transport.is_closing():
            self.force_close()
            return
        self.transport.write(response)
        self.state = _ON_ERROR_SENT[self.state]
        self._force_close = True
        if self._waiter is not None:
            self._waiter.cancel()
        self._owner.start_linger(self._linger(self.transport), self)
