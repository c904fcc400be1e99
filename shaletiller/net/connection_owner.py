"""What a client connection needs of the listener that owns it."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from aiohttp.http import RawRequestMessage

from shaletiller.clock import Clock
from shaletiller.core.memory_account import MemoryAccount

if TYPE_CHECKING:
    from shaletiller.net.client_connection import ClientConnection


class ReceivedRequest(NamedTuple):
    """When a request was read (ms of the gateway's clock) and when it arrived (ns, 0 if unknown)."""

    read_ms: float
    arrived_ns: int


# Called with a complete request, and its times if it has waited behind others.  Returns True if it serves the
# request; it then calls `ClientConnection.send_response`, possibly before it returns.  Returns False if
# aiohttp's handler has to serve the request.
FastPath = Callable[["ClientConnection", RawRequestMessage, bytes, ReceivedRequest | None], bool]


class ConnectionOwner(Protocol):
    """Interface that a connection needs of its listener."""

    clock: Clock
    fast_path: FastPath
    memory: MemoryAccount

    def reading_paused_for_memory(self, connection: ClientConnection) -> None:
        """Resume reading of a connection once there is memory for its input."""

    def request_deferred_for_memory(self, connection: ClientConnection) -> None:
        """Serve the next request of a connection once there is memory for its response."""

    def connection_half_closed(self, connection: ClientConnection) -> None:
        """Handle a connection that has closed its write side."""

    def connection_lost(self, connection: ClientConnection, error: BaseException | None) -> None:
        """Handle the end of a connection, before what it holds is released."""

    def start_linger(self, linger: Coroutine[Any, Any, None], connection: ClientConnection) -> None:
        """Run `linger` in a separate task, then close the connection."""
