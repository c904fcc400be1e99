"""`lab fleet`: real gateway processes that hold a limit and verdicts together, with faults put between them.

One volume has a strict limit, and asks for more than that through one gateway (g1) all the time, and through
the others in surges; other volumes have no limit and go to all nodes through all gateways.  An operator takes
one node out at one door.  All that is judged is what the stand-in nodes and the clients wrote down.
"""

from __future__ import annotations

import asyncio
import random
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from shaletiller.fleet.leases import LeaseTiming
from shaletiller.fleet.quotas import Allowance
from shaletiller.fleet.rendezvous import highest_ranked
from shaletiller.lab.faulty_links import Wires
from shaletiller.lab.gateway_processes import LabError, Process, free_port
from shaletiller.lab.guarantees import Guarantee, Outcome
from shaletiller.lab.load_generator import Load, Stream
from shaletiller.lab.scenario import Fault, Scenario
from shaletiller.lab.storage_nodes import Discovery, Node, now_ms
from shaletiller.lab.virtual_network import Limit, Spend, overshoot

LEAD = "g1"
LIMITED = 1  # the volume with the limit
LIMIT = Allowance(200.0, 80.0)  # units a second, units
TERM_MS, LEASE_MS = 1_500.0, 500.0
SPREAD_MS = 500.0  # a verdict reaches all connected gateways within that
LOSSY_SPREAD_MS = 2_000.0  # and within that where three messages in ten are lost
DRIFT = 0.01
SHARDS = 3  # of the limited volume; there is one more, whose node operators take out
SHORTEST_MS = 6_000.0  # a use is told of no shorter time: a burst at either end would count too much
SURGES = 0.33, 0.54  # parts of the run between which the other gateways have surges
NO_LIST = {"version": 0, "full": True, "servers": []}
TABLES = """store {
    dir "FOLDER/store"
}
promises {
    on true
    lease-tables true
}
"""
SETTINGS: dict[str, Any] = {
    "tick-ms": 2.0,
    "discovery": "automatic",
    "classes": [
        {
            "name": "read",
            "target-ms": 300.0,
            "hard-limit-ms": 900.0,
            "importance": 1.0,
            "effect": "read_like",
        },
        {
            "name": "write",
            "target-ms": 300.0,
            "hard-limit-ms": 900.0,
            "importance": 1.0,
            "effect": "non_idempotent",
        },
    ],
    "contracts": [
        {
            "name": "capped",
            "base-rate": 50.0,
            "reserve": 50.0,
            "proportion": 1.0,
            "ceiling-rate": LIMIT.rate,
            "burst": LIMIT.burst,
        },
        {"name": "free", "base-rate": 50.0, "reserve": 50.0, "proportion": 1.0},
    ],
    "domain": {"mean-units": 4.5, "most-units": 8, "shards": SHARDS + 1, "writes": [False, True]},
    "limits": {"max-attempts": 3, "cancel": True, "retry-after": True, "peers": True},
    "obligations": {"answer-slack-ms": 8.0, "drain-grace-ms": 1000.0},
}


@dataclass
class Rig:
    """A fleet of processes with all that stands round it."""

    gateways: int
    seed: int
    seconds: float
    folder: Path
    carrier: str = "datagrams"
    settings: dict[str, Any] = field(default_factory=lambda: SETTINGS)
    operator: str = ""  # more lines for the operators' file
    fleet_lines: str = ""
    on: bool = True  # whether the fleet part is on

    def __post_init__(self) -> None:
        self.names = [f"g{number}" for number in range(self.gateways)]
        self.nodes = [Node(f"n{shard + 1}", shard) for shard in range(SHARDS + 1)]
        self.discovery = Discovery(self.nodes)
        self.wires = Wires(self.names, self.seed)
        self.processes: dict[str, Process] = {}
        self.course: list[tuple[float, str]] = []
        self.began_ms = 0.0
        self._struck: dict[str, str] = {}
        self.bans: list[tuple[str, float, float]] = []  # node, when `done` was said, and when it was lifted

    async def start(self) -> None:
        for node in self.nodes:
            await node.start(self.names)
        await self.discovery.start(self.names)
        listens = {name: free_port(_kind(self.carrier)) for name in self.names}
        await (self.wires.start_tcp if self.carrier == "tcp" else self.wires.start_udp)(listens)
        for number, name in enumerate(self.names):
            self.processes[name] = Process(
                name,
                self.folder / name,
                self._config(number, name, listens),
                self._operator_file(name, listens),
                self.seed * 100 + number,
            )
        processes = self.processes.values()
        await asyncio.gather(*(process.start(self.known(process.name)) for process in processes))

    def known(self, name: str) -> dict[str, Any]:
        return {"version": self.discovery.version, "full": True, "servers": self.discovery.rows(name)}

    def _config(self, number: int, name: str, listens: dict[str, int]) -> dict[str, Any]:
        peers: dict[str, Any] = {}
        if self.carrier == "datagrams":
            ways = [self.wires.udp.get((name, other), listens[name]) for other in self.names]
            peers = {
                "peer_listen": f"127.0.0.1:{listens[name]}",
                "peers": [f"127.0.0.1:{way}" for way in ways],
            }
        settings = {**self.settings, "balancers": self.gateways, "position": number}
        return {"discovery": f"127.0.0.1:{self.discovery.ports[name]}", "settings": settings, **peers}

    def _operator_file(self, name: str, listens: dict[str, int]) -> str:
        if not self.on:
            return self.operator
        lines = [
            f'carrier "{self.carrier}"',
            f"term-ms {TERM_MS:.0f}",
            f"lease-ms {LEASE_MS:.0f}",
            f"drift {DRIFT}",
            self.fleet_lines,
        ]
        if self.carrier == "tcp":
            for other in self.names:
                port = listens[name] if other == name else self.wires.tcp[name, other]
                lines.append(f'member "{other}" address="127.0.0.1:{port}"')
        own = self.operator.replace("FOLDER", str(self.folder / name))
        return "fleet {\n    " + "\n    ".join(filter(None, lines)) + "\n}\n" + own

    @property
    def granter(self) -> str:
        """Who grants the limit, as those see it that are there."""
        there = [at for at, name in enumerate(self.names) if self.processes[name].alive]
        found = highest_ranked(f"v:{LIMITED:016x}", there)
        return self.names[found if found is not None else 0]

    def who(self, name: str) -> str:
        """A name in a scenario; the granter keeps being the one that it was when it was struck first."""
        if name != "granter":
            return name
        return self._struck.setdefault("granter", self.granter)

    async def inflict(self, fault: Fault) -> None:
        self.course.append((now_ms() - self.began_ms, str(fault)))
        names = [self.who(str(name)) for name in fault.args]
        if fault.verb == "cut":
            self.wires.cut(set(names), bool(fault.options.get("one_way", False)))
        elif fault.verb == "heal":
            self.wires.heal()
        elif fault.verb == "worsen":
            self.wires.worsen(**fault.options)
        elif fault.verb in ("kill", "stop"):
            await getattr(self.processes[names[0]], fault.verb)()
        elif fault.verb == "start":
            known = {"now": self.known(names[0]), "nothing": NO_LIST, "old": None}
            await self.processes[names[0]].start(known[str(fault.options.get("known", "now"))])
        elif fault.verb in ("pause", "resume"):
            getattr(self.processes[names[0]], fault.verb)()
        elif fault.verb in ("disable", "enable"):
            await self._by_hand(fault)
        elif fault.verb == "wipe":
            self.processes[names[0]].wipe()
        elif fault.verb == "discovery":
            self._discovery(fault)
        elif fault.verb == "list":
            self.discovery.change(fault.args[0], fault.args[1])
        elif fault.verb == "node":
            node = next(each for each in self.nodes if each.name == fault.args[0])
            if fault.args[1] == "restart":
                await node.restart()
                self.discovery.change(node.name)
            elif fault.args[1] == "close":
                node.close()
            else:
                raise LabError(f"fault {fault}: wants close or restart")
        elif fault.verb == "disk":
            self.processes[names[0]].drill(fault.options)
        else:
            raise LabError(f"fault {fault.verb!r} is not one of this run")

    def _discovery(self, fault: Fault) -> None:
        of, (what, *rest) = self.discovery, fault.args
        of.silent, of.empty = what == "silent", what == "empty"
        of.serves = frozenset(self.names[: int(float(rest[0]))]) if what == "overbooked" else None
        if what == "back":
            of.put_back(int(float(rest[0])))
        elif what not in ("silent", "up", "overbooked", "empty"):
            raise LabError(f"fault {fault}: unknown")

    async def _by_hand(self, fault: Fault) -> None:
        asked_ms = now_ms()  # an ENABLE may hold elsewhere before it is answered here
        via = self.processes[self.who(str(fault.options["via"]))]
        answer = (await via.call(f"{fault.verb.upper()} {fault.args[0]}"))[0]
        kept_here = answer.startswith("error kept here only")  # it holds, and is promised to nobody
        if not answer.startswith("done") and not kept_here:
            raise LabError(f"{via.name}: {fault}: {answer}")
        if fault.verb == "disable" and kept_here:
            return
        if fault.verb == "disable":
            self.bans.append((fault.args[0], now_ms(), float("inf")))
        else:
            self.bans = [
                (node, since, asked_ms if node == fault.args[0] and until == float("inf") else until)
                for node, since, until in self.bans
            ]

    async def play(self, faults: tuple[Fault, ...]) -> None:
        """Each fault at its time."""
        for fault in faults:
            wait_ms = self.began_ms + fault.at * self.seconds * 1000 - now_ms()
            if wait_ms > 0:
                await asyncio.sleep(wait_ms / 1000)
            await self.inflict(fault)

    async def stop(self) -> None:
        await asyncio.gather(*(process.stop() for process in self.processes.values()))
        for node in self.nodes:
            node.close()


def _kind(carrier: str) -> Any:
    import socket

    return socket.SOCK_STREAM if carrier == "tcp" else socket.SOCK_DGRAM


def streams(rig: Rig, surges: bool) -> list[Stream]:
    """The limited volume's requests, and those of others to all nodes through all gateways."""
    draw = random.Random(f"streams {rig.seed}")
    end_ms = rig.seconds * 1000
    found = [Stream(LEAD, LIMITED, "capped", "read", 1.7 * LIMIT.rate, 0.0, end_ms, SHARDS, rig.gateways)]
    for at, name in enumerate(rig.names):
        found.append(Stream(name, 100 + at, "free", "read", 180.0, 0.0, end_ms, SHARDS + 1, 1))
        found.append(Stream(name, 200 + at, "free", "write", 30.0, 0.0, end_ms, SHARDS, 1, write=True))
        if name != LEAD and surges:
            for _ in range(2):  # while there are faults, surges of a second or so at each of the others
                begin_ms = draw.uniform(*SURGES) * end_ms
                span_ms = min(1_200.0, 0.06 * end_ms)
                found.append(
                    Stream(
                        name,
                        LIMITED,
                        "capped",
                        "read",
                        LIMIT.rate,
                        begin_ms,
                        begin_ms + span_ms,
                        SHARDS,
                        rig.gateways,
                    )
                )
    return found


async def run(
    gateways: int,
    seconds: float,
    seed: int,
    scenario: Scenario,
    carrier: str = "datagrams",
    folder: Path | None = None,
    tables: bool = False,
) -> Outcome:
    """One run and its verdict; `tables`: with granters' tables copied."""
    with tempfile.TemporaryDirectory() as made:
        operator = TABLES if tables else ""
        rig = Rig(gateways, seed, seconds, folder or Path(made), carrier, operator=operator)
        load = Load({}, seed)
        try:
            await rig.start()
            load = Load({name: process.port for name, process in rig.processes.items()}, seed)
            rig.began_ms = now_ms() + 100.0
            asked = load.draw(streams(rig, surges=scenario.span()[0] < 1))
            units = {each.request: float(each.units) for each in asked}
            for node in rig.nodes:
                node.units_of = lambda request: units.get(request, 1.0)
            await asyncio.gather(load.play(asked, rig.began_ms), rig.play(scenario.faults))
            stats = {name: await process.stats() for name, process in rig.processes.items() if process.alive}
            usage = {name: process.usage() for name, process in rig.processes.items() if process.alive}
        finally:
            await rig.stop()
        return judge(rig, load, scenario, stats, usage)


def judge(
    rig: Rig,
    load: Load,
    scenario: Scenario,
    stats: dict[str, dict[str, int]],
    usage: dict[str, tuple[float, float]],
) -> Outcome:
    """From the records of nodes and clients alone; the gateways' own figures are only shown."""
    out = Outcome(f"fleet {scenario.name}", rig.seed)
    attempts = sorted((each for node in rig.nodes for each in node.attempts), key=lambda each: each.at_ms)
    asked = {each.request: each for each in load.asked}
    firsts: dict[str, float] = {}
    for each in attempts:
        firsts.setdefault(each.request, each.at_ms)
    limited = [
        Spend(
            at_ms - rig.began_ms,
            rig.names.index(asked[request].gateway),
            "capped",
            float(asked[request].units),
        )
        for request, at_ms in firsts.items()
        if asked[request].stream.volume == LIMITED
    ]
    limit = Limit("capped", LIMIT)
    out.guarantees.append(
        Guarantee(
            "over the strict limit",
            0.0,
            overshoot(limited, limit, DRIFT),
            unit="units",
            note=f"{len(limited)} requests, {LIMIT.rate:g} units/s, burst {LIMIT.burst:g}",
        )
    )
    end_ms = rig.seconds * 1000
    first, last = (part * end_ms for part in scenario.span())
    ready_ms = LeaseTiming(TERM_MS, LEASE_MS, DRIFT).pledge_wait_ms + 1_000.0
    lossy = any(fault.verb == "worsen" for fault in scenario.faults)
    _uses(out, limited, lossy, ready_ms, min(first, end_ms), last, end_ms)
    _apart(out, rig, limited)
    _staleness(out, rig, attempts, LOSSY_SPREAD_MS if lossy else SPREAD_MS)
    writes = {each.request for each in load.asked if each.stream.write}
    ran: dict[str, int] = {}
    for node in rig.nodes:
        for request, times in node.runs.items():
            ran[request] = ran.get(request, 0) + times
    twice = [request for request, times in ran.items() if times > 1 and request in writes]
    out.guarantees.append(Guarantee("writes run twice", 0, len(twice), note=f"{len(writes)} writes"))
    silent = [
        each
        for each in load.asked
        if each.status == 0
        and not rig.processes[each.gateway].was_down(each.due_ms - 50.0, each.ended_ms + 50.0)
    ]
    out.guarantees.append(Guarantee("unanswered", 0, len(silent), note=f"{len(load.asked)} requests"))
    out.figures = {
        "statuses": count(str(each.status) for each in load.asked),
        "units_limited": sum(spend.units for spend in limited),
        "stats": stats,
        "cpu_s_and_mb": usage,
        "silent": [f"{each.gateway} {each.why}" for each in silent[:5]],
    }
    out.course = [f"{at / 1000:7.2f} s  {what}" for at, what in rig.course]
    return out


def count(values: Any) -> dict[str, int]:
    found: dict[str, int] = {}
    for value in values:
        found[value] = found.get(value, 0) + 1
    return dict(sorted(found.items()))


def _used(limited: list[Spend], begin_ms: float, end_ms: float) -> float:
    units = sum(spend.units for spend in limited if begin_ms <= spend.at_ms < end_ms)
    return units / (LIMIT.rate * (end_ms - begin_ms) / 1000)


def _uses(
    out: Outcome,
    limited: list[Spend],
    lossy: bool,
    ready_ms: float,
    first_ms: float,
    last_ms: float,
    end_ms: float,
) -> None:
    """The use of the limit: of the whole run where there are no faults, else before them, while they last,
    and from two terms after the last on."""
    at_least = 0.6 if lossy else 0.95
    if (first_ms >= end_ms or lossy) and end_ms - ready_ms >= SHORTEST_MS:
        out.guarantees.append(
            Guarantee(
                f"use of the limit {'with losses' if lossy else 'without faults'}",
                at_least,
                _used(limited, ready_ms, end_ms),
                "at least",
                note="of even parts one gateway would use 0.2",
            )
        )
    if first_ms >= end_ms or lossy:
        return
    last_ms = max(SURGES[1] * end_ms + 1_200.0, last_ms)
    healed_ms = last_ms + 2 * TERM_MS
    if first_ms > ready_ms:
        out.figures["use_before"] = _used(limited, ready_ms, first_ms)
    out.figures["use_in_trouble"] = _used(limited, first_ms, last_ms)
    if end_ms - healed_ms >= SHORTEST_MS / 2:
        out.guarantees.append(
            Guarantee("use two terms after healing", at_least, _used(limited, healed_ms, end_ms), "at least")
        )


def _apart(out: Outcome, rig: Rig, limited: list[Spend]) -> None:
    """What the gateway with most of the traffic uses while it is cut off: its own part at least, from when
    what it had pledged of that is over."""
    cut_ms, settle_ms = None, LeaseTiming(TERM_MS, LEASE_MS, DRIFT).pledge_wait_ms + 200.0
    for at, what in rig.course:
        verb, *rest = what.split()
        if verb == "cut" and LEAD in [rig.who(name) for name in rest if "=" not in name] and cut_ms is None:
            cut_ms = at
        elif verb == "heal" and cut_ms is not None and at - cut_ms - settle_ms >= 1_000.0:
            mine = [spend for spend in limited if rig.names[spend.member] == LEAD]
            out.guarantees.append(
                Guarantee(
                    f"use through {LEAD} while cut off",
                    0.95 / rig.gateways,
                    _used(mine, cut_ms + settle_ms, at),
                    "at least",
                    note="its own part, less 5%",
                )
            )
            return


def _staleness(out: Outcome, rig: Rig, attempts: list[Any], bound_ms: float) -> None:
    """For each ban and gateway: how long after `done` it still sent to the node.

    A gateway that was cut off or down in the time after the ban is judged from when it was back."""
    for node, since_ms, until_ms in rig.bans:
        late = {name: 0.0 for name in rig.names}
        for each in attempts:
            if each.node == node and since_ms <= each.at_ms < until_ms:
                late[each.gateway] = max(late[each.gateway], each.at_ms - since_ms)
        apart = {
            name
            for name in rig.names
            if rig.processes[name].was_down(since_ms, min(until_ms, since_ms + bound_ms))
        }
        cut = _cut_at(rig, since_ms, since_ms + bound_ms)
        judged = {name: ms for name, ms in late.items() if name not in apart | cut}
        out.guarantees.append(
            Guarantee(
                f"staleness of the ban of {node}",
                bound_ms,
                max(judged.values(), default=0.0),
                unit="ms",
                note=f"{len(judged)} gateways" + (f", apart {sorted(apart | cut)}" if apart | cut else ""),
            )
        )


def _cut_at(rig: Rig, begin_ms: float, end_ms: float) -> set[str]:
    """The gateways cut off at some time of a span, as the course of the run has it."""
    found: set[str] = set()
    cut: set[str] = set()
    for at, what in rig.course:
        verb, *rest = what.split()
        if rig.began_ms + at > end_ms:
            break
        if verb == "cut":
            cut = {rig.who(name) for name in rest if "=" not in name}
        elif verb == "heal":
            if rig.began_ms + at > begin_ms:
                found |= cut
            cut = set()
    return found | cut
