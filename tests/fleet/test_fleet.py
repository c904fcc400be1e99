"""The fleet's cores, each alone: no sockets, no clocks but the test's."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shaletiller.fleet import codec
from shaletiller.fleet.broadcast_queue import BroadcastQueue
from shaletiller.fleet.codec import Call, Grant, HealthRecord, Ping, Pledge, Reader, Want, Writer, pack
from shaletiller.fleet.core import Fleet, Options, group_of
from shaletiller.fleet.health_gossip import HealthGossip, Kind, key_of
from shaletiller.fleet.hlc import HybridClock, stamp_of, wall_ms_of
from shaletiller.fleet.leases import Leases, Terms, fair
from shaletiller.fleet.membership import Membership, State, Timing
from shaletiller.fleet.quotas import NOTHING, Amount, Quota, QuotaBucket, Steps
from shaletiller.fleet.rendezvous import chosen, ranked
from shaletiller.lab.fault_schedules import play
from shaletiller.lab.virtual_network import World

GROUP, LIFE = 77, 1_700_000_000_000
WORD = HealthRecord("s-1", Kind.DEAD, 2, 5, stamp_of(LIFE), LIFE + 60_000, 1)


# ---- codec


@settings(max_examples=400, deadline=None)
@given(st.binary(max_size=300))
def test_whatever_comes_is_dropped_and_counted_and_never_an_exception(data: bytes) -> None:
    reader = Reader(GROUP, 0, 5)
    assert reader.read(data) is None
    assert sum(reader.dropped.values()) == 1


@settings(max_examples=300, deadline=None)
@given(st.data())
def test_an_envelope_cut_or_changed_anywhere_holds_only_known_parts(data: st.DataObject) -> None:
    whole = Writer(GROUP, 3, LIFE).write(stamp_of(LIFE), [pack(WORD), pack(Ping(7, 1 << 62))])
    at = data.draw(st.integers(0, len(whole) - 1))
    assert Reader(GROUP, 0, 5).read(whole[:at]) is None
    changed = bytearray(whole)
    changed[at] = data.draw(st.integers(0, 255))
    found = Reader(GROUP, 0, 5).read(bytes(changed))
    assert found is None or all(isinstance(part, codec.Part) for part in found[1])


def test_replayed_foreign_and_older_envelopes_are_told_apart() -> None:
    reader = Reader(GROUP, 0, 5)
    writer = Writer(GROUP, 3, LIFE)
    first, second = (writer.write(1, [pack(Ping(n, 0))]) for n in range(2))
    assert reader.read(second) and reader.read(first)  # out of order is no fault
    for raw, why in (
        (first, "replayed"),
        (second, "replayed"),
        (Writer(GROUP, 3, LIFE - 1).write(1, []), "life"),
        (Writer(GROUP + 1, 3, LIFE).write(1, []), "group"),
        (Writer(GROUP, 5, LIFE).write(1, []), "sender"),
        (Writer(GROUP, 0, LIFE).write(1, []), "sender"),
        (b"\x92\x02\x01", "version"),
        (b"\x97\x01", "malformed"),
    ):
        assert reader.read(raw) is None
        assert reader.dropped[why], why
    assert reader.read(Writer(GROUP, 3, LIFE + 1).write(1, [])) is not None  # it has started anew


def test_a_life_of_the_far_future_shuts_nobody_out() -> None:
    reader = Reader(GROUP, 0, 5)
    assert reader.read(Writer(GROUP, 3, LIFE + 10**9).write(1, []), LIFE) is None
    assert reader.read(Writer(GROUP, 3, LIFE).write(1, []), LIFE) is not None


def test_a_part_of_a_later_version_is_skipped_and_the_rest_is_read() -> None:
    raw = Writer(GROUP, 3, LIFE).write(1, [b"\x92\x63\x01", pack(Ping(1, 2))])  # tag 99
    found = Reader(GROUP, 0, 5).read(raw)
    assert found is not None and found[1] == [Ping(1, 2)]


def test_envelopes_keep_within_the_datagram_whatever_is_said_at_once() -> None:
    sent: list[bytes] = []

    class Out:
        def send(self, member: int, data: bytes) -> None:
            sent.append(data)

        def share(self, limit: str, share: Quota) -> None: ...
        def verdict(self, node: str, kind: Kind) -> None: ...
        def member(self, member: int, before: State, after: State) -> None: ...

    fleet = Fleet(0, ["a", "b", "c"], LIFE, Options(messages_a_second=1000.0), Out())
    for number in range(60):
        fleet.membership.heard(1 + number % 2, LIFE, LIFE + number)
        fleet.observe(f"s-{'x' * (number % 40)}{number}", Kind.SLOW, 1, number + 1, 5_000, LIFE + number)
        fleet.tick(LIFE + number * 30)
    assert len(sent) > 50
    assert max(map(len, sent)) <= codec.MOST_BYTES


# ---- clock, hashing, gossip


def test_stamps_follow_causes_and_a_clock_far_ahead_is_not_followed() -> None:
    one, other = HybridClock(), HybridClock()
    said = one.now(1_000.0)
    assert other.heard(said, 900.0)
    assert other.now(900.0) > said  # an effect is after its cause, though its clock is behind
    assert not other.heard(stamp_of(900.0 + 5_000.0), 900.0)
    assert wall_ms_of(other.now(900.0)) < 1_100.0


def test_a_member_that_goes_moves_only_what_it_looked_after() -> None:
    keys = [f"v:{n}" for n in range(400)]
    before = {key: chosen(key, range(5)) for key in keys}
    after = {key: chosen(key, [0, 1, 3, 4]) for key in keys}
    assert {before[key] for key in keys if before[key] != after[key]} == {2}
    assert all(ranked(key, range(5))[0] == before[key] for key in keys)
    assert min(list(before.values()).count(n) for n in range(5)) > 40


def test_each_piece_is_told_its_times_the_least_told_first() -> None:
    queue = BroadcastQueue(5)
    queue.add("a", b"a")
    queue.add("b", b"b")
    told = [raw for _ in range(100) for raw in queue.take(1, 1)]
    assert told.count(b"a") == told.count(b"b") == queue.times
    queue.add("c", b"old")
    queue.add("c", b"new")
    assert queue.take(100, 9) == [b"new"]


# ---- verdicts


def words() -> st.SearchStrategy[HealthRecord]:
    return st.builds(
        HealthRecord,
        st.sampled_from(["s-1", "s-2"]),
        st.integers(1, 5),
        st.integers(0, 3),
        st.integers(0, 3),
        st.integers(1, 6),
        st.just(LIFE + 60_000),
        st.integers(0, 2),
    )


@settings(max_examples=200, deadline=None)
@given(st.lists(words(), max_size=14), st.randoms(use_true_random=False))
def test_maps_that_heard_the_same_are_the_same_in_any_order(said: list[HealthRecord], draw: object) -> None:
    assert isinstance(draw, random.Random)
    maps = []
    for _ in range(3):
        order = said + draw.sample(said, len(said) // 2)  # and some of it twice
        draw.shuffle(order)
        held = HealthGossip(lambda word: None)
        for word in order:
            held.take(word, LIFE)
        maps.append(held)
    assert len({frozenset(held) for held in maps}) == 1
    assert len({held.digest for held in maps}) == 1


def test_a_verdict_ends_by_itself_and_by_a_newer_life_of_the_node() -> None:
    moved: list[tuple[str, Kind]] = []
    held = HealthGossip(lambda word: None, lambda node, kind: moved.append((node, kind)))
    held.take(WORD, LIFE)
    assert held.agreed("s-1", Kind.DEAD, 1, LIFE) is not None
    assert held.agreed("s-1", Kind.DEAD, 1, WORD.until) is None  # to the millisecond, without a message
    newer = HealthRecord("s-1", Kind.COLD, 1, 6, stamp_of(LIFE), LIFE + 60_000, 1)
    held.take(newer, LIFE)
    assert set(held) == {newer} and ("s-1", Kind.DEAD) in moved
    assert not held.take(WORD, LIFE)  # what is said of the older life comes too late


def test_work_is_taken_from_a_node_by_distinct_observers_alone() -> None:
    held = HealthGossip(lambda word: None)
    for stamp in range(3):  # one gateway, however often it says so
        held.take(HealthRecord("s-1", Kind.DEAD, 2, 5, stamp_of(LIFE) + stamp, LIFE + 9_000, 1), LIFE)
    assert held.agreed("s-1", Kind.DEAD, 2, LIFE) is None
    held.take(HealthRecord("s-1", Kind.DEAD, 3, 5, stamp_of(LIFE), LIFE + 4_000, 1), LIFE)
    agreed = held.agreed("s-1", Kind.DEAD, 2, LIFE)
    assert agreed is not None and agreed.until_ms == LIFE + 4_000  # as long as there are two
    held.take(HealthRecord("s-1", Kind.DEAD, 3, 5, stamp_of(LIFE) + 1, LIFE + 9_000, 0), LIFE)
    assert held.agreed("s-1", Kind.DEAD, 2, LIFE) is None  # taken back


def test_any_operators_enable_lifts_any_operators_disable() -> None:
    held = HealthGossip(lambda word: None)
    held.take(HealthRecord("s-1", Kind.BAN, 0, 0, 10, LIFE + 9_000, 1), LIFE)
    held.take(HealthRecord("s-1", Kind.BAN, 1, 0, 11, LIFE + 9_000, 1), LIFE)
    assert held.banned(LIFE) == {"s-1"}
    held.take(HealthRecord("s-1", Kind.BAN, 2, 0, 12, LIFE + 9_000, 0), LIFE)
    assert held.banned(LIFE) == frozenset()
    assert not held.take(HealthRecord("s-1", Kind.BAN, 0, 0, 11, LIFE + 9_000, 1), LIFE)


def test_a_withdrawal_outlives_what_it_withdraws() -> None:
    held = HealthGossip(lambda word: None)
    held.say(WORD, LIFE)
    held.say(HealthRecord("s-1", Kind.DEAD, 2, 5, WORD.stamp + 1, LIFE + 10, 0), LIFE)
    held.tick(LIFE + 1_000)
    assert not held.take(WORD, LIFE + 1_000)  # which still goes round


def test_a_ban_is_renewed_as_the_same_word() -> None:
    held = HealthGossip(lambda word: None)
    ban = HealthRecord("s-1", Kind.BAN, 0, 0, 10, LIFE + 1_000, 1)
    held.take(ban, LIFE)
    held.renew(Kind.BAN, LIFE + 5_000, LIFE + 9_000, LIFE)
    assert held.banned(LIFE + 8_000) == {"s-1"}
    held.take(HealthRecord("s-1", Kind.BAN, 1, 0, 11, LIFE + 2_000, 0), LIFE)
    assert held.banned(LIFE) == frozenset()  # what was said later still stands


# ---- membership


class Talk:
    """Members that speak to each other at once; links can be cut one way."""

    def __init__(self, count: int) -> None:
        self.now = float(LIFE)
        self.mail: deque[Callable[[], None]] = deque()
        self.cut: set[tuple[int, int]] = set()
        self.members = [self.make(number, count) for number in range(count)]

    def make(self, number: int, count: int) -> Membership:
        def say(to: int, part: codec.Known) -> None:
            def arrive() -> None:
                there = self.members[to]
                there.heard(number, self.members[number].incarnation, self.now)
                there.take(number, part, self.now)  # type: ignore[arg-type]

            if (number, to) not in self.cut:
                self.mail.append(arrive)

        def spread(part: codec.Rumor) -> None:
            for to in range(count):
                if to != number:
                    say(to, part)

        return Membership(number, count, int(self.now), Timing(), number, say, spread)

    def run(self, ms: float) -> None:
        for _ in range(int(ms / 25)):
            self.now += 25
            for member in list(self.members):
                member.tick(self.now)
            while self.mail:
                self.mail.popleft()()

    def views(self) -> list[tuple[int, ...]]:
        return [member.alive() for member in self.members]


def test_one_that_cannot_be_heard_is_removed_and_comes_back_when_the_link_heals() -> None:
    talk = Talk(4)
    talk.run(5_000)
    assert talk.views() == [(0, 1, 2, 3)] * 4
    talk.cut = {(1, other) for other in (0, 2, 3)}
    talk.run(6_000)
    assert all(1 not in view for number, view in enumerate(talk.views()) if number != 1)
    talk.cut = set()
    talk.run(8_000)
    assert talk.views() == [(0, 1, 2, 3)] * 4


def test_a_link_that_is_cut_between_two_alone_removes_nobody() -> None:
    talk = Talk(4)
    talk.run(5_000)
    talk.cut = {(0, 1), (1, 0)}
    talk.run(8_000)
    assert talk.views() == [(0, 1, 2, 3)] * 4  # others ask on their behalf


def test_a_paused_member_removes_nobody_when_it_wakes() -> None:
    talk = Talk(3)
    talk.run(5_000)
    paused = talk.members[0]
    ticks, paused.tick = paused.tick, lambda now_ms: None  # type: ignore[method-assign]
    talk.run(1_000)
    paused.tick = ticks  # type: ignore[method-assign]
    paused.tick(talk.now)
    assert paused.alive() == (0, 1, 2)


def test_a_restart_is_a_new_life_and_the_older_process_learns_of_it() -> None:
    talk = Talk(3)
    talk.run(5_000)
    old = talk.members[1]
    talk.members[1] = talk.make(1, 3)
    talk.run(3_000)
    assert talk.members[0].incarnation_of(1) == talk.members[1].incarnation > old.incarnation
    old.take(0, codec.Rumor(1, State.ALIVE, talk.members[1].incarnation, 0), talk.now)
    assert old.superseded


# ---- shares and leases


def test_a_share_is_over_at_its_end_whoever_asks_late() -> None:
    share = Quota(Amount(1.0, 2.0), ((100.0, Amount(50.0, 20.0)), (200.0, Amount(9.0, 5.0))))
    assert [share.at(t).rate for t in (99.9, 100.0, 200.0)] == [50.0, 9.0, 1.0]
    store = QuotaBucket(0.0, 0.0)
    assert store.by_share(100_000.0, share) <= 2.0  # after a long pause no more than the rest's burst


def test_a_store_under_shares_that_come_and_go_spends_no_more_than_they_filled() -> None:
    store, now = QuotaBucket(0.0, 0.0), 0.0
    spent = 0.0
    for turn in range(50):
        now += 100.0
        share = Quota(Amount(5.0, 4.0), ((now + 50.0, Amount(40.0, 10.0)),) if turn % 2 else ())
        while store.spend(now, share, 1.0):
            spent += 1.0
    assert spent <= 40.0 * now / 1000 + 10.0


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(1, 50), st.integers(0, 9), st.integers(0, 9)), max_size=8))
def test_steps_forget_nothing_that_still_holds(rows: list[tuple[int, int, int]]) -> None:
    steps = Steps()
    for until, rate, burst in rows:
        steps.add(float(until), Amount(float(rate), float(burst)))
    for now in range(0, 51):
        want = steps.at(float(now))
        steps.forget(float(now))
        assert steps.at(float(now)) == want


def test_max_min_fairness() -> None:
    wants = {1: 10.0, 2: 50.0, 3: 90.0}
    assert [fair(100.0, wants, n) for n in (1, 2, 3)] == [10.0, 45.0, 45.0]
    assert fair(500.0, wants, 3) == 90.0
    assert fair(100.0, wants, 9) == 0.0


class Desk:
    """Leases of one member whose messages the test takes and gives."""

    def __init__(
        self,
        me: int = 0,
        members: int = 2,
        alive: tuple[int, ...] = (0, 1),
        settle: float = 0.0,
    ) -> None:
        self.said: list[tuple[int, codec.Known]] = []
        self.shares: list[Quota] = []
        self.there = alive
        self.terms = Terms(2_000.0, 1_000.0, 0.01)
        self.leases = Leases(
            me,
            LIFE,
            members,
            self.terms,
            0.0,
            lambda to, part: self.said.append((to, part)),
            lambda: self.there,
            lambda limit, share: self.shares.append(share),
        )
        self.settle = settle

    def ask(self, now: float, units: float = 1.0) -> None:
        self.leases.asked("v:1", Amount(100.0, 40.0), units, 8.0, now, self.settle)

    def call(self, granter: int, incarnation: int, now: float) -> list[Pledge]:
        before = len(self.said)
        self.leases.take(granter, incarnation, Call("v:1", 5, 100_000, 40_000, int(self.settle)), now)
        return [part for _, part in self.said[before:] if isinstance(part, Pledge)]

    @property
    def rate(self) -> float:
        return self.shares[-1].at(1e12).rate


def granter_of(members: tuple[int, ...]) -> int:
    found = chosen("v:1", members)
    assert found is not None
    return found


def test_a_restarted_member_rests_for_a_term_before_it_spends_its_own_part() -> None:
    desk = Desk()
    desk.ask(100.0)
    assert desk.rate == 0.0  # what it had pledged in the life before may still be lent out
    desk.leases.tick(2_019.0)
    assert desk.rate == 0.0
    desk.leases.tick(2_021.0)
    assert desk.rate == 50.0


def test_what_is_pledged_is_not_spent_until_the_pledge_is_over_with_the_drift() -> None:
    granter = granter_of((0, 1))
    desk = Desk(me=1 - granter)
    (pledge,) = desk.call(granter, 9, 10_000.0)
    assert desk.rate == pytest.approx(50.0 - pledge.rate / 1000)
    assert desk.shares and pledge.rate > 0  # and it was obeyed before it was said
    desk.leases.tick(12_019.0)
    assert desk.rate < 2.0
    desk.leases.tick(12_021.0)
    assert desk.rate == 50.0


def test_a_successor_is_pledged_nothing_until_the_pledge_before_is_over() -> None:
    granter = granter_of((0, 1, 2))
    others = tuple(n for n in (0, 1, 2) if n != granter)
    successor = granter_of(others)
    me = next(n for n in others if n != successor)
    desk = Desk(me=me, members=3, alive=(0, 1, 2))
    assert desk.call(granter, 9, 10_000.0)
    desk.there = tuple(sorted(others))
    assert not desk.call(successor, 9, 10_500.0)
    assert not desk.call(successor, 9, 12_019.0)
    assert desk.call(successor, 9, 12_021.0)


def test_another_life_of_the_granter_waits_as_a_successor_does() -> None:
    granter = granter_of((0, 1))
    desk = Desk(me=1 - granter)
    assert desk.call(granter, 9, 10_000.0)
    assert not desk.call(granter, 10, 10_100.0)
    assert desk.call(granter, 10, 12_021.0)


def test_a_budget_that_counts_a_span_rests_for_it_after_a_pledge() -> None:
    granter = granter_of((0, 1))
    desk = Desk(me=1 - granter, settle=3_000.0)
    desk.ask(10_000.0, 2.0)
    (pledge,) = desk.call(granter, 9, 10_100.0)
    assert 0 < pledge.burst <= 9_500  # of 20 it has spent 2 in this span, and may want more
    desk.leases.tick(10_100.0 + 2_021.0 + 2_990.0)
    assert desk.shares[-1].at(1e12).burst < 20.0
    desk.leases.tick(10_100.0 + 2_021.0 + 3_010.0)
    assert desk.shares[-1].at(1e12).burst == 20.0


def test_a_lease_runs_from_the_asking_and_one_that_comes_too_late_is_nothing() -> None:
    granter = granter_of((0, 1))
    desk = Desk(me=1 - granter)
    for n in range(40):
        desk.ask(10_000.0 + n, 8.0)
    want = next(part for _, part in desk.said if isinstance(part, Want))
    grant = Grant("v:1", want.nonce, 50_000, 20_000, 1_000)
    desk.leases.take(granter, 9, grant, 10_900.0)
    until_ms, amount = desk.shares[-1].steps[0]
    assert amount.rate == 100.0 and until_ms <= 10_000.0 + 40.0 + 990.0
    before = len(desk.shares)
    desk.leases.take(granter, 9, grant, 11_100.0)  # doubled, and long out of date
    assert len(desk.shares) == before
    desk.leases.take(granter, 9, Grant("v:1", 999, 50_000, 20_000, 1_000), 10_950.0)  # nobody asked
    assert len(desk.shares) == before


def test_a_granter_leases_no_more_than_is_pledged_to_the_end_of_the_lease() -> None:
    me = granter_of((0, 1, 2))
    owner, holder = (n for n in (0, 1, 2) if n != me)
    desk = Desk(me=me, members=3, alive=(0, 1, 2))
    desk.leases.take(holder, 9, Want("v:1", 1, 90_000, 36_000, 100_000, 40_000), 10_000.0)
    assert not [part for _, part in desk.said if isinstance(part, Grant)]  # nothing is pledged yet
    call = next(part for to, part in desk.said if isinstance(part, Call) and to == owner)
    desk.leases.take(owner, 9, Pledge("v:1", call.nonce, 30_000, 12_000, 2_000), 10_050.0)
    desk.leases.take(holder, 9, Want("v:1", 2, 90_000, 36_000, 100_000, 40_000), 10_100.0)
    (grant,) = (part for _, part in desk.said if isinstance(part, Grant))
    assert (grant.rate, grant.burst) == (30_000, 12_000)
    # The pledge ends 1.98 s after its call: a lease that would last longer is not given on it.
    desk.leases.take(holder, 9, Want("v:1", 3, 90_000, 36_000, 100_000, 40_000), 11_100.0)
    assert len([part for _, part in desk.said if isinstance(part, Grant)]) == 1


def test_cut_off_an_available_limit_leaves_the_even_part_and_a_strict_one_does_not() -> None:
    for even, want in ((NOTHING, 50.0), (Amount(80.0, 30.0), 80.0)):
        shares: list[Quota] = []
        connected = [True]
        leases = Leases(
            0,
            LIFE,
            2,
            Terms(),
            0.0,
            lambda to, part: None,
            lambda: (0,),
            lambda limit, share, shares=shares: shares.append(share),  # type: ignore[misc]
            lambda connected=connected: connected[0],
        )  # type: ignore[misc]
        leases.asked("v:1", Amount(100.0, 40.0), 1.0, 8.0, 5_000.0, even=even)
        assert shares[-1].at(1e12).rate == 50.0
        connected[0] = False
        leases.tick(5_100.0)
        assert shares[-1].at(1e12).rate == want


def test_a_stopped_member_spends_nothing() -> None:
    desk = Desk()
    desk.ask(5_000.0)
    assert desk.rate == 50.0
    desk.leases.stop(5_010.0)
    assert desk.rate == 0.0


def test_options_name_what_is_wrong() -> None:
    for make, name in (
        (lambda: Terms(term_ms=1_000.0, lease_ms=900.0), "term_ms"),
        (lambda: Terms(drift=0.5), "drift"),
        (lambda: Timing(ack_ms=300.0), "ack_ms"),
        (lambda: Timing(suspect_ms=10.0), "suspect_ms"),
        (lambda: Options(messages_a_second=0), "messages_a_second"),
        (lambda: Options(most_bytes=5), "most_bytes"),
    ):
        with pytest.raises(ValueError, match=name):
            make()
    with pytest.raises(ValueError, match="me"):
        Fleet(3, ["a", "b"], LIFE, Options(), None)  # type: ignore[arg-type]
    assert group_of("x", ["a", "b"]) != group_of("x", ["a", "c"])
    assert key_of(WORD) == ("s-1", 2, 2)


# ---- granters' tables that are copied


class Register:
    """A table at further gateways, written when the test says so."""

    def __init__(self) -> None:
        self.asked: list[tuple[str, Amount | None]] = []

    def take_over(self, limit: str) -> None:
        self.asked.append((limit, None))

    def write(self, limit: str, leased: Amount) -> None:
        self.asked.append((limit, leased))


def test_a_grant_is_said_only_when_the_table_that_holds_it_is_kept() -> None:
    me = granter_of((0, 1, 2))
    owner, holder = (n for n in (0, 1, 2) if n != me)
    desk, register = Desk(me=me, members=3, alive=(0, 1, 2)), Register()
    desk.leases.table = register
    want = Want("v:1", 1, 90_000, 36_000, 100_000, 40_000)
    desk.leases.take(holder, 9, want, 10_000.0)
    assert register.asked == [("v:1", None)] and not desk.said  # nobody is called before the table stands
    desk.leases.stands("v:1", (owner, 7), Amount(10.0, 4.0), 10_000.0, 10_020.0)
    call = next(part for to, part in desk.said if isinstance(part, Call) and to == owner)
    assert (call.was, call.previous_granter_incarnation) == (owner, 7)
    desk.leases.take(owner, 9, Pledge("v:1", call.nonce, 30_000, 12_000, 2_000), 10_050.0)
    desk.leases.take(holder, 9, want, 10_100.0)
    assert not [part for _, part in desk.said if isinstance(part, Grant)]
    # What the one before had leased is taken off, and stands in the table beside what is leased now.
    assert register.asked[-1] == ("v:1", Amount(30.0, 12.0))
    desk.leases.kept("v:1", True, 10_120.0)
    (grant,) = (part for _, part in desk.said if isinstance(part, Grant))
    assert (grant.rate, grant.burst) == (20_000, 8_000)
    desk.leases.take(holder, 9, want, 10_150.0)
    desk.leases.kept("v:1", False, 10_170.0)  # another has taken over: this grant is never said
    assert len([part for _, part in desk.said if isinstance(part, Grant)]) == 1


def test_an_owner_pledges_at_once_to_a_successor_that_has_fenced_the_granter_before() -> None:
    granter = granter_of((0, 1, 2))
    others = tuple(n for n in (0, 1, 2) if n != granter)
    successor = granter_of(others)
    me = next(n for n in others if n != successor)
    desk = Desk(me=me, members=3, alive=(0, 1, 2))
    assert desk.call(granter, 9, 10_000.0)
    desk.there = tuple(sorted(others))
    for was, previous_granter_incarnation, pledges in ((granter, 8, 0), (successor, 9, 0), (granter, 9, 1)):
        before = len(desk.said)
        call = Call("v:1", 5, 100_000, 40_000, 0, was, previous_granter_incarnation)
        desk.leases.take(successor, 4, call, 10_500.0)
        assert len(desk.said) - before == pledges


@pytest.mark.parametrize("seed", range(12))
def test_schedules_with_copied_tables_pass_no_strict_limit(seed: int) -> None:
    seen = play(seed, world=World(5, seed, tables=True))
    assert not [each for each in seen.broken if "limit" in each and "use" not in each], seen.broken
