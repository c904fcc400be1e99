"""Reductions of the state space: removal of messages without effect, and fingerprints of states."""

from __future__ import annotations

from typing import Any

import msgspec
import xxhash

from shaletiller.lab.state_space_bounds import MEMBERS, FaultBounds, FaultKind
from shaletiller.lab.state_space_model import Envelope, SystemState, is_late_request
from shaletiller.replication.acceptor import Acceptor
from shaletiller.replication.messages import Reply, StateTransferPage, StateTransferRequest
from shaletiller.replication.node import ReplicationNode
from shaletiller.replication.proposer import Operation


def remove_obsolete_messages(state: SystemState, bounds: FaultBounds) -> None:
    """Remove messages in transit that have no effect, whenever they arrive.

    These are replies that no proposer or state transfer waits for, and requests of earlier incarnations.
    Late requests are removed too when their maximum number is reached.
    """
    drops_late_requests = state.faults[FaultKind.LATE_REQUEST] >= bounds.late_requests
    for encoded in list(state.in_transit):
        envelope = Envelope.decode(encoded)
        if _is_obsolete(state, envelope) or (drops_late_requests and is_late_request(state, envelope)):
            del state.in_transit[encoded]


def _is_obsolete(state: SystemState, envelope: Envelope) -> bool:
    sender, recipient, message = envelope
    node = state.nodes[recipient]
    if isinstance(message, Reply):
        return message.nonce not in node.proposer._nonces
    if isinstance(message, StateTransferPage):
        return message.nonce not in [progress.nonce for progress in node.state_transfer._progress.values()]
    if isinstance(message, StateTransferRequest):
        return message.incarnation < node.acceptor.incarnations[sender]
    return False


def fingerprint(state: SystemState) -> bytes:
    """Return a hash of the state; states with equal hashes have the same continuations."""
    members = [_member_key(state, member) for member in MEMBERS]
    operations = [
        (
            client_operation.response.value,
            client_operation.abandoned,
            client_operation.value,
            client_operation.operation,
        )
        for client_operation in state.operations
    ]
    faults = sorted((kind.value, count) for kind, count in state.faults.items())
    key = (
        members,
        operations,
        sorted(state.in_transit.items()),
        (faults, state.restarts, state.absent_member),
    )
    return xxhash.xxh3_128_digest(repr(key).encode())


def _member_key(state: SystemState, member: int) -> tuple[Any, ...]:
    node = state.nodes[member]
    persisting = [
        (records.updates, repr(node._after_persist.get(records.token)))
        for records in state.persisting[member]
    ]
    return (
        *_acceptor_key(node.acceptor),
        sorted(_operation_key(operation) for operation in node.proposer.operations.values()),
        _state_transfer_key(node),
        sorted(state.disks[member].items()),
        persisting,
        sorted(node._unpersisted),
        state.clocks_ms[member],
    )


def _acceptor_key(acceptor: Acceptor) -> tuple[Any, ...]:
    return (
        sorted((key, msgspec.structs.astuple(row)) for key, row in acceptor.rows.items()),
        acceptor.incarnation,
        tuple(acceptor.incarnations),
        sorted(acceptor.synced),
    )


def _operation_key(operation: Operation) -> tuple[Any, ...]:
    replies = sorted(
        (member, reply.status, reply.incarnation, msgspec.structs.astuple(reply.row))
        for member, reply in operation.replies.items()
    )
    return (
        operation.key,
        operation.phase,
        operation.nonce,
        operation.ballot,
        operation.step,
        operation.incarnations,
        operation.proposed,
        operation.proposes_own_value,
        operation.highest_round,
        operation.retries,
        operation.sent_ms,
        operation.started_ms,
        operation.backoff_until_ms,
        replies,
    )


def _state_transfer_key(node: ReplicationNode) -> list[tuple[Any, ...]]:
    return sorted(
        (member, progress.after, progress.incarnation, progress.nonce, progress.requested_ms)
        for member, progress in node.state_transfer._progress.items()
    )
