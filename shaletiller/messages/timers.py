"""Timers of the scheduler: StartTimer carries one out, TimerExpired brings the same one back.

To the program around the scheduler a timer is opaque; only the simulator's adapter writes it as a string.
"""

from __future__ import annotations

from shaletiller.messages.base import Message


class RoundTimer(Message, frozen=True):
    """The next scheduling round is due."""


class OrderingTimer(Message, frozen=True):
    """The quiet period of an object key has ended: its next ordered request may be admitted."""

    object_key: str


class AttemptOverdueTimer(Message, frozen=True):
    """An attempt has been in flight for longer than its attempt timeout."""

    request: str
    attempt: int


class WatchRetryTimer(Message, frozen=True):
    """The watch on the endpoint list failed a while ago and is to be opened again."""


Timer = RoundTimer | OrderingTimer | AttemptOverdueTimer | WatchRetryTimer
