"""Replication without processes: the protocol step by step, schedules of faults, and removed guards.

Each guard that is removed must be noticed by a checker.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shaletiller.lab.replication_simulation import run_schedule
from shaletiller.lab.state_space_bounds import TWO_KEYS, FaultBounds
from shaletiller.lab.state_space_explorer import explore
from shaletiller.lab.state_space_model import BEGIN_MS, ProtocolModel
from shaletiller.replication.acceptor import Acceptor
from shaletiller.replication.effects import OperationResult, PersistRecords, SendMessage
from shaletiller.replication.groups import ReplicaGroups
from shaletiller.replication.messages import Accept, Codec, Prepare, Reply, ReplyStatus, StateTransferRequest
from shaletiller.replication.node import ReplicationNode
from shaletiller.replication.proposer import Precondition, possibly_committed
from shaletiller.replication.records import (
    FAST_BALLOT,
    META,
    Ballot,
    OperatorCommand,
    Row,
    WriteIntent,
    WriteOutcome,
    decode_value,
    pack,
)
from shaletiller.replication.writes import ReplicatedWrites, WriteVerdict

MINUTE = 60_000.0


class Cluster:
    """Members that have synced with each other, whose messages and disks the test controls."""

    def __init__(self, members: int = 3, zones: tuple[str, ...] = ()) -> None:
        self.groups = ReplicaGroups(zones or ("",) * members)
        self.disks: list[dict[tuple[int, bytes], bytes]] = [{} for _ in range(members)]
        self.nodes: list[ReplicationNode | None] = [None] * members
        self.now = 1_000_000.0
        self.results: list[OperationResult] = []
        self.partitioned: set[int] = set()
        self.full_disks: set[int] = set()
        self.sent: Counter[str] = Counter()
        for member in range(members):
            self.start(member)
        self.run(500)

    def start(self, member: int, wiped: bool = False) -> None:
        """Start a member on its disk, or on an empty one."""
        if wiped:
            self.disks[member] = {}
        kept = [(kind, key, value) for (kind, key), value in self.disks[member].items()]
        self.nodes[member] = ReplicationNode(member, self.groups, kept, self.now + member)

    def node(self, member: int) -> ReplicationNode:
        """Return the node of a member that is up."""
        found = self.nodes[member]
        assert found is not None
        return found

    def run(self, span_ms: float, step_ms: float = 5.0) -> None:
        """Let time pass."""
        until = self.now + span_ms
        while self.now < until:
            self.now += step_ms
            for node in self.nodes:
                if node is not None:
                    node.tick(self.now, tuple(range(len(self.nodes))))
            self.settle()

    def settle(self) -> None:
        """Carry out all effects, until none are left."""
        while any(node is not None and node.effects for node in self.nodes):
            for member, node in enumerate(self.nodes):
                for effect in node.take_effects() if node is not None else ():
                    self.carry_out(member, effect)

    def carry_out(self, member: int, effect: Any) -> None:
        """Deliver a message, or persist to the disk of a member, as far as the faults allow."""
        node = self.node(member)
        if isinstance(effect, OperationResult):
            self.results.append(effect)
        elif isinstance(effect, SendMessage):
            self.sent[type(effect.message).__name__] += 1
            other = self.nodes[effect.recipient]
            if other is not None and not {member, effect.recipient} & self.partitioned:
                other.receive(member, effect.message, self.now)
        elif isinstance(effect, PersistRecords):
            if member in self.full_disks and effect.updates:
                node.persist_failed(effect.token)
                return
            for kind, key, value in effect.updates:
                if value is None:
                    self.disks[member].pop((kind, key), None)
                else:
                    self.disks[member][kind, key] = value
            node.persisted(effect.token, self.now)

    def propose(
        self,
        member: int,
        key: str,
        precondition: Precondition = Precondition.FREE,
        value: bytes = b"",
        timeout_ms: float = 800.0,
        retention_ms: float = MINUTE,
        **more: Any,
    ) -> OperationResult:
        """Run an operation to its end."""
        until, last = self.now + retention_ms, self.now + timeout_ms
        operation = self.node(member).propose(key, precondition, value, until, last, self.now, **more)
        self.settle()
        for _ in range(400):
            found = [done for done in self.results if done.operation == operation]
            if found:
                self.results.remove(found[0])
                return found[0]
            self.run(5.0)
        raise AssertionError("the operation never ended")

    def read(self, member: int, key: str) -> bytes:
        """Read a key through a member."""
        found = self.propose(member, key, Precondition.READ_ONLY)
        assert not found.indeterminate
        return found.value


@pytest.fixture
def cluster() -> Cluster:
    """Three members that are up and synced."""
    return Cluster()


# ---- replica groups


@given(
    st.text(min_size=1, max_size=20), st.lists(st.sampled_from(["", "a", "b", "c"]), min_size=1, max_size=9)
)
def test_a_group_spreads_over_the_zones(key: str, zones: list[str]) -> None:
    """A group has distinct members, one per zone as far as there are zones, and a true majority."""
    groups = ReplicaGroups(zones)
    found = groups.members_of(key)
    assert len(set(found)) == len(found) == min(3, len(zones)) == groups.replicas
    named = {zone for zone in zones if zone}
    if "" not in zones and len(named) >= groups.replicas:
        assert len({zones[member] for member in found}) == groups.replicas
    assert groups.majority * 2 > groups.replicas


# ---- the register


def test_a_claim_of_a_free_key_takes_one_round_and_its_outcome_another(cluster: Cluster) -> None:
    """Nothing fails: a claim and the write that follows it each cost one round of accepts.

    No prepare is sent, and all three replicas then read the outcome.
    """
    cluster.sent.clear()
    claimed = cluster.propose(0, "k", value=b"mine")
    assert claimed.committed
    assert claimed.position is not None
    assert claimed.position.ballot == FAST_BALLOT
    assert (cluster.sent["Accept"], cluster.sent["Prepare"]) == (2, 0)
    settled = cluster.propose(
        0, "k", Precondition.EQUALS, b"outcome", expected=b"mine", position=claimed.position
    )
    assert settled.committed
    assert (cluster.sent["Accept"], cluster.sent["Prepare"]) == (4, 0)
    assert [cluster.read(member, "k") for member in range(3)] == [b"outcome"] * 3


def test_a_second_claim_finds_the_first_and_a_released_key_is_free_again(cluster: Cluster) -> None:
    """Two gateways claim one key: the second finds the value of the first.

    Its prepare raised the ballot, so the first releases the key in a second round; a third claim then
    succeeds.
    """
    first = cluster.propose(0, "k", value=b"mine")
    assert not (found := cluster.propose(1, "k", value=b"yours")).committed
    assert found.value == b"mine"
    # The second prepared a higher ballot: the first still replaces its own value, in one more round.
    assert cluster.propose(
        0, "k", Precondition.EQUALS, b"", expected=b"mine", position=first.position
    ).committed
    assert cluster.propose(2, "k", value=b"third").committed


def test_a_superseded_writer_commits_nothing(cluster: Cluster) -> None:
    """One gateway commits a value, another replaces it, and the first writes late at its old position.

    The late write must be fenced, and must return the value that replaced its own.
    """
    first = cluster.propose(0, "k", value=b"mine")
    assert cluster.propose(1, "k", Precondition.EQUALS, b"taken over", expected=b"mine").committed
    late = cluster.propose(0, "k", Precondition.EQUALS, b"outcome", expected=b"mine", position=first.position)
    assert not late.committed
    assert late.value == b"taken over"


def test_with_one_of_three_down_a_majority_commits_and_with_two_down_nothing_is_determined(
    cluster: Cluster,
) -> None:
    """One of three members is down: two still commit.

    With two down the last one must not claim to know anything: its result is indeterminate.
    """
    cluster.nodes[2] = None
    assert cluster.propose(0, "k", value=b"mine").committed
    cluster.nodes[1] = None
    assert cluster.propose(0, "j", value=b"mine").indeterminate


def test_a_fast_round_is_not_tried_while_a_member_is_known_to_be_down(cluster: Cluster) -> None:
    """A member of the group is known to be down.

    A fast round needs all members and would wait 40 ms for it on every write: the proposer must prepare at
    once.
    """
    cluster.nodes[2] = None
    cluster.node(0).unreachable = frozenset({2})
    before = cluster.now
    assert cluster.propose(0, "k", value=b"mine").committed
    assert cluster.now - before < 10.0
    assert cluster.sent["Prepare"] == 2


def test_the_value_of_a_fast_round_counts_only_if_all_replies_have_it() -> None:
    """A majority replied to a prepare, and some rows come from a fast round.

    A fast value counts as possibly committed only if all of the rows have it; a later step or ballot always
    does.
    """
    mine, yours = Row(FAST_BALLOT, FAST_BALLOT, 0, b"mine", 9), Row(FAST_BALLOT, FAST_BALLOT, 0, b"yours", 9)
    assert possibly_committed([mine, mine]).value == b"mine"
    assert (
        possibly_committed([mine, yours]).value
        == b""
        == possibly_committed([mine, Row(Ballot(2, 0, 0))]).value
    )
    settled = Row(FAST_BALLOT, FAST_BALLOT, 1, b"outcome", 9)
    # The next step is written only once the first is committed.
    assert possibly_committed([mine, settled]).value == b"outcome"
    assert (
        possibly_committed([yours, Row(Ballot(3, 1, 1), Ballot(2, 1, 1), 0, b"newer", 9)]).value == b"newer"
    )


def test_two_operations_of_one_process_on_one_key_never_share_a_ballot(cluster: Cluster) -> None:
    """Two retries of one key arrive at one gateway, and both operations reach the same round.

    Found by a schedule of the simulation: under one ballot both were committed.  Exactly one may be.
    """
    cluster.propose(0, "k", value=b"old")
    cluster.propose(0, "k", Precondition.EQUALS, b"", expected=b"old")
    operations = [
        cluster.node(1).propose(
            "k", Precondition.FREE, value, cluster.now + MINUTE, cluster.now + 800, cluster.now
        )
        for value in (b"one", b"two")
    ]
    cluster.run(400)
    assert sorted(done.committed for done in cluster.results if done.operation in operations) == [False, True]


def test_operator_commands_are_ordered_by_their_stamps(cluster: Cluster) -> None:
    """A newer operator command is committed, then an older one arrives late through another gateway.

    The older one must not replace it.
    """
    commands = [
        pack(OperatorCommand(in_effect, stamp, 0, 1 << 50)) for in_effect, stamp in ((True, 10), (False, 20))
    ]
    assert cluster.propose(0, "ban:n1", Precondition.OLDER_STAMP, commands[1]).committed
    late = cluster.propose(1, "ban:n1", Precondition.OLDER_STAMP, commands[0])
    assert not late.committed
    assert late.value == commands[1]


def test_expired_rows_are_removed_from_all_replicas_and_their_disks(cluster: Cluster) -> None:
    """A value expires.

    All replicas drop it, their disks too; the digests are those of empty stores, and the key is free.
    """
    assert cluster.propose(0, "k", value=b"mine", retention_ms=1_000.0).committed
    assert all((1, b"k") in disk for disk in cluster.disks)
    cluster.run(1_500.0)
    assert not any((1, b"k") in disk for disk in cluster.disks)
    assert all(not any(any(sums) for sums in cluster.node(n).acceptor.digests.values()) for n in range(3))
    assert cluster.propose(1, "k", value=b"anew").committed


# ---- disks


def test_a_replica_that_was_not_persisted_is_never_counted(cluster: Cluster) -> None:
    """Two of three disks are full while a value is proposed, and the request is retransmitted.

    The value must not count as committed; once there is space, what is read must be on two disks.
    """
    cluster.full_disks = {1, 2}
    assert cluster.propose(0, "k", value=b"mine", timeout_ms=300.0).indeterminate
    assert not any((1, b"k") in cluster.disks[member] for member in (1, 2))
    cluster.full_disks = set()
    assert cluster.propose(0, "k", value=b"again").committed or cluster.read(0, "k") == b"mine"
    assert sum((1, b"k") in disk for disk in cluster.disks) >= 2


def test_a_retransmission_after_a_failed_commit_is_answered_only_once_the_row_is_persisted(
    cluster: Cluster,
) -> None:
    """An accept is applied, its commit fails, and the same accept arrives again.

    The row in memory no longer changes, but the disk lacks it: it must be persisted before the reply is sent.
    """
    node, incarnations = cluster.node(1), cluster.node(1).acceptor.incarnations_of("k")
    ask = Accept(7, "k", FAST_BALLOT, 0, b"mine", int(cluster.now + MINUTE), incarnations)
    node.receive(0, ask, cluster.now)
    (first,) = node.take_effects()
    assert isinstance(first, PersistRecords)
    assert first.updates
    node.persist_failed(first.token)
    node.receive(0, ask, cluster.now)  # no change in memory, but the disk lacks it
    persists = [effect for effect in node.take_effects() if isinstance(effect, PersistRecords)]
    assert any(key == b"k" and value is not None for persist in persists for _, key, value in persist.updates)
    for persist in persists:
        node.persisted(persist.token, cluster.now)
    replies = [effect.message for effect in node.take_effects() if isinstance(effect, SendMessage)]
    assert [reply.status for reply in replies if isinstance(reply, Reply)] == [ReplyStatus.OK]


def lose_one_with_another_down() -> Cluster:
    """Commit a value on members 0 and 1 of three; then 1 has lost its disk and 0 is down."""
    cluster = Cluster()
    cluster.nodes[2] = None
    assert cluster.propose(0, "k", value=b"mine").committed  # on 0 and 1
    cluster.nodes[0] = None
    cluster.start(2)
    cluster.start(1, wiped=True)
    cluster.run(600.0)
    return cluster


def test_a_machine_that_returns_empty_does_not_vote_before_its_group_has_filled_it() -> None:
    """Two of three committed a value; one of them lost its disk, and the other is down.

    The empty one must not vote, and a read must be indeterminate, until the member that has the value is
    back.
    """
    cluster = lose_one_with_another_down()
    asked = Prepare(
        5, "k", Ballot(9, 2, 1), int(cluster.now + MINUTE), cluster.node(1).acceptor.incarnations_of("k")
    )
    assert not cluster.node(1).fully_synced  # 0 has what 1 lost: without it nothing is determined
    assert cluster.node(1).acceptor.prepare(asked, cluster.now)[0].status == ReplyStatus.RECOVERING
    assert cluster.propose(2, "k", Precondition.READ_ONLY, timeout_ms=300.0).indeterminate
    cluster.start(0)
    cluster.run(800.0)
    assert cluster.node(1).fully_synced
    assert [cluster.read(member, "k") for member in range(3)] == [b"mine"] * 3


def test_a_request_that_names_a_past_incarnation_is_fenced(cluster: Cluster) -> None:
    """A member returns with a new store, and then a request arrives that names its past incarnation.

    No member may accept it, and the replies must carry the new incarnations.
    """
    incarnations = cluster.node(0).acceptor.incarnations_of("k")
    cluster.start(2, wiped=True)
    cluster.run(800.0)
    assert cluster.node(2).fully_synced
    old = Accept(5, "k", Ballot(2, 0, 1), 0, b"of before", int(cluster.now + MINUTE), incarnations)
    answers = [cluster.node(member).acceptor.accept(old, cluster.now)[0] for member in range(3)]
    assert all(answer.status != ReplyStatus.OK for answer in answers)
    assert answers[0].incarnations == cluster.node(2).acceptor.incarnations_of("k") != incarnations


def test_a_store_restored_from_an_old_copy_never_votes(cluster: Cluster) -> None:
    """A machine was replaced, and then somebody puts the disk of the old machine back.

    The old store must find out that it is superseded, and vote on nothing.
    """
    before = dict(cluster.disks[2])
    cluster.start(2, wiped=True)
    cluster.run(800.0)
    cluster.disks[2] = before  # the disk of the old machine is put back
    cluster.start(2)
    cluster.propose(2, "k", value=b"x")
    assert cluster.node(2).acceptor.superseded
    assert not cluster.node(2).fully_synced


def test_a_new_machine_whose_clock_is_behind_takes_a_later_incarnation(cluster: Cluster) -> None:
    """A machine returns empty, with a clock behind that of the machine before it.

    Its incarnation must become later than the past one, and it must be filled.
    """
    incarnations = list(cluster.node(0).acceptor.incarnations)
    cluster.disks[2] = {}
    cluster.nodes[2] = ReplicationNode(2, cluster.groups, [], incarnations[2] - 500_000.0)
    cluster.run(1_200.0)
    assert cluster.node(2).fully_synced
    assert cluster.node(0).acceptor.incarnations[2] > incarnations[2]


def test_a_new_store_takes_what_others_accepted_whatever_they_have_promised_since() -> None:
    """A new store merges a row with a high promise, and the last copy of an outcome with a lower ballot.

    Found by one schedule of 10,000: the promise kept it from taking the outcome, which a client had been
    given. While it recovers it must take both; an acceptor that votes must not, since it has promised.
    """
    copy = Acceptor(2, ReplicaGroups(("", "", "")))
    first = Row(Ballot(19, 3, 1), FAST_BALLOT, 0, b"never committed", 9_000)
    committed = Row(Ballot(14, 1, 1), Ballot(14, 1, 1), 0, b"answered to a client", 9_000)
    for order in ((first, committed), (committed, first)):
        copy.rows.clear()
        for row in order:
            copy.merge("k", row, 1_000.0, recovering=True)
        assert copy.row("k", 1_000.0) == Row(
            Ballot(19, 3, 1), Ballot(14, 1, 1), 0, b"answered to a client", 9_000
        )
    voter = Acceptor(2, ReplicaGroups(("", "", "")))
    voter.merge("k", first, 1_000.0)
    voter.merge("k", committed, 1_000.0)  # an acceptor that votes has promised not to
    assert voter.row("k", 1_000.0).value == b"never committed"


# ---- anti-entropy


def test_a_member_is_repaired_within_the_budget() -> None:
    """A member is cut off while sixty values are committed, then it is back.

    Anti-entropy must bring it every value it lacks, within the budget of bytes per second.
    """
    cluster = Cluster(5)
    cluster.partitioned = {4}
    for number in range(60):
        assert cluster.propose(number % 4, f"k{number}", value=b"x" * 200).committed
    for node in cluster.nodes:
        assert node is not None
        node.budget.bytes_per_second = 3_000.0
    cluster.partitioned = set()
    before_ms, given = cluster.now, sum(node.budget.bytes_sent for node in cluster.nodes if node)

    def missing() -> list[str]:
        return [
            f"k{n}"
            for n in range(60)
            if 4 in cluster.groups.members_of(f"k{n}")
            and cluster.node(4).acceptor.row(f"k{n}", cluster.now).value != b"x" * 200
        ]

    assert len(missing()) > 20
    while missing():
        assert cluster.now - before_ms < 60_000.0, missing()
        cluster.run(500.0)
    spent = sum(node.budget.bytes_sent for node in cluster.nodes if node) - given
    span_s = (cluster.now - before_ms) / 1000
    assert spent <= 5 * (3_000.0 * span_s + 3_000.0 + 60_000.0 / 10)


# ---- writes


class WriteClient:
    """Writes through one member of a cluster."""

    def __init__(self, cluster: Cluster, member: int) -> None:
        self.cluster, self.member, self.number = cluster, member, 0
        self.writes = ReplicatedWrites(cluster.node(member), int(cluster.now) + member, MINUTE)

    def begin(self, key: str, request_hash: int = 1, timeout_ms: float = 900.0) -> int:
        """Begin a write and return its number."""
        self.number += 1
        self.writes.begin(self.number, key, request_hash, self.cluster.now + timeout_ms, self.cluster.now)
        return self.number

    def decided(self) -> list[tuple[int, WriteVerdict, bytes]]:
        """Wait for the next decisions."""
        self.cluster.settle()
        for _ in range(200):
            for done in list(self.cluster.results):
                if self.writes.operation_finished(done, self.cluster.now):
                    self.cluster.results.remove(done)
            found = self.writes.take_decisions()
            if found:
                return [(each.number, each.verdict, each.body) for each in found]
            self.cluster.run(5.0)
        return []

    def decide(self, number: int) -> WriteVerdict:
        """Return the decision for a write."""
        return {each: verdict for each, verdict, _ in self.decided()}[number]

    def decide_new(self, key: str) -> WriteVerdict:
        """Begin a write and return its decision."""
        return self.decide(self.begin(key))


def test_a_retry_through_another_gateway_gets_the_recorded_answer(cluster: Cluster) -> None:
    """A client retries a served write through another gateway.

    It must get the recorded answer without a node being asked; another request under the same key must fail.
    """
    first, second = WriteClient(cluster, 0), WriteClient(cluster, 1)
    number = first.begin("k")
    assert first.decided() == [(number, WriteVerdict.FORWARD, b"")]
    first.writes.end(number, WriteVerdict.SERVED, b"body", cluster.now)
    assert first.decided() == [(number, WriteVerdict.SERVED, b"body")]
    again = second.begin("k")
    assert second.decided() == [(again, WriteVerdict.SERVED, b"body")]
    other = second.begin("k", request_hash=2)
    assert second.decided() == [(other, WriteVerdict.FAILED, b"")]  # the key was used for another request


def test_a_retry_is_rejected_while_the_first_is_out_and_fails_after_its_gateway_died(
    cluster: Cluster,
) -> None:
    """A client retries a write that its first gateway has forwarded but not answered; that gateway dies.

    Until the deadline of the first the retry is rejected; after it the write may have run, so the retry must
    fail.
    """
    first, second = WriteClient(cluster, 0), WriteClient(cluster, 1)
    number = first.begin("k")
    assert first.decided() == [(number, WriteVerdict.FORWARD, b"")]
    assert second.decide(second.begin("k")) == WriteVerdict.REJECTED
    cluster.nodes[0] = None
    cluster.run(1_000.0)
    assert second.decide(second.begin("k")) == WriteVerdict.FAILED  # it may have run


def test_a_write_that_never_ran_may_be_retried_immediately(cluster: Cluster) -> None:
    """A claimed write is rejected: nothing ran.

    Its key must be free for a retry through another gateway.
    """
    first, second = WriteClient(cluster, 0), WriteClient(cluster, 1)
    number = first.begin("k")
    assert first.decided() == [(number, WriteVerdict.FORWARD, b"")]
    first.writes.end(number, WriteVerdict.REJECTED, b"", cluster.now)
    cluster.run(50.0)
    assert second.decide(second.begin("k")) == WriteVerdict.FORWARD


def test_an_outcome_that_cannot_be_committed_is_not_answered(cluster: Cluster) -> None:
    """A write was served by a node, but its gateway is cut off from the replicas.

    The client must not be told that it was served, since a retry might find otherwise; it must never run
    twice.
    """
    first = WriteClient(cluster, 0)
    number = first.begin("k")
    assert first.decided() == [(number, WriteVerdict.FORWARD, b"")]
    cluster.partitioned = {0}
    first.writes.end(number, WriteVerdict.SERVED, b"body", cluster.now)
    assert first.decided() == [(number, WriteVerdict.FAILED, b"")]
    cluster.partitioned = set()
    cluster.run(1_000.0)
    # It may be committed after the answer; what must never happen is a second run.
    assert WriteClient(cluster, 1).decide_new("k") in (WriteVerdict.FAILED, WriteVerdict.SERVED)


def test_without_a_majority_nothing_is_forwarded_and_the_key_is_released(cluster: Cluster) -> None:
    """A gateway without a majority claims a key.

    The write must be rejected without being forwarded, and its key must be free once the majority is back.
    """
    first = WriteClient(cluster, 0)
    cluster.partitioned = {0}
    assert first.decide(first.begin("k")) == WriteVerdict.REJECTED
    cluster.partitioned = set()
    cluster.run(3_000.0)
    assert WriteClient(cluster, 1).decide_new("k") == WriteVerdict.FORWARD


# ---- messages


@given(st.binary(max_size=80))
def test_any_bytes_are_dropped_and_counted(data: bytes) -> None:
    """Arbitrary bytes arrive as a frame: they must be dropped and counted, and raise nothing."""
    codec = Codec(7, 0, 3)
    assert codec.read(b"P" + data) is None
    assert sum(codec.dropped.values()) == 1


def test_messages_of_another_fleet_or_member_are_dropped_by_reason() -> None:
    """Frames of another fleet, of an unknown member or of this member itself must be dropped by reason."""
    join = StateTransferRequest(1, 2, "")
    assert Codec(7, 0, 3).read(Codec(7, 1, 3).write(join)) == (1, join)
    codec = Codec(7, 0, 3)
    for other in (Codec(8, 1, 3), Codec(7, 5, 9), Codec(7, 0, 3)):
        assert codec.read(other.write(join)) is None
    assert codec.dropped == {"group": 1, "sender": 2}


def test_values_of_a_later_version_decode_to_nothing() -> None:
    """An empty value, or one with a tag of a later version, must decode to nothing and raise nothing."""
    assert decode_value(b"") is None
    assert decode_value(b"\x93\x63\x01\x02") is None
    assert isinstance(decode_value(pack(WriteIntent(1, 2, 3, 4, 5, 6))), WriteIntent)


# ---- exhaustive exploration of small cases


def test_every_order_of_events_on_two_keys_keeps_the_guarantees() -> None:
    """Two keys are claimed, in every order of events: without faults, with a timeout, with a message lost.

    No two claims of a key may both be committed, and no committed outcome may be lost.
    """
    for bounds in (
        FaultBounds(),
        FaultBounds(timeouts=1),
        FaultBounds(late_requests=1, lost_messages=1),
    ):
        found = explore(ProtocolModel(bounds, TWO_KEYS))
        assert not found.violation, (found.violation, found.trace)
        assert found.complete
        assert found.final_states > 0


# ---- schedules on the virtual clock


@pytest.mark.parametrize("seed", [*range(12), 18, 98, 181, 3579])
def test_a_schedule_of_faults_breaks_no_guarantee(seed: int) -> None:
    """Five gateways serve writes and retries under a seeded schedule of faults.

    No write may run twice, and no retry may get another answer than the first.
    """
    result = run_schedule(seed)
    assert not result.violations, (result.faults, result.violations)
    assert result.committed_keys > 10
    assert result.repeated_answers > 10


# ---- the guards taken out, one by one


def find_violations(node_factory: Callable[..., Any] = ReplicationNode, seeds: int = 40) -> list[str]:
    """Return the violations found in the first schedule that has any."""
    for seed in range(seeds):
        found = run_schedule(seed, node_factory=node_factory).violations
        if found:
            return found
    return []


def test_a_wrong_majority_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    """The guard taken out: a single member counts as a majority.  The simulation must find a violation."""
    monkeypatch.setattr(ReplicaGroups, "majority", property(lambda self: 1))
    assert find_violations()


class RepliesBeforeSync(ReplicationNode):
    """Replies before the rows are persisted."""

    def _persist(self, updates: list[Any], after: Any = None) -> None:
        reply_now = isinstance(after, SendMessage)
        super()._persist(updates, None if reply_now else after)
        if reply_now:
            self._send(after, BEGIN_MS)


def test_an_acknowledgement_before_the_sync_is_caught() -> None:
    """The guard taken out: replies are sent before their rows are persisted, and a member is killed.

    The exhaustive exploration must find the violation.
    """
    found = explore(ProtocolModel(FaultBounds(crashes=1), TWO_KEYS, RepliesBeforeSync), max_states=60_000)
    assert "is found afterwards" in found.violation or "both kept" in found.violation


def test_a_wiped_member_that_votes_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    """The guard taken out: a member that returned empty votes at once.

    A second claim of a committed key must then succeed, which shows that the guard is what prevents it.
    """
    monkeypatch.setattr(Acceptor, "may_vote", lambda self, key: True)
    cluster = lose_one_with_another_down()
    assert cluster.propose(2, "k", value=b"yours").committed  # although the key is another's


def test_a_missing_fence_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    """The guard taken out: acceptors accept below their promise.  The simulation must find a violation."""

    def takes_all(self: Acceptor, ask: Accept, now_ms: float) -> tuple[Reply, list[Any]]:
        fenced = self._fence(ask)
        if fenced is not None:
            return fenced, []
        row = self.row(ask.key, now_ms)
        new = Row(ask.ballot, ask.ballot, ask.step, ask.value, ask.expires_ms)
        return self._reply(ask, ReplyStatus.OK, new), self._replace_row(ask.key, row, new)

    monkeypatch.setattr(Acceptor, "accept", takes_all)
    assert find_violations()


def test_a_store_holds_registers_and_metadata_only(cluster: Cluster) -> None:
    """A new store holds three metadata records, and one more for each register."""
    assert {kind for disk in cluster.disks for kind, _ in disk} == {META}
    cluster.propose(0, "k", value=pack(WriteOutcome(True, b"b", 1, 2)))
    assert all(len(disk) == 4 for disk in cluster.disks)
