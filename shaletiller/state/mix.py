"""The parts of several names in what was counted of late, remembered by counts and not by time.

A gateway may see a thousand requests a second or one in ten seconds; the last so many of them are the mix."""

from __future__ import annotations

from collections.abc import Container

LEAST_PART = 1e-3  # what has become less of the mix is forgotten


class DecayingShares:
    """Each count takes one part in `memory` of the mix."""

    def __init__(self, memory: int) -> None:
        self._kept = 1 - 1 / memory
        self._parts: dict[str, float] = {}
        self._total = 0.0

    def count(self, name: str, amount: float = 1.0) -> None:
        """Count an amount of what is not negative."""
        for each in self._parts:
            self._parts[each] *= self._kept
        self._parts[name] = self._parts.get(name, 0.0) + amount
        self._total = sum(self._parts.values())
        self._parts = {each: part for each, part in self._parts.items() if part >= LEAST_PART * self._total}

    def share(self, name: str) -> float:
        """A name's part of the whole, 0 to 1."""
        return self._parts.get(name, 0.0) / self._total if self._total > 0 else 0.0

    def shares(self) -> list[tuple[str, float]]:
        """All names that are in the mix with their parts."""
        return [(name, self.share(name)) for name in self._parts]

    def share_of(self, names: Container[str]) -> float:
        """The part of several names together."""
        return sum(self.share(name) for name in self._parts if name in names)


class DeficitCounters:
    """An account a name: what is spent by one earns all of them their shares."""

    def __init__(self) -> None:
        self._credit: dict[str, float] = {}

    def of(self, name: str) -> float:
        """What a name has had too little; below 0, too much."""
        return self._credit.get(name, 0.0)

    def spend(self, name: str, amount: float, earns: list[tuple[str, float]], most: float) -> None:
        """Charge an amount to a name and give each of `earns` its part of it, within `most` either way."""
        credit = {each: self.of(each) + part * amount for each, part in earns}
        credit[name] = credit.get(name, self.of(name)) - amount
        self._credit = {each: max(-most, min(most, left)) for each, left in credit.items()}
