"""Verdicts on storage nodes: what each observer says of each node, merged alike by all whatever order it
comes in.

For each node, kind and observer the newest word stands: a word is newer by the node's life, then by its
stamp.  So merging is commutative, associative and idempotent (a map of last-writer-wins registers; Shapiro,
Preguica, Baquero and Zawirski, "Conflict-free Replicated Data Types", SSS 2011).

- A word ends at its `until`, everywhere, without a further message; so does a withdrawal, which is given no
  less time than what it withdraws.
- A newer life of the node ends what was said of an older one.  A ban is an operator's and of the node, not
  its life.
- Bans are one register for all observers: any operator's ENABLE lifts any operator's DISABLE, the newest word
  stands.
- What the node list says of a life (LEAVING) is one register for all observers too; of two words that of the
  higher version of the list stands, whoever said it later.
- What takes work away from a node (`Kind.DEAD`, `TURNING`) needs the word of `quorum` distinct observers:
  what one gateway alone believes may be its own link.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum

import msgspec
import xxhash

from shaletiller.fleet.codec import HealthRecord, pack

EVERYONE = 0xFFFF  # the observer under which a ban is filed
LONGEST_MS = 7 * 24 * 3600_000.0  # no word is believed for longer from now on


class Kind(IntEnum):
    """What can be said of a storage node; `value` is 0 where a word is withdrawn."""

    BAN = 1  # out by hand (1)
    DEAD = 2  # attempts find nothing there (1)
    COLD = 3  # it has started anew: its life is the word (1)
    TURNING = 4  # it turns work away (1)
    SLOW = 5  # its usual lag, in milliseconds
    # The node list says of this life that it drains, has left, or is active after all: the list's version
    # times four, and `Departs`.
    LEAVING = 6


class Departs(IntEnum):
    """What a word of kind LEAVING says."""

    DRAINING = 1
    LEFT = 2
    ACTIVE = 3


@dataclass(slots=True, frozen=True)
class Opinion:
    """What holds of a node and a kind: distinct observers that say so, the greatest value, and until when."""

    observers: int
    value: int
    until_ms: float
    incarnation: int


Key = tuple[str, int, int]


def key_of(word: HealthRecord) -> Key:
    return word.node, word.kind, EVERYONE if word.kind in (Kind.BAN, Kind.LEAVING) else word.observer


def rank(word: HealthRecord) -> tuple[int, int, int, int, int, int, int]:
    """Words under one key are ordered by this alone, in whatever order they come; a ban's life counts
    nothing."""
    incarnation = 0 if word.kind == Kind.BAN else word.incarnation
    listed = word.value if word.kind == Kind.LEAVING else 0
    return incarnation, listed, word.stamp, word.observer, word.value, word.until, word.incarnation


class HealthGossip:
    """One member's map.  `spread` gives a word to all in time; `moved` is told of each node and kind whose
    words have changed."""

    def __init__(
        self,
        spread: Callable[[HealthRecord], None],
        moved: Callable[[str, Kind], None] = lambda node, kind: None,
    ) -> None:
        self._spread, self._moved = spread, moved
        self._words: dict[Key, HealthRecord] = {}
        self._lives: dict[str, int] = {}
        self._sum = 0
        self._cursor = 0
        self._swept_ms = 0.0

    def __len__(self) -> int:
        return len(self._words)

    def __iter__(self) -> Iterator[HealthRecord]:
        return iter(list(self._words.values()))

    def ban_of(self, node: str) -> HealthRecord | None:
        """The newest operator's word on a node."""
        return self._words.get((node, Kind.BAN, EVERYONE))

    def leaving(self, node: str) -> HealthRecord | None:
        """What the node list says of a node's departure, as the highest version known has it."""
        return self._words.get((node, Kind.LEAVING, EVERYONE))

    @property
    def digest(self) -> int:
        """Equal for equal maps; kept up as words come and go."""
        return self._sum

    def say(self, word: HealthRecord, wall_ms: float) -> bool:
        """One's own word; a withdrawal is given no less time than what it withdraws."""
        before = self._words.get(key_of(word))
        if before is not None and word.value == 0 and before.until > word.until:
            word = msgspec.structs.replace(word, until=before.until)
        return self.take(word, wall_ms)

    def take(self, word: HealthRecord, wall_ms: float) -> bool:
        """Merge a word, one's own too; True where it is news, which is then passed on."""
        if word.until <= wall_ms or word.until > wall_ms + LONGEST_MS:
            return False
        if word.kind not in Kind._value2member_map_:
            return False  # of a later version
        known_life = self._lives.get(word.node, 0)
        if word.kind != Kind.BAN and word.incarnation < known_life:
            return False
        key = key_of(word)
        before = self._words.get(key)
        if before is not None and rank(before) >= rank(word):
            return False
        if word.kind != Kind.BAN and word.incarnation > known_life:
            self._lives[word.node] = word.incarnation
            self._end_older(word.node, word.incarnation)
        self._put(key, word)
        self._spread(word)
        self._moved(word.node, Kind(word.kind))
        return True

    def _end_older(self, node: str, incarnation: int) -> None:
        old = [
            key
            for key, word in self._words.items()
            if word.node == node and word.kind != Kind.BAN and word.incarnation < incarnation
        ]
        for key in old:
            self._drop(key)
            self._moved(node, Kind(key[1]))

    def _put(self, key: Key, word: HealthRecord) -> None:
        if key in self._words:
            self._sum ^= _hash(self._words[key])
        self._words[key] = word
        self._sum ^= _hash(word)

    def _drop(self, key: Key) -> None:
        self._sum ^= _hash(self._words.pop(key))

    def tick(self, wall_ms: float) -> None:
        """Drop what has ended."""
        if wall_ms - self._swept_ms < 50.0:
            return
        self._swept_ms = wall_ms
        for key in [key for key, word in self._words.items() if word.until <= wall_ms]:
            self._drop(key)
            self._moved(key[0], Kind(key[1]))
        if len(self._lives) > 4 * len(self._words) + 256:
            named = {word.node for word in self._words.values()}
            self._lives = {node: incarnation for node, incarnation in self._lives.items() if node in named}

    def renew(self, kind: Kind, before_ms: float, until_ms: float, wall_ms: float) -> None:
        """Words of a kind that end before `before_ms` hold until `until_ms` from now on: the same words, so
        that what was said later still outranks them."""
        for key, word in list(self._words.items()):
            if key[1] == kind and word.value > 0 and wall_ms < word.until < before_ms:
                self.take(msgspec.structs.replace(word, until=int(until_ms)), wall_ms)

    def opinion(self, node: str, kind: Kind, wall_ms: float) -> Opinion | None:
        """What holds of a node now; None where nobody says anything of that kind."""
        said = [
            word
            for key, word in self._words.items()
            if key[0] == node and key[1] == kind and word.value > 0 and word.until > wall_ms
        ]
        if not said:
            return None
        return Opinion(
            len({word.observer for word in said}),
            max(word.value for word in said),
            float(max(word.until for word in said)),
            max(word.incarnation for word in said),
        )

    def agreed(self, node: str, kind: Kind, quorum: int, wall_ms: float) -> Opinion | None:
        """The opinion where enough distinct observers share it; its end is when they are too few."""
        said = sorted(
            (
                word
                for key, word in self._words.items()
                if key[0] == node and key[1] == kind and word.value > 0 and word.until > wall_ms
            ),
            key=lambda word: -word.until,
        )
        if len({word.observer for word in said}) < quorum:
            return None
        return Opinion(
            len(said),
            max(word.value for word in said),
            float(said[quorum - 1].until),
            max(word.incarnation for word in said),
        )

    def banned(self, wall_ms: float) -> frozenset[str]:
        """The nodes out by hand."""
        return frozenset(
            word.node
            for key, word in self._words.items()
            if key[1] == Kind.BAN and word.value > 0 and word.until > wall_ms
        )

    def some(self, room: int) -> list[bytes]:
        """Packed words of the map, in turn, as many as fit into so many bytes: what two maps that differ
        exchange."""
        keys = list(self._words)
        found: list[bytes] = []
        for step in range(len(keys)):
            raw = pack(self._words[keys[(self._cursor + step) % len(keys)]])
            if len(raw) > room:
                break
            room -= len(raw)
            found.append(raw)
        self._cursor += len(found)
        return found


def _hash(word: HealthRecord) -> int:
    return xxhash.xxh3_64_intdigest(pack(word)) >> 1  # fits a signed integer, as the wire has it
