"""Discovery: the node list, watched without a pause, at an address that may change meanwhile."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable

import aiohttp
import msgspec

from shaletiller.clock import Clock
from shaletiller.config import ConfigError, ServerList, ServerRow, read_address
from shaletiller.core.model import UpstreamClient
from shaletiller.core.route import Endpoint
from shaletiller.messages.endpoints import EndpointEntry, EndpointState, UpdateKind
from shaletiller.net.body import read_bounded
from shaletiller.net.http_upstream import never_again
from shaletiller.registry.endpoint_registry import EndpointRegistry, Source
from shaletiller.settings.model import Settings

logger = logging.getLogger(__name__)

# A watch waits for so short a time since a silent agent and one that has nothing to tell look alike until it
# is over: with 20 s, a call that fell silent kept the list old for as long, and news count as told after 6 s.
WAIT_MS = 1_000
SILENCE_MS = 400.0  # past a watch's own wait: the agent is silent while discovery is down
AGAIN_MS = 50.0  # a watch goes on while the next call follows within 200 ms
# After a failed call the next waits a random time up to a bound that doubles with each failure in a row
# (exponential backoff with full jitter).  Forty gateways that each asked again 50 ms after a 503 kept an
# overbooked discovery at 500 calls a second all day, and those that came back after a restart never got in.
MOST_AGAIN_MS = 2_000.0
# Where lists are pushed the agent is on this machine, and what it has counts as told.  Where it is silent or
# its connections break no call costs anyone anything, and a gateway that waited longer than a part of the
# drain's grace could send to a node that drains.
PUSHED_PART = 0.125
MOST_LIST = 4 * 1024 * 1024
TIMEOUT = aiohttp.ClientTimeout(total=(WAIT_MS + SILENCE_MS) / 1000, sock_connect=1.0)
AT_ONCE = aiohttp.ClientTimeout(total=WAIT_MS / 1000)  # the whole list is answered without a wait
STATES = {"active": EndpointState.READY, "leaving": EndpointState.DRAINING, "left": EndpointState.GONE}


class EndpointListError(Exception):
    """A list that is not what discovery promises; the one in hand stays."""


class DiscoveryOverloadedError(EndpointListError):
    """Discovery is there and turns the call away."""


def read_row(row: ServerRow, back: Callable[[str], UpstreamClient]) -> Endpoint:
    state = STATES.get(row.state)
    if state is None:
        raise EndpointListError(f"state of {row.id}: unknown value {row.state!r}")
    if state is not EndpointState.GONE:
        try:
            read_address(row.addr, f"addr of {row.id}")
        except ConfigError as error:
            raise EndpointListError(str(error)) from error
    entry = EndpointEntry(
        node=row.id,
        zone=row.zone,
        shard=row.cell,
        state=state,
        kind=row.kind,
        weight=1.0 if row.weight is None else row.weight,
        started_ms=row.started_ms or 0.0,
    )
    return Endpoint(entry, row.addr, back(row.id))


class Discovery:
    def __init__(
        self,
        address: tuple[str, int],
        known: ServerList,
        back: Callable[[str], UpstreamClient],
        apply: Callable[[UpdateKind, int, tuple[Endpoint, ...], float], None],
        seed: int = 0,
        now_ms: Callable[[], float] | None = None,
    ) -> None:
        self._back = back
        self._random = random.Random(seed)  # gateways started together do not ask again together
        self._apply = apply
        self._known = known
        self._now_ms = now_ms or Clock().now_ms
        self.book = EndpointRegistry()
        self.held = False
        self._most_again_ms = MOST_AGAIN_MS
        # All that was told by then has come.  What the first list of a process tells may have been told long
        # ago, to the process before it.
        self._current_ms = -math.inf
        self._answered = False  # whether the agent at this address ever was
        self._unbroken = False  # whether the present call goes on a watch
        self._pushed = False
        self.rows: dict[str, ServerRow] = {}  # the list as it was told, by node
        self.news: Callable[[ServerList], None] | None = None  # told the whole list after each change
        self.move(address)

    def retune(self, settings: Settings) -> None:
        """Where lists are pushed, calls that fail are made again sooner."""
        self._pushed = not settings.subscribed
        pushed_ms = max(AGAIN_MS, settings.drain_grace_ms * PUSHED_PART)
        self._most_again_ms = min(MOST_AGAIN_MS, pushed_ms) if self._pushed else MOST_AGAIN_MS

    def move(self, address: tuple[str, int]) -> None:
        """From now on the list comes from this address, at first the whole: its versions may be others."""
        self._base = f"http://{address[0]}:{address[1]}/discovery/hosts"
        self._version: int | None = None
        if self._answered:
            self._current_ms = self._now_ms()  # what is told there counts from now on at the earliest
        self._unbroken = self._answered = False
        self.book.moved()

    def start_from_known(self, source: Source = Source.GIVEN) -> None:
        """The list as this gateway last had it; it may be old."""
        try:
            self._take(self._known, UpdateKind.CACHED, source)
        except EndpointListError as error:
            logger.warning(f"known list left out: {error}")

    def _take(self, found: ServerList, kind: UpdateKind, source: Source = Source.DISCOVERY) -> None:
        places = tuple(read_row(row, self._back) for row in found.servers)
        whole = kind is not UpdateKind.CHANGES
        taken = self.book.take(places, found.version, whole, source, self._now_ms())
        if taken.held_back:
            self._version = None  # the whole list again: what a second call says too is believed
            raise EndpointListError(
                f"the list of version {found.version} takes most nodes away: asked for again"
            )
        places = taken.places
        self._version = found.version
        # A gateway whose list names nodes that drain or have left alone cannot serve.
        self.held = self.held or any(place.entry.state is EndpointState.READY for place in places)
        if kind is not UpdateKind.CHANGES:
            self.rows.clear()
        for row in found.servers:
            if row.state == "left":
                self.rows.pop(row.id, None)
            else:
                self.rows[row.id] = row
        broken = source is Source.DISCOVERY and not self._unbroken
        late_ms = self._now_ms() - self._current_ms if broken else 0.0
        self._apply(kind, found.version, places, late_ms)
        if self.news is not None:
            self.news(ServerList(found.version, True, tuple(self.rows.values())))

    def start_from(self, kept: ServerList) -> bool:
        """A list that was kept, of this gateway itself; False where the one in hand is no older."""
        if (self._version or 0) >= kept.version and self.held:
            return False
        self._known = kept
        self.start_from_known(Source.KEPT)
        return True

    def others_say(self, node: str, incarnation: int, version: int, state: EndpointState) -> None:
        """Another gateway's list says so of a node that this one's has named."""
        taken = self.book.news(node, incarnation, version, state, self._now_ms())
        if taken.places:
            self._apply(UpdateKind.CHANGES, version, taken.places, 0.0)

    @staticmethod
    def _session(timeout: aiohttp.ClientTimeout) -> aiohttp.ClientSession:
        # Sent again without a word, a call whose connection broke would pass for a watch that goes on.
        return aiohttp.ClientSession(timeout=timeout, middlewares=(never_again,), trust_env=False)

    async def fetch(self) -> None:
        """The whole list, once, as the module asked; the watch goes on beside it."""
        try:
            async with self._session(AT_ONCE) as session:
                await self._call(session)
        except Exception as error:
            logger.warning(f"discovery: whole list: {type(error).__name__} {error}")
            self._apply(UpdateKind.FAILED, 0, (), 0.0)

    async def run(self) -> None:
        """Watch for ever; a call that fails is made again soon."""
        failed = 0
        async with self._session(TIMEOUT) as session:
            while True:
                began_ms = self._now_ms()
                try:
                    await self._call(session, self._version, watch=True)
                    failed = 0
                except Exception as error:  # whatever an agent sends, the watch goes on
                    logger.warning(f"discovery: {type(error).__name__} {error}")
                    self._unbroken = False
                    silent = isinstance(error, TimeoutError)
                    if silent and self._answered:
                        # What the agent had as the call began it would have told at once.
                        self._current_ms = max(self._current_ms, began_ms)
                    most_ms = (
                        MOST_AGAIN_MS if isinstance(error, DiscoveryOverloadedError) else self._most_again_ms
                    )
                    if not (silent and self._pushed):  # there a wait on top would only make the list older
                        await asyncio.sleep(self.again_ms(failed, most_ms) / 1000)
                    failed += 1

    def again_ms(self, failed: int, most_ms: float = MOST_AGAIN_MS) -> float:
        """The wait before the next call after so many failures in a row."""
        return self._random.uniform(0.0, min(most_ms, AGAIN_MS * 2 ** min(failed, 16)))

    async def _call(
        self,
        session: aiohttp.ClientSession,
        since: int | None = None,
        watch: bool = False,
    ) -> None:
        base, whole = self._base, since is None
        params = {} if whole else {"since": str(since), "timeout_ms": str(WAIT_MS)}
        async with session.get(base, params=params, timeout=AT_ONCE if whole else TIMEOUT) as response:
            raw = await read_bounded(response.content, MOST_LIST)
            if response.status != 200 or raw is None:
                raise DiscoveryOverloadedError(f"status {response.status}, or too long")
        if base != self._base:
            return  # of the address before: it may be older than what the new one has told
        found = msgspec.json.decode(raw, type=ServerList)
        self._take(found, UpdateKind.FULL if found.full else UpdateKind.CHANGES)
        if watch:
            self._current_ms, self._unbroken, self._answered = self._now_ms(), True, True
