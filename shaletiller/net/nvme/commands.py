"""Encodes and decodes submission queue entries (commands) and completion queue entries.

The layouts follow the NVMe Base and NVM Command Set specifications.  All integers are little-endian.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

SUBMISSION_ENTRY_BYTES = 64
COMPLETION_ENTRY_BYTES = 16
CONNECT_DATA_BYTES = 1024
IDENTIFY_BYTES = 4096
ALL_NAMESPACES = 0xFFFFFFFF
DYNAMIC_CONTROLLER_ID = 0xFFFF  # CNTLID in Connect: the target assigns the controller
FABRICS_OPCODE = 0x7F
SGL_FLAG = 0x40  # PSDT: the data pointer is an SGL descriptor, which NVMe over Fabrics requires
FUSED_MASK = 0x03  # FUSE: nonzero if the command is part of a fused operation
CONNECT_DISABLES_FLOW_CONTROL = 0x04  # bit of CATTR in Connect
COMPLETION_ENTRY = struct.Struct("<QHHHH")  # result, SQHD, SQID, CID, status field


class AdminOpcode(IntEnum):
    """Opcodes of admin commands."""

    GET_LOG_PAGE = 0x02
    IDENTIFY = 0x06
    ABORT = 0x08
    SET_FEATURES = 0x09
    GET_FEATURES = 0x0A
    ASYNC_EVENT_REQUEST = 0x0C
    KEEP_ALIVE = 0x18


class IoOpcode(IntEnum):
    """Opcodes of I/O commands."""

    FLUSH = 0x00
    WRITE = 0x01
    READ = 0x02


class FabricsCommand(IntEnum):
    """Fabrics command types (FCTYPE); all of them share the opcode `FABRICS_OPCODE`."""

    PROPERTY_SET = 0x00
    CONNECT = 0x01
    PROPERTY_GET = 0x04


class Property(IntEnum):
    """Byte offsets of controller properties."""

    CAP = 0x00  # capabilities
    VS = 0x08  # version
    CC = 0x14  # configuration
    CSTS = 0x1C  # status


class Feature(IntEnum):
    """Feature identifiers (FID) of Set Features."""

    NUMBER_OF_QUEUES = 0x07
    KEEP_ALIVE_TIMER = 0x0F
    HOST_BEHAVIOR_SUPPORT = 0x16


class IdentifyTarget(IntEnum):
    """Data structures that Identify returns (CNS)."""

    NAMESPACE = 0x00
    CONTROLLER = 0x01
    ACTIVE_NAMESPACES = 0x02
    NAMESPACE_DESCRIPTORS = 0x03


class SglType(IntEnum):
    """SGL descriptor types, which state where the data of a command is."""

    IN_CAPSULE = 0x01  # data block descriptor with an offset into the capsule
    TRANSPORT = 0x5A  # transport data block descriptor: the data moves by R2T or C2HData


@dataclass(slots=True, frozen=True)
class Command:
    """A submission queue entry."""

    raw: bytes

    @property
    def opcode(self) -> int:
        """Opcode of the admin, I/O or fabrics command."""
        return self.raw[0]

    @property
    def command_id(self) -> int:
        """Command identifier (CID), unique among the outstanding commands of the queue."""
        return self.field("H", 2)

    @property
    def fabrics_type(self) -> int:
        """Fabrics command type (FCTYPE); valid only for fabrics commands."""
        return self.raw[4]

    @property
    def nsid(self) -> int:
        """Namespace identifier (NSID)."""
        return self.field("I", 4)

    @property
    def sgl_length(self) -> int:
        """Length in bytes in the SGL descriptor."""
        return self.field("I", 32)

    @property
    def sgl_type(self) -> int:
        """Type of the SGL descriptor, see `SglType`."""
        return self.raw[39]

    @property
    def first_block(self) -> int:
        """First block of a Read or Write (SLBA)."""
        return self.field("Q", 40)

    @property
    def blocks(self) -> int:
        """Number of blocks of a Read or Write (NLB + 1)."""
        return self.field("H", 48) + 1

    def field(self, format_char: str, offset: int) -> int:
        """Return an integer field of the entry.

        :param format_char: the `struct` format character of the field.
        :param offset: the byte offset from the start of the entry, as in the specification.
        """
        value: int = struct.unpack_from("<" + format_char, self.raw, offset)[0]
        return value


def encode_command(
    opcode: int,
    command_id: int,
    nsid: int = 0,
    *,
    length: int = 0,
    in_capsule: bool = False,
    tail: bytes = b"",
) -> bytes:
    """Encode a submission queue entry.

    :param length: the length of the data in bytes.
    :param in_capsule: whether the capsule carries the data.
    :param tail: the bytes of the entry from CDW10 (byte 40) on.
    """
    sgl_type = SglType.IN_CAPSULE if in_capsule else SglType.TRANSPORT
    start = struct.pack("<BBHI16xQI3xB", opcode, SGL_FLAG, command_id, nsid, 0, length, sgl_type)
    return (start + tail).ljust(SUBMISSION_ENTRY_BYTES, b"\0")


def encode_io_command(
    opcode: IoOpcode,
    command_id: int,
    nsid: int,
    first_block: int,
    blocks: int,
    length: int,
    in_capsule: bool,
) -> bytes:
    """Encode a Read or Write of `blocks` blocks, `length` bytes in all."""
    tail = struct.pack("<QHH", first_block, blocks - 1, 0)
    return encode_command(opcode, command_id, nsid, length=length, in_capsule=in_capsule, tail=tail)


def encode_fabrics_command(kind: FabricsCommand, command_id: int, tail: bytes, length: int = 0) -> bytes:
    """Encode a fabrics command; the capsule carries its data, if any."""
    return encode_command(FABRICS_OPCODE, command_id, kind, length=length, in_capsule=length > 0, tail=tail)


def encode_property_get(command_id: int, offset: Property) -> bytes:
    """Encode a Property Get of 4 bytes."""
    return encode_fabrics_command(FabricsCommand.PROPERTY_GET, command_id, struct.pack("<B3xI", 0, offset))


def encode_property_set(command_id: int, offset: Property, value: int) -> bytes:
    """Encode a Property Set of 4 bytes."""
    return encode_fabrics_command(
        FabricsCommand.PROPERTY_SET, command_id, struct.pack("<B3xIQ", 0, offset, value)
    )


@dataclass(slots=True, frozen=True)
class Completion:
    """A completion queue entry.

    `retry_delay` is the command retry delay (CRD) field: 1 to 3 select CRDT1 to CRDT3 as the delay before the
    host retries, 0 is no delay.
    """

    command_id: int
    status: int
    result: int
    retry_delay: int
    do_not_retry: bool


def encode_completion(
    command_id: int,
    status: int,
    *,
    result: int = 0,
    sq_head: int = 0,
    sq_id: int = 0,
    retry_delay: int = 0,
    do_not_retry: bool = False,
) -> bytes:
    """Encode a completion queue entry."""
    status_field = (status & 0x7FF) << 1 | (retry_delay & 3) << 12 | do_not_retry << 15
    return COMPLETION_ENTRY.pack(result, sq_head, sq_id, command_id, status_field)


def decode_completion(entry: bytes) -> Completion:
    """Decode a completion queue entry."""
    result, _, _, command_id, status_field = COMPLETION_ENTRY.unpack(entry)
    return Completion(
        command_id,
        status_field >> 1 & 0x7FF,
        result,
        status_field >> 12 & 3,
        bool(status_field >> 15),
    )
