"""Messages between the gateways that keep copies of each other's promises.

    frame = "P" and then the MessagePack of [version, fleet, sender, message]

The "P" tells them from the fleet's own envelopes on the same links.  All of them may be lost, doubled, late
and out of order: what a gateway does with one depends on nothing that came before it but its own rows.  What
cannot be read is counted and dropped.
"""

from __future__ import annotations

from collections import Counter
from typing import Annotated, Any

import msgspec

from shaletiller.fleet.codec import Member, Whole
from shaletiller.replication.rows import Ballot, Key, Row, Step, Value

VERSION = 1
MARK = b"P"
MOST_FRAME = 60_000  # of rows in one message, less than a link's frame
BUCKETS = 256

Lives = tuple[Whole, ...]  # of the key's group, in its order, as the sender knows them


class Message(msgspec.Struct, array_like=True, frozen=True, gc=False, tag_field="k"):
    """One message; `nonce` names the question in its answer."""

    def __deepcopy__(self, memo: Any) -> Message:
        return self  # frozen


class Prepare(Message, tag=1, frozen=True):
    """Take nothing below this ballot any more, and say what you took last."""

    nonce: Whole
    key: Key
    ballot: Ballot
    until: Whole
    incarnations: Lives


class Accept(Message, tag=2, frozen=True):
    """Take this value under this ballot and step."""

    nonce: Whole
    key: Key
    ballot: Ballot
    step: Step
    value: Value
    until: Whole
    incarnations: Lives


OK, NO, STALE, UNREADY = range(4)


class Reply(Message, tag=3, frozen=True):
    """OK: done, and it lasts.  NO: a higher ballot stands.  STALE: the lives are others.  UNREADY: this
    gateway has lost its copies and does not vote on this key yet."""

    nonce: Whole
    how: Annotated[int, msgspec.Meta(ge=0, le=3)]
    incarnation: Whole
    row: Row
    incarnations: Lives


class Join(Message, tag=4, frozen=True):
    """My store is new and has this life: take note of it, and give me the rows that we share, after a key."""

    nonce: Whole
    incarnation: Whole
    after: str


class Page(Message, tag=5, frozen=True):
    """Rows for one who joins; `after` is the last key of the page, "" where there is no more.  `taken` is
    whether the life was believed: not where a newer one of that member is known."""

    nonce: Whole
    incarnation: Whole
    taken: bool
    table: tuple[Whole, ...]
    rows: tuple[tuple[Key, Row], ...]
    after: str


class Compare(Message, tag=6, frozen=True):
    """A sum over what we share, by bucket of the keys' hash."""

    sums: Annotated[tuple[int, ...], msgspec.Meta(min_length=BUCKETS, max_length=BUCKETS)]


class Keys(Message, tag=7, frozen=True):
    """What I have in a bucket where we differ: key, ballot, step."""

    bucket: Annotated[int, msgspec.Meta(ge=0, lt=BUCKETS)]
    rows: tuple[tuple[Key, Ballot, Step], ...]


class Pull(Message, tag=8, frozen=True):
    """Give me these."""

    keys: tuple[Key, ...]


class Rows(Message, tag=9, frozen=True):
    """Rows that you lack, or have older."""

    rows: tuple[tuple[Key, Row], ...]


Any_ = Prepare | Accept | Reply | Join | Page | Compare | Keys | Pull | Rows


class _Frame(msgspec.Struct, array_like=True, frozen=True, gc=False):
    version: int
    group: Whole
    sender: Member
    message: msgspec.Raw


_ENCODER = msgspec.msgpack.Encoder()
_FRAME = msgspec.msgpack.Decoder(_Frame)
_MESSAGE = msgspec.msgpack.Decoder(Any_)


class Codec:
    """Writes one member's frames and reads those of the others."""

    def __init__(self, group: int, me: int, members: int) -> None:
        self._group, self._me, self._members = group, me, members
        self.dropped: Counter[str] = Counter()

    def write(self, message: Any_) -> bytes:
        raw = msgspec.Raw(_ENCODER.encode(message))
        return MARK + _ENCODER.encode(_Frame(VERSION, self._group, self._me, raw))

    def read(self, data: bytes) -> tuple[int, Any_] | None:
        """Sender and message; None, and counted by reason, where it is not to be believed."""
        try:
            frame = _FRAME.decode(data[len(MARK) :])
            if frame.version != VERSION:
                return self._drop("version")
            if frame.group != self._group:
                return self._drop("group")
            if frame.sender >= self._members or frame.sender == self._me:
                return self._drop("sender")
            return frame.sender, _MESSAGE.decode(frame.message)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            return self._drop("malformed")

    def _drop(self, why: str) -> tuple[int, Any_] | None:
        self.dropped[why] += 1
        return None
