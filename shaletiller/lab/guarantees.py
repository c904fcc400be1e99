"""What a run is held to: each guarantee with its bound and what was measured, from what the stand-ins saw."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, Literal


@dataclass(slots=True, frozen=True)
class Guarantee:
    """One line of a verdict.  `measured` must not be above the bound, or, for `at least`, not below it."""

    name: str
    bound: float
    measured: float
    sense: Literal["at most", "at least"] = "at most"
    unit: str = ""
    note: str = ""

    @property
    def kept(self) -> bool:
        return self.measured <= self.bound if self.sense == "at most" else self.measured >= self.bound


@dataclass
class Outcome:
    """A run's verdict, and what else it showed."""

    name: str
    seed: int
    guarantees: list[Guarantee] = field(default_factory=list)
    figures: dict[str, Any] = field(default_factory=dict)
    course: list[str] = field(default_factory=list)  # what was done to it, when

    @property
    def kept(self) -> bool:
        return all(each.kept for each in self.guarantees)

    def plain(self) -> dict[str, Any]:
        return {
            **asdict(self),
            "kept": self.kept,
            "guarantees": [{**asdict(each), "kept": each.kept} for each in self.guarantees],
        }

    def write(self, path: Path) -> None:
        path.write_text(json.dumps(self.plain(), indent=1, default=str) + "\n")

    def lines(self) -> Iterable[str]:
        """A plain table."""
        width = max((len(each.name) for each in self.guarantees), default=0)
        for each in self.guarantees:
            said = f"{each.measured:10.3f} {each.unit:6} {each.sense} {each.bound:g}"
            note = f"  {each.note}" if each.note else ""
            yield f"{'ok' if each.kept else '!!'} {each.name:{width}} {said}{note}"
