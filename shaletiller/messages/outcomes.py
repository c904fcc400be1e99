"""Outcomes of attempts and health checks."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """The outcome of an attempt or a health check."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # the node rejected it because it has no capacity
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"  # the gateway did not send it because the node or the request no longer exists

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the node did not execute the attempt."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)

    @property
    def may_still_run(self) -> bool:
        """Whether the node may still be executing the attempt after this outcome."""
        return self in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
