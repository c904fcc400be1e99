"""The replication agent: creates, starts and stops the replication components of one gateway."""

from __future__ import annotations

import asyncio
import logging

from shaletiller.clock import Clock
from shaletiller.config.operator_model import OperatorFile
from shaletiller.core.engine import Engine
from shaletiller.core.manual_ejection import ManualEjections
from shaletiller.fleet.core import group_hash
from shaletiller.net.fleet import FleetAgent
from shaletiller.net.replication.commands import DrainSwitch, ReplicatedCommands
from shaletiller.net.replication.endpoint_lists import EndpointListCache, EndpointListConsumer
from shaletiller.net.replication.lease_tables import LeaseTableStorage
from shaletiller.net.replication.port import IDLE_TICK_MS, ReplicationPort
from shaletiller.net.replication.storage import StoreOpener
from shaletiller.net.replication.writes import WriteReplicator
from shaletiller.replication.groups import ReplicaGroups
from shaletiller.replication.messages import Codec
from shaletiller.replication.node import ReplicationNode
from shaletiller.replication.writes import ReplicatedWrites
from shaletiller.store.writer import StoreWriter

logger = logging.getLogger(__name__)

LOCK_RETRY_S = 0.1  # Time between attempts to open a store that another process still has open.


class ReplicationAgent:
    """The replication components of one gateway."""

    def __init__(
        self,
        operator: OperatorFile,
        fleet: FleetAgent,
        engine: Engine,
        clock: Clock,
        gateway: str,
        ejections: ManualEjections,
        drain_switch: DrainSwitch,
        list_consumer: EndpointListConsumer,
    ) -> None:
        """Create the components.

        :param gateway: name of this gateway.
        :param drain_switch: set at a start to the drain state stored on the replicas.
        :param list_consumer: called at a start with each cached endpoint list.
        """
        settings = operator.replication
        member = fleet.coordinator.fleet
        self._clock, self._engine = clock, engine
        self._opener = StoreOpener(operator.store, clock)
        self._closed = False
        now_ms = clock.now_ms()
        groups = ReplicaGroups([row.zone for row in operator.fleet.member], settings.copies)
        codec = Codec(group_hash(operator.fleet.name, member.names), member.me, len(member.names))
        self.node = ReplicationNode(member.me, groups, None, now_ms, settings.repair_bytes_a_second)
        self.port = ReplicationPort(self.node, codec, fleet.send, member.membership, clock)
        self._writes = ReplicatedWrites(self.node, int(now_ms), settings.keep_s * 1000)
        replicated_classes = frozenset(row.name for row in settings.class_ if row.level == "copied")
        self.writes = WriteReplicator(self.port, self._writes, engine, clock, replicated_classes)
        self.commands = ReplicatedCommands(
            self.port, fleet.coordinator, ejections, drain_switch, clock, gateway
        )
        self.endpoint_lists = EndpointListCache(self.port, list_consumer, gateway)
        self.lease_tables = LeaseTableStorage(self.port, member, clock, engine.spawn)
        if settings.lease_tables:
            member.leases.use_table(self.lease_tables)
        fleet.set_replication_handler(self.port.receive)

    def open(self) -> bool:
        """Open the store; called before the gateway serves requests.

        If the store cannot be opened, for example because another process has it open, `start` retries.

        :returns: whether the store is open.
        """
        store = self._opener.open()
        if store is None:
            return False
        writer = StoreWriter(store)
        writer.start()
        records = [(record.kind, record.key, record.value) for record in store]
        self.port.open(writer, records)
        logger.info(
            "store: opened with %d records, incarnation %d", len(records), self.node.acceptor.incarnation
        )
        self.endpoint_lists.restore_from_store(store)
        return True

    async def start(self) -> None:
        """Start the timer, and start recovery in the background."""
        self.port.start()
        self._engine.spawn(self._recover())

    async def _recover(self) -> None:
        """Open the store if necessary, then apply the state that it and the other replicas hold."""
        while self.port.writer is None:
            await asyncio.sleep(LOCK_RETRY_S)
            if self._closed or self.open():
                break
        self.commands.apply_local_ejections()
        while not self.node.fully_synced:
            await asyncio.sleep(IDLE_TICK_MS / 1000)
        logger.info("replication: state transfer complete, this gateway votes on all keys of its groups")
        self.commands.apply_local_ejections()
        self.commands.publish_unreplicated_ejections()
        await self.commands.apply_drain()
        await self.endpoint_lists.restore_from_replicas()

    async def close(self) -> None:
        """Stop the timer and close the store, so that the next process can open it."""
        self._closed = True
        await self.port.close()

    def collect_metrics(self) -> dict[str, int]:
        """Return the metrics of replication and of the store for STATS; see docs/operations.md."""
        return {**self._replication_metrics(), **self._store_metrics()}

    def _replication_metrics(self) -> dict[str, int]:
        node, acceptor = self.node, self.node.acceptor
        dropped = sorted(self.port.codec.dropped.items())
        return {
            "promises.filled": int(node.fully_synced),
            "promises.superseded": int(acceptor.superseded),
            "promises.synced": len(acceptor.synced),
            "promises.records": len(acceptor.rows),
            "promises.under_way": self._writes.active_count,
            "promises.rounds": node.proposer.rounds,
            **{f"promises.{name}": count for name, count in self._writes.counts.items()},
            "promises.repair_given": node.budget.rows_sent,
            "promises.repair_taken": node.rows_received,
            "promises.repair_bytes": node.budget.bytes_sent,
            **{f"promises.dropped.{reason}": count for reason, count in dropped},
        }

    def _store_metrics(self) -> dict[str, int]:
        writer = self.port.writer
        metrics = {
            "store.open": int(writer is not None),
            "store.damaged": int(self._opener.found_damaged),
        }
        if writer is not None:
            metrics |= {
                "store.sound": int(writer.healthy),
                "store.records": len(writer.store.index),
                "store.log_bytes": writer.store.log_bytes,
                "store.live_bytes": writer.store.live_bytes,
                "store.commits": writer.commits,
                "store.rows": writer.committed_updates,
                "store.failed": writer.failed_updates,
                "store.snapshots": writer.snapshots,
                "store.torn_bytes": writer.store.torn_bytes,
            }
        return metrics
