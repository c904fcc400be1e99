"""Replicated operator commands: ejections of storage nodes and the drain of this gateway."""

from __future__ import annotations

import logging
from typing import Protocol

from shaletiller.clock import Clock
from shaletiller.core.manual_ejection import ManualEjections
from shaletiller.fleet.codec import HealthRecord
from shaletiller.fleet.coordinator import FleetCoordinator
from shaletiller.fleet.health_gossip import MAX_LIFETIME_MS, HealthKind
from shaletiller.net.replication.port import RECORD_RETENTION_MS, ReplicationPort
from shaletiller.replication.errors import NotReplicatedError
from shaletiller.replication.proposer import Precondition
from shaletiller.replication.records import OperatorCommand, decode_value, pack

logger = logging.getLogger(__name__)

# Prefixes of register keys. They are part of the stored data and must not change.
EJECTION_PREFIX, DRAIN_PREFIX = "ban:", "drain:"
COMMAND_TIMEOUT_MS = 2_000.0  # An operator waits for the result; a majority that is up replies sooner.
# Timeout for reading the drain state at a start. No request waits for it, but the endpoint list is restored
# from the replicas only afterwards.
RECOVERY_TIMEOUT_MS = 30_000.0


class DrainSwitch(Protocol):
    """Drains the gateway's listeners."""

    def set_draining(self, draining: bool) -> None:
        """Start or stop draining the gateway."""


class ReplicatedCommands:
    """Commits operator commands to the replicas, and applies the stored commands at a start."""

    def __init__(
        self,
        port: ReplicationPort,
        coordinator: FleetCoordinator,
        ejections: ManualEjections,
        drain_switch: DrainSwitch,
        clock: Clock,
        gateway: str,
    ) -> None:
        """Create the replication of the commands that operators give at one gateway.

        :param drain_switch: set at a start to the drain state stored on the replicas.
        :param gateway: name of the gateway.
        """
        self._port, self._coordinator, self._ejections = port, coordinator, ejections
        self._drain_switch, self._clock, self._gateway = drain_switch, clock, gateway

    async def replicate_ejection(self, node: str) -> None:
        """Commit the ejection of a storage node or its removal, which is already in effect at this gateway.

        :raises NotReplicatedError: if no majority of the replicas accepts the command in time.
        """
        record = self._coordinator.fleet.health.ejection_record(node)
        if record is not None:
            await self._commit(f"{EJECTION_PREFIX}{node}", record.value > 0, record.timestamp)

    async def replicate_drain(self, drained: bool) -> None:
        """Commit the drain of this gateway or its removal, which is already in effect.

        :raises NotReplicatedError: if no majority of the replicas accepts the command in time.
        """
        timestamp = self._coordinator.fleet.clock.now(self._clock.now_ms())
        await self._commit(f"{DRAIN_PREFIX}{self._gateway}", drained, timestamp)

    async def _commit(self, key: str, in_effect: bool, timestamp: int) -> None:
        expires_ms = int(self._clock.now_ms() + RECORD_RETENTION_MS)
        command = OperatorCommand(in_effect, timestamp, self._port.node.member, expires_ms)
        result = await self._port.propose(key, Precondition.OLDER_STAMP, pack(command), COMMAND_TIMEOUT_MS)
        if not result.committed and result.indeterminate:
            raise NotReplicatedError

    def local_ejections(self) -> dict[str, OperatorCommand]:
        """Return the ejection commands by storage node of which this gateway holds a replica."""
        commands = {}
        for key, row in self._port.node.acceptor.rows.items():
            command = decode_value(row.value) if key.startswith(EJECTION_PREFIX) else None
            if isinstance(command, OperatorCommand):
                commands[key.removeprefix(EJECTION_PREFIX)] = command
        return commands

    def apply_local_ejections(self) -> None:
        """Apply the ejection commands of the local replicas, with their original stamps.

        They take precedence over the ejections in the file that the previous process wrote.
        """
        now_ms = self._clock.now_ms()
        for node, command in self.local_ejections().items():
            if not command.in_effect and node in self._ejections.nodes:
                self._ejections.remove(node)
            expires_ms = int(min(command.expires_ms, now_ms + MAX_LIFETIME_MS / 2))
            self._coordinator.restore(
                HealthRecord(
                    node,
                    int(HealthKind.EJECTED),
                    command.issuer,
                    0,
                    command.stamp,
                    expires_ms,
                    int(command.in_effect),
                )
            )

    def publish_unreplicated_ejections(self) -> None:
        """Gossip the ejections that are only in this gateway's file."""
        for node in sorted(self._ejections.nodes - self.local_ejections().keys()):
            self._coordinator.set_ejected(node, True, self._clock.now_ms())

    async def apply_drain(self) -> None:
        """Apply the drain state of this gateway that is stored on the replicas."""
        key = f"{DRAIN_PREFIX}{self._gateway}"
        result = await self._port.propose(key, Precondition.READ_ONLY, b"", RECOVERY_TIMEOUT_MS)
        command = decode_value(result.value)
        if isinstance(command, OperatorCommand):
            self._drain_switch.set_draining(command.in_effect)
