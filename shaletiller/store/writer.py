"""Background writer: group commit on a dedicated thread, so that the event loop is not blocked.

Updates that arrive during a commit are queued and then share one sync.  Unless the queue exceeds
`MAX_UPDATES_PER_COMMIT`, an update waits for at most one sync before its own, and no timer delays it.  (Group
commit: DeWitt et al., "Implementation techniques for main memory database systems", 1984.)
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import logging
from collections import deque
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from shaletiller.store.errors import StoreBrokenError, StoreFullError
from shaletiller.store.segment_store import SegmentStore, UpdateTuple
from shaletiller.store.snapshot import Snapshot

logger = logging.getLogger(__name__)

# No further submission joins a batch of this size.  A larger value makes fewer syncs; a smaller value bounds
# the duration of a commit more tightly.
MAX_UPDATES_PER_COMMIT = 2_000
STOP_POLL_S = 0.005  # seconds between checks for outstanding commits while stopping
SNAPSHOT_RETRY_S = 1.0  # seconds before the next attempt; a full disk rarely has free space sooner
CommitCallback = Callable[[bool], None]


def _ignore_result(durable: bool) -> None:
    """Ignore the result of a commit; the default callback."""


@dataclass(slots=True, frozen=True)
class _Submission:
    updates: Sequence[UpdateTuple]
    on_result: CommitCallback


class StoreWriter:
    """Commits updates to a store on background threads, and compacts it when needed."""

    def __init__(self, store: SegmentStore) -> None:
        """Take ownership of an open store; call `start` to begin committing."""
        self.store = store
        self._queue: deque[_Submission] = deque()
        self._queued = asyncio.Event()
        self._committing = False
        self._commit_thread = ThreadPoolExecutor(1, "store")
        self._snapshot_thread = ThreadPoolExecutor(1, "snapshot")
        self._commit_task: asyncio.Task[None] | None = None
        self._snapshot_task: asyncio.Task[None] | None = None
        self._last_commit_failed = False
        self.commits = self.committed_updates = self.failed_updates = self.snapshots = 0

    def start(self) -> None:
        """Start committing; must be called from the running event loop."""
        self._commit_task = asyncio.ensure_future(self._run())

    @property
    def healthy(self) -> bool:
        """Return whether the last commit succeeded and the store accepts further commits."""
        return not self._last_commit_failed and not self.store.failure

    def submit(self, updates: Sequence[UpdateTuple], on_result: CommitCallback = _ignore_result) -> None:
        """Queue updates for the next commit.

        :param on_result: called on the event loop with True if the updates are durable, and False if the
            commit failed.
        """
        self._queue.append(_Submission(updates, on_result))
        self._queued.set()

    async def _run(self) -> None:
        while True:
            await self._queued.wait()
            self._queued.clear()
            while self._queue:
                await self._commit_batch(self._take_batch())

    def _take_batch(self) -> list[_Submission]:
        batch: list[_Submission] = []
        count = 0
        while self._queue and count < MAX_UPDATES_PER_COMMIT:
            batch.append(self._queue.popleft())
            count += len(batch[-1].updates)
        return batch

    async def _commit_batch(self, batch: list[_Submission]) -> None:
        updates = [update for submission in batch for update in submission.updates]
        loop = asyncio.get_running_loop()
        self._committing = True
        durable = await loop.run_in_executor(self._commit_thread, self._commit, updates)
        self._committing = False
        self.commits += 1
        if durable:
            self.committed_updates += len(updates)
        else:
            self.failed_updates += len(updates)
        for submission in batch:
            submission.on_result(durable)
        if durable and self.store.needs_compaction and self._snapshot_task is None:
            self._snapshot_task = asyncio.ensure_future(self._compact())

    def _commit(self, updates: list[UpdateTuple]) -> bool:
        """Commit updates on the commit thread, and return whether they are durable."""
        try:
            self.store.commit(updates)
        except (StoreFullError, StoreBrokenError) as error:
            if not self._last_commit_failed:
                logger.error("store: commit failed, no updates are acknowledged: %s", error)
            self._last_commit_failed = True
            return False
        if self._last_commit_failed:
            logger.warning("store: commits succeed again")
        self._last_commit_failed = False
        return True

    async def _compact(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            snapshot: Snapshot = await loop.run_in_executor(self._commit_thread, self.store.begin_snapshot)
            await loop.run_in_executor(self._snapshot_thread, snapshot.write)
            end_snapshot = functools.partial(self.store.end_snapshot, snapshot)
            await loop.run_in_executor(self._commit_thread, end_snapshot)
            self.snapshots += 1
        except (OSError, StoreFullError, StoreBrokenError) as error:
            logger.warning("store: snapshot failed, the log is not compacted: %s", error)
            await asyncio.sleep(SNAPSHOT_RETRY_S)
        finally:
            self._snapshot_task = None

    async def stop(self) -> None:
        """Commit the queued updates, unless commits fail, and close the store."""
        while self._committing or (self._queue and self.healthy):
            await asyncio.sleep(STOP_POLL_S)
        for task in (self._commit_task, self._snapshot_task):
            if task is not None:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
        self._commit_thread.shutdown(wait=True)
        self._snapshot_thread.shutdown(wait=True)
        self.store.close()
