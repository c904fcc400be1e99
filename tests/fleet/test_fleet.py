"""Unit tests of the fleet's modules, without sockets and with a clock that the tests control."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shaletiller.fleet import codec
from shaletiller.fleet.broadcast_queue import BroadcastQueue
from shaletiller.fleet.codec import (
    EnvelopeReader,
    EnvelopeWriter,
    HealthRecord,
    LeaseGrant,
    LeaseRequest,
    Ping,
    Pledge,
    PledgeRequest,
    encode,
)
from shaletiller.fleet.core import Fleet, FleetOptions, group_hash
from shaletiller.fleet.health_gossip import HealthGossip, HealthKind, key_of
from shaletiller.fleet.hlc import HybridClock, timestamp_of, wall_ms_of
from shaletiller.fleet.leases import GranterId, LeaseManager, LeaseTiming
from shaletiller.fleet.leases.fair_share import max_min_share
from shaletiller.fleet.membership import Membership, MembershipTiming, MemberState
from shaletiller.fleet.quotas import (
    NO_ALLOWANCE,
    Allowance,
    ExpiringAllowance,
    ExpiringAllowances,
    Quota,
    QuotaBucket,
)
from shaletiller.fleet.rendezvous import highest_ranked, ranked
from shaletiller.lab.fault_schedules import run_schedule
from shaletiller.lab.virtual_fleet import VirtualFleet

GROUP, INCARNATION = 77, 1_700_000_000_000
RECORD = HealthRecord("s-1", HealthKind.UNREACHABLE, 2, 5, timestamp_of(INCARNATION), INCARNATION + 60_000, 1)
FAR_FUTURE_MS = 1e12  # after all leases have expired


def envelope(*messages: bytes, sender: int = 3, incarnation: int = INCARNATION, group: int = GROUP) -> bytes:
    """Return the first envelope of a sender."""
    return EnvelopeWriter(group, sender, incarnation).write(1, messages)


# ---- codec


@settings(max_examples=400, deadline=None)
@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_dropped_and_counted_without_an_exception(data: bytes) -> None:
    """A port scanner sends arbitrary bytes to the fleet's port.

    Each datagram is dropped and counted once; nothing is raised into the event loop.
    """
    reader = EnvelopeReader(GROUP, 0, 5)
    assert reader.read(data) is None
    assert sum(reader.dropped.values()) == 1


@settings(max_examples=300, deadline=None)
@given(st.data())
def test_a_truncated_or_corrupted_envelope_yields_only_known_messages(data: st.DataObject) -> None:
    """The network truncates an envelope or changes one of its bytes.

    A truncated envelope is dropped.  A changed envelope is dropped or yields only well-formed messages.
    """
    complete = EnvelopeWriter(GROUP, 3, INCARNATION).write(
        timestamp_of(INCARNATION), [encode(RECORD), encode(Ping(7, 1 << 62))]
    )
    at = data.draw(st.integers(0, len(complete) - 1))
    assert EnvelopeReader(GROUP, 0, 5).read(complete[:at]) is None
    changed = bytearray(complete)
    changed[at] = data.draw(st.integers(0, 255))
    received = EnvelopeReader(GROUP, 0, 5).read(bytes(changed))
    assert received is None or all(isinstance(message, codec.Message) for message in received.messages)


def test_replayed_foreign_and_outdated_envelopes_are_dropped_by_reason() -> None:
    """The network duplicates and reorders envelopes, and gateways of other fleets send envelopes too.

    Reordered envelopes are accepted; all others are dropped and counted under their own reasons.  Envelopes
    of a restarted sender are accepted.
    """
    reader = EnvelopeReader(GROUP, 0, 5)
    writer = EnvelopeWriter(GROUP, 3, INCARNATION)
    first, second = (writer.write(1, [encode(Ping(n, 0))]) for n in range(2))
    assert reader.read(second)
    assert reader.read(first)
    for raw, reason in (
        (first, "replayed"),
        (second, "replayed"),
        (envelope(incarnation=INCARNATION - 1), "life"),
        (envelope(group=GROUP + 1), "group"),
        (envelope(sender=5), "sender"),
        (envelope(sender=0), "sender"),
        (b"\x92\x02\x01", "version"),
        (b"\x97\x01", "malformed"),
    ):
        assert reader.read(raw) is None
        assert reader.dropped[reason], reason
    assert reader.read(envelope(incarnation=INCARNATION + 1)) is not None


def test_an_incarnation_of_the_far_future_locks_out_nobody() -> None:
    """A member starts with a clock that is far ahead, and is restarted with a correct clock.

    Envelopes of the first incarnation are dropped; otherwise those of the second would be dropped as
    outdated.
    """
    reader = EnvelopeReader(GROUP, 0, 5)
    assert reader.read(envelope(incarnation=INCARNATION + 10**9), INCARNATION) is None
    assert reader.read(envelope(), INCARNATION) is not None


def test_a_message_of_a_later_version_is_skipped_and_the_rest_is_read() -> None:
    """During a rolling upgrade, a newer gateway sends a message type that this gateway does not know.

    The unknown message is skipped, and the other messages of the envelope are read.
    """
    raw = envelope(b"\x92\x63\x01", encode(Ping(1, 2)))  # tag 99
    received = EnvelopeReader(GROUP, 0, 5).read(raw)
    assert received is not None
    assert received.messages == [Ping(1, 2)]


class SendRecorder:
    """A listener that records the datagrams sent and ignores everything else."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def send(self, member: int, data: bytes) -> None:
        self.sent.append(data)

    def on_quota_changed(self, limit: str, quota: Quota) -> None: ...
    def on_health_changed(self, node: str, kind: HealthKind) -> None: ...
    def on_member_changed(self, member: int, before: MemberState, after: MemberState) -> None: ...


def test_envelopes_never_exceed_the_datagram_limit() -> None:
    """A gateway publishes many records with node names of different lengths at once.

    No envelope exceeds the platform's limit on datagrams.
    """
    recorder = SendRecorder()
    fleet = Fleet(0, ["a", "b", "c"], INCARNATION, FleetOptions(messages_a_second=1000.0), recorder)
    for number in range(60):
        now_ms = INCARNATION + number
        fleet.membership.record_contact(1 + number % 2, INCARNATION, now_ms)
        node = f"s-{'x' * (number % 40)}{number}"
        fleet.publish_health(node, HealthKind.SLOW, 1, number + 1, 5_000, now_ms)
        fleet.tick(INCARNATION + number * 30)
    assert len(recorder.sent) > 50
    assert max(map(len, recorder.sent)) <= codec.MAX_DATAGRAM_BYTES


# ---- clock, hashing, broadcast


def test_timestamps_respect_causality_and_do_not_follow_a_clock_far_ahead() -> None:
    """The clock of one member is slightly ahead of another's, and the clock of a third is far ahead.

    An effect has a greater timestamp than its cause even if its member's clock is behind.  Timestamps that
    are far ahead are rejected.
    """
    one, other = HybridClock(), HybridClock()
    cause = one.now(1_000.0)
    assert other.receive(cause, 900.0)
    assert other.now(900.0) > cause
    assert not other.receive(timestamp_of(900.0 + 5_000.0), 900.0)
    assert wall_ms_of(other.now(900.0)) < 1_100.0


def test_the_departure_of_a_member_reassigns_only_its_keys() -> None:
    """Member 2 of five members leaves.

    Only the keys that were assigned to it are reassigned, and the assignment was balanced before.
    """
    keys = [f"v:{n}" for n in range(400)]
    before = {key: highest_ranked(key, range(5)) for key in keys}
    after = {key: highest_ranked(key, [0, 1, 3, 4]) for key in keys}
    assert {before[key] for key in keys if before[key] != after[key]} == {2}
    assert all(ranked(key, range(5))[0] == before[key] for key in keys)
    assert min(list(before.values()).count(n) for n in range(5)) > 40


def test_each_update_is_transmitted_equally_often_and_replaced_by_a_newer_one() -> None:
    """Two updates with different keys are queued, then two updates with the same key.

    The first two are both transmitted up to the limit.  Of the other two, only the newer one is transmitted.
    """
    queue = BroadcastQueue(5)
    queue.add("a", b"a")
    queue.add("b", b"b")
    transmitted = [payload for _ in range(100) for payload in queue.next_batch(1, 1)]
    assert transmitted.count(b"a") == transmitted.count(b"b") == queue.transmit_limit
    queue.add("c", b"old")
    queue.add("c", b"new")
    assert queue.next_batch(100, 9) == [b"new"]


# ---- health gossip


def health_records() -> st.SearchStrategy[HealthRecord]:
    return st.builds(
        HealthRecord,
        st.sampled_from(["s-1", "s-2"]),
        st.integers(1, 5),
        st.integers(0, 3),
        st.integers(0, 3),
        st.integers(1, 6),
        st.just(INCARNATION + 60_000),
        st.integers(0, 2),
    )


def unreachable(observer: int, timestamp: int, lifetime_ms: int, value: int = 1) -> HealthRecord:
    """Return a record about incarnation 5 of node s-1; `timestamp` is relative to `INCARNATION`."""
    return HealthRecord(
        "s-1",
        HealthKind.UNREACHABLE,
        observer,
        5,
        timestamp_of(INCARNATION) + timestamp,
        INCARNATION + lifetime_ms,
        value,
    )


def ejection(observer: int, timestamp: int, lifetime_ms: int, value: int) -> HealthRecord:
    """Return the record of an operator's DISABLE (1) or ENABLE (0) command for node s-1."""
    return HealthRecord("s-1", HealthKind.EJECTED, observer, 0, timestamp, INCARNATION + lifetime_ms, value)


@pytest.fixture
def gossip() -> HealthGossip:
    return HealthGossip(lambda record: None)


@settings(max_examples=200, deadline=None)
@given(st.lists(health_records(), max_size=14), st.randoms(use_true_random=False))
def test_maps_that_merged_the_same_records_are_equal_in_any_order(
    records: list[HealthRecord], draw: object
) -> None:
    """The network reorders and duplicates records on their way to three gateways.

    All three maps are equal in the end, and so are their digests.
    """
    assert isinstance(draw, random.Random)
    maps = []
    for _ in range(3):
        order = records + draw.sample(records, len(records) // 2)  # half of the records are duplicated
        draw.shuffle(order)
        merged = HealthGossip(lambda record: None)
        for record in order:
            merged.merge(record, INCARNATION)
        maps.append(merged)
    assert len({frozenset(merged) for merged in maps}) == 1
    assert len({merged.digest for merged in maps}) == 1


def test_a_record_ends_by_expiry_and_by_a_newer_incarnation_of_the_node() -> None:
    """A node is recorded as unreachable, and then restarts.

    The record expires without a message.  The restart discards it at once, and a late duplicate is not
    merged.
    """
    changed: list[tuple[str, HealthKind]] = []
    gossip = HealthGossip(lambda record: None, lambda node, kind: changed.append((node, kind)))
    gossip.merge(RECORD, INCARNATION)
    assert gossip.quorum_summary("s-1", HealthKind.UNREACHABLE, 1, INCARNATION) is not None
    assert gossip.quorum_summary("s-1", HealthKind.UNREACHABLE, 1, RECORD.expires_ms) is None
    newer = HealthRecord(
        "s-1", HealthKind.WARMING_UP, 1, 6, timestamp_of(INCARNATION), INCARNATION + 60_000, 1
    )
    gossip.merge(newer, INCARNATION)
    assert set(gossip) == {newer}
    assert ("s-1", HealthKind.UNREACHABLE) in changed
    assert not gossip.merge(RECORD, INCARNATION)


def test_load_is_taken_off_a_node_only_by_a_quorum_of_distinct_observers(gossip: HealthGossip) -> None:
    """One gateway repeatedly reports a node as unreachable; a second one reports it and later withdraws.

    The report takes effect only while both gateways make it; repetitions by one gateway do not count.
    """
    for timestamp in range(3):
        gossip.merge(unreachable(2, timestamp, 9_000), INCARNATION)
    assert gossip.quorum_summary("s-1", HealthKind.UNREACHABLE, 2, INCARNATION) is None
    gossip.merge(unreachable(3, 0, 4_000), INCARNATION)
    agreed = gossip.quorum_summary("s-1", HealthKind.UNREACHABLE, 2, INCARNATION)
    assert agreed is not None
    assert agreed.expires_ms == INCARNATION + 4_000
    gossip.merge(unreachable(3, 1, 9_000, value=0), INCARNATION)
    assert gossip.quorum_summary("s-1", HealthKind.UNREACHABLE, 2, INCARNATION) is None


def test_any_operators_enable_lifts_any_operators_disable(gossip: HealthGossip) -> None:
    """Operators at two gateways DISABLE a node, and an operator at a third gateway ENABLEs it.

    The latest command wins, and a late duplicate of an earlier command changes nothing.
    """
    gossip.merge(ejection(0, 10, 9_000, 1), INCARNATION)
    gossip.merge(ejection(1, 11, 9_000, 1), INCARNATION)
    assert gossip.ejected_nodes(INCARNATION) == {"s-1"}
    gossip.merge(ejection(2, 12, 9_000, 0), INCARNATION)
    assert gossip.ejected_nodes(INCARNATION) == frozenset()
    assert not gossip.merge(ejection(0, 11, 9_000, 1), INCARNATION)


def test_a_withdrawal_outlives_what_it_withdraws(gossip: HealthGossip) -> None:
    """A gateway publishes a record, and soon withdraws it with a shorter lifetime.

    Copies of the record are still in flight after that lifetime; they are not merged.
    """
    gossip.publish(RECORD, INCARNATION)
    withdrawal = HealthRecord("s-1", HealthKind.UNREACHABLE, 2, 5, RECORD.timestamp + 1, INCARNATION + 10, 0)
    gossip.publish(withdrawal, INCARNATION)
    gossip.tick(INCARNATION + 1_000)
    assert not gossip.merge(RECORD, INCARNATION + 1_000)


def test_an_ejection_is_extended_without_a_new_timestamp(gossip: HealthGossip) -> None:
    """A gateway extends an ejection before it expires, and an operator ENABLEs the node later.

    The extended ejection remains in force, and the later ENABLE still wins although it expires earlier.
    """
    gossip.merge(ejection(0, 10, 1_000, 1), INCARNATION)
    gossip.extend_expiry(HealthKind.EJECTED, INCARNATION + 5_000, INCARNATION + 9_000, INCARNATION)
    assert gossip.ejected_nodes(INCARNATION + 8_000) == {"s-1"}
    gossip.merge(ejection(1, 11, 2_000, 0), INCARNATION)
    assert gossip.ejected_nodes(INCARNATION) == frozenset()


# ---- membership


class MemberNetwork:
    """Members whose messages arrive without delay, over links that can be cut in one direction."""

    def __init__(self, count: int) -> None:
        self.now_ms = float(INCARNATION)
        self.in_flight: deque[Callable[[], None]] = deque()
        self.cut: set[tuple[int, int]] = set()
        self.members = [self.create_member(number, count) for number in range(count)]

    def create_member(self, number: int, count: int) -> Membership:
        def send(receiver: int, message: codec.AnyMessage) -> None:
            def arrive() -> None:
                member = self.members[receiver]
                member.record_contact(number, self.members[number].incarnation, self.now_ms)
                member.receive(number, message, self.now_ms)  # type: ignore[arg-type]

            if (number, receiver) not in self.cut:
                self.in_flight.append(arrive)

        def broadcast(rumor: codec.Rumor) -> None:
            for receiver in range(count):
                if receiver != number:
                    send(receiver, rumor)

        return Membership(number, count, int(self.now_ms), MembershipTiming(), number, send, broadcast)

    def run(self, duration_ms: float) -> None:
        for _ in range(int(duration_ms / 25)):
            self.now_ms += 25
            for member in list(self.members):
                member.tick(self.now_ms)
            while self.in_flight:
                self.in_flight.popleft()()

    def views(self) -> list[tuple[int, ...]]:
        return [member.alive() for member in self.members]


def test_a_member_that_cannot_send_is_removed_and_rejoins_when_the_link_heals() -> None:
    """All links from member 1 are cut and later restored.

    The other members declare it dead.  After the links are restored, all four members are alive in all views.
    """
    network = MemberNetwork(4)
    network.run(5_000)
    assert network.views() == [(0, 1, 2, 3)] * 4
    network.cut = {(1, other) for other in (0, 2, 3)}
    network.run(6_000)
    assert all(1 not in view for number, view in enumerate(network.views()) if number != 1)
    network.cut = set()
    network.run(8_000)
    assert network.views() == [(0, 1, 2, 3)] * 4


def test_a_cut_between_two_members_only_removes_nobody() -> None:
    """The link between members 0 and 1 is cut in both directions; both still reach the other members.

    No member is declared dead, because the other members probe on their behalf.
    """
    network = MemberNetwork(4)
    network.run(5_000)
    network.cut = {(0, 1), (1, 0)}
    network.run(8_000)
    assert network.views() == [(0, 1, 2, 3)] * 4


def test_a_paused_member_removes_nobody_when_it_resumes() -> None:
    """The process of a member is paused for a second, during which acks stay unread, and resumes.

    It declares no member dead because of acks that it could not read in time.
    """
    network = MemberNetwork(3)
    network.run(5_000)
    paused = network.members[0]
    tick, paused.tick = paused.tick, lambda now_ms: None  # type: ignore[method-assign]
    network.run(1_000)
    paused.tick = tick  # type: ignore[method-assign]
    paused.tick(network.now_ms)
    assert paused.alive() == (0, 1, 2)


def test_a_restart_is_a_new_incarnation_and_the_older_process_learns_of_it() -> None:
    """A member is started a second time while its old process is still running.

    The other members know the new incarnation, and the old process detects that it is superseded.
    """
    network = MemberNetwork(3)
    network.run(5_000)
    old = network.members[1]
    network.members[1] = network.create_member(1, 3)
    network.run(3_000)
    assert network.members[0].incarnation_of(1) == network.members[1].incarnation > old.incarnation
    old.receive(0, codec.Rumor(1, MemberState.ALIVE, network.members[1].incarnation, 0), network.now_ms)
    assert old.superseded


# ---- quotas


def test_a_quota_step_ends_at_its_expiry_even_after_a_pause() -> None:
    """A process is paused until after its leases have expired.

    Afterwards the base of the quota is in force, and the bucket contains at most the burst of the base.
    """
    quota = Quota(
        Allowance(1.0, 2.0),
        (
            ExpiringAllowance(100.0, Allowance(50.0, 20.0)),
            ExpiringAllowance(200.0, Allowance(9.0, 5.0)),
        ),
    )
    assert [quota.at(t).rate for t in (99.9, 100.0, 200.0)] == [50.0, 9.0, 1.0]
    bucket = QuotaBucket(0.0, 0.0)
    assert bucket.fill_by_quota(100_000.0, quota) <= 2.0


def test_a_bucket_under_changing_quotas_spends_no_more_than_they_filled() -> None:
    """Short leases start and expire while a gateway spends as much as its quota permits.

    It spends no more than the greatest rate and burst permit over the entire time.
    """
    bucket, now = QuotaBucket(0.0, 0.0), 0.0
    spent = 0.0
    for turn in range(50):
        now += 100.0
        lease = ExpiringAllowance(now + 50.0, Allowance(40.0, 10.0))
        quota = Quota(Allowance(5.0, 4.0), (lease,) if turn % 2 else ())
        while bucket.spend(now, quota, 1.0):
            spent += 1.0
    assert spent <= 40.0 * now / 1000 + 10.0


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(1, 50), st.integers(0, 9), st.integers(0, 9)), max_size=8))
def test_pruning_drops_nothing_that_is_still_in_force(rows: list[tuple[int, int, int]]) -> None:
    allowances = ExpiringAllowances()
    for expires, rate, burst in rows:
        allowances.add(float(expires), Allowance(float(rate), float(burst)))
    for now in range(0, 51):
        before = allowances.at(float(now))
        allowances.prune(float(now))
        assert allowances.at(float(now)) == before


# ---- leases


def test_max_min_fairness() -> None:
    demands = {1: 10.0, 2: 50.0, 3: 90.0}
    assert [max_min_share(100.0, demands, n) for n in (1, 2, 3)] == [10.0, 45.0, 45.0]
    assert max_min_share(500.0, demands, 3) == 90.0
    assert max_min_share(100.0, demands, 9) == 0.0


LIMIT = Allowance(100.0, 40.0)


class LeaseMember:
    """The lease manager of one member; the test takes the place of all other members."""

    def __init__(
        self,
        me: int = 0,
        members: int = 2,
        alive: tuple[int, ...] = (0, 1),
        settle_ms: float = 0.0,
    ) -> None:
        self.sent: list[tuple[int, codec.AnyMessage]] = []
        self.quotas: list[Quota] = []
        self.alive = alive
        self.settle_ms = settle_ms
        self.leases = LeaseManager(
            me,
            members,
            LeaseTiming(2_000.0, 1_000.0, 0.01),
            0.0,
            send=lambda receiver, message: self.sent.append((receiver, message)),
            alive=lambda: self.alive,
            on_quota_change=lambda limit, quota: self.quotas.append(quota),
        )

    def request_units(self, now_ms: float, units: float = 1.0) -> None:
        """Record a client request that is about to spend units."""
        self.leases.record_demand("v:1", LIMIT, units, 8.0, now_ms, self.settle_ms)

    def request_pledge(self, granter: int, incarnation: int, now_ms: float) -> list[Pledge]:
        """Deliver a pledge request of a granter, and return the pledges that the member sends."""
        before = len(self.sent)
        request = PledgeRequest("v:1", 5, 100_000, 40_000, int(self.settle_ms))
        self.leases.receive(granter, incarnation, request, now_ms)
        return [message for _, message in self.sent[before:] if isinstance(message, Pledge)]

    def request_lease(self, holder: int, nonce: int, now_ms: float) -> None:
        """Deliver a lease request of a holder for most of the limit."""
        request = LeaseRequest("v:1", nonce, 90_000, 36_000, 100_000, 40_000)
        self.leases.receive(holder, 9, request, now_ms)

    def pledge(self, owner: int, now_ms: float) -> None:
        """Deliver a requested pledge of an owner: 30 units per second and a burst of 12."""
        nonce = self.pledge_request_to(owner).nonce
        self.leases.receive(owner, 9, Pledge("v:1", nonce, 30_000, 12_000, 2_000), now_ms)

    def pledge_request_to(self, owner: int) -> PledgeRequest:
        """Return the first pledge request to an owner."""
        return next(
            message
            for receiver, message in self.sent
            if isinstance(message, PledgeRequest) and receiver == owner
        )

    @property
    def grants(self) -> list[LeaseGrant]:
        """Return all leases granted so far."""
        return [message for _, message in self.sent if isinstance(message, LeaseGrant)]

    @property
    def base(self) -> Allowance:
        """Return the base of the last published quota, which excludes leases."""
        return self.quotas[-1].at(FAR_FUTURE_MS)


def granter_of(members: tuple[int, ...]) -> int:
    granter = highest_ranked("v:1", members)
    assert granter is not None
    return granter


def test_a_restarted_member_waits_for_a_term_before_it_spends_its_own_share() -> None:
    """A member restarts and does not know its earlier pledges, which may still be leased to other members.

    Its own share is unavailable until all pledges of its previous incarnation have certainly expired.
    """
    member = LeaseMember()
    member.request_units(100.0)
    assert member.base.rate == 0.0
    member.leases.tick(2_019.0)
    assert member.base.rate == 0.0
    member.leases.tick(2_021.0)
    assert member.base.rate == 50.0


def test_what_is_pledged_is_not_spent_until_the_pledge_has_expired_with_drift() -> None:
    """An idle owner pledges to the granter, whose clock may run slower by the maximum drift.

    The pledge is deducted from the quota before it is sent, and returns when it has expired by any clock.
    """
    granter = granter_of((0, 1))
    member = LeaseMember(me=1 - granter)
    (pledge,) = member.request_pledge(granter, 9, 10_000.0)
    assert member.base.rate == pytest.approx(50.0 - pledge.rate / 1000)
    assert member.quotas
    assert pledge.rate > 0
    member.leases.tick(12_019.0)
    assert member.base.rate < 2.0
    member.leases.tick(12_021.0)
    assert member.base.rate == 50.0


def test_a_successor_receives_no_pledge_until_the_previous_one_has_expired() -> None:
    """The granter fails after an owner has pledged to it, and a new granter requests a pledge.

    The failed granter may have leased the pledged amount, so the owner pledges to the new granter only after
    the first pledge has expired.
    """
    granter = granter_of((0, 1, 2))
    others = tuple(n for n in (0, 1, 2) if n != granter)
    successor = granter_of(others)
    me = next(n for n in others if n != successor)
    member = LeaseMember(me=me, members=3, alive=(0, 1, 2))
    assert member.request_pledge(granter, 9, 10_000.0)
    member.alive = tuple(sorted(others))
    assert not member.request_pledge(successor, 9, 10_500.0)
    assert not member.request_pledge(successor, 9, 12_019.0)
    assert member.request_pledge(successor, 9, 12_021.0)


def test_a_restarted_granter_waits_as_a_successor_does() -> None:
    """The granter restarts and has lost the record of its leases.

    An owner pledges to the new incarnation only after the pledge to the old incarnation has expired.
    """
    granter = granter_of((0, 1))
    member = LeaseMember(me=1 - granter)
    assert member.request_pledge(granter, 9, 10_000.0)
    assert not member.request_pledge(granter, 10, 10_100.0)
    assert member.request_pledge(granter, 10, 12_021.0)


def test_a_windowed_budget_stays_idle_for_its_window_after_a_pledge() -> None:
    """An owner pledges a portion of a budget that counts the units spent in a window of three seconds.

    It keeps the units that it spent in the window.  The pledge returns one window after its expiry, because
    the holder may have spent the units at the end of its lease.
    """
    granter = granter_of((0, 1))
    member = LeaseMember(me=1 - granter, settle_ms=3_000.0)
    member.request_units(10_000.0, 2.0)
    (pledge,) = member.request_pledge(granter, 9, 10_100.0)
    assert 0 < pledge.burst <= 9_500  # the owner has spent 2 of its 20 units, and may need more
    member.leases.tick(10_100.0 + 2_021.0 + 2_990.0)
    assert member.base.burst < 20.0
    member.leases.tick(10_100.0 + 2_021.0 + 3_010.0)
    assert member.base.burst == 20.0


def test_a_lease_counts_from_its_request_and_a_late_or_unrequested_one_is_ignored() -> None:
    """The network delays a grant and delivers a duplicate after its expiry; another grant was not requested.

    The lease ends one lease duration after its request.  The duplicate and the other grant change nothing.
    """
    granter = granter_of((0, 1))
    member = LeaseMember(me=1 - granter)
    for n in range(40):
        member.request_units(10_000.0 + n, 8.0)
    request = next(message for _, message in member.sent if isinstance(message, LeaseRequest))
    grant = LeaseGrant("v:1", request.nonce, 50_000, 20_000, 1_000)
    member.leases.receive(granter, 9, grant, 10_900.0)
    expires_ms, allowance = member.quotas[-1].steps[0]
    assert allowance.rate == 100.0
    assert expires_ms <= 10_000.0 + 40.0 + 990.0
    before = len(member.quotas)
    member.leases.receive(granter, 9, grant, 11_100.0)
    assert len(member.quotas) == before
    member.leases.receive(granter, 9, LeaseGrant("v:1", 999, 50_000, 20_000, 1_000), 10_950.0)
    assert len(member.quotas) == before


def test_a_granter_leases_no_more_than_is_pledged_to_the_end_of_the_lease() -> None:
    """A holder requests most of a limit: before any pledge, after a pledge, and shortly before its expiry.

    The first request gets nothing, the second gets the pledged amount, and the third gets nothing because the
    lease would outlast the pledge.
    """
    me = granter_of((0, 1, 2))
    owner, holder = (n for n in (0, 1, 2) if n != me)
    member = LeaseMember(me=me, members=3, alive=(0, 1, 2))
    member.request_lease(holder, 1, 10_000.0)
    assert not member.grants
    member.pledge(owner, 10_050.0)
    member.request_lease(holder, 2, 10_100.0)
    (grant,) = member.grants
    assert (grant.rate, grant.burst) == (30_000, 12_000)
    member.request_lease(holder, 3, 11_100.0)  # the pledge expires 1.98 s after its request
    assert len(member.grants) == 1


@pytest.mark.parametrize(
    ("partitioned_allowance", "expected_rate"), [(NO_ALLOWANCE, 50.0), (Allowance(80.0, 30.0), 80.0)]
)
def test_a_partitioned_member_gets_the_equal_share_of_available_limits_only(
    partitioned_allowance: Allowance, expected_rate: float
) -> None:
    """A member is partitioned from the majority of the fleet.

    It keeps its own share of a strict limit, and gets the equal share of an available limit.
    """
    quotas: list[Quota] = []
    connected = [True]
    leases = LeaseManager(
        0,
        2,
        LeaseTiming(),
        0.0,
        send=lambda receiver, message: None,
        alive=lambda: (0,),
        on_quota_change=lambda limit, quota: quotas.append(quota),
        is_connected=lambda: connected[0],
    )
    leases.record_demand("v:1", LIMIT, 1.0, 8.0, 5_000.0, partitioned_allowance=partitioned_allowance)
    assert quotas[-1].at(FAR_FUTURE_MS).rate == 50.0
    connected[0] = False
    leases.tick(5_100.0)
    assert quotas[-1].at(FAR_FUTURE_MS).rate == expected_rate


def test_a_stopped_member_spends_nothing() -> None:
    """A gateway shuts down, and its quota becomes zero immediately."""
    member = LeaseMember()
    member.request_units(5_000.0)
    assert member.base.rate == 50.0
    member.leases.stop(5_010.0)
    assert member.base.rate == 0.0


def test_errors_name_the_option_that_is_wrong() -> None:
    """An operator configures options that are out of range or contradict each other.

    The error names the option.
    """
    for make, name in (
        (lambda: LeaseTiming(term_ms=1_000.0, lease_ms=900.0), "term_ms"),
        (lambda: LeaseTiming(drift=0.5), "drift"),
        (lambda: MembershipTiming(ack_ms=300.0), "ack_ms"),
        (lambda: MembershipTiming(suspect_ms=10.0), "suspect_ms"),
        (lambda: FleetOptions(messages_a_second=0), "messages_a_second"),
        (lambda: FleetOptions(max_datagram_bytes=5), "max_datagram_bytes"),
    ):
        with pytest.raises(ValueError, match=name):
            make()
    with pytest.raises(ValueError, match="me"):
        Fleet(3, ["a", "b"], INCARNATION, FleetOptions(), None)  # type: ignore[arg-type]
    assert group_hash("x", ["a", "b"]) != group_hash("x", ["a", "c"])
    assert key_of(RECORD) == ("s-1", 2, 2)


# ---- replicated lease tables


class TableRecorder:
    """A lease table whose writes complete when the test completes them."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, Allowance | None]] = []

    def take_over(self, limit: str) -> None:
        self.calls.append((limit, None))

    def write(self, limit: str, leased: Allowance) -> None:
        self.calls.append((limit, leased))


def test_a_grant_is_sent_only_after_the_table_that_contains_it_is_written() -> None:
    """A granter succeeds a predecessor that had leased a portion of the limit, and grants a lease.

    It requests no pledge before it has acquired the table.  It deducts the leases of its predecessor, and
    sends the grant only after the table with both has been written.  After another granter has taken over,
    the next grant is never sent.
    """
    me = granter_of((0, 1, 2))
    owner, holder = (n for n in (0, 1, 2) if n != me)
    member, table = LeaseMember(me=me, members=3, alive=(0, 1, 2)), TableRecorder()
    member.leases.use_table(table)
    member.request_lease(holder, 1, 10_000.0)
    assert table.calls == [("v:1", None)]
    assert not member.sent
    member.leases.on_table_acquired("v:1", GranterId(owner, 7), Allowance(10.0, 4.0), 10_000.0, 10_020.0)
    request = member.pledge_request_to(owner)
    assert (request.previous_granter, request.previous_granter_incarnation) == (owner, 7)
    member.pledge(owner, 10_050.0)
    member.request_lease(holder, 1, 10_100.0)
    assert not member.grants
    assert table.calls[-1] == ("v:1", Allowance(30.0, 12.0))
    member.leases.on_table_written("v:1", True, 10_120.0)
    (grant,) = member.grants
    assert (grant.rate, grant.burst) == (20_000, 8_000)
    member.request_lease(holder, 1, 10_150.0)
    member.leases.on_table_written("v:1", False, 10_170.0)
    assert len(member.grants) == 1


def test_an_owner_pledges_at_once_to_a_successor_that_has_fenced_the_previous_granter() -> None:
    """An owner has pledged to a granter, and a new granter requests a pledge before that pledge expires.

    The owner pledges only if the new granter has fenced exactly that granter in that incarnation.
    """
    granter = granter_of((0, 1, 2))
    others = tuple(n for n in (0, 1, 2) if n != granter)
    successor = granter_of(others)
    me = next(n for n in others if n != successor)
    member = LeaseMember(me=me, members=3, alive=(0, 1, 2))
    assert member.request_pledge(granter, 9, 10_000.0)
    member.alive = tuple(sorted(others))
    for previous, incarnation, pledges in ((granter, 8, 0), (successor, 9, 0), (granter, 9, 1)):
        before = len(member.sent)
        request = PledgeRequest("v:1", 5, 100_000, 40_000, 0, previous, incarnation)
        member.leases.receive(successor, 4, request, 10_500.0)
        assert len(member.sent) - before == pledges


@pytest.mark.parametrize("seed", range(12))
def test_schedules_with_replicated_tables_exceed_no_strict_limit(seed: int) -> None:
    """Fleets with replicated lease tables experience random faults; no strict limit is exceeded."""
    run = run_schedule(seed, world=VirtualFleet(5, seed, tables=True))
    assert not [text for text in run.violations if "limit" in text and "use" not in text], run.violations
