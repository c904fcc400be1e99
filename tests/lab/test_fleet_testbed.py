"""Stalls of the testbed's own process."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from shaletiller.lab.fleet_testbed import MIN_STALL_MS, FleetTestbed
from shaletiller.lab.storage_nodes import now_ms


def test_a_stall_of_the_testbed_is_recorded(tmp_path: Path) -> None:
    """The process of the testbed stalls, and with it the links between the gateways.

    The stall must be recorded, so that its effects are not attributed to the gateways.
    """

    async def stall() -> list[str]:
        testbed = FleetTestbed(0, 1, 1.0, tmp_path)
        await testbed.start()
        testbed.began_ms = now_ms()
        await asyncio.sleep(0)
        time.sleep(2 * MIN_STALL_MS / 1000)
        while not testbed.course:
            await asyncio.sleep(0.001)
        await testbed.stop()
        return testbed.course_lines()

    lines = asyncio.run(asyncio.wait_for(stall(), 10.0))
    assert "the testbed process stalled for" in lines[0]
