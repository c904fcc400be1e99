"""Actions: what the scheduler asks the gateway to do.  Times are milliseconds."""

from __future__ import annotations

from math import inf

from shaletiller.messages.base import Message


class SendAttempt(Message, frozen=True):
    """Start an attempt; a time-out of 0 lasts until the client's deadline."""

    request: str
    node: str
    timeout_ms: float = 0.0
    start_within_ms: float = inf  # it has to be written by then, or not at all


class Reject(Message, frozen=True):
    """Final answer: no, and a repeat does no harm."""

    request: str
    retry_after_ms: float = 0.0


class Fail(Message, frozen=True):
    """Final answer: failed, with no promise about what was done."""

    request: str


class CancelAttempt(Message, frozen=True):
    """Stop waiting for an attempt."""

    request: str
    attempt: int


class StartTimer(Message, frozen=True):
    """Ask for a TimerExpired."""

    wait_ms: float
    timer: str


class SendHealthCheck(Message, frozen=True):
    """Ask a node for its load."""

    node: str


class SendPeerMessage(Message, frozen=True):
    """Send a message to one gateway, or to all of them (None)."""

    peer: int | None
    data: str


class WatchEndpoints(Message, frozen=True):
    """Follow the changes of the node list."""

    active: bool = True


class FetchEndpointList(Message, frozen=True):
    """Ask for the full node list once."""


class CloseIdleConnections(Message, frozen=True):
    """Close the idle connections to a node."""

    node: str


class WriteLog(Message, frozen=True):
    """A line for the operators."""

    line: str


Action = (
    SendAttempt
    | Reject
    | Fail
    | CancelAttempt
    | StartTimer
    | SendHealthCheck
    | SendPeerMessage
    | WatchEndpoints
    | FetchEndpointList
    | CloseIdleConnections
    | WriteLog
)
