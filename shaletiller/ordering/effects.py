"""Effects that the coordinator of the order returns, to be executed in their order."""

from __future__ import annotations

from dataclasses import dataclass

from shaletiller.ordering.messages import Message


@dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a message to another process: to a follower, or to the owner by `OWNER`."""

    process: int
    message: Message


@dataclass(slots=True, frozen=True)
class GrantTurn:
    """Let a request of this process run."""

    request: str


@dataclass(slots=True, frozen=True)
class RefuseTurn:
    """Reject a request of this process: a later one of its key was granted its turn before."""

    request: str


@dataclass(slots=True, frozen=True)
class ReadOwnInput:
    """Ask for the turns of all requests that have arrived by now, then call `Coordinator.on_input_read`."""

    round: int


@dataclass(slots=True, frozen=True)
class WakeAt:
    """Call `Coordinator.on_quiet_period_ended` with the key at this time."""

    time_ms: float
    key: str


Effect = SendMessage | GrantTurn | RefuseTurn | ReadOwnInput | WakeAt
