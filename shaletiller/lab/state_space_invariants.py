"""Invariants of the replication protocol, checked in each reachable state and in the final states."""

from __future__ import annotations

from shaletiller.lab.state_space_model import (
    WINNERS,
    ClientOperation,
    ClientResponse,
    ProtocolModel,
    SystemState,
)


class InvariantViolationError(Exception):
    """Raised when an invariant is violated; the message names the key and the members."""


def _group_operations_by_key(state: SystemState) -> dict[str, list[ClientOperation]]:
    by_key: dict[str, list[ClientOperation]] = {}
    for operation in state.operations:
        by_key.setdefault(operation.write.key, []).append(operation)
    return by_key


def check_state(state: SystemState) -> None:
    """Check that the responses to all writes of a key agree.

    At most one claim of a key is committed, its outcome is not lost, and other writes find its claim or its
    outcome.

    :raises InvariantViolationError: if an invariant is violated.
    """
    for key, operations in _group_operations_by_key(state).items():
        winners = [operation for operation in operations if operation.response in WINNERS]
        if len(winners) > 1:
            members = [operation.write.member for operation in winners]
            raise InvariantViolationError(
                f"key {key}: claims of members {members} were both kept, expected at most one"
            )
        for operation in operations:
            if operation.response is ClientResponse.OUTCOME_LOST:
                raise InvariantViolationError(
                    f"key {key}: member {operation.write.member} committed its claim, but lost its outcome"
                )
            if operation.response is ClientResponse.OTHER_VALUE and winners:
                _check_value_belongs_to_winner(winners[0], operation)


def _check_value_belongs_to_winner(winner: ClientOperation, loser: ClientOperation) -> None:
    if loser.value not in (winner.write.claim, winner.write.outcome):
        raise InvariantViolationError(
            f"key {loser.write.key}: member {loser.write.member} found {loser.value!r}, "
            f"but the claim of member {winner.write.member} is committed"
        )


def check_final_state(model: ProtocolModel, state: SystemState) -> None:
    """Check that a read in a final state finds the values that clients received as committed.

    A committed value is stored by a majority, and any two majorities share a member. The read must therefore
    find the value, whichever members reply.

    :raises InvariantViolationError: if the read finds another value.
    """
    for key, operations in _group_operations_by_key(state).items():
        committed = [
            operation
            for operation in operations
            if operation.response in (ClientResponse.CLAIMED, ClientResponse.OUTCOME_COMMITTED)
        ]
        if not committed:
            continue
        winner = committed[0]
        expected = {winner.write.outcome}
        if winner.response is ClientResponse.CLAIMED:  # The outcome may have been written without a response.
            expected = {winner.write.claim, winner.write.outcome} - {b""}
        found = model.read(state.copy(), key)
        if found is not None and found not in expected:
            raise InvariantViolationError(
                f"key {key}: expected one of {sorted(expected)}, but {found!r} is found afterwards"
            )
