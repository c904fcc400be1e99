"""What the controller says of itself: properties and Identify data."""

from __future__ import annotations

import struct

from shaletiller.config import NvmeNamespace, NvmeTargetConfig
from shaletiller.config.nvme import MAX_TRANSFER_BYTES
from shaletiller.net.nvme.pdu import CQE_BYTES, IN_CAPSULE, SQE_BYTES

IDENTIFY_BYTES = 4096
VERSION = 0x00010400
RETRY_DELAYS = (1, 3, 10)  # CRDT1 to CRDT3, in units of 100 ms
MOST_ABORTS = 4
MOST_EVENTS = 4


def capabilities(queue_depth: int) -> int:
    """CAP: contiguous queues, ready within 5 s, the NVM command set, pages of 4 KiB."""
    return (queue_depth - 1) | 1 << 16 | 10 << 24 | 1 << 37


def retry_number(retry_after_ms: float) -> int:
    """The first retry delay that is long enough, 0 where none is asked for."""
    if retry_after_ms <= 0:
        return 0
    fits = [number for number, delay in enumerate(RETRY_DELAYS, start=1) if delay * 100 >= retry_after_ms]
    return fits[0] if fits else len(RETRY_DELAYS)


def controller(front: NvmeTargetConfig, cntlid: int) -> bytes:
    data = bytearray(IDENTIFY_BYTES)
    data[4:24] = b"shaletiller".ljust(20)
    data[24:64] = b"shaletiller gateway".ljust(40)
    data[64:72] = b"1".ljust(8)
    data[77] = (MAX_TRANSFER_BYTES // 4096).bit_length() - 1  # MDTS
    struct.pack_into("<HI", data, 78, cntlid, VERSION)
    data[111] = 1  # an I/O controller
    struct.pack_into("<HHH", data, 128, *RETRY_DELAYS)
    data[258], data[259] = MOST_ABORTS - 1, MOST_EVENTS - 1
    struct.pack_into("<H", data, 320, 10)  # keep alive counts in steps of 1 s
    data[512], data[513] = 0x66, 0x44
    struct.pack_into("<HI", data, 514, front.queue_depth, max([0, *(s.nsid for s in front.namespaces)]))
    struct.pack_into("<I", data, 536, 1 | 1 << 20)  # SGLs, with an offset into the capsule
    data[768 : 768 + len(front.subsystem)] = front.subsystem.encode()
    capsule = (SQE_BYTES + IN_CAPSULE) // 16
    struct.pack_into("<IIHBB", data, 1792, capsule, CQE_BYTES // 16, 0, 0, 1)
    return bytes(data)


def namespace(space: NvmeNamespace) -> bytes:
    data = bytearray(IDENTIFY_BYTES)
    struct.pack_into("<QQQ", data, 0, space.blocks, space.blocks, space.blocks)
    struct.pack_into("<I", data, 128, (space.block_bytes.bit_length() - 1) << 16)
    return bytes(data)


def active_list(front: NvmeTargetConfig, after: int) -> bytes:
    known = sorted(space.nsid for space in front.namespaces if space.nsid > after)
    return struct.pack(f"<{len(known)}I", *known).ljust(IDENTIFY_BYTES, b"\0")


def descriptors(space: NvmeNamespace) -> bytes:
    """The namespace's identifier: a UUID made of its volume and number."""
    unique = bytes.fromhex(space.volume) + struct.pack(">Q", space.nsid)
    return (struct.pack("<BBH", 3, 16, 0) + unique).ljust(IDENTIFY_BYTES, b"\0")
