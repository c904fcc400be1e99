"""The proposer: compare-and-set operations on single keys, in one round trip in the absence of conflicts.

An `Operation` states a precondition and the value to write if it holds. The operation is committed when a
majority of the key's group has accepted the value (in the fast round: the whole group). Otherwise its result
is the value found in the register, which is then known to be committed.

An operation starts with a fast round if the key is expected to be free, otherwise with a prepare and an
accept round under a ballot above all ballots seen. The proposer that committed a value may write the next one
under the same ballot and the next step, in one round, as long as no other proposer has prepared a higher
ballot. This is how a write outcome replaces a write intent, and how a proposer that was partitioned from the
others is fenced.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, StrEnum

import xxhash

from shaletiller.replication.acceptor import EMPTY_ROW, Acceptor
from shaletiller.replication.effects import CommitPosition, OperationResult, SendMessage
from shaletiller.replication.messages import Accept, Prepare, Reply, ReplyStatus, first_nonce
from shaletiller.replication.records import (
    FAST_BALLOT,
    NO_BALLOT,
    Ballot,
    OperatorCommand,
    Row,
    decode_value,
)

# The times below suit replicas that are a few milliseconds apart and stores that sync in about 10 ms.

# Time after which a fast round is abandoned for a prepare. With a larger value a slow replica delays a write
# for longer; a smaller value abandons more fast rounds that would have succeeded.
FAST_ROUND_TIMEOUT_MS = 40.0
# Time after which a request is sent again. With a larger value a lost request delays its operation for
# longer; a smaller value sends more duplicates to a slow store.
RETRANSMIT_MS = 80.0
# Backoff of competing proposers. Larger values increase latency; smaller values cause repeated conflicts.
MIN_BACKOFF_MS, MAX_BACKOFF_MS = 4.0, 60.0
# Wait after a rejection, during which the rest of the group may still form a majority.
REJECTION_GRACE_MS = 10.0
# Wait before a retry at a group of which no majority votes yet.
RECOVERING_RETRY_MS = 30.0
MAX_BACKOFF_DOUBLINGS = 8  # Bounds the exponent; the backoff reaches MAX_BACKOFF_MS before.


class Precondition(Enum):
    """The condition on the current value of the register for the new value to be written."""

    FREE = "free"
    EQUALS = "equals"  # The register holds the bytes of `Operation.expected`.
    OLDER_STAMP = "older stamp"  # The register holds no operator command, or one with a lower stamp.
    ANY = "any"
    READ_ONLY = "read only"  # Never holds: the operation only reads.


class Phase(StrEnum):
    """The phase of an operation; a string enumeration, so that operations can be sorted."""

    NEW = ""
    FAST = "fast"
    PREPARE = "prepare"
    ACCEPT = "accept"
    BACKOFF = "backoff"


@dataclass(slots=True)
class Operation:
    """A compare-and-set operation in progress; times are in milliseconds since the Unix epoch."""

    number: int
    key: str
    precondition: Precondition
    value: bytes
    expires_ms: int  # Expiry time of the register if the value is committed.
    deadline_ms: float
    expected: bytes = b""
    phase: Phase = Phase.NEW
    nonce: int = 0
    ballot: Ballot = NO_BALLOT
    step: int = 0
    incarnations: tuple[int, ...] = ()
    proposed: bytes = b""
    proposed_expires_ms: int = 0
    proposes_own_value: bool = False  # If false, it completes the round of another proposer.
    replies: dict[int, Reply] = field(default_factory=dict)
    highest_round: int = 0
    retries: int = 0
    started_ms: float = 0.0
    sent_ms: float = 0.0
    backoff_until_ms: float = 0.0

    def propose_own_value(self) -> None:
        """Propose the value of the operation itself."""
        self.proposed = self.value
        self.proposed_expires_ms = self.expires_ms
        self.proposes_own_value = True

    def count_replies(self, *statuses: ReplyStatus) -> int:
        """Count the replies in the current phase that have one of these statuses."""
        return sum(reply.status in statuses for reply in self.replies.values())


class Proposer:
    """The operations in progress at one gateway.

    The caller empties `outbox` and `results` after each call.
    """

    def __init__(self, acceptor: Acceptor, process_start_ms: int) -> None:
        """Create a proposer without operations.

        :param process_start_ms: start time of this process in milliseconds since the Unix epoch; it
            distinguishes this process from earlier processes of the same gateway.
        """
        self.member, self.groups, self._acceptor = acceptor.member, acceptor.groups, acceptor
        self.operations: dict[int, Operation] = {}
        self._nonces: dict[int, int] = {}  # Operation numbers by the nonce of the operation's current phase.
        self._last_nonce = first_nonce(process_start_ms)
        self.outbox: list[SendMessage] = []
        self.results: list[OperationResult] = []
        self.rounds = 0

    def start(
        self,
        operation: Operation,
        now_ms: float,
        position: CommitPosition | None = None,
        fast: bool = True,
    ) -> None:
        """Start an operation.

        :param position: the position at which this gateway committed the current value of the register; the
            new value is proposed at the next step.
        :param fast: whether a fast round may be tried.
        """
        self.operations[operation.number] = operation
        operation.started_ms = now_ms
        if position is not None:
            operation.ballot, operation.step = position.ballot, position.step + 1
            operation.incarnations = position.incarnations
            operation.propose_own_value()
            self._begin_phase(operation, Phase.ACCEPT, now_ms)
        elif fast and operation.precondition is Precondition.FREE:
            operation.ballot, operation.step = FAST_BALLOT, 0
            operation.incarnations = self._acceptor.incarnations_of(operation.key)
            operation.propose_own_value()
            self._begin_phase(operation, Phase.FAST, now_ms)
        else:
            self._begin_prepare(operation, now_ms)

    def _begin_phase(self, operation: Operation, phase: Phase, now_ms: float) -> None:
        self._nonces.pop(operation.nonce, None)
        self._last_nonce += 1
        self.rounds += 1
        operation.phase, operation.nonce = phase, self._last_nonce
        operation.replies, operation.sent_ms = {}, now_ms
        self._nonces[operation.nonce] = operation.number
        self._send(operation, self.groups.members_of(operation.key))

    def _send(self, operation: Operation, recipients: Iterable[int]) -> None:
        request: Prepare | Accept
        if operation.phase is Phase.PREPARE:
            request = Prepare(
                operation.nonce,
                operation.key,
                operation.ballot,
                operation.expires_ms,
                operation.incarnations,
            )
        else:
            request = Accept(
                operation.nonce,
                operation.key,
                operation.ballot,
                operation.step,
                operation.proposed,
                operation.proposed_expires_ms,
                operation.incarnations,
            )
        self.outbox += [SendMessage(member, request) for member in recipients]

    def _begin_prepare(self, operation: Operation, now_ms: float) -> None:
        operation.highest_round = max(operation.highest_round, operation.ballot.round, FAST_BALLOT.round) + 1
        # Two operations of one process on one key may reach the same round; the nonce makes their ballots
        # distinct.
        operation.ballot = Ballot(operation.highest_round, self.member, self._last_nonce + 1)
        operation.step = 0
        operation.incarnations = self._acceptor.incarnations_of(operation.key)
        self._begin_phase(operation, Phase.PREPARE, now_ms)

    def _back_off(self, operation: Operation, now_ms: float, wait_ms: float | None = None) -> None:
        """Wait before the next prepare: another proposer competes, or the group does not vote yet.

        The wait is an exponential backoff with full jitter unless `wait_ms` is given.
        """
        operation.retries += 1
        self._nonces.pop(operation.nonce, None)
        if wait_ms is None:
            # The jitter is derived from the operation, so that simulations are reproducible.
            seed = f"{self.member} {operation.number} {operation.retries}".encode()
            jitter = xxhash.xxh3_64_intdigest(seed) / 2.0**64
            max_wait_ms = MIN_BACKOFF_MS * 2 ** min(operation.retries, MAX_BACKOFF_DOUBLINGS)
            wait_ms = MIN_BACKOFF_MS + jitter * min(MAX_BACKOFF_MS, max_wait_ms)
        operation.phase, operation.backoff_until_ms = Phase.BACKOFF, now_ms + wait_ms

    def _finish(self, operation: Operation, result: OperationResult) -> None:
        del self.operations[operation.number]
        self._nonces.pop(operation.nonce, None)
        self.results.append(result)

    def tick(self, now_ms: float) -> None:
        """Handle timeouts; called every few milliseconds while operations are in progress."""
        for operation in list(self.operations.values()):
            self._check_timeouts(operation, now_ms)

    def _check_timeouts(self, operation: Operation, now_ms: float) -> None:
        elapsed_ms = now_ms - operation.sent_ms
        if now_ms >= operation.deadline_ms:
            self._finish(operation, OperationResult(operation.number, False, indeterminate=True))
        elif operation.phase is Phase.BACKOFF:
            if now_ms >= operation.backoff_until_ms:
                self._begin_prepare(operation, now_ms)
        elif operation.phase is Phase.FAST and now_ms - operation.started_ms >= FAST_ROUND_TIMEOUT_MS:
            self._begin_prepare(operation, now_ms)
        elif elapsed_ms >= REJECTION_GRACE_MS and operation.count_replies(ReplyStatus.OK) < len(
            operation.replies
        ):
            rejected = operation.count_replies(ReplyStatus.REJECTED) > 0
            self._back_off(operation, now_ms, None if rejected else RECOVERING_RETRY_MS)
        elif elapsed_ms >= RETRANSMIT_MS:
            operation.sent_ms = now_ms
            group = self.groups.members_of(operation.key)
            self._send(operation, [member for member in group if member not in operation.replies])

    def receive(self, sender: int, reply: Reply, now_ms: float) -> None:
        """Handle a reply; ignore one to a past phase, or from another incarnation of its sender."""
        operation = self.operations.get(self._nonces.get(reply.nonce, -1))
        if operation is None:
            return
        group = self.groups.members_of(operation.key)
        if sender not in group:
            return
        if reply.status in (ReplyStatus.STALE_INCARNATION, ReplyStatus.RECOVERING):
            if len(reply.incarnations) == len(group):
                known = dict(zip(group, reply.incarnations, strict=True))
                self._acceptor.observe_incarnations(known)
            if self._acceptor.incarnations_of(operation.key) != operation.incarnations:
                self._begin_prepare(operation, now_ms)
                return
            # If this gateway knows the newer incarnation, the sender will learn it from the member concerned.
            operation.replies[sender] = reply
        elif reply.incarnation == operation.incarnations[group.index(sender)]:
            operation.replies[sender] = reply
        self._evaluate(operation, now_ms)

    def _evaluate(self, operation: Operation, now_ms: float) -> None:
        for reply in operation.replies.values():
            if reply.status is ReplyStatus.REJECTED:
                rounds = reply.row.promised.round, reply.row.ballot.round
                operation.highest_round = max(operation.highest_round, *rounds)
        committed = self._committed_value(operation)
        if committed is not None:
            self._finish(operation, OperationResult(operation.number, False, committed))
            return
        ok_replies = operation.count_replies(ReplyStatus.OK)
        quorum = self.groups.replicas if operation.phase is Phase.FAST else self.groups.majority
        if ok_replies >= quorum:
            self._on_quorum_reached(operation, now_ms)
        elif len(operation.replies) - ok_replies > self.groups.replicas - quorum:
            self._on_quorum_unreachable(operation, now_ms)

    def _on_quorum_reached(self, operation: Operation, now_ms: float) -> None:
        if operation.phase is Phase.PREPARE:
            self._choose_value(operation, now_ms)
            return
        own = operation.proposes_own_value
        position = CommitPosition(operation.ballot, operation.step, operation.incarnations) if own else None
        self._finish(operation, OperationResult(operation.number, own, operation.proposed, position))

    def _on_quorum_unreachable(self, operation: Operation, now_ms: float) -> None:
        """Retry after so many refusals that the current phase can no longer reach its quorum."""
        not_voting = operation.count_replies(ReplyStatus.RECOVERING, ReplyStatus.STALE_INCARNATION)
        if not_voting > self.groups.replicas - self.groups.majority:
            self._back_off(operation, now_ms, RECOVERING_RETRY_MS)
        elif operation.phase is Phase.FAST or (operation.phase is Phase.ACCEPT and operation.retries == 0):
            operation.retries += 1
            self._begin_prepare(operation, now_ms)
        else:
            self._back_off(operation, now_ms)

    def _committed_value(self, operation: Operation) -> bytes | None:
        """Return a value that the replies alone prove to be committed, if it completes the operation.

        This is a value that a majority has accepted under one ballot and step (in the fast round: the whole
        group). A retry of a completed write thus takes one round, and no replica has to sync its store.
        """
        if operation.precondition not in (Precondition.FREE, Precondition.READ_ONLY):
            return None
        if operation.phase not in (Phase.FAST, Phase.PREPARE):
            return None
        voting_statuses = (ReplyStatus.OK, ReplyStatus.REJECTED)
        rows = [reply.row for reply in operation.replies.values() if reply.status in voting_statuses]
        for row in rows:
            quorum = self.groups.replicas if row.version == (FAST_BALLOT, 0) else self.groups.majority
            if row.value not in (b"", operation.value) and quorum <= sum(
                other.version == row.version and other.value == row.value for other in rows
            ):
                return row.value
        return None

    def _choose_value(self, operation: Operation, now_ms: float) -> None:
        """Choose the value to propose after phase 1; a value that may be committed takes precedence."""
        rows = [reply.row for reply in operation.replies.values() if reply.status is ReplyStatus.OK]
        current = possibly_committed(rows)
        value = current.value if current.expires_ms > now_ms else b""
        if value == operation.value != b"" or self._precondition_holds(operation, value):
            operation.propose_own_value()
        elif value == b"":
            self._finish(operation, OperationResult(operation.number, False))
            return
        else:
            operation.proposed, operation.proposed_expires_ms = value, current.expires_ms
            operation.proposes_own_value = False
        self._begin_phase(operation, Phase.ACCEPT, now_ms)

    @staticmethod
    def _precondition_holds(operation: Operation, value: bytes) -> bool:
        match operation.precondition:
            case Precondition.OLDER_STAMP:
                return _is_newer_command(operation.value, value)
            case Precondition.FREE:
                return value == b""
            case Precondition.EQUALS:
                return value == operation.expected
            case Precondition.ANY:
                return True
            case Precondition.READ_ONLY:
                return False


def _is_newer_command(value: bytes, current: bytes) -> bool:
    new, old = decode_value(value), decode_value(current)
    if not isinstance(old, OperatorCommand):
        return True
    return isinstance(new, OperatorCommand) and new.stamp > old.stamp


def possibly_committed(rows: list[Row]) -> Row:
    """Return the row, among those of a majority, whose value may be committed, or an empty row if none is.

    Under a classic ballot this is the newest row. In the fast round a value is committed only if the whole
    group has accepted it, so a value that differs in any of these rows was not committed.
    """
    newest = max(rows, key=lambda row: row.version, default=EMPTY_ROW)
    if newest.version != (FAST_BALLOT, 0):
        return newest
    unanimous = all(row.value == newest.value and row.version == newest.version for row in rows)
    return newest if unanimous else EMPTY_ROW
