"""What this gateway knows of the storage nodes, from whom, and how old it is.

Sources: discovery's watch; the list given at the start, or kept on disk or at copies; other gateways' news.
Rules, for what two sources say of one node:

- A newer life (`started_ms`) goes before an older, whoever tells it.
- Of one life the higher version of the list stands.  A list that is older than what is known, from a
  discovery that was put back from a copy, brings nobody back that has drained or left since.
- News of others take a node out (draining, left) or undo what news have done; they never add a node, nor an
  address, nor a life: those are the own list's to say.
- A whole list that would take away more than `MOST_GONE` of the nodes at once is taken only when a second
  call says the same: a list that is empty by mistake would stop all work.

What it gives is what has changed for the gateway: the module and the route see nodes as the book has them.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from enum import Enum

from shaletiller.core.route import Endpoint
from shaletiller.messages.endpoints import EndpointState

MOST_GONE = 0.5  # of the nodes that discovery has told of
FEWEST = 4  # where it has told of fewer, any list is taken
DEPARTED_MS = 600_000.0  # how long it is remembered that a life of a node has drained or left


class Source(Enum):
    """Where an entry is from."""

    DISCOVERY = "discovery"
    GIVEN = "given"
    KEPT = "kept"


@dataclass(slots=True, frozen=True)
class Entry:
    """A node as the own list has it: from whom, of which version, and when it was told (ms)."""

    place: Endpoint
    source: Source
    version: int
    at_ms: float


@dataclass(slots=True, frozen=True)
class Departure:
    """That a life of a node drains, has left, or is active after all, as of a version; `news`: another
    gateway said so, and not the own list."""

    incarnation: int
    version: int
    state: EndpointState
    at_ms: float
    news: bool = False


@dataclass(slots=True, frozen=True)
class Taken:
    """What is to be told on: the whole list, or lines that are others now.  `held_back`: nothing, for the
    list takes too much away; it is to be asked for again."""

    whole: bool = False
    places: tuple[Endpoint, ...] = ()
    held_back: bool = False


def incarnation_of(place: Endpoint) -> int:
    return int(place.entry.started_ms)


class EndpointRegistry:
    """The book.  `departed` is told what discovery said of a node's state (node, life, version, state), for
    other gateways; `active` again is told only where it had been said otherwise."""

    def __init__(
        self,
        departed: Callable[[str, int, int, EndpointState], None] = lambda node, incarnation, version, state: (
            None
        ),
    ) -> None:
        self.departed = departed
        self.entries: dict[str, Entry] = {}
        self._departures: dict[str, Departure] = {}
        self.version: int | None = None  # of the list in hand, None where there is none
        self.taken_ms = 0.0
        self.held_back = 0
        self._doubted: frozenset[str] | None = None  # what the list that was held back would leave
        self._newest = 0  # the highest version seen at this address

    def moved(self) -> None:
        """Discovery is elsewhere from now on: its versions may be others, and nothing is compared with
        them."""
        self.version, self._newest, self._doubted = None, 0, None
        self.entries = {node: replace(entry, version=0) for node, entry in self.entries.items()}
        self._departures.clear()

    # ---- the own list

    def take(
        self,
        places: Sequence[Endpoint],
        version: int,
        whole: bool,
        source: Source,
        now_ms: float,
    ) -> Taken:
        """A list, or what changed in it."""
        self._forget(now_ms)
        if whole and source is Source.DISCOVERY and self._doubtful(places):
            return Taken(held_back=True)
        older = version < self._newest
        self._newest = max(version, self._newest)
        self.version, self.taken_ms = version, now_ms
        named = {place.entry.node for place in places}
        if whole:
            for node, entry in list(self.entries.items()):
                if node not in named:
                    # One that only an older list had is dropped without a word: this list may be wrong.
                    sure = source if entry.source is Source.DISCOVERY else entry.source
                    self._left(entry.place, version, sure, now_ms)
        told = []
        for place in places:
            node = place.entry.node
            known = self.entries.get(node)
            if place.entry.state is EndpointState.GONE:
                if known is None or incarnation_of(place) in (0, incarnation_of(known.place)) or not older:
                    self._left(known.place if known is not None else place, version, source, now_ms)
                    told.append(place)
                continue
            if known is not None and older and incarnation_of(place) < incarnation_of(known.place):
                place = known.place  # the old list has not heard of this life
            self.entries[node] = Entry(place, source, version, now_ms)
            if source is Source.DISCOVERY:
                self._said(place, version, now_ms)
            told.append(self.seen(place))
        return Taken(whole, tuple(told))

    def _doubtful(self, places: Sequence[Endpoint]) -> bool:
        """Whether a whole list takes away too much to be believed the first time."""
        mine = {node for node, entry in self.entries.items() if entry.source is Source.DISCOVERY}
        left = frozenset(place.entry.node for place in places if place.entry.state is not EndpointState.GONE)
        if len(mine) < FEWEST or len(mine - left) <= MOST_GONE * len(mine) or left == self._doubted:
            self._doubted = None
            return False
        self._doubted = left
        self.held_back += 1
        return True

    def _left(self, place: Endpoint, version: int, source: Source, now_ms: float) -> None:
        node = place.entry.node
        self.entries.pop(node, None)
        if source is Source.DISCOVERY:
            self._departures[node] = Departure(incarnation_of(place), version, EndpointState.GONE, now_ms)
            self.departed(node, incarnation_of(place), version, EndpointState.GONE)

    def _said(self, place: Endpoint, version: int, now_ms: float) -> None:
        """What discovery says of a node's state is passed on where it is news."""
        node, incarnation, state = place.entry.node, incarnation_of(place), place.entry.state
        known = self._departures.get(node)
        if known is not None and (
            known.incarnation > incarnation or (known.incarnation == incarnation and known.version > version)
        ):
            return  # the list is older than that
        if known is not None and known.incarnation == incarnation and known.state is state:
            return
        if state is EndpointState.DRAINING or (known is not None and known.incarnation == incarnation):
            self._departures[node] = Departure(incarnation, version, state, now_ms)
            self.departed(node, incarnation, version, state)
        elif known is not None:
            del self._departures[node]  # of a life before

    def seen(self, place: Endpoint) -> Endpoint:
        """A line of the own list with what has been said of its life since."""
        known = self._departures.get(place.entry.node)
        if known is None or known.incarnation != incarnation_of(place) or known.state is EndpointState.READY:
            return place
        if place.entry.state is EndpointState.DRAINING and known.state is EndpointState.DRAINING:
            return place
        return Endpoint(replace(place.entry, state=known.state), place.address, place.back)

    def _forget(self, now_ms: float) -> None:
        self._departures = {
            node: known for node, known in self._departures.items() if now_ms - known.at_ms < DEPARTED_MS
        }

    # ---- others' news

    def news(self, node: str, incarnation: int, version: int, state: EndpointState, now_ms: float) -> Taken:
        """Another gateway's list says that this life of a node drains, has left, or is active after all."""
        known, entry = self._departures.get(node), self.entries.get(node)
        if known is not None and (known.incarnation, known.version) >= (incarnation, version):
            return Taken()
        before = self.seen(entry.place) if entry is not None else None
        if entry is not None and entry.source is Source.DISCOVERY and entry.version >= version:
            return Taken()  # the own list is as new
        self._departures[node] = Departure(incarnation, version, state, now_ms, news=True)
        if entry is None or before is None or incarnation_of(entry.place) != incarnation:
            return Taken()
        after = self.seen(entry.place)
        return Taken(False, (after,)) if after.entry.state is not before.entry.state else Taken()

    # ---- figures

    def figures(self, now_ms: float) -> dict[str, int]:
        """What the operators' STATS says of the list."""
        sources = [entry.source for entry in self.entries.values()]
        return {
            "nodes.version": self.version or 0,
            "nodes.list_age_ms": int(now_ms - self.taken_ms) if self.version is not None else -1,
            **{f"nodes.{source.value}": sources.count(source) for source in Source},
            "nodes.by_news": sum(
                known.news and known.state is not EndpointState.READY for known in self._departures.values()
            ),
            "nodes.held_back": self.held_back,
        }
