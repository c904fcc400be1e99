"""The link between the processes of one gateway: a Unix socket in Linux's abstract namespace.

The process that binds its name is the owner of the order; the kernel gives the name to one process at a time,
and frees it when that process ends, however it ends.  All other processes connect to it.
"""

from __future__ import annotations

import asyncio
import errno
import hashlib
import logging
import os
import socket
import struct
from collections.abc import Callable
from typing import Any

import msgspec

from shaletiller.ordering.coordinator import OWNER
from shaletiller.ordering.messages import ProcessMessage, decode, encode

logger = logging.getLogger(__name__)

NAME_PREFIX = "\0shaletiller-order-"
NAME_DIGEST_BYTES = 16
CREDENTIALS = struct.Struct("3i")  # SO_PEERCRED: process, user and group id
# Pause before another attempt to become the owner or to reach it; requests of ordered classes wait meanwhile.
RETRY_S = 0.01
# Maximum bytes of a line: the `Hello` of a process with some ten thousand requests.
MAX_LINE_BYTES = 4 << 20
# Bytes that wait for an owner that does not read, above which the link is given up and opened again later.
MAX_UNSENT_BYTES = 4 << 20


def link_name(state_dir: str, gateway: str, listen: tuple[str, int], prefix: str = NAME_PREFIX) -> str:
    """Return the name of the link: the same for all processes of one gateway, and for no others.

    :param prefix: tells links of different purposes apart.
    """
    identity = "\0".join((os.path.realpath(state_dir), gateway, listen[0], str(listen[1])))
    digest = hashlib.blake2b(identity.encode(), digest_size=NAME_DIGEST_BYTES)
    return prefix + digest.hexdigest()


class LinkHandler:
    """Callbacks of a link; `process` is `OWNER`, or the number of a follower."""

    def on_ownership(self, alone: bool) -> None:
        """Handle that this process has become the owner.

        :param alone: whether there was no other owner since the start.
        """

    def on_connected(self) -> None:
        """Handle that this process is connected to the owner."""

    def on_owner_lost(self) -> None:
        """Handle the end of the owner or of the connection to it."""

    def on_follower_lost(self, process: int) -> None:
        """Handle the end of a follower or of its connection."""

    def on_message(self, process: int, message: Any) -> None:
        """Handle a message."""


class ProcessLink:
    """Binds the name of the link, or connects to the process that has bound it.

    :param decode: decodes a line; raises `msgspec.MsgspecError` if it is no message.
    :param purpose: what the link is for, in log lines.
    """

    def __init__(
        self,
        name: str,
        handler: LinkHandler,
        decode: Callable[[bytes], ProcessMessage] = decode,
        purpose: str = "order of requests",
    ) -> None:
        """Create a link that is not open yet."""
        self._name = name
        self._handler = handler
        self._decode = decode
        self._purpose = purpose
        self._writers: dict[int, asyncio.StreamWriter] = {}
        self._last_follower = 0
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None
        self._closed = False

    def open(self) -> None:
        """Become the owner, or connect to it, in the background; again whenever the owner ends."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        try:
            sock, alone = _bind(self._name), True
            while sock is None:
                alone = False
                await self._follow()
                sock = _bind(self._name)
                if sock is None:  # the owner lives, or another follower was faster
                    await asyncio.sleep(RETRY_S)
        except OSError as error:
            logger.error("%s: no link, so none to another process of the gateway: %s", self._purpose, error)
            self._handler.on_ownership(alone=True)
        else:
            await self._serve(sock, alone)

    async def _serve(self, sock: socket.socket, alone: bool) -> None:
        self._handler.on_ownership(alone)
        self._server = await asyncio.start_unix_server(self._serve_follower, sock=sock, limit=MAX_LINE_BYTES)

    async def _serve_follower(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not _is_same_user(writer):
            logger.warning("%s: closed a connection from a process of another user", self._purpose)
            writer.close()
            return
        self._last_follower += 1
        process = self._last_follower
        self._writers[process] = writer
        try:
            await self._receive(process, reader)
        finally:
            self._writers.pop(process, None)
            writer.close()
            if not self._closed:
                self._handler.on_follower_lost(process)

    async def _follow(self) -> None:
        """Connect to the owner, and return when it has ended."""
        sock = _open_socket()
        try:
            sock.connect(self._name)  # uvloop cannot connect to a name in the abstract namespace by itself
        except OSError:  # the owner has just ended, does not listen yet, or has not accepted for long
            sock.close()
            return
        reader, writer = await asyncio.open_unix_connection(sock=sock, limit=MAX_LINE_BYTES)
        try:
            if not _is_same_user(writer):
                logger.warning("%s: the link's name is used by a process of another user", self._purpose)
                return
            self._writers[OWNER] = writer
            self._handler.on_connected()
            await self._receive(OWNER, reader)
        finally:
            writer.close()
            if self._writers.pop(OWNER, None) is not None and not self._closed:
                self._handler.on_owner_lost()

    async def _receive(self, process: int, reader: asyncio.StreamReader) -> None:
        """Pass the messages of a process on, until its end or a message that cannot be read."""
        try:
            while line := await reader.readline():
                self._handler.on_message(process, self._decode(line))
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            logger.warning("%s: link to another process closed: %s", self._purpose, error)
        except Exception:
            logger.exception("%s: link to another process closed, its message was not handled", self._purpose)

    def send(self, process: int, message: ProcessMessage) -> None:
        """Send a message; it is lost if the link to the process has ended."""
        writer = self._writers.get(process)
        if writer is None or writer.transport.is_closing():
            return
        writer.write(encode(message))
        if process == OWNER and writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            writer.transport.abort()

    async def close(self) -> None:
        """Send what was written, and free the name of the link."""
        self._closed = True
        if self._server is not None:
            self._server.close()  # first: a follower that sees the end of its connection binds the name
        for writer in list(self._writers.values()):
            writer.close()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)


def _open_socket() -> socket.socket:
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.setblocking(False)
    return sock


def _bind(name: str) -> socket.socket | None:
    """Return a socket that is bound to a name, or None if another process has bound it.

    :raises OSError: if there are no Unix sockets here.
    """
    sock = _open_socket()
    try:
        sock.bind(name)
    except OSError as error:
        sock.close()
        if error.errno == errno.EADDRINUSE:
            return None
        raise
    return sock


def _is_same_user(writer: asyncio.StreamWriter) -> bool:
    sock = writer.get_extra_info("socket")
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
    _, user, _ = CREDENTIALS.unpack(credentials)
    return bool(user == os.geteuid())
