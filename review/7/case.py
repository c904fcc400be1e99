"""A client writes an object whose bytes are compressed, and says so by `Content-Encoding`."""

import gzip
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from standins import *

WRITES = 5
HEADER = b"Content-Encoding: gzip\r\n"


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
        body = gzip.compress(b"manifest of flight %d; " % number * 20, mtime=0)
        raw = encode_request(f"{number:016x}", cls="checkin-write", timeout_ms=1200, key=number, body=body)
        if TROUBLE:
            raw = raw.replace(b"Content-Length:", HEADER + b"Content-Length:", 1)
        client = Client(gateway.port)
        answer = await client.request(raw)
        read = await client.request(encode_request(f"{number + 100:016x}", key=number))
        client.close()
        stored = node.objects.get(f"/api?key={number:016x}")
        if answer is None or stored is None or read is None:
            raise CannotRunError(f"the write or the read was not served: {answer and answer[0]}, {read and read[0]}")
        record(f"client {number}: PUT of {len(body)} bytes, {body[:8].hex()}..., answered {answer[0]}")
        record(f"client {number}: the storage node was sent {len(stored)} bytes, {stored[:8].hex()}...")
        record(f"client {number}: a GET returned {len(read[2])} bytes, equal: {read[2] == body}")
        served += answer[0] == 200
        broken += stored != body
    if not served:
        raise CannotRunError("no write was served")
    record(f"{broken} of {WRITES} writes reached the storage node with another body than the client's")
    return broken == 0


run_case(case, Path(__file__).parent)
