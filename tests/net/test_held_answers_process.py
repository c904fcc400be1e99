"""Answers that are held for a retry, beside hedged requests, operators' calls, reloads and silent nodes."""

from __future__ import annotations

import asyncio
import signal

import pytest

from shaletiller.lab.answer_reader import read_answer
from shaletiller.lab.scripted_node import answer_bytes, encode_head
from tests.net.test_long_answers_process import FORMS, TIMEOUT_S
from tests.support.gateway_under_load import LOAD_SETTINGS, LoadedGateway

MEMORY_MB = 80
WAIT_MS = 900
SIZE = 60_000
HEDGING = LOAD_SETTINGS | {"limits": LOAD_SETTINGS["limits"] | {"second-copies": True}}


async def begin(gateway: LoadedGateway, query: str) -> asyncio.StreamReader:
    reader, writer = await gateway.connect()
    writer.write(encode_head("GET", timeout_ms=WAIT_MS, query=query))
    while not gateway.nodes[0].runs:
        await asyncio.sleep(0.01)
    return reader


@pytest.mark.parametrize("form", FORMS)
def test_a_hedged_request_replaces_an_answer_that_stops(form: str) -> None:
    """Guards against a held answer that is awaited although another attempt could have been answered."""

    async def play() -> None:
        async with LoadedGateway(MEMORY_MB, HEDGING) as gateway:
            query = f"&size={SIZE}&pieces=4&silent=20000&silent_runs=1&form={form}"
            async with asyncio.timeout(TIMEOUT_S):
                assert await read_answer(await begin(gateway, query)) == (200, answer_bytes(0, SIZE), True)
            assert [len(runs) for runs in gateway.nodes[0].runs.values()] == [2]

    asyncio.run(play())


@pytest.mark.parametrize("form", FORMS)
def test_an_answer_that_stops_for_good_is_passed_on_as_far_as_it_has_come(form: str) -> None:
    """Guards against an answer whose begin no client sees, and whose node goes on after its client left."""

    async def play() -> None:
        async with LoadedGateway(MEMORY_MB) as gateway:
            reader = await begin(gateway, f"&size={SIZE}&pieces={SIZE}&silent=1&form={form}")
            async with asyncio.timeout(TIMEOUT_S):
                assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
                first = await reader.readexactly(1 if form == "length" else 4)
                assert first == (b"\x00" if form == "length" else b"1\r\n\x00")
                gateway.disconnect_troubled_clients()
                while (await gateway.process.stats())["edge.outstanding"]:
                    await asyncio.sleep(0.01)

    asyncio.run(play())


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("trouble", ["DRAIN", "DISABLE n0", "reload"])
def test_a_held_answer_outlasts_operators_calls_and_reloads(form: str, trouble: str) -> None:
    """Guards against held answers that are given up as their node is ejected or the gateway drains."""

    async def play() -> None:
        async with LoadedGateway(MEMORY_MB) as gateway:
            reader = await begin(gateway, f"&size={SIZE}&first_ms=1200&pieces=2&over_ms=300&form={form}")
            if trouble == "reload":
                gateway.process.send_signal(signal.SIGHUP)
            else:
                assert (await gateway.process.call(trouble))[0].startswith("done")
            async with asyncio.timeout(TIMEOUT_S):
                assert await read_answer(reader) == (200, answer_bytes(0, SIZE), True)

    asyncio.run(play())


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize(
    "query", ["&size=0", "&size=0&first_ms=1200", "&early_ms=300&size=70000&first_ms=1200", "&early_ms=300"]
)
def test_answers_without_a_body_and_after_informational_ones_come_whole(form: str, query: str) -> None:
    """Guards against heads that are taken for another response, or for one whose body is still awaited."""

    async def play() -> None:
        async with LoadedGateway(MEMORY_MB) as gateway:
            size = 70_000 if "70000" in query else 0 if "size=0" in query else 2
            reader = await begin(gateway, f"{query}&form={form}")
            async with asyncio.timeout(TIMEOUT_S):
                assert await read_answer(reader) == (200, answer_bytes(0, size), True)

    asyncio.run(play())
