"""Registry of storage nodes: the source, list version and receive time of each endpoint.

Endpoints come from the watch on discovery, from the configuration, or from a list that an earlier run stored.
Other gateways report departures.  Conflicting information on a node is resolved as follows:

- A newer incarnation (`started_ms`) overrides an older one, whatever its source.
- Within one incarnation the higher list version wins.  An older list, for example from a discovery service
  that was restored from a backup, does not bring back a node that has since started draining or left.
- Other gateways can only report a departure (draining, left) or withdraw such a report.  Nodes, addresses and
  incarnations are only added by this gateway's own list.
- A full list that would remove more than `MAX_REMOVED_FRACTION` of the nodes is applied only when the next
  full list leaves the same nodes: an erroneously empty list would stop all service.

Methods that change the registry return the change that the scheduler and the routes must be notified of.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from enum import Enum

from shaletiller.core.route import Endpoint
from shaletiller.messages.endpoints import EndpointState

# Largest fraction of the nodes learned from discovery that one full list may remove without confirmation.
# Sites take a smaller fraction out of service in one step.  A smaller value delays genuine changes by one
# call to discovery; a larger value lets faulty lists through.
MAX_REMOVED_FRACTION = 0.5
# With fewer nodes from discovery every list is applied, as a single node is already a large fraction.
MIN_CHECKED_ENDPOINTS = 4
# How long a departure is remembered.  It must exceed the age, relative to the departure, of any list that is
# still in transit or that a restored discovery service may send.
DEPARTURE_TTL_MS = 600_000.0

# Called with (node, incarnation, list version, state) when discovery reports a state change that must be
# announced to other gateways.
DepartureListener = Callable[[str, int, int, EndpointState], None]


class Source(Enum):
    """Where an endpoint was learned from; the values are parts of STATS keys."""

    DISCOVERY = "discovery"
    CONFIGURED = "given"
    STORED = "kept"


@dataclass(slots=True, frozen=True)
class RegistryEntry:
    """An endpoint of this gateway's own list.

    `version` is the version of the list that last named the node, `received_ms` the time of its receipt.
    """

    endpoint: Endpoint
    source: Source
    version: int
    received_ms: float


@dataclass(slots=True, frozen=True)
class Departure:
    """The state of a node's incarnation as of a list version: draining, left, or ready again.

    `from_peer` is True if another gateway reported the state, and False if it comes from this gateway's own
    list.
    """

    incarnation: int
    version: int
    state: EndpointState
    received_ms: float
    from_peer: bool = False


@dataclass(slots=True, frozen=True)
class RegistryChange:
    """The effect of a list or report: a replaced list (`full`), or only the endpoints that changed.

    If `held_back` is set, nothing was changed because the list would remove too many nodes; the caller must
    request the full list again.
    """

    full: bool = False
    endpoints: tuple[Endpoint, ...] = ()
    held_back: bool = False


def incarnation_of(endpoint: Endpoint) -> int:
    """Return the incarnation of an endpoint's node, or 0 if the list does not state one."""
    return int(endpoint.entry.started_ms)


def _ignore_departure(node: str, incarnation: int, version: int, state: EndpointState) -> None:
    """Ignore a departure; the default listener."""


class EndpointRegistry:
    """The endpoints and known departures, by node."""

    def __init__(self, on_departure: DepartureListener = _ignore_departure) -> None:
        """Create an empty registry.

        :param on_departure: called for each departure that discovery reports, and for a ready node only if a
            departure of the same incarnation was known before.
        """
        self._on_departure = on_departure
        self.entries: dict[str, RegistryEntry] = {}
        self._departures: dict[str, Departure] = {}
        self.version: int | None = None  # version of the current list; None before the first list
        self.received_ms = 0.0
        self.held_back_lists = 0  # number of lists that were not applied
        # The nodes that would remain after the list that was held back; None if none awaits confirmation.
        self._unconfirmed_nodes: frozenset[str] | None = None
        self._highest_version = 0  # highest list version received from the current discovery service

    def reset_versions(self) -> None:
        """Discard versions and departures after a switch to another discovery service.

        Versions of different discovery services are not comparable.
        """
        self.version, self._highest_version, self._unconfirmed_nodes = None, 0, None
        self.entries = {node: replace(entry, version=0) for node, entry in self.entries.items()}
        self._departures.clear()

    def apply_list(
        self,
        endpoints: Sequence[Endpoint],
        version: int,
        full: bool,
        source: Source,
        now_ms: float,
    ) -> RegistryChange:
        """Apply a full list or an incremental update.

        :returns: the change; `held_back` is set if a full list from discovery awaits confirmation.
        """
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
        """Return whether a full list removes too many nodes and has not been confirmed by a second one."""
        known = {node for node, entry in self.entries.items() if entry.source is Source.DISCOVERY}
        remaining = frozenset(
            endpoint.entry.node for endpoint in endpoints if endpoint.entry.state is not EndpointState.GONE
        )
        removes_too_many = len(known) >= MIN_CHECKED_ENDPOINTS and len(
            known - remaining
        ) > MAX_REMOVED_FRACTION * len(known)
        if not removes_too_many or remaining == self._unconfirmed_nodes:
            self._unconfirmed_nodes = None
            return False
        self._unconfirmed_nodes = remaining
        self.held_back_lists += 1
        return True

    def _remove_unlisted(
        self,
        endpoints: Sequence[Endpoint],
        version: int,
        source: Source,
        now_ms: float,
    ) -> None:
        """Remove the nodes that are missing from a full list."""
        listed = {endpoint.entry.node for endpoint in endpoints}
        for node, entry in list(self.entries.items()):
            if node not in listed:
                # A node that was only known from a configured or stored list is removed without a departure:
                # that list may have been wrong, so other gateways must not be notified.
                authority = source if entry.source is Source.DISCOVERY else entry.source
                self._remove(entry.endpoint, version, authority, now_ms)

    def _confirms_removal(self, endpoint: Endpoint, is_older: bool) -> bool:
        """Return whether a GONE entry applies: an older list cannot know about a newer incarnation."""
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
        """Add or update an endpoint.

        :returns: the endpoint with any known departure applied.
        """
        node = endpoint.entry.node
        known = self.entries.get(node)
        if known is not None and is_older and incarnation_of(endpoint) < incarnation_of(known.endpoint):
            endpoint = known.endpoint  # an older list cannot know about the newer incarnation
        self.entries[node] = RegistryEntry(endpoint, source, version, now_ms)
        if source is Source.DISCOVERY:
            self._record_state(endpoint, version, now_ms)
        return self.with_departure(endpoint)

    def _remove(self, endpoint: Endpoint, version: int, source: Source, now_ms: float) -> None:
        node, incarnation = endpoint.entry.node, incarnation_of(endpoint)
        self.entries.pop(node, None)
        if source is Source.DISCOVERY:
            self._departures[node] = Departure(incarnation, version, EndpointState.GONE, now_ms)
            self._on_departure(node, incarnation, version, EndpointState.GONE)

    def _record_state(self, endpoint: Endpoint, version: int, now_ms: float) -> None:
        """Record a state reported by discovery, and announce it if it is new."""
        node, incarnation, state = endpoint.entry.node, incarnation_of(endpoint), endpoint.entry.state
        departure = self._departures.get(node)
        if departure is None:
            is_same_incarnation = False
        else:
            is_same_incarnation = departure.incarnation == incarnation
            is_newer = departure.incarnation > incarnation or (
                is_same_incarnation and departure.version > version
            )
            if is_newer or (is_same_incarnation and departure.state is state):
                return
        if state is EndpointState.DRAINING or is_same_incarnation:
            self._departures[node] = Departure(incarnation, version, state, now_ms)
            self._on_departure(node, incarnation, version, state)
        elif departure is not None:
            del self._departures[node]  # belongs to an earlier incarnation

    def with_departure(self, endpoint: Endpoint) -> Endpoint:
        """Return the endpoint with the state of a known departure of its incarnation applied."""
        departure = self._departures.get(endpoint.entry.node)
        if (
            departure is None
            or departure.incarnation != incarnation_of(endpoint)
            or departure.state is EndpointState.READY
        ):
            return endpoint
        if endpoint.entry.state is EndpointState.DRAINING and departure.state is EndpointState.DRAINING:
            return endpoint
        return replace(endpoint, entry=replace(endpoint.entry, state=departure.state))

    def _expire_departures(self, now_ms: float) -> None:
        self._departures = {
            node: departure
            for node, departure in self._departures.items()
            if now_ms - departure.received_ms < DEPARTURE_TTL_MS
        }

    def apply_peer_report(
        self,
        node: str,
        incarnation: int,
        version: int,
        state: EndpointState,
        now_ms: float,
    ) -> RegistryChange:
        """Apply a state reported by another gateway for one incarnation: draining, left, or ready again."""
        departure, entry = self._departures.get(node), self.entries.get(node)
        if departure is not None and (departure.incarnation, departure.version) >= (incarnation, version):
            return RegistryChange()
        if entry is not None and entry.source is Source.DISCOVERY and entry.version >= version:
            return RegistryChange()  # this gateway's own list is at least as new
        before = self.with_departure(entry.endpoint) if entry is not None else None
        self._departures[node] = Departure(incarnation, version, state, now_ms, from_peer=True)
        if entry is None or before is None or incarnation_of(entry.endpoint) != incarnation:
            return RegistryChange()
        after = self.with_departure(entry.endpoint)
        if after.entry.state is before.entry.state:
            return RegistryChange()
        return RegistryChange(False, (after,))

    def stats(self, now_ms: float) -> dict[str, int]:
        """Return the metrics of the endpoint list for the operators' STATS command."""
        sources = [entry.source for entry in self.entries.values()]
        return {
            "nodes.version": self.version or 0,
            "nodes.list_age_ms": int(now_ms - self.received_ms) if self.version is not None else -1,
            **{f"nodes.{source.value}": sources.count(source) for source in Source},
            "nodes.by_news": sum(
                departure.from_peer and departure.state is not EndpointState.READY
                for departure in self._departures.values()
            ),
            "nodes.held_back": self.held_back_lists,
        }
