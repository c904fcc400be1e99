"""Listener for client connections: accepts, starts and times out connections, and drains at shutdown.

`client_connection` handles one connection, `connection_table` chooses connections to end, and
`overload_control` rejects connections before they are started.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse
from aiohttp.web_server import Server

from shaletiller.clock import Clock, Timer
from shaletiller.core.memory_account import MemoryAccount
from shaletiller.net import connection_limits as limits
from shaletiller.net.arrival_time import TimestampingProtocol, record_arrival_times
from shaletiller.net.bounded_reads import BoundedReadAdapter, make_read_buffer
from shaletiller.net.client_connection import ClientConnection
from shaletiller.net.connection_owner import FastPath
from shaletiller.net.connection_state import EndReason
from shaletiller.net.connection_table import ConnectionTable
from shaletiller.net.input_control import MIN_RESUMED, InputControl
from shaletiller.net.overload_control import (
    AcceptedSocket,
    AcceptQueue,
    OverloadControl,
)
from shaletiller.net.sockets import is_readable

logger = logging.getLogger(__name__)

Handler = Callable[[BaseRequest], Awaitable[StreamResponse]]


class _Server(Server):
    """aiohttp server that creates a `ClientConnection` for each connection."""

    def __init__(self, listener: Listener, handler: Handler) -> None:
        # handler_cancellation: when a client closes its connection, its handler is cancelled at once,
        # together with its attempts.
        super().__init__(handler, handler_cancellation=True)
        self._listener = listener

    def __call__(self) -> ClientConnection:
        """Create a connection and add it to the listener's table at once."""
        connection = ClientConnection(
            self._listener,
            self,
            access_log=None,
            keepalive_timeout=limits.NO_KEEPALIVE_TIMEOUT_S,
            lingering_time=0,
            **limits.HEAD_LIMITS,
        )
        self._listener.table.add(connection)
        return connection


class Listener:
    """Accepts connections up to a limit, and starts most of them; the others wait, or are rejected."""

    def __init__(
        self,
        handler: Handler,
        max_connections: int,
        clock: Clock,
        fast_path: FastPath,
        overload: OverloadControl,
        memory: MemoryAccount | None = None,
    ) -> None:
        """Create a listener that does not listen yet.

        :param handler: serves the requests that the fast path declines.
        :param fast_path: called first with each complete request.
        """
        self.clock = clock
        self.fast_path = fast_path
        self.table = ConnectionTable(max_connections)
        self.accept_queue = AcceptQueue()
        self.overload = overload
        self.memory = memory or MemoryAccount()
        self.input_control = InputControl(self.memory, clock)
        self._read_buffer = make_read_buffer()
        self.address: tuple[str, int] = ("", 0)
        self.draining = False  # while draining, responses close their connections and idle connections end
        self.end_counts: Counter[EndReason] = Counter()  # connections that have ended
        self._server = _Server(self, handler)
        self._start_scheduled = False
        self._tasks: set[asyncio.Task[None]] = set()  # tasks that start a connection or linger on one
        self._socket: socket.socket | None = None
        self._accept_paused = False
        self._sweep_timer: Timer | None = None
        self._records_arrival_times = False

    def record_arrival_times(self, enabled: bool) -> None:
        """Choose whether the arrival times of requests are recorded, on connections accepted from now on."""
        self._records_arrival_times = enabled
        if enabled and self._socket is not None:
            record_arrival_times(self._socket)

    def listen(self, host: str, port: int) -> None:
        """Listen on an address; port 0 selects a free port."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # SO_REUSEPORT: during an upgrade, the old and the new process of the gateway listen at the same time.
        # Without it, the new process would fail to bind (EADDRINUSE) and exit.
        self._socket = socket.create_server(
            (host, port), family=family, backlog=limits.LISTEN_BACKLOG, reuse_port=True
        )
        self._socket.setblocking(False)
        self.record_arrival_times(self._records_arrival_times)
        self.address = self._socket.getsockname()[:2]
        asyncio.get_running_loop().add_reader(self._socket, self._accept)
        self._sweep()

    @property
    def connections(self) -> int:
        """Number of connections in any state; all of them count against the limit."""
        # The table includes connections that are being started.
        return len(self.table) + len(self.accept_queue) + len(self.overload)

    def must_close(self, connection: ClientConnection) -> bool:
        """Whether so many connections are open that a response has to close this one.

        One that is used regularly stays open while there are others to close: its client would have to wait
        behind the new ones.
        """
        if not self.table.is_near_limit(len(self.accept_queue)):
            return False
        return not (self.table.has_other_use and connection.is_in_regular_use(self.clock.now_ms()))

    def connection_half_closed(self, connection: ClientConnection) -> None:
        """Wait for the client to close its side."""
        self.table.half_close(connection)

    def connection_lost(self, connection: ClientConnection, error: BaseException | None) -> None:
        """Remove the connection from the table, and count why it ended."""
        reason = connection.end_reason or EndReason.CLIENT
        self.end_counts[reason] += 1
        if reason is not EndReason.CLIENT and connection.has_pending_response:
            logger.warning("client connection closed without a whole response: %s (%r)", reason.value, error)
        self.table.remove(connection)
        self.input_control.remove(connection)

    def reading_paused_for_memory(self, connection: ClientConnection) -> None:
        """Resume reading of the connection once there is memory for its input."""
        self.input_control.add(connection)

    def request_deferred_for_memory(self, connection: ClientConnection) -> None:
        """Serve the next request of the connection once there is memory for its response."""
        self.input_control.defer(connection)

    def start_linger(self, linger: Coroutine[Any, Any, None], connection: ClientConnection) -> None:
        """Wait until a client that is still sending has received an error, then close its connection."""
        self.table.add(connection)  # it counts against the limit until it is closed
        task = asyncio.get_running_loop().create_task(linger)
        self._tasks.add(task)

        def end_connection(task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            self.table.remove(connection)
            connection.force_close()

        task.add_done_callback(end_connection)

    def _accept(self) -> None:
        """Accept connections that the kernel has queued, up to the connection limit."""
        assert self._socket is not None
        for _ in range(limits.ACCEPTS_PER_WAKEUP):
            if self.connections >= self.table.max_connections:
                if not is_readable(self._socket):
                    break
                if not self._evict_connection() and not self._reject_oldest_waiting():
                    self._pause_accepting()
                    break
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                break
            except OSError as error:
                logger.warning(
                    "accepting a connection failed, retrying in %.0f ms: %s", limits.SWEEP_INTERVAL_MS, error
                )
                self._pause_accepting()
                break
            self._enqueue(sock)
        if not self._start_scheduled:
            self._start_connections()

    def _enqueue(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.accept_queue.push(AcceptedSocket(self.clock.now_ms(), sock))

    def _pause_accepting(self) -> None:
        """Leave new connections in the kernel's queue until the next sweep."""
        if self._socket is not None and not self._accept_paused:
            self._accept_paused = True
            asyncio.get_running_loop().remove_reader(self._socket)

    def _resume_accepting(self) -> None:
        if self._accept_paused and self._socket is not None:
            self._accept_paused = False
            asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _evict_connection(self) -> bool:
        """Close one connection that may be evicted; False if there is none."""
        return self.overload.evict() or self.table.evict(self.clock.now_ms())

    def _reject_oldest_waiting(self) -> bool:
        """Reject the request that has waited longest to be started, in favor of one in the kernel's queue.

        There, nobody would know how long it waits.
        """
        if not self.overload.reject_oldest(self.accept_queue):
            return False
        return self.connections < self.table.max_connections or self.overload.evict()

    def _start_connections(self) -> None:
        """Start a batch of accepted connections, reject stale ones, and schedule the next batch."""
        now_ms = self.clock.now_ms()
        if self._must_connections_wait(now_ms):
            self._let_connections_wait(now_ms)
            return
        overloaded = self.accept_queue.is_overloaded(now_ms)
        for accepted in self.accept_queue.take_batch(overloaded, max(1, self.table.startable)):
            self._start_connection(accepted)
        if overloaded:
            for accepted in self.overload.reject_stale(self.accept_queue, now_ms):
                self._start_connection(accepted)
        self.accept_queue.update_backlog(now_ms)
        self._start_scheduled = len(self.accept_queue) > 0
        if self._start_scheduled:
            asyncio.get_running_loop().call_soon(self._start_connections)

    def _must_connections_wait(self, now_ms: float) -> bool:
        """Whether no connection can be started, and none that is open may give way."""
        lacks_memory = self.memory.has_too_many_connections and len(self.table.open) >= limits.MIN_CONNECTIONS
        if not lacks_memory and self.table.startable:
            return False
        return not self.table.evict(now_ms)

    def _let_connections_wait(self, now_ms: float) -> None:
        """Leave accepted connections in the queue; reject those that have waited too long."""
        waited_ms = limits.MAX_START_WAIT_MS
        for accepted in self.overload.reject_stale(self.accept_queue, now_ms, waited_ms):
            self._start_connection(accepted)
        self._start_scheduled = len(self.accept_queue) > 0
        if self._start_scheduled:
            self.clock.call_later(limits.START_POLL_MS, self._start_connections)

    def _start_connection(self, accepted: AcceptedSocket) -> None:
        connection = self._server()
        connection.state_since_ms = accepted.since_ms
        task = asyncio.get_running_loop().create_task(self._attach_transport(connection, accepted.sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _attach_transport(self, connection: ClientConnection, sock: socket.socket) -> None:
        """Attach a transport and the connection to an accepted socket."""
        try:
            adapter = self._make_read_adapter(connection, sock)
            await asyncio.get_running_loop().connect_accepted_socket(lambda: adapter, sock)
        except OSError as error:
            logger.warning("starting an accepted connection failed, connection closed: %s", error)
            self.table.remove(connection)
            sock.close()

    def _make_read_adapter(self, connection: ClientConnection, sock: socket.socket) -> BoundedReadAdapter:
        if self._records_arrival_times:
            return TimestampingProtocol(connection, self._read_buffer, self.memory, sock)
        return BoundedReadAdapter(connection, self._read_buffer, self.memory)

    def when_input_is_read(self, callback: Callable[[], None]) -> None:
        """Call `callback` once, when all requests that have arrived by now have been read and handled.

        It is called after `MAX_INPUT_WAIT_MS` even if some have not, and does not wait for connections whose
        reading is paused, or that are not accepted because the connection limit is reached.
        """
        task = asyncio.get_running_loop().create_task(self._read_input())
        self._tasks.add(task)

        def on_done(task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            callback()

        task.add_done_callback(on_done)

    async def _read_input(self) -> None:
        """Wait until new connections with input are started, then until their input is handled."""
        deadline_ms = self.clock.now_ms() + limits.MAX_INPUT_WAIT_MS
        while self._has_unaccepted_connections and self.clock.now_ms() < deadline_ms:
            await asyncio.sleep(0)
        unread = self.accept_queue.with_input()
        while self.accept_queue.contains_any(unread) and self.clock.now_ms() < deadline_ms:
            await asyncio.sleep(0)
        await self._wait_for_transports(deadline_ms)
        for _ in range(limits.READ_TURNS):
            await asyncio.sleep(0)

    @property
    def _has_unaccepted_connections(self) -> bool:
        return self._socket is not None and not self._accept_paused and is_readable(self._socket)

    def _sweep(self) -> None:
        """Time out connections, and resume accepting, since the limit may not be reached any more."""
        now_ms = self.clock.now_ms()
        self.table.time_out(now_ms, self.draining)
        if self.memory.is_tight:
            self.table.end_quiet_lingering(now_ms)
        self._close_half_closed()
        self.input_control.end_overdue()
        self.input_control.resume(MIN_RESUMED)
        self.input_control.end_stalled([*self.table.open, *self.table.half_closed])
        self._resume_accepting()
        self._sweep_timer = self.clock.call_later(limits.SWEEP_INTERVAL_MS, self._sweep)

    def _close_half_closed(self) -> None:
        now_ms = self.clock.now_ms()
        self.overload.close_half_closed(now_ms)
        self.table.close_half_closed(now_ms)

    def stop_accepting(self) -> None:
        """Accept the connections that the kernel has queued, then close the listening socket.

        Closing the socket resets the connections in its queue, although another process of the gateway
        listens on the same address: during an upgrade, these clients would see their connections fail.
        """
        if self._socket is None:
            return
        asyncio.get_running_loop().remove_reader(self._socket)
        while is_readable(self._socket):
            try:
                sock, _ = self._socket.accept()
            except OSError:
                break  # the client has closed the connection
            self._enqueue(sock)
        if self.accept_queue and not self._start_scheduled:
            self._start_connections()
        self._socket.close()
        self._socket = None

    async def stop(self, grace_s: float) -> None:
        """Read no more, and close every connection, after waiting up to `grace_s` for pending responses."""
        end_ms = self.clock.now_ms() + grace_s * 1000
        self.stop_accepting()
        while self.accept_queue:
            self.overload.reject_or_close(self.accept_queue.pop())
        await self._end_reading(min(end_ms, self.clock.now_ms() + limits.LAST_READ_MS))
        self._log_owed("reads no more")
        while self._has_pending_response and self.clock.now_ms() < end_ms:
            await asyncio.sleep(limits.SHUTDOWN_POLL_S)
            self._close_half_closed()
        if self._has_pending_response:
            self._log_owed("closes all connections")
        await self._close_all()

    async def _end_reading(self, deadline_ms: float) -> None:
        """Answer the requests that have arrived, and read no more from any connection.

        A connection is not read any more as soon as it has no unread input: its client learns at once that
        this process is no longer the one to send to.
        """
        await self._wait_for_transports(deadline_ms)
        unread = list(self.table.open)
        while unread and self.clock.now_ms() < deadline_ms:
            arrived = [connection for connection in unread if connection.has_unread_input]
            for connection in set(unread).difference(arrived):
                connection.end_reading()
            unread = [connection for connection in arrived if connection in self.table.open]
            await asyncio.sleep(0)
        for connection in list(self.table.open):
            connection.end_reading()

    def _log_owed(self, event: str) -> None:
        """Log what this process still owes to its clients."""
        pending = sum(connection.has_pending_response for connection in self.table.open)
        undelivered = sum(connection.has_undelivered_response for connection in self.table.half_closed)
        logger.info(
            "shutdown: process %s: %d responses pending, %d not delivered, %d client connections",
            event,
            pending,
            undelivered,
            self.connections,
        )

    async def _close_all(self) -> None:
        for connection in [*self.table.open, *self.table.half_closed]:
            connection.end_reason = connection.end_reason or EndReason.SHUTDOWN
            if not connection.has_pending_response:
                connection.force_close()  # costs less than aiohttp's shutdown of a connection
        await asyncio.sleep(0)  # until these have been lost
        self._server.pre_shutdown()
        await self._server.shutdown(limits.SERVER_SHUTDOWN_TIMEOUT_S)
        self.overload.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()

    async def _wait_for_transports(self, deadline_ms: float) -> None:
        """Wait for connections that are being started; they cannot be half-closed without a transport."""
        starting = [connection for connection in self.table.open if not connection.has_transport]
        while any(connection in self.table.open and not connection.has_transport for connection in starting):
            if self.clock.now_ms() >= deadline_ms:
                break
            await asyncio.sleep(0)

    @property
    def _has_pending_response(self) -> bool:
        return self.overload.has_undelivered_response or self.table.has_pending_response
