"""Tests of the payoff against the paper's closed forms, an independent solution and exhaustive search."""

from __future__ import annotations

import itertools
from fractions import Fraction

import pytest

from shaletiller.policy.payoff import Demand, batch_queue, best_split, payoff_rate

CASES = [(0.5, 4.0, 1), (3.0, 8.0, 2), (20.0, 8.0, 3), (60.0, 4.0, 7), (9.0, 1.0, 12)]


def appendix_a(lam: float, mu: float, n: int) -> list[float]:
    states = [mu / lam * (lam / (lam + mu)) ** (j + 1) for j in range(n)]
    return [*states, (lam / (lam + mu)) ** n]


def appendix_b(lam: float, mu: float, n: int) -> list[float]:
    r, m = (lam + mu) / lam, mu / lam
    full = 1 / (r ** (2 * n) - n * m * r ** (n - 1))
    low = [
        (m * r ** (2 * n - 1 - j) - m * r ** (n - 2 - j) * (lam + (n - j) * mu) / lam) * full
        for j in range(n)
    ]
    return [*low, *(m * r ** (2 * n - 1 - j) * full for j in range(n, 2 * n)), full]


def solve_chain(lam: int, mu: int, n: int, rounds: int) -> list[Fraction]:
    """Return the state probabilities, by exact elimination of the global balance equations."""
    size = n * rounds + 1
    rows = [[Fraction(0)] * (size + 1) for _ in range(size)]
    for j in range(size):
        if j + 1 < size:
            rows[j][j] -= lam
            rows[j + 1][j] += lam
        if j > 0:
            rows[j][j] -= mu
            rows[max(0, j - n)][j] += mu
    rows[-1] = [Fraction(1)] * (size + 1)
    for column in range(size):
        pivot = next(row for row in range(column, size) if rows[row][column] != 0)
        rows[column], rows[pivot] = rows[pivot], rows[column]
        rows[column] = [value / rows[column][column] for value in rows[column]]
        for row in range(size):
            if row != column and rows[row][column]:
                rows[row] = [x - rows[row][column] * y for x, y in zip(rows[row], rows[column], strict=True)]
    return [row[-1] for row in rows]


def rates(states: list[float], mu: float, n: int) -> tuple[float, float]:
    return sum(min(j, n) * mu * p for j, p in enumerate(states)), states[-1]


@pytest.mark.parametrize(("lam", "mu", "n"), CASES)
def test_one_round_is_appendix_a(lam: float, mu: float, n: int) -> None:
    """With one round, the result equals the closed form of appendix A of the paper."""
    assert batch_queue(lam, mu, n, 1) == pytest.approx(rates(appendix_a(lam, mu, n), mu, n))


@pytest.mark.parametrize(("lam", "mu", "n"), CASES)
def test_two_rounds_are_appendix_b(lam: float, mu: float, n: int) -> None:
    """With two rounds, the result equals the closed form of appendix B of the paper."""
    assert batch_queue(lam, mu, n, 2) == pytest.approx(rates(appendix_b(lam, mu, n), mu, n))


@pytest.mark.parametrize(("lam", "mu", "n", "rounds"), [(5, 2, 2, 4), (9, 8, 3, 3), (2, 7, 1, 5)])
def test_more_rounds_are_the_solved_chain(lam: int, mu: int, n: int, rounds: int) -> None:
    """With more rounds, the result equals the exact solution of the balance equations."""
    states = [float(probability) for probability in solve_chain(lam, mu, n, rounds)]
    assert batch_queue(lam, mu, n, rounds) == pytest.approx(rates(states, mu, n))


def test_very_light_arrivals_do_not_overflow() -> None:
    """Very low arrival rates do not overflow.

    The unnormalized probabilities of the states then differ by more than the range of a float, and are
    scaled.
    """
    served, full = batch_queue(1e-3, 20.0, 32, 16)
    assert served == pytest.approx(1e-3, rel=1e-6)
    assert full == pytest.approx(0.0, abs=1e-9)


def test_the_cost_of_a_rejection_is_charged_for_the_full_queue(monkeypatch: pytest.MonkeyPatch) -> None:
    """A cost of rejections lowers the payoff for each arrival at a full queue."""
    served, full = batch_queue(20.0, 8.0, 1, 2)
    monkeypatch.setattr("shaletiller.policy.payoff.REJECTION_COST", 0.5)
    assert payoff_rate(20.0, 8.0, 1, 2, 3.0) == pytest.approx(3 * served - 0.5 * 20 * full)


def total(demands: list[Demand], slots: tuple[int, ...], batch: float) -> float:
    return sum(
        payoff_rate(d.arrival_rate, batch, n, d.rounds, d.priority_weight)
        for d, n in zip(demands, slots, strict=True)
    )


@pytest.mark.parametrize(
    "demands",
    [
        [Demand(12, 3, 1, 2), Demand(30, 1, 1, 8)],
        [Demand(40, 3, 1, 2), Demand(40, 1.2, 1, 3), Demand(60, 0.1, 1, 8)],
        [Demand(5, 1, 1, 2), Demand(0, 9, 1, 2), Demand(50, 2, 1, 4)],
    ],
)
def test_the_split_equals_exhaustive_search(demands: list[Demand]) -> None:
    """The payoff of the greedy division equals the maximum over all divisions."""
    capacity, batch = 9, 8.0
    greedy = best_split(demands, capacity, batch)
    divisions = (
        slots
        for slots in itertools.product(range(capacity + 1), repeat=len(demands))
        if sum(slots) <= capacity
    )
    assert sum(greedy) <= capacity
    best = max(total(demands, slots, batch) for slots in divisions)
    assert total(demands, tuple(greedy), batch) == pytest.approx(best, rel=1e-6)


def test_the_split_gives_an_idle_queue_nothing() -> None:
    """A queue without arrivals gets no slots, even if it has the highest weight."""
    assert best_split([Demand(0, 9, 1, 2), Demand(3, 1, 1, 2)], 6, 8.0)[0] == 0
