"""The states of a client connection, and the events that change them (similar to h11 and httpcore)."""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum


class ConnectionState(IntEnum):
    """State of a client connection; an `IntEnum`, so that a transition is one index into a tuple."""

    NEW = 0
    """No byte has been received yet."""
    READING_HEAD = 1
    """Part of a request head has been received."""
    ACTIVE = 2
    """A request has been received; its response is pending."""
    IDLE = 3
    """Keep-alive: every request has been answered."""
    LINGERING = 4
    """An error response was sent and the write side is closed; input is read and discarded."""
    HALF_CLOSED = 5
    """The write side is closed; input stays unread in the kernel."""


class ConnectionEvent(IntEnum):
    """Event that may change the state of a connection."""

    BYTES_RECEIVED = 0
    REQUEST_RECEIVED = 1
    RESPONSE_SENT = 2
    REQUEST_PIPELINED = 3
    """A response was sent while a pipelined request had already been received."""
    ERROR_SENT = 4
    """An error response was sent that ends the connection; the client may still be sending."""
    WRITE_SIDE_CLOSED = 5


_State, _Event = ConnectionState, ConnectionEvent

# An event that is not listed for a state does not change it.
TRANSITIONS: Mapping[ConnectionState, Mapping[ConnectionEvent, ConnectionState]] = {
    _State.NEW: {
        _Event.BYTES_RECEIVED: _State.READING_HEAD,
        _Event.WRITE_SIDE_CLOSED: _State.HALF_CLOSED,
    },
    _State.READING_HEAD: {
        _Event.REQUEST_RECEIVED: _State.ACTIVE,
        _Event.ERROR_SENT: _State.LINGERING,
        _Event.WRITE_SIDE_CLOSED: _State.HALF_CLOSED,
    },
    _State.ACTIVE: {
        _Event.RESPONSE_SENT: _State.IDLE,
        _Event.ERROR_SENT: _State.LINGERING,
        _Event.WRITE_SIDE_CLOSED: _State.HALF_CLOSED,
    },
    _State.IDLE: {
        _Event.BYTES_RECEIVED: _State.READING_HEAD,
        _Event.ERROR_SENT: _State.LINGERING,  # error for a request that aiohttp parsed late
        _Event.REQUEST_PIPELINED: _State.ACTIVE,
        _Event.WRITE_SIDE_CLOSED: _State.HALF_CLOSED,
    },
    _State.LINGERING: {
        _Event.WRITE_SIDE_CLOSED: _State.HALF_CLOSED,
    },
    _State.HALF_CLOSED: {},
}


def _next_states(event: ConnectionEvent) -> tuple[ConnectionState, ...]:
    """Return the next state for an event, indexed by the current state."""
    return tuple(TRANSITIONS[state].get(event, state) for state in ConnectionState)


# The next state for each event, indexed by the current one.
ON_BYTES_RECEIVED = _next_states(ConnectionEvent.BYTES_RECEIVED)
ON_REQUEST_RECEIVED = _next_states(ConnectionEvent.REQUEST_RECEIVED)
ON_RESPONSE_SENT = _next_states(ConnectionEvent.RESPONSE_SENT)
ON_REQUEST_PIPELINED = _next_states(ConnectionEvent.REQUEST_PIPELINED)
ON_ERROR_SENT = _next_states(ConnectionEvent.ERROR_SENT)
ON_WRITE_SIDE_CLOSED = _next_states(ConnectionEvent.WRITE_SIDE_CLOSED)
