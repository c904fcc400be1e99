"""What a replication node asks its environment to do, as data, to be carried out in order."""

from __future__ import annotations

from dataclasses import dataclass

from shaletiller.replication.messages import AnyMessage
from shaletiller.replication.records import Ballot
from shaletiller.store.record_format import RecordUpdate


@dataclass(slots=True, frozen=True)
class CommitPosition:
    """Where a value was committed: the next one may follow at the next step, without a prepare phase."""

    ballot: Ballot
    step: int
    incarnations: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a message to a member, this one included; it may be lost, duplicated or delayed."""

    recipient: int
    message: AnyMessage


@dataclass(slots=True, frozen=True)
class OperationResult:
    """How an operation ended.

    `committed`: its own value is committed, at `position`.  Otherwise `value` is what is committed instead,
    b"" where the key is free; or, with `indeterminate`, nothing could be established before the deadline, and
    its own value may yet be committed.
    """

    operation: int
    committed: bool
    value: bytes = b""
    position: CommitPosition | None = None
    indeterminate: bool = False


@dataclass(slots=True, frozen=True)
class PersistRecords:
    """Persist these updates, then call `ReplicationNode.persisted` with the token, or `persist_failed`.

    In order: what is persisted later becomes durable no sooner.  Without updates it is a barrier.
    """

    token: int
    updates: tuple[RecordUpdate, ...]


Effect = SendMessage | PersistRecords | OperationResult
