"""The endpoint list: the storage nodes that discovery names, and their states."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """A node's standing in the list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class UpdateKind(Enum):
    """What a message of the node list brings."""

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """A line of the node list."""

    node: str
    zone: str
    shard: int
    state: EndpointState
    weight: float = 1.0
    started_ms: float = 0.0
    kind: str = ""
