"""Shares of names (such as classes) in recent demand, and deficit counters."""

from __future__ import annotations

from collections.abc import Container

MIN_SHARE = 1e-3  # names with a smaller share are dropped, so that unused names take no memory


class DecayingShares:
    """The share of each name in recent demand, with exponential decay for each count, not over time.

    This is an exponentially weighted moving average (J. S. Hunter, 1986) over counts.  A gateway may receive
    a thousand requests a second or one in ten seconds; in both cases the mix is estimated from about the last
    `window` requests.
    """

    def __init__(self, window: int) -> None:
        """Create empty shares, which are determined by about the last `window` counts."""
        self._decay = 1 - 1 / window
        self._amounts: dict[str, float] = {}
        self._total = 0.0

    def count(self, name: str, amount: float = 1.0) -> None:
        """Add a non-negative amount to a name."""
        for key in self._amounts:
            self._amounts[key] *= self._decay
        self._amounts[name] = self._amounts.get(name, 0.0) + amount
        self._total = sum(self._amounts.values())
        min_amount = MIN_SHARE * self._total
        self._amounts = {
            key: remaining for key, remaining in self._amounts.items() if remaining >= min_amount
        }

    def share(self, name: str) -> float:
        """Return the share of a name, from 0 to 1."""
        return self._amounts.get(name, 0.0) / self._total if self._total > 0 else 0.0

    def shares(self) -> list[tuple[str, float]]:
        """Return all known names with their shares."""
        return [(name, self.share(name)) for name in self._amounts]

    def share_of(self, names: Container[str]) -> float:
        """Return the total share of several names."""
        return sum(self.share(name) for name in self._amounts if name in names)


class DeficitCounters:
    """The deficit counters of deficit round robin (M. Shreedhar, G. Varghese, 1995), one for each name.

    Unlike the original there are no rounds with a fixed quantum: each amount that is spent by one name
    credits all names with their shares of it.
    """

    def __init__(self) -> None:
        """Create counters that are 0 for every name."""
        self._deficits: dict[str, float] = {}

    def deficit(self, name: str) -> float:
        """Return the amount that a name is owed, negative if it has received more than its share."""
        return self._deficits.get(name, 0.0)

    def spend(
        self, name: str, amount: float, credit_ratios: list[tuple[str, float]], max_deficit: float
    ) -> None:
        """Charge an amount to a name, and credit names with their shares of it.

        :param credit_ratios: the names to credit, with the ratio of the amount that each receives.
        :param max_deficit: maximum absolute value of each deficit.
        """
        deficits = {key: self.deficit(key) + fraction * amount for key, fraction in credit_ratios}
        deficits[name] = deficits.get(name, self.deficit(name)) - amount
        self._deficits = {key: max(-max_deficit, min(max_deficit, owed)) for key, owed in deficits.items()}
