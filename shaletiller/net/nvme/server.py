"""The NVMe/TCP front: a controller whose namespaces are objects behind the gateway's decisions.

A block is an object.  A Read or Write becomes one core call for each of its blocks, and its completion
waits for all of them.  A refusal is Command Interrupted with the command retry delay; a write that may
have run is a Write Fault that must not be retried.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import secrets
import struct
from dataclasses import dataclass, field

from shaletiller.config import NVME_TRANSFER, NvmeNamespace
from shaletiller.config import NvmeFront as FrontConfig
from shaletiller.core.model import (
    BadRequestError,
    ClientCall,
    Exchange,
    FinalResponse,
    FinalResult,
    RequestSink,
)
from shaletiller.net.nvme import identify
from shaletiller.net.nvme.pdu import (
    CONNECT_DATA_BYTES,
    FABRICS,
    FROM_HOST,
    IN_CAPSULE,
    LAST_PDU,
    MOST_H2C,
    SGL_IN_CAPSULE,
    SGL_TRANSPORT,
    Admin,
    Command,
    Fabrics,
    Fatal,
    Io,
    Kind,
    Pdu,
    PduError,
    Property,
    Status,
    completion,
    data_pdu,
    ic_resp,
    r2t,
    term_req,
)
from shaletiller.net.nvme.stream import PduStream

logger = logging.getLogger(__name__)

OPENING_S = 5.0  # a connection that has not connected its queue by then is closed
HALF_CLOSED_S = 0.05  # how long a connection that is shut waits for its host to close it too
MOST_QUEUES = 16  # I/O queues of one association
MOST_HELD = 16 << 20  # write data held for all clients together
NUMBER_OF_QUEUES, KEEP_ALIVE_TIMER, HOST_BEHAVIOUR = 0x07, 0x0F, 0x16
FUSED = 0x03
RESET_CC, ENABLED, READY, SHUT_DOWN = 0, 0x1, 0x1, 0x8


class CommandError(Exception):
    """A command that ends with a status of its own; never retried as it is."""

    def __init__(self, status: Status, final: bool = True) -> None:
        super().__init__(status.name)
        self.status, self.final = status, final


@dataclass(slots=True)
class Pending:
    """A command between its capsule and its completion."""

    command: Command
    space: NvmeNamespace | None = None
    data: bytearray = field(default_factory=bytearray)
    wanted: int = 0  # bytes still to come by R2T
    exchanges: list[Exchange] = field(default_factory=list)
    answers: dict[int, FinalResponse] = field(default_factory=dict)
    put: bool = False  # all of its blocks' calls are made
    done: bool = False


@dataclass(slots=True)
class Association:
    """One host's controller: an admin queue and its I/O queues."""

    cntlid: int
    host: str
    kato_ms: int
    cc: int = RESET_CC
    retries: bool = False  # the host understands command retry delays
    queues: dict[int, Queue] = field(default_factory=dict)

    @property
    def status(self) -> int:
        shut = SHUT_DOWN if self.cc >> 14 & 3 else 0
        return (READY if self.cc & ENABLED else 0) | shut

    def set_cc(self, value: int) -> None:
        """A controller that is disabled loses its I/O queues, and their commands with them."""
        if self.cc & ENABLED and not value & ENABLED:
            for number, queue in list(self.queues.items()):
                if number:
                    queue.stream.abort()
        self.cc = value

    def end(self) -> None:
        for queue in list(self.queues.values()):
            queue.stream.abort()


class NvmeFront:
    """Listens for NVMe/TCP hosts."""

    def __init__(self, config: FrontConfig, calls: RequestSink) -> None:
        self.config = config
        self.calls = calls
        self.spaces = {space.nsid: space for space in config.namespace}
        self.associations: dict[int, Association] = {}
        self.held_bytes = 0
        self.address: tuple[str, int] = ("", 0)
        self._server: asyncio.Server | None = None
        self._queues: dict[asyncio.Task[None], Queue] = {}
        self._ids = itertools.count(1)
        self._prefix = secrets.token_hex(4)

    async def start(self, host: str, port: int) -> None:
        # reuse_port: the process that replaces this one listens beside it on the same address.
        self._server = await asyncio.start_server(self._accepted, host, port, reuse_port=True)
        self.address = self._server.sockets[0].getsockname()[:2]

    @property
    def busy(self) -> bool:
        """Whether a completion is owed."""
        queues = (queue for each in self.associations.values() for queue in each.queues.values())
        return any(queue.pending for queue in queues)

    def shut(self) -> None:
        """No further connections."""
        if self._server is not None:
            self._server.close()

    async def stop(self, grace_s: float) -> None:
        """No further connections; what is held gets its completion first."""
        self.shut()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grace_s):
                while self.busy:
                    await asyncio.sleep(0.01)
        for admin in (False, True):  # an admin queue that ends cuts off what its I/O queues still send
            ends = [task for task, queue in self._queues.items() if queue.admin is admin]
            for task in ends:
                task.cancel()
            await asyncio.gather(*ends, return_exceptions=True)

    def next_id(self) -> str:
        """A request id for a block's call, of 16 hex digits and new after a restart too."""
        return f"{self._prefix}{next(self._ids) & 0xFFFFFFFF:08x}"

    def new_association(self, host: str, kato_ms: int) -> Association:
        cntlid = next(n for n in itertools.count(1) if n not in self.associations)
        found = self.associations[cntlid] = Association(cntlid, host, kato_ms)
        return found

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # All that a whole queue may ask for at once fits; see the check of `front.connections` in config.
        owed = (self.config.queue_depth + 1) * NVME_TRANSFER
        stream = PduStream(reader, writer, FROM_HOST, owed)
        if len(self._queues) >= self.config.connections:
            logger.warning("too many NVMe connections, one closed")
            stream.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        queue = self._queues[task] = Queue(self, stream)
        try:
            await queue.run()
        except asyncio.CancelledError:
            pass  # the process ends: so does this task, in order
        except Exception as error:  # one connection's trouble is no other's
            logger.warning(f"NVMe connection broke: {error!r}")
        finally:
            queue.end()
            try:
                await stream.close_gracefully(HALF_CLOSED_S)
            finally:
                self._queues.pop(task, None)


class Queue:
    """One connection: a queue pair, from ICReq to its end."""

    def __init__(self, front: NvmeFront, stream: PduStream) -> None:
        self.front = front
        self.stream = stream
        self.pending: dict[int, Pending] = {}
        self._association: Association | None = None
        self._id = -1
        self._size = 0
        self._head = 0
        self._flow = True
        self._events: list[int] = []

    async def run(self) -> None:
        try:
            first = await self.stream.next(OPENING_S)
            if first is None:
                return
            self._initialize(first)
            while True:
                pdu = await self.stream.next(self._patience_s())
                if pdu is None or not self._take(pdu):
                    return
                await self.stream.flushed()
        except PduError as error:
            # The offending header goes back with the reason, then the connection ends.
            logger.warning(f"NVMe connection ended: {error}")
            self.stream.send(term_req(Kind.C2H_TERM, error))
        except (TimeoutError, ConnectionError) as error:
            logger.warning(f"NVMe connection ended: {type(error).__name__}")

    @property
    def admin(self) -> bool:
        return self._id == 0

    def _patience_s(self) -> float | None:
        if self._association is None:
            return OPENING_S
        kato_ms = self._association.kato_ms if self._id == 0 else 0
        return kato_ms / 1000 if kato_ms else None

    def end(self) -> None:
        """The host is gone: nothing is owed to it, and what was made for it is called off."""
        for pending in list(self.pending.values()):
            self._call_off(pending)
        if self._association is not None:
            self._association.queues.pop(self._id, None)
            if self._id == 0:
                self.front.associations.pop(self._association.cntlid, None)
                self._association.end()

    def _initialize(self, pdu: Pdu) -> None:
        if pdu.kind is not Kind.IC_REQ:
            raise PduError(Fatal.SEQUENCE, "no ICReq first")
        version, alignment = pdu.field("H", 8), pdu.field("B", 10)
        if version != 0:
            raise PduError(Fatal.UNSUPPORTED, f"PDU version {version}", 8)
        if alignment != 0:
            raise PduError(Fatal.UNSUPPORTED, f"data alignment {alignment}", 10)
        self.stream.send(ic_resp())  # asks for digests are declined here

    def _take(self, pdu: Pdu) -> bool:
        """One PDU; False ends the connection."""
        if pdu.kind is Kind.CAPSULE_CMD:
            self._on_command(Command(pdu.header), pdu.data)
        elif pdu.kind is Kind.H2C_DATA:
            self._on_data(pdu)
        elif pdu.kind is Kind.H2C_TERM:
            logger.warning(f"NVMe host ended the connection: {pdu.field('H', 8):#x}")
            return False
        else:
            raise PduError(Fatal.SEQUENCE, "a second ICReq")
        return True

    # ---- commands

    def _on_command(self, command: Command, data: bytes) -> None:
        if self._size and len(self.pending) + len(self._events) >= self._size:
            raise PduError(Fatal.SEQUENCE, "more commands than the queue holds")
        if self._size:
            self._head = (self._head + 1) % self._size
        if command.cid in self.pending or command.cid in self._events:
            self._complete(command.cid, Status.ID_CONFLICT, final=True)
            return
        pending = Pending(command)
        self.pending[command.cid] = pending
        try:
            self._dispatch(pending, data)
        except CommandError as error:
            self._finish(pending, error.status, final=error.final)

    def _dispatch(self, pending: Pending, data: bytes) -> None:
        command = pending.command
        if command.opcode == FABRICS:
            self._fabrics(pending, command.raw[4], data)
        elif self._association is None or not self._association.cc & ENABLED:
            raise CommandError(Status.SEQUENCE)
        elif self._id == 0:
            self._admin(pending, self._association, data)
        else:
            self._io(pending, data)

    def _finish(
        self,
        pending: Pending,
        status: int,
        *,
        result: int = 0,
        retry: int = 0,
        final: bool = False,
        data: bytes = b"",
    ) -> None:
        """The command's one completion, with its data before it."""
        if pending.done:
            return
        pending.done = True
        self._drop(pending)
        cid = pending.command.cid
        if data:
            self.stream.send(data_pdu(Kind.C2H_DATA, cid, 0, 0, data))
        self._complete(cid, status, result=result, retry=retry, final=final)

    def _complete(
        self,
        cid: int,
        status: int,
        *,
        result: int = 0,
        retry: int = 0,
        final: bool = False,
    ) -> None:
        head = self._head if self._flow else 0xFFFF
        self.stream.send(
            completion(
                cid, status, result=result, sq_head=head, sq_id=max(0, self._id), retry=retry, final=final
            )
        )

    def _drop(self, pending: Pending) -> None:
        if self.pending.pop(pending.command.cid, None) is not None and pending.space is not None:
            self.front.held_bytes -= self._reserved(pending)

    @staticmethod
    def _reserved(pending: Pending) -> int:
        assert pending.space is not None
        write = pending.command.opcode == Io.WRITE
        return pending.command.blocks * pending.space.block_bytes if write else 0

    def _call_off(self, pending: Pending) -> None:
        pending.done = True
        self._drop(pending)
        for exchange in pending.exchanges:
            self.front.calls.client_left(exchange)

    # ---- fabrics

    def _fabrics(self, pending: Pending, kind: int, data: bytes) -> None:
        command = pending.command
        if kind == Fabrics.CONNECT:
            self._connect(pending, data)
            return
        if self._association is None or self._id != 0:
            raise CommandError(Status.SEQUENCE)
        offset = command.field("I", 44)
        if kind == Fabrics.PROPERTY_GET:
            self._finish(pending, Status.SUCCESS, result=self._property(self._association, offset))
        elif kind == Fabrics.PROPERTY_SET:
            if offset != Property.CC:
                raise CommandError(Status.INVALID_FIELD)
            self._association.set_cc(command.field("I", 48))
            self._finish(pending, Status.SUCCESS)
        else:
            raise CommandError(Status.INVALID_OPCODE)

    def _property(self, association: Association, offset: int) -> int:
        known = {
            Property.CAP: identify.capabilities(self.front.config.queue_depth),
            Property.VS: identify.VERSION,
            Property.CC: association.cc,
            Property.CSTS: association.status,
        }
        if offset not in known:
            raise CommandError(Status.INVALID_FIELD)
        return known[Property(offset)]

    def _connect(self, pending: Pending, data: bytes) -> None:
        command = pending.command
        if self._association is not None:
            raise CommandError(Status.SEQUENCE)
        if command.field("H", 40) != 0:
            raise CommandError(Status.CONNECT_FORMAT)
        if len(data) != CONNECT_DATA_BYTES:
            raise CommandError(Status.CONNECT_PARAMETER)
        queue, size = command.field("H", 42), command.field("H", 44) + 1
        (cntlid,) = struct.unpack_from("<H", data, 16)
        subsystem, host = (
            data[at : at + 256].split(b"\0")[0].decode("ascii", "replace") for at in (256, 512)
        )
        if subsystem != self.front.config.subsystem or not 2 <= size <= self.front.config.queue_depth:
            raise CommandError(Status.CONNECT_PARAMETER)
        if queue == 0:
            if cntlid != 0xFFFF:
                raise CommandError(Status.CONNECT_PARAMETER)
            association = self.front.new_association(host, command.field("I", 48))
        else:
            found = self.front.associations.get(cntlid)
            if found is None or queue > MOST_QUEUES or queue in found.queues:
                raise CommandError(Status.CONNECT_PARAMETER)
            if found.host != host:
                raise CommandError(Status.CONNECT_HOST)
            if not found.cc & ENABLED:
                raise CommandError(Status.SEQUENCE)
            association = found
        self._association, self._id, self._size = association, queue, size
        self._flow = not command.raw[46] & 0x04
        association.queues[queue] = self
        self._finish(pending, Status.SUCCESS, result=association.cntlid)

    # ---- admin commands

    def _admin(self, pending: Pending, association: Association, data: bytes) -> None:
        command = pending.command
        if command.opcode == Admin.IDENTIFY:
            self._finish(pending, Status.SUCCESS, data=self._identify(command, association))
        elif command.opcode == Admin.KEEP_ALIVE:
            self._finish(pending, Status.SUCCESS)
        elif command.opcode == Admin.ABORT:
            found = self._abort(association, command.field("H", 40), command.field("H", 42))
            self._finish(pending, Status.SUCCESS, result=0 if found else 1)
        elif command.opcode == Admin.SET_FEATURES:
            self._finish(pending, Status.SUCCESS, result=self._set_feature(command, association, data))
        elif command.opcode == Admin.ASYNC_EVENT:
            if len(self._events) >= identify.MOST_EVENTS:
                raise CommandError(Status.INVALID_FIELD)
            self._events.append(command.cid)  # held: this controller reports no events
            self._drop(pending)
        else:
            raise CommandError(Status.INVALID_OPCODE)

    def _identify(self, command: Command, association: Association) -> bytes:
        what = command.raw[40]
        if command.sgl_length < identify.IDENTIFY_BYTES:
            raise CommandError(Status.INVALID_SGL)
        if what == 0x01:
            return identify.controller(self.front.config, association.cntlid)
        if what == 0x02:
            return identify.active_list(self.front.config, command.nsid)
        space = self.front.spaces.get(command.nsid)
        if what not in (0x00, 0x03):
            raise CommandError(Status.INVALID_FIELD)
        if space is None:
            raise CommandError(Status.INVALID_NAMESPACE)
        return identify.namespace(space) if what == 0x00 else identify.descriptors(space)

    def _set_feature(self, command: Command, association: Association, data: bytes) -> int:
        feature = command.raw[40]
        if feature == NUMBER_OF_QUEUES:
            return (MOST_QUEUES - 1) << 16 | (MOST_QUEUES - 1)
        if feature == KEEP_ALIVE_TIMER:
            association.kato_ms = command.field("I", 44)
            return 0
        if feature == HOST_BEHAVIOUR and data:
            association.retries = data[0] == 1  # ACRE: advanced command retry
            return 0
        raise CommandError(Status.INVALID_FIELD)

    @staticmethod
    def _abort(association: Association, queue_id: int, cid: int) -> bool:
        queue = association.queues.get(queue_id)
        pending = queue.pending.get(cid) if queue is not None else None
        if queue is None or pending is None or queue_id == 0:
            return False
        # What went out may have run: its host must not take the abort for a promise that it did not.
        sent = pending.command.opcode == Io.WRITE and not all(each.harmless for each in pending.exchanges)
        exchanges = list(pending.exchanges)
        queue._finish(pending, Status.ABORTED, final=sent)
        for exchange in exchanges:
            queue.front.calls.client_left(exchange)
        return True

    # ---- I/O commands

    def _io(self, pending: Pending, data: bytes) -> None:
        command = pending.command
        space = self.front.spaces.get(command.nsid)
        if command.opcode == Io.FLUSH:
            if space is None and command.nsid != 0xFFFFFFFF:
                raise CommandError(Status.INVALID_NAMESPACE)
            self._finish(pending, Status.SUCCESS)  # a write is completed when its node has it: no cache
            return
        if command.opcode not in (Io.READ, Io.WRITE):
            raise CommandError(Status.INVALID_OPCODE)
        if command.raw[1] & FUSED:
            raise CommandError(Status.INVALID_FIELD)
        if space is None:
            raise CommandError(Status.INVALID_NAMESPACE)
        size = command.blocks * space.block_bytes
        if size > NVME_TRANSFER:
            raise CommandError(Status.INVALID_FIELD)
        if command.lba + command.blocks > space.blocks:
            raise CommandError(Status.LBA_RANGE)
        if command.sgl_length != size or command.sgl_type not in (SGL_IN_CAPSULE, SGL_TRANSPORT):
            raise CommandError(Status.INVALID_SGL)
        if command.opcode == Io.READ:
            pending.space = space
            self._call(pending)
        else:
            self._write(pending, space, data, size)

    def _write(self, pending: Pending, space: NvmeNamespace, data: bytes, size: int) -> None:
        if self.front.held_bytes + size > MOST_HELD:
            raise CommandError(Status.INTERRUPTED, final=False)
        if pending.command.sgl_type == SGL_IN_CAPSULE:
            if len(data) != size or size > IN_CAPSULE:
                raise CommandError(Status.INVALID_SGL)
            pending.data += data
        pending.space = space
        self.front.held_bytes += size
        if pending.data:
            self._call(pending)
            return
        pending.wanted = size
        self.stream.send(r2t(pending.command.cid, pending.command.cid, 0, size))

    def _on_data(self, pdu: Pdu) -> None:
        cid, ttag = pdu.field("H", 8), pdu.field("H", 10)
        pending = self.pending.get(cid)
        if pending is None and self._size:
            return  # of a command that was aborted meanwhile
        if pending is None or ttag != cid or not pending.wanted:
            raise PduError(Fatal.HEADER_FIELD, "data that no R2T asked for", 8)
        if pdu.field("I", 16) != len(pdu.data) or not pdu.data:
            raise PduError(Fatal.HEADER_FIELD, "data length", 16)
        if pdu.field("I", 12) != len(pending.data):
            raise PduError(Fatal.OUT_OF_RANGE, "data offset", 12)
        if len(pdu.data) > pending.wanted or len(pdu.data) > MOST_H2C:
            raise PduError(Fatal.OUT_OF_RANGE, "more data than asked for", 16)
        pending.data += pdu.data
        pending.wanted -= len(pdu.data)
        if bool(pdu.flags & LAST_PDU) != (pending.wanted == 0):
            raise PduError(Fatal.HEADER_FIELD, "the last PDU's flag", 1)
        if not pending.wanted:
            self._call(pending)

    def _call(self, pending: Pending) -> None:
        """One call for each block; its deadline starts now, with all of the command in hand."""
        for at in range(pending.command.blocks):
            call = self._block_call(pending, at)

            def answered(answer: FinalResponse, at: int = at) -> None:
                self._answered(pending, at, answer)

            try:
                pending.exchanges.append(self.front.calls.call(call, answered))
            except BadRequestError as error:
                logger.warning(f"NVMe call turned down: {error}")
                answered(FinalResponse(FinalResult.FAILED))
        # A block may be answered before the next one is put: the command is settled from here on only.
        pending.put = True
        self._settle(pending)

    def _block_call(self, pending: Pending, at: int) -> ClientCall:
        space, command = pending.space, pending.command
        assert space is not None
        write = command.opcode == Io.WRITE
        key = f"{space.first_key + command.lba + at:016x}"
        body = bytes(pending.data[at * space.block_bytes : (at + 1) * space.block_bytes]) if write else b""
        # A block's id serves as the key of a keyed class: hosts bear none, and send a command but once.
        call_id = self.front.next_id()
        return ClientCall(
            id=call_id,
            idempotency_key=call_id,
            request_class=space.write_class if write else space.read_class,
            plan=space.plan,
            volume=space.volume,
            key=key,
            units=space.units,
            shard=space.shard,
            volume_gateways=space.hosts,
            timeout_ms=space.write_timeout_ms if write else space.read_timeout_ms,
            write=write,
            method="PUT" if write else "GET",
            target=f"/api?key={key}",
            body=body,
        )

    def _answered(self, pending: Pending, at: int, answer: FinalResponse) -> None:
        pending.answers[at] = answer
        self._settle(pending)

    def _settle(self, pending: Pending) -> None:
        if pending.done or not pending.put or len(pending.answers) < pending.command.blocks:
            return
        assert pending.space is not None
        answers = [pending.answers[at] for at in range(pending.command.blocks)]
        verdicts = {answer.verdict for answer in answers}
        write = pending.command.opcode == Io.WRITE
        if verdicts == {FinalResult.SERVED}:
            self._served(pending, pending.space, b"" if write else self._joined(answers, pending.space))
        elif verdicts == {FinalResult.REFUSED} or (not write and FinalResult.FAILED not in verdicts):
            wait_ms = max(answer.retry_after_ms for answer in answers)
            told = self._association is not None and self._association.retries
            retry = identify.retry_number(wait_ms) if told else 0
            self._finish(pending, Status.INTERRUPTED, retry=retry)
        elif write:
            # Some of it may have run: the host must not send it again.
            self._finish(pending, Status.WRITE_FAULT, final=True)
        else:
            self._finish(pending, Status.INTERNAL)

    @staticmethod
    def _joined(answers: list[FinalResponse], space: NvmeNamespace) -> bytes | None:
        """Blocks of the namespace's size; a shorter object reads as zeros at its end."""
        if any(len(answer.body) > space.block_bytes for answer in answers):
            return None
        return b"".join(answer.body.ljust(space.block_bytes, b"\0") for answer in answers)

    def _served(self, pending: Pending, space: NvmeNamespace, data: bytes | None) -> None:
        if data is None:
            logger.warning(f"namespace {space.nsid}: an object is larger than a block")
            self._finish(pending, Status.DATA_TRANSFER, final=True)
        else:
            self._finish(pending, Status.SUCCESS, data=data)
