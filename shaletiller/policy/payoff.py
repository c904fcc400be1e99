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
    capacity, ratio = slots * rounds, batch_rate / arrival_rate
    probabilities, window_sum = [0.0] * capacity + [1.0], 1.0
    for state in range(capacity - 1, -1, -1):
        probabilities[state] = ratio * window_sum
        window_sum += probabilities[state] - (
            probabilities[state + slots] if state + slots <= capacity else 0.0
        )
        if window_sum > OVERFLOW_GUARD:
            probabilities = [probability * SCALE_DOWN for probability in probabilities]
            window_sum *= SCALE_DOWN
    total = math.fsum(probabilities)
    served = (
        batch_rate
        * sum(min(state, slots) * probability for state, probability in enumerate(probabilities))
        / total
    )
    return served, probabilities[capacity] / total


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
    slots, payoffs, free_units = [0] * len(demands), [0.0] * len(demands), capacity

    def next_slot(index: int) -> tuple[float, float]:
        """Return the payoff of a demand with one more slot, and the gain per unit."""
        queue = demands[index]
        rate = payoff_rate(
            queue.arrival_rate, batch_rate, slots[index] + 1, queue.rounds, queue.priority_weight
        )
        return rate, (rate - payoffs[index]) / queue.units

    candidates = {index: next_slot(index) for index, demand in enumerate(demands) if demand.arrival_rate > 0}
    while True:
        best_index, best_gain = -1, MIN_GAIN
        for index, (_, gain) in candidates.items():
            if gain > best_gain and demands[index].units <= free_units:
                best_index, best_gain = index, gain
        if best_index < 0:
            return slots
        slots[best_index] += 1
        payoffs[best_index] = candidates[best_index][0]
        free_units -= demands[best_index].units
        candidates[best_index] = next_slot(best_index)  # no other demand's next slot has changed


def rounded_rate(rate: float) -> float:
    """Round a rate to about a tenth of its value, to increase the cache hits of `batch_queue`.

    Rates below MIN_ARRIVAL_RATE are rounded to 0.  Otherwise a rate that decays towards 0 would produce new
    values without end, each of which would be computed and cached.
    """
    return 0.0 if rate < MIN_ARRIVAL_RATE else math.exp(round(math.log(rate) * 10) / 10)
