"""Promises and their copies, without processes: the protocol in the small, schedules of faults, and guards
taken out one by one, each seen by a checker."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shaletiller.lab import replication_simulation, state_space_explorer
from shaletiller.replication import acceptor as copies
from shaletiller.replication.core import Keep, ReplicationNode, Send
from shaletiller.replication.groups import Groups
from shaletiller.replication.messages import OK, UNREADY, Accept, Codec, Join, Prepare, Reply
from shaletiller.replication.proposer import Done, Expect, standing
from shaletiller.replication.rows import FAST, META, Intent, Outcome, Row, Word, pack, read_says
from shaletiller.replication.writes import Writes

MINUTE = 60_000.0


class Trio:
    """Three members that have met, and whose messages and disks the test moves."""

    def __init__(self, members: int = 3, zones: tuple[str, ...] = ()) -> None:
        self.groups = Groups(zones or ("",) * members)
        self.disks: list[dict[tuple[int, bytes], bytes]] = [{} for _ in range(members)]
        self.nodes: list[ReplicationNode | None] = [None] * members
        self.now = 1_000_000.0
        self.done: list[Done] = []
        self.cut: set[int] = set()
        self.full: set[int] = set()
        self.sent: Counter[str] = Counter()
        for member in range(members):
            self.start(member)
        self.run(500)

    def start(self, member: int, wiped: bool = False) -> None:
        if wiped:
            self.disks[member] = {}
        kept = [(kind, key, value) for (kind, key), value in self.disks[member].items()]
        self.nodes[member] = ReplicationNode(member, self.groups, kept, self.now + member)

    def node(self, member: int) -> ReplicationNode:
        found = self.nodes[member]
        assert found is not None
        return found

    def run(self, span_ms: float, step_ms: float = 5.0) -> None:
        until = self.now + span_ms
        while self.now < until:
            self.now += step_ms
            for node in self.nodes:
                if node is not None:
                    node.tick(self.now, tuple(range(len(self.nodes))))
            self.settle()

    def settle(self) -> None:
        while any(node is not None and node.effects for node in self.nodes):
            for member, node in enumerate(self.nodes):
                for effect in node.take_effects() if node is not None else ():
                    self.carry_out(member, effect)

    def carry_out(self, member: int, effect: Any) -> None:
        node = self.node(member)
        if isinstance(effect, Done):
            self.done.append(effect)
        elif isinstance(effect, Send):
            self.sent[type(effect.message).__name__] += 1
            other = self.nodes[effect.member]
            if other is not None and not {member, effect.member} & self.cut:
                other.receive(member, effect.message, self.now)
        elif isinstance(effect, Keep):
            if member in self.full and effect.rows:
                node.lost(effect.token)
                return
            for kind, key, value in effect.rows:
                if value is None:
                    self.disks[member].pop((kind, key), None)
                else:
                    self.disks[member][kind, key] = value
            node.kept(effect.token, self.now)

    def ask(
        self,
        member: int,
        key: str,
        expect: Expect = Expect.FREE,
        value: bytes = b"",
        wait_ms: float = 800.0,
        keep_ms: float = MINUTE,
        **more: Any,
    ) -> Done:
        until, last = self.now + keep_ms, self.now + wait_ms
        op = self.node(member).ask(key, expect, value, until, last, self.now, **more)
        self.settle()
        for _ in range(400):
            found = [done for done in self.done if done.op == op]
            if found:
                self.done.remove(found[0])
                return found[0]
            self.run(5.0)
        raise AssertionError("the op never ended")

    def read(self, member: int, key: str) -> bytes:
        found = self.ask(member, key, Expect.NEVER)
        assert not found.unknown
        return found.value


# ---- groups


@given(
    st.text(min_size=1, max_size=20), st.lists(st.sampled_from(["", "a", "b", "c"]), min_size=1, max_size=9)
)
def test_a_group_spreads_over_the_zones_there_are(key: str, zones: list[str]) -> None:
    groups = Groups(zones)
    found = groups.of(key)
    assert len(set(found)) == len(found) == min(3, len(zones)) == groups.copies
    named = {zone for zone in zones if zone}
    if "" not in zones and len(named) >= groups.copies:
        assert len({zones[member] for member in found}) == groups.copies
    assert groups.majority * 2 > groups.copies


# ---- the register


def test_a_claim_on_a_free_key_takes_one_round_and_its_outcome_another() -> None:
    trio = Trio()
    trio.sent.clear()
    claimed = trio.ask(0, "k", value=b"mine")
    assert claimed.kept and claimed.held is not None and claimed.held.ballot == FAST
    assert (trio.sent["Accept"], trio.sent["Prepare"]) == (2, 0)
    settled = trio.ask(0, "k", Expect.THIS, b"outcome", expected=b"mine", held=claimed.held)
    assert settled.kept and (trio.sent["Accept"], trio.sent["Prepare"]) == (4, 0)
    assert [trio.read(member, "k") for member in range(3)] == [b"outcome"] * 3


def test_a_second_claim_finds_the_first_and_a_released_key_is_free_again() -> None:
    trio = Trio()
    first = trio.ask(0, "k", value=b"mine")
    assert not (found := trio.ask(1, "k", value=b"yours")).kept and found.value == b"mine"
    # The other has asked under a higher ballot: the first still settles what is its own, a round later.
    assert trio.ask(0, "k", Expect.THIS, b"", expected=b"mine", held=first.held).kept
    assert trio.ask(2, "k", value=b"third").kept


def test_an_old_holder_makes_nothing_count_once_another_has_written() -> None:
    trio = Trio()
    first = trio.ask(0, "k", value=b"mine")
    assert trio.ask(1, "k", Expect.THIS, b"taken over", expected=b"mine").kept
    late = trio.ask(0, "k", Expect.THIS, b"outcome", expected=b"mine", held=first.held)
    assert not late.kept and late.value == b"taken over"


def test_with_one_of_three_gone_a_majority_goes_on_and_with_two_gone_nothing_is_certain() -> None:
    trio = Trio()
    trio.nodes[2] = None
    assert trio.ask(0, "k", value=b"mine").kept
    trio.nodes[1] = None
    assert trio.ask(0, "j", value=b"mine").unknown


def test_a_fast_round_is_not_tried_while_one_of_the_group_is_known_to_be_away() -> None:
    # It would wait 40 ms for the one that cannot answer: on every write, for as long as that is away.
    trio = Trio()
    trio.nodes[2] = None
    trio.node(0).absent = frozenset({2})
    before = trio.now
    assert trio.ask(0, "k", value=b"mine").kept
    assert trio.now - before < 10.0 and trio.sent["Prepare"] == 2


def test_the_value_of_a_fast_round_stands_only_where_all_that_answer_have_it() -> None:
    mine, yours = Row(FAST, FAST, 0, b"mine", 9), Row(FAST, FAST, 0, b"yours", 9)
    assert standing([mine, mine]).value == b"mine"
    assert standing([mine, yours]).value == b"" == standing([mine, Row((2, 0, 0))]).value
    settled = Row(FAST, FAST, 1, b"outcome", 9)
    assert standing([mine, settled]).value == b"outcome"  # a step on is written only once the first is made
    assert standing([yours, Row((3, 1, 1), (2, 1, 1), 0, b"newer", 9)]).value == b"newer"


def test_two_ops_of_one_process_on_one_key_never_share_a_ballot() -> None:
    # Found by a schedule: two repeats of a key at one gateway came to the same round, and both were kept.
    trio = Trio()
    trio.ask(0, "k", value=b"old")
    trio.ask(0, "k", Expect.THIS, b"", expected=b"old")
    ops = [
        trio.node(1).ask("k", Expect.FREE, value, trio.now + MINUTE, trio.now + 800, trio.now)
        for value in (b"one", b"two")
    ]
    trio.run(400)
    assert sorted(done.kept for done in trio.done if done.op in ops) == [False, True]


def test_words_are_ordered_by_their_stamps_whoever_writes_last() -> None:
    trio = Trio()
    word = [pack(Word(out, stamp, 0, 1 << 50)) for out, stamp in ((True, 10), (False, 20))]
    assert trio.ask(0, "ban:n1", Expect.OLDER, word[1]).kept
    late = trio.ask(1, "ban:n1", Expect.OLDER, word[0])
    assert not late.kept and late.value == word[1]


def test_what_has_ended_is_gone_from_all_copies_and_their_disks() -> None:
    trio = Trio()
    assert trio.ask(0, "k", value=b"mine", keep_ms=1_000.0).kept
    assert all((1, b"k") in disk for disk in trio.disks)
    trio.run(1_500.0)
    assert not any((1, b"k") in disk for disk in trio.disks)
    assert all(not any(any(sums) for sums in trio.node(n).acceptor.sums.values()) for n in range(3))
    assert trio.ask(1, "k", value=b"anew").kept


# ---- disks


def test_a_copy_that_did_not_last_is_never_counted_though_the_question_comes_again() -> None:
    trio = Trio()
    trio.full = {1, 2}
    assert trio.ask(0, "k", value=b"mine", wait_ms=300.0).unknown
    assert not any((1, b"k") in trio.disks[member] for member in (1, 2))
    trio.full = set()
    assert trio.ask(0, "k", value=b"again").kept or trio.read(0, "k") == b"mine"
    assert sum((1, b"k") in disk for disk in trio.disks) >= 2


def test_a_repeated_question_after_a_failed_commit_is_answered_only_with_the_row_on_the_disk() -> None:
    trio = Trio()
    node, incarnations = trio.node(1), trio.node(1).acceptor.lives_of("k")
    ask = Accept(7, "k", FAST, 0, b"mine", int(trio.now + MINUTE), incarnations)
    node.receive(0, ask, trio.now)
    (first,) = node.take_effects()
    assert isinstance(first, Keep) and first.rows
    node.lost(first.token)
    node.receive(0, ask, trio.now)  # it changes nothing here any more; the disk does not have it yet
    keeps = [effect for effect in node.take_effects() if isinstance(effect, Keep)]
    assert any(key == b"k" and value is not None for keep in keeps for _, key, value in keep.rows)
    for keep in keeps:
        node.kept(keep.token, trio.now)
    replies = [effect.message for effect in node.take_effects() if isinstance(effect, Send)]
    assert [reply.how for reply in replies if isinstance(reply, Reply)] == [OK]


def lost_with_one_away() -> Trio:
    """A promise that two of three made, of whom one has lost its disk and the other is away just now."""
    trio = Trio()
    trio.nodes[2] = None
    assert trio.ask(0, "k", value=b"mine").kept  # on 0 and 1
    trio.nodes[0] = None
    trio.start(2)
    trio.start(1, wiped=True)
    trio.run(600.0)
    return trio


def test_a_machine_that_returns_empty_does_not_vote_before_all_of_its_group_have_filled_it() -> None:
    trio = lost_with_one_away()
    asked = Prepare(5, "k", (9, 2, 1), int(trio.now + MINUTE), trio.node(1).acceptor.lives_of("k"))
    assert not trio.node(1).filled  # 0 has what 1 lost: without it nothing is certain
    assert trio.node(1).acceptor.prepare(asked, trio.now)[0].how == UNREADY
    assert trio.ask(2, "k", Expect.NEVER, wait_ms=300.0).unknown
    trio.start(0)
    trio.run(800.0)
    assert trio.node(1).filled and [trio.read(member, "k") for member in range(3)] == [b"mine"] * 3


def test_a_promise_of_a_life_that_is_over_counts_no_more() -> None:
    trio = Trio()
    incarnations = trio.node(0).acceptor.lives_of("k")
    trio.start(2, wiped=True)
    trio.run(800.0)
    assert trio.node(2).filled
    old = Accept(5, "k", (2, 0, 1), 0, b"of before", int(trio.now + MINUTE), incarnations)
    answers = [trio.node(member).acceptor.accept(old, trio.now)[0] for member in range(3)]
    assert all(answer.how != OK for answer in answers)
    assert answers[0].incarnations == trio.node(2).acceptor.lives_of("k") != incarnations


def test_a_store_that_is_an_old_copy_is_told_so_and_votes_on_nothing() -> None:
    trio = Trio()
    before = dict(trio.disks[2])
    trio.start(2, wiped=True)
    trio.run(800.0)
    trio.disks[2] = before  # somebody put the disk of the old machine back
    trio.start(2)
    trio.ask(2, "k", value=b"x")
    assert trio.node(2).acceptor.superseded and not trio.node(2).filled


def test_a_new_machine_whose_clock_is_behind_takes_a_later_life() -> None:
    trio = Trio()
    incarnations = list(trio.node(0).acceptor.incarnations)
    trio.disks[2] = {}
    trio.nodes[2] = ReplicationNode(2, trio.groups, [], incarnations[2] - 500_000.0)
    trio.run(1_200.0)
    assert trio.node(2).filled and trio.node(0).acceptor.incarnations[2] > incarnations[2]


def test_a_new_store_takes_what_others_took_whatever_they_have_promised_since() -> None:
    # Found by one schedule of 10,000: a promise that one member had given since kept the new store from what
    # the other had, which was all that was left of an outcome that a client had been told.
    copy = copies.Acceptor(2, Groups(("", "", "")))
    first = Row((19, 3, 1), FAST, 0, b"never made", 9_000)
    made = Row((14, 1, 1), (14, 1, 1), 0, b"told to a client", 9_000)
    for order in ((first, made), (made, first)):
        copy.rows.clear()
        for row in order:
            copy.learn("k", row, 1_000.0, filling=True)
        assert copy.row("k", 1_000.0) == Row((19, 3, 1), (14, 1, 1), 0, b"told to a client", 9_000)
    voter = copies.Acceptor(2, Groups(("", "", "")))
    voter.learn("k", first, 1_000.0)
    voter.learn("k", made, 1_000.0)  # one that votes has promised not to
    assert voter.row("k", 1_000.0).value == b"never made"


# ---- repair


def test_what_a_member_missed_is_given_to_it_within_the_budget() -> None:
    trio = Trio(5)
    trio.cut = {4}
    for number in range(60):
        assert trio.ask(number % 4, f"k{number}", value=b"x" * 200).kept
    for node in trio.nodes:
        assert node is not None
        node.repair.budget = 3_000.0
    trio.cut = set()
    before_ms, given = trio.now, sum(node.repair.bytes_given for node in trio.nodes if node)

    def missing() -> list[str]:
        return [
            f"k{n}"
            for n in range(60)
            if 4 in trio.groups.of(f"k{n}")
            and trio.node(4).acceptor.row(f"k{n}", trio.now).value != b"x" * 200
        ]

    assert len(missing()) > 20
    while missing():
        assert trio.now - before_ms < 60_000.0, missing()
        trio.run(500.0)
    spent = sum(node.repair.bytes_given for node in trio.nodes if node) - given
    span_s = (trio.now - before_ms) / 1000
    assert spent <= 5 * (3_000.0 * span_s + 3_000.0 + 60_000.0 / 10)


# ---- writes


class Written:
    """Writes at a member of a trio."""

    def __init__(self, trio: Trio, member: int) -> None:
        self.trio, self.member, self.number = trio, member, 0
        self.writes = Writes(trio.node(member), int(trio.now) + member, MINUTE)

    def begin(self, key: str, mark: int = 1, wait_ms: float = 900.0) -> int:
        self.number += 1
        self.writes.begin(self.number, key, mark, self.trio.now + wait_ms, self.trio.now)
        return self.number

    def decided(self) -> list[tuple[int, str, bytes]]:
        self.trio.settle()
        for _ in range(200):
            for done in list(self.trio.done):
                if self.writes.done(done, self.trio.now):
                    self.trio.done.remove(done)
            found = self.writes.take_decisions()
            if found:
                return [(each.number, each.what, each.body) for each in found]
            self.trio.run(5.0)
        return []

    def decided_of(self, number: int) -> str:
        return {at: what for at, what, _ in self.decided()}[number]

    def decided_of_new(self, key: str) -> str:
        return self.decided_of(self.begin(key))


def test_a_repeat_through_another_gateway_gets_the_recorded_answer() -> None:
    trio = Trio()
    first, second = Written(trio, 0), Written(trio, 1)
    number = first.begin("k")
    assert first.decided() == [(number, "go", b"")]
    first.writes.end(number, "served", b"body", trio.now)
    assert first.decided() == [(number, "served", b"body")]
    again = second.begin("k")
    assert second.decided() == [(again, "served", b"body")]
    other = second.begin("k", mark=2)
    assert second.decided() == [(other, "failed", b"")]  # its key was used for another request


def test_a_repeat_while_the_first_is_out_is_refused_and_after_its_gateways_death_failed() -> None:
    trio = Trio()
    first, second = Written(trio, 0), Written(trio, 1)
    number = first.begin("k")
    assert first.decided() == [(number, "go", b"")]
    assert second.decided_of(second.begin("k")) == "refused"
    trio.nodes[0] = None
    trio.run(1_000.0)
    assert second.decided_of(second.begin("k")) == "failed"  # it may have run


def test_what_never_ran_may_be_asked_for_again_at_once() -> None:
    trio = Trio()
    first, second = Written(trio, 0), Written(trio, 1)
    number = first.begin("k")
    assert first.decided() == [(number, "go", b"")]
    first.writes.end(number, "refused", b"", trio.now)
    trio.run(50.0)
    assert second.decided_of(second.begin("k")) == "go"


def test_an_outcome_that_cannot_be_kept_is_not_told() -> None:
    trio = Trio()
    first = Written(trio, 0)
    number = first.begin("k")
    assert first.decided() == [(number, "go", b"")]
    trio.cut = {0}
    first.writes.end(number, "served", b"body", trio.now)
    assert first.decided() == [(number, "failed", b"")]
    trio.cut = set()
    trio.run(1_000.0)
    # Beside the answers it may be made after all; what is never so is a second run.
    assert Written(trio, 1).decided_of_new("k") in ("failed", "served")


def test_without_a_majority_nothing_is_sent_and_the_key_is_free_when_it_is_back() -> None:
    trio = Trio()
    first = Written(trio, 0)
    trio.cut = {0}
    assert first.decided_of(first.begin("k")) == "refused"
    trio.cut = set()
    trio.run(3_000.0)
    assert Written(trio, 1).decided_of_new("k") == "go"


# ---- messages


@given(st.binary(max_size=80))
def test_any_bytes_are_dropped_and_counted(data: bytes) -> None:
    codec = Codec(7, 0, 3)
    assert codec.read(b"P" + data) is None and sum(codec.dropped.values()) == 1


def test_messages_of_another_fleet_version_or_member_are_dropped_by_reason() -> None:
    join = Join(1, 2, "")
    assert Codec(7, 0, 3).read(Codec(7, 1, 3).write(join)) == (1, join)
    codec = Codec(7, 0, 3)
    for other in (Codec(8, 1, 3), Codec(7, 5, 9), Codec(7, 0, 3)):
        assert codec.read(other.write(join)) is None
    assert codec.dropped == {"group": 1, "sender": 2}


def test_values_of_a_later_version_say_nothing() -> None:
    assert read_says(b"") is None and read_says(b"\x93\x63\x01\x02") is None
    assert isinstance(read_says(pack(Intent(1, 2, 3, 4, 5, 6))), Intent)


# ---- exhaustively in the small


def test_every_order_of_two_keys_is_kept_also_with_a_time_out_and_a_lost_machine() -> None:
    for bounds in (
        state_space_explorer.Bounds(),
        state_space_explorer.Bounds(ticks=1),
        state_space_explorer.Bounds(late=1, lost=1),
    ):
        found = state_space_explorer.explore(
            state_space_explorer.Small(bounds, state_space_explorer.SCRIPTS[1])
        )
        assert found.whole and not found.broken, (found.broken, found.course)
        assert found.ends > 0


# ---- schedules on the virtual clock


@pytest.mark.parametrize("seed", [*range(12), 18, 98, 181, 3579])
def test_a_schedule_of_faults_breaks_no_promise(seed: int) -> None:
    seen = replication_simulation.play(seed)
    assert not seen.broken, (seen.faults, seen.broken)
    assert seen.promises_made > 10 and seen.repeats_answered > 10


# ---- the guards taken out, one by one


def caught(make: Callable[..., Any] = ReplicationNode, seeds: int = 40) -> list[str]:
    """What the checker of schedules objects to."""
    for seed in range(seeds):
        found = replication_simulation.play(seed, make=make).broken
        if found:
            return found
    return []


def test_a_majority_counted_wrong_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Groups, "majority", property(lambda self: 1))
    assert caught()


class Hasty(ReplicationNode):
    """Says that it has a row before the disk does."""

    def _keep(self, rows: list[Any], after: Any) -> None:
        super()._keep(rows, None if isinstance(after, tuple) else after)
        if isinstance(after, tuple):
            self._say(*after, state_space_explorer.BEGIN_MS)


def test_an_acknowledgement_before_the_sync_is_caught() -> None:
    found = state_space_explorer.explore(
        state_space_explorer.Small(
            state_space_explorer.Bounds(killed=1), state_space_explorer.SCRIPTS[1], Hasty
        ),
        most=60_000,
    )
    assert "is found afterwards" in found.broken or "both kept" in found.broken


def test_a_wiped_member_that_votes_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(copies.Acceptor, "ready", lambda self, key: True)
    trio = lost_with_one_away()
    assert trio.ask(2, "k", value=b"yours").kept  # though it was promised to another


def test_a_missing_fence_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    def takes_all(self: copies.Acceptor, ask: Accept, now_ms: float) -> tuple[Reply, list[Any]]:
        no = self._turned_down(ask)
        row = self.row(ask.key, now_ms)
        new = Row(ask.ballot, ask.ballot, ask.step, ask.value, ask.until)
        return (no, []) if no is not None else (self._answer(ask, OK, new), self._change(ask.key, row, new))

    monkeypatch.setattr(copies.Acceptor, "accept", takes_all)
    assert caught()


def test_a_store_holds_registers_and_what_is_known_of_lives() -> None:
    trio = Trio()
    assert {kind for disk in trio.disks for kind, _ in disk} == {META}
    trio.ask(0, "k", value=pack(Outcome(True, b"b", 1, 2)))
    assert all(len(disk) == 4 for disk in trio.disks)
