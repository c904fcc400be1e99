"""Limits of a volume: the rate limit and reservation of its plan, and its weighted fair share of a node."""

from __future__ import annotations

from dataclasses import dataclass

from shaletiller.fleet.quotas import Allowance, Quota
from shaletiller.policy.class_fairness import ClassFairness
from shaletiller.rate_counters import DecayingRate, TokenBucket
from shaletiller.state.records import PendingRequest, Upstream, VolumeState
from shaletiller.state.runtime import PolicyState
from shaletiller.state.tiers import Tier
from shaletiller.state.volumes import unsent_units

# Ratio of a bucket that is reserved as headroom for classes of higher priority if they have all of the
# demand.  A larger ratio admits larger bursts of these classes; a smaller ratio leaves fewer tokens unused.
HEADROOM_RATIO = 0.8
# Headroom is computed for a bucket of at most this ratio of the tokens added since the bucket was created
# empty.  Headroom of the full burst would withhold all tokens of a gateway that has just started.  A larger
# ratio provides headroom sooner; a smaller ratio rejects fewer requests after a start.
HEADROOM_INFLOW_RATIO = 0.15
MIN_WEIGHT = 1e-9  # lower bound of a divisor; all plans may have a weight of 0


@dataclass(slots=True, eq=False)
class VolumeLimits:
    """Checks requests against the token buckets of their volumes."""

    state: PolicyState
    fairness: ClassFairness

    def check_rate_limit(self, pending: PendingRequest) -> bool:
        """Return whether the volume's rate limit has tokens for a request and all earlier unsent requests.

        The limit applies to all gateways together and must never be exceeded.  Each gateway therefore spends
        only its equal share or its quota, never the plan's slack.  It starts with an empty bucket, as it does
        not know what an earlier process of the gateway has sent.  Tokens are drawn when a request is sent
        (see `draw_rate_limit`).  If they were drawn on arrival, the bucket would refill while the request
        waits, and the request would be sent in addition to a full burst.
        """
        volume, plan = pending.volume, pending.volume.plan
        volume.demand.count(pending.spec.name, pending.units)
        if plan.limit_rate <= 0:
            self.fairness.record_demand(pending)
            return True
        age_s = (self.state.now_ms - volume.rate_limit_since_ms) / 1000
        capacity = min(plan.limit_burst, plan.limit_rate * age_s * HEADROOM_INFLOW_RATIO) / volume.gateways
        remaining = self._rate_limit_level(pending) - unsent_units(pending, self.state.pending.values())
        if remaining < 0:
            return False
        self.fairness.record_demand(pending)
        return remaining >= self._headroom(pending, capacity) or self.fairness.is_owed_units(pending)

    def draw_rate_limit(self, pending: PendingRequest) -> None:
        """Draw a request's tokens from its volume's rate limit; called for its first attempt."""
        self._rate_limit_level(pending)
        pending.volume.rate_limit.level -= pending.units

    def _rate_limit_level(self, pending: PendingRequest) -> float:
        """Return the current level of the rate limit's bucket.

        The bucket fills by the quota that the fleet assigns, which may have expired, else by an equal share.
        """
        plan, fraction = pending.volume.plan, 1 / pending.volume.gateways
        equal_share = Quota(Allowance(plan.limit_rate * fraction, plan.limit_burst * fraction))
        quota = self.state.volumes.quota(pending.request.volume) or equal_share
        return pending.volume.rate_limit.fill_by_quota(self.state.now_ms, quota)

    def _headroom(self, pending: PendingRequest, capacity: float) -> float:
        """Return the tokens that a request must leave in a bucket, for classes of higher priority.

        Without headroom a volume's tokens would be spent in order of arrival.  Headroom is proportional to
        the share of higher classes in the volume's demand; a full bucket always admits one request of this
        size.

        :param capacity: capacity of the bucket, in units.
        """
        higher_classes = self.state.site.higher_priority_classes[pending.spec.name]
        higher_share = pending.volume.demand.share_of(higher_classes)
        return max(0.0, min(HEADROOM_RATIO * capacity * higher_share, capacity - pending.units))

    def assign_tier(self, pending: PendingRequest, upstream: Upstream) -> Tier:
        """Return the best tier for which the volume has tokens, and draw them."""
        volume, volume_name, now_ms = pending.volume, pending.request.volume, self.state.now_ms
        reserved = volume.plan.reserved_rate > 0
        if reserved and self._draw_tokens(pending, volume.reservation, self._reserved_rate(volume)):
            return Tier.RESERVED
        upstream.excess_demand.setdefault(volume_name, DecayingRate()).add(now_ms, pending.units)
        rate = self._fair_share_rate(upstream, volume)
        full_bucket = TokenBucket(rate + self.state.site.settings.max_units, now_ms)
        bucket = volume.fair_shares.setdefault(upstream.shard, full_bucket)
        return Tier.FAIR_SHARE if self._draw_tokens(pending, bucket, rate) else Tier.EXCESS

    @staticmethod
    def _reserved_rate(volume: VolumeState) -> float:
        """Return the rate of the reservation for this gateway, in units a second.

        It is an equal share, or what the other gateways leave of the reservation if that is more.
        """
        reserved = volume.plan.reserved_rate
        return max(reserved / volume.gateways, reserved - volume.other_gateways_rate)

    def _fair_share_rate(self, upstream: Upstream, volume: VolumeState) -> float:
        """Return the weighted fair share of a volume, in units a second.

        The capacity of the node beyond the reservations is divided by plan weight among the volumes that
        request more than they reserved, as in generalized processor sharing (A. Parekh, R. Gallager, 1993).
        """
        site, now_ms = self.state.site, self.state.now_ms
        mean_units = site.settings.mean_units
        node_rate = upstream.concurrency_limit * 1000 / site.round_ms
        reserved = sum(queue.arrivals.rate(now_ms) for queue in upstream.reserved_queues) * mean_units
        # A volume participates while it requests at least half a request of mean units a second.
        demands = upstream.excess_demand.items()
        participants = [name for name, demand in demands if demand.rate(now_ms) >= mean_units / 2]
        weight = sum(self.state.volumes[name].plan.weight for name in participants)
        return (
            max(0.0, node_rate - reserved) * volume.plan.weight / max(weight, volume.plan.weight, MIN_WEIGHT)
        )

    def _draw_tokens(self, pending: PendingRequest, bucket: TokenBucket, rate: float) -> bool:
        """Draw a request's tokens from a bucket; return whether it has enough.

        The capacity of the bucket is one second at its rate plus one request of maximum units.
        """
        capacity = rate + self.state.site.settings.max_units
        if bucket.fill(self.state.now_ms, rate, capacity) < pending.units + self._headroom(pending, capacity):
            return False
        bucket.level -= pending.units
        pending.drawn_from = bucket
        return True
