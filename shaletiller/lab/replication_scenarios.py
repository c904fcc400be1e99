"""`lab promises`: replicated writes with idempotency keys through real gateway processes with stores.

Clients write with keys, and retry with the same key through other gateways: immediately, after a short delay,
and once more after all faults. An operator disables a storage node at one gateway. The storage nodes do not
deduplicate: a write that reaches them twice runs twice.  replication_guarantees.py checks the guarantees.
"""

from __future__ import annotations

import asyncio
import random
import tempfile
from pathlib import Path
from typing import Any

from shaletiller.lab.errors import LabError
from shaletiller.lab.fleet_testbed import SHARDS, FleetTestbed
from shaletiller.lab.guarantees import Outcome
from shaletiller.lab.load_generator import ClientRequest, LoadGenerator, Stream
from shaletiller.lab.replication_guarantees import check_run
from shaletiller.lab.scenario import Scenario
from shaletiller.lab.storage_nodes import now_ms

# Delays of retries after the first request: from concurrent retries to retries after a gateway's restart.
RETRY_DELAYS_MS = (0.0, 10.0, 60.0, 1_000.0, 3_000.0, 8_000.0)
RETRY_PROBABILITY = 0.5  # Probability of each further retry.
LAST_RETRIES_MS = 3_000.0  # Final part of a run, in which each key is written once more.
SETTLE_MS = LAST_RETRIES_MS + 1_000.0  # Time between the last new write and the end of the run.
START_DELAY_MS = 100.0  # Time between the generation of the requests and the start of the load.
# A larger value tolerates a slow start on a busy machine; a smaller value reports a failed start sooner.
SYNC_TIMEOUT_S = 20.0
SYNC_POLL_S = 0.05
RETENTION_S = 600  # Longer than the usual runs, so that no outcome expires during a run.
READ_UNITS_PER_S, WRITE_UNITS_PER_S = 90.0, 20.0  # Load per gateway in addition to the replicated writes.
# Replicated writes per gateway. A larger value tests more keys; a smaller value loads the machine less.
DEFAULT_REPLICATED_UNITS_PER_S = 40.0
REPLICATED_VOLUME = 300  # Number of the volume that receives the replicated writes.
OPERATOR_FILE_TEMPLATE = """store {{
    dir "FOLDER/store"
    drill "FOLDER/drill.json"
}}
promises {{
    on true
    keep-s {keep}
    class "once" level="{level}"
}}
"""


def settings() -> dict[str, Any]:
    """Return gateway settings with one class each for reads, replicated writes and other writes."""
    classes = [
        {"name": name, "target-ms": 300.0, "hard-limit-ms": 900.0, "importance": 1.0, "effect": effect}
        for name, effect in (("read", "read_like"), ("once", "non_idempotent"), ("write", "non_idempotent"))
    ]
    return {
        "tick-ms": 2.0,
        "discovery": "automatic",
        "classes": classes,
        "contracts": [{"name": "free", "base-rate": 50.0, "reserve": 50.0, "proportion": 1.0}],
        "domain": {"mean-units": 4.5, "most-units": 8, "shards": SHARDS + 1, "writes": [False, True, True]},
        "limits": {"max-attempts": 3, "cancel": True, "retry-after": True},
        "obligations": {"answer-slack-ms": 8.0, "drain-grace-ms": 1000.0},
    }


def create_testbed(
    gateways: int, seconds: float, seed: int, directory: Path, level: str = "copied"
) -> FleetTestbed:
    """Return a fleet of gateways with stores; the fleet is not started yet.

    :param level: replication level of the class "once": "copied" or "local".
    """
    operator_file = OPERATOR_FILE_TEMPLATE.format(keep=RETENTION_S, level=level)
    return FleetTestbed(gateways, seed, seconds, directory, "tcp", settings(), operator_file)


def replicated_writes(gateway: str, units_per_s: float, end_ms: float) -> Stream:
    """Return a stream of writes with idempotency keys, sent through one gateway."""
    return Stream(
        gateway,
        REPLICATED_VOLUME,
        "free",
        "once",
        units_per_s,
        0.0,
        end_ms,
        SHARDS,
        write=True,
        keyed=True,
    )


def generate_requests(
    testbed: FleetTestbed, load: LoadGenerator, replicated_units_per_s: float
) -> list[ClientRequest]:
    """Generate reads of all nodes, replicated writes with retries, and other writes, in the order of time."""
    end_ms = testbed.seconds * 1000 - SETTLE_MS
    streams = []
    for index, name in enumerate(testbed.names):
        streams += [
            Stream(name, 100 + index, "free", "read", READ_UNITS_PER_S, 0.0, end_ms, SHARDS + 1),
            Stream(name, 200 + index, "free", "write", WRITE_UNITS_PER_S, 0.0, end_ms, SHARDS, write=True),
            replicated_writes(name, replicated_units_per_s, end_ms),
        ]
    requests = load.draw(streams)
    draw = random.Random(f"repeats {testbed.seed}")
    for first in [request for request in requests if request.key]:
        requests += _generate_retries(testbed, draw, first, end_ms)
    return sorted(requests, key=lambda request: request.due_ms)


def _generate_retries(
    testbed: FleetTestbed, rng: random.Random, first: ClientRequest, end_ms: float
) -> list[ClientRequest]:
    times_ms = []
    while rng.random() < RETRY_PROBABILITY:
        times_ms.append(min(end_ms, first.due_ms + rng.choice(RETRY_DELAYS_MS)))
    times_ms.append(testbed.seconds * 1000 - rng.uniform(0.0, LAST_RETRIES_MS))
    return [
        ClientRequest(
            due_ms,
            rng.choice(testbed.names),
            f"{rng.getrandbits(64):016x}",
            first.stream,
            first.units,
            first.shard,
            first.key,
            content=first.request,
        )
        for due_ms in times_ms
    ]


async def run(
    gateways: int,
    seconds: float,
    seed: int,
    scenario: Scenario,
    directory: Path | None = None,
    rate: float = DEFAULT_REPLICATED_UNITS_PER_S,
) -> Outcome:
    """Run a scenario and check the guarantees.

    :param directory: directory of the gateways' files; a temporary directory by default.
    :param rate: replicated writes per gateway, in units per second.
    :raises LabError: if the fleet does not start.
    """
    with tempfile.TemporaryDirectory() as temporary:
        testbed = create_testbed(gateways, seconds, seed, directory or Path(temporary))
        try:
            await testbed.start()
            await wait_until_synced(testbed)
            load = LoadGenerator({name: process.port for name, process in testbed.processes.items()}, seed)
            testbed.began_ms = now_ms() + START_DELAY_MS
            requests = generate_requests(testbed, load, rate)
            units = {request.request: float(request.units) for request in requests}
            for node in testbed.nodes:
                node.units_of = lambda request: units.get(request, 1.0)
            await asyncio.gather(load.play(requests, testbed.began_ms), testbed.play(scenario.faults))
            running = {name: process for name, process in testbed.processes.items() if process.alive}
            stats = {name: await process.stats() for name, process in running.items()}
        finally:
            await testbed.stop()
        return check_run(testbed, load, scenario, stats)


async def wait_until_synced(testbed: FleetTestbed, timeout_s: float = SYNC_TIMEOUT_S) -> None:
    """Wait until every gateway votes on all its keys and knows all other gateways.

    :raises LabError: if the fleet is not synced within the timeout.
    """
    deadline_ms = now_ms() + timeout_s * 1000
    for process in testbed.processes.values():
        while True:
            stats = await process.stats()
            if stats.get("edge.promises.filled") == 1 and stats["edge.fleet.members"] == testbed.gateways:
                break
            if now_ms() > deadline_ms:
                raise LabError(f"gateway {process.name}: replicas are not synced after {timeout_s:.0f} s")
            await asyncio.sleep(SYNC_POLL_S)
