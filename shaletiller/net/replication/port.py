"""The port of the replication node: its messages, its timer, and the persistence of its rows."""

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

BUSY_TICK_MS = 4.0  # while operations are under way: no coarser than the shortest wait of the proposer
IDLE_TICK_MS = 25.0  # else: state transfer and anti-entropy need no more
RECORD_RETENTION_MS = 365 * 24 * 3600_000.0  # of operator commands and endpoint lists, which nobody renews


class PortListener:
    """What a user of the port is notified of; this base class ignores everything."""

    def operation_finished(self, result: OperationResult, now_ms: float) -> bool:
        """Handle the result of an operation.

        :returns: whether the operation was this listener's.
        """
        return False

    def effects_carried_out(self) -> None:
        """Handle that all effects of an event have been carried out."""

    def tick(self, now_ms: float) -> None:
        """Handle the passing of time, at least every `IDLE_TICK_MS`."""


class ReplicationPort:
    """Runs a replication node on the links, the clock and the store of a gateway."""

    def __init__(
        self,
        node: ReplicationNode,
        codec: Codec,
        send: Callable[[int, bytes], None],
        membership: Membership,
        clock: Clock,
    ) -> None:
        """Connect a node.

        :param send: sends a frame to a member; it may be lost.
        """
        self.node, self.codec = node, codec
        self.writer: StoreWriter | None = None  # None until the store is open
        self._send, self._membership, self._clock = send, membership, clock
        self._listeners: list[PortListener] = []
        self._results: dict[int, asyncio.Future[OperationResult]] = {}
        self._timer: Timer | None = None
        self._ticks_fast = False

    def subscribe(self, listener: PortListener) -> None:
        """Notify a listener from now on."""
        self._listeners.append(listener)

    def open(self, writer: StoreWriter, records: list[tuple[int, bytes, bytes]]) -> None:
        """Give the node its store.

        :param records: what the store holds: kind, key and value each.
        :raises msgspec.MsgspecError: for a record that cannot be decoded.
        """
        self.writer = writer
        self.node.open(records, self._clock.now_ms())

    def start(self) -> None:
        """Start the timer."""
        self._tick()

    async def close(self) -> None:
        """Stop the timer, and close the store once what is queued is committed."""
        if self._timer is not None:
            self._timer.cancel()
        if self.writer is not None:
            await self.writer.stop()

    # ---- operations

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
        """Run an operation on a register.

        :param timeout_ms: after which its result is indeterminate.
        :param expected: the bytes that `Precondition.EQUALS` compares with.
        :param position: where this gateway committed the value that the register holds.
        :param retention_ms: how long the value is kept.
        """
        now_ms = self._clock.now_ms()
        result: asyncio.Future[OperationResult] = asyncio.get_running_loop().create_future()
        operation = self.node.propose(
            key, precondition, value, now_ms + retention_ms, now_ms + timeout_ms, now_ms, expected, position
        )
        self._results[operation] = result
        self.run(lambda: None)  # carries out the effects of the proposal
        return await result

    def run(self, call: Callable[[], object]) -> None:
        """Make a call to the node, and carry out the effects it has."""
        try:
            call()
            self._carry_out_effects()
        except Exception:
            # A fault of replication must not reach the requests that are served without it: it shows as this
            # line, and the operations concerned end as indeterminate at their deadlines.
            logger.exception("replication: an event failed, and its effects are lost")

    def group_has_majority(self, key: str) -> bool:
        """Return whether a majority of a key's group may be up.

        A member whose state is not known yet may be: right after a start that is all of them.
        """
        groups, peers = self.node.groups, self._membership.peers
        dead = sum(
            member != self.node.member and peers[member].state is MemberState.DEAD
            for member in groups.members_of(key)
        )
        return groups.replicas - dead >= groups.majority

    # ---- events

    def receive(self, data: bytes) -> None:
        """Handle a frame of another member; an invalid one is counted and dropped."""
        found = self.codec.read(data)
        if found is not None:
            sender, message = found
            self.run(lambda: self.node.receive(sender, message, self._clock.now_ms()))

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        self._ticks_fast = self.node.busy
        self._timer = self._clock.call_later(BUSY_TICK_MS if self._ticks_fast else IDLE_TICK_MS, self._tick)
        peers = self._membership.peers
        self.node.unreachable = frozenset(
            member for member, peer in peers.items() if peer.state is MemberState.DEAD
        )
        self.run(lambda: self.node.tick(now_ms, self._membership.alive()))
        for listener in self._listeners:
            listener.tick(now_ms)

    def _carry_out_effects(self) -> None:
        while effects := self.node.take_effects():
            for effect in effects:
                self._carry_out(effect)
        for listener in self._listeners:
            listener.effects_carried_out()
        if self.node.busy and not self._ticks_fast and self._timer is not None:
            self._timer.cancel()  # it was set when no operation was under way
            self._ticks_fast = True
            self._timer = self._clock.call_later(BUSY_TICK_MS, self._tick)

    def _carry_out(self, effect: Effect) -> None:
        if isinstance(effect, SendMessage):
            self._send(effect.recipient, self.codec.write(effect.message))
        elif isinstance(effect, PersistRecords):
            self._persist(effect)
        else:
            self._finish(effect)

    def _finish(self, result: OperationResult) -> None:
        now_ms = self._clock.now_ms()
        if any(listener.operation_finished(result, now_ms) for listener in self._listeners):
            return
        waiting = self._results.pop(result.operation, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(result)

    def _persist(self, effect: PersistRecords) -> None:
        if self.writer is None:
            self.node.persist_failed(effect.token)
        else:
            self.writer.submit(effect.updates, partial(self._persisted, effect.token))

    def _persisted(self, token: int, durable: bool) -> None:
        if durable:
            self.run(lambda: self.node.persisted(token, self._clock.now_ms()))
        else:
            self.node.persist_failed(token)
