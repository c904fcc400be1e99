"""The subset of HTTP/1.1 that the laboratory's clients and stand-in servers support.

Messages are sent and received as a whole, with a Content-Length; a connection carries one request at a time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

END_OF_HEADERS = b"\r\n\r\n"


@dataclass(slots=True, frozen=True)
class HttpMessage:
    """A request or a response.

    :param start_line: the request line or the status line.
    :param headers: values of the header fields, by lower-case name.
    """

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.start_line.split(" ", 2)[1])


class HttpConnection(asyncio.Protocol):
    """One connection, on the side of a client or of a server.

    :param on_message: called with each complete message received.
    :param on_closed: called once, when the connection has ended.
    """

    def __init__(
        self,
        on_message: Callable[[HttpConnection, HttpMessage], None],
        on_closed: Callable[[HttpConnection], None],
    ) -> None:
        self._on_message, self._on_closed = on_message, on_closed
        self._buffer = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of a new connection."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports are of another class

    def connection_lost(self, exc: Exception | None) -> None:
        """Call `on_closed` after the end of the connection."""
        self.transport = None
        self._on_closed(self)

    def data_received(self, data: bytes) -> None:
        """Parse received data, and call `on_message` with each complete message."""
        self._buffer += data
        while (end := self._buffer.find(END_OF_HEADERS)) >= 0:
            start_line, *lines = self._buffer[:end].decode("latin1").split("\r\n")
            fields = [line.partition(":") for line in lines]
            headers = {name.lower(): value.strip() for name, _, value in fields}
            body_begin = end + len(END_OF_HEADERS)
            body_end = body_begin + int(headers.get("content-length", "0"))
            if len(self._buffer) < body_end:
                return
            body, self._buffer = self._buffer[body_begin:body_end], self._buffer[body_end:]
            self._on_message(self, HttpMessage(start_line, headers, body))

    @property
    def open(self) -> bool:
        """Whether messages can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def write(self, start_line: str, headers: dict[str, str], body: bytes = b"") -> None:
        """Send a message; it is dropped if the connection has ended."""
        if self.transport is not None:
            lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            head = f"{start_line}\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
            self.transport.write(head.encode("latin1") + body)

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()
