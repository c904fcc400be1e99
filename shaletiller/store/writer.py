"""Group commit beside the event loop: all that waits goes down with one sync, on a thread of its own.

While one commit is under way the next gather; so a record waits for at most one sync of others before its
own, and there is no timer to wait for.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import logging
from collections import deque
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor

from shaletiller.store.segment_store import Row, Snapshot, Store, StoreBrokenError, StoreFullError

logger = logging.getLogger(__name__)

MOST_ROWS = 2_000  # of one commit
Done = Callable[[bool], None]


class StoreWriter:
    """`keep` calls back on the event loop, with whether the rows last."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self._waiting: deque[tuple[Sequence[Row], Done]] = deque()
        self._busy = False
        self._some = asyncio.Event()
        self._thread = ThreadPoolExecutor(1, "store")
        self._beside = ThreadPoolExecutor(1, "snapshot")
        self._task: asyncio.Task[None] | None = None
        self._snapshot: asyncio.Task[None] | None = None
        self.full = False
        self.commits = self.rows = self.failed = self.snapshots = 0

    def start(self) -> None:
        self._task = asyncio.ensure_future(self._run())

    @property
    def sound(self) -> bool:
        """Whether the last commit lasted, so that the next is likely to."""
        return not self.full and not self.store.broken

    def keep(self, rows: Sequence[Row], done: Done = lambda lasts: None) -> None:
        self._waiting.append((rows, done))
        self._some.set()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._some.wait()
            self._some.clear()
            while self._waiting:
                batch, count = [], 0
                while self._waiting and count < MOST_ROWS:
                    batch.append(self._waiting.popleft())
                    count += len(batch[-1][0])
                rows = [row for each, _ in batch for row in each]
                self._busy = True
                lasts = await loop.run_in_executor(self._thread, self._commit, rows)
                self._busy = False
                self.commits += 1
                self.rows += len(rows) if lasts else 0
                self.failed += 0 if lasts else len(rows)
                for _, done in batch:
                    done(lasts)
                if lasts and self.store.wasteful and self._snapshot is None:
                    self._snapshot = asyncio.ensure_future(self._compact())

    def _commit(self, rows: list[Row]) -> bool:
        try:
            self.store.commit(rows)
        except (StoreFullError, StoreBrokenError) as error:
            if not self.full:
                logger.warning(f"store: promises nothing: {error}")
            self.full = True
            return False
        if self.full:
            logger.warning("store: there is room again")
        self.full = False
        return True

    async def _compact(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            begun: Snapshot = await loop.run_in_executor(self._thread, self.store.begin_snapshot)
            await loop.run_in_executor(self._beside, begun.write)
            await loop.run_in_executor(self._thread, functools.partial(self.store.end_snapshot, begun))
            self.snapshots += 1
        except (OSError, StoreFullError, StoreBrokenError) as error:
            logger.warning(f"store: no snapshot: {error}")
            await asyncio.sleep(1.0)
        finally:
            self._snapshot = None

    async def stop(self) -> None:
        """What waits is kept, then the store is closed for the next process."""
        while self._busy or (self._waiting and self.sound):
            await asyncio.sleep(0.005)
        for task in (self._task, self._snapshot):
            if task is not None:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
        self._thread.shutdown(wait=True)
        self._beside.shutdown(wait=True)
        self.store.close()
