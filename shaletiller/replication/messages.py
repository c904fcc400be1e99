"""Messages between the replicas, and their frames.

    frame = "P" followed by the MessagePack array [version, fleet, sender, message]

The prefix distinguishes replication frames from the gossip envelopes on the same links. Messages may be lost,
duplicated, delayed and reordered, so a replica handles each message based on its own rows only. A frame that
cannot be decoded is dropped and counted by reason.

Messages are encoded as arrays: their tags and the order of their fields are the wire format and must not
change.
"""

from __future__ import annotations

from collections import Counter
from enum import IntEnum
from typing import Annotated, Any

import msgspec

from shaletiller.replication.records import Ballot, Key, MemberNumber, Row, Step, UnsignedInt, Value

PROTOCOL_VERSION = 1
FRAME_PREFIX = b"P"
MAX_MESSAGE_BYTES = 60_000  # Maximum bytes of rows in one message, well below the frame limit of a link.
DIGEST_BUCKETS = 256

# The low bits of a nonce are a counter; the bits above it hold the start time of the process.
NONCE_COUNTER_BITS = 20

# The incarnations of the members of the key's group, in group order, as known to the sender.
Incarnations = tuple[UnsignedInt, ...]


def first_nonce(process_start_ms: int) -> int:
    """Return the first nonce of a process.

    Replies to an earlier process match no nonce of this one, because a process uses fewer than 2**20 nonces
    per millisecond.
    """
    return process_start_ms << NONCE_COUNTER_BITS


class Message(msgspec.Struct, array_like=True, frozen=True, gc=False, tag_field="k"):
    """Base class of the messages; a reply carries the `nonce` of its request."""

    def __deepcopy__(self, memo: Any) -> Message:
        """Return the same object: it is immutable."""
        return self


class Prepare(Message, tag=1, frozen=True):
    """Phase 1: promise to accept nothing below this ballot, and reply with the last accepted row."""

    nonce: UnsignedInt
    key: Key
    ballot: Ballot
    expires_ms: UnsignedInt
    incarnations: Incarnations


class Accept(Message, tag=2, frozen=True):
    """Phase 2: accept this value under this ballot and step."""

    nonce: UnsignedInt
    key: Key
    ballot: Ballot
    step: Step
    value: Value
    expires_ms: UnsignedInt
    incarnations: Incarnations


class ReplyStatus(IntEnum):
    """The result of a request at an acceptor."""

    OK = 0  # The request was executed and its row persisted.
    REJECTED = 1  # A higher ballot was promised, or another value accepted.
    STALE_INCARNATION = 2  # The request names other incarnations of the group than this acceptor knows.
    RECOVERING = 3  # This acceptor does not vote on the key, for example because its store is new.


class Reply(Message, tag=3, frozen=True):
    """The reply of an acceptor to `Prepare` or `Accept`."""

    nonce: UnsignedInt
    status: ReplyStatus
    incarnation: UnsignedInt
    row: Row
    incarnations: Incarnations


class StateTransferRequest(Message, tag=4, frozen=True):
    """Request of a member with a new store: record its incarnation, and send shared rows after a key."""

    nonce: UnsignedInt
    incarnation: UnsignedInt
    after: str


class StateTransferPage(Message, tag=5, frozen=True):
    """A page of rows for a member with a new store.

    `after` is the last key of the page, or "" on the last page. `accepted` is False if the sender knows a
    newer incarnation of the requester. `known_incarnations` are the incarnations of all members, as known to
    the sender.
    """

    nonce: UnsignedInt
    incarnation: UnsignedInt
    accepted: bool
    known_incarnations: tuple[UnsignedInt, ...]
    rows: tuple[tuple[Key, Row], ...]
    after: str


class BucketDigests(Message, tag=6, frozen=True):
    """Anti-entropy: one digest of the shared rows per bucket of keys."""

    digests: Annotated[tuple[int, ...], msgspec.Meta(min_length=DIGEST_BUCKETS, max_length=DIGEST_BUCKETS)]


class BucketVersions(Message, tag=7, frozen=True):
    """Anti-entropy: key, ballot and step of each shared row of a bucket whose digests differ."""

    bucket: Annotated[int, msgspec.Meta(ge=0, lt=DIGEST_BUCKETS)]
    versions: tuple[tuple[Key, Ballot, Step], ...]


class RowRequest(Message, tag=8, frozen=True):
    """Anti-entropy: a request for the rows of these keys."""

    keys: tuple[Key, ...]


class RowTransfer(Message, tag=9, frozen=True):
    """Anti-entropy: rows that the recipient lacks, or holds in an older version."""

    rows: tuple[tuple[Key, Row], ...]


AntiEntropyMessage = BucketDigests | BucketVersions | RowRequest | RowTransfer
AnyMessage = Prepare | Accept | Reply | StateTransferRequest | StateTransferPage | AntiEntropyMessage


class _Frame(msgspec.Struct, array_like=True, frozen=True, gc=False):
    version: int
    fleet: UnsignedInt
    sender: MemberNumber
    message: msgspec.Raw


_ENCODER = msgspec.msgpack.Encoder()
_FRAME_DECODER = msgspec.msgpack.Decoder(_Frame)
_MESSAGE_DECODER = msgspec.msgpack.Decoder(AnyMessage)


class Codec:
    """Encodes the frames of one member and decodes the frames of the others."""

    def __init__(self, fleet: int, member: int, members: int) -> None:
        """Configure the codec.

        :param fleet: hash of the fleet's name and members.
        :param member: number of this member.
        :param members: number of members of the fleet.
        """
        self._fleet, self._member, self._members = fleet, member, members
        self.dropped: Counter[str] = Counter()

    def write(self, message: AnyMessage) -> bytes:
        """Encode a message as a frame."""
        raw = msgspec.Raw(_ENCODER.encode(message))
        return FRAME_PREFIX + _ENCODER.encode(_Frame(PROTOCOL_VERSION, self._fleet, self._member, raw))

    def read(self, data: bytes) -> tuple[int, AnyMessage] | None:
        """Decode a frame.

        :returns: the sender and the message, or None for an invalid frame, which is counted in `dropped`.
        """
        try:
            frame = _FRAME_DECODER.decode(data[len(FRAME_PREFIX) :])
            reason = self._drop_reason(frame)
            if reason is None:
                return frame.sender, _MESSAGE_DECODER.decode(frame.message)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            reason = "malformed"
        self.dropped[reason] += 1
        return None

    def _drop_reason(self, frame: _Frame) -> str | None:
        if frame.version != PROTOCOL_VERSION:
            return "version"
        if frame.fleet != self._fleet:
            return "group"
        if frame.sender >= self._members or frame.sender == self._member:
            return "sender"
        return None
