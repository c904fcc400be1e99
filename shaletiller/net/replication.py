"""The wire and the disk of what is promised: the store, the links to the other copies, the way from and to
the engine.  What is decided stands in `shaletiller/replication/`.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path

import msgspec
import xxhash

from shaletiller.clock import Clock, Timer
from shaletiller.config import ServerList
from shaletiller.core.engine import Engine
from shaletiller.core.manual_ejection import ManualEjections
from shaletiller.core.model import ClientCall, Exchange, FinalResponse
from shaletiller.core.model import FinalResult as Final
from shaletiller.fleet.codec import HealthRecord
from shaletiller.fleet.core import group_of
from shaletiller.fleet.health_gossip import LONGEST_MS, Kind
from shaletiller.fleet.membership import State
from shaletiller.fleet.quotas import NOTHING, Amount, from_wire, to_wire
from shaletiller.net.fleet import FleetAgent
from shaletiller.operator_file import OperatorFile
from shaletiller.replication.core import Keep, ReplicationNode, Send
from shaletiller.replication.groups import Groups
from shaletiller.replication.messages import Codec
from shaletiller.replication.proposer import Done, Expect, Held
from shaletiller.replication.rows import META, Leased, Listed, Word, pack, read_says
from shaletiller.replication.writes import NO_MAJORITY_MS, Decision, What, Writes
from shaletiller.store.files import Drilled, Files, StoreLockedError
from shaletiller.store.record_format import DamagedStoreError
from shaletiller.store.segment_store import Store
from shaletiller.store.writer import StoreWriter

logger = logging.getLogger(__name__)

TICK_MS, IDLE_TICK_MS = 4.0, 25.0
WORD_MS = 2_000.0  # how long a DISABLE or DRAIN waits for a majority
YEAR_MS = 365 * 24 * 3600_000.0  # how long operators' words and node lists are kept
LIST_MS = 1_000.0  # a node list that changes is kept so often at the most
LOCKED_S = 0.1  # how often a store that the process before still has is tried
MOST_KEY = 400
LIST_KEY = b"list"
TABLE_MS = 400.0  # a granter's table that is not kept by then holds no grant
TABLE_KEPT_MS = 600_000.0  # longer than any pledge
BAN, DRAIN, LIST, LEASE = "ban:", "drain:", "list:", "lease:"


class NotReplicatedError(Exception):
    """An operator's word holds at this gateway, and is not copied."""


class ReplicationAgent:
    """One gateway's part in keeping promises."""

    def __init__(
        self,
        operator: OperatorFile,
        fleet: FleetAgent,
        engine: Engine,
        clock: Clock,
        name: str,
        bans: ManualEjections,
    ) -> None:
        part = operator.promises
        self._clock, self._engine, self._fleet, self._name = clock, engine, fleet, name
        self._operator, self._bans = operator, bans
        members = fleet.liaison.fleet
        groups = Groups([row.zone for row in operator.fleet.member], part.copies)
        self._me, self._members = members.me, members
        self._codec = Codec(group_of(operator.fleet.name, members.names), self._me, len(members.names))
        now_ms = clock.now_ms()
        self.promises = ReplicationNode(self._me, groups, None, now_ms, part.repair_bytes_a_second)
        self.writes = Writes(self.promises, int(now_ms), part.keep_s * 1000)
        self._copied = {row.name for row in part.class_ if row.level == "copied"}
        self._exchanges: dict[int, Exchange] = {}
        self._waits: dict[int, asyncio.Future[Done]] = {}
        self._number = 0
        self._timer: Timer | None = None
        self._quick = False
        self.keeper: StoreWriter | None = None
        self.damaged = ""
        self._table_number = 0
        self._list: ServerList | None = None
        self._list_kept = b""
        self._list_ms = 0.0
        self._closed = False
        # Told once this gateway knows what its copies hold: a list that it had, and whether it is drained.
        self.listed: Callable[[ServerList], None] = lambda kept: None
        self.drained: Callable[[bool], None] = lambda drained: None
        self._tables: dict[str, tuple[bytes, Held | None]] = {}  # of the limits granted here: the last kept
        if part.lease_tables:
            members.leases.table = self
        engine.vow = self._vow
        fleet.heard_promises = self._heard

    # ---- the store

    def open(self) -> None:
        """Take the store, before anything is served; where the process before still has it, later."""
        self._try()

    def _try(self) -> bool:
        part = self._operator.store
        folder, files = Path(part.dir), Drilled(Path(part.drill)) if part.drill else Files()
        try:
            try:
                store = Store(folder, files, int(part.segment_mb * (1 << 20)))
            except DamagedStoreError as error:
                self.damaged = str(error)
                aside = folder.with_name(f"{folder.name}.damaged-{int(self._clock.now_ms())}")
                folder.rename(aside)
                logger.warning(
                    f"store: damaged: {error}; set aside as {aside.name}, and filled anew from the copies"
                )
                store = Store(folder, files, int(part.segment_mb * (1 << 20)))
        except (StoreLockedError, OSError) as error:
            logger.warning(
                f"store: {error}; no votes, and nothing copied is promised, until it can be opened"
            )
            return False
        if store.torn:
            logger.warning(
                f"store: {store.torn} bytes behind the last whole record of {store.torn_file} left out"
            )
        self.keeper = StoreWriter(store)
        self.keeper.start()
        kept = [(record.kind, record.key, record.value) for record in store]
        self.promises.open(kept, self._clock.now_ms())
        logger.warning(f"store: {len(kept)} records, life {self.promises.acceptor.incarnation}")
        raw = store.get(META, LIST_KEY)
        if raw is not None:
            self._take_list(raw)
        return True

    def banned(self) -> dict[str, Word]:
        """The operators' words on storage nodes of which this gateway keeps a copy."""
        found = {}
        for key, row in self.promises.acceptor.rows.items():
            says = read_says(row.value) if key.startswith(BAN) else None
            if isinstance(says, Word):
                found[key[len(BAN) :]] = says
        return found

    async def start(self) -> None:
        self._tick()
        self._engine.spawn(self._follow())

    async def _follow(self) -> None:
        """What is done once, as soon as it can be: the store taken over, the copies' words told, what the
        machine had before it was lost asked for."""
        while self.keeper is None:
            await asyncio.sleep(LOCKED_S)
            if self._closed or self._try():
                break
        self._tell_words()
        while not self.promises.filled:
            await asyncio.sleep(IDLE_TICK_MS / 1000)
        logger.warning("promises: filled, votes on all its keys")
        self._tell_words()
        for node in sorted(self._bans.held - self.banned().keys()):
            # Taken out by the process before this one, and kept here only.
            self._fleet.liaison.ban(node, True, self._clock.now_ms())
        done = await self._ask(f"{DRAIN}{self._name}", Expect.NEVER, b"", 30_000.0)
        says = read_says(done.value)
        if isinstance(says, Word):
            self.drained(says.out)
        done = await self._ask(f"{LIST}{self._name}", Expect.NEVER, b"", 30_000.0)
        says = read_says(done.value)
        if isinstance(says, Listed):
            self._take_list(says.raw)

    def _tell_words(self) -> None:
        """The words of which there are copies here, with the stamps that they had; they go before what the
        process before this one left in its file."""
        now_ms = self._clock.now_ms()
        for node, word in self.banned().items():
            if not word.out and node in self._bans.held:
                self._bans.remove(node)
            until = int(min(word.until, now_ms + LONGEST_MS / 2))
            self._fleet.liaison.restore(
                HealthRecord(node, int(Kind.BAN), word.by, 0, word.stamp, until, int(word.out))
            )

    # ---- time and messages

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        self._quick = self.promises.busy
        self._timer = self._clock.call_later(TICK_MS if self._quick else IDLE_TICK_MS, self._tick)
        peers = self._members.membership.peers
        self.promises.absent = frozenset(n for n, peer in peers.items() if peer.state is State.DEAD)
        self._guarded(lambda: self.promises.tick(now_ms, self._members.membership.alive()))
        if self._list is not None and now_ms - self._list_ms >= LIST_MS:
            self._keep_list(now_ms)

    def _guarded(self, call: Callable[[], object]) -> None:
        try:
            call()
            self._carry_out()
        except Exception as error:  # a fault here must not take the requests with it
            logger.warning(f"promises: broke: {error!r}")

    def _heard(self, data: bytes) -> None:
        found = self._codec.read(data)
        if found is not None:
            self._guarded(lambda: self.promises.receive(*found, self._clock.now_ms()))

    def _carry_out(self) -> None:
        while effects := self.promises.take_effects():
            for effect in effects:
                if isinstance(effect, Send):
                    self._fleet.send(effect.member, self._codec.write(effect.message))
                elif isinstance(effect, Keep):
                    self._keep(effect)
                elif not self.writes.done(effect, self._clock.now_ms()):
                    wait = self._waits.pop(effect.op, None)
                    if wait is not None and not wait.done():
                        wait.set_result(effect)
        for decision in self.writes.take_decisions():
            self._decided(decision)
        if self.promises.busy and not self._quick and self._timer is not None:
            self._timer.cancel()  # the next tick is sooner than was thought
            self._quick = True
            self._timer = self._clock.call_later(TICK_MS, self._tick)

    def _keep(self, keep: Keep) -> None:
        if self.keeper is None:
            self.promises.lost(keep.token)
            return

        def done(lasts: bool) -> None:
            if lasts:
                self._guarded(lambda: self.promises.kept(keep.token, self._clock.now_ms()))
            else:
                self.promises.lost(keep.token)

        self.keeper.keep(keep.rows, done)

    async def _ask(
        self,
        key: str,
        expect: Expect,
        value: bytes,
        wait_ms: float,
        expected: bytes = b"",
        held: Held | None = None,
        keep_ms: float = YEAR_MS,
    ) -> Done:
        now_ms = self._clock.now_ms()
        wait: asyncio.Future[Done] = asyncio.get_running_loop().create_future()
        op = self.promises.ask(key, expect, value, now_ms + keep_ms, now_ms + wait_ms, now_ms, expected, held)
        self._waits[op] = wait
        self._guarded(lambda: None)
        return await wait

    # ---- writes

    def _vow(self, exchange: Exchange) -> bool:
        call = exchange.call
        if call.request_class not in self._copied or not call.write:
            return False
        key = key_of(call)
        groups, peers = self.promises.groups, self._members.membership.peers
        # One that has not been heard yet may be there: just after a start nobody has.
        gone = sum(n != self._me and peers[n].state is State.DEAD for n in groups.of(key))
        if groups.copies - gone < groups.majority:
            self.writes.counts["no_majority"] += 1
            self._engine.relay(exchange, FinalResponse(Final.REFUSED, retry_after_ms=NO_MAJORITY_MS))
            return True
        self._number += 1
        number = self._number
        self._exchanges[number] = exchange
        exchange.keeps = lambda answer: self._ended(number, answer)
        mark = xxhash.xxh3_64_intdigest(f"{call.method} {call.target}\n".encode() + call.body)
        now_ms = self._clock.now_ms()
        self._guarded(lambda: self.writes.begin(number, key, mark, exchange.deadline_ms, now_ms))
        return True

    def _ended(self, number: int, answer: FinalResponse | None) -> None:
        """The engine's answer to a copied write, or its client has left."""
        exchange = self._exchanges[number]
        what: What
        if answer is not None and answer.verdict is Final.SERVED:
            what = "served"
        else:
            self._exchanges.pop(number, None)
            # A refusal may be harmless for other reasons than that nothing ran: what is known is kept.
            what = "refused" if exchange.harmless else "failed"
        body = answer.body if answer is not None else b""
        self._guarded(lambda: self.writes.end(number, what, body, self._clock.now_ms()))

    def _decided(self, decision: Decision) -> None:
        exchange = self._exchanges.get(decision.number)
        if exchange is None:
            return
        if decision.what == "go":
            left_ms = exchange.deadline_ms - self._clock.now_ms()
            if left_ms > 0:
                self._engine.admit(exchange, left_ms)
            return  # else the guard answers it, and what was asked for is taken back
        self._exchanges.pop(decision.number, None)
        final = {"served": Final.SERVED, "failed": Final.FAILED, "refused": Final.REFUSED}[decision.what]
        if decision.why:
            logger.warning(f"request {exchange.call.id}: {decision.what}: {decision.why}")
        self._engine.relay(
            exchange,
            FinalResponse(final, decision.body, min(decision.retry_after_ms, NO_MAJORITY_MS)),
            settled=True,
        )

    # ---- operators' words

    async def ban(self, node: str) -> None:
        """A DISABLE or ENABLE that holds here already: KeptHere where no majority of its copies has it in
        time."""
        found = self._members.verdicts.ban_of(node)
        if found is not None:
            await self._word(f"{BAN}{node}", found.value > 0, found.stamp)

    async def drain(self, drained: bool) -> None:
        await self._word(f"{DRAIN}{self._name}", drained, self._members.clock.now(self._clock.now_ms()))

    async def _word(self, key: str, out: bool, stamp: int) -> None:
        until = int(self._clock.now_ms() + YEAR_MS)
        done = await self._ask(key, Expect.OLDER, pack(Word(out, stamp, self._me, until)), WORD_MS)
        if not done.kept and done.unknown:
            raise NotReplicatedError

    # ---- granters' tables (fleet.leases.Table)

    def take_over(self, limit: str) -> None:
        self._engine.spawn(self._take_over(limit))

    async def _take_over(self, limit: str) -> None:
        key, now_ms = f"{LEASE}{limit}", self._clock.now_ms
        before = await self._ask(key, Expect.NEVER, b"", TABLE_MS)
        done = before
        if not before.unknown:
            says = read_says(before.value)
            was = says if isinstance(says, Leased) else None
            mine = self._table(was.rate, was.burst, was.at) if was else self._table(0, 0, 0)
            expect = Expect.THIS if before.value else Expect.FREE
            done = await self._ask(key, expect, mine, TABLE_MS, before.value, keep_ms=TABLE_KEPT_MS)
            if done.kept:
                self._tables[limit] = mine, done.held
                leased = from_wire(was.rate, was.burst) if was else NOTHING
                self._members.leases.stands(
                    limit,
                    (was.by, was.incarnation) if was else None,
                    leased,
                    was.at if was else 0.0,
                    now_ms(),
                )
        if not done.kept:
            self._members.leases.kept(limit, False, now_ms())

    def write(self, limit: str, leased: Amount) -> None:
        self._engine.spawn(self._write(limit, *to_wire(leased)))

    async def _write(self, limit: str, rate: int, burst: int) -> None:
        before, held = self._tables.pop(limit, (b"", None))
        mine = self._table(rate, burst, int(self._clock.now_ms()))
        done = await self._ask(
            f"{LEASE}{limit}", Expect.THIS, mine, TABLE_MS, before, held, keep_ms=TABLE_KEPT_MS
        )
        if done.kept:
            self._tables[limit] = mine, done.held
        self._members.leases.kept(limit, done.kept, self._clock.now_ms())

    def _table(self, rate: int, burst: int, at_ms: int) -> bytes:
        self._table_number += 1
        return pack(Leased(self._me, self._members.incarnation, self._table_number, at_ms, rate, burst))

    # ---- the node list

    def news(self, whole: ServerList) -> None:
        """The list as discovery tells it: kept here and at the copies, for a start without discovery."""
        if whole.servers:
            self._list = whole

    def _keep_list(self, now_ms: float) -> None:
        raw = msgspec.json.encode(self._list)
        self._list, self._list_ms = None, now_ms
        if raw == self._list_kept:
            return
        self._list_kept = raw
        if self.keeper is not None:
            self.keeper.keep([(META, LIST_KEY, raw)])
        value = pack(Listed(int(now_ms), raw))
        if len(value) < 1 << 16:
            self._guarded(
                lambda: self.promises.ask(
                    f"{LIST}{self._name}", Expect.ANYTHING, value, now_ms + YEAR_MS, now_ms + 5_000.0, now_ms
                )
            )

    def _take_list(self, raw: bytes) -> None:
        try:
            self.listed(msgspec.json.decode(raw, type=ServerList))
        except msgspec.MsgspecError as error:
            logger.warning(f"store: the node list that was kept is left out: {error}")

    # ---- figures and the end

    def figures(self) -> dict[str, int]:
        """What the operators' STATS says of promises; see docs/operations.md."""
        acceptor, repair, keeper = self.promises.acceptor, self.promises.repair, self.keeper
        told = {
            "promises.filled": int(self.promises.filled),
            "promises.superseded": int(acceptor.superseded),
            "promises.synced": len(acceptor.synced),
            "promises.records": len(acceptor.rows),
            "promises.under_way": self.writes.under_way,
            "promises.rounds": self.promises.proposer.rounds,
            **{f"promises.{name}": count for name, count in self.writes.counts.items()},
            "promises.repair_given": repair.given_rows,
            "promises.repair_taken": repair.taken_rows,
            "promises.repair_bytes": repair.bytes_given,
            **{f"promises.dropped.{why}": count for why, count in sorted(self._codec.dropped.items())},
            "store.open": int(keeper is not None),
            "store.damaged": int(bool(self.damaged)),
        }
        if keeper is not None:
            told |= {
                "store.sound": int(keeper.sound),
                "store.records": len(keeper.store.index),
                "store.log_bytes": keeper.store.log_bytes,
                "store.live_bytes": keeper.store.live_bytes,
                "store.commits": keeper.commits,
                "store.rows": keeper.rows,
                "store.failed": keeper.failed,
                "store.snapshots": keeper.snapshots,
                "store.torn_bytes": keeper.store.torn,
            }
        return told

    async def close(self) -> None:
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self.keeper is not None:
            await self.keeper.stop()


def key_of(call: ClientCall) -> str:
    """What the repeats of a write share: its class, its volume, and its Idempotency-Key or its own id."""
    key = f"w:{call.request_class}:{call.volume}:{call.idempotency_key or call.id}"
    return key if len(key) <= MOST_KEY else f"w:{xxhash.xxh3_128_hexdigest(key.encode())}"
