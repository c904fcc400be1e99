"""Wire format of messages between gateways: one MessagePack envelope in each datagram.

    envelope = [version, group, sender, incarnation, seq, timestamp, [message, ...]]

- version: version of this format.  Envelopes of other versions are dropped.
- group: hash of the fleet's name and members.  Gateways with different configurations form different fleets.
- sender, incarnation: number of the sending member, and the Unix time in milliseconds at which its process
  started.  A restart creates a new incarnation; late envelopes of an older incarnation are dropped.
- seq: sequence number of the envelope at its sender.  A duplicate is dropped, however late it arrives.
- timestamp: value of the sender's hybrid logical clock.
- message: [tag, field, ...], see the structures below.  Messages with unknown tags are skipped.

`EnvelopeReader.read` raises no exception for any input: it returns an envelope, or it returns `None` and
counts the reason.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from typing import Annotated, NamedTuple

import msgspec

from shaletiller.fleet.errors import EnvelopeError

VERSION = 1
MAX_DATAGRAM_BYTES = 256  # limit of the platform on datagrams between gateways
MAX_MESSAGES = 64  # maximum messages in an envelope; fewer than that fit into a datagram
# Maximum time by which a sender's incarnation may be ahead of the local clock.  The clocks of gateways differ
# by a few seconds at most, so an incarnation that is further ahead comes from a broken clock.
MAX_INCARNATION_AHEAD_MS = 60_000.0
# Size of the anti-replay window, in envelopes: how far an envelope may be behind its sender's newest.  A
# larger window takes more memory for each member; a smaller window drops envelopes that are merely late.
REPLAY_WINDOW = 512

UInt63 = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Member = Annotated[int, msgspec.Meta(ge=0, lt=1 << 16)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=96)]
MilliUnits = Annotated[int, msgspec.Meta(ge=0, lt=1 << 48)]  # thousandths of a request unit
DurationMs = Annotated[int, msgspec.Meta(ge=0, lt=1 << 31)]

_DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class Message(msgspec.Struct, array_like=True, frozen=True, gc=False, tag_field="k"):
    """Base class of messages in an envelope; fields are positional, so their order is the wire format."""


class Ping(Message, tag=1, frozen=True):
    """SWIM probe of the receiver; `digest` is the digest of the sender's health records."""

    nonce: UInt63
    digest: int


class Ack(Message, tag=2, frozen=True):
    """Response to a probe, sent by the probed member itself or by the member that relayed the probe."""

    nonce: UInt63
    target: Member
    digest: int


class PingReq(Message, tag=3, frozen=True):
    """SWIM indirect probe: asks the receiver to probe `target`, which has not answered the sender."""

    nonce: UInt63
    target: Member


class Rumor(Message, tag=4, frozen=True):
    """State of a member (`membership.MemberState`), with its incarnation and its number of refutations."""

    member: Member
    state: Annotated[int, msgspec.Meta(ge=0, le=3)]
    incarnation: UInt63
    refutations: UInt63


class LeaseRequest(Message, tag=5, frozen=True):
    """Request of a holder to the granter for a lease on a fraction of a limit.

    `rate` (per second) and `burst` are the amounts that the holder needs beyond its own share.  `limit_rate`
    and `limit_burst` are the entire limit, for a granter and owners that do not know the limit yet.
    """

    limit: Name
    nonce: UInt63
    rate: MilliUnits
    burst: MilliUnits
    limit_rate: MilliUnits
    limit_burst: MilliUnits
    settle_ms: DurationMs = 0


class PledgeRequest(Message, tag=6, frozen=True):
    """Request of the granter to an owner to pledge the idle portion of its own share.

    `previous_granter` and its incarnation identify the previous granter if it can no longer issue leases and
    the sender has taken over its leases.  Incarnation 0 means that there is no such granter.
    """

    limit: Name
    nonce: UInt63
    limit_rate: MilliUnits
    limit_burst: MilliUnits
    settle_ms: DurationMs = 0
    previous_granter: Member = 0
    previous_granter_incarnation: UInt63 = 0


class Pledge(Message, tag=7, frozen=True):
    """Promise of an owner not to spend this portion of its own share.

    The pledge lasts for `duration_ms` from the time at which the request `nonce` was sent.
    """

    limit: Name
    nonce: UInt63
    rate: MilliUnits
    burst: MilliUnits
    duration_ms: DurationMs


class LeaseGrant(Message, tag=8, frozen=True):
    """Permission for the holder to spend this rate and burst.

    The lease lasts for `duration_ms` from the time at which the request `nonce` was sent.
    """

    limit: Name
    nonce: UInt63
    rate: MilliUnits
    burst: MilliUnits
    duration_ms: DurationMs


class HealthRecord(Message, tag=9, frozen=True):
    """Statement of one observer about one storage node, see health_gossip.py.

    `incarnation` is the node's `started_ms` as known to the observer, `timestamp` is a timestamp of the
    observer's hybrid logical clock, and `expires_ms` is in milliseconds since the Unix epoch.  A `value` of 0
    withdraws the statement.
    """

    node: Name
    kind: Annotated[int, msgspec.Meta(ge=1, le=15)]
    observer: Member
    incarnation: UInt63
    timestamp: UInt63
    expires_ms: UInt63
    value: UInt63


LeaseMessage = LeaseRequest | PledgeRequest | Pledge | LeaseGrant
MembershipMessage = Ping | Ack | PingReq | Rumor
AnyMessage = MembershipMessage | LeaseMessage | HealthRecord


class Envelope(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Content of one datagram; the messages are not decoded yet."""

    version: int
    group: Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
    sender: Member
    incarnation: UInt63
    seq: UInt63
    timestamp: UInt63
    messages: Annotated[list[msgspec.Raw], msgspec.Meta(max_length=MAX_MESSAGES)]


class ReceivedEnvelope(NamedTuple):
    """An accepted envelope with its decoded messages; messages with unknown tags are left out."""

    envelope: Envelope
    messages: list[AnyMessage]


_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
_MESSAGE_DECODER = msgspec.msgpack.Decoder(AnyMessage)
_ARRAY_DECODER = msgspec.msgpack.Decoder(list[msgspec.Raw])
_KNOWN_TAGS = frozenset(range(1, 10))


def encode(message: AnyMessage) -> bytes:
    """Encode one message of an envelope."""
    return _ENCODER.encode(message)


class EnvelopeWriter:
    """Encodes the envelopes of one member, with consecutive sequence numbers."""

    def __init__(self, group: int, sender: int, incarnation: int) -> None:
        """Create a writer whose first envelope has the sequence number 1.

        :param group: hash of the fleet, see `core.group_hash`.
        :param sender: number of this member.
        :param incarnation: incarnation of this member.
        """
        self._header = (group, sender, incarnation)
        self._seq = 0
        # Size of the longest header, plus two bytes for the length of the message list.
        self.overhead = len(self._encode(1 << 40, 1 << 62, [])) + 2

    def _encode(self, seq: int, timestamp: int, messages: Sequence[bytes]) -> bytes:
        raw = [msgspec.Raw(message) for message in messages]
        return _ENCODER.encode(Envelope(VERSION, *self._header, seq, timestamp, raw))

    def write(self, timestamp: int, messages: Sequence[bytes]) -> bytes:
        """Encode the next envelope.

        :param timestamp: timestamp of this member's hybrid logical clock.
        :param messages: encoded messages.
        """
        self._seq += 1
        return self._encode(self._seq, timestamp, messages)


class _ReplayWindow:
    """Anti-replay window (RFC 4303, appendix A2) for one incarnation of one sender."""

    __slots__ = ("_mask", "_newest", "incarnation")

    def __init__(self, incarnation: int) -> None:
        self.incarnation, self._newest, self._mask = incarnation, 0, 0

    def accept(self, seq: int) -> bool:
        """Record a sequence number; return `False` if it is a duplicate or older than the window."""
        if seq > self._newest:
            self._mask = (self._mask << min(seq - self._newest, REPLAY_WINDOW) | 1) & (
                (1 << REPLAY_WINDOW) - 1
            )
            self._newest = seq
            return True
        behind = self._newest - seq
        if behind >= REPLAY_WINDOW or self._mask >> behind & 1:
            return False
        self._mask |= 1 << behind
        return True


class EnvelopeReader:
    """Decodes and validates envelopes of other members; `dropped` counts dropped envelopes by reason."""

    def __init__(self, group: int, me: int, members: int) -> None:
        """Create a reader that has received no envelope.

        :param group: hash of the fleet, see `core.group_hash`.
        :param me: number of this member.
        :param members: number of members of the fleet.
        """
        self._group, self._me, self._members = group, me, members
        self._windows: dict[int, _ReplayWindow] = {}
        self.dropped: Counter[str] = Counter()

    def read(self, data: bytes, wall_ms: float = math.inf) -> ReceivedEnvelope | None:
        """Decode an envelope and those of its messages whose tags are known.

        :param wall_ms: current time.  An envelope whose incarnation is more than `MAX_INCARNATION_AHEAD_MS`
            ahead of it is dropped: once accepted, it would cause the envelopes of the member's correct
            incarnation to be dropped as outdated.
        :returns: the envelope, or `None` if it was dropped.
        """
        try:
            envelope = self._decode(data)
            self._check_header(envelope, wall_ms)
            messages = self._decode_messages(envelope)
            self._check_replay(envelope)
        except EnvelopeError as error:
            self.dropped[error.reason] += 1
            return None
        return ReceivedEnvelope(envelope, messages)

    def _decode(self, data: bytes) -> Envelope:
        try:
            return _ENVELOPE_DECODER.decode(data)
        except _DECODE_ERRORS as error:
            raise EnvelopeError(self._decode_failure(data)) from error

    def _check_header(self, envelope: Envelope, wall_ms: float) -> None:
        if envelope.version != VERSION:
            raise EnvelopeError("version")
        if envelope.group != self._group:
            raise EnvelopeError("group")
        if envelope.sender >= self._members or envelope.sender == self._me:
            raise EnvelopeError("sender")
        if envelope.incarnation > wall_ms + MAX_INCARNATION_AHEAD_MS:
            raise EnvelopeError("ahead")

    def _decode_messages(self, envelope: Envelope) -> list[AnyMessage]:
        """Decode the messages with known tags, and count those with unknown tags."""
        messages: list[AnyMessage] = []
        for raw in envelope.messages:
            try:
                messages.append(_MESSAGE_DECODER.decode(raw))
            except _DECODE_ERRORS as error:
                if self._has_known_tag(raw):
                    raise EnvelopeError("malformed") from error
                self.dropped["tag"] += 1
        return messages

    def _check_replay(self, envelope: Envelope) -> None:
        window = self._windows.get(envelope.sender)
        if window is None or envelope.incarnation > window.incarnation:
            window = self._windows[envelope.sender] = _ReplayWindow(envelope.incarnation)
        if envelope.incarnation < window.incarnation:
            raise EnvelopeError("life")
        if not window.accept(envelope.seq):
            raise EnvelopeError("replayed")

    @staticmethod
    def _decode_failure(data: bytes) -> str:
        """Return the reason why an envelope was not decoded.

        An envelope of another version may have other fields, so it is distinguished from a malformed one.
        """
        try:
            fields = _ARRAY_DECODER.decode(data)
            same_version = not fields or msgspec.msgpack.decode(fields[0], type=int) == VERSION
        except _DECODE_ERRORS:
            return "malformed"
        return "malformed" if same_version else "version"

    @staticmethod
    def _has_known_tag(raw: msgspec.Raw) -> bool:
        """Return whether a message that failed to decode has a known tag, or has no readable tag."""
        try:
            return msgspec.msgpack.decode(_ARRAY_DECODER.decode(raw)[0], type=int) in _KNOWN_TAGS
        except (*_DECODE_ERRORS, IndexError):
            return True
