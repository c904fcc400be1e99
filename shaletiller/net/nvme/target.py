"""The NVMe/TCP target: hosts connect to its subsystem, whose namespaces are volumes of the gateway.

Each block is an object: a Read or Write becomes one client request per block, and completes when all of them
have their final responses.  A rejected command completes with Command Interrupted and the command retry
delay; a failed Write that may have run completes with Write Fault and Do Not Retry.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import secrets

from shaletiller.config import NvmeTargetConfig
from shaletiller.config.nvme import MAX_TRANSFER_BYTES
from shaletiller.core.interfaces import RequestSink
from shaletiller.core.memory_account import MemoryAccount, MemoryOwner
from shaletiller.net.bounded_reads import start_stream_server
from shaletiller.net.nvme.controller import Controller
from shaletiller.net.nvme.pdu import FROM_HOST
from shaletiller.net.nvme.queue import ControllerQueue
from shaletiller.net.nvme.stream import PduStream

logger = logging.getLogger(__name__)

# How long the target waits for the host to close its side of a connection that the target closes.  Hosts do
# so within one round trip; a larger value delays the end of the process.
CLOSE_TIMEOUT_S = 0.05
READ_BYTES = 32 * 1024  # that are read at once from a host
# Approximate private memory of a connection with its input: up to three reads, and a PDU that is incomplete.
CONNECTION_BYTES = 64 * 1024
READ_TURNS = 4  # event loop iterations that a command takes at most from its socket to its handler
STOP_POLL_S = 0.01  # interval at which `stop` checks for pending commands


class NvmeTarget:
    """Accepts connections from NVMe/TCP hosts and serves their commands.

    :param requests: the engine, which serves the requests for the blocks.
    :param memory: account that connections and commands are charged to.
    """

    def __init__(
        self, config: NvmeTargetConfig, requests: RequestSink, memory: MemoryAccount | None = None
    ) -> None:
        self.config = config
        self.memory = memory or MemoryAccount()
        self.requests = requests
        self.namespaces = {namespace.nsid: namespace for namespace in config.namespaces}
        self.controllers: dict[int, Controller] = {}  # one per association, by controller id
        self.write_data_bytes = 0  # memory reserved for the write data of all pending commands
        self.address: tuple[str, int] = ("", 0)
        self.rejects_commands = False  # whether new I/O commands are rejected, as the process ends
        self._server: asyncio.Server | None = None
        self._queues: dict[asyncio.Task[None], ControllerQueue] = {}
        self._request_numbers = itertools.count(1)
        self._request_prefix = secrets.token_hex(4)

    async def start(self, host: str, port: int) -> None:
        """Listen with `reuse_port`, so that a replacement process can listen on the same address."""
        self._server = await start_stream_server(
            self._serve_connection, (host, port), READ_BYTES, reuse_port=True
        )
        self.address = self._server.sockets[0].getsockname()[:2]

    @property
    def busy(self) -> bool:
        """Whether any command still waits for its completion."""
        queues = (queue for controller in self.controllers.values() for queue in controller.queues.values())
        return any(queue.pending for queue in queues)

    def stop_listening(self) -> None:
        """Close the listening socket; open connections are not affected."""
        if self._server is not None:
            self._server.close()

    def reject_new_commands(self) -> None:
        """Complete each I/O command that is received from now on at once; its host sends it again."""
        self.rejects_commands = True

    async def stop(self, grace_s: float) -> None:
        """Read no more, complete the commands that were read, and close all connections.

        :param grace_s: the maximum time until the connections are closed.
        """
        self.stop_listening()
        self.reject_new_commands()
        await self._end_reading()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, grace_s - 2 * CLOSE_TIMEOUT_S)):
                while self.busy:
                    await asyncio.sleep(STOP_POLL_S)
        pending = sum(len(queue.pending) for queue in self._queues.values())
        if pending:
            logger.warning("shutdown: NVMe connections are closed with %d commands pending", pending)
        # I/O queues are closed first: closing an admin queue aborts its I/O queues, which would discard
        # completions that are still being sent.
        await self._close_queues(admin=False)
        await self._close_queues(admin=True)

    async def _end_reading(self) -> None:
        """Handle the commands that have arrived, and read no more."""
        for _ in range(READ_TURNS):
            await asyncio.sleep(0)
        for queue in self._queues.values():
            queue.stream.end_reading()
        for _ in range(READ_TURNS):  # for commands that were read and are not handled yet
            await asyncio.sleep(0)
        for queue in self._queues.values():
            queue.reject_incomplete_commands()

    async def _close_queues(self, admin: bool) -> None:
        """Close either the admin queues or all other connections, and wait until they are closed."""
        tasks = [task for task, queue in self._queues.items() if queue.is_admin is admin]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def next_request_id(self) -> str:
        """Return a request id of 16 hex digits; its random prefix keeps it unique across restarts."""
        return f"{self._request_prefix}{next(self._request_numbers) & 0xFFFFFFFF:08x}"

    def new_controller(self, host: str, keep_alive_ms: int) -> Controller:
        """Create and register the controller for a new association.

        :param host: the NQN of the host.
        :param keep_alive_ms: the keep alive timeout (KATO); 0 disables it.
        """
        controller_id = next(number for number in itertools.count(1) if number not in self.controllers)
        controller = Controller(controller_id, host, keep_alive_ms)
        self.controllers[controller_id] = controller
        return controller

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # The buffer fits the read data of a full queue; `config/nvme.py` checks the total over all
        # connections.
        max_unsent_bytes = (self.config.queue_depth + 1) * MAX_TRANSFER_BYTES
        stream = PduStream(reader, writer, FROM_HOST, max_unsent_bytes, self.memory)
        if len(self._queues) >= self.config.max_connections:
            logger.warning(
                "NVMe host %s: connection closed, %d are open already", stream.peer, len(self._queues)
            )
            stream.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        queue = self._queues[task] = ControllerQueue(self, stream)
        self.memory.charge(MemoryOwner.CONNECTIONS, CONNECTION_BYTES)
        try:
            await queue.run()
        except asyncio.CancelledError:
            pass  # the target is stopping; the connection is still closed gracefully
        except Exception:
            # An unexpected error ends only this connection, not the target.
            logger.exception("NVMe host %s: its connection failed and is closed", stream.peer)
        finally:
            queue.end()
            self.memory.charge(MemoryOwner.CONNECTIONS, -CONNECTION_BYTES)
            try:
                await stream.close_gracefully(CLOSE_TIMEOUT_S)
            finally:
                self._queues.pop(task, None)
