"""Links between real gateway processes with faults in each direction: loss, delay, duplication, partition.

Datagrams pass through a pair of sockets for each two gateways: what one sends to the address that it knows
for the other arrives there from the address that the other knows for it.  TCP links pass through a listener
for each direction, which knows the frames and treats each as a message.  A cut TCP link is not reset: what it
carries is delivered once it is healed, far too late, as behind a switch that hangs.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from shaletiller.net.links import FRAME_HEADER

LOOPBACK = "127.0.0.1"


@dataclass(slots=True)
class LinkFaults:
    """The faults of one direction.

    :param loss: probability that a message is lost.
    :param doubled: probability that a message arrives twice.
    :param least_ms: shortest delay; each message has its own, so messages can be reordered.
    :param most_ms: longest delay.
    :param cut: nothing arrives.
    """

    loss: float = 0.0
    doubled: float = 0.0
    least_ms: float = 0.0
    most_ms: float = 0.0
    cut: bool = False

    def heal(self) -> None:
        """End all faults."""
        self.loss = self.doubled = self.least_ms = self.most_ms = 0.0
        self.cut = False


class FaultyLinks:
    """All links of a fleet.

    `faults` has the faults by sender and receiver; `udp_ports` and `tcp_ports` have the port at which a
    sender reaches a receiver.
    """

    def __init__(self, names: list[str], seed: int) -> None:
        self.names = names
        self._random = random.Random(f"wires {seed}")
        self.faults = {(a, b): LinkFaults() for a in names for b in names if a != b}
        self.udp_ports: dict[tuple[str, str], int] = {}
        self.tcp_ports: dict[tuple[str, str], int] = {}
        self._sockets: dict[tuple[str, str], asyncio.DatagramTransport] = {}
        self._delayed: dict[tuple[str, str], list[Callable[[], None]]] = {}

    def _carry(self, pair: tuple[str, str], deliver: Callable[[], None], delayed_by_cut: bool) -> None:
        """Carry one message with the faults of its direction.

        :param delayed_by_cut: a message on a cut link is delivered when it heals, and not lost.
        """
        faults = self.faults[pair]
        if faults.cut and delayed_by_cut:
            self._delayed.setdefault(pair, []).append(deliver)
            return
        if faults.cut or (faults.loss and self._random.random() < faults.loss):
            return
        for _ in range(1 + (faults.doubled > 0 and self._random.random() < faults.doubled)):
            delay_ms = self._random.uniform(faults.least_ms, faults.most_ms)
            if delay_ms > 0:
                asyncio.get_running_loop().call_later(delay_ms / 1000, deliver)
            else:
                deliver()

    # ---- datagrams

    async def start_udp(self, listening_ports: dict[str, int]) -> None:
        """Open the sockets of all datagram links.

        :param listening_ports: the port on which each gateway takes its peers' datagrams.
        """
        for pair in self.faults:
            await self._start_udp_link(pair, listening_ports)

    async def _start_udp_link(self, pair: tuple[str, str], listening_ports: dict[str, int]) -> None:
        sender, receiver = pair

        def forward(data: bytes) -> None:
            # From the socket that the receiver knows as the sender's address.
            source = self._sockets[receiver, sender]
            destination = (LOOPBACK, listening_ports[receiver])
            self._carry(pair, lambda: source.sendto(data, destination), delayed_by_cut=False)

        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _DatagramReceiver(forward), local_addr=(LOOPBACK, 0)
        )
        self._sockets[pair] = transport
        self.udp_ports[pair] = transport.get_extra_info("sockname")[1]

    # ---- TCP

    async def start_tcp(self, listening_ports: dict[str, int]) -> None:
        """Open the listeners of all TCP links.

        :param listening_ports: the port on which each gateway takes its peers' connections.
        """
        for pair in self.faults:
            await self._start_tcp_link(pair, listening_ports[pair[1]])

    async def _start_tcp_link(self, pair: tuple[str, str], port: int) -> None:
        async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._relay(pair, reader, writer, port)

        server = await asyncio.start_server(relay, LOOPBACK, 0)
        self.tcp_ports[pair] = server.sockets[0].getsockname()[1]

    async def _relay(
        self,
        pair: tuple[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        port: int,
    ) -> None:
        try:
            _, receiver = await asyncio.open_connection(LOOPBACK, port)
        except OSError:
            writer.transport.abort()
            return

        def carry(frame: bytes) -> None:
            def deliver() -> None:
                if not receiver.transport.is_closing():
                    receiver.write(frame)

            self._carry(pair, deliver, delayed_by_cut=True)

        try:
            while True:
                header = await reader.readexactly(FRAME_HEADER.size)
                frame = header + await reader.readexactly(FRAME_HEADER.unpack(header)[0])
                if receiver.transport.is_closing():
                    break
                carry(frame)
        except (asyncio.IncompleteReadError, OSError):
            pass  # either gateway has closed the link, or was killed
        receiver.transport.abort()
        writer.transport.abort()

    # ---- faults

    def cut(self, side: set[str], one_way: bool = False) -> None:
        """Cut a side off from the others.

        :param one_way: only what the side sends is lost.
        """
        for (sender, receiver), faults in self.faults.items():
            if (sender in side) != (receiver in side) and (not one_way or sender in side):
                faults.cut = True

    def worsen(self, loss: float = 0.0, doubled: float = 0.0, most_ms: float = 0.0) -> None:
        """Set the loss, duplication and delay of all links, see `LinkFaults`."""
        for faults in self.faults.values():
            faults.loss, faults.doubled, faults.most_ms = loss, doubled, most_ms

    def heal(self) -> None:
        """End the faults of all links, and deliver what cut TCP links have delayed."""
        for faults in self.faults.values():
            faults.heal()
        delayed, self._delayed = self._delayed, {}
        for calls in delayed.values():
            for deliver in calls:
                deliver()


class _DatagramReceiver(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._on_datagram(data)
