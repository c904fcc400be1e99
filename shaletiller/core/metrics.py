"""Counters of what the gateway has done since its start, and the lines in which operators read them."""

from __future__ import annotations

from enum import StrEnum

from shaletiller.core.model import FinalResult
from shaletiller.messages.actions import GiveUpReason

# The words of the operators' STATS lines.
RESULT_WORDS = {
    FinalResult.SERVED: "succeeded",
    FinalResult.REJECTED: "declined",
    FinalResult.FAILED: "aborted",
}
RESULTS_PREFIX = "results."
REASONS_PREFIX = "reasons."
SCHEDULER_FAILURES = "scheduler_failures"


class GuardReason(StrEnum):
    """Why the gateway rejected or failed a request without a decision of the scheduler."""

    OVERLOAD = "overload"
    """Its connection waited unread for too long."""
    SHUTDOWN = "shutdown"
    """It came so late that the process ends before its timeout, or the process ended before its answer."""
    DEADLINE_GUARD = "deadline_guard"
    """The scheduler had not answered it by its deadline."""
    SCHEDULER_FAILED = "scheduler_failed"
    """The scheduler failed as it took it in."""


class Counters(dict[str, int]):
    """Counters by name; a name that was never counted reads 0 with `get(name, 0)`."""

    def increment(self, name: str) -> None:
        """Count one occurrence."""
        self[name] = self.get(name, 0) + 1

    def count_result(self, request_class: str, result: FinalResult) -> None:
        """Count one final result of a request class."""
        self.increment(f"{RESULTS_PREFIX}{request_class}.{RESULT_WORDS[result]}")

    def count_reason(self, result: FinalResult, reason: GiveUpReason | GuardReason) -> None:
        """Count why one request was rejected or failed."""
        self.increment(f"{REASONS_PREFIX}{RESULT_WORDS[result]}.{reason}")


def stats_lines(counters: Counters, classes: list[str], gauges: dict[str, int]) -> list[str]:
    """The lines `edge.NAME=VALUE` of the operators' STATS; reasons and failures are listed once counted.

    :param classes: the request classes in force; classes that were counted before are listed after them.
    """
    counted = [name.split(".")[1] for name in counters if name.startswith(RESULTS_PREFIX)]
    lines = []
    for request_class in dict.fromkeys([*classes, *counted]):
        for word in RESULT_WORDS.values():
            name = f"{RESULTS_PREFIX}{request_class}.{word}"
            lines.append(f"edge.{name}={counters.get(name, 0)}")
    lines += [f"edge.{name}={value}" for name, value in gauges.items()]
    once_counted = sorted(
        name for name in counters if name.startswith(REASONS_PREFIX) or name == SCHEDULER_FAILURES
    )
    return lines + [f"edge.{name}={counters[name]}" for name in once_counted]
