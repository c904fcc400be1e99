"""Large requests that their node reads slowly are answered in their time."""

from __future__ import annotations

import asyncio
import socket
import time
from random import Random

import pytest

from shaletiller.lab.answer_reader import read_answer
from shaletiller.lab.scripted_node import END_OF_HEAD, encode_head
from tests.support.gateway_under_load import LoadedGateway

MEMORY_MB = 64
CLIENTS = 120
RECEIVE_BUFFER_BYTES = 2048
BODY_BYTES = 60_000
MAX_LATE_S = 0.5
TIMEOUT_S = 30.0
REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def serve_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Read a request in small pieces with pauses; answer some before their end, some after it, some never."""
    random = Random(writer.get_extra_info("peername")[1])
    try:
        await reader.readuntil(END_OF_HEAD)
        left, answers_early = BODY_BYTES, random.random() < 0.2
        while left > 0:
            if answers_early and left < BODY_BYTES / 2:
                break
            left -= len(await reader.readexactly(min(left, random.randint(500, 8000))))
            await asyncio.sleep(random.uniform(0.005, 0.2))
        if random.random() < 0.8:
            writer.write(REPLY)
        await asyncio.sleep(TIMEOUT_S)
    except (OSError, EOFError):
        pass
    finally:
        writer.close()


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
            for node, upstream in zip(gateway.nodes, gateway.node_ports, strict=True):
                node.server.close()
                await node.server.wait_closed()
                sock = socket.socket()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                sock.bind(("127.0.0.1", upstream))
                node.server = await asyncio.start_server(serve_slowly, sock=sock, limit=RECEIVE_BUFFER_BYTES)
            uploads = [upload(gateway, number, slowly, number % 5 == 0) for number in range(CLIENTS)]
            late = [result for result in await asyncio.gather(*uploads) if result[1] > MAX_LATE_S]
            assert late == []

    asyncio.run(play())
