"""The clients' connections: how many there may be, and which of them must go.

A client may connect and stay silent, begin a request and never end it, or keep its connection for good.
None of them may take the place of a client that asks.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import logging
import math
import socket
from collections.abc import Awaitable, Callable, Coroutine
from enum import Enum
from typing import Any

from aiohttp import web
from aiohttp.http import HttpVersion11, RawRequestMessage
from aiohttp.web_protocol import RequestHandler

from shaletiller.clock import Clock, Timer
from shaletiller.net.body import MOST_BODY
from shaletiller.net.sockets import left, readable, unacknowledged, waiting

logger = logging.getLogger(__name__)

WHOLE_MS = 2200.0  # a request that is not whole by then gets an error: 3 s from connecting it is owed one
LONGEST_IDLE_MS = 10_000.0
LINGER_S = 4.0  # how long an error waits for a client that is still sending
# How long a connection that is shut waits for its client to close it too.  What comes meanwhile is not read.
HALF_CLOSED_MS = 250.0
CLOSING_POLL_S = 0.005  # how often that is looked at as the process ends
MOST_DROPPED = 64 << 20  # and how much of what it sends is dropped meanwhile
NEVER_S = 1e6
SWEEP_MS = 50.0
READ = 64 * 1024
ACCEPTS = 64  # new connections taken from the kernel in one go
BEGUN = 4  # and begun in one go: each costs as much as a request, and those that are there wait meanwhile
# Newcomers have waited for so long without a pause: more come than can be taken in.  From then on those that
# have waited for SOON_MS are refused unread: begun in turn all would come too late, and come back more often.
OVERLOAD_MS = 100.0
COME_BACK_MS = OVERLOAD_MS  # what those are told to wait
SOON_MS = 5.0
BACKLOG = 1024
CROWDED_PART = 0.75  # of the places: above the third of the descriptors that clients with requests may hold
# A head's bounds: what one connection can hold of the memory.
HEAD = {"max_line_size": 4096, "max_field_size": 4096, "max_headers": 32, "read_bufsize": 32 * 1024}
TOO_LATE = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
REFUSED = b"HTTP/1.1 503 Service Unavailable\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n"


Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
# Takes a request that is here whole: True, and its answer goes to `Connection.reply`; else to the handler.
Shortcut = Callable[["Connection", RawRequestMessage, bytes], bool]


class State(Enum):
    SILENT = 0  # not a byte has come
    PART = 1  # of a head
    ASKED = 2  # a head has come whole; its answer is owed
    IDLE = 3  # answered
    LINGERS = 4  # answered with an error, the rest of what comes is dropped
    HALF_CLOSED = 5  # shut: nothing more is said, and nothing more is read


# Where places are short, a connection may go after so long in a state that owes it nothing.
USELESS_MS = {State.SILENT: 250.0, State.LINGERS: 1000.0, State.IDLE: 2000.0}


class Connection(RequestHandler):
    """aiohttp's connection, with what the door needs to know of it."""

    __slots__ = (
        "_dropped",
        "_left",
        "arrivals",
        "body",
        "door",
        "leave",
        "owed",
        "since_ms",
        "started",
        "state",
    )

    def __init__(self, door: Door, manager: web.Server, **bounds: Any) -> None:
        super().__init__(manager, loop=asyncio.get_running_loop(), **bounds)
        self.door = door
        self.state = State.SILENT
        self.since_ms = door.clock.now_ms()
        self.arrivals: collections.deque[float] = collections.deque()  # of the requests not yet answered
        self.body: bytes | None = None  # of the request that is handled next, where it has been read
        self.started = False  # whether aiohttp's task has run as far as its first wait
        self.owed = False  # an answer, to a request that went the short way
        self.leave: Callable[[], None] | None = None  # what to call where its client goes
        self._left = MOST_DROPPED
        self._dropped: asyncio.Future[None] | None = None

    def connection_lost(self, exc: BaseException | None) -> None:
        self.door.gone(self)
        self.owed, leave, self.leave = False, self.leave, None
        if self._dropped is not None and not self._dropped.done():
            self._dropped.set_result(None)
        super().connection_lost(exc)
        if leave is not None:
            leave()

    async def start(self) -> None:
        self.started = True
        if self.owed:  # what comes behind the first request must not be answered before it
            self._waiter = self._loop.create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        await super().start()

    def data_received(self, data: bytes) -> None:
        if self._dropped is not None:
            self._left -= len(data)
            if self._left < 0 and not self._dropped.done():
                self._dropped.set_result(None)
            return
        if data and self.state in (State.SILENT, State.IDLE):
            if self.state is State.IDLE:
                self.since_ms = self.door.clock.now_ms()
            self.state = State.PART
        # aiohttp's task is woken only where the short way is not open: its two tasks, its request and its
        # response for each call take more time than all decisions.
        before, waiter = self._request_count, self._waiter
        self._waiter = None
        super().data_received(data)
        self._waiter = waiter
        new = self._request_count - before
        if not new:
            return
        self.state = State.ASKED
        free = not self.started if waiter is None else not waiter.done()
        if new > 1 or not free or not self._at_once():
            self.arrivals.extend([self.door.clock.now_ms()] * new)
            self._wake()

    @property
    def behind(self) -> bool:
        """Whether a further request has come meanwhile: it is owed an answer too."""
        return bool(self._messages)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done() and not self.owed:
            self._waiter.set_result(None)

    def _at_once(self) -> bool:
        """The short way, for a request that is here whole with nothing before or behind it."""
        message, payload = self._messages[0]
        # A client that does not read its answers must not pile them up here: the long way waits for it.
        clear = len(self._messages) == 1 and not self._buffer_paused and not self.owed
        if self.transport is None or self.transport.get_write_buffer_size() or not clear:
            return False
        if not isinstance(message, RawRequestMessage) or message.upgrade or not payload.is_eof():
            return False
        if message.version < HttpVersion11 or message.should_close or "Transfer-Encoding" in message.headers:
            return False
        if payload.total_bytes > MOST_BODY:
            return False
        body = payload.read_nowait() if payload.total_bytes else b""
        self.owed = True
        self._messages.clear()  # before the answer, which may come at once: what it finds here came behind
        if not self.door.shortcut(self, message, body):
            self.owed, self.body = False, body  # the long way has it from here, for it can be read but once
            self._messages.append((message, payload))
            return False
        if self._parser is not None:
            self._parser.message_consumed()
        return True

    def reply(self, raw: bytes, leaves: bool) -> None:
        """The answer to a request that went the short way."""
        if not self.owed:
            return
        self.owed, self.leave = False, None
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(raw)
        self.since_ms, self.state = self.door.clock.now_ms(), State.IDLE
        if leaves:
            self.half_close()
        elif self.behind:
            self.state = State.ASKED
            self._wake()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        found = await super().finish_response(request, resp, start_time)
        if self.arrivals:  # none where what stood behind an upgrade is parsed late
            self.arrivals.popleft()
        self.since_ms = self.door.clock.now_ms()
        if 400 <= resp.status < 500 and not resp.keep_alive and self.transport is not None:
            await self._linger(self.transport)
        else:
            self.state = State.ASKED if self._messages else State.IDLE
            if not resp.keep_alive and not self._messages:
                self.half_close()
        return found

    def half_close(self) -> None:
        """The end of a connection that owes nothing: what was written goes out, and nothing more is read.

        Closed over bytes unread, a connection is reset, and the answer on its way is lost with what the
        system still holds back.  Read after the end, a request could neither be answered nor left to the next
        connection: its client sends it once more only where it was not read."""
        transport, self._force_close = self.transport, True
        if self._waiter is not None:
            self._waiter.cancel()
        if transport is None or transport.is_closing() or self.state is State.HALF_CLOSED:
            return
        self.state, self.since_ms = State.HALF_CLOSED, self.door.clock.now_ms()
        self.door.half_closed(self)
        with contextlib.suppress(OSError, RuntimeError):  # its client may have gone meanwhile
            transport.pause_reading()
            transport.write_eof()

    def may_close(self, now_ms: float) -> bool:
        """Whether what is shut may be closed: its client has closed it too, or has had the time.

        Until a slow client has taken the whole answer, a close over what it sent behind would cut that."""
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if self.transport is None or sock is None or sock.fileno() < 0 or left(sock):
            return True
        taken = self.transport.get_write_buffer_size() == 0 and not unacknowledged(sock)
        return now_ms - self.since_ms >= (HALF_CLOSED_MS if taken else LINGER_S * 1000)

    async def _linger(self, transport: asyncio.Transport) -> None:
        """Closed with bytes unread, a connection is reset, and the error on its way to the client is lost."""
        self.state = State.LINGERS
        self._dropped = self._loop.create_future()
        # The client may have reset the connection meanwhile; uvloop says so with a RuntimeError.
        with contextlib.suppress(OSError, RuntimeError):
            if transport.can_write_eof() and not transport.is_closing():
                transport.write_eof()
                transport.resume_reading()
        try:
            async with asyncio.timeout(LINGER_S):
                await self._dropped
        except TimeoutError:
            pass

    def late(self) -> None:
        """The request did not come in time: an error where one was begun, and the end."""
        if self.state is State.IDLE:
            self.half_close()
            return
        if self.state is not State.PART or self.transport is None or self.transport.is_closing():
            self.force_close()
            return
        # Its client still sends: closed on that, it would be reset and not see the error.
        self.transport.write(TOO_LATE)
        self._force_close = True
        if self._waiter is not None:
            self._waiter.cancel()
        self.door.linger(self._linger(self.transport), self)


class _Server(web.Server):
    def __init__(self, door: Door, handler: Handler) -> None:
        # handler_cancellation: a client that closes its connection ends its handler at once, and with it
        # the attempts made for it.
        super().__init__(handler, handler_cancellation=True)
        self._door = door

    def __call__(self) -> Connection:
        # Times of its own are off: the door keeps them, for it can tell silent clients from idle ones.
        return self._door.come(
            Connection(self._door, self, access_log=None, keepalive_timeout=NEVER_S, lingering_time=0, **HEAD)
        )


class Door:
    """Listens, takes in as many connections as there are places, and closes those that are of no use."""

    def __init__(
        self,
        handler: Handler,
        most: int,
        clock: Clock,
        advice: Callable[[], bool],
        shortcut: Shortcut,
    ) -> None:
        self.clock = clock
        self.shortcut = shortcut
        self._advice = advice
        self._most = most
        self._server = _Server(self, handler)
        self._open: dict[Connection, None] = {}
        self._half_closed: dict[Connection, None] = {}  # the oldest first
        self._fresh: collections.deque[tuple[float, socket.socket]] = collections.deque()  # not begun yet
        self._begins = False
        self._waits_ms = math.inf  # since then there have always been some
        self._turned_away: collections.deque[tuple[float, socket.socket]] = collections.deque()  # half-closed
        self._taking: set[asyncio.Task[None]] = set()
        self._listener: socket.socket | None = None
        self._paused = False
        self._timer: Timer | None = None
        self.address: tuple[str, int] = ("", 0)
        self.drained = False  # clients are sent away: idle connections go at once
        self.refused: Callable[[bytes], None] = lambda head: None  # told of what is refused unread

    def listen(self, host: str, port: int) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # A second process of the gateway listens beside this one while it replaces it: without SO_REUSEPORT
        # its bind fails with EADDRINUSE and it ends before it has served a request.
        self._listener = socket.create_server((host, port), family=family, backlog=BACKLOG, reuse_port=True)
        self._listener.setblocking(False)
        self.address = self._listener.getsockname()[:2]
        asyncio.get_running_loop().add_reader(self._listener, self._accept)
        self._sweep()

    @property
    def connections(self) -> int:
        # What is being taken is among the open already.
        return len(self._open) + len(self._fresh) + len(self._half_closed) + len(self._turned_away)

    @property
    def crowded(self) -> bool:
        """Half-closed ones do not count: they are on their way, and give their places up when these are
        wanted."""
        return len(self._open) + len(self._fresh) >= self._most * CROWDED_PART

    def come(self, connection: Connection) -> Connection:
        self._open[connection] = None
        return connection

    def half_closed(self, connection: Connection) -> None:
        self._open.pop(connection, None)
        self._half_closed[connection] = None

    def gone(self, connection: Connection) -> None:
        self._open.pop(connection, None)
        self._half_closed.pop(connection, None)

    def _accept(self) -> None:
        """Beyond its places a gateway leaves newcomers in the kernel's queue, until someone goes."""
        assert self._listener is not None
        for _ in range(ACCEPTS):
            if self.connections >= self._most:
                if not waiting(self._listener):
                    break
                if not self._make_room():
                    self._pause()
                    break
            try:
                taken, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                break
            except OSError as error:
                logger.warning(f"no connection taken: {error}")
                self._pause()
                break
            taken.setblocking(False)
            self._fresh.append((self.clock.now_ms(), taken))
        if not self._begins:
            self._begin()

    def _begin(self) -> None:
        """Begin a few new connections, the newest and the oldest in turn.

        Where clients come back sooner than they can be taken in, in turn of arrival alone each of them would
        have left, or be about to, when its turn comes: all work is lost, and they come back the more."""
        loop = asyncio.get_running_loop()
        now_ms = self.clock.now_ms()
        overloaded = now_ms - self._waits_ms >= OVERLOAD_MS
        begun = 0
        while self._fresh and begun < BEGUN:
            came_ms, taken = self._fresh.popleft() if begun % 2 and not overloaded else self._fresh.pop()
            if left(taken):
                taken.close()
                continue
            begun += 1
            self._start(came_ms, taken)
        if overloaded:
            self._refuse_old(now_ms)
        self._waits_ms = min(self._waits_ms, now_ms) if self._fresh else math.inf
        self._begins = bool(self._fresh)
        if self._begins:
            loop.call_soon(self._begin)

    def _start(self, came_ms: float, taken: socket.socket) -> None:
        connection = self._server()
        connection.since_ms = came_ms
        task = asyncio.get_running_loop().create_task(self._take(connection, taken))
        self._taking.add(task)
        task.add_done_callback(self._taking.discard)

    def _refuse_old(self, now_ms: float) -> None:
        """An answer at once, for a tenth of what it takes to begin a connection."""
        silent = []
        while self._fresh and now_ms - self._fresh[0][0] >= SOON_MS:
            came_ms, taken = self._fresh.popleft()
            try:
                asked = taken.recv(READ, socket.MSG_PEEK)
                if asked.startswith(b"GET /up "):  # whether this process is there, which it is
                    self._start(came_ms, taken)
                    continue
                if asked:
                    self._refuse(taken, asked)
                    continue
            except BlockingIOError:
                if now_ms - came_ms < USELESS_MS[State.SILENT]:
                    silent.append((came_ms, taken))
                    continue
            except OSError:
                pass  # it has left
            taken.close()
        self._fresh.extendleft(reversed(silent))

    def _refuse(self, taken: socket.socket, asked: bytes) -> None:
        """A newcomer's request is turned away; closed at once over what comes behind, it would be reset."""
        self.refused(asked)
        try:
            taken.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            taken.recv(READ)
            advice = b"Retry-After: %.3f\r\n" % (COME_BACK_MS / 1000) if self._advice() else b""
            taken.send(REFUSED % advice)
            taken.shutdown(socket.SHUT_WR)
        except OSError:  # it has left
            taken.close()
            return
        self._turned_away.append((self.clock.now_ms(), taken))

    def _close_half_closed(self) -> None:
        """Close what is shut and whose client has closed it too, or has had the time."""
        now_ms = self.clock.now_ms()
        for since_ms, taken in list(self._turned_away):
            try:
                ended = now_ms - since_ms >= HALF_CLOSED_MS or not taken.recv(READ)
            except BlockingIOError:
                ended = False
            except OSError:
                ended = True
            if ended:
                self._turned_away.remove((since_ms, taken))
                taken.close()
        for each in [each for each in self._half_closed if each.may_close(now_ms)]:
            self.gone(each)
            each.force_close()

    def linger(self, work: Coroutine[Any, Any, None], connection: Connection) -> None:
        """Let an error reach a client that is still sending, then end its connection."""
        self._open[connection] = None  # it holds a place for so long
        task = asyncio.get_running_loop().create_task(work)
        self._taking.add(task)

        def done(task: asyncio.Task[None]) -> None:
            self._taking.discard(task)
            self.gone(connection)
            connection.force_close()

        task.add_done_callback(done)

    async def _take(self, connection: Connection, taken: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: connection, taken)
        except OSError as error:
            logger.warning(f"connection not taken: {error}")
            self.gone(connection)
            taken.close()

    def _pause(self) -> None:
        if self._listener is not None and not self._paused:
            self._paused = True
            asyncio.get_running_loop().remove_reader(self._listener)

    def _make_room(self) -> bool:
        """Close the connection that is of least use; False where all are."""
        now_ms = self.clock.now_ms()
        if self._turned_away:
            self._turned_away.popleft()[1].close()
            return True
        if self._half_closed:
            longest = next(iter(self._half_closed))
            self.gone(longest)
            longest.force_close()
            return True

        def useless(each: Connection) -> bool:
            waited_ms = now_ms - each.since_ms
            return waited_ms >= USELESS_MS.get(each.state, math.inf)

        idle_last = sorted(self._open, key=lambda each: (each.state is State.IDLE, each.since_ms))
        for each in filter(useless, idle_last):
            # What the kernel holds may be a whole request, which must not be closed upon.
            if each.state is State.LINGERS or not readable(each.transport):
                self.gone(each)
                each.force_close()
                return True
        return False

    def _sweep(self) -> None:
        now_ms = self.clock.now_ms()
        for each in list(self._open):
            waited_ms = now_ms - each.since_ms
            late = waited_ms >= WHOLE_MS and (
                each.state is State.PART or (each.state is State.SILENT and not readable(each.transport))
            )
            # Drained, a client that keeps its connection idle would be held here for as long as it likes.
            longest_ms = 0.0 if self.drained else LONGEST_IDLE_MS
            idle = each.state is State.IDLE and waited_ms >= longest_ms and not readable(each.transport)
            if late and each.state is State.SILENT:
                self.gone(each)
            if late or idle:
                each.late()
        self._close_half_closed()
        if self._paused and self._listener is not None:
            self._paused = False
            asyncio.get_running_loop().add_reader(self._listener, self._accept)
        self._timer = self.clock.call_later(SWEEP_MS, self._sweep)

    def shut(self) -> None:
        """No further connections; those that the kernel has queued for this listener are taken first.

        A listener that closes resets what waits in its queue, while the other process of the gateway would
        have taken those clients."""
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            while waiting(self._listener):
                try:
                    taken, _ = self._listener.accept()
                except OSError:
                    break
                taken.setblocking(False)
                self._fresh.append((self.clock.now_ms(), taken))
            if self._fresh and not self._begins:
                self._begin()
            self._listener.close()
            self._listener = None

    async def stop(self, grace_s: float) -> None:
        """What is held gets its answer, idle connections close."""
        self.shut()
        while self._fresh:
            _, taken = self._fresh.pop()
            try:
                asked = taken.recv(READ, socket.MSG_PEEK)
            except OSError:
                asked = b""
            if asked:
                self._refuse(taken, asked)
            else:
                taken.close()
        ends_ms = self.clock.now_ms() + grace_s * 1000
        # What is being taken has no transport yet that could be shut.
        while any(each.transport is None for each in self._open) and self.clock.now_ms() < ends_ms:
            await asyncio.sleep(0)
        for each in list(self._open):
            if each.state in (State.IDLE, State.SILENT):
                each.half_close()
        self._server.pre_shutdown()
        while self._ending() and self.clock.now_ms() < ends_ms:
            await asyncio.sleep(CLOSING_POLL_S)
            self._close_half_closed()
        await self._server.shutdown(max(0.0, ends_ms - self.clock.now_ms()) / 1000)
        while self._turned_away:
            self._turned_away.pop()[1].close()
        if self._timer is not None:
            self._timer.cancel()

    def _ending(self) -> bool:
        """Whether a client may still read an answer that was written, or be owed one."""
        return bool(self._turned_away or self._half_closed) or any(
            each.state in (State.ASKED, State.LINGERS) for each in self._open
        )
