"""The bandwidth budget shared by state transfer and anti-entropy: a token bucket of bytes."""

from __future__ import annotations

from shaletiller.replication.records import Row

ROW_OVERHEAD_BYTES = 60  # Approximate size of an encoded row without its key and value.
# Default bandwidth limit. A larger value fills a replaced machine sooner; a smaller value loads links less.
DEFAULT_BYTES_PER_SECOND = 4e6


def row_bytes(key: str, row: Row) -> int:
    """Estimate the encoded size of a row in a message."""
    return ROW_OVERHEAD_BYTES + len(key) + len(row.value)


class TransferBudget:
    """Limits the bytes per second of rows that one member sends to others, and counts what it has sent.

    Requests and repair share the links: after a long outage, unlimited repair traffic would delay requests.
    """

    def __init__(self, bytes_per_second: float = DEFAULT_BYTES_PER_SECOND) -> None:
        """Create an empty bucket."""
        self.bytes_per_second = bytes_per_second
        self.available = 0.0
        self.rows_sent = 0
        self.bytes_sent = 0
        self._refilled_ms = 0.0

    def refill(self, now_ms: float) -> None:
        """Add the bytes accrued since the last call; the bucket holds at most one second's worth."""
        accrued = self.bytes_per_second * max(0.0, now_ms - self._refilled_ms) / 1000
        self.available = min(self.bytes_per_second, self.available + accrued)
        self._refilled_ms = now_ms

    def spend(self, rows: int, size: int) -> None:
        """Charge a message of `rows` rows and `size` bytes to the budget, which may become negative."""
        self.available -= size
        self.rows_sent += rows
        self.bytes_sent += size
