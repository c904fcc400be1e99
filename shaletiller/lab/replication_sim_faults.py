"""Seeded schedules of faults for the replication simulation."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum
from functools import partial

from shaletiller.lab.replication_sim_fleet import FAULTS_BEGIN_MS, FAULTS_END_MS, SimulatedFleet
from shaletiller.lab.replication_sim_gateway import SLOW_SYNC_MS, SYNC_MS

MAX_FAULTS = 4  # empirical: faults that overlap, against time in which writes are served
LAST_FAULT_BEFORE_END_MS = 1_500.0  # the last fault begins so long before all are over
DURATION_MS = (100.0, 4_000.0)  # from less than a request's timeout to several of them
INTENSITY = (0.05, 0.4)  # share of the messages that are lost or duplicated
SLOW_LINK_MS = 500.0  # the longest delay of a link that is slow with intensity 1


class FaultKind(StrEnum):
    """A kind of fault; the value is its name in reports.  The order is that of the draws of a seed."""

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
    """One fault: of all links, of the links between one side and the others, or of one member."""

    kind: FaultKind
    begin_ms: float
    end_ms: float
    member: int
    side: frozenset[int]
    intensity: float

    def __str__(self) -> str:
        whom = sorted(self.side) if self.kind in _PARTITIONS else self.member
        return f"{self.kind} {whom} {self.begin_ms:.0f}-{self.end_ms:.0f} ms"


def draw_faults(draw: random.Random, members: int) -> list[Fault]:
    """Draw the faults of a schedule, all over by `FAULTS_END_MS`.

    At most one disk is lost: the protocol survives the loss of one copy, and promises nothing for two.
    """
    faults: list[Fault] = []
    for _ in range(draw.randint(1, MAX_FAULTS)):
        kind = draw.choice(list(FaultKind))
        if kind is FaultKind.DISK_LOSS and any(fault.kind is FaultKind.DISK_LOSS for fault in faults):
            kind = FaultKind.CRASH
        begin_ms = draw.uniform(FAULTS_BEGIN_MS, FAULTS_END_MS - LAST_FAULT_BEFORE_END_MS)
        end_ms = min(FAULTS_END_MS, begin_ms + draw.uniform(*DURATION_MS))
        member = draw.randrange(members)
        side = frozenset(draw.sample(range(members), draw.randint(1, members // 2)))
        faults.append(Fault(kind, begin_ms, end_ms, member, side, draw.uniform(*INTENSITY)))
    return faults


def schedule_faults(fleet: SimulatedFleet, faults: list[Fault]) -> None:
    """Schedule the begin and the end of each fault."""
    for fault in faults:
        fleet.clock.at(fault.begin_ms, partial(_begin, fleet, fault))
        fleet.clock.at(fault.end_ms, partial(_end, fleet, fault))


def _begin(fleet: SimulatedFleet, fault: Fault) -> None:
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
        crosses = (sender in fault.side) != (recipient in fault.side)
        if crosses and (fault.kind is FaultKind.PARTITION or sender in fault.side):
            link.cut = True


def _degrade_links(fleet: SimulatedFleet, fault: Fault) -> None:
    for link in fleet.links.values():
        if fault.kind is FaultKind.LOSS:
            link.loss = fault.intensity
        elif fault.kind is FaultKind.SLOW_LINKS:
            link.most_ms = SLOW_LINK_MS * fault.intensity
        else:
            link.doubled = fault.intensity


def _end(fleet: SimulatedFleet, fault: Fault) -> None:
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
