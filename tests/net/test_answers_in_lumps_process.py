"""Sound answers that a node writes in lumps pass through a gateway process, whatever the client's wait."""

from __future__ import annotations

import asyncio

import pytest

from shaletiller.lab.answer_reader import read_answer
from shaletiller.lab.scripted_node import answer_bytes, encode_head
from tests.net.test_long_answers_process import FORMS, TIMEOUT_S
from tests.support.gateway_under_load import LoadedGateway

MEMORY_MB = 80
WAIT_MS = 700  # of each client; every answer takes longer, and its head comes at once
SIZES = (2, 60_000, 180_000)
# How a node writes its answer: the first byte after the client's wait, all pauses short, and one pause longer
# than the wait.
LUMPS = {
    "late_first_lump": "&first_ms=900&pieces=2&over_ms=400",
    "short_pauses": "&pieces=8&over_ms=1600",
    "long_pause": "&pieces=4&over_ms=400&pause_ms=900",
}


async def ask(gateway: LoadedGateway, method: str, query: str) -> tuple[int, bytes, bool]:
    reader, writer = await gateway.connect()
    body = b"seat 12A" if method == "PUT" else b""
    writer.write(encode_head(method, len(body) or None, timeout_ms=WAIT_MS, query=query) + body)
    async with asyncio.timeout(TIMEOUT_S):
        return await read_answer(reader)


@pytest.mark.parametrize("lumps", LUMPS)
@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("method", ["GET", "PUT"])
def test_an_answer_in_lumps_whose_head_came_in_time_reaches_its_client_whole(
    method: str, form: str, lumps: str
) -> None:
    """Guards against a sound answer that is held for a retry, and dropped when the client's wait ends."""

    async def play() -> None:
        async with LoadedGateway(MEMORY_MB) as gateway:
            for size in SIZES:
                answer = await ask(gateway, method, f"&size={size}&form={form}{LUMPS[lumps]}")
                assert answer == (200, answer_bytes(0, size), True), f"{size} bytes: {answer[0]}"
            assert sum(len(runs) for node in gateway.nodes for runs in node.runs.values()) == len(SIZES)

    asyncio.run(play())
