"""The replication protocol as a transition system: states, events, and what each event does.

Three members run the `ReplicationNode` of the real gateway. Messages arrive in any order, and may be lost or
duplicated. At any time a member may crash, with or without the loss of its disk, and its timers may fire.
`FaultBounds` limits the number of these faults.
"""

from __future__ import annotations

import pickle
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from shaletiller.lab.state_space_bounds import MEMBERS, ClientWrite, FaultBounds, FaultKind, Script
from shaletiller.replication.effects import OperationResult, PersistRecords, SendMessage
from shaletiller.replication.groups import ReplicaGroups
from shaletiller.replication.messages import Accept, AnyMessage, Prepare
from shaletiller.replication.node import ReplicationNode
from shaletiller.replication.proposer import Precondition
from shaletiller.replication.records import META, pack

BEGIN_MS = 1_000_000.0  # Initial time, late enough that the initial incarnations lie before it.
NEVER_MS = 9e12  # Later than any time in an exploration.
TIMEOUT_STEP_MS = 100.0  # Longer than any wait of the protocol, so that each timer event is one timeout.
RESTART_STEP_MS = 10.0  # Gives restarted members different incarnations.
FIRST_INCARNATION = 1_000  # Incarnation of member 0 in the initial state.
MAX_READ_EVENTS = 60  # Several times the number of events of a read by three members.
ONE_ZONE = ReplicaGroups(("",) * len(MEMBERS))

NodeFactory = Callable[[int, ReplicaGroups, list[tuple[int, bytes, bytes]], float], ReplicationNode]


class Envelope(NamedTuple):
    """A message in transit."""

    sender: int
    recipient: int
    message: AnyMessage

    @classmethod
    def decode(cls, data: bytes) -> Envelope:
        """Decode an envelope that was encoded for `SystemState.in_transit`."""
        return cls(*pickle.loads(data))

    def encode(self) -> bytes:
        """Encode the envelope, so that equal messages can be counted and all messages sorted."""
        return pickle.dumps(tuple(self))

    def __str__(self) -> str:
        return f"{self.sender}>{self.recipient} {self.message}"


class EventKind(StrEnum):
    """A kind of transition; the value is its name in reports."""

    DELIVER = "deliver"
    LOSE = "lose"
    DUPLICATE = "double"
    REJOIN = "return"
    PERSIST = "sync"
    CRASH = "kill"
    LOSE_DISK = "wipe"
    TIMEOUT = "tick"


@dataclass(slots=True, frozen=True)
class Event:
    """A transition of a member, or of a message, whose encoded envelope it holds."""

    kind: EventKind
    member: int = -1
    envelope: bytes = b""

    def __str__(self) -> str:
        return f"{self.kind} {Envelope.decode(self.envelope) if self.envelope else self.member}"


class ClientResponse(StrEnum):
    """The response to a client's write."""

    NONE = "none"
    CLAIMED = "claimed"  # The claim is committed.
    OTHER_VALUE = "other value"  # Another value is committed.
    INDETERMINATE = "indeterminate"
    OUTCOME_COMMITTED = "outcome committed"
    OUTCOME_LOST = "outcome lost"  # The claim was committed, but the outcome was rejected.


WINNERS = frozenset({ClientResponse.CLAIMED, ClientResponse.OUTCOME_COMMITTED, ClientResponse.OUTCOME_LOST})


@dataclass(slots=True)
class ClientOperation:
    """A client's write, the replication operation of the member for it, and its response.

    `abandoned`: the member crashed before the write ended, so that the response no longer changes.
    """

    write: ClientWrite
    operation: int = 0
    response: ClientResponse = ClientResponse.NONE
    value: bytes = b""
    abandoned: bool = False


@dataclass
class SystemState:
    """The complete state of the system, which determines the events that can follow.

    `persisting` holds the records that wait to become durable on each disk, in order; `in_transit` counts the
    encoded envelopes.
    """

    nodes: dict[int, ReplicationNode] = field(default_factory=dict)
    disks: list[dict[tuple[int, bytes], bytes]] = field(default_factory=list)
    persisting: list[list[PersistRecords]] = field(default_factory=lambda: [[] for _ in MEMBERS])
    in_transit: Counter[bytes] = field(default_factory=Counter)
    operations: list[ClientOperation] = field(default_factory=list)
    clocks_ms: list[float] = field(default_factory=lambda: [BEGIN_MS for _ in MEMBERS])
    faults: Counter[FaultKind] = field(default_factory=Counter)
    restarts: int = 0
    absent_member: int | None = None

    def copy(self) -> SystemState:
        """Return a deep copy."""
        copied: SystemState = pickle.loads(pickle.dumps(self))
        return copied

    def remove_from_transit(self, envelope: bytes) -> None:
        """Remove one copy of a message."""
        self.in_transit[envelope] -= 1
        if not self.in_transit[envelope]:
            del self.in_transit[envelope]


def is_late_request(state: SystemState, envelope: Envelope) -> bool:
    """Return whether a message is a request whose proposer no longer waits for a reply."""
    message = envelope.message
    return (
        isinstance(message, Prepare | Accept)
        and message.nonce not in state.nodes[envelope.sender].proposer._nonces
    )


class ProtocolModel:
    """The transition system of one script under bounds on faults."""

    def __init__(
        self,
        bounds: FaultBounds,
        script: Script,
        create_node: NodeFactory = ReplicationNode,
        groups: ReplicaGroups = ONE_ZONE,
    ) -> None:
        """Create the model.

        :param create_node: creates a member's replication node; tests pass nodes without a safety check.
        """
        self.bounds, self.script = bounds, script
        self._create_node, self._groups = create_node, groups
        self._handlers: dict[EventKind, Callable[[SystemState, Event], None]] = {
            EventKind.DELIVER: self._handle_delivery,
            EventKind.LOSE: self._handle_loss,
            EventKind.DUPLICATE: self._handle_duplication,
            EventKind.REJOIN: self._handle_rejoin,
            EventKind.PERSIST: lambda state, event: self._persist_next(state, event.member),
            EventKind.CRASH: self._handle_crash,
            EventKind.LOSE_DISK: self._handle_crash,
            EventKind.TIMEOUT: self._handle_timeout,
        }

    def initial_state(self) -> SystemState:
        """Return the initial state: the members are synced, and the claim of each write has been proposed."""
        state = SystemState(absent_member=self.script.absent_member)
        incarnations = [FIRST_INCARNATION + member for member in MEMBERS]
        for member in MEMBERS:
            others = [other for other in MEMBERS if other != member]
            state.disks.append(
                {
                    (META, b"life"): pack(incarnations[member]),
                    (META, b"lives"): pack(incarnations),
                    (META, b"synced"): pack(others),
                }
            )
        for member in MEMBERS:
            self._start(state, member)
        for write in self.script.writes:
            self._propose_claim(state, write)
        return state

    def events(self, state: SystemState) -> Iterator[Event]:
        """Yield all events that are possible in a state."""
        for envelope in state.in_transit:
            yield Event(EventKind.DELIVER, envelope=envelope)
            if self._allows(state, FaultKind.LOST_MESSAGE):
                yield Event(EventKind.LOSE, envelope=envelope)
            if self._allows(state, FaultKind.DUPLICATED_MESSAGE):
                yield Event(EventKind.DUPLICATE, envelope=envelope)
        if state.absent_member is not None:
            yield Event(EventKind.REJOIN, state.absent_member)
        for member in MEMBERS:
            yield from self._member_events(state, member)

    def _member_events(self, state: SystemState, member: int) -> Iterator[Event]:
        if state.persisting[member]:
            yield Event(EventKind.PERSIST, member)
        if member == state.absent_member:
            return
        if self._allows(state, FaultKind.CRASH):
            yield Event(EventKind.CRASH, member)
        if self._allows(state, FaultKind.DISK_LOSS):
            yield Event(EventKind.LOSE_DISK, member)
        node = state.nodes[member]
        if self._allows(state, FaultKind.TIMEOUT) and (node.busy or not node.fully_synced):
            yield Event(EventKind.TIMEOUT, member)

    def _allows(self, state: SystemState, kind: FaultKind) -> bool:
        return state.faults[kind] < self.bounds.limit(kind)

    def apply(self, state: SystemState, event: Event) -> None:
        """Apply an event to the state in place."""
        self._handlers[event.kind](state, event)

    def _handle_delivery(self, state: SystemState, event: Event) -> None:
        state.remove_from_transit(event.envelope)
        self._receive(state, event.envelope)

    def _handle_loss(self, state: SystemState, event: Event) -> None:
        state.remove_from_transit(event.envelope)
        state.faults[FaultKind.LOST_MESSAGE] += 1

    def _handle_duplication(self, state: SystemState, event: Event) -> None:
        state.faults[FaultKind.DUPLICATED_MESSAGE] += 1
        self._receive(state, event.envelope)

    def _handle_rejoin(self, state: SystemState, event: Event) -> None:
        state.absent_member = None

    def _handle_crash(self, state: SystemState, event: Event) -> None:
        if event.kind is EventKind.LOSE_DISK:
            state.faults[FaultKind.DISK_LOSS] += 1
            state.disks[event.member] = {}
        else:
            state.faults[FaultKind.CRASH] += 1
        for operation in state.operations:
            if operation.write.member == event.member and operation.response in (
                ClientResponse.NONE,
                ClientResponse.CLAIMED,
            ):
                operation.abandoned = True
        self._start(state, event.member)

    def _handle_timeout(self, state: SystemState, event: Event) -> None:
        state.faults[FaultKind.TIMEOUT] += 1
        self._advance_clock(state, event.member)

    def _start(self, state: SystemState, member: int) -> None:
        state.restarts += 1
        state.clocks_ms[member] += RESTART_STEP_MS * state.restarts
        stored = [(kind, key, value) for (kind, key), value in state.disks[member].items()]
        node = self._create_node(member, self._groups, stored, state.clocks_ms[member])
        node.anti_entropy._compared_ms = NEVER_MS  # The model does not include anti-entropy.
        state.nodes[member] = node
        state.persisting[member] = []
        node.tick(state.clocks_ms[member], ())
        self._apply_effects(state, member)

    def _advance_clock(self, state: SystemState, member: int) -> None:
        state.clocks_ms[member] += TIMEOUT_STEP_MS
        state.nodes[member].tick(state.clocks_ms[member], ())
        self._apply_effects(state, member)

    def _receive(self, state: SystemState, data: bytes) -> None:
        envelope = Envelope.decode(data)
        if is_late_request(state, envelope):
            state.faults[FaultKind.LATE_REQUEST] += 1
        member = envelope.recipient
        state.nodes[member].receive(envelope.sender, envelope.message, state.clocks_ms[member])
        self._apply_effects(state, member)

    def _persist_next(self, state: SystemState, member: int) -> None:
        records = state.persisting[member].pop(0)
        for kind, key, value in records.updates:
            if value is None:
                state.disks[member].pop((kind, key), None)
            else:
                state.disks[member][kind, key] = value
        state.nodes[member].on_persisted(records.token, state.clocks_ms[member])
        self._apply_effects(state, member)

    def _apply_effects(self, state: SystemState, member: int) -> None:
        for effect in state.nodes[member].take_effects():
            if isinstance(effect, SendMessage):
                if state.absent_member not in (member, effect.recipient):
                    state.in_transit[Envelope(member, effect.recipient, effect.message).encode()] += 1
            elif isinstance(effect, PersistRecords):
                state.persisting[member].append(effect)
            else:
                self._on_operation_finished(state, member, effect)
        # Partial-order reduction: without crashes, the time at which a record becomes durable cannot be
        # observed; a barrier without updates becomes durable together with the records before it.
        while state.persisting[member] and not (self.bounds.crashes and state.persisting[member][0].updates):
            self._persist_next(state, member)

    def _propose_claim(self, state: SystemState, write: ClientWrite) -> None:
        member = write.member
        number = state.nodes[member].propose(
            write.key, Precondition.FREE, write.claim, NEVER_MS, NEVER_MS, state.clocks_ms[member]
        )
        state.operations.append(ClientOperation(write, number))
        self._apply_effects(state, member)

    def _on_operation_finished(self, state: SystemState, member: int, result: OperationResult) -> None:
        operation = next(
            (
                candidate
                for candidate in state.operations
                if candidate.write.member == member and candidate.operation == result.operation
            ),
            None,
        )
        if operation is None or operation.abandoned:
            return
        if operation.response is ClientResponse.NONE:
            self._on_claim_finished(state, operation, result)
        elif operation.response is ClientResponse.CLAIMED and operation.write.outcome:
            operation.response = (
                ClientResponse.OUTCOME_COMMITTED if result.committed else ClientResponse.OUTCOME_LOST
            )

    def _on_claim_finished(
        self, state: SystemState, operation: ClientOperation, result: OperationResult
    ) -> None:
        operation.value = result.value
        if not result.committed:
            operation.response = (
                ClientResponse.INDETERMINATE if result.indeterminate else ClientResponse.OTHER_VALUE
            )
            return
        operation.response = ClientResponse.CLAIMED
        write = operation.write
        if write.outcome:
            operation.operation = state.nodes[write.member].propose(
                write.key,
                Precondition.EQUALS,
                write.outcome,
                NEVER_MS,
                NEVER_MS,
                state.clocks_ms[write.member],
                write.claim,
                result.position,
            )
            self._apply_effects(state, write.member)

    def read(self, state: SystemState, key: str) -> bytes | None:
        """Read a key without further faults; modifies the state.

        First, all messages in transit are dropped. The reader is a member that is not synced yet, if there
        is one, because it depends most on the other members.

        :returns: the committed value, or None if no majority can be reached.
        """
        state.in_transit.clear()
        state.absent_member = None
        reader = max(MEMBERS, key=lambda member: (not state.nodes[member].fully_synced, member))
        number = state.nodes[reader].propose(
            key, Precondition.READ_ONLY, b"", NEVER_MS, NEVER_MS, state.clocks_ms[reader]
        )
        read = ClientOperation(ClientWrite(reader, key), number)
        state.operations = [read]
        for _ in range(MAX_READ_EVENTS):
            self._persist_all(state)
            if read.response is not ClientResponse.NONE:
                return read.value
            if state.in_transit:
                envelope = next(iter(state.in_transit))
                state.remove_from_transit(envelope)
                sender, member, message = Envelope.decode(envelope)
                state.nodes[member].receive(sender, message, state.clocks_ms[member])
            else:
                state.clocks_ms[reader] += TIMEOUT_STEP_MS
                state.nodes[reader].tick(state.clocks_ms[reader], ())
        return None

    def _persist_all(self, state: SystemState) -> None:
        for member in MEMBERS:
            self._apply_effects(state, member)
        while any(state.persisting):
            self._persist_next(state, next(member for member in MEMBERS if state.persisting[member]))
