"""One gateway's member of the fleet: membership, leases and health gossip over one channel of datagrams.

`Fleet` is driven by the time, received datagrams and the gateway's requests, and answers by calls of its
`FleetListener`.  It reads no clock and no socket.  A datagram that exceeds the message rate budget is
dropped: everything that datagrams carry is retransmitted or requested again by its protocol.
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

# Empirical: minimum time between two anti-entropy batches to one member.  Shorter converges sooner and takes
# more of the message budget.
SYNC_INTERVAL_MS = 200.0
SYNC_RESERVE_BYTES = 20  # left in a datagram of a batch for the ping or ack that goes along
MIN_DATAGRAM_BYTES = 128  # an envelope with one message of average size
# Kinds for which a single observer suffices: an operator's command, and a restart that the node reported.
SINGLE_OBSERVER_KINDS = (HealthKind.EJECTED, HealthKind.WARMING_UP)


@dataclass(slots=True, frozen=True)
class FleetOptions:
    """Parameters of a fleet, equal at all members.

    :param lease_timing: `None` selects it by the number of members.
    :param max_datagram_bytes: size limit of a datagram.
    :param messages_a_second: rate limit of this member's datagrams; above it they are dropped.
    :param gossip_ms: interval of gossip rounds.
    :param fanout: members to which a gossip round is sent.
    :param gather_ms: messages to one member within this time share a datagram.
    :param quorum: distinct observers required before load is taken off a node.
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
        """Check the ranges.

        :raises FleetOptionError: where an option is out of range.
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
    """The gateway that a fleet member belongs to."""

    def send(self, member: int, data: bytes) -> None:
        """Send a datagram; it may be lost."""

    def quota_changed(self, limit: str, quota: Quota) -> None:
        """Enforce a new quota, before this call returns."""

    def health_changed(self, node: str, kind: HealthKind) -> None:
        """Evaluate the records of a node and kind, which have changed."""

    def member_changed(self, member: int, before: MemberState, after: MemberState) -> None:
        """Take notice of a member's new state."""


def group_hash(name: str, members: Sequence[str]) -> int:
    """Return the hash by which fleets with different configurations are distinguished."""
    return xxhash.xxh32_intdigest("\n".join([name, *members]).encode())


class _RateLimiter:
    """Token bucket of datagrams: a burst of up to one second's rate."""

    def __init__(self, rate_per_s: float, now_ms: float) -> None:
        self._rate_per_s = self._tokens = rate_per_s
        self._filled_ms = now_ms

    def try_acquire(self, now_ms: float) -> bool:
        """Take one token if there is one."""
        filled = self._tokens + self._rate_per_s * (now_ms - self._filled_ms) / 1000
        self._tokens = min(self._rate_per_s, filled)
        self._filled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Fleet:
    """One member of a fleet.

    Times are milliseconds of the gateway's clock, which continues the Unix epoch without steps.
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
        """Create a member that has not met the others; nothing is sent before the first tick.

        :param me: number of this member.
        :param members: names of all members; their order numbers them.
        :param seed: of the random choices of this member.
        :param name: of the fleet.
        :raises FleetOptionError: where `me` is not the number of a member.
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
        self.health = HealthGossip(self._broadcast_record, listener.health_changed)
        self.membership = Membership(
            me,
            len(members),
            self.incarnation,
            options.timing,
            self._random.getrandbits(32),
            send=self._enqueue,
            broadcast=self._broadcast_rumor,
            digest=lambda: self.health.digest,
            on_change=listener.member_changed,
        )
        self.leases = LeaseManager(
            me,
            len(members),
            self.lease_timing,
            now_ms,
            send=self._enqueue,
            alive=self.membership.alive,
            on_quota_change=listener.quota_changed,
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

    # ---- queries

    @property
    def connected(self) -> bool:
        """Whether a majority of the configured members is alive."""
        return 2 * len(self.membership.alive()) > len(self.names)

    def quota(self, limit: str, now_ms: float) -> Quota:
        """Return what this member may spend of a limit."""
        return self.leases.quota(limit, now_ms)

    def agreed_health(self, node: str, kind: HealthKind, now_ms: float) -> HealthSummary | None:
        """Return what a sufficient number of distinct observers states about a node."""
        quorum = 1 if kind in SINGLE_OBSERVER_KINDS else self.options.quorum
        return self.health.with_quorum(node, kind, quorum, now_ms)

    # ---- requests of the gateway

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

        :param incarnation: of the node.
        :param value: see `HealthKind`; 0 withdraws the statement.
        """
        self._now_ms = now_ms
        expires_ms = int(now_ms + lifetime_ms)
        timestamp = self.clock.now(now_ms)
        record = HealthRecord(node, int(kind), self.me, incarnation, timestamp, expires_ms, value)
        if self.health.publish(record, now_ms):
            self._gossip_is_due = True
        self._flush()

    # ---- received datagrams and time

    def receive(self, data: bytes, now_ms: float) -> None:
        """Handle a datagram; the reader counts the reasons of those that are dropped."""
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
        self._complete()

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
        """Send some records to a member whose digest differs; it does the same (anti-entropy, push-push)."""
        if self._now_ms - self._synced_ms.get(member, -SYNC_INTERVAL_MS) >= SYNC_INTERVAL_MS:
            self._synced_ms[member] = self._now_ms
            max_bytes = self.options.max_datagram_bytes - self._writer.overhead - SYNC_RESERVE_BYTES
            self._outgoing.setdefault(member, []).extend(self.health.sync_batch(max_bytes))

    def tick(self, now_ms: float) -> None:
        """Advance all protocols; to be called every 20 to 50 ms."""
        self._now_ms = now_ms
        self.membership.tick(now_ms)
        self.health.tick(now_ms)
        self.leases.tick(now_ms)
        if now_ms - self._gossiped_ms >= self.options.gossip_ms:
            self._start_gossip_round()
        self._complete()

    def stop(self, now_ms: float) -> None:
        """Shut down gracefully: give up all quotas and notify the other members."""
        self._now_ms = now_ms
        self.leases.stop(now_ms)
        self.membership.leave()
        self._start_gossip_round()
        self._complete()

    # ---- outgoing messages

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
        """Select the members that get a datagram; queued broadcasts are piggybacked on any datagram."""
        self._gossiped_ms = self._now_ms
        if not self.broadcasts:
            return
        others = [member for member in self.membership.alive() if member != self.me]
        for member in self._random.sample(others, min(self.options.fanout, len(others))):
            self._outgoing.setdefault(member, [])

    def _complete(self) -> None:
        """Give up all quotas if a newer process runs as this member, and send what is queued."""
        if self.membership.superseded and not self.leases.stopped:
            self.leases.stop(self._now_ms)
        self._flush()

    def _flush(self) -> None:
        """Deliver messages to this member itself, and send what is queued unless it is still gathered."""
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
        """Pack messages into as few datagrams as their order allows, and fill the last with broadcasts."""
        capacity = free = self.options.max_datagram_bytes - self._writer.overhead
        batch: list[bytes] = []
        for payload in payloads:
            if len(payload) > free and batch:
                self._send_datagram(member, batch)
                batch, free = [], capacity
            batch.append(payload)
            free -= len(payload)
        batch += self.broadcasts.take(free, codec.MAX_MESSAGES - len(batch))
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
