"""Service tiers, and the keys and specs of queues: an upstream has one for each class and tier."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple


class Tier(IntEnum):
    """The entitlement of a volume at the time of a request, best tier first."""

    RESERVED = 0  # within the reserved rate of its plan
    FAIR_SHARE = 1  # within its weighted fair share of the node
    EXCESS = 2  # beyond both; served from remaining capacity only


class QueueKey(NamedTuple):
    """Identifies a queue of an upstream."""

    request_class: str
    tier: Tier


@dataclass(slots=True, frozen=True)
class QueueSpec:
    """Parameters of a queue by the current settings; they are the same at each upstream.

    :param priority_weight: payoff of a served request: the weight of the class times the weight of the tier.
    :param tier_weight: weight of the tier, 0 to 1.
    :param latency_objective_ms: latency objective of the class.
    :param rounds: scheduling rounds for which a request may wait within its latency objective.
    """

    key: QueueKey
    priority_weight: float
    tier_weight: float
    latency_objective_ms: float
    rounds: int
