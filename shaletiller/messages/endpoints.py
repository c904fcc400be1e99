"""The endpoint list: the storage nodes that discovery names, and their states."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """The state of a node in the endpoint list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class UpdateKind(Enum):
    """What an update of the endpoint list holds."""

    CHANGES = 0  # the entries that changed
    FULL = 1  # all entries
    CACHED = 2  # all entries as they were when the list was last received
    FAILED = 3  # nothing: the call failed


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """An entry of the endpoint list.

    :param shard: the shard whose data the node holds.
    :param started_ms: when the node started, 0 where that is not known.
    """

    node: str
    zone: str
    shard: int
    state: EndpointState
    weight: float = 1.0
    started_ms: float = 0.0
    kind: str = ""
