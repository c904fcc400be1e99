"""A fleet of real gateway processes with stand-in storage nodes, discovery and faulty links around it."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from shaletiller.fleet.quotas import Allowance
from shaletiller.fleet.rendezvous import highest_ranked
from shaletiller.lab.errors import LabError
from shaletiller.lab.faulty_links import FaultyLinks
from shaletiller.lab.gateway_processes import GatewayProcess
from shaletiller.lab.load_generator import LoadGenerator, Stream
from shaletiller.lab.port_reservations import reserve_port
from shaletiller.lab.scenario import Fault, FaultVerb
from shaletiller.lab.stand_in_discovery import StandInDiscovery
from shaletiller.lab.storage_nodes import StorageNode, now_ms

# The volume with the limit under test, and its limit in units a second and units.
LIMITED_VOLUME = 1
LIMIT = Allowance(200.0, 80.0)
# Timings of the fleet's leases: short, so that several terms fit into a run of seconds.
TERM_MS, LEASE_MS = 1_500.0, 500.0
# Relative error of clocks that leases allow for.
DRIFT = 0.01
# Shards of the limited volume; there is one more, whose node operators eject.
SHARDS = 3
# How often it is looked whether this process stands still, and from when on that is recorded.
STALL_POLL_MS = 20.0
MIN_STALL_MS = 100.0
# Between the start of the clients' tasks and the first request: drawing the requests takes less.
LOAD_DELAY_MS = 100.0
EMPTY_LIST = {"version": 0, "full": True, "servers": []}
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


class AppliedFault(NamedTuple):
    """A fault as it was applied.

    :param at_ms: the time of the run.
    :param text: the fault as text.
    """

    at_ms: float
    text: str


class Ban(NamedTuple):
    """A node that an operator ejected.

    :param since_ms: when the command was answered with `done`.
    :param until_ms: when the command that lifts it was sent; it may take effect elsewhere before its answer.
    """

    node: str
    since_ms: float
    until_ms: float = math.inf


@dataclass
class FleetTestbed:
    """A fleet of processes, with all that it needs around it.

    :param gateways: number of gateways.
    :param seconds: length of the run.
    :param carrier: how gateways reach each other: `datagrams` or `tcp`.
    :param operator: more lines for the operators' file; FOLDER in them is the gateway's folder.
    :param fleet_lines: more lines for the fleet's node of that file.
    :param fleet_enabled: whether the gateways form a fleet; otherwise each is alone.
    """

    gateways: int
    seed: int
    seconds: float
    folder: Path
    carrier: str = "datagrams"
    settings: dict[str, Any] = field(default_factory=lambda: SETTINGS)
    operator: str = ""
    fleet_lines: str = ""
    fleet_enabled: bool = True

    def __post_init__(self) -> None:
        """Create all parts; none is started."""
        self.names = [f"g{number}" for number in range(self.gateways)]
        self.nodes = [StorageNode(f"n{shard + 1}", shard) for shard in range(SHARDS + 1)]
        self.discovery = StandInDiscovery(self.nodes)
        self.links = FaultyLinks(self.names, self.seed)
        self.processes: dict[str, GatewayProcess] = {}
        self.course: list[AppliedFault] = []
        self.began_ms = 0.0
        self.bans: list[Ban] = []
        self._struck_granter: str | None = None
        self._stall_recorder: asyncio.Task[None] | None = None
        self._appliers: dict[FaultVerb, Callable[[Fault, list[str]], Awaitable[None]]] = {
            FaultVerb.CUT: self._cut,
            FaultVerb.HEAL: self._heal,
            FaultVerb.WORSEN: self._worsen,
            FaultVerb.KILL: self._kill,
            FaultVerb.STOP: self._stop,
            FaultVerb.START: self._start,
            FaultVerb.PAUSE: self._pause,
            FaultVerb.RESUME: self._resume,
            FaultVerb.WIPE: self._wipe,
            FaultVerb.DISABLE: self._operator_command,
            FaultVerb.ENABLE: self._operator_command,
            FaultVerb.NODE: self._node,
            FaultVerb.DISCOVERY: self._discovery,
            FaultVerb.LIST: self._list,
            FaultVerb.DISK: self._disk,
        }

    # ---- start and end

    async def start(self) -> None:
        """Start nodes, discovery, links and gateways, and wait until all gateways are ready."""
        self._stall_recorder = asyncio.ensure_future(self._record_stalls())
        for node in self.nodes:
            await node.start(self.names)
        await self.discovery.start(self.names)
        listening_ports = {name: reserve_port() for name in self.names}
        if self.carrier == "tcp":
            await self.links.start_tcp(listening_ports)
        else:
            await self.links.start_udp(listening_ports)
        for number, name in enumerate(self.names):
            self.processes[name] = GatewayProcess(
                name,
                self.folder / name,
                self._config(number, name, listening_ports),
                self._operator_file(name, listening_ports),
                self.seed * 100 + number,
            )
        processes = self.processes.values()
        await asyncio.gather(*(process.start(self.known(process.name)) for process in processes))

    async def stop(self) -> None:
        """Shut all gateways down, then the nodes."""
        if self._stall_recorder is not None:
            self._stall_recorder.cancel()
        await asyncio.gather(*(process.stop() for process in self.processes.values()))
        for node in self.nodes:
            node.close()

    def known(self, name: str) -> dict[str, Any]:
        """Return discovery's present list, as a gateway can be started with it."""
        return {"version": self.discovery.version, "full": True, "servers": self.discovery.rows(name)}

    def _config(self, number: int, name: str, listening_ports: dict[str, int]) -> dict[str, Any]:
        peers: dict[str, Any] = {}
        if self.carrier == "datagrams":
            ports = [self.links.udp_ports.get((name, other), listening_ports[name]) for other in self.names]
            peers = {
                "peer_listen": f"127.0.0.1:{listening_ports[name]}",
                "peers": [f"127.0.0.1:{port}" for port in ports],
            }
        settings = {**self.settings, "balancers": self.gateways, "position": number}
        return {"discovery": f"127.0.0.1:{self.discovery.ports[name]}", "settings": settings, **peers}

    def _operator_file(self, name: str, listening_ports: dict[str, int]) -> str:
        if not self.fleet_enabled:
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
                port = listening_ports[name] if other == name else self.links.tcp_ports[name, other]
                lines.append(f'member "{other}" address="127.0.0.1:{port}"')
        own = self.operator.replace("FOLDER", str(self.folder / name))
        return "fleet {\n    " + "\n    ".join(filter(None, lines)) + "\n}\n" + own

    # ---- a run

    async def run(self, streams: Iterable[Stream], faults: tuple[Fault, ...]) -> LoadGenerator:
        """Send the requests of streams while faults are applied; return what became of the requests."""
        load = LoadGenerator({name: process.port for name, process in self.processes.items()}, self.seed)
        self.began_ms = now_ms() + LOAD_DELAY_MS
        requests = load.draw(list(streams))
        units = {each.request: float(each.units) for each in requests}
        for node in self.nodes:
            node.units_of = lambda request: units.get(request, 1.0)
        await asyncio.gather(load.play(requests, self.began_ms), self.play(faults))
        return load

    async def _record_stalls(self) -> None:
        """Record when this process stood still: nodes, discovery and the links between gateways did, too."""
        while True:
            before_ms = now_ms()
            await asyncio.sleep(STALL_POLL_MS / 1000)
            stalled_ms = now_ms() - before_ms - STALL_POLL_MS
            if stalled_ms > MIN_STALL_MS and self.began_ms:
                text = f"the testbed stood still for {stalled_ms:.0f} ms"
                self.course.append(AppliedFault(now_ms() - self.began_ms - stalled_ms, text))

    async def stats(self) -> dict[str, dict[str, int]]:
        """Return the counters of all gateways that are alive."""
        return {name: await process.stats() for name, process in self.processes.items() if process.alive}

    def course_lines(self) -> list[str]:
        """Return the faults as they were applied, one a line, for the report."""
        return [f"{fault.at_ms / 1000:7.2f} s  {fault.text}" for fault in self.course]

    # ---- faults

    @property
    def granter(self) -> str:
        """The gateway that grants the limit under test, in the view of the gateways that are alive."""
        alive = [number for number, name in enumerate(self.names) if self.processes[name].alive]
        granter = highest_ranked(f"v:{LIMITED_VOLUME:016x}", alive)
        return self.names[granter if granter is not None else 0]

    def gateway_named(self, name: str) -> str:
        """Return the gateway that a scenario names; `granter` stays the one that it was when first used."""
        if name != "granter":
            return name
        if self._struck_granter is None:
            self._struck_granter = self.granter
        return self._struck_granter

    async def play(self, faults: tuple[Fault, ...]) -> None:
        """Apply each fault at its time."""
        for fault in faults:
            wait_ms = self.began_ms + fault.at * self.seconds * 1000 - now_ms()
            if wait_ms > 0:
                await asyncio.sleep(wait_ms / 1000)
            await self.apply(fault)

    async def apply(self, fault: Fault) -> None:
        """Apply a fault now.

        :raises LabError: if it cannot be applied.
        """
        self.course.append(AppliedFault(now_ms() - self.began_ms, str(fault)))
        await self._appliers[fault.verb](fault, [self.gateway_named(name) for name in fault.args])

    async def _cut(self, fault: Fault, names: list[str]) -> None:
        self.links.cut(set(names), bool(fault.options.get("one_way", False)))

    async def _heal(self, fault: Fault, names: list[str]) -> None:
        self.links.heal()

    async def _worsen(self, fault: Fault, names: list[str]) -> None:
        self.links.worsen(**fault.options)

    async def _kill(self, fault: Fault, names: list[str]) -> None:
        await self.processes[names[0]].kill()

    async def _stop(self, fault: Fault, names: list[str]) -> None:
        await self.processes[names[0]].stop()

    async def _start(self, fault: Fault, names: list[str]) -> None:
        lists = {"now": self.known(names[0]), "nothing": EMPTY_LIST, "old": None}
        await self.processes[names[0]].start(lists[str(fault.options.get("known", "now"))])

    async def _pause(self, fault: Fault, names: list[str]) -> None:
        self.processes[names[0]].pause()

    async def _resume(self, fault: Fault, names: list[str]) -> None:
        self.processes[names[0]].resume()

    async def _wipe(self, fault: Fault, names: list[str]) -> None:
        self.processes[names[0]].wipe()

    async def _disk(self, fault: Fault, names: list[str]) -> None:
        self.processes[names[0]].drill(fault.options)

    async def _list(self, fault: Fault, names: list[str]) -> None:
        self.discovery.change(fault.args[0], fault.args[1])

    async def _node(self, fault: Fault, names: list[str]) -> None:
        node = next(each for each in self.nodes if each.name == fault.args[0])
        if fault.args[1] == "restart":
            await node.restart()
            self.discovery.change(node.name)
        elif fault.args[1] == "close":
            node.close()
        else:
            raise LabError(f"fault {fault}: wants close or restart")

    async def _discovery(self, fault: Fault, names: list[str]) -> None:
        discovery, (mode, *rest) = self.discovery, fault.args
        discovery.silent, discovery.empty = mode == "silent", mode == "empty"
        discovery.serves = frozenset(self.names[: int(float(rest[0]))]) if mode == "overbooked" else None
        if mode == "back":
            discovery.put_back(int(float(rest[0])))
        elif mode not in ("silent", "up", "overbooked", "empty"):
            raise LabError(f"fault {fault}: unknown")

    async def _operator_command(self, fault: Fault, names: list[str]) -> None:
        sent_ms = now_ms()
        via = self.processes[self.gateway_named(str(fault.options["via"]))]
        answer = (await via.call(f"{fault.verb.upper()} {fault.args[0]}"))[0]
        # Without a majority the command takes effect at this gateway alone, and no other is bound by it.
        local_only = answer.startswith("error kept here only")
        if not answer.startswith("done") and not local_only:
            raise LabError(f"{via.name}: {fault}: {answer}")
        if fault.verb is FaultVerb.ENABLE:
            self._lift_ban(fault.args[0], sent_ms)
        elif not local_only:
            self.bans.append(Ban(fault.args[0], now_ms()))

    def _lift_ban(self, node: str, until_ms: float) -> None:
        self.bans = [
            ban._replace(until_ms=until_ms) if ban.node == node and ban.until_ms == math.inf else ban
            for ban in self.bans
        ]
