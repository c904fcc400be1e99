"""The account of the memory that a process holds for its clients, against one limit.

Each owner of a buffer charges its bytes and releases them again.  The account decides nothing: `is_tight` and
`is_spent` tell the owners when to read no further and when to let go of what they hold.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from enum import StrEnum

BYTES_PER_MB = 1_000_000
# Ratio of the free memory that may be charged; the rest is for what is not charged, and for memory that the
# allocator cannot reuse.
CHARGEABLE_RATIO = 0.65
MIN_LIMIT_BYTES = 512 * 1024  # a process that is over its memory limit at the start still serves
# Ratio of the limit that connections may use, besides what they receive and send.
CONNECTIONS_RATIO = 0.5
# Ratio of the limit from which input is read only as far as small requests need.
TIGHT_RATIO = 0.6
MIN_PIECE_BYTES = 8 * 1024
MAX_PIECE_BYTES = 64 * 1024
PIECES = 1024  # held at the same time, that the limit has to allow
ENDPOINT_BYTES = 800  # approximate private memory of a node of the endpoint list


class MemoryOwner(StrEnum):
    """What charged bytes are used for; the values are names of STATS figures."""

    CONNECTIONS = "connections"
    """Connections to clients and nodes without their buffers."""
    INPUT = "input"
    """Requests that are incomplete, wait behind others on their connection, or have no response yet."""
    RESPONSES = "responses"
    """Responses that nodes are sending or clients have not read."""
    STREAMS = "streams"
    """Responses that are passed on as they come, each with one piece of its body."""
    COMMANDS = "commands"
    """Data of the commands of NVMe hosts."""
    LINKS = "links"
    """Messages that are queued for other gateways."""


class MemoryAccount:
    """Charged bytes by owner, against a limit that may be set later."""

    def __init__(self) -> None:
        self.used = 0
        self.peak = 0
        self.limit_bytes = math.inf
        self._free_bytes = math.inf  # of the memory limit, without the endpoint list
        self._headroom_limit = math.inf  # what may be charged by what the process really uses
        self._max_connections_bytes = math.inf
        self._endpoint_list_bytes = 0
        self.is_tight = False  # whether no more may be read than small requests need
        self._tight_bytes = math.inf
        self._by_owner = dict.fromkeys(MemoryOwner, 0)
        self._let_go: Counter[str] = Counter()  # by reason
        self._on_relief: Callable[[], None] = lambda: None

    def set_limit(self, memory_mb: float, used_bytes: int) -> None:
        """Set the limit to the chargeable part of what is free.

        :param memory_mb: memory limit of the process.
        :param used_bytes: what the process uses without any client.
        """
        self._free_bytes = memory_mb * BYTES_PER_MB - used_bytes + self._endpoint_list_bytes
        self._update_limit()

    def set_listed_endpoints(self, count: int) -> None:
        """Leave to clients what an endpoint list of this length does not take."""
        self._endpoint_list_bytes = count * ENDPOINT_BYTES
        self._update_limit()

    def set_headroom(self, headroom_bytes: float) -> None:
        """Limit what may be charged from now on by what the process has really left."""
        self._headroom_limit = self.used + headroom_bytes
        self._update_limit()

    def _update_limit(self) -> None:
        free_bytes = self._free_bytes - self._endpoint_list_bytes
        chargeable_bytes = max(MIN_LIMIT_BYTES, free_bytes * CHARGEABLE_RATIO)
        self._max_connections_bytes = CONNECTIONS_RATIO * chargeable_bytes
        self.limit_bytes = max(MIN_LIMIT_BYTES, min(chargeable_bytes, self._headroom_limit))
        self._tight_bytes = self.limit_bytes * TIGHT_RATIO
        was_tight, self.is_tight = self.is_tight, self.used >= self._tight_bytes
        if was_tight and not self.is_tight:
            self._on_relief()

    def on_relief(self, callback: Callable[[], None]) -> None:
        """Call `callback` each time that memory is released while it was tight."""
        self._on_relief = callback

    @property
    def is_spent(self) -> bool:
        """Whether something has to be let go."""
        return self.used >= self.limit_bytes

    @property
    def has_too_many_connections(self) -> bool:
        """Whether a connection has to end before another one begins."""
        return self.is_spent or self._by_owner[MemoryOwner.CONNECTIONS] >= self._max_connections_bytes

    @property
    def excess_bytes(self) -> float:
        """How much has to be released until memory is no longer tight."""
        return self.used - self._tight_bytes

    @property
    def piece_bytes(self) -> int:
        """How much of a long body to hold at once: small if hundreds of them would use up the limit."""
        return int(max(MIN_PIECE_BYTES, min(MAX_PIECE_BYTES, self.limit_bytes / PIECES)))

    @property
    def free_bytes(self) -> float:
        """The bytes that may still be charged."""
        return max(0.0, self.limit_bytes - self.used)

    def charge(self, owner: MemoryOwner, cost: int) -> None:
        """Charge memory that an owner uses from now on; a negative cost releases it."""
        was_tight = cost < 0 and self.is_tight
        self.used += cost
        self.is_tight = self.used >= self._tight_bytes
        self._by_owner[owner] += cost
        if self.used > self.peak:
            self.peak = self.used
        if was_tight:
            self._on_relief()

    def count_release(self, reason: str) -> None:
        """Count that something was let go to free memory."""
        self._let_go[reason] += 1

    def stats(self) -> dict[str, int]:
        """Return figures for STATS; none while there is no limit."""
        if math.isinf(self.limit_bytes):
            return {}
        figures = {
            "memory.limit": int(self.limit_bytes),
            "memory.used": self.used,
            "memory.peak": self.peak,
        }
        figures |= {f"memory.{owner}": size for owner, size in self._by_owner.items()}
        return figures | {f"memory.let_go.{reason}": count for reason, count in self._let_go.items()}
