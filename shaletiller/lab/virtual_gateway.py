"""A gateway of a simulated fleet: the product's fleet code on a clock of its own that is a little off.

Its process can be killed and started again, or stopped and continued with all messages that arrived
meanwhile.  It spends from its quotas as a gateway does (`quotas.QuotaBucket`).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from shaletiller.fleet.core import Fleet
from shaletiller.fleet.health_gossip import HealthKind
from shaletiller.fleet.leases import GranterId
from shaletiller.fleet.membership import MemberState
from shaletiller.fleet.quotas import NO_ALLOWANCE, Allowance, Quota, QuotaBucket
from shaletiller.lab.limit_usage import Limit, Spend

if TYPE_CHECKING:
    from shaletiller.lab.virtual_fleet import VirtualFleet

# Any date will do: gateways' clocks show the time of day, and their incarnations derive from it.
EPOCH_MS = 1_764_000_000_000.0
# Empirical: the interval of a gateway's own timers; shorter costs simulation time, longer hides reorderings.
TICK_MS = 25.0
# A replicated table is written within this, and the answer arrives within as long again: one round trip
# between gateways each, with a margin.
TABLE_WRITE_MS = 10.0
# A stopped process loses messages beyond these: about as many as a socket's receive buffer stores.
MAILBOX_MESSAGES = 4096


@dataclass(slots=True, frozen=True)
class LeaseTableEntry:
    """The replicated table of one limit: who wrote it last, and how much is leased until when.

    :param owner: number of the gateway that wrote it last, or took it over.
    :param owner_start: the start of that gateway's process, counted from 1.
    """

    owner: int
    owner_start: int
    leased: Allowance
    written_ms: float


class VirtualGateway:
    """One gateway of a simulated fleet; also the `FleetListener` of its fleet code.

    :param drift: relative error of its clock's rate.
    :param offset_ms: error of its clock at the start.
    """

    def __init__(self, world: VirtualFleet, number: int, drift: float, offset_ms: float) -> None:
        self.world, self.number = world, number
        self._clock_rate, self._offset_ms = 1 + drift, offset_ms
        self.fleet: Fleet | None = None
        self.stopped = False
        self._mailbox: deque[Callable[[], None]] = deque()
        self.quotas: dict[str, Quota] = {}
        self.buckets: dict[str, QuotaBucket] = {}
        self.windows: dict[str, deque[tuple[float, float]]] = {}
        self.starts = 0

    def clock(self) -> float:
        """Return this machine's time of day in milliseconds."""
        return EPOCH_MS + self._offset_ms + self.world.time.now_ms * self._clock_rate

    # ---- its process

    def start(self) -> None:
        """Start the process; nothing of one before is left."""
        self.starts += 1
        self.stopped = False
        self._mailbox.clear()
        self.quotas, self.buckets, self.windows = {}, {}, {}
        now_ms = self.clock()
        seed = self.world.seed * 1000 + self.starts
        self.fleet = Fleet(self.number, self.world.names, now_ms, self.world.options, self, seed)
        self.world.incarnations[self.number, self.starts] = self.fleet.incarnation
        if self.world.tables:
            self.fleet.leases.use_table(VirtualLeaseTable(self))
        start = self.starts
        # Gateways' ticks are out of step with each other.
        first_ms = self.world.time.now_ms + self.world.random.uniform(0, TICK_MS)
        self.world.time.at(first_ms, lambda: self._tick(start))

    def kill(self) -> None:
        """End the process, as SIGKILL does."""
        self.fleet = None
        self._mailbox.clear()

    def stop(self) -> None:
        """Suspend the process, as SIGSTOP does: nothing runs, and messages wait in the kernel."""
        self.stopped = True

    def resume(self) -> None:
        """Continue the process, as SIGCONT does, with the messages that arrived meanwhile."""
        self.stopped = False
        while self._mailbox and not self.stopped:
            self._mailbox.popleft()()

    def _tick(self, start: int) -> None:
        if self.fleet is None or start != self.starts:
            return
        if not self.stopped:
            self.fleet.tick(self.clock())
        self.world.time.at(self.world.time.now_ms + TICK_MS, lambda: self._tick(start))

    def handle(self, call: Callable[[], None]) -> None:
        """Run a call in the process: now, or after `resume` if the process is suspended."""
        if self.fleet is None:
            return
        if self.stopped:
            if len(self._mailbox) < MAILBOX_MESSAGES:
                self._mailbox.append(call)
            return
        call()

    # ---- the listener of its fleet code

    def send(self, member: int, data: bytes) -> None:
        """Send a message to another gateway."""
        self.world.transmit(self.number, member, data)

    def on_quota_changed(self, limit: str, quota: Quota) -> None:
        """Take a new quota, and check it together with those of the others."""
        self.quotas[limit] = quota
        self.world.check_quota_sum(limit)

    def on_health_changed(self, node: str, kind: HealthKind) -> None:
        """Record that this gateway received a health record."""
        assert self.fleet is not None
        agreed = self.fleet.agreed_health(node, kind, self.clock()) is not None
        self.world.health_changes.append(
            HealthChange(self.world.time.now_ms, self.number, node, kind, agreed)
        )

    def on_member_changed(self, member: int, before: MemberState, after: MemberState) -> None:
        """Ignore changes of the membership: no check is made of them."""

    # ---- what arrives

    def receive(self, data: bytes) -> None:
        """Take a message of another gateway."""

        def deliver() -> None:
            assert self.fleet is not None
            self.fleet.receive(data, self.clock())

        self.handle(deliver)

    def request(self, limit: Limit, units: float, hosts: int) -> None:
        """Take a client's request that counts against a limit.

        :param hosts: gateways through which the limit's clients send, for an `available` limit.
        """
        self.handle(lambda: self._spend(limit, units, hosts))

    def _spend(self, limit: Limit, units: float, hosts: int) -> None:
        assert self.fleet is not None
        now_ms = self.clock()
        even = limit.allowance.scaled(1 / hosts) if limit.policy == "available" else NO_ALLOWANCE
        self.fleet.record_demand(
            limit.name, limit.allowance, units, limit.max_request_units, now_ms, limit.settle_ms, even
        )
        quota = self.quotas.get(limit.name)
        if quota is not None and self._allows(limit, quota, units, now_ms):
            self.world.spends.append(Spend(self.world.time.now_ms, self.number, limit.name, units))

    def _allows(self, limit: Limit, quota: Quota, units: float, now_ms: float) -> bool:
        """Spend units from a quota if it covers them."""
        if limit.settle_ms <= 0:
            return self.buckets.setdefault(limit.name, QuotaBucket(0.0, now_ms)).spend(now_ms, quota, units)
        window = self.windows.setdefault(limit.name, deque())
        while window and window[0][0] <= now_ms - limit.settle_ms:
            window.popleft()
        allowed = sum(spent for _, spent in window) + units <= quota.at(now_ms).burst
        if allowed:
            window.append((now_ms, units))
        return allowed


@dataclass(slots=True, frozen=True)
class HealthChange:
    """A gateway received a health record.

    :param agreed: whether the record is in force there; otherwise it was withdrawn.
    """

    at_ms: float
    member: int
    node: str
    kind: HealthKind
    agreed: bool


class VirtualLeaseTable:
    """The replicated lease tables as one gateway reaches them (`fleet.leases.LeaseTable`).

    They stand in a register for each limit.  Only the process that wrote a register last, or took it over,
    can write it; a gateway that is cut off from all others cannot reach it.
    """

    def __init__(self, gateway: VirtualGateway) -> None:
        self._gateway, self._world = gateway, gateway.world

    def take_over(self, limit: str) -> None:
        """Write a limit's table in this gateway's name, which fences the gateway before."""
        gateway, start = self._gateway, self._gateway.starts

        def write() -> None:
            before = self._world.lease_tables.get(limit)
            leased, written_ms = (before.leased, before.written_ms) if before else (NO_ALLOWANCE, 0.0)
            self._world.lease_tables[limit] = LeaseTableEntry(gateway.number, start, leased, written_ms)
            previous = None
            if before is not None:
                incarnation = self._world.incarnations[before.owner, before.owner_start]
                previous = GranterId(before.owner, incarnation)
            self._answer(
                start,
                lambda fleet: fleet.leases.on_table_acquired(
                    limit, previous, leased, written_ms, gateway.clock()
                ),
            )

        self._send_write(limit, start, write)

    def write(self, limit: str, leased: Allowance) -> None:
        """Write the total leased of a limit, unless another gateway has taken the table over."""
        gateway, start, requested_ms = self._gateway, self._gateway.starts, self._gateway.clock()

        def write() -> None:
            before = self._world.lease_tables.get(limit)
            owns = before is not None and (before.owner, before.owner_start) == (gateway.number, start)
            if owns:
                self._world.lease_tables[limit] = LeaseTableEntry(gateway.number, start, leased, requested_ms)
            self._answer_written(limit, start, owns)

        self._send_write(limit, start, write)

    def _send_write(self, limit: str, start: int, write: Callable[[], None]) -> None:
        """Let a write reach the register after a delay, or fail it if this gateway is cut off."""
        number = self._gateway.number
        cut_links = sum(link.cut for ends, link in self._world.links.items() if number in ends)
        at_ms = self._world.time.now_ms + self._world.random.uniform(1.0, TABLE_WRITE_MS)
        if cut_links >= self._world.members - 1:
            self._world.time.at(at_ms, lambda: self._answer_written(limit, start, False))
        else:
            self._world.time.at(at_ms, write)

    def _answer_written(self, limit: str, start: int, written: bool) -> None:
        clock = self._gateway.clock
        self._answer(start, lambda fleet: fleet.leases.on_table_written(limit, written, clock()))

    def _answer(self, start: int, call: Callable[[Fleet], None]) -> None:
        """Deliver an answer later than its write: meanwhile another gateway may have taken over."""
        gateway = self._gateway

        def deliver() -> None:
            if start == gateway.starts:
                gateway.handle(lambda: call(gateway.fleet) if gateway.fleet is not None else None)

        self._world.time.at(
            self._world.time.now_ms + self._world.random.uniform(1.0, TABLE_WRITE_MS), deliver
        )
