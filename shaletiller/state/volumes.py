"""Volumes with recent requests, and this gateway's quotas of limits that are shared by the fleet."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable

from shaletiller.fleet.quotas import Quota, QuotaBucket
from shaletiller.messages.events import AttemptEnded, QuotaUpdated, Request
from shaletiller.messages.outcomes import Outcome
from shaletiller.rate_counters import TokenBucket
from shaletiller.state.records import PendingRequest, Upstream, VolumeState
from shaletiller.state.site import SiteSettings

# A volume without requests for this time is removed, so that short-lived volumes do not accumulate in memory.
# It is kept if its rate limit takes longer than that to refill: if it were created again, its bucket would be
# full too early.
VOLUME_EXPIRY_MS = 15_000.0
# With more volumes than this, those whose rate limits refill in time are removed sooner, and more often:
# clients choose the names.  The time exceeds that of a request.
MAX_IDLE_VOLUMES = 2048
EARLY_EXPIRY_MS = 3000.0
EARLY_EXPIRY_INTERVAL_MS = 1000.0


class VolumeTable:
    """Volumes by name, and quotas by the name of a volume or of a node in slow start."""

    def __init__(self, site: SiteSettings) -> None:
        """Create an empty table."""
        self._site = site
        self._volumes: dict[str, VolumeState] = {}
        self._quotas: dict[str, Quota] = {}
        self._expired_ms = -math.inf  # when volumes were removed last

    def __len__(self) -> int:
        """Return the number of volumes in the table."""
        return len(self._volumes)

    def __contains__(self, name: str) -> bool:
        """Return whether a volume is in the table."""
        return name in self._volumes

    def __getitem__(self, name: str) -> VolumeState:
        """Return the volume with this name."""
        return self._volumes[name]

    def quota(self, name: str) -> Quota | None:
        """Return the quota of a volume's rate limit or a node's warm-up budget; None without a fleet."""
        return self._quotas.get(name)

    def handle_quota_updated(self, event: QuotaUpdated) -> None:
        """Set a quota that the fleet assigns to this gateway."""
        self._quotas[event.name] = event.quota

    def for_request(self, request: Request, now_ms: float, started_ms: float) -> VolumeState:
        """Return the volume of a request, which is created if it is not in the table.

        The bucket of a new volume's rate limit fills from empty since the start of the gateway.
        """
        plan, gateways = self._site.plans[request.plan], max(1, request.volume_gateways)
        volume = self._volumes.get(request.volume)
        if volume is None:
            buckets = TokenBucket(math.inf, now_ms), QuotaBucket(0.0, started_ms)
            volume = self._volumes[request.volume] = VolumeState(plan, gateways, *buckets, started_ms)
        elif volume.plan != plan:
            # The tokens spent under the previous plan do not carry over to the new one: its bucket starts
            # empty.
            volume.plan, volume.rate_limit = plan, QuotaBucket(0.0, now_ms)
            volume.rate_limit_since_ms = now_ms
        volume.last_request_ms = now_ms
        return volume

    def expire(self, upstreams: Collection[Upstream], now_ms: float) -> None:
        """Remove volumes without recent requests; does nothing more often than they expire."""
        is_crowded = len(self._volumes) > MAX_IDLE_VOLUMES
        expiry_ms = EARLY_EXPIRY_MS if is_crowded else VOLUME_EXPIRY_MS
        interval_ms = EARLY_EXPIRY_INTERVAL_MS if is_crowded else VOLUME_EXPIRY_MS
        if now_ms - self._expired_ms < interval_ms:
            return
        self._expired_ms = now_ms
        expired = {
            name
            for name, volume in self._volumes.items()
            if self._is_expired(name, volume, now_ms, expiry_ms)
        }
        for name in expired:
            del self._volumes[name]
            self._quotas.pop(name, None)
        for upstream in upstreams:
            for name in upstream.excess_demand.keys() & expired:
                del upstream.excess_demand[name]

    def _is_expired(self, name: str, volume: VolumeState, now_ms: float, expiry_ms: float) -> bool:
        """Whether a volume has had no requests for a time in which its limit refills.

        A quota is not published again soon: a volume that has one stays for the whole time.
        """
        idle_ms = now_ms - volume.last_request_ms
        if idle_ms < expiry_ms or (idle_ms < VOLUME_EXPIRY_MS and name in self._quotas):
            return False
        return volume.plan.limit_rate * expiry_ms / 1000 >= volume.plan.limit_burst

    def record_outcome(self, pending: PendingRequest, event: AttemptEnded, now_ms: float) -> None:
        """Update the rate that a volume uses through other gateways, from the usage reported by a node."""
        volume, served = pending.volume, event.outcome is Outcome.OK
        own_rate = volume.served_rate.add(now_ms, pending.units if served else 0.0)
        if event.usage_percent_plus_one > 0:
            total_rate = (event.usage_percent_plus_one - 1) / 100 * volume.plan.base_rate
            volume.other_gateways_rate = max(0.0, total_rate - own_rate)


def unsent_units(pending: PendingRequest, requests: Iterable[PendingRequest]) -> float:
    """Return the units of a request and of all other requests of its volume that were not attempted yet."""
    others = (
        other.units
        for other in requests
        if other.volume is pending.volume and not other.attempts_started and other is not pending
    )
    return pending.units + sum(others)
