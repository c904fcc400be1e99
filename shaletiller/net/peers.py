"""Short messages between gateways, over UDP; they come late or not at all."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

logger = logging.getLogger(__name__)


MOST_BYTES = 256  # a longer datagram breaks the platform's rules
FLEET = b"\x97"  # begins an envelope of the fleet (an array of seven), and never a text


class Peers(asyncio.DatagramProtocol):
    def __init__(
        self,
        peers: tuple[tuple[str, int], ...],
        everyone: tuple[str, int] | None,
        heard: Callable[[int, str], None],
        heard_fleet: Callable[[bytes], None] | None = None,
    ) -> None:
        self._peers = peers
        self._everyone = everyone
        self._numbers = {address: number for number, address in enumerate(peers)}
        self._heard = heard
        self._heard_fleet = heard_fleet
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: tuple[str, int]) -> None:
        loop = asyncio.get_running_loop()
        # The process that replaces this one binds the same address while this one still runs.
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address, reuse_port=True
        )

    def tell(self, peer: int | None, data: str) -> None:
        self.send(peer, data.encode())

    def send(self, peer: int | None, raw: bytes) -> None:
        """A datagram to one gateway, or to all of them (None)."""
        if len(raw) > MOST_BYTES:
            logger.warning(f"message of {len(raw)} bytes left out: at most {MOST_BYTES}")
            return
        known = peer is None or 0 <= peer < len(self._peers)
        address = self._everyone if peer is None else self._peers[peer] if known else None
        if self._transport is not None and address is not None:
            self._transport.sendto(raw, address)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        number = self._numbers.get(addr[:2])
        if number is None or len(data) > MOST_BYTES:
            return
        if self._heard_fleet is not None and data[:1] == FLEET:
            self._heard_fleet(data)
            return
        try:
            self._heard(number, data.decode())
        except UnicodeDecodeError:
            logger.warning(f"message of peer {number} is not text")

    def error_received(self, exc: Exception) -> None:
        logger.warning(f"peers: {exc}")

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
