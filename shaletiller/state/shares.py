"""Shares of classes in recent demand, and the deficit counters that owe each class its share."""

from __future__ import annotations

from collections.abc import Container

FORGOTTEN_SHARE = 1e-3  # a name whose share falls below this is dropped, so that old names take no memory


class DecayingShares:
    """Each name's share of recent demand, by exponential decay a count (not by time).

    An exponentially weighted moving average (J. S. Hunter, 1986) over counts: a gateway may see a thousand
    requests a second or one in ten seconds, and about the last `memory` of them tell the mix.
    """

    def __init__(self, memory: int) -> None:
        """Start empty; about the last `memory` counts tell the shares."""
        self._decay = 1 - 1 / memory
        self._amounts: dict[str, float] = {}
        self._total = 0.0

    def count(self, name: str, amount: float = 1.0) -> None:
        """Count an amount, not negative, under a name."""
        for each in self._amounts:
            self._amounts[each] *= self._decay
        self._amounts[name] = self._amounts.get(name, 0.0) + amount
        self._total = sum(self._amounts.values())
        least = FORGOTTEN_SHARE * self._total
        self._amounts = {each: kept for each, kept in self._amounts.items() if kept >= least}

    def share(self, name: str) -> float:
        """Return a name's share, 0 to 1."""
        return self._amounts.get(name, 0.0) / self._total if self._total > 0 else 0.0

    def shares(self) -> list[tuple[str, float]]:
        """Return all names that are remembered, each with its share."""
        return [(name, self.share(name)) for name in self._amounts]

    def share_of(self, names: Container[str]) -> float:
        """Return the share of several names together."""
        return sum(self.share(name) for name in self._amounts if name in names)


class DeficitCounters:
    """The deficit counters of deficit round robin (M. Shreedhar, G. Varghese, 1995), one a name.

    Not in rounds of fixed quanta: whatever one name spends earns all names their shares of it.
    """

    def __init__(self) -> None:
        """Start with every name at 0."""
        self._deficits: dict[str, float] = {}

    def deficit(self, name: str) -> float:
        """Return what a name is still owed; below 0 it has had more than its share."""
        return self._deficits.get(name, 0.0)

    def spend(self, name: str, amount: float, earns: list[tuple[str, float]], most: float) -> None:
        """Charge an amount to one name and credit the others with their parts of it.

        :param earns: the names that are credited, each with its part of the amount.
        :param most: the bound of each deficit, in either direction.
        """
        deficits = {each: self.deficit(each) + part * amount for each, part in earns}
        deficits[name] = deficits.get(name, self.deficit(name)) - amount
        self._deficits = {each: max(-most, min(most, owed)) for each, owed in deficits.items()}
