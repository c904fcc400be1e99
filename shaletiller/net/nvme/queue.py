"""The target's side of one host connection, which carries one queue pair."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from shaletiller.core.memory_account import MemoryOwner
from shaletiller.net.nvme.admin_commands import AdminCommands
from shaletiller.net.nvme.capsules import response_capsule
from shaletiller.net.nvme.commands import FABRICS_OPCODE, Command
from shaletiller.net.nvme.controller import ADMIN_QUEUE_ID, Controller
from shaletiller.net.nvme.errors import CommandError, FatalErrorStatus, PduError
from shaletiller.net.nvme.fabrics_commands import FabricsCommands
from shaletiller.net.nvme.io_commands import IoCommands
from shaletiller.net.nvme.pdu import Pdu, PduType, data_pdu, ic_resp, term_req
from shaletiller.net.nvme.pending import PendingCommand
from shaletiller.net.nvme.status import Status
from shaletiller.net.nvme.stream import PduStream

if TYPE_CHECKING:
    from shaletiller.net.nvme.target import NvmeTarget

logger = logging.getLogger(__name__)

# Maximum wait for each PDU before Connect has succeeded.  Hosts send Connect immediately; a larger value lets
# an idle connection hold one of the limited connections for longer.
CONNECT_TIMEOUT_S = 5.0
NOT_CONNECTED = -1  # the queue id before Connect has succeeded
SQ_HEAD_NO_FLOW_CONTROL = 0xFFFF  # SQHD in completions if the host has disabled flow control
MS_PER_S = 1000


class ControllerQueue:
    """The controller's side of a queue pair.

    :param stream: the connection, on which no PDU has been exchanged yet.
    """

    def __init__(self, target: NvmeTarget, stream: PduStream) -> None:
        self.target = target
        self.stream = stream
        self.pending: dict[int, PendingCommand] = {}  # by command id
        self.event_requests: list[int] = []  # command ids of Asynchronous Event Requests; they never complete
        self.controller: Controller | None = None  # set by Connect
        self.queue_id = NOT_CONNECTED
        self._size = 0
        self._sq_head = 0
        self._flow_control = True
        self._fabrics = FabricsCommands(self)
        self._admin = AdminCommands(self)
        self._io = IoCommands(self)

    async def run(self) -> None:
        """Serve the connection until the host closes it, an error occurs or the keep alive timer expires."""
        try:
            await self._receive_pdus()
        except PduError as error:
            logger.warning("NVMe host %s: connection ended for a faulty PDU: %s", self.stream.peer, error)
            self.stream.send(term_req(PduType.C2H_TERM_REQ, error))
        except TimeoutError:
            logger.warning("NVMe host %s: connection ended, the host was silent too long", self.stream.peer)
        except ConnectionError as error:
            logger.warning("NVMe host %s: connection lost: %s", self.stream.peer, error)

    async def _receive_pdus(self) -> None:
        first = await self.stream.receive(CONNECT_TIMEOUT_S)
        if first is None:
            return
        self._initialize(first)
        while True:
            pdu = await self.stream.receive(self._receive_timeout_s())
            if pdu is None or not self._handle_pdu(pdu):
                return
            await self.stream.drain()

    @property
    def is_admin(self) -> bool:
        """Whether this is an admin queue for which Connect has succeeded."""
        return self.queue_id == ADMIN_QUEUE_ID

    @property
    def connected(self) -> bool:
        """Whether Connect has succeeded."""
        return self._size > 0

    def _receive_timeout_s(self) -> float | None:
        """Return the maximum time until the next PDU, or None for no limit.

        The keep alive timer applies to the admin queue only.
        """
        if self.controller is None:
            return CONNECT_TIMEOUT_S
        keep_alive_ms = self.controller.keep_alive_ms if self.is_admin else 0
        return keep_alive_ms / MS_PER_S if keep_alive_ms else None

    def connect(self, controller: Controller, queue_id: int, size: int, flow_control: bool) -> None:
        """Register this queue with a controller after a successful Connect.

        :param size: the number of entries.
        :param flow_control: whether completions report the submission queue head.
        """
        self.controller = controller
        self.queue_id = queue_id
        self._size = size
        self._flow_control = flow_control
        controller.queues[queue_id] = self

    def end(self) -> None:
        """Cancel all commands without completions and unregister the queue after the connection has ended.

        For an admin queue this also ends the association: its controller is removed and its I/O queues are
        aborted.
        """
        for pending in list(self.pending.values()):
            pending.done = True
            self.remove_pending(pending)
            self.cancel_requests(pending)
        if self.controller is None:
            return
        self.controller.queues.pop(self.queue_id, None)
        if self.is_admin:
            self.target.controllers.pop(self.controller.controller_id, None)
            self.controller.abort()

    def _initialize(self, pdu: Pdu) -> None:
        """Check the ICReq and send the ICResp, which declines digests even if the host requests them."""
        if pdu.type is not PduType.IC_REQ:
            raise PduError(FatalErrorStatus.SEQUENCE_ERROR, "expected ICReq as the first PDU")
        version, alignment = pdu.field("H", 8), pdu.field("B", 10)
        if version != 0:
            raise PduError(
                FatalErrorStatus.UNSUPPORTED_PARAMETER,
                f"ICReq: expected PDU format version 0, got {version}",
                8,
            )
        if alignment != 0:
            raise PduError(
                FatalErrorStatus.UNSUPPORTED_PARAMETER,
                f"ICReq: expected data alignment 0, got {alignment}",
                10,
            )
        self.stream.send(ic_resp())

    def _handle_pdu(self, pdu: Pdu) -> bool:
        """Handle a PDU.

        :returns: False if the host terminates the connection by H2CTermReq.
        """
        if pdu.type is PduType.COMMAND_CAPSULE:
            self._handle_command(Command(pdu.header), pdu.data)
        elif pdu.type is PduType.H2C_DATA:
            self._io.receive_data(pdu)
        elif pdu.type is PduType.H2C_TERM_REQ:
            reason = pdu.field("H", 8)
            logger.warning("NVMe host %s ended the connection, reason %#x", self.stream.peer, reason)
            return False
        else:
            raise PduError(FatalErrorStatus.SEQUENCE_ERROR, "received a second ICReq")
        return True

    def _handle_command(self, command: Command, data: bytes) -> None:
        if self.connected:
            if len(self.pending) + len(self.event_requests) >= self._size:
                raise PduError(
                    FatalErrorStatus.SEQUENCE_ERROR,
                    "the host has more commands outstanding than the queue has entries",
                )
            self._sq_head = (self._sq_head + 1) % self._size
        command_id = command.command_id
        if command_id in self.pending or command_id in self.event_requests:
            self._send_completion(command_id, Status.ID_CONFLICT, do_not_retry=True)
            return
        pending = PendingCommand(command)
        self.pending[command_id] = pending
        try:
            self._dispatch(pending, data)
        except CommandError as error:
            self.complete(pending, error.status, do_not_retry=error.do_not_retry)

    def _dispatch(self, pending: PendingCommand, data: bytes) -> None:
        if pending.command.opcode == FABRICS_OPCODE:
            self._fabrics.handle(pending, data)
        elif self.controller is None or not self.controller.enabled:
            raise CommandError(Status.SEQUENCE)
        elif self.is_admin:
            self._admin.handle(pending, self.controller, data)
        else:
            self._io.handle(pending, data)

    def complete(
        self,
        pending: PendingCommand,
        status: int,
        *,
        result: int = 0,
        retry_delay: int = 0,
        do_not_retry: bool = False,
        data: bytes = b"",
    ) -> None:
        """Send the completion of a command; does nothing if the command is already done.

        :param retry_delay: the command retry delay (CRD) field: 1 to 3 select CRDT1 to CRDT3, 0 is no delay.
        :param data: the read data, sent as C2HData before the completion.
        """
        if pending.done:
            return
        pending.done = True
        self.remove_pending(pending)
        command_id = pending.command.command_id
        if data:
            self.stream.send(data_pdu(PduType.C2H_DATA, command_id, 0, 0, data))
        self._send_completion(
            command_id, status, result=result, retry_delay=retry_delay, do_not_retry=do_not_retry
        )

    def _send_completion(
        self,
        command_id: int,
        status: int,
        *,
        result: int = 0,
        retry_delay: int = 0,
        do_not_retry: bool = False,
    ) -> None:
        self.stream.send(
            response_capsule(
                command_id,
                status,
                result=result,
                sq_head=self._sq_head if self._flow_control else SQ_HEAD_NO_FLOW_CONTROL,
                sq_id=max(0, self.queue_id),
                retry_delay=retry_delay,
                do_not_retry=do_not_retry,
            )
        )

    def reject_incomplete_commands(self) -> None:
        """Complete the commands whose write data is not going to be read."""
        for pending in list(self.pending.values()):
            if pending.missing_bytes:
                self.complete(pending, Status.INTERRUPTED)

    def remove_pending(self, pending: PendingCommand) -> None:
        """Remove a command from the pending commands and release the memory that is reserved for it."""
        if self.pending.pop(pending.command.command_id, None) is not None:
            self.target.write_data_bytes -= pending.reserved_bytes
            self.target.memory.charge(MemoryOwner.COMMANDS, -pending.charged_bytes)

    def cancel_requests(self, pending: PendingCommand) -> None:
        """Cancel the client requests for the blocks of a command."""
        for exchange in pending.exchanges:
            self.target.requests.on_client_disconnected(exchange)
