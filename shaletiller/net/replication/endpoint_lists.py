"""The cache of the endpoint list, in the store and on the replicas, for a start without discovery."""

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

# The key of the record in the store, and the prefix of the register: a format of the stores.
LIST_KEY, LIST_PREFIX = b"list", "list:"
UPDATE_INTERVAL_MS = 1_000.0  # empirical: a list that changes all the time against the load of writing it
UPDATE_TIMEOUT_MS = 5_000.0  # the next update replaces one that no majority has by then
RECOVERY_TIMEOUT_MS = 30_000.0  # no request waits for it at a start
MAX_REPLICATED_BYTES = 1 << 16  # a longer list is cached in the local store only: replicas hold it in memory


class EndpointListConsumer(Protocol):
    """Takes an endpoint list that was cached, where nothing newer is known yet."""

    def __call__(self, cached: ServerList, /) -> None:
        """Use a cached list."""


class EndpointListCache(PortListener):
    """Caches the newest list of discovery, and restores it at a start."""

    def __init__(self, port: ReplicationPort, consumer: EndpointListConsumer, gateway: str) -> None:
        """Cache the list of the gateway of this name."""
        self._port, self._consumer = port, consumer
        self._register = f"{LIST_PREFIX}{gateway}"
        self._pending: ServerList | None = None
        self._cached = b""
        self._updated_ms = 0.0
        port.subscribe(self)

    def update(self, endpoints: ServerList) -> None:
        """Cache the list that discovery has now, soon; an empty one is no use at a start."""
        if endpoints.servers:
            self._pending = endpoints

    def tick(self, now_ms: float) -> None:
        """Write the newest list when it is time to; see `PortListener`."""
        if self._pending is None or now_ms - self._updated_ms < UPDATE_INTERVAL_MS:
            return
        raw = msgspec.json.encode(self._pending)
        self._pending, self._updated_ms = None, now_ms
        if raw != self._cached:
            self._cached = raw
            self._write(raw, now_ms)

    def _write(self, raw: bytes, now_ms: float) -> None:
        if self._port.writer is not None:
            self._port.writer.submit([RecordUpdate(META, LIST_KEY, raw)])
        value = pack(CachedEndpointList(int(now_ms), raw))
        if len(value) < MAX_REPLICATED_BYTES:
            self._port.run(
                lambda: self._port.node.propose(
                    self._register,
                    Precondition.ANY,
                    value,
                    now_ms + RECORD_RETENTION_MS,
                    now_ms + UPDATE_TIMEOUT_MS,
                    now_ms,
                )
            )

    def restore_from_store(self, store: SegmentStore) -> None:
        """Restore the list of the local store, if it has one."""
        raw = store.get(META, LIST_KEY)
        if raw is not None:
            self._restore(raw)

    async def restore_from_replicas(self) -> None:
        """Restore the list of the replicas, if they have one."""
        result = await self._port.propose(self._register, Precondition.READ_ONLY, b"", RECOVERY_TIMEOUT_MS)
        cached = decode_value(result.value)
        if isinstance(cached, CachedEndpointList):
            self._restore(cached.json)

    def _restore(self, raw: bytes) -> None:
        try:
            self._consumer(msgspec.json.decode(raw, type=ServerList))
        except msgspec.MsgspecError as error:
            logger.warning("store: the cached endpoint list is ignored: %s", error)
