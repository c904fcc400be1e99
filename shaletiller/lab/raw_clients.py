"""Clients on plain sockets, which record for each request what became of it.

A connection that ends without a response is kept until the process has ended: the kernel of a process that
closes a connection over unread input resets it.  A request that was read and has no response ends without a
reset, and is lost.
"""

from __future__ import annotations

import asyncio
import socket
import time
from dataclasses import dataclass, field
from enum import Enum

from shaletiller.lab.scripted_node import END_OF_HEAD
from shaletiller.net.sockets import peer_has_closed

MAX_READ_BYTES = 64 * 1024


class Ending(Enum):
    """What became of a request."""

    ANSWERED = "answered"
    TRUNCATED = "truncated"
    """Its response began, and did not come whole."""
    UNREAD = "unread"
    """Its connection ended without a response, and the gateway had not read all of its input."""
    LOST = "lost"
    """Its connection ended without a response, although the gateway had read it."""


@dataclass(slots=True)
class SentRequest:
    """One request and its result.

    :param kind: the behavior of its client.
    :param began_s: when its first byte was sent (monotonic clock).
    :param sent_s: when its last byte was sent; None if its connection ended before.
    """

    kind: str
    began_s: float
    timeout_ms: float
    sent_s: float | None = None
    ended_s: float = 0.0
    status: int = 0
    ending: Ending | None = None


class ConnectionEndedError(Exception):
    """The gateway has ended the connection."""


@dataclass
class RawClient:
    """One connection to a gateway.

    `pending` holds the requests that have no response yet, in the order in which they were sent.
    """

    port: int
    kind: str
    requests: list[SentRequest]
    sock: socket.socket = field(default_factory=socket.socket)
    pending: list[SentRequest] = field(default_factory=list)
    ended_s: float | None = None
    must_close: bool = False
    was_reset: bool = False
    _received: bytes = b""

    async def connect(self) -> None:
        """Open the connection.

        :raises ConnectionEndedError: it is refused.
        """
        self.sock.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(self.sock, ("127.0.0.1", self.port))
        except OSError as error:
            raise ConnectionEndedError from error

    async def send(self, *requests: bytes, timeout_ms: float, pieces: int = 1, pause_s: float = 0.0) -> None:
        """Send requests in one write, or in pieces with pauses.

        :raises ConnectionEndedError: the connection has ended.
        """
        if peer_has_closed(self.sock):
            self._end(was_reset=False)
            raise ConnectionEndedError
        data = b"".join(requests)
        sent = [SentRequest(self.kind, time.monotonic(), timeout_ms) for _ in requests]
        self.requests += sent
        self.pending += sent
        step = -(-len(data) // pieces)
        for begin in range(0, len(data), step):
            if begin:
                await asyncio.sleep(pause_s)
            try:
                await asyncio.get_running_loop().sock_sendall(self.sock, data[begin : begin + step])
            except OSError as error:
                self._end(was_reset=True)
                raise ConnectionEndedError from error
        for request in sent:
            request.sent_s = time.monotonic()

    async def read_response(self, pause_s: float = 0.0) -> int:
        """Read the response to the oldest request; return its status.

        :param pause_s: pause before each read, of a client that reads slowly.
        :raises ConnectionEndedError: the connection ends before the response is whole.
        """
        while END_OF_HEAD not in self._received:
            await self._receive()
        head, _, self._received = self._received.partition(END_OF_HEAD)
        fields = head.decode().lower()
        if "transfer-encoding: chunked" in fields:
            await self._read_chunks(pause_s)
        else:
            length = int(fields.partition("content-length: ")[2].partition("\r\n")[0] or 0)
            await self._skip(length, pause_s)
        request = self.pending.pop(0)
        request.status, request.ended_s = int(head.split()[1]), time.monotonic()
        request.ending = Ending.ANSWERED
        self.must_close = "connection: close" in fields
        return request.status

    async def _read_chunks(self, pause_s: float) -> None:
        size = -1
        while size:
            while b"\r\n" not in self._received:
                await self._receive()
            line, _, self._received = self._received.partition(b"\r\n")
            size = int(line, 16)
            await self._skip(size + 2, pause_s)

    async def _skip(self, size: int, pause_s: float) -> None:
        while len(self._received) < size:
            size -= len(self._received)
            self._received = b""
            if pause_s:
                await asyncio.sleep(pause_s)
            await self._receive()
        self._received = self._received[size:]

    async def _receive(self) -> None:
        was_reset = False
        try:
            data = await asyncio.get_running_loop().sock_recv(self.sock, MAX_READ_BYTES)
        except OSError:
            data, was_reset = b"", True
        if not data:
            self._end(was_reset)
            raise ConnectionEndedError
        if self.pending:
            self.pending[0].ending = Ending.TRUNCATED  # until it is whole
        self._received += data

    async def wait_for_end(self) -> None:
        """Wait until the gateway ends a connection without pending requests."""
        while True:
            try:
                await self._receive()
            except ConnectionEndedError:
                return

    def _end(self, was_reset: bool) -> None:
        self.was_reset |= was_reset
        if self.ended_s is None:
            self.ended_s = time.monotonic()
            for request in self.pending:
                request.ended_s = self.ended_s

    def classify_pending(self) -> None:
        """Classify the requests without a whole response once the process has ended, and close the socket."""
        self.was_reset |= bool(self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
        for request in self.pending:
            if request.ending is None:
                request.ending = Ending.UNREAD if self.was_reset else Ending.LOST
        self.sock.close()
