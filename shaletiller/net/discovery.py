"""The client of discovery: watches the endpoint list, at an address that may change meanwhile."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Mapping

import aiohttp
import msgspec

from shaletiller.clock import Clock
from shaletiller.config import ConfigError, ServerList, ServerRow, read_address
from shaletiller.core.interfaces import UpstreamClient
from shaletiller.core.route import Endpoint
from shaletiller.messages.endpoints import EndpointEntry, EndpointState, UpdateKind
from shaletiller.net.backoff import FullJitterBackoff
from shaletiller.net.body import read_bounded
from shaletiller.net.errors import DiscoveryOverloadedError, EndpointListError
from shaletiller.net.http_upstream import never_resend
from shaletiller.registry.endpoint_registry import EndpointRegistry, Source
from shaletiller.settings.model import Settings

logger = logging.getLogger(__name__)

# How long a watch waits for changes.  Until it is over, an agent that hangs and one without changes look
# alike: the list is out of date for as long, and a change counts as announced when the watch began.  Longer
# saves calls, shorter finds a silent agent sooner.
WATCH_WAIT_MS = 1_000
WATCH_GRACE_MS = 400.0  # past the watch's own wait the agent counts as silent
# The bound of the backoff after the first failure.  A watch goes on without a gap while the next call follows
# within 200 ms.
INITIAL_BACKOFF_MS = 50.0
# The bound of the backoff at most.  Without backoff, the gateways of a site that each called again 50 ms
# after a 503 would keep an overloaded discovery overloaded.  Longer spares discovery, shorter finds it back
# sooner.
MAX_BACKOFF_MS = 2_000.0
# Where lists are pushed, the agent runs on this machine, and what it has announced counts as known.  Where it
# is silent or its connections break, no call costs anyone anything, and a gateway that waited longer than
# this part of the drain's grace period could send requests to a node that drains.
PUSHED_BACKOFF_PART = 0.125
MAX_LIST_BYTES = 4 * 1024 * 1024
WATCH_TIMEOUT = aiohttp.ClientTimeout(total=(WATCH_WAIT_MS + WATCH_GRACE_MS) / 1000, sock_connect=1.0)
FULL_LIST_TIMEOUT = aiohttp.ClientTimeout(total=WATCH_WAIT_MS / 1000)  # answered without waiting for changes
STATES = {"active": EndpointState.READY, "leaving": EndpointState.DRAINING, "left": EndpointState.GONE}
LEFT = "left"

# Called with an update's kind, list version, endpoints, and how long ago (ms) it may have been announced.
UpdateListener = Callable[[UpdateKind, int, tuple[Endpoint, ...], float], None]
# Called with the version and the complete list, by node, after each change.
ListListener = Callable[[int, Mapping[str, ServerRow]], None]


def parse_row(row: ServerRow, upstream_of: Callable[[str], UpstreamClient]) -> Endpoint:
    """Read a row of discovery's list.

    :raises EndpointListError: its state is unknown, or its address malformed.
    """
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
    return Endpoint(entry, row.addr, upstream_of(row.id))


class WatchFreshness:
    """How long ago a change that arrives may have been announced.

    While a watch goes on without a gap, a change arrives as it is announced.  After a gap it may have been
    announced at any time since the agent last reported everything it had.
    """

    def __init__(self) -> None:
        """Begin without a watch."""
        # All that was announced by then has arrived.  The first list of a process may have been announced
        # long ago, to the process before it.
        self._complete_until_ms = -math.inf
        self._agent_responded = False  # whether the present agent ever has
        self._is_continuous = False  # whether the present call continues a watch

    def on_response(self, now_ms: float) -> None:
        """Note that a call of the watch was answered and applied."""
        self._complete_until_ms, self._is_continuous, self._agent_responded = now_ms, True, True

    def on_failure(self, started_ms: float, timed_out: bool) -> None:
        """Note that a call of the watch, begun at `started_ms`, has failed."""
        self._is_continuous = False
        if timed_out and self._agent_responded:
            # What the agent had as the call began it would have sent right away.
            self._complete_until_ms = max(self._complete_until_ms, started_ms)

    def on_agent_changed(self, now_ms: float) -> None:
        """Begin with another agent; what it announces counts from now on at the earliest."""
        if self._agent_responded:
            self._complete_until_ms = now_ms
        self._is_continuous = self._agent_responded = False

    def max_age_ms(self, now_ms: float) -> float:
        """How long ago a change that arrives now may have been announced at most."""
        return 0.0 if self._is_continuous else now_ms - self._complete_until_ms


class DiscoveryClient:
    """Keeps the endpoint registry up to date with discovery, and notifies of what changes."""

    def __init__(
        self,
        address: tuple[str, int],
        known: ServerList,
        upstream_of: Callable[[str], UpstreamClient],
        on_update: UpdateListener,
        seed: int = 0,
        now_ms: Callable[[], float] | None = None,
        registry: EndpointRegistry | None = None,
        on_list_changed: ListListener | None = None,
    ) -> None:
        """Make a client that calls nobody yet.

        :param address: of the agent.
        :param known: the list to start from.
        :param upstream_of: the client for a node.
        :param seed: of the backoff's jitter.
        """
        self._upstream_of = upstream_of
        self.backoff = FullJitterBackoff(INITIAL_BACKOFF_MS, seed)
        self._on_update = on_update
        self._known = known
        self._now_ms = now_ms or Clock().now_ms
        self.registry = registry if registry is not None else EndpointRegistry()
        self.ready = False  # whether some list has named a node that is ready: this gateway can serve
        self._max_backoff_ms = MAX_BACKOFF_MS
        self._freshness = WatchFreshness()
        self._is_pushed = False
        self.rows: dict[str, ServerRow] = {}  # the list as discovery sent it, by node
        self._on_list_changed = on_list_changed
        self.set_address(address)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings: where lists are pushed, the backoff is shorter."""
        self._is_pushed = not settings.subscribed
        self._max_backoff_ms = MAX_BACKOFF_MS
        if self._is_pushed:
            pushed_ms = max(INITIAL_BACKOFF_MS, settings.drain_grace_ms * PUSHED_BACKOFF_PART)
            self._max_backoff_ms = min(MAX_BACKOFF_MS, pushed_ms)

    def set_address(self, address: tuple[str, int]) -> None:
        """Move to another agent, beginning with its full list: its versions may be others."""
        self._url = f"http://{address[0]}:{address[1]}/discovery/hosts"
        self._version: int | None = None
        self._freshness.on_agent_changed(self._now_ms())
        self.registry.reset_versions()

    # ---- lists

    def load_known_list(self, source: Source = Source.CONFIGURED) -> None:
        """Start from the list that this gateway had last; it may be out of date."""
        try:
            self._apply(self._known, UpdateKind.CACHED, source)
        except EndpointListError as error:
            logger.warning("known endpoint list ignored, waiting for discovery's: %s", error)

    def load_stored_list(self, stored: ServerList) -> bool:
        """Start from a list that this gateway has stored.

        :returns: False if the list in use is no older.
        """
        if (self._version or 0) >= stored.version and self.ready:
            return False
        self._known = stored
        self.load_known_list(Source.STORED)
        return True

    def apply_peer_report(self, node: str, incarnation: int, version: int, state: EndpointState) -> None:
        """Apply what another gateway's list reports of a node that this gateway's list has named."""
        change = self.registry.apply_peer_report(node, incarnation, version, state, self._now_ms())
        if change.endpoints:
            self._on_update(UpdateKind.CHANGES, version, change.endpoints, 0.0)

    def _apply(self, received: ServerList, kind: UpdateKind, source: Source = Source.DISCOVERY) -> None:
        """Apply a list or changes to one, and notify of what changed.

        :raises EndpointListError: it is malformed, or removes too many nodes to be applied at the first time.
        """
        endpoints = tuple(parse_row(row, self._upstream_of) for row in received.servers)
        full = kind is not UpdateKind.CHANGES
        change = self.registry.apply_list(endpoints, received.version, full, source, self._now_ms())
        if change.held_back:
            self._version = None  # request the full list again: what a second one confirms is applied
            raise EndpointListError(
                f"the list of version {received.version} removes too many nodes: requested again"
            )
        self._version = received.version
        # A gateway whose list names only nodes that drain or have left cannot serve.
        self.ready = self.ready or any(
            endpoint.entry.state is EndpointState.READY for endpoint in change.endpoints
        )
        self._update_rows(received, full)
        max_age_ms = self._freshness.max_age_ms(self._now_ms()) if source is Source.DISCOVERY else 0.0
        self._on_update(kind, received.version, change.endpoints, max_age_ms)
        if self._on_list_changed is not None:
            self._on_list_changed(received.version, self.rows)

    def _update_rows(self, received: ServerList, full: bool) -> None:
        if full:
            self.rows.clear()
        for row in received.servers:
            if row.state == LEFT:
                self.rows.pop(row.id, None)
            else:
                self.rows[row.id] = row

    # ---- calls

    @staticmethod
    def _session(timeout: aiohttp.ClientTimeout) -> aiohttp.ClientSession:
        # Without `never_resend`, aiohttp would silently resend a call whose connection failed: the gap would
        # pass for a watch that goes on, and a drain would count as announced later than it was.
        return aiohttp.ClientSession(timeout=timeout, middlewares=(never_resend,), trust_env=False)

    async def fetch(self) -> None:
        """Request the full list once, as the scheduler demanded; the watch goes on beside it."""
        try:
            async with self._session(FULL_LIST_TIMEOUT) as session:
                await self._call(session)
        except Exception:
            # Any type: whatever the agent sends, the scheduler has to be notified that there is no list.
            logger.warning("discovery: full list failed, the list in use stays", exc_info=True)
            self._on_update(UpdateKind.FAILED, 0, (), 0.0)

    async def run(self) -> None:
        """Watch the list forever; a call that fails is repeated after a backoff."""
        failures = 0
        async with self._session(WATCH_TIMEOUT) as session:
            while True:
                started_ms = self._now_ms()
                try:
                    await self._call(session, self._version, watch=True)
                    failures = 0
                except Exception as error:
                    # Any type: whatever an agent sends, the watch goes on.
                    logger.warning("discovery: watch failed, the list in use stays", exc_info=True)
                    await self._back_off(error, started_ms, failures)
                    failures += 1

    async def _back_off(self, error: Exception, started_ms: float, failures: int) -> None:
        timed_out = isinstance(error, TimeoutError)
        self._freshness.on_failure(started_ms, timed_out)
        if timed_out and self._is_pushed:
            return  # the call has waited long enough: a backoff on top would only make the list older
        overloaded = isinstance(error, DiscoveryOverloadedError)
        max_ms = MAX_BACKOFF_MS if overloaded else self._max_backoff_ms
        await asyncio.sleep(self.backoff.delay_ms(failures, max_ms) / 1000)

    async def _call(
        self,
        session: aiohttp.ClientSession,
        since: int | None = None,
        watch: bool = False,
    ) -> None:
        """Request the full list, or the changes after a version, and apply them.

        :raises DiscoveryOverloadedError: the call was rejected.
        :raises EndpointListError: the list is malformed.
        """
        url, full = self._url, since is None
        params = {} if full else {"since": str(since), "timeout_ms": str(WATCH_WAIT_MS)}
        timeout = FULL_LIST_TIMEOUT if full else WATCH_TIMEOUT
        async with session.get(url, params=params, timeout=timeout) as response:
            raw = await read_bounded(response.content, MAX_LIST_BYTES)
            if response.status != 200 or raw is None:
                raise DiscoveryOverloadedError(f"status {response.status}, or too long")
        if url != self._url:
            return  # from the agent before: it may be older than what the new one has sent
        received = msgspec.json.decode(raw, type=ServerList)
        self._apply(received, UpdateKind.FULL if received.full else UpdateKind.CHANGES)
        if watch:
            self._freshness.on_response(self._now_ms())
