"""The state machine of client connections."""

from __future__ import annotations

from shaletiller.net.client_connection import TRANSITIONS, ConnectionEvent, ConnectionState


def test_every_state_is_reachable_and_may_be_closed() -> None:
    """A state that no event leads to, or that a close does not leave, would hold its place for good."""
    reachable = {ConnectionState.NEW} | {state for row in TRANSITIONS.values() for state in row.values()}
    assert set(TRANSITIONS) == reachable == set(ConnectionState)
    for state in set(ConnectionState) - {ConnectionState.HALF_CLOSED}:
        assert TRANSITIONS[state][ConnectionEvent.WRITE_SIDE_CLOSED] is ConnectionState.HALF_CLOSED


def test_nothing_leaves_the_half_closed_state() -> None:
    """A request read after the write side is closed could neither be answered nor be retried."""
    assert not TRANSITIONS[ConnectionState.HALF_CLOSED]
