"""One gateway's member of the fleet: membership, leases and health gossip over one datagram transport.

`Fleet` is driven by the time, by received datagrams and by calls of the gateway, and calls its
`FleetListener`.  It reads no clock and no socket.  Datagrams above the message rate limit are dropped; each
protocol retransmits its messages or requests them again.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

import xxhash

from shaletiller.fleet import codec
from shaletiller.fleet.broadcast_queue import BroadcastQueue
from shaletiller.fleet.codec import Ack, AnyMessage, HealthRecord, LeaseMessage, Ping, Rumor
from shaletiller.fleet.errors import FleetOptionError
from shaletiller.fleet.health_gossip import HealthGossip, HealthKind, HealthSummary, key_of
from shaletiller.fleet.hlc import HybridClock
from shaletiller.fleet.leases import LeaseManager, LeaseTiming
from shaletiller.fleet.membership import Membership, MembershipTiming, MemberState
from shaletiller.fleet.quotas import NO_ALLOWANCE, Allowance, Quota

# Minimum time between two anti-entropy batches to one member.  A smaller value converges sooner; a larger
# value takes less of the message rate limit.
SYNC_INTERVAL_MS = 200.0
SYNC_RESERVE_BYTES = 20  # space that an anti-entropy batch leaves for a ping or ack in the same datagram
MIN_DATAGRAM_BYTES = 128  # space for an envelope with one message of average size
# Kinds that need only one observer: an operator's command, and a restart that the node itself reported.
SINGLE_OBSERVER_KINDS = (HealthKind.EJECTED, HealthKind.WARMING_UP)


@dataclass(slots=True, frozen=True)
class FleetOptions:
    """Options of a fleet, which must be equal at all members.

    :param timing: timing of the failure detector.
    :param lease_timing: durations of leases and pledges; `None` selects them by the number of members.
    :param max_datagram_bytes: maximum size of a datagram.
    :param messages_a_second: maximum rate of the datagrams sent by this member; those above it are dropped.
    :param gossip_ms: interval between gossip rounds.
    :param fanout: number of members that receive a datagram in each gossip round.
    :param gather_ms: time during which messages to one member are collected into one datagram.
    :param quorum: number of distinct observers required before load is moved away from a node.
    """

    timing: MembershipTiming = field(default_factory=MembershipTiming)
    lease_timing: LeaseTiming | None = None
    max_datagram_bytes: int = codec.MAX_DATAGRAM_BYTES
    messages_a_second: float = 100.0
    gossip_ms: float = 100.0
    fanout: int = 3
    gather_ms: float = 0.0
    quorum: int = 2

    def __post_init__(self) -> None:
        """Validate the options.

        :raises FleetOptionError: if an option is out of range.
        """
        if self.max_datagram_bytes < MIN_DATAGRAM_BYTES:
            requirement = f"wants at least {MIN_DATAGRAM_BYTES}, got {self.max_datagram_bytes}"
            raise FleetOptionError("max_datagram_bytes", requirement)
        if not self.messages_a_second > 0:
            raise FleetOptionError(
                "messages_a_second", f"wants a number above 0, got {self.messages_a_second}"
            )
        if not self.gossip_ms > 0:
            raise FleetOptionError("gossip_ms", f"wants a time above 0, got {self.gossip_ms}")
        if self.fanout < 1 or self.quorum < 1:
            raise FleetOptionError("fanout, quorum", "want at least 1")


class FleetListener(Protocol):
    """Callbacks of a `Fleet`, implemented by the gateway that it belongs to."""

    def send(self, member: int, data: bytes) -> None:
        """Send a datagram to a member; it may be lost."""

    def on_quota_changed(self, limit: str, quota: Quota) -> None:
        """Apply a new quota before this call returns."""

    def on_health_changed(self, node: str, kind: HealthKind) -> None:
        """Evaluate the records of one kind about a node after they have changed."""

    def on_member_changed(self, member: int, before: MemberState, after: MemberState) -> None:
        """Handle a state change of a member."""


def group_hash(name: str, members: Sequence[str]) -> int:
    """Return a hash that distinguishes fleets with different names or members."""
    return xxhash.xxh32_intdigest("\n".join([name, *members]).encode())


class _RateLimiter:
    """Token bucket for datagrams; its capacity is the rate of one second."""

    def __init__(self, rate_per_s: float, now_ms: float) -> None:
        self._rate_per_s = self._tokens = rate_per_s
        self._filled_ms = now_ms

    def try_acquire(self, now_ms: float) -> bool:
        """Take one token; return whether one was available."""
        filled = self._tokens + self._rate_per_s * (now_ms - self._filled_ms) / 1000
        self._tokens = min(self._rate_per_s, filled)
        self._filled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Fleet:
    """One member of a fleet.

    Times are in milliseconds of the gateway's clock, which counts from the Unix epoch and never steps.
    """

    def __init__(
        self,
        me: int,
        members: Sequence[str],
        now_ms: float,
        options: FleetOptions,
        listener: FleetListener,
        seed: int = 0,
        name: str = "",
    ) -> None:
        """Create a member that knows nothing of the other members; it sends nothing before the first tick.

        :param me: number of this member, which is its index in `members`.
        :param members: names of all members.
        :param now_ms: current time; it becomes this member's incarnation.
        :param options: options of the fleet.
        :param listener: receives datagrams to send, quotas and state changes.
        :param seed: seed of this member's random choices.
        :param name: name of the fleet.
        :raises FleetOptionError: if `me` is not the number of a member.
        """
        if not 0 <= me < len(members):
            raise FleetOptionError("me", f"wants one of the {len(members)} members, got {me}")
        self.me, self.names, self.options = me, tuple(members), options
        self.incarnation = int(now_ms)
        self.lease_timing = options.lease_timing or LeaseTiming.for_members(len(members))
        self._listener = listener
        self._random = random.Random(f"{seed} {me}")
        group = group_hash(name, members)
        self.clock = HybridClock()
        self._writer = codec.EnvelopeWriter(group, me, self.incarnation)
        self.reader = codec.EnvelopeReader(group, me, len(members))
        self.broadcasts = BroadcastQueue(len(members))
        self.health = HealthGossip(self._broadcast_record, listener.on_health_changed)
        self.membership = Membership(
            me,
            len(members),
            self.incarnation,
            options.timing,
            self._random.getrandbits(32),
            send=self._enqueue,
            broadcast=self._broadcast_rumor,
            digest=lambda: self.health.digest,
            on_change=listener.on_member_changed,
        )
        self.leases = LeaseManager(
            me,
            len(members),
            self.lease_timing,
            now_ms,
            send=self._enqueue,
            alive=self.membership.alive,
            on_quota_change=listener.on_quota_changed,
            is_connected=lambda: self.connected,
        )
        self._outgoing: dict[int, list[bytes]] = {}
        self._loopback: deque[AnyMessage] = deque()
        self._synced_ms: dict[int, float] = {}
        self._gossiped_ms = self._flushed_ms = now_ms
        self._gossip_is_due = False
        self._rate_limiter = _RateLimiter(options.messages_a_second, now_ms)
        self.counts: Counter[str] = Counter()
        self._now_ms = now_ms

    @property
    def connected(self) -> bool:
        """Whether a majority of the configured members is alive, in this member's view."""
        return 2 * len(self.membership.alive()) > len(self.names)

    def quota(self, limit: str, now_ms: float) -> Quota:
        """Return this member's quota of a limit."""
        return self.leases.quota(limit, now_ms)

    def agreed_health(self, node: str, kind: HealthKind, now_ms: float) -> HealthSummary | None:
        """Return the summary of the records about a node, or `None` if they have no quorum of observers."""
        quorum = 1 if kind in SINGLE_OBSERVER_KINDS else self.options.quorum
        return self.health.quorum_summary(node, kind, quorum, now_ms)

    def record_demand(
        self,
        limit: str,
        allowance: Allowance,
        units: float,
        max_request_units: float,
        now_ms: float,
        settle_ms: float = 0.0,
        partitioned_allowance: Allowance = NO_ALLOWANCE,
    ) -> None:
        """Record that a request is about to spend units of a limit, see `LeaseManager.record_demand`."""
        self._now_ms = now_ms
        self.leases.record_demand(
            limit, allowance, units, max_request_units, now_ms, settle_ms, partitioned_allowance
        )
        self._flush()

    def publish_health(
        self, node: str, kind: HealthKind, incarnation: int, value: int, lifetime_ms: float, now_ms: float
    ) -> None:
        """Publish this gateway's statement about a node.

        :param node: name of the node.
        :param kind: kind of the statement.
        :param incarnation: incarnation of the node.
        :param value: value of the statement, see `HealthKind`; 0 withdraws it.
        :param lifetime_ms: time after which the statement expires.
        """
        self._now_ms = now_ms
        expires_ms = int(now_ms + lifetime_ms)
        timestamp = self.clock.now(now_ms)
        record = HealthRecord(node, int(kind), self.me, incarnation, timestamp, expires_ms, value)
        if self.health.publish(record, now_ms):
            self._gossip_is_due = True
        self._flush()

    def receive(self, data: bytes, now_ms: float) -> None:
        """Handle a received datagram; if it is dropped, the reader counts the reason."""
        self._now_ms = now_ms
        received = self.reader.read(data, now_ms)
        if received is None:
            return
        envelope = received.envelope
        if not self.clock.receive(envelope.timestamp, now_ms):
            self.reader.dropped["ahead"] += 1
            return
        self.counts["received"] += 1
        self.membership.record_contact(envelope.sender, envelope.incarnation, now_ms)
        for message in received.messages:
            self._dispatch(envelope.sender, envelope.incarnation, message)
        self._finish_step()

    def _dispatch(self, sender: int, incarnation: int, message: AnyMessage) -> None:
        if isinstance(message, LeaseMessage):
            self.leases.receive(sender, incarnation, message, self._now_ms)
        elif isinstance(message, HealthRecord):
            self._receive_record(message)
        elif isinstance(message, Rumor) and message.member >= len(self.names):
            self.reader.dropped["sender"] += 1
        else:
            self.membership.receive(sender, message, self._now_ms)
            if isinstance(message, Ping | Ack) and message.digest != self.health.digest:
                self._send_sync_batch(sender)

    def _receive_record(self, record: HealthRecord) -> None:
        is_known_observer = record.observer < len(self.names)
        if is_known_observer and self.clock.receive(record.timestamp, self._now_ms):
            self.health.merge(record, self._now_ms)
        else:
            self.reader.dropped["ahead"] += 1

    def _send_sync_batch(self, member: int) -> None:
        """Send a batch of records to a member with a different digest.

        The other member does the same (push-push anti-entropy).
        """
        if self._now_ms - self._synced_ms.get(member, -SYNC_INTERVAL_MS) >= SYNC_INTERVAL_MS:
            self._synced_ms[member] = self._now_ms
            max_bytes = self.options.max_datagram_bytes - self._writer.overhead - SYNC_RESERVE_BYTES
            self._outgoing.setdefault(member, []).extend(self.health.sync_batch(max_bytes))

    def tick(self, now_ms: float) -> None:
        """Advance all protocols; must be called every 20 to 50 ms."""
        self._now_ms = now_ms
        self.membership.tick(now_ms)
        self.health.tick(now_ms)
        self.leases.tick(now_ms)
        if now_ms - self._gossiped_ms >= self.options.gossip_ms:
            self._start_gossip_round()
        self._finish_step()

    def stop(self, now_ms: float) -> None:
        """Shut down gracefully: set all quotas to zero and notify the other members."""
        self._now_ms = now_ms
        self.leases.stop(now_ms)
        self.membership.leave()
        self._start_gossip_round()
        self._finish_step()

    def _enqueue(self, member: int, message: AnyMessage) -> None:
        if member == self.me:
            self._loopback.append(message)
        else:
            self._outgoing.setdefault(member, []).append(codec.encode(message))

    def _broadcast_rumor(self, rumor: Rumor) -> None:
        self.broadcasts.add(("member", rumor.member), codec.encode(rumor))

    def _broadcast_record(self, record: HealthRecord) -> None:
        self.broadcasts.add(key_of(record), codec.encode(record))

    def _start_gossip_round(self) -> None:
        """Select random members to receive a datagram; `_send_payloads` adds the queued broadcasts to it."""
        self._gossiped_ms = self._now_ms
        if not self.broadcasts:
            return
        others = [member for member in self.membership.alive() if member != self.me]
        for member in self._random.sample(others, min(self.options.fanout, len(others))):
            self._outgoing.setdefault(member, [])

    def _finish_step(self) -> None:
        """Set all quotas to zero if a newer process runs as this member, then send queued messages."""
        if self.membership.superseded and not self.leases.stopped:
            self.leases.stop(self._now_ms)
        self._flush()

    def _flush(self) -> None:
        """Deliver queued messages to this member itself; send the others if `gather_ms` has elapsed."""
        while self._loopback:
            message = self._loopback.popleft()
            if isinstance(message, LeaseMessage):
                self.leases.receive(self.me, self.incarnation, message, self._now_ms)
        if self._gossip_is_due:
            self._gossip_is_due = False
            self._start_gossip_round()
        if self._now_ms - self._flushed_ms < self.options.gather_ms:
            return
        self._flushed_ms = self._now_ms
        outgoing, self._outgoing = self._outgoing, {}
        for member, payloads in outgoing.items():
            self._send_payloads(member, payloads)

    def _send_payloads(self, member: int, payloads: list[bytes]) -> None:
        """Pack messages in order into as few datagrams as possible, and fill the last one with broadcasts."""
        capacity = free = self.options.max_datagram_bytes - self._writer.overhead
        batch: list[bytes] = []
        for payload in payloads:
            if len(payload) > free and batch:
                self._send_datagram(member, batch)
                batch, free = [], capacity
            batch.append(payload)
            free -= len(payload)
        batch += self.broadcasts.next_batch(free, codec.MAX_MESSAGES - len(batch))
        if batch:
            self._send_datagram(member, batch)

    def _send_datagram(self, member: int, payloads: Sequence[bytes]) -> None:
        if not self._rate_limiter.try_acquire(self._now_ms):
            self.counts["held_back"] += 1
            return
        data = self._writer.write(self.clock.now(self._now_ms), payloads)
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data)
        self._listener.send(member, data)
