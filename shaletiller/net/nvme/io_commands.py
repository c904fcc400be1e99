"""The target's I/O commands: Read, Write and Flush, implemented by client requests for objects.

Each block is an object.  A Read or Write is submitted to the engine as one request per block.
"""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING

from shaletiller.config import NvmeNamespace
from shaletiller.config.nvme import MAX_TRANSFER_BYTES
from shaletiller.core.errors import BadRequestError
from shaletiller.core.memory_account import MemoryOwner
from shaletiller.core.model import ClientCall, FinalResponse, FinalResult
from shaletiller.net.nvme.commands import ALL_NAMESPACES, FUSED_MASK, Command, IoOpcode, SglType
from shaletiller.net.nvme.errors import CommandError, FatalErrorStatus, PduError
from shaletiller.net.nvme.identify import retry_delay_number
from shaletiller.net.nvme.pdu import FLAG_LAST_PDU, MAX_H2C_DATA, MAX_IN_CAPSULE_DATA, Pdu, r2t
from shaletiller.net.nvme.pending import PendingCommand
from shaletiller.net.nvme.status import Status

if TYPE_CHECKING:
    from shaletiller.net.nvme.queue import ControllerQueue

logger = logging.getLogger(__name__)

# Maximum bytes of memory reserved for write data, over all hosts; a Write that exceeds it completes with
# Command Interrupted.  It is a twelfth of the default memory limit.  A larger value allows more concurrent
# Writes; a smaller value leaves more memory for other uses.
MAX_WRITE_DATA_BYTES = 16 << 20
DATA_COPIES = 2  # of a command's data: as the host has it, and block by block


class IoCommands:
    """Executes the I/O commands of one queue."""

    def __init__(self, queue: ControllerQueue) -> None:
        self._queue = queue
        self._target = queue.target

    def handle(self, pending: PendingCommand, data: bytes) -> None:
        """Execute a command.

        :param data: the in-capsule data.
        :raises CommandError: if the command is invalid, or if there is no memory for its data.
        """
        command = pending.command
        namespace = self._target.namespaces.get(command.nsid)
        if command.opcode == IoOpcode.FLUSH:
            self._flush(pending, namespace)
            return
        if command.opcode not in (IoOpcode.READ, IoOpcode.WRITE):
            raise CommandError(Status.INVALID_OPCODE)
        if command.raw[1] & FUSED_MASK:
            raise CommandError(Status.INVALID_FIELD)
        if namespace is None:
            raise CommandError(Status.INVALID_NAMESPACE)
        size = _validate_size(command, namespace)
        self._charge(pending, size)
        if command.opcode == IoOpcode.READ:
            pending.namespace = namespace
            self._submit(pending, namespace)
        else:
            self._receive_write(pending, namespace, data, size)

    def _charge(self, pending: PendingCommand, size: int) -> None:
        """Charge the memory for the data of a command until its completion.

        :raises CommandError: there is not as much; the host sends the command again.
        """
        cost = DATA_COPIES * size
        if cost > self._target.memory.free_bytes:
            raise CommandError(Status.INTERRUPTED, do_not_retry=False)
        pending.charged_bytes = cost
        self._target.memory.charge(MemoryOwner.COMMANDS, cost)

    def _flush(self, pending: PendingCommand, namespace: NvmeNamespace | None) -> None:
        """Complete a Flush immediately: nothing is cached, a Write completes once its storage node has it."""
        if namespace is None and pending.command.nsid != ALL_NAMESPACES:
            raise CommandError(Status.INVALID_NAMESPACE)
        self._queue.complete(pending, Status.SUCCESS)

    def _receive_write(
        self, pending: PendingCommand, namespace: NvmeNamespace, data: bytes, size: int
    ) -> None:
        """Submit a Write if its data is in the capsule, otherwise request the data by R2T."""
        if self._target.write_data_bytes + size > MAX_WRITE_DATA_BYTES:
            raise CommandError(Status.INTERRUPTED, do_not_retry=False)
        if pending.command.sgl_type == SglType.IN_CAPSULE:
            if len(data) != size or size > MAX_IN_CAPSULE_DATA:
                raise CommandError(Status.INVALID_SGL)
            pending.data += data
        pending.namespace = namespace
        self._target.write_data_bytes += size
        if pending.data or self._target.rejects_commands:
            self._submit(pending, namespace)
            return
        pending.missing_bytes = size
        command_id = pending.command.command_id
        # The command id also serves as the transfer tag.
        self._queue.stream.send(r2t(command_id, command_id, 0, size))

    def receive_data(self, pdu: Pdu) -> None:
        """Handle an H2CData PDU, and submit the Write once all its data has arrived.

        :raises PduError: if the PDU does not match an outstanding R2T.
        """
        command_id, transfer_tag = pdu.field("H", 8), pdu.field("H", 10)
        pending = self._queue.pending.get(command_id)
        if pending is None and self._queue.connected:
            return  # the command was aborted while its data was in transit
        if pending is None or transfer_tag != command_id or not pending.missing_bytes:
            raise PduError(
                FatalErrorStatus.INVALID_HEADER_FIELD, "H2CData does not match an outstanding R2T", 8
            )
        _check_data_pdu(pdu, pending)
        pending.data += pdu.data
        pending.missing_bytes -= len(pdu.data)
        if bool(pdu.flags & FLAG_LAST_PDU) != (pending.missing_bytes == 0):
            raise PduError(
                FatalErrorStatus.INVALID_HEADER_FIELD,
                "H2CData: LAST_PDU flag does not match the end of the requested data",
                1,
            )
        if not pending.missing_bytes:
            assert pending.namespace is not None
            self._submit(pending, pending.namespace)

    def _submit(self, pending: PendingCommand, namespace: NvmeNamespace) -> None:
        """Submit a request for each block; their deadlines start now, after all write data has arrived."""
        if self._target.rejects_commands:
            self._queue.complete(pending, Status.INTERRUPTED)
            return
        for position in range(pending.command.blocks):
            call = self._block_call(pending, namespace, position)
            respond = partial(self._on_block_response, pending, position)
            try:
                pending.exchanges.append(self._target.requests.submit(call, respond))
            except BadRequestError as error:
                logger.warning("request %s of NVMe block %s rejected, it fails: %s", call.id, call.key, error)
                respond(FinalResponse(FinalResult.FAILED))
        # The engine may respond to one block before the next one is submitted; the command may complete only
        # now that all blocks are submitted.
        pending.submitted = True
        self._complete_if_responded(pending)

    def _block_call(self, pending: PendingCommand, namespace: NvmeNamespace, position: int) -> ClientCall:
        is_write, block_bytes = pending.is_write, namespace.block_bytes
        key = f"{namespace.first_key + pending.command.first_block + position:016x}"
        start = position * block_bytes
        body = bytes(pending.data[start : start + block_bytes]) if is_write else b""
        # The request id serves as the idempotency key: NVMe commands have none, and each command is a new
        # operation.
        request_id = self._target.next_request_id()
        return ClientCall(
            id=request_id,
            idempotency_key=request_id,
            request_class=namespace.write_class if is_write else namespace.read_class,
            plan=namespace.plan,
            volume=namespace.volume,
            key=key,
            units=namespace.units,
            shard=namespace.shard,
            volume_gateways=namespace.volume_gateways,
            timeout_ms=namespace.write_timeout_ms if is_write else namespace.read_timeout_ms,
            write=is_write,
            method="PUT" if is_write else "GET",
            target=f"/api?key={key}",
            body=body,
        )

    def _on_block_response(self, pending: PendingCommand, position: int, response: FinalResponse) -> None:
        pending.responses[position] = response
        self._complete_if_responded(pending)

    def _complete_if_responded(self, pending: PendingCommand) -> None:
        """Complete a command if all its blocks have been submitted and have final responses."""
        blocks = pending.command.blocks
        if pending.done or not pending.submitted or len(pending.responses) < blocks:
            return
        assert pending.namespace is not None
        responses = [pending.responses[position] for position in range(blocks)]
        results = {response.result for response in responses}
        if results == {FinalResult.SERVED}:
            self._complete_served(pending, pending.namespace, responses)
        elif results == {FinalResult.REJECTED} or (
            not pending.is_write and FinalResult.FAILED not in results
        ):
            retry_delay = self._retry_delay(responses)
            self._queue.complete(pending, Status.INTERRUPTED, retry_delay=retry_delay)
        elif pending.is_write:
            # Some blocks may have been written: the host must not send the command again.
            self._queue.complete(pending, Status.WRITE_FAULT, do_not_retry=True)
        else:
            self._queue.complete(pending, Status.INTERNAL)

    def _retry_delay(self, responses: list[FinalResponse]) -> int:
        """Return the command retry delay (CRD) field, 0 if the host does not support it."""
        controller = self._queue.controller
        if controller is None or not controller.host_supports_retry_delay:
            return 0
        return retry_delay_number(max(response.retry_after_ms for response in responses))

    def _complete_served(
        self, pending: PendingCommand, namespace: NvmeNamespace, responses: list[FinalResponse]
    ) -> None:
        if pending.is_write:
            self._queue.complete(pending, Status.SUCCESS)
            return
        block_bytes = namespace.block_bytes
        if any(len(response.body) > block_bytes for response in responses):
            logger.warning(
                "NVMe namespace %d: Read of %d blocks from block %d failed: an object is larger than a block",
                namespace.nsid,
                pending.command.blocks,
                pending.command.first_block,
            )
            self._queue.complete(pending, Status.DATA_TRANSFER, do_not_retry=True)
            return
        # An object shorter than a block is padded with zeros.
        data = b"".join(response.body.ljust(block_bytes, b"\0") for response in responses)
        self._queue.complete(pending, Status.SUCCESS, data=data)


def _validate_size(command: Command, namespace: NvmeNamespace) -> int:
    """Validate a Read or Write and return its size in bytes.

    :raises CommandError: if the size, the block range or the data pointer is invalid.
    """
    size = command.blocks * namespace.block_bytes
    if size > MAX_TRANSFER_BYTES:
        raise CommandError(Status.INVALID_FIELD)
    if command.first_block + command.blocks > namespace.blocks:
        raise CommandError(Status.LBA_RANGE)
    if command.sgl_length != size or command.sgl_type not in (SglType.IN_CAPSULE, SglType.TRANSPORT):
        raise CommandError(Status.INVALID_SGL)
    return size


def _check_data_pdu(pdu: Pdu, pending: PendingCommand) -> None:
    """Check that an H2CData PDU starts where the received data ends and stays within the R2T."""
    if pdu.field("I", 16) != len(pdu.data) or not pdu.data:
        raise PduError(
            FatalErrorStatus.INVALID_HEADER_FIELD, "H2CData: data length does not match the PDU", 16
        )
    if pdu.field("I", 12) != len(pending.data):
        raise PduError(FatalErrorStatus.DATA_OUT_OF_RANGE, "H2CData: data offset is out of order", 12)
    if len(pdu.data) > pending.missing_bytes or len(pdu.data) > MAX_H2C_DATA:
        raise PduError(
            FatalErrorStatus.DATA_OUT_OF_RANGE, "H2CData exceeds the length that the R2T requested", 16
        )
