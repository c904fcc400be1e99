"""Tests of the order of requests while one process of a gateway replaces another, with real processes."""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
import sys
import tempfile
import time
import unittest
from collections import defaultdict
from pathlib import Path
from typing import Any

from shaletiller.lab.port_reservations import reserve_port
from tests.net.test_endings import RawClient, encode_request
from tests.support.scenario import SETTINGS, read_message

ROOT = Path(__file__).parent.parent.parent
KEYS = 3
LONG_MS = 20_000.0  # longer than a busy machine needs for a test
SHORT_TIMEOUT_MS = 1000
WAIT_S = 30.0
ORDERED_SETTINGS = SETTINGS | {
    "classes": [
        SETTINGS["classes"][0] | {"target-ms": LONG_MS, "hard-limit-ms": LONG_MS},
        SETTINGS["classes"][1] | {"target-ms": LONG_MS, "hard-limit-ms": LONG_MS, "by-arrival": True},
    ],
    "contracts": [{"name": "basic", "base-rate": 5000.0, "reserve": 5000.0, "proportion": 1.0}],
    "obligations": SETTINGS["obligations"] | {"turn-gap-ms": 400.0},
}


class StorageNode:
    """A storage node that works on each write for a while, whether its client stays or not."""

    def __init__(self, work_s: float) -> None:
        self.work_s = work_s
        self.runs: dict[str, list[tuple[int, float, float]]] = defaultdict(list)  # number, begin, end; by key
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> int:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        while True:
            try:
                line, _, body = await read_message(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                return
            if line.startswith("PUT"):
                key, begun = line.split()[1], time.monotonic()
                run = (int(body), begun, begun + self.work_s)
                self.runs[key].append(run)
                await asyncio.sleep(self.work_s)
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok")

    def close(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()

    @property
    def begun(self) -> int:
        return sum(map(len, self.runs.values()))


class Gateway:
    """One process of the gateway."""

    def __init__(self, folder: Path, config: dict[str, Any]) -> None:
        self.admin_port = reserve_port()
        self.folder, self.config = folder, config
        self.port = int(config["listen"].split(":")[1])

    async def start(self) -> None:
        path = self.folder / f"config-{self.admin_port}.json"
        path.write_text(json.dumps(self.config | {"admin": f"127.0.0.1:{self.admin_port}"}))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "shaletiller",
            cwd=ROOT,
            env={"EDGE_CONFIG": str(path), "TMPDIR": str(self.folder)},
            stderr=asyncio.subprocess.DEVNULL,
        )
        async with asyncio.timeout(WAIT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.02)

    async def is_ready(self) -> bool:
        try:
            return (await self.call("READY"))[0].startswith("done")
        except OSError:
            return False

    async def call(self, line: str) -> list[str]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_port)
        writer.write(line.encode() + b"\n")
        response = (await reader.read()).decode().splitlines()
        writer.close()
        return response or ["none"]

    async def stats(self) -> dict[str, str]:
        lines = await self.call("STATS")
        return dict(line.removeprefix("edge.").split("=") for line in lines if "=" in line)

    async def connect(self, count: int) -> list[RawClient]:
        """Connect clients to this process, which shares its address with another one."""
        clients: list[RawClient] = []
        async with asyncio.timeout(WAIT_S):
            while len(clients) < count:
                client = await RawClient.open(("127.0.0.1", self.port))
                before = await self.stats()
                client.send(encode_request(next(request_numbers), Request_Timeout_Ms="9000"))
                await client.read_response()
                if (await self.stats())["results.read.succeeded"] != before["results.read.succeeded"]:
                    clients.append(client)
                else:
                    client.close()
        return clients

    async def end(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


request_numbers = itertools.count(1000)


class TwoProcesses(unittest.IsolatedAsyncioTestCase):
    """Two processes of one gateway serve ordered writes; the first one, the owner, decides on the order."""

    work_s = 0.02

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.node = StorageNode(self.work_s)
        node_port = await self.node.start()
        config = {
            "name": "g1",
            "listen": f"127.0.0.1:{reserve_port()}",
            "discovery": "127.0.0.1:1",
            "settings": ORDERED_SETTINGS,
            "known": {
                "version": 1,
                "full": True,
                "servers": [{"id": "n1", "addr": f"127.0.0.1:{node_port}", "zone": "a", "cell": 1}],
            },
        }
        self.owner, self.follower = (Gateway(Path(folder.name), config) for _ in range(2))
        self.written = 0
        await self.owner.start()
        self.owner_clients = await self.owner.connect(8)
        await self.follower.start()
        self.follower_clients = await self.follower.connect(8)
        pairs = zip(self.owner_clients, self.follower_clients, strict=True)
        self.clients = [client for pair in pairs for client in pair]

    async def asyncTearDown(self) -> None:
        for client in self.clients:
            client.close()
        await self.owner.end()
        await self.follower.end()
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

    async def wait_for(self, condition: Any, what: str) -> None:
        try:
            async with asyncio.timeout(WAIT_S):
                while not condition():
                    await asyncio.sleep(0.005)
        except TimeoutError:
            self.fail(f"timed out waiting: {what}")

    def check_order(self) -> None:
        """Check that no two writes of a key ran at once, and that none overtook another."""
        for key, runs in self.node.runs.items():
            numbers = [number for number, _, _ in runs]
            self.assertEqual(numbers, sorted(numbers), f"{key}: {runs}")
            for (_, _, end), (_, begin, _) in itertools.pairwise(runs):
                self.assertLessEqual(end, begin, f"{key}: {runs}")


class OrderBesideAnotherProcess(TwoProcesses):
    """Both processes go on."""

    async def test_writes_at_both_processes_run_one_at_a_time_in_order(self) -> None:
        """Guards against processes of a gateway that each keep an order of their own."""
        for _ in range(3):
            for client in self.clients:
                self.write(client)
            self.assertEqual(await self.statuses(self.clients), [200] * len(self.clients))
        self.check_order()
        self.assertEqual((await self.owner.stats())["order.followers"], "1")
        self.assertEqual((await self.follower.stats())["order.role"], "1")

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
        self.assertEqual((await self.follower.stats())["order.role"], "2")
        self.check_order()

    async def check_while_one_stands_still(self, still: Gateway, other: list[RawClient]) -> None:
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
        self.check_order()

    async def test_no_write_overtakes_one_of_an_owner_that_stands_still(self) -> None:
        """Guards against a follower that takes over while the owner may still have an older write."""
        await self.check_while_one_stands_still(self.owner, self.follower_clients)

    async def test_no_write_overtakes_one_of_a_follower_that_stands_still(self) -> None:
        """Guards against an owner that does not wait for older writes that its follower has not read."""
        await self.check_while_one_stands_still(self.follower, self.owner_clients)


class OrderAfterACrash(TwoProcesses):
    """One of two processes is killed while writes run at a node that finishes them all the same."""

    work_s = 0.2

    async def check_after_a_kill(self, killed: Gateway, survivors: list[RawClient]) -> None:
        for client in self.clients:
            self.write(client)
        await self.wait_for(lambda: self.node.begun >= 2 * KEYS, "writes of both processes have begun")
        killed.process.kill()
        self.assertEqual(await self.statuses(survivors), [200] * len(survivors))
        for client in survivors:
            self.write(client)
        self.assertEqual(await self.statuses(survivors), [200] * len(survivors))
        self.check_order()

    async def test_no_write_runs_beside_one_of_an_owner_that_was_killed(self) -> None:
        """Guards against a new owner that does not wait for attempts of the previous one."""
        await self.check_after_a_kill(self.owner, self.follower_clients)

    async def test_no_write_runs_beside_one_of_a_follower_that_was_killed(self) -> None:
        """Guards against an owner that does not wait for attempts of a follower that was killed."""
        await self.check_after_a_kill(self.follower, self.owner_clients)
