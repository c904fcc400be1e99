"""The codec of NVMe/TCP's protocol data units (PDUs): bytes in, bytes out, no sockets.

After the NVMe TCP Transport specification.  Header and data digests are declined in ICReq and ICResp, so a
PDU that carries one is an error.  All numbers are little-endian.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from shaletiller.net.nvme.commands import COMPLETION_ENTRY_BYTES, SUBMISSION_ENTRY_BYTES
from shaletiller.net.nvme.errors import FatalErrorStatus, PduError

COMMON_HEADER = struct.Struct("<BBBBI")  # type, flags, header length, data offset, PDU length
MAX_IN_CAPSULE_DATA = 8192  # bytes of data that may come with a command; more waits for an R2T
MAX_H2C_DATA = 65536  # bytes of one H2CData or C2HData PDU: the data of the largest command
MAX_TERM_REQ_DATA = 128  # bytes of the faulty PDU that a TermReq returns, by the specification
MAX_PADDING = 128  # bytes before the data; both ends decline alignment, so little is needed
FLAG_LAST_PDU = 0x04
FLAG_SUCCESS = 0x08  # of C2HData: the command succeeded, and no completion follows
DIGEST_FLAGS = 0x03  # the PDU carries a header or data digest


class PduType(IntEnum):
    """PDU types; H2C is from the host to the controller, C2H the reverse."""

    IC_REQ = 0x00
    IC_RESP = 0x01
    H2C_TERM_REQ = 0x02
    C2H_TERM_REQ = 0x03
    COMMAND_CAPSULE = 0x04
    RESPONSE_CAPSULE = 0x05
    H2C_DATA = 0x06
    C2H_DATA = 0x07
    R2T = 0x09


HEADER_BYTES = {
    PduType.IC_REQ: 128,
    PduType.IC_RESP: 128,
    PduType.H2C_TERM_REQ: 24,
    PduType.C2H_TERM_REQ: 24,
    PduType.COMMAND_CAPSULE: COMMON_HEADER.size + SUBMISSION_ENTRY_BYTES,
    PduType.RESPONSE_CAPSULE: COMMON_HEADER.size + COMPLETION_ENTRY_BYTES,
    PduType.H2C_DATA: 24,
    PduType.C2H_DATA: 24,
    PduType.R2T: 24,
}
MAX_DATA_BYTES = {
    PduType.COMMAND_CAPSULE: MAX_IN_CAPSULE_DATA,
    PduType.H2C_DATA: MAX_H2C_DATA,
    PduType.C2H_DATA: MAX_H2C_DATA,
    PduType.H2C_TERM_REQ: MAX_TERM_REQ_DATA,
    PduType.C2H_TERM_REQ: MAX_TERM_REQ_DATA,
}
# The types whose data begins at the data offset of their header, perhaps after padding.
WITH_DATA_OFFSET = frozenset({PduType.COMMAND_CAPSULE, PduType.H2C_DATA, PduType.C2H_DATA})
IC_TYPES = frozenset({PduType.IC_REQ, PduType.IC_RESP})
TERM_REQ_TYPES = frozenset({PduType.H2C_TERM_REQ, PduType.C2H_TERM_REQ})
FROM_HOST = frozenset({PduType.IC_REQ, PduType.H2C_TERM_REQ, PduType.COMMAND_CAPSULE, PduType.H2C_DATA})
FROM_CONTROLLER = frozenset(PduType) - FROM_HOST


@dataclass(slots=True, frozen=True)
class Pdu:
    """A PDU: `header` is what follows the common header, `data` what it carries."""

    type: PduType
    flags: int
    header: bytes
    data: bytes = b""

    def field(self, form: str, offset: int) -> int:
        """A number of the header.

        :param form: its `struct` format character.
        :param offset: in bytes from the PDU's start, as in the specification.
        """
        value: int = struct.unpack_from("<" + form, self.header, offset - COMMON_HEADER.size)[0]
        return value


class PduDecoder:
    """Cuts a stream of bytes into PDUs; it buffers no more than the largest allowed PDU and one read.

    :param allowed: the types that the peer may send.
    """

    def __init__(self, allowed: frozenset[PduType]) -> None:
        self._allowed = allowed
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self._buffer += data

    def next_pdu(self) -> Pdu | None:
        """The next complete PDU, None where bytes are missing.

        One at a time: an error must not hide the PDUs before it.

        :raises PduError: where the bytes are no allowed PDU.
        """
        if len(self._buffer) < COMMON_HEADER.size:
            return None
        length = self._check_header(bytes(self._buffer[: COMMON_HEADER.size]))
        return self._cut(length) if len(self._buffer) >= length else None

    def _check_header(self, header: bytes) -> int:
        """Check a common header.

        :returns: the PDU's length in bytes.
        """
        raw_type, flags, header_bytes, data_offset, length = COMMON_HEADER.unpack(header)
        pdu_type = self._check_type(raw_type, header)
        if header_bytes != HEADER_BYTES[pdu_type]:
            raise _header_error(f"header length {header_bytes}", 2, header)
        if flags & DIGEST_FLAGS and pdu_type not in IC_TYPES:
            raise _header_error("a digest that was declined", 1, header)
        carried = length - header_bytes
        padding = data_offset - header_bytes if carried > 0 and pdu_type in WITH_DATA_OFFSET else 0
        if not 0 <= padding <= MAX_PADDING or padding > max(0, carried):
            raise _header_error(f"data offset {data_offset}", 3, header)
        if carried < 0 or carried - padding > MAX_DATA_BYTES.get(pdu_type, 0):
            raise _header_error(f"length {length}", 4, header)
        return int(length)

    def _check_type(self, raw_type: int, header: bytes) -> PduType:
        if raw_type in self._allowed:
            return PduType(raw_type)
        if raw_type in PduType._value2member_map_:
            raise PduError(FatalErrorStatus.SEQUENCE_ERROR, f"type {raw_type:#x}", 0, header)
        raise _header_error(f"type {raw_type:#x}", 0, header)

    def _cut(self, length: int) -> Pdu:
        """Take a complete PDU from the buffer."""
        raw = bytes(self._buffer[:length])
        del self._buffer[:length]
        raw_type, flags, header_bytes, data_offset, _ = COMMON_HEADER.unpack_from(raw)
        pdu_type = PduType(raw_type)
        data_start = max(data_offset, header_bytes) if pdu_type in WITH_DATA_OFFSET else header_bytes
        return Pdu(pdu_type, flags, raw[COMMON_HEADER.size : header_bytes], raw[data_start:])


def _header_error(message: str, offset: int, header: bytes) -> PduError:
    return PduError(FatalErrorStatus.INVALID_HEADER_FIELD, message, offset, header)


def encode_pdu(pdu_type: PduType, header: bytes, data: bytes = b"", flags: int = 0) -> bytes:
    """Encode a PDU.

    :param header: what follows the common header; it is padded to its type's length.
    """
    header_bytes = HEADER_BYTES[pdu_type]
    data_offset = header_bytes if data and pdu_type not in TERM_REQ_TYPES else 0
    common = COMMON_HEADER.pack(pdu_type, flags, header_bytes, data_offset, header_bytes + len(data))
    return common + header.ljust(header_bytes - COMMON_HEADER.size, b"\0") + data


def ic_req() -> bytes:
    """ICReq: PDU format version 0, no alignment, no digests, one R2T at a time."""
    return encode_pdu(PduType.IC_REQ, struct.pack("<HBBI", 0, 0, 0, 0))


def ic_resp() -> bytes:
    """ICResp: PDU format version 0, no alignment, digests declined."""
    return encode_pdu(PduType.IC_RESP, struct.pack("<HBBI", 0, 0, 0, MAX_H2C_DATA))


def term_req(pdu_type: PduType, error: PduError) -> bytes:
    """H2CTermReq or C2HTermReq: the reason why the connection ends, and the faulty header."""
    header = struct.pack("<HI", error.status, error.offset)
    return encode_pdu(pdu_type, header, error.header[:MAX_TERM_REQ_DATA])


def data_pdu(
    pdu_type: PduType,
    command_id: int,
    transfer_tag: int,
    offset: int,
    data: bytes,
    flags: int = FLAG_LAST_PDU,
) -> bytes:
    """H2CData or C2HData.

    :param transfer_tag: of the R2T that requested an H2CData (TTAG); 0 in a C2HData.
    :param offset: of the data in the command's data, in bytes.
    """
    header = struct.pack("<HHII", command_id, transfer_tag, offset, len(data))
    return encode_pdu(pdu_type, header, data, flags)


def r2t(command_id: int, transfer_tag: int, offset: int, length: int) -> bytes:
    """R2T: the controller is ready to receive so many bytes of the command's data."""
    return encode_pdu(PduType.R2T, struct.pack("<HHII", command_id, transfer_tag, offset, length))
