"""Counters of what the gateway has done since its start, and the lines in which operators read them."""

from __future__ import annotations

from shaletiller.core.model import FinalResult

# The words of the operators' STATS lines.
RESULT_WORDS = {
    FinalResult.SERVED: "succeeded",
    FinalResult.REJECTED: "declined",
    FinalResult.FAILED: "aborted",
}
RESULTS_PREFIX = "results."


class Counters(dict[str, int]):
    """Counters by name; a name that was never counted reads 0 with `get(name, 0)`."""

    def increment(self, name: str) -> None:
        """Count one occurrence."""
        self[name] = self.get(name, 0) + 1

    def count_result(self, request_class: str, result: FinalResult) -> None:
        """Count one final result of a request class."""
        self.increment(f"{RESULTS_PREFIX}{request_class}.{RESULT_WORDS[result]}")


def stats_lines(counters: Counters, classes: list[str], gauges: dict[str, int]) -> list[str]:
    """The lines `edge.NAME=VALUE` of the operators' STATS.

    :param classes: the request classes in force; classes that were counted before are listed after them.
    """
    counted = [name.split(".")[1] for name in counters if name.startswith(RESULTS_PREFIX)]
    lines = []
    for request_class in dict.fromkeys([*classes, *counted]):
        for word in RESULT_WORDS.values():
            name = f"{RESULTS_PREFIX}{request_class}.{word}"
            lines.append(f"edge.{name}={counters.get(name, 0)}")
    return lines + [f"edge.{name}={value}" for name, value in gauges.items()]
