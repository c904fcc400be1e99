"""A simulated gateway of the replication simulation: its process, its disk and its clock.

The process runs the gateway's own `ReplicationNode` and `ReplicatedWrites`.  It may crash, or be paused while
its messages wait.  The disk outlives the process; a batch that is being synced is lost with the process, and
the disk may be lost with the machine.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

import xxhash

from shaletiller.lab.virtual_network import VirtualClock
from shaletiller.replication.effects import OperationResult, PersistRecords, SendMessage
from shaletiller.replication.groups import ReplicaGroups
from shaletiller.replication.messages import AnyMessage
from shaletiller.replication.node import ReplicationNode
from shaletiller.replication.writes import ReplicatedWrites, WriteDecision, WriteVerdict

EPOCH_MS = 1_764_000_000_000.0  # Unix time at the start of a run: like the clocks of real gateways
TICK_MS = 5.0  # as often as a gateway calls its node while operations are under way
REQUEST_TIMEOUT_MS = 900.0  # as the load of the tests with real processes
RETENTION_MS = 3_600_000.0  # outlasts a run: no outcome expires in it
MAX_PAUSED_MESSAGES = 4096  # as a socket's buffer, what comes to a paused process is bounded
SYNC_MS = 1.0  # the longest sync of a healthy disk
SLOW_SYNC_MS = 100.0  # of a slow one: several ticks and retransmissions of the protocol
NODE_ANSWER_MS = (2.0, 80.0)  # a storage node's answer takes so long, within the requests' timeout
FULL_NODE_SHARE = 0.05  # of the attempts, while faults are injected: the node rejects the write
LOST_ANSWER_SHARE = 0.05  # of the attempts: the write runs, and its answer is lost


@dataclass(slots=True)
class ClientRequest:
    """A client's write through one gateway, and the answer.

    `answer` is None where none came, since the gateway was down or paused, or crashed.
    """

    key: str
    gateway: int
    sent_ms: float
    answer: WriteVerdict | None = None
    body: bytes = b""
    answered_ms: float = 0.0


class Environment(Protocol):
    """What surrounds a gateway: time, the network, the storage nodes and randomness.

    `executions` counts how often the write of each key has run at a storage node.
    """

    members: int
    clock: VirtualClock
    random: random.Random
    groups: ReplicaGroups
    executions: Counter[str]
    nodes_reject_until_ms: float

    def create_node(
        self, member: int, stored: list[tuple[int, bytes, bytes]], now_ms: float
    ) -> ReplicationNode:
        """Create the replication node of a member that starts."""

    def send(self, sender: int, recipient: int, message: AnyMessage) -> None:
        """Send a message to another member."""


@dataclass(slots=True)
class _Process:
    """A gateway's process: all that is lost when it crashes.

    `unsynced` holds the records that wait for the sync under way; `delayed_calls` what came while it was
    paused; `forwarded` the requests that reached a storage node.
    """

    node: ReplicationNode
    writes: ReplicatedWrites
    paused: bool = False
    syncing: bool = False
    unsynced: list[PersistRecords] = field(default_factory=list)
    delayed_calls: list[Callable[[], None]] = field(default_factory=list)
    requests: dict[int, ClientRequest] = field(default_factory=dict)
    forwarded: set[int] = field(default_factory=set)


class SimulatedGateway:
    """One member of the simulated fleet."""

    def __init__(self, environment: Environment, member: int, clock_offset_ms: float) -> None:
        """Create a gateway that is down, with an empty disk.

        :param clock_offset_ms: by how much its clock is ahead of true time.
        """
        self.member = member
        self.sync_ms = SYNC_MS
        self.disk_full = False
        self._environment, self._clock_offset_ms = environment, clock_offset_ms
        self._disk: dict[tuple[int, bytes], bytes] = {}
        self._process: _Process | None = None
        self._requests = 0

    # ---- the process

    @property
    def running(self) -> bool:
        """Whether the process is up, paused or not."""
        return self._process is not None

    @property
    def fully_synced(self) -> bool:
        """Whether the process is up and votes on all keys of its groups."""
        return self._process is not None and self._process.node.fully_synced

    def start(self) -> None:
        """Start the process on what the disk holds."""
        stored = [(kind, key, value) for (kind, key), value in self._disk.items()]
        now_ms = self._now_ms()
        node = self._environment.create_node(self.member, stored, now_ms)
        process = _Process(node, ReplicatedWrites(node, int(now_ms), RETENTION_MS))
        self._process = process
        self._tick(process)

    def crash(self) -> None:
        """End the process: records that were not yet synced are lost."""
        self._process = None

    def lose_disk(self) -> None:
        """End the process, and empty the disk."""
        self.crash()
        self._disk = {}

    def pause(self) -> None:
        """Stop the process: messages and timers wait until `resume`."""
        if self._process is not None:
            self._process.paused = True

    def resume(self) -> None:
        """Continue a paused process with all that came meanwhile."""
        process = self._process
        if process is None or not process.paused:
            return
        process.paused = False
        calls, process.delayed_calls = process.delayed_calls, []
        for call in calls:
            self._run(process, call)

    def receive(self, sender: int, message: AnyMessage) -> None:
        """Handle a message of another member; one to a process that is down is lost."""
        process = self._process
        if process is not None:
            self._run(process, lambda: process.node.receive(sender, message, self._now_ms()))

    def submit(self, request: ClientRequest) -> None:
        """Handle a client's write; at a process that is down or paused it gets no answer."""
        process = self._process
        if process is None or process.paused:
            return
        self._requests += 1
        number = self._requests
        process.requests[number] = request
        now_ms = self._now_ms()
        request_hash = xxhash.xxh3_64_intdigest(request.key.encode())
        process.writes.begin(number, request.key, request_hash, now_ms + REQUEST_TIMEOUT_MS, now_ms)
        self._after(REQUEST_TIMEOUT_MS, partial(self._run, process, partial(self._time_out, process, number)))
        self._apply_effects(process)

    # ---- time

    def _now_ms(self) -> float:
        return EPOCH_MS + self._clock_offset_ms + self._environment.clock.now_ms

    def _after(self, delay_ms: float, call: Callable[[], None]) -> None:
        clock = self._environment.clock
        clock.at(clock.now_ms + delay_ms, call)

    def _run(self, process: _Process, call: Callable[[], None]) -> None:
        if process is not self._process:
            return  # of a process that has crashed
        if process.paused:
            if len(process.delayed_calls) < MAX_PAUSED_MESSAGES:
                process.delayed_calls.append(call)
            return
        call()
        self._apply_effects(process)

    def _tick(self, process: _Process) -> None:
        if process is not self._process:
            return
        if not process.paused:
            process.node.tick(self._now_ms(), tuple(range(self._environment.members)))
            self._apply_effects(process)
        self._after(TICK_MS, partial(self._tick, process))

    # ---- effects

    def _apply_effects(self, process: _Process) -> None:
        for effect in process.node.take_effects():
            if isinstance(effect, SendMessage):
                self._environment.send(self.member, effect.recipient, effect.message)
            elif isinstance(effect, PersistRecords):
                self._persist(process, effect)
            elif isinstance(effect, OperationResult):
                process.writes.on_operation_finished(effect, self._now_ms())
        for decision in process.writes.take_decisions():
            self._apply_decision(process, decision)
        if process.node.effects:
            self._apply_effects(process)

    def _apply_decision(self, process: _Process, decision: WriteDecision) -> None:
        if decision.verdict is WriteVerdict.FORWARD:
            self._forward(process, decision.number)
        else:
            self._answer(process, decision.number, decision.verdict, decision.body)

    def _persist(self, process: _Process, records: PersistRecords) -> None:
        process.unsynced.append(records)
        if not process.syncing:
            self._begin_sync(process)

    def _begin_sync(self, process: _Process) -> None:
        """Sync all records that wait, as the store's group commit does."""
        batch, process.unsynced = process.unsynced, []
        process.syncing = True
        delay_ms = self.sync_ms * self._environment.random.uniform(0.2, 1.0)
        self._after(delay_ms, lambda: self._end_sync(process, batch))

    def _end_sync(self, process: _Process, batch: list[PersistRecords]) -> None:
        if process is not self._process:
            return  # it crashed before the sync: none of the batch is durable
        failed = self.disk_full and any(records.updates for records in batch)
        if not failed:
            self._write(batch)
        process.syncing = False
        if process.unsynced:
            self._begin_sync(process)
        for records in batch:
            self._run(process, partial(self._notify_persisted, process, records.token, failed))

    def _write(self, batch: list[PersistRecords]) -> None:
        for records in batch:
            for kind, key, value in records.updates:
                if value is None:
                    self._disk.pop((kind, key), None)
                else:
                    self._disk[kind, key] = value

    def _notify_persisted(self, process: _Process, token: int, failed: bool) -> None:
        if failed:
            process.node.on_persist_failed(token)
        else:
            process.node.on_persisted(token, self._now_ms())

    # ---- client requests

    def _time_out(self, process: _Process, number: int) -> None:
        """Answer a request at its deadline: failed where it was forwarded and so may have run."""
        if process.requests[number].answer is None:
            verdict = WriteVerdict.FAILED if number in process.forwarded else WriteVerdict.REJECTED
            self._end(process, number, verdict)

    def _forward(self, process: _Process, number: int) -> None:
        """Forward a write to a storage node, which may reject it, or whose answer may be lost."""
        request, environment = process.requests[number], self._environment
        now_ms = environment.clock.now_ms
        if now_ms >= request.sent_ms + REQUEST_TIMEOUT_MS or request.answer is not None:
            process.writes.end(number, WriteVerdict.REJECTED, b"", self._now_ms())
            return
        chance = environment.random.random()
        if chance < FULL_NODE_SHARE and now_ms < environment.nodes_reject_until_ms:
            self._end(process, number, WriteVerdict.REJECTED)
            return
        process.forwarded.add(number)
        body = f"{request.key} run {environment.executions[request.key]}".encode()
        environment.executions[request.key] += 1
        lost = chance < FULL_NODE_SHARE + LOST_ANSWER_SHARE
        call = partial(self._node_answered, process, number, None if lost else body)
        self._after(environment.random.uniform(*NODE_ANSWER_MS), partial(self._run, process, call))

    def _node_answered(self, process: _Process, number: int, body: bytes | None) -> None:
        """Handle the answer of a storage node; None: the connection failed instead."""
        if process.requests[number].answer is not None:
            return
        if body is None:
            self._end(process, number, WriteVerdict.FAILED)
        else:  # its client is answered once the outcome is committed
            process.writes.end(number, WriteVerdict.SERVED, body, self._now_ms())

    def _end(self, process: _Process, number: int, verdict: WriteVerdict) -> None:
        self._answer(process, number, verdict)
        process.writes.end(number, verdict, b"", self._now_ms())

    def _answer(self, process: _Process, number: int, verdict: WriteVerdict, body: bytes = b"") -> None:
        request = process.requests[number]
        if request.answer is None:
            request.answer, request.body = verdict, body
            request.answered_ms = self._environment.clock.now_ms
