"""Tests of the state machine of client connections."""

from __future__ import annotations

from shaletiller.net.connection_state import TRANSITIONS, ConnectionEvent, ConnectionState


def test_every_state_is_reachable_and_may_be_closed() -> None:
    """A connection in a state that a close does not leave would count against the limit indefinitely."""
    reachable = {ConnectionState.NEW} | {state for row in TRANSITIONS.values() for state in row.values()}
    assert set(TRANSITIONS) == reachable == set(ConnectionState)
    for state in set(ConnectionState) - {ConnectionState.HALF_CLOSED}:
        assert TRANSITIONS[state][ConnectionEvent.WRITE_SIDE_CLOSED] is ConnectionState.HALF_CLOSED


def test_nothing_leaves_the_half_closed_state() -> None:
    """A request that is read after the write side is closed could neither be answered nor retried."""
    assert not TRANSITIONS[ConnectionState.HALF_CLOSED]
