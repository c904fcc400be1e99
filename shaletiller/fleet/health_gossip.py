"""Gossip about storage nodes: a replicated map of health records that converges at all gateways.

For each key (node, kind, observer) the newest record wins: first by the incarnation of the node, then by the
timestamp of the record.  The map consists of last-writer-wins registers (Shapiro, Preguica, Baquero and
Zawirski, "Conflict-free Replicated Data Types", SSS 2011), so merging is commutative, associative and
idempotent.

- A record expires at its `expires_ms` at all gateways, without a message.  A withdrawal expires too, but not
  before the record that it withdraws.
- Records about older incarnations of a node are discarded when a newer incarnation is known.  Manual
  ejections are kept: an operator's command applies to all incarnations of a node.
- All observers share one register for the manual ejection of a node: the ENABLE of any operator lifts the
  DISABLE of any other operator.
- All observers share one register for the state of an incarnation in the endpoint list (DEPARTING).  The
  record of the higher list version wins, regardless of when it was observed.
- Records that move load away from a node (UNREACHABLE, REJECTING) take effect only with a quorum of distinct
  observers, because a failure that only one gateway observes may be a fault of its own link.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

import msgspec
import xxhash

from shaletiller.fleet.codec import HealthRecord, encode

ANY_OBSERVER = 0xFFFF  # observer in the key of a register that all observers share
MAX_LIFETIME_MS = 7 * 24 * 3600_000.0  # a record with a longer lifetime comes from a broken clock
# Interval between scans for expired records.  A smaller value costs more scans of the map; a larger value
# delays the recovery of nodes.
EXPIRY_INTERVAL_MS = 50.0
# The known incarnations of nodes without records are dropped when there are more incarnations than
# `MIN_INCARNATIONS_KEPT` plus `INCARNATIONS_PER_RECORD` for each record.  This bounds memory while nodes are
# added and removed.
MIN_INCARNATIONS_KEPT = 256
INCARNATIONS_PER_RECORD = 4


class HealthKind(IntEnum):
    """Kind of statement in a record about a storage node.

    The comments give the meaning of the record's `value`; a value of 0 withdraws the statement.
    """

    EJECTED = 1  # 1: manually ejected by an operator
    UNREACHABLE = 2  # 1: attempts fail without a response
    WARMING_UP = 3  # 1: restarted with the incarnation of this record
    REJECTING = 4  # 1: rejects requests
    SLOW = 5  # smoothed latency in milliseconds
    DEPARTING = 6  # version of the endpoint list times `DEPARTURE_STATES`, plus a `DepartureState`


KNOWN_KINDS = frozenset(HealthKind)
SHARED_KINDS = (HealthKind.EJECTED, HealthKind.DEPARTING)  # all observers share one register of a node

# Names of the kinds in the STATS keys `fleet.verdicts.NAME`.
STATS_NAMES = {
    HealthKind.EJECTED: "ban",
    HealthKind.UNREACHABLE: "dead",
    HealthKind.WARMING_UP: "cold",
    HealthKind.REJECTING: "turning",
    HealthKind.SLOW: "slow",
    HealthKind.DEPARTING: "leaving",
}


class DepartureState(IntEnum):
    """State of a node's incarnation in the endpoint list, as encoded in records of kind DEPARTING."""

    DRAINING = 1
    LEFT = 2
    ACTIVE = 3


DEPARTURE_STATES = 4  # factor of the list version in the value of a DEPARTING record
KNOWN_DEPARTURE_STATES = frozenset(DepartureState)


class Departure(NamedTuple):
    """Value of a DEPARTING record: the state of an incarnation in a version of the endpoint list."""

    version: int
    state: DepartureState

    def to_value(self) -> int:
        """Encode the departure as the value of a record."""
        return self.version * DEPARTURE_STATES + self.state

    @classmethod
    def from_value(cls, value: int) -> Departure | None:
        """Decode the value of a record; return `None` if the state is unknown to this version."""
        version, state = divmod(value, DEPARTURE_STATES)
        return cls(version, DepartureState(state)) if state in KNOWN_DEPARTURE_STATES else None


@dataclass(slots=True, frozen=True)
class HealthSummary:
    """Records of one kind about a node, aggregated over observers.

    :param observers: number of distinct observers.
    :param value: greatest value of the records.
    :param expires_ms: time from which the records of too few observers remain.
    :param incarnation: latest incarnation of the node.
    """

    observers: int
    value: int
    expires_ms: float
    incarnation: int


class RecordKey(NamedTuple):
    """Key of the register that holds a record."""

    node: str
    kind: int
    observer: int


def key_of(record: HealthRecord) -> RecordKey:
    """Return the key of the register that a record is written to."""
    observer = ANY_OBSERVER if record.kind in SHARED_KINDS else record.observer
    return RecordKey(record.node, record.kind, observer)


def rank(record: HealthRecord) -> tuple[int, int, int, int, int, int, int]:
    """Return the sort key by which the records of one register are ordered; the greatest record wins.

    The incarnation of a manual ejection is compared only to break ties.
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
    """Ignore a changed record; the default of `on_change`."""


class HealthGossip:
    """One member's map of health records."""

    def __init__(
        self,
        broadcast: Callable[[HealthRecord], None],
        on_change: Callable[[str, HealthKind], None] = _ignore_change,
    ) -> None:
        """Create an empty map.

        :param broadcast: disseminates a record to all members by gossip.
        :param on_change: called with the node and the kind of each record that has changed.
        """
        self._broadcast, self._on_change = broadcast, on_change
        self._records: dict[RecordKey, HealthRecord] = {}
        self._incarnations: dict[str, int] = {}  # latest known incarnation, by node
        self._digest = 0
        self._sync_position = 0
        self._expired_ms = 0.0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def __iter__(self) -> Iterator[HealthRecord]:
        """Iterate over a copy of the records."""
        return iter(list(self._records.values()))

    @property
    def digest(self) -> int:
        """Digest of all records, maintained incrementally; equal maps have equal digests."""
        return self._digest

    def ejection_record(self, node: str) -> HealthRecord | None:
        """Return the record of the latest operator command about a node, or `None` if there is none."""
        return self._records.get(RecordKey(node, HealthKind.EJECTED, ANY_OBSERVER))

    def departure_record(self, node: str) -> HealthRecord | None:
        """Return the departure record of a node with the highest list version, or `None` if there is none."""
        return self._records.get(RecordKey(node, HealthKind.DEPARTING, ANY_OBSERVER))

    def ejected_nodes(self, wall_ms: float) -> frozenset[str]:
        """Return the names of the nodes that are manually ejected."""
        return frozenset(
            record.node
            for key, record in self._records.items()
            if key.kind == HealthKind.EJECTED and record.value > 0 and record.expires_ms > wall_ms
        )

    def quorum_summary(
        self, node: str, kind: HealthKind, quorum: int, wall_ms: float
    ) -> HealthSummary | None:
        """Aggregate the records of one kind about a node.

        :param quorum: number of distinct observers required.
        :returns: the summary, which expires when fewer observers than the quorum remain, or `None` if there
            are fewer already.
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

    def publish(self, record: HealthRecord, wall_ms: float) -> bool:
        """Merge a record of this member; a withdrawal expires no earlier than the record that it withdraws.

        :returns: whether the record replaced the known one.
        """
        previous = self._records.get(key_of(record))
        if previous is not None and record.value == 0 and previous.expires_ms > record.expires_ms:
            record = msgspec.structs.replace(record, expires_ms=previous.expires_ms)
        return self.merge(record, wall_ms)

    def merge(self, record: HealthRecord, wall_ms: float) -> bool:
        """Merge a record of any member, and broadcast it if it is newer than the known one.

        :returns: whether the record replaced the known one.
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
            return False  # written by a later version
        is_outdated = record.incarnation < self._incarnations.get(record.node, 0)
        return record.kind == HealthKind.EJECTED or not is_outdated

    def _observe_incarnation(self, record: HealthRecord) -> None:
        """Record the incarnation of a node, and discard records about its older incarnations."""
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
        """Discard expired records."""
        if wall_ms - self._expired_ms < EXPIRY_INTERVAL_MS:
            return
        self._expired_ms = wall_ms
        self._discard([key for key, record in self._records.items() if record.expires_ms <= wall_ms])
        if len(self._incarnations) > INCARNATIONS_PER_RECORD * len(self._records) + MIN_INCARNATIONS_KEPT:
            nodes = {record.node for record in self._records.values()}
            self._incarnations = {
                node: incarnation for node, incarnation in self._incarnations.items() if node in nodes
            }

    def extend_expiry(self, kind: HealthKind, before_ms: float, expires_ms: float, wall_ms: float) -> None:
        """Extend the lifetimes of the records of one kind that expire before `before_ms`.

        The records keep their timestamps, so that a record published later still wins.

        :param expires_ms: new expiry time of these records.
        """
        for key, record in list(self._records.items()):
            if key.kind == kind and record.value > 0 and wall_ms < record.expires_ms < before_ms:
                self.merge(msgspec.structs.replace(record, expires_ms=int(expires_ms)), wall_ms)

    def sync_batch(self, max_bytes: int) -> list[bytes]:
        """Return encoded records for a member whose digest differs; each call continues after the last one.

        :param max_bytes: maximum size of the batch.
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
    """Return the hash of a record, shifted to fit the signed 64-bit integer of the wire format."""
    return xxhash.xxh3_64_intdigest(encode(record)) >> 1
