"""Links between real gateway processes with faults in each direction: loss, delay, duplication, partition.

Each pair of gateways exchanges datagrams through a pair of relay sockets.  A gateway sends to the relay
socket that is configured as its peer's address; the peer receives the datagram from the relay socket that is
configured as the sender's address.  TCP links pass through a relay for each direction, which applies faults
to whole frames.  A cut TCP link is not reset: its frames are delivered when the link is healed, as after a
switch has hung for a while.
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
    :param doubled: probability that a message is delivered twice.
    :param least_ms: minimum delay; each message has its own delay, so messages can be reordered.
    :param most_ms: maximum delay.
    :param cut: whether no message is delivered.
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

    `faults` contains the faults by sender and receiver.  `udp_ports` and `tcp_ports` contain the relay's port
    to which a sender sends messages for a receiver, by sender and receiver.
    """

    def __init__(self, names: list[str], seed: int) -> None:
        self.names = names
        self._random = random.Random(f"wires {seed}")
        self.faults = {(a, b): LinkFaults() for a in names for b in names if a != b}
        self.udp_ports: dict[tuple[str, str], int] = {}
        self.tcp_ports: dict[tuple[str, str], int] = {}
        self._sockets: dict[tuple[str, str], asyncio.DatagramTransport] = {}
        self._delayed: dict[tuple[str, str], list[Callable[[], None]]] = {}

    def _transmit(self, pair: tuple[str, str], deliver: Callable[[], None], delayed_by_cut: bool) -> None:
        """Deliver one message subject to the faults of its direction.

        :param pair: sender and receiver.
        :param deliver: delivers the message; called once, twice or not at all.
        :param delayed_by_cut: whether a message on a cut link is delivered after healing; otherwise it is
            lost.
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

    async def start_udp(self, listening_ports: dict[str, int]) -> None:
        """Open the relay sockets of all datagram links.

        :param listening_ports: the port on which each gateway receives its peers' datagrams.
        """
        for pair in self.faults:
            await self._start_udp_link(pair, listening_ports)

    async def _start_udp_link(self, pair: tuple[str, str], listening_ports: dict[str, int]) -> None:
        sender, receiver = pair

        def forward(data: bytes) -> None:
            # The receiver expects the sender's datagrams from the socket at the sender's configured address.
            source = self._sockets[receiver, sender]
            destination = (LOOPBACK, listening_ports[receiver])
            self._transmit(pair, lambda: source.sendto(data, destination), delayed_by_cut=False)

        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _DatagramReceiver(forward), local_addr=(LOOPBACK, 0)
        )
        self._sockets[pair] = transport
        self.udp_ports[pair] = transport.get_extra_info("sockname")[1]

    async def start_tcp(self, listening_ports: dict[str, int]) -> None:
        """Start the relays of all TCP links.

        :param listening_ports: the port on which each gateway accepts its peers' connections.
        """
        for pair in self.faults:
            await self._start_tcp_link(pair, listening_ports[pair[1]])

    async def _start_tcp_link(self, pair: tuple[str, str], port: int) -> None:
        async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._relay(pair, reader, writer, port)

        server = await asyncio.start_server(on_connection, LOOPBACK, 0)
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

        def transmit_frame(frame: bytes) -> None:
            def deliver() -> None:
                if not receiver.transport.is_closing():
                    receiver.write(frame)

            self._transmit(pair, deliver, delayed_by_cut=True)

        try:
            while True:
                header = await reader.readexactly(FRAME_HEADER.size)
                frame = header + await reader.readexactly(FRAME_HEADER.unpack(header)[0])
                if receiver.transport.is_closing():
                    break
                transmit_frame(frame)
        except (asyncio.IncompleteReadError, OSError):
            pass  # one of the gateways has closed the connection, or was killed
        receiver.transport.abort()
        writer.transport.abort()

    def cut(self, side: set[str], one_way: bool = False) -> None:
        """Partition some gateways from the others.

        :param side: names of the gateways on one side of the partition.
        :param one_way: whether only messages sent by `side` are affected.
        """
        for (sender, receiver), faults in self.faults.items():
            if (sender in side) != (receiver in side) and (not one_way or sender in side):
                faults.cut = True

    def worsen(self, loss: float = 0.0, doubled: float = 0.0, most_ms: float = 0.0) -> None:
        """Set the loss, duplication and delay of all links, see `LinkFaults`."""
        for faults in self.faults.values():
            faults.loss, faults.doubled, faults.most_ms = loss, doubled, most_ms

    def heal(self) -> None:
        """End the faults of all links, and deliver the frames delayed on cut TCP links."""
        for faults in self.faults.values():
            faults.heal()
        delayed, self._delayed = self._delayed, {}
        for deliveries in delayed.values():
            for deliver in deliveries:
                deliver()


class _DatagramReceiver(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._on_datagram(data)
