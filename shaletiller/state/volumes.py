"""The volumes that have asked of late, and what this host may spend of the fleet's limits."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable

from shaletiller.fleet.quotas import Quota, QuotaBucket
from shaletiller.messages.events import AttemptEnded, QuotaUpdated, Request
from shaletiller.messages.outcomes import Outcome
from shaletiller.rate_counters import TokenBucket
from shaletiller.state.records import Pending, Upstream, Volume
from shaletiller.state.site import Site

FORGET_MS = 15_000.0  # a volume that asks for nothing so long is forgotten: its stores are full again


class Volumes:
    """A table of volumes by name, and of shares by the name of a volume or of a cold node."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._volumes: dict[str, Volume] = {}
        self._shares: dict[str, Quota] = {}
        self._forget_ms = 0.0

    def __len__(self) -> int:
        return len(self._volumes)

    def __contains__(self, name: str) -> bool:
        return name in self._volumes

    def __getitem__(self, name: str) -> Volume:
        return self._volumes[name]

    def share(self, name: str) -> Quota | None:
        """This host's share of a volume's limit or a cold node's budget, where the fleet deals it out."""
        return self._shares.get(name)

    def take_share(self, event: QuotaUpdated) -> None:
        self._shares[event.name] = event.share

    def of(self, ask: Request, now_ms: float, start_ms: float) -> Volume:
        """The volume that a request is for.  The store of its limit begins empty when the host starts."""
        plan, gateways = self._site.plans[ask.plan], max(1, ask.volume_gateways)
        volume = self._volumes.get(ask.volume)
        if volume is None:
            stores = TokenBucket(math.inf, now_ms), QuotaBucket(0.0, start_ms)
            volume = self._volumes[ask.volume] = Volume(plan, gateways, *stores, start_ms)
        elif volume.plan != plan:  # of new settings: what was drawn under the old ones is not known of these
            volume.plan, volume.limit, volume.limit_since_ms = plan, QuotaBucket(0.0, now_ms), now_ms
        volume.asked_ms = now_ms
        return volume

    def forget(self, upstreams: Collection[Upstream], now_ms: float) -> None:
        """Volumes come and go for as long as a host lives."""
        if now_ms < self._forget_ms:
            return
        self._forget_ms = now_ms + FORGET_MS
        for name in [name for name, each in self._volumes.items() if self._is_old(each, now_ms)]:
            del self._volumes[name]
            self._shares.pop(name, None)
            for upstream in upstreams:
                upstream.excess.pop(name, None)

    @staticmethod
    def _is_old(volume: Volume, now_ms: float) -> bool:
        fills = volume.plan.limit_rate * FORGET_MS / 1000 >= volume.plan.limit_burst
        return fills and now_ms - volume.asked_ms >= FORGET_MS

    def learn_served(self, pending: Pending, event: AttemptEnded, now_ms: float) -> None:
        """What the other hosts served of a volume, as far as its late total tells."""
        volume, served = pending.volume, event.outcome is Outcome.OK
        mine = volume.served.add(now_ms, pending.ask.units if served else 0.0)
        if event.usage_percent_plus_one > 0:
            total = (event.usage_percent_plus_one - 1) / 100 * volume.plan.base_rate
            volume.others_rate = max(0.0, total - mine)


def unsent_units(pending: Pending, known: Iterable[Pending]) -> float:
    """The units of a request and of all others of its volume that have not been sent yet."""
    others = (
        each.ask.units
        for each in known
        if each.volume is pending.volume and not each.sends and each is not pending
    )
    return pending.ask.units + sum(others)
