"""Reads answers of a gateway as their clients do, whatever their framing."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

READ_BYTES = 16 * 1024
END_OF_HEAD = b"\r\n\r\n"


class ReceivedAnswer(NamedTuple):
    """What has come of an answer."""

    status: int
    body: bytes
    is_whole: bool


async def read_answer(reader: asyncio.StreamReader, pause_s: float = 0.0) -> ReceivedAnswer:
    """Read an answer as far as it comes.

    :param pause_s: pause after each read of an answer of known length.
    :raises OSError, EOFError: the connection ends before the head is whole.
    """
    head = (await reader.readuntil(END_OF_HEAD)).decode()
    status, body = int(head.split()[1]), bytearray()
    try:
        if "Transfer-Encoding: chunked" in head:
            await _read_chunks(reader, body)
        elif "Content-Length: " in head:
            length = int(head.split("Content-Length: ")[1].split("\r\n")[0])
            while len(body) < length and (data := await reader.read(READ_BYTES)):
                body += data
                await asyncio.sleep(pause_s)
            return ReceivedAnswer(status, bytes(body), len(body) == length)
        else:
            while data := await reader.read(READ_BYTES):
                body += data
    except (OSError, ValueError, asyncio.IncompleteReadError):
        return ReceivedAnswer(status, bytes(body), False)
    return ReceivedAnswer(status, bytes(body), True)


async def _read_chunks(reader: asyncio.StreamReader, body: bytearray) -> None:
    while size := int(await reader.readline(), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
