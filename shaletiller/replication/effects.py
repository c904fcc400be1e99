"""Effects: actions, as data, that a replication node requests from its caller, to be executed in order."""

from __future__ import annotations

from dataclasses import dataclass

from shaletiller.replication.messages import AnyMessage
from shaletiller.replication.records import Ballot
from shaletiller.store.record_format import RecordUpdate


@dataclass(slots=True, frozen=True)
class CommitPosition:
    """The ballot and step at which a value was committed.

    Its proposer may write the next value at the next step without a prepare phase.
    """

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
    """The result of an operation.

    If `committed`, the value of the operation is committed at `position`. Otherwise `value` is the value that
    is committed instead, or b"" if the key is free. If `indeterminate`, nothing could be established before
    the deadline, and the value of the operation may still be committed later.
    """

    operation: int
    committed: bool
    value: bytes = b""
    position: CommitPosition | None = None
    indeterminate: bool = False


@dataclass(slots=True, frozen=True)
class PersistRecords:
    """Persist updates, then call `ReplicationNode.on_persisted`, or `on_persist_failed`, with the token.

    Requests are persisted in order: a later one becomes durable no sooner than an earlier one. A request
    without updates is a barrier.
    """

    token: int
    updates: tuple[RecordUpdate, ...]


Effect = SendMessage | PersistRecords | OperationResult
