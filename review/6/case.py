"""A client asks GET /up, then writes on the same connection, head and body in two pieces."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from standins import *

WRITES = 5
REST_S = 0.05  # between the answer to GET /up and the write, with and without the disruption
PIECE_GAP_S = 0.05  # the pages allow 2 s for a head, and 64 kB a second for a body


class StoringNode(Node):
    """Keeps what a PUT wrote, and returns it to a GET of the same key."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.objects: dict[str, bytes] = {}

    async def _answer(self, arrival: Arrival) -> bytes:
        await asyncio.sleep(0.02)
        if arrival.method == "PUT":
            self.objects[arrival.target] = arrival.body
            return encode_response(200, b"written")
        return encode_response(200, self.objects.get(arrival.target, b""))


async def case(work: Path, record: Record, gateways: list[Gateway]) -> bool:
    node = StoringNode("s-1", 0, record)
    await node.start()
    agent = Agent(record)
    agent.rows = {"s-1": node.row()}
    await agent.start()
    gateway = Gateway(work, agent, settings())
    gateways.append(gateway)
    gateway.start()
    await gateway.ready()

    broken = served = 0
    for number in range(1, WRITES + 1):
        body = f"seat {number}A: passenger {4711 + number}".encode()
        raw = encode_request(f"{number:016x}", cls="checkin-write", timeout_ms=1200, key=number, body=body)
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        writer.write(b"GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n")
        up = await read_head(reader)
        await read_body(reader, up[1])
        record(f"client {number}: GET /up answered: {up[0]}")
        await asyncio.sleep(REST_S)
        head_end = raw.index(b"\r\n\r\n") + 4
        pieces = [raw[:head_end], raw[head_end:]] if TROUBLE else [raw]
        for index, piece in enumerate(pieces):
            if index:
                await asyncio.sleep(PIECE_GAP_S)
            writer.write(piece)
        answer = await asyncio.wait_for(read_head(reader), 5)
        status = int(answer[0].split()[1]) if answer else 0
        writer.close()
        record(f"client {number}: PUT of {body!r} in {len(pieces)} pieces answered {status}")

        read = await Client(gateway.port).request(encode_request(f"{number + 100:016x}", key=number))
        stored = node.objects.get(f"/api?key={number:016x}")
        record(f"client {number}: the storage node was sent the body {stored!r}; a GET returned {read and read[2]!r}")
        served += status == 200
        broken += stored is not None and stored != body
    if not served:
        raise CannotRunError("no write was served")
    record(f"{broken} of {WRITES} writes reached the storage node with another body than the client's")
    return broken == 0


run_case(case, Path(__file__).parent)
