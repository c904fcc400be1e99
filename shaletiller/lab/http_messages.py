"""As much of HTTP/1.1 as the laboratory's own clients and servers speak: whole messages with a
Content-Length."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast


@dataclass(slots=True, frozen=True)
class Message:
    """A request or an answer: its first line, its headers under lower-case names, its body."""

    first: str
    heads: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.first.split(" ", 2)[1])


class Peer(asyncio.Protocol):
    """One connection; `came` is called with each whole message, `ended` once with the connection's end."""

    def __init__(self, came: Callable[[Peer, Message], None], ended: Callable[[Peer], None]) -> None:
        self._came, self._ended = came, ended
        self._held = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are not of that class

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._ended(self)

    def data_received(self, data: bytes) -> None:
        self._held += data
        while (end := self._held.find(b"\r\n\r\n")) >= 0:
            first, *lines = self._held[:end].decode("latin1").split("\r\n")
            parts = [line.partition(":") for line in lines]
            heads = {name.lower(): value.strip() for name, _, value in parts}
            whole = end + 4 + int(heads.get("content-length", "0"))
            if len(self._held) < whole:
                return
            body, self._held = self._held[end + 4 : whole], self._held[whole:]
            self._came(self, Message(first, heads, body))

    @property
    def open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def write(self, first: str, heads: dict[str, str], body: bytes = b"") -> None:
        if self.transport is not None:
            lines = "".join(f"{name}: {value}\r\n" for name, value in heads.items())
            head = f"{first}\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
            self.transport.write(head.encode("latin1") + body)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()
