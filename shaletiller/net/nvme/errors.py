"""The errors of NVMe over TCP."""

from __future__ import annotations

from enum import IntEnum

from shaletiller.net.nvme.status import Status


class FatalErrorStatus(IntEnum):
    """Why a side ends the connection (FES of H2CTermReq and C2HTermReq)."""

    INVALID_HEADER_FIELD = 0x01
    SEQUENCE_ERROR = 0x02
    HEADER_DIGEST_ERROR = 0x03
    DATA_OUT_OF_RANGE = 0x04
    DATA_LIMIT_EXCEEDED = 0x05
    UNSUPPORTED_PARAMETER = 0x06


class PduError(Exception):
    """The peer sent bytes that are no PDU, or a PDU that is not allowed here; the connection ends.

    :param status: the reason for the TermReq.
    :param message: for the log.
    :param offset: of the faulty field in the PDU, in bytes.
    :param header: the beginning of the faulty PDU, which the TermReq returns.
    """

    def __init__(self, status: FatalErrorStatus, message: str, offset: int = 0, header: bytes = b"") -> None:
        super().__init__(message)
        self.status = status
        self.offset = offset
        self.header = header


class CommandError(Exception):
    """A host's command ends with an error status; its connection goes on.

    :param do_not_retry: whether the same command would fail again.
    """

    def __init__(self, status: Status, do_not_retry: bool = True) -> None:
        super().__init__(status.name)
        self.status = status
        self.do_not_retry = do_not_retry


class NvmeUpstreamError(Exception):
    """A storage node's controller does not do what the gateway needs."""
