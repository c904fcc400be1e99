"""Accept: a client request is checked against the settings and enters the table of exchanges."""

from __future__ import annotations

from collections.abc import Callable, Container

from shaletiller.clock import Clock
from shaletiller.core.errors import BadRequestError
from shaletiller.core.model import ClientCall, Exchange, FinalResponse
from shaletiller.settings.model import ClassSpec, Idempotency, Settings

# Every class accepts a timeout of up to a minute, whatever its deadline.
MAX_TIMEOUT_MS = 60_000.0
# A class with a longer limit of its own may be given twice that; beyond, a timeout is a client's mistake.
DEADLINE_MULTIPLE = 2


class AcceptRequest:
    """Checks client requests and creates their exchanges.

    :param exchanges: the table of requests in flight by id, shared with the engine.
    :param attempts_in_flight: the attempts in flight by (request id, attempt number).
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        exchanges: dict[str, Exchange],
        attempts_in_flight: Container[tuple[str, int]],
    ) -> None:
        self._classes = {spec.name: spec for spec in settings.classes}
        # A write under the name of a class of reads would be retried.  Not every site states which is which.
        self._site_marks_writes = any(spec.writes for spec in settings.classes)
        self._shards = settings.shards
        self._plans = {plan.name for plan in settings.plans}
        self._max_units = settings.max_units
        self._clock = clock
        self._exchanges = exchanges
        self._attempts_in_flight = attempts_in_flight
        self._max_attempts = settings.max_attempts

    def __call__(self, call: ClientCall, respond: Callable[[FinalResponse], None]) -> Exchange:
        """Accept a request.

        :raises BadRequestError: naming the field that is malformed or not allowed.
        """
        spec = self._check(call)
        now_ms = self._clock.now_ms()
        idempotent = spec.effect is Idempotency.SAFE
        exchange = Exchange(call, respond, now_ms, now_ms + call.timeout_ms, idempotent)
        self._exchanges[call.id] = exchange
        return exchange

    def _check(self, call: ClientCall) -> ClassSpec:
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
            # Without a key the storage nodes take each retry for new work and run it again.
            raise BadRequestError(f"class {call.request_class!r} wants an Idempotency-Key")
        if call.shard < -1 or call.volume_gateways < 1 or 0 < self._shards <= call.shard:
            raise BadRequestError("shard or hosts out of range")
        self._check_timeout(call, spec)
        self._check_id(call)
        return spec

    @staticmethod
    def _check_timeout(call: ClientCall, spec: ClassSpec) -> None:
        longest_ms = max(MAX_TIMEOUT_MS, DEADLINE_MULTIPLE * spec.deadline_ms)
        if not 0 < call.timeout_ms <= longest_ms:
            raise BadRequestError("time-out out of range")

    def _check_id(self, call: ClientCall) -> None:
        """An attempt may be in flight after its request's response, and outcomes are matched by the id."""
        numbers = range(self._max_attempts)
        in_flight = any((call.id, number) in self._attempts_in_flight for number in numbers)
        if call.id in self._exchanges or in_flight:
            raise BadRequestError("a request of this id is being served")
