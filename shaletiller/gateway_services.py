"""The gateway as its engine sees it: the engine's requests, handed to the parts that carry them out."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from shaletiller.core.model import Exchange
from shaletiller.messages.events import Event

if TYPE_CHECKING:
    from shaletiller.gateway import Gateway


class GatewayServices:
    """`EngineServices` of one gateway; a part that is switched off does nothing.

    :param gateway: its parts are looked up at each call, for they are made after the engine.
    """

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    def send_peer_message(self, peer: int | None, data: str) -> None:
        """Send a datagram to one gateway, or to all (None)."""
        self._gateway.peers.send_text(peer, data)

    def fetch_endpoint_list(self) -> None:
        """Fetch the full endpoint list once, in the background."""
        self._gateway.engine.spawn(self._gateway.discovery.fetch())

    def events_before(self, event: Event, now_ms: float) -> Sequence[Event]:
        """Events of the fleet that the scheduler must handle before this one."""
        fleet = self._gateway.fleet
        return fleet.events_before(event, now_ms) if fleet is not None else ()

    def replicate_intent(self, exchange: Exchange) -> bool:
        """Hand a write to the replication, where its class is replicated."""
        replication = self._gateway.replication
        return replication is not None and replication.writes.replicate_intent(exchange)

    def request_ended(self, exchange: Exchange) -> None:
        """Report a request to the telemetry."""
        telemetry = self._gateway.telemetry
        if telemetry is not None:
            telemetry.request_ended(exchange)
