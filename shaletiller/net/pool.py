"""Connections to nodes: a node's bytes belong to the request that is out, and to no later one."""

from __future__ import annotations

import asyncio
import functools
import re
import time
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.connector import Connection

from shaletiller.net.sockets import readable

# What a node sends behind its answer comes within this time; until then the connection is not used again.
# Second answers came 0.4 to 2.2 ms late on two of the operators' short days; twice as long a time costs 0.02
# of a day's worth where connections are many.
SETTLE_S = 0.01


HEAD = re.compile(rb"HTTP/1\.[01] (\d)\d\d[^\r\n]*\r\n((?:[^\r\n]+\r\n)*)\r\n")
LENGTH = re.compile(rb"^content-length:[ \t]*(\d{1,9})[ \t]*\r$", re.IGNORECASE | re.MULTILINE)
OTHER_THAN_TEXT = re.compile(rb"[^\t\n\r -~]")


def without_noise(data: bytes) -> bytes:
    """An answer that came in one piece, without what follows it if that is certainly no part of it.

    It is where the body is text and the rest is not.  Text behind text may be the body's own end, and the
    length wrong: then the answer is spoilt, and the parser is left to fail on it."""
    at = 0
    while (found := HEAD.match(data, at)) is not None:
        at = found.end()
        if found[1] != b"1":  # others stand in front of the answer
            break
    told = LENGTH.findall(found[2]) if found else []
    if len(told) != 1:
        return data
    end = at + int(told[0])
    noise = OTHER_THAN_TEXT.search(data, end) and not data.startswith(b"HTTP/1.", end)
    return data[:end] if noise and not OTHER_THAN_TEXT.search(data, at, end) else data


class UpstreamProtocol(ResponseHandler):
    """aiohttp's parser gives up an answer for what stands behind it, and the node's work with it.

    It also keeps the times between which the node had the request: this process's delays are not its lag."""

    given_s = answered_s = 0.0
    key: ConnectionKey | None = None

    def close(self) -> None:
        """The end of the connection is the end of its sending.

        A transport that is closed goes on to send what its socket had no room for: a node that was slow to
        read would have the last byte of a request that was given up, and run it."""
        if self.transport is not None and self.transport.get_write_buffer_size():
            self.abort()
        else:
            super().close()

    def data_received(self, data: bytes) -> None:
        self.answered_s = time.monotonic()
        cut = without_noise(data) if len(data) > 1 else data
        super().data_received(cut)
        if len(cut) < len(data):
            self.force_close()  # once read, it goes to no other request


class UpstreamConnector(aiohttp.TCPConnector):
    """aiohttp's pool; what it keeps is looked at before its next use, and all of it is bounded.

    aiohttp's own pool hands over a connection on which something came while it was idle: a second copy of an
    answer would then be taken for the answer to the next request."""

    def __init__(self, most: int, most_a_node: int, idle_s: float) -> None:
        super().__init__(
            limit=most, limit_per_host=most_a_node, use_dns_cache=False, ssl=False, keepalive_timeout=idle_s
        )
        self._factory: Any = functools.partial(UpstreamProtocol, loop=asyncio.get_running_loop())
        self._most = most
        self._idle_s = idle_s
        self._keys: dict[str, ConnectionKey] = {}  # by address, for nodes there has been a connection to

    def keep_for(self, idle_s: float) -> None:
        """From now on connections are kept so long, those that are kept already too."""
        self._idle_s = self._keepalive_timeout = idle_s

    def take(self, address: str) -> UpstreamProtocol | None:
        """A kept connection to a node, None where there is none that may be used."""
        key = self._keys.get(address)
        return self._take(key) if key is not None else None

    def give_back(self, address: str, protocol: UpstreamProtocol, sound: bool) -> None:
        """After its use; where its node has gone meanwhile it is not kept."""
        assert protocol.key is not None
        self._release(protocol.key, protocol, should_close=not sound or address not in self._keys)

    async def _get(self, key: ConnectionKey, traces: list[Any]) -> Any:
        protocol = self._take(key)
        return None if protocol is None else Connection(self, key, protocol, self._loop)

    def _take(self, key: ConnectionKey) -> UpstreamProtocol | None:
        kept: Any = self._conns.get(key)
        found: UpstreamProtocol | None = None
        now_s = time.monotonic()
        while kept and found is None:
            protocol, since = kept[0]
            if now_s - since < SETTLE_S:
                return None  # they stand in the order of their last use: the others are no older
            kept.popleft()
            if now_s - since <= self._idle_s and self._clean(protocol):
                found = protocol
            else:
                protocol.close()
        if kept is not None and not kept:
            del self._conns[key]
        if found is not None:
            found.given_s, found.key = now_s, key
            self._acquired.add(found)
            self._acquired_per_host[key].add(found)
        return found

    @staticmethod
    def _clean(protocol: ResponseHandler) -> bool:
        return protocol.is_connected() and not protocol.should_close and not readable(protocol.transport)

    async def _create_connection(self, *args: Any) -> ResponseHandler:
        """A new connection; where all there may be are there, the one that is idle the longest gives way."""
        idle = [(kept[0][1], key) for key, kept in self._conns.items() if kept]
        if idle and len(self._acquired) + sum(map(len, self._conns.values())) > self._most:
            _, key = min(idle, key=lambda each: each[0])
            self._conns[key].popleft()[0].close()
        protocol = await super()._create_connection(*args)
        assert isinstance(protocol, UpstreamProtocol)
        key = args[0].connection_key
        self._keys[f"{key.host}:{key.port}"] = key
        protocol.given_s = time.monotonic()  # its request is written right away
        return protocol

    def close_idle(self, address: str) -> None:
        key = self._keys.pop(address, None)
        for protocol, _ in self._conns.pop(key, ()) if key is not None else ():
            protocol.close()
