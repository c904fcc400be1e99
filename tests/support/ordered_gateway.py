"""Processes of one gateway with an ordered class, and the storage node behind them."""

from __future__ import annotations

import asyncio
import itertools
import math
import time
from collections import defaultdict
from pathlib import Path
from typing import Any

from shaletiller.lab import gateway_processes
from shaletiller.lab.port_reservations import reserve_port
from tests.net.test_endings import RawClient, encode_request
from tests.support.scenario import SETTINGS, read_message

request_numbers = itertools.count(1000)
LONG_MS = 20_000.0  # longer than a busy machine needs for a test
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
                runs, begun = self.runs[line.split()[1]], time.monotonic()
                runs.append((int(body), begun, math.inf))
                position = len(runs) - 1
                await asyncio.sleep(self.work_s)
                runs[position] = (int(body), begun, time.monotonic())
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok")

    def close(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()

    def check_order(self) -> None:
        """Check that no two writes of a key ran at once, and that none overtook another."""
        for key, runs in self.runs.items():
            for (earlier, _, end), (later, begin, _) in itertools.pairwise(runs):
                assert earlier < later, f"{key}: {later} ran after {earlier}: {runs}"
                assert end <= begin, f"{key}: {later} ran beside {earlier}: {runs}"

    @property
    def begun(self) -> int:
        return sum(map(len, self.runs.values()))


class GatewayProcess(gateway_processes.GatewayProcess):
    """One of several processes of a gateway: they share its address and `TMPDIR`."""

    def __init__(self, folder: Path, config: dict[str, Any]) -> None:
        super().__init__(config["name"], folder / f"process-{next(request_numbers)}", config)
        self.port = int(config["listen"].split(":")[1])  # not the one that was reserved for it

    def _environment(self) -> dict[str, str]:
        return super()._environment() | {"TMPDIR": str(self.folder.parent)}

    @property
    def process(self) -> asyncio.subprocess.Process:
        assert self._process is not None
        return self._process

    async def connect(self, count: int) -> list[RawClient]:
        """Connect clients to this process, which shares its address with another one."""
        clients: list[RawClient] = []
        async with asyncio.timeout(WAIT_S):
            while len(clients) < count:
                client = await RawClient.open(("127.0.0.1", self.port))
                served_before = await self.served_reads()
                client.send(encode_request(next(request_numbers), Request_Timeout_Ms="9000"))
                await client.read_response()
                if await self.served_reads() != served_before:
                    clients.append(client)
                else:
                    client.close()
        return clients

    async def served_reads(self) -> int:
        return (await self.stats())["edge.results.read.succeeded"]


def gateway_config(node_port: int, settings: dict[str, Any] | None = None) -> dict[str, Any]:
    """Return the configuration of a gateway on an address of its own, with one node and no discovery."""
    node = {"id": "n1", "addr": f"127.0.0.1:{node_port}", "zone": "a", "cell": 1}
    return {
        "name": "g1",
        "listen": f"127.0.0.1:{reserve_port()}",
        "discovery": "127.0.0.1:1",
        "settings": settings or ORDERED_SETTINGS,
        "known": {"version": 1, "full": True, "servers": [node]},
    }
