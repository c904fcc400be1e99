"""The current settings, and values derived from them."""

from __future__ import annotations

from dataclasses import replace

from shaletiller.settings.model import ClassSpec, Settings
from shaletiller.state.records import PendingRequest
from shaletiller.state.tiers import QueueKey, QueueSpec, Tier

# Duration of a scheduling round, as a ratio of the tightest latency objective.  A request that waits for the
# next round still has half of its objective left for the node.
ROUND_OBJECTIVE_RATIO = 0.5
MIN_VALUE = 1e-9  # lower bound of the highest value, which is a divisor; all weights may be 0


class SiteSettings:
    """Settings shared by all components of the policy; new settings are applied in place."""

    def __init__(self, settings: Settings) -> None:
        """Create the site settings from the settings at the start of the gateway."""
        self.update(settings, settings.classes)

    def update(self, settings: Settings, classes: tuple[ClassSpec, ...]) -> None:
        """Apply new settings.

        :param classes: the classes of the settings, and removed classes that still have requests in progress.
        """
        self.settings = replace(settings, classes=classes)
        self.class_specs = {spec.name: spec for spec in classes}
        self.plans = {plan.name: plan for plan in settings.plans}
        self.higher_priority_classes = {
            spec.name: frozenset(
                other.name for other in classes if other.priority_weight > spec.priority_weight
            )
            for spec in classes
        }
        self.tightest_objective_ms = min(spec.latency_objective_ms for spec in settings.classes)
        self.round_ms = self.tightest_objective_ms * ROUND_OBJECTIVE_RATIO
        tier_weights = {
            Tier.RESERVED: 1.0,
            Tier.FAIR_SHARE: settings.fair_share_tier_weight,
            Tier.EXCESS: settings.excess_tier_weight,
        }
        self.queue_specs = tuple(
            self._queue_spec(spec, tier, weight) for spec in classes for tier, weight in tier_weights.items()
        )
        max_weight = max(spec.priority_weight for spec in settings.classes) * max(tier_weights.values())
        self.highest_value = max(max_weight * max(plan.value_factor for plan in settings.plans), MIN_VALUE)

    def _queue_spec(self, spec: ClassSpec, tier: Tier, tier_weight: float) -> QueueSpec:
        return QueueSpec(
            QueueKey(spec.name, tier),
            spec.priority_weight * tier_weight,
            tier_weight,
            spec.latency_objective_ms,
            max(1, int(spec.latency_objective_ms // self.round_ms)),
        )

    def relative_value(self, pending: PendingRequest) -> float:
        """Return the ratio of a request's value to the highest value of any request at this site."""
        return pending.queue.spec.priority_weight * pending.volume.plan.value_factor / self.highest_value
