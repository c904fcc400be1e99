"""The state of a host's command from its capsule to its completion."""

from __future__ import annotations

from dataclasses import dataclass, field

from shaletiller.config import NvmeNamespace
from shaletiller.core.model import Exchange, FinalResponse
from shaletiller.net.nvme.commands import Command, IoOpcode


@dataclass(slots=True)
class PendingCommand:
    """A command whose completion has not been sent.

    `namespace` is set once a Read or Write is accepted. `charged_bytes` is charged in the memory account.
    `data` is the write data received so far, and `missing_bytes` the number of bytes that the R2T
    requested and the host has not sent. `exchanges` are the client requests for the blocks; `responses`
    maps the position of a block within the command to its final response. `submitted` is set when a
    request for every block has been submitted. `done` is set when the completion has been sent, or when
    the host has disconnected and needs none.
    """

    command: Command
    namespace: NvmeNamespace | None = None
    charged_bytes: int = 0
    data: bytearray = field(default_factory=bytearray)
    missing_bytes: int = 0
    exchanges: list[Exchange] = field(default_factory=list)
    responses: dict[int, FinalResponse] = field(default_factory=dict)
    submitted: bool = False
    done: bool = False

    @property
    def is_write(self) -> bool:
        """Whether the command is a Write; valid only for I/O commands."""
        return self.command.opcode == IoOpcode.WRITE

    @property
    def reserved_bytes(self) -> int:
        """Bytes of memory reserved for the write data of the command."""
        if self.namespace is None or not self.is_write:
            return 0
        return self.command.blocks * self.namespace.block_bytes
