"""Writes of one key, in a class that keeps order, during an upgrade: both processes of the gateway take some."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from standins import *

ROUNDS, WRITES = 8, 4
GAP_S = 0.005
WORK_MS = 30.0


async def case(work: Path, record: Record, gateways: list[Gateway]) -> bool:
    node = Node("s-1", 0, record, WORK_MS)
    await node.start()
    agent = Agent(record)
    agent.rows = {"s-1": node.row()}
    await agent.start()
    site = settings(obligations={"turn-gap-ms": 200.0})
    for spec in site["classes"]:
        if spec["name"] == "checkin-write":
            spec["by-arrival"] = True
    old = Gateway(work, agent, site)
    gateways.append(old)
    old.start()
    await old.ready()
    if TROUBLE:
        new = Gateway(work, agent, site, listen=old.port, tmpdir=old.tmpdir)
        gateways.append(new)
        new.start()
        await new.ready()
        record("upgrade: the new process says yes beside the old one")
    broken = 0
    for key in range(1, ROUNDS + 1):
        first, tasks, sent = len(node.arrivals), [], []
        for number in range(1, WRITES + 1):
            id = f"{key:08x}{number:08x}"
            sent.append(id)
            raw = encode_request(id, cls="checkin-write", timeout_ms=1200, key=key, body=b"value %d" % number)
            tasks.append(asyncio.create_task(Client(old.port).request(raw)))
            await asyncio.sleep(GAP_S)
        answers = await asyncio.gather(*tasks)
        arrivals = node.arrivals[first:]
        overlaps = sum(later.at_ms < earlier.answered_ms for earlier, later in zip(arrivals, arrivals[1:]))
        broken += overlaps > 0
        record(f"key {key}: taken 1 to {WRITES}, run {[int(a.id[8:], 16) for a in arrivals]}, {overlaps} began while another ran; "
               f"answers {[answer[0] if answer else None for answer in answers]}")
    record(f"{broken} of {ROUNDS} keys had two writes running at once")
    return broken == 0


run_case(case, Path(__file__).parent)
