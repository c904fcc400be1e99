"""Line protocol for operators: one command and one response per connection.

    READY | STATS | DISABLE ID | ENABLE ID | DRAIN | UNDRAIN

The response is a line that starts with `done` or `error`; for STATS, the metrics and a line `end` follow.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable

from shaletiller.net.bounded_reads import start_stream_server
from shaletiller.net.errors import AdminCommandError
from shaletiller.net.sockets import close_gracefully

logger = logging.getLogger(__name__)

MAX_LINE_BYTES = 256  # the longest command is a verb and a node id
# Connections beyond which the one that has waited longest for its line is closed.  Operators' scripts open
# one at a time; the limit keeps a crowd from using up descriptors and memory of the gateway's clients.
MAX_CONNECTIONS = 64
# Time within which a client must send its line.  Scripts send it at once; a larger value only holds file
# descriptors of clients that never send one.
READ_TIMEOUT_S = 4.0
WRITE_TIMEOUT_S = 1.0  # time for a client to read its response
SHUTDOWN_TIMEOUT_S = 0.05  # time for open connections to complete at shutdown
READ_TURNS = 4  # event loop iterations that a line takes at most from its socket to its command
PROCESS_ENDS_RESPONSE = b"error the process ends\n"
MAX_LOGGED_LINE = 64  # maximum characters of a rejected command in a log line
MAX_ECHOED_VERB = 32  # maximum characters of an unknown verb in a response

# Called with the arguments of a command.  Returns the text that follows `done` and any further lines, or an
# awaitable of them.  Raises AdminCommandError for an `error` response.
Command = Callable[[list[str]], list[str] | Awaitable[list[str]]]


class AdminServer:
    """Accepts connections of operators and runs their commands."""

    def __init__(self, commands: dict[str, Command]) -> None:
        """Create a server that does not listen yet.

        :param commands: commands by verb, in upper case.
        """
        self._commands = commands
        self._server: asyncio.Server | None = None
        self._connection_tasks: set[asyncio.Task[None]] = set()
        # Of them, those whose clients have not sent their line, in the order in which they connected.
        self._waiting: dict[asyncio.Task[None], None] = {}
        self._running: set[asyncio.Task[None]] = set()  # those whose command has no response yet
        self.address: tuple[str, int] = ("", 0)

    async def start(self, host: str, port: int) -> None:
        """Listen for connections of operators."""
        self._server = await start_stream_server(self._handle_connection, (host, port), MAX_LINE_BYTES)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def execute(self, line: str) -> list[str]:
        """Run the command of a line.

        :returns: lines of the response.
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
        if len(self._connection_tasks) >= MAX_CONNECTIONS and not self._end_longest_waiting():
            writer.transport.abort()
            return
        self._connection_tasks.add(task)
        self._waiting[task] = None
        try:
            await self._serve(reader, writer, task)
        except asyncio.CancelledError:
            if task in self._running:
                writer.write(PROCESS_ENDS_RESPONSE)
                writer.close()
            else:
                writer.transport.abort()
            raise
        finally:
            self._running.discard(task)
            self._connection_tasks.discard(task)
            self._waiting.pop(task, None)

    def _end_longest_waiting(self) -> bool:
        """End the connection that has waited longest for its line; False if none waits."""
        task = next(iter(self._waiting), None)
        if task is None:
            return False
        del self._waiting[task]
        task.cancel()
        return True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, task: asyncio.Task[None]
    ) -> None:
        try:
            line = await self._read_line(reader)
        except asyncio.LimitOverrunError:
            line = ""
            writer.write(b"error line too long\n")
        self._waiting.pop(task, None)
        if line.strip():
            self._running.add(task)
            response = await self.execute(line)
            self._running.discard(task)
            if response[0].startswith("error"):
                logger.warning("admin command %r rejected: %s", line.strip()[:MAX_LOGGED_LINE], response[0])
            writer.write("".join(f"{text}\n" for text in response).encode())
        with contextlib.suppress(TimeoutError, ConnectionError):  # the client left or does not read
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await writer.drain()
        await close_gracefully(reader, writer, WRITE_TIMEOUT_S)  # the client may send data after its line

    @staticmethod
    async def _read_line(reader: asyncio.StreamReader) -> str:
        """Read the line of a client; empty if none was received.

        :raises asyncio.LimitOverrunError: the line is too long.
        """
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return (await reader.readuntil(b"\n")).decode("utf-8", "replace")
        except asyncio.IncompleteReadError as error:  # the client half-closed without a newline
            return error.partial.decode("utf-8", "replace")
        except (TimeoutError, ConnectionError):
            return ""

    async def stop(self) -> None:
        """Stop listening, and wait briefly for the responses to received commands.

        Connections without a command end at once; a command that takes longer gets an error.
        """
        if self._server is not None:
            self._server.close()
        for _ in range(READ_TURNS):
            await asyncio.sleep(0)
        for task in list(self._waiting):
            task.cancel()
        if self._connection_tasks:
            await asyncio.wait(self._connection_tasks, timeout=SHUTDOWN_TIMEOUT_S)
        for task in list(self._running):
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)
