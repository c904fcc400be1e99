"""The payoff split of Chen and Verma: the slots of each class that earn the most a second."""

from __future__ import annotations

import math
from dataclasses import dataclass
from functools import lru_cache

LEAST_RATE = 0.05  # a class asked for less often than this, in requests a second, gets only leftover
PENALTY = 0.0  # what a refusal costs in the payoff; the worth lost is counted by not earning it


@lru_cache(maxsize=1 << 13)
def batch_queue(arrival: float, batch: float, slots: int, rounds: int) -> tuple[float, float]:
    """Served rate and full-queue probability of M/M/1^[n]/Kn.

    Cutting between states gives arrival*P[j] = batch*(P[j+1]+...+P[min(j+n, Kn)]), run downward from full."""
    if slots == 0 or arrival <= 0:
        return 0.0, 1.0 if slots == 0 else 0.0
    top, ratio = slots * rounds, batch / arrival
    chance, window = [0.0] * top + [1.0], 1.0
    for j in range(top - 1, -1, -1):
        chance[j] = ratio * window
        window += chance[j] - (chance[j + slots] if j + slots <= top else 0.0)
        if window > 1e200:
            chance = [each * 1e-200 for each in chance]
            window *= 1e-200
    total = math.fsum(chance)
    served = batch * sum(min(j, slots) * each for j, each in enumerate(chance)) / total
    return served, chance[top] / total


def payoff_rate(arrival: float, batch: float, slots: int, rounds: int, priority_weight: float) -> float:
    """What a class earns a second with so many slots (equations 4 and 5 of the paper)."""
    served, full = batch_queue(arrival, batch, slots, rounds)
    return priority_weight * served - PENALTY * arrival * full


@dataclass(slots=True)
class Demand:
    """A class as the split sees it."""

    arrival: float  # requests a second
    priority_weight: float  # of one request
    units: float  # of one request
    rounds: int


def best_split(demands: list[Demand], capacity: float, batch: float) -> list[int]:
    """Slots for each class: always the step that adds most payoff for its units.

    The paper's search fixes one class after the other; payoff flattens, so this reaches at least as far."""
    slots, priority_weight, room = [0] * len(demands), [0.0] * len(demands), capacity

    def step(at: int) -> tuple[float, float]:
        """The payoff of one slot more for a class, and the gain for its units."""
        demand = demands[at]
        rate = payoff_rate(demand.arrival, batch, slots[at] + 1, demand.rounds, demand.priority_weight)
        return rate, (rate - priority_weight[at]) / demand.units

    steps = {at: step(at) for at, demand in enumerate(demands) if demand.arrival > 0}
    while True:
        best, best_gain = -1, 1e-9
        for at, (_, gain) in steps.items():
            if gain > best_gain and demands[at].units <= room:
                best, best_gain = at, gain
        if best < 0:
            return slots
        slots[best] += 1
        priority_weight[best] = steps[best][0]
        room -= demands[best].units
        steps[best] = step(best)  # no other class's step has changed


def rounded_rate(rate: float) -> float:
    """A rate to about a tenth, so that equal work is remembered.  One that has died away is none: on its way
    to zero it would pass ever new figures, each to be worked out and remembered."""
    return 0.0 if rate < LEAST_RATE else math.exp(round(math.log(rate) * 10) / 10)
