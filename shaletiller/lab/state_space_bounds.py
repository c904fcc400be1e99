"""The scope of an exploration of the replication protocol: client operations, and bounds on faults."""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import StrEnum

MEMBERS = range(3)  # The smallest group that keeps a majority after the loss of one member.


class FaultKind(StrEnum):
    """A kind of fault whose number in one history is bounded; the value is its name in reports."""

    LATE_REQUEST = "late"
    LOST_MESSAGE = "lost"
    DUPLICATED_MESSAGE = "doubled"
    CRASH = "killed"
    DISK_LOSS = "wiped"
    TIMEOUT = "ticks"


@dataclass(slots=True, frozen=True)
class FaultBounds:
    """The maximum number of faults of each kind in one history; the fields are in the order of `FaultKind`.

    `late_requests` bounds the requests that arrive when their proposer no longer waits for a reply; further
    requests of this kind are dropped.
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
        """Return the maximum number of faults of a kind."""
        return int(getattr(self, _FIELD_BY_KIND[kind]))


_FIELD_BY_KIND = dict(zip(FaultKind, (field.name for field in fields(FaultBounds)), strict=True))


@dataclass(slots=True, frozen=True)
class ClientWrite:
    """A write that a client sends to a member in the initial state.

    The member claims the key. If the claim is committed and `outcome` is not empty, it writes the outcome.
    """

    member: int
    key: str
    outcome: bytes = b""

    @property
    def claim(self) -> bytes:
        """The value that the member proposes to claim the key."""
        return f"claim of {self.member}".encode()


@dataclass(slots=True, frozen=True)
class Script:
    """The client writes of one exploration, which all start at the same time.

    `absent_member` is disconnected in the initial state and may reconnect at any time.
    """

    name: str
    writes: tuple[ClientWrite, ...]
    absent_member: int | None = None


CONFLICTING_CLAIMS = Script(
    "two members claim one key, the winner writes its outcome",
    (ClientWrite(0, "a", b"out0"), ClientWrite(1, "a")),
)
TWO_KEYS = Script(
    "two keys: one is claimed and gets an outcome, one is claimed",
    (ClientWrite(0, "a", b"out0"), ClientWrite(1, "b")),
)
ABSENT_MEMBER = Script(
    "one member is absent at first, one claims a key and writes its outcome",
    (ClientWrite(0, "a", b"out0"),),
    absent_member=2,
)


@dataclass(slots=True, frozen=True)
class ExplorationTask:
    """The parameters of one exploration: a script, and bounds on faults."""

    bounds: FaultBounds
    script: Script


# Each kind of fault occurs at least once. All tasks take a few minutes on eight cores.
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
