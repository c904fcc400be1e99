"""The types the scheduler speaks: settings, events it is told, actions it asks for.

Nothing here decides anything.  Times are milliseconds, rates are units a second.
A figure of 0 (or None) means "the site states none".
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf

import msgspec

from shaletiller.fleet.shares import Share


class Effect(Enum):
    """What repeating a request of a class may do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which nodes discard the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the node did none of the work."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)

    @property
    def may_still_run(self) -> bool:
        """Whether the work may go on at the node after this outcome."""
        return self in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


class NodeState(Enum):
    """A node's standing in the list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(Enum):
    """What a message of the node list brings."""

    CHANGES = 0
    FULL = 1
    REMEMBERED = 2
    FAILED = 3


@dataclass(slots=True, frozen=True)
class ClassSpec:
    """A class of requests."""

    name: str
    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_share: float = 0.0
    effect: Effect = Effect.UNSAFE
    scope: Scope = Scope.CELL
    key_ttl_ms: float = 0.0
    in_order: bool = False
    streaming: bool = False
    writes: bool = False

    def __post_init__(self) -> None:
        _positive("aim_ms", self.aim_ms)
        _positive("deadline_ms", self.deadline_ms)
        _not_negative("worth", self.worth)
        _not_negative("key_ttl_ms", self.key_ttl_ms)


@dataclass(slots=True, frozen=True)
class PlanSpec:
    """A plan; its figures hold for each volume over all hosts and nodes together."""

    name: str
    base_rate: float = 0.0
    reserve: float = 0.0
    weight: float = 1.0
    price: float = 1.0
    limit_rate: float = 0.0
    limit_burst: float = 0.0
    limit_slack: float = 0.0

    def __post_init__(self) -> None:
        for name in ("base_rate", "reserve", "weight", "price", "limit_rate", "limit_burst", "limit_slack"):
            _not_negative(name, getattr(self, name))


@dataclass(slots=True, frozen=True)
class Settings:
    """What the site states once, when the host starts."""

    classes: tuple[ClassSpec, ...]
    plans: tuple[PlanSpec, ...]
    position: int = 0
    hosts: int = 1
    zone: str = ""
    tick_ms: float = 0.0
    shards: int = 0
    mean_units: float = 1.0
    most_units: float = 1.0
    share_worth: float = 1.0
    beyond_worth: float = 1.0
    meter_ms: float = 0.0
    counts_others: bool = False
    subscribed: bool = False
    ask_within_ms: float = 0.0
    max_attempts: int = 1
    second_copies: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    may_tell: bool = False
    retry_advice: bool = False
    max_retry_after_ms: float = 0.0
    marks_repeats: bool = False
    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    fall_multiple: float = 0.0
    fall_ms: float = 0.0
    start_capacity: float = 1.0
    ramp_ms: float = 0.0
    cold_units: float = 0.0
    turn_gap_ms: float = 0.0
    budget_free: float | None = None
    budget_share: float = 0.0
    budget_span_ms: float = 0.0
    probe_price: float = 0.0
    tell_price: float = 0.0
    waste_price: float = 0.0
    report_columns: tuple[str, ...] = ()
    conn_idle_ms: float = 30000.0
    connect_timeout_ms: float = 250.0

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one class is needed")
        if not self.plans:
            raise ValueError("plans: at least one plan is needed")
        for name in (
            "hosts",
            "mean_units",
            "most_units",
            "max_attempts",
            "conn_idle_ms",
            "connect_timeout_ms",
        ):
            _positive(name, getattr(self, name))
        for name in ("fall_ms", "ramp_ms", "cold_units", "turn_gap_ms", "budget_share", "budget_span_ms"):
            _not_negative(name, getattr(self, name))
        if not 0 < self.start_capacity <= 1:
            raise ValueError(f"start_capacity: wants a part above 0, at most 1, got {self.start_capacity}")


def _positive(name: str, value: float) -> None:
    if not value > 0:
        raise ValueError(f"{name}: wants a number above 0, got {value}")


def _not_negative(name: str, value: float) -> None:
    if not value >= 0:
        raise ValueError(f"{name}: wants a number of at least 0, got {value}")


@dataclass(slots=True, frozen=True)
class NodeEntry:
    """A line of the node list."""

    node: str
    zone: str
    shard: int
    state: NodeState
    weight: float = 1.0
    started_ms: float = 0.0
    kind: str = ""


class Told(msgspec.Struct, frozen=True, gc=False):
    """An event or an action: thousands are made a second, and a frozen dataclass takes longer to make."""


class NodeList(Told, frozen=True):
    """News of the nodes: changes, the full list, the list as remembered, or a failed call."""

    kind: ListKind
    entries: tuple[NodeEntry, ...] = ()
    version: int = 0
    late_ms: float = 0.0  # it may have been told so long ago: the watch was broken meanwhile


class Request(Told, frozen=True):
    """A client's request, now held by this host until it gives the final answer."""

    request: str
    shard: int
    extent: str
    plan: str
    service: str
    volume: str
    units: float
    expires_in_ms: float
    volume_hosts: int = 1
    repeat: bool = False
    write: bool = False


class Attempted(Told, frozen=True):
    """The one outcome of one attempt."""

    request: str
    attempt: int
    node: str
    outcome: Outcome
    lag_ms: float
    over: bool
    used: float = 0.0
    from_others: float = 0.0
    report: tuple[tuple[str, float], ...] = ()


class StreamStarted(Told, frozen=True):
    """The answer has begun; the client owns the attempt from here on."""

    request: str
    attempt: int
    node: str
    lag_ms: float


class ClientLeft(Told, frozen=True):
    """The client gave up; nothing is owed to it."""

    request: str


class Probed(Told, frozen=True):
    """The outcome of one probe."""

    node: str
    outcome: Outcome
    lag_ms: float
    report: tuple[tuple[str, float], ...] = ()


class PeerSaid(Told, frozen=True):
    """A message of another host."""

    origin: int
    data: str


class ShareTold(Told, frozen=True):
    """What this host may spend from now on of a limit that the fleet holds together: a volume's, or the
    budget of a cold node (as much of `cold_units` as the burst says)."""

    name: str  # of the volume or the node
    share: Share


class NodeSeen(Told, frozen=True):
    """What several hosts say of a node, beside what this one sees of it itself."""

    node: str
    gone_until_ms: float  # attempts find nothing there; a time that is past: nobody says so any more


class TimerDue(Told, frozen=True):
    """A timer that this host set has come due."""

    token: str


Event = (
    NodeList
    | Request
    | Attempted
    | StreamStarted
    | ClientLeft
    | Probed
    | PeerSaid
    | TimerDue
    | ShareTold
    | NodeSeen
)


class Send(Told, frozen=True):
    """Start an attempt; a time-out of 0 lasts until the client's deadline."""

    request: str
    node: str
    timeout_ms: float = 0.0
    start_within_ms: float = inf  # it has to be written by then, or not at all


class Refuse(Told, frozen=True):
    """Final answer: no, and a repeat does no harm."""

    request: str
    retry_in_ms: float = 0.0


class Fail(Told, frozen=True):
    """Final answer: failed, with no promise about what was done."""

    request: str


class Cancel(Told, frozen=True):
    """Stop waiting for an attempt."""

    request: str
    attempt: int


class SetTimer(Told, frozen=True):
    """Ask for a TimerDue."""

    wait_ms: float
    token: str


class Probe(Told, frozen=True):
    """Ask a node for its load."""

    node: str


class Tell(Told, frozen=True):
    """Send a message to one host, or to all of them (None)."""

    peer: int | None
    data: str


class Subscribe(Told, frozen=True):
    """Follow the changes of the node list."""

    active: bool = True


class FetchList(Told, frozen=True):
    """Ask for the full node list once."""


class CloseIdle(Told, frozen=True):
    """Close the idle connections to a node."""

    node: str


class Log(Told, frozen=True):
    """A line for the operators."""

    line: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | Tell | Subscribe | FetchList | CloseIdle | Log
