"""A controller of the target: the state of an association with one host."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from shaletiller.net.nvme.queue import ControllerQueue

ADMIN_QUEUE_ID = 0
MAX_IO_QUEUES = 16  # per association; hosts open one I/O queue per CPU core, up to this number
CC_RESET = 0  # the value of CC before a host enables the controller
CC_ENABLE = 0x1  # CC.EN
CSTS_READY = 0x1  # CSTS.RDY
CSTS_SHUTDOWN_COMPLETE = 0x8  # CSTS.SHST


@dataclass(slots=True)
class Controller:
    """The controller that serves one host, with its admin queue and I/O queues.

    `host` is the NQN of the host.  `keep_alive_ms` is the keep alive timeout (KATO); 0 disables it.
    `configuration` is the property CC.  `host_supports_retry_delay` is set when the host supports command
    retry delays (ACRE).  `queues` maps a queue identifier to its queue.
    """

    controller_id: int
    host: str
    keep_alive_ms: int
    configuration: int = CC_RESET
    host_supports_retry_delay: bool = False
    queues: dict[int, ControllerQueue] = field(default_factory=dict)

    @property
    def enabled(self) -> bool:
        """Whether the host has enabled the controller."""
        return bool(self.configuration & CC_ENABLE)

    @property
    def status(self) -> int:
        """Value of the property CSTS; a shutdown requested through CC.SHN completes immediately."""
        shutdown = CSTS_SHUTDOWN_COMPLETE if self.configuration >> 14 & 3 else 0
        return (CSTS_READY if self.enabled else 0) | shutdown

    def configure(self, value: int) -> None:
        """Set the property CC.  Disabling the controller aborts its I/O queues and their commands."""
        if self.enabled and not value & CC_ENABLE:
            for queue_id, queue in list(self.queues.items()):
                if queue_id != ADMIN_QUEUE_ID:
                    queue.stream.abort()
        self.configuration = value

    def abort(self) -> None:
        """Close all connections of the association."""
        for queue in list(self.queues.values()):
            queue.stream.abort()
