"""Tests of the order across processes, in a simulation of processes, their links and their ends."""

from __future__ import annotations

import heapq
import itertools
from collections import defaultdict
from collections.abc import Callable
from random import Random
from typing import Any

import pytest

from shaletiller.ordering.coordinator import OWNER, Coordinator, Role
from shaletiller.ordering.effects import Effect, GrantTurn, ReadOwnInput, RefuseTurn, SendMessage, WakeAt
from shaletiller.ordering.messages import (
    Ask,
    Farewell,
    Grant,
    Hello,
    InputRead,
    ReadInput,
    Refuse,
    Release,
    TurnState,
    Welcome,
    decode,
    encode,
)
from shaletiller.ordering.owner import OWN_PROCESS, Owner
from shaletiller.ordering.turn_table import TurnTable

QUIET_MS = 200.0
KEEP_MS = 3000.0
NS_PER_MS = 1_000_000
SEEDS = range(60)


class Run:
    """What the simulated storage nodes see of one request."""

    def __init__(self, name: str, key: str, process: int, arrived_ms: float, start_ms: float) -> None:
        self.name, self.key, self.process = name, key, process
        self.arrived_ms, self.start_ms = arrived_ms, start_ms
        self.end_ms = float("inf")


class Process:
    """A process that reads its requests late, asks for turns, and runs granted requests one at a time."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number = world, number
        self.coordinator = Coordinator(QUIET_MS, KEEP_MS)
        self.alive, self.still_until_ms = True, 0.0
        self.unread: list[tuple[float, str, str]] = []  # arrival, request, key
        self.read: dict[str, tuple[float, str]] = {}
        self.granted: dict[str, list[str]] = defaultdict(list)  # by key, in the order of arrival
        self.running: dict[str, Run] = {}
        self.rejected: set[str] = set()

    def call(self, action: Callable[[], None]) -> None:
        """Run an action, later if the process stands still."""
        if not self.alive:
            return
        if self.world.now < self.still_until_ms:
            self.world.at(self.still_until_ms, lambda: self.call(action))
        else:
            action()

    def arrive(self, name: str, key: str) -> None:
        self.unread.append((self.world.now, name, key))
        self.world.later(self.world.random.uniform(0.0, 3.0), lambda: self.call(self.read_all))

    def read_all(self) -> None:
        """Ask for the turns of what has arrived, in the order of arrival, as `ArrivalOrder` does."""
        unread, self.unread = sorted(self.unread), []
        for arrived, name, key in unread:
            self.read[name] = (arrived, key)
            self.execute(self.coordinator.ask(name, key, int(arrived * NS_PER_MS), self.world.now))
            self.world.later(self.world.timeout_ms, lambda name=name: self.call(lambda: self.reject(name)))

    def execute(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendMessage(process=to, message=message):
                    self.world.send(self, to, encode(message))
                case GrantTurn(request=name):
                    key = self.read[name][1]
                    self.granted[key].append(name)
                    self.granted[key].sort(key=lambda granted: self.read[granted][0])
                    self.run_next(key)
                case RefuseTurn(request=name):
                    self.rejected.add(name)
                case ReadOwnInput(round=number):
                    self.world.later(0.3, lambda number=number: self.call(lambda: self.input_read(number)))
                case WakeAt(time_ms=time_ms, key=key):
                    self.world.at(time_ms, lambda key=key: self.call(lambda: self.wake(key)))

    def input_read(self, number: int) -> None:
        self.read_all()
        self.execute(self.coordinator.on_input_read(number, self.world.now))

    def wake(self, key: str) -> None:
        self.execute(self.coordinator.on_quiet_period_ended(key, self.world.now))

    def run_next(self, key: str) -> None:
        if key in self.running or not self.granted[key]:
            return
        name = self.granted[key][0]
        run = Run(name, key, self.number, self.read[name][0], self.world.now)
        self.running[key] = run
        self.world.runs.append(run)
        self.world.later(self.world.random.uniform(1.0, 20.0), lambda: self.call(lambda: self.finish(run)))

    def finish(self, run: Run) -> None:
        run.end_ms = self.world.now
        del self.running[run.key]
        self.granted[run.key].remove(run.name)
        self.execute(self.coordinator.release(run.name, 0.0, self.world.now))
        self.run_next(run.key)

    def reject(self, name: str) -> None:
        """Reject a request that still has no turn."""
        if name in self.rejected or any(name in names for names in self.granted.values()):
            return
        if any(run.name == name for run in self.world.runs):
            return
        self.rejected.add(name)
        self.execute(self.coordinator.release(name, 0.0, self.world.now))


class World:
    """Processes of one gateway, with delayed messages, on simulated time."""

    def __init__(self, seed: int, timeout_ms: float = 600.0) -> None:
        self.random, self.now, self.timeout_ms = Random(seed), 0.0, timeout_ms
        self.processes: list[Process] = []
        self.runs: list[Run] = []
        self.owner: Process | None = None
        self.links: dict[int, int] = {}  # follower's number -> number of its link
        self.link_numbers, self.sequence = itertools.count(1), itertools.count()
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.stream_end: dict[tuple[int, int], float] = defaultdict(float)

    def at(self, time_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.due, (max(time_ms, self.now), next(self.sequence), action))

    def later(self, delay_ms: float, action: Callable[[], None]) -> None:
        self.at(self.now + delay_ms, action)

    def run_to(self, time_ms: float) -> None:
        while self.due and self.due[0][0] <= time_ms:
            self.now, _, action = heapq.heappop(self.due)
            action()
        self.now = time_ms

    def send(self, sender: Process, to: int, line: bytes) -> None:
        """Deliver a message in the order of its stream, after a random delay; links end with a process."""
        if to == OWNER:
            receiver, origin = self.owner, self.links.get(sender.number, 0)
        else:
            receiver = next((p for p in self.processes if self.links.get(p.number) == to), None)
            origin = OWNER
        if receiver is None or not receiver.alive:
            return
        stream = (sender.number, receiver.number)
        self.stream_end[stream] = max(self.stream_end[stream], self.now + self.random.uniform(0.05, 0.5))
        owner, link = self.owner, self.links.get(sender.number if to == OWNER else receiver.number)

        def deliver() -> None:
            member = sender.number if to == OWNER else receiver.number
            if self.owner is owner and self.links.get(member) == link:
                receiver.execute(receiver.coordinator.on_message(origin, decode(line), self.now))

        self.at(self.stream_end[stream], lambda: receiver.call(deliver))

    def start(self) -> Process:
        process = Process(self, len(self.processes) + 1)
        self.processes.append(process)
        self.elect(process, alone=self.owner is None)
        return process

    def elect(self, process: Process, alone: bool) -> None:
        if not process.alive:
            return
        if self.owner is None:
            self.owner = process
            process.execute(process.coordinator.become_owner(self.now, alone))
        else:
            self.links[process.number] = next(self.link_numbers)
            process.execute(process.coordinator.follow())

    def end(self, process: Process) -> None:
        """End a process: its attempts may run for the quiet period, and its links are lost."""
        process.alive = False
        for run in process.running.values():
            run.end_ms = self.now + QUIET_MS
        link = self.links.pop(process.number, None)
        if self.owner is not process:
            assert self.owner is not None
            owner = self.owner
            owner.call(lambda: owner.execute(owner.coordinator.on_follower_lost(link or 0, self.now)))
            return
        self.owner = None
        for follower in [p for p in self.processes if p.alive]:
            self.links.pop(follower.number, None)
            follower.call(lambda follower=follower: self.lose_owner(follower))

    def lose_owner(self, process: Process) -> None:
        process.coordinator.on_owner_lost()
        self.elect(process, alone=False)

    def check(self) -> None:
        """Check that the runs of each key neither overlap nor run out of the order of arrival."""
        by_key: dict[str, list[Run]] = defaultdict(list)
        for run in self.runs:
            by_key[run.key].append(run)
        for key, runs in by_key.items():
            for earlier, later in itertools.pairwise(runs):
                story = (key, earlier.name, later.name, earlier.__dict__, later.__dict__)
                assert earlier.end_ms <= later.start_ms, f"two at once: {story}"
                assert earlier.arrived_ms <= later.arrived_ms, f"out of order: {story}"


def play_load(world: World, until_ms: float, keys: int, gap_ms: float) -> None:
    """Let requests arrive at random processes that are alive and were welcomed."""
    time_ms = world.now
    for number in itertools.count():
        time_ms += world.random.expovariate(1 / gap_ms)
        if time_ms >= until_ms:
            return

        def arrive(number: int = number) -> None:
            listening = [
                p
                for p in world.processes
                if p.alive
                and (p.coordinator.role is Role.OWNER or p.coordinator.welcome or p.unread or p.read)
            ]
            world.random.choice(listening).arrive(f"r{number}", f"k{world.random.randrange(keys)}")

        world.at(time_ms, arrive)


def test_a_process_alone_grants_its_turns_at_once() -> None:
    """Guards against a wait for turns in a gateway of one process."""
    world = World(1)
    process = world.start()
    process.arrive("r1", "k")
    process.read_all()
    assert process.coordinator.waiting == 0
    assert [run.name for run in world.runs] == ["r1"]


@pytest.mark.parametrize("seed", SEEDS)
def test_two_processes_run_one_request_of_a_key_at_a_time_in_order(seed: int) -> None:
    """Guards against writes of one key that overlap, or overtake each other, while both processes serve.

    Either process stands still for up to 0.15 s several times.
    """
    world = World(seed)
    world.start()
    world.start()
    play_load(world, 3000.0, keys=4, gap_ms=8.0)
    for _ in range(6):
        process = world.random.choice(world.processes)
        start_ms, still_ms = world.random.uniform(0, 2800), world.random.uniform(10, 150)

        def stand_still(process: Process = process, end_ms: float = start_ms + still_ms) -> None:
            process.still_until_ms = max(process.still_until_ms, end_ms)

        world.at(start_ms, stand_still)
    world.run_to(6000.0)
    world.check()
    assert len(world.runs) > 150
    assert not any(process.rejected for process in world.processes), "a request waited for too long"


@pytest.mark.parametrize("victim", [0, 1], ids=["owner", "follower"])
@pytest.mark.parametrize("seed", SEEDS)
def test_the_order_holds_when_a_process_is_killed(seed: int, victim: int) -> None:
    """Guards against a write that runs beside one of a killed process, and against keys that stay blocked."""
    world = World(seed)
    world.start()
    world.start()
    play_load(world, 2500.0, keys=4, gap_ms=8.0)
    killed_ms = world.random.uniform(300, 1500)
    world.at(killed_ms, lambda: world.end(world.processes[victim]))
    world.run_to(5000.0)
    world.check()
    survivor = world.processes[1 - victim]
    assert survivor.coordinator.role is Role.OWNER
    assert survivor.coordinator.waiting == 0
    assert not survivor.rejected, "a request waited for the process that was killed"
    assert {run.key for run in world.runs if run.start_ms > killed_ms + QUIET_MS} == {"k0", "k1", "k2", "k3"}


@pytest.mark.parametrize("still", [0, 1], ids=["owner", "follower"])
@pytest.mark.parametrize("seed", SEEDS)
def test_the_order_holds_while_a_process_stands_still(seed: int, still: int) -> None:
    """Guards against a write that runs while a process that stands still may have an older one."""
    world = World(seed, timeout_ms=300.0)
    world.start()
    world.start()
    play_load(world, 3000.0, keys=4, gap_ms=8.0)

    def stand_still(process: Any = world.processes[still]) -> None:
        process.still_until_ms = 2000.0

    world.at(500.0, stand_still)
    world.run_to(5000.0)
    world.check()
    assert not [run for run in world.runs if 800.0 < run.start_ms < 2000.0], "run without the other's consent"
    assert {run.process for run in world.runs if run.start_ms >= 2000.0} == {1, 2}


def test_a_key_is_forgotten_after_its_last_turn_and_quiet_period() -> None:
    """Guards against a table that grows with each key whose last attempt was reset."""
    table = TurnTable()
    owner = Owner(0.0, KEEP_MS, 1)
    owner._table = table
    owner.ask(OWN_PROCESS, TurnState("r1", "k1", 1), 1.0)
    owner.ask(OWN_PROCESS, TurnState("r2", "k2", 2), 1.0)
    assert owner.release(OWN_PROCESS, "r1", 0.0, 2.0) == []
    assert owner.release(OWN_PROCESS, "r2", QUIET_MS, 2.0) == [WakeAt(2.0 + QUIET_MS, "k2")]
    assert table.keys == 1
    owner.on_quiet_period_ended("k2", 2.0 + QUIET_MS)
    assert table.keys == 0


def test_a_turn_that_a_killed_follower_waited_for_is_not_granted() -> None:
    """Guards against requests that are refused in favour of one that never ran."""
    owner = Owner(0.0, KEEP_MS, 1)
    owner.on_message(1, Hello((TurnState("r1", "k", 10, granted=True), TurnState("r2", "k", 20))), 1.0)
    owner.on_follower_lost(1, QUIET_MS, 2.0)
    granted = owner.ask(OWN_PROCESS, TurnState("r3", "k", 15), 3.0)
    assert granted == [WakeAt(2.0 + QUIET_MS, "k")], "it waits for the attempt of r1"
    assert owner.on_quiet_period_ended("k", 2.0 + QUIET_MS) == [GrantTurn("r3")]


def test_a_turn_that_is_asked_for_within_a_round_of_input_is_granted_by_the_next() -> None:
    """Guards against a turn that waits until another request arrives."""
    world = World(1)
    owner, _ = world.start(), world.start()
    world.run_to(5.0)
    owner.arrive("r1", "k1")
    owner.read_all()
    owner.arrive("r2", "k2")
    owner.read_all()
    world.run_to(15.0)
    assert {run.name for run in world.runs} == {"r1", "r2"}


def test_the_end_of_a_previous_owners_round_of_input_does_not_end_a_round_of_the_next() -> None:
    """Guards against a turn that is granted before this process has read its older input."""
    previous, process = Coordinator(QUIET_MS, KEEP_MS), Coordinator(0.0, KEEP_MS)
    previous.become_owner(1.0, alone=True)
    previous.on_message(1, Hello(), 1.0)
    (_, stale) = previous.ask("r1", "k", 1, 1.0)
    assert isinstance(stale, ReadOwnInput)
    process.follow()
    process.on_message(OWNER, ReadInput(stale.round), 1.5)
    process.on_owner_lost()
    process.become_owner(2.0, alone=False)
    process.on_message(1, Hello(), 2.0)
    (_, round_of_input) = process.ask("r2", "k", 2, 2.0)
    assert isinstance(round_of_input, ReadOwnInput)
    assert process.on_message(1, InputRead(round_of_input.round), 2.5) == []
    assert process.on_input_read(stale.round, 2.5) == []
    assert process.on_input_read(round_of_input.round, 2.5) == [GrantTurn("r2")]


def test_a_turn_that_was_overtaken_in_another_process_is_refused() -> None:
    """Guards against an old write that replaces a later one of another process, as it is read too late."""
    owner = Coordinator(QUIET_MS, KEEP_MS)
    owner.become_owner(0.0, alone=True)
    owner.on_message(1, Hello(), 0.0)
    (_, round_of_input) = owner.on_message(1, Ask(TurnState("late", "k", 20)), 1.0)
    owner.on_message(1, InputRead(round_of_input.round), 1.0)
    assert owner.on_input_read(round_of_input.round, 1.0) == [SendMessage(1, Grant("late"))]
    assert owner.ask("early", "k", 10, 2.0) == [RefuseTurn("early")]
    assert owner.waiting == 0


def test_a_reload_changes_how_long_the_owner_remembers_a_turn() -> None:
    """Guards against an owner that keeps the deadline of the settings with which it became the owner."""
    owner = Coordinator(QUIET_MS, 1.0)
    owner.become_owner(0.0, alone=True)
    owner.apply_durations(QUIET_MS, KEEP_MS)
    owner.on_message(1, Hello(), 0.0)
    (_, round_of_input) = owner.on_message(1, Ask(TurnState("late", "k", 20)), 1.0)
    owner.on_message(1, InputRead(round_of_input.round), 1.0)
    owner.on_input_read(round_of_input.round, 1.0)
    (_, round_of_input) = owner.on_message(1, Ask(TurnState("other", "k2", 30)), 3.0)
    owner.on_message(1, InputRead(round_of_input.round), 3.0)
    owner.on_input_read(round_of_input.round, 3.0)  # turns that are kept for 1 ms are forgotten by now
    assert owner.ask("early", "k", 10, 4.0) == [RefuseTurn("early")]


def test_messages_between_processes_are_these_lines() -> None:
    """Guards against processes of two versions that do not understand each other during an upgrade."""
    state = '{"request":"r","key":"k","arrived_ns":5,"granted":false}'
    lines = {
        Hello((TurnState("r", "k", 5),)): f'{{"type":"hello","turns":[{state}]}}',
        Welcome(): '{"type":"welcome"}',
        Ask(TurnState("r", "k", 5)): f'{{"type":"ask","turn":{state}}}',
        Grant("r"): '{"type":"grant","request":"r"}',
        Refuse("r"): '{"type":"refuse","request":"r"}',
        Release("r", 2.5): '{"type":"release","request":"r","quiet_ms":2.5}',
        ReadInput(7): '{"type":"read-input","round":7}',
        InputRead(7): '{"type":"input-read","round":7}',
        Farewell(2.5): '{"type":"farewell","quiet_ms":2.5}',
    }
    for message, line in lines.items():
        assert encode(message) == line.encode() + b"\n"
        assert decode(line.encode()) == message
    assert decode(b'{"type":"welcome","unknown":1}') == Welcome()


def test_a_farewell_spares_the_next_owner_the_quiet_period() -> None:
    """Guards against a pause of ordered requests at the end of each upgrade."""
    world = World(1)
    first, second = world.start(), world.start()
    world.run_to(5.0)
    first.execute(first.coordinator.farewell(world.now))
    world.run_to(10.0)
    world.end(first)
    second.arrive("r1", "k")
    world.run_to(20.0)
    assert [run.name for run in world.runs] == ["r1"]
