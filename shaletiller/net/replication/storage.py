"""Opens the store of a gateway; handles a locked store and a damaged one."""

from __future__ import annotations

import logging
from pathlib import Path

from shaletiller.clock import Clock
from shaletiller.config.operator_model import StoreConfig
from shaletiller.store.errors import DamagedStoreError, StoreLockedError
from shaletiller.store.file_system import FaultInjectingFileSystem, FileSystem
from shaletiller.store.segment_store import SegmentStore

logger = logging.getLogger(__name__)

BYTES_PER_MB = 1 << 20


class StoreOpener:
    """Opens the store configured in the operators' file."""

    def __init__(self, settings: StoreConfig, clock: Clock) -> None:
        """Create an opener with these settings; nothing is opened yet."""
        self._settings, self._clock = settings, clock
        self._directory = Path(settings.dir)
        self._file_system = FaultInjectingFileSystem(Path(settings.drill)) if settings.drill else FileSystem()
        self.found_damaged = False

    def open(self) -> SegmentStore | None:
        """Open the store.

        A damaged store is moved aside and replaced by an empty one, which is filled from the replicas.

        :returns: the store, or None if another process has it open or the file system reports an error.
        """
        try:
            store = self._open_or_replace()
        except (StoreLockedError, OSError) as error:
            logger.warning("store: cannot be opened, this gateway does not vote until it is: %s", error)
            return None
        if store.torn_bytes:
            logger.warning(
                "store: discarded %d bytes after the last complete record of %s",
                store.torn_bytes,
                store.torn_file,
            )
        return store

    def _open_or_replace(self) -> SegmentStore:
        try:
            return self._open()
        except DamagedStoreError as error:
            self.found_damaged = True
            damaged_path = self._directory.with_name(
                f"{self._directory.name}.damaged-{int(self._clock.now_ms())}"
            )
            self._directory.rename(damaged_path)
            logger.error(
                "store: damaged: %s; moved to %s, a new store is filled from the replicas",
                error,
                damaged_path.name,
            )
            return self._open()

    def _open(self) -> SegmentStore:
        segment_bytes = int(self._settings.segment_mb * BYTES_PER_MB)
        return SegmentStore(self._directory, self._file_system, segment_bytes)
