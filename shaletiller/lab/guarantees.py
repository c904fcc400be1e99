"""The guarantees checked after a run: each with its bound and what was measured."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, Literal

MAX_PRINTED_VIOLATIONS = 10  # of one guarantee: enough to find a pattern


@dataclass(slots=True, frozen=True)
class Guarantee:
    """One check; the field names are keys of the JSON report.

    :param bound: the limit of what may be measured.
    :param sense: `at most`: the measured value must not be above the bound; `at least`: not below it.
    :param unit: of both values.
    :param note: printed after the result.
    :param violations: the story of each case that breaks it, printed where it is not kept.
    """

    name: str
    bound: float
    measured: float
    sense: Literal["at most", "at least"] = "at most"
    unit: str = ""
    note: str = ""
    violations: tuple[str, ...] = ()

    @property
    def kept(self) -> bool:
        """Whether the guarantee holds."""
        return self.measured <= self.bound if self.sense == "at most" else self.measured >= self.bound


@dataclass
class Outcome:
    """The result of a run; the field names are keys of the JSON report.

    :param name: of the scenario.
    :param guarantees: what was checked.
    :param figures: other measurements, which are shown and not checked.
    :param course: the faults as they were applied, with their times, as text.
    """

    name: str
    seed: int
    guarantees: list[Guarantee] = field(default_factory=list)
    figures: dict[str, Any] = field(default_factory=dict)
    course: list[str] = field(default_factory=list)

    @property
    def kept(self) -> bool:
        """Whether all guarantees hold."""
        return all(each.kept for each in self.guarantees)

    def plain(self) -> dict[str, Any]:
        """Return the content of the JSON report."""
        return {
            **asdict(self),
            "kept": self.kept,
            "guarantees": [{**asdict(each), "kept": each.kept} for each in self.guarantees],
        }

    def write(self, path: Path) -> None:
        """Write the JSON report."""
        path.write_text(json.dumps(self.plain(), indent=1, default=str) + "\n")

    def lines(self) -> Iterable[str]:
        """Return a line for each guarantee, `ok` or `!!`, and what violates those that are not kept."""
        width = max((len(each.name) for each in self.guarantees), default=0)
        for each in self.guarantees:
            result = f"{each.measured:10.3f} {each.unit:6} {each.sense} {each.bound:g}"
            note = f"  {each.note}" if each.note else ""
            yield f"{'ok' if each.kept else '!!'} {each.name:{width}} {result}{note}"
            if not each.kept:
                yield from (f"   {violation}" for violation in each.violations[:MAX_PRINTED_VIOLATIONS])


def count(values: Iterable[str]) -> dict[str, int]:
    """Return how often each value occurs, in the order of the values."""
    return dict(sorted(Counter(values).items()))
