"""A gateway process over loopback with scripted storage nodes, usual clients and a watch on its memory."""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from shaletiller.lab.gateway_processes import GatewayProcess
from shaletiller.lab.scripted_node import ScriptedNode, encode_head
from tests.support.scenario import SETTINGS, read_message

NODES = 3
USUAL_CLIENTS = 10
USUAL_PAUSE_S = 0.1
USUAL_TIMEOUT_MS = 1200
MEMORY_POLL_S = 0.01
LOAD_SETTINGS = SETTINGS | {
    "classes": [
        SETTINGS["classes"][0] | {"hard-limit-ms": 3000.0},
        SETTINGS["classes"][1] | {"hard-limit-ms": 3000.0},
    ],
    "contracts": [{"name": "basic", "base-rate": 50_000.0, "reserve": 50_000.0, "proportion": 1.0}],
}


@dataclass
class Measurement:
    """What a run has shown."""

    peak_mb: float = 0.0  # of private memory
    peak_resident_mb: float = 0.0
    idle_mb: float = 0.0
    statuses: Counter[int] = field(default_factory=Counter)  # answers to usual clients; 0 for none
    troubled: Counter[int] = field(default_factory=Counter)  # answers to clients in trouble
    latencies_s: list[float] = field(default_factory=list)
    stats: dict[str, int] = field(default_factory=dict)


def memory_mb(pid: int) -> tuple[float, float]:
    """Return the private and the resident memory of a process in MiB."""
    status = Path(f"/proc/{pid}/status").read_text()
    private, resident = (re.search(rf"{name}:\s+(\d+)", status) for name in ("RssAnon", "VmRSS"))
    return (int(private[1]) / 1024, int(resident[1]) / 1024) if private and resident else (0.0, 0.0)


class LoadedGateway:
    """One gateway process with its nodes, used as an asynchronous context manager."""

    def __init__(self, memory_mb: float, settings: dict[str, Any] = LOAD_SETTINGS) -> None:
        self.nodes = [ScriptedNode() for _ in range(NODES)]
        self.measured = Measurement()
        self._memory_mb, self._settings = memory_mb, settings
        self._tasks: list[asyncio.Task[None]] = []
        self._writers: list[asyncio.StreamWriter] = []
        self._usual_writers: set[asyncio.StreamWriter] = set()

    async def __aenter__(self) -> LoadedGateway:
        self._folder = tempfile.TemporaryDirectory()
        self.node_ports = [await node.start() for node in self.nodes]
        rows = [
            {"id": f"n{shard}", "addr": f"127.0.0.1:{port}", "zone": "a", "cell": shard}
            for shard, port in enumerate(self.node_ports)
        ]
        self.process = GatewayProcess(
            "g1",
            Path(self._folder.name) / "g1",
            {
                "discovery": "127.0.0.1:1",
                "settings": self._settings,
                "limits": {"memory_mb": self._memory_mb, "sockets": 1024},
                "known": {"version": 1, "full": True, "servers": rows},
            },
        )
        await self.process.start()
        self._tasks.append(asyncio.create_task(self._watch_memory()))
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.transport.abort()
        await self.process.kill()
        for node in self.nodes:
            node.close()
        self._folder.cleanup()

    @property
    def log(self) -> str:
        return (self.process.folder / "log.txt").read_text()

    async def _watch_memory(self) -> None:
        measured = self.measured
        measured.idle_mb, _ = memory_mb(self.process.pid)
        while self.process.alive:
            with contextlib.suppress(OSError):
                private_mb, resident_mb = memory_mb(self.process.pid)
                measured.peak_mb = max(measured.peak_mb, private_mb)
                measured.peak_resident_mb = max(measured.peak_resident_mb, resident_mb)
            await asyncio.sleep(MEMORY_POLL_S)

    async def connect(
        self, receive_buffer: int = 0, port: int | None = None
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client connection, with a small receive buffer for a client that reads slowly."""
        sock = socket.socket()
        sock.setblocking(False)
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port or self.process.port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=1 << 16)
        self._writers.append(writer)
        return reader, writer

    def disconnect_troubled_clients(self) -> None:
        """Reset the connections of all clients but the usual ones."""
        for writer in self._writers:
            if writer not in self._usual_writers:
                writer.transport.abort()
        self._writers = list(self._usual_writers)

    def start_usual_clients(self, reconnecting: int = 0) -> None:
        """Let clients send one small request after the other until the end.

        :param reconnecting: number of further clients, which open a connection for each request.
        """
        for number in range(USUAL_CLIENTS + reconnecting):
            self._tasks.append(asyncio.create_task(self._usual_client(number, number >= USUAL_CLIENTS)))

    async def _usual_client(self, number: int, reconnects: bool) -> None:
        method = "GET" if number % 2 else "PUT"
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while True:
            began_s = time.monotonic()
            headers = {"connection": "close"}
            connection = connection or await self._connect_usual_client()
            reader, writer = connection
            body = b"seat 12A" if method == "PUT" else b""
            length = len(body) if body else None
            writer.write(encode_head(method, length, "", number % NODES, USUAL_TIMEOUT_MS) + body)
            try:
                async with asyncio.timeout(2 * USUAL_TIMEOUT_MS / 1000):
                    line, headers, _ = await read_message(reader)
                self.measured.statuses[int(line.split()[1])] += 1
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                self.measured.statuses[0] += 1
            self.measured.latencies_s.append(time.monotonic() - began_s)
            if reconnects or headers.get("connection") == "close":
                writer.close()
                self._usual_writers.discard(writer)
                connection = None
            await asyncio.sleep(USUAL_PAUSE_S)

    async def _connect_usual_client(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await self.connect()
        self._usual_writers.add(writer)
        return reader, writer
