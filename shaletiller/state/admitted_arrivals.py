"""The newest admitted request of each object key, by its arrival."""

from __future__ import annotations

from collections import deque


class AdmittedArrivals:
    """Remembers for a limited time when the newest admitted request of each key arrived.

    A request that is read only after a later one of its key was admitted must not be sent: it would overwrite
    the later one.
    """

    def __init__(self) -> None:
        """Create an empty record."""
        self._newest_ns: dict[str, int] = {}  # by object key
        self._expiries: deque[tuple[float, str, int]] = deque()  # time in ms, object key, arrival

    def __len__(self) -> int:
        """Return the number of remembered keys."""
        return len(self._newest_ns)

    def record(self, object_key: str, arrived_ns: int, now_ms: float, keep_ms: float) -> None:
        """Record an admitted request; requests without an arrival time are ignored.

        :param keep_ms: how long to remember it.
        """
        self._drop_expired(now_ms)
        if arrived_ns and arrived_ns > self._newest_ns.get(object_key, 0):
            self._newest_ns[object_key] = arrived_ns
            self._expiries.append((now_ms + keep_ms, object_key, arrived_ns))

    def is_overtaken(self, object_key: str, arrived_ns: int) -> bool:
        """Return whether a request that arrived later was admitted."""
        return 0 < arrived_ns < self._newest_ns.get(object_key, 0)

    def _drop_expired(self, now_ms: float) -> None:
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, object_key, arrived_ns = self._expiries.popleft()
            if self._newest_ns.get(object_key) == arrived_ns:
                del self._newest_ns[object_key]
