"""The data types of the core: client requests, their attempts at storage nodes, and the results of both.

Times are in milliseconds of the gateway's clock.  The types do not depend on a wire protocol.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

import msgspec

from shaletiller.clock import Timer
from shaletiller.core.response_progress import ResponseProgress, ResponseState
from shaletiller.messages.outcomes import Outcome


class ClientCall(msgspec.Struct, frozen=True, gc=False):
    """A client request as decoded by a server.

    `method`, `target` and `body` are forwarded to the storage node unchanged.  `volume_gateways` is the
    number of gateways through which the volume's requests arrive.  `timeout_ms` is the client's timeout for
    the whole request.  `shard` is -1 for a new object.
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
    idempotency_key: str = ""  # forwarded unchanged; storage nodes recognise retries by it
    accepts_stream: bool = False  # whether its server can pass a response on before it is complete


class BodyStream(Protocol):
    """The rest of a response body that its storage node is still writing.

    It owns the connection to the node until `close`, or until it is read to its end.
    """

    length: int | None
    """Length of the whole body; None if only its end tells."""

    async def read(self) -> bytes:
        """Return the next bytes; empty at the end of the body.

        :raises ResponseBrokenError: the node has broken the response off.
        """

    def close(self) -> None:
        """Give up the rest; further calls do nothing."""


class FinalResult(Enum):
    """The result of a client request; the values are labels of the exported metrics."""

    SERVED = "served"
    REJECTED = "refused"  # no storage node has executed it, or it is safe to retry
    FAILED = "failed"  # a storage node may have executed it


class FinalResponse(msgspec.Struct, frozen=True):
    """The only final response to a client request.

    `retry_after_ms` is the Retry-After time of a rejection; 0 for none.  `stream` is the rest of a body of
    which `body` is the beginning; who gets the response has to read it to its end or to close it.
    """

    result: FinalResult
    body: bytes = b""
    retry_after_ms: float = 0.0
    stream: BodyStream | None = None

    def discard(self) -> None:
        """Close the stream of a response that is not delivered."""
        if self.stream is not None:
            self.stream.close()


class AttemptResult(msgspec.Struct, frozen=True):
    """The result of one attempt, as seen by the upstream client.

    `latency_ms` is the response time of the storage node, if the client can separate it from its own delays.
    """

    outcome: Outcome
    body: bytes = b""
    usage_percent_plus_one: float = 0.0
    other_gateways_units: float = 0.0
    load_report: tuple[tuple[str, float], ...] = ()
    latency_ms: float | None = None
    stream: BodyStream | None = None  # the rest of a body of which `body` is the beginning


@dataclass(slots=True)
class Attempt:
    """One attempt of a client request at one storage node."""

    number: int
    node: str
    sent_ms: float
    task: asyncio.Task[AttemptResult] | None = None
    progress: ResponseProgress | None = None
    is_expiring: bool = False  # its time is over, and its response may lie unread after a hold-up
    stop_reason: Outcome | None = None  # set if the gateway stopped the attempt
    outcome: Outcome | None = None
    ended_ms: float | None = None

    @property
    def has_begun_response(self) -> bool:
        """Whether it has no outcome yet, and its response can be passed on."""
        return self.outcome is None and self.progress is not None and self.progress.has_begun

    @property
    def is_being_passed_on(self) -> bool:
        """Whether its time is over, and it ends with its response, or without one, within a moment."""
        if self.outcome is not None:
            return False
        is_passed_on = self.progress is not None and self.progress.state is ResponseState.PASSED_ON
        return is_passed_on or self.is_expiring


@dataclass(slots=True)
class Exchange:
    """A client request from its acceptance to its final response.

    `Engine.exchanges` contains it until then; its attempts may remain in `AttemptSender.in_flight` longer.
    `on_result` is set for writes whose outcome is replicated: it is called once with the response, or with
    None if the client disconnected.
    """

    call: ClientCall
    respond: Callable[[FinalResponse], None]
    accepted_ms: float
    deadline_ms: float
    idempotent: bool = False  # according to the settings of its class when it was accepted
    ordered: bool = False  # whether it has a key and its class was ordered when it was accepted
    arrived_ns: int = 0  # when its last byte arrived at this machine; set for ordered requests
    deadline_timer: Timer | None = None
    result: FinalResult | None = None
    client_disconnected: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    replicating_outcome: bool = False  # the response waits for the replication; no new attempt starts
    on_result: Callable[[FinalResponse | None], None] | None = None
    has_client_left: Callable[[], bool] | None = (
        None  # asks the kernel, which knows it before its input is read
    )

    @property
    def ended(self) -> bool:
        """Whether the final response was given or the client has disconnected."""
        return self.client_disconnected or self.result is not None

    @property
    def finished(self) -> bool:
        """Whether the result is decided; the response may still wait for the replication of the outcome."""
        return self.ended or self.replicating_outcome

    @property
    def never_ran(self) -> bool:
        """Whether it is certain that no storage node has executed any of the attempts."""
        for attempt in self.attempts:
            if attempt.outcome is None or not attempt.outcome.never_ran:
                return False
        return True
