"""Links between gateway processes, each direction its own, with faults: lost, late, doubled, out of order,
cut.

Datagrams go through a pair of sockets for each two gateways: what one sends to the address that it knows for
the other arrives there from the address that the other knows for it.  TCP links go through a listener each,
which knows their frames and treats each as a message.  A cut TCP link is not reset: what it holds is
delivered once it is healed, far too late, as behind a switch that hangs.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from shaletiller.net.links import FRAME_HEADER


@dataclass(slots=True)
class Faults:
    """Of one direction."""

    loss: float = 0.0
    doubled: float = 0.0
    least_ms: float = 0.0
    most_ms: float = 0.0
    cut: bool = False
    seen: int = 0
    lost: int = 0

    def heal(self) -> None:
        self.loss = self.doubled = self.least_ms = self.most_ms = 0.0
        self.cut = False


class Wires:
    """All links of a fleet.  `faults` is by sender and receiver."""

    def __init__(self, names: list[str], seed: int) -> None:
        self.names = names
        self._random = random.Random(f"wires {seed}")
        self.faults = {(a, b): Faults() for a in names for b in names if a != b}
        # Where `a` reaches `b`, by carrier.
        self.udp: dict[tuple[str, str], int] = {}
        self.tcp: dict[tuple[str, str], int] = {}
        self._sockets: dict[tuple[str, str], asyncio.DatagramTransport] = {}
        self._held: dict[tuple[str, str], list[Callable[[], None]]] = {}

    def _pass(self, pair: tuple[str, str], deliver: Callable[[], None], holds: bool) -> None:
        """One message of one direction, with that direction's faults."""
        faults = self.faults[pair]
        faults.seen += 1
        if faults.cut and holds:
            self._held.setdefault(pair, []).append(deliver)
            return
        if faults.cut or (faults.loss and self._random.random() < faults.loss):
            faults.lost += 1
            return
        for _ in range(1 + (faults.doubled > 0 and self._random.random() < faults.doubled)):
            wait_ms = self._random.uniform(faults.least_ms, faults.most_ms)
            if wait_ms > 0:
                asyncio.get_running_loop().call_later(wait_ms / 1000, deliver)
            else:
                deliver()

    async def start_udp(self, listens: dict[str, int]) -> None:
        """`listens` has the port on which each gateway takes its peers' datagrams."""
        loop = asyncio.get_running_loop()
        for a, b in self.faults:
            transport, _ = await loop.create_datagram_endpoint(
                lambda a=a, b=b: _Datagrams(lambda data: self._forward(a, b, data, listens)),  # type: ignore[misc]
                local_addr=("127.0.0.1", 0),
            )
            self._sockets[a, b] = transport
            self.udp[a, b] = transport.get_extra_info("sockname")[1]

    def _forward(self, a: str, b: str, data: bytes, listens: dict[str, int]) -> None:
        # From the socket that b knows as a's address.
        out = self._sockets[b, a]
        self._pass((a, b), lambda: out.sendto(data, ("127.0.0.1", listens[b])), holds=False)

    async def start_tcp(self, listens: dict[str, int]) -> None:
        for a, b in self.faults:
            server = await asyncio.start_server(
                lambda reader, writer, a=a, b=b: self._relay(a, b, reader, writer, listens[b]),  # type: ignore[misc]
                "127.0.0.1",
                0,
            )
            self.tcp[a, b] = server.sockets[0].getsockname()[1]

    async def _relay(
        self,
        a: str,
        b: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        port: int,
    ) -> None:
        try:
            _, out = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            writer.transport.abort()
            return

        def deliver(frame: bytes) -> None:
            if not out.transport.is_closing():
                out.write(frame)

        try:
            while True:
                head = await reader.readexactly(FRAME_HEADER.size)
                frame = head + await reader.readexactly(FRAME_HEADER.unpack(head)[0])
                if out.transport.is_closing():
                    break
                self._pass((a, b), lambda frame=frame: deliver(frame), holds=True)  # type: ignore[misc]
        except (asyncio.IncompleteReadError, OSError):
            pass
        out.transport.abort()
        writer.transport.abort()

    # ---- faults

    def cut(self, side: set[str], one_way: bool = False) -> None:
        """Cut a side off; `one_way`, only what it sends is lost."""
        for (a, b), faults in self.faults.items():
            if (a in side) != (b in side) and (not one_way or a in side):
                faults.cut = True

    def worsen(self, loss: float = 0.0, doubled: float = 0.0, most_ms: float = 0.0) -> None:
        for faults in self.faults.values():
            faults.loss, faults.doubled, faults.most_ms = loss, doubled, most_ms

    def heal(self) -> None:
        for faults in self.faults.values():
            faults.heal()
        held, self._held = self._held, {}
        for calls in held.values():
            for deliver in calls:
                deliver()


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, came: Callable[[bytes], None]) -> None:
        self._came = came

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._came(data)
