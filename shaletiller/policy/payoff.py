"""The payoff split of Chen and Verma: the slots of each queue that earn the most a second."""

from __future__ import annotations

import math
from dataclasses import dataclass
from functools import lru_cache

# Requests a second below which a queue gets no slots of its own, only capacity left over: slots for it would
# stand empty most of the time.
MIN_ARRIVAL_RATE = 0.05
# The paper's cost of a rejection.  None here: the weight that a rejection loses is not earned, which counts.
REJECTION_COST = 0.0
# Probabilities are computed relative to each other; larger figures are scaled down, or they would overflow.
OVERFLOW_GUARD, SCALE_DOWN = 1e200, 1e-200
# The least gain a unit for which a slot is given: less is rounding, and the split would never end.
MIN_GAIN = 1e-9


@lru_cache(maxsize=1 << 13)
def batch_queue(arrival_rate: float, batch_rate: float, slots: int, rounds: int) -> tuple[float, float]:
    """Solve the paper's queue with batch service, M/M/1^[n]/Kn.

    Cutting between states gives arrival*P[j] = batch*(P[j+1]+...+P[min(j+n, Kn)]), computed downward from the
    full queue.

    :param arrival_rate: requests a second.
    :param batch_rate: batches a second, one a round.
    :param slots: n, the requests of a batch.
    :param rounds: K, the batches that fit into the queue.
    :returns: the requests served a second, and the probability that the queue is full.
    """
    if slots == 0 or arrival_rate <= 0:
        return 0.0, 1.0 if slots == 0 else 0.0
    top, ratio = slots * rounds, batch_rate / arrival_rate
    chance, window = [0.0] * top + [1.0], 1.0
    for j in range(top - 1, -1, -1):
        chance[j] = ratio * window
        window += chance[j] - (chance[j + slots] if j + slots <= top else 0.0)
        if window > OVERFLOW_GUARD:
            chance = [each * SCALE_DOWN for each in chance]
            window *= SCALE_DOWN
    total = math.fsum(chance)
    served = batch_rate * sum(min(j, slots) * each for j, each in enumerate(chance)) / total
    return served, chance[top] / total


def payoff_rate(arrival_rate: float, batch_rate: float, slots: int, rounds: int, weight: float) -> float:
    """Return what a queue earns a second with so many slots (equations 4 and 5 of the paper)."""
    served, full = batch_queue(arrival_rate, batch_rate, slots, rounds)
    return weight * served - REJECTION_COST * arrival_rate * full


@dataclass(slots=True)
class Demand:
    """A queue as the split sees it: arrivals a second, the weight and units of a request, its rounds."""

    arrival_rate: float
    priority_weight: float
    units: float
    rounds: int


def best_split(demands: list[Demand], capacity: float, batch_rate: float) -> list[int]:
    """Divide a capacity in units into slots for each demand.

    Greedy: always the slot that adds most payoff for its units.  The paper's search fixes one class after the
    other; payoff flattens with each slot, so this finds at least as good a split.
    """
    slots, payoffs, free = [0] * len(demands), [0.0] * len(demands), capacity

    def next_slot(at: int) -> tuple[float, float]:
        """Return the payoff of a demand with one slot more, and the gain for each of its units."""
        of = demands[at]
        rate = payoff_rate(of.arrival_rate, batch_rate, slots[at] + 1, of.rounds, of.priority_weight)
        return rate, (rate - payoffs[at]) / of.units

    candidates = {at: next_slot(at) for at, demand in enumerate(demands) if demand.arrival_rate > 0}
    while True:
        best, best_gain = -1, MIN_GAIN
        for at, (_, gain) in candidates.items():
            if gain > best_gain and demands[at].units <= free:
                best, best_gain = at, gain
        if best < 0:
            return slots
        slots[best] += 1
        payoffs[best] = candidates[best][0]
        free -= demands[best].units
        candidates[best] = next_slot(best)  # no other demand's next slot has changed


def rounded_rate(rate: float) -> float:
    """Round a rate to about a tenth, so that results of `batch_queue` are found in its cache.

    A rate that has decayed counts as none: on its way to zero it would pass ever new figures, each of which
    would be computed and cached.
    """
    return 0.0 if rate < MIN_ARRIVAL_RATE else math.exp(round(math.log(rate) * 10) / 10)
