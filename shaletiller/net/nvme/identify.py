"""Properties and Identify data structures that the controllers of the target report.

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
# CRDT1 to CRDT3, in units of 100 ms.  A completion selects one of these three; together they cover the range
# of Retry-After values that the scheduler returns.
RETRY_DELAYS = (1, 3, 10)
RETRY_DELAY_UNIT_MS = 100
MAX_ABORTS = 4  # outstanding Abort commands per association; the target completes each Abort immediately
# Outstanding Asynchronous Event Requests per association; the target reports no events, so a host needs one
# at most.
MAX_EVENT_REQUESTS = 4
KEEP_ALIVE_UNITS = 10  # KAS: granularity of the keep alive timer in units of 100 ms, here 1 s
MIN_PAGE_BYTES = 4096  # CAP.MPSMIN, the unit of MDTS
CAPSULE_UNIT_BYTES = 16  # the unit of IOCCSZ and IORCSZ
IO_CONTROLLER = 1  # CNTRLTYPE
UUID_TYPE, UUID_BYTES = 3, 16  # NIDT and NIDL of a namespace identification descriptor
ENTRY_SIZE_EXPONENTS = (0x66, 0x44)  # SQES and CQES: the minimum and the maximum are both 2^6 and 2^4 bytes
SGLS_SUPPORTED, SGLS_OFFSET_SUPPORTED = 1, 1 << 20  # SGLs are supported, also with an offset into the capsule


def capabilities(queue_depth: int) -> int:
    """Return the property CAP: contiguous queues, ready within 5 s, NVM command set, pages of 4 KiB."""
    return (queue_depth - 1) | 1 << 16 | 10 << 24 | 1 << 37


def retry_delay_number(retry_after_ms: float) -> int:
    """Return the command retry delay (CRD) field for a Retry-After time.

    :returns: the number, from 1, of the first entry of `RETRY_DELAYS` that is at least as long, or the last
        number if none is; 0 if `retry_after_ms` is not above 0.
    """
    if retry_after_ms <= 0:
        return 0
    for number, delay in enumerate(RETRY_DELAYS, start=1):
        if delay * RETRY_DELAY_UNIT_MS >= retry_after_ms:
            return number
    return len(RETRY_DELAYS)


def identify_controller(target: NvmeTargetConfig, controller_id: int) -> bytes:
    """Encode the Identify Controller data structure."""
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
    max_nsid = max((namespace.nsid for namespace in target.namespaces), default=0)
    struct.pack_into("<HI", data, 514, target.queue_depth, max_nsid)  # MAXCMD, NN
    struct.pack_into("<I", data, 536, SGLS_SUPPORTED | SGLS_OFFSET_SUPPORTED)  # SGLS
    data[768 : 768 + len(target.subsystem)] = target.subsystem.encode()  # SUBNQN
    command_capsule_units = (SUBMISSION_ENTRY_BYTES + MAX_IN_CAPSULE_DATA) // CAPSULE_UNIT_BYTES
    response_capsule_units = COMPLETION_ENTRY_BYTES // CAPSULE_UNIT_BYTES
    # IOCCSZ, IORCSZ, ICDOFF, FCATT, MSDBD (one SGL descriptor per command)
    struct.pack_into("<IIHBB", data, 1792, command_capsule_units, response_capsule_units, 0, 0, 1)
    return bytes(data)


def identify_namespace(namespace: NvmeNamespace) -> bytes:
    """Encode the Identify Namespace data structure with the size and the only LBA format."""
    data = bytearray(IDENTIFY_BYTES)
    # NSZE, NCAP, NUSE
    struct.pack_into("<QQQ", data, 0, namespace.blocks, namespace.blocks, namespace.blocks)
    struct.pack_into("<I", data, 128, (namespace.block_bytes.bit_length() - 1) << 16)  # LBAF0.LBADS
    return bytes(data)


def active_namespaces(target: NvmeTargetConfig, after_nsid: int) -> bytes:
    """Encode the list of the namespace identifiers above `after_nsid`, in ascending order."""
    nsids = sorted(namespace.nsid for namespace in target.namespaces if namespace.nsid > after_nsid)
    return struct.pack(f"<{len(nsids)}I", *nsids).ljust(IDENTIFY_BYTES, b"\0")


def namespace_descriptors(namespace: NvmeNamespace) -> bytes:
    """Encode the identification descriptor of a namespace: a UUID formed from its volume and NSID."""
    uuid = bytes.fromhex(namespace.volume) + struct.pack(">Q", namespace.nsid)
    return (struct.pack("<BBH", UUID_TYPE, UUID_BYTES, 0) + uuid).ljust(IDENTIFY_BYTES, b"\0")
