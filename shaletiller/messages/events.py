"""Events: what happens, as the scheduler is notified of it.

Times are milliseconds; a figure of 0 means that none is known."""

from __future__ import annotations

from shaletiller.fleet.quotas import Quota
from shaletiller.messages.base import Message
from shaletiller.messages.endpoints import EndpointEntry, UpdateKind
from shaletiller.messages.outcomes import Outcome


class EndpointListUpdate(Message, frozen=True):
    """News of the nodes: changes, the full list, the list as remembered, or a failed call."""

    kind: UpdateKind
    entries: tuple[EndpointEntry, ...] = ()
    version: int = 0
    staleness_ms: float = 0.0  # it may have been told so long ago: the watch was broken meanwhile


class Request(Message, frozen=True):
    """A client's request, now held by this host until it gives the final answer."""

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
    """The one outcome of one attempt."""

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
    """The answer has begun; the client owns the attempt from here on."""

    request: str
    attempt: int
    node: str
    latency_ms: float


class ClientDisconnected(Message, frozen=True):
    """The client gave up; nothing is owed to it."""

    request: str


class HealthCheckEnded(Message, frozen=True):
    """The outcome of one probe."""

    node: str
    outcome: Outcome
    latency_ms: float
    load_report: tuple[tuple[str, float], ...] = ()


class PeerMessageReceived(Message, frozen=True):
    """A message of another host."""

    origin: int
    data: str


class QuotaUpdated(Message, frozen=True):
    """What this host may spend from now on of a limit that the fleet holds together: a volume's, or the
    budget of a cold node (as much of `cold_units` as the burst says)."""

    name: str  # of the volume or the node
    share: Quota


class EndpointReportedDown(Message, frozen=True):
    """What several hosts say of a node, beside what this one sees of it itself."""

    node: str
    down_until_ms: float  # attempts find nothing there; a time that is past: nobody says so any more


class TimerExpired(Message, frozen=True):
    """A timer that this host set has come due."""

    timer: str


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
