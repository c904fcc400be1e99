"""Gossip about storage nodes: a replicated map of health records that converges at all gateways.

Under each key (node, kind, observer) the newest record wins: by the node's incarnation, then by the record's
timestamp.  Merging is therefore commutative, associative and idempotent: a map of last-writer-wins registers
(Shapiro, Preguica, Baquero and Zawirski, "Conflict-free Replicated Data Types", SSS 2011).

- A record expires at its `expires_ms` everywhere, without a message.  So does a withdrawal, which is given at
  least the time of the record that it withdraws.
- A newer incarnation of the node discards records of older ones.  Manual ejections are an operator's and
  concern the node in any incarnation.
- A manual ejection is one register for all observers: any operator's ENABLE lifts any operator's DISABLE.
- What the endpoint list says of an incarnation (DEPARTING) is one register for all observers too; the record
  of the higher list version wins, whichever was observed later.
- What takes load off a node (UNREACHABLE, REJECTING) requires a quorum of distinct observers: what a single
  gateway observes may be a fault of its own link.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

import msgspec
import xxhash

from shaletiller.fleet.codec import HealthRecord, encode

ANY_OBSERVER = 0xFFFF  # observer in the key of records that are one register for all observers
MAX_LIFETIME_MS = 7 * 24 * 3600_000.0  # a record with a longer lifetime comes from a broken clock
EXPIRY_INTERVAL_MS = 50.0  # empirical: more often costs a scan of the map, less often delays recovery
# Empirical: incarnations of nodes without records are dropped above this, to bound memory as nodes come and
# go.
MIN_INCARNATIONS_KEPT = 256
INCARNATIONS_PER_RECORD = 4


class HealthKind(IntEnum):
    """What a record states about a storage node; its `value` is 0 where the statement is withdrawn."""

    EJECTED = 1  # manually ejected by an operator (1)
    UNREACHABLE = 2  # attempts fail without an answer (1)
    WARMING_UP = 3  # has started anew: its incarnation is the statement (1)
    REJECTING = 4  # rejects requests (1)
    SLOW = 5  # its smoothed latency, in milliseconds
    DEPARTING = 6  # the endpoint list's version times `DEPARTURE_STATES`, plus a `DepartureState`


KNOWN_KINDS = frozenset(HealthKind)
SHARED_KINDS = (HealthKind.EJECTED, HealthKind.DEPARTING)  # one register for all observers

# Names of the kinds in STATS, as `fleet.verdicts.NAME`.
STATS_NAMES = {
    HealthKind.EJECTED: "ban",
    HealthKind.UNREACHABLE: "dead",
    HealthKind.WARMING_UP: "cold",
    HealthKind.REJECTING: "turning",
    HealthKind.SLOW: "slow",
    HealthKind.DEPARTING: "leaving",
}


class DepartureState(IntEnum):
    """State of an incarnation according to the endpoint list, in a record of kind DEPARTING."""

    DRAINING = 1
    LEFT = 2
    ACTIVE = 3


DEPARTURE_STATES = 4  # the value of a DEPARTING record is a number of this base: list version, state
KNOWN_DEPARTURE_STATES = frozenset(DepartureState)


class Departure(NamedTuple):
    """Value of a record of kind DEPARTING: state of an incarnation in a version of the endpoint list."""

    version: int
    state: DepartureState

    def to_value(self) -> int:
        """Encode as the value of a record."""
        return self.version * DEPARTURE_STATES + self.state

    @classmethod
    def from_value(cls, value: int) -> Departure | None:
        """Decode the value of a record; `None` where a later version of this program wrote it."""
        version, state = divmod(value, DEPARTURE_STATES)
        return cls(version, DepartureState(state)) if state in KNOWN_DEPARTURE_STATES else None


@dataclass(slots=True, frozen=True)
class HealthSummary:
    """Records of one node and kind, aggregated over observers.

    :param observers: number of distinct observers.
    :param value: the greatest value.
    :param expires_ms: when too few observers will remain.
    :param incarnation: the latest incarnation of the node.
    """

    observers: int
    value: int
    expires_ms: float
    incarnation: int


class RecordKey(NamedTuple):
    """Identifies the register of a record."""

    node: str
    kind: int
    observer: int


def key_of(record: HealthRecord) -> RecordKey:
    """Return the key of the register that a record writes."""
    observer = ANY_OBSERVER if record.kind in SHARED_KINDS else record.observer
    return RecordKey(record.node, record.kind, observer)


def rank(record: HealthRecord) -> tuple[int, int, int, int, int, int, int]:
    """Return the total order of the records under one key; it alone decides which of them wins.

    The incarnation of a manual ejection is not compared, except to break ties.
    """
    incarnation = 0 if record.kind == HealthKind.EJECTED else record.incarnation
    departure = record.value if record.kind == HealthKind.DEPARTING else 0
    return (
        incarnation,
        departure,
        record.timestamp,
        record.observer,
        record.value,
        record.expires_ms,
        record.incarnation,
    )


def _ignore_change(node: str, kind: HealthKind) -> None:
    """Ignore a change: the default listener."""


class HealthGossip:
    """One member's map of health records."""

    def __init__(
        self,
        broadcast: Callable[[HealthRecord], None],
        on_change: Callable[[str, HealthKind], None] = _ignore_change,
    ) -> None:
        """Create an empty map.

        :param broadcast: disseminates a record to all members by gossip.
        :param on_change: notified of each node and kind whose records have changed.
        """
        self._broadcast, self._on_change = broadcast, on_change
        self._records: dict[RecordKey, HealthRecord] = {}
        self._incarnations: dict[str, int] = {}  # latest known, by node
        self._digest = 0
        self._sync_position = 0
        self._expired_ms = 0.0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def __iter__(self) -> Iterator[HealthRecord]:
        """Iterate over a copy of the records."""
        return iter(list(self._records.values()))

    # ---- queries

    @property
    def digest(self) -> int:
        """Equal for equal maps; maintained incrementally."""
        return self._digest

    def ejection_record(self, node: str) -> HealthRecord | None:
        """Return the winning record of operators about a node."""
        return self._records.get(RecordKey(node, HealthKind.EJECTED, ANY_OBSERVER))

    def departure_record(self, node: str) -> HealthRecord | None:
        """Return what the highest known version of the endpoint list says about a node's departure."""
        return self._records.get(RecordKey(node, HealthKind.DEPARTING, ANY_OBSERVER))

    def ejected_nodes(self, wall_ms: float) -> frozenset[str]:
        """Return the nodes that are manually ejected."""
        return frozenset(
            record.node
            for key, record in self._records.items()
            if key.kind == HealthKind.EJECTED and record.value > 0 and record.expires_ms > wall_ms
        )

    def with_quorum(self, node: str, kind: HealthKind, quorum: int, wall_ms: float) -> HealthSummary | None:
        """Aggregate the records of a node and kind.

        :param quorum: distinct observers required.
        :returns: `None` where there are fewer observers; otherwise expiring when there will be fewer.
        """
        records = sorted(
            (
                record
                for key, record in self._records.items()
                if key.node == node and key.kind == kind and record.value > 0 and record.expires_ms > wall_ms
            ),
            key=lambda record: -record.expires_ms,
        )
        if len({record.observer for record in records}) < quorum:
            return None
        return HealthSummary(
            observers=len(records),
            value=max(record.value for record in records),
            expires_ms=float(records[quorum - 1].expires_ms),
            incarnation=max(record.incarnation for record in records),
        )

    # ---- changes

    def publish(self, record: HealthRecord, wall_ms: float) -> bool:
        """Merge a record of this member; a withdrawal lasts at least as long as what it withdraws."""
        previous = self._records.get(key_of(record))
        if previous is not None and record.value == 0 and previous.expires_ms > record.expires_ms:
            record = msgspec.structs.replace(record, expires_ms=previous.expires_ms)
        return self.merge(record, wall_ms)

    def merge(self, record: HealthRecord, wall_ms: float) -> bool:
        """Merge a record of any member, and broadcast it if it is news.

        :returns: whether it replaced what was known.
        """
        if not self._is_acceptable(record, wall_ms):
            return False
        key = key_of(record)
        previous = self._records.get(key)
        if previous is not None and rank(previous) >= rank(record):
            return False
        self._observe_incarnation(record)
        self._put(key, record)
        self._broadcast(record)
        self._on_change(record.node, HealthKind(record.kind))
        return True

    def _is_acceptable(self, record: HealthRecord, wall_ms: float) -> bool:
        if not wall_ms < record.expires_ms <= wall_ms + MAX_LIFETIME_MS:
            return False
        if record.kind not in KNOWN_KINDS:
            return False  # of a later version of this program
        is_outdated = record.incarnation < self._incarnations.get(record.node, 0)
        return record.kind == HealthKind.EJECTED or not is_outdated

    def _observe_incarnation(self, record: HealthRecord) -> None:
        """Discard the records of older incarnations of a node that has restarted."""
        if record.kind == HealthKind.EJECTED:
            return
        if record.incarnation <= self._incarnations.get(record.node, 0):
            return
        self._incarnations[record.node] = record.incarnation
        outdated = [
            key
            for key, known in self._records.items()
            if known.node == record.node
            and known.kind != HealthKind.EJECTED
            and known.incarnation < record.incarnation
        ]
        self._discard(outdated)

    def _put(self, key: RecordKey, record: HealthRecord) -> None:
        if key in self._records:
            self._digest ^= _hash(self._records[key])
        self._records[key] = record
        self._digest ^= _hash(record)

    def _discard(self, keys: list[RecordKey]) -> None:
        for key in keys:
            self._digest ^= _hash(self._records.pop(key))
            self._on_change(key.node, HealthKind(key.kind))

    def tick(self, wall_ms: float) -> None:
        """Discard records that have expired."""
        if wall_ms - self._expired_ms < EXPIRY_INTERVAL_MS:
            return
        self._expired_ms = wall_ms
        self._discard([key for key, record in self._records.items() if record.expires_ms <= wall_ms])
        if len(self._incarnations) > INCARNATIONS_PER_RECORD * len(self._records) + MIN_INCARNATIONS_KEPT:
            nodes = {record.node for record in self._records.values()}
            self._incarnations = {
                node: incarnation for node, incarnation in self._incarnations.items() if node in nodes
            }

    def extend(self, kind: HealthKind, before_ms: float, expires_ms: float, wall_ms: float) -> None:
        """Extend records of a kind that expire before `before_ms`.

        They keep their timestamps, so that any later record still wins.
        """
        for key, record in list(self._records.items()):
            if key.kind == kind and record.value > 0 and wall_ms < record.expires_ms < before_ms:
                self.merge(msgspec.structs.replace(record, expires_ms=int(expires_ms)), wall_ms)

    # ---- anti-entropy

    def sync_batch(self, max_bytes: int) -> list[bytes]:
        """Return encoded records, in rotation, for a member whose digest differs.

        :param max_bytes: size of the batch.
        """
        keys = list(self._records)
        batch: list[bytes] = []
        for offset in range(len(keys)):
            payload = encode(self._records[keys[(self._sync_position + offset) % len(keys)]])
            if len(payload) > max_bytes:
                break
            max_bytes -= len(payload)
            batch.append(payload)
        self._sync_position += len(batch)
        return batch


def _hash(record: HealthRecord) -> int:
    """Hash a record; shifted to fit the signed integer of the wire."""
    return xxhash.xxh3_64_intdigest(encode(record)) >> 1
