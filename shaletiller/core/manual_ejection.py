"""Bans: storage nodes that operators have taken out by hand, shared by the processes of one gateway.

A ban holds until it is lifted, whatever the list says, and across the replacement of the process: it is kept
in a file that the next process reads at its start, and that each process reads again when it changes.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from pathlib import Path

import msgspec

logger = logging.getLogger(__name__)


class ManualEjections:
    def __init__(self, path: Path, changed: Callable[[set[str]], None]) -> None:
        self._path = path
        self._changed = changed
        self._stamp: tuple[int, int] | None = None
        self.held: frozenset[str] = frozenset()

    def add(self, node: str) -> None:
        self._set(self.held | {node})

    def remove(self, node: str) -> None:
        self._set(self.held - {node})

    def _set(self, nodes: frozenset[str]) -> None:
        moved = nodes ^ self.held
        self.held = nodes
        # Written whole and then renamed: the other process never reads half a file.
        part = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        try:
            part.write_bytes(msgspec.json.encode(sorted(nodes)))
            part.replace(self._path)
            self._stamp = self._stat()
        except OSError as error:
            logger.warning(f"bans not kept for the next process: {error}")
        if moved:
            self._changed(set(moved))

    def _stat(self) -> tuple[int, int] | None:
        try:
            found = self._path.stat()
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size

    def look(self) -> None:
        """Take what the other process of the gateway has written, where the file has changed."""
        stamp = self._stat()
        if stamp == self._stamp:
            return
        self._stamp = stamp
        nodes: frozenset[str] = frozenset()
        if stamp is not None:
            try:
                nodes = frozenset(msgspec.json.decode(self._path.read_bytes(), type=list[str]))
            except (OSError, msgspec.DecodeError, msgspec.ValidationError) as error:
                logger.warning(
                    f"bans left as they were: {error}"
                )  # a ban that was lifted by a faulty file is lost
                return
        moved = nodes ^ self.held
        self.held = nodes
        if moved:
            self._changed(set(moved))
