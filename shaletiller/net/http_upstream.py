"""HTTP client for storage nodes: an attempt sends one request on one connection and is never resent."""

from __future__ import annotations

import logging
import math
import re
from collections.abc import AsyncIterator, Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any

import aiohttp
import msgspec
from aiohttp import ClientHandlerType, ClientRequest, ClientResponse
from yarl import URL

from shaletiller.clock import Clock
from shaletiller.core.memory_account import MemoryAccount
from shaletiller.core.model import AttemptResult, ClientCall
from shaletiller.core.response_progress import ResponseProgress
from shaletiller.messages.outcomes import Outcome
from shaletiller.net.body import MAX_BODY_BYTES
from shaletiller.net.errors import ConnectionBrokenError
from shaletiller.net.pool import NO_TIMEOUT, UpstreamConnector, UpstreamProtocol
from shaletiller.net.upstream_body import BodyReader, UpstreamBodyStream, has_length, read_report
from shaletiller.settings.model import Settings

logger = logging.getLogger(__name__)

# Maximum body size for which a request is written to the socket in one piece.  It must be well below the size
# of a socket's send buffer; a larger value lets more requests take the fast path.
MAX_SINGLE_WRITE_BYTES = 16 * 1024
# Fraction of the node's idle timeout after which an idle connection is not reused.  aiohttp sweeps its pool
# once per such interval, so an idle connection is closed after at most twice this fraction, before the node
# closes it.
IDLE_TIMEOUT_RATIO = 0.4
# A connection is not read while twice as much of a body waits to be handled; one read brings more than that.
BODY_BUFFER_BYTES = 1024
# Limits of a node's response; they limit the memory of one connection.
RESPONSE_LIMITS: Any = {
    "read_bufsize": BODY_BUFFER_BYTES,
    "max_line_size": 4096,
    "max_field_size": 4096,
    "max_headers": 64,
}
MAX_REPORT_VALUE = 1e9  # larger values of a load report are malformed
INTEGER_PATTERN = re.compile(r"\d{1,9}", re.ASCII)
REPORT_DECODER = msgspec.json.Decoder(dict[str, float])


async def never_resend(request: ClientRequest, handler: ClientHandlerType) -> ClientResponse:
    """Client middleware that prevents aiohttp from resending a request.

    If a reused connection breaks during a request, aiohttp silently resends requests with idempotent methods,
    including PUT: a node would run a non-idempotent write twice, and no counter would show it.  aiohttp
    resends only on the two exceptions below; converted to an unrelated type, they end the attempt.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise  # not connected; aiohttp does not resend after these
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionBrokenError(str(error)) from error


@dataclass(slots=True)
class UploadProgress:
    """Progress of sending a request: whether its last byte was passed to the connection."""

    last_byte_written: bool = False


async def split_last_byte(body: bytes, progress: UploadProgress) -> AsyncIterator[bytes]:
    """Yield a large body, and its last byte separately: without that byte, a node cannot run the request.

    `last_byte_written` is set before the last byte is yielded, because the request may run from then on.
    """
    yield body[:-1]
    progress.last_byte_written = True
    yield body[-1:]


def is_upload_complete(tracker: aiohttp.UploadTracker) -> bool:
    """Whether the complete request was passed to the connection."""
    upload = tracker.upload_complete
    return upload.done() and not upload.cancelled() and upload.exception() is None


def parse_load_report(text: str, columns: tuple[str, ...]) -> tuple[tuple[str, float], ...]:
    """Parse the configured columns of a load report; returns none for a malformed report."""
    try:
        report = REPORT_DECODER.decode(text)
    except (msgspec.MsgspecError, RecursionError):
        return ()
    return tuple((name, report[name]) for name in columns if 0 <= report.get(name, -1) <= MAX_REPORT_VALUE)


def parse_integer_header(text: str | None) -> float | None:
    """Parse an integer header; None if it is absent or malformed."""
    return float(text) if text and INTEGER_PATTERN.fullmatch(text) else None


class ResponseExchange:
    """One request and its response on a connection to a node, which has one owner at a time.

    :param release: returns the connection to the pool, or closes it if it cannot be used again.
    """

    def __init__(self, protocol: UpstreamProtocol, release: Callable[[bool], None]) -> None:
        self.protocol = protocol
        self.reusable = False
        self._release: Callable[[bool], None] | None = release

    def hand_over(self) -> Callable[[bool], None]:
        """Give the connection to another owner, which has to call what is returned."""
        assert self._release is not None
        release, self._release = self._release, None
        return release

    def end(self) -> None:
        """Release the connection, unless it has another owner."""
        if self._release is not None:
            self._release(self.reusable)
            self._release = None


class HttpUpstreamClient:
    """The `UpstreamClient` for HTTP: one client session for all nodes."""

    def __init__(
        self, settings: Settings, max_connections: int, clock: Clock, memory: MemoryAccount | None = None
    ) -> None:
        """Create a client that connects at the first attempt."""
        self._settings = settings
        self._max_connections = max_connections
        self._clock = clock
        self._memory = memory or MemoryAccount()
        self._open_session: aiohttp.ClientSession | None = None

    @property
    def max_per_node(self) -> int:
        """Maximum connections to one node: a third of all, so that one node cannot use up the limit."""
        return max(4, self._max_connections // 3)

    def _session(self) -> aiohttp.ClientSession:
        if self._open_session is None:  # created here, because it needs the running event loop
            self._open_session = aiohttp.ClientSession(
                connector=UpstreamConnector(
                    self._max_connections, self.max_per_node, self._idle_timeout_s, self._clock, self._memory
                ),
                timeout=NO_TIMEOUT,  # each call has its own, measured by the gateway's clock
                middlewares=(never_resend,),
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
                trust_env=False,
                **RESPONSE_LIMITS,
            )
        return self._open_session

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings to further attempts: timeouts, and the columns of load reports."""
        self._settings = settings
        if self._open_session is not None and isinstance(self._open_session.connector, UpstreamConnector):
            self._open_session.connector.set_idle_timeout(self._idle_timeout_s)

    @property
    def _idle_timeout_s(self) -> float:
        return self._settings.connection_idle_ms / 1000 * IDLE_TIMEOUT_RATIO

    async def attempt(
        self,
        address: str,
        call: ClientCall,
        timeout_ms: float,
        start_within_ms: float = math.inf,
        progress: ResponseProgress | None = None,
    ) -> AttemptResult:
        """Send a call to a node once.

        :param timeout_ms: sent to the node; the engine cancels the attempt after this time.
        :param start_within_ms: time limit for connecting; after it, nothing is sent.
        :param progress: told of a response whose body is awaited.
        """
        headers = {"Request-Id": call.id, "Request-Timeout-Ms": str(max(1, round(timeout_ms)))}
        if call.idempotency_key:
            headers["Idempotency-Key"] = call.idempotency_key
        if call.write or call.body:
            headers["Content-Length"] = str(len(call.body))
        connector = self._session().connector
        assert isinstance(connector, UpstreamConnector)
        if len(call.body) <= MAX_SINGLE_WRITE_BYTES:
            protocol = connector.acquire_idle(address)
            if protocol is not None:
                return await self._attempt_on_idle(connector, protocol, address, call, headers, progress)
        return await self._attempt_by_session(address, call, headers, start_within_ms, progress)

    async def _attempt_on_idle(
        self,
        connector: UpstreamConnector,
        protocol: UpstreamProtocol,
        address: str,
        call: ClientCall,
        headers: dict[str, str],
        progress: ResponseProgress | None,
    ) -> AttemptResult:
        """Write a request to an idle connection in one piece (fast path).

        aiohttp's session would create a request, a writer and a response, which costs more than the rest of
        the attempt.  Any failure is treated as one after the last byte was written, with the outcome RESET:
        the request may have run, and a non-idempotent one must not be retried.
        """
        exchange = ResponseExchange(protocol, partial(connector.release_used, address, protocol))
        try:
            assert protocol.transport is not None
            # A parser of its own for each response: half of a response may be left in the last one.
            protocol.set_response_params(read_until_eof=True, auto_decompress=False, **RESPONSE_LIMITS)
            lines = [f"{call.method} {call.target} HTTP/1.1", f"Host: {address}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            protocol.transport.write("\r\n".join((*lines, "", "")).encode() + call.body)
            while True:
                message, payload = await protocol.read()
                if not 100 <= message.code <= 199 or message.code == 101:
                    break
            return await self._read_response(exchange, call, message.code, message.headers, payload, progress)
        except Exception:
            # Catches every type: a corrupt response may cause undocumented exceptions in the parser, and the
            # outcome is the same for each.
            logger.warning(
                "node %s: request %s failed after its last byte was written, so it may have run",
                address,
                call.id,
                exc_info=True,
            )
            return AttemptResult(Outcome.RESET)
        finally:
            exchange.end()

    async def _attempt_by_session(
        self,
        address: str,
        call: ClientCall,
        headers: dict[str, str],
        start_within_ms: float,
        progress: ResponseProgress | None,
    ) -> AttemptResult:
        """Send a request on a new connection, or with a large body (slow path).

        A failure before the last byte was written is CONNECT_FAILED: the node cannot have run an incomplete
        request, so any request may be retried.  A failure after it is RESET: the request may have run.
        Reporting CONNECT_FAILED instead of RESET could run a non-idempotent write twice.
        """
        # The engine enforces the deadline; only connecting has a separate timeout.
        connect_ms = min(self._settings.connect_timeout_ms, max(1.0, start_within_ms))
        timeout = aiohttp.ClientTimeout(total=None, sock_read=None, connect=connect_ms / 1000)
        upload = UploadProgress()
        is_large = len(call.body) > MAX_SINGLE_WRITE_BYTES
        data = split_last_byte(call.body, upload) if is_large else call.body or None
        url = URL(f"http://{address}{call.target}", encoded=True)
        tracker = aiohttp.UploadTracker()
        try:
            response = await self._session().request(
                call.method,
                url,
                headers=headers,
                data=data,
                allow_redirects=False,
                upload_tracker=tracker,
                timeout=timeout,
            )
            return await self._read_session_response(address, call, response, progress)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return AttemptResult(Outcome.CONNECT_FAILED)
        except Exception:
            # Catches every type: a corrupt response may cause undocumented exceptions in aiohttp, and the
            # outcome depends only on whether the last byte was written.
            may_have_run = upload.last_byte_written or is_upload_complete(tracker)
            logger.warning(
                "node %s: request %s failed %s",
                address,
                call.id,
                "after its last byte was written, so it may have run"
                if may_have_run
                else "before its last byte was written, so it has not run",
                exc_info=True,
            )
            return AttemptResult(Outcome.RESET if may_have_run else Outcome.CONNECT_FAILED)
        finally:
            is_upload_complete(tracker)  # retrieves an exception that asyncio would log as never retrieved

    async def _read_session_response(
        self, address: str, call: ClientCall, response: ClientResponse, progress: ResponseProgress | None
    ) -> AttemptResult:
        """Read a response of the session; its connection is closed if the response is not clean."""
        if response.status == 101:
            self.close_idle(address)  # aiohttp has returned a connection with another protocol to the pool
        protocol = response._protocol
        assert isinstance(protocol, UpstreamProtocol)
        exchange = ResponseExchange(
            protocol, lambda reusable: response.release() if reusable else response.close()
        )
        try:
            return await self._read_response(
                exchange, call, response.status, response.headers, response.content, progress
            )
        finally:
            exchange.end()

    async def _read_response(
        self,
        exchange: ResponseExchange,
        call: ClientCall,
        status: int,
        headers: Mapping[str, str],
        content: aiohttp.StreamReader,
        progress: ResponseProgress | None,
    ) -> AttemptResult:
        """Read the body of a response as far as the decision needs, and make the result of the attempt."""
        if content.is_eof() and has_length(headers) and content.total_bytes <= MAX_BODY_BYTES:
            # Most responses come in one piece.
            exchange.reusable = status != 101
            latency_ms = self._node_latency_ms(exchange.protocol)
            return self._make_result(status, headers, content.read_nowait(), latency_ms)
        is_success = status == 200
        may_stream = call.accepts_stream and is_success
        reader = BodyReader(
            headers, content, self._clock, self._memory, may_stream, progress if is_success else None
        )
        head_latency_ms = self._node_latency_ms(exchange.protocol)
        try:
            start = await reader.read()
        finally:
            reader.release()
        # A body that is written slowly says nothing about the load of its node.
        latency_ms = head_latency_ms if reader.was_held else self._node_latency_ms(exchange.protocol)
        result = self._make_result(status, headers, start.data if start is not None else None, latency_ms)
        if start is None or reader.framing is None:
            return result
        if start.is_whole:
            exchange.reusable = status != 101 and not reader.framing.until_close
            return result
        stream = UpstreamBodyStream(
            content,
            exchange.protocol,
            reader.framing,
            len(start.data),
            exchange.hand_over(),
            self._clock,
            self._memory,
        )
        return msgspec.structs.replace(result, stream=stream)

    @staticmethod
    def _node_latency_ms(protocol: UpstreamProtocol) -> float | None:
        """Return the time from writing the request to reading the end of the response.

        It excludes the time for which this process delays writing the request and processing the response.
        If that time were included, a gateway short of CPU would consider its nodes slow, shed load and retry,
        and its retries would make the shortage worse.

        :returns: None if it was not measured.
        """
        if protocol.response_read_ms <= protocol.request_written_ms:
            return None
        return protocol.response_read_ms - protocol.request_written_ms

    def _make_result(
        self,
        status: int,
        headers: Mapping[str, str],
        body: bytes | None,
        latency_ms: float | None,
    ) -> AttemptResult:
        """Create the result of an attempt from its response.

        Only `Not-Started: 1` on a 503 or 504 proves that the request has not run (FULL).  Any other error,
        including a 429 or a 503 without this header, proves nothing: treated as FULL, a non-idempotent write
        could run twice.
        """
        if status == 200 and body is not None:
            outcome = Outcome.OK
        elif status in (503, 504) and headers.get("Not-Started") == "1":
            outcome = Outcome.FULL
        else:
            outcome = Outcome.ERROR
        load = headers.get("Server-Load")
        volume_load = parse_integer_header(headers.get("Volume-Load"))
        return AttemptResult(
            outcome,
            body if outcome is Outcome.OK and body is not None else b"",
            usage_percent_plus_one=0.0 if volume_load is None else volume_load + 1,
            other_gateways_units=parse_integer_header(headers.get("Other-Hosts")) or 0.0,
            load_report=parse_load_report(load, self._settings.load_report_fields) if load else (),
            latency_ms=latency_ms,
        )

    async def probe(self, address: str) -> AttemptResult:
        """Check a node's health, and read its load report if the settings configure one."""
        path = "/metrics/load" if self._settings.load_report_fields else "/alive"
        started_ms = self._clock.now_ms()
        try:
            url = URL(f"http://{address}{path}", encoded=True)
            connect_timeout_ms = self._settings.connect_timeout_ms
            async with self._clock.timeout(connect_timeout_ms), self._session().get(url) as response:
                body = await read_report(response.headers, response.content, self._clock, connect_timeout_ms)
                if body is None:
                    response.close()
                text = (body or b"").decode(errors="replace")
                outcome = Outcome.OK if response.status == 200 else Outcome.ERROR
                report = parse_load_report(text, self._settings.load_report_fields)
                return AttemptResult(outcome, load_report=report)
        except TimeoutError:
            return AttemptResult(Outcome.TIMEOUT)
        except Exception:
            # Catches every type: whatever the node sends, the health check has failed, and checks continue.
            elapsed_ms = self._clock.now_ms() - started_ms
            logger.warning("node %s: health check failed after %.0f ms", address, elapsed_ms, exc_info=True)
            return AttemptResult(Outcome.CONNECT_FAILED)

    def close_idle(self, address: str) -> None:
        """Close all idle connections to a node."""
        if self._open_session is not None and isinstance(self._open_session.connector, UpstreamConnector):
            self._open_session.connector.close_idle(address)

    async def close(self) -> None:
        """Close all connections."""
        if self._open_session is not None:
            await self._open_session.close()
