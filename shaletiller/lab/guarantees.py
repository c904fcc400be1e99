"""The guarantees checked after a run, each with its bound and the measured value, and the report of a run."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, Literal

MAX_PRINTED_VIOLATIONS = 10  # for each guarantee; enough to recognize a pattern


@dataclass(slots=True, frozen=True)
class Guarantee:
    """A guarantee and its measured value; the field names are keys of the JSON report.

    :param bound: upper or lower bound of the measured value.
    :param sense: whether `bound` is an upper bound (`at most`) or a lower bound (`at least`).
    :param unit: unit of `bound` and `measured`.
    :param note: additional text, printed after the result.
    :param violations: a description of each violation, printed if the guarantee does not hold.
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

    :param name: name of the scenario.
    :param guarantees: the guarantees checked.
    :param figures: other measurements, which are reported but not checked.
    :param course: the faults applied and their times, as text.
    """

    name: str
    seed: int
    guarantees: list[Guarantee] = field(default_factory=list)
    figures: dict[str, Any] = field(default_factory=dict)
    course: list[str] = field(default_factory=list)

    @property
    def kept(self) -> bool:
        """Whether all guarantees hold."""
        return all(guarantee.kept for guarantee in self.guarantees)

    def to_json(self) -> dict[str, Any]:
        """Return the content of the JSON report."""
        return {
            **asdict(self),
            "kept": self.kept,
            "guarantees": [{**asdict(guarantee), "kept": guarantee.kept} for guarantee in self.guarantees],
        }

    def write(self, path: Path) -> None:
        """Write the JSON report."""
        path.write_text(json.dumps(self.to_json(), indent=1, default=str) + "\n")

    def lines(self) -> Iterable[str]:
        """Return a line for each guarantee, `ok` or `!!`, and descriptions of the violations."""
        width = max((len(guarantee.name) for guarantee in self.guarantees), default=0)
        for guarantee in self.guarantees:
            result = f"{guarantee.measured:10.3f} {guarantee.unit:6} {guarantee.sense} {guarantee.bound:g}"
            note = f"  {guarantee.note}" if guarantee.note else ""
            yield f"{'ok' if guarantee.kept else '!!'} {guarantee.name:{width}} {result}{note}"
            if not guarantee.kept:
                yield from (f"   {violation}" for violation in guarantee.violations[:MAX_PRINTED_VIOLATIONS])


def count(values: Iterable[str]) -> dict[str, int]:
    """Return the number of occurrences of each value, ordered by value."""
    return dict(sorted(Counter(values).items()))
