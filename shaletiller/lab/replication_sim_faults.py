"""Seeded schedules of faults for the replication simulation."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum
from functools import partial

from shaletiller.lab.replication_sim_fleet import FAULTS_BEGIN_MS, FAULTS_END_MS, SimulatedFleet
from shaletiller.lab.replication_sim_gateway import SLOW_SYNC_MS, SYNC_MS

# Maximum faults in one schedule. A larger value makes more faults overlap; a smaller value leaves more time
# without faults, in which writes are served.
MAX_FAULTS = 4
# Minimum time between the start of a fault and `FAULTS_END_MS`, at which all faults have ended.
MIN_BEGIN_BEFORE_FAULTS_END_MS = 1_500.0
DURATION_RANGE_MS = (100.0, 4_000.0)  # From less than one request timeout to several request timeouts.
INTENSITY_RANGE = (0.05, 0.4)  # Probability that a message is lost or duplicated.
SLOW_LINK_MS = 500.0  # Maximum delay of a slow link with intensity 1.


class FaultKind(StrEnum):
    """A kind of fault; the value is its name in reports.

    The order of the members determines which fault a seed selects.
    """

    LOSS = "loss"
    SLOW_LINKS = "slow"
    DUPLICATION = "doubled"
    PARTITION = "cut"
    ONE_WAY_PARTITION = "one-way"
    CRASH = "kill"
    DISK_LOSS = "wipe"
    PAUSE = "pause"
    SLOW_DISK = "slow disk"
    FULL_DISK = "full disk"


_PARTITIONS = frozenset({FaultKind.PARTITION, FaultKind.ONE_WAY_PARTITION})
_LINK_FAULTS = _PARTITIONS | {FaultKind.LOSS, FaultKind.SLOW_LINKS, FaultKind.DUPLICATION}


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault of all links, of the links between `side` and the other members, or of one member."""

    kind: FaultKind
    begin_ms: float
    end_ms: float
    member: int
    side: frozenset[int]
    intensity: float

    def __str__(self) -> str:
        target = sorted(self.side) if self.kind in _PARTITIONS else self.member
        return f"{self.kind} {target} {self.begin_ms:.0f}-{self.end_ms:.0f} ms"


def generate_faults(rng: random.Random, members: int) -> list[Fault]:
    """Generate the random faults of one schedule; all of them end by `FAULTS_END_MS`.

    At most one disk is lost, because the protocol tolerates the loss of one copy only.
    """
    faults: list[Fault] = []
    for _ in range(rng.randint(1, MAX_FAULTS)):
        kind = rng.choice(list(FaultKind))
        if kind is FaultKind.DISK_LOSS and any(fault.kind is FaultKind.DISK_LOSS for fault in faults):
            kind = FaultKind.CRASH
        begin_ms = rng.uniform(FAULTS_BEGIN_MS, FAULTS_END_MS - MIN_BEGIN_BEFORE_FAULTS_END_MS)
        end_ms = min(FAULTS_END_MS, begin_ms + rng.uniform(*DURATION_RANGE_MS))
        member = rng.randrange(members)
        side = frozenset(rng.sample(range(members), rng.randint(1, members // 2)))
        faults.append(Fault(kind, begin_ms, end_ms, member, side, rng.uniform(*INTENSITY_RANGE)))
    return faults


def schedule_faults(fleet: SimulatedFleet, faults: list[Fault]) -> None:
    """Schedule the beginning and the end of each fault on the fleet's clock."""
    for fault in faults:
        fleet.clock.at(fault.begin_ms, partial(_handle_fault_begin, fleet, fault))
        fleet.clock.at(fault.end_ms, partial(_handle_fault_end, fleet, fault))


def _handle_fault_begin(fleet: SimulatedFleet, fault: Fault) -> None:
    gateway = fleet.gateways[fault.member]
    match fault.kind:
        case FaultKind.CRASH:
            gateway.crash()
        case FaultKind.DISK_LOSS:
            gateway.lose_disk()
        case FaultKind.PAUSE:
            gateway.pause()
        case FaultKind.SLOW_DISK:
            gateway.sync_ms = SLOW_SYNC_MS
        case FaultKind.FULL_DISK:
            gateway.disk_full = True
        case FaultKind.PARTITION | FaultKind.ONE_WAY_PARTITION:
            _partition(fleet, fault)
        case _:
            _degrade_links(fleet, fault)


def _partition(fleet: SimulatedFleet, fault: Fault) -> None:
    for (sender, recipient), link in fleet.links.items():
        crosses_partition = (sender in fault.side) != (recipient in fault.side)
        if crosses_partition and (fault.kind is FaultKind.PARTITION or sender in fault.side):
            link.cut = True


def _degrade_links(fleet: SimulatedFleet, fault: Fault) -> None:
    for link in fleet.links.values():
        if fault.kind is FaultKind.LOSS:
            link.loss = fault.intensity
        elif fault.kind is FaultKind.SLOW_LINKS:
            link.most_ms = SLOW_LINK_MS * fault.intensity
        else:
            link.doubled = fault.intensity


def _handle_fault_end(fleet: SimulatedFleet, fault: Fault) -> None:
    gateway = fleet.gateways[fault.member]
    if fault.kind in _LINK_FAULTS:
        fleet.repair_links()
    elif fault.kind in (FaultKind.CRASH, FaultKind.DISK_LOSS):
        if not gateway.running:
            gateway.start()
    elif fault.kind is FaultKind.PAUSE:
        gateway.resume()
    else:
        gateway.sync_ms, gateway.disk_full = SYNC_MS, False
