"""The HTTP client for storage nodes: one attempt is one request on one connection, never sent twice."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import re
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec
from aiohttp import ClientHandlerType, ClientRequest, ClientResponse
from yarl import URL

from shaletiller.clock import Clock
from shaletiller.core.model import AttemptResult, ClientCall
from shaletiller.messages.outcomes import Outcome
from shaletiller.net.body import MAX_BODY_BYTES, read_bounded
from shaletiller.net.errors import ConnectionBrokenError
from shaletiller.net.pool import UpstreamConnector, UpstreamProtocol
from shaletiller.settings.model import Settings

logger = logging.getLogger(__name__)

# Up to this size a body is handed to the socket in one piece.  Empirical: well below a socket's send buffer,
# and above most bodies.
MAX_SINGLE_WRITE_BYTES = 16 * 1024
# Part of the node's idle timeout after which this side stops using a connection.  aiohttp sweeps its pool
# once in each such time, so a connection closes after twice this part at the latest, before the node's own
# close.
IDLE_TIMEOUT_PART = 0.4
# Nodes write a response in one go: one that stops half way will not go on, and is retried while there is
# time.  Empirical: longer than a retransmission on the site's network takes.
BODY_TIMEOUT_S = 0.1
# The bounds of a node's response: what one connection can hold of the memory.
RESPONSE_LIMITS: Any = {
    "read_bufsize": MAX_BODY_BYTES,
    "max_line_size": 4096,
    "max_field_size": 4096,
    "max_headers": 64,
}
MAX_REPORT_VALUE = 1e9  # a load report's larger values are malformed
INTEGER_PATTERN = re.compile(r"\d{1,9}", re.ASCII)
REPORT_DECODER = msgspec.json.Decoder(dict[str, float])


async def never_resend(request: ClientRequest, handler: ClientHandlerType) -> ClientResponse:
    """Client middleware that keeps aiohttp from resending a request on its own.

    If an idle connection breaks under a request, aiohttp silently resends idempotent methods, PUT among them:
    a node would run a non-idempotent write twice, and no counter would show it.  aiohttp does so only on the
    two exceptions below; raised as another type, that is no subclass of theirs, they end the attempt.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise  # never connected; aiohttp does not resend after these
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionBrokenError(str(error)) from error


@dataclass(slots=True)
class UploadProgress:
    """Whether the last byte of a request was handed to its connection."""

    last_byte_written: bool = False


async def split_last_byte(body: bytes, progress: UploadProgress) -> AsyncIterator[bytes]:
    """Yield a large body, its last byte apart: a connection that breaks before that byte ran nothing.

    The mark is set before the byte is yielded: written or not, from then on the request may have run.
    """
    yield body[:-1]
    progress.last_byte_written = True
    yield body[-1:]


def is_upload_complete(tracker: aiohttp.UploadTracker) -> bool:
    """Whether the complete request was handed to its connection."""
    upload = tracker.upload_complete
    return upload.done() and not upload.cancelled() and upload.exception() is None


def parse_load_report(text: str, columns: tuple[str, ...]) -> tuple[tuple[str, float], ...]:
    """Parse the known columns of a load report; a malformed report counts as none."""
    try:
        report = REPORT_DECODER.decode(text)
    except (msgspec.MsgspecError, RecursionError):
        return ()
    return tuple((name, report[name]) for name in columns if 0 <= report.get(name, -1) <= MAX_REPORT_VALUE)


def parse_integer_header(text: str | None) -> float | None:
    """Parse a header's number; None if it is absent or malformed."""
    return float(text) if text and INTEGER_PATTERN.fullmatch(text) else None


class HttpUpstreamClient:
    """The `UpstreamClient` for HTTP: one client session for all nodes."""

    def __init__(self, settings: Settings, max_connections: int, clock: Clock) -> None:
        """Make a client that connects at the first attempt."""
        self._settings = settings
        self._max_connections = max_connections
        self._clock = clock
        self._open_session: aiohttp.ClientSession | None = None

    @property
    def max_per_node(self) -> int:
        """How many connections there may be to one node: a third, so that no one node takes them all."""
        return max(4, self._max_connections // 3)

    def _session(self) -> aiohttp.ClientSession:
        if self._open_session is None:  # made late, for it needs the running loop
            self._open_session = aiohttp.ClientSession(
                connector=UpstreamConnector(
                    self._max_connections, self.max_per_node, self._idle_timeout_s, self._clock
                ),
                middlewares=(never_resend,),
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
                trust_env=False,
                **RESPONSE_LIMITS,
            )
        return self._open_session

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings to what begins from now on: timeouts, and what is read of responses."""
        self._settings = settings
        if self._open_session is not None and isinstance(self._open_session.connector, UpstreamConnector):
            self._open_session.connector.set_idle_timeout(self._idle_timeout_s)

    @property
    def _idle_timeout_s(self) -> float:
        return self._settings.connection_idle_ms / 1000 * IDLE_TIMEOUT_PART

    # ---- attempts

    async def attempt(
        self,
        address: str,
        call: ClientCall,
        timeout_ms: float,
        start_within_ms: float = math.inf,
    ) -> AttemptResult:
        """Send a call to a node once.

        :param timeout_ms: sent along; the engine cancels the attempt by then.
        :param start_within_ms: if no connection is up by then, nothing is sent.
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
                return await self._attempt_on_idle(connector, protocol, address, call, headers)
        return await self._attempt_by_session(address, call, headers, start_within_ms)

    async def _attempt_on_idle(
        self,
        connector: UpstreamConnector,
        protocol: UpstreamProtocol,
        address: str,
        call: ClientCall,
        headers: dict[str, str],
    ) -> AttemptResult:
        """Write a request to an idle connection in one piece (the fast path).

        aiohttp's session would make a request, a writer and a response, which costs more than all the rest.
        Whatever fails here fails after the last byte was written, so the outcome is RESET: the request may
        have run, and a non-idempotent one must not be retried.
        """
        reusable = False
        try:
            assert protocol.transport is not None
            protocol.set_response_params(read_until_eof=True, auto_decompress=False, **RESPONSE_LIMITS)
            lines = [f"{call.method} {call.target} HTTP/1.1", f"Host: {address}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            protocol.transport.write("\r\n".join((*lines, "", "")).encode() + call.body)
            while True:
                message, payload = await protocol.read()
                if not 100 <= message.code <= 199 or message.code == 101:
                    break
            body = await self._read_body(message.headers, payload)
            reusable = body is not None and message.code != 101
            return self._result(message.code, message.headers, body, self._node_latency_ms(protocol))
        except Exception:
            # Any type: a corrupt response may fail the parser in ways that it does not document, and each of
            # them is the same outcome.
            logger.warning(
                "node %s: request %s failed after its last byte was written, it may have run",
                address,
                call.id,
                exc_info=True,
            )
            return AttemptResult(Outcome.RESET)
        finally:
            connector.release_used(address, protocol, reusable)

    async def _attempt_by_session(
        self,
        address: str,
        call: ClientCall,
        headers: dict[str, str],
        start_within_ms: float,
    ) -> AttemptResult:
        """Send a request on a new connection, or with a large body (the slow path).

        A failure before the last byte was written is CONNECT_FAILED: the node cannot have run an incomplete
        request, so any request may be retried.  After it, the outcome is RESET: it may have run.  Taking a
        RESET for a CONNECT_FAILED would run a non-idempotent write twice.
        """
        # The deadline is the engine's; only connecting has a timeout of its own.
        connect_ms = min(self._settings.connect_timeout_ms, max(1.0, start_within_ms))
        timeout = aiohttp.ClientTimeout(total=None, sock_read=None, connect=connect_ms / 1000)
        progress = UploadProgress()
        is_large = len(call.body) > MAX_SINGLE_WRITE_BYTES
        data = split_last_byte(call.body, progress) if is_large else call.body or None
        url = URL(f"http://{address}{call.target}", encoded=True)
        tracker = aiohttp.UploadTracker()
        try:
            async with self._session().request(
                call.method,
                url,
                headers=headers,
                data=data,
                allow_redirects=False,
                upload_tracker=tracker,
                timeout=timeout,
            ) as response:
                return await self._receive(address, response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return AttemptResult(Outcome.CONNECT_FAILED)
        except Exception:
            # Any type: a corrupt response may fail aiohttp in ways that it does not document, and what counts
            # is only whether the last byte was written.
            may_have_run = progress.last_byte_written or is_upload_complete(tracker)
            logger.warning(
                "node %s: request %s failed %s",
                address,
                call.id,
                "after its last byte was written, it may have run"
                if may_have_run
                else "before its last byte was written, it has not run",
                exc_info=True,
            )
            return AttemptResult(Outcome.RESET if may_have_run else Outcome.CONNECT_FAILED)
        finally:
            is_upload_complete(tracker)  # retrieves its exception, which asyncio would log as never retrieved

    async def _receive(self, address: str, response: ClientResponse) -> AttemptResult:
        """Read a response of the session, and keep its connection from reuse if it is in doubt."""
        body = await self._read_body(response.headers, response.content)
        if body is None:
            response.close()  # the rest of it must not precede another request's response
        if response.status == 101:
            self.close_idle(address)  # aiohttp has put a connection that speaks another protocol there
        latency_ms = self._node_latency_ms(response._protocol)
        return self._result(response.status, response.headers, body, latency_ms)

    @staticmethod
    async def _read_body(headers: Mapping[str, str], content: aiohttp.StreamReader) -> bytes | None:
        """Read a response's body.

        :returns: None if the body is too large, has no defined end or stops half way; the connection must
            then not be used again.
        """
        length = headers.get("Content-Length")
        has_defined_end = (length is None) != (headers.get("Transfer-Encoding") is None)
        if not has_defined_end or (length is not None and int(length) > MAX_BODY_BYTES):
            return None
        with contextlib.suppress(TimeoutError):
            if content.is_eof():
                return await read_bounded(content)
            async with asyncio.timeout(BODY_TIMEOUT_S):
                return await read_bounded(content)
        return None

    @staticmethod
    def _node_latency_ms(protocol: Any) -> float | None:
        """Return the time from writing the request to reading the end of the response.

        It excludes the time until this process came to write the one and process the other.  Counted as the
        node's, a gateway short of CPU would take its nodes for slow and shed load, and its retries would
        leave it shorter still.

        :returns: None where it was not measured.
        """
        if (
            not isinstance(protocol, UpstreamProtocol)
            or protocol.response_read_ms <= protocol.request_written_ms
        ):
            return None
        return protocol.response_read_ms - protocol.request_written_ms

    def _result(
        self,
        status: int,
        headers: Mapping[str, str],
        body: bytes | None,
        latency_ms: float | None,
    ) -> AttemptResult:
        """Make an attempt's result from its response.

        Only `Not-Started: 1` on a 503 or 504 proves that the request has not run (FULL).  Any other error, a
        429 or a bare 503 too, proves nothing: retried as FULL, a non-idempotent write could run twice.
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

    # ---- health checks

    async def probe(self, address: str) -> AttemptResult:
        """Check a node's health, and read its load report where the settings name one."""
        path = "/metrics/load" if self._settings.load_report_fields else "/alive"
        started_ms = self._clock.now_ms()
        try:
            async with asyncio.timeout(self._settings.connect_timeout_ms / 1000):
                async with self._session().get(URL(f"http://{address}{path}", encoded=True)) as response:
                    body = await self._read_body(response.headers, response.content)
                    if body is None:
                        response.close()
                    text = (body or b"").decode(errors="replace")
                    outcome = Outcome.OK if response.status == 200 else Outcome.ERROR
                    report = parse_load_report(text, self._settings.load_report_fields)
                    return AttemptResult(outcome, load_report=report)
        except TimeoutError:
            return AttemptResult(Outcome.TIMEOUT)
        except Exception:
            # Any type: whatever a node sends, its health check has failed, and the checks go on.
            elapsed_ms = self._clock.now_ms() - started_ms
            logger.warning("node %s: health check failed after %.0f ms", address, elapsed_ms, exc_info=True)
            return AttemptResult(Outcome.CONNECT_FAILED)

    # ---- closing

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a node."""
        if self._open_session is not None and isinstance(self._open_session.connector, UpstreamConnector):
            self._open_session.connector.close_idle(address)

    async def close(self) -> None:
        """Close every connection."""
        if self._open_session is not None:
            await self._open_session.close()
