"""Gives each client request its only final response."""

from __future__ import annotations

import logging
from collections.abc import Callable

from shaletiller.core.metrics import Counters
from shaletiller.core.model import Exchange, FinalResponse, FinalResult

logger = logging.getLogger(__name__)


class Responder:
    """Ends each exchange exactly once.

    :param on_request_ended: called with each exchange when it ends.
    """

    def __init__(
        self,
        exchanges: dict[str, Exchange],
        counters: Counters,
        on_request_ended: Callable[[Exchange], None],
    ) -> None:
        self._exchanges = exchanges
        self._counters = counters
        self._on_request_ended = on_request_ended

    def __call__(self, exchange: Exchange, response: FinalResponse, replicated: bool = False) -> None:
        """Give a request its final response; does nothing if it has one or its client has disconnected.

        A success whose outcome must be replicated is passed to the replication instead.

        :param replicated: whether the replication of the outcome is complete; it is then not called again.
        """
        if exchange.ended or (exchange.replicating_outcome and not replicated):
            response.discard()
            return
        on_result = None if replicated else exchange.on_result
        if on_result is not None and response.result is FinalResult.SERVED:
            # A success must not be reported to the client while the loss of one machine could still undo it.
            exchange.replicating_outcome = True
            on_result(response)
            return
        exchange.result = response.result
        self._end(exchange)
        self._counters.increment(response.result.value)
        self._counters.count_result(exchange.call.request_class, response.result)
        try:
            exchange.respond(response)
        except Exception:
            logger.exception("request %s: response not delivered to its client", exchange.call.id)
            response.discard()
        if on_result is not None:
            on_result(response)

    def on_client_disconnected(self, exchange: Exchange) -> None:
        """End an exchange whose client has closed its connection."""
        exchange.client_disconnected = True
        self._end(exchange)
        self._counters.increment("left")
        if exchange.on_result is not None:
            exchange.on_result(None)

    def give_up(self, exchange: Exchange) -> FinalResult:
        """Respond to a request for which the scheduler has made no final decision.

        :returns: REJECTED if a retry is safe, otherwise FAILED.
        """
        retry_is_safe = exchange.idempotent or exchange.never_ran
        result = FinalResult.REJECTED if retry_is_safe else FinalResult.FAILED
        self(exchange, FinalResponse(result), replicated=exchange.replicating_outcome)
        return result

    def _end(self, exchange: Exchange) -> None:
        if exchange.deadline_timer is not None:
            exchange.deadline_timer.cancel()
        self._on_request_ended(exchange)
        self._exchanges.pop(exchange.call.id, None)
