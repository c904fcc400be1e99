"""The base of every event, action and timer."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, gc=False):
    """An immutable message.  Thousands are created a second, and a frozen dataclass takes longer."""
