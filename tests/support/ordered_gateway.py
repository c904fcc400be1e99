"""Processes of one gateway with an ordered class, and the storage node behind them."""

from __future__ import annotations

import asyncio
import itertools
import json
import math
import sys
import time
from collections import defaultdict
from pathlib import Path
from typing import Any

from shaletiller.lab.port_reservations import reserve_port
from tests.net.test_endings import RawClient, encode_request
from tests.support.scenario import SETTINGS, read_message

ROOT = Path(__file__).parent.parent.parent
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


class GatewayProcess:
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
