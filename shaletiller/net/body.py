"""Reading a body that must not grow without bound."""

from __future__ import annotations

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
