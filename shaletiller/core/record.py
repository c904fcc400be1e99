"""Records the outcome of each attempt: counts it and notifies the scheduler."""

from __future__ import annotations

import logging
from collections.abc import Callable

from shaletiller.clock import Clock
from shaletiller.core.metrics import Counters, GuardReason
from shaletiller.core.model import Attempt, AttemptResult, BodyStream, Exchange, FinalResponse, FinalResult
from shaletiller.core.respond import Responder
from shaletiller.messages.events import AttemptEnded, Event
from shaletiller.messages.outcomes import Outcome

logger = logging.getLogger(__name__)

# Outcomes of attempts whose request was not completely sent to a storage node.
NOT_FORWARDED = (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
# Outcomes that are logged; the others are expected under load, or as clients leave.
LOGGED = (Outcome.TIMEOUT, Outcome.ERROR, Outcome.RESET)


class OutcomeRecorder:
    """Records the outcome of each attempt exactly once.

    :param may_begin_stream: returns whether a long response may be begun.
    :param on_attempt_ended: called after each outcome was recorded.
    """

    def __init__(
        self,
        clock: Clock,
        respond: Responder,
        notify: Callable[[Event], None],
        counters: Counters,
        may_begin_stream: Callable[[], bool],
        on_attempt_ended: Callable[[Exchange], None],
    ) -> None:
        self._clock = clock
        self._respond = respond
        self._notify = notify
        self._counters = counters
        self._may_begin_stream = may_begin_stream
        self._on_attempt_ended = on_attempt_ended

    def __call__(self, exchange: Exchange, attempt: Attempt, result: AttemptResult) -> None:
        """Record the result of an attempt; does nothing if the attempt already has an outcome.

        The client gets the response of a successful attempt before the scheduler is notified.
        """
        if attempt.outcome is not None:
            return
        attempt.outcome = result.outcome
        attempt.ended_ms = self._clock.now_ms()
        self._counters.increment(f"attempt.{result.outcome.value}")
        if result.outcome not in NOT_FORWARDED:
            self._counters.increment("forwards")
        if result.stream is not None and not self._may_begin(exchange, result.stream):
            self._counters.count_reason(self._respond.give_up(exchange), GuardReason.RESPONSE_NOT_BEGUN)
        elif result.outcome is Outcome.OK:
            response = FinalResponse(FinalResult.SERVED, result.body, stream=result.stream)
            self._respond(exchange, response)
        elapsed_ms = attempt.ended_ms - attempt.sent_ms
        if result.outcome in LOGGED:
            logger.info(
                "request %s: attempt %d at node %s ended after %.0f ms: %s",
                exchange.call.id,
                attempt.number,
                attempt.node,
                elapsed_ms,
                result.outcome.value,
            )
        self._notify(
            AttemptEnded(
                request=exchange.call.id,
                attempt=attempt.number,
                node=attempt.node,
                outcome=result.outcome,
                latency_ms=elapsed_ms if result.latency_ms is None else result.latency_ms,
                request_finished=exchange.finished,
                usage_percent_plus_one=result.usage_percent_plus_one,
                other_gateways_units=result.other_gateways_units,
                load_report=result.load_report,
            )
        )
        self._on_attempt_ended(exchange)

    def _may_begin(self, exchange: Exchange, stream: BodyStream) -> bool:
        """Whether a response that is not whole can be passed on to its end.

        If not, the request ends with that: its node has served it, and another attempt would end alike.
        """
        if exchange.finished:
            return True  # the responder discards it
        if exchange.on_result is not None:
            reason = "its outcome has to be replicated"
        elif not self._may_begin_stream():
            reason = "memory is spent or the process ends"
        else:
            return True
        logger.warning("request %s: response not passed on before it is whole: %s", exchange.call.id, reason)
        stream.close()
        return False
