"""The model of the operator file: what operators switch on beyond the platform.

The structures' encoded names, with dashes, are the keys of the file; docs/fleet.md explains them.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from shaletiller.fleet.core import FleetOptions
from shaletiller.fleet.leases import LeaseTiming
from shaletiller.fleet.membership import MembershipTiming

PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]


class Group(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """A group of the file: its values are in braces."""


class MemberRow(Group, frozen=True):
    """A gateway of the fleet; `address` is `host:port` and needed by the carrier "tcp"."""

    name: str
    address: str = ""
    zone: str = ""


class LimitRow(Group, frozen=True):
    """What becomes of a plan's rate limit while most of the fleet cannot be reached.

    `strict` never exceeds the limit; `available` goes on serving this gateway's even part.
    """

    name: str
    policy: Literal["strict", "available"] = "strict"


class FleetConfig(Group, frozen=True):
    """The fleet: gateways that share rate limits, endpoint health and warm-up budgets.

    It is off unless members are listed, or the carrier is the platform's datagrams, whose peers they are.

    - `me` is this gateway's member; where it is empty, the member of the gateway's own name.
    - `period_ms`, `ack_ms`, `suspect_ms`: the failure detector's ping period, its acknowledgement timeout,
      and how long a member is suspected before it is removed.
    - `term_ms`, `lease_ms`, `drift`: the leases of the rate limits, and by how much a clock's rate may differ
      from true time; without `term_ms` the term follows from the number of members.
    - `messages_a_second`, `gossip_ms`, `fanout`: the traffic of one member, its gossip period, and to how
      many members a round goes.
    - `quorum`: the observers that must agree before a storage node counts as down.
    - `gather_ms`: messages to one member within so long share a datagram.
    - `cold_budgets`: whether the budgets of storage nodes that warm up are shared by the fleet.
    """

    name: str = ""
    me: str = ""
    carrier: Literal["tcp", "datagrams"] = "tcp"
    member: tuple[MemberRow, ...] = ()
    limit: tuple[LimitRow, ...] = ()
    period_ms: PositiveFloat = 200.0
    ack_ms: PositiveFloat = 80.0
    suspect_ms: PositiveFloat = 1_500.0
    term_ms: PositiveFloat | None = None
    lease_ms: PositiveFloat = 1_000.0
    drift: Annotated[float, msgspec.Meta(ge=0, lt=0.2)] = 0.01
    messages_a_second: PositiveFloat = 100.0
    gossip_ms: PositiveFloat = 100.0
    fanout: PositiveInt = 3
    quorum: PositiveInt = 2
    gather_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    cold_budgets: bool = True

    @property
    def on(self) -> bool:
        """Whether the gateway is a member of a fleet."""
        return bool(self.member) or self.carrier == "datagrams"

    def options(self, members: int) -> FleetOptions:
        """The options of a fleet of so many members.

        :raises ValueError: with the name of a value that contradicts another one.
        """
        terms = LeaseTiming.for_members(members)
        return FleetOptions(
            timing=MembershipTiming(self.period_ms, self.ack_ms, self.suspect_ms),
            lease_timing=LeaseTiming(
                self.term_ms or max(terms.term_ms, 2 * self.lease_ms), self.lease_ms, self.drift
            ),
            messages_a_second=self.messages_a_second,
            gossip_ms=self.gossip_ms,
            fanout=self.fanout,
            quorum=self.quorum,
            gather_ms=self.gather_ms,
        )


class StoreConfig(Group, frozen=True):
    """The store: a directory that survives the process, on a disk that keeps what was synced.

    `dir` is empty where there is none.  `segment_mb` is the size of its files.  `drill` names a file of
    faults to inject below the store, for drills only (`store/file_system.py`).
    """

    dir: str = ""
    segment_mb: PositiveFloat = 8.0
    drill: str = ""


class ClassRow(Group, frozen=True):
    """The durability of a class's writes: `copied` to further gateways before they count, or `local`."""

    name: str
    level: Literal["copied", "local"] = "copied"


class ReplicationConfig(Group, frozen=True):
    """The replication between gateways; it needs a store and a fleet over TCP.

    `copies` is the number of replicas of a record.  The outcome of a write is known for `keep_s`.
    `lease_tables` replicates the tables of the rate limits' leases; it must be equal at all gateways.
    """

    on: bool = False
    class_: tuple[ClassRow, ...] = msgspec.field(default=(), name="class")
    copies: Annotated[int, msgspec.Meta(ge=1, le=7)] = 3
    keep_s: PositiveFloat = 86_400.0
    repair_bytes_a_second: PositiveFloat = 4_000_000.0
    lease_tables: bool = False


class OperatorFile(Group, frozen=True):
    """The complete file."""

    fleet: FleetConfig = FleetConfig()
    store: StoreConfig = StoreConfig()
    replication: ReplicationConfig = msgspec.field(default=ReplicationConfig(), name="promises")
