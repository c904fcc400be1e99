"""Who is in the fleet now: SWIM, with suspicion, refutation, and allowance for a member's own pauses.

Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol",
DSN 2002; Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
Detection", 2018.

Members are numbered by the configuration, which all share; what is found out is which of them are there.
Each period a member pings one other.  If no answer comes in time it asks `indirect` others to ping on its
behalf.  If none of them succeeds by the end of the period, the other is suspected; if it does not refute that
in time, it is removed.

A removed member is still pinged now and then, so that two halves that have removed each other meet again.

What is said of a member is ordered by its life, then by how often it has refuted, then by state; a newer life
is always alive at first.  What it rests on, and when it fails: docs/fleet.md.
"""

from __future__ import annotations

import bisect
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from shaletiller.fleet.codec import Ack, Known, Ping, PingReq, Rumor


class State(IntEnum):
    """What is believed of a member; of one life and refutation the greater outranks the lesser."""

    UNHEARD = 0  # configured; nothing has come from it yet
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3


@dataclass(slots=True, frozen=True)
class Timing:
    """Milliseconds.  A member that stops for good is removed within about `suspect_ms` and two periods of the
    first ping that it does not answer."""

    period_ms: float = 200.0
    ack_ms: float = 80.0  # then others are asked
    suspect_ms: float = 1_500.0
    indirect: int = 3
    again_ms: float = 2_000.0  # a removed or unheard member is pinged so often

    def __post_init__(self) -> None:
        if not 0 < self.ack_ms < self.period_ms:
            raise ValueError("ack_ms: wants a time above 0 and under period_ms")
        if not self.period_ms <= self.suspect_ms:
            raise ValueError("suspect_ms: wants at least period_ms")


@dataclass(slots=True)
class Peer:
    """What this member believes of another."""

    state: State = State.UNHEARD
    incarnation: int = 0
    refuted: int = 0
    until_ms: float = math.inf  # a suspect is removed then
    heard_ms: float = -math.inf
    told_ms: float = -math.inf  # when it was last told that it is doubted

    @property
    def rank(self) -> tuple[int, int, int]:
        return self.incarnation, self.refuted, self.state


@dataclass(slots=True)
class _Probe:
    target: int
    nonce: int
    began_ms: float
    asked: bool = False
    answered: bool = False


class Membership:
    """One member's view.  `say` sends a part to a member, `spread` gives one to all in time, `moved` is told
    of each member whose state has changed."""

    def __init__(
        self,
        me: int,
        members: int,
        incarnation: int,
        timing: Timing,
        seed: int,
        say: Callable[[int, Known], None],
        spread: Callable[[Rumor], None],
        moved: Callable[[int, State, State], None] = lambda member, before, after: None,
    ) -> None:
        self.me, self.incarnation, self.refuted = me, incarnation, 0
        self.timing = timing
        self.peers = {number: Peer() for number in range(members) if number != me}
        self.digest: Callable[[], int] = lambda: 0
        self._random = random.Random(seed)
        self._say, self._spread, self._moved = say, spread, moved
        self._there = [me]  # in order
        self._alive: tuple[int, ...] | None = None
        self._suspects: set[int] = set()
        self._line: list[int] = []
        self._probe: _Probe | None = None
        self._relayed: dict[int, tuple[int, int, float]] = {}  # own nonce: whom to tell, its nonce, since
        self._nonce = 0
        self._next_ms = -math.inf
        self._again_ms = -math.inf
        self._ticked_ms: float | None = None
        self.left = False
        self.superseded = False  # another process has this member's name, and began later

    # ---- what is known

    def alive(self) -> tuple[int, ...]:
        """The members that are there, this one too, suspected ones too; the same object until it changes."""
        if self._alive is None:
            self._alive = tuple(self._there)
        return self._alive

    def is_alive(self, member: int) -> bool:
        """Whether a member is taken to be there: suspicion alone takes nothing from it."""
        return member == self.me or State.ALIVE <= self.peers[member].state <= State.SUSPECT

    def incarnation_of(self, member: int) -> int:
        """The member's life as it is known here, 0 where it is not."""
        return self.incarnation if member == self.me else self.peers[member].incarnation

    def heard_since(self, member: int, since_ms: float) -> bool:
        """Whether anything has come from a member itself since then."""
        return member == self.me or self.peers[member].heard_ms >= since_ms

    # ---- time

    def tick(self, now_ms: float) -> None:
        """To be called a few times a period at least."""
        before, self._ticked_ms = self._ticked_ms, now_ms
        if before is not None and now_ms - before > self.timing.period_ms:
            self._woke(now_ms)
        probe = self._probe
        waits = probe is not None and not probe.answered and not probe.asked
        if probe is not None and waits and now_ms - probe.began_ms >= self.timing.ack_ms:
            self._ask_others(probe)
        if now_ms >= self._next_ms:
            if probe is not None and not probe.answered:
                self._suspect(probe, now_ms)
            self._next_ms = now_ms + self.timing.period_ms
            self._begin(now_ms)
        for member in sorted(self._suspects):
            peer = self.peers[member]
            if now_ms >= peer.until_ms:
                self._become(member, State.DEAD, peer.incarnation, peer.refuted, now_ms)
        if self._relayed:
            self._relayed = {
                nonce: held
                for nonce, held in self._relayed.items()
                if now_ms - held[2] < self.timing.period_ms
            }

    def _woke(self, now_ms: float) -> None:
        """This process stood still, and answers that came meanwhile are yet to be read: what is due for
        removal gets its time again, and the probe that is out proves nothing."""
        self._probe = None
        for member in self._suspects:
            self.peers[member].until_ms = now_ms + self.timing.suspect_ms

    def _begin(self, now_ms: float) -> None:
        self._probe = None
        if now_ms >= self._again_ms:
            self._again_ms = now_ms + self.timing.again_ms
            gone = [n for n in self.peers if not self.is_alive(n)]
            if gone:
                self._ping(self._random.choice(gone))
        while self._line and not self.is_alive(self._line[-1]):
            self._line.pop()
        if not self._line:  # a new order each time round, so that each is pinged once in it
            self._line = [n for n in self.peers if self.is_alive(n)]
            self._random.shuffle(self._line)
        if self._line:
            target = self._line.pop()
            self._probe = _Probe(target, self._ping(target), now_ms)

    def _ping(self, target: int) -> int:
        self._nonce += 1
        self._say(target, Ping(self._nonce, self.digest()))
        return self._nonce

    def _ask_others(self, probe: _Probe) -> None:
        probe.asked = True
        others = [n for n in self.peers if n != probe.target and self.is_alive(n)]
        for other in self._random.sample(others, min(self.timing.indirect, len(others))):
            self._say(other, PingReq(probe.nonce, probe.target))

    # ---- messages

    def heard(self, member: int, incarnation: int, now_ms: float) -> None:
        """Something has come from a member itself, of this life."""
        peer = self.peers[member]
        peer.heard_ms = now_ms
        if incarnation > peer.incarnation:
            self._become(member, State.ALIVE, incarnation, 0, now_ms)
            return
        doubted = peer.state >= State.SUSPECT and incarnation == peer.incarnation
        # It may not know that it is doubted, or removed: told so, it refutes.  Two that doubt each other must
        # not answer each other without end.
        if doubted and now_ms - peer.told_ms >= self.timing.ack_ms:
            peer.told_ms = now_ms
            self._say(member, Rumor(member, peer.state, peer.incarnation, peer.refuted))

    def take(self, sender: int, part: Ping | Ack | PingReq | Rumor, now_ms: float) -> None:
        """One part of a message of the sender."""
        if isinstance(part, Ping):
            self._say(sender, Ack(part.nonce, self.me, self.digest()))
        elif isinstance(part, Ack):
            self._on_ack(sender, part, now_ms)
        elif isinstance(part, PingReq):
            if part.target in self.peers and part.target != sender:
                self._relayed[self._ping(part.target)] = (sender, part.nonce, now_ms)
        else:
            self._on_rumor(sender, part, now_ms)

    def _on_ack(self, sender: int, part: Ack, now_ms: float) -> None:
        if part.nonce in self._relayed:
            whom, nonce, _ = self._relayed.pop(part.nonce)
            self._say(whom, Ack(nonce, sender, part.digest))
        probe = self._probe
        if probe is not None and part.nonce == probe.nonce and part.target == probe.target:
            probe.answered = True

    def _on_rumor(self, sender: int, part: Rumor, now_ms: float) -> None:
        if part.member == self.me:
            self.superseded = self.superseded or part.incarnation > self.incarnation
            if part.state >= State.SUSPECT and part.incarnation == self.incarnation and not self.left:
                # Refuted before, it is said again: the last time may have gone into a link that was cut.
                self.refuted = max(self.refuted, part.refuted + 1)
                mine = Rumor(self.me, State.ALIVE, self.incarnation, self.refuted)
                self._spread(mine)
                self._say(sender, mine)
            return
        peer = self.peers.get(part.member)
        state = State(part.state)
        if peer is None or state is State.UNHEARD:
            return
        if (part.incarnation, part.refuted, state) > peer.rank:
            self._become(part.member, state, part.incarnation, part.refuted, now_ms)

    # ---- changes

    def _suspect(self, probe: _Probe, now_ms: float) -> None:
        """What came from it meanwhile shows that it is there, though this probe or its answer was lost."""
        peer = self.peers[probe.target]
        if peer.state is State.ALIVE and peer.heard_ms < probe.began_ms:
            self._become(probe.target, State.SUSPECT, peer.incarnation, peer.refuted, now_ms)

    def _become(self, member: int, state: State, incarnation: int, refuted: int, now_ms: float) -> None:
        peer = self.peers[member]
        before = peer.state
        reborn = incarnation > peer.incarnation
        peer.state, peer.incarnation, peer.refuted = state, incarnation, refuted
        if self.is_alive(member) != (State.ALIVE <= before <= State.SUSPECT):
            self._alive = None
            if self.is_alive(member):
                bisect.insort(self._there, member)
            else:
                self._there.remove(member)
        (self._suspects.add if state is State.SUSPECT else self._suspects.discard)(member)
        peer.until_ms = now_ms + self.timing.suspect_ms if state is State.SUSPECT else math.inf
        self._spread(Rumor(member, state, incarnation, refuted))
        if before is not state or reborn:
            self._moved(member, before, state)

    def leave(self) -> None:
        """A planned stop: the others need not find out."""
        self.left = True
        self._spread(Rumor(self.me, State.DEAD, self.incarnation, self.refuted))
