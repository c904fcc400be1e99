"""The platform's HTTP front: clients' requests in, final answers out."""

from __future__ import annotations

import asyncio
import math
import re
from collections.abc import Callable

from aiohttp import web

from shaletiller.core.engine import Engine
from shaletiller.core.model import Answer, BadCall, Call, Verdict
from shaletiller.log import log
from shaletiller.net.body import MOST_BODY, read_bounded

BODY_S = 10.0  # a body that has not come by then is given up
HEX16 = re.compile(r"[0-9a-f]{16}", re.IGNORECASE | re.ASCII)
ID = re.compile(r"[!-~]{1,128}", re.ASCII)


class _TurnedAway(asyncio.Protocol):
    """Stands for a connection beyond the limit of descriptors."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        log("too many client connections, one closed")
        transport.close()


def _number(text: str, name: str) -> float:
    try:
        value = float(text)
    except ValueError as error:
        raise BadCall(f"{name}: not a number") from error
    if not math.isfinite(value):
        raise BadCall(f"{name}: not a finite number")
    return value


def _whole(text: str, name: str) -> int:
    value = _number(text, name)
    if value != int(value):
        raise BadCall(f"{name}: not a whole number")
    return int(value)


def read_call(request: web.BaseRequest, body: bytes) -> Call:
    """The call in a request's head; BadCall names what is missing or malformed."""
    heads = request.headers
    info = dict(part.strip().partition("=")[::2] for part in heads.get("IO-Info", "").split(","))
    key = request.rel_url.query.get("key", "")
    if not HEX16.fullmatch(key):
        raise BadCall("key: wants 16 hex digits")
    if not HEX16.fullmatch(info.get("volume", "")):
        raise BadCall("IO-Info volume: wants 16 hex digits")
    if not ID.fullmatch(heads.get("Request-Id", "")):
        raise BadCall("Request-Id: missing or malformed")
    if request.method not in ("GET", "PUT"):
        raise BadCall("method: wants GET or PUT")
    return Call(
        id=heads["Request-Id"], service=heads.get("Request-Class", ""), plan=heads.get("Tier", ""),
        volume=info["volume"], key=key, units=_number(info.get("units", ""), "IO-Info units"),
        shard=_whole(info.get("shard", ""), "IO-Info shard"),
        hosts=_whole(info.get("hosts", ""), "IO-Info hosts"),
        timeout_ms=_number(heads.get("Request-Timeout-Ms", ""), "Request-Timeout-Ms"),
        write=request.method == "PUT", method=request.method, target=request.path_qs, body=body,
        repeat=heads.get("Client-Retry") == "1",
    )


class HttpFront:
    """Listens for clients; each request waits for the engine's one answer."""

    def __init__(self, engine: Engine, most_connections: int, ready: Callable[[], bool]) -> None:
        self._engine = engine
        self._most = most_connections
        self._ready = ready
        self._server: web.Server | None = None
        self._listener: asyncio.Server | None = None
        self._closing = False
        self.address: tuple[str, int] = ("", 0)

    async def start(self, host: str, port: int) -> None:
        # handler_cancellation: a client that closes its connection ends its handler at once, and with it
        # the attempts made for it.
        self._server = web.Server(
            self._handle, handler_cancellation=True, access_log=None, keepalive_timeout=600.0,
        )
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._protocol, host, port, backlog=1024)
        self.address = self._listener.sockets[0].getsockname()[:2]

    def _protocol(self) -> asyncio.BaseProtocol:
        assert self._server is not None
        full = len(self._server.connections) >= self._most
        return _TurnedAway() if full else self._server()

    async def stop(self, grace_s: float) -> None:
        """No further connections; what is held gets its answer, idle connections close."""
        self._closing = True
        if self._listener is not None:
            self._listener.close()
        if self._server is not None:
            self._server.pre_shutdown()
            await self._server.shutdown(grace_s)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/up":
            return web.Response(status=200 if self._ready() else 503)
        if request.path != "/api":
            return web.Response(status=404)
        try:
            async with asyncio.timeout(BODY_S):
                large = (request.content_length or 0) > MOST_BODY
                body = None if large else await read_bounded(request.content)
        except TimeoutError:
            return self._bad(408, "the body did not come")
        if body is None:
            return self._bad(413, "the body is too large")
        done: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

        def answered(answer: Answer) -> None:
            if not done.done():
                done.set_result(answer)

        try:
            exchange = self._engine.call(read_call(request, body), answered)
        except BadCall as error:
            return self._bad(400, str(error))
        try:
            answer = await done
        finally:
            self._engine.client_left(exchange)  # nothing where it is already over
        return self._response(answer)

    def _bad(self, status: int, why: str) -> web.Response:
        log(f"turned down with {status}: {why}")
        answer = web.Response(status=status, text=why + "\n")
        answer.force_close()
        return answer

    def _response(self, answer: Answer) -> web.Response:
        heads: dict[str, str] = {}
        if answer.verdict is Verdict.SERVED:
            response = web.Response(body=answer.body)
        elif answer.verdict is Verdict.REFUSED:
            if answer.retry_in_ms > 0 and self._engine.settings.retry_advice:
                heads["Retry-After"] = f"{answer.retry_in_ms / 1000:.3f}"
            response = web.Response(status=503, headers=heads)
        else:
            response = web.Response(status=502)
        if self._closing:
            response.force_close()
        return response
