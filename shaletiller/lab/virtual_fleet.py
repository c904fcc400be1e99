"""A fleet of gateways in one process, on a virtual clock and a simulated network.

Each gateway runs the production fleet code (shaletiller.fleet).  The network can lose, delay, duplicate and
reorder the messages between gateways, and cut a link in one direction only.
"""

from __future__ import annotations

import functools
import random
from dataclasses import dataclass, field

from shaletiller.fleet.core import FleetOptions
from shaletiller.fleet.quotas import NO_ALLOWANCE
from shaletiller.lab.limit_usage import ROUNDING_UNITS, Limit, Spend
from shaletiller.lab.virtual_gateway import HealthChange, LeaseTableEntry, VirtualGateway
from shaletiller.lab.virtual_network import Link, VirtualClock


@dataclass
class VirtualFleet:
    """A simulated fleet, its network, and the events recorded during a run.

    :param members: number of gateways.
    :param drift: maximum relative error of a gateway's clock rate; leases allow for the same error.
    :param skew_ms: maximum difference between a gateway's clock and true time at the start.
    :param excess: maximum units by which the sum of all gateways' quotas exceeded a limit, by limit.
    :param sent: number of messages sent by all gateways.
    :param tables: whether lease tables are replicated (`VirtualLeaseTable`).
    :param incarnations: incarnation of each gateway process, by gateway and start.
    :param lease_tables: the replicated lease table of each limit.
    """

    members: int
    seed: int
    options: FleetOptions = field(default_factory=FleetOptions)
    drift: float = 0.01
    skew_ms: float = 5.0
    time: VirtualClock = field(default_factory=VirtualClock)
    spends: list[Spend] = field(default_factory=list)
    health_changes: list[HealthChange] = field(default_factory=list)
    excess: dict[str, float] = field(default_factory=dict)
    limits: dict[str, Limit] = field(default_factory=dict)
    sent: int = 0
    sent_bytes: int = 0
    tables: bool = False
    incarnations: dict[tuple[int, int], int] = field(default_factory=dict)
    lease_tables: dict[str, LeaseTableEntry] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the links and the gateways, without starting them."""
        self.random = random.Random(self.seed)
        self.links = {(a, b): Link() for a in range(self.members) for b in range(self.members) if a != b}
        self.names = [f"g{number}" for number in range(self.members)]
        self.gateways = [
            VirtualGateway(
                self, number, *(self.random.uniform(-1, 1) * bound for bound in (self.drift, self.skew_ms))
            )
            for number in range(self.members)
        ]

    def check_quota_sum(self, limit: str) -> None:
        """Record by how much the sum of all gateways' quotas exceeds a limit at this time.

        The quota of a suspended process counts, because the process can spend it after it resumes; the quota
        of a killed process does not.
        """
        allowance = self.limits[limit].allowance
        total = NO_ALLOWANCE
        for gateway in self.gateways:
            if gateway.fleet is not None and limit in gateway.quotas:
                total = total.plus(gateway.quotas[limit].at(gateway.clock()))
        excess = max(total.rate - allowance.rate, total.burst - allowance.burst)
        if excess > ROUNDING_UNITS:
            self.excess[limit] = max(self.excess.get(limit, 0.0), excess)

    def transmit(self, sender: int, receiver: int, data: bytes) -> None:
        """Transmit a message from one gateway to another, subject to the faults of the link."""
        self.sent += 1
        self.sent_bytes += len(data)
        link = self.links[sender, receiver]
        if link.cut or (link.loss and self.random.random() < link.loss):
            return
        for _ in range(1 + (link.doubled > 0 and self.random.random() < link.doubled)):
            when_ms = self.time.now_ms + self.random.uniform(link.least_ms, link.most_ms)
            # A link that is cut after the message was sent does not deliver it.
            self.time.at(when_ms, lambda: None if link.cut else self.gateways[receiver].receive(data))

    def load(
        self,
        member: int,
        limit: Limit,
        rate: float,
        begin_ms: float,
        end_ms: float,
        hosts: int,
    ) -> None:
        """Schedule the requests of a Poisson stream through one gateway.

        :param rate: units per second.
        :param hosts: number of gateways through which the limit's clients send.
        """
        self.limits[limit.name] = limit
        rng = random.Random(f"{self.seed} load {member} {limit.name} {begin_ms}")
        mean_units = (1 + limit.max_request_units) / 2
        at_ms = begin_ms
        while True:
            at_ms += rng.expovariate(rate / mean_units) * 1000
            if at_ms >= end_ms:
                return
            units = float(rng.randint(1, int(limit.max_request_units)))
            self.time.at(at_ms, functools.partial(self.gateways[member].request, limit, units, hosts))

    def all_links(self) -> list[Link]:
        """Return the links between all gateways, in both directions."""
        return list(self.links.values())

    def cut(self, side: set[int], one_way: bool = False) -> None:
        """Cut the links between a group of gateways and all others.

        :param side: numbers of the gateways in the group.
        :param one_way: cut only the links from the group to the others.
        """
        for (sender, receiver), link in self.links.items():
            if (sender in side) != (receiver in side) and (not one_way or sender in side):
                link.cut = True

    def heal(self) -> None:
        """End the faults of all links."""
        for pair in self.links:
            self.links[pair] = Link()
