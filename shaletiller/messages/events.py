"""Events: what the scheduler is notified of.

Times are milliseconds; a figure of 0 means that it is not known.
"""

from __future__ import annotations

from shaletiller.fleet.quotas import Quota
from shaletiller.messages.base import Message
from shaletiller.messages.endpoints import EndpointEntry, UpdateKind
from shaletiller.messages.outcomes import Outcome
from shaletiller.messages.timers import Timer


class EndpointListUpdate(Message, frozen=True):
    """An update of the endpoint list.

    :param staleness_ms: how old it may be: the watch was interrupted for so long before it.
    """

    kind: UpdateKind
    entries: tuple[EndpointEntry, ...] = ()
    version: int = 0
    staleness_ms: float = 0.0


class Request(Message, frozen=True):
    """A client's request, which this gateway has to answer from now on.

    :param request: its id.
    :param shard: the shard that holds its object; below 0 for a new object, which any node may take.
    :param object_key: the object, by which requests are ordered and batched; may be empty.
    :param units: its size in cost units.
    :param volume_gateways: the gateways that serve the volume.
    :param is_retry: whether the client says that it sent the request before.
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


class AttemptEnded(Message, frozen=True):
    """The one outcome of one attempt.

    :param request_finished: whether the request has its final answer and needs nothing more.
    :param usage_percent_plus_one: what the volume used of late over all gateways, in percent of its plan's
        base rate and plus 1, as the node states it.
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
    """The response has begun to reach the client: the attempt is neither hedged nor given up any more.

    Sent by the simulator only; the gateway forwards complete responses.
    """

    request: str
    attempt: int
    node: str
    latency_ms: float


class ClientDisconnected(Message, frozen=True):
    """The client disconnected: its request needs no answer any more."""

    request: str


class HealthCheckEnded(Message, frozen=True):
    """The outcome of one health check."""

    node: str
    outcome: Outcome
    latency_ms: float
    load_report: tuple[tuple[str, float], ...] = ()


class PeerMessageReceived(Message, frozen=True):
    """A message of another gateway."""

    origin: int
    data: str


class QuotaUpdated(Message, frozen=True):
    """What this gateway may spend from now on of a limit that the fleet holds together.

    :param name: the volume whose rate limit it is, or the node whose warm-up budget it is.
    :param quota: of a warm-up budget only the burst counts.
    """

    name: str
    quota: Quota


class EndpointReportedDown(Message, frozen=True):
    """Several gateways report a node down, whatever this one sees of it itself.

    :param down_until_ms: until when the report holds; a time that is past withdraws it.
    """

    node: str
    down_until_ms: float


class TimerExpired(Message, frozen=True):
    """A timer of the scheduler has expired; it comes back as it was started."""

    timer: Timer


Event = (
    EndpointListUpdate
    | Request
    | AttemptEnded
    | ResponseStarted
    | ClientDisconnected
    | HealthCheckEnded
    | PeerMessageReceived
    | TimerExpired
    | QuotaUpdated
    | EndpointReportedDown
)
