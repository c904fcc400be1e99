"""Writes of one key, in a class that keeps order, reach a gateway that is held up for a tenth of a second."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from standins import *

WRITES = 10
GAP_S = 0.007  # between one write and the next
HELD_UP_S = 0.1  # the page allows 0.15 s


async def case(work: Path, record: Record, gateways: list[Gateway]) -> bool:
    node = Node("s-1", 0, record, 5.0)
    await node.start()
    agent = Agent(record)
    agent.rows = {"s-1": node.row()}
    await agent.start()
    site = settings(obligations={"turn-gap-ms": 200.0})
    for spec in site["classes"]:
        if spec["name"] == "checkin-write":
            spec["by-arrival"] = True
    gateway = Gateway(work, agent, site)
    gateways.append(gateway)
    gateway.start()
    await gateway.ready()

    answers: dict[str, str] = {}

    async def read_answer(id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await asyncio.wait_for(read_head(reader), 5)
        answers[id] = head[0].split()[1] if head else "none"
        record(f"client: {id} answered {answers[id]}")
        writer.close()

    held_ms = now_ms()
    if TROUBLE:
        gateway.signal(signal.SIGSTOP)
        record("the gateway is held up")
    tasks, sent = [], []
    for number in range(1, WRITES + 1):
        id = f"{number:016x}"
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        body = f"value {number}".encode()
        writer.write(encode_request(id, cls="checkin-write", timeout_ms=1200, key=7, body=body))
        sent.append(id)
        record(f"client: {id} written completely: {body!r}")
        tasks.append(asyncio.create_task(read_answer(id, reader, writer)))
        await asyncio.sleep(GAP_S)
    if TROUBLE:
        await asyncio.sleep(max(0.0, HELD_UP_S - (now_ms() - held_ms) / 1000))
        gateway.signal(signal.SIGCONT)
        held_ms = now_ms() - held_ms
        record(f"the gateway goes on after {held_ms:.0f} ms")
        if held_ms > 150:
            raise CannotRunError("held up for longer than the page allows")
    await asyncio.gather(*tasks)
    ran = [arrival.id for arrival in node.arrivals]
    record(f"taken in the order {[int(id, 16) for id in sent]}")
    record(f"run in the order   {[int(id, 16) for id in ran]}; the last value is {node.arrivals[-1].body!r}")
    if len(ran) < 2:
        raise CannotRunError("fewer than two writes ran")
    return ran == [id for id in sent if id in ran]


run_case(case, Path(__file__).parent)
