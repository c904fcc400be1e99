"""The replication port: messages, timer and persistence of the replication node."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from functools import partial

from shaletiller.clock import Clock, Timer
from shaletiller.fleet.membership import Membership, MemberState
from shaletiller.replication.effects import (
    CommitPosition,
    Effect,
    OperationResult,
    PersistRecords,
    SendMessage,
)
from shaletiller.replication.messages import Codec
from shaletiller.replication.node import ReplicationNode
from shaletiller.replication.proposer import Precondition
from shaletiller.store.writer import StoreWriter

logger = logging.getLogger(__name__)

# Tick interval while operations are in progress, no longer than the shortest wait of the proposer.
BUSY_TICK_MS = 4.0
IDLE_TICK_MS = 25.0  # Tick interval otherwise, short enough for state transfer and anti-entropy.
# Retention of operator commands and endpoint lists, which are not renewed.
RECORD_RETENTION_MS = 365 * 24 * 3600_000.0


class PortListener:
    """Callbacks of the port; this base class ignores all of them."""

    def on_operation_finished(self, result: OperationResult, now_ms: float) -> bool:
        """Handle the result of an operation.

        :returns: whether this listener started the operation.
        """
        return False

    def on_effects_executed(self) -> None:
        """Handle the completion of all effects of an event."""

    def tick(self, now_ms: float) -> None:
        """Handle a tick of the timer; called at least every `IDLE_TICK_MS`."""


class ReplicationPort:
    """Connects a replication node to the links, the clock and the store of a gateway."""

    def __init__(
        self,
        node: ReplicationNode,
        codec: Codec,
        send: Callable[[int, bytes], None],
        membership: Membership,
        clock: Clock,
    ) -> None:
        """Create a port for a node.

        :param send: sends a frame to a member; the frame may be lost.
        """
        self.node, self.codec = node, codec
        self.writer: StoreWriter | None = None  # None until the store is open.
        self._send, self._membership, self._clock = send, membership, clock
        self._listeners: list[PortListener] = []
        self._pending_results: dict[int, asyncio.Future[OperationResult]] = {}
        self._timer: Timer | None = None
        self._busy_tick = False

    def subscribe(self, listener: PortListener) -> None:
        """Register a listener for all further callbacks."""
        self._listeners.append(listener)

    def open(self, writer: StoreWriter, records: list[tuple[int, bytes, bytes]]) -> None:
        """Connect the node to its store.

        :param records: kind, key and value of each record in the store.
        :raises msgspec.MsgspecError: for a record that cannot be decoded.
        """
        self.writer = writer
        self.node.open(records, self._clock.now_ms())

    def start(self) -> None:
        """Start the timer."""
        self._tick()

    async def close(self) -> None:
        """Stop the timer, and close the store once all queued updates are committed."""
        if self._timer is not None:
            self._timer.cancel()
        if self.writer is not None:
            await self.writer.stop()

    async def propose(
        self,
        key: str,
        precondition: Precondition,
        value: bytes,
        timeout_ms: float,
        expected: bytes = b"",
        position: CommitPosition | None = None,
        retention_ms: float = RECORD_RETENTION_MS,
    ) -> OperationResult:
        """Run an operation on a register, and wait for its result.

        :param timeout_ms: time after which the result is indeterminate.
        :param expected: the bytes that `Precondition.EQUALS` compares with.
        :param position: the position at which this gateway committed the current value of the register.
        :param retention_ms: time until the value expires.
        """
        now_ms = self._clock.now_ms()
        future: asyncio.Future[OperationResult] = asyncio.get_running_loop().create_future()
        operation = self.node.propose(
            key, precondition, value, now_ms + retention_ms, now_ms + timeout_ms, now_ms, expected, position
        )
        self._pending_results[operation] = future
        self.call_node(lambda: None)  # Execute the effects of the proposal.
        return await future

    def call_node(self, call: Callable[[], object]) -> None:
        """Call the node, and execute the effects of the call."""
        try:
            call()
            self._execute_effects()
        except Exception:
            # A fault in replication must not affect requests that are served without it. It is logged, and
            # the operations concerned end as indeterminate at their deadlines.
            logger.exception("replication: handling of an event failed, its effects are lost")

    def group_has_majority(self, key: str) -> bool:
        """Return whether a majority of a key's group may be up.

        Members whose state is still unknown, as all are right after a start, are assumed to be up.
        """
        groups, peers = self.node.groups, self._membership.peers
        dead = sum(
            member != self.node.member and peers[member].state is MemberState.DEAD
            for member in groups.members_of(key)
        )
        return groups.replicas - dead >= groups.majority

    def receive(self, data: bytes) -> None:
        """Handle a frame from another member; an invalid frame is counted and dropped."""
        decoded = self.codec.read(data)
        if decoded is not None:
            sender, message = decoded
            self.call_node(lambda: self.node.receive(sender, message, self._clock.now_ms()))

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        self._busy_tick = self.node.busy
        self._timer = self._clock.call_later(BUSY_TICK_MS if self._busy_tick else IDLE_TICK_MS, self._tick)
        peers = self._membership.peers
        self.node.unreachable = frozenset(
            member for member, peer in peers.items() if peer.state is MemberState.DEAD
        )
        self.call_node(lambda: self.node.tick(now_ms, self._membership.alive()))
        for listener in self._listeners:
            listener.tick(now_ms)

    def _execute_effects(self) -> None:
        while effects := self.node.take_effects():
            for effect in effects:
                self._execute_effect(effect)
        for listener in self._listeners:
            listener.on_effects_executed()
        if self.node.busy and not self._busy_tick and self._timer is not None:
            self._timer.cancel()  # It was started with the idle interval, before the operation began.
            self._busy_tick = True
            self._timer = self._clock.call_later(BUSY_TICK_MS, self._tick)

    def _execute_effect(self, effect: Effect) -> None:
        if isinstance(effect, SendMessage):
            self._send(effect.recipient, self.codec.write(effect.message))
        elif isinstance(effect, PersistRecords):
            self._persist(effect)
        else:
            self._deliver_result(effect)

    def _deliver_result(self, result: OperationResult) -> None:
        now_ms = self._clock.now_ms()
        if any(listener.on_operation_finished(result, now_ms) for listener in self._listeners):
            return
        future = self._pending_results.pop(result.operation, None)
        if future is not None and not future.done():
            future.set_result(result)

    def _persist(self, effect: PersistRecords) -> None:
        if self.writer is None:
            self.node.on_persist_failed(effect.token)
        else:
            self.writer.submit(effect.updates, partial(self._on_persisted, effect.token))

    def _on_persisted(self, token: int, durable: bool) -> None:
        if durable:
            self.call_node(lambda: self.node.on_persisted(token, self._clock.now_ms()))
        else:
            self.node.on_persist_failed(token)
