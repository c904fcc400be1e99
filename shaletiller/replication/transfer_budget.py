"""The bandwidth budget that state transfer and anti-entropy share: a token bucket of bytes."""

from __future__ import annotations

from shaletiller.replication.records import Row

ROW_OVERHEAD_BYTES = 60  # of an encoded row beside its key and value, approximately
DEFAULT_BYTES_PER_SECOND = 4e6  # empirical: time to fill a lost machine against the load on the links


def row_bytes(key: str, row: Row) -> int:
    """Estimate the size of a row in a message."""
    return ROW_OVERHEAD_BYTES + len(key) + len(row.value)


class TransferBudget:
    """Bounds the bytes per second that one member gives to others, and counts what it gave.

    Requests compete with repair for the links: after a long outage unbounded repair would delay them.
    """

    def __init__(self, bytes_per_second: float = DEFAULT_BYTES_PER_SECOND) -> None:
        """Start with an empty bucket."""
        self.bytes_per_second = bytes_per_second
        self.available = 0.0
        self.rows_sent = 0
        self.bytes_sent = 0
        self._refilled_ms = 0.0

    def refill(self, now_ms: float) -> None:
        """Add what has accrued since the last call; at most one second's worth is saved up."""
        accrued = self.bytes_per_second * max(0.0, now_ms - self._refilled_ms) / 1000
        self.available = min(self.bytes_per_second, self.available + accrued)
        self._refilled_ms = now_ms

    def spend(self, rows: int, size: int) -> None:
        """Account for a message of so many rows and bytes; the budget may become negative."""
        self.available -= size
        self.rows_sent += rows
        self.bytes_sent += size
