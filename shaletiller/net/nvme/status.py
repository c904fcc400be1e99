"""Status codes of completions, from the Status Field of the NVMe Base specification."""

from __future__ import annotations

from enum import IntEnum


class Status(IntEnum):
    """Status code type and status code, as (type << 8) | code."""

    SUCCESS = 0x000
    INVALID_OPCODE = 0x001
    INVALID_FIELD = 0x002
    ID_CONFLICT = 0x003
    DATA_TRANSFER = 0x004
    INTERNAL = 0x006
    ABORTED = 0x007
    INVALID_NAMESPACE = 0x00B
    SEQUENCE = 0x00C
    INVALID_SGL = 0x00D
    INTERRUPTED = 0x021  # Command Interrupted: the host retries after the command retry delay
    LBA_RANGE = 0x080
    NOT_READY = 0x082  # Namespace Not Ready
    CONNECT_FORMAT = 0x180
    CONNECT_BUSY = 0x181
    CONNECT_PARAMETER = 0x182
    CONNECT_HOST = 0x184
    WRITE_FAULT = 0x280
    ANA_INACCESSIBLE = 0x302
    ANA_TRANSITION = 0x303
