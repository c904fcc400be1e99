"""Cache of the endpoint list, in the store and on the replicas, for a start without discovery."""

from __future__ import annotations

import logging
from typing import Protocol

import msgspec

from shaletiller.config import ServerList
from shaletiller.net.replication.port import RECORD_RETENTION_MS, PortListener, ReplicationPort
from shaletiller.replication.proposer import Precondition
from shaletiller.replication.records import META, CachedEndpointList, decode_value, pack
from shaletiller.store.record_format import RecordUpdate
from shaletiller.store.segment_store import SegmentStore

logger = logging.getLogger(__name__)

# Key of the record in the store, and prefix of the register's key. They are part of the stored data and must
# not change.
LIST_KEY, LIST_PREFIX = b"list", "list:"
# Minimum time between two writes of the list. A larger value leaves the cache out of date for longer; a
# smaller value causes more writes if the list changes all the time.
UPDATE_INTERVAL_MS = 1_000.0
UPDATE_TIMEOUT_MS = 5_000.0  # An update without a majority is given up; the next update replaces it.
RECOVERY_TIMEOUT_MS = 30_000.0  # No request waits for the restoration of the list at a start.
# A larger list is cached only in the local store, because replicas hold their rows in memory.
MAX_REPLICATED_BYTES = 1 << 16


class EndpointListConsumer(Protocol):
    """Callback for a cached endpoint list, which is used if nothing newer is known yet."""

    def __call__(self, cached: ServerList, /) -> None:
        """Apply a cached list."""


class EndpointListCache(PortListener):
    """Caches the newest endpoint list of discovery, and restores it at a start."""

    def __init__(self, port: ReplicationPort, consumer: EndpointListConsumer, gateway: str) -> None:
        """Create a cache for the endpoint list of one gateway.

        :param consumer: called with each restored list.
        :param gateway: name of the gateway.
        """
        self._port, self._consumer = port, consumer
        self._register_key = f"{LIST_PREFIX}{gateway}"
        self._pending: ServerList | None = None
        self._last_written = b""
        self._last_write_ms = 0.0
        port.subscribe(self)

    def update(self, endpoints: ServerList) -> None:
        """Schedule a list for the next write; an empty list is ignored, as it is of no use at a start."""
        if endpoints.servers:
            self._pending = endpoints

    def tick(self, now_ms: float) -> None:
        """Write the newest list at most once per `UPDATE_INTERVAL_MS`; see `PortListener`."""
        if self._pending is None or now_ms - self._last_write_ms < UPDATE_INTERVAL_MS:
            return
        encoded = msgspec.json.encode(self._pending)
        self._pending, self._last_write_ms = None, now_ms
        if encoded != self._last_written:
            self._last_written = encoded
            self._write(encoded, now_ms)

    def _write(self, encoded: bytes, now_ms: float) -> None:
        if self._port.writer is not None:
            self._port.writer.submit([RecordUpdate(META, LIST_KEY, encoded)])
        value = pack(CachedEndpointList(int(now_ms), encoded))
        if len(value) < MAX_REPLICATED_BYTES:
            self._port.call_node(
                lambda: self._port.node.propose(
                    self._register_key,
                    Precondition.ANY,
                    value,
                    now_ms + RECORD_RETENTION_MS,
                    now_ms + UPDATE_TIMEOUT_MS,
                    now_ms,
                )
            )

    def restore_from_store(self, store: SegmentStore) -> None:
        """Restore the list from the local store, if it has one."""
        encoded = store.get(META, LIST_KEY)
        if encoded is not None:
            self._restore_encoded(encoded)

    async def restore_from_replicas(self) -> None:
        """Restore the list from the replicas, if they have one."""
        result = await self._port.propose(
            self._register_key, Precondition.READ_ONLY, b"", RECOVERY_TIMEOUT_MS
        )
        cached = decode_value(result.value)
        if isinstance(cached, CachedEndpointList):
            self._restore_encoded(cached.json)

    def _restore_encoded(self, encoded: bytes) -> None:
        try:
            self._consumer(msgspec.json.decode(encoded, type=ServerList))
        except msgspec.MsgspecError as error:
            logger.warning("store: cached endpoint list ignored, it cannot be decoded: %s", error)
