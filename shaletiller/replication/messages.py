"""Messages between the replicas, and their frames.

    frame = "P" followed by the MessagePack array [version, fleet, sender, message]

The prefix tells them from the envelopes of gossip on the same links.  Messages may be lost, duplicated,
delayed and reordered: what a replica does with one depends on its own rows only.  A frame that cannot be
decoded is dropped and counted by reason.

Messages are encoded as arrays: the order of their fields and their tags are the wire format and may not
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
MAX_MESSAGE_BYTES = 60_000  # of rows in one message: well below the frame limit of a link
DIGEST_BUCKETS = 256

NONCE_BITS = 20

Incarnations = tuple[
    UnsignedInt, ...
]  # of the members of the key's group, in its order, as the sender knows them


def first_nonce(process_start_ms: int) -> int:
    """Return the nonce a process starts from, so that replies to an earlier process match none of its own.

    A process uses fewer than 2**20 nonces in each millisecond that it runs.
    """
    return process_start_ms << NONCE_BITS


class Message(msgspec.Struct, array_like=True, frozen=True, gc=False, tag_field="k"):
    """Base of the messages; a `nonce` matches a reply to its request."""

    def __deepcopy__(self, memo: Any) -> Message:
        """Return the same object: it is immutable."""
        return self


class Prepare(Message, tag=1, frozen=True):
    """Phase 1: promise to accept nothing below this ballot, and reply with the row accepted last."""

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

    OK = 0  # done, and persisted
    REJECTED = 1  # a higher ballot is promised, or another value accepted
    STALE_INCARNATION = 2  # the sender knows other incarnations of the group than this acceptor
    RECOVERING = 3  # this acceptor has lost its store and does not vote on this key yet


class Reply(Message, tag=3, frozen=True):
    """The reply of an acceptor to Prepare and Accept."""

    nonce: UnsignedInt
    status: ReplyStatus
    incarnation: UnsignedInt
    row: Row
    incarnations: Incarnations


class StateTransferRequest(Message, tag=4, frozen=True):
    """From a member with a new store: note its incarnation, and send a page of shared rows after a key."""

    nonce: UnsignedInt
    incarnation: UnsignedInt
    after: str


class StateTransferPage(Message, tag=5, frozen=True):
    """Rows for a member with a new store.

    `after` is the last key of the page, "" on the last page.  `accepted` is False where the sender knows a
    newer incarnation of the requester.  `known_incarnations` are those of all members, as the sender knows
    them.
    """

    nonce: UnsignedInt
    incarnation: UnsignedInt
    accepted: bool
    known_incarnations: tuple[UnsignedInt, ...]
    rows: tuple[tuple[Key, Row], ...]
    after: str


class BucketDigests(Message, tag=6, frozen=True):
    """Anti-entropy: a digest of the shared rows for each bucket of the keys' hash."""

    digests: Annotated[tuple[int, ...], msgspec.Meta(min_length=DIGEST_BUCKETS, max_length=DIGEST_BUCKETS)]


class BucketVersions(Message, tag=7, frozen=True):
    """Anti-entropy: key, ballot and step of each shared row in a bucket whose digests differ."""

    bucket: Annotated[int, msgspec.Meta(ge=0, lt=DIGEST_BUCKETS)]
    versions: tuple[tuple[Key, Ballot, Step], ...]


class RowRequest(Message, tag=8, frozen=True):
    """Anti-entropy: send the rows of these keys."""

    keys: tuple[Key, ...]


class RowTransfer(Message, tag=9, frozen=True):
    """Anti-entropy: rows that the recipient lacks, or has in an older version."""

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
    """Encodes the frames of one member and decodes those of the others."""

    def __init__(self, fleet: int, member: int, members: int) -> None:
        """Configure the codec.

        :param fleet: hash of the fleet's name and members.
        :param member: number of this member.
        :param members: how many members the fleet has.
        """
        self._fleet, self._member, self._members = fleet, member, members
        self.dropped: Counter[str] = Counter()

    def write(self, message: AnyMessage) -> bytes:
        """Encode a message as a frame."""
        raw = msgspec.Raw(_ENCODER.encode(message))
        return FRAME_PREFIX + _ENCODER.encode(_Frame(PROTOCOL_VERSION, self._fleet, self._member, raw))

    def read(self, data: bytes) -> tuple[int, AnyMessage] | None:
        """Decode a frame.

        :returns: the sender and the message; None where the frame is invalid, which is counted in `dropped`.
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
