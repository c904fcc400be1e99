"""Take in: a call enters the table, or is turned down as malformed."""

from __future__ import annotations

from collections.abc import Callable, Container

from shaletiller.clock import Clock
from shaletiller.core.model import BadRequestError, ClientCall, Exchange, FinalResponse
from shaletiller.settings.model import Idempotency, Settings

LONGEST_MS = 60_000.0  # a time-out that any class may have


class AcceptRequest:
    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        table: dict[str, Exchange],
        out: Container[tuple[str, int]],
    ) -> None:
        self._classes = {spec.name: spec for spec in settings.classes}
        # A write under the name of a class that reads would be repeated.  Not every site says which is which.
        self._told_writes = any(spec.writes for spec in settings.classes)
        self._shards = settings.shards
        self._plans = {plan.name for plan in settings.plans}
        self._most_units = settings.max_units
        self._clock = clock
        self._table = table
        self._out = out
        self._max_attempts = settings.max_attempts

    def __call__(self, call: ClientCall, answer: Callable[[FinalResponse], None]) -> Exchange:
        self._check(call)
        now_ms = self._clock.now_ms()
        safe = self._classes[call.request_class].effect is Idempotency.SAFE
        exchange = Exchange(call, answer, now_ms, now_ms + call.timeout_ms, safe)
        self._table[call.id] = exchange
        return exchange

    def _check(self, call: ClientCall) -> None:
        if call.request_class not in self._classes:
            raise BadRequestError(f"unknown class {call.request_class!r}")
        if call.plan not in self._plans:
            raise BadRequestError(f"unknown plan {call.plan!r}")
        if not 0 < call.units <= self._most_units:
            raise BadRequestError("units out of range")
        if self._told_writes and self._classes[call.request_class].writes != call.write:
            raise BadRequestError(f"class {call.request_class!r} is not for this method")
        if self._classes[call.request_class].effect is Idempotency.KEYED and not call.idempotency_key:
            # Nodes could not tell its repeats from new work, and would run each of them.
            raise BadRequestError(f"class {call.request_class!r} wants an Idempotency-Key")
        if call.shard < -1 or call.volume_gateways < 1 or 0 < self._shards <= call.shard:
            raise BadRequestError("shard or hosts out of range")
        # How long a class may take is the site's to say; far beyond that is no time-out of its clients.
        longest_ms = max(LONGEST_MS, 2 * self._classes[call.request_class].deadline_ms)
        if not 0 < call.timeout_ms <= longest_ms:
            raise BadRequestError("time-out out of range")
        # Its attempts may be out for a while after its answer, and outcomes are told apart by the id.
        if call.id in self._table or any((call.id, at) in self._out for at in range(self._max_attempts)):
            raise BadRequestError("a request of this id is being served")
