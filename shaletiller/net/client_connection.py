"""One client's HTTP/1.1 connection: aiohttp's protocol with a fast path and graceful close.

aiohttp's `RequestHandler` parses requests and runs handlers.  This subclass adds a state that is derived from
what the connection holds (similar to those of h11 and httpcore), a fast path that answers a complete request
without running aiohttp's task, and two ways to close without losing a response or a request: half-close and
lingering close.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import socket
import struct
from collections.abc import Callable
from typing import Any, cast

from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpVersion11, RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.tcp_helpers import tcp_keepalive
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse
from aiohttp.web_server import Server

from shaletiller.core.errors import BadRequestError
from shaletiller.net import connection_limits as limits
from shaletiller.net.body import MAX_BODY_BYTES
from shaletiller.net.connection_buffers import (
    CONNECTION_BYTES,
    TASK_BYTES,
    ConnectionBuffers,
    charged_head_bytes,
)
from shaletiller.net.connection_owner import ConnectionOwner, ReceivedRequest
from shaletiller.net.connection_state import ConnectionState, EndReason
from shaletiller.net.errors import RequestExpiredError
from shaletiller.net.fixed_responses import REQUEST_TIMEOUT_RESPONSE, UNAVAILABLE_RESPONSE
from shaletiller.net.http_request import parse_timeout_ms
from shaletiller.net.lingering_close import LingeringClose
from shaletiller.net.response_relay import CLIENT_STALL_TIMEOUT_MS, ResponseRelay
from shaletiller.net.sockets import has_unread_input, peer_has_closed, unacknowledged_bytes

# Unread response bytes of a connection from which it waits for its client.
MAX_WRITE_BUFFER_BYTES = 16 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for 0 s
END_OF_HEAD = b"\r\n\r\n"
EMPTY_LINES = b"\r\n"  # characters that may stand between requests


class ClientConnection(RequestHandler):
    """aiohttp's server protocol with a connection state and a fast path."""

    __slots__ = (
        "_final_state",
        "_lingering_close",
        "_owner",
        "_received_body",
        "_relay_task",
        "buffers",
        "end_reason",
        "fast_path_pending",
        "has_partial_head",
        "idle_ms",
        "incomplete_body",
        "last_input_ns",
        "memory_paused",
        "on_disconnect",
        "prefetched_body",
        "reading_ended",
        "received",
        "request_deferred",
        "state_since_ms",
        "task_started",
        "waits_since_ms",
    )

    def __init__(self, owner: ConnectionOwner, manager: Server, **options: Any) -> None:
        """Create a connection that has no transport yet.

        :param options: options of aiohttp's `RequestHandler`.
        """
        super().__init__(manager, loop=asyncio.get_running_loop(), **options)
        self._owner = owner
        self._final_state: ConnectionState | None = None  # LINGERING or HALF_CLOSED, once it is reached
        self.end_reason: EndReason | None = None  # why this process has ended it
        self.reading_ended = False  # whether nothing more is read, and it ends with its last response
        self.has_partial_head = False  # whether the input ends within a request head
        self.idle_ms = 0.0  # time from the last response to the request behind it
        self._received_body: StreamReader | None = None  # the body of the last request, until it is complete
        self.state_since_ms = owner.clock.now_ms()
        self.buffers = ConnectionBuffers(owner.memory, owner.clock)
        self.last_input_ns = 0  # when the data received last had arrived; 0 if it is not recorded
        # The requests that have no response yet, except for one on the fast path.
        self.received: collections.deque[ReceivedRequest] = collections.deque()
        # Body of the next request, if it was read before the fast path declined the request.
        self.prefetched_body: bytes | None = None
        self.task_started = False  # whether aiohttp's task was started
        self.fast_path_pending = False  # whether a request on the fast path has no response yet
        self.on_disconnect: Callable[[], None] | None = None
        self._lingering_close: LingeringClose | None = None
        # The body of a request that the fast path serves once it is complete.
        self.incomplete_body: StreamReader | None = None
        self._relay_task: asyncio.Task[None] | None = None  # writes the response on the fast path
        # Since when all of the request that is being received has waited to be read; None if it has not come.
        self.waits_since_ms: float | None = None
        self.memory_paused = False
        self.request_deferred = False  # whether the next request of the queue waits for memory

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection.

        aiohttp's task is started with the first request that the fast path declines: most connections need
        none, and it costs more memory than the rest of an idle connection.
        """
        BaseProtocol.connection_made(self, transport)
        stream = cast(asyncio.Transport, transport)
        tcp_keepalive(stream)
        assert self._manager is not None
        self._manager.connection_made(self, stream)
        self.wait_for_each_write(False)
        self.buffers.charge_connection(CONNECTION_BYTES)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the pending request of the client."""
        self.buffers.release_all()
        self._owner.connection_lost(self, exc)
        self.fast_path_pending, on_disconnect, self.on_disconnect = False, self.on_disconnect, None
        if self._lingering_close is not None:
            self._lingering_close.end()
        if self._relay_task is not None:
            self._relay_task.cancel()
        super().connection_lost(exc)
        self._drop_input()
        if on_disconnect is not None:
            on_disconnect()

    def _drop_input(self) -> None:
        """Drop what was received and is not served: a body refers to its connection, which refers to it."""
        self._messages.clear()
        self.received.clear()
        self.incomplete_body = self._received_body = self.prefetched_body = None

    def max_read_bytes(self) -> int:
        """Return how much input to read at once while memory is tight."""
        return self.buffers.max_read_bytes

    @property
    def state(self) -> ConnectionState:
        """The state of the connection."""
        if self._final_state is not None:
            return self._final_state
        if self.has_pending_response:
            return ConnectionState.ACTIVE
        if self.has_partial_head:
            return ConnectionState.READING_HEAD
        return ConnectionState.IDLE if self._request_count else ConnectionState.NEW

    @property
    def has_pending_response(self) -> bool:
        """Whether a request, received at least to the end of its head, has no whole response yet."""
        if self._final_state is not None:
            return False
        return self.fast_path_pending or bool(self._messages) or not self._task_is_idle

    @property
    def _is_idle(self) -> bool:
        """Whether the state is IDLE, found in the order that is cheapest for a usual request."""
        if self.fast_path_pending or self.has_partial_head or self._messages or not self._request_count:
            return False
        return self._final_state is None and self._task_is_idle

    def data_received(self, data: bytes) -> None:
        """Parse received data; serve a complete request on the fast path, otherwise wake aiohttp's task."""
        if self._lingering_close is not None:
            self._lingering_close.discard(len(data))
            return
        if data and self._is_idle:
            now_ms = self._owner.clock.now_ms()
            self.idle_ms, self.state_since_ms = now_ms - self.state_since_ms, now_ms
        # Parsing must not wake aiohttp's task before the fast path is tried: aiohttp's two tasks and its
        # request and response objects cost more per request than all decisions of the gateway.
        count_before, waiter = self._request_count, self._waiter
        self._waiter = None
        super().data_received(data)
        self._waiter = waiter
        received = self._request_count - count_before
        if data or received:
            self._track_partial_input(data, received)
        if received == 1 and len(self._messages) == 1 and self._may_use_fast_path and self._try_fast_path():
            return
        self._charge_input(len(data), received)
        if received:
            self._handle_queued_requests(received)
        elif self.incomplete_body is not None and self.incomplete_body.is_eof():
            self._handle_completed_body()

    def _track_partial_input(self, data: bytes, received: int) -> None:
        """Record whether the input ends within a body, or within a head.

        :param data: the input; empty if it was received earlier and is parsed now.
        :param received: number of requests whose heads were completed.
        """
        if received:
            message, payload = self._messages[-1]
            if payload is EMPTY_PAYLOAD and data.endswith(END_OF_HEAD):
                self._received_body, self.has_partial_head = None, False
                return
            self._received_body = payload if isinstance(message, RawRequestMessage) else None
            if self._received_body is None:  # nothing is parsed behind an error
                self.has_partial_head = False
                return
        body = self._received_body
        if body is None:
            # Empty lines between requests begin none.
            has_begun = self.has_partial_head or bool(data.strip(EMPTY_LINES))
            self.has_partial_head = has_begun and not self._buffer_paused
            return
        if not body.is_eof():
            self.has_partial_head = False
            return
        self._received_body = None
        # The input ends with a head without a body, with the last chunk, or with a body, behind which
        # some clients send an empty line.
        end_of_body = body._buffer[-1] if body.total_bytes and body._buffer else END_OF_HEAD
        is_complete = data.endswith((end_of_body, end_of_body + b"\r\n", END_OF_HEAD))
        self.has_partial_head = bool(data) and not is_complete and not self._buffer_paused

    @property
    def _may_use_fast_path(self) -> bool:
        """Whether no response is pending, and the client reads its responses."""
        return self._task_is_idle and not self.fast_path_pending and not self.writing_paused

    @property
    def _task_is_idle(self) -> bool:
        return not self.task_started if self._waiter is None else not self._waiter.done()

    def _handle_queued_requests(self, received: int) -> None:
        """Queue requests that the fast path could not serve at once."""
        message, _ = self._messages[-1]
        if not isinstance(message, RawRequestMessage):
            message.exc.__traceback__ = None  # it would keep the input alive, as a local variable
            self._pause_transport_reading()  # what follows is discarded once the error is sent
        if self.incomplete_body is not None:
            received += 1
            self.incomplete_body = None
        times = ReceivedRequest(self._owner.clock.now_ms(), self.last_input_ns)
        self.received.extend([times] * received)
        self._serve_next()

    def _serve_next(self) -> None:
        """Serve the next request of the queue, if the responses before it are sent and the client reads."""
        if not self.has_queued_request or self.request_deferred or not self._may_use_fast_path:
            return
        if self.has_client_left():
            assert self.transport is not None
            self.transport.abort()  # nothing of what it has pipelined may be forwarded
            return
        message, payload = self._messages[0]
        if len(self._messages) == 1 and not self.reading_ended and self._may_await_body(message, payload):
            self.incomplete_body = payload
            self.received.clear()  # its time begins with its last byte
            if self.buffers.exceeds_allowance(self._missing_body_bytes(payload)):
                self._pause_for_memory()  # the rest is read at once
        elif self.prefetched_body is not None or not self._try_fast_path():
            self._wake_task()

    def serve_deferred_request(self) -> None:
        """Serve the next request of the queue, which has waited for memory."""
        self.request_deferred = False
        self._serve_next()

    @staticmethod
    def _may_await_body(message: RawRequestMessage | Any, payload: StreamReader) -> bool:
        """Whether the body is received without aiohttp's task, and the fast path serves the request then."""
        if not isinstance(message, RawRequestMessage):
            return False
        length = message.headers.get("Content-Length", "")
        return (
            not payload.is_eof()
            and not message.chunked
            and length.isdecimal()
            and int(length) <= MAX_BODY_BYTES
            and message.path.startswith("/api?")
        )

    def _handle_completed_body(self) -> None:
        self.incomplete_body = None  # reading the body may resume reading, and call `data_received`
        if self.waits_since_ms is not None:
            self.received.append(ReceivedRequest(self.waits_since_ms, self.last_input_ns))
        if not self._may_use_fast_path or not self._try_fast_path():
            self.pass_to_task()

    def pass_to_task(self) -> None:
        """Let aiohttp's task serve the request whose body was awaited."""
        self.incomplete_body = None
        if not self.received:
            self.received.append(ReceivedRequest(self._owner.clock.now_ms(), self.last_input_ns))
        self._wake_task()

    def time_out_body(self, now_ms: float) -> None:
        """Let aiohttp's task answer a request whose body did not come in time."""
        if self.incomplete_body is None or now_ms - self.state_since_ms < limits.REQUEST_TIMEOUT_MS:
            return
        if self.memory_paused:
            self.incomplete_body = None
            self.end_partial_request(UNAVAILABLE_RESPONSE, EndReason.MEMORY)
        elif not has_unread_input(self.transport):
            self.pass_to_task()

    def _charge_input(self, size: int, received: int) -> None:
        """Charge input that is kept; pause reading if it is more than there is memory for.

        :param received: number of requests whose heads it completed.
        """
        if not size:
            return
        self.buffers.charge_input(size, received, not received and self.incomplete_body is None)
        if self.buffers.exceeds_allowance():
            self._pause_for_memory()

    def _pause_for_memory(self) -> None:
        if self.transport is None or self.memory_paused:
            return
        self.memory_paused = True
        self._pause_transport_reading()
        self._owner.reading_paused_for_memory(self)

    def resume_for_memory(self, size: int) -> None:
        """Read up to `size` bytes more, although memory may be tight."""
        self.buffers.allow(size)
        self.memory_paused = False
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    @property
    def has_queued_request(self) -> bool:
        """Whether a request waits behind others; its body may be incomplete."""
        return bool(self._messages) and self.incomplete_body is None

    @property
    def request_timeout_ms(self) -> float:
        """The timeout of the next request in the queue, as far as it is well-formed."""
        message, _ = self._messages[0]
        if isinstance(message, RawRequestMessage):
            with contextlib.suppress(BadRequestError):
                return parse_timeout_ms(message)
        return limits.REQUEST_TIMEOUT_MS

    def is_overdue(self, now_ms: float) -> bool:
        """Whether the timeout of the next request in the queue has passed while it waited."""
        if not self._messages or not self.received:
            return False
        return now_ms - self.received[0].read_ms >= self.request_timeout_ms

    def _resume_transport_reading(self) -> None:
        if not self.memory_paused and not self.reading_ended:
            super()._resume_transport_reading()

    @property
    def missing_bytes(self) -> int | None:
        """How much input the request that is being received still needs; None if that is unknown."""
        return None if self.incomplete_body is None else self._missing_body_bytes(self.incomplete_body)

    def _missing_body_bytes(self, body: StreamReader) -> int:
        message, _ = self._messages[0]
        assert isinstance(message, RawRequestMessage)
        return max(0, int(message.headers["Content-Length"]) - body.total_bytes)

    def charge_unread(self) -> None:
        """Charge the responses that the client has not read and the kernel has not taken."""
        size = self.transport.get_write_buffer_size() if self.transport is not None else 0
        self.buffers.charge_unread(size)

    def track_delivery(self) -> None:
        """Record progress if the client's machine has received more of what it does not read at once."""
        self.charge_unread()
        self.buffers.track_delivery(self.undelivered_bytes)

    @property
    def has_transport(self) -> bool:
        """Whether it has a transport; without one, closing the connection would not reach its client."""
        return self.transport is not None

    @property
    def has_pipelined_request(self) -> bool:
        """Whether another request has been received, at least in part, that needs a response too."""
        return bool(self._messages) or self.has_partial_head

    def end_if_client_left(self) -> None:
        """End a connection that is not being read if its client has closed it.

        Reading is paused while the queue of pipelined requests or the buffer of a body is full.  A transport
        that is not read does not report a close: the pending requests would be forwarded for nobody.
        """
        is_paused = self._buffer_paused or self._reading_paused or self.memory_paused
        if is_paused and self.transport is not None and self.has_client_left():
            self.transport.abort()  # `connection_lost` follows, as for a close that is read

    def has_client_left(self) -> bool:
        """Whether the client has closed its connection, even if that is not read yet."""
        if self.transport is None or self.transport.is_closing():
            return False
        sock = self.transport.get_extra_info("socket")
        return sock is not None and sock.fileno() >= 0 and peer_has_closed(sock)

    def _wake_task(self) -> None:
        """Let aiohttp's task serve the next request, unless the response to an earlier one is pending.

        A request that is pipelined behind a fast-path request must not be answered first, because clients
        match responses to requests by order.
        """
        if self.fast_path_pending or self.transport is None:
            return
        if not self.task_started:
            self.task_started = True
            self.buffers.charge_connection(TASK_BYTES)
            self._task_handler = self._loop.create_task(self.start())
        elif self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _try_fast_path(self) -> bool:
        """Pass the next request to the owner's fast path.

        :returns: False if the request is unusual, incomplete or declined.
        """
        message, payload = self._messages[0]
        if self.transport is None or not isinstance(message, RawRequestMessage) or not payload.is_eof():
            return False
        if message.version < HttpVersion11 or message.should_close or message.upgrade:
            return False
        if "Transfer-Encoding" in message.headers or payload.total_bytes > MAX_BODY_BYTES:
            return False
        # Remove the request before its body is read, which may resume reading and queue further requests, and
        # before the call, which may already send the response: `send_response` takes any request in the queue
        # for one that was pipelined behind this request.
        self.fast_path_pending = True
        self._messages.popleft()
        times = self.received.popleft() if self.received else None
        body = payload.read_nowait() if payload.total_bytes else b""
        if not self._owner.fast_path(self, message, body, times):
            self.fast_path_pending, self.prefetched_body = False, body  # the payload can be read only once
            self._messages.appendleft((message, payload))
            if times is not None:
                self.received.appendleft(times)
            return False
        head_bytes = charged_head_bytes(message) if times is not None else 0
        self.buffers.begin_request(head_bytes, len(body), bool(self._messages), self.fast_path_pending)
        self.waits_since_ms = None
        if self._parser is not None:
            self._parser.message_consumed()
        if self._buffer_paused and len(self._messages) <= self._msg_queue_resume_size:
            self._resume_reading_if_drained()
        return True

    def send_response(self, raw: bytes, close: bool) -> None:
        """Send the response to a request on the fast path.

        :param raw: encoded response, head and body.
        :param close: whether the response has `Connection: close`.
        """
        if not self.fast_path_pending:
            return
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(raw)
        self._complete_fast_path(close)

    def relay_response(self, relay: ResponseRelay) -> None:
        """Send the response to a request on the fast path as it comes; requests behind it wait."""
        if not self.fast_path_pending:
            relay.close()
            return
        self.on_disconnect = None
        self._relay_task = self._loop.create_task(self._run_relay(relay))
        # A task that is cancelled before its first step runs no code.
        self._relay_task.add_done_callback(lambda _: relay.close())

    async def _run_relay(self, relay: ResponseRelay) -> None:
        with contextlib.suppress(ConnectionError):
            await relay.run(self)
            self._relay_task = None
            self._complete_fast_path(relay.closes_connection)

    def _complete_fast_path(self, close: bool) -> None:
        """Go on with the connection after the response to a request on the fast path."""
        self.fast_path_pending, self.on_disconnect = False, None
        self.buffers.end_request()
        if self.transport is None or self.transport.is_closing():
            return
        self.state_since_ms = self._owner.clock.now_ms()
        if close:
            self.half_close(EndReason.RESPONSE)
        elif self._messages:
            self._schedule_next()
        elif self.reading_ended:
            self._end_after_last_response()

    def _schedule_next(self) -> None:
        """Serve the next request of the queue after other connections have had their turn."""
        if self._owner.memory.is_spent and not self.reading_ended:
            self.request_deferred = True
            self._owner.request_deferred_for_memory(self)
        else:
            self._loop.call_soon(self._serve_next)

    def wait_for_each_write(self, enabled: bool) -> None:
        """Choose whether `write_piece` waits until the kernel has taken all of each piece."""
        if self.transport is not None:
            self.transport.set_write_buffer_limits(high=0 if enabled else MAX_WRITE_BUFFER_BYTES)

    async def write_piece(self, data: bytes) -> None:
        """Write a part of a response, and wait while the client does not read.

        :raises OSError: the connection has ended.
        :raises TimeoutError: the client does not read at all.
        """
        if self.transport is None or self.transport.is_closing():
            raise ConnectionResetError("the client has left")
        self.transport.write(data)
        while self.writing_paused:
            undelivered_bytes = self.undelivered_bytes
            try:
                async with self._owner.clock.timeout(CLIENT_STALL_TIMEOUT_MS):
                    await self._drain_helper()
            except TimeoutError:
                if self.undelivered_bytes >= undelivered_bytes:
                    raise
                self._drain_waiter = None  # the timeout has cancelled it

    def pause_writing(self) -> None:
        """Charge the responses that the client does not read."""
        super().pause_writing()
        self.charge_unread()

    def resume_writing(self) -> None:
        """Release what the kernel has taken of the responses."""
        super().resume_writing()
        self.charge_unread()
        self._serve_next()

    def reset(self, reason: EndReason) -> None:
        """End the connection so that its client cannot take what it got for a complete response."""
        if self.transport is None:
            return
        self.end_reason = self.end_reason or reason
        sock = self.transport.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()

    async def finish_response(
        self,
        request: BaseRequest,
        resp: StreamResponse,
        start_time: float | None,
    ) -> tuple[StreamResponse, bool]:
        """Send a handler's response, then keep the connection open, half-close it or let it linger."""
        self.prefetched_body = None  # the handler has not needed it
        count_before = self._request_count
        result = await super().finish_response(request, resp, start_time)
        if self._request_count > count_before:  # requests behind one that asked for an upgrade
            self._track_partial_input(b"", self._request_count - count_before)
        self.buffers.release_input(charged_head_bytes(request._message) + request.content.total_bytes)
        if not self._messages:
            self.buffers.release_parsed_input()
            self.waits_since_ms = None
        if self.received:  # empty if data behind an upgrade request was parsed late
            self.received.popleft()
        self.state_since_ms = self._owner.clock.now_ms()
        is_client_error = 400 <= resp.status < 500 and not resp.keep_alive
        if is_client_error and self.transport is not None and not self.reading_ended:
            if not request.content.is_eof() and request.content.exception() is None:
                request.content.read_nowait()  # frees the part of the body that has come
            await self._linger(self.transport, EndReason.RESPONSE)
        elif not resp.keep_alive:
            self.half_close(EndReason.RESPONSE)
        elif self.reading_ended and not self._messages:
            self._end_after_last_response()
        return result

    def end_reading(self) -> None:
        """Read nothing more; end the connection once all that was read has a whole response.

        A request that is incomplete by now is rejected.
        """
        if self.reading_ended or self._final_state is ConnectionState.HALF_CLOSED:
            return
        self.reading_ended = True
        self._pause_transport_reading()
        if self._final_state is ConnectionState.LINGERING:
            self.half_close(EndReason.SHUTDOWN)
            return
        if self._received_body is not None and not self._received_body.is_eof():
            self._received_body.set_exception(RequestExpiredError())
        if self.incomplete_body is not None:
            self.pass_to_task()
        elif self.request_deferred:
            self.serve_deferred_request()
        if not self.has_pending_response:
            self._end_after_last_response()

    def _end_after_last_response(self) -> None:
        """Reject what was read of a further request, and half-close."""
        if self.has_partial_head and self.transport is not None and not self.transport.is_closing():
            self.transport.write(UNAVAILABLE_RESPONSE)
        self.half_close(EndReason.SHUTDOWN)

    def half_close(self, reason: EndReason) -> None:
        """Flush written data, close the write side, and stop reading.

        Only for a connection without a pending response.  Closing a socket that has unread input resets the
        connection: the client loses a response in flight and all data that the kernel has not sent.  Reading
        the input is no alternative: a request that is read after the write side is closed cannot be answered,
        and its client retries it on another connection only if it was not read.  Unread input therefore stays
        in the kernel until the client closes its side.
        """
        transport, self._force_close = self.transport, True
        if self._waiter is not None:
            self._waiter.cancel()
        if transport is None or transport.is_closing() or self._final_state is ConnectionState.HALF_CLOSED:
            return
        self._final_state, self.reading_ended = ConnectionState.HALF_CLOSED, True
        self.end_reason = self.end_reason or reason
        self.state_since_ms = self._owner.clock.now_ms()
        self._owner.connection_half_closed(self)
        with contextlib.suppress(OSError, RuntimeError):  # the client may have reset the connection
            transport.pause_reading()
            transport.write_eof()

    def may_close(self, now_ms: float) -> bool:
        """Whether this half-closed connection may be closed: its client has closed too, or a timeout is over.

        The timeout is longer while the client has not received the complete response: a close with unread
        input would reset the connection and truncate that response.
        """
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if self.transport is None or sock is None or sock.fileno() < 0 or peer_has_closed(sock):
            return True
        delivered = not self.has_undelivered_response
        timeout_ms = limits.HALF_CLOSE_TIMEOUT_MS if delivered else limits.LINGER_TIMEOUT_S * 1000
        return now_ms - self.state_since_ms >= timeout_ms

    @property
    def undelivered_bytes(self) -> int:
        """How much of what was written the client's machine has not received."""
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if self.transport is None or sock is None or sock.fileno() < 0:
            return 0
        return self.transport.get_write_buffer_size() + unacknowledged_bytes(sock)

    @property
    def has_undelivered_response(self) -> bool:
        """Whether the client's machine has not received all that was written."""
        return self.undelivered_bytes > 0

    @property
    def has_unwritten_response(self) -> bool:
        """Whether the kernel has not taken all that was written: the client reads slowly, or not at all."""
        return self.transport is not None and bool(self.transport.get_write_buffer_size())

    @property
    def is_lingering_quietly(self) -> bool:
        """Whether the client has received its error, and has sent nothing since."""
        has_sent = self._lingering_close is not None and self._lingering_close.has_discarded
        return not has_sent and not self.has_undelivered_response and not has_unread_input(self.transport)

    def is_in_regular_use(self, now_ms: float) -> bool:
        """Whether its client sends one request soon after the other, and reads the responses."""
        if (
            self._request_count < limits.REGULAR_REQUESTS
            or self.idle_ms > limits.REGULAR_USE_MS
            or self.writing_paused
        ):
            return False
        state = self.state
        is_idle = state is ConnectionState.IDLE and now_ms - self.state_since_ms <= limits.REGULAR_USE_MS
        return is_idle or state is ConnectionState.ACTIVE

    @property
    def has_unread_input(self) -> bool:
        """Whether input has arrived that the event loop is going to read."""
        is_paused = self._buffer_paused or self._reading_paused or self.memory_paused or self.reading_ended
        return not is_paused and has_unread_input(self.transport)

    async def _linger(self, transport: asyncio.Transport, reason: EndReason) -> None:
        """Discard input until the client, to which an error was sent, closes its side."""
        self._final_state = ConnectionState.LINGERING
        self.state_since_ms = self._owner.clock.now_ms()
        self.end_reason = self.end_reason or reason
        self._lingering_close = LingeringClose()
        self._discard_partial_request()
        await self._lingering_close.run(transport)

    def time_out(self) -> None:
        """End a connection that has timed out; a client that has sent part of a request gets a 408."""
        state = self.state
        if state is ConnectionState.IDLE:
            self.half_close(EndReason.IDLE)
        elif state is ConnectionState.READING_HEAD:
            self.end_partial_request(REQUEST_TIMEOUT_RESPONSE, EndReason.TIMEOUT)
        else:
            self.abandon(EndReason.TIMEOUT)

    def abandon(self, reason: EndReason) -> None:
        """Close a connection without a pending response."""
        self.end_reason = self.end_reason or reason
        self.force_close()

    def end_partial_request(self, response: bytes, reason: EndReason) -> None:
        """Answer a partially received request, and let its client finish sending.

        Without the lingering close the connection would be reset, and the client would not see the response.
        """
        if self.transport is None or self.transport.is_closing():
            self.abandon(reason)
            return
        self.transport.write(response)
        self._final_state = ConnectionState.LINGERING
        self._force_close = True
        if self._waiter is not None:
            self._waiter.cancel()
        self._owner.start_linger(self._linger(self.transport, reason), self)

    def _discard_partial_request(self) -> None:
        """Free what was received of a request that is not served."""
        self._drop_input()
        self._parser = None
        self.memory_paused = False
        self.buffers.release_input(self.buffers.held_bytes)
