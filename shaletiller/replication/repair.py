"""How copies come to be where they belong: a new store is filled, and what one lacks another gives.

Filling: a new store asks each other member to note its life and for all that they share, page by page; when
all of a key's group have given theirs, it votes on that key.

Repair: now and then a member sends another a sum over what they share for each of 256 buckets of the keys'
hash; where two differ they exchange keys, and then the rows that one lacks (Merkle's digests, two levels
deep).  All of it, filling too, keeps within a budget of bytes a second.
"""

from __future__ import annotations

import bisect
from dataclasses import dataclass, field

import xxhash

from shaletiller.replication.acceptor import Acceptor, StoreRow
from shaletiller.replication.messages import (
    MOST_FRAME,
    Any_,
    Compare,
    Join,
    Keys,
    Page,
    Pull,
    Rows,
)
from shaletiller.replication.rows import Row

JOIN_MS = 150.0  # a page that does not come is asked for again
COMPARE_MS = 1_000.0
ROW_BYTES = 60  # of a row beside its key and value, about
KEY_BYTES = 30
MOST_BUCKETS = 4  # that two exchange keys of after one comparison
PAGE_BYTES = 48_000
MOST_PULL = 200


@dataclass(slots=True)
class _Filling:
    """What this new store has of one member."""

    after: str = ""
    incarnation: int = 0
    nonce: int = 0
    asked_ms: float = -1e18


@dataclass(slots=True)
class Repair:
    """One member's part in it.  `out` gathers what is to be sent; `budget` is bytes a second."""

    acceptor: Acceptor
    process: int
    budget: float = 4e6
    out: list[tuple[int, Any_]] = field(default_factory=list)
    given_rows: int = 0
    taken_rows: int = 0
    bytes_given: int = 0
    _nonce: int = 0
    _filling: dict[int, _Filling] = field(default_factory=dict)
    _shared: dict[int, tuple[int, list[str]]] = field(default_factory=dict)
    _tokens: float = 0.0
    _tokens_ms: float = 0.0
    _compare_ms: float = 0.0
    _turn: int = 0

    # ---- a new store is filled

    def tick(self, now_ms: float, alive: tuple[int, ...]) -> None:
        acceptor = self.acceptor
        self._fill_tokens(now_ms)
        if acceptor.superseded:
            return
        for member in range(acceptor.members):
            if member in acceptor.synced or member == acceptor.me:
                continue
            filling = self._filling.setdefault(member, _Filling())
            if now_ms - filling.asked_ms >= JOIN_MS:
                self._ask(member, filling, now_ms, again=filling.nonce > 0)
        others = [n for n in alive if n != acceptor.me and n in acceptor.synced]
        if others and now_ms - self._compare_ms >= COMPARE_MS:
            self._compare_ms = now_ms
            self._turn += 1
            to = others[self._turn % len(others)]
            self.out.append((to, Compare(tuple(acceptor.sums[to]))))

    def restart(self) -> None:
        """What is being filled begins again."""
        self._filling.clear()

    def _ask(self, member: int, filling: _Filling, now_ms: float, again: bool = False) -> None:
        if not again:  # else the same question: an answer to it may be on its way from a slow disk
            self._nonce += 1
            filling.nonce = (self.process << 20) + self._nonce
        filling.asked_ms = now_ms
        self.out.append((member, Join(filling.nonce, self.acceptor.incarnation, filling.after)))

    def join(self, sender: int, ask: Join, now_ms: float) -> Page:
        """A page for one who fills a new store; `Acceptor.news` must last before it is sent."""
        acceptor = self.acceptor
        taken = ask.incarnation >= acceptor.incarnations[sender]
        table = tuple(acceptor.incarnations)
        if not taken:
            return Page(ask.nonce, acceptor.incarnation, False, table, (), "")
        acceptor.know({sender: ask.incarnation})
        held = self._shared.get(sender)
        if held is None or held[0] != ask.incarnation or not ask.after:
            # What comes after its life is noted here need not be given: it is asked for by that life.
            keys = sorted(key for key in acceptor.rows if sender in acceptor.groups.of(key))
            held = self._shared[sender] = ask.incarnation, keys
        keys, rows, size = held[1], list[tuple[str, Row]](), 0
        at = bisect.bisect_right(keys, ask.after) if ask.after else 0
        # Where the budget is spent a page is small, but never empty.
        room = max(1.0, min(PAGE_BYTES, self._tokens))
        while at < len(keys) and size < room:
            row = acceptor.row(keys[at], now_ms)
            if row.until > 0:
                rows.append((keys[at], row))
                size += ROW_BYTES + len(keys[at]) + len(row.value)
            at += 1
        self._spend(len(rows), size)
        last = keys[at - 1] if at < len(keys) else ""
        if not last:
            self._shared.pop(sender, None)
        return Page(ask.nonce, acceptor.incarnation, True, tuple(acceptor.incarnations), tuple(rows), last)

    def page(self, sender: int, page: Page, now_ms: float) -> tuple[list[StoreRow], bool]:
        """Rows to keep, and whether the sender has given all, which counts once they last."""
        acceptor, filling = self.acceptor, self._filling.get(sender)
        if filling is None or page.nonce != filling.nonce:
            return [], False
        acceptor.know(dict(enumerate(page.table)) if len(page.table) == acceptor.members else {})
        acceptor.know({sender: page.incarnation})
        if not page.taken or acceptor.superseded:
            return [], False
        if filling.incarnation != page.incarnation:  # the other's store is a new one too: from the beginning
            begin = filling.after != ""
            filling.incarnation, filling.after = page.incarnation, ""
            if begin:
                self._ask(sender, filling, now_ms)
                return [], False
        found = [row for key, told in page.rows for row in acceptor.learn(key, told, now_ms, filling=True)]
        self.taken_rows += len(found)
        if not page.after:
            del self._filling[sender]
            return found, True
        filling.after = page.after
        self._ask(sender, filling, now_ms)
        return found, False

    # ---- what one lacks another gives

    def take(self, sender: int, message: Compare | Keys | Pull | Rows, now_ms: float) -> list[StoreRow]:
        """Rows to keep."""
        self._fill_tokens(now_ms)
        acceptor = self.acceptor
        if isinstance(message, Rows):
            found = [row for key, told in message.rows for row in acceptor.learn(key, told, now_ms)]
            self.taken_rows += len(found)
            return found
        if isinstance(message, Compare):
            self._compared(sender, message)
        elif isinstance(message, Keys):
            self._keys(sender, message, now_ms)
        else:
            self._give(sender, list(message.keys), now_ms)
        return []

    def _of_bucket(self, bucket: int, member: int) -> list[str]:
        acceptor = self.acceptor
        return [key for key in acceptor.buckets.get(bucket, ()) if member in acceptor.groups.of(key)]

    def _compared(self, sender: int, message: Compare) -> None:
        mine = self.acceptor.sums[sender]
        differ = [
            at for at, (ours, theirs) in enumerate(zip(mine, message.sums, strict=True)) if ours != theirs
        ]
        # Not always the same ones first: a budget that is spent on them would never come to the others.
        start = xxhash.xxh3_64_intdigest(f"{self._turn} {len(differ)}".encode()) % max(1, len(differ))
        self._turn += 1
        for bucket in (differ[start:] + differ[:start])[:MOST_BUCKETS]:
            if self._tokens <= 0:
                return
            told = []
            size = 0
            for key in sorted(self._of_bucket(bucket, sender)):
                row = self.acceptor.rows[key]
                told.append((key, row.ballot, row.step))
                size += KEY_BYTES + len(key)
                if size >= MOST_FRAME:
                    break
            self._spend(0, size)
            self.out.append((sender, Keys(bucket, tuple(told))))

    def _keys(self, sender: int, message: Keys, now_ms: float) -> None:
        """Give what is newer here, and ask for what is newer there."""
        theirs = {key: (at, step) for key, at, step in message.rows}
        mine = {key: self.acceptor.row(key, now_ms).rank for key in self._of_bucket(message.bucket, sender)}
        nothing = Row().rank
        self._give(sender, sorted(k for k, rank in mine.items() if rank > theirs.get(k, nothing)), now_ms)
        wanted = sorted(
            key
            for key, rank in theirs.items()
            if rank > mine.get(key, nothing) and self.acceptor.me in self.acceptor.groups.of(key)
        )
        if wanted:
            self.out.append((sender, Pull(tuple(wanted[:MOST_PULL]))))

    def _give(self, sender: int, keys: list[str], now_ms: float) -> None:
        rows, size = list[tuple[str, Row]](), 0
        for key in keys:
            row = self.acceptor.row(key, now_ms)
            if row.until <= 0 or sender not in self.acceptor.groups.of(key):
                continue
            more = ROW_BYTES + len(key) + len(row.value)
            if self._tokens - size <= 0:
                break
            if rows and size + more > MOST_FRAME:
                self._rows(sender, rows, size)
                rows, size = [], 0
            rows.append((key, row))
            size += more
        if rows:
            self._rows(sender, rows, size)

    def _rows(self, sender: int, rows: list[tuple[str, Row]], size: int) -> None:
        self.out.append((sender, Rows(tuple(rows))))
        self._spend(len(rows), size)

    def _spend(self, rows: int, size: int) -> None:
        self._tokens -= size
        self.given_rows += rows
        self.bytes_given += size

    def _fill_tokens(self, now_ms: float) -> None:
        """At most a second's worth is saved up."""
        more = self.budget * max(0.0, now_ms - self._tokens_ms) / 1000
        self._tokens = min(self.budget, self._tokens + more)
        self._tokens_ms = now_ms
