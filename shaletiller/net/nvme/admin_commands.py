"""The target's admin commands: Identify, Keep Alive, Abort, Set Features, Asynchronous Event Request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shaletiller.net.nvme import identify
from shaletiller.net.nvme.commands import IDENTIFY_BYTES, AdminOpcode, Command, Feature, IdentifyTarget
from shaletiller.net.nvme.controller import ADMIN_QUEUE_ID, MAX_IO_QUEUES, Controller
from shaletiller.net.nvme.errors import CommandError
from shaletiller.net.nvme.pending import PendingCommand
from shaletiller.net.nvme.status import Status

if TYPE_CHECKING:
    from shaletiller.net.nvme.queue import ControllerQueue

NOT_ABORTED = 1  # result of an Abort whose command was not found
NUMBER_OF_QUEUES_RESULT = (MAX_IO_QUEUES - 1) << 16 | (MAX_IO_QUEUES - 1)  # NCQA and NSQA, 0's based


class AdminCommands:
    """Executes the admin commands of one queue."""

    def __init__(self, queue: ControllerQueue) -> None:
        self._queue = queue
        self._target = queue.target

    def handle(self, pending: PendingCommand, controller: Controller, data: bytes) -> None:
        """Execute a command.

        :param data: the in-capsule data.
        :raises CommandError: if the command is invalid or not supported.
        """
        command = pending.command
        match command.opcode:
            case AdminOpcode.IDENTIFY:
                structure = self._identify(command, controller)
                self._queue.complete(pending, Status.SUCCESS, data=structure)
            case AdminOpcode.KEEP_ALIVE:
                self._queue.complete(pending, Status.SUCCESS)
            case AdminOpcode.ABORT:
                aborted = _abort(controller, command.field("H", 40), command.field("H", 42))
                self._queue.complete(pending, Status.SUCCESS, result=0 if aborted else NOT_ABORTED)
            case AdminOpcode.SET_FEATURES:
                result = _set_feature(command, controller, data)
                self._queue.complete(pending, Status.SUCCESS, result=result)
            case AdminOpcode.ASYNC_EVENT_REQUEST:
                self._hold_event_request(pending)
            case _:
                raise CommandError(Status.INVALID_OPCODE)

    def _identify(self, command: Command, controller: Controller) -> bytes:
        target, structure = self._target, command.raw[40]
        if command.sgl_length < IDENTIFY_BYTES:
            raise CommandError(Status.INVALID_SGL)
        if structure == IdentifyTarget.CONTROLLER:
            return identify.identify_controller(target.config, controller.controller_id)
        if structure == IdentifyTarget.ACTIVE_NAMESPACES:
            return identify.active_namespaces(target.config, command.nsid)
        if structure not in (IdentifyTarget.NAMESPACE, IdentifyTarget.NAMESPACE_DESCRIPTORS):
            raise CommandError(Status.INVALID_FIELD)
        namespace = target.namespaces.get(command.nsid)
        if namespace is None:
            raise CommandError(Status.INVALID_NAMESPACE)
        if structure == IdentifyTarget.NAMESPACE:
            return identify.identify_namespace(namespace)
        return identify.namespace_descriptors(namespace)

    def _hold_event_request(self, pending: PendingCommand) -> None:
        """Keep an Asynchronous Event Request outstanding; this controller reports no events."""
        if len(self._queue.event_requests) >= identify.MAX_EVENT_REQUESTS:
            raise CommandError(Status.INVALID_FIELD)
        self._queue.event_requests.append(pending.command.command_id)
        self._queue.remove_pending(pending)


def _set_feature(command: Command, controller: Controller, data: bytes) -> int:
    """Set a feature of the association.

    :returns: the result for the completion.
    """
    feature = command.raw[40]
    if feature == Feature.NUMBER_OF_QUEUES:
        return NUMBER_OF_QUEUES_RESULT
    if feature == Feature.KEEP_ALIVE_TIMER:
        controller.keep_alive_ms = command.field("I", 44)
        return 0
    if feature == Feature.HOST_BEHAVIOR_SUPPORT and data:
        controller.host_supports_retry_delay = data[0] == 1  # ACRE: advanced command retry
        return 0
    raise CommandError(Status.INVALID_FIELD)


def _abort(controller: Controller, queue_id: int, command_id: int) -> bool:
    """Complete a command of an I/O queue as aborted and cancel its requests.

    :returns: whether the command was found.
    """
    queue = controller.queues.get(queue_id)
    pending = queue.pending.get(command_id) if queue is not None else None
    if queue is None or pending is None or queue_id == ADMIN_QUEUE_ID:
        return False
    # A forwarded Write may have run: without Do Not Retry, the host would send it again.
    may_have_run = pending.is_write and not all(exchange.never_ran for exchange in pending.exchanges)
    queue.complete(pending, Status.ABORTED, do_not_retry=may_have_run)
    queue.cancel_requests(pending)
    return True
