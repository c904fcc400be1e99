"""The replication node of one gateway: acceptor, proposer, state transfer and anti-entropy.

`ReplicationNode` reads no clock, socket or file. Its caller passes in received messages, completions of
persist requests and the time, and executes the effects that it returns (effects.py). A reply of the acceptor
is sent only after the rows that it depends on are persisted.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from shaletiller.replication.acceptor import Acceptor
from shaletiller.replication.anti_entropy import AntiEntropy
from shaletiller.replication.effects import CommitPosition, Effect, PersistRecords, SendMessage
from shaletiller.replication.groups import ReplicaGroups
from shaletiller.replication.messages import (
    Accept,
    AnyMessage,
    Prepare,
    Reply,
    StateTransferPage,
    StateTransferRequest,
)
from shaletiller.replication.proposer import Operation, Precondition, Proposer
from shaletiller.replication.records import REGISTER, pack
from shaletiller.replication.state_transfer import StateTransfer
from shaletiller.replication.transfer_budget import DEFAULT_BYTES_PER_SECOND, TransferBudget
from shaletiller.store.record_format import RecordUpdate


@dataclass(slots=True, frozen=True)
class _TransferCompleted:
    """Follow-up to a persist request: this member has transferred all the rows that both hold."""

    member: int


_FollowUp = SendMessage | _TransferCompleted


class ReplicationNode:
    """The replication node of one gateway.

    Times are in milliseconds since the Unix epoch. Each member compares expiry times with its own clock, so
    the clocks of all members must be within one second of each other.
    """

    def __init__(
        self,
        member: int,
        groups: ReplicaGroups,
        records: list[tuple[int, bytes, bytes]] | None,
        now_ms: float,
        bytes_per_second: float = DEFAULT_BYTES_PER_SECOND,
    ) -> None:
        """Create a node.

        :param member: number of this member in the fleet.
        :param records: kind, key and value of each record in the store, or None if the store is not open yet;
            the node only proposes until `open` is called.
        :param bytes_per_second: bandwidth limit of state transfer and anti-entropy.
        """
        self.member, self.groups = member, groups
        self.acceptor = Acceptor(member, groups)
        process_start_ms = int(now_ms)
        self.proposer = Proposer(self.acceptor, process_start_ms)
        self.budget = TransferBudget(bytes_per_second)
        self.state_transfer = StateTransfer(self.acceptor, process_start_ms, self.budget)
        self.anti_entropy = AntiEntropy(self.acceptor, self.budget)
        self.effects: list[Effect] = []
        # Members known to be down. A fast round needs the whole group, so it is skipped if one of the group
        # is in this set.
        self.unreachable: frozenset[int] = frozenset()
        self._after_persist: dict[int, _FollowUp] = {}  # Follow-ups by token.
        self._keys_being_persisted: dict[int, tuple[str, ...]] = {}  # Keys of registers, by token.
        self._unpersisted: set[str] = set()  # Keys of the registers whose newest row failed to persist.
        self._last_token = 0
        self._last_operation = 0
        if records is not None:
            self.open(records, now_ms)

    def open(self, records: Iterable[tuple[int, bytes, bytes]], now_ms: float) -> None:
        """Load the store; from now on the node also acts as an acceptor.

        :param records: kind, key and value of each record in the store.
        :raises msgspec.MsgspecError: for a record that cannot be decoded.
        """
        self.acceptor.load(records)
        if self.acceptor.incarnation == 0:
            self._persist(self.acceptor.start_incarnation(int(now_ms)))

    def propose(
        self,
        key: str,
        precondition: Precondition,
        value: bytes,
        expires_ms: float,
        deadline_ms: float,
        now_ms: float,
        expected: bytes = b"",
        position: CommitPosition | None = None,
        fast: bool = True,
    ) -> int:
        """Start an operation; its result is returned as an effect.

        :param expires_ms: expiry time of the register if the value is committed.
        :param deadline_ms: time at which an unfinished operation ends as indeterminate.
        :param expected: the bytes that `Precondition.EQUALS` compares with.
        :param position: the position at which this gateway committed the current value of the register.
        :param fast: whether a fast round may be tried.
        :returns: the number of the operation.
        """
        self._last_operation += 1
        operation = Operation(
            self._last_operation, key, precondition, value, int(expires_ms), deadline_ms, expected
        )
        fast = fast and self.unreachable.isdisjoint(self.groups.members_of(key))
        self.proposer.start(operation, now_ms, position, fast)
        self._collect_effects(now_ms)
        return self._last_operation

    @property
    def busy(self) -> bool:
        """Whether any operation is in progress."""
        return bool(self.proposer.operations)

    @property
    def fully_synced(self) -> bool:
        """Whether this node votes on all keys whose groups it belongs to."""
        acceptor = self.acceptor
        return len(acceptor.synced) == acceptor.member_count - 1 and not acceptor.superseded

    @property
    def rows_received(self) -> int:
        """Number of rows received by state transfer and anti-entropy."""
        return self.state_transfer.rows_received + self.anti_entropy.rows_received

    def receive(self, sender: int, message: AnyMessage, now_ms: float) -> None:
        """Handle a message of another member."""
        self._dispatch(sender, message, now_ms)
        self._collect_effects(now_ms)

    def on_persisted(self, token: int, now_ms: float) -> None:
        """Handle the completion of a `PersistRecords` effect: its updates are durable."""
        self._keys_being_persisted.pop(token, None)
        follow_up = self._after_persist.pop(token, None)
        if isinstance(follow_up, _TransferCompleted):
            if follow_up.member not in self.acceptor.synced:
                self.acceptor.synced.add(follow_up.member)
                self._persist(self.acceptor.metadata_updates())
        elif follow_up is not None:
            self._send(follow_up, now_ms)
        self._collect_effects(now_ms)

    def on_persist_failed(self, token: int) -> None:
        """Handle the failure of a `PersistRecords` effect: its updates are not durable.

        Messages that depend on these updates, or on updates submitted after them, are discarded. The updates
        are persisted again together with the next ones, before any reply that depends on those is sent. State
        transfers restart, because rows of earlier pages may not be durable.
        """
        self._after_persist.clear()
        self._unpersisted.update(self._keys_being_persisted.pop(token, ()))
        self.state_transfer.restart()
        self.acceptor.metadata_changed = True

    def tick(self, now_ms: float, alive: tuple[int, ...]) -> None:
        """Handle timeouts, transfers and expiry.

        The caller calls this every few milliseconds while operations are in progress, otherwise several times
        per second.

        :param alive: the members that are reachable.
        """
        self.proposer.tick(now_ms)
        if self.acceptor.incarnation:
            self.budget.refill(now_ms)
            if not self.acceptor.superseded:
                self.state_transfer.tick(now_ms)
                self.anti_entropy.tick(now_ms, alive)
        expired = self.acceptor.expire(now_ms)
        if expired:
            self._persist(expired)
        self._collect_effects(now_ms)

    def take_effects(self) -> list[Effect]:
        """Return the effects since the last call."""
        effects, self.effects = self.effects, []
        return effects

    def _persist(self, updates: list[RecordUpdate], follow_up: _FollowUp | None = None) -> None:
        if self._unpersisted:
            updates = [*map(self._current_update, sorted(self._unpersisted)), *updates]
            self._unpersisted.clear()
        if self.acceptor.metadata_changed:
            updates = [*self.acceptor.metadata_updates(), *updates]
        self._last_token += 1
        keys = tuple(update.key.decode() for update in updates if update.kind == REGISTER)
        if keys:
            self._keys_being_persisted[self._last_token] = keys
        if follow_up is not None:
            self._after_persist[self._last_token] = follow_up
        self.effects.append(PersistRecords(self._last_token, tuple(updates)))

    def _current_update(self, key: str) -> RecordUpdate:
        row = self.acceptor.rows.get(key)
        return RecordUpdate(REGISTER, key.encode(), pack(row) if row else None)

    def _send(self, effect: SendMessage, now_ms: float) -> None:
        if effect.recipient == self.member:
            self._dispatch(self.member, effect.message, now_ms)
        else:
            self.effects.append(effect)

    def _dispatch(self, sender: int, message: AnyMessage, now_ms: float) -> None:
        match message:
            case Reply():
                self.proposer.receive(sender, message, now_ms)
            # A reply without updates may depend on rows that are still being persisted, so it goes through
            # `_persist` as well.
            case Prepare():
                reply, updates = self.acceptor.prepare(message, now_ms)
                self._persist(updates, SendMessage(sender, reply))
            case Accept():
                reply, updates = self.acceptor.accept(message, now_ms)
                self._persist(updates, SendMessage(sender, reply))
            case StateTransferRequest():
                page = self.state_transfer.build_page(sender, message, now_ms)
                self._persist([], SendMessage(sender, page))
            case StateTransferPage():
                self._receive_page(sender, message, now_ms)
            case _:
                updates = self.anti_entropy.receive(sender, message, now_ms)
                if updates:
                    self._persist(updates)

    def _receive_page(self, sender: int, page: StateTransferPage, now_ms: float) -> None:
        updates, complete = self.state_transfer.receive_page(sender, page, now_ms)
        if updates or complete:
            self._persist(updates, _TransferCompleted(sender) if complete else None)
        acceptor = self.acceptor
        if acceptor.superseded and not acceptor.synced:
            # The store is new and has never voted, but the clock of this machine is behind that of its
            # predecessor: start a later incarnation.
            self.state_transfer.restart()
            self._persist(acceptor.start_incarnation(acceptor.incarnations[self.member] + 1))

    def _collect_effects(self, now_ms: float) -> None:
        """Collect the effects of all components; messages to this member are handled immediately."""
        while self.proposer.outbox or self.state_transfer.outbox or self.anti_entropy.outbox:
            requests, self.proposer.outbox = self.proposer.outbox, []
            for request in requests:
                self._send(request, now_ms)
            self.effects += self.state_transfer.outbox
            self.effects += self.anti_entropy.outbox
            self.state_transfer.outbox, self.anti_entropy.outbox = [], []
        if self.acceptor.metadata_changed:
            self._persist([])
        self.effects += self.proposer.results
        self.proposer.results = []
