"""Stand-ins and tools of the review's cases: discovery, storage nodes, clients, gateway processes.

Standard library only.  Everything listens on loopback addresses, on ports that the kernel chooses.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_LINE = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


def free_ports(count: int) -> list[int]:
    """Return distinct ports that were free on 127.0.0.1 a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


class Record:
    """The record of a run: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()
        self("trouble: " + ("yes" if TROUBLE else "no (TROUBLE=0)"))

    def __call__(self, line: str) -> None:
        self._file.write(f"{time.monotonic() - self._began:9.3f}  {line}\n")
        self._file.flush()


class Message:
    """One HTTP/1.1 message: first line, headers by lower-case name, body."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first, self.headers, self.body = first, headers, body

    @property
    def status(self) -> int:
        return int(self.first.split()[1])


async def read_message(reader: asyncio.StreamReader, is_response: bool = False) -> Message | None:
    """Read one message; None at the end of the stream."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    break
                body += chunk[:-2]
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Message(first, headers, body)


def response(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Encode a response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join((*lines, "", "")).encode() + body


@dataclass
class Run:
    """A request that a storage node has run."""

    node: str
    id: str
    method: str
    target: str
    body: bytes
    key: str
    at: float


# Answers a request whose run was noted; None closes the connection without an answer.
Answer = Callable[[Message, asyncio.StreamWriter], Awaitable[bytes | None]]


class StorageNode:
    """A storage node by the protocol page: it runs each complete request and answers it with 200.

    The body of its answer names the request, so that a client can tell an answer made for another request.
    """

    verb = "runs"

    def __init__(self, name: str, shard: int, record: Record, delay_ms: float = 5.0) -> None:
        self.name, self.shard, self.record, self.delay_ms = name, shard, record, delay_ms
        self.port = 0
        self.runs: list[Run] = []
        self.answer: Answer | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """The process ends: its connections reset, new ones are refused."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message.first.split()
                request = message.headers.get("request-id", "")
                run = Run(self.name, request, method, target, message.body,
                          message.headers.get("idempotency-key", ""), time.monotonic())
                self.runs.append(run)
                self.record(f"{self.name} {self.verb} {method} {target} id={request} key={run.key!r} "
                            f"body={message.body[:40]!r} ({len(message.body)} bytes)")
                if self.answer is not None:
                    raw = await self.answer(message, writer)
                else:
                    await asyncio.sleep(self.delay_ms / 1000)
                    raw = response(200, f"made for {request}".encode())
                if raw is None:
                    return
                writer.write(raw)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass  # the connection broke, or the case has ended
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Discovery:
    """The discovery agent: answers at once with the list, and holds watches until it changes."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.version, self.port = 1, 0
        self.rows: dict[str, dict[str, Any]] = {}
        self._changed: dict[str, int] = {}
        self._news = asyncio.Event()
        self._server: asyncio.Server | None = None

    def put(self, node: StorageNode, state: str = "active", started_ms: float = 0) -> None:
        """Add a node to the list, or change its entry."""
        self.version += 1
        self.rows[node.name] = {
            "id": node.name, "addr": node.address, "zone": "a", "kind": "m", "cell": node.shard,
            "state": state, "weight": 1.0, "started_ms": started_ms,
        }
        self._changed[node.name] = self.version
        news, self._news = self._news, asyncio.Event()
        news.set()
        self.record(f"discovery tells version {self.version}: {node.name} is {state}")

    def full(self) -> dict[str, Any]:
        return {"version": self.version, "full": True, "servers": list(self.rows.values())}

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                target = message.first.split()[1]
                query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
                answer = self.full()
                if "since" in query:
                    since = int(query["since"])
                    if since >= self.version:
                        with contextlib.suppress(TimeoutError):
                            wait_s = min(60.0, int(query.get("timeout_ms", "0")) / 1000)
                            await asyncio.wait_for(self._news.wait(), wait_s)
                    rows = [self.rows[name] for name, at in self._changed.items() if at > since]
                    answer = {"version": self.version, "full": False, "servers": rows}
                writer.write(response(200, json.dumps(answer).encode()))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass  # the connection broke, or the case has ended
        finally:
            writer.transport.abort()


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings like those of a small deployment at the site carrasco-campus."""
    document: dict[str, Any] = {
        "balancers": 1, "position": 0, "zone": "hall-norte", "tick-ms": 2.0, "discovery": "automatic",
        "classes": [
            {"name": "passenger-read", "target-ms": 150.0, "hard-limit-ms": 750.0, "importance": 3.0,
             "effect": "read_like", "late-share": 0.1},
            {"name": "checkin-write", "target-ms": 200.0, "hard-limit-ms": 1200.0, "importance": 2.0,
             "effect": "non_idempotent", "late-share": 0.1},
            {"name": "flight-export", "target-ms": 750.0, "hard-limit-ms": 2500.0, "importance": 1.0,
             "effect": "read_like", "late-share": 0.2},
        ],
        "contracts": [{"name": "basic", "base-rate": 200.0, "reserve": 100.0, "proportion": 1.0},
                      {"name": "standard", "base-rate": 400.0, "reserve": 400.0, "proportion": 3.0}],
        "domain": {"mean-units": 2.0, "most-units": 8, "shards": 8, "writes": [False, True, False],
                   "meter-ms": 500.0},
        "limits": {"max-attempts": 3, "cancel": True, "conn-idle-ms": 30000.0,
                   "connect-timeout-ms": 250.0, "retry-after": True, "max-retry-after-ms": 1000.0,
                   "peers": True, "probes": True},
        "load-info": {"columns": ["inflight"], "how": "answers"},
        "obligations": {"answer-slack-ms": 8.0, "drain-grace-ms": 2000.0, "fall-ms": 3000.0,
                        "fall-multiple": 4.0, "ramp-time-ms": 17000.0, "start-capacity": 0.18},
    }
    document.update(changes)
    return document


def config(name: str, port: int, discovery: Discovery, **changes: Any) -> dict[str, Any]:
    """Return a gateway's configuration file, with the limits of the scored days."""
    return {
        "name": name, "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery.port}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": discovery.full(),
        "settings": settings(), **changes,
    }


class Gateway:
    """One gateway process, started with the `run` line of the deploy file."""

    def __init__(self, folder: Path, record: Record, config: dict[str, Any], label: str = "",
                 operator: str = "", tmpdir: Path | None = None, root: Path = ROOT) -> None:
        self.folder, self.record, self.root = folder, record, root
        self.name = config["name"]
        self.label = label or self.name
        self.config, self.operator = config, operator
        self.tmpdir = tmpdir or folder / f"tmp-{self.label}"
        self.process: asyncio.subprocess.Process | None = None
        self.log_path = folder / f"{self.label}.log"

    @property
    def port(self) -> int:
        return int(self.config["listen"].rpartition(":")[2])

    @property
    def admin(self) -> int:
        return int(self.config["admin"].rpartition(":")[2])

    def write_config(self) -> Path:
        path = self.folder / f"{self.label}.json"
        path.write_text(json.dumps(self.config))
        return path

    async def start(self) -> None:
        self.tmpdir.mkdir(exist_ok=True)
        env = {name: value for name, value in os.environ.items()
               if not name.startswith(("EDGE_", "OTEL_"))}
        env |= {"EDGE_NAME": self.name, "EDGE_LISTEN": self.config["listen"],
                "EDGE_DISCOVERY": self.config["discovery"], "EDGE_CONFIG": str(self.write_config()),
                "TMPDIR": str(self.tmpdir)}
        if "admin" in self.config:
            env["EDGE_ADMIN"] = self.config["admin"]
        if self.operator:
            path = self.folder / f"{self.label}.kdl"
            path.write_text(self.operator)
            env["EDGE_OPERATOR"] = str(path)
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", RUN_LINE, cwd=self.root, env=env, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log)
        PROCESSES.append(self.process)
        self.record(f"gateway {self.label} started, pid {self.process.pid}")

    async def ready(self, timeout_s: float = 20.0) -> None:
        """Wait until it answers GET /up with 200 on a connection of its own."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            with contextlib.suppress(OSError):
                client = Client(self.port)
                try:
                    await client.connect()
                    answer = await client.exchange(b"GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                    if answer is not None and answer.status == 200:
                        self.record(f"gateway {self.label} is up")
                        return
                finally:
                    client.close()
            await asyncio.sleep(0.05)
        raise CannotRunError(f"gateway {self.label} did not come up: {self.log_path.read_text()[-2000:]}")

    def send_signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record(f"{number.name} to gateway {self.label}")
        self.process.send_signal(number)

    async def wait(self, timeout_s: float) -> int:
        assert self.process is not None
        code = await asyncio.wait_for(self.process.wait(), timeout_s)
        self.record(f"gateway {self.label} ended with {code}")
        return code

    async def call(self, line: str, timeout_s: float = 5.0) -> str:
        """Make an operators' call and return the lines of its answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin)
        try:
            writer.write(line.encode() + b"\n")
            answer = (await asyncio.wait_for(reader.read(-1), timeout_s)).decode().strip()
        finally:
            writer.transport.abort()
        self.record(f"operator at {self.label}: {line} -> {answer.splitlines()[0] if answer else answer!r}")
        return answer

    async def stats(self) -> dict[str, str]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin)
        writer.write(b"STATS\n")
        answer = (await asyncio.wait_for(reader.read(-1), 5.0)).decode()
        writer.transport.abort()
        return dict(line.split("=", 1) for line in answer.splitlines() if "=" in line)


class CannotRunError(Exception):
    """The case could not run."""


PROCESSES: list[asyncio.subprocess.Process] = []
_LAST = [0]


def request_head(method: str, cls: str, length: int | None = None, *, id: str = "", shard: int = 0,
                 timeout_ms: int = 1200, units: int = 2, volume: str = "00000003b4d60021",
                 tier: str = "basic", key: str = "7f3a9c21e0b4d655",
                 headers: dict[str, str] | None = None) -> tuple[str, bytes]:
    """Return a new request id, and the head of a request by the protocol page."""
    _LAST[0] += 1
    id = id or f"{os.getpid():08x}{_LAST[0]:08x}"
    lines = [f"{method} /api?key={key} HTTP/1.1", "Host: app.svc", f"Request-Id: {id}",
             f"Request-Class: {cls}", f"Tier: {tier}", f"Request-Timeout-Ms: {timeout_ms}",
             f"IO-Info: volume={volume},units={units},shard={shard},hosts=1"]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return id, "\r\n".join((*lines, "", "")).encode()


class Client:
    """One client connection."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20), 5.0)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def send(self, data: bytes) -> None:
        assert self.writer is not None
        self.writer.write(data)
        await self.writer.drain()

    async def answer(self, timeout_s: float = 10.0) -> Message | None:
        """Return the answer; None if the connection ended, TimeoutError if there is none."""
        return await asyncio.wait_for(read_message(self.reader, True), timeout_s)

    async def exchange(self, data: bytes, timeout_s: float = 10.0) -> Message | None:
        await self.send(data)
        return await self.answer(timeout_s)

    def close(self) -> None:
        if self.writer is not None:
            self.writer.transport.abort()


def run_case(case: Callable[[Path, Record], Awaitable[list[str]]], folder: Path, limit_s: float = 110.0) -> None:
    """Run a case and exit: it returns the sentences that tell how the rule was broken, none if it held."""
    record = Record(folder / "record.txt")
    temporary = Path(tempfile.mkdtemp(prefix="review-"))

    async def main() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):  # the processes end with the script
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            broken = await asyncio.wait_for(case(temporary, record), limit_s)
        except (Exception, asyncio.CancelledError) as error:  # whatever hinders the case
            record(f"the case could not run: {type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
            return CANNOT_RUN
        finally:
            for process in PROCESSES:
                if process.returncode is None:
                    with contextlib.suppress(ProcessLookupError):
                        process.kill()
                    await process.wait()
        for line in broken:
            record(f"BROKEN: {line}")
            print(f"broken: {line}")
        record("verdict: " + ("broken" if broken else "held"))
        print("verdict: " + ("broken" if broken else "held"))
        return BROKEN if broken else HELD

    try:
        code = asyncio.run(main())
    finally:
        for log in sorted(temporary.glob("*.log")):
            record(f"last lines of {log.name}:")
            for line in log.read_text(errors="replace").splitlines()[-12:]:
                record(f"    {line[:300]}")
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(code)
