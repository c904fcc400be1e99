"""UDP endpoint for short messages between gateways; a datagram may be lost, delayed or reordered."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

logger = logging.getLogger(__name__)

MAX_DATAGRAM_BYTES = 256  # platform limit for a datagram between gateways
# First byte of a fleet envelope, a MessagePack array of seven elements.  No UTF-8 text starts with this byte.
FLEET_ENVELOPE_MARK = b"\x97"


class PeerEndpoint(asyncio.DatagramProtocol):
    """Sends datagrams to other gateways, and dispatches received ones."""

    def __init__(
        self,
        peers: tuple[tuple[str, int], ...],
        broadcast_address: tuple[str, int] | None,
        on_text: Callable[[int, str], None],
        on_fleet_envelope: Callable[[bytes], None] | None = None,
    ) -> None:
        """Create an endpoint without a socket; `start` binds it.

        :param peers: addresses of all gateways; the index is the number of the gateway.
        :param broadcast_address: address that reaches all gateways; `None` if the platform has none.
        :param on_text: receives the number of the sender and a text message.
        :param on_fleet_envelope: receives a fleet envelope; without it, envelopes are handled as text.
        """
        self._peers = peers
        self._broadcast_address = broadcast_address
        self._numbers = {address: number for number, address in enumerate(peers)}
        self._on_text = on_text
        self._on_fleet_envelope = on_fleet_envelope
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: tuple[str, int]) -> None:
        """Bind the address.

        During a rolling restart the old process is still bound to the address; without SO_REUSEPORT the new
        process would fail to start.
        """
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address, reuse_port=True
        )

    def send_text(self, peer: int | None, text: str) -> None:
        """Send a text message; see `send`."""
        self.send(peer, text.encode())

    def send(self, peer: int | None, data: bytes) -> None:
        """Send a datagram.

        :param peer: number of a gateway, or `None` for all.  Unknown numbers are ignored.
        """
        if len(data) > MAX_DATAGRAM_BYTES:
            logger.warning(
                "message to peer %s dropped: %d bytes, the limit is %d", peer, len(data), MAX_DATAGRAM_BYTES
            )
            return
        address = self._address_of(peer)
        if self._transport is not None and address is not None:
            self._transport.sendto(data, address)

    def _address_of(self, peer: int | None) -> tuple[str, int] | None:
        if peer is None:
            return self._broadcast_address
        return self._peers[peer] if 0 <= peer < len(self._peers) else None

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Dispatch a datagram; it is ignored if its sender is unknown or it is too large."""
        peer = self._numbers.get(addr[:2])
        if peer is None or len(data) > MAX_DATAGRAM_BYTES:
            return
        if self._on_fleet_envelope is not None and data[:1] == FLEET_ENVELOPE_MARK:
            self._on_fleet_envelope(data)
            return
        try:
            self._on_text(peer, data.decode())
        except UnicodeDecodeError:
            logger.warning("message from peer %d dropped: not valid UTF-8", peer)

    def error_received(self, exc: Exception) -> None:
        """Log an error that the kernel reports for an earlier datagram, which is lost."""
        logger.warning("datagram to a peer lost: %s", exc)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
