"""Figures: what the gateway has done since its start, as operators read them."""

from __future__ import annotations

from shaletiller.core.model import FinalResult

RESULT = {FinalResult.SERVED: "succeeded", FinalResult.REFUSED: "declined", FinalResult.FAILED: "aborted"}


def tally(counts: dict[str, int], request_class: str, verdict: FinalResult) -> None:
    """One final answer of a class."""
    name = f"results.{request_class}.{RESULT[verdict]}"
    counts[name] = counts.get(name, 0) + 1


def lines(counts: dict[str, int], classes: list[str], gauges: dict[str, int]) -> list[str]:
    """`edge.NAME=VALUE`, each class's results first, those of a class that is no longer set too."""
    told = [name.split(".")[1] for name in counts if name.startswith("results.")]
    found = [
        f"edge.results.{request_class}.{word}={counts.get(f'results.{request_class}.{word}', 0)}"
        for request_class in dict.fromkeys([*classes, *told])
        for word in RESULT.values()
    ]
    return found + [f"edge.{name}={value}" for name, value in gauges.items()]
