"""One gateway's part in the fleet: membership, leases and verdicts over one wire of datagrams.

`Fleet` is told the time, what came and what the gateway asks; it answers by calls of its `Outlet`.  It reads
no clock and no socket.  A datagram that does not fit the budget of messages a second is not sent: all that it
carries is said again, or asked for again, by design.
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
from shaletiller.fleet.codec import Ack, Call, Grant, HealthRecord, Known, Ping, Pledge, Rumor, Want
from shaletiller.fleet.health_gossip import HealthGossip, Kind, Opinion, key_of
from shaletiller.fleet.hlc import HybridClock
from shaletiller.fleet.leases import Leases, Terms
from shaletiller.fleet.membership import Membership, State, Timing
from shaletiller.fleet.quotas import NOTHING, Amount, Quota

SYNC_MS = 200.0  # between two answers to one member whose verdicts differ


@dataclass(slots=True, frozen=True)
class Options:
    """What a fleet is run with; all members the same."""

    timing: Timing = field(default_factory=Timing)
    terms: Terms | None = None  # None: by the number of members
    most_bytes: int = codec.MOST_BYTES  # of a datagram
    messages_a_second: float = 100.0  # of this member, beyond which nothing is sent
    gossip_ms: float = 100.0
    fanout: int = 3
    gather_ms: float = 0.0  # what goes to one member within so long goes in one datagram
    quorum: int = 2  # distinct observers that a verdict needs to take work from a node

    def __post_init__(self) -> None:
        if self.most_bytes < 128:
            raise ValueError(f"most_bytes: wants at least 128, got {self.most_bytes}")
        if not self.messages_a_second > 0:
            raise ValueError(f"messages_a_second: wants a number above 0, got {self.messages_a_second}")
        if not self.gossip_ms > 0:
            raise ValueError(f"gossip_ms: wants a time above 0, got {self.gossip_ms}")
        if self.fanout < 1 or self.quorum < 1:
            raise ValueError("fanout, quorum: want at least 1")


class Outlet(Protocol):
    """What a fleet's part asks of the gateway round it."""

    def send(self, member: int, data: bytes) -> None:
        """Send a datagram; it may be lost."""

    def share(self, limit: str, share: Quota) -> None:
        """From now on this is what may be spent of a limit; obeyed before this returns."""

    def verdict(self, node: str, kind: Kind) -> None:
        """What is said of a node has changed."""

    def member(self, member: int, before: State, after: State) -> None:
        """A member has come, is suspected, or has gone."""


def group_of(name: str, members: Sequence[str]) -> int:
    """The hash by which fleets that are configured otherwise tell each other apart."""
    return xxhash.xxh32_intdigest("\n".join([name, *members]).encode())


class Fleet:
    """One member.  Times are milliseconds of its own clock, which carries on the Unix epoch without steps."""

    def __init__(
        self,
        me: int,
        members: Sequence[str],
        now_ms: float,
        options: Options,
        outlet: Outlet,
        seed: int = 0,
        name: str = "",
    ) -> None:
        if not 0 <= me < len(members):
            raise ValueError(f"me: wants one of the {len(members)} members, got {me}")
        self.me, self.names, self.options = me, tuple(members), options
        self.incarnation = int(now_ms)
        self.terms = options.terms or Terms.for_members(len(members))
        self._outlet = outlet
        self._random = random.Random(f"{seed} {me}")
        group = group_of(name, members)
        self.clock = HybridClock()
        self._writer = codec.Writer(group, me, self.incarnation)
        self.reader = codec.Reader(group, me, len(members))
        self.broadcasts = BroadcastQueue(len(members))
        self.membership = Membership(
            me,
            len(members),
            self.incarnation,
            options.timing,
            self._random.getrandbits(32),
            self._say,
            self._rumor,
            outlet.member,
        )
        self.verdicts = HealthGossip(self._word, outlet.verdict)
        self.membership.digest = lambda: self.verdicts.digest
        self.leases = Leases(
            me,
            self.incarnation,
            len(members),
            self.terms,
            now_ms,
            self._say,
            self.membership.alive,
            outlet.share,
            lambda: self.connected,
        )
        self._out: dict[int, list[bytes]] = {}
        self._own: deque[Known] = deque()
        self._synced: dict[int, float] = {}
        self._gossip_ms = self._sent_ms = now_ms
        self._urgent = False
        self._tokens, self._tokens_ms = options.messages_a_second, now_ms
        self.counts: Counter[str] = Counter()
        self._now = now_ms

    # ---- what is known

    @property
    def connected(self) -> bool:
        """Whether most of the configured members are there."""
        return 2 * len(self.membership.alive()) > len(self.names)

    def share(self, limit: str, now_ms: float) -> Quota:
        return self.leases.share(limit, now_ms)

    def agreed(self, node: str, kind: Kind, now_ms: float) -> Opinion | None:
        """What enough distinct observers say of a node; one word is enough for a ban or for a node's new
        life."""
        alone = kind in (Kind.BAN, Kind.COLD)
        return self.verdicts.agreed(node, kind, 1 if alone else self.options.quorum, now_ms)

    # ---- what the gateway asks

    def asked(
        self,
        limit: str,
        of: Amount,
        units: float,
        most: float,
        now_ms: float,
        settle_ms: float = 0.0,
        even: Amount = NOTHING,
    ) -> None:
        """A request wants to spend of a limit, see Leases.asked."""
        self._now = now_ms
        self.leases.asked(limit, of, units, most, now_ms, settle_ms, even)
        self._flush()

    def observe(
        self, node: str, kind: Kind, incarnation: int, value: int, for_ms: float, now_ms: float
    ) -> None:
        """This gateway's own word of a node; 0 withdraws what it said before."""
        self._now = now_ms
        until = int(now_ms + for_ms)
        word = HealthRecord(node, int(kind), self.me, incarnation, self.clock.now(now_ms), until, value)
        if self.verdicts.say(word, now_ms):
            self._urgent = True
        self._flush()

    # ---- what comes

    def receive(self, data: bytes, now_ms: float) -> None:
        """A datagram; what is wrong with one that is dropped is counted by the reader."""
        self._now = now_ms
        found = self.reader.read(data, now_ms)
        if found is None:
            return
        envelope, parts = found
        if not self.clock.heard(envelope.stamp, now_ms):
            self.reader.dropped["ahead"] += 1
            return
        self.counts["received"] += 1
        sender = envelope.sender
        self.membership.heard(sender, envelope.incarnation, now_ms)
        for part in parts:
            self._take(sender, envelope.incarnation, part)
        self._settle()

    def _take(self, sender: int, incarnation: int, part: Known) -> None:
        now_ms = self._now
        if isinstance(part, Want | Call | Pledge | Grant):
            self.leases.take(sender, incarnation, part, now_ms)
        elif isinstance(part, HealthRecord):
            if part.observer >= len(self.names) or not self.clock.heard(part.stamp, now_ms):
                self.reader.dropped["ahead"] += 1
            else:
                self.verdicts.take(part, now_ms)
        else:
            if isinstance(part, Rumor) and part.member >= len(self.names):
                self.reader.dropped["sender"] += 1
                return
            self.membership.take(sender, part, now_ms)
            if isinstance(part, Ping | Ack) and part.digest != self.verdicts.digest:
                self._sync(sender)

    def _sync(self, member: int) -> None:
        """Verdicts differ: some of these go over, and the other side does the same."""
        if self._now - self._synced.get(member, -SYNC_MS) >= SYNC_MS:
            self._synced[member] = self._now
            room = self.options.most_bytes - self._writer.overhead - 20
            self._out.setdefault(member, []).extend(self.verdicts.some(room))

    def tick(self, now_ms: float) -> None:
        """To be called every 20 to 50 ms."""
        self._now = now_ms
        self.membership.tick(now_ms)
        self.verdicts.tick(now_ms)
        self.leases.tick(now_ms)
        if now_ms - self._gossip_ms >= self.options.gossip_ms:
            self._gossip()
        self._settle()

    def stop(self, now_ms: float) -> None:
        """A planned stop: what it holds is given up, and the others are told."""
        self._now = now_ms
        self.leases.stop(now_ms)
        self.membership.leave()
        self._gossip()
        self._settle()

    # ---- what goes out

    def _say(self, member: int, part: Known) -> None:
        if member == self.me:
            self._own.append(part)
        else:
            self._out.setdefault(member, []).append(codec.pack(part))

    def _rumor(self, part: Rumor) -> None:
        self.broadcasts.add(("member", part.member), codec.pack(part))

    def _word(self, word: HealthRecord) -> None:
        self.broadcasts.add(key_of(word), codec.pack(word))

    def _gossip(self) -> None:
        self._gossip_ms = self._now
        if not self.broadcasts:
            return
        others = [n for n in self.membership.alive() if n != self.me]
        for member in self._random.sample(others, min(self.options.fanout, len(others))):
            self._out.setdefault(member, [])  # what there is to tell goes along with any datagram

    def _settle(self) -> None:
        """What a member says to itself, what has become of it meanwhile, and what is to be sent."""
        if self.membership.superseded and not self.leases.stopped:
            self.leases.stop(self._now)
        self._flush()

    def _flush(self) -> None:
        while self._own:
            part = self._own.popleft()  # as granter to itself as owner or holder, or back
            if isinstance(part, Want | Call | Pledge | Grant):
                self.leases.take(self.me, self.incarnation, part, self._now)
        if self._urgent:
            self._urgent = False
            self._gossip()
        if self._now - self._sent_ms < self.options.gather_ms:
            return
        self._sent_ms = self._now
        out, self._out = self._out, {}
        for member, parts in out.items():
            self._send(member, parts)

    def _send(self, member: int, parts: list[bytes]) -> None:
        room = whole = self.options.most_bytes - self._writer.overhead
        load: list[bytes] = []
        for raw in parts:
            if len(raw) > room and load:
                self._datagram(member, load)
                load, room = [], whole
            load.append(raw)
            room -= len(raw)
        more = self.broadcasts.take(room, codec.MOST_PARTS - len(load))
        if load or more:
            self._datagram(member, load + more)

    def _datagram(self, member: int, parts: Sequence[bytes]) -> None:
        rate = self.options.messages_a_second
        self._tokens = min(rate, self._tokens + rate * (self._now - self._tokens_ms) / 1000)
        self._tokens_ms = self._now
        if self._tokens < 1:
            self.counts["held_back"] += 1
            return
        self._tokens -= 1
        data = self._writer.write(self.clock.now(self._now), parts)
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data)
        self._outlet.send(member, data)
