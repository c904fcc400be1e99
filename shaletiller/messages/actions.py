"""Actions: what the scheduler asks the gateway to do.  Times are milliseconds.

The present policy sends no health checks or peer messages, fetches no list and closes no idle connections:
those actions belong to the simulator's wire and to the engine's interface.
"""

from __future__ import annotations

from enum import StrEnum
from math import inf

from shaletiller.messages.base import Message
from shaletiller.messages.timers import Timer


class GiveUpReason(StrEnum):
    """Why the scheduler gives a request up; the values are part of the operators' STATS."""

    RATE_LIMIT = "rate_limit"
    """Its volume's rate limit does not allow it."""
    NO_CAPACITY = "no_capacity"
    """Its node cannot take it now, and it cannot wait for it."""
    LATE = "late"
    """It waited, and would miss its latency objective."""
    UNREACHED = "unreached"
    """No node has received it, and its client still has time to retry elsewhere."""
    RETRY_NOT_ALLOWED = "retry_not_allowed"
    """Its class's effect or the retry budget allows no further attempt."""
    NO_RETRY_LEFT = "no_retry_left"
    """Its attempt failed, and no further one is possible in its time or within the limit of attempts."""
    DEADLINE = "deadline"
    """It would pass its deadline before the next round."""
    UNKNOWN = "unknown"


class SendAttempt(Message, frozen=True):
    """Start an attempt of a request at a node.

    :param timeout_ms: how long to wait for the response; 0 waits until the client's deadline.
    :param start_within_ms: the request has to be written by then, or must not be written at all.
    """

    request: str
    node: str
    timeout_ms: float = 0.0
    start_within_ms: float = inf


class Reject(Message, frozen=True):
    """Final answer: rejected, and a retry by the client does no harm.

    :param retry_after_ms: what Retry-After tells the client; 0 tells it nothing.
    :param reason: counted, never sent.
    """

    request: str
    retry_after_ms: float = 0.0
    reason: GiveUpReason = GiveUpReason.UNKNOWN


class Fail(Message, frozen=True):
    """Final answer: failed, and a node may have done some of the work.

    :param reason: counted, never sent.
    """

    request: str
    reason: GiveUpReason = GiveUpReason.UNKNOWN


class CancelAttempt(Message, frozen=True):
    """Stop waiting for an attempt."""

    request: str
    attempt: int


class StartTimer(Message, frozen=True):
    """Return the timer in a TimerExpired after `wait_ms`."""

    wait_ms: float
    timer: Timer


class SendHealthCheck(Message, frozen=True):
    """Send a health check to a node."""

    node: str


class SendPeerMessage(Message, frozen=True):
    """Send a message to one gateway, or to all of them (None)."""

    peer: int | None
    data: str


class WatchEndpoints(Message, frozen=True):
    """Watch the endpoint list for changes, or stop watching it."""

    active: bool = True


class FetchEndpointList(Message, frozen=True):
    """Fetch the full endpoint list once."""


class CloseIdleConnections(Message, frozen=True):
    """Close the idle connections to a node."""

    node: str


class WriteLog(Message, frozen=True):
    """Write a line for the operators."""

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
