"""Timers of the scheduler: started by the action StartTimer, and returned by the event TimerExpired.

Timers are opaque to the gateway; only the simulator's adapter converts them to strings.
"""

from __future__ import annotations

from shaletiller.messages.base import Message


class RoundTimer(Message, frozen=True):
    """The next scheduling round is due."""


class OrderingTimer(Message, frozen=True):
    """The quiet period of an object key has ended; its next ordered request may be admitted."""

    object_key: str


class AttemptOverdueTimer(Message, frozen=True):
    """An attempt has been in flight for longer than the attempt timeout."""

    request: str
    attempt: int


class ResponseHoldTimer(Message, frozen=True):
    """The time is over for which a response was to be held."""

    request: str
    attempt: int


class WatchRetryTimer(Message, frozen=True):
    """The watch on the endpoint list has failed and is due to be retried."""


Timer = RoundTimer | OrderingTimer | AttemptOverdueTimer | ResponseHoldTimer | WatchRetryTimer
