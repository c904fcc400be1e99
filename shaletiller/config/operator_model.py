"""The model of the operator file: features that operators enable in addition to the platform's.

The encoded names of the fields, with dashes, are the keys of the file; docs/fleet.md documents them.
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
    """A group of the file, whose values are in braces."""


class MemberRow(Group, frozen=True):
    """A gateway of the fleet; `address` is `host:port` and required by the carrier "tcp"."""

    name: str
    address: str = ""
    zone: str = ""


class LimitRow(Group, frozen=True):
    """The policy for a plan's rate limit while a majority of the fleet is unreachable.

    `strict` never exceeds the limit; `available` keeps serving this gateway's equal share of it.
    """

    name: str
    policy: Literal["strict", "available"] = "strict"


class FleetConfig(Group, frozen=True):
    """The fleet: gateways that share rate limits, endpoint health and warm-up budgets.

    It is disabled unless members are listed or the carrier is "datagrams", whose members are the platform's
    peers.

    - `me` is the name of this gateway's member; if it is empty, the gateway's own name.
    - `period_ms`, `ack_ms`, `suspect_ms`: the failure detector's ping period, its acknowledgement timeout,
      and how long a member is suspected before it is removed.
    - `term_ms`, `lease_ms`, `drift`: the durations of pledges and leases of the rate limits, and the maximum
      deviation of a clock's rate as a fraction; without `term_ms`, the term depends on the number of members.
    - `messages_a_second`, `gossip_ms`, `fanout`: a member's maximum message rate, its gossip period, and the
      number of members that receive each gossip message.
    - `quorum`: how many distinct observers are required before load is taken off a storage node.
    - `gather_ms`: messages to the same member within this time share a datagram.
    - `cold_budgets`: whether the fleet shares the warm-up budgets of storage nodes in slow start.
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
        """Return the options of a fleet.

        :param members: the number of members.
        :raises ValueError: if values contradict each other; the message begins with the name of one of them.
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
    """The store: a directory that outlives the process, on a disk that retains synced data.

    `dir` is empty if there is no store.  `segment_mb` is the size of a segment file.  `drill` names a file
    with faults to inject into the store's file operations, for tests only (`store/file_system.py`).
    """

    dir: str = ""
    segment_mb: PositiveFloat = 8.0
    drill: str = ""


class ClassRow(Group, frozen=True):
    """The durability of a class's writes: `copied` to other gateways before the response, or `local`."""

    name: str
    level: Literal["copied", "local"] = "copied"


class ReplicationConfig(Group, frozen=True):
    """The replication between gateways, which requires a store and a fleet over TCP.

    `copies` is the number of replicas of a record.  The outcome of a write is kept for `keep_s` seconds.
    `lease_tables` replicates the lease tables of the rate limits; it must be equal at all gateways.
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
