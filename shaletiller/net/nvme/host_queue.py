"""The host's side of a queue pair: one connection to the controller of a storage node."""

from __future__ import annotations

import asyncio

from shaletiller.net.nvme.capsules import command_capsule, connect_capsule, read_completion
from shaletiller.net.nvme.commands import Completion
from shaletiller.net.nvme.errors import FatalErrorStatus, NvmeUpstreamError, PduError
from shaletiller.net.nvme.pdu import (
    FLAG_LAST_PDU,
    FLAG_SUCCESS,
    FROM_CONTROLLER,
    MAX_H2C_DATA,
    MAX_IN_CAPSULE_DATA,
    Pdu,
    PduType,
    data_pdu,
    ic_req,
    term_req,
)
from shaletiller.net.nvme.status import Status
from shaletiller.net.nvme.stream import PduStream

HOST_NQN = "nqn.2026-12.example.shaletiller:host"
QUEUE_SIZE = 2  # entries; the minimum, which suffices for one command at a time
CONNECT_COMMAND_ID = 0
MIN_MAXH2CDATA = 4096  # bytes; the specification's minimum for MAXH2CDATA in ICResp
MAX_COMMAND_ID = 0x7FFF


class HostQueue:
    """A queue pair that carries one command at a time.

    `command_sent` is set when the capsule of the current command is passed to the connection.  From then on
    the command may run: the controller may begin before it has received the data that it requests by R2T.
    """

    def __init__(self, stream: PduStream) -> None:
        self.command_sent = False
        self.controller_id = 0
        self._stream = stream
        self._command_id = CONNECT_COMMAND_ID
        self._max_h2c_data = MAX_H2C_DATA

    @classmethod
    async def open(cls, host: str, port: int, queue_id: int, controller_id: int, subsystem: str) -> HostQueue:
        """Open a connection and connect a queue.

        :param controller_id: the controller of the association; `DYNAMIC_CONTROLLER_ID` for the admin queue
            of a new association.
        :param subsystem: the NQN of the subsystem.
        :raises OSError: if the connection fails.
        :raises NvmeUpstreamError: if the controller rejects the connection or Connect.
        :raises PduError: if the controller sends an invalid PDU.
        """
        reader, writer = await asyncio.open_connection(host, port)
        queue = cls(PduStream(reader, writer, FROM_CONTROLLER))
        try:
            await queue._initialize()
            await queue._connect(queue_id, controller_id, subsystem)
        except BaseException:
            queue.abort()
            raise
        return queue

    async def _initialize(self) -> None:
        """Send the ICReq and check the ICResp."""
        self._stream.send(ic_req())
        pdu = await self._receive()
        if pdu.type is not PduType.IC_RESP or pdu.field("H", 8) != 0:
            raise NvmeUpstreamError("expected an ICResp with PDU format version 0")
        if pdu.field("B", 11) != 0:
            raise NvmeUpstreamError("ICResp enables digests that were not requested")
        if pdu.field("B", 10) != 0:
            raise NvmeUpstreamError("ICResp requires a data alignment, which is not supported")
        self._max_h2c_data = min(MAX_H2C_DATA, max(MIN_MAXH2CDATA, pdu.field("I", 12)))

    async def _connect(self, queue_id: int, controller_id: int, subsystem: str) -> None:
        capsule = connect_capsule(
            CONNECT_COMMAND_ID, queue_id, QUEUE_SIZE, 0, controller_id, subsystem, HOST_NQN
        )
        self._stream.send(capsule)
        completion, _ = await self.receive_response(CONNECT_COMMAND_ID, b"", 0)
        if completion.status != Status.SUCCESS:
            raise NvmeUpstreamError(f"Connect failed with status {completion.status:#x}")
        self.controller_id = completion.result & 0xFFFF

    def next_command_id(self) -> int:
        """Allocate the command id of the next command."""
        self._command_id = (self._command_id + 1) & MAX_COMMAND_ID
        return self._command_id

    async def run(self, entry: bytes, data: bytes = b"", read_bytes: int = 0) -> tuple[Completion, bytes]:
        """Send a command and wait for its completion.

        :param entry: the submission queue entry, with the command id that `next_command_id` returned last.
        :param data: the data to write.
        :param read_bytes: the maximum number of bytes that the command reads.
        :returns: the completion and the data that was read.
        :raises OSError: if the connection fails.
        :raises NvmeUpstreamError: if the controller terminates the connection.
        :raises PduError: if the controller sends an invalid PDU.
        """
        self.command_sent = False
        if self._stream.closing:
            raise ConnectionResetError("the storage node closed the connection")
        in_capsule = data if 0 < len(data) <= MAX_IN_CAPSULE_DATA else b""
        self.command_sent = True
        self._stream.send(command_capsule(entry, in_capsule))
        await self._stream.drain()
        return await self.receive_response(self._command_id, data, read_bytes)

    async def receive_response(
        self, command_id: int, data: bytes, read_bytes: int
    ) -> tuple[Completion, bytes]:
        """Receive the read data and the completion of a command, and send the write data that R2Ts request.

        :raises OSError, NvmeUpstreamError, PduError: as `run` does.
        """
        received = bytearray()
        while True:
            pdu = await self._receive()
            if pdu.type is PduType.RESPONSE_CAPSULE:
                completion = read_completion(pdu)
                if completion.command_id != command_id:
                    raise PduError(
                        FatalErrorStatus.SEQUENCE_ERROR, "received the completion of another command"
                    )
                return completion, bytes(received)
            if pdu.field("H", 8) != command_id:
                raise PduError(
                    FatalErrorStatus.INVALID_HEADER_FIELD, "received an R2T or C2HData for another command", 8
                )
            if pdu.type is PduType.R2T:
                await self._send_data(pdu, command_id, data)
            elif pdu.type is PduType.C2H_DATA:
                _append_data(received, pdu, read_bytes)
                if pdu.flags & FLAG_SUCCESS:
                    return Completion(command_id, Status.SUCCESS, 0, 0, False), bytes(received)
            else:
                raise PduError(
                    FatalErrorStatus.SEQUENCE_ERROR,
                    f"expected R2T, C2HData or a response capsule, got {pdu.type.name}",
                )

    async def _receive(self) -> Pdu:
        try:
            pdu = await self._stream.receive()
        except PduError as error:
            self._stream.send(term_req(PduType.H2C_TERM_REQ, error))
            raise
        if pdu is None:
            raise ConnectionResetError("the storage node closed the connection")
        if pdu.type is PduType.C2H_TERM_REQ:
            raise NvmeUpstreamError(
                f"the controller terminated the connection, reason {pdu.field('H', 8):#x}"
            )
        return pdu

    async def _send_data(self, pdu: Pdu, command_id: int, data: bytes) -> None:
        """Send the data that an R2T requests, split into PDUs that the controller accepts."""
        transfer_tag, start, length = pdu.field("H", 10), pdu.field("I", 12), pdu.field("I", 16)
        end = start + length
        if not length or end > len(data):
            raise PduError(
                FatalErrorStatus.DATA_OUT_OF_RANGE, "the R2T requests a range outside the command's data", 12
            )
        for offset in range(start, end, self._max_h2c_data):
            chunk = data[offset : min(offset + self._max_h2c_data, end)]
            flags = FLAG_LAST_PDU if offset + len(chunk) == end else 0
            self._stream.send(data_pdu(PduType.H2C_DATA, command_id, transfer_tag, offset, chunk, flags))
            await self._stream.drain()

    @property
    def closing(self) -> bool:
        """Whether either side has closed the connection."""
        return self._stream.closing

    def abort(self) -> None:
        """Close the connection immediately."""
        self._stream.abort()


def _append_data(received: bytearray, pdu: Pdu, read_bytes: int) -> None:
    """Append the data of a C2HData PDU, which must start where the received data ends."""
    if pdu.field("I", 12) != len(received) or len(received) + len(pdu.data) > read_bytes:
        raise PduError(
            FatalErrorStatus.DATA_OUT_OF_RANGE, "C2HData is out of order or exceeds the expected length", 12
        )
    received += pdu.data
