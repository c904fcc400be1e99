"""The data of the core: client requests, their attempts at storage nodes, and the results of both.

Times are milliseconds of the gateway's clock.  Nothing here belongs to a particular wire protocol.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from shaletiller.clock import Timer
from shaletiller.messages.outcomes import Outcome


@dataclass(slots=True, frozen=True)
class ClientCall:
    """A client's request, as a server decoded it.

    `method`, `target` and `body` are forwarded to the storage node unchanged.  `volume_gateways` is the
    number of gateways through which the volume's requests come, `timeout_ms` all the time that the client
    gives; a `shard` of -1 stands for a new object.
    """

    id: str
    request_class: str
    plan: str
    volume: str
    key: str
    units: float
    shard: int
    volume_gateways: int
    timeout_ms: float
    write: bool
    method: str
    target: str
    body: bytes = b""
    is_retry: bool = False
    idempotency_key: str = ""  # storage nodes recognise a retry by it; forwarded unchanged


class FinalResult(Enum):
    """How a client request ended; the values are labels of the exported metrics."""

    SERVED = "served"
    REJECTED = "refused"  # no attempt ran, or a retry does no harm
    FAILED = "failed"  # an attempt may have run


@dataclass(slots=True, frozen=True)
class FinalResponse:
    """The one final response to a client request.

    `retry_after_ms` is the advice of a rejection on when to try again; 0 gives none.
    """

    result: FinalResult
    body: bytes = b""
    retry_after_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """How one attempt ended, as the upstream client saw it.

    `latency_ms` is the time the storage node took, where the client can tell it from its own delays.
    """

    outcome: Outcome
    body: bytes = b""
    usage_percent_plus_one: float = 0.0
    other_gateways_units: float = 0.0
    load_report: tuple[tuple[str, float], ...] = ()
    latency_ms: float | None = None


@dataclass(slots=True)
class Attempt:
    """One attempt of a client request at one storage node."""

    number: int
    node: str
    sent_ms: float
    task: asyncio.Task[AttemptResult] | None = None
    stop_reason: Outcome | None = None  # why the gateway itself ended it
    outcome: Outcome | None = None
    ended_ms: float | None = None


@dataclass(slots=True)
class Exchange:
    """A client request from its acceptance to its final response.

    It stands in `Engine.exchanges` until then; its attempts may outlive it in `AttemptSender.in_flight`.
    `on_result` is set for writes whose outcome is replicated: it is called once with the response, or with
    None where the client disconnected.
    """

    call: ClientCall
    respond: Callable[[FinalResponse], None]
    accepted_ms: float
    deadline_ms: float
    idempotent: bool = False  # by its class's settings at the time of acceptance
    deadline_timer: Timer | None = None
    result: FinalResult | None = None
    client_gone: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    replicating_outcome: bool = False  # no further attempt starts; the response follows the replication
    on_result: Callable[[FinalResponse | None], None] | None = None

    @property
    def ended(self) -> bool:
        """Whether the client has its response, or has disconnected."""
        return self.client_gone or self.result is not None

    @property
    def finished(self) -> bool:
        """Whether its result is decided, though the response may still wait for the replication."""
        return self.ended or self.replicating_outcome

    @property
    def never_ran(self) -> bool:
        """Whether every attempt is proven not to have run."""
        return all(each.outcome is not None and each.outcome.never_ran for each in self.attempts)
