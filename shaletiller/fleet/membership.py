"""Group membership by SWIM, with suspicion, refutation and local health awareness.

Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol",
DSN 2002; Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
Detection", 2018.

The configuration, equal at all members, numbers them; the protocol finds out which of them are alive.  In
each protocol period a member pings one other.  Without an ack in time it requests `indirect_probes` others to
ping on its behalf.  If none of them succeeds by the end of the period the target is suspected; unless it
refutes that in time it is declared dead.

A dead member is still pinged at intervals, so that two halves that have declared each other dead after a
partition merge again.

Statements about a member are ordered by its incarnation, then by its number of refutations, then by state; a
newer incarnation starts alive.  Guarantees and their assumptions: docs/fleet.md.
"""

from __future__ import annotations

import bisect
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from shaletiller.fleet.codec import Ack, AnyMessage, MembershipMessage, Ping, PingReq, Rumor
from shaletiller.fleet.errors import FleetOptionError


class MemberState(IntEnum):
    """Believed state of a member; within one incarnation and refutation the greater overrides the lesser."""

    UNKNOWN = 0  # configured; nothing has been received from it yet
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3

    @property
    def is_present(self) -> bool:
        """Whether a member in this state takes part in the fleet: suspicion alone does not exclude it."""
        return MemberState.ALIVE <= self <= MemberState.SUSPECT


@dataclass(slots=True, frozen=True)
class MembershipTiming:
    """Timing of the failure detector.

    A member that stops is declared dead within about `suspect_ms` and two periods of the first ping that it
    does not answer.  The defaults are empirical: shorter times detect a crash sooner and suspect members on
    slow or lossy links more often.

    :param period_ms: protocol period: one probe is sent in each.
    :param ack_ms: wait for an ack before indirect probes are sent.
    :param suspect_ms: time in which a suspected member can refute.
    :param indirect_probes: members that probe on this one's behalf.
    :param rejoin_ms: interval of pings to a dead or unknown member.
    """

    period_ms: float = 200.0
    ack_ms: float = 80.0
    suspect_ms: float = 1_500.0
    indirect_probes: int = 3
    rejoin_ms: float = 2_000.0

    def __post_init__(self) -> None:
        """Check the times against each other.

        :raises FleetOptionError: where they contradict.
        """
        if not 0 < self.ack_ms < self.period_ms:
            raise FleetOptionError("ack_ms", "wants a time above 0 and under period_ms")
        if not self.period_ms <= self.suspect_ms:
            raise FleetOptionError("suspect_ms", "wants at least period_ms")


@dataclass(slots=True)
class MemberRecord:
    """What this member believes of another."""

    state: MemberState = MemberState.UNKNOWN
    incarnation: int = 0
    refutations: int = 0
    suspicion_ends_ms: float = math.inf  # a suspect is declared dead then
    last_received_ms: float = -math.inf
    last_notified_ms: float = -math.inf  # when it was last notified that it is suspected or declared dead

    @property
    def rank(self) -> tuple[int, int, int]:
        """Order of statements about a member."""
        return self.incarnation, self.refutations, self.state


@dataclass(slots=True)
class _Probe:
    target: int
    nonce: int
    started_ms: float
    is_indirect: bool = False
    is_acked: bool = False


class _RelayedProbe(NamedTuple):
    """A probe on behalf of another member, and the nonce under which that one waits for the ack."""

    requester: int
    requester_nonce: int
    started_ms: float


def _ignore_change(member: int, before: MemberState, after: MemberState) -> None:
    """Ignore a change: the default listener."""


class Membership:
    """One member's view of the fleet."""

    def __init__(
        self,
        me: int,
        members: int,
        incarnation: int,
        timing: MembershipTiming,
        seed: int,
        send: Callable[[int, AnyMessage], None],
        broadcast: Callable[[Rumor], None],
        digest: Callable[[], int] = lambda: 0,
        on_change: Callable[[int, MemberState, MemberState], None] = _ignore_change,
    ) -> None:
        """Create the view of a member that has not met the others.

        :param me: number of this member.
        :param members: size of the fleet.
        :param incarnation: start of this process, in milliseconds of the Unix epoch.
        :param send: sends a message to a member.
        :param broadcast: disseminates a rumor to all members by gossip.
        :param digest: returns the digest of the health records, which pings and acks carry.
        :param on_change: notified of each state change of a member, with the state before and after.
        """
        self.me, self.incarnation, self.refutations = me, incarnation, 0
        self.timing = timing
        self.peers = {number: MemberRecord() for number in range(members) if number != me}
        self._random = random.Random(seed)
        self._send, self._broadcast, self._digest, self._on_change = send, broadcast, digest, on_change
        self._present = [me]  # in ascending order
        self._alive: tuple[int, ...] | None = None
        self._suspects: set[int] = set()
        self._probe_order: list[int] = []
        self._probe: _Probe | None = None
        self._relayed: dict[int, _RelayedProbe] = {}  # by the nonce of the own ping
        self._last_nonce = 0
        self._next_period_ms = -math.inf
        self._next_rejoin_ms = -math.inf
        self._ticked_ms: float | None = None
        self.has_left = False
        self.superseded = False  # another process runs as this member and started later

    # ---- queries

    def alive(self) -> tuple[int, ...]:
        """Return the members present, this one and suspected ones included, in ascending order.

        The same object is returned until the membership changes.
        """
        if self._alive is None:
            self._alive = tuple(self._present)
        return self._alive

    def is_alive(self, member: int) -> bool:
        """Whether a member is present: suspicion alone does not exclude it."""
        return member == self.me or self.peers[member].state.is_present

    def incarnation_of(self, member: int) -> int:
        """Return the latest known incarnation of a member, 0 where none is known."""
        return self.incarnation if member == self.me else self.peers[member].incarnation

    # ---- time

    def tick(self, now_ms: float) -> None:
        """Run the failure detector; to be called at least a few times each period."""
        previous_ms, self._ticked_ms = self._ticked_ms, now_ms
        if previous_ms is not None and now_ms - previous_ms > self.timing.period_ms:
            self._resume_after_pause(now_ms)
        self._check_probe(now_ms)
        if now_ms >= self._next_period_ms:
            if self._probe is not None and not self._probe.is_acked:
                self._suspect(self._probe, now_ms)
            self._next_period_ms = now_ms + self.timing.period_ms
            self._start_period(now_ms)
        self._declare_dead(now_ms)
        self._expire_relayed(now_ms)

    def _resume_after_pause(self, now_ms: float) -> None:
        """Restart pending suspicions and discard the probe in flight.

        The process was paused, and acks that arrived meanwhile are still unread; without this a member that
        wakes up declares all others dead.
        """
        self._probe = None
        for member in self._suspects:
            self.peers[member].suspicion_ends_ms = now_ms + self.timing.suspect_ms

    def _check_probe(self, now_ms: float) -> None:
        probe = self._probe
        if probe is None or probe.is_acked or probe.is_indirect:
            return
        if now_ms - probe.started_ms >= self.timing.ack_ms:
            self._probe_indirectly(probe)

    def _declare_dead(self, now_ms: float) -> None:
        for member in sorted(self._suspects):
            peer = self.peers[member]
            if now_ms >= peer.suspicion_ends_ms:
                self._set_state(member, MemberState.DEAD, peer.incarnation, peer.refutations, now_ms)

    def _expire_relayed(self, now_ms: float) -> None:
        if self._relayed:
            self._relayed = {
                nonce: probe
                for nonce, probe in self._relayed.items()
                if now_ms - probe.started_ms < self.timing.period_ms
            }

    def _start_period(self, now_ms: float) -> None:
        self._probe = None
        self._ping_absent(now_ms)
        target = self._next_target()
        if target is not None:
            self._probe = _Probe(target, self._ping(target), now_ms)

    def _ping_absent(self, now_ms: float) -> None:
        if now_ms < self._next_rejoin_ms:
            return
        self._next_rejoin_ms = now_ms + self.timing.rejoin_ms
        absent = [member for member in self.peers if not self.is_alive(member)]
        if absent:
            self._ping(self._random.choice(absent))

    def _next_target(self) -> int | None:
        """Choose the member to probe: round-robin over a random order, drawn anew each time round."""
        while self._probe_order and not self.is_alive(self._probe_order[-1]):
            self._probe_order.pop()
        if not self._probe_order:
            self._probe_order = [member for member in self.peers if self.is_alive(member)]
            self._random.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    def _ping(self, target: int) -> int:
        self._last_nonce += 1
        self._send(target, Ping(self._last_nonce, self._digest()))
        return self._last_nonce

    def _probe_indirectly(self, probe: _Probe) -> None:
        probe.is_indirect = True
        others = [member for member in self.peers if member != probe.target and self.is_alive(member)]
        for other in self._random.sample(others, min(self.timing.indirect_probes, len(others))):
            self._send(other, PingReq(probe.nonce, probe.target))

    # ---- messages

    def record_contact(self, member: int, incarnation: int, now_ms: float) -> None:
        """Record that an envelope of a member's incarnation was received.

        A member that is suspected or declared dead may not know it: it is notified, so that it refutes.
        Notifications are limited to one in `ack_ms`; two members that suspect each other would otherwise
        answer each other without end.
        """
        peer = self.peers[member]
        peer.last_received_ms = now_ms
        if incarnation > peer.incarnation:
            self._set_state(member, MemberState.ALIVE, incarnation, 0, now_ms)
            return
        is_doubted = peer.state >= MemberState.SUSPECT and incarnation == peer.incarnation
        if is_doubted and now_ms - peer.last_notified_ms >= self.timing.ack_ms:
            peer.last_notified_ms = now_ms
            self._send(member, Rumor(member, peer.state, peer.incarnation, peer.refutations))

    def receive(self, sender: int, message: MembershipMessage, now_ms: float) -> None:
        """Handle one message of a member."""
        if isinstance(message, Ping):
            self._send(sender, Ack(message.nonce, self.me, self._digest()))
        elif isinstance(message, Ack):
            self._on_ack(sender, message)
        elif isinstance(message, PingReq):
            if message.target in self.peers and message.target != sender:
                nonce = self._ping(message.target)
                self._relayed[nonce] = _RelayedProbe(sender, message.nonce, now_ms)
        else:
            self._on_rumor(sender, message, now_ms)

    def _on_ack(self, sender: int, ack: Ack) -> None:
        relayed = self._relayed.pop(ack.nonce, None)
        if relayed is not None:
            self._send(relayed.requester, Ack(relayed.requester_nonce, sender, ack.digest))
        probe = self._probe
        if probe is not None and ack.nonce == probe.nonce and ack.target == probe.target:
            probe.is_acked = True

    def _on_rumor(self, sender: int, rumor: Rumor, now_ms: float) -> None:
        if rumor.member == self.me:
            self._on_rumor_about_self(sender, rumor)
            return
        peer = self.peers.get(rumor.member)
        state = MemberState(rumor.state)
        if peer is None or state is MemberState.UNKNOWN:
            return
        if (rumor.incarnation, rumor.refutations, state) > peer.rank:
            self._set_state(rumor.member, state, rumor.incarnation, rumor.refutations, now_ms)

    def _on_rumor_about_self(self, sender: int, rumor: Rumor) -> None:
        """Refute a suspicion; a refuted one is refuted again, as the last refutation may have been lost."""
        self.superseded = self.superseded or rumor.incarnation > self.incarnation
        is_doubted = rumor.state >= MemberState.SUSPECT and rumor.incarnation == self.incarnation
        if is_doubted and not self.has_left:
            self.refutations = max(self.refutations, rumor.refutations + 1)
            refutation = Rumor(self.me, MemberState.ALIVE, self.incarnation, self.refutations)
            self._broadcast(refutation)
            self._send(sender, refutation)

    # ---- state changes

    def _suspect(self, probe: _Probe, now_ms: float) -> None:
        """Suspect the target of a failed probe, unless anything was received from it since the probe."""
        peer = self.peers[probe.target]
        if peer.state is MemberState.ALIVE and peer.last_received_ms < probe.started_ms:
            self._set_state(probe.target, MemberState.SUSPECT, peer.incarnation, peer.refutations, now_ms)

    def _set_state(
        self, member: int, state: MemberState, incarnation: int, refutations: int, now_ms: float
    ) -> None:
        peer = self.peers[member]
        before, is_restarted = peer.state, incarnation > peer.incarnation
        peer.state, peer.incarnation, peer.refutations = state, incarnation, refutations
        self._update_present(member, before, state)
        if state is MemberState.SUSPECT:
            self._suspects.add(member)
            peer.suspicion_ends_ms = now_ms + self.timing.suspect_ms
        else:
            self._suspects.discard(member)
            peer.suspicion_ends_ms = math.inf
        self._broadcast(Rumor(member, state, incarnation, refutations))
        if before is not state or is_restarted:
            self._on_change(member, before, state)

    def _update_present(self, member: int, before: MemberState, after: MemberState) -> None:
        if before.is_present == after.is_present:
            return
        self._alive = None
        if after.is_present:
            bisect.insort(self._present, member)
        else:
            self._present.remove(member)

    def leave(self) -> None:
        """Announce a graceful shutdown, so that the others need not detect it."""
        self.has_left = True
        self._broadcast(Rumor(self.me, MemberState.DEAD, self.incarnation, self.refutations))
