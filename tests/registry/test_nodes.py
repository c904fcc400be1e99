"""The node list: what each source told, what others' lists say of departures, lists not to be believed."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shaletiller.config import ServerList, ServerRow
from shaletiller.core.route import Endpoint
from shaletiller.fleet.codec import HealthRecord
from shaletiller.fleet.health_gossip import DepartureState, HealthGossip, HealthKind
from shaletiller.lab import discovery_scenarios, scenario
from shaletiller.messages.endpoints import EndpointState, UpdateKind
from shaletiller.net.discovery import Discovery, EndpointListError
from shaletiller.registry.endpoint_registry import DEPARTED_MS, EndpointRegistry, Source, Taken
from tests.support.scheduler_host import entry

READY, DRAINING, GONE = EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE


def place(
    node: str, state: EndpointState = READY, incarnation: float = 1_000.0, address: str = ""
) -> Endpoint:
    return Endpoint(entry(node, started_ms=incarnation, state=state), address or f"{node}:1", None)  # type: ignore[arg-type]


class Book(EndpointRegistry):
    """A book whose news for others the test keeps."""

    def __init__(self) -> None:
        self.said: list[tuple[str, int, int, EndpointState]] = []
        super().__init__(lambda *words: self.said.append(words))

    def whole(self, version: int, *places: Endpoint, source: Source = Source.DISCOVERY) -> Taken:
        return self.take(places, version, True, source, 0.0)

    def change(self, version: int, *places: Endpoint, now_ms: float = 0.0) -> Taken:
        return self.take(places, version, False, Source.DISCOVERY, now_ms)

    def states(self) -> dict[str, EndpointState]:
        return {node: self.seen(found.place).entry.state for node, found in self.entries.items()}


def four(version: int = 5) -> Book:
    book = Book()
    book.whole(version, *(place(f"n{number}") for number in range(4)))
    return book


def test_a_list_is_handed_on_as_it_came() -> None:
    book, places = Book(), (place("n1"), place("n2", DRAINING))
    assert book.whole(3, *places) == Taken(True, places)
    assert book.change(4, place("n1", GONE)).places == (place("n1", GONE),)
    assert set(book.entries) == {"n2"} and book.version == 4
    assert book.said == [("n2", 1_000, 3, DRAINING), ("n1", 1_000, 4, GONE)]


# ---- lists not to be believed at once


def test_a_list_that_takes_most_nodes_away_is_taken_only_when_a_second_call_says_the_same() -> None:
    book = four()
    assert book.whole(6).held_back and book.held_back == 1
    assert len(book.entries) == 4 and not book.said
    assert book.whole(6, place("n0")).held_back  # another one: it is not what the first said
    assert book.whole(6, place("n0")).whole and set(book.entries) == {"n0"}


def test_a_doubt_ends_with_a_list_that_takes_little_away() -> None:
    book = Book()
    book.whole(5, *(place(f"n{number}") for number in range(8)))
    assert book.whole(6).held_back
    assert not book.whole(6, *(place(f"n{number}") for number in range(6))).held_back
    assert book.whole(7).held_back  # the doubt begins anew


def test_the_first_list_of_discovery_may_be_another_than_the_one_given() -> None:
    book = Book()
    book.whole(1, *(place(f"old{number}") for number in range(9)), source=Source.GIVEN)
    assert book.whole(2, place("new")).whole and set(book.entries) == {"new"} and not book.said


def test_discovery_asks_again_for_the_whole_list_before_it_empties_the_one_in_hand() -> None:
    applied: list[tuple[UpdateKind, int]] = []
    rows = tuple(ServerRow(f"n{number}", f"127.0.0.1:{number + 1}", cell=number) for number in range(4))
    found = Discovery(
        ("127.0.0.1", 1),
        ServerList(),
        lambda node: None,  # type: ignore[arg-type,return-value]
        lambda kind, version, places, late_ms: applied.append((kind, len(places))),
    )
    found._take(ServerList(5, True, rows), UpdateKind.FULL)
    with pytest.raises(EndpointListError, match="takes most nodes away"):
        found._take(ServerList(6, True, ()), UpdateKind.FULL)
    assert found._version is None and applied == [(UpdateKind.FULL, 4)] and len(found.rows) == 4
    found._take(ServerList(6, True, ()), UpdateKind.FULL)
    assert applied[-1] == (UpdateKind.FULL, 0) and not found.rows


# ---- an older list


def test_a_list_put_back_from_a_copy_brings_nobody_back_that_left_or_drained_since() -> None:
    book = four(5)
    book.change(6, place("n1", DRAINING))
    book.change(7, place("n2", GONE))
    taken = book.whole(4, *(place(f"n{number}") for number in range(4)))
    assert {each.entry.node: each.entry.state for each in taken.places} == {
        "n0": READY,
        "n1": DRAINING,
        "n2": GONE,
        "n3": READY,
    }
    assert book.version == 4  # from there it goes on
    assert book.change(8, place("n2")).places[0].entry.state is READY  # a newer version says so


def test_an_older_list_does_not_take_a_newer_life_back() -> None:
    book = four(5)
    book.change(6, place("n1", incarnation=9_000.0))
    taken = book.whole(4, *(place(f"n{number}") for number in range(4)))
    assert taken.places[1].entry.started_ms == 9_000.0


def test_a_discovery_elsewhere_is_compared_with_nothing() -> None:
    book = four(500)
    book.change(501, place("n1", GONE))
    book.moved()
    assert book.whole(3, place("n1"), place("n2")).places == (place("n1"), place("n2"))


# ---- others' news


def test_a_departure_heard_from_others_takes_a_node_out_at_once() -> None:
    book = four(5)
    assert book.news("n1", 1_000, 7, DRAINING, 0.0).places == (place("n1", DRAINING),)
    assert book.news("n1", 1_000, 8, GONE, 0.0).places[0].entry.state is GONE
    assert book.whole(6, *(place(f"n{n}") for n in range(4))).places[1].entry.state is GONE  # it is older
    assert book.whole(9, *(place(f"n{n}") for n in range(4))).places[1].entry.state is READY
    assert book.news("n1", 1_000, 8, GONE, 0.0) == Taken()  # come late: the own list is newer


def test_news_never_add_a_node_nor_a_life() -> None:
    book = four(5)
    assert book.news("n9", 1_000, 9, READY, 0.0) == Taken() == book.news("n9", 1_000, 10, DRAINING, 0.0)
    assert book.news("n1", 2_000, 9, GONE, 0.0) == Taken()  # of a life that the own list has not named
    assert "n9" not in book.entries and book.states()["n1"] is READY
    # But once the own list names it, what was heard of that life holds.
    assert book.change(6, place("n9", incarnation=1_000.0)).places[0].entry.state is DRAINING


def test_news_undo_what_news_have_done() -> None:
    book = four(5)
    book.news("n1", 1_000, 7, DRAINING, 0.0)
    assert book.news("n1", 1_000, 8, READY, 0.0).places == (place("n1"),)
    assert book.news("n2", 1_000, 8, READY, 0.0) == Taken()


def test_what_was_heard_is_forgotten_after_a_while() -> None:
    book = four(5)
    book.news("n1", 1_000, 7, GONE, 0.0)
    assert book.change(6, place("n1"), now_ms=DEPARTED_MS - 1.0).places[0].entry.state is GONE
    assert book.change(6, place("n1"), now_ms=DEPARTED_MS + 1.0).places[0].entry.state is READY


def test_what_others_said_is_not_said_again_as_ones_own() -> None:
    book = four(5)
    book.news("n1", 1_000, 7, DRAINING, 0.0)
    book.change(6, place("n1", DRAINING))  # the own list comes to it later, at an older version
    assert not book.said


lines = st.tuples(
    st.sampled_from(["n1", "n2"]),
    st.sampled_from([1, 2]),
    st.integers(1, 9),
    st.sampled_from([READY, DRAINING, GONE]),
)


@given(st.lists(lines, max_size=8), st.randoms())
def test_books_that_heard_the_same_news_in_any_order_agree(words: list[Any], draw: Any) -> None:
    # One version of the list says one thing of a node.
    said = list({(word[0], word[2]): word for word in words}.values())
    seen = []
    for _ in range(2):
        book = Book()
        book.whole(0, place("n1", incarnation=1.0), place("n2", incarnation=2.0))
        for word in draw.sample(said, len(said)):
            book.news(*word, 0.0)
        seen.append(book.states())
    assert seen[0] == seen[1]


# ---- on the wire


def test_of_two_words_on_a_departure_that_of_the_higher_version_stands() -> None:
    def word(version: int, what: DepartureState, stamp: int, observer: int) -> HealthRecord:
        return HealthRecord("n1", int(HealthKind.DEPARTING), observer, 7, stamp, 10_000, version * 4 + what)

    older, newer = word(5, DepartureState.DRAINING, 900, 1), word(6, DepartureState.LEFT, 100, 2)
    for order in ((older, newer), (newer, older)):
        verdicts = HealthGossip(lambda said: None)
        for each in order:
            verdicts.merge(each, 0.0)
        assert verdicts.departure_record("n1") == newer and len(verdicts) == 1
    verdicts.merge(HealthRecord("n1", int(HealthKind.WARMING_UP), 3, 8, 1, 10_000, 1), 0.0)
    assert verdicts.departure_record("n1") is None  # a newer life of the node ends it


@pytest.mark.parametrize("faults", ["silent", "overbooked"])
def test_processes_go_on_without_discovery(faults: str) -> None:
    out = asyncio.run(discovery_scenarios.run(5, 11.0, 1, scenario.load(faults, "discovery")))
    assert out.kept, "\n".join([*out.course, *out.lines()])
    named = [each.name for each in out.guarantees]
    assert named == [
        "sends to nodes that anyone knew to be gone",
        "first request served after a restart",
        "unanswered",
        "calls to discovery a second, of one gateway",
    ]
    heard = {stats["edge.fleet.verdicts.leaving"] for stats in out.figures["stats"].values()}
    assert heard == {1 if faults == "overbooked" else 0}


def test_the_checker_objects_to_gateways_that_hear_nothing_of_each_other(tmp_path: Path) -> None:
    out = asyncio.run(discovery_scenarios.run(5, 9.0, 1, scenario.load("overbooked", "discovery"), on=False))
    assert not out.guarantees[0].kept
