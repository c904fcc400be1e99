"""What an exploration of the replication protocol covers: client operations, and bounds on faults."""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import StrEnum

MEMBERS = range(3)  # the smallest group with a majority that survives the loss of a member


class FaultKind(StrEnum):
    """A fault whose number in one history is bounded; the value is its name in reports."""

    LATE_REQUEST = "late"
    LOST_MESSAGE = "lost"
    DUPLICATED_MESSAGE = "doubled"
    CRASH = "killed"
    DISK_LOSS = "wiped"
    TIMEOUT = "ticks"


@dataclass(slots=True, frozen=True)
class FaultBounds:
    """How often each kind of fault may happen in one history, at most; in the order of `FaultKind`.

    `late_requests` bounds the requests that arrive after their proposer has stopped waiting for a reply;
    beyond the bound such requests are dropped.
    """

    late_requests: int = 0
    lost_messages: int = 0
    duplicated_messages: int = 0
    crashes: int = 0
    disk_losses: int = 0
    timeouts: int = 0

    def __str__(self) -> str:
        return ", ".join(f"{kind} {self.limit(kind)}" for kind in FaultKind)

    def limit(self, kind: FaultKind) -> int:
        """Return the bound on faults of a kind."""
        return int(getattr(self, _FIELD_OF[kind]))


_FIELD_OF = dict(zip(FaultKind, (field.name for field in fields(FaultBounds)), strict=True))


@dataclass(slots=True, frozen=True)
class ClientWrite:
    """A write that a client sends to a member at the start.

    The member claims the key; if it wins the claim and `outcome` is not empty, it writes that outcome.
    """

    member: int
    key: str
    outcome: bytes = b""

    @property
    def claim(self) -> bytes:
        """The value that the member proposes as its claim of the key."""
        return f"claim of {self.member}".encode()


@dataclass(slots=True, frozen=True)
class Script:
    """The client writes of one exploration, all started at once.

    `absent_member` is disconnected at first, and may come back at any moment.
    """

    name: str
    writes: tuple[ClientWrite, ...]
    absent_member: int | None = None


CONFLICTING_CLAIMS = Script(
    "two claim one key, and the winner writes its outcome",
    (ClientWrite(0, "a", b"out0"), ClientWrite(1, "a")),
)
TWO_KEYS = Script(
    "two keys, one claimed and settled, one claimed",
    (ClientWrite(0, "a", b"out0"), ClientWrite(1, "b")),
)
ABSENT_MEMBER = Script(
    "one is away at first, one claims and settles",
    (ClientWrite(0, "a", b"out0"),),
    absent_member=2,
)


@dataclass(slots=True, frozen=True)
class ExplorationTask:
    """One exploration: a script, with bounds on faults."""

    bounds: FaultBounds
    script: Script


# Covers each kind of fault at least once, in a few minutes on eight cores.
DEFAULT_TASKS = (
    ExplorationTask(FaultBounds(timeouts=1), TWO_KEYS),
    ExplorationTask(FaultBounds(timeouts=1), ABSENT_MEMBER),
    ExplorationTask(FaultBounds(), CONFLICTING_CLAIMS),
    ExplorationTask(FaultBounds(late_requests=1), TWO_KEYS),
    ExplorationTask(FaultBounds(lost_messages=1, timeouts=1), TWO_KEYS),
    ExplorationTask(FaultBounds(duplicated_messages=1), TWO_KEYS),
    ExplorationTask(FaultBounds(late_requests=1, timeouts=1), TWO_KEYS),
    ExplorationTask(FaultBounds(timeouts=2), ABSENT_MEMBER),
    ExplorationTask(FaultBounds(crashes=1, timeouts=1), ABSENT_MEMBER),
    ExplorationTask(FaultBounds(disk_losses=1, timeouts=1), ABSENT_MEMBER),
    ExplorationTask(FaultBounds(lost_messages=1, duplicated_messages=1, timeouts=1), ABSENT_MEMBER),
)
