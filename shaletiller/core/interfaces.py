"""What the core needs of its surroundings, and what its surroundings need of it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from math import inf
from typing import Protocol

from shaletiller.core.model import AttemptResult, ClientCall, Exchange, FinalResponse
from shaletiller.messages.events import Event
from shaletiller.settings.model import Settings


class RequestSink(Protocol):
    """What a server (HTTP, NVMe) needs of the engine."""

    def submit(self, call: ClientCall, respond: Callable[[FinalResponse], None]) -> Exchange:
        """Accept a client request; `respond` is called exactly once, unless the client disconnects."""

    def client_disconnected(self, exchange: Exchange) -> None:
        """The client has closed its connection: no response is owed."""


class UpstreamClient(Protocol):
    """Sends attempts to storage nodes over one protocol.

    Cancelling an attempt closes its connection.  An attempt is never sent a second time by the client.
    """

    async def attempt(
        self, address: str, call: ClientCall, timeout_ms: float, start_within_ms: float = inf
    ) -> AttemptResult:
        """Send one request and wait for its response.

        :param timeout_ms: forwarded to the storage node; the caller cancels the attempt after it.
        :param start_within_ms: an attempt that cannot be written by then is not written at all.
        """

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings to what begins from now on."""

    async def probe(self, address: str) -> AttemptResult:
        """Send one health check."""

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""

    async def close(self) -> None:
        """Close all connections."""


class EngineServices(Protocol):
    """What the gateway does for its engine beside sending attempts."""

    def send_peer_message(self, peer: int | None, data: str) -> None:
        """Send a message to one gateway, or to all (None); it may be lost."""

    def fetch_endpoint_list(self) -> None:
        """Fetch the full endpoint list once, in the background."""

    def events_before(self, event: Event, now_ms: float) -> Sequence[Event]:
        """The events that the scheduler must handle before this one, such as a quota's update."""

    def replicate_intent(self, exchange: Exchange) -> bool:
        """Take over a write whose intent is replicated before it is admitted.

        :returns: whether it was taken over; it is then admitted by the replication itself.
        """

    def request_ended(self, exchange: Exchange) -> None:
        """A request has its result, or its client disconnected."""


class NoServices:
    """An engine on its own: no peers, no discovery, no fleet, no replication, no telemetry."""

    def send_peer_message(self, peer: int | None, data: str) -> None:
        """Drop the message."""

    def fetch_endpoint_list(self) -> None:
        """Fetch nothing."""

    def events_before(self, event: Event, now_ms: float) -> Sequence[Event]:
        """No further events."""
        return ()

    def replicate_intent(self, exchange: Exchange) -> bool:
        """Replicate nothing."""
        return False

    def request_ended(self, exchange: Exchange) -> None:
        """Observe nothing."""
