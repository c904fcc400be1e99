"""Disturbances of a gateway process: hold-ups, and busy processes on its core."""

from __future__ import annotations

import asyncio
import os
import signal
import sys

from shaletiller.lab.gateway_processes import GatewayProcess

HOLD_UP_S = 0.15
BUSY_PROCESSES = 3  # which leave a quarter of its core to the gateway
# A busy process ends with the one that started it, however that ends.
SPIN = "import os\nparent = os.getppid()\nwhile os.getppid() == parent:\n    for _ in range(100000): pass\n"


async def spin_beside(pid: int) -> asyncio.subprocess.Process:
    """Start a busy process on the core to which a gateway is bound by this call."""
    cores = sorted(os.sched_getaffinity(0))
    core = cores[os.getpid() % len(cores)]  # soaks beside each other use different ones
    os.sched_setaffinity(pid, {core})
    spinner = await asyncio.create_subprocess_exec(sys.executable, "-c", SPIN)
    os.sched_setaffinity(spinner.pid, {core})
    return spinner


async def hold_up(process: GatewayProcess) -> None:
    """Stop a process for the longest time for which the platform may hold it up."""
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(HOLD_UP_S)
    process.send_signal(signal.SIGCONT)
