"""A fleet of real gateway processes, with stand-in storage nodes, a stand-in discovery and faulty links."""

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

# The volume with the limit under test.
LIMITED_VOLUME = 1
# The limit under test: rate in units per second, and burst in units.
LIMIT = Allowance(200.0, 80.0)
# Timings of the fleet's leases, short enough for several terms in a run of some seconds.
TERM_MS, LEASE_MS = 1_500.0, 500.0
# Maximum relative error of clock rates that leases tolerate.
DRIFT = 0.01
# Number of shards of the limited volume.  The fleet has one more shard, whose node operators eject.
SHARDS = 3
# Interval at which the testbed checks whether its own process has stalled.
STALL_POLL_MS = 20.0
# Shortest stall that is recorded.
MIN_STALL_MS = 100.0
# Delay from the call of `run` to time 0 of the run; drawing all requests takes less.
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

    :param at_ms: when it was applied, in milliseconds of the run.
    :param text: the fault as text.
    """

    at_ms: float
    text: str


class Ban(NamedTuple):
    """An ejection of a node by an operator.

    :param since_ms: when the response `done` to the operator's command was received.
    :param until_ms: when the command that readmits the node was sent; other gateways may apply it before its
        response arrives.
    """

    node: str
    since_ms: float
    until_ms: float = math.inf


@dataclass
class FleetTestbed:
    """A fleet of gateway processes and the servers and links that it needs.

    :param gateways: number of gateways.
    :param seconds: length of the run.
    :param carrier: transport between gateways, `datagrams` or `tcp`.
    :param operator: additional content of the operators' files; FOLDER is replaced by the gateway's folder.
    :param fleet_lines: additional lines of the `fleet` node of the operators' files.
    :param fleet_enabled: whether the gateways form a fleet; otherwise each works on its own.

    `course` contains the faults applied so far, `bans` the ejections by operators, and `began_ms` the time at
    which the run began.
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
        """Create nodes, discovery and links, without starting them."""
        self.names = [f"g{number}" for number in range(self.gateways)]
        self.nodes = [StorageNode(f"n{shard + 1}", shard) for shard in range(SHARDS + 1)]
        self.discovery = StandInDiscovery(self.nodes)
        self.links = FaultyLinks(self.names, self.seed)
        self.processes: dict[str, GatewayProcess] = {}
        self.course: list[AppliedFault] = []
        self.began_ms = 0.0
        self.bans: list[Ban] = []
        self._resolved_granter: str | None = None
        self._stall_recorder: asyncio.Task[None] | None = None
        self._fault_handlers: dict[FaultVerb, Callable[[Fault, list[str]], Awaitable[None]]] = {
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
        """Shut down all gateways, then close the nodes."""
        if self._stall_recorder is not None:
            self._stall_recorder.cancel()
        await asyncio.gather(*(process.stop() for process in self.processes.values()))
        for node in self.nodes:
            node.close()

    def known(self, name: str) -> dict[str, Any]:
        """Return discovery's current list, in the form of a gateway's `known` setting."""
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
        additional = self.operator.replace("FOLDER", str(self.folder / name))
        return "fleet {\n    " + "\n    ".join(filter(None, lines)) + "\n}\n" + additional

    async def run(self, streams: Iterable[Stream], faults: tuple[Fault, ...]) -> LoadGenerator:
        """Send the requests of streams while faults are applied.

        :returns: the load generator, with the requests and their results.
        """
        load = LoadGenerator({name: process.port for name, process in self.processes.items()}, self.seed)
        self.began_ms = now_ms() + LOAD_DELAY_MS
        requests = load.draw(list(streams))
        units = {client_request.request: float(client_request.units) for client_request in requests}
        for node in self.nodes:
            node.units_of = lambda request: units.get(request, 1.0)
        await asyncio.gather(load.play(requests, self.began_ms), self.play(faults))
        return load

    async def _record_stalls(self) -> None:
        """Record stalls of this process, during which nodes, discovery and links stall as well."""
        while True:
            before_ms = now_ms()
            await asyncio.sleep(STALL_POLL_MS / 1000)
            stalled_ms = now_ms() - before_ms - STALL_POLL_MS
            if stalled_ms > MIN_STALL_MS and self.began_ms:
                text = f"the testbed process stalled for {stalled_ms:.0f} ms"
                self.course.append(AppliedFault(now_ms() - self.began_ms - stalled_ms, text))

    async def stats(self) -> dict[str, dict[str, int]]:
        """Return the counters of all gateways whose process is alive."""
        return {name: await process.stats() for name, process in self.processes.items() if process.alive}

    def course_lines(self) -> list[str]:
        """Return one line for each fault applied, for the report."""
        return [f"{fault.at_ms / 1000:7.2f} s  {fault.text}" for fault in self.course]

    @property
    def granter(self) -> str:
        """The granter of the limit under test, among the gateways whose process is alive."""
        alive = [number for number, name in enumerate(self.names) if self.processes[name].alive]
        granter = highest_ranked(f"v:{LIMITED_VOLUME:016x}", alive)
        return self.names[granter if granter is not None else 0]

    def gateway_named(self, name: str) -> str:
        """Return the gateway for a name in a scenario.

        `granter` is resolved when it is first used, and means the same gateway for the rest of the run.
        """
        if name != "granter":
            return name
        if self._resolved_granter is None:
            self._resolved_granter = self.granter
        return self._resolved_granter

    async def play(self, faults: tuple[Fault, ...]) -> None:
        """Apply each fault at its scheduled time."""
        for fault in faults:
            wait_ms = self.began_ms + fault.run_fraction * self.seconds * 1000 - now_ms()
            if wait_ms > 0:
                await asyncio.sleep(wait_ms / 1000)
            await self.apply(fault)

    async def apply(self, fault: Fault) -> None:
        """Apply a fault immediately.

        :raises LabError: if it cannot be applied.
        """
        self.course.append(AppliedFault(now_ms() - self.began_ms, str(fault)))
        await self._fault_handlers[fault.verb](fault, [self.gateway_named(name) for name in fault.args])

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
        self.processes[names[0]].set_disk_faults(fault.options)

    async def _list(self, fault: Fault, names: list[str]) -> None:
        self.discovery.change(fault.args[0], fault.args[1])

    async def _node(self, fault: Fault, names: list[str]) -> None:
        node = next(candidate for candidate in self.nodes if candidate.name == fault.args[0])
        if fault.args[1] == "restart":
            await node.restart()
            self.discovery.change(node.name)
        elif fault.args[1] == "close":
            node.close()
        else:
            raise LabError(f"fault `{fault}`: expected `close` or `restart` after the node")

    async def _discovery(self, fault: Fault, names: list[str]) -> None:
        discovery, (mode, *rest) = self.discovery, fault.args
        discovery.silent, discovery.empty = mode == "silent", mode == "empty"
        discovery.accepted_gateways = (
            frozenset(self.names[: int(float(rest[0]))]) if mode == "overbooked" else None
        )
        if mode == "back":
            discovery.restore_backup(int(float(rest[0])))
        elif mode not in ("silent", "up", "overbooked", "empty"):
            raise LabError(f"fault `{fault}`: unknown mode of discovery")

    async def _operator_command(self, fault: Fault, names: list[str]) -> None:
        sent_ms = now_ms()
        via = self.processes[self.gateway_named(str(fault.options["via"]))]
        response = (await via.call(f"{fault.verb.upper()} {fault.args[0]}"))[0]
        # Without a majority the command takes effect at this gateway only, so it is not recorded as an
        # ejection that all gateways must obey.
        local_only = response.startswith("error kept here only")
        if not response.startswith("done") and not local_only:
            raise LabError(f"gateway {via.name} rejected the command of fault `{fault}`: {response}")
        if fault.verb is FaultVerb.ENABLE:
            self._lift_ban(fault.args[0], sent_ms)
        elif not local_only:
            self.bans.append(Ban(fault.args[0], now_ms()))

    def _lift_ban(self, node: str, until_ms: float) -> None:
        self.bans = [
            ban._replace(until_ms=until_ms) if ban.node == node and ban.until_ms == math.inf else ban
            for ban in self.bans
        ]
