"""Bodies of nodes' responses: short ones are read whole, long ones are passed on as they come."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping
from typing import NamedTuple

from aiohttp import StreamReader

from shaletiller.clock import Clock
from shaletiller.core.errors import ResponseBrokenError
from shaletiller.core.memory_account import MIN_PIECE_BYTES, MemoryAccount, MemoryOwner
from shaletiller.core.response_progress import ResponseProgress, ResponseState
from shaletiller.net.body import MAX_BODY_BYTES
from shaletiller.net.pool import UpstreamProtocol
from shaletiller.policy import response_hold

MAX_STREAM_BYTES = 32 * 1024 * 1024  # a longer response is malformed
# Responses of more bytes are passed on as they come while memory is tight.
MAX_BODY_BYTES_TIGHT = 8 * 1024
# Time for the body of a response whose outcome is known from its head.
UNUSED_BODY_TIMEOUT_MS = 100.0
RESPONSE_COPIES = 2  # of a body that is read whole: its pieces, and the body that is made of them
NODE_SILENCE_TIMEOUT_MS = 10_000.0  # a node that sends nothing for so long has broken its response off
# Approximate memory of a response that is passed on, without its bytes.
STREAM_OBJECTS_BYTES = 8 * 1024


class BodyFraming(NamedTuple):
    """How the end of a body is found; `length` is None if it is chunked or ends with its connection."""

    length: int | None
    until_close: bool


def parse_framing(headers: Mapping[str, str]) -> BodyFraming | None:
    """Return the framing of a response's body; None if it is ambiguous or the body is too long."""
    text, encoding = headers.get("Content-Length"), headers.get("Transfer-Encoding")
    if text is not None and encoding is not None:
        return None
    length = int(text) if text is not None else None
    if length is not None and length > MAX_STREAM_BYTES:
        return None
    return BodyFraming(length, length is None and encoding is None)


def has_length(headers: Mapping[str, str]) -> bool:
    """Whether a response tells the length of its body, and nothing contradicts it."""
    return "Content-Length" in headers and "Transfer-Encoding" not in headers


class UpstreamBodyStream:
    """The rest of a response body; see `core.model.BodyStream`.

    Its connection is read only while someone waits for bytes, so that a slow client slows its node.

    :param received: bytes of the body that were read before.
    :param release: called once with whether the connection can be used again.
    """

    def __init__(
        self,
        content: StreamReader,
        protocol: UpstreamProtocol,
        framing: BodyFraming,
        received: int,
        release: Callable[[bool], None],
        clock: Clock,
        memory: MemoryAccount,
    ) -> None:
        self.length = framing.length
        self._content = content
        self._protocol = protocol
        self._until_close = framing.until_close
        self._received = received
        self._release = release
        self._clock = clock
        self._memory = memory
        self._closed = False
        protocol.hold_input()
        piece_bytes = MIN_PIECE_BYTES if memory.is_tight else memory.piece_bytes
        self._cost = STREAM_OBJECTS_BYTES + piece_bytes
        memory.charge(MemoryOwner.STREAMS, self._cost)

    async def read(self) -> bytes:
        """Return the next bytes; empty at the end of the body.

        :raises ResponseBrokenError: the node has broken the response off.
        """
        if self._closed:
            return b""
        try:
            data = await self._read()
        except Exception as error:
            # Catches every type: a corrupt response may cause undocumented exceptions in the parser.
            self.close()
            raise ResponseBrokenError(f"after {self._received} bytes: {error!r}") from error
        self._received += len(data)
        if self._received > MAX_STREAM_BYTES:
            self.close()
            raise ResponseBrokenError(f"its body exceeds {MAX_STREAM_BYTES} bytes")
        if not data:
            self._end(reusable=not self._until_close)
        return data

    async def _read(self) -> bytes:
        self._protocol.release_input()
        try:
            if self._content.is_eof():
                return await self._content.readany()
            async with self._clock.timeout(NODE_SILENCE_TIMEOUT_MS):
                return await self._content.readany()
        finally:
            self._protocol.hold_input()

    def close(self) -> None:
        """Give up the rest, and close the connection to the node."""
        self._end(reusable=False)

    def _end(self, reusable: bool) -> None:
        if self._closed:
            return
        self._closed = True
        self._memory.charge(MemoryOwner.STREAMS, -self._cost)
        self._protocol.release_input()  # aiohttp may have returned the connection to the pool already
        self._release(reusable)


class BodyStart(NamedTuple):
    """A body as far as it was read for the decision on its response."""

    data: bytes
    is_whole: bool


class BodyReader:
    """Reads the body of one response as far as the decision on it needs.

    :param progress: of a successful response, told that its body is awaited; None for a response whose
        outcome does not depend on its body.
    :param may_stream: whether the response can be passed on before it is whole.
    :param unused_timeout_ms: time for the body if there is no progress.
    """

    def __init__(
        self,
        headers: Mapping[str, str],
        content: StreamReader,
        clock: Clock,
        memory: MemoryAccount,
        may_stream: bool,
        progress: ResponseProgress | None = None,
        unused_timeout_ms: float = UNUSED_BODY_TIMEOUT_MS,
    ) -> None:
        self.framing = parse_framing(headers)
        self._content = content
        self._clock = clock
        self._memory = memory
        self._may_stream = may_stream
        self._progress = progress
        self._unused_timeout_ms = unused_timeout_ms
        self._chunks: list[bytes] = []
        self._size = 0
        self._charged = 0
        self._last_bytes_ms = 0.0
        self.was_held = False  # whether the body was not whole some time after the head

    def release(self) -> None:
        """Release the memory that is charged for the body; called once it was handed on or given up."""
        if self._charged:
            self._memory.charge(MemoryOwner.RESPONSES, -self._charged)
            self._charged = 0

    def _charge(self, size: int) -> None:
        self._charged += size
        self._memory.charge(MemoryOwner.RESPONSES, size)

    async def read(self) -> BodyStart | None:
        """Read the whole body, or as much of it as has come when the response is passed on.

        A long body is passed on with its first bytes; the progress may have it passed on before.

        :returns: None if it is malformed, given up, or too long to be read whole where it cannot be passed
            on; the connection must then not be reused.
        """
        if self.framing is None:
            return None
        length, max_bytes = self.framing.length, self._max_whole_bytes
        if length is not None and length > max_bytes:
            if not self._may_stream:
                return None
            max_bytes = 0
        elif length is not None and length > MAX_BODY_BYTES_TIGHT:
            self._charge(RESPONSE_COPIES * length)
        if self._progress is None:
            is_whole = await self._read_unused(max_bytes)
        else:
            is_whole = await self._read_held(max_bytes, self._progress)
        if is_whole or self._is_passed_on:
            return BodyStart(b"".join(self._chunks), is_whole)
        return None

    @property
    def _max_whole_bytes(self) -> int:
        return MAX_BODY_BYTES_TIGHT if self._memory.is_tight and self._may_stream else MAX_BODY_BYTES

    @property
    def _is_passed_on(self) -> bool:
        """Whether a body that is not whole goes to the client."""
        is_given_up = self._progress is None or self._progress.state is ResponseState.ABANDONED
        return self._may_stream and not is_given_up

    async def _read_unused(self, max_bytes: int) -> bool:
        """Read a body whose content does not matter; return whether it has come whole in time."""
        try:
            async with self._clock.timeout(self._unused_timeout_ms):
                return await self._read_until_decided(max_bytes)
        except TimeoutError:
            return False

    async def _read_held(self, max_bytes: int, progress: ResponseProgress) -> bool:
        """Read a body until it is whole, written slowly, or no longer held; return whether it is whole."""
        if self._content.is_eof():
            return await self._read_until_decided(max_bytes)
        loop = asyncio.get_running_loop()
        self._last_bytes_ms = self._clock.now_ms()
        self._timer = self._clock.call_later(response_hold.SETTLE_MS, self._report_held, progress)
        try:
            async with asyncio.timeout(None) as wait:
                progress.hold(lambda: wait.reschedule(loop.time()), self._may_stream)
                return await self._read_until_decided(max_bytes)
        except TimeoutError:
            return False
        finally:
            progress.finish()
            self._timer.cancel()

    def _report_held(self, progress: ResponseProgress) -> None:
        self.was_held = True
        progress.report_held()
        self._check_for_stall(progress)

    def _check_for_stall(self, progress: ResponseProgress) -> None:
        """Report a body that does not go on, or look again when it may have stalled."""
        silent_ms = self._clock.now_ms() - self._last_bytes_ms
        if silent_ms >= response_hold.STALL_MS:
            progress.report_stalled()
        else:
            remaining_ms = response_hold.STALL_MS - silent_ms
            self._timer = self._clock.call_later(remaining_ms, self._check_for_stall, progress)

    async def _read_until_decided(self, max_bytes: int) -> bool:
        """Read until the end, the maximum, or until it is certain that the node writes the body slowly."""
        assert self.framing is not None
        is_unknown_length = self.framing.length is None and self._may_stream
        first_ms = math.inf
        while self._size <= max_bytes:
            data = await self._content.readany()
            if not data:
                return True
            self._add(data)
            now_ms = self._last_bytes_ms = self._clock.now_ms()
            first_ms = min(first_ms, now_ms)
            if is_unknown_length and response_hold.is_written_slowly(first_ms, now_ms):
                return False
        return False

    def _add(self, data: bytes) -> None:
        self._chunks.append(data)
        self._size += len(data)
        if not self._charged and self._size > MAX_BODY_BYTES_TIGHT:
            self._charge(RESPONSE_COPIES * MAX_BODY_BYTES)


async def read_report(
    headers: Mapping[str, str], content: StreamReader, clock: Clock, timeout_ms: float
) -> bytes | None:
    """Read the short body of a health check; None if it is malformed, too long or incomplete in time."""
    reader = BodyReader(
        headers, content, clock, MemoryAccount(), may_stream=False, unused_timeout_ms=timeout_ms
    )
    start = await reader.read()
    return start.data if start is not None else None
