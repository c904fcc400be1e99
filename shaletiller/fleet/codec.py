"""Messages between gateways: MessagePack by msgspec, in one envelope, at most one datagram long.

    envelope = [version, group, sender, life, seq, stamp, [part, ...]]

- version: of this format.  An envelope of another version is dropped, whole.
- group: a hash of the fleet's name and members; who was configured otherwise is another fleet.
- sender, life: the member's number, and the Unix time in milliseconds at which its process began.  A restart
  is a new life; what comes late of an older one is dropped.
- seq: counts the sender's envelopes; one that came before is dropped, however late it comes again.
- stamp: the sender's hybrid logical clock.
- part: [tag, field, ...], see the structures below.  Parts of tags that are not known are skipped.

Whatever comes, `Reader.read` returns an envelope or None, and counts why not.  It raises nothing.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from typing import Annotated

import msgspec

VERSION = 1
MOST_BYTES = 256  # the platform's bound on a datagram between gateways
MOST_PARTS = 64
MOST_AHEAD_MS = 60_000.0
WINDOW = 512  # how far behind a sender's newest envelope another may come

Whole = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Member = Annotated[int, msgspec.Meta(ge=0, lt=1 << 16)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=96)]
Amount = Annotated[int, msgspec.Meta(ge=0, lt=1 << 48)]  # thousandths of a unit
Span = Annotated[int, msgspec.Meta(ge=0, lt=1 << 31)]  # whole milliseconds


class Part(msgspec.Struct, array_like=True, frozen=True, gc=False, tag_field="k"):
    """One thing that a message says."""


class Ping(Part, tag=1, frozen=True):
    """Are you there?  `digest` sums up the verdicts that the sender holds."""

    nonce: Whole
    digest: int


class Ack(Part, tag=2, frozen=True):
    """I am, or `target` was just now, asked on your behalf."""

    nonce: Whole
    target: Member
    digest: int


class PingReq(Part, tag=3, frozen=True):
    """Ask `target` on my behalf: I cannot reach it."""

    nonce: Whole
    target: Member


class Rumor(Part, tag=4, frozen=True):
    """What is said of a member: its state (membership.State), its life, and how often it has refuted."""

    member: Member
    state: Annotated[int, msgspec.Meta(ge=0, le=3)]
    incarnation: Whole
    refuted: Whole


class Want(Part, tag=5, frozen=True):
    """A holder asks the granter for a share of a limit of `rate` and `burst`."""

    limit: Name
    nonce: Whole
    rate: Amount  # a second: what it would like to have beyond its own part
    burst: Amount
    of_rate: Amount  # the whole limit, so that a granter and owners who have not met it know it
    of_burst: Amount
    settle_ms: Span = 0


class Call(Part, tag=6, frozen=True):
    """The granter asks an owner to pledge what it does not need of its own part."""

    limit: Name
    nonce: Whole
    of_rate: Amount
    of_burst: Amount
    settle_ms: Span = 0
    # The granter before this one, and its life, where it can lease nothing more and this one answers for what
    # it has leased; a life of 0: none such.
    was: Member = 0
    previous_granter_incarnation: Whole = 0


class Pledge(Part, tag=7, frozen=True):
    """The owner will not spend so much of its own part for `term_ms`, counted from the call that `nonce`
    names."""

    limit: Name
    nonce: Whole
    rate: Amount
    burst: Amount
    term_ms: Span


class Grant(Part, tag=8, frozen=True):
    """The holder may spend so much for `term_ms`, counted from the want that `nonce` names."""

    limit: Name
    nonce: Whole
    rate: Amount
    burst: Amount
    term_ms: Span


class HealthRecord(Part, tag=9, frozen=True):
    """What one observer says of one storage node, see verdicts.py."""

    node: Name
    kind: Annotated[int, msgspec.Meta(ge=1, le=15)]
    observer: Member
    incarnation: Whole  # the node's `started_ms`, as the observer has it
    stamp: Whole
    until: Whole  # milliseconds of the Unix epoch
    value: Whole


Known = Ping | Ack | PingReq | Rumor | Want | Call | Pledge | Grant | HealthRecord


class Envelope(msgspec.Struct, array_like=True, frozen=True, gc=False):
    version: int
    group: Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
    sender: Member
    incarnation: Whole
    seq: Whole
    stamp: Whole
    parts: Annotated[list[msgspec.Raw], msgspec.Meta(max_length=MOST_PARTS)]


_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE = msgspec.msgpack.Decoder(Envelope)
_PART = msgspec.msgpack.Decoder(Known)
_TAG = msgspec.msgpack.Decoder(list[msgspec.Raw])
_TAGS = frozenset(range(1, 10))


def pack(part: Known) -> bytes:
    """A part as bytes, to be counted and put into an envelope."""
    return _ENCODER.encode(part)


class Writer:
    """Numbers and writes one member's envelopes."""

    def __init__(self, group: int, sender: int, incarnation: int) -> None:
        self._head = (group, sender, incarnation)
        self._seq = 0
        # The head's bytes at their longest: what is left of a datagram is the parts'.
        self.overhead = len(self._bytes(1 << 40, 1 << 62, [])) + 2

    def _bytes(self, seq: int, stamp: int, parts: Sequence[bytes]) -> bytes:
        raw = [msgspec.Raw(part) for part in parts]
        return _ENCODER.encode(Envelope(VERSION, *self._head, seq, stamp, raw))

    def write(self, stamp: int, parts: Sequence[bytes]) -> bytes:
        """The next envelope."""
        self._seq += 1
        return self._bytes(self._seq, stamp, parts)


class _Seen:
    """Which of one sender's envelopes have come: the newest, and a window of those behind it."""

    __slots__ = ("_mask", "_newest", "incarnation")

    def __init__(self, incarnation: int) -> None:
        self.incarnation, self._newest, self._mask = incarnation, 0, 0

    def fresh(self, seq: int) -> bool:
        """Whether this one had not come before; from now on it has."""
        if seq > self._newest:
            self._mask = (self._mask << min(seq - self._newest, WINDOW) | 1) & ((1 << WINDOW) - 1)
            self._newest = seq
            return True
        behind = self._newest - seq
        if behind >= WINDOW or self._mask >> behind & 1:
            return False
        self._mask |= 1 << behind
        return True


class Reader:
    """Reads what others sent; what it drops is counted by reason."""

    def __init__(self, group: int, me: int, members: int) -> None:
        self._group, self._me, self._members = group, me, members
        self._seen: dict[int, _Seen] = {}
        self.dropped: Counter[str] = Counter()

    def read(self, data: bytes, wall_ms: float = math.inf) -> tuple[Envelope, list[Known]] | None:
        """The envelope and its known parts; None where it is not to be believed.

        A life that begins more than `MOST_AHEAD_MS` after `wall_ms` would shut out the member's own for as
        long."""
        try:
            found = _ENVELOPE.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            return self._drop(self._why(data))
        if found.version != VERSION:
            return self._drop("version")
        if found.group != self._group:
            return self._drop("group")
        if found.sender >= self._members or found.sender == self._me:
            return self._drop("sender")
        if found.incarnation > wall_ms + MOST_AHEAD_MS:
            return self._drop("ahead")
        parts: list[Known] = []
        for raw in found.parts:
            try:
                parts.append(_PART.decode(raw))
            except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
                if self._known(raw):
                    return self._drop("malformed")
                self.dropped["tag"] += 1
        seen = self._seen.get(found.sender)
        if seen is None or found.incarnation > seen.incarnation:
            seen = self._seen[found.sender] = _Seen(found.incarnation)
        if found.incarnation < seen.incarnation:
            return self._drop("life")
        if not seen.fresh(found.seq):
            return self._drop("replayed")
        return found, parts

    def _drop(self, why: str) -> tuple[Envelope, list[Known]] | None:
        self.dropped[why] += 1
        return None

    @staticmethod
    def _why(data: bytes) -> str:
        """An envelope of another version may have other fields: that is no fault of its sender."""
        try:
            head = _TAG.decode(data)
            return "version" if head and msgspec.msgpack.decode(head[0], type=int) != VERSION else "malformed"
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            return "malformed"

    @staticmethod
    def _known(raw: msgspec.Raw) -> bool:
        """Whether a part that cannot be read bears a tag that this version knows."""
        try:
            return msgspec.msgpack.decode(_TAG.decode(raw)[0], type=int) in _TAGS
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, IndexError):
            return True
