"""One gateway's questions to the groups: compare and set, each on one key, in one round where all goes well.

An `Op` says what it expects to find and what it writes then.  It is kept when a majority of the group has it
(in the fast round: all of it); else it says what it found, which is then sure to be made as well.

Rounds: fast (only on a key that is expected to be free), else prepare and accept under a ballot above all
that were seen.  One who has kept a value may write the next under the same ballot, a step on, in one round,
as long as no other has asked under a higher one: that is how an intent becomes an outcome, and how one who
was cut off is fenced.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import xxhash

from shaletiller.replication.acceptor import EMPTY, Acceptor
from shaletiller.replication.messages import NO, OK, STALE, UNREADY, Accept, Prepare, Reply
from shaletiller.replication.rows import FAST, NONE, Ballot, Row, Word, read_says

FAST_MS = 40.0  # how long the fast round waits for the last of the group
AGAIN_MS = 80.0  # a question without an answer is asked again
LEAST_REST_MS, MOST_REST_MS = 4.0, 60.0  # between two rounds under higher ballots: full jitter
GRACE_MS = 10.0  # after a no, the rest of the group may still make a majority
LOOK_MS = 30.0  # before a group that does not vote yet is asked again


class Expect(Enum):
    """What must stand in the register for the value to be written."""

    FREE = "free"
    THIS = "this"  # the bytes of `expected`
    OLDER = "older"  # nothing, or a Word with a lower stamp
    ANYTHING = "anything"
    NEVER = "never"  # read only


@dataclass(slots=True, frozen=True)
class Held:
    """Under what a kept value stands: the next may follow a step on."""

    ballot: Ballot
    step: int
    incarnations: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class Done:
    """How an op ended.  `kept`: its value is made.  Else `value` is what is made instead, b"" where the key
    is free; or, with `unknown`, nothing could be made certain in time, and its own value may yet be made."""

    op: int
    kept: bool
    value: bytes = b""
    held: Held | None = None
    unknown: bool = False


@dataclass(slots=True)
class Op:
    """A question under way."""

    number: int
    key: str
    expect: Expect
    value: bytes
    until: int
    deadline_ms: float
    expected: bytes = b""
    phase: str = ""
    nonce: int = 0
    ballot: Ballot = NONE
    step: int = 0
    incarnations: tuple[int, ...] = ()
    writing: bytes = b""
    writing_until: int = 0
    keeps: bool = False  # whether what is being written is its own value
    replies: dict[int, Reply] = field(default_factory=dict)
    seen: int = 0  # the highest round seen
    tries: int = 0
    began_ms: float = 0.0
    asked_ms: float = 0.0
    rest_until_ms: float = 0.0


class Proposer:
    """Ops under way.  `out` gathers what is to be sent, `done` how ops ended; the caller empties both."""

    def __init__(self, acceptor: Acceptor, process: int) -> None:
        """`process` tells this process from those of the same gateway before it: its start, in milliseconds
        of the Unix epoch."""
        self.me, self.groups, self._acceptor = acceptor.me, acceptor.groups, acceptor
        self.ops: dict[int, Op] = {}
        self._nonces: dict[int, int] = {}
        self._nonce = process << 20  # an answer to the process before this one answers nothing here
        self.out: list[tuple[int, Prepare | Accept]] = []
        self.done: list[Done] = []
        self.rounds = 0

    def start(self, op: Op, now_ms: float, held: Held | None = None, fast: bool = True) -> None:
        """`held`: what stands there was written under it, and the value follows a step on."""
        self.ops[op.number] = op
        op.began_ms = now_ms
        if held is not None:
            op.ballot, op.step, op.incarnations = held.ballot, held.step + 1, held.incarnations
            op.writing, op.writing_until, op.keeps = op.value, op.until, True
            self._ask(op, "accept", now_ms)
        elif fast and op.expect is Expect.FREE:
            op.ballot, op.step, op.incarnations = FAST, 0, self._acceptor.lives_of(op.key)
            op.writing, op.writing_until, op.keeps = op.value, op.until, True
            self._ask(op, "fast", now_ms)
        else:
            self._prepare(op, now_ms)

    def _ask(self, op: Op, phase: str, now_ms: float) -> None:
        self._nonces.pop(op.nonce, None)
        self._nonce += 1
        self.rounds += 1
        op.phase, op.nonce, op.replies, op.asked_ms = phase, self._nonce, {}, now_ms
        self._nonces[op.nonce] = op.number
        self._send(op, self.groups.of(op.key))

    def _send(self, op: Op, to: tuple[int, ...] | list[int]) -> None:
        ask: Prepare | Accept
        if op.phase == "prepare":
            ask = Prepare(op.nonce, op.key, op.ballot, op.until, op.incarnations)
        else:
            ask = Accept(op.nonce, op.key, op.ballot, op.step, op.writing, op.writing_until, op.incarnations)
        self.out += [(member, ask) for member in to]

    def _prepare(self, op: Op, now_ms: float) -> None:
        op.seen = max(op.seen, op.ballot[0], FAST[0]) + 1
        # Two ops of one process on one key may come to the same round: the nonce tells their ballots apart.
        op.ballot, op.step = (op.seen, self.me, self._nonce + 1), 0
        op.incarnations = self._acceptor.lives_of(op.key)
        self._ask(op, "prepare", now_ms)

    def _rest(self, op: Op, now_ms: float, wait_ms: float | None = None) -> None:
        """Another is at it too, or the group cannot answer yet: come back after a while."""
        op.tries += 1
        self._nonces.pop(op.nonce, None)
        if wait_ms is None:
            # Drawn from the op itself: a run is the same for the same course of events.
            draw = xxhash.xxh3_64_intdigest(f"{self.me} {op.number} {op.tries}".encode()) / 2.0**64
            wait_ms = LEAST_REST_MS + draw * min(MOST_REST_MS, LEAST_REST_MS * 2 ** min(op.tries, 8))
        op.phase, op.rest_until_ms = "rest", now_ms + wait_ms

    def _end(self, op: Op, done: Done) -> None:
        del self.ops[op.number]
        self._nonces.pop(op.nonce, None)
        self.done.append(done)

    def tick(self, now_ms: float) -> None:
        """To be called every few milliseconds while there are ops."""
        for op in list(self.ops.values()):
            if now_ms >= op.deadline_ms:
                self._end(op, Done(op.number, False, unknown=True))
            elif op.phase == "rest":
                if now_ms >= op.rest_until_ms:
                    self._prepare(op, now_ms)
            elif op.phase == "fast" and now_ms - op.began_ms >= FAST_MS:
                self._prepare(op, now_ms)
            elif now_ms - op.asked_ms >= GRACE_MS and any(each.how != OK for each in op.replies.values()):
                refused = any(each.how == NO for each in op.replies.values())
                self._rest(op, now_ms, None if refused else LOOK_MS)
            elif now_ms - op.asked_ms >= AGAIN_MS:
                op.asked_ms = now_ms
                self._send(op, [n for n in self.groups.of(op.key) if n not in op.replies])

    # ---- answers

    def take(self, sender: int, reply: Reply, now_ms: float) -> None:
        """An answer; one to a question that is over, or of another life of its sender, counts for nothing."""
        op = self.ops.get(self._nonces.get(reply.nonce, -1))
        if op is None or sender not in (group := self.groups.of(op.key)):
            return
        if reply.how in (STALE, UNREADY):
            if len(reply.incarnations) == len(group):
                self._acceptor.know(dict(zip(group, reply.incarnations, strict=True)))
            if self._acceptor.lives_of(op.key) != op.incarnations:
                self._prepare(op, now_ms)
                return
            # Where it is this gateway that knows more, the other hears of it from the one concerned.
            op.replies[sender] = reply
        elif reply.incarnation == op.incarnations[group.index(sender)]:
            op.replies[sender] = reply
        self._count(op, now_ms)

    def _count(self, op: Op, now_ms: float) -> None:
        replies = op.replies.values()
        agreed = sum(reply.how == OK for reply in replies)
        noes = [reply for reply in replies if reply.how == NO]
        for reply in noes:
            op.seen = max(op.seen, reply.row.promised[0], reply.row.ballot[0])
        made = self._made(op)
        if made is not None:
            self._end(op, Done(op.number, False, made))
            return
        wanted = self.groups.copies if op.phase == "fast" else self.groups.majority
        if agreed >= wanted:
            if op.phase == "prepare":
                self._prepared(op, now_ms)
            else:
                held = Held(op.ballot, op.step, op.incarnations) if op.keeps else None
                self._end(op, Done(op.number, op.keeps, op.writing, held))
        elif len(replies) - agreed > self.groups.copies - wanted:  # it cannot come to that any more
            mute = sum(reply.how in (UNREADY, STALE) for reply in replies)
            if mute > self.groups.copies - self.groups.majority:
                self._rest(op, now_ms, LOOK_MS)
            elif op.phase == "fast" or (op.phase == "accept" and op.tries == 0):
                op.tries += 1
                self._prepare(op, now_ms)
            else:
                self._rest(op, now_ms)

    def _made(self, op: Op) -> bytes | None:
        """What the answers alone show to be made, where that is all the op has to know: a majority has taken
        it under one ballot and step (of the fast round's first: all of the group).  So a repeat of a settled
        key takes one round and no sync."""
        if op.expect not in (Expect.FREE, Expect.NEVER) or op.phase not in ("fast", "prepare"):
            return None
        rows = [reply.row for reply in op.replies.values() if reply.how in (OK, NO)]
        for row in rows:
            wanted = self.groups.copies if row.rank == (FAST, 0) else self.groups.majority
            if row.value not in (b"", op.value) and wanted <= sum(
                other.rank == row.rank and other.value == row.value for other in rows
            ):
                return row.value
        return None

    def _prepared(self, op: Op, now_ms: float) -> None:
        """A majority takes nothing older: what may have been made is the newest among them."""
        rows = [reply.row for reply in op.replies.values() if reply.how == OK]
        current = standing(rows)
        value = current.value if current.until > now_ms else b""
        op.keeps = value == op.value != b"" or self._expects(op, value)
        if op.keeps:
            op.writing, op.writing_until = op.value, op.until
        elif value == b"":
            self._end(op, Done(op.number, False))
            return
        else:
            op.writing, op.writing_until = value, current.until
        self._ask(op, "accept", now_ms)

    @staticmethod
    def _expects(op: Op, value: bytes) -> bool:
        if op.expect is Expect.OLDER:
            new, old = read_says(op.value), read_says(value)
            return not isinstance(old, Word) or (isinstance(new, Word) and new.stamp > old.stamp)
        return (
            op.expect is Expect.ANYTHING
            or (op.expect is Expect.FREE and value == b"")
            or (op.expect is Expect.THIS and value == op.expected)
        )


def standing(rows: list[Row]) -> Row:
    """Of the rows of a majority, the value that may have been made; none where nothing can have been.

    Under a later ballot that is the newest.  In the fast round a first value is made by all of the group, so
    that one which any of these has not, or has otherwise, was not made."""
    best = max(rows, key=lambda row: row.rank, default=EMPTY)
    if best.rank == (FAST, 0) and any(row.value != best.value or row.rank != best.rank for row in rows):
        return EMPTY
    return best
