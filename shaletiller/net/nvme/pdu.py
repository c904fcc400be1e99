"""Encodes and decodes NVMe/TCP protocol data units (PDUs), without any I/O.

The layouts follow the NVMe TCP Transport specification.  ICReq and ICResp decline header and data digests, so
a PDU that carries a digest is an error.  All integers are little-endian.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from shaletiller.net.nvme.commands import COMPLETION_ENTRY_BYTES, SUBMISSION_ENTRY_BYTES
from shaletiller.net.nvme.errors import FatalErrorStatus, PduError

COMMON_HEADER = struct.Struct("<BBBBI")  # type, flags, header length, data offset, PDU length
MAX_IN_CAPSULE_DATA = 8192  # bytes; a command capsule carries no more data, larger writes wait for an R2T
MAX_H2C_DATA = 65536  # bytes in one H2CData or C2HData PDU; fits the data of the largest command
MAX_TERM_REQ_DATA = 128  # bytes of the faulty PDU in a TermReq; the limit of the specification
MAX_PADDING = 128  # bytes before the data; no data alignment is negotiated, so little padding is needed
FLAG_LAST_PDU = 0x04
FLAG_SUCCESS = 0x08  # in C2HData: the command succeeded, and no response capsule follows
DIGEST_FLAGS = 0x03  # HDGSTF and DDGSTF: the PDU carries a header or data digest


class PduType(IntEnum):
    """PDU types; H2C PDUs go from the host to the controller, C2H PDUs from the controller to the host."""

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
# PDU types whose data starts at the data offset (PDO) of the header, possibly after padding.
DATA_OFFSET_TYPES = frozenset({PduType.COMMAND_CAPSULE, PduType.H2C_DATA, PduType.C2H_DATA})
IC_TYPES = frozenset({PduType.IC_REQ, PduType.IC_RESP})
TERM_REQ_TYPES = frozenset({PduType.H2C_TERM_REQ, PduType.C2H_TERM_REQ})
FROM_HOST = frozenset({PduType.IC_REQ, PduType.H2C_TERM_REQ, PduType.COMMAND_CAPSULE, PduType.H2C_DATA})
FROM_CONTROLLER = frozenset(PduType) - FROM_HOST


@dataclass(slots=True, frozen=True)
class Pdu:
    """A decoded PDU: `header` is the type-specific header after the common header, `data` is the payload."""

    type: PduType
    flags: int
    header: bytes
    data: bytes = b""

    def field(self, format_char: str, offset: int) -> int:
        """Return an integer field of the header.

        :param format_char: the `struct` format character of the field.
        :param offset: the byte offset from the start of the PDU, as in the specification.
        """
        value: int = struct.unpack_from("<" + format_char, self.header, offset - COMMON_HEADER.size)[0]
        return value


class PduDecoder:
    """Splits a byte stream into PDUs.  It buffers at most the largest allowed PDU and one read.

    :param allowed: the PDU types that the peer may send.
    """

    def __init__(self, allowed: frozenset[PduType]) -> None:
        self._allowed = allowed
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self._buffer += data

    def next_pdu(self) -> Pdu | None:
        """Return the next complete PDU, or None if more bytes are needed.

        It returns one PDU per call, so that an error does not discard the valid PDUs before it.

        :raises PduError: if the buffered bytes are not a valid PDU of an allowed type.
        """
        if len(self._buffer) < COMMON_HEADER.size:
            return None
        length = self._check_header(bytes(self._buffer[: COMMON_HEADER.size]))
        return self._take_pdu(length) if len(self._buffer) >= length else None

    def _check_header(self, header: bytes) -> int:
        """Validate a common header.

        :returns: the length of the PDU in bytes.
        """
        raw_type, flags, header_bytes, data_offset, length = COMMON_HEADER.unpack(header)
        pdu_type = self._check_type(raw_type, header)
        if header_bytes != HEADER_BYTES[pdu_type]:
            raise _header_error(f"invalid header length {header_bytes} for the PDU type", 2, header)
        if flags & DIGEST_FLAGS and pdu_type not in IC_TYPES:
            raise _header_error("the PDU carries a digest, but digests were declined", 1, header)
        data_bytes = length - header_bytes
        padding = data_offset - header_bytes if data_bytes > 0 and pdu_type in DATA_OFFSET_TYPES else 0
        if not 0 <= padding <= MAX_PADDING or padding > max(0, data_bytes):
            raise _header_error(f"invalid data offset {data_offset}", 3, header)
        if data_bytes < 0 or data_bytes - padding > MAX_DATA_BYTES.get(pdu_type, 0):
            raise _header_error(f"invalid PDU length {length}", 4, header)
        return int(length)

    def _check_type(self, raw_type: int, header: bytes) -> PduType:
        if raw_type in self._allowed:
            return PduType(raw_type)
        if raw_type in PduType._value2member_map_:
            raise PduError(
                FatalErrorStatus.SEQUENCE_ERROR, f"this peer may not send PDU type {raw_type:#x}", 0, header
            )
        raise _header_error(f"unknown PDU type {raw_type:#x}", 0, header)

    def _take_pdu(self, length: int) -> Pdu:
        """Remove a complete PDU of `length` bytes from the buffer and decode it."""
        raw = bytes(self._buffer[:length])
        del self._buffer[:length]
        raw_type, flags, header_bytes, data_offset, _ = COMMON_HEADER.unpack_from(raw)
        pdu_type = PduType(raw_type)
        data_start = max(data_offset, header_bytes) if pdu_type in DATA_OFFSET_TYPES else header_bytes
        return Pdu(pdu_type, flags, raw[COMMON_HEADER.size : header_bytes], raw[data_start:])


def _header_error(message: str, offset: int, header: bytes) -> PduError:
    return PduError(FatalErrorStatus.INVALID_HEADER_FIELD, message, offset, header)


def encode_pdu(pdu_type: PduType, header: bytes, data: bytes = b"", flags: int = 0) -> bytes:
    """Encode a PDU.

    :param header: the type-specific header; it is padded with zeros to the length of its type.
    """
    header_bytes = HEADER_BYTES[pdu_type]
    data_offset = header_bytes if data and pdu_type not in TERM_REQ_TYPES else 0
    common = COMMON_HEADER.pack(pdu_type, flags, header_bytes, data_offset, header_bytes + len(data))
    return common + header.ljust(header_bytes - COMMON_HEADER.size, b"\0") + data


def ic_req() -> bytes:
    """Encode an ICReq: PDU format version 0, no data alignment, no digests, one outstanding R2T."""
    return encode_pdu(PduType.IC_REQ, struct.pack("<HBBI", 0, 0, 0, 0))


def ic_resp() -> bytes:
    """Encode an ICResp: PDU format version 0, no data alignment, digests declined."""
    return encode_pdu(PduType.IC_RESP, struct.pack("<HBBI", 0, 0, 0, MAX_H2C_DATA))


def term_req(pdu_type: PduType, error: PduError) -> bytes:
    """Encode an H2CTermReq or C2HTermReq with the error's status and the start of the faulty PDU."""
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
    """Encode an H2CData or C2HData PDU.

    :param transfer_tag: the tag (TTAG) of the R2T that requested the H2CData; 0 in a C2HData.
    :param offset: the byte offset of `data` within all data of the command.
    """
    header = struct.pack("<HHII", command_id, transfer_tag, offset, len(data))
    return encode_pdu(pdu_type, header, data, flags)


def r2t(command_id: int, transfer_tag: int, offset: int, length: int) -> bytes:
    """Encode an R2T: it requests `length` bytes of the command's data, starting at `offset`."""
    return encode_pdu(PduType.R2T, struct.pack("<HHII", command_id, transfer_tag, offset, length))
