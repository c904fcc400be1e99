"""Tests of the replication adapters of one gateway, without fleet or engine: store, commands, list cache."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any, TypeVar

import pytest

from shaletiller.clock import SettableClock
from shaletiller.config import ServerList, ServerRow
from shaletiller.net.replication.commands import ReplicatedCommands
from shaletiller.net.replication.endpoint_lists import LIST_KEY, EndpointListCache
from shaletiller.net.replication.port import ReplicationPort
from shaletiller.net.replication.storage import StoreOpener
from shaletiller.replication.errors import NotReplicatedError
from shaletiller.replication.groups import ReplicaGroups
from shaletiller.replication.messages import Codec
from shaletiller.replication.node import ReplicationNode
from shaletiller.replication.records import META
from shaletiller.store.segment_store import SegmentStore
from shaletiller.store.writer import StoreWriter

NOW_MS = 1_000_000.0
Result = TypeVar("Result")


class Gateway:
    """A replication port with a store, in a fleet whose other members do not reply."""

    def __init__(self, folder: Path, members: int = 1) -> None:
        self.clock = SettableClock(NOW_MS)
        node = ReplicationNode(0, ReplicaGroups(("",) * members), None, NOW_MS)
        membership: Any = SimpleNamespace(peers={}, alive=lambda: (0,))
        codec = Codec(7, 0, members)
        self.port = ReplicationPort(node, codec, lambda member, data: None, membership, self.clock)
        self.store = SegmentStore(folder)
        self.restored: list[ServerList] = []
        self.drained: list[bool] = []
        self.lists = EndpointListCache(self.port, self.restored.append, "g0")
        coordinator: Any = SimpleNamespace(fleet=SimpleNamespace(clock=SimpleNamespace(now=int)))
        ejections: Any = SimpleNamespace(nodes=frozenset())
        switch: Any = SimpleNamespace(set_draining=self.drained.append)
        self.commands = ReplicatedCommands(self.port, coordinator, ejections, switch, self.clock, "g0")

    def start(self) -> None:
        """Open the store and start the timer."""
        writer = StoreWriter(self.store)
        writer.start()
        self.port.open(writer, [(record.kind, record.key, record.value) for record in self.store])
        self.port.start()

    async def wait_for(self, work: Awaitable[Result]) -> Result:
        """Advance the clock until an awaitable is done, and return its result."""
        task = asyncio.ensure_future(work)
        while not task.done():
            self.clock.advance(5.0)
            await asyncio.sleep(0.005)  # No faster than real time, so that the store's syncs can keep up.
        return await task

    async def advance(self, span_ms: float) -> None:
        """Advance the clock by a time span."""
        until_ms = self.clock.now_ms() + span_ms
        while self.clock.now_ms() < until_ms:
            self.clock.advance(25.0)
            await asyncio.sleep(0.001)


def run(folder: Path, check: Callable[[Gateway], Awaitable[None]], members: int = 1) -> None:
    """Start a gateway, run a test on it, and close its port."""

    async def run_check() -> None:
        gateway = Gateway(folder, members)
        gateway.start()
        try:
            await check(gateway)
        finally:
            await gateway.port.close()

    asyncio.run(run_check())


def create_opener(folder: Path) -> StoreOpener:
    """Create an opener for the store in a folder."""
    settings: Any = SimpleNamespace(dir=str(folder), segment_mb=8.0, drill="")
    return StoreOpener(settings, SettableClock(NOW_MS))


def test_the_newest_endpoint_list_is_restored_from_the_replicas(tmp_path: Path) -> None:
    """Discovery reports a list and then an empty one, and the gateway restarts.

    An empty list is of no use at a start: the previous one must be restored, from the store and the replicas.
    """

    async def check(gateway: Gateway) -> None:
        gateway.lists.update(ServerList(3, True, (ServerRow("n1", "127.0.0.1:1"),)))
        await gateway.advance(100.0)
        gateway.lists.update(ServerList(4, True))
        await gateway.advance(2_000.0)
        await gateway.wait_for(gateway.lists.restore_from_replicas())
        gateway.lists.restore_from_store(gateway.store)
        assert [record.version for record in gateway.restored] == [3, 3]

    run(tmp_path, check)


def test_an_unreadable_cached_endpoint_list_is_ignored(tmp_path: Path) -> None:
    """If the cached list in the store cannot be decoded, the gateway must start without it."""

    async def check(gateway: Gateway) -> None:
        gateway.store.commit([(META, LIST_KEY, b"no JSON")])
        gateway.lists.restore_from_store(gateway.store)
        assert not gateway.restored

    run(tmp_path, check)


def test_a_committed_drain_is_applied_at_the_next_start(tmp_path: Path) -> None:
    """An operator drains the gateway and later lifts the drain; a start must apply the newest command."""

    async def check(gateway: Gateway) -> None:
        for drained in (True, False):
            await gateway.wait_for(gateway.commands.replicate_drain(drained))
            await gateway.wait_for(gateway.commands.apply_drain())
        assert gateway.drained == [True, False]

    run(tmp_path, check)


def test_a_command_without_a_majority_is_not_replicated(tmp_path: Path) -> None:
    """If the other two members of the group do not reply, a drain must be reported as not replicated."""

    async def check(gateway: Gateway) -> None:
        with pytest.raises(NotReplicatedError):
            await gateway.wait_for(gateway.commands.replicate_drain(True))

    run(tmp_path, check, members=3)


def test_a_store_that_another_process_has_open_is_tried_again_later(tmp_path: Path) -> None:
    """Opening a store must fail while the previous process has it open, and succeed after it is closed."""
    first = SegmentStore(tmp_path / "store")
    opener = create_opener(tmp_path / "store")
    assert opener.open() is None
    assert not opener.found_damaged
    first.close()
    second = opener.open()
    assert second is not None
    second.close()


def test_a_damaged_store_is_moved_aside_and_an_empty_one_opened(tmp_path: Path) -> None:
    """If a bit of a record has flipped, the store must be moved aside and an empty one opened."""
    store = SegmentStore(tmp_path / "store")
    store.commit([(1, b"a", b"one")])
    store.close()
    segment = tmp_path / "store" / "0000000001.seg"
    damaged = bytearray(segment.read_bytes())
    damaged[-1] ^= 1
    segment.write_bytes(bytes(damaged))
    opener = create_opener(tmp_path / "store")
    opened = opener.open()
    assert opened is not None
    assert not opened.index
    assert opener.found_damaged
    assert (tmp_path / f"store.damaged-{int(NOW_MS)}" / segment.name).read_bytes() == bytes(damaged)
    opened.close()
