"""Storage of lease tables on the replicas.

The successor of a granter reads the table instead of waiting until all leases of its predecessor have
expired. Implements `shaletiller.fleet.leases.LeaseTable`.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from shaletiller.clock import Clock
from shaletiller.fleet.core import Fleet
from shaletiller.fleet.leases import GranterId
from shaletiller.fleet.quotas import NO_ALLOWANCE, Allowance, from_wire, to_wire
from shaletiller.net.replication.port import ReplicationPort
from shaletiller.replication.effects import CommitPosition, OperationResult
from shaletiller.replication.proposer import Precondition
from shaletiller.replication.records import LeaseTableRecord, decode_value, pack

LEASE_PREFIX = "lease:"  # Prefix of register keys. It is part of the stored data and must not change.
# Less than half of the default lease duration. If a table is not committed by then, its grants are not sent.
WRITE_TIMEOUT_MS = 400.0
RETENTION_MS = 600_000.0  # Longer than the duration of any pledge.


@dataclass(slots=True, frozen=True)
class _CommittedTable:
    value: bytes = b""
    position: CommitPosition | None = None


class LeaseTableStorage:
    """Reads and writes the lease tables of the limits that this gateway grants."""

    def __init__(
        self,
        port: ReplicationPort,
        fleet: Fleet,
        clock: Clock,
        spawn: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        """Create the storage for the lease tables of one member.

        :param fleet: this member of the fleet.
        :param spawn: runs a coroutine in the background.
        """
        self._port, self._fleet, self._clock, self._spawn = port, fleet, clock, spawn
        self._tables: dict[str, _CommittedTable] = {}  # The last table that this gateway committed, by limit.
        self._last_number = 0

    def take_over(self, limit: str) -> None:
        """Start to take over the table of a limit from its previous granter.

        `LeaseManager` is notified of the result.
        """
        self._spawn(self._take_over(limit))

    def write(self, limit: str, leased: Allowance) -> None:
        """Start to write the total that this granter has leased of a limit.

        `LeaseManager` is notified of the result.
        """
        self._spawn(self._write(limit, *to_wire(leased)))

    async def _take_over(self, limit: str) -> None:
        key = f"{LEASE_PREFIX}{limit}"
        current = await self._port.propose(key, Precondition.READ_ONLY, b"", WRITE_TIMEOUT_MS)
        if current.indeterminate or not await self._replace(limit, key, current):
            self._fleet.leases.on_table_written(limit, False, self._clock.now_ms())

    async def _replace(self, limit: str, key: str, current: OperationResult) -> bool:
        """Replace the table of the previous granter by one of this granter with the same amounts.

        :returns: whether the new table is committed.
        """
        stored = decode_value(current.value)
        previous = stored if isinstance(stored, LeaseTableRecord) else None
        value = (
            self._encode(previous.rate, previous.burst, previous.recorded_ms)
            if previous is not None
            else self._encode(0, 0, 0)
        )
        precondition = Precondition.EQUALS if current.value else Precondition.FREE
        result = await self._port.propose(
            key, precondition, value, WRITE_TIMEOUT_MS, current.value, retention_ms=RETENTION_MS
        )
        if not result.committed:
            return False
        self._tables[limit] = _CommittedTable(value, result.position)
        self._fleet.leases.on_table_acquired(
            limit,
            GranterId(previous.granter, previous.incarnation) if previous is not None else None,
            from_wire(previous.rate, previous.burst) if previous is not None else NO_ALLOWANCE,
            previous.recorded_ms if previous is not None else 0.0,
            self._clock.now_ms(),
        )
        return True

    async def _write(self, limit: str, rate: int, burst: int) -> None:
        # If this write fails, the stored table is unknown until it is taken over again.
        previous = self._tables.pop(limit, _CommittedTable())
        value = self._encode(rate, burst, int(self._clock.now_ms()))
        result = await self._port.propose(
            f"{LEASE_PREFIX}{limit}",
            Precondition.EQUALS,
            value,
            WRITE_TIMEOUT_MS,
            previous.value,
            previous.position,
            RETENTION_MS,
        )
        if result.committed:
            self._tables[limit] = _CommittedTable(value, result.position)
        self._fleet.leases.on_table_written(limit, result.committed, self._clock.now_ms())

    def _encode(self, rate: int, burst: int, recorded_ms: int) -> bytes:
        self._last_number += 1
        table = LeaseTableRecord(
            self._port.node.member, self._fleet.incarnation, self._last_number, recorded_ms, rate, burst
        )
        return pack(table)
