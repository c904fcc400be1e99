"""Promises on a virtual clock: seeded schedules of faults on the gateways' own code, and what must hold.

Each member runs `promises.Promises` and `promises.Writes` behind a clock of its own that is a little off,
over a disk that takes time, loses what is on its way when the process is killed, and may be wiped.  Clients
write with keys and repeat the same key through other gateways; what they were told, and what "ran" at a
storage node that remembers nothing, is all that is judged.
"""

from __future__ import annotations

import os
import random
from collections import Counter
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import xxhash

from shaletiller.lab.virtual_network import Link, VirtualClock
from shaletiller.replication.effects import OperationResult, PersistRecords, SendMessage
from shaletiller.replication.groups import ReplicaGroups
from shaletiller.replication.node import ReplicationNode
from shaletiller.replication.writes import ReplicatedWrites

EPOCH_MS = 1_764_000_000_000.0
TICK_MS = 5.0
TIMEOUT_MS, KEEP_MS = 900.0, 3_600_000.0
TROUBLE_MS, HEAL_MS, LAST_MS, END_MS = 1_500.0, 9_000.0, 12_500.0, 14_000.0
FAULTS = ("loss", "slow", "doubled", "cut", "one-way", "kill", "wipe", "pause", "slow disk", "full disk")


@dataclass(slots=True)
class Told:
    """One request of a client, and its one answer."""

    key: str
    number: int
    gateway: int
    at_ms: float
    what: str = ""  # served, failed, refused; "": none, its gateway died or was stopped
    body: bytes = b""
    told_ms: float = 0.0


class Gateway:
    """A member: its process may be down, or stopped with its mail waiting; its disk outlives it."""

    def __init__(self, world: World, number: int, off_ms: float) -> None:
        self.world, self.number, self._off_ms = world, number, off_ms
        self.disk: dict[tuple[int, bytes], bytes] = {}
        self.promises: Any = None
        self.writes: Any = None
        self.incarnations = 0
        self.stopped = False
        self.sync_ms = 1.0
        self.full = False
        self._mail: list[Callable[[], None]] = []
        self._waiting: list[PersistRecords] = []
        self._syncing = False
        self._told: dict[int, Told] = {}
        self._out: set[int] = set()
        self._number = 0

    def clock(self) -> float:
        return EPOCH_MS + self._off_ms + self.world.time.now_ms

    def start(self) -> None:
        self.incarnations += 1
        self.stopped, self._mail, self._told = False, [], {}
        self._waiting, self._syncing, self._out = [], False, set()
        kept = [(kind, key, value) for (kind, key), value in self.disk.items()]
        now_ms = self.clock()
        self.promises = self.world.make(self.number, self.world.groups, kept, now_ms)
        self.writes = ReplicatedWrites(self.promises, int(now_ms), KEEP_MS)
        self._tick(self.incarnations)

    def kill(self, wipe: bool) -> None:
        """What was on its way to the disk may be there or not; a wiped machine has nothing."""
        self.promises = None
        self.incarnations += 1
        if wipe:
            self.disk = {}

    def resume(self) -> None:
        self.stopped = False
        mail, self._mail = self._mail, []
        for call in mail:
            self._run(call)

    def _run(self, call: Callable[[], None]) -> None:
        if self.promises is None:
            return
        if self.stopped:
            if len(self._mail) < 4096:
                self._mail.append(call)
            return
        call()
        self._effects()

    def _tick(self, incarnation: int) -> None:
        if self.promises is None or incarnation != self.incarnations:
            return
        if not self.stopped:
            self.promises.tick(self.clock(), tuple(range(self.world.members)))
            self._effects()
        self.world.time.at(self.world.time.now_ms + TICK_MS, lambda: self._tick(incarnation))

    def receive(self, sender: int, message: Any) -> None:
        self._run(lambda: self.promises.receive(sender, message, self.clock()))

    def ask(self, told: Told) -> None:
        """A client's write.  One that meets a stopped or dead process waits for nothing: it has no answer."""
        if self.promises is None or self.stopped:
            return
        self._number += 1
        number = self._number
        self._told[number] = told
        now_ms = self.clock()
        mark = xxhash.xxh3_64_intdigest(told.key.encode())
        self.writes.begin(number, told.key, mark, now_ms + TIMEOUT_MS, now_ms)
        incarnation = self.incarnations
        self.world.time.at(self.world.time.now_ms + TIMEOUT_MS, lambda: self._guard(number, incarnation))
        self._effects()

    def _guard(self, number: int, incarnation: int) -> None:
        """The engine's own guard: by its deadline a request has its answer."""
        if incarnation != self.incarnations:
            return

        def call() -> None:
            told = self._told.get(number)
            if told is not None and not told.what:  # what never went out is refused
                what = "failed" if number in self._out else "refused"
                self._tell(number, what)
                self.writes.end(number, what, b"", self.clock())

        self._run(call)

    def _effects(self) -> None:
        promises, incarnation = self.promises, self.incarnations
        for effect in promises.take_effects():
            if isinstance(effect, SendMessage):
                self.world.carry(self.number, effect.recipient, effect.message)
            elif isinstance(effect, PersistRecords):
                self._keep(effect, incarnation)
            elif isinstance(effect, OperationResult):
                self.writes.operation_finished(effect, self.clock())
        for decision in self.writes.take_decisions():
            if decision.verdict == "forward":
                self._go(decision.number, incarnation)
            else:
                self._tell(decision.number, decision.verdict.value, decision.body)
        if promises.effects:
            self._effects()

    def _keep(self, keep: PersistRecords, incarnation: int) -> None:
        self._waiting.append(keep)
        if not self._syncing:
            self._sync(incarnation)

    def _sync(self, incarnation: int) -> None:
        """One sync for all that waits, as the store's keeper has it."""
        batch, self._waiting = self._waiting, []
        self._syncing = True
        wait_ms = self.sync_ms * self.world.random.uniform(0.2, 1.0)
        self.world.time.at(self.world.time.now_ms + wait_ms, lambda: self._synced(batch, incarnation))

    def _synced(self, batch: list[PersistRecords], incarnation: int) -> None:
        if incarnation != self.incarnations:
            return  # killed meanwhile: none of it lasts
        failed = self.full and any(keep.updates for keep in batch)
        for keep in batch:
            for kind, key, value in () if failed else keep.updates:
                if value is None:
                    self.disk.pop((kind, key), None)
                else:
                    self.disk[kind, key] = value
        self._syncing = False
        if self._waiting:
            self._sync(incarnation)
        for keep in batch:
            self._run(
                lambda keep=keep: (  # type: ignore[misc]
                    self.promises.persist_failed(keep.token)
                    if failed
                    else self.promises.persisted(keep.token, self.clock())
                )
            )

    def _go(self, number: int, incarnation: int) -> None:
        """To a storage node: it runs, and answers, is full, or its answer is lost."""
        told, draw = self._told[number], self.world.random
        if self.world.time.now_ms >= told.at_ms + TIMEOUT_MS or told.what:
            self.writes.end(number, "refused", b"", self.clock())
            return
        fate = draw.random()
        if fate < 0.05 and self.world.time.now_ms < HEAL_MS:  # full
            self._tell(number, "refused")
            self.writes.end(number, "refused", b"", self.clock())
            return
        self._out.add(number)
        body = f"{told.key} run {self.world.runs[told.key]}".encode()
        self.world.runs[told.key] += 1
        what = "failed" if fate < 0.1 else "served"

        def answered() -> None:
            if incarnation != self.incarnations or told.what:
                return
            if what == "failed":
                self._tell(number, "failed")
            self.writes.end(number, what, body, self.clock())

        self.world.time.at(self.world.time.now_ms + draw.uniform(2.0, 80.0), lambda: self._run(answered))

    def _tell(self, number: int, what: str, body: bytes = b"") -> None:
        told = self._told.get(number)
        if told is not None and not told.what:
            told.what, told.body, told.told_ms = what, body, self.world.time.now_ms


@dataclass
class World:
    """A fleet, its network and its clients.  `make` builds a member's code."""

    members: int
    seed: int
    make: Any = ReplicationNode
    zones: tuple[str, ...] = ()
    time: VirtualClock = field(default_factory=VirtualClock)
    runs: Counter[str] = field(default_factory=Counter)
    asked: list[Told] = field(default_factory=list)
    sent: int = 0

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.groups = ReplicaGroups(self.zones or ("",) * self.members)
        self.links = {(a, b): Link() for a in range(self.members) for b in range(self.members) if a != b}
        self.gateways = [Gateway(self, n, self.random.uniform(-200, 200)) for n in range(self.members)]

    def carry(self, sender: int, to: int, message: Any) -> None:
        self.sent += 1
        link = self.links[sender, to]
        if link.cut or (link.loss and self.random.random() < link.loss):
            return
        for _ in range(1 + (link.doubled > 0 and self.random.random() < link.doubled)):
            when_ms = self.time.now_ms + self.random.uniform(link.least_ms, link.most_ms)
            self.time.at(when_ms, lambda: None if link.cut else self.gateways[to].receive(sender, message))

    def clients(self, draw: random.Random, rate: float, end_ms: float) -> None:
        """Writes, some of them repeated at random times through random gateways, some at two at once."""
        at_ms, number = 600.0, 0
        while at_ms < end_ms:
            at_ms += draw.expovariate(rate) * 1000
            number += 1
            key = f"k{number}"
            times = [at_ms]
            while draw.random() < 0.6:
                times.append(at_ms + draw.choice([0.0, 5.0, 50.0, 950.0, 2_000.0, 6_000.0]))
            for when_ms in (each for each in times if each < LAST_MS - TIMEOUT_MS):
                told = Told(key, number, draw.randrange(self.members), when_ms)
                self.asked.append(told)
                self.time.at(when_ms, lambda told=told: self.gateways[told.gateway].ask(told))  # type: ignore[misc]
            # Long after all trouble each key is asked for once more.
            told = Told(key, number, draw.randrange(self.members), LAST_MS)
            self.asked.append(told)
            self.time.at(told.at_ms, lambda told=told: self.gateways[told.gateway].ask(told))  # type: ignore[misc]


@dataclass(slots=True)
class Seen:
    """What a schedule gave; `broken` names each guarantee that did not hold."""

    seed: int
    faults: list[str] = field(default_factory=list)
    writes: int = 0
    answers: dict[str, int] = field(default_factory=dict)
    promises_made: int = 0
    repeats_answered: int = 0
    refused_at_end: int = 0
    broken: list[str] = field(default_factory=list)


def trouble(world: World, draw: random.Random) -> list[str]:
    """Faults for the middle of a run, all over by HEAL_MS.  Of disks one is lost at most, and no machine
    while another disk is gone: more is promised for no schedule."""
    told, wiped = [], False
    for _ in range(draw.randint(1, 4)):
        kind = draw.choice(FAULTS)
        if kind == "wipe" and wiped:
            kind = "kill"
        wiped = wiped or kind == "wipe"
        at_ms = draw.uniform(TROUBLE_MS, HEAL_MS - 1_500.0)
        end_ms = min(HEAL_MS, at_ms + draw.uniform(100.0, 4_000.0))
        one = draw.randrange(world.members)
        side = set(draw.sample(range(world.members), draw.randint(1, world.members // 2)))
        whom = sorted(side) if kind in ("cut", "one-way") else one
        told.append(f"{kind} {whom} {at_ms:.0f}-{end_ms:.0f} ms")
        _strike(world, draw, kind, at_ms, end_ms, one, side)
    return told


def _strike(
    world: World,
    draw: random.Random,
    kind: str,
    at_ms: float,
    end_ms: float,
    one: int,
    side: set[int],
) -> None:
    gateway, part = world.gateways[one], draw.uniform(0.05, 0.4)

    def begin() -> None:
        if kind == "loss":
            for link in world.links.values():
                link.loss = part
        elif kind == "slow":
            for link in world.links.values():
                link.most_ms = 500.0 * part
        elif kind == "doubled":
            for link in world.links.values():
                link.doubled = part
        elif kind in ("cut", "one-way"):
            for (a, b), link in world.links.items():
                if (a in side) != (b in side) and (kind == "cut" or a in side):
                    link.cut = True
        elif kind in ("kill", "wipe"):
            gateway.kill(kind == "wipe")
        elif kind == "pause":
            gateway.stopped = True
        elif kind == "slow disk":
            gateway.sync_ms = 100.0
        else:
            gateway.full = True

    def end() -> None:
        if kind in ("loss", "slow", "doubled", "cut", "one-way"):
            for pair in world.links:
                world.links[pair] = Link()
        elif kind in ("kill", "wipe"):
            if gateway.promises is None:
                gateway.start()
        elif kind == "pause":
            if gateway.stopped:
                gateway.resume()
        else:
            gateway.sync_ms, gateway.full = 1.0, False

    world.time.at(at_ms, begin)
    world.time.at(end_ms, end)


def judge(world: World, seen: Seen) -> Seen:
    """What clients were told, and what ran."""
    by_key: dict[str, list[Told]] = {}
    for told in world.asked:
        by_key.setdefault(told.key, []).append(told)
        seen.answers[told.what or "none"] = seen.answers.get(told.what or "none", 0) + 1
    seen.writes = len(by_key)
    for key, asked in by_key.items():
        if world.runs[key] > 1:
            seen.broken.append(f"{key} ran {world.runs[key]} times")
        served = sorted((told for told in asked if told.what == "served"), key=lambda told: told.told_ms)
        if len({told.body for told in served}) > 1:
            seen.broken.append(f"{key} was answered in two ways: {sorted({told.body for told in served})}")
        if served:
            seen.promises_made += 1
            seen.repeats_answered += len(served) - 1
        for told in asked:
            if served and told.at_ms > served[0].told_ms and told.what == "failed":
                seen.broken.append(f"{key} was served, and a repeat {told.at_ms:.0f} ms failed")
        last = max(asked, key=lambda told: told.at_ms)
        if last.what == "refused":
            seen.refused_at_end += 1
        elif not last.what:
            seen.broken.append(f"{key}: no answer long after all trouble")
    return seen


def schedules(seeds: Iterable[int], gateways: int) -> list[Seen]:
    """The schedules of these seeds, on all cores; the order of what comes back is theirs."""
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        return list(pool.map(partial(play, members=gateways), seeds, chunksize=20))


def summary(found: list[Seen]) -> dict[str, Any]:
    """What the schedules gave together."""
    return {
        "schedules": len(found),
        "broken": sum(bool(each.broken) for each in found),
        "keys": sum(each.writes for each in found),
        "promises": sum(each.promises_made for each in found),
        "repeats_answered": sum(each.repeats_answered for each in found),
        "answers": dict(sum((Counter(each.answers) for each in found), Counter[str]())),
        "failures": [
            {"seed": each.seed, "faults": each.faults, "broken": each.broken[:5]}
            for each in found
            if each.broken
        ][:20],
    }


def play(seed: int, members: int = 5, make: Any = ReplicationNode, rate: float = 6.0) -> Seen:
    """One schedule."""
    draw = random.Random(f"promises {seed}")
    zones = draw.choice([(), tuple("ab"[n % 2] for n in range(members))])
    world = World(members, seed, make, zones)
    for gateway in world.gateways:
        world.time.at(draw.uniform(0, 100.0), gateway.start)
    world.clients(draw, rate, HEAL_MS)
    seen = Seen(seed, trouble(world, draw))
    world.time.run(END_MS)
    judge(world, seen)
    for gateway in world.gateways:
        if gateway.promises is None or not gateway.promises.fully_synced:
            seen.broken.append(f"gateway {gateway.number} is not filled long after all trouble")
    if seen.refused_at_end:
        seen.broken.append(f"{seen.refused_at_end} writes refused long after all trouble")
    return seen
