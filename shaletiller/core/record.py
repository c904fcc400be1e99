"""Book: an attempt's one outcome is kept and told to the decision module."""

from __future__ import annotations

from collections.abc import Callable

from shaletiller.clock import Clock
from shaletiller.core.model import Attempt, AttemptResult, Exchange, FinalResponse, FinalResult
from shaletiller.core.respond import Responder
from shaletiller.messages.events import AttemptEnded, Event
from shaletiller.messages.outcomes import Outcome

UNSENT = (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)  # the attempts that no node was handed whole


class OutcomeRecorder:
    def __init__(
        self,
        clock: Clock,
        relay: Responder,
        decide: Callable[[Event], None],
        counts: dict[str, int],
    ) -> None:
        self._clock = clock
        self._relay = relay
        self._decide = decide
        self._counts = counts

    def __call__(self, exchange: Exchange, attempt: Attempt, reply: AttemptResult) -> None:
        if attempt.outcome is not None:
            return
        attempt.outcome = reply.outcome
        attempt.ended_ms = self._clock.now_ms()
        name = f"attempt.{reply.outcome.value}"
        self._counts[name] = self._counts.get(name, 0) + 1
        if reply.outcome not in UNSENT:
            self._counts["forwards"] = self._counts.get("forwards", 0) + 1
        if reply.outcome is Outcome.OK:
            self._relay(exchange, FinalResponse(FinalResult.SERVED, reply.body))
        latency_ms = attempt.ended_ms - attempt.sent_ms if reply.latency_ms is None else reply.latency_ms
        self._decide(
            AttemptEnded(
                request=exchange.call.id,
                attempt=attempt.number,
                node=attempt.node,
                outcome=reply.outcome,
                latency_ms=latency_ms,
                request_finished=exchange.over,
                usage_percent_plus_one=reply.usage_percent_plus_one,
                other_gateways_units=reply.other_gateways_units,
                load_report=reply.load_report,
            )
        )
