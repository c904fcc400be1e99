"""Anti-entropy: finds and repairs replicas that have diverged.

Keys are hashed into 256 buckets. Once per second a member sends another member one digest per bucket,
computed over the rows that both hold. If the digests of a bucket differ, the two members exchange the
versions of its rows, and then the rows that either lacks. This is a Merkle tree with two levels (Merkle, "A
digital signature based on a conventional encryption function", 1987; DeCandia et al., "Dynamo", 2007).
"""

from __future__ import annotations

import xxhash

from shaletiller.replication.acceptor import EMPTY_ROW, Acceptor
from shaletiller.replication.effects import SendMessage
from shaletiller.replication.messages import (
    MAX_MESSAGE_BYTES,
    AntiEntropyMessage,
    BucketDigests,
    BucketVersions,
    RowRequest,
    RowTransfer,
)
from shaletiller.replication.records import Ballot, Row
from shaletiller.replication.transfer_budget import TransferBudget, row_bytes
from shaletiller.store.record_format import RecordUpdate

# Time between two comparisons. A larger value leaves replicas diverged for longer; a smaller value causes
# more traffic between replicas that agree.
COMPARE_INTERVAL_MS = 1_000.0
VERSION_OVERHEAD_BYTES = 30  # Approximate encoded size of one entry of BucketVersions, without its key.
# Maximum buckets whose versions one comparison sends. A larger value allows larger bursts of traffic; a
# smaller value takes more comparisons to repair many buckets.
MAX_BUCKETS_PER_COMPARISON = 4
# Maximum keys in one RowRequest. A larger value lets one request cause a larger response; a smaller value
# takes more comparisons to repair a bucket.
MAX_KEYS_PER_REQUEST = 200


class AntiEntropy:
    """The anti-entropy state of one member; the caller empties `outbox` after each call."""

    def __init__(self, acceptor: Acceptor, budget: TransferBudget) -> None:
        """Compare and repair the rows of an acceptor; `budget` is shared with state transfer."""
        self.acceptor = acceptor
        self.budget = budget
        self.outbox: list[SendMessage] = []
        self.rows_received = 0
        self._compared_ms = 0.0
        self._rotation = 0

    def tick(self, now_ms: float, alive: tuple[int, ...]) -> None:
        """Send digests to the next member once per `COMPARE_INTERVAL_MS`.

        :param alive: the members that are reachable.
        """
        acceptor = self.acceptor
        others = [other for other in alive if other != acceptor.member and other in acceptor.synced]
        if others and now_ms - self._compared_ms >= COMPARE_INTERVAL_MS:
            self._compared_ms = now_ms
            self._rotation += 1
            peer = others[self._rotation % len(others)]
            self.outbox.append(SendMessage(peer, BucketDigests(tuple(acceptor.digests[peer]))))

    def receive(self, sender: int, message: AntiEntropyMessage, now_ms: float) -> list[RecordUpdate]:
        """Handle a message.

        :returns: the updates to persist.
        """
        self.budget.refill(now_ms)
        match message:
            case RowTransfer():
                return self._merge_rows(message, now_ms)
            case BucketDigests():
                self._compare_digests(sender, message)
            case BucketVersions():
                self._compare_versions(sender, message, now_ms)
            case RowRequest():
                self._send_rows(sender, list(message.keys), now_ms)
        return []

    def _merge_rows(self, message: RowTransfer, now_ms: float) -> list[RecordUpdate]:
        acceptor = self.acceptor
        updates = [update for key, row in message.rows for update in acceptor.merge(key, row, now_ms)]
        self.rows_received += len(updates)
        return updates

    def _shared_keys(self, bucket: int, member: int) -> list[str]:
        acceptor = self.acceptor
        keys = acceptor.bucket_keys.get(bucket, ())
        return [key for key in keys if member in acceptor.groups.members_of(key)]

    def _compare_digests(self, sender: int, message: BucketDigests) -> None:
        """Send the row versions of some of the buckets whose digests differ."""
        pairs = zip(self.acceptor.digests[sender], message.digests, strict=True)
        differing = [bucket for bucket, (ours, theirs) in enumerate(pairs) if ours != theirs]
        # Start at a different bucket each time. Otherwise a budget that only suffices for the first buckets
        # would never reach the others.
        seed = f"{self._rotation} {len(differing)}".encode()
        start = xxhash.xxh3_64_intdigest(seed) % max(1, len(differing))
        self._rotation += 1
        for bucket in (differing[start:] + differing[:start])[:MAX_BUCKETS_PER_COMPARISON]:
            if self.budget.available <= 0:
                return
            self._send_versions(sender, bucket)

    def _send_versions(self, recipient: int, bucket: int) -> None:
        versions: list[tuple[str, Ballot, int]] = []
        size = 0
        for key in sorted(self._shared_keys(bucket, recipient)):
            row = self.acceptor.rows[key]
            versions.append((key, row.ballot, row.step))
            size += VERSION_OVERHEAD_BYTES + len(key)
            if size >= MAX_MESSAGE_BYTES:
                break
        self.budget.spend(0, size)
        self.outbox.append(SendMessage(recipient, BucketVersions(bucket, tuple(versions))))

    def _compare_versions(self, sender: int, message: BucketVersions, now_ms: float) -> None:
        """Send the rows that are newer here, and request those that are newer at the sender."""
        acceptor, no_version = self.acceptor, EMPTY_ROW.version
        theirs = {key: (ballot, step) for key, ballot, step in message.versions}
        ours = {key: acceptor.row(key, now_ms).version for key in self._shared_keys(message.bucket, sender)}
        newer_here = sorted(key for key, version in ours.items() if version > theirs.get(key, no_version))
        self._send_rows(sender, newer_here, now_ms)
        newer_there = sorted(
            key
            for key, version in theirs.items()
            if version > ours.get(key, no_version) and acceptor.member in acceptor.groups.members_of(key)
        )
        if newer_there:
            request = RowRequest(tuple(newer_there[:MAX_KEYS_PER_REQUEST]))
            self.outbox.append(SendMessage(sender, request))

    def _send_rows(self, recipient: int, keys: list[str], now_ms: float) -> None:
        """Send rows, in messages of bounded size, until the budget is exhausted."""
        rows: list[tuple[str, Row]] = []
        size = 0
        for key in keys:
            row = self.acceptor.row(key, now_ms)
            if row.expires_ms <= 0 or recipient not in self.acceptor.groups.members_of(key):
                continue
            encoded_bytes = row_bytes(key, row)
            if self.budget.available - size <= 0:
                break
            if rows and size + encoded_bytes > MAX_MESSAGE_BYTES:
                self._send_batch(recipient, rows, size)
                rows, size = [], 0
            rows.append((key, row))
            size += encoded_bytes
        if rows:
            self._send_batch(recipient, rows, size)

    def _send_batch(self, recipient: int, rows: list[tuple[str, Row]], size: int) -> None:
        self.outbox.append(SendMessage(recipient, RowTransfer(tuple(rows))))
        self.budget.spend(len(rows), size)
