"""Tests of the order of requests while one process of a gateway replaces another, with real processes."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import unittest
from pathlib import Path

from tests.net.test_endings import RawClient, encode_request, wait_until
from tests.support.ordered_gateway import (
    LONG_MS,
    WAIT_S,
    GatewayProcess,
    StorageNode,
    gateway_config,
    request_numbers,
)

KEYS = 3
SHORT_TIMEOUT_MS = 1000


class TwoProcesses(unittest.IsolatedAsyncioTestCase):
    """Two processes of one gateway serve ordered writes; the first one, the owner, decides on the order."""

    work_s = 0.02

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.node = StorageNode(self.work_s)
        node_port = await self.node.start()
        config = gateway_config(node_port)
        self.owner, self.follower = (GatewayProcess(Path(folder.name), config) for _ in range(2))
        self.written = 0
        self.clients: list[RawClient] = []
        self.addAsyncCleanup(self.end_all)  # also after a set-up that fails
        await self.owner.start()
        self.owner_clients = await self.owner.connect(8)
        await self.follower.start()
        self.follower_clients = await self.follower.connect(8)
        pairs = zip(self.owner_clients, self.follower_clients, strict=True)
        self.clients = [client for pair in pairs for client in pair]

    async def end_all(self) -> None:
        for client in self.clients:
            client.close()
        await self.owner.kill()
        await self.follower.kill()
        self.node.close()

    def write(self, client: RawClient, timeout_ms: float = LONG_MS) -> None:
        """Send a write; each write is sent completely before the next one."""
        self.written += 1
        key, name = self.written % KEYS, next(request_numbers)
        raw = encode_request(
            key,
            "PUT",
            str(self.written).encode(),
            Request_Id=f"w{name}",
            Request_Timeout_Ms=f"{timeout_ms:.0f}",
        )
        client.send(raw)

    async def statuses(self, clients: list[RawClient]) -> list[int]:
        """Read a response of each client; 0 for a connection that has ended."""

        async def status(client: RawClient) -> int:
            client.timeout_s = WAIT_S
            try:
                return (await client.read_response())[0]
            except (AssertionError, OSError):
                return 0

        return await asyncio.gather(*map(status, clients))


class OrderBesideAnotherProcess(TwoProcesses):
    """Both processes go on."""

    async def test_writes_at_both_processes_run_one_at_a_time_in_order(self) -> None:
        """Guards against processes of a gateway that each keep an order of their own."""
        for _ in range(3):
            for client in self.clients:
                self.write(client)
            self.assertEqual(await self.statuses(self.clients), [200] * len(self.clients))
        self.node.check_order()
        self.assertEqual((await self.owner.stats())["edge.order.followers"], 1)
        self.assertEqual((await self.follower.stats())["edge.order.role"], 1)

    async def test_writes_while_the_owner_ends_are_served_in_order(self) -> None:
        """Guards against an order that is lost, or requests that are, as the order is handed over."""
        self.owner.process.send_signal(signal.SIGTERM)
        ended = asyncio.ensure_future(self.owner.process.wait())
        while not ended.done():
            client = await RawClient.open(("127.0.0.1", self.owner.port))
            self.clients.append(client)
            self.write(client)
            self.assertEqual(await self.statuses([client]), [200])
        self.assertEqual(await ended, 0)
        self.write(self.follower_clients[0])
        self.assertEqual(await self.statuses(self.follower_clients[:1]), [200])
        self.assertEqual((await self.follower.stats())["edge.order.role"], 2)
        self.node.check_order()

    async def check_while_one_stands_still(self, still: GatewayProcess, other: list[RawClient]) -> None:
        still.process.send_signal(signal.SIGSTOP)
        stopped = self.owner_clients if still is self.owner else self.follower_clients
        begun = self.node.begun
        for client in stopped:
            self.write(client)
        for client in other:
            self.write(client, SHORT_TIMEOUT_MS)
        self.assertEqual(await self.statuses(other), [503] * len(other))
        for client in other:
            client.send(encode_request(next(request_numbers), Request_Timeout_Ms="9000"))
        self.assertEqual(await self.statuses(other), [200] * len(other), "reads need no order")
        self.assertEqual(self.node.begun, begun, "no write ran while an older one may have been unread")
        for client in other:
            self.write(client)
        still.process.send_signal(signal.SIGCONT)
        self.assertEqual(await self.statuses(self.clients), [200] * len(self.clients))
        self.node.check_order()

    async def test_no_write_overtakes_one_of_an_owner_that_stands_still(self) -> None:
        """Guards against a follower that takes over while the owner may still have an older write."""
        await self.check_while_one_stands_still(self.owner, self.follower_clients)

    async def test_no_write_overtakes_one_of_a_follower_that_stands_still(self) -> None:
        """Guards against an owner that does not wait for older writes that its follower has not read."""
        await self.check_while_one_stands_still(self.follower, self.owner_clients)


class OrderAfterACrash(TwoProcesses):
    """One of two processes is killed while writes run at a node that finishes them all the same."""

    work_s = 0.2

    async def check_after_a_kill(self, killed: GatewayProcess, survivors: list[RawClient]) -> None:
        for client in self.clients:
            self.write(client)
        await wait_until(lambda: self.node.begun >= 2 * KEYS, "writes of both processes", WAIT_S)
        killed.process.kill()
        self.assertEqual(await self.statuses(survivors), [200] * len(survivors))
        for client in survivors:
            self.write(client)
        self.assertEqual(await self.statuses(survivors), [200] * len(survivors))
        self.node.check_order()

    async def test_no_write_runs_beside_one_of_an_owner_that_was_killed(self) -> None:
        """Guards against a new owner that does not wait for attempts of the previous one."""
        await self.check_after_a_kill(self.owner, self.follower_clients)

    async def test_no_write_runs_beside_one_of_a_follower_that_was_killed(self) -> None:
        """Guards against an owner that does not wait for attempts of a follower that was killed."""
        await self.check_after_a_kill(self.follower, self.owner_clients)
