"""One gateway's copies: a register for each key, and who may vote on it.

Each register is one of CASPaxos (Rystsov, "CASPaxos: Replicated State Machines without logs", 2018): a value
is made when a majority of the key's group has taken it under one ballot and step.  The first round of a key
is fast (Lamport, "Fast Paxos", 2006): any gateway may write to a free register without asking first, and its
value is made when all of the group have taken it.

A store that is lost with its machine must not vote as if it were the one before.  Each store has a life, a
number that grows; every question names the lives of the whole group, and a gateway that knows others answers
STALE.  A new store votes on a key only once every other member of the key's group has noted its life and
then given it all that they share (repair.py).  So a promise that was given by a life that is over counts no
more, and what it had acknowledged is either with the others, who are asked, or was never made.
"""

from __future__ import annotations

import heapq

import msgspec
import xxhash

from shaletiller.replication.groups import Groups
from shaletiller.replication.messages import BUCKETS, NO, OK, STALE, UNREADY, Accept, Prepare, Reply
from shaletiller.replication.rows import FAST, META, NONE, REGISTER, Row, pack, read_row

LIFE, LIVES, SYNCED = b"life", b"lives", b"synced"
EMPTY = Row()
StoreRow = tuple[int, bytes, bytes | None]


def bucket_of(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode()) % BUCKETS


def _sum(key: str, row: Row) -> int:
    return xxhash.xxh3_64_intdigest(f"{row.rank} {key}".encode()) if row.ballot != NONE else 0


class Acceptor:
    """Free of time and I/O: each call gives the reply, and the rows that must last before it is sent."""

    def __init__(self, me: int, groups: Groups) -> None:
        self.me, self.groups = me, groups
        self.members = len(groups.zones)
        self.incarnation = 0
        self.incarnations = [0] * self.members
        self.synced: set[int] = set()  # the members that have given this life all that they share with it
        self.rows: dict[str, Row] = {}
        self.news = False  # lives have changed that the store does not hold yet
        self.superseded = False  # the fleet knows a later life of this member: this store is an old copy
        self._ends: list[tuple[int, str]] = []
        self.buckets: dict[int, set[str]] = {}
        self.sums: dict[int, list[int]] = {n: [0] * BUCKETS for n in range(self.members) if n != me}

    # ---- the store

    def load(self, kept: list[tuple[int, bytes, bytes]]) -> None:
        """What the store held at the start.  msgspec's errors where a row cannot be read."""
        for kind, key, value in kept:
            if kind == REGISTER:
                self._set(key.decode(), read_row(value))
            elif kind == META and key == LIFE:
                self.incarnation = msgspec.msgpack.decode(value, type=int)
            elif kind == META and key == LIVES:
                known = msgspec.msgpack.decode(value, type=list[int])
                self.incarnations[: len(known)] = known[: self.members]
            elif kind == META and key == SYNCED:
                self.synced = set(msgspec.msgpack.decode(value, type=list[int]))
        self.incarnations[self.me] = max(self.incarnation, self.incarnations[self.me])
        self.superseded = self.incarnations[self.me] > self.incarnation > 0

    def born(self, incarnation: int) -> list[StoreRow]:
        """The store is new: its life begins."""
        self.incarnation, self.synced = incarnation, set()
        self.incarnations[self.me] = incarnation
        self.superseded = False
        return self.meta()

    def meta(self) -> list[StoreRow]:
        self.news = False
        return [
            (META, LIFE, pack(self.incarnation)),
            (META, LIVES, pack(self.incarnations)),
            (META, SYNCED, pack(sorted(self.synced))),
        ]

    def know(self, incarnations: dict[int, int]) -> bool:
        """Lives that others told of; True where one is news.

        To believe a life before its own member has asked to join only fences its predecessor the sooner."""
        news = False
        for member, incarnation in incarnations.items():
            if incarnation > self.incarnations[member]:
                self.incarnations[member] = incarnation
                news = self.news = True
        self.superseded = self.incarnations[self.me] > self.incarnation
        return news

    def lives_of(self, key: str) -> tuple[int, ...]:
        return tuple(self.incarnations[member] for member in self.groups.of(key))

    def ready(self, key: str) -> bool:
        """Whether this gateway votes on a key."""
        return not self.superseded and all(
            member == self.me or member in self.synced for member in self.groups.of(key)
        )

    # ---- rows

    def row(self, key: str, now_ms: float) -> Row:
        """What holds of a key now: an expired row counts for nothing."""
        found = self.rows.get(key, EMPTY)
        return found if found.until > now_ms else EMPTY

    def _set(self, key: str, row: Row) -> None:
        before = self.rows.get(key)
        self.rows[key] = row
        bucket = bucket_of(key)
        if before is None:
            self.buckets.setdefault(bucket, set()).add(key)
        if before is None or before.until != row.until:
            heapq.heappush(self._ends, (row.until, key))
        self._count(key, bucket, _sum(key, before) if before is not None else 0, _sum(key, row))

    def _count(self, key: str, bucket: int, before: int, after: int) -> None:
        if before != after:
            for member in self.groups.of(key):
                if member != self.me:
                    self.sums[member][bucket] ^= before ^ after

    def expire(self, now_ms: float, most: int = 500) -> list[StoreRow]:
        """Drop what has ended; what the store is to drop."""
        gone: list[StoreRow] = []
        while self._ends and self._ends[0][0] <= now_ms and len(gone) < most:
            _, key = heapq.heappop(self._ends)
            row = self.rows.get(key)
            if row is None or row.until > now_ms:
                continue
            bucket = bucket_of(key)
            self._count(key, bucket, _sum(key, row), 0)
            del self.rows[key]
            self.buckets[bucket].discard(key)
            gone.append((REGISTER, key.encode(), None))
        return gone

    def learn(self, key: str, told: Row, now_ms: float, filling: bool = False) -> list[StoreRow]:
        """A row of another gateway: as if what it took had come here, late, and so had what it promised.

        `filling`: this store is a new one and does not vote yet.  Then what others took counts whatever they
        have promised since: the store before this one may have taken it with them, and made it so."""
        row = self.row(key, now_ms)
        if self.me not in self.groups.of(key) or told.until <= now_ms:
            return []
        new = row
        takes = filling or told.ballot >= row.promised
        if told.ballot != NONE and takes and told.rank > row.rank:
            promised, until = max(told.ballot, row.promised), max(told.until, row.until)
            new = Row(promised, told.ballot, told.step, told.value, until)
        if told.promised > new.promised:
            new = Row(told.promised, new.ballot, new.step, new.value, max(told.until, new.until))
        return self._change(key, row, new)

    def _change(self, key: str, row: Row, new: Row) -> list[StoreRow]:
        if new == row:
            return []
        self._set(key, new)
        return [(REGISTER, key.encode(), pack(new))]

    # ---- questions

    def _answer(self, ask: Prepare | Accept, how: int, row: Row) -> Reply:
        return Reply(ask.nonce, how, self.incarnation, row, self.lives_of(ask.key))

    def _turned_down(self, ask: Prepare | Accept) -> Reply | None:
        if self.me not in self.groups.of(ask.key) or not self.ready(ask.key):
            return self._answer(ask, UNREADY, EMPTY)
        if ask.incarnations != self.lives_of(ask.key):
            return self._answer(ask, STALE, EMPTY)
        return None

    def prepare(self, ask: Prepare, now_ms: float) -> tuple[Reply, list[StoreRow]]:
        no = self._turned_down(ask)
        if no is not None:
            return no, []
        row = self.row(ask.key, now_ms)
        if ask.ballot < row.promised or ask.until <= now_ms:
            return self._answer(ask, NO, row), []
        new = Row(ask.ballot, row.ballot, row.step, row.value, max(row.until, ask.until))
        return self._answer(ask, OK, new), self._change(ask.key, row, new)

    def accept(self, ask: Accept, now_ms: float) -> tuple[Reply, list[StoreRow]]:
        no = self._turned_down(ask)
        if no is not None:
            return no, []
        row = self.row(ask.key, now_ms)
        new = Row(ask.ballot, ask.ballot, ask.step, ask.value, ask.until)
        if ask.until <= now_ms or ask.ballot < row.promised or not self._fits(ask, row):
            return self._answer(ask, NO, row), []
        if row.rank == new.rank:  # it came before
            return self._answer(ask, OK, row), []
        return self._answer(ask, OK, new), self._change(ask.key, row, new)

    @staticmethod
    def _fits(ask: Accept, row: Row) -> bool:
        """Whether a value may stand in a row whose promise allows it."""
        rank = ask.ballot, ask.step
        if rank == row.rank:
            return ask.value == row.value
        if ask.ballot == FAST and ask.step == 0:
            return row.ballot == NONE  # the first that came stands
        return rank > row.rank
