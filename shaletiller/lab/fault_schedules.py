"""Seeded schedules of faults for fleets in virtual time, and what each run of one is checked for."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from shaletiller.fleet.codec import HealthRecord
from shaletiller.fleet.core import FleetOptions
from shaletiller.fleet.health_gossip import HealthKind, RecordKey, key_of
from shaletiller.fleet.leases import LeaseTiming
from shaletiller.fleet.membership import MembershipTiming
from shaletiller.fleet.quotas import Allowance
from shaletiller.lab.virtual_network import Limit, World, overshoot, use

TROUBLE_MS, HEAL_MS, END_MS = 5_000.0, 15_000.0, 22_000.0
FAULTS = ("loss", "slow", "doubled", "cut", "one-way", "split", "kill", "pause", "granter")


@dataclass(slots=True)
class Seen:
    """What a run gave; `broken` names each guarantee that did not hold."""

    seed: int
    faults: list[str] = field(default_factory=list)
    over: dict[str, float] = field(default_factory=dict)
    use_before: float = 0.0
    use_cut: float = 0.0
    use_healed: float = 0.0
    lost_words: int = 0
    messages_a_second: float = 0.0
    broken: list[str] = field(default_factory=list)


def trouble(world: World, draw: random.Random, limit: Limit, most: int = 4) -> list[str]:
    """Draw faults for the middle of a run; all of them are over by HEAL_MS."""
    told = []
    count = world.members
    for _ in range(draw.randint(1, most)):
        kind = draw.choice(FAULTS)
        at_ms = draw.uniform(TROUBLE_MS, HEAL_MS - 3_000.0)
        end_ms = min(HEAL_MS, at_ms + draw.uniform(200.0, 7_000.0))
        side = set(draw.sample(range(count), draw.randint(1, max(1, count // 2))))
        one = draw.randrange(count)
        told.append(
            f"{kind} {sorted(side) if kind in ('cut', 'one-way', 'split') else one} "
            f"{at_ms:.0f}-{end_ms:.0f} ms"
        )
        if kind in ("loss", "slow", "doubled"):
            part = draw.uniform(0.05, 0.4)

            def worsen(kind: str = kind, part: float = part) -> None:
                for link in world.each_link():
                    if kind == "loss":
                        link.loss = part
                    elif kind == "slow":  # and so out of order
                        link.most_ms = 1_500.0 * part
                    else:
                        link.doubled = part

            world.time.at(at_ms, worsen)
        elif kind in ("cut", "one-way", "split"):
            world.time.at(at_ms, lambda side=side, kind=kind: world.cut(side, kind == "one-way"))  # type: ignore[misc]
        else:

            def who(one: int = one, kind: str = kind) -> int:
                known = world.gateways[one].fleet
                return known.leases.granter_of(limit.name) if kind == "granter" and known is not None else one

            struck: list[int] = []

            pause = kind == "pause" or (kind == "granter" and draw.random() < 0.5)

            def strike(who=who, pause=pause, struck=struck) -> None:  # type: ignore[no-untyped-def]
                struck.append(who())
                gateway = world.gateways[struck[0]]
                if pause:
                    gateway.stop()
                else:
                    gateway.kill()

            def mend(struck=struck) -> None:  # type: ignore[no-untyped-def]
                gateway = world.gateways[struck[0]]
                if gateway.fleet is None:
                    gateway.start()
                else:
                    gateway.resume()

            world.time.at(at_ms, strike)
            world.time.at(end_ms, mend)
    world.time.at(HEAL_MS, world.heal)
    return told


def drawn_options(draw: random.Random) -> FleetOptions:
    """Timings as an operator might set them: the guarantees must not rest on one choice."""
    period_ms = draw.choice([100.0, 200.0, 400.0])
    timing = MembershipTiming(
        period_ms, period_ms * 0.4, max(period_ms, draw.choice([200.0, 600.0, 1_500.0]))
    )
    return FleetOptions(
        timing, LeaseTiming(draw.choice([1_000.0, 2_000.0, 3_000.0]), draw.choice([300.0, 500.0]))
    )


def _loads(world: World, draw: random.Random, limit: Limit, cold: Limit) -> int:
    """One gateway asks for more than the limit all the time; the others do so in surges."""
    lead = draw.randrange(world.members)
    world.load(lead, limit, 1.6 * limit.of.rate, 700.0, END_MS, world.members)
    for number in range(world.members):
        if number != lead:
            begin_ms = draw.uniform(700.0, HEAL_MS)
            while begin_ms < HEAL_MS:
                end_ms = min(HEAL_MS, begin_ms + draw.uniform(300.0, 3_000.0))
                rate = draw.uniform(0.1, 1.6) * limit.of.rate
                world.load(number, limit, rate, begin_ms, end_ms, world.members)
                begin_ms = end_ms + draw.uniform(300.0, 6_000.0)
        at_ms = draw.uniform(700.0, HEAL_MS)
        world.load(number, cold, draw.uniform(5.0, 30.0), at_ms, at_ms + 4_000.0, world.members)
    return lead


def _words(world: World, draw: random.Random, said: list[HealthRecord]) -> None:
    """Operators take nodes out and let them in, and gateways say what they see of nodes that start anew."""

    def say(by: int, node: str, kind: HealthKind, incarnation: int, value: int) -> None:
        gateway = world.gateways[by]
        if gateway.fleet is None or gateway.stopped:
            return
        before = set(gateway.fleet.health)
        gateway.fleet.publish_health(node, kind, incarnation, value, 600_000.0, gateway.clock())
        said.extend(set(gateway.fleet.health) - before)

    for _ in range(draw.randint(4, 16)):
        kind = draw.choice(
            [
                HealthKind.EJECTED,
                HealthKind.EJECTED,
                HealthKind.UNREACHABLE,
                HealthKind.SLOW,
                HealthKind.WARMING_UP,
            ]
        )
        node = f"s-{draw.randint(1, 3)}"
        args = draw.randrange(world.members), node, kind, draw.randint(1, 3), draw.randint(0, 1)
        world.time.at(draw.uniform(700.0, HEAL_MS), lambda args=args: say(*args))  # type: ignore[misc]


def _standing(said: list[HealthRecord]) -> set[HealthRecord]:
    """What must stand of all that was said: for each register the newest word, of the node's newest life."""
    incarnations = {
        word.node: max(
            (w.incarnation for w in said if w.node == word.node and w.kind != HealthKind.EJECTED), default=0
        )
        for word in said
    }
    newest: dict[RecordKey, HealthRecord] = {}
    for word in said:
        if word.kind != HealthKind.EJECTED and word.incarnation < incarnations[word.node]:
            continue
        before = newest.get(key_of(word))
        if before is None or (word.timestamp, word.observer) > (before.timestamp, before.observer):
            newest[key_of(word)] = word
    return set(newest.values())


def play(seed: int, members: int = 5, world: World | None = None, most: int = 4) -> Seen:
    """One schedule: a strict limit asked of through several gateways in turn, a cold node's budget through
    all, words on storage nodes; faults in the midst, and everything healed at the end."""
    draw = random.Random(f"schedule {seed}")
    options = drawn_options(draw)
    world = world or World(members, seed)
    world.options = options
    limit = Limit("v:strict", Allowance(100.0, 60.0))
    cold = Limit("c:node:1", Allowance(0.0, 40.0), settle_ms=1_500.0)
    for gateway in world.gateways:
        world.time.at(draw.uniform(0, 500.0), gateway.start)
    lead = _loads(world, draw, limit, cold)
    seen = Seen(seed, trouble(world, draw, limit, most))
    said: list[HealthRecord] = []
    _words(world, draw, said)
    world.time.run(END_MS)
    for each in (limit, cold):
        seen.over[each.name] = overshoot(world.spends, each, world.drift)
        if seen.over[each.name] > 0:
            seen.broken.append(f"limit {each.name} passed by {seen.over[each.name]:.3f} units")
    if world.excess.get(limit.name):
        over = world.excess[limit.name]
        seen.broken.append(f"shares of {limit.name} add up to {over:.3f} more than the limit")
    assert options.lease_timing is not None
    term_ms = options.lease_timing.term_ms
    seen.use_before = use(world.spends, limit, 1_000.0 + term_ms, TROUBLE_MS)
    seen.use_cut = use(world.spends, limit, TROUBLE_MS, HEAL_MS)
    seen.use_healed = use(world.spends, limit, HEAL_MS + 2 * term_ms, END_MS)
    if seen.use_healed < 0.5:  # of a second or so; the mean over schedules is what is aimed at
        seen.broken.append(f"use of the limit {seen.use_healed:.2f} after healing, led by {lead}")
    must = _standing(said)
    for gateway in world.gateways:
        assert gateway.fleet is not None
        there = len(gateway.fleet.membership.alive())
        if there < members:
            seen.broken.append(f"gateway {gateway.number} sees {there} of {members} after healing")
        words = set(gateway.fleet.health)
        # A word that its own gateway alone had heard when it was killed is lost with it.
        if not words <= set(said) or _standing(list(words)) != words:
            seen.broken.append(f"gateway {gateway.number} holds words that nobody said, or older ones")
        seen.lost_words = len(must - words)
    if len({frozenset(gateway.fleet.health) for gateway in world.gateways if gateway.fleet}) > 1:
        seen.broken.append("verdicts differ after healing")
    seen.messages_a_second = world.sent / members / (END_MS / 1000)
    return seen
