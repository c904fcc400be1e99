"""The acceptor: the replicas stored by one gateway, one register per key, and its right to vote on them.

Each register follows CASPaxos (Rystsov, "CASPaxos: Replicated State Machines without logs", 2018): a value
is committed when a majority of the key's group has accepted it under the same ballot and step. The first
round of a key is a fast round (Lamport, "Fast Paxos", 2006): any gateway may write to a free register without
a prepare phase, and the value is committed when every member of the group has accepted it.

A member that lost its store with its machine must not vote as if it still had that store. Each store
therefore has an incarnation, a number that only increases. Every request names the incarnations of the whole
group, and an acceptor that knows different ones replies STALE_INCARNATION (fencing). A member with a new
store votes on a key only after every other member of the key's group has recorded the new incarnation and
then transferred all the rows that the two members share (state_transfer.py). Promises made by a past
incarnation no longer count. A value that the past incarnation accepted is either held by other members, which
are queried, or was never committed.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import msgspec
import xxhash

from shaletiller.replication.groups import ReplicaGroups
from shaletiller.replication.messages import DIGEST_BUCKETS, Accept, Prepare, Reply, ReplyStatus
from shaletiller.replication.records import (
    FAST_BALLOT,
    META,
    NO_BALLOT,
    REGISTER,
    Row,
    decode_row,
    pack,
)
from shaletiller.store.record_format import RecordUpdate

# Keys of the META records. They are part of the store's file format and must not change.
INCARNATION_KEY, INCARNATIONS_KEY, SYNCED_KEY = b"life", b"lives", b"synced"
EMPTY_ROW = Row()
# Maximum rows that one tick removes. A larger value makes a tick with many expired rows block for longer; a
# smaller value takes more ticks to remove them.
MAX_EXPIRED_AT_ONCE = 500


def digest_bucket(key: str) -> int:
    """Return the anti-entropy bucket of a key; all members and versions must compute the same one."""
    return xxhash.xxh3_64_intdigest(key.encode()) % DIGEST_BUCKETS


def row_digest(key: str, row: Row) -> int:
    """Hash the version of a row; 0 if nothing has been accepted.

    Members compare these digests over the network, so the hashed text must not change.
    """
    if row.ballot == NO_BALLOT:
        return 0
    return xxhash.xxh3_64_intdigest(f"({tuple(row.ballot)}, {row.step}) {key}".encode())


class Acceptor:
    """The registers of one gateway.

    Each request handler returns a reply and the updates that must be persisted before the reply is sent.
    """

    def __init__(self, member: int, groups: ReplicaGroups) -> None:
        """Create an acceptor without a store; see `load` and `start_incarnation`.

        :param member: number of this member in the fleet.
        :param groups: the replica groups of the fleet.
        """
        self.member, self.groups = member, groups
        self.member_count = len(groups.zones)
        self.incarnation = 0
        self.incarnations = [0] * self.member_count
        self.synced: set[int] = set()  # Members that have transferred all shared rows to this incarnation.
        self.rows: dict[str, Row] = {}
        self.metadata_changed = False  # Whether the store lacks the newest incarnations.
        self.superseded = False  # Whether the fleet knows a later incarnation: this store is an old copy.
        self._expiry_heap: list[tuple[int, str]] = []
        self.bucket_keys: dict[int, set[str]] = {}
        self.digests: dict[int, list[int]] = {
            other: [0] * DIGEST_BUCKETS for other in range(self.member_count) if other != member
        }

    def load(self, records: Iterable[tuple[int, bytes, bytes]]) -> None:
        """Load the records of the store when the gateway starts.

        :param records: kind, key and value of each record.

        :raises msgspec.MsgspecError: for a record that cannot be decoded.
        """
        for kind, key, value in records:
            if kind == REGISTER:
                self._set_row(key.decode(), decode_row(value))
            elif kind == META:
                self._load_metadata(key, value)
        self.incarnations[self.member] = max(self.incarnation, self.incarnations[self.member])
        self.superseded = self.incarnations[self.member] > self.incarnation > 0

    def _load_metadata(self, key: bytes, value: bytes) -> None:
        if key == INCARNATION_KEY:
            self.incarnation = msgspec.msgpack.decode(value, type=int)
        elif key == INCARNATIONS_KEY:
            known = msgspec.msgpack.decode(value, type=list[int])
            self.incarnations[: len(known)] = known[: self.member_count]
        elif key == SYNCED_KEY:
            self.synced = set(msgspec.msgpack.decode(value, type=list[int]))

    def start_incarnation(self, incarnation: int) -> list[RecordUpdate]:
        """Start an incarnation on a new store.

        :returns: the metadata updates to persist.
        """
        self.incarnation, self.synced = incarnation, set()
        self.incarnations[self.member] = incarnation
        self.superseded = False
        return self.metadata_updates()

    def metadata_updates(self) -> list[RecordUpdate]:
        """Return the metadata updates to persist, and mark the metadata as unchanged."""
        self.metadata_changed = False
        return [
            RecordUpdate(META, INCARNATION_KEY, pack(self.incarnation)),
            RecordUpdate(META, INCARNATIONS_KEY, pack(self.incarnations)),
            RecordUpdate(META, SYNCED_KEY, pack(sorted(self.synced))),
        ]

    def observe_incarnations(self, incarnations: dict[int, int]) -> bool:
        """Record the incarnations known to another member.

        It is safe to record an incarnation before its member has requested a state transfer: the previous
        incarnation of that member is merely fenced earlier.

        :param incarnations: the incarnations by member.
        :returns: whether any of them was unknown here.
        """
        changed = False
        for member, incarnation in incarnations.items():
            if incarnation > self.incarnations[member]:
                self.incarnations[member] = incarnation
                changed = self.metadata_changed = True
        self.superseded = self.incarnations[self.member] > self.incarnation
        return changed

    def incarnations_of(self, key: str) -> tuple[int, ...]:
        """Return the incarnations of the members of a key's group, in group order."""
        return tuple(self.incarnations[member] for member in self.groups.members_of(key))

    def may_vote(self, key: str) -> bool:
        """Return whether this member may vote on a key: its replica of the key is known to be complete."""
        return not self.superseded and all(
            member == self.member or member in self.synced for member in self.groups.members_of(key)
        )

    def row(self, key: str, now_ms: float) -> Row:
        """Return the row of a key, or an empty row if it is unknown or has expired."""
        row = self.rows.get(key, EMPTY_ROW)
        return row if row.expires_ms > now_ms else EMPTY_ROW

    def _set_row(self, key: str, row: Row) -> None:
        previous = self.rows.get(key)
        self.rows[key] = row
        bucket = digest_bucket(key)
        if previous is None:
            self.bucket_keys.setdefault(bucket, set()).add(key)
        if previous is None or previous.expires_ms != row.expires_ms:
            heapq.heappush(self._expiry_heap, (row.expires_ms, key))
        old_digest = row_digest(key, previous) if previous is not None else 0
        self._update_digests(key, bucket, old_digest, row_digest(key, row))

    def _update_digests(self, key: str, bucket: int, old_digest: int, new_digest: int) -> None:
        if old_digest != new_digest:
            for member in self.groups.members_of(key):
                if member != self.member:
                    self.digests[member][bucket] ^= old_digest ^ new_digest

    def expire(self, now_ms: float) -> list[RecordUpdate]:
        """Remove at most `MAX_EXPIRED_AT_ONCE` expired rows.

        :returns: the deletions to persist.
        """
        deletions: list[RecordUpdate] = []
        heap = self._expiry_heap
        while heap and heap[0][0] <= now_ms and len(deletions) < MAX_EXPIRED_AT_ONCE:
            _, key = heapq.heappop(heap)
            row = self.rows.get(key)
            if row is None or row.expires_ms > now_ms:
                continue
            bucket = digest_bucket(key)
            self._update_digests(key, bucket, row_digest(key, row), 0)
            del self.rows[key]
            self.bucket_keys[bucket].discard(key)
            deletions.append(RecordUpdate(REGISTER, key.encode(), None))
        return deletions

    def merge(self, key: str, received: Row, now_ms: float, recovering: bool = False) -> list[RecordUpdate]:
        """Merge a row of another member, as if the requests it reflects had arrived here late.

        :param recovering: whether this store is new and does not vote yet. A value accepted by another member
            is then merged regardless of later promises: the lost store may have accepted it too, in which
            case it may be committed.
        :returns: the updates to persist.
        """
        row = self.row(key, now_ms)
        if self.member not in self.groups.members_of(key) or received.expires_ms <= now_ms:
            return []
        merged = row
        acceptable = recovering or received.ballot >= row.promised
        if received.ballot != NO_BALLOT and acceptable and received.version > row.version:
            promised = max(received.ballot, row.promised)
            expires_ms = max(received.expires_ms, row.expires_ms)
            merged = Row(promised, received.ballot, received.step, received.value, expires_ms)
        if received.promised > merged.promised:
            expires_ms = max(received.expires_ms, merged.expires_ms)
            merged = Row(received.promised, merged.ballot, merged.step, merged.value, expires_ms)
        return self._replace_row(key, row, merged)

    def _replace_row(self, key: str, row: Row, new: Row) -> list[RecordUpdate]:
        if new == row:
            return []
        self._set_row(key, new)
        return [RecordUpdate(REGISTER, key.encode(), pack(new))]

    def _reply(self, request: Prepare | Accept, status: ReplyStatus, row: Row) -> Reply:
        return Reply(request.nonce, status, self.incarnation, row, self.incarnations_of(request.key))

    def _fence(self, request: Prepare | Accept) -> Reply | None:
        """Return a refusal if this member may not vote, or if the request names other incarnations."""
        if self.member not in self.groups.members_of(request.key) or not self.may_vote(request.key):
            return self._reply(request, ReplyStatus.RECOVERING, EMPTY_ROW)
        if request.incarnations != self.incarnations_of(request.key):
            return self._reply(request, ReplyStatus.STALE_INCARNATION, EMPTY_ROW)
        return None

    def prepare(self, request: Prepare, now_ms: float) -> tuple[Reply, list[RecordUpdate]]:
        """Handle a prepare request (phase 1).

        :returns: the reply, and the updates to persist before it is sent.
        """
        refusal = self._fence(request)
        if refusal is not None:
            return refusal, []
        row = self.row(request.key, now_ms)
        if request.ballot < row.promised or request.expires_ms <= now_ms:
            return self._reply(request, ReplyStatus.REJECTED, row), []
        expires_ms = max(row.expires_ms, request.expires_ms)
        new = Row(request.ballot, row.ballot, row.step, row.value, expires_ms)
        return self._reply(request, ReplyStatus.OK, new), self._replace_row(request.key, row, new)

    def accept(self, request: Accept, now_ms: float) -> tuple[Reply, list[RecordUpdate]]:
        """Handle an accept request (phase 2).

        :returns: the reply, and the updates to persist before it is sent.
        """
        refusal = self._fence(request)
        if refusal is not None:
            return refusal, []
        row = self.row(request.key, now_ms)
        expired = request.expires_ms <= now_ms
        if expired or request.ballot < row.promised or not self._may_replace(request, row):
            return self._reply(request, ReplyStatus.REJECTED, row), []
        new = Row(request.ballot, request.ballot, request.step, request.value, request.expires_ms)
        if row.version == new.version:  # A duplicate of a request that was accepted before.
            return self._reply(request, ReplyStatus.OK, row), []
        return self._reply(request, ReplyStatus.OK, new), self._replace_row(request.key, row, new)

    @staticmethod
    def _may_replace(request: Accept, row: Row) -> bool:
        """Return whether the value may replace that of a row whose promise allows the request's ballot."""
        version = request.ballot, request.step
        if version == row.version:
            return request.value == row.value
        if request.ballot == FAST_BALLOT and request.step == 0:
            return row.ballot == NO_BALLOT  # A fast round accepts only the first value to arrive.
        return version > row.version
