"""Keeps the process within its memory limit by what it really uses, whatever the account has not charged.

The account is a sum of estimates.  The guard reads the memory of the process several times a second, lets the
account charge only what is really left, and returns memory that is free but still held by the allocator.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from shaletiller.allocator import release_free_memory
from shaletiller.clock import Clock, Timer
from shaletiller.core.memory_account import BYTES_PER_MB, MemoryAccount
from shaletiller.core.process_memory import ProcessMemory, read_process_memory

logger = logging.getLogger(__name__)

CHECK_INTERVAL_MS = 25.0
IDLE_CHECK_INTERVAL_MS = 200.0  # while clients hold less than IDLE_RATIO of what they may
IDLE_RATIO = 0.1
# Ratio of the limit that is left free for what is used between two checks.
RESERVE_RATIO = 0.06
# The limit counts for the resident memory, with the pages of files, if this ratio of it is free at the start.
MIN_RESIDENT_ROOM_RATIO = 0.25
# Ratio of the limit that the allocator may keep as free memory before it is returned.
RETAINED_RATIO = 0.1
# Ratio of the limit from which free memory is returned whatever little the allocator keeps.
SCARCE_RATIO = 0.15
# Time between two returns of free memory.  Those that return little become rarer.
MIN_RELEASE_INTERVAL_MS = 250.0
ROOMY_RELEASE_INTERVAL_MS = 1000.0  # while memory is not scarce
MAX_RELEASE_INTERVAL_MS = 16_000.0
MIN_RELEASED_BYTES = BYTES_PER_MB
# Ratio of the limit that may be charged between two checks while as much is left, although it is of the
# reserve: what clients hold is released only as their requests go on, and they may use free memory that
# Python's allocator does not return.
MIN_CHARGE_RATIO = 0.03


class MemoryGuard:
    """Compares the memory of the process with its limit at fixed intervals.

    :param read: reads the memory of the process.
    :param release: returns free memory to the system.
    """

    def __init__(
        self,
        account: MemoryAccount,
        clock: Clock,
        read: Callable[[], ProcessMemory] = read_process_memory,
        release: Callable[[], None] = release_free_memory,
    ) -> None:
        self._account = account
        self._clock = clock
        self._read = read
        self._release = release
        self._limit_bytes = math.inf
        self._counts_resident = False
        self._idle = self._latest = ProcessMemory(0, 0)
        self._peak = ProcessMemory(0, 0)
        self._release_interval_ms = MIN_RELEASE_INTERVAL_MS
        self._released_ms = -math.inf
        self._releases = 0
        self._is_scarce = False
        self._timer: Timer | None = None

    def start(self, memory_mb: float) -> None:
        """Set the limit, and begin to check; called before there are clients."""
        self._release()
        self._limit_bytes = memory_mb * BYTES_PER_MB
        self._idle = self._read()
        resident_room = self._limit_bytes - self._idle.resident
        self._counts_resident = resident_room >= MIN_RESIDENT_ROOM_RATIO * self._limit_bytes
        self._account.set_limit(memory_mb, self._used(self._idle))
        logger.info(
            "memory: %.1f MB private and %.1f MB resident of %.0f MB used, %.1f MB for clients",
            self._idle.private / BYTES_PER_MB,
            self._idle.resident / BYTES_PER_MB,
            memory_mb,
            self._account.limit_bytes / BYTES_PER_MB,
        )
        self._check_regularly()

    def stop(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()

    def _used(self, memory: ProcessMemory) -> int:
        return memory.resident if self._counts_resident else memory.private

    def _check_regularly(self) -> None:
        self.check()
        is_idle = self._account.used < IDLE_RATIO * self._account.limit_bytes and not self._is_scarce
        interval_ms = IDLE_CHECK_INTERVAL_MS if is_idle else CHECK_INTERVAL_MS
        self._timer = self._clock.call_later(interval_ms, self._check_regularly)

    def check(self) -> None:
        """Let the account charge what is left, and return free memory if little is left."""
        memory = self._read()
        if not memory.private:
            return
        headroom = self._headroom(memory)
        if self._should_release(memory, headroom):
            memory = self._release_free(memory)
            headroom = self._headroom(memory)
        least = MIN_CHARGE_RATIO * self._limit_bytes
        if self._used(memory) <= self._limit_bytes - least:
            headroom = max(headroom, least)
        self._latest = memory
        self._peak = ProcessMemory(*map(max, self._peak, memory))
        self._account.set_headroom(headroom)
        self._log_scarcity(memory, headroom)

    def _headroom(self, memory: ProcessMemory) -> float:
        return (1 - RESERVE_RATIO) * self._limit_bytes - self._used(memory)

    def _should_release(self, memory: ProcessMemory, headroom: float) -> bool:
        retained = memory.private - self._idle.private - self._account.used
        waited_ms = self._clock.now_ms() - self._released_ms
        if headroom < SCARCE_RATIO * self._limit_bytes:
            return retained > 0 and waited_ms >= self._release_interval_ms
        interval_ms = max(ROOMY_RELEASE_INTERVAL_MS, self._release_interval_ms)
        return retained >= RETAINED_RATIO * self._limit_bytes and waited_ms >= interval_ms

    def _release_free(self, before: ProcessMemory) -> ProcessMemory:
        self._release()
        self._releases += 1
        memory = self._read()
        self._released_ms = self._clock.now_ms()
        if before.private - memory.private >= MIN_RELEASED_BYTES:
            self._release_interval_ms = MIN_RELEASE_INTERVAL_MS
        else:
            self._release_interval_ms = min(MAX_RELEASE_INTERVAL_MS, 2 * self._release_interval_ms)
        return memory

    def _log_scarcity(self, memory: ProcessMemory, headroom: float) -> None:
        was_scarce, self._is_scarce = self._is_scarce, headroom <= 0
        if self._is_scarce and not was_scarce:
            logger.warning(
                "memory is scarce: %.1f MB private, %.1f MB resident, %.1f MB of it charged to clients",
                memory.private / BYTES_PER_MB,
                memory.resident / BYTES_PER_MB,
                self._account.used / BYTES_PER_MB,
            )

    def stats(self) -> dict[str, int]:
        """Return figures for STATS; none while there is no limit."""
        if math.isinf(self._limit_bytes):
            return {}
        return {
            "memory.private": self._latest.private,
            "memory.resident": self._latest.resident,
            "memory.peak_private": self._peak.private,
            "memory.peak_resident": self._peak.resident,
            "memory.releases": self._releases,
        }
