"""Replicated writes: an intent is committed before a write is forwarded, its outcome before the response.

    claim -- committed --> FORWARD -- served --> outcome committed --> response SERVED
      |                       |-- nothing ran --> the key is released (after the response)
      |                       `-- otherwise ----> a failed outcome is written (after the response)
      |-- found an outcome --> the recorded response; no node is called
      |-- found an intent before its deadline --> REJECTED: the owner may still respond, retry later
      |-- found an intent past its deadline --> FAILED: the write may have run
      `-- indeterminate --> REJECTED: nothing was forwarded

A rejection means that nothing was forwarded for this request; after a failure the write may have run. This
module performs no I/O and reads no clock: its decisions are plain data.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum, auto

from shaletiller.replication.effects import CommitPosition, OperationResult
from shaletiller.replication.node import ReplicationNode
from shaletiller.replication.proposer import Precondition
from shaletiller.replication.records import WriteIntent, WriteOutcome, decode_value, pack

# Limits of the time for a claim, absolute and as a fraction of the request's remaining time: a claim that
# takes longer leaves too little time for the write itself.
MAX_CLAIM_MS, MAX_CLAIM_FRACTION = 400.0, 0.4
# Timeout for a record that no client waits for. If it is not committed by then, retries of the write fail.
CLEANUP_MS = 30_000.0
# Time that records outlive their retention, because the clocks of members may differ by up to a second.
CLOCK_MARGIN_MS = 2_000.0
MIN_RETRY_AFTER_MS = 20.0  # An immediate retry would find the same intent.
# Retry-After while there is no majority. A larger value delays clients for longer once the majority is back;
# a smaller value causes more load by retries.
NO_MAJORITY_RETRY_AFTER_MS = 500.0


class WriteVerdict(StrEnum):
    """What to do with a write, or its result."""

    FORWARD = "forward"
    SERVED = "served"
    FAILED = "failed"  # The write may have run.
    REJECTED = "refused"  # Nothing was forwarded, or nothing ran.


class _Phase(Enum):
    CLAIMING = auto()
    FORWARDED = auto()
    RECORDING = auto()


@dataclass(slots=True, frozen=True)
class WriteDecision:
    """A decision on write `number`: forward it to the nodes, or respond to its client."""

    number: int
    verdict: WriteVerdict
    body: bytes = b""
    retry_after_ms: float = 0.0
    reason: str = ""


@dataclass(slots=True)
class _Write:
    number: int
    key: str
    request_hash: int
    deadline_ms: float
    phase: _Phase = _Phase.CLAIMING
    operation: int = 0  # The operation that the write waits for.
    position: CommitPosition | None = None
    intent: bytes = b""
    body: bytes = b""


class ReplicatedWrites:
    """The replicated writes in progress at one gateway."""

    def __init__(self, node: ReplicationNode, incarnation: int, retention_ms: float) -> None:
        """Create the state without writes.

        :param incarnation: start time of this process in milliseconds since the Unix epoch.
        :param retention_ms: how long an outcome is retained at least.
        """
        self._node, self._incarnation, self._retention_ms = node, incarnation, retention_ms
        self._writes: dict[int, _Write] = {}
        self._numbers_by_operation: dict[int, int] = {}  # Writes by the operation that they wait for.
        self.decisions: list[WriteDecision] = []
        # The keys are part of metric names in the operators' STATS output.
        self.counts = dict.fromkeys(
            ("claimed", "made", "repeated", "in_progress", "may_have_run", "no_majority", "unmade"), 0
        )

    @property
    def active_count(self) -> int:
        """Number of writes that wait for their claim, for a response from a node, or for their outcome."""
        return len(self._writes)

    def take_decisions(self) -> list[WriteDecision]:
        """Return the decisions since the last call."""
        decisions, self.decisions = self.decisions, []
        return decisions

    def begin(self, number: int, key: str, request_hash: int, deadline_ms: float, now_ms: float) -> None:
        """Claim the key of a write before it is forwarded.

        :param number: number of the write, which its decisions carry.
        :param request_hash: distinguishes a retry from another request with the same idempotency key.
        :param deadline_ms: deadline of the response to the client.
        """
        member = self._node.member
        intent = pack(
            WriteIntent(member, self._incarnation, number, request_hash, int(now_ms), int(deadline_ms))
        )
        write = _Write(number, key, request_hash, deadline_ms, intent=intent)
        self._writes[number] = write
        claim_deadline_ms = now_ms + min(MAX_CLAIM_MS, MAX_CLAIM_FRACTION * (deadline_ms - now_ms))
        expires_ms = self._expires_ms(now_ms)
        self._await_operation(
            write,
            self._node.propose(key, Precondition.FREE, intent, expires_ms, claim_deadline_ms, now_ms),
        )

    def end(self, number: int, verdict: WriteVerdict, body: bytes, now_ms: float) -> None:
        """Record the result of a write.

        :param verdict: SERVED with the node's response, which the client receives once the outcome is
            committed; REJECTED if nothing ran; FAILED if the write may have run. In the latter two cases the
            client has received its response already.
        """
        write = self._writes.get(number)
        if write is None or write.phase is _Phase.RECORDING:
            return
        if write.phase is _Phase.CLAIMING:  # Nothing was forwarded, but the claim may still be committed.
            self._remove(write)
            self._release_claim(write, now_ms)
        elif verdict == WriteVerdict.SERVED:
            write.phase, write.body = _Phase.RECORDING, body
            value = pack(WriteOutcome(True, body, write.request_hash, int(now_ms)))
            self._await_operation(write, self._replace_intent(write, value, write.deadline_ms, now_ms))
        else:
            self._remove(write)
            value = b""
            if verdict != WriteVerdict.REJECTED:
                value = pack(WriteOutcome(False, b"", write.request_hash, int(now_ms)))
            self._replace_intent(write, value, now_ms + CLEANUP_MS, now_ms)

    def _replace_intent(self, write: _Write, value: bytes, deadline_ms: float, now_ms: float) -> int:
        # The position is used only once: two values under one ballot and step would corrupt the register.
        position, write.position = write.position, None
        return self._propose_over_intent(write, value, deadline_ms, now_ms, position)

    def _release_claim(self, write: _Write, now_ms: float) -> None:
        """Release the key of a write that was not forwarded, in case its intent is committed later."""
        self._propose_over_intent(write, b"", now_ms + CLEANUP_MS, now_ms, write.position)

    def _propose_over_intent(
        self,
        write: _Write,
        value: bytes,
        deadline_ms: float,
        now_ms: float,
        position: CommitPosition | None,
    ) -> int:
        return self._node.propose(
            write.key,
            Precondition.EQUALS,
            value,
            self._expires_ms(now_ms),
            deadline_ms,
            now_ms,
            write.intent,
            position,
        )

    def _expires_ms(self, now_ms: float) -> float:
        return now_ms + self._retention_ms + CLOCK_MARGIN_MS

    def _await_operation(self, write: _Write, operation: int) -> None:
        write.operation = operation
        self._numbers_by_operation[operation] = write.number

    def _remove(self, write: _Write) -> None:
        self._writes.pop(write.number, None)
        self._numbers_by_operation.pop(write.operation, None)

    def on_operation_finished(self, result: OperationResult, now_ms: float) -> bool:
        """Handle the result of an operation.

        :returns: whether a write was waiting for the operation.
        """
        number = self._numbers_by_operation.pop(result.operation, None)
        write = self._writes.get(number) if number is not None else None
        if write is None:
            return False
        if write.phase is _Phase.RECORDING:
            self._writes.pop(write.number)
            self._decide_after_recording(write, result)
        elif result.committed:
            write.phase, write.position = _Phase.FORWARDED, result.position
            self._count("claimed")
            self._decide(write, WriteVerdict.FORWARD)
        else:
            self._writes.pop(write.number)
            self._decide_after_conflict(write, result, now_ms)
        return True

    def _decide_after_recording(self, write: _Write, result: OperationResult) -> None:
        if result.committed:
            self._count("made")
            self._decide(write, WriteVerdict.SERVED, write.body)
        else:  # The outcome is not known to be committed, so a retry might get another response.
            self._count("unmade")
            self._decide(write, WriteVerdict.FAILED)

    def _decide_after_conflict(self, write: _Write, result: OperationResult, now_ms: float) -> None:
        existing = decode_value(result.value)
        if result.indeterminate or existing is None:
            self._release_claim(write, now_ms)
            self._count("no_majority")
            self._reject(write, NO_MAJORITY_RETRY_AFTER_MS, "no majority of its replicas")
        elif isinstance(existing, WriteIntent | WriteOutcome) and existing.request_hash != write.request_hash:
            reason = "its idempotency key was used for another request"
            self._decide(write, WriteVerdict.FAILED, reason=reason)
        elif isinstance(existing, WriteOutcome):
            self._count("repeated" if existing.served else "may_have_run")
            verdict = WriteVerdict.SERVED if existing.served else WriteVerdict.FAILED
            self._decide(write, verdict, existing.body)
        elif isinstance(existing, WriteIntent) and now_ms < existing.deadline_ms:
            self._count("in_progress")
            retry_after_ms = max(MIN_RETRY_AFTER_MS, existing.deadline_ms - now_ms)
            self._reject(write, retry_after_ms, "another request with its idempotency key is in progress")
        else:
            self._count("may_have_run")
            reason = "an earlier attempt may have run"
            self._decide(write, WriteVerdict.FAILED, reason=reason)

    def _count(self, name: str) -> None:
        self.counts[name] += 1

    def _reject(self, write: _Write, retry_after_ms: float, reason: str) -> None:
        decision = WriteDecision(write.number, WriteVerdict.REJECTED, b"", retry_after_ms, reason)
        self.decisions.append(decision)

    def _decide(self, write: _Write, verdict: WriteVerdict, body: bytes = b"", reason: str = "") -> None:
        self.decisions.append(WriteDecision(write.number, verdict, body, reason=reason))
