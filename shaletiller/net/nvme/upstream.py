"""A box that speaks NVMe/TCP: one attempt is one command on an association of its own.

An association carries one command at a time, so that giving up an attempt can close its connection
without harm to another's.
"""

from __future__ import annotations

import asyncio
import logging
import math
import struct
import time

from shaletiller.config import NvmeUpstreamConfig, read_address
from shaletiller.core.model import AttemptResult, ClientCall
from shaletiller.messages.outcomes import Outcome
from shaletiller.net.nvme.pdu import (
    FROM_CONTROLLER,
    IN_CAPSULE,
    LAST_PDU,
    MOST_H2C,
    Admin,
    Completion,
    Fabrics,
    Fatal,
    Io,
    Kind,
    Pdu,
    PduError,
    Property,
    Status,
    command,
    connect,
    data_pdu,
    encode,
    fabrics,
    ic_req,
    io_command,
    read_completion,
    term_req,
)
from shaletiller.net.nvme.stream import PduStream
from shaletiller.settings.model import Settings

logger = logging.getLogger(__name__)

HOST = "nqn.2026-12.example.shaletiller:host"
QUEUE_SIZE = 2
ENABLE = 0x00460001  # CC: enabled, entries of 64 and 16 bytes
IDENTIFY_BYTES = 4096
IDLE_PART = 0.8
# Statuses of commands that the controller did not begin; all others may have run.
NEVER_BEGUN = frozenset({Status.NOT_READY, Status.ANA_INACCESSIBLE, Status.ANA_TRANSITION})


class NvmeUpstreamError(Exception):
    """A box does not do what is needed of it."""


class HostQueue:
    """One queue pair as the host drives it."""

    def __init__(self, stream: PduStream) -> None:
        self._stream = stream
        self._cid = 0
        self._most_data = MOST_H2C
        self.handed_over = False  # the present command's capsule is written

    @classmethod
    async def open(cls, host: str, port: int, queue: int, cntlid: int, subsystem: str) -> HostQueue:
        reader, writer = await asyncio.open_connection(host, port)
        self = cls(PduStream(reader, writer, FROM_CONTROLLER))
        try:
            await self._greet(queue, cntlid, subsystem)
        except BaseException:
            self.abort()
            raise
        return self

    async def _greet(self, queue: int, cntlid: int, subsystem: str) -> None:
        self._stream.send(ic_req())
        pdu = await self._next()
        if pdu.kind is not Kind.IC_RESP or pdu.field("H", 8) != 0:
            raise NvmeUpstreamError("no ICResp of version 0")
        if pdu.field("B", 11) != 0:
            raise NvmeUpstreamError("digests that were not asked for")
        if pdu.field("B", 10) != 0:
            raise NvmeUpstreamError("a data alignment that is not kept here")
        self._most_data = min(MOST_H2C, max(4096, pdu.field("I", 12)))
        self._stream.send(connect(0, queue, QUEUE_SIZE, 0, cntlid, subsystem, HOST))
        done, _ = await self._answer(0, b"", 0)
        if done.status != Status.SUCCESS:
            raise NvmeUpstreamError(f"Connect ended with {done.status:#x}")
        self.cntlid = done.result & 0xFFFF

    async def _next(self) -> Pdu:
        try:
            pdu = await self._stream.next()
        except PduError as error:
            self._stream.send(term_req(Kind.H2C_TERM, error))
            raise
        if pdu is None:
            raise ConnectionResetError("the box closed the connection")
        if pdu.kind is Kind.C2H_TERM:
            raise NvmeUpstreamError(f"the box ended the connection: {pdu.field('H', 8):#x}")
        return pdu

    async def run(self, entry: bytes, data: bytes = b"", wants: int = 0) -> tuple[Completion, bytes]:
        """One command.  `entry` names its id as `self.next_cid()` gave it."""
        self.handed_over = False
        in_capsule = data if 0 < len(data) <= IN_CAPSULE else b""
        if self._stream.closing:
            raise ConnectionResetError("the box closed the connection")
        # From here on the box may act: it need not wait for the data of an R2T to begin.
        self.handed_over = True
        self._stream.send(encode(Kind.CAPSULE_CMD, entry, in_capsule))
        await self._stream.flushed()
        return await self._answer(self._cid, data, wants)

    def next_cid(self) -> int:
        self._cid = (self._cid + 1) & 0x7FFF
        return self._cid

    async def _answer(self, cid: int, data: bytes, wants: int) -> tuple[Completion, bytes]:
        got = bytearray()
        while True:
            pdu = await self._next()
            if pdu.kind is Kind.CAPSULE_RESP:
                done = read_completion(pdu)
                if done.cid != cid:
                    raise PduError(Fatal.SEQUENCE, "completion of another command")
                return done, bytes(got)
            if pdu.field("H", 8) != cid:
                raise PduError(Fatal.HEADER_FIELD, "data of another command", 8)
            if pdu.kind is Kind.R2T:
                await self._give(pdu, cid, data)
            elif pdu.kind is Kind.C2H_DATA:
                if pdu.field("I", 12) != len(got) or len(got) + len(pdu.data) > wants:
                    raise PduError(Fatal.OUT_OF_RANGE, "data out of range", 12)
                got += pdu.data
                if pdu.flags & 0x08:  # SUCCESS: no completion follows
                    return Completion(cid, Status.SUCCESS, 0, 0, False), bytes(got)
            else:
                raise PduError(Fatal.SEQUENCE, f"unexpected {pdu.kind.name}")

    async def _give(self, pdu: Pdu, cid: int, data: bytes) -> None:
        """The part of the data that the box asks for, in pieces that it takes."""
        ttag, start, length = pdu.field("H", 10), pdu.field("I", 12), pdu.field("I", 16)
        if not length or start + length > len(data):
            raise PduError(Fatal.OUT_OF_RANGE, "an R2T beyond the data", 12)
        for at in range(start, start + length, self._most_data):
            piece = data[at : min(at + self._most_data, start + length)]
            last = LAST_PDU if at + len(piece) == start + length else 0
            self._stream.send(data_pdu(Kind.H2C_DATA, cid, ttag, at, piece, last))
            await self._stream.flushed()

    @property
    def closing(self) -> bool:
        return self._stream.closing

    def abort(self) -> None:
        self._stream.abort()


class Association:
    """An admin queue and one I/O queue at a box."""

    def __init__(self, admin: HostQueue, io: HostQueue) -> None:
        self.admin, self.io = admin, io
        self.idle_since = 0.0

    @classmethod
    async def open(cls, host: str, port: int, box: NvmeUpstreamConfig) -> Association:
        admin = await HostQueue.open(host, port, 0, 0xFFFF, box.subsystem)
        try:
            await cls._enable(admin, box)
            return cls(admin, await HostQueue.open(host, port, 1, admin.cntlid, box.subsystem))
        except BaseException:
            admin.abort()
            raise

    @staticmethod
    async def _enable(admin: HostQueue, box: NvmeUpstreamConfig) -> None:
        tail = struct.pack("<B3xIQ", 0, Property.CC, ENABLE)
        done, _ = await admin.run(fabrics(Fabrics.PROPERTY_SET, admin.next_cid(), tail))
        while done.status == Status.SUCCESS:
            tail = struct.pack("<B3xI", 0, Property.CSTS)
            done, _ = await admin.run(fabrics(Fabrics.PROPERTY_GET, admin.next_cid(), tail))
            if done.result & 1:
                break
            await asyncio.sleep(0.005)
        if done.status != Status.SUCCESS:
            raise NvmeUpstreamError(f"the controller is not ready: {done.status:#x}")
        entry = command(Admin.IDENTIFY, admin.next_cid(), box.nsid, length=IDENTIFY_BYTES)
        done, data = await admin.run(entry, wants=IDENTIFY_BYTES)
        if done.status != Status.SUCCESS or len(data) != IDENTIFY_BYTES:
            raise NvmeUpstreamError(f"namespace {box.nsid}: {done.status:#x}")
        block_bytes = 1 << data[130 + 4 * (data[26] & 0xF)]  # LBADS of the format in use
        if block_bytes != box.block_bytes:
            raise NvmeUpstreamError(
                f"namespace {box.nsid} has blocks of {block_bytes} bytes, not {box.block_bytes}"
            )

    @property
    def closing(self) -> bool:
        return self.admin.closing or self.io.closing

    def abort(self) -> None:
        self.io.abort()
        self.admin.abort()


class NvmeUpstreamClient:
    """The back of one NVMe box."""

    def __init__(self, box: NvmeUpstreamConfig, settings: Settings, most: int) -> None:
        self._box = box
        self.retune(settings)
        self._places = asyncio.Semaphore(max(1, most // 2))  # an association holds two sockets
        self._idle: list[tuple[str, Association]] = []

    def retune(self, settings: Settings) -> None:
        self._connect_s = settings.connect_timeout_ms / 1000
        self._idle_s = settings.connection_idle_ms / 1000 * IDLE_PART

    async def attempt(
        self,
        address: str,
        call: ClientCall,
        timeout_ms: float,
        start_within_ms: float = math.inf,
    ) -> AttemptResult:
        block = int(call.key, 16) - self._box.first_key
        if block < 0 or len(call.body) > self._box.block_bytes:
            logger.warning(f"box {self._box.node}: key {call.key} or its body does not fit")
            return AttemptResult(Outcome.ERROR)
        bound_s = time.monotonic() + start_within_ms / 1000  # for the wait for a place and the association
        try:
            async with asyncio.timeout(min(self._connect_s, start_within_ms / 1000)):
                await self._places.acquire()
        except TimeoutError:
            return AttemptResult(Outcome.CONNECT_FAILED)
        try:
            return await self._attempt(address, call, block, bound_s)
        finally:
            self._places.release()

    async def _attempt(self, address: str, call: ClientCall, block: int, bound_s: float) -> AttemptResult:
        try:
            async with asyncio.timeout(max(0.0, min(self._connect_s, bound_s - time.monotonic()))):
                association = await self._take(address)
        except (OSError, NvmeUpstreamError, PduError) as error:  # TimeoutError is an OSError
            logger.warning(f"box {self._box.node}: no association: {type(error).__name__} {error}")
            return AttemptResult(Outcome.CONNECT_FAILED)
        kept = False
        try:
            reply = await self._command(association.io, call, block)
            kept = True
            return reply
        except (OSError, NvmeUpstreamError, PduError) as error:
            sent = association.io.handed_over
            when = "after" if sent else "before"
            logger.warning(
                f"box {self._box.node}: {type(error).__name__} {when} the capsule was sent: {error}"
            )
            return AttemptResult(Outcome.RESET if sent else Outcome.CONNECT_FAILED)
        finally:
            # Cancelled or broken: the command may still come to its end over there, but never on a
            # connection that another one uses.
            if kept and not association.closing:
                association.idle_since = time.monotonic()
                self._idle.append((address, association))
                asyncio.get_running_loop().call_later(self._idle_s, self._sweep)
            else:
                association.abort()

    def _sweep(self) -> None:
        """Close what has been idle for too long, or was closed by the box."""
        now = time.monotonic()
        stale = [each for each in self._idle if each[1].closing or now - each[1].idle_since >= self._idle_s]
        for each in stale:
            self._idle.remove(each)
            each[1].abort()

    async def _take(self, address: str) -> Association:
        self._sweep()
        for at in range(len(self._idle) - 1, -1, -1):
            if self._idle[at][0] == address:
                return self._idle.pop(at)[1]
        host, port = read_address(address, self._box.node)
        return await Association.open(host, port, self._box)

    async def _command(self, queue: HostQueue, call: ClientCall, block: int) -> AttemptResult:
        size = self._box.block_bytes
        kind = Io.WRITE if call.write else Io.READ
        data = call.body.ljust(size, b"\0") if call.write else b""
        in_capsule = 0 < len(data) <= IN_CAPSULE
        entry = io_command(kind, queue.next_cid(), self._box.nsid, block, 1, size, in_capsule)
        done, got = await queue.run(entry, data, 0 if call.write else size)
        if done.status == Status.SUCCESS and (call.write or len(got) == size):
            return AttemptResult(Outcome.OK, got)
        never = done.status in NEVER_BEGUN and not done.final
        return AttemptResult(Outcome.FULL if never else Outcome.ERROR)

    async def probe(self, address: str) -> AttemptResult:
        """Whether an association comes up; a box tells no load."""
        try:
            async with asyncio.timeout(self._connect_s):
                (await self._take(address)).abort()
        except TimeoutError:
            return AttemptResult(Outcome.TIMEOUT)
        except (OSError, NvmeUpstreamError, PduError):
            return AttemptResult(Outcome.CONNECT_FAILED)
        return AttemptResult(Outcome.OK)

    def close_idle(self, address: str) -> None:
        for each in [each for each in self._idle if each[0] == address]:
            self._idle.remove(each)
            each[1].abort()

    async def close(self) -> None:
        for _, association in self._idle:
            association.abort()
        self._idle.clear()
