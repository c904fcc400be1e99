"""What the core deals in: calls, answers, attempts and replies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import Protocol

from shaletiller import interface as i
from shaletiller.clock import Timer


@dataclass(slots=True, frozen=True)
class Call:
    """What a client asks for.  `method` and `target` pass to the node as they came."""

    id: str
    service: str
    plan: str
    volume: str
    key: str
    units: float
    shard: int
    hosts: int
    timeout_ms: float
    write: bool
    method: str
    target: str
    body: bytes = b""
    repeat: bool = False
    idempotency_key: str = ""  # of a keyed class: what the nodes tell its repeats by; passes on as it came


class Verdict(Enum):
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Answer:
    """The one final answer to a call."""

    verdict: Verdict
    body: bytes = b""
    retry_in_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Reply:
    """How one attempt went, as the back saw it."""

    outcome: i.Outcome
    body: bytes = b""
    used: float = 0.0
    from_others: float = 0.0
    report: tuple[tuple[str, float], ...] = ()
    lag_ms: float | None = None  # how long the node took, where the back could tell that from its own delays


@dataclass(slots=True)
class Attempt:
    """One try of a call at one node."""

    number: int
    node: str
    sent_ms: float
    task: asyncio.Task[Reply] | None = None
    stopped: i.Outcome | None = None  # why the gateway itself ended it
    outcome: i.Outcome | None = None
    ended_ms: float | None = None


@dataclass(slots=True)
class Exchange:
    """A call from its arrival to its final answer and the end of its last attempt."""

    call: Call
    answer: Callable[[Answer], None]
    taken_ms: float
    deadline_ms: float
    safe: bool = False  # whether its class, as it was when it came, may simply be repeated
    guard: Timer | None = None
    final: Verdict | None = None
    left: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    # Whether its outcome is being copied: nothing more is sent for it, and then it has its answer.
    settling: bool = False
    keeps: Callable[[Answer | None], None] | None = None  # told how it ended, None where its client left

    @property
    def answered(self) -> bool:
        return self.left or self.final is not None

    @property
    def over(self) -> bool:
        """Whether nothing is owed to it by the decision module any more."""
        return self.answered or self.settling

    @property
    def harmless(self) -> bool:
        """Whether every attempt is proven never to have run."""
        return all(each.outcome is not None and each.outcome.never_ran for each in self.attempts)


class BadCall(Exception):
    """A call that no node must see."""


class Calls(Protocol):
    """What a front needs of the engine."""

    def call(self, call: Call, answer: Callable[[Answer], None]) -> Exchange: ...

    def client_left(self, exchange: Exchange) -> None: ...


class Back(Protocol):
    """A way to nodes.  A cancelled attempt leaves its connection closed.

    An attempt that cannot be written within `start_within_ms` is not written at all."""

    async def attempt(
        self, address: str, call: Call, timeout_ms: float, start_within_ms: float = inf
    ) -> Reply: ...

    def retune(self, settings: i.Settings) -> None: ...

    async def probe(self, address: str) -> Reply: ...

    def close_idle(self, address: str) -> None: ...

    async def close(self) -> None: ...
