"""The target's fabrics commands: Connect, Property Get and Property Set."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

from shaletiller.net.nvme import identify
from shaletiller.net.nvme.commands import (
    CONNECT_DATA_BYTES,
    CONNECT_DISABLES_FLOW_CONTROL,
    DYNAMIC_CONTROLLER_ID,
    Command,
    FabricsCommand,
    Property,
)
from shaletiller.net.nvme.controller import ADMIN_QUEUE_ID, MAX_IO_QUEUES, Controller
from shaletiller.net.nvme.errors import CommandError
from shaletiller.net.nvme.pending import PendingCommand
from shaletiller.net.nvme.status import Status

if TYPE_CHECKING:
    from shaletiller.net.nvme.queue import ControllerQueue

MIN_QUEUE_SIZE = 2  # entries; a queue with a single entry cannot hold a command
NQN_BYTES = 256  # length of each NQN field in the data of Connect
SUBSYSTEM_NQN_OFFSET, HOST_NQN_OFFSET = 256, 512


class FabricsCommands:
    """Executes the fabrics commands of one queue."""

    def __init__(self, queue: ControllerQueue) -> None:
        self._queue = queue
        self._target = queue.target

    def handle(self, pending: PendingCommand, data: bytes) -> None:
        """Execute a command.

        :param data: the in-capsule data.
        :raises CommandError: if the command is invalid or not allowed in the current state.
        """
        command, controller = pending.command, self._queue.controller
        if command.fabrics_type == FabricsCommand.CONNECT:
            self._connect(pending, data)
        elif controller is None or not self._queue.is_admin:
            raise CommandError(Status.SEQUENCE)
        elif command.fabrics_type == FabricsCommand.PROPERTY_GET:
            value = self._property(controller, command.field("I", 44))
            self._queue.complete(pending, Status.SUCCESS, result=value)
        elif command.fabrics_type == FabricsCommand.PROPERTY_SET:
            if command.field("I", 44) != Property.CC:
                raise CommandError(Status.INVALID_FIELD)
            controller.configure(command.field("I", 48))
            self._queue.complete(pending, Status.SUCCESS)
        else:
            raise CommandError(Status.INVALID_OPCODE)

    def _property(self, controller: Controller, offset: int) -> int:
        match offset:
            case Property.CAP:
                return identify.capabilities(self._target.config.queue_depth)
            case Property.VS:
                return identify.VERSION
            case Property.CC:
                return controller.configuration
            case Property.CSTS:
                return controller.status
        raise CommandError(Status.INVALID_FIELD)

    def _connect(self, pending: PendingCommand, data: bytes) -> None:
        command = pending.command
        if self._queue.controller is not None:
            raise CommandError(Status.SEQUENCE)
        if command.field("H", 40) != 0:  # RECFMT
            raise CommandError(Status.CONNECT_FORMAT)
        if len(data) != CONNECT_DATA_BYTES:
            raise CommandError(Status.CONNECT_PARAMETER)
        queue_id, size = command.field("H", 42), command.field("H", 44) + 1
        subsystem = _read_nqn(data, SUBSYSTEM_NQN_OFFSET)
        queue_depth = self._target.config.queue_depth
        if subsystem != self._target.config.subsystem or not MIN_QUEUE_SIZE <= size <= queue_depth:
            raise CommandError(Status.CONNECT_PARAMETER)
        if queue_id == ADMIN_QUEUE_ID:
            controller = self._new_controller(command, data)
        else:
            controller = self._find_controller(queue_id, data)
        flow_control = not command.raw[46] & CONNECT_DISABLES_FLOW_CONTROL
        self._queue.connect(controller, queue_id, size, flow_control)
        self._queue.complete(pending, Status.SUCCESS, result=controller.controller_id)

    def _new_controller(self, command: Command, data: bytes) -> Controller:
        """Create the controller for a new association, whose admin queue connects."""
        if _read_controller_id(data) != DYNAMIC_CONTROLLER_ID:
            raise CommandError(Status.CONNECT_PARAMETER)
        return self._target.new_controller(_read_nqn(data, HOST_NQN_OFFSET), command.field("I", 48))

    def _find_controller(self, queue_id: int, data: bytes) -> Controller:
        """Return the controller of the existing association to which an I/O queue connects."""
        controller = self._target.controllers.get(_read_controller_id(data))
        if controller is None or queue_id > MAX_IO_QUEUES or queue_id in controller.queues:
            raise CommandError(Status.CONNECT_PARAMETER)
        if controller.host != _read_nqn(data, HOST_NQN_OFFSET):
            raise CommandError(Status.CONNECT_HOST)
        if not controller.enabled:
            raise CommandError(Status.SEQUENCE)
        return controller


def _read_controller_id(data: bytes) -> int:
    (controller_id,) = struct.unpack_from("<H", data, 16)
    return int(controller_id)


def _read_nqn(data: bytes, offset: int) -> str:
    return data[offset : offset + NQN_BYTES].split(b"\0")[0].decode("ascii", "replace")
