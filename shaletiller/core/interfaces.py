"""The interfaces between the core and the rest of the gateway."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from math import inf
from typing import Protocol

from shaletiller.core.model import AttemptResult, ClientCall, Exchange, FinalResponse
from shaletiller.core.response_progress import ResponseProgress
from shaletiller.messages.events import Event
from shaletiller.settings.model import Settings


class RequestSink(Protocol):
    """The part of the engine that servers (HTTP, NVMe) use."""

    def submit(
        self, call: ClientCall, respond: Callable[[FinalResponse], None], arrived_ns: int = 0
    ) -> Exchange:
        """Accept a client request; `respond` is called exactly once unless the client disconnects first.

        :param arrived_ns: when its last byte arrived at this machine; 0 for now.
        """

    def on_client_disconnected(self, exchange: Exchange) -> None:
        """Handle a client that has closed its connection; its request gets no response."""


class UpstreamClient(Protocol):
    """Sends attempts to storage nodes over one protocol.

    Cancelling an attempt closes its connection.  The client never retries an attempt by itself.
    """

    async def attempt(
        self,
        address: str,
        call: ClientCall,
        timeout_ms: float,
        start_within_ms: float = inf,
        progress: ResponseProgress | None = None,
    ) -> AttemptResult:
        """Send one request and wait for its response.

        :param timeout_ms: the timeout to forward to the storage node; the caller cancels the attempt when it
            expires.
        :param start_within_ms: how long the attempt may wait to be written; it is not sent after that.
        :param progress: told of a response that has begun and is not whole; tells when to pass it on.
        """

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings to future attempts and connections."""

    async def probe(self, address: str) -> AttemptResult:
        """Send one health check."""

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""

    async def close(self) -> None:
        """Close all connections."""


class EngineServices(Protocol):
    """Operations that the gateway provides to its engine, apart from sending attempts."""

    def send_peer_message(self, peer: int | None, data: str) -> None:
        """Send a message to one peer, or to all peers if `peer` is None; it may be lost."""

    def fetch_endpoint_list(self) -> None:
        """Fetch the full endpoint list once, in the background."""

    def events_before(self, event: Event, now_ms: float) -> Sequence[Event]:
        """Return the events that the scheduler must handle before this one, such as quota updates."""

    def replicate_intent(self, exchange: Exchange) -> bool:
        """Start the replication of a write's intent, if its class requires that before admission.

        :returns: whether the replication was started; it then admits the request when it is complete.
        """

    def when_input_is_read(self, callback: Callable[[], None]) -> None:
        """Call `callback` once, when all requests that have arrived by now have been submitted."""

    def request_turn(self, exchange: Exchange, begin: Callable[[], None]) -> None:
        """Call `begin` once it is the turn of an ordered request, unless the request ends before."""

    def may_begin_stream(self) -> bool:
        """Return whether a long response may be begun, which is passed on as it comes."""

    @property
    def must_claim_ids(self) -> bool:
        """Whether other processes of the gateway serve beside this one."""

    def claim_id(self, exchange: Exchange, begin: Callable[[], None]) -> None:
        """Call `begin` unless another process of the gateway has had the id of a request.

        The request ends as failed if one has, since it may have run.
        """

    def on_attempt_ended(self, exchange: Exchange) -> None:
        """Handle the outcome of an attempt, after it was recorded."""

    def on_request_ended(self, exchange: Exchange) -> None:
        """Handle the end of a request: its final result, or the disconnection of its client."""


class NoServices:
    """Services of an engine without peers, discovery, fleet, replication and telemetry."""

    def send_peer_message(self, peer: int | None, data: str) -> None:
        """Discard the message."""

    def fetch_endpoint_list(self) -> None:
        """Do nothing."""

    def events_before(self, event: Event, now_ms: float) -> Sequence[Event]:
        """Return no events."""
        return ()

    def replicate_intent(self, exchange: Exchange) -> bool:
        """Return False: no write is replicated."""
        return False

    def when_input_is_read(self, callback: Callable[[], None]) -> None:
        """Call `callback` at once."""
        callback()

    def request_turn(self, exchange: Exchange, begin: Callable[[], None]) -> None:
        """Call `begin` at once: there is no other process."""
        begin()

    def may_begin_stream(self) -> bool:
        """Return True: memory is not limited."""
        return True

    @property
    def must_claim_ids(self) -> bool:
        """Return False: there is no other process."""
        return False

    def claim_id(self, exchange: Exchange, begin: Callable[[], None]) -> None:
        """Call `begin` at once: there is no other process."""
        begin()

    def on_attempt_ended(self, exchange: Exchange) -> None:
        """Do nothing on the end of an attempt."""

    def on_request_ended(self, exchange: Exchange) -> None:
        """Do nothing on the end of a request."""
