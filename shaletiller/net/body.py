"""Reading a body that must not grow without bound."""

from __future__ import annotations

from collections.abc import AsyncIterator

from aiohttp import StreamReader

MOST_BODY = 64 * 1024  # what a request or an answer may hold


async def read_bounded(stream: StreamReader, most: int = MOST_BODY) -> bytes | None:
    """The whole body, or None where it is larger than that."""
    parts, size = [], 0
    async for part in stream.iter_any():
        size += len(part)
        if size > most:
            return None
        parts.append(part)
    return b"".join(parts)


async def read_up_to(stream: StreamReader, most: int = MOST_BODY) -> tuple[bytes, bool]:
    """What comes until the body ends or is larger than that, and whether it ended."""
    parts: list[bytes] = []
    size = 0
    while size <= most:
        part = await stream.readany()
        if not part:
            return b"".join(parts), True
        parts.append(part)
        size += len(part)
    return b"".join(parts), False


class Piped:
    """A client's body that is too large to be held whole, passed on as it comes.

    The client's stream pauses its connection while what it holds is not taken, so a body of any size holds
    no more than a read buffer here."""

    def __init__(self, first: bytes, rest: StreamReader, size: int | None) -> None:
        self._first = first
        self._rest = rest
        self.size = size
        self.touched = False

    async def chunks(self) -> AsyncIterator[bytes]:
        self.touched = True
        if self._first:
            yield self._first
        async for part in self._rest.iter_any():
            yield part
