"""Anti-entropy: replicas that have diverged are found and repaired.

Once a second a member sends another a digest of their shared rows for each of 256 buckets of the keys' hash;
where two differ they exchange versions, and then the rows that one lacks: a Merkle tree of two levels
(Merkle, "A digital signature based on a conventional encryption function", 1987; DeCandia et al., "Dynamo",
2007).
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

COMPARE_INTERVAL_MS = 1_000.0  # empirical: how long replicas stay diverged against traffic while they agree
VERSION_OVERHEAD_BYTES = 30  # of a key's version in a message beside the key, approximately
MAX_BUCKETS_PER_COMPARISON = 4  # empirical: bounds the burst that one comparison causes
MAX_KEYS_PER_REQUEST = 200  # empirical: bounds what one request makes another member send


class AntiEntropy:
    """One member's part in it.  The caller empties `outbox` after each call."""

    def __init__(self, acceptor: Acceptor, budget: TransferBudget) -> None:
        """Start with the rows of this acceptor; `budget` is shared with state transfer."""
        self.acceptor = acceptor
        self.budget = budget
        self.outbox: list[SendMessage] = []
        self.rows_received = 0
        self._compared_ms = 0.0
        self._turn = 0

    def tick(self, now_ms: float, alive: tuple[int, ...]) -> None:
        """Send digests to the next member, when it is time to.

        :param alive: the members that can be reached.
        """
        acceptor = self.acceptor
        others = [each for each in alive if each != acceptor.member and each in acceptor.synced]
        if others and now_ms - self._compared_ms >= COMPARE_INTERVAL_MS:
            self._compared_ms = now_ms
            self._turn += 1
            peer = others[self._turn % len(others)]
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
        """Send the versions in some of the buckets whose digests differ."""
        pairs = zip(self.acceptor.digests[sender], message.digests, strict=True)
        differing = [bucket for bucket, (ours, theirs) in enumerate(pairs) if ours != theirs]
        # From another bucket each time: a budget that is spent on the first ones would never reach the
        # others.
        seed = f"{self._turn} {len(differing)}".encode()
        start = xxhash.xxh3_64_intdigest(seed) % max(1, len(differing))
        self._turn += 1
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
        """Send the rows that are newer here, and request those that are newer there."""
        acceptor, nothing = self.acceptor, EMPTY_ROW.version
        theirs = {key: (ballot, step) for key, ballot, step in message.versions}
        ours = {key: acceptor.row(key, now_ms).version for key in self._shared_keys(message.bucket, sender)}
        newer_here = sorted(key for key, version in ours.items() if version > theirs.get(key, nothing))
        self._send_rows(sender, newer_here, now_ms)
        newer_there = sorted(
            key
            for key, version in theirs.items()
            if version > ours.get(key, nothing) and acceptor.member in acceptor.groups.members_of(key)
        )
        if newer_there:
            request = RowRequest(tuple(newer_there[:MAX_KEYS_PER_REQUEST]))
            self.outbox.append(SendMessage(sender, request))

    def _send_rows(self, recipient: int, keys: list[str], now_ms: float) -> None:
        """Send rows, in messages of bounded size, as far as the budget reaches."""
        rows: list[tuple[str, Row]] = []
        size = 0
        for key in keys:
            row = self.acceptor.row(key, now_ms)
            if row.expires_ms <= 0 or recipient not in self.acceptor.groups.members_of(key):
                continue
            added = row_bytes(key, row)
            if self.budget.available - size <= 0:
                break
            if rows and size + added > MAX_MESSAGE_BYTES:
                self._send_batch(recipient, rows, size)
                rows, size = [], 0
            rows.append((key, row))
            size += added
        if rows:
            self._send_batch(recipient, rows, size)

    def _send_batch(self, recipient: int, rows: list[tuple[str, Row]], size: int) -> None:
        self.outbox.append(SendMessage(recipient, RowTransfer(tuple(rows))))
        self.budget.spend(len(rows), size)
