"""Storage nodes that operators have ejected manually, shared by the processes of one gateway.

An ejection lasts until it is lifted, whatever the endpoint list says, and survives the replacement of the
process: it is stored in a file that each process reads at its start and again whenever the file changes.
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

    :param path: the file, a JSON list of node ids.
    :param on_change: called with the nodes whose ejection has begun or ended.
    """

    def __init__(self, path: Path, on_change: Callable[[set[str]], None]) -> None:
        self._path = path
        self._on_change = on_change
        self._file_stamp: FileStamp | None = None
        self.nodes: frozenset[str] = frozenset()

    def add(self, node: str) -> None:
        """Eject a node."""
        self._save(self.nodes | {node})

    def remove(self, node: str) -> None:
        """Lift a node's ejection."""
        self._save(self.nodes - {node})

    def reload(self) -> None:
        """Read the file again and apply it, if another process of the gateway has changed it."""
        stamp = self._read_stamp()
        if stamp == self._file_stamp:
            return
        self._file_stamp = stamp
        nodes: frozenset[str] = frozenset()
        if stamp is not None:
            try:
                nodes = frozenset(msgspec.json.decode(self._path.read_bytes(), type=list[str]))
            except (OSError, msgspec.DecodeError, msgspec.ValidationError) as error:
                # Lifting the ejections because of a damaged file would send requests to nodes that operators
                # have taken out of service.
                logger.warning("cannot read the file of manual ejections, they stay unchanged: %s", error)
                return
        self._replace(nodes)

    def _save(self, nodes: frozenset[str]) -> None:
        # The file is written under a temporary name and then renamed, so that another process never reads an
        # incomplete file.
        temporary = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        previous, self.nodes = self.nodes, nodes
        try:
            temporary.write_bytes(msgspec.json.encode(sorted(nodes)))
            temporary.replace(self._path)
            self._file_stamp = self._read_stamp()
        except OSError as error:
            logger.warning("cannot store the manual ejections for the next process: %s", error)
        self._notify(previous)

    def _replace(self, nodes: frozenset[str]) -> None:
        previous, self.nodes = self.nodes, nodes
        self._notify(previous)

    def _notify(self, previous: frozenset[str]) -> None:
        changed = previous ^ self.nodes
        if changed:
            self._on_change(set(changed))

    def _read_stamp(self) -> FileStamp | None:
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size
