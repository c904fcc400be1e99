"""A stand-in storage node that reads requests slowly, through a small receive buffer."""

from __future__ import annotations

import asyncio
import socket
from functools import partial
from random import Random

from shaletiller.lab.port_reservations import LOOPBACK
from shaletiller.lab.scripted_node import END_OF_HEAD

RECEIVE_BUFFER_BYTES = 2048
PIECE_BYTES = (500, 8000)
PAUSE_S = (0.005, 0.2)
EARLY_SHARE = 0.2  # of requests that are answered before their end
SILENT_SHARE = 0.2  # of requests that are never answered
SILENCE_S = 30.0
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def start(port: int, body_bytes: int) -> asyncio.Server:
    """Listen on a port; each connection carries one request.

    :param body_bytes: size of the body of each request.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.bind((LOOPBACK, port))
    return await asyncio.start_server(partial(_serve, body_bytes), sock=sock, limit=RECEIVE_BUFFER_BYTES)


async def _serve(body_bytes: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Read a request in small pieces with pauses; answer some before their end, some after it, some never."""
    random = Random(writer.get_extra_info("peername")[1])
    answered_at = body_bytes / 2 if random.random() < EARLY_SHARE else 0
    try:
        await reader.readuntil(END_OF_HEAD)
        left = body_bytes
        while left > answered_at:
            left -= len(await reader.readexactly(min(left, random.randint(*PIECE_BYTES))))
            await asyncio.sleep(random.uniform(*PAUSE_S))
        if random.random() >= SILENT_SHARE:
            writer.write(RESPONSE)
        await asyncio.sleep(SILENCE_S)
    except (OSError, EOFError):
        pass
    finally:
        writer.close()
