"""Wire format between gateways: MessagePack by msgspec, one envelope in at most one datagram.

    envelope = [version, group, sender, incarnation, seq, timestamp, [message, ...]]

- version: of this format.  Envelopes of another version are dropped.
- group: hash of the fleet's name and members; gateways configured differently form another fleet.
- sender, incarnation: the member's number, and the Unix time in milliseconds at which its process started.  A
  restart is a new incarnation; late envelopes of an older one are dropped.
- seq: number of the envelope at its sender; a duplicate is dropped, however late it arrives.
- timestamp: the sender's hybrid logical clock.
- message: [tag, field, ...], see the structures below.  Messages with unknown tags are skipped.

Whatever arrives, `EnvelopeReader.read` returns an envelope or `None` and counts the reason; it never raises.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from typing import Annotated, NamedTuple

import msgspec

from shaletiller.fleet.errors import EnvelopeError

VERSION = 1
MAX_DATAGRAM_BYTES = 256  # the platform's limit on a datagram between gateways
MAX_MESSAGES = 64  # in an envelope: more than fit into a datagram
# Clocks of gateways differ by seconds at most; an incarnation further ahead comes from a broken clock.
MAX_INCARNATION_AHEAD_MS = 60_000.0
# Empirical: how far an envelope may be reordered behind its sender's newest.  A larger window costs memory
# for each member, a smaller one drops envelopes that are merely late.
REPLAY_WINDOW = 512

UInt63 = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Member = Annotated[int, msgspec.Meta(ge=0, lt=1 << 16)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=96)]
MilliUnits = Annotated[int, msgspec.Meta(ge=0, lt=1 << 48)]  # thousandths of a unit
DurationMs = Annotated[int, msgspec.Meta(ge=0, lt=1 << 31)]

_DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class Message(msgspec.Struct, array_like=True, frozen=True, gc=False, tag_field="k"):
    """Base class of the messages in an envelope; fields are positional, so their order is the wire format."""


class Ping(Message, tag=1, frozen=True):
    """SWIM probe of a member; `digest` summarizes the sender's health records."""

    nonce: UInt63
    digest: int


class Ack(Message, tag=2, frozen=True):
    """Answer to a probe: by the probed member itself, or by the member that probed `target` on request."""

    nonce: UInt63
    target: Member
    digest: int


class PingReq(Message, tag=3, frozen=True):
    """SWIM indirect probe: requests that the receiver probes `target`, which the sender cannot reach."""

    nonce: UInt63
    target: Member


class Rumor(Message, tag=4, frozen=True):
    """A member's state (`membership.MemberState`), its incarnation and its number of refutations."""

    member: Member
    state: Annotated[int, msgspec.Meta(ge=0, le=3)]
    incarnation: UInt63
    refutations: UInt63


class LeaseRequest(Message, tag=5, frozen=True):
    """A holder requests a lease on part of a limit from the granter.

    `rate` (a second) and `burst` are wanted beyond the holder's own part.  `limit_rate` and `limit_burst` are
    the entire limit, so that a granter and owners that have not met the limit yet know it.
    """

    limit: Name
    nonce: UInt63
    rate: MilliUnits
    burst: MilliUnits
    limit_rate: MilliUnits
    limit_burst: MilliUnits
    settle_ms: DurationMs = 0


class PledgeRequest(Message, tag=6, frozen=True):
    """The granter requests that an owner pledges the idle portion of its own part.

    `previous_granter` with its incarnation names the granter before this one, if that can issue no further
    lease and the sender has taken over its leases; incarnation 0 means none.
    """

    limit: Name
    nonce: UInt63
    limit_rate: MilliUnits
    limit_burst: MilliUnits
    settle_ms: DurationMs = 0
    previous_granter: Member = 0
    previous_granter_incarnation: UInt63 = 0


class Pledge(Message, tag=7, frozen=True):
    """The owner will not spend this portion of its own part for `duration_ms` after the request `nonce`."""

    limit: Name
    nonce: UInt63
    rate: MilliUnits
    burst: MilliUnits
    duration_ms: DurationMs


class LeaseGrant(Message, tag=8, frozen=True):
    """The holder may spend this much for `duration_ms` after the request `nonce`."""

    limit: Name
    nonce: UInt63
    rate: MilliUnits
    burst: MilliUnits
    duration_ms: DurationMs


class HealthRecord(Message, tag=9, frozen=True):
    """One observer's statement about one storage node, see health_gossip.py.

    `incarnation` is the node's `started_ms` as the observer knows it, `timestamp` the observer's hybrid
    logical clock, `expires_ms` in milliseconds of the Unix epoch.  A `value` of 0 withdraws the statement.
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
    """What one datagram contains, its messages still encoded."""

    version: int
    group: Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
    sender: Member
    incarnation: UInt63
    seq: UInt63
    timestamp: UInt63
    messages: Annotated[list[msgspec.Raw], msgspec.Meta(max_length=MAX_MESSAGES)]


class ReceivedEnvelope(NamedTuple):
    """An accepted envelope and those of its messages that this version knows."""

    envelope: Envelope
    messages: list[AnyMessage]


_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
_MESSAGE_DECODER = msgspec.msgpack.Decoder(AnyMessage)
_ARRAY_DECODER = msgspec.msgpack.Decoder(list[msgspec.Raw])
_KNOWN_TAGS = frozenset(range(1, 10))


def encode(message: AnyMessage) -> bytes:
    """Encode one message, to be placed in an envelope."""
    return _ENCODER.encode(message)


class EnvelopeWriter:
    """Numbers and encodes the envelopes of one member."""

    def __init__(self, group: int, sender: int, incarnation: int) -> None:
        """Create the writer of a member's process; its envelopes are numbered from 1.

        :param group: hash of the fleet, see `core.group_hash`.
        :param sender: number of the member.
        """
        self._head = (group, sender, incarnation)
        self._seq = 0
        # Size of the longest head, with two bytes for the length of the list: messages get the rest.
        self.overhead = len(self._encode(1 << 40, 1 << 62, [])) + 2

    def _encode(self, seq: int, timestamp: int, messages: Sequence[bytes]) -> bytes:
        raw = [msgspec.Raw(message) for message in messages]
        return _ENCODER.encode(Envelope(VERSION, *self._head, seq, timestamp, raw))

    def write(self, timestamp: int, messages: Sequence[bytes]) -> bytes:
        """Encode the next envelope."""
        self._seq += 1
        return self._encode(self._seq, timestamp, messages)


class _ReplayWindow:
    """Anti-replay window (RFC 4303, appendix A2) of one sender's incarnation: newest number, bit mask."""

    __slots__ = ("_mask", "_newest", "incarnation")

    def __init__(self, incarnation: int) -> None:
        self.incarnation, self._newest, self._mask = incarnation, 0, 0

    def accept(self, seq: int) -> bool:
        """Record an envelope's number; `False` for a duplicate and for one older than the window."""
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
    """Decodes and checks envelopes of other members; `dropped` counts what was dropped by reason."""

    def __init__(self, group: int, me: int, members: int) -> None:
        """Create a reader that has seen no envelope.

        :param group: hash of the fleet, see `core.group_hash`.
        :param me: number of this member.
        :param members: size of the fleet.
        """
        self._group, self._me, self._members = group, me, members
        self._windows: dict[int, _ReplayWindow] = {}
        self.dropped: Counter[str] = Counter()

    def read(self, data: bytes, wall_ms: float = math.inf) -> ReceivedEnvelope | None:
        """Decode an envelope and its known messages.

        :param wall_ms: current time.  An incarnation more than `MAX_INCARNATION_AHEAD_MS` later is dropped:
            it would lock out the member's real incarnation for as long.
        :returns: `None` where the envelope is not acceptable.
        """
        try:
            envelope = self._decode(data)
            self._check_head(envelope, wall_ms)
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

    def _check_head(self, envelope: Envelope, wall_ms: float) -> None:
        if envelope.version != VERSION:
            raise EnvelopeError("version")
        if envelope.group != self._group:
            raise EnvelopeError("group")
        if envelope.sender >= self._members or envelope.sender == self._me:
            raise EnvelopeError("sender")
        if envelope.incarnation > wall_ms + MAX_INCARNATION_AHEAD_MS:
            raise EnvelopeError("ahead")

    def _decode_messages(self, envelope: Envelope) -> list[AnyMessage]:
        """Decode the messages whose tags are known, and count the others."""
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
        """Distinguish an envelope of another version, whose fields may differ, from a malformed one."""
        try:
            head = _ARRAY_DECODER.decode(data)
            same_version = not head or msgspec.msgpack.decode(head[0], type=int) == VERSION
        except _DECODE_ERRORS:
            return "malformed"
        return "malformed" if same_version else "version"

    @staticmethod
    def _has_known_tag(raw: msgspec.Raw) -> bool:
        """Whether a message that cannot be decoded has a known tag, or none that can be read."""
        try:
            return msgspec.msgpack.decode(_ARRAY_DECODER.decode(raw)[0], type=int) in _KNOWN_TAGS
        except (*_DECODE_ERRORS, IndexError):
            return True
