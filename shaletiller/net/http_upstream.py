"""Storage nodes over HTTP: one attempt is one request on one connection, never sent twice."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import re
import time
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec
from aiohttp import ClientHandlerType, ClientRequest, ClientResponse
from yarl import URL

from shaletiller.core.model import AttemptResult, ClientCall
from shaletiller.messages.outcomes import Outcome
from shaletiller.net.body import MOST_BODY, read_bounded
from shaletiller.net.pool import UpstreamConnector, UpstreamProtocol
from shaletiller.settings.model import Settings

logger = logging.getLogger(__name__)

WHOLE_BODY = 16 * 1024  # up to this a body is handed to the socket in one piece
# Of the node's idle limit.  aiohttp sweeps its pool once in each such time, so that a connection closes after
# twice this part at the latest, which must come before the node's own close.
IDLE_PART = 0.4
BODY_S = 0.1  # a node writes an answer in one go: one that stops half way is tried again while there is time
# The bounds of a node's answer: what one connection can hold of the memory.
ANSWER: Any = {"read_bufsize": MOST_BODY, "max_line_size": 4096, "max_field_size": 4096, "max_headers": 64}
MOST_REPORTED = 1e9
WHOLE = re.compile(r"\d{1,9}", re.ASCII)
REPORT_DECODER = msgspec.json.Decoder(dict[str, float])


class ConnectionBrokenError(Exception):
    """The connection failed under a request.

    Not an OSError or a ClientError on purpose, see `never_again`."""


async def never_again(request: ClientRequest, handler: ClientHandlerType) -> ClientResponse:
    """Keeps aiohttp from sending a request again by itself.

    On a kept connection that breaks it repeats idempotent methods, PUT among them, without a word: a write
    would run twice.  It does so on the two errors below alone, so they leave here under another name."""
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise  # never connected, and not repeated
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionBrokenError(str(error)) from error


@dataclass(slots=True)
class Written:
    """Whether the last byte of a request has been handed to its connection."""

    last: bool = False


async def in_two(body: bytes, written: Written) -> AsyncIterator[bytes]:
    """A large body, its last byte on its own: what breaks before that byte has certainly not run."""
    yield body[:-1]
    written.last = True
    yield body[-1:]


def handed_over(tracker: aiohttp.UploadTracker) -> bool:
    """Whether a request went to its connection whole."""
    done = tracker.upload_complete
    return done.done() and not done.cancelled() and done.exception() is None


def read_report(text: str, columns: tuple[str, ...]) -> tuple[tuple[str, float], ...]:
    """The load report's known fields; a malformed one is no report."""
    try:
        found = REPORT_DECODER.decode(text)
    except (msgspec.MsgspecError, RecursionError):
        return ()
    return tuple((name, found[name]) for name in columns if 0 <= found.get(name, -1) <= MOST_REPORTED)


def whole(text: str | None) -> float | None:
    """A header's number, None where there is none that can be."""
    return float(text) if text and WHOLE.fullmatch(text) else None


class HttpUpstreamClient:
    """One client session for all nodes."""

    def __init__(self, settings: Settings, most: int) -> None:
        self._settings = settings
        self._most = most
        self._open: aiohttp.ClientSession | None = None

    @property
    def most_a_node(self) -> int:
        return max(4, self._most // 3)

    def _session(self) -> aiohttp.ClientSession:
        if self._open is None:  # made where a loop runs
            self._open = aiohttp.ClientSession(
                connector=UpstreamConnector(self._most, self.most_a_node, self._idle_s),
                middlewares=(never_again,),
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
                trust_env=False,
                **ANSWER,
            )
        return self._open

    def retune(self, settings: Settings) -> None:
        """New settings hold for what is begun from now on: times, and what is read of answers."""
        self._settings = settings
        if self._open is not None and isinstance(self._open.connector, UpstreamConnector):
            self._open.connector.keep_for(self._idle_s)

    @property
    def _idle_s(self) -> float:
        return self._settings.connection_idle_ms / 1000 * IDLE_PART

    async def attempt(
        self,
        address: str,
        call: ClientCall,
        timeout_ms: float,
        start_within_ms: float = math.inf,
    ) -> AttemptResult:
        headers = {"Request-Id": call.id, "Request-Timeout-Ms": str(max(1, round(timeout_ms)))}
        if call.idempotency_key:
            headers["Idempotency-Key"] = call.idempotency_key
        if call.write or call.body:
            headers["Content-Length"] = str(len(call.body))
        connector = self._session().connector
        assert isinstance(connector, UpstreamConnector)
        if len(call.body) <= WHOLE_BODY:
            protocol = connector.take(address)
            if protocol is not None:
                return await self._on_kept(connector, protocol, address, call, headers)
        return await self._by_session(address, call, headers, start_within_ms)

    async def _on_kept(
        self,
        connector: UpstreamConnector,
        protocol: UpstreamProtocol,
        address: str,
        call: ClientCall,
        headers: dict[str, str],
    ) -> AttemptResult:
        """The short way, for a request that goes to a kept connection in one piece.

        aiohttp's session makes a request, a writer and a response of it, which takes longer than the rest.
        Whatever breaks here breaks after the last byte was handed over: the request may have run."""
        sound = False
        try:
            assert protocol.transport is not None
            protocol.set_response_params(read_until_eof=True, auto_decompress=False, **ANSWER)
            lines = [f"{call.method} {call.target} HTTP/1.1", f"Host: {address}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            protocol.transport.write("\r\n".join((*lines, "", "")).encode() + call.body)
            while True:
                message, payload = await protocol.read()
                if not 100 <= message.code <= 199 or message.code == 101:
                    break
            body = await self._body(message.headers, payload)
            sound = body is not None and message.code != 101
            return self._reply(message.code, message.headers, body, self._lag_ms(protocol))
        except Exception as error:
            logger.warning(f"node {address}: {type(error).__name__} after the last byte: {error}")
            return AttemptResult(Outcome.RESET)
        finally:
            connector.give_back(address, protocol, sound)

    async def _by_session(
        self,
        address: str,
        call: ClientCall,
        headers: dict[str, str],
        start_within_ms: float,
    ) -> AttemptResult:
        """The long way, for a new connection or a large body."""
        # The deadline is the engine's; only connecting has a limit of its own.
        connect_ms = min(self._settings.connect_timeout_ms, max(1.0, start_within_ms))
        limit = aiohttp.ClientTimeout(total=None, sock_read=None, connect=connect_ms / 1000)
        written = Written()
        body = in_two(call.body, written) if len(call.body) > WHOLE_BODY else call.body or None
        url = URL(f"http://{address}{call.target}", encoded=True)
        tracker = aiohttp.UploadTracker()
        try:
            async with self._session().request(
                call.method,
                url,
                headers=headers,
                data=body,
                allow_redirects=False,
                upload_tracker=tracker,
                timeout=limit,
            ) as response:
                found = await self._body(response.headers, response.content)
                if found is None:
                    response.close()  # what is left of it must not come before another's answer
                if response.status == 101:
                    self.close_idle(address)  # aiohttp has put a connection that speaks something else there
                return self._reply(response.status, response.headers, found, self._lag_ms(response._protocol))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return AttemptResult(Outcome.CONNECT_FAILED)
        except Exception as error:
            # A spoilt answer may break a library in ways that it does not list, and each is one outcome.
            # Before its last byte was written a request cannot have run; after that it may have.
            sent = written.last or handed_over(tracker)
            when = "after" if sent else "before"
            logger.warning(f"node {address}: {type(error).__name__} {when} the last byte: {error}")
            return AttemptResult(Outcome.RESET if sent else Outcome.CONNECT_FAILED)
        finally:
            handed_over(tracker)  # its exception is taken, so that it is not reported as forgotten

    @staticmethod
    async def _body(headers: Mapping[str, str], content: aiohttp.StreamReader) -> bytes | None:
        """A whole answer's body.  None, and no further use of the connection, where it is too large, does
        not tell where it ends, or stops half way: nodes write an answer in one go."""
        length = headers.get("Content-Length")
        told = (length is None) != (headers.get("Transfer-Encoding") is None)
        if not told or (length is not None and int(length) > MOST_BODY):
            return None
        with contextlib.suppress(TimeoutError):
            if content.is_eof():
                return await read_bounded(content)
            async with asyncio.timeout(BODY_S):
                return await read_bounded(content)
        return None

    @staticmethod
    def _lag_ms(protocol: Any) -> float | None:
        """From the request's last byte to the answer's.

        The time until this process came to write the one and read the other is its own.  Taken for the
        node's, it has a gateway that is short of time refuse work, and the retries leave it the shorter."""
        if not isinstance(protocol, UpstreamProtocol) or protocol.answered_s <= protocol.given_s:
            return None
        return (protocol.answered_s - protocol.given_s) * 1000

    def _reply(
        self,
        status: int,
        headers: Mapping[str, str],
        body: bytes | None,
        latency_ms: float | None,
    ) -> AttemptResult:
        if status == 200 and body is not None:
            outcome = Outcome.OK
        elif status in (503, 504) and headers.get("Not-Started") == "1":
            outcome = Outcome.FULL
        else:
            # Whatever else a node says, a 429 or a bare 503 too, proves nothing: the request may have run.
            outcome = Outcome.ERROR
        load = headers.get("Server-Load")
        used = whole(headers.get("Volume-Load"))
        return AttemptResult(
            outcome,
            body if outcome is Outcome.OK and body is not None else b"",
            usage_percent_plus_one=0.0 if used is None else used + 1,
            other_gateways_units=whole(headers.get("Other-Hosts")) or 0.0,
            load_report=read_report(load, self._settings.load_report_fields) if load else (),
            latency_ms=latency_ms,
        )

    async def probe(self, address: str) -> AttemptResult:
        path = "/metrics/load" if self._settings.load_report_fields else "/alive"
        started = time.monotonic()
        try:
            async with asyncio.timeout(self._settings.connect_timeout_ms / 1000):
                async with self._session().get(URL(f"http://{address}{path}", encoded=True)) as response:
                    found = await self._body(response.headers, response.content)
                    if found is None:
                        response.close()
                    text = (found or b"").decode(errors="replace")
                    outcome = Outcome.OK if response.status == 200 else Outcome.ERROR
                    return AttemptResult(
                        outcome, load_report=read_report(text, self._settings.load_report_fields)
                    )
        except TimeoutError:
            return AttemptResult(Outcome.TIMEOUT)
        except Exception as error:
            logger.warning(
                f"probe of {address} broke after {(time.monotonic() - started) * 1000:.0f} ms: {error}"
            )
            return AttemptResult(Outcome.CONNECT_FAILED)

    def close_idle(self, address: str) -> None:
        if self._open is not None and isinstance(self._open.connector, UpstreamConnector):
            self._open.connector.close_idle(address)

    async def close(self) -> None:
        if self._open is not None:
            await self._open.close()
