"""The NVMe/TCP target: hosts connect to its one subsystem, whose namespaces are volumes of the gateway.

A block is an object: a Read or Write becomes one client request for each of its blocks, and completes when
all of them have their final responses.  A rejection is Command Interrupted with the command retry delay; a
write that may have run is a Write Fault with Do Not Retry.
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
from shaletiller.net.nvme.controller import Controller
from shaletiller.net.nvme.pdu import FROM_HOST
from shaletiller.net.nvme.queue import ControllerQueue
from shaletiller.net.nvme.stream import PduStream

logger = logging.getLogger(__name__)

# How long a connection that the gateway closes waits for its host to close it too.  Empirical: hosts do so
# within one round trip; it delays the end of the process.
CLOSE_TIMEOUT_S = 0.05
STOP_POLL_S = 0.01  # empirical: how often a stop looks whether completions are still owed


class NvmeTarget:
    """Listens for NVMe/TCP hosts.

    :param requests: the engine, which serves the blocks' requests.
    """

    def __init__(self, config: NvmeTargetConfig, requests: RequestSink) -> None:
        self.config = config
        self.requests = requests
        self.namespaces = {space.nsid: space for space in config.namespaces}
        self.controllers: dict[int, Controller] = {}  # one for each association, by controller id
        self.write_data_bytes = 0  # reserved for the write data of all hosts' commands
        self.address: tuple[str, int] = ("", 0)
        self._server: asyncio.Server | None = None
        self._queues: dict[asyncio.Task[None], ControllerQueue] = {}
        self._request_numbers = itertools.count(1)
        self._request_prefix = secrets.token_hex(4)

    async def start(self, host: str, port: int) -> None:
        """Listen; with `reuse_port`, for the process that replaces this one listens on the same address."""
        self._server = await asyncio.start_server(self._serve_connection, host, port, reuse_port=True)
        self.address = self._server.sockets[0].getsockname()[:2]

    @property
    def busy(self) -> bool:
        """Whether a completion is owed to a host."""
        queues = (queue for each in self.controllers.values() for queue in each.queues.values())
        return any(queue.pending for queue in queues)

    def shut(self) -> None:
        """Accept no further connections."""
        if self._server is not None:
            self._server.close()

    async def stop(self, grace_s: float) -> None:
        """Accept no further connections, send the completions that are owed, and close all connections.

        :param grace_s: the wait for completions.
        """
        self.shut()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grace_s):
                while self.busy:
                    await asyncio.sleep(STOP_POLL_S)
        # An admin queue that ends aborts its I/O queues, and with them the completions that they still send.
        await self._end_queues(admin=False)
        await self._end_queues(admin=True)

    async def _end_queues(self, admin: bool) -> None:
        tasks = [task for task, queue in self._queues.items() if queue.is_admin is admin]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def next_request_id(self) -> str:
        """An id for a block's request: 16 hex digits that an earlier process has not used either."""
        return f"{self._request_prefix}{next(self._request_numbers) & 0xFFFFFFFF:08x}"

    def new_controller(self, host: str, keep_alive_ms: int) -> Controller:
        """Make the controller of a new association.

        :param host: the host's NQN.
        """
        controller_id = next(number for number in itertools.count(1) if number not in self.controllers)
        controller = Controller(controller_id, host, keep_alive_ms)
        self.controllers[controller_id] = controller
        return controller

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # The data of a full queue's commands fits; `config/nvme.py` checks that all connections' does.
        max_unsent_bytes = (self.config.queue_depth + 1) * MAX_TRANSFER_BYTES
        stream = PduStream(reader, writer, FROM_HOST, max_unsent_bytes)
        if len(self._queues) >= self.config.max_connections:
            logger.warning(
                "NVMe host %s: connection closed, %d are open already", stream.peer, len(self._queues)
            )
            stream.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        queue = self._queues[task] = ControllerQueue(self, stream)
        try:
            await queue.run()
        except asyncio.CancelledError:
            pass  # the target stops: the connection is still closed gracefully
        except Exception:
            # Whatever fails here concerns one connection; the others go on.
            logger.exception("NVMe host %s: its connection failed and is closed", stream.peer)
        finally:
            queue.end()
            try:
                await stream.close_gracefully(CLOSE_TIMEOUT_S)
            finally:
                self._queues.pop(task, None)
