"""The stored records: register rows, the values that registers hold, and their MessagePack encoding.

The structures are encoded as arrays: fields are identified by position and value types by a numeric tag.
Neither the order of the fields nor a tag may change, because stores outlive the process that wrote them and
gateways of two versions exchange rows during an upgrade.
"""

from __future__ import annotations

from typing import Annotated, Any, NamedTuple

import msgspec

# Kinds of records in a store: rows of registers, and metadata of the gateway itself.
REGISTER, META = 1, 2

MAX_KEY_CHARS = 400

UnsignedInt = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
MemberNumber = Annotated[int, msgspec.Meta(ge=0, lt=1 << 16)]
Key = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_KEY_CHARS)]
Step = Annotated[int, msgspec.Meta(ge=0, lt=1 << 31)]
Value = Annotated[bytes, msgspec.Meta(max_length=1 << 17)]


class Ballot(NamedTuple):
    """A ballot, ordered by round, then member, then number.

    A member uses each `number` only once, across all of its processes, so that no two operations share a
    ballot.
    """

    round: UnsignedInt
    member: MemberNumber
    number: UnsignedInt


NO_BALLOT = Ballot(0, 0, 0)  # Nothing has been promised or accepted yet.
FAST_BALLOT = Ballot(1, 0, 0)  # The fast round, which any gateway may use without a prepare phase.


class Row(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The state of one register at one acceptor.

    The acceptor accepts nothing below the ballot `promised`, and it accepted `value` under `ballot` and
    `step`. An empty value means that the register is free. The row expires on all replicas at `expires_ms`
    (milliseconds since the Unix epoch).
    """

    promised: Ballot = NO_BALLOT
    ballot: Ballot = NO_BALLOT
    step: Step = 0
    value: Value = b""
    expires_ms: UnsignedInt = 0

    @property
    def version(self) -> tuple[Ballot, int]:
        """The sort key of accepted values: the ballot, then the step under that ballot."""
        return self.ballot, self.step

    def __deepcopy__(self, memo: Any) -> Row:
        """Return the same object: it is immutable."""
        return self


class RegisterValue(msgspec.Struct, array_like=True, frozen=True, gc=False, tag_field="k"):
    """Base class of the values that a register can hold."""


class WriteIntent(RegisterValue, tag=1, frozen=True):
    """The intent of gateway `owner`, in this incarnation of its process, to forward a write.

    The write may or may not have run. `request_hash` identifies the request, `recorded_ms` is the time at
    which the intent was written, and the owner answers its client by `deadline_ms`.
    """

    owner: MemberNumber
    incarnation: UnsignedInt
    number: UnsignedInt
    request_hash: int
    recorded_ms: UnsignedInt
    deadline_ms: UnsignedInt


class WriteOutcome(RegisterValue, tag=2, frozen=True):
    """The final response to a write: served with `body`, or failed."""

    served: bool
    body: bytes
    request_hash: int
    recorded_ms: UnsignedInt


class OperatorCommand(RegisterValue, tag=3, frozen=True):
    """An operator command that ejects a storage node or drains a gateway, or one that lifts it.

    `in_effect` is False if the ejection or drain is lifted. `issuer` is the gateway that received the
    command, and `stamp` the value of its hybrid logical clock at that time.
    """

    in_effect: bool
    stamp: UnsignedInt
    issuer: MemberNumber
    expires_ms: UnsignedInt


class CachedEndpointList(RegisterValue, tag=4, frozen=True):
    """The endpoint list of a gateway as of `recorded_ms`, in the JSON format of the discovery protocol."""

    recorded_ms: UnsignedInt
    json: bytes


class LeaseTableRecord(RegisterValue, tag=5, frozen=True):
    """The total that the granter of a limit has leased, as of version `number` of its lease table.

    `rate` is in thousandths of a unit per second and `burst` in thousandths of a unit. `recorded_ms` is a
    time of the granter's clock.
    """

    granter: MemberNumber
    incarnation: UnsignedInt
    number: UnsignedInt
    recorded_ms: UnsignedInt
    rate: UnsignedInt
    burst: UnsignedInt


StoredValue = WriteIntent | WriteOutcome | OperatorCommand | CachedEndpointList | LeaseTableRecord

# Names in the output of the `store show` command. Operators' scripts read them, so they must not change.
_KIND_NAMES = {REGISTER: "register", META: "meta"}
_VALUE_NAMES: dict[type[RegisterValue], str] = {
    WriteIntent: "intent",
    WriteOutcome: "outcome",
    OperatorCommand: "word",
    CachedEndpointList: "listed",
    LeaseTableRecord: "leased",
}
_ENCODER = msgspec.msgpack.Encoder()
_VALUE_DECODER = msgspec.msgpack.Decoder(StoredValue)
_ROW_DECODER = msgspec.msgpack.Decoder(Row)


def pack(record: Any) -> bytes:
    """Encode a row, a register value or metadata of a gateway as MessagePack."""
    return _ENCODER.encode(record)


def decode_value(value: bytes) -> StoredValue | None:
    """Decode the value of a register; return None if it is empty or was written by a later version."""
    try:
        return _VALUE_DECODER.decode(value) if value else None
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def decode_row(data: bytes) -> Row:
    """Decode a row.

    :raises msgspec.MsgspecError: if the data is not an encoded row.
    """
    return _ROW_DECODER.decode(data)


def describe(kind: int, key: bytes, value: bytes) -> dict[str, Any]:
    """Describe a stored record for operators; the keys are those of the output of `store show --json`."""
    description: dict[str, Any] = {
        "kind": _KIND_NAMES.get(kind, kind),
        "key": key.decode("utf-8", "replace"),
    }
    if kind != REGISTER:
        return {**description, "bytes": len(value)}
    try:
        row = decode_row(value)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return {**description, "unreadable": len(value)}
    stored = decode_value(row.value)
    return {
        **description,
        "promised": row.promised,
        "ballot": row.ballot,
        "step": row.step,
        "until": row.expires_ms,
        "says": _VALUE_NAMES[type(stored)] if stored is not None else "free",
        **_describe_value(stored),
    }


def _describe_value(stored: StoredValue | None) -> dict[str, Any]:
    match stored:
        case WriteIntent():
            return {"owner": stored.owner, "at": stored.recorded_ms}
        case WriteOutcome():
            return {"served": stored.served, "bytes": len(stored.body), "at": stored.recorded_ms}
        case OperatorCommand():
            return {"out": stored.in_effect, "by": stored.issuer}
        case CachedEndpointList():
            return {"bytes": len(stored.json), "at": stored.recorded_ms}
        case _:
            return {}
