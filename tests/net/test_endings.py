"""Every way in which something ends, forced to cross what is still pending; see the table in docs/endings.md.

A crossing is forced and not hoped for: a patch lets a byte, a close or an answer come in the very moment in
which the gateway ends something, before or after that.
"""

from __future__ import annotations

import asyncio
import dataclasses
import os
import socket
import struct
import unittest.mock
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, ClassVar

import uvloop

from shaletiller.net import connection_limits as limits
from shaletiller.net.admin import AdminServer
from shaletiller.net.client_connection import ClientConnection, ConnectionState
from shaletiller.net.nvme import capsules, commands
from shaletiller.net.nvme.queue import ControllerQueue
from shaletiller.net.overload_control import AcceptedSocket
from shaletiller.net.pool import UpstreamProtocol
from tests.support.scenario import SETTINGS, TIMEOUT_S, VOLUME, Scenario, key, on_settable_clock

PATCH = unittest.mock.patch


def encode_request(number: int, method: str = "GET", body: bytes = b"", **changes: str) -> bytes:
    """Encode a client's request."""
    lines = {
        "Request-Id": f"{method}-{number}",
        "Request-Class": "write" if method == "PUT" else "read",
        "Tier": "basic",
        "Request-Timeout-Ms": "900",
        "Content-Length": str(len(body)),
        "IO-Info": f"volume={VOLUME},units=2,shard=1,hosts=1",
    } | {name.replace("_", "-"): value for name, value in changes.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"{method} /api?key={key(str(number))} HTTP/1.1\r\nHost: a\r\n{head}\r\n".encode() + body


RESETS = struct.pack("ii", 1, 0)  # SO_LINGER: on, for no time


def reset(sock: socket.socket) -> None:
    """Close with a reset, whatever is still in flight."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETS)
    sock.close()


def reset_stream(writer: asyncio.StreamWriter) -> None:
    """Close a stream of the event loop with a reset."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETS)
    writer.transport.abort()


def tcp(port: int, column: int) -> list[list[str]]:
    """The kernel's rows of connections with that port: from it (1) or to it (2)."""
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return [row for row in rows if int(row[column].split(":")[1], 16) == port]


def connections_to(port: int) -> int:
    """How many descriptors of this machine are connected to that port, or connecting."""
    return len([row for row in tcp(port, 2) if row[9] != "0"])


def connecting_to(port: int) -> int:
    """How many of them are not up: their first SYN has been sent."""
    return len([row for row in tcp(port, 2) if row[3] == "02"])


def queued_at(port: int) -> int:
    """How many connections wait in that listener's queue."""
    return sum(int(row[4].split(":")[1], 16) for row in tcp(port, 1) if row[3] == "0A")


async def until(holds: Callable[[], object], what: str) -> None:
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while not holds():
                await asyncio.sleep(0.005)
    except TimeoutError:
        raise AssertionError(f"timed out waiting for {what}") from None


class RawClient:
    """A client that is a bare socket: what `send` sent is in the other side's kernel when it returns."""

    timeout_s = TIMEOUT_S  # a guard against a test that hangs

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.got = sock, b""
        self.head = b""  # of the last response
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
        """Read what has arrived, b"" at the end; a reset raises ConnectionResetError."""
        found = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(self.sock, 65536), self.timeout_s)
        self.got += found
        return found

    async def answer(self) -> tuple[int, bytes]:
        """Read the next complete response: its status and body."""
        while b"\r\n\r\n" not in self.got:
            assert await self.read(), f"ended within {self.got!r}"
        head, _, rest = self.got.partition(b"\r\n\r\n")
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
            found = await self.read()
            assert found, f"ended within {self.got!r}"
            rest += found
        self.got, self.head = rest[length:], head
        return int(head.split()[1]), rest[:length]

    async def end(self) -> None:
        """Expect the end of the connection in order: no further byte and no reset."""
        assert await self.read() == b"", self.got

    def close(self) -> None:
        self.sock.close()


class RaceScenario(Scenario):
    """What the tests below share.  They run on uvloop, as the program does: it closes differently."""

    @classmethod
    def setUpClass(cls) -> None:
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())

    @classmethod
    def tearDownClass(cls) -> None:
        asyncio.set_event_loop_policy(None)

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.wires: list[RawClient] = []
        self.crossings: list[list[Callable[[], object]]] = []

    async def asyncTearDown(self) -> None:
        self.assertFalse(any(self.crossings), "a crossing was not met")
        for wire in self.wires:
            wire.close()
        await super().asyncTearDown()

    async def wire(self) -> RawClient:
        self.wires.append(await RawClient.open(self.gateway.http_server.address))
        return self.wires[-1]

    def at(
        self,
        owner: Any,
        name: str,
        act: Callable[[], object],
        before: bool = True,
        which: Callable[..., bool] = lambda *values: True,
    ) -> None:
        """Call `act` once, right before or after the next call of this method of the gateway.

        :param which: of its arguments: whether this is the call.
        """
        real, left = getattr(owner, name), [act]
        self.crossings.append(left)

        def crossed(*values: Any, **named: Any) -> Any:
            crosses = bool(left) and which(*values)
            if crosses and before:
                left.pop()()
            found = real(*values, **named)
            if crosses and not before:
                left.pop()()
            return found

        self.enterContext(PATCH.object(owner, name, crossed))

    def at_close(self, wire: RawClient, act: Callable[[], object], before: bool = True) -> None:
        """Call `act` once as the gateway half-closes this client's connection."""
        mine = wire.sock.getsockname()

        def which(connection: ClientConnection) -> bool:
            transport = connection.transport
            return transport is not None and transport.get_extra_info("peername") == mine

        self.at(ClientConnection, "half_close", act, before, which)

    def at_any_close(self, act: Callable[[], object]) -> None:
        """Call `act` once as the gateway half-closes any connection."""
        self.at(ClientConnection, "half_close", act)

    async def served(self, wire: RawClient, number: int, **changes: str) -> None:
        wire.send(encode_request(number, **changes))
        await self.play(f"expect n1 GET {number}\nsend n1 200 ok")
        self.assertEqual(await wire.answer(), (200, b"ok"))

    @property
    def requests_received(self) -> int:
        """How many requests have reached a node and were not expected yet."""
        return sum(self.parties[name].received.qsize() for name in self.servers)

    async def retried(self, number: int) -> None:
        """Do what a client does whose request was not read: retry it on a new connection."""
        self.assertEqual(self.requests_received, 0)
        await self.served(await self.wire(), number)


class IdleConnections(RaceScenario):
    """An idle connection, and a request that arrives as it is closed."""

    async def test_a_request_that_crosses_the_close_of_an_idle_connection_is_not_read(self) -> None:
        """The gateway closes an idle connection in the moment in which its client sends a request.

        The connection must end without a reset and the request must not be read: its client retries only what
        was not read.
        """
        for before in (True, False):
            with self.subTest(before=before):
                wire = await self.wire()
                await self.served(wire, 1)
                self.at_close(wire, lambda wire=wire: wire.send(encode_request(2)), before)
                with PATCH("shaletiller.net.connection_limits.IDLE_TIMEOUT_MS", 0.0):
                    await wire.end()  # in order: a reset would discard a response in flight
                wire.close()
                await self.retried(2)

    async def test_a_response_that_closes_its_connection_is_complete_whatever_is_sent_behind_it(self) -> None:
        """A draining gateway answers a slow client, which pipelines a request as the gateway closes.

        Closed over the unread request, the connection would be reset and the response cut.  The response must
        be complete, and the second request unread.
        """
        body = bytes(range(256)) * 256
        for before in (True, False):
            with self.subTest(before=before):
                wire = await self.wire()
                wire.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                self.gateway.http_server.set_draining(True)
                wire.send(encode_request(1))
                await self.play("expect n1 GET 1")
                self.at_close(wire, lambda wire=wire: wire.send(encode_request(2)), before)
                head = f"HTTP/1.1 200 X\r\nContent-Length: {len(body)}\r\n\r\n"
                self.parties["n1"].current.write(head.encode() + body)
                self.assertEqual(await wire.answer(), (200, body))
                await wire.end()
                wire.close()
                self.gateway.http_server.set_draining(False)
                await self.retried(2)

    async def test_a_response_that_closes_a_crowded_connection_is_complete(self) -> None:
        """The gateway is crowded and tells a client to leave, which pipelines a request in that moment.

        The response must be complete and the connection must end in order.
        """
        for before in (True, False):
            with self.subTest(before=before), PATCH("shaletiller.net.connection_limits.CROWDED_PART", 0.0):
                wire = await self.wire()
                wire.send(encode_request(1))
                await self.play("expect n1 GET 1")
                self.at_close(wire, lambda wire=wire: wire.send(encode_request(2)), before)
                await self.play("send n1 200 ok")
                self.assertEqual(await wire.answer(), (200, b"ok"))
                await wire.end()
                wire.close()
                await until(lambda: not self.gateway.http_server.connections, "its end")

    async def test_half_closed_connections_are_evicted_for_newcomers(self) -> None:
        """Clients that were sent away keep their half-closed connections, up to the connection limit.

        The next client must be served all the same: half-closed connections are evicted first, and do not
        count as a crowd.
        """
        listener, crowd = self.gateway.http_server._listener, 40
        self.enterContext(PATCH("shaletiller.net.connection_limits.HALF_CLOSE_TIMEOUT_MS", 60_000.0))
        self.enterContext(PATCH.object(listener.table, "max_connections", crowd))
        self.gateway.http_server.set_draining(True)
        for _ in range(crowd):
            wire = await self.wire()
            wire.send(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
            self.assertEqual((await wire.answer())[0], 503)
            await wire.end()  # and the client does not close its side
        self.assertEqual((self.gateway.http_server.connections, listener.is_crowded), (crowd, False))
        self.gateway.http_server.set_draining(False)
        await self.served(await self.wire(), 1)
        self.assertEqual(self.gateway.http_server.connections, crowd)

    async def test_a_partial_request_at_the_close_of_an_idle_connection_is_ignored(self) -> None:
        """A client has sent a part of a request as its idle connection is closed.

        The connection must end in order, and its place must become free.
        """
        wire = await self.wire()
        await self.served(wire, 1)
        self.at_close(wire, lambda: wire.send(encode_request(2)[:30]))
        with PATCH("shaletiller.net.connection_limits.IDLE_TIMEOUT_MS", 0.0):
            await wire.end()
        await until(lambda: not self.gateway.http_server.connections, "the connection's end")

    async def test_a_connection_that_is_starting_as_the_process_stalls_is_answered(self) -> None:
        """The process stands still for longer than a request may take while a connection is being started.

        Its client must be answered.  Guards against clients that wait for ever after a stall.
        """
        listener = self.gateway.http_server._listener
        stall_ms = limits.REQUEST_TIMEOUT_MS + 1.0

        def sweep_late() -> None:
            listener.table.time_out(listener.clock.now_ms() + stall_ms, draining=False)

        self.at(listener, "_start_connection", sweep_late, before=False)
        wire = await self.wire()
        await self.served(wire, 1)

    async def test_a_request_received_during_a_stall_is_not_timed_out(self) -> None:
        """The process stands still for longer than a request may take, with half of a request's head read.

        The rest arrives meanwhile.  Guards against a 408 to a client that was in time.
        """
        listener, wire = self.gateway.http_server._listener, await self.wire()
        request = encode_request(1)
        wire.send(request[:40])
        await until(
            lambda: [each.state for each in listener.table.open] == [ConnectionState.READING_HEAD],
            "the first half to be read",
        )
        wire.send(request[40:])  # unread until this test gives way to the event loop
        listener.table.time_out(listener.clock.now_ms() + limits.REQUEST_TIMEOUT_MS + 1.0, draining=False)
        await self.play("expect n1 GET 1\nsend n1 200 ok")
        self.assertEqual(await wire.answer(), (200, b"ok"))

    @on_settable_clock
    async def test_a_body_received_during_a_stall_is_not_timed_out(self) -> None:
        """The process stands still for longer than a request may take, with half of a body read.

        The rest arrives meanwhile.  Guards against a 408 to a client that was in time; one that sends no more
        must still get it.
        """
        wire, late = await self.wire(), await self.wire()
        request = encode_request(1, "PUT", b"0123456789", Request_Timeout_Ms="5000")
        for each in (wire, late):
            each.send(request[:-5])
        listener = self.gateway.http_server._listener
        await until(
            lambda: [each.state for each in listener.table.open] == [ConnectionState.ACTIVE] * 2,
            "the first halves to be read",
        )
        await self.wait(0.0)  # both handlers wait for their bodies
        wire.send(request[-5:])  # unread until this test gives way to the event loop
        await self.wait(limits.REQUEST_TIMEOUT_MS + 1.0)
        await self.play("expect n1 PUT 1 0123456789\nsend n1 200 ok")
        self.assertEqual(await wire.answer(), (200, b"ok"))
        self.assertEqual((await late.answer())[0], 408)

    async def test_a_connection_that_is_starting_is_not_evicted(self) -> None:
        """Every place is taken, and the oldest connection is being started as the next one comes.

        Its client must be answered: a connection without a transport cannot be ended, only forgotten.
        """
        listener = self.gateway.http_server._listener
        evicted: list[bool] = []

        def evict() -> None:
            evicted.append(listener.table.evict(listener.clock.now_ms() + limits.REQUEST_TIMEOUT_MS))

        self.at(listener, "_start_connection", evict, before=False)
        wire = await self.wire()
        await self.served(wire, 1)
        self.assertEqual(evicted, [False])

    async def test_a_client_that_never_closes_a_half_closed_connection_holds_no_place(self) -> None:
        """A client does not close a connection that the gateway has half-closed.

        The gateway must close it alone after a while, or such clients would use up its descriptors.
        """
        wire = await self.wire()
        await self.served(wire, 1)
        with PATCH("shaletiller.net.connection_limits.IDLE_TIMEOUT_MS", 0.0):
            await wire.end()
        self.assertEqual(
            self.gateway.http_server.connections, 1
        )  # the gateway waits for the client's own close
        await until(lambda: not self.gateway.http_server.connections, "the end without it")

    async def test_a_request_timeout_response_reaches_a_client_that_is_still_sending(self) -> None:
        """A client sends its head too slowly and goes on sending as it gets a 408.

        Closed over its bytes, the connection would be reset.  The client must read the 408, and the linger
        must end with it.
        """
        with PATCH("shaletiller.net.connection_limits.REQUEST_TIMEOUT_MS", 100.0):
            wire = await self.wire()
            self.at(ClientConnection, "time_out", lambda: wire.send(b"x" * 1000))
            wire.send(b"GET /api?key=5 HTTP/1.1\r\nx: ")
            self.assertEqual((await wire.answer())[0], 408)
            wire.send(b"y" * 1000)
            await wire.end()
            wire.close()
            await until(lambda: not self.gateway.http_server.connections, "the end of the linger")
        await until(lambda: not self.gateway.http_server._listener._tasks, "the end of its task")

    async def test_an_unread_rejection_reaches_a_client_that_is_still_sending(self) -> None:
        """Under overload a new connection's request is rejected unread, while its client goes on sending.

        The client must read the 503 and an end without a reset, and no node gets the request.
        """
        for name in ("OVERLOAD_AFTER_MS", "MAX_QUEUE_AGE_MS"):
            self.enterContext(PATCH(f"shaletiller.net.connection_limits.{name}", 0.0))
        self.enterContext(PATCH("shaletiller.net.connection_limits.STARTS_PER_TURN", 0))
        listener, wire = self.gateway.http_server._listener, await self.wire()
        wire.send(encode_request(1, "PUT", b"x" * 60000))
        self.at(
            listener.overload, "_retry_after_allowed", lambda: wire.send(b"y" * 1000)
        )  # behind what is read of the request
        self.assertEqual((await wire.answer())[0], 503)
        await wire.end()
        wire.close()
        await until(lambda: not listener.overload, "the end of the rejected connection")
        self.assertEqual(self.requests_received, 0)


class Shutdown(RaceScenario):
    """SIGTERM, with responses still pending."""

    def stop(self) -> asyncio.Task[None]:
        return asyncio.ensure_future(self.gateway.stop())

    async def test_a_request_that_crosses_the_end_is_not_read_and_an_earlier_one_is_answered(self) -> None:
        """At shutdown one client sends a request before the last responses, another at its close.

        The first is answered or left unread, the second is left unread, and neither may reach a node.
        """
        for before in (True, False):
            with self.subTest(before=before):
                wire, other = await self.wire(), await self.wire()
                await self.served(wire, 1)
                await self.served(other, 2)
                # `other` is idle until the gateway closes it: it sends a request at that moment.
                self.at_close(other, lambda wire=other: wire.send(encode_request(3)), before)
                # `wire` sends one just before: what is read then is answered, and forwarded to no node.
                self.at(
                    self.gateway.http_server,
                    "close_after_responses",
                    lambda wire=wire: wire.send(encode_request(4)),
                    before,
                )
                await asyncio.wait_for(self.stop(), TIMEOUT_S)
                await other.end()
                found = await wire.read()
                self.assertTrue(found == b"" or found.startswith(b"HTTP/1.1 503 "), found)
                self.assertEqual(self.requests_received, 0)
                await self.asyncTearDown()
                await self.asyncSetUp()

    async def test_requests_queued_in_progress_or_half_received_at_shutdown_are_answered(self) -> None:
        """SIGTERM comes while requests are queued, at nodes, half received, or half answered.

        Each must get its response before the process ends: 502 where it may have run, 503 where it certainly
        has not.
        """
        names = ("waits", "out", "body", "answer", "hangs")
        wires = {name: await self.wire() for name in names}
        wires["out"].send(encode_request(1, Request_Timeout_Ms="5000"))
        await self.play("expect n1 GET 1")
        out = self.parties["n1"].current
        wires["answer"].send(encode_request(2, "PUT", b"b", Request_Timeout_Ms="5000"))
        await self.play("expect n1 PUT 2 b")
        half = self.parties["n1"].current
        half.write(b"HTTP/1.1 200 X\r\nContent-Le")
        wires["hangs"].send(encode_request(3, "PUT", b"c", Request_Timeout_Ms="5000"))
        await self.play("expect n1 PUT 3 c")  # and never answers it
        complete = encode_request(4, "PUT", b"0123456789", Request_Timeout_Ms="5000")
        wires["body"].send(complete[:-5])
        # Queued: no node has the shard.
        wires["waits"].send(
            encode_request(5, IO_Info=f"volume={VOLUME},units=2,shard=7,hosts=1", Request_Timeout_Ms="5000")
        )
        await until(lambda: len(self.gateway.engine.exchanges) == 4, "all to be in progress")
        stop = self.stop()
        await until(lambda: self.gateway._stopping, "the stop")
        wires["body"].send(complete[-5:])
        await self.play("expect n1 PUT 4 0123456789\nsend n1 200 body")
        self.assertEqual(await wires["body"].answer(), (200, b"body"))
        out.write(b"HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\nout")
        half.write(b"ngth: 6\r\n\r\nanswer")
        self.assertEqual(await wires["out"].answer(), (200, b"out"))
        self.assertEqual(await wires["answer"].answer(), (200, b"answer"))
        self.assertEqual((await wires["hangs"].answer())[0], 502)  # it may have run
        self.assertEqual((await wires["waits"].answer())[0], 503)
        for wire in wires.values():
            await wire.end()
        await asyncio.wait_for(stop, TIMEOUT_S)
        self.assertEqual(
            (self.gateway.engine.exchanges, self.gateway.engine.attempts.in_flight, self.requests_received),
            ({}, {}, 0),
        )

    async def test_clients_that_send_until_the_end_lose_no_request(self) -> None:
        """Clients send requests one after the other until shutdown ends their connections.

        The one request of each client that gets no response must not have reached a node.
        """
        answered, unread = [], []

        async def sends_on(number: int) -> None:
            wire = await self.wire()
            for at in range(10_000):
                try:
                    wire.send(encode_request(number * 10_000 + at))
                    status, _ = await wire.answer()
                except (AssertionError, OSError):
                    unread.append(f"GET-{number * 10_000 + at}")
                    return
                answered.append(status)

        async def answer(node: Any, found: Any) -> None:
            found[3].write(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok")

        self.parties["n1"].script = answer
        clients = [asyncio.ensure_future(sends_on(number)) for number in range(8)]
        await until(lambda: len(answered) > 40, "answers")
        await asyncio.wait_for(self.stop(), TIMEOUT_S)
        await asyncio.wait_for(asyncio.gather(*clients), TIMEOUT_S)
        self.assertEqual(len(unread), 8)
        seen = set(self.parties["n1"].request_ids)
        self.assertEqual([each for each in unread if each in seen], [])  # forwarded, and lost

    async def test_a_request_whose_head_is_half_received_at_the_end_is_rejected(self) -> None:
        """The process ends while a client has sent half of a request's head; the rest follows at that moment.

        It must get a 503 and an end in order.  Guards against a reset in place of an answer at a restart.
        """
        wire = await self.wire()
        request = encode_request(1)
        wire.send(request[:40])
        table = self.gateway.http_server._listener.table
        await until(
            lambda: [each.state for each in table.open] == [ConnectionState.READING_HEAD],
            "the first half to be read",
        )
        self.at(
            self.gateway.http_server._listener._server, "pre_shutdown", lambda: wire.send(request[40:]), False
        )
        await asyncio.wait_for(self.stop(), TIMEOUT_S)
        self.assertEqual((await wire.answer())[0], 503)
        await wire.end()
        self.assertEqual(self.requests_received, 0)

    async def test_accepted_connections_not_started_at_shutdown_are_rejected(self) -> None:
        """A connection is in the accept queue, with a request, as the process ends.

        Its client must get a 503 and an end without a reset.
        """
        listener, wire = self.gateway.http_server._listener, await self.wire()
        await until(lambda: not listener.accept_queue, "the first to be started")
        self.enterContext(PATCH.object(listener, "_start_connections", lambda: None))
        late = await self.wire()
        late.send(encode_request(1))
        await until(lambda: listener.accept_queue, "the new connection")
        await asyncio.wait_for(self.stop(), TIMEOUT_S)
        self.assertEqual((await late.answer())[0], 503)
        await late.end()
        await wire.end()
        self.assertEqual(self.requests_received, 0)

    async def test_a_connection_that_is_starting_at_shutdown_is_half_closed_unread(self) -> None:
        """A connection is being started, and has no transport yet, as the listener stops.

        It must be half-closed once it has one, and the request that its client sends then must not be read.
        """
        listener = self.gateway.http_server._listener
        late: list[RawClient] = []

        def comes() -> None:
            with socket.create_server(("127.0.0.1", 0)) as server:
                ours = socket.create_connection(server.getsockname())
                theirs, _ = server.accept()
            theirs.setblocking(False)
            late.append(RawClient(ours))
            listener._start_connection(AcceptedSocket(listener.clock.now_ms(), theirs))

        self.at(
            listener, "stop_accepting", comes, before=False, which=lambda: self.gateway.http_server._closing
        )
        self.at_any_close(lambda: late[0].send(encode_request(1)))
        await asyncio.wait_for(self.stop(), TIMEOUT_S)
        await late[0].end()
        self.assertEqual((self.requests_received, self.gateway.engine.counters), (0, {}))
        late[0].close()


class ClientLeaves(RaceScenario):
    """A client that leaves while its request waits: the request is not forwarded."""

    async def disconnects(
        self, wire: RawClient, how: Callable[[], None], free: Callable[[], Awaitable[None]]
    ) -> None:
        how()
        await until(lambda: not self.gateway.engine.exchanges, "the close was seen")
        await free()
        await asyncio.sleep(0.05)  # whatever was to be forwarded has been by now
        self.assertEqual(self.requests_received, 0)

    async def test_while_it_is_queued(self) -> None:
        """A client closes, resets or half-closes its connection while its request waits for a node.

        Once a node is there, the request must not be forwarded.
        """
        for shard, how in ((3, "close"), (4, "reset"), (5, "half")):
            with self.subTest(how):
                wire = await self.wire()
                # Queued until some node has the shard.
                wire.send(
                    encode_request(
                        1, IO_Info=f"volume={VOLUME},units=2,shard={shard},hosts=1", Request_Timeout_Ms="5000"
                    )
                )
                await until(lambda: self.gateway.engine.exchanges, "the request")
                disconnections = {
                    "close": wire.close,
                    "reset": lambda wire=wire: reset(wire.sock),
                    "half": lambda wire=wire: wire.sock.shutdown(socket.SHUT_WR),
                }

                async def node_joins(shard: int = shard) -> None:
                    await self.party(f"n{shard}")
                    await self.play(f"send d n{shard}=active")

                await self.disconnects(wire, disconnections[how], node_joins)
                self.assertEqual(self.parties[f"n{shard}"].received.qsize(), 0)

    async def test_while_it_is_pipelined_behind_another_request(self) -> None:
        """A client pipelines two requests and leaves.

        The first attempt must be cancelled, and the second request never forwarded.
        """
        wire = await self.wire()
        wire.send(encode_request(1, Request_Timeout_Ms="5000") + encode_request(2, Request_Timeout_Ms="5000"))
        await self.play("expect n1 GET 1")
        wire.close()
        await self.play("expect n1 closed")
        await asyncio.sleep(0.05)
        self.assertEqual((self.requests_received, self.gateway.engine.exchanges), (0, {}))

    async def test_as_the_connection_to_its_node_comes_up(self) -> None:
        """A client leaves in the moment in which the connection for its request comes up.

        The node must not get the request, and the connection must be closed.
        """
        wire, engine = await self.wire(), self.gateway.engine
        self.at(
            UpstreamProtocol,
            "connection_made",
            lambda: [engine.on_client_disconnected(each) for each in list(engine.exchanges.values())],
        )
        wire.send(encode_request(1, "PUT", b"x", Request_Timeout_Ms="5000"))
        await until(lambda: engine.counters.get("left"), "the close")
        await until(lambda: not engine.attempts.in_flight, "the attempt's end")
        node = self.parties["n1"]
        await until(lambda: node.writers, "the connection")
        await until(lambda: all(each.transport.is_closing() for each in node.writers), "its end")
        self.assertEqual((self.requests_received, node.request_ids), (0, []))

    async def test_before_a_retry(self) -> None:
        """A client leaves between a failed connect and the retry.

        The node, reachable again, must not get the request.
        """
        wire = await self.wire()
        await self.play("close n1 listener")
        wire.send(encode_request(1, "PUT", b"x", Request_Timeout_Ms="5000"))
        await until(lambda: self.gateway.engine.counters.get("attempt.connect_failed"), "the failed attempt")
        wire.close()
        await until(lambda: not self.gateway.engine.exchanges, "the close was seen")
        await self.parties["n1"].start()  # it is reachable again, on its port
        await asyncio.sleep(0.3)
        self.assertEqual((self.requests_received, self.parties["n1"].request_ids), (0, []))


class AdminConnections(RaceScenario):
    """The operators' commands: callers that send too much, and callers at the end of the process."""

    async def call(self, line: bytes) -> RawClient:
        assert self.gateway.admin is not None
        self.wires.append(await RawClient.open(self.gateway.admin.address))
        self.wires[-1].send(line)
        return self.wires[-1]

    async def test_a_response_is_complete_whatever_the_caller_sends_behind_its_line(self) -> None:
        """A caller sends more than its line while the command runs.

        Closed over these bytes, the connection would be reset; the caller must read the complete response.
        """
        caller = await self.call(b"")
        # The line fills the read buffer: what arrives while the command runs stays in the kernel.
        self.at(self.gateway.admin, "execute", lambda: caller.send(b"x" * 1000))
        caller.send(b"READY\n" + b"x" * 1000)
        while await caller.read():
            pass
        self.assertEqual(caller.got, b"done yes\n")

    async def test_a_command_in_progress_at_shutdown_gets_its_response(self) -> None:
        """The process ends while a command is in progress.

        Its caller must get the response before the tasks of the event loop are cancelled.
        """
        admin, released = self.gateway.admin, asyncio.Event()
        assert admin is not None

        async def late() -> list[str]:
            await released.wait()
            return ["late"]

        admin._commands["LATE"] = lambda arguments: late()
        caller = await self.call(b"LATE\n")
        await until(lambda: admin._connection_tasks, "the call")
        stop = asyncio.ensure_future(admin.stop())
        await asyncio.sleep(0)
        released.set()
        await stop
        for task in asyncio.all_tasks():  # as the loop's end does
            if task.get_coro().__qualname__ == AdminServer._handle_connection.__qualname__:
                task.cancel()
        while await caller.read():
            pass
        self.assertEqual(caller.got, b"done late\n")


class NvmeShutdown(RaceScenario):
    """Shutdown for NVMe over TCP."""

    async def test_a_command_that_outlasts_the_shutdown_has_its_completion(self) -> None:
        """A node never answers the command of an NVMe host, and the process ends.

        The host must get a completion that forbids a retry, before the server stops.
        """
        await self.play("send v1 write 5 data\nexpect n1 PUT 5")  # the node never answers
        owed: list[bool] = []
        self.at(self.gateway.nvme, "stop", lambda: owed.append(self.gateway.nvme.busy))
        stop = asyncio.ensure_future(self.gateway.stop())
        await self.play("expect v1 write_fault dnr")
        await asyncio.wait_for(stop, TIMEOUT_S)
        self.assertEqual(owed, [False])  # nothing is pending any more as the server stops

    async def test_a_completion_arrives_though_its_host_is_still_sending_at_the_close(self) -> None:
        """A host sends a command as its connection is closed.

        The completion already on its way must arrive, and the connection must end in order.
        """
        host = await self.party("v1")
        await self.play("send v1 read 5\nexpect n1 GET 5")
        queue = (await host.associate()).io
        flush = commands.encode_command(commands.IoOpcode.FLUSH, queue.next_command_id(), 1)
        sock = queue._stream._writer.transport.get_extra_info("socket")
        # Behind the last completion, and unread as the first connection ends.
        self.at(ControllerQueue, "end", lambda: os.write(sock.fileno(), capsules.command_capsule(flush)))
        stop = asyncio.ensure_future(self.gateway.stop())
        await self.play("expect v1 interrupted")
        self.assertIsNone(await queue._stream.receive(TIMEOUT_S))  # the end, in order
        await asyncio.wait_for(stop, TIMEOUT_S)

    async def test_a_command_whose_host_has_left_is_not_forwarded(self) -> None:
        """An NVMe host leaves between a failed attempt and the retry.

        The node, reachable again, must not get the command.
        """
        await self.play("close n1 listener\nsend v1 write 5 data")
        await until(lambda: self.gateway.engine.counters.get("attempt.connect_failed"), "the failed attempt")
        await self.play("close v1")
        await until(lambda: not self.gateway.engine.exchanges, "the close was seen")
        await self.parties["n1"].start()
        await asyncio.sleep(0.3)
        self.assertEqual((self.requests_received, self.parties["n1"].request_ids), (0, []))


class FullQueue(RaceScenario):
    """A connection to a node that comes up late or never.

    The node's listener has a full queue: the kernel drops a SYN, and the other side sends the next after 1 s.
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
        self.full = socket.create_server(("127.0.0.1", node.port), backlog=0)
        self.fillers: list[socket.socket] = []
        self.accepted: list[socket.socket] = []
        await self.fill()

    async def asyncTearDown(self) -> None:
        for each in (self.full, *self.fillers, *self.accepted):
            each.close()
        await super().asyncTearDown()

    async def fill(self) -> None:
        self.fillers.append(socket.create_connection(self.full.getsockname()))
        await until(lambda: queued_at(self.port) == 1, "the full queue")

    def comes_up(self) -> None:
        """Free a place in the queue: the next SYN is accepted."""
        self.accepted.append(self.full.accept()[0])

    async def next(self) -> socket.socket:
        self.full.setblocking(False)
        sock, _ = await asyncio.wait_for(asyncio.get_running_loop().sock_accept(self.full), TIMEOUT_S)
        sock.setblocking(False)
        self.accepted.append(sock)
        return sock


class LateConnections(FullQueue):
    async def test_one_that_comes_up_late_serves_the_request_once(self) -> None:
        """A connection to a node comes up only at the kernel's second SYN.

        The request must be served on it, once.
        """
        wire = await self.wire()
        wire.send(encode_request(1, "PUT", b"x", Request_Timeout_Ms="5000"))
        await until(lambda: connecting_to(self.port) == 1, "the attempt")
        self.comes_up()
        sock = await self.next()  # a second after the first SYN
        raw = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 9999), TIMEOUT_S)
        self.assertIn(b"Request-Id: PUT-1\r\n", raw)
        sock.sendall(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok")
        self.assertEqual(await wire.answer(), (200, b"ok"))
        self.assertEqual(self.gateway.engine.counters.get("attempt.ok"), 1)
        self.assertEqual(connections_to(self.port), 2)  # it, and the filler

    async def test_one_that_is_not_up_in_time_is_abandoned(self) -> None:
        """A deadline passes, and a client leaves, before a connection to the node is up.

        Both attempts must end, and the kernel must not go on connecting for them.
        """
        slow, disconnected = await self.wire(), await self.wire()
        slow.send(encode_request(1, "PUT", b"x", Request_Timeout_Ms="300"))
        disconnected.send(encode_request(2, "PUT", b"y", Request_Timeout_Ms="5000"))
        await until(lambda: connecting_to(self.port) == 2, "both attempts")
        disconnected.close()
        self.assertEqual((await slow.answer())[0], 502)  # a timeout proves nothing
        slow.close()
        await until(lambda: not self.gateway.engine.attempts.in_flight, "the ends of both")
        self.comes_up()
        self.accepted.pop().close()
        self.fillers.pop().close()
        await until(lambda: not self.gateway.http_server.connections, "the clients' end")
        self.assertEqual(connections_to(self.port), 0)
        self.full.settimeout(1.5)  # a second after the first SYN each client would send it again
        with self.assertRaises(TimeoutError):
            await asyncio.get_running_loop().run_in_executor(None, self.full.accept)

    async def test_one_that_never_comes_up_is_a_failed_connect(self) -> None:
        """A connection to a node never comes up.

        The outcome must be a failed connect, so the write is rejected with a 503: it has certainly not run.
        """
        wire = await self.wire()
        with PATCH.object(self.gateway._http, "_settings", self.replaced(connect_timeout_ms=100.0)):
            wire.send(encode_request(1, "PUT", b"x", Request_Timeout_Ms="400"))
            self.assertEqual((await wire.answer())[0], 503)
        counts = self.gateway.engine.counters
        self.assertGreaterEqual(counts.get("attempt.connect_failed", 0), 1)
        self.assertIsNone(counts.get("attempt.reset"))

    def replaced(self, **changes: Any) -> Any:
        return dataclasses.replace(self.gateway.config.settings, **changes)


class ShortWindow(FullQueue):
    """A retry of what may have run, on a connection that comes up after the deduplication window."""

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
        """A write with a key may have run, and its retry connects when the node has forgotten the key.

        The retry must not be written: the node could not recognise it, and would run the write twice.
        """
        wire = await self.wire()
        first = await self.first_attempt(wire)
        reset(first)  # it may have run: the retry may start within 400 ms
        await until(lambda: connecting_to(self.port) == 1, "the retry")
        self.comes_up()  # and would be up after a second
        self.full.settimeout(1.5)
        with self.assertRaises(TimeoutError):
            await asyncio.get_running_loop().run_in_executor(None, self.full.accept)
        self.assertEqual((await wire.answer())[0], 503)  # every node knows the key, so the rejection is safe

    async def first_attempt(self, wire: RawClient) -> socket.socket:
        self.comes_up()
        wire.send(encode_request(1, "PUT", b"x", Idempotency_Key="k", Request_Timeout_Ms="2500"))
        first = await self.next()
        raw = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(first, 9999), TIMEOUT_S)
        self.assertIn(b"Idempotency-Key: k\r\n", raw)
        await self.fill()
        return first
