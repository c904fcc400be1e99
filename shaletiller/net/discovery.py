"""Discovery client: watches the endpoint list of a discovery agent, whose address may change."""

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

# Time for which the agent holds a watch call if there are no changes.  Until it is over, an unresponsive
# agent cannot be distinguished from one without changes: the list may be out of date by this time, and a
# change counts as announced when the call started.  A larger value saves calls; a smaller value detects an
# unresponsive agent sooner.
WATCH_WAIT_MS = 1_000
WATCH_GRACE_MS = 400.0  # time after `WATCH_WAIT_MS` at which a call to the agent times out
# Upper bound of the backoff after the first failure.  A watch counts as uninterrupted if the next call
# follows within 200 ms.
INITIAL_BACKOFF_MS = 50.0
# Maximum of the upper bound of the backoff.  If all gateways of a site retried 50 ms after a 503, an
# overloaded discovery service would stay overloaded.  A larger value reduces its load; a smaller value
# reconnects sooner after it has recovered.
MAX_BACKOFF_MS = 2_000.0
# Maximum of the upper bound of the backoff if lists are pushed, as a fraction of the grace period of a drain.
# The agent then runs on the same machine, and its announcements count as known.  Retries to a silent agent
# cost little, and a gateway with a longer backoff could send requests to a draining node.
PUSHED_BACKOFF_RATIO = 0.125
MAX_LIST_BYTES = 4 * 1024 * 1024
WATCH_TIMEOUT_MS = WATCH_WAIT_MS + WATCH_GRACE_MS
FULL_LIST_TIMEOUT_MS = WATCH_WAIT_MS  # the agent does not wait
# Without a total: aiohttp's loses the cancellation of a task in which it expires at the same time.
SESSION_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=1.0)
ENDPOINT_STATES = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}
LEFT_STATE = "left"

# Called with the kind of an update, its list version, its endpoints, and its maximum age (ms).
UpdateListener = Callable[[UpdateKind, int, tuple[Endpoint, ...], float], None]
# Called with the list version and the complete list, by node, after each change.
ListListener = Callable[[int, Mapping[str, ServerRow]], None]


def parse_row(row: ServerRow, get_upstream: Callable[[str], UpstreamClient]) -> Endpoint:
    """Convert a row of the endpoint list into an endpoint.

    :param get_upstream: returns the client for a node.
    :raises EndpointListError: the state is unknown, or the address is malformed.
    """
    state = ENDPOINT_STATES.get(row.state)
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
    return Endpoint(entry, row.addr, get_upstream(row.id))


class WatchFreshness:
    """Estimates the maximum age of a received change.

    While the watch is uninterrupted, a change is received as soon as it is announced.  After an interruption,
    it may have been announced at any time since the last complete response of the agent.
    """

    def __init__(self) -> None:
        """Start without a watch."""
        # Time up to which all announced changes have been received.  The first list of a process may have
        # been announced long ago, to its predecessor.
        self._complete_until_ms = -math.inf
        self._agent_responded = False  # whether the current agent has ever responded
        self._is_continuous = False  # whether the current call continues an uninterrupted watch

    def on_response(self, now_ms: float) -> None:
        """Handle a watch response that was applied."""
        self._complete_until_ms, self._is_continuous, self._agent_responded = now_ms, True, True

    def on_failure(self, started_ms: float, timed_out: bool) -> None:
        """Handle the failure of a watch call.

        :param started_ms: time at which the call was started.
        :param timed_out: whether the call failed by a timeout.
        """
        self._is_continuous = False
        if timed_out and self._agent_responded:
            # The agent would have sent changes known at the start of the call immediately.
            self._complete_until_ms = max(self._complete_until_ms, started_ms)

    def on_agent_changed(self, now_ms: float) -> None:
        """Handle a change of agent.

        If the previous agent has responded, changes from the new one count as announced now or later.
        """
        if self._agent_responded:
            self._complete_until_ms = now_ms
        self._is_continuous = self._agent_responded = False

    def max_age_ms(self, now_ms: float) -> float:
        """Return the maximum time since the announcement of a change that is received now."""
        return 0.0 if self._is_continuous else now_ms - self._complete_until_ms


class DiscoveryClient:
    """Keeps the endpoint registry up to date with discovery, and reports changes."""

    def __init__(
        self,
        address: tuple[str, int],
        initial_list: ServerList,
        get_upstream: Callable[[str], UpstreamClient],
        on_update: UpdateListener,
        seed: int = 0,
        now_ms: Callable[[], float] | None = None,
        registry: EndpointRegistry | None = None,
        on_list_changed: ListListener | None = None,
    ) -> None:
        """Create a client; `run` starts to watch.

        :param address: address of the agent.
        :param initial_list: endpoint list to start with.
        :param get_upstream: returns the client for a node.
        :param on_update: receives each update of the list.
        :param seed: seed of the backoff's jitter.
        :param now_ms: returns the current time; by default that of a new `Clock`.
        :param registry: registry to update; by default a new one.
        :param on_list_changed: receives the complete list after each change.
        """
        self._get_upstream = get_upstream
        self.backoff = FullJitterBackoff(INITIAL_BACKOFF_MS, seed)
        self._on_update = on_update
        self._initial_list = initial_list
        self._now_ms = now_ms or Clock().now_ms
        self.registry = registry if registry is not None else EndpointRegistry()
        self.ready = False  # whether any list has contained a ready node, so that this gateway can serve
        self._max_backoff_ms = MAX_BACKOFF_MS
        self._freshness = WatchFreshness()
        self._is_pushed = False
        self.rows: dict[str, ServerRow] = {}  # list as received from discovery, by node
        self._on_list_changed = on_list_changed
        self.set_address(address)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings; the backoff is shorter if lists are pushed."""
        self._is_pushed = not settings.subscribed
        self._max_backoff_ms = MAX_BACKOFF_MS
        if self._is_pushed:
            pushed_ms = max(INITIAL_BACKOFF_MS, settings.drain_grace_ms * PUSHED_BACKOFF_RATIO)
            self._max_backoff_ms = min(MAX_BACKOFF_MS, pushed_ms)

    def set_address(self, address: tuple[str, int]) -> None:
        """Change to another agent and request its full list, because its list versions may differ."""
        self._url = f"http://{address[0]}:{address[1]}/discovery/hosts"
        self._version: int | None = None
        self._freshness.on_agent_changed(self._now_ms())
        self.registry.reset_versions()

    def load_known_list(self, source: Source = Source.CONFIGURED) -> None:
        """Apply the list known from configuration or storage, which may be out of date."""
        try:
            self._apply(self._initial_list, UpdateKind.CACHED, source)
        except EndpointListError as error:
            logger.warning("known endpoint list ignored, waiting for one from discovery: %s", error)

    def load_stored_list(self, stored: ServerList) -> bool:
        """Apply a list that this gateway has stored.

        :returns: False if the current list is at least as new.
        """
        if (self._version or 0) >= stored.version and self.ready:
            return False
        self._initial_list = stored
        self.load_known_list(Source.STORED)
        return True

    def apply_peer_report(self, node: str, incarnation: int, version: int, state: EndpointState) -> None:
        """Apply the state of a node as another gateway's list reports it."""
        change = self.registry.apply_peer_report(node, incarnation, version, state, self._now_ms())
        if change.endpoints:
            self._on_update(UpdateKind.CHANGES, version, change.endpoints, 0.0)

    def _apply(self, received: ServerList, kind: UpdateKind, source: Source = Source.DISCOVERY) -> None:
        """Apply a full list or changes, and report what has changed.

        :raises EndpointListError: the list is malformed, or removes too many nodes to be applied unconfirmed.
        """
        endpoints = tuple(parse_row(row, self._get_upstream) for row in received.servers)
        full = kind is not UpdateKind.CHANGES
        change = self.registry.apply_list(endpoints, received.version, full, source, self._now_ms())
        if change.held_back:
            self._version = None  # request the full list again; a removal that it confirms is applied
            raise EndpointListError(
                f"list version {received.version} removes too many nodes, requesting the full list again"
            )
        self._version = received.version
        # A gateway cannot serve if its list contains only draining or removed nodes.
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
            if row.state == LEFT_STATE:
                self.rows.pop(row.id, None)
            else:
                self.rows[row.id] = row

    @staticmethod
    def _create_session() -> aiohttp.ClientSession:
        # Without `never_resend`, aiohttp would silently resend a call whose connection failed: the watch
        # would appear uninterrupted, and a drain would count as announced later than it was.
        return aiohttp.ClientSession(timeout=SESSION_TIMEOUT, middlewares=(never_resend,), trust_env=False)

    async def fetch(self) -> None:
        """Request the full list once, on behalf of the scheduler; the watch continues concurrently."""
        try:
            async with self._create_session() as session:
                await self._request_list(session)
        except Exception:
            # Catches every type: whatever the agent sends, the scheduler must be notified of the failure.
            logger.warning("discovery: full list request failed, keeping the current list", exc_info=True)
            self._on_update(UpdateKind.FAILED, 0, (), 0.0)

    async def run(self) -> None:
        """Watch the list until cancelled; a failed call is retried after a backoff."""
        failures = 0
        async with self._create_session() as session:
            while True:
                started_ms = self._now_ms()
                try:
                    await self._request_list(session, self._version, watch=True)
                    failures = 0
                except Exception as error:
                    # Catches every type: whatever the agent sends, the watch must continue.
                    logger.warning("discovery: watch call failed, keeping the current list", exc_info=True)
                    await self._back_off(error, started_ms, failures)
                    failures += 1

    async def _back_off(self, error: Exception, started_ms: float, failures: int) -> None:
        timed_out = isinstance(error, TimeoutError)
        self._freshness.on_failure(started_ms, timed_out)
        if timed_out and self._is_pushed:
            return  # the call has already waited; an additional backoff would only make the list older
        overloaded = isinstance(error, DiscoveryOverloadedError)
        max_ms = MAX_BACKOFF_MS if overloaded else self._max_backoff_ms
        await asyncio.sleep(self.backoff.delay_ms(failures, max_ms) / 1000)

    async def _request_list(
        self,
        session: aiohttp.ClientSession,
        since: int | None = None,
        watch: bool = False,
    ) -> None:
        """Request the full list, or the changes after a version, and apply them.

        :param since: version after which changes are requested; None requests the full list.
        :param watch: whether the call belongs to the watch.
        :raises DiscoveryOverloadedError: the call was rejected.
        :raises EndpointListError: the list is malformed.
        :raises TimeoutError: the agent has not responded in time.
        """
        url, full = self._url, since is None
        params = {} if full else {"since": str(since), "timeout_ms": str(WATCH_WAIT_MS)}
        timeout_ms = FULL_LIST_TIMEOUT_MS if full else WATCH_TIMEOUT_MS
        async with asyncio.timeout(timeout_ms / 1000), session.get(url, params=params) as response:
            raw = await read_bounded(response.content, MAX_LIST_BYTES)
            if response.status != 200 or raw is None:
                raise DiscoveryOverloadedError(f"status {response.status}, or too long")
        if url != self._url:
            return  # response of the previous agent; it may be older than the list of the current one
        received = msgspec.json.decode(raw, type=ServerList)
        self._apply(received, UpdateKind.FULL if received.full else UpdateKind.CHANGES)
        if watch:
            self._freshness.on_response(self._now_ms())
