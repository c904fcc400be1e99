"""Actions that the scheduler requests from the gateway.  Times are milliseconds.

The current policy does not send health checks or peer messages, fetch endpoint lists or close idle
connections.  These actions are part of the simulator's protocol and of the engine's interface.
"""

from __future__ import annotations

from enum import StrEnum
from math import inf

from shaletiller.messages.base import Message
from shaletiller.messages.timers import Timer


class GiveUpReason(StrEnum):
    """Why the scheduler gives up a request; the values are part of the operators' STATS."""

    RATE_LIMIT = "rate_limit"
    """The rate limit of its volume is exceeded."""
    NO_CAPACITY = "no_capacity"
    """Its node has no capacity for it now, and it cannot be queued."""
    LATE = "late"
    """It was queued, and would miss its latency objective."""
    UNREACHED = "unreached"
    """No node has received it, and its client still has time to retry elsewhere."""
    RETRY_NOT_ALLOWED = "retry_not_allowed"
    """A retry is not allowed by the idempotency of its class or by the retry budget."""
    NO_RETRY_LEFT = "no_retry_left"
    """Its attempt failed, and its deadline or the maximum number of attempts allows no retry."""
    DEADLINE = "deadline"
    """It would exceed its deadline before the next round."""
    OVERTAKEN = "overtaken"
    """It is ordered, and a request for its object that arrived later was admitted before it was read."""
    UNKNOWN = "unknown"


class SendAttempt(Message, frozen=True):
    """Start an attempt of a request at a node.

    :param timeout_ms: time to wait for the response; 0 to wait until the client's deadline.
    :param start_within_ms: time within which the request has to be written; later it must not be written.
    """

    request: str
    node: str
    timeout_ms: float = 0.0
    start_within_ms: float = inf


class Reject(Message, frozen=True):
    """Final answer: the request is rejected, and the client may safely retry it.

    :param retry_after_ms: value of Retry-After for the client; 0 for none.
    :param reason: for metrics; it is not sent to the client.
    """

    request: str
    retry_after_ms: float = 0.0
    reason: GiveUpReason = GiveUpReason.UNKNOWN


class Fail(Message, frozen=True):
    """Final answer: the request failed, and a node may have executed some or all of it.

    :param reason: for metrics; it is not sent to the client.
    """

    request: str
    reason: GiveUpReason = GiveUpReason.UNKNOWN


class CancelAttempt(Message, frozen=True):
    """Cancel an attempt."""

    request: str
    attempt: int


class PassOnReason(StrEnum):
    """Why a held response is passed on; the values are part of the operators' STATS."""

    NO_RETRY_POSSIBLE = "no_retry_possible"
    """No other attempt of the request can be answered any more."""
    HOLD_ENDED = "hold_ended"
    """The time is over within which another attempt would have helped."""


class PassOnResponse(Message, frozen=True):
    """Pass a held response on to its client, as far as it has come and as it comes from now on."""

    request: str
    attempt: int
    reason: PassOnReason


class AbandonResponse(Message, frozen=True):
    """Give a held response up, so that its request can be retried."""

    request: str
    attempt: int


class StartTimer(Message, frozen=True):
    """Start a timer, which is returned in a TimerExpired event after `wait_ms`."""

    wait_ms: float
    timer: Timer


class SendHealthCheck(Message, frozen=True):
    """Send a health check to a node."""

    node: str


class SendPeerMessage(Message, frozen=True):
    """Send a message to one gateway, or to all gateways if `peer` is None."""

    peer: int | None
    data: str


class WatchEndpoints(Message, frozen=True):
    """Start watching the endpoint list for changes, or stop if not `active`."""

    active: bool = True


class FetchEndpointList(Message, frozen=True):
    """Fetch the complete endpoint list once."""


class CloseIdleConnections(Message, frozen=True):
    """Close the idle connections to a node."""

    node: str


class WriteLog(Message, frozen=True):
    """Write a line to the log."""

    line: str


Action = (
    SendAttempt
    | Reject
    | Fail
    | CancelAttempt
    | PassOnResponse
    | AbandonResponse
    | StartTimer
    | SendHealthCheck
    | SendPeerMessage
    | WatchEndpoints
    | FetchEndpointList
    | CloseIdleConnections
    | WriteLog
)
