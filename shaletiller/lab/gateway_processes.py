"""Real gateway processes: configured, started, signalled, asked at their doors, and looked at from
outside."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import shutil
import signal
import socket
import sys
from pathlib import Path
from typing import Any

from shaletiller.lab.storage_nodes import now_ms

ROOT = Path(__file__).parent.parent.parent
READY_S = 30.0
PORTS, BLOCK = (10_000, 32_000), 200  # below those that Linux gives to outgoing connections
CALL_S = 3.0
ACCEPTS_MS = 700.0  # a process that is told to stop takes new connections for so long
TICKS = os.sysconf("SC_CLK_TCK")


class LabError(Exception):
    """The laboratory could not do what it was asked; nothing was shown either way."""


_ports = itertools.count()


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """A port that nothing has, that the kernel gives to no connection, and that no laboratory beside this one
    takes meanwhile: gateways share a port with whoever else has it (SO_REUSEPORT), without a word."""
    first = PORTS[0] + os.getpid() % ((PORTS[1] - PORTS[0]) // BLOCK) * BLOCK
    while (at := next(_ports)) < 10 * BLOCK:
        port = PORTS[0] + (first - PORTS[0] + at) % (PORTS[1] - PORTS[0])
        with socket.socket(type=kind) as found:
            try:
                found.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise LabError("no free port")


class Process:
    """One gateway.  It keeps its folder over restarts, unless that is wiped."""

    def __init__(
        self,
        name: str,
        folder: Path,
        config: dict[str, Any],
        operator: str = "",
        seed: int = 0,
    ) -> None:
        self.name, self.folder = name, folder
        folder.mkdir(parents=True, exist_ok=True)
        self.port, self.admin_port = free_port(), free_port()
        self._operator = folder / "operator.kdl"
        self.write_operator(operator)
        self._config = folder / "config.json"
        self.told = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "admin": f"127.0.0.1:{self.admin_port}",
            "limits": {"sockets": 1024},
            "seed": seed,
            **config,
        }
        self._write()
        self._process: asyncio.subprocess.Process | None = None
        self.paused = False
        self.starts = 0
        self.up_ms: list[float] = []  # when it began to serve, after each start
        self.down: list[list[float]] = []  # from when to when it could not run: killed, stopped, or starting

    def write_operator(self, text: str) -> None:
        self._operator.write_text(text)

    def _write(self) -> None:
        self._config.write_text(json.dumps(self.told))

    @property
    def pid(self) -> int:
        if self._process is None:
            raise LabError(f"{self.name}: not started")
        return self._process.pid

    @property
    def alive(self) -> bool:
        return self._process is not None and self._process.returncode is None

    async def start(self, known: dict[str, Any] | None = None) -> None:
        """Start the program; `known` is the node list that it is given."""
        if known is not None:
            self.told["known"] = known
            self._write()
        began = now_ms()
        if not self.down or self.down[-1][1] != float("inf"):
            self.down.append([began, float("inf")])
        env = {
            "EDGE_CONFIG": str(self._config),
            "TMPDIR": str(self.folder),
            "PATH": os.environ.get("PATH", ""),
        }
        if self._operator.stat().st_size:
            env["EDGE_OPERATOR"] = str(self._operator)
        log = (self.folder / "log.txt").open("ab")
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "shaletiller", cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()
        self.starts += 1
        self.paused = False
        await self._ready()

    async def _ready(self) -> None:
        until = now_ms() + READY_S * 1000
        while now_ms() < until:
            if not self.alive:
                raise LabError(f"{self.name} ended: {(self.folder / 'log.txt').read_text()[-500:]}")
            try:
                if (await self.call("READY"))[0].startswith("done"):
                    self.up_ms.append(now_ms())
                    self.down[-1][1] = now_ms()
                    return
            except (OSError, LabError):
                pass
            await asyncio.sleep(0.02)
        raise LabError(f"{self.name}: not ready after {READY_S:.0f} s")

    async def call(self, line: str) -> list[str]:
        """A call at the operators' door: the lines of its answer."""
        try:
            async with asyncio.timeout(CALL_S):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_port)
                writer.write(line.encode() + b"\n")
                found = (await reader.read()).decode().splitlines()
                writer.close()
        except TimeoutError as error:
            raise LabError(f"{self.name}: no answer to {line!r} in {CALL_S:.0f} s") from error
        if not found:
            raise LabError(f"{self.name}: empty answer to {line!r}")
        return found

    async def stats(self) -> dict[str, int]:
        lines = await self.call("STATS")
        return {name: int(value) for name, _, value in (line.partition("=") for line in lines) if value}

    def _signal(self, number: signal.Signals) -> None:
        if self.alive:
            os.kill(self.pid, number)

    async def kill(self) -> None:
        """SIGKILL, and wait for the end."""
        if not self.alive:
            return
        if not self.paused:
            self.down.append([now_ms(), float("inf")])
        self._signal(signal.SIGKILL)
        assert self._process is not None
        await self._process.wait()

    def wipe(self) -> None:
        """The machine is lost with its disk: all that the process kept is gone, its configuration stays."""
        if self.alive:
            raise LabError(f"{self.name}: its folder can be wiped only while it is down")
        for path in self.folder.iterdir():
            if path not in (self._config, self._operator) and path.name != "log.txt":
                shutil.rmtree(path) if path.is_dir() else path.unlink()

    def drill(self, faults: dict[str, Any]) -> None:
        """Faults under its store, from now on; an operators' file with `drill` looks there."""
        self.drills.write_text(json.dumps(faults))

    @property
    def drills(self) -> Path:
        return self.folder / "drill.json"

    def pause(self) -> None:
        self._signal(signal.SIGSTOP)
        self.paused = True
        self.down.append([now_ms(), float("inf")])

    def resume(self) -> None:
        self._signal(signal.SIGCONT)
        if self.paused:
            self.paused = False
            self.down[-1][1] = now_ms()

    async def stop(self) -> None:
        """SIGTERM, and SIGKILL where that takes too long."""
        if not self.alive:
            return
        self.resume()
        self.down.append([now_ms() + ACCEPTS_MS, float("inf")])  # then its listener closes
        self._signal(signal.SIGTERM)
        assert self._process is not None
        try:
            async with asyncio.timeout(8.0):
                await self._process.wait()
        except TimeoutError:
            await self.kill()

    def was_down(self, begin_ms: float, end_ms: float) -> bool:
        """Whether the process could not run at some time of a span."""
        return any(begin < end_ms and end > begin_ms for begin, end in self.down)

    def usage(self) -> tuple[float, float]:
        """CPU seconds used, and megabytes resident."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        resident = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return (int(fields[11]) + int(fields[12])) / TICKS, resident * os.sysconf("SC_PAGE_SIZE") / 1e6
