"""The settings in force and the figures derived from them."""

from __future__ import annotations

from dataclasses import replace

from shaletiller.settings.model import ClassSpec, Settings
from shaletiller.state.records import PendingRequest
from shaletiller.state.tiers import QueueKey, QueueSpec, Tier

# A scheduling round lasts this part of the tightest latency objective: a request that waits for the next
# round still has half of its objective left for the node.
ROUND_PART = 0.5
MIN_VALUE = 1e-9  # of the highest value, where all weights are 0: values are divided by it


class SiteSettings:
    """Shared by all parts of the policy; new settings change it in place."""

    def __init__(self, settings: Settings) -> None:
        """Take the first settings."""
        self.update(settings, settings.classes)

    def update(self, settings: Settings, classes: tuple[ClassSpec, ...]) -> None:
        """Take new settings.

        :param classes: those of the settings, and removed ones of which requests are still under way.
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
        self.round_ms = self.tightest_objective_ms * ROUND_PART
        tier_weights = {
            Tier.RESERVED: 1.0,
            Tier.FAIR_SHARE: settings.fair_share_tier_weight,
            Tier.EXCESS: settings.excess_tier_weight,
        }
        self.queue_specs = tuple(
            self._queue_spec(spec, tier, weight) for spec in classes for tier, weight in tier_weights.items()
        )
        top = max(spec.priority_weight for spec in settings.classes) * max(tier_weights.values())
        self.highest_value = max(top * max(plan.value_factor for plan in settings.plans), MIN_VALUE)

    def _queue_spec(self, spec: ClassSpec, tier: Tier, tier_weight: float) -> QueueSpec:
        return QueueSpec(
            QueueKey(spec.name, tier),
            spec.priority_weight * tier_weight,
            tier_weight,
            spec.latency_objective_ms,
            max(1, int(spec.latency_objective_ms // self.round_ms)),
        )

    def relative_value(self, pending: PendingRequest) -> float:
        """Return the value of a request as a part of the highest that any request has at this site."""
        return pending.queue.spec.priority_weight * pending.volume.plan.value_factor / self.highest_value
