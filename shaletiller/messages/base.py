"""The base of every event and action."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, gc=False):
    """An event or an action: thousands are made a second, and a frozen dataclass takes longer to make."""
