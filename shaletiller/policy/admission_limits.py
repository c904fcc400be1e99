"""What a volume may have: its plan's limit, its reserve and its weighted share of a node."""

from __future__ import annotations

from collections.abc import Iterable

from shaletiller.fleet.quotas import Amount, Quota
from shaletiller.policy.fair_share import Guarantee
from shaletiller.rate_counters import DecayingRate, TokenBucket
from shaletiller.state.records import BANDS, BEYOND, RESERVE, SHARE, Pending, Upstream, Volume
from shaletiller.state.site import Site
from shaletiller.state.volumes import Volumes, unsent_units

KEPT_PART = 0.8  # of a store, where all else that its volume asks for is worth more
AGE_PART = 0.15  # of what a limit's store has let in since it began empty, so much is kept at the most


class Limits:
    """Judges requests by the stores of their volumes."""

    def __init__(self, site: Site, volumes: Volumes, guarantee: Guarantee) -> None:
        self._site, self._volumes, self._guarantee = site, volumes, guarantee

    def allows(self, pending: Pending, known: Iterable[Pending], now_ms: float) -> bool:
        """Rule 5 needs proof: spend only this host's even part, empty at the start, for what was sent before
        a restart is forgotten; never the slack.  What waits counts, and is drawn at its send: drawn at once,
        the store would fill again meanwhile and the send come on top."""
        pending.volume.asked.count(pending.spec.name, pending.ask.units)
        if pending.volume.plan.limit_rate <= 0:
            self._guarantee.count_asked(pending)
            return True
        plan, age_s = pending.volume.plan, (now_ms - pending.volume.limit_since_ms) / 1000
        cap = min(plan.limit_burst, plan.limit_rate * age_s * AGE_PART) / pending.volume.gateways
        left = self._level(pending, now_ms) - unsent_units(pending, known)
        if left < 0:
            return False
        self._guarantee.count_asked(pending)
        return left >= self._kept(pending, cap) or self._guarantee.owes_units(pending)

    def _kept(self, pending: Pending, cap: float) -> float:
        """What is kept of a store for the classes of its volume that are worth more."""
        ahead = pending.volume.asked.share_of(self._site.paid_more[pending.spec.name])
        return max(0.0, min(KEPT_PART * cap * ahead, cap - pending.ask.units))

    def draw(self, pending: Pending, now_ms: float) -> None:
        """Take a request's units from its volume's limit as it is sent."""
        self._level(pending, now_ms)
        pending.volume.limit.level -= pending.ask.units

    def _level(self, pending: Pending, now_ms: float) -> float:
        """Where the fleet deals out the limit, by the share in hand at this moment: a lease may be over."""
        plan, part = pending.volume.plan, 1 / pending.volume.gateways
        even = Quota(Amount(plan.limit_rate * part, plan.limit_burst * part))
        return pending.volume.limit.by_share(now_ms, self._volumes.share(pending.ask.volume) or even)

    def band(self, pending: Pending, upstream: Upstream, now_ms: float) -> int:
        """Whether the volume is inside its reserve, its weighted share of the node, or beyond."""
        volume, units, most = pending.volume, pending.ask.units, self._site.settings.max_units
        if volume.plan.reserved_rate > 0:
            mine = max(
                volume.plan.reserved_rate / volume.gateways, volume.plan.reserved_rate - volume.others_rate
            )
            if self._draw(pending, volume.reserved_rate, mine, now_ms):
                return RESERVE
        upstream.excess.setdefault(pending.ask.volume, DecayingRate()).add(now_ms, units)
        rate = self._share_rate(upstream, volume, now_ms)
        store = volume.shares.setdefault(upstream.shard, TokenBucket(rate + most, now_ms))
        return SHARE if self._draw(pending, store, rate, now_ms) else BEYOND

    def _draw(self, pending: Pending, store: TokenBucket, rate: float, now_ms: float) -> bool:
        """Take its units from a store of a second and one largest request, until it ends unsent."""
        units, cap = pending.ask.units, rate + self._site.settings.max_units
        if store.fill(now_ms, rate, cap) < units + self._kept(pending, cap):
            return False
        store.level -= units
        pending.drawn = store
        return True

    def _share_rate(self, upstream: Upstream, volume: Volume, now_ms: float) -> float:
        """This host's part of the node past the reserves, by weight among the volumes that ask for more."""
        mean_units = self._site.settings.mean_units
        power = upstream.capacity * 1000 / self._site.round_ms
        reserved = sum(asked.add(now_ms) for asked in upstream.asked[RESERVE::BANDS]) * mean_units
        asking = [name for name, asked in upstream.excess.items() if asked.add(now_ms) >= mean_units / 2]
        weight = sum(self._volumes[name].plan.weight for name in asking)
        return max(0.0, power - reserved) * volume.plan.weight / max(weight, volume.plan.weight, 1e-9)
