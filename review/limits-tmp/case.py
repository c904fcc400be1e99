"""An upgrade under load, at a plan with a limit: both processes spend the gateway's whole share of it."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from standins import *

RATE, BURST, SLACK = 20.0, 20.0, 2.0  # ceiling-rate, burst and slack of the plan, in units (a second)
# The store is drawn from when the gateway sends, and seen when the storage node has the request: 50 ms of every limit.
TOLERANCE = RATE * 0.05
KEPT, NEW = 3, 3  # clients that keep their connection, and clients that open one for each request
BEFORE_S, OVERLAP_S, AFTER_S = 3.0, 1.0, 1.0


def lowest_level(times_ms: list[float]) -> float:
    """The lowest level of the volume's store over the first attempts, of one unit each, at these times."""
    level = lowest = BURST
    last_ms = 0.0
    for at_ms in times_ms:
        level = min(BURST, level + (at_ms - last_ms) / 1000 * RATE) - 1.0
        last_ms, lowest = at_ms, min(lowest, level)
    return lowest


async def case(work: Path, record: Record, gateways: list[Gateway]) -> bool:
    node = Node("s-1", 0, record, 5.0)
    await node.start()
    agent = Agent(record)
    agent.rows = {"s-1": node.row()}
    await agent.start()
    plan = {"name": "basic", "base-rate": 20.0, "reserve": 20.0, "proportion": 1.0, "value-factor": 1.0,
            "ceiling-rate": RATE, "burst": BURST, "slack": SLACK}
    site = settings(contracts=[plan])
    old = Gateway(work, agent, site)
    gateways.append(old)
    old.start()
    await old.ready()

    stopped = False
    answers: dict[str, int] = {}

    async def load(number: int) -> None:
        client, count = Client(old.port), 0
        while not stopped:
            count += 1
            answer = await client.request(encode_request(f"{number:08x}{count:08x}", key=count))
            status = str(answer[0]) if answer else "no answer"
            answers[status] = answers.get(status, 0) + 1
            if number >= KEPT:
                client.close()
            await asyncio.sleep(0.05)
        client.close()

    tasks = [asyncio.create_task(load(number)) for number in range(KEPT + NEW)]
    await asyncio.sleep(BEFORE_S)
    if TROUBLE:
        new = Gateway(work, agent, site, listen=old.port, tmpdir=old.tmpdir)
        gateways.append(new)
        new.start()
        record("upgrade: a second process is started")
        await new.ready()
        record("upgrade: the new process says yes")
        await asyncio.sleep(OVERLAP_S)
        old.signal(signal.SIGTERM)
        record("upgrade: SIGTERM to the old process")
        record(f"upgrade: the old process ended with {await old.wait(3.7)}")
    else:
        await asyncio.sleep(OVERLAP_S + 3.5)
    await asyncio.sleep(AFTER_S)
    stopped = True
    await asyncio.gather(*tasks)
    level = lowest_level([arrival.at_ms for arrival in node.arrivals])
    record(f"answers: {answers}; requests at the storage node: {len(node.arrivals)}")
    record(f"lowest level of the volume's store: {level:.1f} units, allowed: {-SLACK:.1f}, checked: {-SLACK - TOLERANCE:.1f}")
    if not answers.get("200") or not answers.get("503"):
        raise CannotRunError("the load does not reach the limit")
    return level >= -SLACK - TOLERANCE


run_case(case, Path(__file__).parent)
