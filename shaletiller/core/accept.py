"""Validates client requests against the settings and creates their exchanges."""

from __future__ import annotations

from collections.abc import Callable, Container

from shaletiller.clock import Clock
from shaletiller.core.errors import BadRequestError
from shaletiller.core.executed_ids import ExecutedIds
from shaletiller.core.model import ClientCall, Exchange, FinalResponse
from shaletiller.settings.model import ClassSpec, Idempotency, Settings

# Every class accepts timeouts of up to one minute, whatever its deadline.
MAX_TIMEOUT_MS = 60_000.0
# A class with a longer deadline accepts timeouts of up to this multiple of its deadline.  Longer timeouts are
# rejected as client errors.
DEADLINE_MULTIPLE = 2


class RequestAcceptor:
    """Validates client requests and creates their exchanges.

    :param exchanges: the requests in flight by id, shared with the engine.
    :param attempts_in_flight: the attempts in flight as (request id, attempt number).
    :param executed: the ids of requests that may have run.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        exchanges: dict[str, Exchange],
        attempts_in_flight: Container[tuple[str, int]],
        executed: ExecutedIds,
    ) -> None:
        self._classes = {spec.name: spec for spec in settings.classes}
        # A write that names a class of reads would be retried.  The check is off for sites that mark no class
        # as writing, because their settings do not distinguish reads from writes.
        self._site_marks_writes = any(spec.writes for spec in settings.classes)
        self._shards = settings.shards
        self._plans = {plan.name for plan in settings.plans}
        self._max_units = settings.max_units
        self._clock = clock
        self._exchanges = exchanges
        self._attempts_in_flight = attempts_in_flight
        self._executed = executed
        self._max_attempts = settings.max_attempts

    def __call__(self, call: ClientCall, respond: Callable[[FinalResponse], None]) -> Exchange:
        """Accept a request.

        :returns: the new exchange, which has been added to the requests in flight.
        :raises BadRequestError: if a field is malformed or not allowed; the message names the field.
        """
        now_ms = self._clock.now_ms()
        spec = self._check(call, now_ms)
        idempotent = spec.effect is Idempotency.SAFE
        exchange = Exchange(call, respond, now_ms, now_ms + call.timeout_ms, idempotent)
        exchange.ordered = spec.ordered and bool(call.key)
        self._exchanges[call.id] = exchange
        return exchange

    def _check(self, call: ClientCall, now_ms: float) -> ClassSpec:
        spec = self._classes.get(call.request_class)
        if spec is None:
            raise BadRequestError(f"unknown class {call.request_class!r}")
        if call.plan not in self._plans:
            raise BadRequestError(f"unknown plan {call.plan!r}")
        if not 0 < call.units <= self._max_units:
            raise BadRequestError("units out of range")
        if self._site_marks_writes and spec.writes != call.write:
            raise BadRequestError(f"class {call.request_class!r} is not for this method")
        if spec.effect is Idempotency.KEYED and not call.idempotency_key:
            # Without a key, storage nodes treat each retry as a new request and execute it again.
            raise BadRequestError(f"class {call.request_class!r} wants an Idempotency-Key")
        if call.shard < -1 or call.volume_gateways < 1 or 0 < self._shards <= call.shard:
            raise BadRequestError("shard or hosts out of range")
        self._check_timeout(call, spec)
        self._check_id(call)
        if spec.effect is not Idempotency.SAFE and self._executed.contains(call.id, now_ms):
            raise BadRequestError("a request of this id may have run")
        return spec

    @staticmethod
    def _check_timeout(call: ClientCall, spec: ClassSpec) -> None:
        max_timeout_ms = max(MAX_TIMEOUT_MS, DEADLINE_MULTIPLE * spec.deadline_ms)
        if not 0 < call.timeout_ms <= max_timeout_ms:
            raise BadRequestError("time-out out of range")

    def _check_id(self, call: ClientCall) -> None:
        """Reject a request id that is in use.

        An attempt can still be in flight after its request has a response.  Its outcome is matched by the
        request id and would be attributed to a new request of the same id.
        """
        numbers = range(self._max_attempts)
        in_flight = any((call.id, number) in self._attempts_in_flight for number in numbers)
        if call.id in self._exchanges or in_flight:
            raise BadRequestError("a request of this id is being served")
