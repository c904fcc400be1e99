"""The codec of NVMe/TCP's protocol data units: bytes in, bytes out, no sockets.

After the NVMe TCP Transport and NVMe Base specifications.  Header and data digests are declined in
ICReq/ICResp, so a PDU that carries one is an error.  All numbers are little-endian.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

HEAD = struct.Struct("<BBBBI")  # type, flags, header length, data offset, whole length
IC_BYTES, TERM_BYTES = 128, 24
SQE_BYTES, CQE_BYTES = 64, 16
CONNECT_DATA_BYTES = 1024
IN_CAPSULE = 8192  # data that may come with a command
MOST_H2C = 65536  # data in one H2CData PDU
MOST_TERM_DATA = 128
LAST_PDU, SUCCESS = 0x04, 0x08
DIGESTS = 0x03


class Kind(IntEnum):
    IC_REQ = 0x00
    IC_RESP = 0x01
    H2C_TERM = 0x02
    C2H_TERM = 0x03
    CAPSULE_CMD = 0x04
    CAPSULE_RESP = 0x05
    H2C_DATA = 0x06
    C2H_DATA = 0x07
    R2T = 0x09


HEADER_BYTES = {
    Kind.IC_REQ: IC_BYTES,
    Kind.IC_RESP: IC_BYTES,
    Kind.H2C_TERM: TERM_BYTES,
    Kind.C2H_TERM: TERM_BYTES,
    Kind.CAPSULE_CMD: 8 + SQE_BYTES,
    Kind.CAPSULE_RESP: 8 + CQE_BYTES,
    Kind.H2C_DATA: 24,
    Kind.C2H_DATA: 24,
    Kind.R2T: 24,
}
MOST_DATA = {
    Kind.CAPSULE_CMD: IN_CAPSULE,
    Kind.H2C_DATA: MOST_H2C,
    Kind.C2H_DATA: MOST_H2C,
    Kind.H2C_TERM: MOST_TERM_DATA,
    Kind.C2H_TERM: MOST_TERM_DATA,
}
FROM_HOST = frozenset({Kind.IC_REQ, Kind.H2C_TERM, Kind.CAPSULE_CMD, Kind.H2C_DATA})
FROM_CONTROLLER = frozenset(Kind) - FROM_HOST


class Fatal(IntEnum):
    """Why a side ends the connection (FES of a TermReq)."""

    HEADER_FIELD = 0x01
    SEQUENCE = 0x02
    DIGEST = 0x03
    OUT_OF_RANGE = 0x04
    LIMIT = 0x05
    UNSUPPORTED = 0x06


class PduError(Exception):
    """What came is no PDU that may stand here; `head` is the start of it for the TermReq."""

    def __init__(self, why: Fatal, text: str, offset: int = 0, head: bytes = b"") -> None:
        super().__init__(text)
        self.why, self.offset, self.head = why, offset, head


@dataclass(slots=True, frozen=True)
class Pdu:
    """One unit: `header` is what follows the common header, `data` what it carries."""

    kind: Kind
    flags: int
    header: bytes
    data: bytes = b""

    def field(self, form: str, offset: int) -> int:
        """A number of the header; the offset counts from the unit's start, as in the specification."""
        value: int = struct.unpack_from("<" + form, self.header, offset - 8)[0]
        return value


class Decoder:
    """Cuts a stream of bytes into PDUs.  Bounded: it never waits for more than the largest PDU allowed."""

    def __init__(self, allowed: frozenset[Kind]) -> None:
        self._allowed = allowed
        self._held = bytearray()

    def feed(self, data: bytes) -> None:
        self._held += data

    def take(self) -> Pdu | None:
        """The next whole PDU.  One at a time: an error must not swallow the units before it."""
        if len(self._held) < HEAD.size:
            return None
        length = self._check(bytes(self._held[: HEAD.size]))
        return self._cut(length) if len(self._held) >= length else None

    def _check(self, head: bytes) -> int:
        kind, flags, header_bytes, offset, length = HEAD.unpack(head)
        if kind not in self._allowed:
            known = kind in Kind._value2member_map_
            raise PduError(Fatal.SEQUENCE if known else Fatal.HEADER_FIELD, f"type {kind:#x}", 0, head)
        if header_bytes != HEADER_BYTES[Kind(kind)]:
            raise PduError(Fatal.HEADER_FIELD, f"header length {header_bytes}", 2, head)
        if flags & DIGESTS and kind not in (Kind.IC_REQ, Kind.IC_RESP):
            raise PduError(Fatal.HEADER_FIELD, "a digest that was declined", 1, head)
        carries = length - header_bytes
        # The data offset may leave padding; both ends declined alignment, so 128 bytes are plenty.
        padding = (
            offset - header_bytes
            if carries > 0 and kind in (Kind.CAPSULE_CMD, Kind.H2C_DATA, Kind.C2H_DATA)
            else 0
        )
        if not 0 <= padding <= 128 or padding > max(0, carries):
            raise PduError(Fatal.HEADER_FIELD, f"data offset {offset}", 3, head)
        if carries < 0 or carries - padding > MOST_DATA.get(Kind(kind), 0):
            raise PduError(Fatal.HEADER_FIELD, f"length {length}", 4, head)
        return int(length)

    def _cut(self, length: int) -> Pdu:
        whole = bytes(self._held[:length])
        del self._held[:length]
        kind, flags, header_bytes, offset, _ = HEAD.unpack_from(whole)
        at = (
            max(offset, header_bytes)
            if kind in (Kind.CAPSULE_CMD, Kind.H2C_DATA, Kind.C2H_DATA)
            else (header_bytes)
        )
        return Pdu(Kind(kind), flags, whole[HEAD.size : header_bytes], whole[at:])


def encode(kind: Kind, header: bytes, data: bytes = b"", flags: int = 0) -> bytes:
    """A PDU; the header is padded to its kind's length."""
    header_bytes = HEADER_BYTES[kind]
    offset = header_bytes if data and kind not in (Kind.H2C_TERM, Kind.C2H_TERM) else 0
    head = HEAD.pack(kind, flags, header_bytes, offset, header_bytes + len(data))
    return head + header.ljust(header_bytes - HEAD.size, b"\0") + data


def ic_req() -> bytes:
    """Version 0, no alignment, no digests, one R2T at a time."""
    return encode(Kind.IC_REQ, struct.pack("<HBBI", 0, 0, 0, 0))


def ic_resp() -> bytes:
    """Version 0, no alignment, digests declined."""
    return encode(Kind.IC_RESP, struct.pack("<HBBI", 0, 0, 0, MOST_H2C))


def term_req(kind: Kind, error: PduError) -> bytes:
    header = struct.pack("<HI", error.why, error.offset)
    return encode(kind, header, error.head[:MOST_TERM_DATA])


def data_pdu(kind: Kind, cid: int, ttag: int, offset: int, data: bytes, flags: int = LAST_PDU) -> bytes:
    """H2CData or C2HData."""
    return encode(kind, struct.pack("<HHII", cid, ttag, offset, len(data)), data, flags)


def r2t(cid: int, ttag: int, offset: int, length: int) -> bytes:
    return encode(Kind.R2T, struct.pack("<HHII", cid, ttag, offset, length))


# ---- commands and completions

FABRICS = 0x7F


class Admin(IntEnum):
    GET_LOG_PAGE = 0x02
    IDENTIFY = 0x06
    ABORT = 0x08
    SET_FEATURES = 0x09
    GET_FEATURES = 0x0A
    ASYNC_EVENT = 0x0C
    KEEP_ALIVE = 0x18


class Io(IntEnum):
    FLUSH = 0x00
    WRITE = 0x01
    READ = 0x02


class Fabrics(IntEnum):
    PROPERTY_SET = 0x00
    CONNECT = 0x01
    PROPERTY_GET = 0x04


class Property(IntEnum):
    CAP = 0x00
    VS = 0x08
    CC = 0x14
    CSTS = 0x1C


class Status(IntEnum):
    """Status code type and code, as (type << 8) | code."""

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
    INTERRUPTED = 0x021  # Command Interrupted: to be tried again after the command retry delay
    LBA_RANGE = 0x080
    NOT_READY = 0x082  # Namespace Not Ready
    CONNECT_FORMAT = 0x180
    CONNECT_BUSY = 0x181
    CONNECT_PARAMETER = 0x182
    CONNECT_HOST = 0x184
    WRITE_FAULT = 0x280
    ANA_INACCESSIBLE = 0x302
    ANA_TRANSITION = 0x303


SGL_IN_CAPSULE, SGL_TRANSPORT = 0x01, 0x5A


@dataclass(slots=True, frozen=True)
class Command:
    """A submission queue entry."""

    raw: bytes

    @property
    def opcode(self) -> int:
        return self.raw[0]

    @property
    def cid(self) -> int:
        return self.field("H", 2)

    @property
    def nsid(self) -> int:
        return self.field("I", 4)

    @property
    def sgl_length(self) -> int:
        return self.field("I", 32)

    @property
    def sgl_type(self) -> int:
        return self.raw[39]

    @property
    def lba(self) -> int:
        return self.field("Q", 40)

    @property
    def blocks(self) -> int:
        return self.field("H", 48) + 1

    def field(self, form: str, offset: int) -> int:
        value: int = struct.unpack_from("<" + form, self.raw, offset)[0]
        return value


def command(
    opcode: int,
    cid: int,
    nsid: int = 0,
    *,
    length: int = 0,
    in_capsule: bool = False,
    tail: bytes = b"",
) -> bytes:
    """A submission queue entry; `tail` is what stands from CDW10 on (byte 40)."""
    sgl = SGL_IN_CAPSULE if in_capsule else SGL_TRANSPORT
    front = struct.pack("<BBHI16xQI3xB", opcode, 0x40, cid, nsid, 0, length, sgl)
    return (front + tail).ljust(SQE_BYTES, b"\0")


def io_command(
    opcode: Io,
    cid: int,
    nsid: int,
    lba: int,
    blocks: int,
    length: int,
    in_capsule: bool,
) -> bytes:
    tail = struct.pack("<QHH", lba, blocks - 1, 0)
    return command(opcode, cid, nsid, length=length, in_capsule=in_capsule, tail=tail)


def fabrics(kind: Fabrics, cid: int, tail: bytes, length: int = 0) -> bytes:
    return command(FABRICS, cid, kind, length=length, in_capsule=length > 0, tail=tail)


def connect(cid: int, queue: int, size: int, kato_ms: int, cntlid: int, subsystem: str, host: str) -> bytes:
    """The Connect command's capsule with its data; SQ flow control is switched off."""
    tail = struct.pack("<HHHBxI", 0, queue, size - 1, 0x04, kato_ms)
    entry = fabrics(Fabrics.CONNECT, cid, tail, CONNECT_DATA_BYTES)
    data = struct.pack("<16sH238x256s256s256x", b"\0" * 16, cntlid, subsystem.encode(), host.encode())
    return encode(Kind.CAPSULE_CMD, entry, data)


def completion(
    cid: int,
    status: int,
    *,
    result: int = 0,
    sq_head: int = 0,
    sq_id: int = 0,
    retry: int = 0,
    final: bool = False,
) -> bytes:
    """A CapsuleResp.  `retry` is the command retry delay's number, `final` Do Not Retry."""
    word = (status & 0x7FF) << 1 | (retry & 3) << 12 | final << 15
    return encode(Kind.CAPSULE_RESP, struct.pack("<QHHHH", result, sq_head, sq_id, cid, word))


@dataclass(slots=True, frozen=True)
class Completion:
    """A completion queue entry."""

    cid: int
    status: int
    result: int
    retry: int
    final: bool


def read_completion(pdu: Pdu) -> Completion:
    word = pdu.field("H", 22)
    return Completion(
        pdu.field("H", 20),
        word >> 1 & 0x7FF,
        pdu.field("Q", 8),
        word >> 12 & 3,
        bool(word >> 15),
    )
