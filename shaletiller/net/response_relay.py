"""Passes a response on to its client while its storage node is still writing it.

The client's connection holds one piece at a time: the next one is read from the node once the kernel has
taken the last one.  A response that the node breaks off is broken off for the client too, by a reset: neither
framing can then be taken for a complete response.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import HttpVersion, HttpVersion11
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse

from shaletiller.core.errors import ResponseBrokenError
from shaletiller.core.model import BodyStream
from shaletiller.net.connection_state import EndReason

if TYPE_CHECKING:
    from shaletiller.net.client_connection import ClientConnection

logger = logging.getLogger(__name__)

# Time without progress after which a client that does not read is given up.  The kernel takes more only when
# a third of its buffer is free, which takes a slow client many seconds.
CLIENT_STALL_TIMEOUT_MS = 60_000.0
CONNECTION_CLOSE = "Connection: close\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class ResponseRelay:
    """One response that is passed on.

    :param request_id: id of the request, for the log.
    :param head: its head without the framing of the body, `Connection` and the empty line.
    :param first: the beginning of its body.
    :param version: HTTP version of the client's request; 1.0 has no chunked encoding.
    :param close: whether its connection is closed behind it; that of a client with HTTP/1.0 always is.
    """

    def __init__(
        self,
        request_id: str,
        head: str,
        first: bytes,
        stream: BodyStream,
        version: HttpVersion,
        close: bool,
    ) -> None:
        self._request_id = request_id
        self._head = head
        self._first = first
        self._stream = stream
        self._chunked = stream.length is None and version >= HttpVersion11
        self.closes_connection = close or version < HttpVersion11

    async def run(self, connection: ClientConnection) -> None:
        """Write the response to its end.

        :raises ConnectionError: the response is broken off, and the connection is reset.
        """
        sent = len(self._first)
        connection.wait_for_each_write(True)
        try:
            await connection.write_piece(self._take_beginning())
            while data := await self._stream.read():
                await connection.write_piece(self._frame(data))
                sent += len(data)
            if self._chunked:
                await connection.write_piece(LAST_CHUNK)
        except (ResponseBrokenError, TimeoutError, OSError) as error:
            logger.warning(
                "request %s: response broken off after %d bytes of its body: %s",
                self._request_id,
                sent,
                error,
            )
            connection.reset(EndReason.BROKEN_RESPONSE)
            raise ConnectionResetError(str(error)) from error
        except BaseException:
            connection.reset(EndReason.BROKEN_RESPONSE)
            raise
        finally:
            self._stream.close()
            connection.wait_for_each_write(False)

    def close(self) -> None:
        """Give up what is left of the response; further calls do nothing."""
        self._stream.close()

    def _take_beginning(self) -> bytes:
        """Return the head with the first bytes of the body, which are kept no longer."""
        first, self._first = self._first, b""
        return self._encoded_head() + self._frame(first)

    def _encoded_head(self) -> bytes:
        lines = self._head
        if self.closes_connection:
            lines += CONNECTION_CLOSE
        if self._chunked:
            lines += "Transfer-Encoding: chunked\r\n"
        elif self._stream.length is not None:
            lines += f"Content-Length: {self._stream.length}\r\n"
        return f"{lines}\r\n".encode()

    def _frame(self, data: bytes) -> bytes:
        if not self._chunked:
            return data
        return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


class RelayedResponse(StreamResponse):
    """A response of aiohttp's task that a relay writes."""

    def __init__(self, relay: ResponseRelay, connection: ClientConnection) -> None:
        super().__init__()
        self._relay = relay
        self._connection = connection
        if relay.closes_connection:
            self.force_close()

    async def prepare(self, request: BaseRequest) -> AbstractStreamWriter | None:
        """Write the whole response.

        :raises ConnectionError: it is broken off.
        """
        await self._relay.run(self._connection)
        if self._keep_alive is None:
            self._keep_alive = request.keep_alive
        return None

    async def write_eof(self, data: bytes = b"") -> None:
        """Do nothing: the relay has written the end."""
