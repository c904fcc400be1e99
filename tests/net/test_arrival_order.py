"""Tests of the order in which requests of ordered classes reach their node after the process was held up.

The process is held up by the test itself: it connects and writes without returning to the event loop.
"""

from __future__ import annotations

import asyncio
import dataclasses
import socket
from collections.abc import Callable
from typing import Any, ClassVar

from shaletiller.net import connection_limits as limits
from tests.net.test_endings import RaceScenario, encode_request, wait_until
from tests.support.scenario import SETTINGS, Server

KEY = 7
WRITES = 12  # more than connections are started in one iteration of the event loop


def encode_write(number: int, key_number: int = KEY) -> bytes:
    """Encode a write whose body is its number; all writes have one key."""
    raw = encode_request(key_number, "PUT", str(number).encode(), Request_Timeout_Ms="3000")
    return raw.replace(f"PUT-{key_number}".encode(), f"write-{number}".encode())


class OrderOfArrival(RaceScenario):
    """Writes of one key, in an ordered class, that are all unread when the process goes on."""

    settings: ClassVar[dict[str, Any]] = SETTINGS | {
        "classes": [
            SETTINGS["classes"][0] | {"target-ms": 3000.0, "hard-limit-ms": 3000.0},
            SETTINGS["classes"][1] | {"target-ms": 3000.0, "hard-limit-ms": 3000.0, "by-arrival": True},
        ],
    }

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.sockets: list[socket.socket] = []
        self.served: list[int] = []
        self.parties["n1"].script = self.serve

    async def asyncTearDown(self) -> None:
        for sock in self.sockets:
            sock.close()
        await super().asyncTearDown()

    async def serve(self, server: Server, request: tuple[Any, ...]) -> None:
        _, _, body, server.current, _ = request
        if not body:
            return  # a read stays in flight
        self.served.append(int(body))
        await server.send("200", "done")

    def connect(self, count: int) -> list[socket.socket]:
        """Connect clients without returning to the event loop."""
        address = self.gateway.http_server.address
        connected = [socket.create_connection(address) for _ in range(count)]
        self.sockets += connected
        return connected

    async def connect_and_be_started(self, count: int) -> list[socket.socket]:
        connected = self.connect(count)
        connections = self.gateway.http_server._listener.table.open
        await wait_until(
            lambda: len(connections) == count and all(entry.has_transport for entry in connections),
            "the connections are started",
        )
        return connected

    async def expect_order_of_arrival(self, count: int) -> None:
        await wait_until(lambda: len(self.served) == count, "all writes are served")
        self.assertEqual(self.served, sorted(self.served))

    async def test_of_new_connections(self) -> None:
        """Guards against an order of writes that is that of the starts of their connections."""
        for number in range(WRITES):
            self.connect(1)[0].sendall(encode_write(number))
        await self.expect_order_of_arrival(WRITES)

    async def test_of_clients_that_connect_first_and_write_last(self) -> None:
        """Guards against an order of writes that is that of the connects of their clients."""
        for number, sock in enumerate(reversed(self.connect(WRITES))):
            sock.sendall(encode_write(number))
        await self.expect_order_of_arrival(WRITES)

    async def test_of_open_and_new_connections(self) -> None:
        """Guards against writes on open connections that overtake those on new ones."""
        opened = await self.connect_and_be_started(WRITES // 2)
        for number, sock in enumerate(opened):
            self.connect(1)[0].sendall(encode_write(2 * number))
            sock.sendall(encode_write(2 * number + 1))
        await self.expect_order_of_arrival(WRITES)

    async def test_of_writes_that_come_in_pieces(self) -> None:
        """Guards against an order of writes that is that of their first bytes."""
        opened = await self.connect_and_be_started(WRITES // 2)
        clients = opened + self.connect(WRITES // 2)
        for number, sock in enumerate(clients):
            sock.sendall(encode_write(number)[:-1])
        for number, sock in reversed(list(enumerate(clients))):
            sock.sendall(encode_write(number)[-1:])
        await wait_until(lambda: len(self.served) == WRITES, "all writes are served")
        self.assertEqual(self.served, list(reversed(range(WRITES))))

    async def test_beside_silent_clients(self) -> None:
        """Guards against a wait of ordered writes for clients that connect and send nothing."""
        self.connect(100)
        for number in range(WRITES):
            self.connect(1)[0].sendall(encode_write(number))
        await self.expect_order_of_arrival(WRITES)

    async def test_requests_of_other_classes_do_not_wait_for_older_input(self) -> None:
        """Guards against a delay of requests that need no order; they are submitted as they are read."""
        opened = await self.connect_and_be_started(1)
        waits: list[Callable[[], None]] = []
        listener = self.gateway.http_server._listener
        listener.when_input_is_read = waits.append  # type: ignore[method-assign]
        opened[0].sendall(encode_request(1))
        await wait_until(lambda: self.gateway.engine.attempts.in_flight, "the read is forwarded")
        self.connect(1)[0].sendall(encode_write(1))
        await wait_until(lambda: waits, "the ordered write waits")
        self.assertEqual(len(self.gateway.engine.attempts.in_flight), 1)
        waits[0]()
        await wait_until(lambda: self.served == [1], "the ordered write is forwarded")

    async def test_after_a_reload_that_orders_the_class(self) -> None:
        """Guards against arrival times that are recorded only if a class was ordered at the start."""
        ordered = self.gateway.config.settings
        unordered = tuple(dataclasses.replace(spec, ordered=False) for spec in ordered.classes)
        self.gateway._apply_settings(dataclasses.replace(ordered, classes=unordered))
        self.assertFalse(self.gateway.http_server._listener._records_arrival_times)
        self.gateway._apply_settings(ordered)
        for number, sock in enumerate(reversed(self.connect(WRITES))):
            sock.sendall(encode_write(number))
        await self.expect_order_of_arrival(WRITES)

    async def test_a_write_that_was_read_too_late_is_rejected(self) -> None:
        """Guards against an old write that replaces a later one: its connection was not read in time."""
        early, late = await self.connect_and_be_started(2)
        early.sendall(encode_write(1))
        late.sendall(encode_write(2))
        listener = self.gateway.http_server._listener
        connections = {
            connection.transport.get_extra_info("peername")[1]: connection
            for connection in listener.table.open
        }
        transport = connections[early.getsockname()[1]].transport
        assert transport is not None
        transport.pause_reading()
        await wait_until(lambda: self.served == [2], "the later write is served")
        transport.resume_reading()
        early.setblocking(False)
        response = await asyncio.get_running_loop().sock_recv(early, limits.MAX_READ_BYTES)
        self.assertEqual(response.split()[1], b"503")
        self.assertEqual(self.served, [2])
