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

# Times of a run on the virtual clock. All faults have ended by FAULTS_END_MS. Each key is written once more
# at LAST_RETRY_MS, when every operation that began during a fault has ended.
FIRST_WRITE_MS, FAULTS_BEGIN_MS, FAULTS_END_MS = 600.0, 1_500.0, 9_000.0
LAST_RETRY_MS, END_MS = 12_500.0, 14_000.0
MAX_CLOCK_OFFSET_MS = 200.0  # Two clocks differ by less than the 1,000 ms that the protocol tolerates.
RETRY_PROBABILITY = 0.6  # Probability of each further retry of a write.
# Delays of retries after the first request: none, during that request, around its timeout, and long after.
RETRY_DELAYS_MS = (0.0, 5.0, 50.0, 950.0, 2_000.0, 6_000.0)

NodeFactory = Callable[[int, ReplicaGroups, list[tuple[int, bytes, bytes]], float], ReplicationNode]


class SimulatedFleet:
    """The simulated gateways and their environment: clock, network, storage nodes and clients."""

    def __init__(
        self,
        members: int,
        seed: int,
        node_factory: NodeFactory = ReplicationNode,
        zones: tuple[str, ...] = (),
    ) -> None:
        """Create a fleet whose gateways are not running.

        :param node_factory: creates a member's replication node; tests pass nodes without a safety check.
        :param zones: the zone of each member; empty for a fleet without zones.
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
        """Create the replication node of a starting member."""
        return self._node_factory(member, self.groups, stored, now_ms)

    def send(self, sender: int, recipient: int, message: AnyMessage) -> None:
        """Send a message, which may be lost or duplicated and is delivered after a random delay."""
        link = self.links[sender, recipient]
        if link.cut or (link.loss and self.random.random() < link.loss):
            return
        for _ in range(1 + (link.doubled > 0 and self.random.random() < link.doubled)):
            delivery_ms = self.clock.now_ms + self.random.uniform(link.least_ms, link.most_ms)
            self.clock.at(delivery_ms, partial(self._handle_delivery, link, sender, recipient, message))

    def _handle_delivery(self, link: Link, sender: int, recipient: int, message: AnyMessage) -> None:
        if not link.cut:
            self.gateways[recipient].receive(sender, message)

    def repair_links(self) -> None:
        """Replace all links by healthy ones; messages in transit on a partitioned link are lost."""
        for pair in self.links:
            self.links[pair] = Link()

    def schedule_writes(self, rng: random.Random, writes_per_second: float, end_ms: float) -> None:
        """Schedule the clients' writes and their retries, some of them concurrent, via random gateways."""
        first_sent_ms, number = FIRST_WRITE_MS, 0
        while first_sent_ms < end_ms:
            first_sent_ms += rng.expovariate(writes_per_second) * 1000
            number += 1
            times_ms = [first_sent_ms]
            while rng.random() < RETRY_PROBABILITY:
                times_ms.append(first_sent_ms + rng.choice(RETRY_DELAYS_MS))
            for sent_ms in times_ms:
                if sent_ms < LAST_RETRY_MS - REQUEST_TIMEOUT_MS:
                    self._schedule_request(ClientRequest(f"k{number}", rng.randrange(self.members), sent_ms))
            self._schedule_request(ClientRequest(f"k{number}", rng.randrange(self.members), LAST_RETRY_MS))

    def _schedule_request(self, request: ClientRequest) -> None:
        self.requests.append(request)
        self.clock.at(request.sent_ms, partial(self.gateways[request.gateway].submit, request))
