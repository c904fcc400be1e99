"""The door for operators: one line a connection, one answer, then the end of the connection.

    READY | STATS | DISABLE ID | ENABLE ID | DRAIN | UNDRAIN

The answer is a line that begins with `done` or `error`; STATS adds its figures, then a line `end`.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable

from shaletiller.net.sockets import close_gracefully

logger = logging.getLogger(__name__)

MOST_LINE = 256
SILENT_S = 4.0  # a caller that sends no whole line by then is closed on; each caller waits alone
ENDING_S = 0.05  # for callers that are there as the process ends
WRITE_S = 1.0  # and one that does not read its answer


class Refused(Exception):
    """A call that is turned down; its message follows `error`."""


# A call's words after its name give what follows `done` on its line, then further lines; at once or later.
Call = Callable[[list[str]], list[str] | Awaitable[list[str]]]


class Admin:
    def __init__(self, calls: dict[str, Call]) -> None:
        self._calls = calls
        self._server: asyncio.Server | None = None
        self._callers: set[asyncio.Task[None]] = set()
        self.address: tuple[str, int] = ("", 0)

    async def start(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(self._take, host, port, limit=MOST_LINE)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def answer(self, line: str) -> list[str]:
        """The lines that answer one call."""
        name, *words = line.split()
        call = self._calls.get(name.upper())
        if call is None:
            return [f"error unknown call {name[:32]}"]
        try:
            found = call(words)
            first, *rest = (found if isinstance(found, list) else await found) or [""]
        except Refused as error:
            return [f"error {error}"]
        return [f"done {first}".rstrip(), *rest]

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._callers.add(task)
        try:
            await self._serve(reader, writer)
        finally:
            self._callers.discard(task)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(SILENT_S):
                line = (await reader.readuntil(b"\n")).decode("utf-8", "replace")
        except asyncio.IncompleteReadError as error:  # the caller ended its side after the line
            line = error.partial.decode("utf-8", "replace")
        except asyncio.LimitOverrunError:
            line = ""
            writer.write(b"error line too long\n")
        except (TimeoutError, ConnectionError):
            line = ""
        if line.strip():
            answer = await self.answer(line)
            if answer[0].startswith("error"):
                logger.warning(f"admin: {line.strip()[:64]!r}: {answer[0]}")
            writer.write("".join(f"{each}\n" for each in answer).encode())
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(WRITE_S):
                await writer.drain()
        await close_gracefully(reader, writer, WRITE_S)  # a caller may send on behind its line

    async def stop(self) -> None:
        """No further callers; one whose line is here gets its answer."""
        if self._server is not None:
            self._server.close()
        if self._callers:
            await asyncio.wait(self._callers, timeout=ENDING_S)
