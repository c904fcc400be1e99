"""HTTP server for clients: passes requests to the engine and sends its final responses."""

from __future__ import annotations

import asyncio
import functools
import logging
import math
from collections.abc import Callable
from http import HTTPStatus

from aiohttp.helpers import rfc822_formatted_time
from aiohttp.http import HttpVersion, RawRequestMessage
from aiohttp.web_protocol import RequestPayloadError
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse

from shaletiller.clock import Clock
from shaletiller.core.engine import Engine
from shaletiller.core.errors import BadRequestError
from shaletiller.core.memory_account import MemoryAccount
from shaletiller.core.metrics import GuardReason
from shaletiller.core.model import BodyStream, ClientCall, FinalResponse, FinalResult
from shaletiller.net import connection_limits as limits
from shaletiller.net.body import MAX_BODY_BYTES, read_bounded
from shaletiller.net.client_connection import ClientConnection
from shaletiller.net.connection_owner import ReceivedRequest
from shaletiller.net.errors import RequestExpiredError, RequestRejectedError
from shaletiller.net.http_request import find_request_class, parse_request
from shaletiller.net.listener import Listener
from shaletiller.net.overload_control import OverloadControl
from shaletiller.net.response_relay import CONNECTION_CLOSE, RelayedResponse, ResponseRelay
from shaletiller.net.sockets import has_unread_input
from shaletiller.settings.model import Settings

logger = logging.getLogger(__name__)

# No long response is begun if less than this time remains for requests.
MIN_STREAM_BUDGET_MS = 300.0
# A request is rejected if less than this time remains before the process ends and its own timeout is no
# shorter: the next process may have enough time.  A larger value rejects requests that could still be served;
# a smaller value lets requests fail when the process ends.
MIN_SHUTDOWN_BUDGET_MS = 300.0
CONTENT_TYPE = "Content-Type: application/octet-stream\r\n"
MAX_LOGGED_ID = 64  # maximum characters of a request id in a log line


class BodyTimer:
    """Timeout for receiving a body, extended while the connection has unread input.

    After this process has stalled, the rest of the body may be in the kernel's buffer.  A client cannot
    extend its time indefinitely by sending more, because the size of a body is limited.
    """

    def __init__(
        self, clock: Clock, connection: ClientConnection, timeout: asyncio.Timeout, wait_ms: float
    ) -> None:
        """Start the timer.

        :param timeout: timeout that expires when the timer does.
        """
        self._clock = clock
        self._connection = connection
        self._timeout = timeout
        self._timer = clock.call_later(wait_ms, self._expire)

    def _expire(self) -> None:
        if has_unread_input(self._connection.transport):
            self._timer = self._clock.call_later(limits.SWEEP_INTERVAL_MS, self._expire)
        else:
            self._timeout.reschedule(asyncio.get_running_loop().time())

    def cancel(self) -> None:
        """Stop the timer; has no effect once it has expired."""
        self._timer.cancel()


class HttpServer:
    """Serves clients; each request waits for its one final response from the engine."""

    def __init__(
        self,
        engine: Engine,
        max_connections: int,
        is_ready: Callable[[], bool],
        clock: Clock,
        memory: MemoryAccount | None = None,
    ) -> None:
        """Create a server that does not listen yet.

        :param is_ready: returns whether this gateway can serve requests, for `GET /up`.
        """
        self._engine = engine
        self._is_ready = is_ready
        self._clock = clock
        self._listener = Listener(
            self._handle,
            max_connections,
            clock,
            self._serve_fast_path,
            OverloadControl(clock, lambda: engine.settings.retry_after_allowed, self._count_unread_rejection),
            memory,
        )
        self._closing = False
        self.apply_settings(engine.settings)
        self.shutdown_deadline_ms = math.inf  # time by which all requests have a response
        self.address: tuple[str, int] = ("", 0)

    @property
    def connections(self) -> int:
        """Number of client connections, in any state."""
        return self._listener.connections

    def start(self, host: str, port: int) -> None:
        """Listen for clients."""
        self._listener.listen(host, port)
        self.address = self._listener.address

    @property
    def draining(self) -> bool:
        """Whether responses close their connections because the gateway is draining."""
        return self._listener.draining

    def set_draining(self, draining: bool) -> None:
        """Start or end draining.

        While draining, `GET /up` returns 503, responses close their connections, and idle connections are
        closed.  New connections are still accepted, because the load balancer stops sending with a delay.
        """
        self._listener.draining = draining

    def apply_settings(self, settings: Settings) -> None:
        """Record the arrival times of requests if a class needs them; on new connections only."""
        self._listener.record_arrival_times(settings.has_ordered_classes)

    def when_input_is_read(self, callback: Callable[[], None]) -> None:
        """Call `callback` once, when all requests that have arrived by now have been submitted."""
        self._listener.when_input_is_read(callback)

    def stop_accepting(self) -> None:
        """Stop accepting connections; open connections may still send requests."""
        self._listener.stop_accepting()

    def close_after_responses(self) -> None:
        """Close each connection with its next response."""
        self._closing = True

    async def stop(self, grace_s: float) -> None:
        """Close every connection, after waiting up to `grace_s` for pending responses."""
        self._closing = True
        await self._listener.stop(grace_s)

    @property
    def may_begin_long_response(self) -> bool:
        """Whether a long response that begins now can be held, and written for some time."""
        remaining_ms = self.shutdown_deadline_ms - self._clock.now_ms()
        return remaining_ms >= MIN_STREAM_BUDGET_MS and not self._listener.memory.is_spent

    def stats(self) -> dict[str, int]:
        """Return figures for STATS: ended connections by reason."""
        ended = self._listener.end_counts
        return {f"connections.ended.{reason}": count for reason, count in ended.items()}

    def _must_close(self, connection: ClientConnection) -> bool:
        """Whether the response to a request has to close its connection.

        A connection with a pipelined request stays open for the response to that request.
        """
        if connection.has_pipelined_request:
            return False
        remaining_ms = self.shutdown_deadline_ms - self._clock.now_ms()
        is_stopping = self._closing or remaining_ms < MIN_SHUTDOWN_BUDGET_MS
        return is_stopping or self._listener.draining or self._listener.must_close(connection)

    @staticmethod
    def _cannot_complete_before_shutdown(call: ClientCall, remaining_ms: float) -> bool:
        """Whether the process ends too soon to start the call, and no later than the call's timeout."""
        return remaining_ms < MIN_SHUTDOWN_BUDGET_MS and call.timeout_ms >= remaining_ms

    def _serve_fast_path(
        self,
        connection: ClientConnection,
        head: RawRequestMessage,
        body: bytes,
        times: ReceivedRequest | None,
    ) -> bool:
        """Serve a complete request without aiohttp's task.

        :param times: when it was received, if it has waited behind others.
        :returns: False for unusual requests, including erroneous ones; `_handle` serves these.
        """
        if not head.path.startswith("/api?"):
            return False
        remaining_ms = self.shutdown_deadline_ms - self._clock.now_ms()

        def respond(response: FinalResponse) -> None:
            close = self._must_close(connection)
            if response.stream is None:
                connection.send_response(self._encode_response(response, close), close)
            else:
                request_id = head.headers.get("Request-Id", "")
                relay = self._make_relay(request_id, response, response.stream, head.version, close)
                connection.relay_response(relay)

        try:
            queued_ms = self._clock.now_ms() - times.read_ms if times is not None else 0.0
            call = parse_request(head, body, queued_ms, remaining_ms)
            if self._cannot_complete_before_shutdown(call, remaining_ms):
                raise RequestExpiredError
            arrived_ns = connection.last_input_ns if times is None else times.arrived_ns
            exchange = self._engine.submit(call, respond, arrived_ns)
        except BadRequestError:
            return False
        except RequestExpiredError:
            respond(self._reject_expired(head.headers.get("Request-Class", "")))
            return True
        if connection.fast_path_pending:
            exchange.has_client_left = connection.has_client_left
            connection.on_disconnect = functools.partial(self._engine.on_client_disconnected, exchange)
        return True

    def _encode_response(self, response: FinalResponse, close: bool) -> bytes:
        status, retry_after = self._status_and_retry_after(response)
        lines = f"{_encode_status(status)}Content-Length: {len(response.body)}\r\n{CONTENT_TYPE}"
        if retry_after:
            lines += f"Retry-After: {retry_after}\r\n"
        if close:
            lines += CONNECTION_CLOSE
        return f"{lines}\r\n".encode() + response.body

    def _make_relay(
        self,
        request_id: str,
        response: FinalResponse,
        stream: BodyStream,
        version: HttpVersion,
        close: bool,
    ) -> ResponseRelay:
        status, _ = self._status_and_retry_after(response)
        head = _encode_status(status) + CONTENT_TYPE
        return ResponseRelay(request_id, head, response.body, stream, version, close)

    async def _handle(self, request: BaseRequest) -> StreamResponse:
        """Serve a request that the fast path declined; client errors close the connection."""
        connection = request.protocol
        assert isinstance(connection, ClientConnection)
        try:
            if request.raw_path == "/up":
                return self._health_check(connection)
            self._check_head(request)
            complete = request.content.is_eof()
            body = await self._receive_body(request, connection)
            # A request that was pipelined behind another one has waited since it was received.
            queued_ms, arrived_ns = 0.0, connection.last_input_ns
            if complete and connection.received:
                queued_ms = self._clock.now_ms() - connection.received[0].read_ms
                arrived_ns = connection.received[0].arrived_ns
            response = await self._call_engine(connection, request._message, body, queued_ms, arrived_ns)
        except RequestRejectedError as error:
            return self._make_error_response(request, error)
        except RequestExpiredError:
            response = self._reject_expired(request.headers.get("Request-Class", ""))
        if response.stream is not None:
            return self._make_relayed_response(request, response, response.stream, connection)
        return self._make_web_response(response, connection)

    def _make_relayed_response(
        self,
        request: BaseRequest,
        response: FinalResponse,
        stream: BodyStream,
        connection: ClientConnection,
    ) -> StreamResponse:
        close = self._must_close(connection)
        request_id = request.headers.get("Request-Id", "")
        relay = self._make_relay(request_id, response, stream, request.version, close)
        return RelayedResponse(relay, connection)

    def _health_check(self, connection: ClientConnection) -> Response:
        up = self._is_ready() and not self._listener.draining
        return self._close_connection_if_required(Response(status=200 if up else 503), connection)

    @staticmethod
    def _check_head(request: BaseRequest) -> None:
        path = request.raw_path
        if path != "/api" and not path.startswith("/api?"):
            raise RequestRejectedError(404, "no such path")
        if request.headers.get("Transfer-Encoding", "chunked").lower() != "chunked":
            raise RequestRejectedError(400, "Transfer-Encoding: wants chunked")

    async def _receive_body(self, request: BaseRequest, connection: ClientConnection) -> bytes:
        """Receive the body.

        :raises RequestRejectedError: the body is too large, malformed, or not received in time.
        """
        try:
            body = await self._read_body(request, connection)
        except TimeoutError as error:
            raise RequestRejectedError(408, "the body did not come") from error
        except RequestPayloadError as error:
            raise RequestRejectedError(400, "the body cannot be read") from error
        if body is None:
            raise RequestRejectedError(413, "the body is too large")
        return body

    async def _read_body(self, request: BaseRequest, connection: ClientConnection) -> bytes | None:
        """Read the body; None if it is too large.

        :raises TimeoutError: the body is not complete in time.
        """
        if connection.prefetched_body is not None:
            body, connection.prefetched_body = connection.prefetched_body, None
            return body
        if request.content.at_eof():
            return b""
        if (request.content_length or 0) > MAX_BODY_BYTES:
            return None
        if request.content.is_eof():  # the body is complete
            return await read_bounded(request.content)
        remaining_ms = connection.state_since_ms + limits.REQUEST_TIMEOUT_MS - self._clock.now_ms()
        if remaining_ms <= 0 and not has_unread_input(connection.transport):
            raise TimeoutError
        async with asyncio.timeout(None) as timeout:
            timer = BodyTimer(self._clock, connection, timeout, remaining_ms)
            try:
                return await read_bounded(request.content)
            finally:
                timer.cancel()

    async def _call_engine(
        self,
        connection: ClientConnection,
        head: RawRequestMessage,
        body: bytes,
        queued_ms: float,
        arrived_ns: int,
    ) -> FinalResponse:
        """Submit a request to the engine and wait for its final response.

        If the client disconnects, aiohttp cancels this coroutine, and the engine is notified.

        :raises RequestRejectedError: the request is malformed.
        :raises RequestExpiredError: no time is left to serve the request.
        """
        remaining_ms = self.shutdown_deadline_ms - self._clock.now_ms()
        pending: asyncio.Future[FinalResponse] = asyncio.get_running_loop().create_future()

        def respond(response: FinalResponse) -> None:
            if pending.done():
                response.discard()
            else:
                pending.set_result(response)

        try:
            call = parse_request(head, body, queued_ms, remaining_ms)
            if self._cannot_complete_before_shutdown(call, remaining_ms):
                raise RequestExpiredError
            exchange = self._engine.submit(call, respond, arrived_ns)
        except BadRequestError as error:
            raise RequestRejectedError(400, str(error)) from error
        exchange.has_client_left = connection.has_client_left
        try:
            return await pending
        except asyncio.CancelledError:
            if pending.done() and not pending.cancelled():
                pending.result().discard()
            raise
        finally:
            self._engine.on_client_disconnected(exchange)  # has no effect if the exchange has ended

    def _status_and_retry_after(self, response: FinalResponse) -> tuple[int, str]:
        """Return the status of a response, and its Retry-After value or an empty string."""
        if response.result is FinalResult.SERVED:
            return 200, ""
        if response.result is FinalResult.FAILED:
            return 502, ""
        has_retry_after = response.retry_after_ms > 0 and self._engine.settings.retry_after_allowed
        return 503, f"{response.retry_after_ms / 1000:.3f}" if has_retry_after else ""

    def _make_web_response(self, response: FinalResponse, connection: ClientConnection) -> Response:
        status, retry_after = self._status_and_retry_after(response)
        headers = {"Retry-After": retry_after} if retry_after else {}
        return self._close_connection_if_required(
            Response(status=status, headers=headers, body=response.body), connection
        )

    def _close_connection_if_required(self, response: Response, connection: ClientConnection) -> Response:
        """Close the connection with this response if the server is draining, stopping or near its limit.

        Near the connection limit, clients that send one request and keep their connections open would
        otherwise use up the limit until they may be evicted, and no new clients would be accepted.  A
        connection with a pipelined request stays open for the response to that request.
        """
        if self._must_close(connection):
            response.force_close()
        return response

    def _reject_expired(self, request_class: str) -> FinalResponse:
        """Reject a request for which no time is left; the next process may have enough."""
        self._engine.count_result(request_class, FinalResult.REJECTED, GuardReason.SHUTDOWN)
        return FinalResponse(FinalResult.REJECTED, retry_after_ms=MIN_SHUTDOWN_BUDGET_MS)

    def _make_error_response(self, request: BaseRequest, error: RequestRejectedError) -> Response:
        """Create an error response that closes the connection; count a failure for the request's class."""
        self._engine.count_result(request.headers.get("Request-Class", ""), FinalResult.FAILED)
        request_id = request.headers.get("Request-Id", "")[:MAX_LOGGED_ID]
        logger.info(
            "request %r rejected with status %d, connection closed: %s",
            request_id,
            error.status,
            error.reason,
        )
        response = Response(status=error.status, text=error.reason + "\n")
        response.force_close()
        return response

    def _count_unread_rejection(self, head: bytes) -> None:
        self._engine.count_result(find_request_class(head), FinalResult.REJECTED, GuardReason.OVERLOAD)


@functools.cache
def _status_line(status: int) -> str:
    return f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\nDate: "


def _encode_status(status: int) -> str:
    """Encode the first lines of a response's head."""
    return f"{_status_line(status)}{rfc822_formatted_time()}\r\n"
