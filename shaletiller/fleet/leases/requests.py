"""Log of sent requests: the duration of a pledge or lease starts when its request was sent."""

from __future__ import annotations


class RequestLog:
    """Assigns nonces to a member's requests, and records when each was sent by the member's own clock."""

    def __init__(self) -> None:
        """Create an empty log."""
        self._last_nonce = 0
        self._sent_ms: dict[int, float] = {}

    def issue_nonce(self, now_ms: float) -> int:
        """Return the nonce for a request that is sent now."""
        self._last_nonce += 1
        self._sent_ms[self._last_nonce] = now_ms
        return self._last_nonce

    def sent_ms(self, nonce: int) -> float | None:
        """Return the time at which a request was sent, or `None` if it is unknown or too old."""
        return self._sent_ms.get(nonce)

    def prune(self, before_ms: float) -> None:
        """Drop the requests that were sent before a time."""
        while self._sent_ms:
            oldest = next(iter(self._sent_ms))
            if self._sent_ms[oldest] >= before_ms:
                return
            del self._sent_ms[oldest]
