"""Take in: a call enters the table, or is turned down as malformed."""

from __future__ import annotations

from collections.abc import Callable

from shaletiller import interface as i
from shaletiller.clock import Clock
from shaletiller.core.model import Answer, BadCall, Call, Exchange

LONGEST_MS = 60_000.0


class TakeIn:
    def __init__(self, settings: i.Settings, clock: Clock, table: dict[str, Exchange]) -> None:
        self._classes = {spec.name for spec in settings.classes}
        self._plans = {plan.name for plan in settings.plans}
        self._most_units = settings.most_units
        self._clock = clock
        self._table = table

    def __call__(self, call: Call, answer: Callable[[Answer], None]) -> Exchange:
        self._check(call)
        now_ms = self._clock.now_ms()
        exchange = Exchange(call, answer, now_ms, now_ms + call.timeout_ms)
        self._table[call.id] = exchange
        return exchange

    def _check(self, call: Call) -> None:
        if call.service not in self._classes:
            raise BadCall(f"unknown class {call.service!r}")
        if call.plan not in self._plans:
            raise BadCall(f"unknown plan {call.plan!r}")
        if not 0 < call.units <= self._most_units:
            raise BadCall("units out of range")
        if call.shard < -1 or call.hosts < 1:
            raise BadCall("shard or hosts out of range")
        if not 0 < call.timeout_ms <= LONGEST_MS:
            raise BadCall("time-out out of range")
        if call.id in self._table:
            raise BadCall("a request of this id is being served")
