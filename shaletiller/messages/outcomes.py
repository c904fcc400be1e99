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

    never_ran: bool
    """Whether this outcome proves that the node did not execute the attempt."""
    may_still_run: bool
    """Whether the node may still be executing the attempt after this outcome."""

    def __init__(self, value: str) -> None:
        """Set the properties once: each request reads them."""
        self.never_ran = value in ("full", "connect_failed", "moot")
        self.may_still_run = value in ("timeout", "reset", "cancelled")
