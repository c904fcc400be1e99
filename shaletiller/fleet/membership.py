"""Group membership by SWIM, with suspicion, refutation and local health awareness.

See Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol", DSN 2002; and Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate
Failure Detection", 2018.

All members have the same configuration, which lists and numbers them; the protocol detects which of them are
alive.  In each protocol period a member pings one other member.  If no ack arrives in time, it asks
`indirect_probes` other members to ping the target on its behalf.  If no ack has arrived at the end of the
period, the target is suspected; unless it refutes the suspicion in time, it is declared dead.

Dead members are still pinged at intervals, so that the two sides of a partition that have declared each other
dead merge after the partition has healed.

Statements about a member are ordered by its incarnation, then by its number of refutations, then by its
state.  A newer incarnation starts as alive.  docs/fleet.md lists the guarantees and their assumptions.
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
    """State of a member in the view of another.

    Among statements with the same incarnation and number of refutations, the greater state takes precedence.
    """

    UNKNOWN = 0  # configured, but nothing has been received from it yet
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3

    @property
    def is_present(self) -> bool:
        """Whether a member in this state takes part in the fleet; a suspected member still does."""
        return MemberState.ALIVE <= self <= MemberState.SUSPECT


@dataclass(slots=True, frozen=True)
class MembershipTiming:
    """Timing of the failure detector.

    A member that stops is declared dead within about `suspect_ms` plus two periods after the first ping that
    it does not answer.  Shorter times detect a crash sooner; longer times suspect fewer members on slow or
    lossy links.

    :param period_ms: protocol period; one member is probed in each period.
    :param ack_ms: time to wait for an ack before indirect probes are requested.
    :param suspect_ms: time in which a suspected member can refute the suspicion.
    :param indirect_probes: number of members that are asked to probe on this member's behalf.
    :param rejoin_ms: interval between pings to dead or unknown members.
    """

    period_ms: float = 200.0
    ack_ms: float = 80.0
    suspect_ms: float = 1_500.0
    indirect_probes: int = 3
    rejoin_ms: float = 2_000.0

    def __post_init__(self) -> None:
        """Validate the times.

        :raises FleetOptionError: if a time is out of range or contradicts another one.
        """
        if not 0 < self.ack_ms < self.period_ms:
            raise FleetOptionError("ack_ms", "wants a time above 0 and under period_ms")
        if not self.period_ms <= self.suspect_ms:
            raise FleetOptionError("suspect_ms", "wants at least period_ms")


@dataclass(slots=True)
class MemberRecord:
    """What this member knows about another member."""

    state: MemberState = MemberState.UNKNOWN
    incarnation: int = 0
    refutations: int = 0
    suspicion_ends_ms: float = math.inf  # time at which a suspected member is declared dead
    last_received_ms: float = -math.inf
    last_notified_ms: float = -math.inf  # last notification that it is suspected or declared dead

    @property
    def rank(self) -> tuple[int, int, int]:
        """Sort key that orders the statements about a member."""
        return self.incarnation, self.refutations, self.state


@dataclass(slots=True)
class _Probe:
    target: int
    nonce: int
    started_ms: float
    is_indirect: bool = False
    is_acked: bool = False


class _RelayedProbe(NamedTuple):
    """A probe on behalf of another member, with the nonce that the requester expects in the ack."""

    requester: int
    requester_nonce: int
    started_ms: float


def _ignore_change(member: int, before: MemberState, after: MemberState) -> None:
    """Ignore a state change; the default of `on_change`."""


class Membership:
    """One member's view of the membership of the fleet."""

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
        """Create a view in which the states of all other members are unknown.

        :param me: number of this member.
        :param members: number of members of the fleet.
        :param incarnation: start time of this process, in milliseconds since the Unix epoch.
        :param timing: timing of the failure detector.
        :param seed: seed of the random choices.
        :param send: sends a message to a member.
        :param broadcast: disseminates a rumor to all members by gossip.
        :param digest: returns the digest of the health records, which pings and acks contain.
        :param on_change: called at each state change of a member with its number, its old and its new state.
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
        self._relayed: dict[int, _RelayedProbe] = {}  # by the nonce of this member's ping
        self._last_nonce = 0
        self._next_period_ms = -math.inf
        self._next_rejoin_ms = -math.inf
        self._ticked_ms: float | None = None
        self.has_left = False
        self.superseded = False  # whether a process that started later runs as this member

    def alive(self) -> tuple[int, ...]:
        """Return the numbers of the members that are present, in ascending order.

        They include this member and suspected members.  The same object is returned until the membership
        changes.
        """
        if self._alive is None:
            self._alive = tuple(self._present)
        return self._alive

    def is_alive(self, member: int) -> bool:
        """Return whether a member is present; a suspected member still is."""
        return member == self.me or self.peers[member].state.is_present

    def incarnation_of(self, member: int) -> int:
        """Return the latest known incarnation of a member, or 0 if none is known."""
        return self.incarnation if member == self.me else self.peers[member].incarnation

    def tick(self, now_ms: float) -> None:
        """Run the failure detector; must be called several times in each period."""
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
        """Restart the timeouts of pending suspicions, and discard the probe in flight.

        Acks that arrived while the process was paused have not been read yet.  Without this method, a member
        that resumes would declare all other members dead.
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
        """Return the next member to probe: round-robin, in a new random order in each round."""
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

    def record_contact(self, member: int, incarnation: int, now_ms: float) -> None:
        """Record that an envelope from an incarnation of a member was received.

        A member that is suspected or declared dead may not know that, so it is notified and can refute the
        suspicion.  At most one notification is sent in `ack_ms`: otherwise two members that suspect each
        other would notify each other endlessly.
        """
        peer = self.peers[member]
        peer.last_received_ms = now_ms
        if incarnation > peer.incarnation:
            self._set_state(member, MemberState.ALIVE, incarnation, 0, now_ms)
            return
        is_suspect_or_dead = peer.state >= MemberState.SUSPECT and incarnation == peer.incarnation
        if is_suspect_or_dead and now_ms - peer.last_notified_ms >= self.timing.ack_ms:
            peer.last_notified_ms = now_ms
            self._send(member, Rumor(member, peer.state, peer.incarnation, peer.refutations))

    def receive(self, sender: int, message: MembershipMessage, now_ms: float) -> None:
        """Handle one message from a member."""
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
        """Refute a suspicion of this member, again if needed: an earlier refutation may have been lost."""
        self.superseded = self.superseded or rumor.incarnation > self.incarnation
        is_suspect_or_dead = rumor.state >= MemberState.SUSPECT and rumor.incarnation == self.incarnation
        if is_suspect_or_dead and not self.has_left:
            self.refutations = max(self.refutations, rumor.refutations + 1)
            refutation = Rumor(self.me, MemberState.ALIVE, self.incarnation, self.refutations)
            self._broadcast(refutation)
            self._send(sender, refutation)

    def _suspect(self, probe: _Probe, now_ms: float) -> None:
        """Suspect the target of a failed probe, unless an envelope was received from it since the probe."""
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
        """Announce a graceful shutdown, so that the other members need not detect it."""
        self.has_left = True
        self._broadcast(Rumor(self.me, MemberState.DEAD, self.incarnation, self.refutations))
