"""The fleet of the replication simulation: gateways, the network between them, and their clients."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from functools import partial

from shaletiller.lab.replication_sim_gateway import REQUEST_TIMEOUT_MS, ClientRequest, SimulatedGateway
from shaletiller.lab.virtual_network import Link, VirtualClock
from shaletiller.replication.groups import ReplicaGroups
from shaletiller.replication.messages import AnyMessage
from shaletiller.replication.node import ReplicationNode

# Times of a run: by FAULTS_END_MS all faults are over; at LAST_RETRY_MS each key is written once more, when
# even an operation that began during the last fault has ended.
FIRST_WRITE_MS, FAULTS_BEGIN_MS, FAULTS_END_MS = 600.0, 1_500.0, 9_000.0
LAST_RETRY_MS, END_MS = 12_500.0, 14_000.0
MAX_CLOCK_OFFSET_MS = 200.0  # so that no two clocks differ by the second that the protocol allows
RETRY_CHANCE = 0.6  # of each further retry of a write
# Delays of retries: at once, while the first is under way, around its timeout, and long after it.
RETRY_DELAYS_MS = (0.0, 5.0, 50.0, 950.0, 2_000.0, 6_000.0)

NodeFactory = Callable[[int, ReplicaGroups, list[tuple[int, bytes, bytes]], float], ReplicationNode]


class SimulatedFleet:
    """The environment of the simulated gateways."""

    def __init__(
        self,
        members: int,
        seed: int,
        node_factory: NodeFactory = ReplicationNode,
        zones: tuple[str, ...] = (),
    ) -> None:
        """Create a fleet whose gateways are down.

        :param node_factory: creates a member's node; tests pass nodes with a guard removed.
        :param zones: of the members; empty for a fleet without zones.
        """
        self.members = members
        self.clock = VirtualClock()
        self.random = random.Random(seed)
        self.groups = ReplicaGroups(zones or ("",) * members)
        self.executions: Counter[str] = Counter()
        self.nodes_reject_until_ms = FAULTS_END_MS
        self.requests: list[ClientRequest] = []
        self.links = {
            (sender, recipient): Link()
            for sender in range(members)
            for recipient in range(members)
            if sender != recipient
        }
        self.gateways = [
            SimulatedGateway(self, member, self.random.uniform(-MAX_CLOCK_OFFSET_MS, MAX_CLOCK_OFFSET_MS))
            for member in range(members)
        ]
        self._node_factory = node_factory

    def create_node(
        self, member: int, stored: list[tuple[int, bytes, bytes]], now_ms: float
    ) -> ReplicationNode:
        """Create the replication node of a member that starts."""
        return self._node_factory(member, self.groups, stored, now_ms)

    def send(self, sender: int, recipient: int, message: AnyMessage) -> None:
        """Send a message: it may be lost or duplicated, and arrives after a random delay."""
        link = self.links[sender, recipient]
        if link.cut or (link.loss and self.random.random() < link.loss):
            return
        for _ in range(1 + (link.doubled > 0 and self.random.random() < link.doubled)):
            arrives_ms = self.clock.now_ms + self.random.uniform(link.least_ms, link.most_ms)
            self.clock.at(arrives_ms, partial(self._arrive, link, sender, recipient, message))

    def _arrive(self, link: Link, sender: int, recipient: int, message: AnyMessage) -> None:
        if not link.cut:
            self.gateways[recipient].receive(sender, message)

    def repair_links(self) -> None:
        """Replace all links by healthy ones; what is in transit on a link that is cut is lost."""
        for pair in self.links:
            self.links[pair] = Link()

    def schedule_writes(self, draw: random.Random, writes_per_second: float, end_ms: float) -> None:
        """Schedule the clients' writes, with retries through random gateways, some of them concurrent."""
        at_ms, number = FIRST_WRITE_MS, 0
        while at_ms < end_ms:
            at_ms += draw.expovariate(writes_per_second) * 1000
            number += 1
            times_ms = [at_ms]
            while draw.random() < RETRY_CHANCE:
                times_ms.append(at_ms + draw.choice(RETRY_DELAYS_MS))
            for sent_ms in times_ms:
                if sent_ms < LAST_RETRY_MS - REQUEST_TIMEOUT_MS:
                    self._schedule(ClientRequest(f"k{number}", draw.randrange(self.members), sent_ms))
            self._schedule(ClientRequest(f"k{number}", draw.randrange(self.members), LAST_RETRY_MS))

    def _schedule(self, request: ClientRequest) -> None:
        self.requests.append(request)
        self.clock.at(request.sent_ms, partial(self.gateways[request.gateway].submit, request))
