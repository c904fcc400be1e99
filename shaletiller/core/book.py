"""Book: an attempt's one outcome is kept and told to the decision module."""

from __future__ import annotations

from collections.abc import Callable

from shaletiller import interface as i
from shaletiller.clock import Clock
from shaletiller.core.model import Answer, Attempt, Exchange, Reply, Verdict
from shaletiller.core.relay import Relay

UNSENT = (i.Outcome.CONNECT_FAILED, i.Outcome.MOOT)  # the attempts that no node was handed whole


class Book:
    def __init__(
        self,
        clock: Clock,
        relay: Relay,
        decide: Callable[[i.Event], None],
        counts: dict[str, int],
    ) -> None:
        self._clock = clock
        self._relay = relay
        self._decide = decide
        self._counts = counts

    def __call__(self, exchange: Exchange, attempt: Attempt, reply: Reply) -> None:
        if attempt.outcome is not None:
            return
        attempt.outcome = reply.outcome
        attempt.ended_ms = self._clock.now_ms()
        name = f"attempt.{reply.outcome.value}"
        self._counts[name] = self._counts.get(name, 0) + 1
        if reply.outcome not in UNSENT:
            self._counts["forwards"] = self._counts.get("forwards", 0) + 1
        if reply.outcome is i.Outcome.OK:
            self._relay(exchange, Answer(Verdict.SERVED, reply.body))
        lag_ms = attempt.ended_ms - attempt.sent_ms if reply.lag_ms is None else reply.lag_ms
        self._decide(
            i.Attempted(
                request=exchange.call.id,
                attempt=attempt.number,
                node=attempt.node,
                outcome=reply.outcome,
                lag_ms=lag_ms,
                over=exchange.over,
                used=reply.used,
                from_others=reply.from_others,
                report=reply.report,
            )
        )
