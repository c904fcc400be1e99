"""Storage nodes over HTTP: one attempt is one request on one connection, never sent twice."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec
from aiohttp import ClientHandlerType, ClientRequest, ClientResponse
from multidict import CIMultiDictProxy
from yarl import URL

from shaletiller import interface as i
from shaletiller.core.model import Call, Reply
from shaletiller.log import log
from shaletiller.net.body import MOST_BODY, read_bounded

WHOLE_BODY = 16 * 1024  # up to this a body is handed to the socket in one piece
# Of the node's idle limit.  aiohttp sweeps its pool once in each such time, so that a connection closes after
# twice this part at the latest, which must come before the node's own close.
IDLE_PART = 0.4
REPORT_DECODER = msgspec.json.Decoder(dict[str, float])


class ConnectionBroke(Exception):
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
        raise ConnectionBroke(str(error)) from error


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
    except msgspec.MsgspecError:
        return ()
    return tuple((name, found[name]) for name in columns if name in found)


def whole(text: str | None) -> float:
    """A header's number, 0 where there is none."""
    try:
        return float(int(text)) if text else 0.0
    except ValueError:
        return 0.0


class HttpBack:
    """One client session for each address, so that its idle connections can be closed alone."""

    def __init__(self, settings: i.Settings, most_connections: Callable[[], int]) -> None:
        self._settings = settings
        self._most = most_connections
        self._sessions: dict[str, aiohttp.ClientSession] = {}
        self._busy: dict[aiohttp.ClientSession, int] = {}
        self._retired: set[aiohttp.ClientSession] = set()
        self._closing: set[asyncio.Task[None]] = set()

    def _session(self, address: str) -> aiohttp.ClientSession:
        session = self._sessions.get(address)
        if session is None:
            session = self._sessions[address] = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=self._most(), force_close=False, use_dns_cache=False, ssl=False,
                    keepalive_timeout=self._settings.conn_idle_ms / 1000 * IDLE_PART,
                ),
                # The deadline is the engine's; only connecting has a limit of its own.
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_read=None, connect=self._settings.connect_timeout_ms / 1000,
                ),
                middlewares=(never_again,), auto_decompress=False, cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
                trust_env=False, read_bufsize=MOST_BODY,
            )
        return session

    async def attempt(self, address: str, call: Call, timeout_ms: float) -> Reply:
        written = Written()
        headers = {"Request-Id": call.id, "Request-Timeout-Ms": str(max(1, round(timeout_ms)))}
        body: Any = call.body or None
        if len(call.body) > WHOLE_BODY:
            headers["Content-Length"] = str(len(call.body))
            body = in_two(call.body, written)
        elif call.write:
            headers["Content-Length"] = str(len(call.body))
        url = URL(f"http://{address}{call.target}", encoded=True)
        session = self._session(address)
        tracker = aiohttp.UploadTracker()
        self._busy[session] = self._busy.get(session, 0) + 1
        try:
            async with session.request(
                call.method, url, headers=headers, data=body, allow_redirects=False, upload_tracker=tracker,
            ) as response:
                answer = await read_bounded(response.content)
                if answer is None:
                    response.close()  # what is left of it must not come before another's answer
                return self._reply(response.status, response.headers, answer)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Reply(i.Outcome.CONNECT_FAILED)
        except (ConnectionBroke, aiohttp.ClientError, OSError) as error:
            # Before its last byte was written a request cannot have run; after that it may have.
            sent = written.last or handed_over(tracker)
            when = "after" if sent else "before"
            log(f"node {address}: {type(error).__name__} {when} the last byte: {error}")
            return Reply(i.Outcome.RESET if sent else i.Outcome.CONNECT_FAILED)
        finally:
            handed_over(tracker)  # its exception is taken, so that it is not reported as forgotten
            self._release(session)

    def _reply(self, status: int, headers: CIMultiDictProxy[str], body: bytes | None) -> Reply:
        if status == 200 and body is not None:
            outcome = i.Outcome.OK
        elif status in (503, 504) and headers.get("Not-Started") == "1":
            outcome = i.Outcome.FULL
        else:
            # Whatever else a node says, a 429 or a bare 503 too, proves nothing: the request may have run.
            outcome = i.Outcome.ERROR
        load = headers.get("Server-Load")
        used = headers.get("Volume-Load")
        return Reply(
            outcome, body if outcome is i.Outcome.OK and body is not None else b"",
            used=whole(used) + 1 if used else 0.0, from_others=whole(headers.get("Other-Hosts")),
            report=read_report(load, self._settings.report_columns) if load else (),
        )

    async def probe(self, address: str) -> Reply:
        path = "/metrics/load" if self._settings.report_columns else "/alive"
        session = self._session(address)
        self._busy[session] = self._busy.get(session, 0) + 1
        started = time.monotonic()
        try:
            async with asyncio.timeout(self._settings.connect_timeout_ms / 1000):
                async with session.get(URL(f"http://{address}{path}", encoded=True)) as response:
                    text = (await read_bounded(response.content) or b"").decode(errors="replace")
                    outcome = i.Outcome.OK if response.status == 200 else i.Outcome.ERROR
                    return Reply(outcome, report=read_report(text, self._settings.report_columns))
        except TimeoutError:
            return Reply(i.Outcome.TIMEOUT)
        except (ConnectionBroke, aiohttp.ClientError, OSError) as error:
            log(f"probe of {address} broke after {(time.monotonic() - started) * 1000:.0f} ms: {error}")
            return Reply(i.Outcome.CONNECT_FAILED)
        finally:
            self._release(session)

    def close_idle(self, address: str) -> None:
        """The address gets a new session; the old one closes with its last attempt."""
        session = self._sessions.pop(address, None)
        if session is not None:
            self._retired.add(session)
            self._drop_if_done(session)

    def _release(self, session: aiohttp.ClientSession) -> None:
        self._busy[session] -= 1
        self._drop_if_done(session)

    def _drop_if_done(self, session: aiohttp.ClientSession) -> None:
        if session in self._retired and not self._busy.get(session):
            self._retired.discard(session)
            self._busy.pop(session, None)
            task = asyncio.ensure_future(session.close())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        for session in [*self._sessions.values(), *self._retired]:
            await session.close()
        self._sessions.clear()
        self._retired.clear()
