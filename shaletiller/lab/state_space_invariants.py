"""What must hold in each reachable state of the replication protocol, and in its final states."""

from __future__ import annotations

from shaletiller.lab.state_space_model import (
    WINNERS,
    Answer,
    ClientOperation,
    ProtocolModel,
    SystemState,
)


class InvariantViolationError(Exception):
    """An invariant does not hold; the message names the key and the members."""


def _operations_by_key(state: SystemState) -> dict[str, list[ClientOperation]]:
    by_key: dict[str, list[ClientOperation]] = {}
    for operation in state.operations:
        by_key.setdefault(operation.write.key, []).append(operation)
    return by_key


def check_state(state: SystemState) -> None:
    """Check that answers agree: one claim of a key wins, its outcome is committed, and others find it.

    :raises InvariantViolationError: where they do not.
    """
    for key, operations in _operations_by_key(state).items():
        winners = [operation for operation in operations if operation.answer in WINNERS]
        if len(winners) > 1:
            members = [operation.write.member for operation in winners]
            raise InvariantViolationError(f"key {key}: claims of {members} were both kept")
        for operation in operations:
            if operation.answer is Answer.OUTCOME_LOST:
                raise InvariantViolationError(
                    f"key {key}: the outcome of {operation.write.member} was lost to another value"
                )
            if operation.answer is Answer.OTHER_VALUE and winners:
                _check_value_is_of(winners[0], operation)


def _check_value_is_of(winner: ClientOperation, loser: ClientOperation) -> None:
    if loser.value not in (winner.write.claim, winner.write.outcome):
        raise InvariantViolationError(
            f"key {loser.write.key}: {loser.write.member} found {loser.value!r}, "
            f"but the claim of {winner.write.member} is committed"
        )


def check_final_state(model: ProtocolModel, state: SystemState) -> None:
    """Check that a read after all events finds what clients were answered.

    A value that was answered is on a majority, and any two majorities share a member; so the read must find
    it whichever members reply.

    :raises InvariantViolationError: where it finds another value.
    """
    for key, operations in _operations_by_key(state).items():
        answered = [
            operation
            for operation in operations
            if operation.answer in (Answer.CLAIMED, Answer.OUTCOME_COMMITTED)
        ]
        if not answered:
            continue
        winner = answered[0]
        expected = {winner.write.outcome}
        if winner.answer is Answer.CLAIMED:  # the outcome may have been written without an answer
            expected = {winner.write.claim, winner.write.outcome} - {b""}
        found = model.read(state.copy(), key)
        if found is not None and found not in expected:
            raise InvariantViolationError(
                f"key {key}: {sorted(expected)} was answered, {found!r} is found afterwards"
            )
