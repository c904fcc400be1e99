"""Counters since the start of the process, and their lines in the response to the operators' call STATS."""

from __future__ import annotations

from enum import StrEnum

from shaletiller.core.model import FinalResult
from shaletiller.messages.actions import GiveUpReason

# The names of the results in STATS lines.
RESULT_NAMES = {
    FinalResult.SERVED: "succeeded",
    FinalResult.REJECTED: "declined",
    FinalResult.FAILED: "aborted",
}
RESULTS_PREFIX = "results."
REASONS_PREFIX = "reasons."
SCHEDULER_FAILURES = "scheduler_failures"
RESPONSES_PREFIX = "responses."
RESPONSES_HELD = f"{RESPONSES_PREFIX}held"
RESPONSES_PASSED_ON = f"{RESPONSES_PREFIX}passed_on"
RESPONSES_ABANDONED = f"{RESPONSES_PREFIX}abandoned"


class GuardReason(StrEnum):
    """Why the gateway rejected or failed a request without a decision by the scheduler."""

    OVERLOAD = "overload"
    """Its connection waited too long to be read."""
    SHUTDOWN = "shutdown"
    """It arrived too shortly before the process ends, or the process ended before its response."""
    DEADLINE_GUARD = "deadline_guard"
    """The scheduler had made no final decision by its deadline."""
    NO_TURN = "no_turn"
    """It is ordered, and another process of the gateway did not let it have its turn in time."""
    ID_NOT_GRANTED = "id_not_granted"
    """Another process of the gateway has had its id, or did not say in time whether it has."""
    IDS_FULL = "ids_full"
    """So many requests have run lately that its id could not be remembered."""
    RESPONSE_NOT_BEGUN = "response_not_begun"
    """Its response cannot be passed on before it is whole: memory is spent, the process ends, or its outcome
    has to be replicated."""
    SCHEDULER_FAILED = "scheduler_failed"
    """The scheduler raised an exception while handling its arrival."""


class Counters(dict[str, int]):
    """Counters by name; read them by `get(name, 0)`, since a counter appears with its first increment."""

    def increment(self, name: str) -> None:
        """Add one to a counter."""
        self[name] = self.get(name, 0) + 1

    def count_result(self, request_class: str, result: FinalResult) -> None:
        """Count one final result of a request class."""
        self.increment(f"{RESULTS_PREFIX}{request_class}.{RESULT_NAMES[result]}")

    def count_reason(self, result: FinalResult, reason: GiveUpReason | GuardReason) -> None:
        """Count why one request was rejected or failed."""
        self.increment(f"{REASONS_PREFIX}{RESULT_NAMES[result]}.{reason}")


def stats_lines(counters: Counters, classes: list[str], gauges: dict[str, int]) -> list[str]:
    """Return the lines `edge.NAME=VALUE` of STATS; other counters are listed if not 0.

    :param classes: the request classes in force; other classes that have counts are listed after them.
    """
    counted = [name.split(".")[1] for name in counters if name.startswith(RESULTS_PREFIX)]
    lines = []
    for request_class in dict.fromkeys([*classes, *counted]):
        for result_name in RESULT_NAMES.values():
            name = f"{RESULTS_PREFIX}{request_class}.{result_name}"
            lines.append(f"edge.{name}={counters.get(name, 0)}")
    lines += [f"edge.{name}={value}" for name, value in gauges.items()]
    optional_names = sorted(
        name
        for name in counters
        if name.startswith((REASONS_PREFIX, RESPONSES_PREFIX)) or name == SCHEDULER_FAILURES
    )
    return lines + [f"edge.{name}={counters[name]}" for name in optional_names]
