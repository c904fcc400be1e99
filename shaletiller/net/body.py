"""Reading a message body of limited size."""

from __future__ import annotations

from aiohttp import StreamReader

MAX_BODY_BYTES = 64 * 1024  # maximum body size of a request or response


async def read_bounded(stream: StreamReader, max_bytes: int = MAX_BODY_BYTES) -> bytes | None:
    """Read a body to its end.

    :returns: the body, or None if it is larger than `max_bytes`; the rest of the body then stays unread.
    """
    chunks, size = [], 0
    async for chunk in stream.iter_any():
        size += len(chunk)
        if size > max_bytes:
            return None
        chunks.append(chunk)
    return b"".join(chunks)
