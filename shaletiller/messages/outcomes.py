"""How an attempt or a health check ended."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """How an attempt or a health check ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # the node rejected it for want of capacity
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"  # the gateway did not start it: its node or its request was gone

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the node did none of the work."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)

    @property
    def may_still_run(self) -> bool:
        """Whether the work may go on at the node after this outcome."""
        return self in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
