"""Exceptions of the NVMe/TCP target and client."""

from __future__ import annotations

from enum import IntEnum

from shaletiller.net.nvme.status import Status


class FatalErrorStatus(IntEnum):
    """Reason for terminating a connection (FES field of H2CTermReq and C2HTermReq)."""

    INVALID_HEADER_FIELD = 0x01
    SEQUENCE_ERROR = 0x02
    HEADER_DIGEST_ERROR = 0x03
    DATA_OUT_OF_RANGE = 0x04
    DATA_LIMIT_EXCEEDED = 0x05
    UNSUPPORTED_PARAMETER = 0x06


class PduError(Exception):
    """The peer sent a malformed PDU, or a PDU that is not allowed at this point.  It ends the connection.

    :param status: the reason that the TermReq reports.
    :param message: the text for the log.
    :param offset: the byte offset of the faulty field within the PDU.
    :param header: the start of the faulty PDU, which the TermReq returns to the peer.
    """

    def __init__(self, status: FatalErrorStatus, message: str, offset: int = 0, header: bytes = b"") -> None:
        super().__init__(message)
        self.status = status
        self.offset = offset
        self.header = header


class CommandError(Exception):
    """A host's command completes with an error status; its connection stays open.

    :param status: the status of the completion.
    :param do_not_retry: whether the completion sets Do Not Retry, because the same command would fail again.
    """

    def __init__(self, status: Status, do_not_retry: bool = True) -> None:
        super().__init__(status.name)
        self.status = status
        self.do_not_retry = do_not_retry


class NvmeUpstreamError(Exception):
    """A storage node's controller refused a request or does not support what the gateway requires."""
