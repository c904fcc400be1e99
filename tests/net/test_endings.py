"""Tests of races at the end of connections, requests and processes; see the table in docs/endings.md.

Each race is forced: a patch delivers data, a close or a response immediately before or after the gateway ends
something.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import os
import socket
import struct
import time
import unittest.mock
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, ClassVar

import uvloop

from shaletiller.net import connection_limits as limits
from shaletiller.net.admin import AdminServer
from shaletiller.net.client_connection import ClientConnection
from shaletiller.net.connection_state import ConnectionState
from shaletiller.net.nvme import capsules, commands
from shaletiller.net.nvme.queue import ControllerQueue
from shaletiller.net.overload_control import AcceptedSocket
from shaletiller.net.pool import UpstreamProtocol
from tests.support.scenario import SETTINGS, TIMEOUT_S, VOLUME, Scenario, key, on_settable_clock

PATCH = unittest.mock.patch


request_numbers = itertools.count(1)


def encode_request(number: int, method: str = "GET", body: bytes = b"", **changes: str) -> bytes:
    """Encode the request of a client; each has an id of its own."""
    lines = {
        "Request-Id": f"{method}-{number}-{next(request_numbers)}",
        "Request-Class": "write" if method == "PUT" else "read",
        "Tier": "basic",
        "Request-Timeout-Ms": "900",
        "Content-Length": str(len(body)),
        "IO-Info": f"volume={VOLUME},units=2,shard=1,hosts=1",
    } | {name.replace("_", "-"): value for name, value in changes.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"{method} /api?key={key(str(number))} HTTP/1.1\r\nHost: a\r\n{head}\r\n".encode() + body


ZERO_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER: enabled, with a timeout of 0


def reset(sock: socket.socket) -> None:
    """Close a socket with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
    sock.close()


def reset_stream(writer: asyncio.StreamWriter) -> None:
    """Close a stream with a reset."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
    writer.transport.abort()


def kernel_tcp_rows(port: int, column: int) -> list[list[str]]:
    """Return the rows of /proc/net/tcp with a port as the local (column 1) or remote (column 2) port."""
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return [row for row in rows if int(row[column].split(":")[1], 16) == port]


def count_connections_to(port: int) -> int:
    """Return the number of sockets of this machine that are connected or connecting to a port."""
    return len([row for row in kernel_tcp_rows(port, 2) if row[9] != "0"])


def count_connecting_to(port: int) -> int:
    """Return the number of sockets that are connecting to a port: their first SYN has been sent."""
    return len([row for row in kernel_tcp_rows(port, 2) if row[3] == "02"])


def count_queued_at(port: int) -> int:
    """Return the number of connections in the accept queue of a listening port."""
    return sum(int(row[4].split(":")[1], 16) for row in kernel_tcp_rows(port, 1) if row[3] == "0A")


async def wait_until(condition: Callable[[], object], description: str, timeout_s: float = TIMEOUT_S) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.005)
    except TimeoutError:
        raise AssertionError(f"timed out waiting for {description}") from None


async def hold_up_a_connect(scenario: Scenario) -> None:
    """Wait for an attempt, and hold the event loop up for longer than its connect timeout."""
    await wait_until(lambda: scenario.gateway.engine.attempts.in_flight, "an attempt")
    time.sleep(1.2 * scenario.gateway.config.settings.connect_timeout_ms / 1000)


class RawClient:
    """Client with a plain socket: when `send` returns, the data is in the kernel of the gateway."""

    timeout_s = TIMEOUT_S  # prevents a test from hanging

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.buffer = sock, b""
        self.head = b""  # head of the last response
        sock.setblocking(False)

    @classmethod
    async def open(cls, address: tuple[str, int]) -> RawClient:
        sock = socket.socket()
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, address)
        return cls(sock)

    def send(self, raw: bytes) -> None:
        self.sock.sendall(raw)

    async def read(self) -> bytes:
        """Read received data, b"" at the end of the stream; raises ConnectionResetError on a reset."""
        data = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(self.sock, 65536), self.timeout_s)
        self.buffer += data
        return data

    async def read_response(self) -> tuple[int, bytes]:
        """Read the next complete response.

        :returns: status and body.
        """
        while b"\r\n\r\n" not in self.buffer:
            assert await self.read(), f"connection closed within a response: {self.buffer!r}"
        head, _, rest = self.buffer.partition(b"\r\n\r\n")
        length = int(
            next(
                (
                    line.split(b":")[1]
                    for line in head.split(b"\r\n")
                    if line.lower().startswith(b"content-length:")
                ),
                b"0",
            )
        )
        while len(rest) < length:
            data = await self.read()
            assert data, f"connection closed within a response: {self.buffer!r}"
            rest += data
        self.buffer, self.head = rest[length:], head
        return int(head.split()[1]), rest[:length]

    async def expect_end(self) -> None:
        """Expect a graceful end of the connection: no further data and no reset."""
        assert await self.read() == b"", self.buffer

    def close(self) -> None:
        self.sock.close()


class RaceScenario(Scenario):
    """Base class of the tests below.  It uses uvloop, like the gateway, because it closes differently."""

    @classmethod
    def setUpClass(cls) -> None:
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())

    @classmethod
    def tearDownClass(cls) -> None:
        asyncio.set_event_loop_policy(None)

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.clients: list[RawClient] = []
        self.pending_hooks: list[list[Callable[[], object]]] = []

    async def asyncTearDown(self) -> None:
        self.assertFalse(any(self.pending_hooks), "a patched call was never made")
        for client in self.clients:
            client.close()
        await super().asyncTearDown()

    async def connect_client(self) -> RawClient:
        self.clients.append(await RawClient.open(self.gateway.http_server.address))
        return self.clients[-1]

    def hook_call(
        self,
        owner: Any,
        name: str,
        action: Callable[[], object],
        before: bool = True,
        is_match: Callable[..., bool] = lambda *values: True,
    ) -> None:
        """Call `action` once, immediately before or after the next matching call of a method of the gateway.

        :param owner: object or class that has the method.
        :param name: name of the method.
        :param before: whether to call `action` before the method.
        :param is_match: returns whether a call with the given arguments matches.
        """
        original, pending = getattr(owner, name), [action]
        self.pending_hooks.append(pending)

        def hooked(*values: Any, **named: Any) -> Any:
            runs_action = bool(pending) and is_match(*values)
            if runs_action and before:
                pending.pop()()
            result = original(*values, **named)
            if runs_action and not before:
                pending.pop()()
            return result

        self.enterContext(PATCH.object(owner, name, hooked))

    def hook_half_close(self, client: RawClient, action: Callable[[], object], before: bool = True) -> None:
        """Call `action` once when the gateway half-closes the connection of a client."""
        client_address = client.sock.getsockname()

        def is_match(connection: ClientConnection, *_: object) -> bool:
            transport = connection.transport
            return transport is not None and transport.get_extra_info("peername") == client_address

        self.hook_call(ClientConnection, "half_close", action, before, is_match)

    def hook_any_half_close(self, action: Callable[[], object]) -> None:
        """Call `action` once when the gateway half-closes any connection."""
        self.hook_call(ClientConnection, "half_close", action)

    async def serve_request(self, client: RawClient, number: int, **changes: str) -> None:
        client.send(encode_request(number, **changes))
        await self.play(f"expect n1 GET {number}\nsend n1 200 ok")
        self.assertEqual(await client.read_response(), (200, b"ok"))

    @property
    def requests_received(self) -> int:
        """Number of requests that nodes have received and no test has expected yet."""
        return sum(self.parties[name].received.qsize() for name in self.servers)

    async def retry_request(self, number: int) -> None:
        """Retry a request that was not read, as a client does, on a new connection."""
        self.assertEqual(self.requests_received, 0)
        await self.serve_request(await self.connect_client(), number)


class IdleConnections(RaceScenario):
    """Requests that arrive while their connection is closed, times out or starts."""

    async def test_a_request_that_crosses_the_close_of_an_idle_connection_is_not_read(self) -> None:
        """A client sends a request while the gateway closes its idle connection.

        The connection must end without a reset, and the request must not be read, because the client retries
        only requests that were not read.
        """
        for before in (True, False):
            with self.subTest(before=before):
                client = await self.connect_client()
                await self.serve_request(client, 1)
                self.hook_half_close(client, lambda client=client: client.send(encode_request(2)), before)
                with PATCH("shaletiller.net.connection_limits.IDLE_TIMEOUT_MS", 0.0):
                    await client.expect_end()  # a reset would discard a response in flight
                client.close()
                await self.retry_request(2)

    async def test_a_response_that_closes_its_connection_is_complete_whatever_is_sent_behind_it(self) -> None:
        """A draining gateway answers a slow client, which pipelines a request while the gateway closes.

        A close with the unread request would reset the connection and truncate the response.  The response
        must be complete, and the second request unread.
        """
        body = bytes(range(256)) * 256
        for before in (True, False):
            with self.subTest(before=before):
                client = await self.connect_client()
                client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                self.gateway.http_server.set_draining(True)
                client.send(encode_request(1))
                await self.play("expect n1 GET 1")
                self.hook_half_close(client, lambda client=client: client.send(encode_request(2)), before)
                head = f"HTTP/1.1 200 X\r\nContent-Length: {len(body)}\r\n\r\n"
                self.parties["n1"].current.write(head.encode() + body)
                self.assertEqual(await client.read_response(), (200, body))
                await client.expect_end()
                client.close()
                self.gateway.http_server.set_draining(False)
                await self.retry_request(2)

    async def test_a_response_that_closes_a_crowded_connection_is_complete(self) -> None:
        """Near its limit, the gateway closes a connection with a response; its client pipelines a request.

        The response must be complete, and the connection must end without a reset.
        """
        for before in (True, False):
            with (
                self.subTest(before=before),
                PATCH("shaletiller.net.connection_limits.NEAR_LIMIT_RATIO", 0.0),
            ):
                client = await self.connect_client()
                client.send(encode_request(1))
                await self.play("expect n1 GET 1")
                self.hook_half_close(client, lambda client=client: client.send(encode_request(2)), before)
                await self.play("send n1 200 ok")
                self.assertEqual(await client.read_response(), (200, b"ok"))
                await client.expect_end()
                client.close()
                await wait_until(
                    lambda: not self.gateway.http_server.connections, "the connection to be closed"
                )

    async def test_half_closed_connections_are_evicted_for_newcomers(self) -> None:
        """Clients keep their half-closed connections open, up to the connection limit.

        The next client must still be served: half-closed connections are evicted first, and do not count
        towards the threshold above which responses close their connections.
        """
        listener = self.gateway.http_server._listener
        self.enterContext(PATCH("shaletiller.net.connection_limits.HALF_CLOSE_TIMEOUT_MS", 60_000.0))
        self.enterContext(PATCH.object(listener.table, "max_connections", 40))
        limit = listener.table.max_started
        self.gateway.http_server.set_draining(True)
        for _ in range(limit):
            client = await self.connect_client()
            client.send(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
            self.assertEqual((await client.read_response())[0], 503)
            await client.expect_end()  # the client does not close its side
        self.assertEqual(
            (self.gateway.http_server.connections, listener.table.is_near_limit(0)), (limit, False)
        )
        self.gateway.http_server.set_draining(False)
        await self.serve_request(await self.connect_client(), 1)
        self.assertEqual(self.gateway.http_server.connections, limit)

    async def test_a_partial_request_at_the_close_of_an_idle_connection_is_ignored(self) -> None:
        """A client has sent part of a request when its idle connection is closed.

        The connection must end without a reset, and must not count against the limit any more.
        """
        client = await self.connect_client()
        await self.serve_request(client, 1)
        self.hook_half_close(client, lambda: client.send(encode_request(2)[:30]))
        with PATCH("shaletiller.net.connection_limits.IDLE_TIMEOUT_MS", 0.0):
            await client.expect_end()
        await wait_until(lambda: not self.gateway.http_server.connections, "the connection to be closed")

    async def test_a_connection_that_is_starting_as_the_process_stalls_is_answered(self) -> None:
        """The process stalls for longer than the request timeout while a connection is being started.

        The client must get its response.  Guards against clients that wait indefinitely after a stall.
        """
        listener = self.gateway.http_server._listener
        stall_ms = limits.REQUEST_TIMEOUT_MS + 1.0

        def sweep_after_stall() -> None:
            listener.table.time_out(listener.clock.now_ms() + stall_ms, draining=False)

        self.hook_call(listener, "_start_connection", sweep_after_stall, before=False)
        client = await self.connect_client()
        await self.serve_request(client, 1)

    async def test_a_request_received_during_a_stall_is_not_timed_out(self) -> None:
        """The process stalls for longer than the request timeout after reading half of a request head.

        The rest arrives during the stall.  Guards against a 408 for a client that sent its request in time.
        """
        listener, client = self.gateway.http_server._listener, await self.connect_client()
        request = encode_request(1)
        client.send(request[:40])
        await wait_until(
            lambda: (
                [connection.state for connection in listener.table.open] == [ConnectionState.READING_HEAD]
            ),
            "the first half to be read",
        )
        client.send(request[40:])  # unread until this test yields to the event loop
        listener.table.time_out(listener.clock.now_ms() + limits.REQUEST_TIMEOUT_MS + 1.0, draining=False)
        await self.play("expect n1 GET 1\nsend n1 200 ok")
        self.assertEqual(await client.read_response(), (200, b"ok"))

    @on_settable_clock
    async def test_a_body_received_during_a_stall_is_not_timed_out(self) -> None:
        """The process stalls for longer than the request timeout after reading half of a body.

        The rest arrives during the stall.  Guards against a 408 for a client that sent its body in time; a
        client that sends no more must still get a 408.
        """
        client, late = await self.connect_client(), await self.connect_client()
        request = encode_request(1, "PUT", b"0123456789", Request_Timeout_Ms="5000")
        for sender in (client, late):
            sender.send(request[:-5])
        listener = self.gateway.http_server._listener
        await wait_until(
            lambda: [connection.state for connection in listener.table.open] == [ConnectionState.ACTIVE] * 2,
            "the first halves to be read",
        )
        await self.wait(0.0)  # both handlers now wait for their bodies
        client.send(request[-5:])  # unread until this test yields to the event loop
        await self.wait(limits.REQUEST_TIMEOUT_MS + 1.0)
        await self.play("expect n1 PUT 1 0123456789\nsend n1 200 ok")
        self.assertEqual(await client.read_response(), (200, b"ok"))
        self.assertEqual((await late.read_response())[0], 408)

    async def test_a_connection_that_is_starting_is_not_evicted(self) -> None:
        """The connection limit is reached, and the oldest connection is being started.

        It must not be evicted: a connection without a transport cannot be closed, so its client would wait.
        """
        listener = self.gateway.http_server._listener
        evicted: list[bool] = []

        def evict() -> None:
            evicted.append(listener.table.evict(listener.clock.now_ms() + limits.REQUEST_TIMEOUT_MS))

        self.hook_call(listener, "_start_connection", evict, before=False)
        client = await self.connect_client()
        await self.serve_request(client, 1)
        self.assertEqual(evicted, [False])

    async def test_a_client_that_never_closes_a_half_closed_connection_holds_no_place(self) -> None:
        """A client does not close a connection that the gateway has half-closed.

        The gateway must close it after a timeout; otherwise such clients would use up its file descriptors.
        """
        client = await self.connect_client()
        await self.serve_request(client, 1)
        with PATCH("shaletiller.net.connection_limits.IDLE_TIMEOUT_MS", 0.0):
            await client.expect_end()
        self.assertEqual(self.gateway.http_server.connections, 1)  # the gateway waits for the client to close
        await wait_until(lambda: not self.gateway.http_server.connections, "the timeout of the connection")

    async def test_a_request_timeout_response_reaches_a_client_that_is_still_sending(self) -> None:
        """A client sends its request head too slowly and continues sending when it gets a 408.

        A close with unread input would reset the connection.  The client must read the 408, and the lingering
        close must end.
        """
        with PATCH("shaletiller.net.connection_limits.REQUEST_TIMEOUT_MS", 100.0):
            client = await self.connect_client()
            self.hook_call(ClientConnection, "time_out", lambda: client.send(b"x" * 1000))
            client.send(b"GET /api?key=5 HTTP/1.1\r\nx: ")
            self.assertEqual((await client.read_response())[0], 408)
            client.send(b"y" * 1000)
            await client.expect_end()
            client.close()
            await wait_until(
                lambda: not self.gateway.http_server.connections, "the end of the lingering close"
            )
        await wait_until(
            lambda: not self.gateway.http_server._listener._tasks, "the end of the lingering task"
        )

    async def test_an_unread_rejection_reaches_a_client_that_is_still_sending(self) -> None:
        """Under overload, the request of a new connection is rejected unread; its client is still sending.

        The client must read the 503 and the end of the stream without a reset, and no node may get the
        request.
        """
        for name in ("OVERLOAD_AFTER_MS", "MAX_QUEUE_AGE_MS"):
            self.enterContext(PATCH(f"shaletiller.net.connection_limits.{name}", 0.0))
        self.enterContext(PATCH("shaletiller.net.connection_limits.STARTS_PER_TURN", 0))
        listener, client = self.gateway.http_server._listener, await self.connect_client()
        client.send(encode_request(1, "PUT", b"x" * 60000))
        # This data is sent after the part of the request that is read.
        self.hook_call(listener.overload, "_retry_after_allowed", lambda: client.send(b"y" * 1000))
        self.assertEqual((await client.read_response())[0], 503)
        await client.expect_end()
        client.close()
        await wait_until(lambda: not listener.overload, "the rejected connection to be closed")
        self.assertEqual(self.requests_received, 0)


class Shutdown(RaceScenario):
    """Shutdown with pending responses."""

    def stop(self) -> asyncio.Task[None]:
        return asyncio.ensure_future(self.gateway.stop())

    async def test_a_request_that_crosses_the_end_is_not_read_and_an_earlier_one_is_answered(self) -> None:
        """At shutdown, one client sends a request before the last responses, another when it is closed.

        The first request may be rejected or left unread, the second must be left unread, and neither may
        reach a node.
        """
        for before in (True, False):
            with self.subTest(before=before):
                client, other = await self.connect_client(), await self.connect_client()
                await self.serve_request(client, 1)
                await self.serve_request(other, 2)
                # `other` sends a request when the gateway closes its idle connection.
                self.hook_half_close(other, lambda client=other: client.send(encode_request(3)), before)
                # `client` sends one before that: if it is read, it is answered but not forwarded to a node.
                self.hook_call(
                    self.gateway.http_server,
                    "close_after_responses",
                    lambda client=client: client.send(encode_request(4)),
                    before,
                )
                await asyncio.wait_for(self.stop(), TIMEOUT_S)
                await other.expect_end()
                received = await client.read()
                self.assertTrue(received == b"" or received.startswith(b"HTTP/1.1 503 "), received)
                self.assertEqual(self.requests_received, 0)
                await self.asyncTearDown()
                await self.asyncSetUp()

    async def test_requests_queued_in_progress_or_half_received_at_shutdown_are_answered(self) -> None:
        """SIGTERM is received while requests are queued, at nodes, half received, or half answered.

        Each must get its response before the process ends: 502 if it may have run, 503 if it certainly has
        not.
        """
        names = ("queued", "at_node", "half_request", "half_response", "unanswered")
        clients = {name: await self.connect_client() for name in names}
        clients["at_node"].send(encode_request(1, Request_Timeout_Ms="5000"))
        await self.play("expect n1 GET 1")
        at_node = self.parties["n1"].current
        clients["half_response"].send(encode_request(2, "PUT", b"b", Request_Timeout_Ms="5000"))
        await self.play("expect n1 PUT 2 b")
        half_response = self.parties["n1"].current
        half_response.write(b"HTTP/1.1 200 X\r\nContent-Le")
        clients["unanswered"].send(encode_request(3, "PUT", b"c", Request_Timeout_Ms="5000"))
        await self.play("expect n1 PUT 3 c")  # the node never answers it
        complete = encode_request(4, "PUT", b"0123456789", Request_Timeout_Ms="5000")
        clients["half_request"].send(complete[:-5])
        # It is queued, because no node has the shard.
        clients["queued"].send(
            encode_request(5, IO_Info=f"volume={VOLUME},units=2,shard=7,hosts=1", Request_Timeout_Ms="5000")
        )
        await wait_until(lambda: len(self.gateway.engine.exchanges) == 4, "all requests to be in progress")
        stop = self.stop()
        await wait_until(lambda: self.gateway._stopping, "the shutdown to start")
        clients["half_request"].send(complete[-5:])
        await self.play("expect n1 PUT 4 0123456789\nsend n1 200 body")
        self.assertEqual(await clients["half_request"].read_response(), (200, b"body"))
        at_node.write(b"HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\nout")
        half_response.write(b"ngth: 6\r\n\r\nanswer")
        self.assertEqual(await clients["at_node"].read_response(), (200, b"out"))
        self.assertEqual(await clients["half_response"].read_response(), (200, b"answer"))
        self.assertEqual((await clients["unanswered"].read_response())[0], 502)  # it may have run
        self.assertEqual((await clients["queued"].read_response())[0], 503)
        for client in clients.values():
            await client.expect_end()
        await asyncio.wait_for(stop, TIMEOUT_S)
        self.assertEqual(
            (self.gateway.engine.exchanges, self.gateway.engine.attempts.in_flight, self.requests_received),
            ({}, {}, 0),
        )

    async def test_clients_that_send_until_the_end_lose_no_request(self) -> None:
        """Clients send one request after another until the shutdown closes their connections.

        The only request of each client that gets no response must not have reached a node.
        """
        answered, unread = [], []

        async def send_until_closed(number: int) -> None:
            client = await self.connect_client()
            for index in range(10_000):
                name = f"GET-{number}-{index}"
                try:
                    client.send(encode_request(index, Request_Id=name))
                    status, _ = await client.read_response()
                except (AssertionError, OSError):
                    unread.append(name)
                    return
                answered.append(status)

        async def respond(node: Any, received: Any) -> None:
            received[3].write(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok")

        self.parties["n1"].script = respond
        clients = [asyncio.ensure_future(send_until_closed(number)) for number in range(8)]
        await wait_until(lambda: len(answered) > 40, "responses")
        await asyncio.wait_for(self.stop(), TIMEOUT_S)
        await asyncio.wait_for(asyncio.gather(*clients), TIMEOUT_S)
        self.assertEqual(len(unread), 8)
        received = set(self.parties["n1"].request_ids)
        # No request was forwarded without getting a response.
        self.assertEqual([request_id for request_id in unread if request_id in received], [])

    async def test_a_request_whose_head_is_half_received_at_the_end_is_rejected(self) -> None:
        """A client has sent half of a request head when the process shuts down, and then sends the rest.

        It must get a 503 and an end without a reset.  Guards against a reset instead of a response at a
        restart.
        """
        client = await self.connect_client()
        request = encode_request(1)
        client.send(request[:40])
        table = self.gateway.http_server._listener.table
        await wait_until(
            lambda: [connection.state for connection in table.open] == [ConnectionState.READING_HEAD],
            "the first half to be read",
        )
        self.hook_call(
            self.gateway.http_server._listener._server,
            "pre_shutdown",
            lambda: client.send(request[40:]),
            False,
        )
        await asyncio.wait_for(self.stop(), TIMEOUT_S)
        self.assertEqual((await client.read_response())[0], 503)
        await client.expect_end()
        self.assertEqual(self.requests_received, 0)

    async def test_accepted_connections_not_started_at_shutdown_are_rejected(self) -> None:
        """A connection with a request is in the accept queue when the process shuts down.

        Its client must get a 503 and an end without a reset.
        """
        listener, client = self.gateway.http_server._listener, await self.connect_client()
        await wait_until(lambda: not listener.accept_queue, "the first connection to be started")
        self.enterContext(PATCH.object(listener, "_start_connections", lambda: None))
        late = await self.connect_client()
        late.send(encode_request(1))
        await wait_until(lambda: listener.accept_queue, "the new connection")
        await asyncio.wait_for(self.stop(), TIMEOUT_S)
        self.assertEqual((await late.read_response())[0], 503)
        await late.expect_end()
        await client.expect_end()
        self.assertEqual(self.requests_received, 0)

    async def test_a_connection_that_is_starting_at_shutdown_is_half_closed_unread(self) -> None:
        """A connection is being started, and has no transport yet, when the listener stops.

        It must be half-closed once it has a transport, and the request that its client sends then must not be
        read.
        """
        listener = self.gateway.http_server._listener
        late: list[RawClient] = []

        def start_connection() -> None:
            with socket.create_server(("127.0.0.1", 0)) as server:
                client_sock = socket.create_connection(server.getsockname())
                accepted_sock, _ = server.accept()
            accepted_sock.setblocking(False)
            late.append(RawClient(client_sock))
            listener._start_connection(AcceptedSocket(listener.clock.now_ms(), accepted_sock))

        self.hook_call(
            listener,
            "stop_accepting",
            start_connection,
            before=False,
            is_match=lambda: self.gateway.http_server._closing,
        )
        self.hook_any_half_close(lambda: late[0].send(encode_request(1)))
        await asyncio.wait_for(self.stop(), TIMEOUT_S)
        await late[0].expect_end()
        self.assertEqual((self.requests_received, self.gateway.engine.counters), (0, {}))
        late[0].close()


class ClientLeaves(RaceScenario):
    """A client disconnects while its request waits: the request must not be forwarded."""

    async def disconnect_before_forwarding(
        self, client: RawClient, disconnect: Callable[[], None], add_node: Callable[[], Awaitable[None]]
    ) -> None:
        disconnect()
        await wait_until(lambda: not self.gateway.engine.exchanges, "the close was seen")
        await add_node()
        await asyncio.sleep(0.05)  # time for a request to be forwarded by mistake
        self.assertEqual(self.requests_received, 0)

    async def test_while_it_is_queued(self) -> None:
        """A client closes, resets or half-closes its connection while its request waits for a node.

        The request must not be forwarded when a node becomes available.
        """
        for shard, how in ((3, "close"), (4, "reset"), (5, "half")):
            with self.subTest(how):
                client = await self.connect_client()
                # It is queued until a node has the shard.
                client.send(
                    encode_request(
                        1, IO_Info=f"volume={VOLUME},units=2,shard={shard},hosts=1", Request_Timeout_Ms="5000"
                    )
                )
                await wait_until(lambda: self.gateway.engine.exchanges, "the request")
                disconnections = {
                    "close": client.close,
                    "reset": lambda client=client: reset(client.sock),
                    "half": lambda client=client: client.sock.shutdown(socket.SHUT_WR),
                }

                async def add_node(shard: int = shard) -> None:
                    await self.party(f"n{shard}")
                    await self.play(f"send d n{shard}=active")

                await self.disconnect_before_forwarding(client, disconnections[how], add_node)
                self.assertEqual(self.parties[f"n{shard}"].received.qsize(), 0)

    async def test_while_it_is_pipelined_behind_another_request(self) -> None:
        """A client pipelines two requests and disconnects.

        The attempt of the first request must be cancelled, and the second must never be forwarded.
        """
        client = await self.connect_client()
        client.send(
            encode_request(1, Request_Timeout_Ms="5000") + encode_request(2, Request_Timeout_Ms="5000")
        )
        await self.play("expect n1 GET 1")
        client.close()
        await self.play("expect n1 closed")
        await asyncio.sleep(0.05)
        self.assertEqual((self.requests_received, self.gateway.engine.exchanges), (0, {}))

    async def leave_while_reading_is_paused(self, behind: bytes) -> None:
        """Send a write and `behind` it input that pauses reading, then leave before the write is answered.

        A close, a reset and a half-close each have to cancel the attempt and to end the connection.
        """
        connections = self.gateway.http_server._listener.table.open

        def reading_is_paused() -> bool:
            return any(connection._buffer_paused or connection._reading_paused for connection in connections)

        for how in ("close", "reset", "half"):
            with self.subTest(how):
                client = await self.connect_client()
                client.send(encode_request(1, "PUT", b"x", Request_Timeout_Ms="5000") + behind)
                await self.play("expect n1 PUT 1 x")
                await wait_until(reading_is_paused, "reading is paused")
                if how == "half":
                    client.sock.shutdown(socket.SHUT_WR)
                else:
                    (reset if how == "reset" else socket.socket.close)(client.sock)
                await self.play(f"wait {limits.SWEEP_INTERVAL_MS:.0f}")
                await self.play("expect n1 closed")
                await wait_until(lambda: not connections, "the end of the connection")
                self.assertEqual((self.requests_received, self.gateway.engine.exchanges), (0, {}))

    @on_settable_clock
    async def test_while_more_requests_are_pipelined_than_are_read(self) -> None:
        """Guards against a close that is not seen because the pipelined requests have paused reading."""
        await self.leave_while_reading_is_paused(
            b"".join(
                encode_request(number, "PUT", b"x", Request_Timeout_Ms="5000") for number in range(2, 42)
            )
        )

    @on_settable_clock
    async def test_while_a_large_body_is_pipelined(self) -> None:
        """Guards against a close that is not seen because a body in the queue has paused reading."""
        await self.leave_while_reading_is_paused(encode_request(2, "PUT", bytes(128 << 10)))

    async def test_as_the_connection_to_its_node_comes_up(self) -> None:
        """A client disconnects when the connection for its request is established.

        The node must not get the request, and the connection must be closed.
        """
        client, engine = await self.connect_client(), self.gateway.engine
        self.hook_call(
            UpstreamProtocol,
            "connection_made",
            lambda: [engine.on_client_disconnected(exchange) for exchange in list(engine.exchanges.values())],
        )
        client.send(encode_request(1, "PUT", b"x", Request_Timeout_Ms="5000"))
        await wait_until(lambda: engine.counters.get("left"), "the disconnect")
        await wait_until(lambda: not engine.attempts.in_flight, "the end of the attempt")
        node = self.parties["n1"]
        await wait_until(lambda: node.writers, "the connection")
        await wait_until(lambda: all(writer.transport.is_closing() for writer in node.writers), "its close")
        self.assertEqual((self.requests_received, node.request_ids), (0, []))

    async def test_before_a_retry(self) -> None:
        """A client disconnects between a failed connect and the retry.

        The node, which is reachable again, must not get the request.
        """
        client = await self.connect_client()
        await self.play("close n1 listener")
        client.send(encode_request(1, "PUT", b"x", Request_Timeout_Ms="5000"))
        await wait_until(
            lambda: self.gateway.engine.counters.get("attempt.connect_failed"), "the failed attempt"
        )
        client.close()
        await wait_until(lambda: not self.gateway.engine.exchanges, "the close was seen")
        await self.parties["n1"].start()  # it is reachable again on the same port
        await asyncio.sleep(0.3)
        self.assertEqual((self.requests_received, self.parties["n1"].request_ids), (0, []))


class AdminConnections(RaceScenario):
    """Admin commands: clients that send extra data, and clients at shutdown."""

    async def send_line(self, line: bytes) -> RawClient:
        assert self.gateway.admin is not None
        self.clients.append(await RawClient.open(self.gateway.admin.address))
        self.clients[-1].send(line)
        return self.clients[-1]

    async def test_a_response_is_complete_whatever_the_caller_sends_behind_its_line(self) -> None:
        """A client sends data after its line while the command runs.

        A close with unread input would reset the connection; the client must read the complete response.
        """
        admin_client = await self.send_line(b"")
        # The line fills the read buffer, so data that arrives while the command runs stays in the kernel.
        self.hook_call(self.gateway.admin, "execute", lambda: admin_client.send(b"x" * 1000))
        admin_client.send(b"READY\n" + b"x" * 1000)
        while await admin_client.read():
            pass
        self.assertEqual(admin_client.buffer, b"done yes\n")

    async def test_a_command_in_progress_at_shutdown_gets_its_response(self) -> None:
        """The process shuts down while a command is in progress.

        The client must get the response before the tasks of the event loop are cancelled.
        """
        admin, released = self.gateway.admin, asyncio.Event()
        assert admin is not None

        async def respond_late() -> list[str]:
            await released.wait()
            return ["late"]

        admin._commands["LATE"] = lambda arguments: respond_late()
        admin_client = await self.send_line(b"LATE\n")
        await wait_until(lambda: admin._connection_tasks, "the command")
        stop = asyncio.ensure_future(admin.stop())
        await asyncio.sleep(0)
        released.set()
        await stop
        for task in asyncio.all_tasks():  # as at the end of the event loop
            if task.get_coro().__qualname__ == AdminServer._handle_connection.__qualname__:
                task.cancel()
        while await admin_client.read():
            pass
        self.assertEqual(admin_client.buffer, b"done late\n")

    async def test_a_command_that_outlasts_the_shutdown_gets_an_error_and_an_idle_caller_its_end(
        self,
    ) -> None:
        """The process ends while a command waits for something that never comes, and a caller sends nothing.

        Guards against a command that is read and has no response.
        """
        admin = self.gateway.admin
        assert admin is not None
        admin._commands["NEVER"] = lambda arguments: asyncio.get_running_loop().create_future()
        admin_client, idle = await self.send_line(b"NEVER\n"), await self.send_line(b"")
        await wait_until(lambda: admin._running and admin._waiting, "the command")
        await asyncio.wait_for(admin.stop(), TIMEOUT_S)
        while await admin_client.read():
            pass
        self.assertEqual(admin_client.buffer, b"error the process ends\n")
        self.assertFalse(admin._connection_tasks)
        with contextlib.suppress(OSError):
            self.assertEqual(await idle.read(), b"")


class NvmeShutdown(RaceScenario):
    """Shutdown with NVMe over TCP hosts."""

    async def test_a_command_that_outlasts_the_shutdown_has_its_completion(self) -> None:
        """A node never answers the command of an NVMe host, and the process shuts down.

        The host must get a completion with Do Not Retry before the server stops.
        """
        await self.play("send v1 write 5 data\nexpect n1 PUT 5")  # the node never answers
        busy_at_stop: list[bool] = []
        self.hook_call(self.gateway.nvme, "stop", lambda: busy_at_stop.append(self.gateway.nvme.busy))
        stop = asyncio.ensure_future(self.gateway.stop())
        await self.play("expect v1 write_fault dnr")
        await asyncio.wait_for(stop, TIMEOUT_S)
        self.assertEqual(busy_at_stop, [False])  # no command is pending when the server stops

    async def test_a_completion_arrives_though_its_host_is_still_sending_at_the_close(self) -> None:
        """A host sends a command while its connection is closed.

        The completion in flight must arrive, and the connection must end without a reset.
        """
        host = await self.party("v1")
        await self.play("send v1 read 5\nexpect n1 GET 5")
        queue = (await host.associate()).io
        flush = commands.encode_command(commands.IoOpcode.FLUSH, queue.next_command_id(), 1)
        sock = queue._stream._writer.transport.get_extra_info("socket")
        # Sent after the last completion, and unread when the first connection ends.
        self.hook_call(
            ControllerQueue, "end", lambda: os.write(sock.fileno(), capsules.command_capsule(flush))
        )
        stop = asyncio.ensure_future(self.gateway.stop())
        await self.play("expect v1 interrupted")
        self.assertIsNone(await queue._stream.receive(TIMEOUT_S))  # end of the stream, without a reset
        await asyncio.wait_for(stop, TIMEOUT_S)

    async def test_a_command_that_is_read_as_the_process_ends_has_its_completion(self) -> None:
        """A host sends a Read after the last commands were completed, and before its connection is closed.

        It must be completed, and not forwarded.  Guards against a command that is read when nobody is left to
        execute it.
        """
        host = await self.party("v1")
        await self.play("send v1 read 5\nexpect n1 GET 5\nsend n1 200 ok\nexpect v1 ok")
        queue = (await host.associate()).io
        late = commands.encode_io_command(
            commands.IoOpcode.READ, queue.next_command_id(), 1, 6, 1, self.nvme_block_bytes, False
        )
        sock = queue._stream._writer.transport.get_extra_info("socket")
        self.hook_call(
            self.gateway.engine,
            "respond_to_all",
            lambda: os.write(sock.fileno(), capsules.command_capsule(late)),
            False,
        )
        host.result = asyncio.ensure_future(queue.receive_response(queue._command_id, b"", 4096))
        stop = asyncio.ensure_future(self.gateway.stop())
        await self.play("expect v1 interrupted")
        await asyncio.wait_for(stop, TIMEOUT_S)
        self.assertEqual(self.requests_received, 0)

    async def test_a_command_whose_host_has_left_is_not_forwarded(self) -> None:
        """An NVMe host disconnects between a failed attempt and the retry.

        The node, which is reachable again, must not get the command.
        """
        await self.play("close n1 listener\nsend v1 write 5 data")
        await wait_until(
            lambda: self.gateway.engine.counters.get("attempt.connect_failed"), "the failed attempt"
        )
        await self.play("close v1")
        await wait_until(lambda: not self.gateway.engine.exchanges, "the close was seen")
        await self.parties["n1"].start()
        await asyncio.sleep(0.3)
        self.assertEqual((self.requests_received, self.parties["n1"].request_ids), (0, []))


class FullQueue(RaceScenario):
    """Connections to a node that are established late or never.

    The accept queue of the node is full: the kernel drops a SYN, and the gateway's kernel retransmits it
    after 1 s.
    """

    settings: ClassVar[dict[str, Any]] = {
        **SETTINGS,
        "limits": {**SETTINGS["limits"], "connect-timeout-ms": 3000.0},
    }

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        node = self.parties["n1"]
        await node.close("listener")
        await node.server.wait_closed()
        self.port = node.port
        self.listener = socket.create_server(("127.0.0.1", node.port), backlog=0)
        self.fillers: list[socket.socket] = []
        self.accepted: list[socket.socket] = []
        await self.fill_queue()

    async def asyncTearDown(self) -> None:
        for sock in (self.listener, *self.fillers, *self.accepted):
            sock.close()
        await super().asyncTearDown()

    async def fill_queue(self) -> None:
        self.fillers.append(socket.create_connection(self.listener.getsockname()))
        await wait_until(lambda: count_queued_at(self.port) == 1, "the full queue")

    def accept_queued(self) -> None:
        """Accept a connection from the queue, so that the next SYN is accepted."""
        self.accepted.append(self.listener.accept()[0])

    async def accept_next(self) -> socket.socket:
        self.listener.setblocking(False)
        sock, _ = await asyncio.wait_for(asyncio.get_running_loop().sock_accept(self.listener), TIMEOUT_S)
        sock.setblocking(False)
        self.accepted.append(sock)
        return sock


class LateConnections(FullQueue):
    async def test_one_that_comes_up_late_serves_the_request_once(self) -> None:
        """A connection to a node is established only by the second SYN.

        The request must be served on it once.
        """
        client = await self.connect_client()
        client.send(encode_request(1, "PUT", b"x", Request_Id="PUT-1", Request_Timeout_Ms="5000"))
        await wait_until(lambda: count_connecting_to(self.port) == 1, "the attempt")
        self.accept_queued()
        sock = await self.accept_next()  # 1 s after the first SYN
        raw = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 9999), TIMEOUT_S)
        self.assertIn(b"Request-Id: PUT-1\r\n", raw)
        sock.sendall(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok")
        self.assertEqual(await client.read_response(), (200, b"ok"))
        self.assertEqual(self.gateway.engine.counters.get("attempt.ok"), 1)
        self.assertEqual(count_connections_to(self.port), 2)  # this one and the filler

    async def test_one_that_is_not_up_in_time_is_abandoned(self) -> None:
        """A deadline expires, and a client disconnects, before a connection to the node is established.

        Both attempts must end, and the kernel must not continue connecting for them.
        """
        slow, disconnected = await self.connect_client(), await self.connect_client()
        slow.send(encode_request(1, "PUT", b"x", Request_Timeout_Ms="300"))
        disconnected.send(encode_request(2, "PUT", b"y", Request_Timeout_Ms="5000"))
        await wait_until(lambda: count_connecting_to(self.port) == 2, "both attempts")
        disconnected.close()
        self.assertEqual((await slow.read_response())[0], 502)  # a timeout does not prove that it has not run
        slow.close()
        await wait_until(lambda: not self.gateway.engine.attempts.in_flight, "the end of both attempts")
        self.accept_queued()
        self.accepted.pop().close()
        self.fillers.pop().close()
        await wait_until(
            lambda: not self.gateway.http_server.connections, "the client connections to be closed"
        )
        self.assertEqual(count_connections_to(self.port), 0)
        self.listener.settimeout(1.5)  # the SYN would be retransmitted after 1 s
        with self.assertRaises(TimeoutError):
            await asyncio.get_running_loop().run_in_executor(None, self.listener.accept)

    async def test_one_that_never_comes_up_is_a_failed_connect(self) -> None:
        """A connection to a node is never established.

        The outcome must be a failed connect, so that the write, which has certainly not run, gets a 503.
        """
        client = await self.connect_client()
        with PATCH.object(self.gateway._http, "_settings", self.replace_settings(connect_timeout_ms=100.0)):
            client.send(encode_request(1, "PUT", b"x", Request_Timeout_Ms="400"))
            self.assertEqual((await client.read_response())[0], 503)
        counts = self.gateway.engine.counters
        self.assertGreaterEqual(counts.get("attempt.connect_failed", 0), 1)
        self.assertIsNone(counts.get("attempt.reset"))

    def replace_settings(self, **changes: Any) -> Any:
        return dataclasses.replace(self.gateway.config.settings, **changes)


class ShortWindow(FullQueue):
    """Retries of requests that may have run, on connections established after the deduplication window."""

    settings: ClassVar[dict[str, Any]] = {
        **SETTINGS,
        "classes": [
            SETTINGS["classes"][0],
            {
                **SETTINGS["classes"][1],
                "effect": "idempotency_key",
                "dedup-scope": "all",
                "key-ttl-ms": 400.0,
            },
        ],
        "limits": {**SETTINGS["limits"], "connect-timeout-ms": 3000.0},
    }

    async def test_a_retry_is_not_written_after_its_deduplication_window(self) -> None:
        """A write with a key may have run, and its retry connects only after the deduplication window.

        The retry must not be sent: the node would not recognise the key, and would run the write twice.
        """
        client = await self.connect_client()
        first = await self.first_attempt(client)
        reset(first)  # the request may have run; a retry may start within 400 ms
        await wait_until(lambda: count_connecting_to(self.port) == 1, "the retry")
        self.accept_queued()  # the connection would be established after 1 s
        self.listener.settimeout(1.5)
        with self.assertRaises(TimeoutError):
            await asyncio.get_running_loop().run_in_executor(None, self.listener.accept)
        # All nodes share the keys, so a rejection is safe.
        self.assertEqual((await client.read_response())[0], 503)

    async def first_attempt(self, client: RawClient) -> socket.socket:
        self.accept_queued()
        client.send(encode_request(1, "PUT", b"x", Idempotency_Key="k", Request_Timeout_Ms="2500"))
        first = await self.accept_next()
        raw = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(first, 9999), TIMEOUT_S)
        self.assertIn(b"Idempotency-Key: k\r\n", raw)
        await self.fill_queue()
        return first
