"""What the target's controllers report of themselves: properties and Identify data structures.

The offsets are those of the Identify data structures in the NVMe Base and NVM Command Set specifications.
"""

from __future__ import annotations

import struct

from shaletiller.config import NvmeNamespace, NvmeTargetConfig
from shaletiller.config.nvme import MAX_TRANSFER_BYTES
from shaletiller.net.nvme.commands import COMPLETION_ENTRY_BYTES, IDENTIFY_BYTES, SUBMISSION_ENTRY_BYTES
from shaletiller.net.nvme.pdu import MAX_IN_CAPSULE_DATA

VERSION = 0x00010400  # 1.4
SERIAL_NUMBER = b"shaletiller"
MODEL_NUMBER = b"shaletiller gateway"
FIRMWARE_REVISION = b"1"
# CRDT1 to CRDT3, in units of 100 ms.  Empirical: a host chooses among these three, and they cover
# the range of Retry-After that the scheduler advises.
RETRY_DELAYS = (1, 3, 10)
RETRY_DELAY_UNIT_MS = 100
MAX_ABORTS = 4  # outstanding Abort commands of an association; all complete immediately here
# Outstanding Asynchronous Event Requests of an association; no event is reported, a host needs one at most.
MAX_EVENT_REQUESTS = 4
KEEP_ALIVE_UNITS = 10  # KAS: the keep alive timer counts in steps of 1 s, as 10 times 100 ms
MIN_PAGE_BYTES = 4096  # CAP.MPSMIN, the unit of MDTS
CAPSULE_UNIT_BYTES = 16  # of IOCCSZ and IORCSZ
IO_CONTROLLER = 1
UUID_TYPE, UUID_BYTES = 3, 16  # of a namespace identification descriptor
ENTRY_SIZE_EXPONENTS = (0x66, 0x44)  # SQES and CQES: 2^6 and 2^4 bytes at least and at most
SGLS_SUPPORTED, SGLS_OFFSET = 1, 1 << 20  # SGLs are supported, with an offset into the capsule


def capabilities(queue_depth: int) -> int:
    """CAP: contiguous queues, ready within 5 s, the NVM command set, pages of 4 KiB."""
    return (queue_depth - 1) | 1 << 16 | 10 << 24 | 1 << 37


def retry_delay_number(retry_after_ms: float) -> int:
    """The number of the first retry delay that is long enough, 0 where no wait is advised."""
    if retry_after_ms <= 0:
        return 0
    for number, delay in enumerate(RETRY_DELAYS, start=1):
        if delay * RETRY_DELAY_UNIT_MS >= retry_after_ms:
            return number
    return len(RETRY_DELAYS)


def identify_controller(target: NvmeTargetConfig, controller_id: int) -> bytes:
    """The Identify Controller data structure."""
    data = bytearray(IDENTIFY_BYTES)
    data[4:24] = SERIAL_NUMBER.ljust(20)
    data[24:64] = MODEL_NUMBER.ljust(40)
    data[64:72] = FIRMWARE_REVISION.ljust(8)
    data[77] = (MAX_TRANSFER_BYTES // MIN_PAGE_BYTES).bit_length() - 1  # MDTS
    struct.pack_into("<HI", data, 78, controller_id, VERSION)  # CNTLID, VER
    data[111] = IO_CONTROLLER  # CNTRLTYPE
    struct.pack_into("<HHH", data, 128, *RETRY_DELAYS)  # CRDT1 to CRDT3
    data[258], data[259] = MAX_ABORTS - 1, MAX_EVENT_REQUESTS - 1  # ACL, AERL
    struct.pack_into("<H", data, 320, KEEP_ALIVE_UNITS)  # KAS
    data[512], data[513] = ENTRY_SIZE_EXPONENTS
    max_nsid = max((space.nsid for space in target.namespaces), default=0)
    struct.pack_into("<HI", data, 514, target.queue_depth, max_nsid)  # MAXCMD, NN
    struct.pack_into("<I", data, 536, SGLS_SUPPORTED | SGLS_OFFSET)  # SGLS
    data[768 : 768 + len(target.subsystem)] = target.subsystem.encode()  # SUBNQN
    command_capsule_units = (SUBMISSION_ENTRY_BYTES + MAX_IN_CAPSULE_DATA) // CAPSULE_UNIT_BYTES
    response_capsule_units = COMPLETION_ENTRY_BYTES // CAPSULE_UNIT_BYTES
    # IOCCSZ, IORCSZ, ICDOFF, FCATT, MSDBD: one SGL descriptor a command
    struct.pack_into("<IIHBB", data, 1792, command_capsule_units, response_capsule_units, 0, 0, 1)
    return bytes(data)


def identify_namespace(space: NvmeNamespace) -> bytes:
    """The Identify Namespace data structure: its size and its one block format."""
    data = bytearray(IDENTIFY_BYTES)
    struct.pack_into("<QQQ", data, 0, space.blocks, space.blocks, space.blocks)  # NSZE, NCAP, NUSE
    struct.pack_into("<I", data, 128, (space.block_bytes.bit_length() - 1) << 16)  # LBAF0.LBADS
    return bytes(data)


def active_namespaces(target: NvmeTargetConfig, after_nsid: int) -> bytes:
    """The list of the namespaces whose ids are greater than `after_nsid`."""
    nsids = sorted(space.nsid for space in target.namespaces if space.nsid > after_nsid)
    return struct.pack(f"<{len(nsids)}I", *nsids).ljust(IDENTIFY_BYTES, b"\0")


def namespace_descriptors(space: NvmeNamespace) -> bytes:
    """The namespace's one identification descriptor: a UUID made of its volume and its id."""
    uuid = bytes.fromhex(space.volume) + struct.pack(">Q", space.nsid)
    return (struct.pack("<BBH", UUID_TYPE, UUID_BYTES, 0) + uuid).ljust(IDENTIFY_BYTES, b"\0")
