"""A gateway of a simulated fleet: the production fleet code with a clock that deviates from true time.

Its process can be killed and restarted, or suspended and resumed; when it resumes, it handles the messages
that arrived in the meantime.  It spends from its quotas as a real gateway does (`quotas.QuotaBucket`).
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

# Time of day at which a simulation begins; any date would do.  Gateways' clocks show the time of day, and
# incarnations derive from them.
EPOCH_MS = 1_764_000_000_000.0
# Interval of a gateway's timers.  A smaller value makes simulations slower; a larger value hides reorderings.
TICK_MS = 25.0
# Maximum time until a write reaches the replicated table, and again until its response arrives: for each, one
# round trip between gateways plus a margin.
TABLE_WRITE_MS = 10.0
# Maximum messages that wait for a suspended process; further ones are lost.  About as many as a socket's
# receive buffer holds.
MAX_WAITING_MESSAGES = 4096


@dataclass(slots=True, frozen=True)
class LeaseTableEntry:
    """The replicated lease table of one limit: its last writer, and the total leased.

    :param owner: number of the gateway that last wrote the table or took it over.
    :param owner_start: number of that gateway's process start, counted from 1.
    :param leased: total of the leases of the limit.
    :param written_ms: when the last write of `leased` was requested, by the writer's clock.
    """

    owner: int
    owner_start: int
    leased: Allowance
    written_ms: float


class VirtualGateway:
    """A gateway of a simulated fleet, and the `FleetListener` of its fleet code.

    :param number: its index in the fleet.
    :param drift: relative error of its clock's rate.
    :param offset_ms: error of its clock at the start.
    """

    def __init__(self, virtual_fleet: VirtualFleet, number: int, drift: float, offset_ms: float) -> None:
        self.virtual_fleet, self.number = virtual_fleet, number
        self._clock_rate, self._offset_ms = 1 + drift, offset_ms
        self.fleet: Fleet | None = None
        self.stopped = False
        self._waiting_calls: deque[Callable[[], None]] = deque()
        self.quotas: dict[str, Quota] = {}
        self.buckets: dict[str, QuotaBucket] = {}
        self.windows: dict[str, deque[tuple[float, float]]] = {}
        self.starts = 0

    def clock(self) -> float:
        """Return this machine's time of day in milliseconds."""
        return EPOCH_MS + self._offset_ms + self.virtual_fleet.time.now_ms * self._clock_rate

    def start(self) -> None:
        """Start the process, without any state of a previous one."""
        self.starts += 1
        self.stopped = False
        self._waiting_calls.clear()
        self.quotas, self.buckets, self.windows = {}, {}, {}
        now_ms = self.clock()
        seed = self.virtual_fleet.seed * 1000 + self.starts
        self.fleet = Fleet(
            self.number, self.virtual_fleet.names, now_ms, self.virtual_fleet.options, self, seed
        )
        self.virtual_fleet.incarnations[self.number, self.starts] = self.fleet.incarnation
        if self.virtual_fleet.tables:
            self.fleet.leases.use_table(VirtualLeaseTable(self))
        start = self.starts
        # A random delay, so that the gateways do not tick at the same times.
        first_ms = self.virtual_fleet.time.now_ms + self.virtual_fleet.random.uniform(0, TICK_MS)
        self.virtual_fleet.time.at(first_ms, lambda: self._tick(start))

    def kill(self) -> None:
        """Kill the process, as SIGKILL does."""
        self.fleet = None
        self._waiting_calls.clear()

    def stop(self) -> None:
        """Suspend the process, as SIGSTOP does; messages wait in the kernel's receive buffer."""
        self.stopped = True

    def resume(self) -> None:
        """Resume the process, as SIGCONT does, and handle the messages that arrived in the meantime."""
        self.stopped = False
        while self._waiting_calls and not self.stopped:
            self._waiting_calls.popleft()()

    def _tick(self, start: int) -> None:
        if self.fleet is None or start != self.starts:
            return
        if not self.stopped:
            self.fleet.tick(self.clock())
        self.virtual_fleet.time.at(self.virtual_fleet.time.now_ms + TICK_MS, lambda: self._tick(start))

    def run_in_process(self, call: Callable[[], None]) -> None:
        """Run a call in the process, or after `resume` if it is suspended; drop the call if it was killed."""
        if self.fleet is None:
            return
        if self.stopped:
            if len(self._waiting_calls) < MAX_WAITING_MESSAGES:
                self._waiting_calls.append(call)
            return
        call()

    def send(self, member: int, data: bytes) -> None:
        """Send a message to another gateway."""
        self.virtual_fleet.transmit(self.number, member, data)

    def on_quota_changed(self, limit: str, quota: Quota) -> None:
        """Store a new quota, and check the sum of all gateways' quotas."""
        self.quotas[limit] = quota
        self.virtual_fleet.check_quota_sum(limit)

    def on_health_changed(self, node: str, kind: HealthKind) -> None:
        """Record that this gateway received a health record."""
        assert self.fleet is not None
        agreed = self.fleet.agreed_health(node, kind, self.clock()) is not None
        self.virtual_fleet.health_changes.append(
            HealthChange(self.virtual_fleet.time.now_ms, self.number, node, kind, agreed)
        )

    def on_member_changed(self, member: int, before: MemberState, after: MemberState) -> None:
        """Ignore membership changes, which no check covers."""

    def receive(self, data: bytes) -> None:
        """Handle a message from another gateway."""

        def deliver() -> None:
            assert self.fleet is not None
            self.fleet.receive(data, self.clock())

        self.run_in_process(deliver)

    def request(self, limit: Limit, units: float, hosts: int) -> None:
        """Handle a client's request that counts against a limit.

        :param hosts: number of gateways through which the limit's clients send, for an `available` limit.
        """
        self.run_in_process(lambda: self._spend(limit, units, hosts))

    def _spend(self, limit: Limit, units: float, hosts: int) -> None:
        assert self.fleet is not None
        now_ms = self.clock()
        equal_share = limit.allowance.scaled(1 / hosts) if limit.policy == "available" else NO_ALLOWANCE
        self.fleet.record_demand(
            limit.name, limit.allowance, units, limit.max_request_units, now_ms, limit.settle_ms, equal_share
        )
        quota = self.quotas.get(limit.name)
        if quota is not None and self._try_spend(limit, quota, units, now_ms):
            self.virtual_fleet.spends.append(
                Spend(self.virtual_fleet.time.now_ms, self.number, limit.name, units)
            )

    def _try_spend(self, limit: Limit, quota: Quota, units: float, now_ms: float) -> bool:
        """Spend units from a quota if it covers them; return whether it does."""
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
    """A change of a health record at one gateway.

    :param agreed: whether the record is in force at that gateway; otherwise it was withdrawn.
    """

    at_ms: float
    member: int
    node: str
    kind: HealthKind
    agreed: bool


class VirtualLeaseTable:
    """Access of one gateway to the replicated lease tables (`fleet.leases.LeaseTable`).

    Each limit has a register for its table.  Only the process that last wrote the register or took it over
    can write it, and a gateway that is cut off from all others cannot reach it.
    """

    def __init__(self, gateway: VirtualGateway) -> None:
        self._gateway, self._virtual_fleet = gateway, gateway.virtual_fleet

    def take_over(self, limit: str) -> None:
        """Become the owner of a limit's table, which fences off the previous owner."""
        gateway, start = self._gateway, self._gateway.starts

        def write() -> None:
            entry = self._virtual_fleet.lease_tables.get(limit)
            leased, written_ms = (entry.leased, entry.written_ms) if entry else (NO_ALLOWANCE, 0.0)
            self._virtual_fleet.lease_tables[limit] = LeaseTableEntry(
                gateway.number, start, leased, written_ms
            )
            previous = None
            if entry is not None:
                incarnation = self._virtual_fleet.incarnations[entry.owner, entry.owner_start]
                previous = GranterId(entry.owner, incarnation)
            self._respond(
                start,
                lambda fleet: fleet.leases.on_table_acquired(
                    limit, previous, leased, written_ms, gateway.clock()
                ),
            )

        self._send_write(limit, start, write)

    def write(self, limit: str, leased: Allowance) -> None:
        """Write the total of a limit's leases, unless another process has taken over the table."""
        gateway, start, requested_ms = self._gateway, self._gateway.starts, self._gateway.clock()

        def write() -> None:
            entry = self._virtual_fleet.lease_tables.get(limit)
            is_owner = entry is not None and (entry.owner, entry.owner_start) == (gateway.number, start)
            if is_owner:
                self._virtual_fleet.lease_tables[limit] = LeaseTableEntry(
                    gateway.number, start, leased, requested_ms
                )
            self._respond_written(limit, start, is_owner)

        self._send_write(limit, start, write)

    def _send_write(self, limit: str, start: int, write: Callable[[], None]) -> None:
        """Schedule a write to reach the register, or to fail if this gateway is cut off."""
        number = self._gateway.number
        cut_links = sum(link.cut for ends, link in self._virtual_fleet.links.items() if number in ends)
        at_ms = self._virtual_fleet.time.now_ms + self._virtual_fleet.random.uniform(1.0, TABLE_WRITE_MS)
        if cut_links >= self._virtual_fleet.members - 1:
            self._virtual_fleet.time.at(at_ms, lambda: self._respond_written(limit, start, False))
        else:
            self._virtual_fleet.time.at(at_ms, write)

    def _respond_written(self, limit: str, start: int, written: bool) -> None:
        clock = self._gateway.clock
        self._respond(start, lambda fleet: fleet.leases.on_table_written(limit, written, clock()))

    def _respond(self, start: int, call: Callable[[Fleet], None]) -> None:
        """Deliver a response after a delay, in which another gateway may take over the table."""
        gateway = self._gateway

        def deliver() -> None:
            if start == gateway.starts:
                gateway.run_in_process(lambda: call(gateway.fleet) if gateway.fleet is not None else None)

        self._virtual_fleet.time.at(
            self._virtual_fleet.time.now_ms + self._virtual_fleet.random.uniform(1.0, TABLE_WRITE_MS), deliver
        )
