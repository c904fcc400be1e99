"""The base class of all events, actions and timers."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, gc=False):
    """An immutable message.

    It is a msgspec struct because thousands of messages are created each second, and a frozen dataclass takes
    longer to create.
    """
