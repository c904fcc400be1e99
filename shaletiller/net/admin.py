"""The operators' line protocol: one command a connection, one response, then the connection ends.

    READY | STATS | DISABLE ID | ENABLE ID | DRAIN | UNDRAIN

The response is a line that begins with `done` or `error`; STATS adds its metrics, then a line `end`.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable

from shaletiller.net.errors import AdminCommandError
from shaletiller.net.sockets import close_gracefully

logger = logging.getLogger(__name__)

MAX_LINE_BYTES = 256  # the longest command is a verb and a node's id
# A caller that has not sent its line by then is closed.  Empirical: scripts send it at once; a longer time
# only keeps descriptors of callers that never will.
READ_TIMEOUT_S = 4.0
WRITE_TIMEOUT_S = 1.0  # for a caller that does not read its response
SHUTDOWN_TIMEOUT_S = 0.05  # for callers that are connected when the process ends
MAX_LOGGED_LINE = 64  # characters of a rejected command in the log
MAX_ECHOED_VERB = 32  # characters of an unknown verb in its response

# A command takes the arguments on its line.  It returns what follows `done`, then further lines, or an
# awaitable of them.  It raises AdminCommandError to be answered with `error`.
Command = Callable[[list[str]], list[str] | Awaitable[list[str]]]


class AdminServer:
    """Listens for operators and runs their commands."""

    def __init__(self, commands: dict[str, Command]) -> None:
        """Make a server that does not listen yet.

        :param commands: by verb, in capitals.
        """
        self._commands = commands
        self._server: asyncio.Server | None = None
        self._connection_tasks: set[asyncio.Task[None]] = set()
        self.address: tuple[str, int] = ("", 0)

    async def start(self, host: str, port: int) -> None:
        """Listen for operators."""
        self._server = await asyncio.start_server(self._handle_connection, host, port, limit=MAX_LINE_BYTES)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def execute(self, line: str) -> list[str]:
        """Run the command on a line.

        :returns: the lines of the response.
        """
        verb, *arguments = line.split()
        command = self._commands.get(verb.upper())
        if command is None:
            return [f"error unknown call {verb[:MAX_ECHOED_VERB]}"]
        try:
            result = command(arguments)
            first, *rest = (result if isinstance(result, list) else await result) or [""]
        except AdminCommandError as error:
            return [f"error {error}"]
        return [f"done {first}".rstrip(), *rest]

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connection_tasks.add(task)
        try:
            await self._serve(reader, writer)
        finally:
            self._connection_tasks.discard(task)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line = await self._read_line(reader)
        except asyncio.LimitOverrunError:
            line = ""
            writer.write(b"error line too long\n")
        if line.strip():
            response = await self.execute(line)
            if response[0].startswith("error"):
                logger.warning("admin command %r rejected: %s", line.strip()[:MAX_LOGGED_LINE], response[0])
            writer.write("".join(f"{each}\n" for each in response).encode())
        with contextlib.suppress(TimeoutError, ConnectionError):  # the caller has left, or does not read
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await writer.drain()
        await close_gracefully(reader, writer, WRITE_TIMEOUT_S)  # a caller may send more behind its line

    @staticmethod
    async def _read_line(reader: asyncio.StreamReader) -> str:
        """Read the caller's line; empty if none came.

        :raises asyncio.LimitOverrunError: it is too long.
        """
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return (await reader.readuntil(b"\n")).decode("utf-8", "replace")
        except asyncio.IncompleteReadError as error:  # the caller closed its side behind the line
            return error.partial.decode("utf-8", "replace")
        except (TimeoutError, ConnectionError):
            return ""

    async def stop(self) -> None:
        """Accept no further callers; one whose line has arrived gets its response."""
        if self._server is not None:
            self._server.close()
        if self._connection_tasks:
            await asyncio.wait(self._connection_tasks, timeout=SHUTDOWN_TIMEOUT_S)
