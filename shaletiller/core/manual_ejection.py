"""Storage nodes that operators have ejected by hand, shared by the processes of one gateway.

An ejection holds until it is lifted, whatever the endpoint list says, and across the replacement of the
process: it stands in a file that the next process reads at its start, and that each process reads again when
it changes.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from pathlib import Path

import msgspec

logger = logging.getLogger(__name__)

FileStamp = tuple[int, int]  # modification time in nanoseconds, size in bytes


class ManualEjections:
    """The ejected nodes and their file.

    :param path: of the file; a JSON list of node ids.
    :param changed: called with the nodes whose ejection has begun or ended.
    """

    def __init__(self, path: Path, changed: Callable[[set[str]], None]) -> None:
        self._path = path
        self._changed = changed
        self._stamp: FileStamp | None = None
        self.nodes: frozenset[str] = frozenset()

    def add(self, node: str) -> None:
        """Eject a node."""
        self._store(self.nodes | {node})

    def remove(self, node: str) -> None:
        """Lift a node's ejection."""
        self._store(self.nodes - {node})

    def reload(self) -> None:
        """Apply what the gateway's other process has written, where the file has changed."""
        stamp = self._current_stamp()
        if stamp == self._stamp:
            return
        self._stamp = stamp
        nodes: frozenset[str] = frozenset()
        if stamp is not None:
            try:
                nodes = frozenset(msgspec.json.decode(self._path.read_bytes(), type=list[str]))
            except (OSError, msgspec.DecodeError, msgspec.ValidationError) as error:
                # Lifted because of a damaged file, an ejection would send work to a node that operators
                # took out.
                logger.warning("manual ejections unchanged, their file cannot be read: %s", error)
                return
        self._replace(nodes)

    def _store(self, nodes: frozenset[str]) -> None:
        # Written completely and then renamed: the other process never reads half a file.
        part = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        previous, self.nodes = self.nodes, nodes
        try:
            part.write_bytes(msgspec.json.encode(sorted(nodes)))
            part.replace(self._path)
            self._stamp = self._current_stamp()
        except OSError as error:
            logger.warning("manual ejections not stored for the next process: %s", error)
        self._notify(previous)

    def _replace(self, nodes: frozenset[str]) -> None:
        previous, self.nodes = self.nodes, nodes
        self._notify(previous)

    def _notify(self, previous: frozenset[str]) -> None:
        moved = previous ^ self.nodes
        if moved:
            self._changed(set(moved))

    def _current_stamp(self) -> FileStamp | None:
        try:
            found = self._path.stat()
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size
