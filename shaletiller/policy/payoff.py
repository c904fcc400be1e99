"""Division of capacity into slots for each queue that maximizes payoff, after Chen and Verma."""

from __future__ import annotations

import math
from dataclasses import dataclass
from functools import lru_cache

# Arrival rate, in requests a second, below which a queue gets no slots of its own and uses only remaining
# capacity: its slots would be idle most of the time.
MIN_ARRIVAL_RATE = 0.05
# Cost of a rejection in the paper, in units of priority weight.  It is 0 here because a rejection already
# loses the weight that the request would have earned.
REJECTION_COST = 0.0
# State probabilities are computed without normalization.  Values above the guard are scaled down, as they
# would overflow.
OVERFLOW_GUARD, SCALE_DOWN = 1e200, 1e-200
# Minimum gain of payoff per unit for which a slot is added.  Smaller gains are rounding errors, with which
# the division would never terminate.
MIN_GAIN = 1e-9


@lru_cache(maxsize=1 << 13)
def batch_queue(arrival_rate: float, batch_rate: float, slots: int, rounds: int) -> tuple[float, float]:
    """Solve the batch-service queue of the paper, M/M/1^[n]/Kn.

    The balance equation across the cut between states j and j+1 is
    arrival*P[j] = batch*(P[j+1]+...+P[min(j+n, Kn)]); it is solved downward from the state of a full queue.

    :param arrival_rate: requests a second.
    :param batch_rate: batches a second; one batch is sent in each round.
    :param slots: n, the number of requests in a batch.
    :param rounds: K, the number of batches that fit into the queue.
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
    """Return the payoff a second of a queue with this number of slots (equations 4 and 5 of the paper)."""
    served, full = batch_queue(arrival_rate, batch_rate, slots, rounds)
    return weight * served - REJECTION_COST * arrival_rate * full


@dataclass(slots=True)
class Demand:
    """The demand of one queue.

    :param arrival_rate: requests a second.
    :param priority_weight: payoff of a served request.
    :param units: cost units of a request.
    :param rounds: scheduling rounds for which a request may wait.
    """

    arrival_rate: float
    priority_weight: float
    units: float
    rounds: int


def best_split(demands: list[Demand], capacity: float, batch_rate: float) -> list[int]:
    """Divide a capacity in units into slots for each demand.

    Uses a greedy algorithm that always adds the slot with the largest gain of payoff per unit.  The paper
    searches the slots of one class after the other.  As each further slot of a queue gains less, the greedy
    division is at least as good.

    :returns: the number of slots of each demand, in the same order.
    """
    slots, payoffs, free = [0] * len(demands), [0.0] * len(demands), capacity

    def next_slot(at: int) -> tuple[float, float]:
        """Return the payoff of a demand with one more slot, and the gain per unit."""
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
    """Round a rate to about a tenth of its value, to increase the cache hits of `batch_queue`.

    Rates below MIN_ARRIVAL_RATE are rounded to 0.  Otherwise a rate that decays towards 0 would produce new
    values without end, each of which would be computed and cached.
    """
    return 0.0 if rate < MIN_ARRIVAL_RATE else math.exp(round(math.log(rate) * 10) / 10)
