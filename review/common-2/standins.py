"""Stand-ins and process control for the cases 6 to 10: storage node, discovery agent, HTTP client, gateway.

Only the standard library is used.  Every address is a loopback address; ports are chosen by the kernel.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READY_S = 20.0


class CannotRunError(Exception):
    """The case could not run; it says nothing about the rule."""


def now_ms() -> float:
    return time.time() * 1000


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Record:
    """What was sent, answered and run, written to record.txt of the case."""

    def __init__(self, folder: Path) -> None:
        self.start_ms = now_ms()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self(f"trouble: {'on' if TROUBLE else 'off'}")

    def __call__(self, text: str, at_ms: float | None = None) -> None:
        self._file.write(f"{(at_ms or now_ms()) - self.start_ms:10.1f} ms  {text}\n")
        self._file.flush()


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of the example in the wire page, for one gateway; sections are merged with `changes`."""
    base: dict[str, Any] = {
        "balancers": 1,
        "position": 0,
        "tick-ms": 2.0,
        "zone": "hall-sur",
        "zones": ["hall-norte", "hall-sur"],
        "discovery": "automatic",
        "kind-of-service": "stores",
        "weight-source": "nominal",
        "classes": [
            {"name": "passenger-read", "effect": "read_like", "target-ms": 150.0, "hard-limit-ms": 750.0,
             "importance": 3.0, "late-share": 0.1, "dedup-scope": "all", "key-ttl-ms": 5000.0,
             "streaming": False},
            {"name": "checkin-write", "effect": "non_idempotent", "target-ms": 200.0, "hard-limit-ms": 1200.0,
             "importance": 2.0, "late-share": 0.1, "dedup-scope": "all", "key-ttl-ms": 5000.0,
             "streaming": False},
            {"name": "flight-export", "effect": "read_like", "target-ms": 750.0, "hard-limit-ms": 2500.0,
             "importance": 1.0, "late-share": 0.2, "dedup-scope": "all", "key-ttl-ms": 5000.0,
             "streaming": False},
        ],
        "contracts": [
            {"name": "basic", "base-rate": 200.0, "reserve": 200.0, "proportion": 1.0, "value-factor": 1.0,
             "ceiling-rate": 0.0, "burst": 0.0, "slack": 0.0},
        ],
        "domain": {"mean-units": 2.0, "most-units": 8, "shards": 4, "cold-bears": 41.0, "meter-ms": 0.0,
                   "within-share": 0.4, "beyond-share": 0.05, "counts-others": False,
                   "writes": [False, True, False]},
        "limits": {"cancel": True, "conn-idle-ms": 30000.0, "connect-timeout-ms": 250.0, "max-attempts": 3,
                   "max-open": 20000, "max-retry-after-ms": 1000.0, "peers": False, "probes": False,
                   "retry-after": True, "second-copies": False, "streams-per-conn": 100,
                   "cpu-us-per-request": 0.0, "cpu-us-per-s": 300000},
        "load-info": {"columns": ["inflight"], "how": "answers"},
        "obligations": {"answer-slack-ms": 8.0, "ask-within-ms": 10000.0, "drain-grace-ms": 2000.0,
                        "fall-ms": 3000.0, "fall-multiple": 4.0, "ramp-time-ms": 17000.0,
                        "start-capacity": 0.18},
        "clients": {"marks-retry": False},
        "deductions": {"probe": 0.0086, "peer": 0.008, "waste": 0.039},
    }
    for key, value in changes.items():
        key = key.replace("_", "-")
        base[key] = {**base[key], **value} if isinstance(value, dict) else value
    return base


# ---------------------------------------------------------------- HTTP


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read a head; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode_response(status: int, body: bytes = b"", **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def encode_request(
    request_id: str,
    *,
    cls: str = "passenger-read",
    volume: int = 1,
    key: int = 1,
    units: float = 1,
    shard: int = 0,
    hosts: int = 1,
    timeout_ms: int = 750,
    plan: str = "basic",
    body: bytes | None = None,
) -> bytes:
    """A client's request in the form of the protocol page; with a body it is a PUT."""
    method = "GET" if body is None else "PUT"
    lines = [
        f"{method} /api?key={key:016x} HTTP/1.1",
        "Host: app.svc",
        f"Request-Id: {request_id}",
        f"Request-Class: {cls}",
        f"Tier: {plan}",
        f"Request-Timeout-Ms: {timeout_ms}",
        f"IO-Info: volume={volume:016x},units={units:g},shard={shard},hosts={hosts}",
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


class Arrival:
    """One request that a storage node received completely; `answered_ms` is 0 while it has no answer."""

    def __init__(self, node: str, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.node, self.method, self.target, self.headers, self.body = node, method, target, headers, body
        self.id = headers.get("request-id", "")
        self.at_ms = now_ms()
        self.answered_ms = 0.0
        self.broken = False


class Node:
    """A storage node: begins each request once its last byte has come, and answers after `delay_ms`."""

    def __init__(self, name: str, cell: int, record: Record, delay_ms: float = 20.0) -> None:
        self.name, self.cell, self.record, self.delay_ms = name, cell, record, delay_ms
        self.arrivals: list[Arrival] = []
        self.port = 0
        self.connections = 0
        self._server: asyncio.Server | None = None
        self.on_request: Callable[[Arrival], Awaitable[bytes]] | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                arrival = Arrival(self.name, method, target, headers, body)
                if not arrival.id:
                    writer.write(encode_response(404))
                    continue
                self.arrivals.append(arrival)
                self.record(f"node {self.name}: request {arrival.id} {method} begins", arrival.at_ms)
                writer.write(await self._answer(arrival))
                arrival.answered_ms = now_ms()
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, arrival: Arrival) -> bytes:
        if self.on_request is not None:
            return await self.on_request(arrival)
        await asyncio.sleep(self.delay_ms / 1000)
        return encode_response(200, f"{self.name} {arrival.id}".encode(), Server_Load='{"inflight":1}')

    def row(self, state: str = "active", started_ms: float = 0.0) -> dict[str, Any]:
        return {"id": self.name, "addr": f"127.0.0.1:{self.port}", "zone": "hall-sur", "kind": "full-speed",
                "cell": self.cell, "state": state, "weight": 1.0, "started_ms": started_ms}


class Agent:
    """The discovery agent: answers the full list at once, and holds watches until there is a change.

    `gate` is awaited before each answer is written; a case uses it to make discovery silent or slow.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.version = 1
        self.rows: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.port = 0
        self.gate: Callable[[], Awaitable[None]] | None = None
        self.always_full = False
        self.written: list[tuple[float, int]] = []  # time and version of each list that was written
        self._changed = asyncio.Event()

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def set(self, *rows: dict[str, Any]) -> None:
        """Change entries; one in state `left` is removed from the list."""
        self.version += 1
        for row in rows:
            if row["state"] == "left":
                self.rows.pop(row["id"], None)
            else:
                self.rows[row["id"]] = row
            self.changes.append((self.version, row))
        self.record(f"discovery: version {self.version}: {[(r['id'], r['state']) for r in rows]}")
        self._changed.set()
        self._changed = asyncio.Event()

    def full_list(self) -> dict[str, Any]:
        return {"version": self.version, "full": True, "servers": list(self.rows.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                target = head[0].split(" ")[1]
                query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
                since = int(query["since"]) if "since" in query else None
                if since is not None and since >= self.version:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), int(query["timeout_ms"]) / 1000)
                if self.gate is not None:
                    await self.gate()
                if since is None or self.always_full:
                    answer = self.full_list()
                else:
                    newest = {row["id"]: row for version, row in self.changes if version > since}
                    answer = {"version": self.version, "full": False, "servers": list(newest.values())}
                writer.write(encode_response(200, json.dumps(answer).encode(), Content_Type="application/json"))
                self.written.append((now_ms(), answer["version"]))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Client:
    """A client's connection; one request at a time."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(self, raw: bytes, timeout_s: float = 5.0) -> tuple[int, dict[str, str], bytes] | None:
        """Send a request and read its answer; None if the connection ended without one."""
        try:
            async with asyncio.timeout(timeout_s):
                if self._streams is None:
                    self._streams = await asyncio.open_connection("127.0.0.1", self.port)
                reader, writer = self._streams
                writer.write(raw)
                head = await read_head(reader)
                if head is None:
                    self.close()
                    return None
                status = int(head[0].split(" ")[1])
                body = await read_body(reader, head[1])
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            return None
        if head[1].get("connection", "").lower() == "close":
            self.close()
        return status, head[1], body

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


async def operator_call(port: int, line: str) -> str:
    """One call to the operators' door; returns the first line of the answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{line}\n".encode())
    answer = (await asyncio.wait_for(reader.readline(), 5.0)).decode().strip()
    writer.close()
    return answer


# ---------------------------------------------------------------- processes


class Gateway:
    """A gateway process, started by the `run` line of the deploy file."""

    def __init__(
        self,
        folder: Path,
        agent: Agent,
        site: dict[str, Any],
        *,
        name: str = "n1",
        listen: int | None = None,
        admin: int | None = None,
        root: Path = ROOT,
        sockets: int = 1024,
        tmpdir: Path | None = None,
        env: dict[str, str] | None = None,
    ) -> None:
        self.name, self.folder, self.root = name, folder, root
        self.port, self.admin = listen or free_port(), admin or free_port()
        self.tmpdir = tmpdir or folder / f"tmp-{name}"
        self.tmpdir.mkdir(parents=True, exist_ok=True)
        self.config_path = folder / f"config-{name}.json"
        self.config: dict[str, Any] = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{agent.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": agent.full_list(),
            "settings": site,
        }
        self.extra_env = env or {}
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self, config: dict[str, Any] | None = None) -> None:
        partial = self.config_path.with_suffix(".new")
        partial.write_text(json.dumps(config or self.config))
        partial.replace(self.config_path)

    def start(self) -> None:
        if not self.config_path.exists():
            self.write_config()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        env = {key: value for key, value in os.environ.items() if not key.startswith(("EDGE_", "OTEL_"))}
        env |= {"EDGE_CONFIG": str(self.config_path), "EDGE_ADMIN": f"127.0.0.1:{self.admin}",
                "TMPDIR": str(self.tmpdir), **self.extra_env}
        log = (self.folder / f"log-{self.name}-{self.admin}.txt").open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=self.root, env=env, stdout=log, stderr=log, start_new_session=True
        )

    async def ready(self) -> None:
        """Wait until the operators' door says yes and `GET /up` answers 200."""
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            if self.process is not None and self.process.poll() is not None:
                raise CannotRunError(f"gateway {self.name} ended with {self.process.returncode}")
            with contextlib.suppress(OSError, TimeoutError):
                if (await operator_call(self.admin, "READY")).startswith("done"):
                    up = await Client(self.port).request(b"GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                    if up is not None and up[0] == 200:
                        return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"gateway {self.name} was not ready within {READY_S:.0f} s")

    def signal(self, number: int) -> None:
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def wait(self, timeout_s: float) -> int | None:
        """Wait for the end of the process; returns its exit code, None if it still runs."""
        assert self.process is not None
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline and self.process.poll() is None:
            await asyncio.sleep(0.02)
        return self.process.poll()

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(10)


def run_case(case: Callable[[Path, Record, list[Gateway]], Awaitable[bool]], folder: Path) -> None:
    """Run a case and exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    record = Record(folder)
    work = Path(tempfile.mkdtemp(prefix="shaletiller-case-"))
    gateways: list[Gateway] = []

    async def play() -> bool:
        # Tasks of stand-ins that are cancelled at the end would be reported as errors.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        async with asyncio.timeout(110):
            return await case(work, record, gateways)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    try:
        held = asyncio.run(play())
        code = 0 if held else 1
    except Exception as error:  # whatever goes wrong here, the case says nothing about the rule
        record(f"could not run: {type(error).__name__}: {error}")
        code = 2
    finally:
        for gateway in gateways:
            gateway.end()
        if keep := os.environ.get("KEEP"):
            shutil.copytree(work, keep, dirs_exist_ok=True)
        shutil.rmtree(work, ignore_errors=True)
    record({0: "the rule held", 1: "the rule was broken", 2: "no verdict"}[code])
    sys.exit(code)
