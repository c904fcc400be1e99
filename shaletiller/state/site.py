"""The settings in force and the figures that follow from them."""

from __future__ import annotations

from dataclasses import replace

from shaletiller.settings.model import ClassSpec, Settings
from shaletiller.state.records import BANDS, Pending

ROUND_PART = 0.5  # a round lasts this part of the tightest aim


class Site:
    """One object that all parts of the decisions share; new settings change it in place."""

    def __init__(self, settings: Settings) -> None:
        self.update(settings, settings.classes)

    def update(self, settings: Settings, classes: tuple[ClassSpec, ...]) -> None:
        """Take new settings.  `classes` may hold more than theirs: those of requests under way."""
        self.settings = replace(settings, classes=classes)
        self.class_index = {spec.name: at for at, spec in enumerate(classes)}
        self.plans = {plan.name: plan for plan in settings.plans}
        # For each class those that are worth more.
        self.paid_more = {
            spec.name: frozenset(each.name for each in classes if each.priority_weight > spec.priority_weight)
            for spec in classes
        }
        self.kinds = len(classes) * BANDS
        self.tightest_aim_ms = min(spec.latency_objective_ms for spec in settings.classes)
        self.round_ms = self.tightest_aim_ms * ROUND_PART
        self.rounds = [max(1, int(spec.latency_objective_ms // self.round_ms)) for spec in classes]
        self.zones = (1.0, settings.fair_share_tier_weight, settings.excess_tier_weight)
        self.priority_weight = [spec.priority_weight * zone for spec in classes for zone in self.zones]
        rank = [
            (-priority_weight, classes[kind // BANDS].latency_objective_ms)
            for kind, priority_weight in enumerate(self.priority_weight)
        ]
        self.best_paid_first = sorted(range(self.kinds), key=rank.__getitem__)  # not by where a site lists it
        top = max(spec.priority_weight for spec in settings.classes) * max(self.zones)
        self._best_pay = max(top * max(plan.value_factor for plan in settings.plans), 1e-9)

    def pay(self, pending: Pending) -> float:
        """A request's worth as a part of the most that any has here."""
        return self.priority_weight[pending.kind] * pending.volume.plan.value_factor / self._best_pay
