"""A stand-in storage node whose answers are told by the query of each request."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import struct
import time
from collections import Counter, defaultdict
from urllib.parse import parse_qs

request_numbers = itertools.count(1)
BLOCK = bytes(range(251))
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for 0 s
END_OF_HEAD = b"\r\n\r\n"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </seat>\r\n\r\n"
MAX_RUNS = 100  # of one request


def encode_head(
    method: str,
    length: int | None = None,
    name: str = "",
    shard: int = 0,
    timeout_ms: int = 3000,
    query: str = "",
) -> bytes:
    """Return the head of a request; `query` tells the stand-in node how to answer."""
    lines = [
        f"{method} /api?key=7f3a9c21e0b4d655{query} HTTP/1.1",
        "Host: app.svc",
        f"Request-Id: {name or f'r{next(request_numbers):08x}'}",
        f"Request-Class: {'write' if method == 'PUT' else 'read'}",
        "Tier: basic",
        f"Request-Timeout-Ms: {timeout_ms}",
        f"IO-Info: volume=00000003b4d60021,units=2,shard={shard},hosts=1",
    ]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join((*lines, "", "")).encode()


def answer_bytes(begin: int, size: int) -> bytes:
    """Return the bytes of each answer from a position: a byte that is lost or repeated shows."""
    offset = begin % len(BLOCK)
    return (BLOCK * (size // len(BLOCK) + 2))[offset : offset + size]


async def _read_request(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a request; return its target and its fields by lower-case name."""
    head = (await reader.readuntil(END_OF_HEAD)).decode().split("\r\n")
    fields = (line.partition(":") for line in head[1:] if line)
    headers = {name.lower(): value.strip() for name, _, value in fields}
    await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0].split()[1], headers


class ScriptedNode:
    """A storage node that answers as the query of a request tells it.

    `size`: bytes of the answer; `pieces` and `over_ms`: written in so many pieces over this time; `form`:
    `length`, `chunked` or `close`; `work_ms`: time before the answer; `stop`: bytes after which it resets the
    connection; `pause_ms`: time for which it stops in the middle of its answer; `first_ms`: time between its
    head and its first byte; `silent`: bytes after which it stays silent for good, on the first run of the
    request only if `silent_runs` is 1; `early_ms`: time after an informational response before its head.
    """

    def __init__(self) -> None:
        self.runs: dict[str, list[float]] = defaultdict(list)  # times at which requests came whole, by id
        self.sent: Counter[str] = Counter()  # bytes of answers by request id
        self.begun: dict[str, float] = {}  # time at which the last head was written, by request id
        self.broken: Counter[str] = Counter()  # answers that the gateway did not take to their end
        self.writers: set[asyncio.StreamWriter] = set()
        self._closed = asyncio.Event()

    async def start(self) -> int:
        """Listen on a port chosen by the kernel, and return it."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                target, headers = await _read_request(reader)
                name = headers["request-id"]
                self.runs[name].append(time.monotonic())
                query = parse_qs(target.partition("?")[2])
                options = {key: values[0] for key, values in query.items()}
                await asyncio.sleep(int(options.get("work_ms", 2)) / 1000)
                if not await self._answer(name, options, writer):
                    break
        writer.close()
        self.writers.discard(writer)

    async def _answer(self, name: str, options: dict[str, str], writer: asyncio.StreamWriter) -> bool:
        """Write an answer; return False if the connection has to end behind it."""
        size, pieces, form = (
            int(options.get("size", 2)),
            int(options.get("pieces", 1)),
            options.get("form", "length"),
        )
        stop, silent = int(options.get("stop", size)), int(options.get("silent", size))
        if len(self.runs[name]) > int(options.get("silent_runs", MAX_RUNS)):
            silent = size
        heads = {"length": f"Content-Length: {size}\r\n", "chunked": "Transfer-Encoding: chunked\r\n"}
        if "early_ms" in options:
            writer.write(EARLY_HINTS)
            await asyncio.sleep(int(options["early_ms"]) / 1000)
        writer.write(f"HTTP/1.1 200 OK\r\n{heads.get(form, '')}\r\n".encode())
        self.begun[name] = time.monotonic()
        await asyncio.sleep(int(options.get("first_ms", 0)) / 1000)
        sent, step = 0, -(-size // pieces)
        while sent < min(size, stop):
            if sent >= silent:
                await self._closed.wait()
                return False
            data = answer_bytes(sent, min(step, size - sent, stop - sent))
            writer.write(b"%x\r\n%s\r\n" % (len(data), data) if form == "chunked" else data)
            try:
                await writer.drain()
            except OSError:
                self.broken[name] += 1
                raise
            middle = sent < size / 2 <= sent + len(data)
            sent += len(data)
            self.sent[name] = sent
            if sent < size and pieces > 1:
                pause_ms = int(options.get("pause_ms", 0)) if middle else 0
                await asyncio.sleep((int(options.get("over_ms", 0)) / pieces + pause_ms) / 1000)
        if stop < size:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
            return False
        if form == "chunked":
            writer.write(b"0\r\n\r\n")
        return form != "close"

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self.server.close()
        self._closed.set()
        for writer in list(self.writers):
            writer.transport.abort()
