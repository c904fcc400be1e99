"""One gateway's part in keeping promises: its copies, its questions, and repair, over messages and a store.

`Promises` reads no clock, socket or file.  It is told what came, what lasts and the time, and its effects are
data, to be carried out in their order:

- `Send`: to another member; it may be lost, doubled, late.
- `Keep`: these rows are to last; then `kept(token)`, or nothing where they do not.  In order: what is kept
  later lasts no sooner.
- `Done`: an op has ended.

What it says to others of its copies goes out only when the copies last.
"""

from __future__ import annotations

from dataclasses import dataclass

from shaletiller.replication.acceptor import Acceptor, StoreRow
from shaletiller.replication.groups import Groups
from shaletiller.replication.messages import (
    Accept,
    Any_,
    Compare,
    Join,
    Keys,
    Page,
    Prepare,
    Pull,
    Reply,
    Rows,
)
from shaletiller.replication.proposer import Done, Expect, Held, Op, Proposer
from shaletiller.replication.repair import Repair
from shaletiller.replication.rows import REGISTER, pack


@dataclass(slots=True, frozen=True)
class Send:
    member: int
    message: Any_


@dataclass(slots=True, frozen=True)
class Keep:
    token: int
    rows: tuple[StoreRow, ...]


Effect = Send | Keep | Done


class ReplicationNode:
    """Times are milliseconds of the Unix epoch; `until` of a promise is compared with the clocks of all
    members, which must be within a second of each other."""

    def __init__(
        self,
        me: int,
        groups: Groups,
        kept: list[tuple[int, bytes, bytes]] | None,
        now_ms: float,
        budget: float = 4e6,
    ) -> None:
        """`kept` is what the store holds; None: it is not open, and until `open` this gateway only asks."""
        self.me, self.groups = me, groups
        self.acceptor = Acceptor(me, groups)
        process = int(now_ms)
        self.proposer = Proposer(self.acceptor, process)
        self.repair = Repair(self.acceptor, process, budget)
        self.effects: list[Effect] = []
        # Members that are known to be away: a fast round, which wants the whole group, is not tried then.
        self.absent: frozenset[int] = frozenset()
        self._after: dict[int, tuple[int, Any_] | int] = {}  # by token: what is sent, or who has given all
        self._on_way: dict[int, tuple[str, ...]] = {}  # by token: the registers that are going down
        self._dirty: set[str] = set()  # those that did not last: the store has them older than they are here
        self._token = 0
        self._ops = 0
        if kept is not None:
            self.open(kept, now_ms)

    def open(self, kept: list[tuple[int, bytes, bytes]], now_ms: float) -> None:
        """The store is there: from now on this gateway keeps copies.  msgspec's errors for what is none of
        ours."""
        self.acceptor.load(kept)
        if self.acceptor.incarnation == 0:
            self._keep(self.acceptor.born(int(now_ms)), None)

    # ---- what the gateway asks

    def ask(
        self,
        key: str,
        expect: Expect,
        value: bytes,
        until_ms: float,
        deadline_ms: float,
        now_ms: float,
        expected: bytes = b"",
        held: Held | None = None,
        fast: bool = True,
    ) -> int:
        """Begin an op; its number stands in its `Done`."""
        self._ops += 1
        op = Op(self._ops, key, expect, value, int(until_ms), deadline_ms, expected)
        fast = fast and self.absent.isdisjoint(self.groups.of(key))
        self.proposer.start(op, now_ms, held, fast)
        self._settle(now_ms)
        return self._ops

    @property
    def busy(self) -> bool:
        return bool(self.proposer.ops)

    @property
    def filled(self) -> bool:
        """Whether this gateway votes on all keys of its groups."""
        return len(self.acceptor.synced) == self.acceptor.members - 1 and not self.acceptor.superseded

    # ---- what happens

    def receive(self, sender: int, message: Any_, now_ms: float) -> None:
        self._take(sender, message, now_ms)
        self._settle(now_ms)

    def kept(self, token: int, now_ms: float) -> None:
        """The rows of a `Keep` last."""
        self._on_way.pop(token, None)
        after = self._after.pop(token, None)
        if isinstance(after, int):
            if after not in self.acceptor.synced:
                self.acceptor.synced.add(after)
                self._keep(self.acceptor.meta(), None)
        elif after is not None:
            self._say(*after, now_ms)
        self._settle(now_ms)

    def lost(self, token: int) -> None:
        """They do not last: nothing is said of them, nor of what is on its way behind them, which may rest on
        them; before anything else is said they are kept anew.  What is being filled begins again: pages
        before this one may be missing."""
        self._after.clear()
        self._dirty.update(self._on_way.pop(token, ()))
        self.repair.restart()
        self.acceptor.news = True

    def tick(self, now_ms: float, alive: tuple[int, ...]) -> None:
        """To be called every few milliseconds while ops are under way, else a few times a second; `alive`:
        the members that are there."""
        self.proposer.tick(now_ms)
        if self.acceptor.incarnation:
            self.repair.tick(now_ms, alive)
        gone = self.acceptor.expire(now_ms)
        if gone:
            self._keep(gone, None)
        self._settle(now_ms)

    # ---- within

    def _keep(self, rows: list[StoreRow], after: tuple[int, Any_] | int | None) -> None:
        if self._dirty:
            again = [
                (REGISTER, key.encode(), pack(row) if (row := self.acceptor.rows.get(key)) else None)
                for key in sorted(self._dirty)
            ]
            rows = [*again, *rows]
            self._dirty.clear()
        if self.acceptor.news:
            rows = [*self.acceptor.meta(), *rows]
        self._token += 1
        named = tuple(key.decode() for kind, key, _ in rows if kind == REGISTER)
        if named:
            self._on_way[self._token] = named
        if after is not None:
            self._after[self._token] = after
        self.effects.append(Keep(self._token, tuple(rows)))

    def _say(self, member: int, message: Any_, now_ms: float) -> None:
        if member == self.me:
            self._take(member, message, now_ms)
        else:
            self.effects.append(Send(member, message))

    def _take(self, sender: int, message: Any_, now_ms: float) -> None:
        if isinstance(message, Reply):
            self.proposer.take(sender, message, now_ms)
        elif isinstance(message, Prepare | Accept):
            reply, rows = (
                self.acceptor.prepare(message, now_ms)
                if isinstance(message, Prepare)
                else self.acceptor.accept(message, now_ms)
            )
            # An answer that changes nothing may rest on rows that are still on their way down.
            self._keep(rows, (sender, reply))
        elif isinstance(message, Join):
            self._keep([], (sender, self.repair.join(sender, message, now_ms)))
        elif isinstance(message, Page):
            rows, whole = self.repair.page(sender, message, now_ms)
            if rows or whole:
                self._keep(rows, sender if whole else None)
            if self.acceptor.superseded and not self.acceptor.synced:
                # A store that is new and has never voted, on a machine whose clock is behind: a later life.
                self.repair.restart()
                self._keep(self.acceptor.born(self.acceptor.incarnations[self.me] + 1), None)
        elif isinstance(message, Compare | Keys | Pull | Rows):
            rows = self.repair.take(sender, message, now_ms)
            if rows:
                self._keep(rows, None)

    def _settle(self, now_ms: float) -> None:
        """What has gathered becomes effects; what a member says to itself comes to it at once."""
        while self.proposer.out or self.repair.out:
            out, self.proposer.out = self.proposer.out, []
            for member, ask in out:
                self._say(member, ask, now_ms)
            more, self.repair.out = self.repair.out, []
            self.effects += [Send(member, message) for member, message in more]
        if self.acceptor.news:
            self._keep([], None)
        self.effects += self.proposer.done
        self.proposer.done = []

    def take_effects(self) -> list[Effect]:
        found, self.effects = self.effects, []
        return found
