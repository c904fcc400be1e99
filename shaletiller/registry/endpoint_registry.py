"""The known storage nodes: from which source, of which list version, and since when.

Sources are discovery's watch, a list given by the configuration or stored earlier, and other gateways.  If
two of them disagree on a node:

- A newer incarnation (`started_ms`) overrides an older one, whatever the source.
- Within one incarnation the higher list version wins.  An older list, from a discovery restored from a
  backup, brings no node back that is known to drain or to have left since.
- Other gateways can only report a departure (draining, left) or take such a report back.  They never add a
  node, an address or an incarnation: only this gateway's own list does.
- A full list that would remove more than `MAX_REMOVED_PART` of the nodes is applied only when a second one in
  a row says the same: a list that is empty by mistake would stop all service.

Each method that changes the registry returns what the scheduler and the routes must be notified of.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from enum import Enum

from shaletiller.core.route import Endpoint
from shaletiller.messages.endpoints import EndpointState

# Of the nodes learned from discovery.  Empirical: a site takes a smaller part out of service in one step; a
# lower value delays real changes by one call, a higher one lets a faulty list through.
MAX_REMOVED_PART = 0.5
MIN_CHECKED_ENDPOINTS = 4  # with fewer nodes from discovery any list is applied: one node is a large part
# How long a departure is remembered.  Empirical: longer than any list that is still on its way, or a restored
# one, is older than the departure.
DEPARTURE_TTL_MS = 600_000.0

# Called with (node, incarnation, list version, state) when discovery reports a change that other gateways
# should know.
DepartureListener = Callable[[str, int, int, EndpointState], None]


class Source(Enum):
    """Where a node was learned from; the values are parts of STATS keys."""

    DISCOVERY = "discovery"
    CONFIGURED = "given"
    STORED = "kept"


@dataclass(slots=True, frozen=True)
class RegistryEntry:
    """A node of this gateway's own list: its source, the list's version, and when it was received (ms)."""

    endpoint: Endpoint
    source: Source
    version: int
    received_ms: float


@dataclass(slots=True, frozen=True)
class Departure:
    """A node's incarnation is draining, has left, or is ready after all, as of a list version.

    `from_peer`: another gateway reported it, and not this gateway's own list.
    """

    incarnation: int
    version: int
    state: EndpointState
    received_ms: float
    from_peer: bool = False


@dataclass(slots=True, frozen=True)
class RegistryChange:
    """What to notify others of: the full list, or only the endpoints that changed.

    `held_back`: nothing changed, for the list removes too much; it has to be requested again.
    """

    full: bool = False
    endpoints: tuple[Endpoint, ...] = ()
    held_back: bool = False


def incarnation_of(endpoint: Endpoint) -> int:
    """Return the incarnation of an endpoint's node; 0 where its list does not name one."""
    return int(endpoint.entry.started_ms)


def _ignore_departure(node: str, incarnation: int, version: int, state: EndpointState) -> None:
    """Notify no other gateway."""


class EndpointRegistry:
    """The endpoints by node, with the departures known of them."""

    def __init__(self, on_departure: DepartureListener = _ignore_departure) -> None:
        """Make an empty registry.

        :param on_departure: notified of each departure that discovery reports, and of a node's being ready
        only
            where it had been reported otherwise.
        """
        self._on_departure = on_departure
        self.entries: dict[str, RegistryEntry] = {}
        self._departures: dict[str, Departure] = {}
        self.version: int | None = None  # of the list in use, None if there is none
        self.received_ms = 0.0
        self.held_back = 0  # lists so far that were not applied
        self._unconfirmed: frozenset[str] | None = None  # the nodes that the list held back last would leave
        self._highest_version = 0  # seen from the present discovery

    def reset_versions(self) -> None:
        """Forget versions and departures: another discovery counts its own versions, which do not compare."""
        self.version, self._highest_version, self._unconfirmed = None, 0, None
        self.entries = {node: replace(entry, version=0) for node, entry in self.entries.items()}
        self._departures.clear()

    # ---- this gateway's own list

    def apply_list(
        self,
        endpoints: Sequence[Endpoint],
        version: int,
        full: bool,
        source: Source,
        now_ms: float,
    ) -> RegistryChange:
        """Apply a full list, or the changes in one."""
        self._expire_departures(now_ms)
        if full and source is Source.DISCOVERY and self._must_hold_back(endpoints):
            return RegistryChange(held_back=True)
        is_older = version < self._highest_version
        self._highest_version = max(version, self._highest_version)
        self.version, self.received_ms = version, now_ms
        if full:
            self._remove_unlisted(endpoints, version, source, now_ms)
        changed = []
        for endpoint in endpoints:
            if endpoint.entry.state is not EndpointState.GONE:
                changed.append(self._update(endpoint, version, is_older, source, now_ms))
            elif self._confirms_removal(endpoint, is_older):
                known = self.entries.get(endpoint.entry.node)
                self._remove(known.endpoint if known is not None else endpoint, version, source, now_ms)
                changed.append(endpoint)
        return RegistryChange(full, tuple(changed))

    def _must_hold_back(self, endpoints: Sequence[Endpoint]) -> bool:
        """Whether a full list removes too much to be applied at the first time."""
        known = {node for node, entry in self.entries.items() if entry.source is Source.DISCOVERY}
        remaining = frozenset(
            endpoint.entry.node for endpoint in endpoints if endpoint.entry.state is not EndpointState.GONE
        )
        removes_much = len(known) >= MIN_CHECKED_ENDPOINTS and len(
            known - remaining
        ) > MAX_REMOVED_PART * len(known)
        if not removes_much or remaining == self._unconfirmed:
            self._unconfirmed = None
            return False
        self._unconfirmed = remaining
        self.held_back += 1
        return True

    def _remove_unlisted(
        self,
        endpoints: Sequence[Endpoint],
        version: int,
        source: Source,
        now_ms: float,
    ) -> None:
        """Remove the nodes that a full list does not name."""
        listed = {endpoint.entry.node for endpoint in endpoints}
        for node, entry in list(self.entries.items()):
            if node not in listed:
                # A node that only a configured or stored list had is removed without a departure: that list
                # may be wrong, and other gateways must not be notified of it.
                authority = source if entry.source is Source.DISCOVERY else entry.source
                self._remove(entry.endpoint, version, authority, now_ms)

    def _confirms_removal(self, endpoint: Endpoint, is_older: bool) -> bool:
        """Whether a listed departure holds: an older list cannot know of a newer incarnation."""
        known = self.entries.get(endpoint.entry.node)
        return (
            known is None or incarnation_of(endpoint) in (0, incarnation_of(known.endpoint)) or not is_older
        )

    def _update(
        self,
        endpoint: Endpoint,
        version: int,
        is_older: bool,
        source: Source,
        now_ms: float,
    ) -> Endpoint:
        """Add or update a node.

        :returns: the endpoint as others are to see it.
        """
        node = endpoint.entry.node
        known = self.entries.get(node)
        if known is not None and is_older and incarnation_of(endpoint) < incarnation_of(known.endpoint):
            endpoint = known.endpoint  # an older list cannot know of the newer incarnation
        self.entries[node] = RegistryEntry(endpoint, source, version, now_ms)
        if source is Source.DISCOVERY:
            self._note_state(endpoint, version, now_ms)
        return self.with_departure(endpoint)

    def _remove(self, endpoint: Endpoint, version: int, source: Source, now_ms: float) -> None:
        node, incarnation = endpoint.entry.node, incarnation_of(endpoint)
        self.entries.pop(node, None)
        if source is Source.DISCOVERY:
            self._departures[node] = Departure(incarnation, version, EndpointState.GONE, now_ms)
            self._on_departure(node, incarnation, version, EndpointState.GONE)

    def _note_state(self, endpoint: Endpoint, version: int, now_ms: float) -> None:
        """Remember and announce a state from discovery where it is new."""
        node, incarnation, state = endpoint.entry.node, incarnation_of(endpoint), endpoint.entry.state
        known = self._departures.get(node)
        if known is None:
            is_same_incarnation = False
        else:
            is_same_incarnation = known.incarnation == incarnation
            is_newer = known.incarnation > incarnation or (is_same_incarnation and known.version > version)
            if is_newer or (is_same_incarnation and known.state is state):
                return
        if state is EndpointState.DRAINING or is_same_incarnation:
            self._departures[node] = Departure(incarnation, version, state, now_ms)
            self._on_departure(node, incarnation, version, state)
        elif known is not None:
            del self._departures[node]  # of an earlier incarnation

    def with_departure(self, endpoint: Endpoint) -> Endpoint:
        """Return an endpoint of the own list, in the state that is known of its incarnation since."""
        known = self._departures.get(endpoint.entry.node)
        if (
            known is None
            or known.incarnation != incarnation_of(endpoint)
            or known.state is EndpointState.READY
        ):
            return endpoint
        if endpoint.entry.state is EndpointState.DRAINING and known.state is EndpointState.DRAINING:
            return endpoint
        return replace(endpoint, entry=replace(endpoint.entry, state=known.state))

    def _expire_departures(self, now_ms: float) -> None:
        self._departures = {
            node: known
            for node, known in self._departures.items()
            if now_ms - known.received_ms < DEPARTURE_TTL_MS
        }

    # ---- reports of other gateways

    def apply_peer_report(
        self,
        node: str,
        incarnation: int,
        version: int,
        state: EndpointState,
        now_ms: float,
    ) -> RegistryChange:
        """Apply what another gateway's list reports of an incarnation: draining, left, or ready again."""
        known, entry = self._departures.get(node), self.entries.get(node)
        if known is not None and (known.incarnation, known.version) >= (incarnation, version):
            return RegistryChange()
        if entry is not None and entry.source is Source.DISCOVERY and entry.version >= version:
            return RegistryChange()  # the own list is as new
        before = self.with_departure(entry.endpoint) if entry is not None else None
        self._departures[node] = Departure(incarnation, version, state, now_ms, from_peer=True)
        if entry is None or before is None or incarnation_of(entry.endpoint) != incarnation:
            return RegistryChange()
        after = self.with_departure(entry.endpoint)
        if after.entry.state is before.entry.state:
            return RegistryChange()
        return RegistryChange(False, (after,))

    # ---- metrics

    def stats(self, now_ms: float) -> dict[str, int]:
        """Return the metrics of the list for the operators' STATS."""
        sources = [entry.source for entry in self.entries.values()]
        return {
            "nodes.version": self.version or 0,
            "nodes.list_age_ms": int(now_ms - self.received_ms) if self.version is not None else -1,
            **{f"nodes.{source.value}": sources.count(source) for source in Source},
            "nodes.by_news": sum(
                known.from_peer and known.state is not EndpointState.READY
                for known in self._departures.values()
            ),
            "nodes.held_back": self.held_back,
        }
