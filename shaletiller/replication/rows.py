"""What is kept of a key at one gateway, and what the values of keys say."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from shaletiller.fleet.codec import Member, Whole

# Kinds of record in a store.
REGISTER, META = 1, 2

# A ballot is round, member and a number that the member uses once, in all its processes: no two ops share one
# ever.  Nothing taken yet; and the round that any gateway may use without asking.
Ballot = tuple[Whole, Member, Whole]
NONE: Ballot = (0, 0, 0)
FAST: Ballot = (1, 0, 0)

Key = Annotated[str, msgspec.Meta(min_length=1, max_length=400)]
Step = Annotated[int, msgspec.Meta(ge=0, lt=1 << 31)]
Value = Annotated[bytes, msgspec.Meta(max_length=1 << 17)]


class Row(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A register at one gateway: the ballot below which it takes nothing, and what it took last, with the
    ballot and the step under it.  An empty value says that the key is free.  It ends at `until` (milliseconds
    of the Unix epoch), on all copies alike."""

    promised: Ballot = NONE
    ballot: Ballot = NONE
    step: Step = 0
    value: Value = b""
    until: Whole = 0

    @property
    def rank(self) -> tuple[Ballot, int]:
        return self.ballot, self.step

    def __deepcopy__(self, memo: Any) -> Row:
        return self  # frozen


class Saying(msgspec.Struct, array_like=True, frozen=True, gc=False, tag_field="k"):
    """What a register says."""


class Intent(Saying, tag=1, frozen=True):
    """A write that `owner` (in this life of its process) is about to send: it may have run from now on.

    `mark` is the hash of what was asked, `at` when, and by `ends` its gateway has answered."""

    owner: Member
    incarnation: Whole
    number: Whole
    mark: int
    at: Whole
    ends: Whole


class Outcome(Saying, tag=2, frozen=True):
    """What the client was told, or is to be told: served with this body, or failed."""

    served: bool
    body: bytes
    mark: int
    at: Whole


class Word(Saying, tag=3, frozen=True):
    """An operator's word on a storage node or on a gateway: out (or drained) or not, said by `by`; `stamp` is
    its hybrid logical clock."""

    out: bool
    stamp: Whole
    by: Member
    until: Whole


class Listed(Saying, tag=4, frozen=True):
    """The node list as a gateway had it `at` a time: discovery's own JSON."""

    at: Whole
    raw: bytes


class Leased(Saying, tag=5, frozen=True):
    """What a limit's granter has leased in all (thousandths of units a second and of units), as of its
    `number`th table, by the time `at` of its clock."""

    by: Member
    incarnation: Whole
    number: Whole
    at: Whole
    rate: Whole
    burst: Whole


Says = Intent | Outcome | Word | Listed | Leased
_ENCODER = msgspec.msgpack.Encoder()
_SAYS = msgspec.msgpack.Decoder(Says)
_ROW = msgspec.msgpack.Decoder(Row)


def pack(what: Any) -> bytes:
    return _ENCODER.encode(what)


def read_says(value: bytes) -> Says | None:
    """What a value says; None where it is empty or of a later version."""
    try:
        return _SAYS.decode(value) if value else None
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def read_row(value: bytes) -> Row:
    """msgspec's errors where it is none."""
    return _ROW.decode(value)


def describe(kind: int, key: bytes, value: bytes) -> dict[str, Any]:
    """A record of a store as an operator reads it."""
    told: dict[str, Any] = {
        "kind": {REGISTER: "register", META: "meta"}.get(kind, kind),
        "key": key.decode("utf-8", "replace"),
    }
    if kind != REGISTER:
        return {**told, "bytes": len(value)}
    try:
        row = read_row(value)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return {**told, "unreadable": len(value)}
    says = read_says(row.value)
    told |= {
        "promised": row.promised,
        "ballot": row.ballot,
        "step": row.step,
        "until": row.until,
        "says": type(says).__name__.lower() if says is not None else "free",
    }
    if isinstance(says, Intent):
        told |= {"owner": says.owner, "at": says.at}
    elif isinstance(says, Outcome):
        told |= {"served": says.served, "bytes": len(says.body), "at": says.at}
    elif isinstance(says, Word):
        told |= {"out": says.out, "by": says.by}
    elif isinstance(says, Listed):
        told |= {"bytes": len(says.raw), "at": says.at}
    return told
