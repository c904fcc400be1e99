"""Answers of more than 64 KiB pass through a gateway process, in bounded memory."""

from __future__ import annotations

import asyncio
import signal
import time

import pytest

from shaletiller.lab.answer_reader import READ_BYTES, read_answer
from shaletiller.lab.scripted_node import answer_bytes, encode_head
from tests.support.gateway_under_load import LoadedGateway

MEMORY_MB = 32
SIZES = (66_000, 192_195, 2_330_823)
LONGEST_BYTES = 32 * 1024 * 1024
FORMS = ("length", "chunked", "close")
TIMEOUT_S = 30.0


async def ask(
    gateway: LoadedGateway, query: str, version: bytes = b"HTTP/1.1", **reading: float
) -> tuple[int, bytes, bool]:
    reader, writer = await gateway.connect()
    writer.write(encode_head("GET", query=query).replace(b"HTTP/1.1", version))
    async with asyncio.timeout(TIMEOUT_S):
        return await read_answer(reader, **reading)


@pytest.mark.parametrize("form", FORMS)
def test_an_answer_of_any_length_and_form_that_is_written_slowly_comes_whole(form: str) -> None:
    """Guards against a gateway that ends an answer because it is long, slow or has no length."""

    async def play() -> None:
        async with LoadedGateway(MEMORY_MB) as gateway:
            queries = {size: f"&size={size}&pieces=20&over_ms=1000&form={form}" for size in SIZES}
            queries[LONGEST_BYTES] = f"&size={LONGEST_BYTES}&form={form}"
            for version in (b"HTTP/1.1", b"HTTP/1.0"):
                asked = [ask(gateway, query, version) for query in queries.values()]
                for size, answer in zip(queries, await asyncio.gather(*asked), strict=True):
                    assert answer == (200, answer_bytes(0, size), True), f"{size}, {version!r}: {answer[0]}"
            assert gateway.measured.peak_mb <= MEMORY_MB

    asyncio.run(play())


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
def test_an_answer_that_breaks_off_is_not_whole_for_the_client(form: str, version: bytes) -> None:
    """Guards against the break of a node's connection that a client takes for the end of its answer."""

    async def play() -> None:
        async with LoadedGateway(MEMORY_MB) as gateway:
            query = f"&size=500000&stop=300000&pieces=10&over_ms=200&form={form}"
            status, body, whole = await ask(gateway, query, version)
            assert (status, whole) == (200, False)
            assert body == answer_bytes(0, len(body))
            assert sum(map(len, gateway.nodes[0].runs.values())) == 1, "retried after its first byte"

    asyncio.run(play())


def test_a_client_that_reads_slowly_slows_the_node_and_one_that_leaves_ends_its_answer() -> None:
    """Guards against an answer that is held in memory for its client, or written for nobody."""

    async def play() -> None:
        async with LoadedGateway(MEMORY_MB) as gateway:
            node = gateway.nodes[0]
            reader, writer = await gateway.connect(receive_buffer=4096)
            writer.write(encode_head("GET", name="slow", query=f"&size={LONGEST_BYTES}&pieces=2048"))
            await reader.readexactly(READ_BYTES)
            sent = -1
            while sent != node.sent["slow"]:  # until the node cannot go on
                sent = node.sent["slow"]
                await asyncio.sleep(0.3)
            assert sent < LONGEST_BYTES
            assert gateway.measured.peak_mb <= MEMORY_MB
            writer.transport.abort()
            end_s = time.monotonic() + TIMEOUT_S
            while not node.broken["slow"] and time.monotonic() < end_s:
                await asyncio.sleep(0.01)
            assert node.broken["slow"]

    asyncio.run(play())


@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
def test_an_answer_that_goes_on_does_not_keep_a_stopping_process(version: bytes) -> None:
    """Guards against a process that waits for the end of an answer until it is killed."""

    async def play() -> None:
        async with LoadedGateway(MEMORY_MB) as gateway:
            asked = asyncio.create_task(ask(gateway, "&size=2000000&pieces=1000&over_ms=100000", version))
            while not gateway.nodes[0].runs:
                await asyncio.sleep(0.01)
            gateway.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(TIMEOUT_S):
                assert await gateway.process.wait() == 0
            status, _, whole = await asked
            assert (status, whole) == (200, False)

    asyncio.run(play())


def test_requests_behind_a_long_answer_on_one_connection_are_answered_in_order() -> None:
    """Guards against an answer that is written into a long one before it."""

    async def play() -> None:
        async with LoadedGateway(MEMORY_MB) as gateway:
            reader, writer = await gateway.connect()
            sizes = (200_000, 5, 300_000, 7)
            for size in sizes:
                query = f"&size={size}&pieces=4&over_ms=100&form={'chunked' if size > 200_000 else 'length'}"
                writer.write(encode_head("GET", query=query))
            for size in sizes:
                assert await read_answer(reader) == (200, answer_bytes(0, size), True)

    asyncio.run(play())
