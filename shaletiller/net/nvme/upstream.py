"""The client for an NVMe/TCP storage node: each attempt is one command with exclusive use of an association.

An association carries one command at a time, so that cancelling an attempt can close its connections without
affecting other attempts.
"""

from __future__ import annotations

import asyncio
import logging
import math

from shaletiller.clock import Clock
from shaletiller.config import NvmeUpstreamConfig, read_address
from shaletiller.core.model import AttemptResult, ClientCall
from shaletiller.core.response_progress import ResponseProgress
from shaletiller.messages.outcomes import Outcome
from shaletiller.net.nvme.association import Association
from shaletiller.net.nvme.commands import IoOpcode, encode_io_command
from shaletiller.net.nvme.errors import NvmeUpstreamError, PduError
from shaletiller.net.nvme.host_queue import HostQueue
from shaletiller.net.nvme.pdu import MAX_IN_CAPSULE_DATA
from shaletiller.net.nvme.status import Status
from shaletiller.settings.model import Settings

logger = logging.getLogger(__name__)

# Ratio of the client's idle timeout to the configured connection idle time.  Below 1, the client closes an
# idle association before the storage node does, which would fail an attempt that starts at that moment.  A
# smaller value leaves more margin but opens more associations.
IDLE_TIMEOUT_RATIO = 0.8
SOCKETS_PER_ASSOCIATION = 2
# Error statuses which prove that the controller did not start the command; after any other the command may
# have run.
NOT_STARTED_STATUSES = frozenset({Status.NOT_READY, Status.ANA_INACCESSIBLE, Status.ANA_TRANSITION})
ASSOCIATION_ERRORS = (OSError, NvmeUpstreamError, PduError)  # OSError includes TimeoutError


class NvmeUpstreamClient:
    """An `UpstreamClient` that sends attempts to one storage node.

    :param max_sockets: the maximum number of connections, in use or idle.
    """

    def __init__(
        self, config: NvmeUpstreamConfig, settings: Settings, max_sockets: int, clock: Clock
    ) -> None:
        self._config = config
        self._clock = clock
        self.apply_settings(settings)
        self._association_slots = asyncio.Semaphore(max(1, max_sockets // SOCKETS_PER_ASSOCIATION))
        # Pairs of address and association, the most recently used last.
        self._idle_associations: list[tuple[str, Association]] = []

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings; they take effect for later attempts and idle periods."""
        self._connect_timeout_ms = settings.connect_timeout_ms
        self._idle_timeout_ms = settings.connection_idle_ms * IDLE_TIMEOUT_RATIO

    async def attempt(
        self,
        address: str,
        call: ClientCall,
        timeout_ms: float,
        start_within_ms: float = math.inf,
        progress: ResponseProgress | None = None,
    ) -> AttemptResult:
        """Send a request as a Read or Write of one block.

        :param timeout_ms: not used, because the protocol has no command deadline; the caller cancels the
            attempt.
        :param start_within_ms: the maximum wait for an association, including the time to open a new one.
        :param progress: not used, because a block is of no use before it is whole.
        """
        block = int(call.key, 16) - self._config.first_key
        if block < 0 or len(call.body) > self._config.block_bytes:
            logger.warning(
                "request %s: no attempt at node %s, key %s or its body does not fit the namespace",
                call.id,
                self._config.node,
                call.key,
            )
            return AttemptResult(Outcome.ERROR)
        start_deadline_ms = self._clock.now_ms() + start_within_ms
        try:
            async with self._clock.timeout(min(self._connect_timeout_ms, start_within_ms)):
                await self._association_slots.acquire()
        except TimeoutError:
            return AttemptResult(Outcome.CONNECT_FAILED)
        try:
            return await self._attempt(address, call, block, start_deadline_ms)
        finally:
            self._association_slots.release()

    async def _attempt(
        self, address: str, call: ClientCall, block: int, start_deadline_ms: float
    ) -> AttemptResult:
        try:
            start_within_ms = start_deadline_ms - self._clock.now_ms()
            async with self._clock.timeout(min(self._connect_timeout_ms, start_within_ms)):
                association = await self._acquire(address)
        except ASSOCIATION_ERRORS as error:
            self._log_failure(call, "could not connect", error)
            return AttemptResult(Outcome.CONNECT_FAILED)
        reusable = False
        try:
            result = await self._run_command(association.io, call, block)
            reusable = True
            return result
        except ASSOCIATION_ERRORS as error:
            if not association.io.command_sent:
                self._log_failure(call, "connection failed before the command was sent", error)
                return AttemptResult(Outcome.CONNECT_FAILED)
            self._log_failure(call, "connection failed after the command was sent, it may have run", error)
            return AttemptResult(Outcome.RESET)
        finally:
            # After a cancellation or a failure the storage node may still run the command, so the association
            # must not be reused.
            self._release(address, association, reusable)

    def _log_failure(self, call: ClientCall, failure: str, error: Exception) -> None:
        logger.warning(
            "request %s: attempt at node %s: %s: %s %s",
            call.id,
            self._config.node,
            failure,
            type(error).__name__,
            error,
        )

    async def _run_command(self, queue: HostQueue, call: ClientCall, block: int) -> AttemptResult:
        block_bytes = self._config.block_bytes
        opcode = IoOpcode.WRITE if call.write else IoOpcode.READ
        data = call.body.ljust(block_bytes, b"\0") if call.write else b""
        in_capsule = 0 < len(data) <= MAX_IN_CAPSULE_DATA
        entry = encode_io_command(
            opcode, queue.next_command_id(), self._config.nsid, block, 1, block_bytes, in_capsule
        )
        completion, received = await queue.run(entry, data, 0 if call.write else block_bytes)
        if completion.status == Status.SUCCESS and (call.write or len(received) == block_bytes):
            return AttemptResult(Outcome.OK, received)
        never_ran = completion.status in NOT_STARTED_STATUSES and not completion.do_not_retry
        return AttemptResult(Outcome.FULL if never_ran else Outcome.ERROR)

    async def _acquire(self, address: str) -> Association:
        """Return an idle association to the address, or open a new one."""
        self._close_expired()
        for index in range(len(self._idle_associations) - 1, -1, -1):
            if self._idle_associations[index][0] == address:
                return self._idle_associations.pop(index)[1]
        host, port = read_address(address, self._config.node)
        return await Association.open(host, port, self._config)

    def _release(self, address: str, association: Association, reusable: bool) -> None:
        if not reusable or association.closing:
            association.abort()
            return
        association.idle_since_ms = self._clock.now_ms()
        self._idle_associations.append((address, association))
        self._clock.call_later(self._idle_timeout_ms, self._close_expired)

    def _close_expired(self) -> None:
        """Close the idle associations that have timed out or that the storage node has closed."""
        now_ms = self._clock.now_ms()
        for entry in list(self._idle_associations):
            association = entry[1]
            if association.closing or now_ms - association.idle_since_ms >= self._idle_timeout_ms:
                self._idle_associations.remove(entry)
                association.abort()

    async def probe(self, address: str) -> AttemptResult:
        """Check that an association can be opened; an NVMe storage node returns no load report."""
        try:
            async with self._clock.timeout(self._connect_timeout_ms):
                (await self._acquire(address)).abort()
        except TimeoutError:
            return AttemptResult(Outcome.TIMEOUT)
        except ASSOCIATION_ERRORS:
            return AttemptResult(Outcome.CONNECT_FAILED)
        return AttemptResult(Outcome.OK)

    def close_idle(self, address: str) -> None:
        """Close the idle associations to an address."""
        for entry in [entry for entry in self._idle_associations if entry[0] == address]:
            self._idle_associations.remove(entry)
            entry[1].abort()

    async def close(self) -> None:
        """Close all idle associations."""
        for _, association in self._idle_associations:
            association.abort()
        self._idle_associations.clear()
