"""Large requests that their node reads slowly are answered in their time."""

from __future__ import annotations

import asyncio
import time
from random import Random

import pytest

from shaletiller.lab import slow_reading_node
from shaletiller.lab.answer_reader import read_answer
from shaletiller.lab.scripted_node import encode_head
from tests.support.gateway_under_load import LoadedGateway

MEMORY_MB = 64
CLIENTS = 120
BODY_BYTES = 60_000
MAX_LATE_S = 0.5
TIMEOUT_S = 30.0


async def upload(gateway: LoadedGateway, number: int, slowly: bool, leaves: bool) -> tuple[int, float]:
    """Send one large request; return its status and by how much the answer is late."""
    random = Random(number)
    await asyncio.sleep(random.uniform(0, 2))
    wait_ms = random.randint(450, 1200)
    reader, writer = await gateway.connect()
    data = encode_head("PUT", BODY_BYTES, shard=number % 3, timeout_ms=wait_ms) + bytes(BODY_BYTES)
    step = 6_000 if slowly else len(data)
    for begin in range(0, len(data), step):
        writer.write(data[begin : begin + step])
        await writer.drain()
        await asyncio.sleep(0.09 if slowly else 0)  # 64 kB a second
    sent_s = time.monotonic()
    if leaves:
        await asyncio.sleep(wait_ms / 3000)
        writer.transport.abort()
        return 0, 0.0
    async with asyncio.timeout(TIMEOUT_S):
        status = (await read_answer(reader)).status
    return status, time.monotonic() - sent_s - wait_ms / 1000


@pytest.mark.parametrize("slowly", [False, True], ids=["at_once", "slowly"])
def test_a_large_request_that_its_node_reads_slowly_is_answered_in_its_time(slowly: bool) -> None:
    """Guards against answers that wait until the rest of a request has been written to its node."""

    async def play() -> None:
        async with LoadedGateway(MEMORY_MB) as gateway:
            for node, port in zip(gateway.nodes, gateway.node_ports, strict=True):
                node.server.close()
                await node.server.wait_closed()
                node.server = await slow_reading_node.start(port, BODY_BYTES)
            uploads = [upload(gateway, number, slowly, number % 5 == 0) for number in range(CLIENTS)]
            late = [result for result in await asyncio.gather(*uploads) if result[1] > MAX_LATE_S]
            assert late == []

    asyncio.run(play())
