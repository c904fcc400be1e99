"""Tiers of service, and the queues of an upstream: one for each request class in each tier."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple


class Tier(IntEnum):
    """What a volume is still entitled to at the time of a request, best first."""

    RESERVED = 0  # within the reserved rate of its plan
    FAIR_SHARE = 1  # within its weighted fair share of the node
    EXCESS = 2  # beyond both: served only from capacity that is left over


class QueueKey(NamedTuple):
    """Names one queue of an upstream."""

    request_class: str
    tier: Tier


@dataclass(slots=True, frozen=True)
class QueueSpec:
    """What the settings in force say about a queue; the same at each upstream.

    :param priority_weight: what serving one of its requests is worth: the class's weight times the tier's.
    :param tier_weight: the tier's part of that, 0 to 1.
    :param latency_objective_ms: of its class.
    :param rounds: scheduling rounds for which a request may wait within its latency objective.
    """

    key: QueueKey
    priority_weight: float
    tier_weight: float
    latency_objective_ms: float
    rounds: int
