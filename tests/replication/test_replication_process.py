"""Tests of replication between gateway processes, with faults of their links, processes and stores."""

from __future__ import annotations

import asyncio
import shutil
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from shaletiller.lab import replication_scenarios, scenario
from shaletiller.lab.errors import LabError
from shaletiller.lab.fleet_testbed import FleetTestbed
from shaletiller.lab.load_generator import ClientRequest, LoadGenerator, Stream
from shaletiller.lab.storage_nodes import now_ms
from shaletiller.net.links import Link, Links
from shaletiller.replication.records import META
from shaletiller.store.file_system import FileSystem
from shaletiller.store.recovery import RecoveredContents

SECONDS = 11.0
ONCE = Stream("g0", 7, "free", "once", 1.0, 0.0, 1.0, write=True, keyed=True)


@pytest.mark.parametrize("faults", ["kill-and-wipe", "cut-one-way", "full-disk"])
def test_five_processes_keep_their_guarantees(faults: str) -> None:
    """Five gateways run under load while one of them is wiped, partitioned one way, or has a full disk.

    No recorded response may be lost, no write may run twice, and every request must get a final response.
    """
    outcome = asyncio.run(
        replication_scenarios.run(5, SECONDS, 1, scenario.load(faults, "promises"), rate=30.0)
    )
    assert outcome.kept, "\n".join([*outcome.course, *outcome.lines(), str(outcome.figures)])
    named = [guarantee.name for guarantee in outcome.guarantees]
    assert named == [
        "promises lost",
        "second runs",
        "without a final answer",
        "refused when all is over",
        "staleness of the ban of n4",
    ]
    for stats in outcome.figures["stats"].values():
        assert stats["edge.promises.filled"] == 1
        assert stats["edge.promises.repeated"] > 0


def run_with_gateways(folder: Path, check: Callable[[FleetTestbed, LoadGenerator], Awaitable[None]]) -> None:
    """Start three gateways with stores, run a test on them, and stop them."""

    async def run() -> None:
        testbed = replication_scenarios.create_testbed(3, 1.0, 1, folder)
        try:
            await testbed.start()
            await replication_scenarios.wait_until_synced(testbed)
            await check(
                testbed,
                LoadGenerator({name: process.port for name, process in testbed.processes.items()}, 1),
            )
        finally:
            await testbed.stop()

    asyncio.run(run())


async def send_write(
    load: LoadGenerator, gateway: str, key: str, request: str, content: str = ""
) -> ClientRequest:
    """Send one write with an idempotency key, and wait for its response."""
    client_request = ClientRequest(now_ms(), gateway, request, ONCE, 1, 0, key, content=content)
    await load.send(client_request)
    return client_request


async def wait_until(condition: Callable[[], Awaitable[bool]], timeout_s: float = 15.0) -> None:
    """Wait until a condition holds; fail after `timeout_s` seconds."""
    deadline_ms = now_ms() + timeout_s * 1000
    while not await condition():
        assert now_ms() < deadline_ms, "the condition never held"
        await asyncio.sleep(0.05)


def test_an_operator_command_survives_the_loss_of_the_machine_that_received_it(tmp_path: Path) -> None:
    """A gateway confirms DISABLE and DRAIN, and then loses its machine with its disk.

    The new machine must apply both commands. If an ejection is lifted while a gateway is down, its restart
    must not restore the ejection, whether from its file or after a loss of its store.
    """

    async def check(testbed: FleetTestbed, load: LoadGenerator) -> None:
        g0, g1, g2 = testbed.processes.values()
        assert await g0.call("DISABLE n1") == ["done n1"]
        assert await g0.call("DRAIN") == ["done"]
        await g0.kill()
        g0.wipe()
        await g0.start(testbed.known("g0"))
        await wait_until(lambda: metric_equals(g0, "edge.ejected", 1))

        async def drained() -> bool:
            _, writer = await asyncio.open_connection("127.0.0.1", g0.port)
            writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
            line = await _.readline()
            writer.close()
            return b"503" in line

        await wait_until(drained)
        # The ejection is lifted while g2 is down: the file of g2 must not restore it.
        await g2.kill()
        assert await g1.call("ENABLE n1") == ["done n1"]
        await g2.start(testbed.known("g2"))
        await wait_until(lambda: metric_equals(g2, "edge.ejected", 0))
        await wait_until(lambda: metric_equals(g0, "edge.ejected", 0))
        assert await g0.call("UNDRAIN") == ["done"]
        # The ejection is lifted while g1 is down, and g1 loses its store: its file must not restore it.
        assert await g0.call("DISABLE n2") == ["done n2"]
        await wait_until(lambda: metric_equals(g1, "edge.ejected", 1))
        await g1.kill()
        assert await g0.call("ENABLE n2") == ["done n2"]
        shutil.rmtree(g1.folder / "store")
        await g1.start(testbed.known("g1"))
        await wait_until(lambda: metric_equals(g1, "edge.promises.filled", 1))
        for process in (g1, g0, g2):
            await wait_until(lambda process=process: metric_equals(process, "edge.ejected", 0))  # type: ignore[misc]

    run_with_gateways(tmp_path, check)


async def metric_equals(process: object, name: str, value: int) -> bool:
    """Return whether a metric of STATS has this value."""
    return (await process.stats())[name] == value  # type: ignore[attr-defined,no-any-return]


def test_without_a_majority_commands_stay_local_and_replicated_writes_are_rejected(tmp_path: Path) -> None:
    """Two of three gateways are killed.

    At the last one DISABLE must take effect and report that it is not replicated, and a replicated write must
    be rejected without reaching a node. Once another gateway is back, a retry must get the recorded response.
    """

    async def check(testbed: FleetTestbed, load: LoadGenerator) -> None:
        g0, g1, g2 = testbed.processes.values()
        served = await send_write(load, "g0", "k1", "00000000000000a1")
        assert served.status == 200
        await g1.kill()
        await g2.kill()
        (answer,) = await g0.call("DISABLE n1")
        assert answer.startswith("error kept here only: no majority")
        assert await metric_equals(g0, "edge.ejected", 1)  # In effect at this gateway.
        await wait_until(lambda: metric_equals(g0, "edge.fleet.members", 1))
        rejected = await send_write(load, "g0", "k2", "00000000000000a2")
        assert rejected.status == 503
        assert sum(attempt.key == "k2" for node in testbed.nodes for attempt in node.attempts) == 0
        await g1.start(testbed.known("g1"))
        await wait_until(lambda: metric_equals(g0, "edge.fleet.members", 2))
        retry = await send_write(load, "g1", "k1", "00000000000000a3", "00000000000000a1")
        assert (retry.status, retry.body) == (200, served.body)

    run_with_gateways(tmp_path, check)


def test_a_damaged_store_is_logged_moved_aside_and_recovered_from_the_replicas(tmp_path: Path) -> None:
    """A bit of a gateway's store flips while the gateway is down.

    At its start the gateway must log the damage, move the store aside, and recover its replicas from the
    others.
    """

    async def check(testbed: FleetTestbed, load: LoadGenerator) -> None:
        g0 = testbed.processes["g0"]
        served = await send_write(load, "g0", "k1", "00000000000000b1")
        await g0.kill()
        segment = max((g0.folder / "store").glob("*.seg"))
        damaged = bytearray(segment.read_bytes())
        damaged[len(damaged) // 2] ^= 1
        segment.write_bytes(bytes(damaged))
        await g0.start(testbed.known("g0"))
        await wait_until(lambda: metric_equals(g0, "edge.promises.filled", 1))
        assert (await g0.stats())["edge.store.damaged"] == 1
        assert f"damaged: {segment.name}: byte" in (g0.folder / "log.txt").read_text()
        assert len(list(g0.folder.glob("store.damaged-*"))) == 1
        retry = await send_write(load, "g0", "k1", "00000000000000b2", "00000000000000b1")
        assert (retry.status, retry.body) == (200, served.body)

    run_with_gateways(tmp_path, check)


def test_the_cached_endpoint_list_serves_a_start_without_discovery(tmp_path: Path) -> None:
    """Discovery does not reply, and a gateway restarts, first with its disk and then with an empty one.

    It must serve with the endpoint list cached in its store, and then with the one cached on its replicas.
    """

    async def check(testbed: FleetTestbed, load: LoadGenerator) -> None:
        g0, empty_list = testbed.processes["g0"], {"version": 0, "full": True, "servers": []}
        await wait_until(lambda: cached(g0.folder))
        testbed.discovery.silent = True
        for wiped in (False, True):
            await g0.kill()
            if wiped:  # Only the replicas on the other gateways still have the list.
                g0.wipe()
            await g0.start(empty_list)
            assert (await send_write(load, "g0", f"k{wiped}", f"00000000000000c{wiped:d}")).status == 200

    async def cached(folder: Path) -> bool:
        return (META, b"list") in RecoveredContents(folder / "store", FileSystem()).index

    run_with_gateways(tmp_path, check)


def test_a_second_process_serves_without_the_store_until_the_first_one_closes_it(tmp_path: Path) -> None:
    """A second process of a gateway starts while the first one has the store open.

    It must serve without the store, log the reason, and open the store once the first process has stopped.
    """

    async def check(testbed: FleetTestbed, load: LoadGenerator) -> None:
        g0 = testbed.processes["g0"]
        port, admin, first = g0.port, g0.admin_port, g0._process
        other = type(g0)(
            "g0",
            g0.folder,
            {key: value for key, value in g0.config.items() if key not in ("listen", "admin", "name")},
            g0.operator_path.read_text(),
        )
        await other.start(testbed.known("g0"))
        assert (await other.stats())["edge.store.open"] == 0
        assert "another process has this store open" in (g0.folder / "log.txt").read_text()
        assert first is not None
        assert g0.alive
        assert (port, admin) != (other.port, other.admin_port)
        await g0.stop()
        await wait_until(lambda: metric_equals(other, "edge.store.open", 1))
        await wait_until(lambda: metric_equals(other, "edge.promises.filled", 1))
        await other.stop()

    run_with_gateways(tmp_path, check)


def test_a_link_whose_connection_fails_in_any_way_connects_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """A link whose connection fails with any exception must reconnect.

    uvloop raises RuntimeError for a call on a connection that was just reset. This ended the link's task, so
    that the link stayed down.
    """

    async def check() -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = probe.getsockname()[:2]
        received: asyncio.Queue[bytes] = asyncio.Queue()
        links = Links(0, [address, ("127.0.0.1", 1)], received.put_nowait, 1)
        await links.start()
        link, original, failures = Link(address, links._links[1]._random), Link._serve, list[int]()

        async def serve(self: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if not failures:
                failures.append(1)
                raise RuntimeError("unable to perform operation; the handler is closed")
            await original(self, reader, writer)

        monkeypatch.setattr(Link, "_serve", serve)
        task = asyncio.ensure_future(link.run())
        link.send(b"after all")
        assert await asyncio.wait_for(received.get(), 5.0) == b"after all"
        assert failures
        task.cancel()
        links.close()

    asyncio.run(check())


def test_the_lab_does_not_wipe_a_process_that_runs(tmp_path: Path) -> None:
    """A test scenario may wipe a gateway's directory only while the gateway is down."""

    async def check(testbed: FleetTestbed, load: LoadGenerator) -> None:
        with pytest.raises(LabError, match="only while it is down"):
            testbed.processes["g0"].wipe()

    run_with_gateways(tmp_path, check)
