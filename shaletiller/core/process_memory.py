"""The memory that this process uses, as the kernel counts it."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

STATM_FILE = Path("/proc/self/statm")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
RESIDENT_FIELD, SHARED_FIELD = 1, 2


class ProcessMemory(NamedTuple):
    """Memory in bytes; both are 0 if the kernel does not tell them.

    :param private: without the pages of files.
    :param resident: with the pages of files, which are mostly code.
    """

    private: int
    resident: int


def read_process_memory() -> ProcessMemory:
    """Read what this process uses now."""
    try:
        fields = STATM_FILE.read_bytes().split()
    except OSError:
        return ProcessMemory(0, 0)
    resident, shared = int(fields[RESIDENT_FIELD]), int(fields[SHARED_FIELD])
    return ProcessMemory((resident - shared) * PAGE_BYTES, resident * PAGE_BYTES)
