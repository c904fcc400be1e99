"""An association with the controller of a storage node: an admin queue and one I/O queue."""

from __future__ import annotations

import asyncio

from shaletiller.config import NvmeUpstreamConfig
from shaletiller.net.nvme.commands import (
    DYNAMIC_CONTROLLER_ID,
    IDENTIFY_BYTES,
    AdminOpcode,
    Property,
    encode_command,
    encode_property_get,
    encode_property_set,
)
from shaletiller.net.nvme.errors import NvmeUpstreamError
from shaletiller.net.nvme.host_queue import HostQueue
from shaletiller.net.nvme.status import Status

ADMIN_QUEUE_ID, IO_QUEUE_ID = 0, 1
CC_ENABLE_WITH_ENTRY_SIZES = 0x00460001  # CC.EN, IOSQES 64 bytes, IOCQES 16 bytes
CSTS_READY = 0x1
READY_POLL_S = 0.005  # interval between reads of CSTS while the controller is being enabled


class Association:
    """An admin queue and an I/O queue; `idle_since_ms` is the time of the last command's end."""

    def __init__(self, admin: HostQueue, io: HostQueue) -> None:
        self.admin = admin
        self.io = io
        self.idle_since_ms = 0.0

    @classmethod
    async def open(cls, host: str, port: int, config: NvmeUpstreamConfig) -> Association:
        """Connect both queues, enable the controller and check the namespace's block size.

        :raises OSError, NvmeUpstreamError, PduError: if the association cannot be established.
        """
        admin = await HostQueue.open(host, port, ADMIN_QUEUE_ID, DYNAMIC_CONTROLLER_ID, config.subsystem)
        try:
            await _enable_controller(admin)
            await _check_namespace(admin, config)
            io = await HostQueue.open(host, port, IO_QUEUE_ID, admin.controller_id, config.subsystem)
        except BaseException:
            admin.abort()
            raise
        return cls(admin, io)

    @property
    def closing(self) -> bool:
        """Whether either connection is closed."""
        return self.admin.closing or self.io.closing

    def abort(self) -> None:
        """Close both connections."""
        self.io.abort()
        self.admin.abort()


async def _enable_controller(admin: HostQueue) -> None:
    """Enable the controller and poll CSTS until it reports ready."""
    entry = encode_property_set(admin.next_command_id(), Property.CC, CC_ENABLE_WITH_ENTRY_SIZES)
    completion, _ = await admin.run(entry)
    while completion.status == Status.SUCCESS:
        completion, _ = await admin.run(encode_property_get(admin.next_command_id(), Property.CSTS))
        if completion.result & CSTS_READY:
            break
        await asyncio.sleep(READY_POLL_S)
    if completion.status != Status.SUCCESS:
        raise NvmeUpstreamError(
            f"the controller could not be enabled: command ended with status {completion.status:#x}"
        )


async def _check_namespace(admin: HostQueue, config: NvmeUpstreamConfig) -> None:
    entry = encode_command(AdminOpcode.IDENTIFY, admin.next_command_id(), config.nsid, length=IDENTIFY_BYTES)
    completion, data = await admin.run(entry, read_bytes=IDENTIFY_BYTES)
    if completion.status != Status.SUCCESS or len(data) != IDENTIFY_BYTES:
        raise NvmeUpstreamError(
            f"namespace {config.nsid}: Identify failed with status {completion.status:#x}"
        )
    block_format = data[26] & 0xF  # FLBAS
    block_bytes = 1 << data[130 + 4 * block_format]  # LBADS of the format in use
    if block_bytes != config.block_bytes:
        raise NvmeUpstreamError(
            f"namespace {config.nsid}: block size is {block_bytes} bytes, configured are {config.block_bytes}"
        )
