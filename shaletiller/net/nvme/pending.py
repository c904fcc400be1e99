"""A host's command between its capsule and its completion."""

from __future__ import annotations

from dataclasses import dataclass, field

from shaletiller.config import NvmeNamespace
from shaletiller.core.model import Exchange, FinalResponse
from shaletiller.net.nvme.commands import Command, IoOpcode


@dataclass(slots=True)
class PendingCommand:
    """A command that owes its host a completion.

    `namespace` is set for a Read or Write that was accepted.  `data` is the write data that was received, and
    `missing_bytes` what an R2T still waits for.  `exchanges` are the client requests of its blocks;
    `responses` has their final responses by the block's position.  `submitted` means that there is a request
    for each block, `done` that the completion was sent or that none is owed any more.
    """

    command: Command
    namespace: NvmeNamespace | None = None
    data: bytearray = field(default_factory=bytearray)
    missing_bytes: int = 0
    exchanges: list[Exchange] = field(default_factory=list)
    responses: dict[int, FinalResponse] = field(default_factory=dict)
    submitted: bool = False
    done: bool = False

    @property
    def is_write(self) -> bool:
        """Whether it is a Write, provided that it is an I/O command."""
        return self.command.opcode == IoOpcode.WRITE

    @property
    def reserved_bytes(self) -> int:
        """The memory that its write data may occupy."""
        if self.namespace is None or not self.is_write:
            return 0
        return self.command.blocks * self.namespace.block_bytes
