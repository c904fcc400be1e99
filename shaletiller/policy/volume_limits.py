"""Limits of a volume: rate limit and reservation of its plan, and weighted fair share of a node."""

from __future__ import annotations

from dataclasses import dataclass

from shaletiller.fleet.quotas import Allowance, Quota
from shaletiller.policy.class_fairness import ClassFairness
from shaletiller.rate_counters import DecayingRate, TokenBucket
from shaletiller.state.records import PendingRequest, Upstream, VolumeState
from shaletiller.state.runtime import PolicyState
from shaletiller.state.tiers import Tier
from shaletiller.state.volumes import unsent_units

# Headroom: the part of a bucket that is kept for higher classes where all other demand is theirs.  Empirical:
# more lets their next burst through, less leaves fewer tokens unused.
HEADROOM_PART = 0.8
# Headroom is taken of a bucket no larger than this part of what has flowed into it since it started empty: of
# a full one it would keep back all that a gateway just started has.  Empirical: more keeps headroom sooner,
# less rejects fewer requests after a start.
HEADROOM_OF_INFLOW = 0.15
MIN_WEIGHT = 1e-9  # where all plans weigh 0: nothing must be divided by that


@dataclass(slots=True, eq=False)
class VolumeLimits:
    """Judges requests by the token buckets of their volumes."""

    state: PolicyState
    fairness: ClassFairness

    def check_rate_limit(self, pending: PendingRequest) -> bool:
        """Rate limit: whether the volume's bucket has tokens for a request and all unsent ones before it.

        The limit holds for all gateways together and must never be exceeded.  So each spends its even part
        or its quota, never the plan's slack, and starts with an empty bucket: what a process before this one
        sent is not known.  Tokens are drawn when a request is sent (`draw_rate_limit`): drawn on arrival, the
        bucket would fill again while the request waits, and the send come on top.
        """
        volume, plan = pending.volume, pending.volume.plan
        volume.demand.count(pending.spec.name, pending.units)
        if plan.limit_rate <= 0:
            self.fairness.record_demand(pending)
            return True
        age_s = (self.state.now_ms - volume.rate_limit_since_ms) / 1000
        cap = min(plan.limit_burst, plan.limit_rate * age_s * HEADROOM_OF_INFLOW) / volume.gateways
        left = self._rate_limit_level(pending) - unsent_units(pending, self.state.pending.values())
        if left < 0:
            return False
        self.fairness.record_demand(pending)
        return left >= self._headroom(pending, cap) or self.fairness.is_owed_units(pending)

    def draw_rate_limit(self, pending: PendingRequest) -> None:
        """Draw a request's tokens from its volume's rate limit as it is sent for the first time."""
        self._rate_limit_level(pending)
        pending.volume.rate_limit.level -= pending.units

    def _rate_limit_level(self, pending: PendingRequest) -> float:
        """Return the bucket's level now, by the quota where a fleet assigns one (it may have expired)."""
        plan, part = pending.volume.plan, 1 / pending.volume.gateways
        even = Quota(Allowance(plan.limit_rate * part, plan.limit_burst * part))
        quota = self.state.volumes.quota(pending.request.volume) or even
        return pending.volume.rate_limit.fill_by_quota(self.state.now_ms, quota)

    def _headroom(self, pending: PendingRequest, cap: float) -> float:
        """Headroom for higher priority: tokens that a request has to leave in a bucket of this cap.

        Whoever came first would spend a volume's tokens; so they are kept in proportion to the share of
        higher classes in its demand, but for one request of this size.
        """
        higher_classes = self.state.site.higher_priority_classes[pending.spec.name]
        higher = pending.volume.demand.share_of(higher_classes)
        return max(0.0, min(HEADROOM_PART * cap * higher, cap - pending.units))

    def assign_tier(self, pending: PendingRequest, upstream: Upstream) -> Tier:
        """Draw tokens for the best tier of which the volume has some."""
        volume, volume_name, now_ms = pending.volume, pending.request.volume, self.state.now_ms
        reserved = volume.plan.reserved_rate > 0
        if reserved and self._draw(pending, volume.reservation, self._reserved_rate(volume)):
            return Tier.RESERVED
        upstream.excess_demand.setdefault(volume_name, DecayingRate()).add(now_ms, pending.units)
        rate = self._fair_share_rate(upstream, volume)
        full = TokenBucket(rate + self.state.site.settings.max_units, now_ms)
        bucket = volume.fair_shares.setdefault(upstream.shard, full)
        return Tier.FAIR_SHARE if self._draw(pending, bucket, rate) else Tier.EXCESS

    @staticmethod
    def _reserved_rate(volume: VolumeState) -> float:
        """Reservation: this gateway's even part in units a second, or more where others leave more of it."""
        reserved = volume.plan.reserved_rate
        return max(reserved / volume.gateways, reserved - volume.other_gateways_rate)

    def _fair_share_rate(self, upstream: Upstream, volume: VolumeState) -> float:
        """Weighted fair share: units a second of what the node serves past the reservations.

        As generalized processor sharing (A. Parekh, R. Gallager, 1993), divided by plan weight among the
        volumes that request more than they reserved.
        """
        site, now_ms = self.state.site, self.state.now_ms
        mean_units = site.settings.mean_units
        node_rate = upstream.concurrency_limit * 1000 / site.round_ms
        reserved = sum(queue.arrivals.rate(now_ms) for queue in upstream.reserved_queues) * mean_units
        # A volume takes part while it requests half a mean request a second or more.
        demands = upstream.excess_demand.items()
        taking_part = [name for name, demand in demands if demand.rate(now_ms) >= mean_units / 2]
        weight = sum(self.state.volumes[name].plan.weight for name in taking_part)
        return (
            max(0.0, node_rate - reserved) * volume.plan.weight / max(weight, volume.plan.weight, MIN_WEIGHT)
        )

    def _draw(self, pending: PendingRequest, bucket: TokenBucket, rate: float) -> bool:
        """Draw a request's tokens from a bucket that holds a second's worth and one largest request."""
        cap = rate + self.state.site.settings.max_units
        if bucket.fill(self.state.now_ms, rate, cap) < pending.units + self._headroom(pending, cap):
            return False
        bucket.level -= pending.units
        pending.drawn_from = bucket
        return True
