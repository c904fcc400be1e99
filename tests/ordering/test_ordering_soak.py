"""A soak of upgrades: processes of a gateway replace each other under ordered writes, hold-ups and kills.

CI plays a few seeds; a long run is started by hand:

    SOAK_SEEDS=1:51 .venv/bin/python -m pytest -q tests/ordering/test_ordering_soak.py
"""

from __future__ import annotations

import asyncio
import os
import signal
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random

import pytest

from tests.net.test_endings import RawClient, encode_request
from tests.support.ordered_gateway import (
    ORDERED_SETTINGS,
    GatewayProcess,
    StorageNode,
    gateway_config,
    request_numbers,
)

FIRST_SEED, END_SEED = map(int, os.environ.get("SOAK_SEEDS", "1:4").split(":"))
UPGRADES = 2
KEYS = 3
DEADLINE_MS = 1500.0
# The page: SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM.
KILL_AFTER_S = DEADLINE_MS / 1000 + 0.7
MAX_HELD_UP_S = 0.15
CROWD = 100
SOAK_SETTINGS = ORDERED_SETTINGS | {
    "classes": [
        spec | {"target-ms": DEADLINE_MS, "hard-limit-ms": DEADLINE_MS}
        for spec in ORDERED_SETTINGS["classes"]
    ],
}


class Soak:
    """One seeded run."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.random = Random(seed)
        self.node = StorageNode(self.random.choice((0.005, 0.02)))
        self.folder = folder
        self.written = 0
        self.results: Counter[int] = Counter()  # responses by status, 0 for a connection that ended
        self.processes: list[GatewayProcess] = []
        self.done = False

    async def run(self) -> None:
        config = gateway_config(await self.node.start(), SOAK_SETTINGS)
        self.port = int(config["listen"].split(":")[1])
        current = await self.start(config)
        clients = [asyncio.ensure_future(self.write_on()) for _ in range(self.random.choice((6, 12)))]
        try:
            for _ in range(UPGRADES):
                current = await self.upgrade(current, config)
            await asyncio.sleep(0.5)
        finally:
            self.done = True
            await asyncio.gather(*clients)
            for process in self.processes:
                await process.kill()
            self.node.close()

    async def start(self, config: dict[str, object]) -> GatewayProcess:
        process = GatewayProcess(self.folder, config)
        await process.start()
        self.processes.append(process)
        return process

    async def upgrade(self, old: GatewayProcess, config: dict[str, object]) -> GatewayProcess:
        """Replace a process; either may be held up, and one of them may be killed."""
        new = await self.start(config)
        crowd = [
            await RawClient.open(("127.0.0.1", self.port)) for _ in range(self.random.choice((0, CROWD)))
        ]
        for _ in range(self.random.randrange(4)):
            await self.hold_up(self.random.choice((old, new)))
        if self.random.random() < 0.25:
            (old if self.random.random() < 0.5 else new).process.kill()
            await asyncio.sleep(self.random.uniform(0.0, 0.5))
        if new.process.returncode is not None:
            new = await self.start(config)
        if old.process.returncode is None:
            old.process.send_signal(signal.SIGTERM)
            killed_at = time.monotonic() + KILL_AFTER_S
            for _ in range(self.random.randrange(4)):
                await self.hold_up(self.random.choice((old, new)))
            await asyncio.sleep(max(0.0, killed_at - time.monotonic()))
            await old.kill()
        for client in crowd:
            client.close()
        return new

    async def hold_up(self, process: GatewayProcess) -> None:
        await asyncio.sleep(self.random.uniform(0.0, 0.1))
        if process.process.returncode is None:
            process.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.02, MAX_HELD_UP_S))
            process.process.send_signal(signal.SIGCONT)

    async def write_on(self) -> None:
        """Write on one connection for as long as it stays open, then on another."""
        client: RawClient | None = None
        while not self.done:
            try:
                if client is None:
                    client = await RawClient.open(("127.0.0.1", self.port))
                self.results[await self.write(client)] += 1
                if b"connection: close" in client.head.lower():
                    client.close()
                    client = None
            except (AssertionError, OSError, TimeoutError):
                self.results[0] += 1
                if client is not None:
                    client.close()
                client = None
            await asyncio.sleep(self.random.uniform(0.0, 0.02))
        if client is not None:
            client.close()

    async def write(self, client: RawClient) -> int:
        """Send the next write completely, and read its response."""
        self.written += 1
        raw = encode_request(
            self.random.randrange(KEYS),
            "PUT",
            str(self.written).encode(),
            Request_Id=f"w{next(request_numbers)}",
            Request_Timeout_Ms=f"{DEADLINE_MS:.0f}",
        )
        client.send(raw)
        return (await client.read_response())[0]


@pytest.mark.parametrize("seed", range(FIRST_SEED, END_SEED))
def test_the_order_holds_over_upgrades(seed: int) -> None:
    """Guards against ordered writes that overlap or overtake each other in a series of upgrades."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, Path(folder))
        asyncio.run(soak.run())
    print(f"seed {seed}: {soak.written} writes, responses by status {dict(soak.results)}")
    soak.node.check_order()
    assert soak.results[200] > 0
