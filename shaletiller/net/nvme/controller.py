"""A controller of the target: the state of one host's association."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from shaletiller.net.nvme.queue import ControllerQueue

ADMIN_QUEUE_ID = 0
MAX_IO_QUEUES = 16  # of one association; empirical: hosts open one for each CPU core, up to what is offered
CC_RESET = 0  # the configuration of a controller that no host has enabled
CC_ENABLE = 0x1  # CC.EN
CSTS_READY = 0x1  # CSTS.RDY
CSTS_SHUTDOWN_COMPLETE = 0x8  # CSTS.SHST


@dataclass(slots=True)
class Controller:
    """One host's controller: an admin queue and its I/O queues, by queue id.

    `host` is the host's NQN.  `keep_alive_ms` is 0 where the host keeps no timer.  `configuration` is the
    property CC.  `host_retries` means that the host understands command retry delays (ACRE).
    """

    controller_id: int
    host: str
    keep_alive_ms: int
    configuration: int = CC_RESET
    host_retries: bool = False
    queues: dict[int, ControllerQueue] = field(default_factory=dict)

    @property
    def enabled(self) -> bool:
        """Whether the host has enabled it."""
        return bool(self.configuration & CC_ENABLE)

    @property
    def status(self) -> int:
        """The property CSTS; a shutdown that the host notifies is complete immediately."""
        shutdown = CSTS_SHUTDOWN_COMPLETE if self.configuration >> 14 & 3 else 0
        return (CSTS_READY if self.enabled else 0) | shutdown

    def configure(self, value: int) -> None:
        """Set CC; a controller that is disabled loses its I/O queues with their commands."""
        if self.enabled and not value & CC_ENABLE:
            for queue_id, queue in list(self.queues.items()):
                if queue_id != ADMIN_QUEUE_ID:
                    queue.stream.abort()
        self.configuration = value

    def abort(self) -> None:
        """Close all connections of the association."""
        for queue in list(self.queues.values()):
            queue.stream.abort()
