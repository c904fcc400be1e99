"""The copying protocol tried exhaustively in the small: every order of events up to stated bounds, on the
gateways' own code.

Three members keep two keys.  On the first, two of them claim the same key at once, and one that has won it
writes an outcome; on the second one claims.  Messages come in any order, and may be lost or come twice; a
member may be killed at any moment, with what is on its disk or with an empty one (its machine is lost); its
timers may come at any moment.  How often each happens is bounded, and each run says by what.

A state is all that can bear on what follows: the members' rows, lives and ops, their disks and what is on its
way down, the messages under way, what has been told to clients, and how much of each bound is spent.  States
that are equal are looked at once.
"""

from __future__ import annotations

import pickle
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from typing import Any

import msgspec
import xxhash

from shaletiller.replication.effects import CommitPosition, OperationResult, PersistRecords, SendMessage
from shaletiller.replication.groups import ReplicaGroups
from shaletiller.replication.messages import (
    Accept,
    Prepare,
    Reply,
    StateTransferPage,
    StateTransferRequest,
)
from shaletiller.replication.node import ReplicationNode
from shaletiller.replication.proposer import Precondition
from shaletiller.replication.records import META, pack

BEGIN_MS, END_MS = 1_000_000.0, 9e12
TICK_MS = 100.0  # longer than any wait of the protocol: each tick is one time-out
GROUPS = ReplicaGroups(("", "", ""))
Choice = tuple[Any, ...]


@dataclass(slots=True, frozen=True)
class Bounds:
    """How often each kind of trouble may come in one run, at most."""

    late: int = 0  # questions that arrive after their asker has gone on; others of that kind are lost
    lost: int = 0
    doubled: int = 0
    killed: int = 0
    wiped: int = 0
    ticks: int = 0

    def __str__(self) -> str:
        return ", ".join(f"{name} {getattr(self, name)}" for name in self.__slots__)


@dataclass(slots=True, frozen=True)
class Script:
    """What the members ask for: (member, key, outcome or none) each, all begun at the start."""

    name: str
    asks: tuple[tuple[int, str, bytes], ...]
    away: int | None = None  # a member that is not there at first, and may come back at any moment


SCRIPTS = (
    Script("two claim one key, and the winner writes its outcome", ((0, "a", b"out0"), (1, "a", b""))),
    Script("two keys, one claimed and settled, one claimed", ((0, "a", b"out0"), (1, "b", b""))),
    Script("one is away at first, one claims and settles", ((0, "a", b"out0"),), away=2),
)


@dataclass(slots=True)
class Asked:
    """One ask, and what its member was told."""

    member: int
    key: str
    claim: bytes
    outcome: bytes
    op: int = 0
    told: str = ""  # "", kept, found, unknown, dead; for the outcome: made, unmade
    found: bytes = b""


@dataclass
class State:
    """A world at one moment."""

    nodes: list[Any]
    disks: list[dict[tuple[int, bytes], bytes]]
    down: list[list[PersistRecords]]  # on their way to each disk, in order
    mail: Counter[bytes]  # sender, receiver, message: pickled
    asked: list[Asked]
    clock: list[float]
    spent: Counter[str] = field(default_factory=Counter)
    starts: int = 0
    away: int | None = None


class Broken(Exception):
    """A property does not hold; the message says which, and how it came to that."""


class Small:
    """One world's rules.  `make` builds a member; tests put in ones with a guard taken out."""

    def __init__(
        self, bounds: Bounds, script: Script, make: Any = ReplicationNode, groups: ReplicaGroups = GROUPS
    ) -> None:
        self.bounds, self.script, self._make, self._groups = bounds, script, make, groups

    def begin(self) -> State:
        """All three have met: their lives are known, and each has what the others had."""
        state = State([], [], [[], [], []], Counter(), [], [BEGIN_MS] * 3, away=self.script.away)
        for member in range(3):
            others = [n for n in range(3) if n != member]
            state.disks.append(
                {
                    (META, b"life"): pack(1_000 + member),
                    (META, b"lives"): pack([1_000, 1_001, 1_002]),
                    (META, b"synced"): pack(others),
                }
            )
            state.nodes.append(None)
        for member in range(3):
            self._start(state, member)
        for member, key, outcome in self.script.asks:
            ask = Asked(member, key, f"claim of {member}".encode(), outcome)
            ask.op = state.nodes[member].propose(
                key, Precondition.FREE, ask.claim, END_MS, END_MS, state.clock[member]
            )
            state.asked.append(ask)
            self._effects(state, member)
        return state

    def _start(self, state: State, member: int) -> None:
        state.starts += 1
        state.clock[member] += 10.0 * state.starts
        kept = [(kind, key, value) for (kind, key), value in state.disks[member].items()]
        node = self._make(member, self._groups, kept, state.clock[member])
        node.anti_entropy._compared_ms = END_MS  # no comparisons: repair is not what is tried here
        state.nodes[member] = node
        state.down[member] = []
        node.tick(state.clock[member], ())
        self._effects(state, member)

    # ---- what can happen

    def choices(self, state: State) -> Iterator[Choice]:
        spent, bounds = state.spent, self.bounds
        for raw in state.mail:
            yield "deliver", raw
            if spent["lost"] < bounds.lost:
                yield "lose", raw
            if spent["doubled"] < bounds.doubled:
                yield "double", raw
        if state.away is not None:
            yield "return", state.away
        for member in range(3):
            if state.down[member]:
                yield "sync", member
            if member == state.away:
                continue
            if spent["killed"] < bounds.killed:
                yield "kill", member
            if spent["wiped"] < bounds.wiped:
                yield "wipe", member
            if spent["ticks"] < bounds.ticks and (
                state.nodes[member].busy or not state.nodes[member].fully_synced
            ):
                yield "tick", member

    def apply(self, state: State, choice: Choice) -> None:
        verb, what = choice
        if verb == "sync":
            keep = state.down[what].pop(0)
            self._write(state, what, keep)
            state.nodes[what].persisted(keep.token, state.clock[what])
            self._effects(state, what)
        elif verb == "return":
            state.away = None
        elif verb in ("kill", "wipe"):
            state.spent["killed" if verb == "kill" else "wiped"] += 1
            if verb == "wipe":
                state.disks[what] = {}
            for ask in state.asked:
                if ask.member == what and ask.told in ("", "kept"):
                    ask.told += " dead"
            self._start(state, what)
        elif verb == "tick":
            state.spent["ticks"] += 1
            state.clock[what] += TICK_MS
            state.nodes[what].tick(state.clock[what], ())
            self._effects(state, what)
        else:
            if verb != "double":
                state.mail[what] -= 1
                if not state.mail[what]:
                    del state.mail[what]
            if verb != "deliver":
                state.spent["lost" if verb == "lose" else "doubled"] += 1
            if verb != "lose":
                sender, member, message = pickle.loads(what)
                if _gone_on(state, sender, message):
                    state.spent["late"] += 1
                state.nodes[member].receive(sender, message, state.clock[member])
                self._effects(state, member)

    def _write(self, state: State, member: int, keep: PersistRecords) -> None:
        for kind, key, value in keep.updates:
            if value is None:
                state.disks[member].pop((kind, key), None)
            else:
                state.disks[member][kind, key] = value

    def _effects(self, state: State, member: int) -> None:
        for effect in state.nodes[member].take_effects():
            if isinstance(effect, SendMessage) and state.away in (member, effect.recipient):
                continue
            if isinstance(effect, SendMessage):
                state.mail[pickle.dumps((member, effect.recipient, effect.message))] += 1
            elif isinstance(effect, PersistRecords):
                state.down[member].append(effect)
            else:
                self._done(state, member, effect)
        # Where nobody is killed no one can tell when exactly a row lasts, and a barrier that changes nothing
        # lasts with what is before it: orders that come to the same are tried once.
        while state.down[member] and not (self.bounds.killed and state.down[member][0].updates):
            keep = state.down[member].pop(0)
            self._write(state, member, keep)
            state.nodes[member].persisted(keep.token, state.clock[member])
            self._effects(state, member)

    def _done(self, state: State, member: int, done: OperationResult) -> None:
        ask = next((ask for ask in state.asked if ask.member == member and ask.op == done.operation), None)
        if ask is None:
            return
        if ask.told == "":
            ask.told = "kept" if done.committed else "unknown" if done.indeterminate else "found"
            ask.found = done.value
            if done.committed and ask.outcome:
                position: CommitPosition | None = done.position
                ask.op = state.nodes[member].propose(
                    ask.key,
                    Precondition.EQUALS,
                    ask.outcome,
                    END_MS,
                    END_MS,
                    state.clock[member],
                    ask.claim,
                    position,
                )
                self._effects(state, member)
        elif ask.told == "kept" and ask.outcome:
            ask.told = "made" if done.committed else "unmade"

    # ---- what must hold

    def check(self, state: State) -> None:
        """Raises Broken."""
        for key in {ask.key for ask in state.asked}:
            won = [
                ask
                for ask in state.asked
                if ask.key == key and ask.told.split(" ")[0] in ("kept", "made", "unmade")
            ]
            if len(won) > 1:
                raise Broken(f"key {key}: claims of {[ask.member for ask in won]} were both kept")
            for ask in state.asked:
                if (
                    ask.key == key
                    and ask.told == "found"
                    and won
                    and ask.found not in (won[0].claim, won[0].outcome)
                ):
                    raise Broken(f"key {key}: {ask.member} found {ask.found!r}, won by {won[0].member}")
                if ask.told == "unmade":
                    raise Broken(f"key {key}: the outcome of {ask.member} was lost to another")

    def check_end(self, state: State) -> None:
        """Whoever asks after all of it finds what was told to clients: a majority of every two members that
        vote has it, whichever answer."""
        for key in {ask.key for ask in state.asked}:
            told = [
                ask for ask in state.asked if ask.key == key and ask.told.split(" ")[0] in ("kept", "made")
            ]
            if not told:
                continue
            wanted = (
                {told[0].outcome}
                if told[0].told.startswith("made")
                else {told[0].claim, told[0].outcome} - {b""}
            )
            after = pickle.loads(pickle.dumps(state))
            found = self._ask_again(after, key)
            if found is not None and found not in wanted:
                raise Broken(f"key {key}: {sorted(wanted)} was told, {found!r} is found afterwards")

    def _ask_again(self, state: State, key: str) -> bytes | None:
        """A read once everything that was under way is lost, by the member that voted least: what it finds,
        None where there is no majority."""
        state.mail.clear()
        state.away = None
        reader = max(range(3), key=lambda n: (not state.nodes[n].fully_synced, n))
        state.asked = []
        node = state.nodes[reader]
        op = node.propose(key, Precondition.READ_ONLY, b"", END_MS, END_MS, state.clock[reader])
        for _ in range(60):
            for effect in node.effects:
                if isinstance(effect, OperationResult) and effect.operation == op:
                    return effect.value
            for member in range(3):
                found = [
                    e
                    for e in state.nodes[member].effects
                    if isinstance(e, OperationResult) and e.operation == op
                ]
                if member == reader and found:
                    return found[0].value
                self._effects(state, member)
            while any(state.down):
                member = next(n for n in range(3) if state.down[n])
                self.apply_quiet(state, member, reader, op)
            if state.mail:
                raw = next(iter(state.mail))
                state.mail[raw] -= 1
                if not state.mail[raw]:
                    del state.mail[raw]
                sender, member, message = pickle.loads(raw)
                state.nodes[member].receive(sender, message, state.clock[member])
            else:
                state.clock[reader] += TICK_MS
                node.tick(state.clock[reader], ())
        return None

    def apply_quiet(self, state: State, member: int, reader: int, op: int) -> None:
        keep = state.down[member].pop(0)
        self._write(state, member, keep)
        state.nodes[member].persisted(keep.token, state.clock[member])
        if not (
            member == reader
            and any(isinstance(e, OperationResult) and e.operation == op for e in state.nodes[member].effects)
        ):
            self._effects(state, member)


def _gone_on(state: State, sender: int, message: Any) -> bool:
    """Whether a question is one whose asker no longer waits for an answer to it."""
    return isinstance(message, Prepare | Accept) and message.nonce not in state.nodes[sender].proposer._nonces


def prune(state: State, bounds: Bounds) -> None:
    """Answers to questions that are over change nothing, whenever they come: they are taken off the wires,
    and so are questions that are over, as far as the bound on late ones is spent."""
    for raw in list(state.mail):
        sender, member, message = pickle.loads(raw)
        node = state.nodes[member]
        waits = [progress.nonce for progress in node.state_transfer._progress.values()]
        over = state.spent["late"] >= bounds.late and _gone_on(state, sender, message)
        over = over or (isinstance(message, Reply) and message.nonce not in node.proposer._nonces)
        over = over or (isinstance(message, StateTransferPage) and message.nonce not in waits)
        over = over or (
            isinstance(message, StateTransferRequest)
            and message.incarnation < node.acceptor.incarnations[sender]
        )
        if over:
            del state.mail[raw]


def fingerprint(state: State) -> bytes:
    """Equal for states from which the same can follow."""
    members = []
    for member, node in enumerate(state.nodes):
        acceptor = node.acceptor
        members.append(
            (
                sorted((key, msgspec.structs.astuple(row)) for key, row in acceptor.rows.items()),
                acceptor.incarnation,
                tuple(acceptor.incarnations),
                sorted(acceptor.synced),
                sorted(
                    (
                        op.key,
                        op.phase,
                        op.nonce,
                        op.ballot,
                        op.step,
                        op.incarnations,
                        op.proposed,
                        op.proposes_own_value,
                        op.highest_round,
                        op.retries,
                        op.sent_ms,
                        op.started_ms,
                        op.backoff_until_ms,
                        sorted(
                            (n, r.status, r.incarnation, msgspec.structs.astuple(r.row))
                            for n, r in op.replies.items()
                        ),
                    )
                    for op in node.proposer.operations.values()
                ),
                sorted(
                    (n, f.after, f.incarnation, f.nonce, f.requested_ms)
                    for n, f in node.state_transfer._progress.items()
                ),
                sorted(state.disks[member].items()),
                [(keep.updates, repr(node._after_persist.get(keep.token))) for keep in state.down[member]],
                sorted(node._unpersisted),
                state.clock[member],
            )
        )
    asked = [(ask.told, ask.found, ask.op) for ask in state.asked]
    bounds = sorted(state.spent.items()), state.starts, state.away
    raw = repr((members, asked, sorted(state.mail.items()), bounds))
    return xxhash.xxh3_128_digest(raw.encode())


@dataclass
class Covered:
    """What a run of the checker has looked at."""

    bounds: str
    script: str
    states: int = 0
    steps: int = 0
    ends: int = 0
    seconds: float = 0.0
    whole: bool = True  # False: the bound on states was reached first
    broken: str = ""
    course: list[str] = field(default_factory=list)


def in_the_small(jobs: list[tuple[Bounds, Script]], most: int) -> list[Covered]:
    """Each of these whole, on all cores."""
    with ProcessPoolExecutor() as pool:
        return list(pool.map(_job, [(bounds, script, most) for bounds, script in jobs]))


def _job(job: tuple[Bounds, Script, int]) -> Covered:
    bounds, script, most = job
    return explore(Small(bounds, script), most)


# What is tried where nothing else is asked for; a few minutes on eight cores.
JOBS = [
    *((Bounds(ticks=1), script) for script in SCRIPTS[1:]),
    (Bounds(), SCRIPTS[0]),
    (Bounds(late=1), SCRIPTS[1]),
    (Bounds(lost=1, ticks=1), SCRIPTS[1]),
    (Bounds(doubled=1), SCRIPTS[1]),
    (Bounds(late=1, ticks=1), SCRIPTS[1]),
    (Bounds(ticks=2), SCRIPTS[2]),
    (Bounds(killed=1, ticks=1), SCRIPTS[2]),
    (Bounds(wiped=1, ticks=1), SCRIPTS[2]),
    (Bounds(lost=1, doubled=1, ticks=1), SCRIPTS[2]),
]


def lines(found: list[Covered]) -> list[str]:
    told = []
    for each in found:
        mark = "!!" if each.broken else "ok" if each.whole else "--"
        told.append(
            f"{mark} {each.script}; {each.bounds}: {each.states} states, {each.steps} steps, "
            f"{each.ends} ends, {each.seconds:.0f} s{'' if each.whole else ', NOT WHOLE'}"
        )
        if each.broken:
            told += [f"   {each.broken}", *(f"     {step}" for step in each.course)]
    return told


def _say(choice: Choice) -> str:
    verb, what = choice
    if isinstance(what, bytes):
        sender, member, message = pickle.loads(what)
        what = f"{sender}>{member} {message}"
    return f"{verb} {what}"


def explore(world: Small, most: int = 2_000_000, first: int | None = None) -> Covered:
    """All states from the beginning on, depth first; `first` looks at the part of them that begins with that
    choice."""
    began = time.monotonic()
    covered = Covered(str(world.bounds), world.script.name)
    state = world.begin()
    prune(state, world.bounds)
    seen = {fingerprint(state)}
    choices = list(world.choices(state))
    if first is not None:
        choices = choices[first : first + 1]
    stack: list[tuple[bytes, list[Choice], list[Choice]]] = [(pickle.dumps(state), choices, [])]
    while stack:
        raw, left, path = stack[-1]
        if not left:
            stack.pop()
            continue
        choice = left.pop()
        state = pickle.loads(raw)
        try:
            world.apply(state, choice)
            covered.steps += 1
            prune(state, world.bounds)
            mark = fingerprint(state)
            if mark in seen:
                continue
            seen.add(mark)
            world.check(state)
            more = list(world.choices(state))
            if not any(each[0] in ("deliver", "sync") for each in more):
                covered.ends += 1
                world.check_end(state)
        except Broken as error:
            covered.broken = str(error)
            covered.course = [_say(each) for each in [*path, choice]]
            break
        if len(seen) >= most:
            covered.whole = False
            break
        stack.append((pickle.dumps(state), more, [*path, choice]))
    covered.states, covered.seconds = len(seen), time.monotonic() - began
    return covered
