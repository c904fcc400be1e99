"""Tests of the replication protocol without gateway processes.

They cover single steps of the protocol, seeded schedules of faults on a virtual clock, and mutations: for
each safety check that a test removes, a checker must report a violation.
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

MINUTE_MS = 60_000.0


class Cluster:
    """A group of synced members whose messages, disks and clock are controlled by the test."""

    def __init__(self, members: int = 3, zones: tuple[str, ...] = ()) -> None:
        self.groups = ReplicaGroups(zones or ("",) * members)
        self.disks: list[dict[tuple[int, bytes], bytes]] = [{} for _ in range(members)]
        self.nodes: list[ReplicationNode | None] = [None] * members
        self.now_ms = 1_000_000.0
        self.results: list[OperationResult] = []
        self.partitioned: set[int] = set()
        self.full_disks: set[int] = set()
        self.sent: Counter[str] = Counter()
        for member in range(members):
            self.start(member)
        self.run(500)

    def start(self, member: int, wiped: bool = False) -> None:
        """Start a member with its disk, or with an empty one if `wiped`."""
        if wiped:
            self.disks[member] = {}
        records = [(kind, key, value) for (kind, key), value in self.disks[member].items()]
        self.nodes[member] = ReplicationNode(member, self.groups, records, self.now_ms + member)

    def node(self, member: int) -> ReplicationNode:
        """Return the node of a member, which must be up."""
        node = self.nodes[member]
        assert node is not None
        return node

    def run(self, span_ms: float, step_ms: float = 5.0) -> None:
        """Advance the clock, and execute all effects after each step."""
        end_ms = self.now_ms + span_ms
        while self.now_ms < end_ms:
            self.now_ms += step_ms
            for node in self.nodes:
                if node is not None:
                    node.tick(self.now_ms, tuple(range(len(self.nodes))))
            self.execute_effects()

    def execute_effects(self) -> None:
        """Execute effects until none are left."""
        while any(node is not None and node.effects for node in self.nodes):
            for member, node in enumerate(self.nodes):
                for effect in node.take_effects() if node is not None else ():
                    self.execute_effect(member, effect)

    def execute_effect(self, member: int, effect: Any) -> None:
        """Execute one effect of a member, subject to the current faults."""
        node = self.node(member)
        if isinstance(effect, OperationResult):
            self.results.append(effect)
        elif isinstance(effect, SendMessage):
            self.sent[type(effect.message).__name__] += 1
            other = self.nodes[effect.recipient]
            if other is not None and not {member, effect.recipient} & self.partitioned:
                other.receive(member, effect.message, self.now_ms)
        elif isinstance(effect, PersistRecords):
            if member in self.full_disks and effect.updates:
                node.on_persist_failed(effect.token)
                return
            for kind, key, value in effect.updates:
                if value is None:
                    self.disks[member].pop((kind, key), None)
                else:
                    self.disks[member][kind, key] = value
            node.on_persisted(effect.token, self.now_ms)

    def propose(
        self,
        member: int,
        key: str,
        precondition: Precondition = Precondition.FREE,
        value: bytes = b"",
        timeout_ms: float = 800.0,
        retention_ms: float = MINUTE_MS,
        **options: Any,
    ) -> OperationResult:
        """Run an operation and return its result."""
        expires_ms, deadline_ms = self.now_ms + retention_ms, self.now_ms + timeout_ms
        operation = self.node(member).propose(
            key, precondition, value, expires_ms, deadline_ms, self.now_ms, **options
        )
        self.execute_effects()
        for _ in range(400):
            finished = [result for result in self.results if result.operation == operation]
            if finished:
                self.results.remove(finished[0])
                return finished[0]
            self.run(5.0)
        raise AssertionError("the operation has not ended")

    def read(self, member: int, key: str) -> bytes:
        """Read the value of a key through a member."""
        result = self.propose(member, key, Precondition.READ_ONLY)
        assert not result.indeterminate
        return result.value


@pytest.fixture
def cluster() -> Cluster:
    """Three members that are up and synced."""
    return Cluster()


# ---- replica groups


@given(
    st.text(min_size=1, max_size=20), st.lists(st.sampled_from(["", "a", "b", "c"]), min_size=1, max_size=9)
)
def test_a_group_spreads_over_the_zones(key: str, zones: list[str]) -> None:
    """A group has distinct members, in different zones if there are enough zones, and a strict majority."""
    groups = ReplicaGroups(zones)
    members = groups.members_of(key)
    assert len(set(members)) == len(members) == min(3, len(zones)) == groups.replicas
    named_zones = {zone for zone in zones if zone}
    if "" not in zones and len(named_zones) >= groups.replicas:
        assert len({zones[member] for member in members}) == groups.replicas
    assert groups.majority * 2 > groups.replicas


# ---- the register


def test_a_claim_of_a_free_key_takes_one_round_and_its_outcome_another(cluster: Cluster) -> None:
    """Without faults, a claim and the outcome that replaces it each take one round of accepts.

    No prepare is sent, and the outcome can then be read through all three members.
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
    """Two gateways claim the same key: the second one finds the value of the first.

    The first gateway can still release the key although the second one's prepare raised the ballot; a third
    claim then succeeds.
    """
    first = cluster.propose(0, "k", value=b"mine")
    assert not (second := cluster.propose(1, "k", value=b"yours")).committed
    assert second.value == b"mine"
    # The second gateway prepared a higher ballot: the first one needs another round to replace its own value.
    assert cluster.propose(
        0, "k", Precondition.EQUALS, b"", expected=b"mine", position=first.position
    ).committed
    assert cluster.propose(2, "k", value=b"third").committed


def test_a_superseded_writer_commits_nothing(cluster: Cluster) -> None:
    """A gateway commits a value, another one replaces it, and the first writes late at its old position.

    The late write must be fenced, and must return the value that replaced the gateway's own.
    """
    first = cluster.propose(0, "k", value=b"mine")
    assert cluster.propose(1, "k", Precondition.EQUALS, b"taken over", expected=b"mine").committed
    late = cluster.propose(0, "k", Precondition.EQUALS, b"outcome", expected=b"mine", position=first.position)
    assert not late.committed
    assert late.value == b"taken over"


def test_with_one_of_three_down_a_majority_commits_and_with_two_down_the_result_is_indeterminate(
    cluster: Cluster,
) -> None:
    """With one of three members down, the other two still commit.

    With two members down, the result at the last one must be indeterminate.
    """
    cluster.nodes[2] = None
    assert cluster.propose(0, "k", value=b"mine").committed
    cluster.nodes[1] = None
    assert cluster.propose(0, "j", value=b"mine").indeterminate


def test_a_fast_round_is_not_tried_while_a_member_is_known_to_be_down(cluster: Cluster) -> None:
    """The proposer must skip the fast round if a member of the group is known to be down.

    A fast round needs all members, so every write would wait for its timeout of 40 ms.
    """
    cluster.nodes[2] = None
    cluster.node(0).unreachable = frozenset({2})
    before = cluster.now_ms
    assert cluster.propose(0, "k", value=b"mine").committed
    assert cluster.now_ms - before < 10.0
    assert cluster.sent["Prepare"] == 2


def test_the_value_of_a_fast_round_counts_only_if_all_replies_have_it() -> None:
    """A majority replied to a prepare, and some of the rows were written in a fast round.

    A value of a fast round may be committed only if all replies have it; a value of a later step or ballot
    may always be.
    """
    mine, yours = Row(FAST_BALLOT, FAST_BALLOT, 0, b"mine", 9), Row(FAST_BALLOT, FAST_BALLOT, 0, b"yours", 9)
    assert possibly_committed([mine, mine]).value == b"mine"
    assert (
        possibly_committed([mine, yours]).value
        == b""
        == possibly_committed([mine, Row(Ballot(2, 0, 0))]).value
    )
    settled = Row(FAST_BALLOT, FAST_BALLOT, 1, b"outcome", 9)
    # The next step is written only after the first one is committed.
    assert possibly_committed([mine, settled]).value == b"outcome"
    assert (
        possibly_committed([yours, Row(Ballot(3, 1, 1), Ballot(2, 1, 1), 0, b"newer", 9)]).value == b"newer"
    )


def test_two_operations_of_one_process_on_one_key_never_share_a_ballot(cluster: Cluster) -> None:
    """Two retries with the same key arrive at one gateway, and both operations reach the same round.

    Exactly one may be committed. The simulation found a schedule in which both were committed, because they
    used the same ballot.
    """
    cluster.propose(0, "k", value=b"old")
    cluster.propose(0, "k", Precondition.EQUALS, b"", expected=b"old")
    operations = [
        cluster.node(1).propose(
            "k", Precondition.FREE, value, cluster.now_ms + MINUTE_MS, cluster.now_ms + 800, cluster.now_ms
        )
        for value in (b"one", b"two")
    ]
    cluster.run(400)
    assert sorted(done.committed for done in cluster.results if done.operation in operations) == [False, True]


def test_operator_commands_are_ordered_by_their_stamps(cluster: Cluster) -> None:
    """An operator command that arrives late through another gateway must not replace a newer one."""
    commands = [
        pack(OperatorCommand(in_effect, stamp, 0, 1 << 50)) for in_effect, stamp in ((True, 10), (False, 20))
    ]
    assert cluster.propose(0, "ban:n1", Precondition.OLDER_STAMP, commands[1]).committed
    late = cluster.propose(1, "ban:n1", Precondition.OLDER_STAMP, commands[0])
    assert not late.committed
    assert late.value == commands[1]


def test_expired_rows_are_removed_from_all_replicas_and_their_disks(cluster: Cluster) -> None:
    """All replicas remove an expired value, also from their disks.

    The digests must then equal those of empty stores, and the key must be free.
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

    The value must not count as committed. Once there is space again, the value that is read must be on at
    least two disks.
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
    """An accept request is applied, persisting its row fails, and the same request arrives again.

    The request no longer changes the row in memory, but the row must be persisted before the reply is sent.
    """
    node, incarnations = cluster.node(1), cluster.node(1).acceptor.incarnations_of("k")
    request = Accept(7, "k", FAST_BALLOT, 0, b"mine", int(cluster.now_ms + MINUTE_MS), incarnations)
    node.receive(0, request, cluster.now_ms)
    (first,) = node.take_effects()
    assert isinstance(first, PersistRecords)
    assert first.updates
    node.on_persist_failed(first.token)
    node.receive(0, request, cluster.now_ms)  # The row in memory does not change, but the disk lacks it.
    persists = [effect for effect in node.take_effects() if isinstance(effect, PersistRecords)]
    assert any(key == b"k" and value is not None for persist in persists for _, key, value in persist.updates)
    for persist in persists:
        node.on_persisted(persist.token, cluster.now_ms)
    replies = [effect.message for effect in node.take_effects() if isinstance(effect, SendMessage)]
    assert [reply.status for reply in replies if isinstance(reply, Reply)] == [ReplyStatus.OK]


def cluster_with_one_wiped_and_one_down() -> Cluster:
    """Commit a value on members 0 and 1 of three, then wipe member 1 and stop member 0."""
    cluster = Cluster()
    cluster.nodes[2] = None
    assert cluster.propose(0, "k", value=b"mine").committed  # On members 0 and 1.
    cluster.nodes[0] = None
    cluster.start(2)
    cluster.start(1, wiped=True)
    cluster.run(600.0)
    return cluster


def test_a_wiped_member_does_not_vote_before_its_state_transfer_is_complete() -> None:
    """Two of three members committed a value; one of them has lost its disk, and the other one is down.

    Until the member that has the value is back, the wiped member must not vote, and a read must be
    indeterminate.
    """
    cluster = cluster_with_one_wiped_and_one_down()
    request = Prepare(
        5,
        "k",
        Ballot(9, 2, 1),
        int(cluster.now_ms + MINUTE_MS),
        cluster.node(1).acceptor.incarnations_of("k"),
    )
    assert not cluster.node(1).fully_synced  # Only member 0, which is down, has the rows that member 1 lost.
    assert cluster.node(1).acceptor.prepare(request, cluster.now_ms)[0].status == ReplyStatus.RECOVERING
    assert cluster.propose(2, "k", Precondition.READ_ONLY, timeout_ms=300.0).indeterminate
    cluster.start(0)
    cluster.run(800.0)
    assert cluster.node(1).fully_synced
    assert [cluster.read(member, "k") for member in range(3)] == [b"mine"] * 3


def test_a_request_that_names_a_past_incarnation_is_fenced(cluster: Cluster) -> None:
    """A member returns with a new store, and a request arrives that names its past incarnation.

    No member may accept the request, and the replies must carry the new incarnations.
    """
    incarnations = cluster.node(0).acceptor.incarnations_of("k")
    cluster.start(2, wiped=True)
    cluster.run(800.0)
    assert cluster.node(2).fully_synced
    request = Accept(5, "k", Ballot(2, 0, 1), 0, b"of before", int(cluster.now_ms + MINUTE_MS), incarnations)
    replies = [cluster.node(member).acceptor.accept(request, cluster.now_ms)[0] for member in range(3)]
    assert all(reply.status != ReplyStatus.OK for reply in replies)
    assert replies[0].incarnations == cluster.node(2).acceptor.incarnations_of("k") != incarnations


def test_a_store_restored_from_an_old_copy_never_votes(cluster: Cluster) -> None:
    """A machine was replaced, and then the disk of the old machine is put back.

    The member must detect that the old store is superseded, and must not vote.
    """
    before = dict(cluster.disks[2])
    cluster.start(2, wiped=True)
    cluster.run(800.0)
    cluster.disks[2] = before  # The disk of the old machine is put back.
    cluster.start(2)
    cluster.propose(2, "k", value=b"x")
    assert cluster.node(2).acceptor.superseded
    assert not cluster.node(2).fully_synced


def test_a_new_machine_whose_clock_is_behind_takes_a_later_incarnation(cluster: Cluster) -> None:
    """A machine returns with an empty disk, and its clock is behind that of its predecessor.

    Its incarnation must become later than the past one, and state transfer must complete.
    """
    incarnations = list(cluster.node(0).acceptor.incarnations)
    cluster.disks[2] = {}
    cluster.nodes[2] = ReplicationNode(2, cluster.groups, [], incarnations[2] - 500_000.0)
    cluster.run(1_200.0)
    assert cluster.node(2).fully_synced
    assert cluster.node(0).acceptor.incarnations[2] > incarnations[2]


def test_a_new_store_merges_accepted_values_regardless_of_later_promises() -> None:
    """A new store merges a row with a high promise, and the last copy of an outcome with a lower ballot.

    While it recovers it must merge both. An acceptor that votes must not, because it has promised to accept
    nothing lower. One of 10,000 simulated schedules found that the promise prevented the merge of an outcome
    that a client had already received.
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
    voter.merge("k", committed, 1_000.0)  # Refused: it has promised to accept nothing below ballot 19.
    assert voter.row("k", 1_000.0).value == b"never committed"


# ---- anti-entropy


def test_a_member_is_repaired_within_the_budget() -> None:
    """A member is partitioned from the others while sixty values are committed.

    Afterwards anti-entropy must send it every value that it lacks, within the limit of bytes per second.
    """
    cluster = Cluster(5)
    cluster.partitioned = {4}
    for number in range(60):
        assert cluster.propose(number % 4, f"k{number}", value=b"x" * 200).committed
    for node in cluster.nodes:
        assert node is not None
        node.budget.bytes_per_second = 3_000.0
    cluster.partitioned = set()
    before_ms, sent_before = cluster.now_ms, sum(node.budget.bytes_sent for node in cluster.nodes if node)

    def missing() -> list[str]:
        return [
            f"k{n}"
            for n in range(60)
            if 4 in cluster.groups.members_of(f"k{n}")
            and cluster.node(4).acceptor.row(f"k{n}", cluster.now_ms).value != b"x" * 200
        ]

    assert len(missing()) > 20
    while missing():
        assert cluster.now_ms - before_ms < 60_000.0, missing()
        cluster.run(500.0)
    repair_bytes = sum(node.budget.bytes_sent for node in cluster.nodes if node) - sent_before
    span_s = (cluster.now_ms - before_ms) / 1000
    assert repair_bytes <= 5 * (3_000.0 * span_s + 3_000.0 + 60_000.0 / 10)


# ---- writes


class WriteClient:
    """Performs replicated writes through one member of a cluster."""

    def __init__(self, cluster: Cluster, member: int) -> None:
        self.cluster, self.member, self.number = cluster, member, 0
        self.writes = ReplicatedWrites(cluster.node(member), int(cluster.now_ms) + member, MINUTE_MS)

    def begin(self, key: str, request_hash: int = 1, timeout_ms: float = 900.0) -> int:
        """Start a write and return its number."""
        self.number += 1
        self.writes.begin(
            self.number, key, request_hash, self.cluster.now_ms + timeout_ms, self.cluster.now_ms
        )
        return self.number

    def wait_for_decisions(self) -> list[tuple[int, WriteVerdict, bytes]]:
        """Wait for the next decisions, and return number, verdict and body of each."""
        self.cluster.execute_effects()
        for _ in range(200):
            for result in list(self.cluster.results):
                if self.writes.on_operation_finished(result, self.cluster.now_ms):
                    self.cluster.results.remove(result)
            decisions = self.writes.take_decisions()
            if decisions:
                return [(decision.number, decision.verdict, decision.body) for decision in decisions]
            self.cluster.run(5.0)
        return []

    def wait_for_verdict(self, number: int) -> WriteVerdict:
        """Wait for the next decisions, and return the verdict on one write."""
        return {number_decided: verdict for number_decided, verdict, _ in self.wait_for_decisions()}[number]

    def begin_and_wait(self, key: str) -> WriteVerdict:
        """Start a write and return the verdict on it."""
        return self.wait_for_verdict(self.begin(key))


def test_a_retry_through_another_gateway_gets_the_recorded_answer(cluster: Cluster) -> None:
    """A client retries a served write through another gateway.

    It must receive the recorded response, without a call to a node. Another request with the same idempotency
    key must fail.
    """
    first, second = WriteClient(cluster, 0), WriteClient(cluster, 1)
    number = first.begin("k")
    assert first.wait_for_decisions() == [(number, WriteVerdict.FORWARD, b"")]
    first.writes.end(number, WriteVerdict.SERVED, b"body", cluster.now_ms)
    assert first.wait_for_decisions() == [(number, WriteVerdict.SERVED, b"body")]
    again = second.begin("k")
    assert second.wait_for_decisions() == [(again, WriteVerdict.SERVED, b"body")]
    other = second.begin("k", request_hash=2)
    # The key was used for another request.
    assert second.wait_for_decisions() == [(other, WriteVerdict.FAILED, b"")]


def test_a_retry_is_rejected_until_the_deadline_of_the_first_request_and_fails_afterwards(
    cluster: Cluster,
) -> None:
    """A gateway is killed after it has forwarded a write, and the client retries through another gateway.

    A retry before the deadline of the first request is rejected. After the deadline it must fail, because the
    write may have run.
    """
    first, second = WriteClient(cluster, 0), WriteClient(cluster, 1)
    number = first.begin("k")
    assert first.wait_for_decisions() == [(number, WriteVerdict.FORWARD, b"")]
    assert second.wait_for_verdict(second.begin("k")) == WriteVerdict.REJECTED
    cluster.nodes[0] = None
    cluster.run(1_000.0)
    assert second.wait_for_verdict(second.begin("k")) == WriteVerdict.FAILED  # The write may have run.


def test_a_write_that_never_ran_may_be_retried_immediately(cluster: Cluster) -> None:
    """A claimed write is rejected by the nodes without having run.

    Its key must be released, so that a retry through another gateway is forwarded.
    """
    first, second = WriteClient(cluster, 0), WriteClient(cluster, 1)
    number = first.begin("k")
    assert first.wait_for_decisions() == [(number, WriteVerdict.FORWARD, b"")]
    first.writes.end(number, WriteVerdict.REJECTED, b"", cluster.now_ms)
    cluster.run(50.0)
    assert second.wait_for_verdict(second.begin("k")) == WriteVerdict.FORWARD


def test_an_outcome_that_cannot_be_committed_is_not_answered(cluster: Cluster) -> None:
    """A node has served a write, but its gateway is partitioned from the other replicas.

    The response must not be SERVED, because a retry might get another one. The write must not run twice.
    """
    first = WriteClient(cluster, 0)
    number = first.begin("k")
    assert first.wait_for_decisions() == [(number, WriteVerdict.FORWARD, b"")]
    cluster.partitioned = {0}
    first.writes.end(number, WriteVerdict.SERVED, b"body", cluster.now_ms)
    assert first.wait_for_decisions() == [(number, WriteVerdict.FAILED, b"")]
    cluster.partitioned = set()
    cluster.run(1_000.0)
    # The outcome may be committed after the response, but the write must not be forwarded again.
    assert WriteClient(cluster, 1).begin_and_wait("k") in (WriteVerdict.FAILED, WriteVerdict.SERVED)


def test_without_a_majority_nothing_is_forwarded_and_the_key_is_released(cluster: Cluster) -> None:
    """A gateway that is partitioned from the majority claims a key.

    The write must be rejected without being forwarded, and its key must be free once the partition ends.
    """
    first = WriteClient(cluster, 0)
    cluster.partitioned = {0}
    assert first.wait_for_verdict(first.begin("k")) == WriteVerdict.REJECTED
    cluster.partitioned = set()
    cluster.run(3_000.0)
    assert WriteClient(cluster, 1).begin_and_wait("k") == WriteVerdict.FORWARD


# ---- messages


@given(st.binary(max_size=80))
def test_any_bytes_are_dropped_and_counted(data: bytes) -> None:
    """A frame of arbitrary bytes must be dropped and counted, and must not raise an exception."""
    codec = Codec(7, 0, 3)
    assert codec.read(b"P" + data) is None
    assert sum(codec.dropped.values()) == 1


def test_messages_of_another_fleet_or_member_are_dropped_by_reason() -> None:
    """Frames of another fleet, of an unknown member or of this member itself must be dropped by reason."""
    request = StateTransferRequest(1, 2, "")
    assert Codec(7, 0, 3).read(Codec(7, 1, 3).write(request)) == (1, request)
    codec = Codec(7, 0, 3)
    for other in (Codec(8, 1, 3), Codec(7, 5, 9), Codec(7, 0, 3)):
        assert codec.read(other.write(request)) is None
    assert codec.dropped == {"group": 1, "sender": 2}


def test_values_of_a_later_version_decode_to_nothing() -> None:
    """An empty value, or one with a tag of a later version, must decode to None without an exception."""
    assert decode_value(b"") is None
    assert decode_value(b"\x93\x63\x01\x02") is None
    assert isinstance(decode_value(pack(WriteIntent(1, 2, 3, 4, 5, 6))), WriteIntent)


# ---- exhaustive exploration of small cases


def test_every_order_of_events_on_two_keys_keeps_the_guarantees() -> None:
    """Explore every order of events for claims of two keys.

    The runs are without faults, with a timeout, and with a late request and a lost message. No two claims of
    one key may both be committed, and no committed outcome may be lost.
    """
    for bounds in (
        FaultBounds(),
        FaultBounds(timeouts=1),
        FaultBounds(late_requests=1, lost_messages=1),
    ):
        result = explore(ProtocolModel(bounds, TWO_KEYS))
        assert not result.violation, (result.violation, result.trace)
        assert result.complete
        assert result.final_states > 0


# ---- schedules on the virtual clock


@pytest.mark.parametrize("seed", [*range(12), 18, 98, 181, 3579])
def test_a_schedule_of_faults_breaks_no_guarantee(seed: int) -> None:
    """Five gateways serve writes and retries under a seeded schedule of faults.

    No write may run twice, and no retry may receive a different response than the first request.
    """
    result = run_schedule(seed)
    assert not result.violations, (result.faults, result.violations)
    assert result.committed_keys > 10
    assert result.repeated_responses > 10


# ---- removal of single safety checks


def find_violations(node_factory: Callable[..., Any] = ReplicationNode, seeds: int = 40) -> list[str]:
    """Return the violations of the first schedule that has any."""
    for seed in range(seeds):
        first_violations = run_schedule(seed, node_factory=node_factory).violations
        if first_violations:
            return first_violations
    return []


def test_a_wrong_majority_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    """If a single member counts as a majority, the simulation must find a violation."""
    monkeypatch.setattr(ReplicaGroups, "majority", property(lambda self: 1))
    assert find_violations()


class RepliesBeforeSync(ReplicationNode):
    """A faulty node that replies before its rows are persisted."""

    def _persist(self, updates: list[Any], follow_up: Any = None) -> None:
        reply_now = isinstance(follow_up, SendMessage)
        super()._persist(updates, None if reply_now else follow_up)
        if reply_now:
            self._send(follow_up, BEGIN_MS)


def test_an_acknowledgement_before_the_sync_is_caught() -> None:
    """If replies are sent before their rows are persisted, and a member is killed, a write can be lost.

    The exhaustive exploration must find this violation.
    """
    result = explore(ProtocolModel(FaultBounds(crashes=1), TWO_KEYS, RepliesBeforeSync), max_states=60_000)
    assert "is found afterwards" in result.violation or "both kept" in result.violation


def test_a_wiped_member_that_votes_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    """If a wiped member votes immediately, a second claim of a committed key succeeds.

    This shows that `may_vote` is what prevents the second claim.
    """
    monkeypatch.setattr(Acceptor, "may_vote", lambda self, key: True)
    cluster = cluster_with_one_wiped_and_one_down()
    assert cluster.propose(2, "k", value=b"yours").committed  # Although another claim was committed before.


def test_a_missing_fence_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    """If acceptors accept ballots below their promise, the simulation must find a violation."""

    def accept_any_ballot(self: Acceptor, request: Accept, now_ms: float) -> tuple[Reply, list[Any]]:
        refusal = self._fence(request)
        if refusal is not None:
            return refusal, []
        row = self.row(request.key, now_ms)
        new = Row(request.ballot, request.ballot, request.step, request.value, request.expires_ms)
        return self._reply(request, ReplyStatus.OK, new), self._replace_row(request.key, row, new)

    monkeypatch.setattr(Acceptor, "accept", accept_any_ballot)
    assert find_violations()


def test_a_store_holds_registers_and_metadata_only(cluster: Cluster) -> None:
    """A store holds three metadata records, and one record per register."""
    assert {kind for disk in cluster.disks for kind, _ in disk} == {META}
    cluster.propose(0, "k", value=pack(WriteOutcome(True, b"b", 1, 2)))
    assert all(len(disk) == 4 for disk in cluster.disks)
