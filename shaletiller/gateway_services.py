"""The engine's interface to the other components of the gateway."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from shaletiller.core.model import Exchange
from shaletiller.messages.events import Event

if TYPE_CHECKING:
    from shaletiller.gateway import Gateway


class GatewayServices:
    """`EngineServices` of one gateway; operations of disabled components do nothing.

    :param gateway: the gateway; its components are looked up at each call because they are created after the
        engine.
    """

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    def send_peer_message(self, peer: int | None, data: str) -> None:
        """Send a datagram to one peer, or to all peers if `peer` is None."""
        self._gateway.peers.send_text(peer, data)

    def fetch_endpoint_list(self) -> None:
        """Fetch the full endpoint list once, in the background."""
        self._gateway.engine.spawn(self._gateway.discovery.fetch())

    def events_before(self, event: Event, now_ms: float) -> Sequence[Event]:
        """Return the fleet's events that the scheduler must handle before this one."""
        fleet = self._gateway.fleet
        return fleet.events_before(event, now_ms) if fleet is not None else ()

    def replicate_intent(self, exchange: Exchange) -> bool:
        """Start the replication of a write's intent, if its class is replicated."""
        replication = self._gateway.replication
        return replication is not None and replication.writes.replicate_intent(exchange)

    def when_input_is_read(self, callback: Callable[[], None]) -> None:
        """Call `callback` once the HTTP server has read all requests that have arrived by now."""
        self._gateway.http_server.when_input_is_read(callback)

    def request_turn(self, exchange: Exchange, begin: Callable[[], None]) -> None:
        """Call `begin` once all older requests for the object, in any process of the gateway, have ended."""
        self._gateway.ordering.request_turn(exchange, begin)

    def may_begin_stream(self) -> bool:
        """Return whether there is memory and time for a long response."""
        return self._gateway.http_server.may_begin_long_response

    @property
    def must_claim_ids(self) -> bool:
        """Whether other processes of the gateway serve beside this one."""
        return self._gateway.id_claims.is_needed

    def claim_id(self, exchange: Exchange, begin: Callable[[], None]) -> None:
        """Call `begin` unless another process of the gateway has had the id of a request."""
        self._gateway.id_claims.claim(exchange, begin)

    def on_attempt_ended(self, exchange: Exchange) -> None:
        """Give the turn of an ordered request back with its last attempt."""
        if exchange.ordered:
            self._gateway.ordering.on_progress(exchange)

    def on_request_ended(self, exchange: Exchange) -> None:
        """Report the end of a request to the telemetry, and give the turn of an ordered one back."""
        if exchange.ordered:
            self._gateway.ordering.on_progress(exchange)
        telemetry = self._gateway.telemetry
        if telemetry is not None:
            telemetry.record_request(exchange)
