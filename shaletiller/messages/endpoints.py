"""The endpoint list: the storage nodes reported by discovery, and their states."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """The state of a node in the endpoint list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class UpdateKind(Enum):
    """The kind of an update of the endpoint list."""

    CHANGES = 0  # only the entries that have changed
    FULL = 1  # all entries
    CACHED = 2  # all entries of the list that was last received
    FAILED = 3  # no entries: the call to discovery failed


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """An entry of the endpoint list.

    :param shard: the shard whose data the node holds.
    :param started_ms: time at which the node started, 0 if it is unknown.
    """

    node: str
    zone: str
    shard: int
    state: EndpointState
    weight: float = 1.0
    started_ms: float = 0.0
    kind: str = ""
