"""Commands and completions: the entries of submission and completion queues.

After the NVMe Base and NVM Command Set specifications.  All numbers are little-endian.
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
DYNAMIC_CONTROLLER_ID = 0xFFFF  # in Connect: the target chooses the controller
FABRICS_OPCODE = 0x7F
SGL_FLAG = 0x40  # PSDT: the data pointer is an SGL descriptor, as it must be over a fabric
FUSED_MASK = 0x03  # FUSE: the command belongs to a fused operation
CONNECT_DISABLES_FLOW_CONTROL = 0x04  # CATTR of Connect
COMPLETION_ENTRY = struct.Struct("<QHHHH")  # result, SQ head, SQ id, command id, status with its flags


class AdminOpcode(IntEnum):
    """Commands of the admin queue."""

    GET_LOG_PAGE = 0x02
    IDENTIFY = 0x06
    ABORT = 0x08
    SET_FEATURES = 0x09
    GET_FEATURES = 0x0A
    ASYNC_EVENT_REQUEST = 0x0C
    KEEP_ALIVE = 0x18


class IoOpcode(IntEnum):
    """Commands of an I/O queue."""

    FLUSH = 0x00
    WRITE = 0x01
    READ = 0x02


class FabricsCommand(IntEnum):
    """Fabrics command types (FCTYPE), under the one opcode `FABRICS_OPCODE`."""

    PROPERTY_SET = 0x00
    CONNECT = 0x01
    PROPERTY_GET = 0x04


class Property(IntEnum):
    """Offsets of a controller's properties."""

    CAP = 0x00  # capabilities
    VS = 0x08  # version
    CC = 0x14  # configuration
    CSTS = 0x1C  # status


class Feature(IntEnum):
    """Features that Set Features changes (FID)."""

    NUMBER_OF_QUEUES = 0x07
    KEEP_ALIVE_TIMER = 0x0F
    HOST_BEHAVIOR_SUPPORT = 0x16


class IdentifyTarget(IntEnum):
    """What Identify returns (CNS)."""

    NAMESPACE = 0x00
    CONTROLLER = 0x01
    ACTIVE_NAMESPACES = 0x02
    NAMESPACE_DESCRIPTORS = 0x03


class SglType(IntEnum):
    """Types of the SGL descriptor: where a command's data is."""

    IN_CAPSULE = 0x01  # data block at an offset in the capsule
    TRANSPORT = 0x5A  # transport data block: R2T or C2HData follow


@dataclass(slots=True, frozen=True)
class Command:
    """A submission queue entry."""

    raw: bytes

    @property
    def opcode(self) -> int:
        """Its opcode, of the admin, I/O or fabrics commands."""
        return self.raw[0]

    @property
    def command_id(self) -> int:
        """Its identifier (CID), unique among the queue's outstanding commands."""
        return self.field("H", 2)

    @property
    def fabrics_type(self) -> int:
        """The type of a fabrics command."""
        return self.raw[4]

    @property
    def nsid(self) -> int:
        """The namespace."""
        return self.field("I", 4)

    @property
    def sgl_length(self) -> int:
        """The length of its data in bytes."""
        return self.field("I", 32)

    @property
    def sgl_type(self) -> int:
        """Where its data is, see `SglType`."""
        return self.raw[39]

    @property
    def first_block(self) -> int:
        """The first block of a Read or Write (SLBA)."""
        return self.field("Q", 40)

    @property
    def blocks(self) -> int:
        """The number of blocks of a Read or Write."""
        return self.field("H", 48) + 1

    def field(self, form: str, offset: int) -> int:
        """A number of the entry.

        :param form: its `struct` format character.
        :param offset: in bytes from the entry's start, as in the specification.
        """
        value: int = struct.unpack_from("<" + form, self.raw, offset)[0]
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

    :param length: of the data, in bytes.
    :param in_capsule: whether the data follows in the capsule.
    :param tail: the entry from CDW10 (byte 40) on.
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
    """Encode a Read or Write of `blocks` blocks and `length` bytes."""
    tail = struct.pack("<QHH", first_block, blocks - 1, 0)
    return encode_command(opcode, command_id, nsid, length=length, in_capsule=in_capsule, tail=tail)


def encode_fabrics_command(kind: FabricsCommand, command_id: int, tail: bytes, length: int = 0) -> bytes:
    """Encode a fabrics command; its data, if any, is in the capsule."""
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

    `retry_delay` is the number of the command retry delay (CRD) after which the host may retry, 0 for none.
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
