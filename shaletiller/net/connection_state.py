"""The states of a client connection (similar to those of h11 and httpcore), and the reasons for its end."""

from __future__ import annotations

from enum import IntEnum, StrEnum


class ConnectionState(IntEnum):
    """State of a client connection, derived from what the connection holds."""

    NEW = 0
    """No byte has been received yet."""
    READING_HEAD = 1
    """Part of a request head has been received, and no response is pending."""
    ACTIVE = 2
    """A response is pending to a request that has been received, at least to the end of its head."""
    IDLE = 3
    """Keep-alive: every request has been answered."""
    LINGERING = 4
    """An error response was sent and the write side is closed; input is read and discarded."""
    HALF_CLOSED = 5
    """The write side is closed; input stays unread in the kernel."""


class EndReason(StrEnum):
    """Why a connection was ended; the values are names of STATS figures."""

    CLIENT = "client"
    """The client has closed or reset it."""
    RESPONSE = "response"
    """A response announced its end: an error, a connection near the limit, a drain, a shutdown."""
    IDLE = "idle"
    TIMEOUT = "timeout"
    """A request was not received in time."""
    MEMORY = "memory"
    EVICTION = "eviction"
    """The connection limit was reached."""
    BROKEN_RESPONSE = "broken_response"
    """The storage node broke its response off, or the client did not read it at all."""
    SHUTDOWN = "shutdown"
