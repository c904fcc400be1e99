"""A simulated gateway of the replication simulation: its process, its disk and its clock.

The process runs the `ReplicationNode` and `ReplicatedWrites` of the real gateway. It may crash, or be paused
while its messages are queued. The contents of the disk survive a crash of the process, except for a batch
whose sync has not ended. The disk may be lost with the machine.
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

START_UNIX_MS = 1_764_000_000_000.0  # Unix time at the start of a run, as on the clocks of real gateways.
TICK_MS = 5.0  # A real gateway ticks its node at this interval while operations are in progress.
REQUEST_TIMEOUT_MS = 900.0  # Equal to the request timeout in the tests with real processes.
RETENTION_MS = 3_600_000.0  # Longer than a run, so that no outcome expires.
MAX_PAUSED_MESSAGES = 4096  # Calls queued for a paused process are bounded, as by a socket buffer.
SYNC_MS = 1.0  # Maximum sync time of a healthy disk.
SLOW_SYNC_MS = 100.0  # Maximum sync time of a slow disk: several ticks and retransmissions of the protocol.
NODE_RESPONSE_RANGE_MS = (2.0, 80.0)  # Response time of a storage node, shorter than the request timeout.
REJECTION_PROBABILITY = 0.05  # A storage node rejects an attempt while faults are injected.
LOST_RESPONSE_PROBABILITY = 0.05  # The write of an attempt runs, but its response is lost.


@dataclass(slots=True)
class ClientRequest:
    """A client's write through one gateway, and its response.

    `response` is None if the gateway was down or paused, or crashed before it responded.
    """

    key: str
    gateway: int
    sent_ms: float
    response: WriteVerdict | None = None
    body: bytes = b""
    responded_ms: float = 0.0


class Environment(Protocol):
    """The environment of a gateway: clock, network, storage nodes and random number generator.

    `executions` counts for each key how often its write ran at a storage node.
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
        """Create the replication node of a starting member."""

    def send(self, sender: int, recipient: int, message: AnyMessage) -> None:
        """Send a message to another member of the fleet."""


@dataclass(slots=True)
class _Process:
    """A gateway's process: the state that is lost when it crashes.

    `unsynced` holds the records that wait for the end of the current sync, `queued_calls` the calls queued
    while the process was paused, and `forwarded` the numbers of the requests that reached a storage node.
    """

    node: ReplicationNode
    writes: ReplicatedWrites
    paused: bool = False
    syncing: bool = False
    unsynced: list[PersistRecords] = field(default_factory=list)
    queued_calls: list[Callable[[], None]] = field(default_factory=list)
    requests: dict[int, ClientRequest] = field(default_factory=dict)
    forwarded: set[int] = field(default_factory=set)


class SimulatedGateway:
    """One member of the simulated fleet."""

    def __init__(self, environment: Environment, member: int, clock_offset_ms: float) -> None:
        """Create a gateway that is not running and has an empty disk.

        :param clock_offset_ms: how far its clock is ahead of the virtual clock.
        """
        self.member = member
        self.sync_ms = SYNC_MS
        self.disk_full = False
        self._environment, self._clock_offset_ms = environment, clock_offset_ms
        self._disk: dict[tuple[int, bytes], bytes] = {}
        self._process: _Process | None = None
        self._request_count = 0

    @property
    def running(self) -> bool:
        """Whether the process is running; a paused process counts as running."""
        return self._process is not None

    @property
    def fully_synced(self) -> bool:
        """Whether the process is running and votes on all keys of its groups."""
        return self._process is not None and self._process.node.fully_synced

    def start(self) -> None:
        """Start the process with the records on the disk."""
        stored = [(kind, key, value) for (kind, key), value in self._disk.items()]
        now_ms = self._now_ms()
        node = self._environment.create_node(self.member, stored, now_ms)
        process = _Process(node, ReplicatedWrites(node, int(now_ms), RETENTION_MS))
        self._process = process
        self._handle_tick(process)

    def crash(self) -> None:
        """Terminate the process; records that were not yet synced are lost."""
        self._process = None

    def lose_disk(self) -> None:
        """Terminate the process and erase the disk."""
        self.crash()
        self._disk = {}

    def pause(self) -> None:
        """Pause the process; messages and timers are queued until `resume`."""
        if self._process is not None:
            self._process.paused = True

    def resume(self) -> None:
        """Resume a paused process, and run the calls that were queued during the pause."""
        process = self._process
        if process is None or not process.paused:
            return
        process.paused = False
        calls, process.queued_calls = process.queued_calls, []
        for call in calls:
            self._run_or_queue(process, call)

    def receive(self, sender: int, message: AnyMessage) -> None:
        """Handle a message from another member; it is lost if the process is down."""
        process = self._process
        if process is not None:
            self._run_or_queue(process, lambda: process.node.receive(sender, message, self._now_ms()))

    def submit(self, request: ClientRequest) -> None:
        """Handle a client's write; it gets no response if the process is down or paused."""
        process = self._process
        if process is None or process.paused:
            return
        self._request_count += 1
        number = self._request_count
        process.requests[number] = request
        now_ms = self._now_ms()
        request_hash = xxhash.xxh3_64_intdigest(request.key.encode())
        process.writes.begin(number, request.key, request_hash, now_ms + REQUEST_TIMEOUT_MS, now_ms)
        self._schedule_after(
            REQUEST_TIMEOUT_MS,
            partial(self._run_or_queue, process, partial(self._handle_request_timeout, process, number)),
        )
        self._apply_effects(process)

    def _now_ms(self) -> float:
        return START_UNIX_MS + self._clock_offset_ms + self._environment.clock.now_ms

    def _schedule_after(self, delay_ms: float, call: Callable[[], None]) -> None:
        clock = self._environment.clock
        clock.at(clock.now_ms + delay_ms, call)

    def _run_or_queue(self, process: _Process, call: Callable[[], None]) -> None:
        if process is not self._process:
            return  # The call belongs to a process that has crashed.
        if process.paused:
            if len(process.queued_calls) < MAX_PAUSED_MESSAGES:
                process.queued_calls.append(call)
            return
        call()
        self._apply_effects(process)

    def _handle_tick(self, process: _Process) -> None:
        if process is not self._process:
            return
        if not process.paused:
            process.node.tick(self._now_ms(), tuple(range(self._environment.members)))
            self._apply_effects(process)
        self._schedule_after(TICK_MS, partial(self._handle_tick, process))

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
            self._respond(process, decision.number, decision.verdict, decision.body)

    def _persist(self, process: _Process, records: PersistRecords) -> None:
        process.unsynced.append(records)
        if not process.syncing:
            self._begin_sync(process)

    def _begin_sync(self, process: _Process) -> None:
        """Sync all waiting records in one batch, as the group commit of the store does."""
        batch, process.unsynced = process.unsynced, []
        process.syncing = True
        delay_ms = self.sync_ms * self._environment.random.uniform(0.2, 1.0)
        self._schedule_after(delay_ms, lambda: self._handle_sync_end(process, batch))

    def _handle_sync_end(self, process: _Process, batch: list[PersistRecords]) -> None:
        if process is not self._process:
            return  # The process crashed before the sync ended: no record of the batch is durable.
        failed = self.disk_full and any(records.updates for records in batch)
        if not failed:
            self._write_to_disk(batch)
        process.syncing = False
        if process.unsynced:
            self._begin_sync(process)
        for records in batch:
            self._run_or_queue(process, partial(self._notify_persisted, process, records.token, failed))

    def _write_to_disk(self, batch: list[PersistRecords]) -> None:
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

    def _handle_request_timeout(self, process: _Process, number: int) -> None:
        """Respond to a request at its deadline: FAILED if it was forwarded and may have run, or REJECTED."""
        if process.requests[number].response is None:
            verdict = WriteVerdict.FAILED if number in process.forwarded else WriteVerdict.REJECTED
            self._finish(process, number, verdict)

    def _forward(self, process: _Process, number: int) -> None:
        """Forward a write to a storage node, which may reject it; its response may be lost."""
        request, environment = process.requests[number], self._environment
        now_ms = environment.clock.now_ms
        if now_ms >= request.sent_ms + REQUEST_TIMEOUT_MS or request.response is not None:
            process.writes.end(number, WriteVerdict.REJECTED, b"", self._now_ms())
            return
        sample = environment.random.random()
        if sample < REJECTION_PROBABILITY and now_ms < environment.nodes_reject_until_ms:
            self._finish(process, number, WriteVerdict.REJECTED)
            return
        process.forwarded.add(number)
        body = f"{request.key} run {environment.executions[request.key]}".encode()
        environment.executions[request.key] += 1
        lost = sample < REJECTION_PROBABILITY + LOST_RESPONSE_PROBABILITY
        call = partial(self._handle_node_response, process, number, None if lost else body)
        self._schedule_after(
            environment.random.uniform(*NODE_RESPONSE_RANGE_MS), partial(self._run_or_queue, process, call)
        )

    def _handle_node_response(self, process: _Process, number: int, body: bytes | None) -> None:
        """Handle the response of a storage node; `body` is None if the connection failed."""
        if process.requests[number].response is not None:
            return
        if body is None:
            self._finish(process, number, WriteVerdict.FAILED)
        else:  # The client gets its response when the outcome is committed.
            process.writes.end(number, WriteVerdict.SERVED, body, self._now_ms())

    def _finish(self, process: _Process, number: int, verdict: WriteVerdict) -> None:
        self._respond(process, number, verdict)
        process.writes.end(number, verdict, b"", self._now_ms())

    def _respond(self, process: _Process, number: int, verdict: WriteVerdict, body: bytes = b"") -> None:
        request = process.requests[number]
        if request.response is None:
            request.response, request.body = verdict, body
            request.responded_ms = self._environment.clock.now_ms
