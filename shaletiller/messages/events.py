"""Events that are passed to the scheduler.

Times are milliseconds.  Unless stated otherwise, a number of 0 is an unknown value.
"""

from __future__ import annotations

from shaletiller.fleet.quotas import Quota
from shaletiller.messages.base import Message
from shaletiller.messages.endpoints import EndpointEntry, UpdateKind
from shaletiller.messages.outcomes import Outcome
from shaletiller.messages.timers import Timer


class EndpointListUpdate(Message, frozen=True):
    """An update of the endpoint list.

    :param staleness_ms: maximum age of the changes: the duration for which the watch was interrupted before.
    """

    kind: UpdateKind
    entries: tuple[EndpointEntry, ...] = ()
    version: int = 0
    staleness_ms: float = 0.0


class Request(Message, frozen=True):
    """A new request of a client, which the scheduler must answer.

    :param request: request id.
    :param shard: the shard that holds the object; below 0 for a new object, which any node may store.
    :param object_key: key of the object, by which requests are ordered and batched; may be empty.
    :param units: size of the request in cost units.
    :param deadline_in_ms: time until the client's deadline.
    :param volume_gateways: number of gateways that serve the volume.
    :param is_retry: whether the client has marked the request as a retry.
    :param write: whether the request changes its object.
    :param arrived_ns: when it arrived, to order it among the requests of its object; comparable with other
        arrivals only.  Requests with equal or unknown times are ordered as their events.
    """

    request: str
    shard: int
    object_key: str
    plan: str
    request_class: str
    volume: str
    units: float
    deadline_in_ms: float
    volume_gateways: int = 1
    is_retry: bool = False
    write: bool = False
    arrived_ns: int = 0


class AttemptEnded(Message, frozen=True):
    """The end of an attempt; sent exactly once for each attempt.

    :param request_finished: whether the request has its final answer, so that no further action is needed.
    :param usage_percent_plus_one: recent usage of the volume through all gateways as reported by the node, in
        percent of the base rate of its plan, plus 1.
    """

    request: str
    attempt: int
    node: str
    outcome: Outcome
    latency_ms: float
    request_finished: bool
    usage_percent_plus_one: float = 0.0
    other_gateways_units: float = 0.0
    load_report: tuple[tuple[str, float], ...] = ()


class ResponseStarted(Message, frozen=True):
    """The client has received the start of the response; its request is neither hedged nor given up then.

    Only sent by the simulator; the gateway forwards complete responses.
    """

    request: str
    attempt: int
    node: str
    latency_ms: float


class ResponseHeld(Message, frozen=True):
    """The head of a successful response has come, and its body is not whole yet.

    The response is held until the action PassOnResponse or AbandonResponse, or until its body is whole.  Not
    sent by the simulator.

    :param can_pass_on: whether it can be passed on to the client before it is whole.
    """

    request: str
    attempt: int
    can_pass_on: bool


class ResponseStalled(Message, frozen=True):
    """The body of a held response has not gone on for some time; sent at most once for each attempt."""

    request: str
    attempt: int


class ClientDisconnected(Message, frozen=True):
    """The client has disconnected; its request needs no answer."""

    request: str


class HealthCheckEnded(Message, frozen=True):
    """The end of a health check."""

    node: str
    outcome: Outcome
    latency_ms: float
    load_report: tuple[tuple[str, float], ...] = ()


class PeerMessageReceived(Message, frozen=True):
    """A message from another gateway."""

    origin: int
    data: str


class QuotaUpdated(Message, frozen=True):
    """A new quota of this gateway for a limit that is shared by the fleet.

    :param name: name of the volume of a rate limit, or of the node of a warm-up budget.
    :param quota: the quota from now on; for a warm-up budget only its burst is used.
    """

    name: str
    quota: Quota


class EndpointReportedDown(Message, frozen=True):
    """Several gateways report a node down, regardless of this gateway's own observations.

    :param down_until_ms: time until which the report is valid; a time in the past withdraws it.
    """

    node: str
    down_until_ms: float


class TimerExpired(Message, frozen=True):
    """A timer of the scheduler has expired; it is returned as it was started."""

    timer: Timer


Event = (
    EndpointListUpdate
    | Request
    | AttemptEnded
    | ResponseStarted
    | ResponseHeld
    | ResponseStalled
    | ClientDisconnected
    | HealthCheckEnded
    | PeerMessageReceived
    | TimerExpired
    | QuotaUpdated
    | EndpointReportedDown
)
