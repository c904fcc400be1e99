"""The C library's allocator: memory which is free returns to the system."""

from __future__ import annotations

import contextlib
import ctypes
import gc
import logging

logger = logging.getLogger(__name__)

M_TRIM_THRESHOLD = -1  # <malloc.h>
M_MMAP_THRESHOLD = -3
# Larger blocks are mapped one by one, and returned at once when they are freed.
MMAP_THRESHOLD_BYTES = 48 * 1024
TRIM_THRESHOLD_BYTES = 128 * 1024


def return_freed_memory() -> None:
    """Let the allocator return freed memory; it would otherwise raise its thresholds to the largest buffers.

    Memory would then stay at the peak of a past load, and the next one would begin from there.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        logger.info("the C library has no mallopt: its allocator may keep freed memory")
        return
    mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)


def release_free_memory() -> None:
    """Collect garbage, and return the free pages of the heap to the system, also between blocks in use."""
    gc.collect()
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).malloc_trim(0)
